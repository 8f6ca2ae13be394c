//! A server that is asked for more than it can do, played against a model of it.

use {
    rstest::rstest,
    testbed::lab::{Pattern, Policy, Report, play},
};

const SEEDS: std::ops::Range<u64> = 1..6;

fn worth(load: f64, policy: Policy) -> f64 {
    let reports = SEEDS.map(|seed| play(&Pattern::replicas_behind(load), policy, seed).worth);
    reports.sum::<f64>() / 5.0
}

fn all(load: f64) -> impl Iterator<Item = Report> {
    SEEDS.map(move |seed| play(&Pattern::replicas_behind(load), Policy::Shared, seed))
}

/// More than half of what is lost where each instance orders its own is served.
#[rstest]
#[case::replicas_behind(1.0, 0.2)]
#[case::with_many_callers(2.0, 0.25)]
fn one_queue_serves_more_than_many(#[case] load: f64, #[case] gain: f64) {
    let (each, shared) = (worth(load, Policy::Each), worth(load, Policy::Shared));
    assert!(shared - each > gain, "{each} {shared}");
}

#[test]
fn one_queue_costs_nothing_where_there_is_room() {
    let (each, shared) = (worth(0.6, Policy::Each), worth(0.6, Policy::Shared));
    assert!(shared > each - 0.01, "{each} {shared}");
}

#[test]
fn urgent_work_stays_in_time_however_much_else_is_asked_for() {
    for load in [1.0, 1.3, 2.0] {
        for it in all(load) {
            assert!(it.kinds[0].in_time_part() > 0.8, "{load}: {:?}", it.kinds[0]);
        }
    }
}

#[test]
fn what_is_refused_is_refused_at_once_or_when_it_is_late() {
    let objectives = Pattern::replicas_behind(1.0).kinds.into_iter().map(|it| it.objective / 1_000);
    let longest = objectives.max().unwrap();
    for load in [1.0, 1.3, 2.0] {
        for it in all(load) {
            let (half, most) = (it.refused_after.value_at_quantile(0.5), it.refused_after.max());
            assert!(half == 0, "{load}: half of the refusals after {half} ms");
            assert!(most <= longest, "{load}: one after {most} ms");
        }
    }
}

#[test]
fn long_work_is_served_where_there_is_room() {
    for it in all(0.5) {
        assert!(it.kinds[2].in_time_part() > 0.7, "{:?}", it.kinds[2]);
    }
}

#[test]
fn the_same_seed_plays_the_same() {
    let once = play(&Pattern::replicas_behind(1.0), Policy::Shared, 7);
    let again = play(&Pattern::replicas_behind(1.0), Policy::Shared, 7);
    assert_eq!(once.worth.to_bits(), again.worth.to_bits());
}

fn storm(load: f64) -> impl Iterator<Item = Report> {
    SEEDS.map(move |seed| play(&Pattern::storm(load), Policy::Shared, seed))
}

/// Nine organisations ask for six tenths of their share of the server, one for all the rest.
#[rstest]
fn an_organisation_within_its_share_gets_what_it_would_get_alone(#[values(1.0, 2.0, 4.0, 10.0)] load: f64) {
    let pattern = Pattern::storm(load);
    for organisation in 0..9 {
        let all = SEEDS.map(|seed| play(&pattern, Policy::Shared, seed).organisations[organisation].worth);
        let alone = SEEDS.map(|seed| play(&pattern.alone(organisation), Policy::Shared, seed).worth);
        let (all, alone) = (all.sum::<f64>() / 5.0, alone.sum::<f64>() / 5.0);
        assert!(all >= 0.9 * alone, "{load} {organisation}: {all} {alone}");
    }
}

/// Two of the three kinds may be left out and share a tenth of the server's time; half of that is for overheads.
#[rstest]
fn no_kind_and_no_organisation_starves(#[values(1.0, 2.0, 4.0, 10.0)] load: f64) {
    let pattern = Pattern::storm(load);
    for it in storm(load) {
        for (kind, got) in pattern.kinds.iter().zip(&it.kinds) {
            let part = f64::from(got.in_time + got.late) * kind.cost as f64
                / (pattern.slots as f64 * pattern.length as f64);
            assert!(part >= 0.025, "{load} {}: {part} {got:?}", kind.name);
        }
        for got in &it.organisations {
            assert!(got.in_time > 0, "{load}: {got:?}");
        }
    }
}

/// Worth, as a part of the most that it could be with what is promised to organisations; see `Report::most`.
fn part_of_most(load: f64) -> f64 {
    storm(load).map(|it| it.worth / it.most).sum::<f64>() / 5.0
}

#[test]
fn what_is_served_is_worth_nearly_as_much_as_could_be() {
    let part = part_of_most(1.0);
    assert!(part >= 0.9, "{part}");
}

#[test]
fn what_is_served_of_many_times_the_load_is_worth_nearly_as_much_as_could_be() {
    let parts = [2.0, 4.0, 10.0].map(part_of_most);
    assert!(parts.iter().all(|it| *it >= 0.9), "{parts:?}");
}
