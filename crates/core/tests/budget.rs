//! How long statements wait before a server has them.

use {
    pondtrack_core::{
        Time,
        budget::{Budget, Mode, TimeLimits, Wait},
    },
    rstest::rstest,
    strum::IntoEnumIterator,
};

const MS: Time = 1_000;
/// A caller that hopes for 100 ms, on a route that allows eight times as much.
const HASTY: TimeLimits = TimeLimits { arrived_at: 5 * MS, objective: 100 * MS, timeout: 800 * MS };
/// Tries that a caller has.
const TRIES: Time = 3;
/// Objectives after which callers give up.
const PATIENCE: Time = 6;

/// Goes through waits, each for as long as it would take; says when and for what the statement was refused, or when a
/// server had it.
fn walk(mut budget: Budget, waits: &[(Wait, Time)]) -> (Time, Option<Wait>) {
    let mut now = HASTY.arrived_at;
    for (wait, takes) in waits {
        let until = budget.deadline(*wait);
        if now + takes > until {
            return (now.max(until) - HASTY.arrived_at, Some(*wait));
        }
        now += takes;
        if *wait == Wait::Primary {
            budget = budget.after_primary_found(now);
        }
    }
    (now - HASTY.arrived_at, None)
}

const NEVER: Time = 3_600_000 * MS;

#[rstest]
#[case::evidence_that_never_comes(&[(Wait::Evidence, NEVER)], 100)]
#[case::a_queue_longer_than_the_objective(&[(Wait::Evidence, 5 * MS), (Wait::Permit, 900 * MS)], 150)]
#[case::connections_that_others_keep(&[(Wait::Permit, 0), (Wait::Connection, NEVER)], 150)]
#[case::a_quota_without_room(&[(Wait::Quota, NEVER)], 50)]
#[case::a_group_without_a_primary(&[(Wait::Primary, NEVER)], 200)]
#[case::a_change_and_then_a_queue(&[(Wait::Primary, 150 * MS), (Wait::Permit, NEVER)], 200)]
fn what_waits_in_vain_is_refused_by_the_objective(#[case] waits: &[(Wait, Time)], #[case] most_ms: Time) {
    let (refused, at) = walk(Budget::new(HASTY, Mode::Objective), waits);
    assert_eq!(at, waits.last().map(|it| it.0));
    assert!(refused <= most_ms * MS, "after {refused} us");
    // As before, it would have been refused later.
    assert!(walk(Budget::new(HASTY, Mode::PerWait), waits).0 > refused);
}

#[test]
fn several_waits_in_a_row_draw_on_one_budget() {
    let waits = [(Wait::Quota, 49 * MS), (Wait::Evidence, 20 * MS), (Wait::Permit, 80 * MS)];
    let budget = Budget::new(HASTY, Mode::Objective);
    assert_eq!(walk(budget, &waits), (149 * MS, None));
    let more = [&waits[..], &[(Wait::Connection, 2 * MS)]].concat();
    assert_eq!(
        walk(budget, &more),
        (150 * MS, Some(Wait::Connection)),
        "all but a millisecond was used before"
    );
    let quota = [(Wait::Quota, 50 * MS), (Wait::Evidence, 26 * MS)];
    assert_eq!(walk(budget, &quota).1, Some(Wait::Evidence));
}

#[rstest]
#[case::evidence_on_its_way(&[(Wait::Evidence, 60 * MS), (Wait::Permit, 10 * MS)])]
#[case::a_change_that_ends_late(&[(Wait::Primary, 190 * MS), (Wait::Permit, 5 * MS), (Wait::Connection, 5 * MS)])]
fn what_comes_a_little_later_is_waited_for(#[case] waits: &[(Wait, Time)]) {
    assert_eq!(walk(Budget::new(HASTY, Mode::Objective), waits).1, None);
}

#[test]
fn what_is_known_to_take_longer_is_refused_at_once() {
    let budget = Budget::new(HASTY, Mode::Objective);
    let now = HASTY.arrived_at + 40 * MS;
    assert!(budget.allows(Wait::Permit, 110 * MS, now));
    assert!(!budget.allows(Wait::Permit, 111 * MS, now));
    assert!(!budget.is_exhausted(HASTY.arrived_at + 149 * MS));
    assert!(budget.is_exhausted(HASTY.arrived_at + 150 * MS));
}

#[test]
fn all_tries_together_fit_into_a_callers_patience() {
    for wait in Wait::iter() {
        let (refused, _) = walk(Budget::new(HASTY, Mode::Objective), &[(wait, NEVER)]);
        assert!(refused * TRIES <= PATIENCE * HASTY.objective, "{wait}");
    }
}

#[test]
fn without_quotas_each_wait_has_its_limit_of_the_routes() {
    let budget = Budget::new(HASTY, Mode::PerWait);
    for wait in Wait::iter() {
        let ms = if matches!(wait, Wait::Permit | Wait::Connection) { 320 } else { 800 };
        assert_eq!(budget.deadline(wait), HASTY.arrived_at + ms * MS, "{wait}");
    }
    let late = HASTY.arrived_at + 700 * MS;
    assert_eq!(budget.after_primary_found(late), budget);
    assert!(!budget.is_exhausted(late));
    assert!(budget.is_exhausted(HASTY.arrived_at + 800 * MS));
}

#[test]
fn nothing_waits_for_longer_than_its_route_allows() {
    let slow = TimeLimits { objective: 5_000 * MS, ..HASTY };
    for rule in [Mode::PerWait, Mode::Objective, Mode::Failover] {
        for wait in Wait::iter() {
            assert!(
                Budget::new(slow, rule).deadline(wait) <= slow.arrived_at + slow.timeout,
                "{rule:?} {wait}"
            );
        }
    }
}
