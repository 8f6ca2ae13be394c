//! Who runs next at a busy server.

use {
    pondtrack_core::turn::{Rank, Share, Turns},
    rand::{RngExt, SeedableRng},
    rand_pcg::Pcg64Mcg,
    rstest::rstest,
};

const ANYBODY: Share = Share { owner: 0, weight: 0 };
const PLAIN: Rank =
    Rank { share: ANYBODY, pinned: false, priority: 2, aim: 1_000, kind: 1, cost: 20, statements: 1 };

#[rstest]
#[case::transactions_first(Rank { pinned: true, priority: 9, ..PLAIN }, Rank { priority: 0, ..PLAIN })]
#[case::then_priority(Rank { priority: 1, cost: 90, ..PLAIN }, PLAIN)]
#[case::then_whoever_is_in_time(Rank { aim: 900, cost: 90, ..PLAIN }, Rank { aim: 400, ..PLAIN })]
#[case::then_the_shorter(PLAIN, Rank { cost: 40, ..PLAIN })]
#[case::of_statements(PLAIN, Rank { cost: 15, statements: 4, ..PLAIN })]
fn the_first_of_two(#[case] first: Rank, #[case] second: Rank) {
    for (a, b) in [(0, 1), (1, 0)] {
        let mut it = Turns::default();
        while it.start() {}
        let ranks = [first, second];
        it.wait(ranks[a], 0, a);
        it.wait(ranks[b], 0, b);
        it.end();
        assert_eq!(it.next(500), Some(0));
    }
}

#[test]
fn those_that_are_alike_go_by_arrival() {
    let mut it = Turns::default();
    while it.start() {}
    for n in 0..3 {
        it.wait(PLAIN, 0, n);
    }
    for n in 0..3 {
        it.end();
        assert_eq!(it.next(0), Some(n));
    }
    assert_eq!(it.next(0), None, "nobody waits");
}

#[test]
fn slow_answers_shrink_the_limit_to_one_and_quick_ones_bring_it_back() {
    let mut it = Turns::<()>::default();
    let most = it.limit();
    for _ in 0..50 {
        it.learn(false);
    }
    assert_eq!(it.limit(), 1);
    assert!(it.start());
    assert!(!it.start());
    for _ in 0..50 {
        it.learn(true);
    }
    assert_eq!(it.limit(), most);
}

#[test]
fn nobody_overtakes_those_that_wait() {
    let mut it = Turns::default();
    while it.start() {}
    it.wait(PLAIN, 0, ());
    it.end();
    assert!(!it.start(), "the turn is for the one that waits");
    assert_eq!(it.next(0), Some(()));
}

#[test]
fn a_shared_limit_may_grow_above_that_of_one_instance() {
    let mut it = Turns::<()>::default();
    it.set_most(16);
    for _ in 0..500 {
        it.learn(true);
    }
    assert_eq!(it.limit(), 16);
    it.reset();
    assert!(it.limit() < 16 && !it.is_shrunk());
}

#[test]
fn a_queue_is_one_for_a_while_after_somebody_had_to_wait() {
    let mut it = Turns::default();
    while it.start() {}
    assert!(!it.is_crowded(5));
    it.wait(PLAIN, 10, ());
    it.end();
    assert_eq!(it.next(20), Some(()));
    assert!(it.is_crowded(900_000));
    assert!(!it.is_crowded(1_100_000));
}

#[test]
fn what_would_wait_too_long_is_refused_at_once() {
    let mut it = Turns::default();
    while it.start() {}
    for n in 0..40 {
        it.wait(PLAIN, 0, n);
    }
    // A turn comes free every 20 ticks.
    for n in 1..=10 {
        it.end();
        assert_eq!(it.next(n * 20), Some(n - 1));
    }
    // Thirty are before it, which is 600 ticks.
    assert!(it.refuses(Rank { aim: 1_200, ..PLAIN }, 200), "it has 1,000");
    assert!(!it.refuses(Rank { aim: 3_200, ..PLAIN }, 200), "it has 3,000");
    assert!(!it.refuses(Rank { priority: 1, aim: 1_200, ..PLAIN }, 200), "it goes first");
    assert!(!it.refuses(Rank { pinned: true, aim: 1_200, ..PLAIN }, 200), "its transaction is open");
}

#[test]
fn where_nobody_waits_nothing_is_refused() {
    let mut it = Turns::<()>::default();
    while it.start() {}
    assert!(!it.refuses(Rank { aim: 0, ..PLAIN }, 500));
}

/// An instance that takes work to be long, as it saw little of it and that in a queue, is served as others are.
///
/// Seen with 100 instances and more callers than one group of servers can serve: the four that had least served in ten
/// seconds (1 to 3 of about 500 statements) had estimates of 20 to 104 ms, the four that had most (380 to 858) of 4 to
/// 25 ms. What is refused is never measured, so the estimates stayed. Proved by the estimates in the instances' lines
/// beside what each had served.
#[test]
fn work_of_a_kind_waits_alike_whatever_its_instance_takes_it_to_cost() {
    let mut it = Turns::default();
    while it.start() {}
    let wait =
        |it: &mut Turns<usize>, at: usize, now| it.wait(Rank { cost: [20, 200][at], ..PLAIN }, now, at);
    let mut served = [0, 0];
    wait(&mut it, 0, 0);
    wait(&mut it, 1, 0);
    for now in 1..=100 {
        it.end();
        let at = it.next(now).expect("two wait");
        served[at] += 1;
        wait(&mut it, at, now);
    }
    assert!(served[1] >= 40, "{served:?}");
}

/// A millisecond.
const MS: u64 = 1_000;
/// The time that the server has in a play.
const PLAY: u64 = 60_000 * MS;

/// What one owner asks for of one kind.
#[derive(Clone, Copy)]
struct Asked {
    rank: Rank,
    /// Its part of what the server can do.
    load: f64,
}

/// What became of it.
#[derive(Clone, Copy, Debug, Default)]
struct Got {
    asked: u32,
    in_time: u32,
    refused: u32,
    /// The server's time that it had, as a part.
    part: f64,
}

impl Got {
    fn in_time_part(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.asked)
    }
}

fn ask(owner: u64, priority: u8, cost: u64, load: f64) -> Asked {
    let share = Share { owner, weight: 1 };
    // A rank's aim is the time that its callers hope for, in a play.
    let rank = Rank {
        share,
        pinned: false,
        priority,
        aim: 200 * MS,
        kind: u64::from(priority),
        cost,
        statements: 1,
    };
    Asked { rank, load }
}

/// A server that runs one statement at a time, for a minute; callers come at random. Also says how many owners were known at
/// most.
fn play(all: &[Asked], seed: u64) -> (Vec<Got>, usize) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut it = Turns::default();
    for _ in 0..50 {
        it.learn(false);
    }
    let mut got = vec![Got::default(); all.len()];
    let mut gap = |at: usize| {
        let usual = all[at].rank.cost as f64 / all[at].load;
        (-(1.0 - rng.random::<f64>()).ln() * usual) as u64
    };
    let mut next: Vec<u64> = (0..all.len()).map(&mut gap).collect();
    let (mut known, mut runs): (usize, Option<(u64, usize, u64)>) = (0, None);
    loop {
        let at = (0..next.len()).min_by_key(|at| next[*at]).expect("somebody asks");
        let now = runs.map_or(next[at], |it| it.0.min(next[at]));
        if now >= PLAY {
            return (got, known);
        }
        known = known.max(it.known_owners());
        it.retain(|(_, aim): &(usize, u64)| *aim > now);
        match runs.filter(|it| it.0 == now) {
            Some((_, kind, aim)) => {
                got[kind].in_time += u32::from(now <= aim + all[kind].rank.cost);
                got[kind].part += all[kind].rank.cost as f64 / PLAY as f64;
                it.end();
                runs = it.next(now).map(|(at, aim)| (now + all[at].rank.cost, at, aim));
            }
            None => {
                next[at] += gap(at).max(1);
                got[at].asked += 1;
                let rank = Rank { aim: now + all[at].rank.aim, ..all[at].rank };
                if it.refuses(rank, now) {
                    got[at].refused += 1;
                } else if it.start() {
                    runs = Some((now + rank.cost, at, rank.aim));
                } else {
                    it.wait(rank, now, (at, rank.aim));
                }
            }
        }
    }
}

/// Ten organisations that usually ask for eight tenths of what the server can do; one asks for ten times its usual.
#[rstest]
fn a_storm_costs_the_others_nothing(#[values(1, 2, 3)] seed: u64) {
    let mut all: Vec<Asked> = (1..=9).map(|owner| ask(owner, 2, 10 * MS, 0.08)).collect();
    all.push(ask(10, 2, 10 * MS, 0.8));
    let (got, _) = play(&all, seed);
    for it in &got[..9] {
        assert!(it.in_time_part() >= 0.95, "{it:?}");
    }
    assert!(got[9].part >= 0.2, "what the others leave is for the storm: {:?}", got[9]);
}

/// The storm is of the most urgent work, and the others' is ordinary.
#[rstest]
fn an_urgent_storm_goes_before_others_only_within_its_share(#[values(1, 2, 3)] seed: u64) {
    let mut all: Vec<Asked> = (1..=9).map(|owner| ask(owner, 2, 10 * MS, 0.08)).collect();
    all.push(ask(10, 1, 5 * MS, 0.8));
    let (got, _) = play(&all, seed);
    for it in &got[..9] {
        assert!(it.in_time_part() >= 0.95, "{it:?}");
    }
}

/// Ten organisations ask for twice what the server can do, all the same; a little of it is urgent.
#[rstest]
fn ordinary_work_costs_its_owners_urgent_work_nothing(#[values(1, 2, 3)] seed: u64) {
    let ordinary = (1..=10).map(|owner| ask(owner, 2, 10 * MS, 0.2));
    let urgent = (1..=10)
        .map(|owner| Asked { rank: Rank { aim: 60 * MS, ..ask(owner, 1, 5 * MS, 0.02).rank }, load: 0.02 });
    let all: Vec<Asked> = urgent.chain(ordinary).collect();
    let (got, _) = play(&all, seed);
    let sum = |of: fn(&Got) -> u32| got[..10].iter().map(of).sum::<u32>();
    let (in_time, asked) = (sum(|it| it.in_time), sum(|it| it.asked));
    assert!(f64::from(in_time) >= 0.95 * f64::from(asked), "{in_time} of {asked}");
}

/// Three kinds in equal parts, of one organisation, at many times what the server can do.
#[rstest]
fn no_kind_goes_without(#[values(1.0, 2.0, 4.0, 10.0)] load: f64, #[values(1, 2, 3)] seed: u64) {
    let all = [ask(7, 1, 5 * MS, load / 3.0), ask(7, 2, 10 * MS, load / 3.0), ask(7, 3, 20 * MS, load / 3.0)];
    let (got, _) = play(&all, seed);
    for it in &got {
        assert!(it.part >= 0.03, "{load}: {got:?}");
    }
    assert!(got[0].part >= 0.3, "{load}: urgent work goes first: {got:?}");
}

#[test]
fn one_that_was_away_has_saved_nothing_up_and_owes_nothing() {
    let mut it = Turns::default();
    for _ in 0..50 {
        it.learn(false);
    }
    assert!(it.start());
    let rank = |owner| Rank { aim: u64::MAX, cost: 10 * MS, ..ask(owner, 2, 10 * MS, 1.0).rank };
    for n in 0..1_000 {
        it.wait(rank(1), n, 1);
        it.wait(rank(1), n, 1);
        it.end();
        assert_eq!(it.next(n), Some(1));
    }
    for _ in 0..100 {
        it.wait(rank(2), 1_000, 2);
    }
    let mut turns = [0, 0];
    for n in 0..40 {
        it.end();
        turns[it.next(1_000 + n).unwrap() - 1] += 1;
    }
    assert!(turns[0].min(turns[1]) >= 15, "{turns:?}");
}

#[test]
fn turns_go_by_weight() {
    let mut it = Turns::default();
    for _ in 0..50 {
        it.learn(false);
    }
    assert!(it.start());
    for (owner, weight) in [(1, 1), (2, 3)] {
        let share = Share { owner, weight };
        for _ in 0..1_000 {
            it.wait(Rank { share, aim: u64::MAX, cost: 10 * MS, ..PLAIN }, 0, owner);
        }
    }
    let mut turns = [0, 0];
    for n in 0..400 {
        it.end();
        turns[it.next(n).unwrap() as usize - 1] += 1;
    }
    assert!((90..=115).contains(&turns[0]), "{turns:?}");
}

#[test]
fn owners_that_are_idle_are_forgotten() {
    let mut it = Turns::default();
    for _ in 0..50 {
        it.learn(false);
    }
    assert!(it.start());
    let rank = |owner| Rank { aim: u64::MAX, ..ask(owner, 2, 10 * MS, 1.0).rank };
    // The first one waits all the time.
    for _ in 0..20_000 {
        it.wait(rank(1), 0, 1);
    }
    let mut most = 0;
    for owner in 2..10_000 {
        it.wait(rank(owner), 0, owner);
        it.end();
        assert!(it.next(owner).is_some());
        most = most.max(it.known_owners() - it.owners());
    }
    assert!(most <= 256, "{most} owners of 10,000 that don't wait are remembered");
    while it.owners() > 1 {
        it.end();
        assert!(it.next(10_000).is_some());
    }
    for n in 0..10 {
        it.end();
        assert_eq!(it.next(20_000 + n), Some(1));
    }
    assert_eq!(it.known_owners(), 1);
}

#[test]
fn a_storm_is_refused_and_others_are_not() {
    let mut it = Turns::default();
    for _ in 0..50 {
        it.learn(false);
    }
    assert!(it.start());
    let rank = |owner, now| Rank { aim: now + 200 * MS, ..ask(owner, 2, 10 * MS, 1.0).rank };
    let mut now = 0;
    for _ in 0..40 {
        it.wait(rank(1, now), now, 1);
    }
    for _ in 0..10 {
        now += 10 * MS;
        it.end();
        assert_eq!(it.next(now), Some(1));
    }
    assert!(it.refuses(rank(1, now), now), "thirty of its own are before it");
    assert!(!it.refuses(rank(2, now), now), "its turn comes after a few of the other's");
}

/// The order without owners: open transactions, priority, what can be in time, the shorter work, arrival.
#[rstest]
fn without_owners_the_order_is_the_plain_one(#[values(1, 2, 3, 4)] seed: u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut it = Turns::default();
    while it.start() {}
    let costs = [2 * MS, 7 * MS, 30 * MS];
    let mut plain: Vec<(Rank, usize)> = Vec::new();
    for n in 0..5_000 {
        let now = n as u64 * MS;
        for _ in 0..rng.random_range(0..3) {
            let kind = rng.random_range(0..3);
            let aim = now + rng.random_range(0..400) * MS;
            let (pinned, priority) = (rng.random_bool(0.1), rng.random_range(0..3));
            let statements = if rng.random_bool(0.2) { 4 } else { 1 };
            let (share, cost) = (ANYBODY, costs[kind]);
            let rank = Rank { share, pinned, priority, aim, kind: kind as u64, cost, statements };
            it.wait(rank, now, n);
            plain.push((rank, n));
        }
        if rng.random_bool(0.95) && !plain.is_empty() {
            let key = |at: &usize| {
                let it = plain[*at].0;
                (!it.pinned, it.priority, now > it.aim, it.cost * it.statements)
            };
            let first = (0..plain.len()).min_by_key(key).unwrap();
            it.end();
            assert_eq!(it.next(now), Some(plain.remove(first).1), "{n}");
        }
    }
    assert_eq!(it.take_lifted(), 0);
}
