//! Scheduling of statements at an overloaded server.

use {
    pondtrack_core::scheduler::{Rank, Scheduler, Share},
    rand::{RngExt, SeedableRng},
    rand_pcg::Pcg64Mcg,
    rstest::rstest,
};

const NO_OWNER: Share = Share { owner: 0, weight: 0 };
const RANK: Rank = Rank {
    share: NO_OWNER,
    pinned: false,
    priority: 2,
    soft_deadline: 1_000,
    kind: 1,
    cost: 20,
    statements: 1,
};

#[rstest]
#[case::open_transaction(Rank { pinned: true, priority: 9, ..RANK }, Rank { priority: 0, ..RANK })]
#[case::priority(Rank { priority: 1, cost: 90, ..RANK }, RANK)]
#[case::deadline_not_passed(Rank { soft_deadline: 900, cost: 90, ..RANK }, Rank { soft_deadline: 400, ..RANK })]
#[case::shorter_work(RANK, Rank { cost: 40, ..RANK })]
#[case::fewer_statements(RANK, Rank { cost: 15, statements: 4, ..RANK })]
fn order_of_two_queued_statements(#[case] first: Rank, #[case] second: Rank) {
    for (a, b) in [(0, 1), (1, 0)] {
        let mut scheduler = Scheduler::default();
        while scheduler.try_start() {}
        let ranks = [first, second];
        scheduler.enqueue(ranks[a], 0, a);
        scheduler.enqueue(ranks[b], 0, b);
        scheduler.finish();
        assert_eq!(scheduler.dequeue(500), Some(0));
    }
}

#[test]
fn equal_statements_run_in_order_of_arrival() {
    let mut scheduler = Scheduler::default();
    while scheduler.try_start() {}
    for n in 0..3 {
        scheduler.enqueue(RANK, 0, n);
    }
    for n in 0..3 {
        scheduler.finish();
        assert_eq!(scheduler.dequeue(0), Some(n));
    }
    assert_eq!(scheduler.dequeue(0), None, "the queue is empty");
}

#[test]
fn slow_responses_reduce_the_limit_to_one_and_fast_ones_restore_it() {
    let mut scheduler = Scheduler::<()>::default();
    let initial = scheduler.limit();
    for _ in 0..50 {
        scheduler.adjust_limit(false);
    }
    assert_eq!(scheduler.limit(), 1);
    assert!(scheduler.try_start());
    assert!(!scheduler.try_start());
    for _ in 0..50 {
        scheduler.adjust_limit(true);
    }
    assert_eq!(scheduler.limit(), initial);
}

#[test]
fn new_statements_do_not_overtake_the_queue() {
    let mut scheduler = Scheduler::default();
    while scheduler.try_start() {}
    scheduler.enqueue(RANK, 0, ());
    scheduler.finish();
    assert!(!scheduler.try_start(), "the free permit belongs to the queued statement");
    assert_eq!(scheduler.dequeue(0), Some(()));
}

#[test]
fn a_shared_limit_can_exceed_the_limit_of_one_instance() {
    let mut scheduler = Scheduler::<()>::default();
    scheduler.set_max_limit(16);
    for _ in 0..500 {
        scheduler.adjust_limit(true);
    }
    assert_eq!(scheduler.limit(), 16);
    scheduler.reset_limit();
    assert!(scheduler.limit() < 16 && !scheduler.is_limit_reduced());
}

#[test]
fn a_server_counts_as_overloaded_for_a_while_after_the_last_queued_statement() {
    let mut scheduler = Scheduler::default();
    while scheduler.try_start() {}
    assert!(!scheduler.is_overloaded(5));
    scheduler.enqueue(RANK, 10, ());
    scheduler.finish();
    assert_eq!(scheduler.dequeue(20), Some(()));
    assert!(scheduler.is_overloaded(900_000));
    assert!(!scheduler.is_overloaded(1_100_000));
}

#[test]
fn statements_that_would_wait_too_long_are_rejected_immediately() {
    let mut scheduler = Scheduler::default();
    while scheduler.try_start() {}
    for n in 0..40 {
        scheduler.enqueue(RANK, 0, n);
    }
    // A permit is released every 20 ticks.
    for n in 1..=10 {
        scheduler.finish();
        assert_eq!(scheduler.dequeue(n * 20), Some(n - 1));
    }
    // Thirty statements are ahead, which takes 600 ticks.
    assert!(scheduler.should_reject(Rank { soft_deadline: 1_200, ..RANK }, 200), "1,000 ticks are left");
    assert!(!scheduler.should_reject(Rank { soft_deadline: 3_200, ..RANK }, 200), "3,000 ticks are left");
    assert!(
        !scheduler.should_reject(Rank { priority: 1, soft_deadline: 1_200, ..RANK }, 200),
        "it has a higher priority"
    );
    assert!(
        !scheduler.should_reject(Rank { pinned: true, soft_deadline: 1_200, ..RANK }, 200),
        "its transaction is open"
    );
}

#[test]
fn nothing_is_rejected_while_the_queue_is_empty() {
    let mut scheduler = Scheduler::<()>::default();
    while scheduler.try_start() {}
    assert!(!scheduler.should_reject(Rank { soft_deadline: 0, ..RANK }, 500));
}

/// An instance that overestimates the cost of its statements gets as many permits as others.
///
/// Guards against starvation by the instances' own estimates. An instance that had few statements served, all after a long
/// wait, overestimates their cost: instances with 1 to 3 served statements estimated 20 to 104 ms, those with 380 to 858
/// estimated 4 to 25 ms. Shorter work goes first and rejected statements are never measured, so the estimate doesn't
/// recover.
#[test]
fn the_estimate_of_an_instance_does_not_change_its_share_of_permits() {
    let mut scheduler = Scheduler::default();
    while scheduler.try_start() {}
    let wait =
        |s: &mut Scheduler<usize>, at: usize, now| s.enqueue(Rank { cost: [20, 200][at], ..RANK }, now, at);
    let mut served = [0, 0];
    wait(&mut scheduler, 0, 0);
    wait(&mut scheduler, 1, 0);
    for now in 1..=100 {
        scheduler.finish();
        let at = scheduler.dequeue(now).expect("two statements are queued");
        served[at] += 1;
        wait(&mut scheduler, at, now);
    }
    assert!(served[1] >= 40, "{served:?}");
}

const MS: u64 = 1_000;
/// Duration of a simulation.
const DURATION: u64 = 60_000 * MS;

/// Demand of one owner for one kind of work.
#[derive(Clone, Copy)]
struct Demand {
    rank: Rank,
    /// Part of the server's capacity.
    load: f64,
}

/// Outcome of one demand.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    requests: u32,
    in_time: u32,
    rejected: u32,
    /// Part of the server's time.
    part: f64,
}

impl Outcome {
    fn in_time_ratio(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.requests)
    }
}

fn demand(owner: u64, priority: u8, cost: u64, load: f64) -> Demand {
    let share = Share { owner, weight: 1 };
    // In a simulation, the deadline is relative to the arrival.
    let rank = Rank {
        share,
        pinned: false,
        priority,
        soft_deadline: 200 * MS,
        kind: u64::from(priority),
        cost,
        statements: 1,
    };
    Demand { rank, load }
}

/// Simulates a server that runs one statement at a time for a minute, with random arrivals. Returns the outcome of each
/// demand and the maximum number of tracked owners.
fn simulate(all: &[Demand], seed: u64) -> (Vec<Outcome>, usize) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut scheduler = Scheduler::default();
    for _ in 0..50 {
        scheduler.adjust_limit(false);
    }
    let mut outcomes = vec![Outcome::default(); all.len()];
    let mut gap = |at: usize| {
        let mean = all[at].rank.cost as f64 / all[at].load;
        (-(1.0 - rng.random::<f64>()).ln() * mean) as u64
    };
    let mut next: Vec<u64> = (0..all.len()).map(&mut gap).collect();
    let (mut tracked, mut runs): (usize, Option<(u64, usize, u64)>) = (0, None);
    loop {
        let at = (0..next.len()).min_by_key(|at| next[*at]).expect("there is a demand");
        let now = runs.map_or(next[at], |run| run.0.min(next[at]));
        if now >= DURATION {
            return (outcomes, tracked);
        }
        tracked = tracked.max(scheduler.tracked_owners());
        scheduler.retain(|(_, soft_deadline): &(usize, u64)| *soft_deadline > now);
        match runs.filter(|run| run.0 == now) {
            Some((_, kind, soft_deadline)) => {
                outcomes[kind].in_time += u32::from(now <= soft_deadline + all[kind].rank.cost);
                outcomes[kind].part += all[kind].rank.cost as f64 / DURATION as f64;
                scheduler.finish();
                runs = scheduler
                    .dequeue(now)
                    .map(|(at, soft_deadline)| (now + all[at].rank.cost, at, soft_deadline));
            }
            None => {
                next[at] += gap(at).max(1);
                outcomes[at].requests += 1;
                let rank = Rank { soft_deadline: now + all[at].rank.soft_deadline, ..all[at].rank };
                if scheduler.should_reject(rank, now) {
                    outcomes[at].rejected += 1;
                } else if scheduler.try_start() {
                    runs = Some((now + rank.cost, at, rank.soft_deadline));
                } else {
                    scheduler.enqueue(rank, now, (at, rank.soft_deadline));
                }
            }
        }
    }
}

/// Ten organisations whose usual demand is eight tenths of the server's capacity. One of them sends ten times its usual
/// demand, which must not delay the others.
#[rstest]
fn a_flood_does_not_delay_other_owners(#[values(1, 2, 3)] seed: u64) {
    let mut all: Vec<Demand> = (1..=9).map(|owner| demand(owner, 2, 10 * MS, 0.08)).collect();
    all.push(demand(10, 2, 10 * MS, 0.8));
    let (outcomes, _) = simulate(&all, seed);
    for o in &outcomes[..9] {
        assert!(o.in_time_ratio() >= 0.95, "{o:?}");
    }
    assert!(outcomes[9].part >= 0.2, "the flood uses the remaining capacity: {:?}", outcomes[9]);
}

/// The flood is of the most urgent priority and the others' work is ordinary: priority must not exceed the owner's share.
#[rstest]
fn an_urgent_flood_has_priority_only_within_its_share(#[values(1, 2, 3)] seed: u64) {
    let mut all: Vec<Demand> = (1..=9).map(|owner| demand(owner, 2, 10 * MS, 0.08)).collect();
    all.push(demand(10, 1, 5 * MS, 0.8));
    let (outcomes, _) = simulate(&all, seed);
    for o in &outcomes[..9] {
        assert!(o.in_time_ratio() >= 0.95, "{o:?}");
    }
}

/// Ten organisations with equal demands of twice the server's capacity, a small part of it urgent. An owner's ordinary
/// work must not use up the share that its urgent work needs.
#[rstest]
fn ordinary_work_does_not_delay_urgent_work_of_its_owner(#[values(1, 2, 3)] seed: u64) {
    let ordinary = (1..=10).map(|owner| demand(owner, 2, 10 * MS, 0.2));
    let urgent = (1..=10).map(|owner| Demand {
        rank: Rank { soft_deadline: 60 * MS, ..demand(owner, 1, 5 * MS, 0.02).rank },
        load: 0.02,
    });
    let all: Vec<Demand> = urgent.chain(ordinary).collect();
    let (outcomes, _) = simulate(&all, seed);
    let sum = |field: fn(&Outcome) -> u32| outcomes[..10].iter().map(field).sum::<u32>();
    let (in_time, requests) = (sum(|o| o.in_time), sum(|o| o.requests));
    assert!(f64::from(in_time) >= 0.95 * f64::from(requests), "{in_time} of {requests}");
}

/// Three kinds of work in equal parts, of one organisation, up to ten times the server's capacity. Without a minimum share
/// the lower priorities would starve.
#[rstest]
fn no_kind_of_work_starves(#[values(1.0, 2.0, 4.0, 10.0)] load: f64, #[values(1, 2, 3)] seed: u64) {
    let all = [
        demand(7, 1, 5 * MS, load / 3.0),
        demand(7, 2, 10 * MS, load / 3.0),
        demand(7, 3, 20 * MS, load / 3.0),
    ];
    let (outcomes, _) = simulate(&all, seed);
    for o in &outcomes {
        assert!(o.part >= 0.03, "{load}: {outcomes:?}");
    }
    assert!(outcomes[0].part >= 0.3, "{load}: urgent work has priority: {outcomes:?}");
}

#[test]
fn an_owner_returns_without_credit_or_debt() {
    let mut scheduler = Scheduler::default();
    for _ in 0..50 {
        scheduler.adjust_limit(false);
    }
    assert!(scheduler.try_start());
    let rank = |owner| Rank { soft_deadline: u64::MAX, cost: 10 * MS, ..demand(owner, 2, 10 * MS, 1.0).rank };
    for n in 0..1_000 {
        scheduler.enqueue(rank(1), n, 1);
        scheduler.enqueue(rank(1), n, 1);
        scheduler.finish();
        assert_eq!(scheduler.dequeue(n), Some(1));
    }
    for _ in 0..100 {
        scheduler.enqueue(rank(2), 1_000, 2);
    }
    let mut permits = [0, 0];
    for n in 0..40 {
        scheduler.finish();
        permits[scheduler.dequeue(1_000 + n).unwrap() - 1] += 1;
    }
    assert!(permits[0].min(permits[1]) >= 15, "{permits:?}");
}

#[test]
fn permits_are_in_proportion_to_weights() {
    let mut scheduler = Scheduler::default();
    for _ in 0..50 {
        scheduler.adjust_limit(false);
    }
    assert!(scheduler.try_start());
    for (owner, weight) in [(1, 1), (2, 3)] {
        let share = Share { owner, weight };
        for _ in 0..1_000 {
            scheduler.enqueue(Rank { share, soft_deadline: u64::MAX, cost: 10 * MS, ..RANK }, 0, owner);
        }
    }
    let mut permits = [0, 0];
    for n in 0..400 {
        scheduler.finish();
        permits[scheduler.dequeue(n).unwrap() as usize - 1] += 1;
    }
    assert!((90..=115).contains(&permits[0]), "{permits:?}");
}

#[test]
fn idle_owners_are_removed() {
    let mut scheduler = Scheduler::default();
    for _ in 0..50 {
        scheduler.adjust_limit(false);
    }
    assert!(scheduler.try_start());
    let rank = |owner| Rank { soft_deadline: u64::MAX, ..demand(owner, 2, 10 * MS, 1.0).rank };
    // The first owner always has queued statements.
    for _ in 0..20_000 {
        scheduler.enqueue(rank(1), 0, 1);
    }
    let mut max_idle = 0;
    for owner in 2..10_000 {
        scheduler.enqueue(rank(owner), 0, owner);
        scheduler.finish();
        assert!(scheduler.dequeue(owner).is_some());
        max_idle = max_idle.max(scheduler.tracked_owners() - scheduler.queued_owners());
    }
    assert!(max_idle <= 256, "{max_idle} of 10,000 idle owners are tracked");
    while scheduler.queued_owners() > 1 {
        scheduler.finish();
        assert!(scheduler.dequeue(10_000).is_some());
    }
    for n in 0..10 {
        scheduler.finish();
        assert_eq!(scheduler.dequeue(20_000 + n), Some(1));
    }
    assert_eq!(scheduler.tracked_owners(), 1);
}

#[test]
fn a_flood_is_rejected_and_other_owners_are_not() {
    let mut scheduler = Scheduler::default();
    for _ in 0..50 {
        scheduler.adjust_limit(false);
    }
    assert!(scheduler.try_start());
    let rank = |owner, now| Rank { soft_deadline: now + 200 * MS, ..demand(owner, 2, 10 * MS, 1.0).rank };
    let mut now = 0;
    for _ in 0..40 {
        scheduler.enqueue(rank(1, now), now, 1);
    }
    for _ in 0..10 {
        now += 10 * MS;
        scheduler.finish();
        assert_eq!(scheduler.dequeue(now), Some(1));
    }
    assert!(scheduler.should_reject(rank(1, now), now), "thirty statements of the same owner are ahead");
    assert!(
        !scheduler.should_reject(rank(2, now), now),
        "only a few statements of the other owner are ahead"
    );
}

/// The order without owners: open transactions, priority, deadlines not passed, shorter work, arrival.
#[rstest]
fn without_owners_the_order_is_that_of_a_plain_sort(#[values(1, 2, 3, 4)] seed: u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut scheduler = Scheduler::default();
    while scheduler.try_start() {}
    let costs = [2 * MS, 7 * MS, 30 * MS];
    let mut expected: Vec<(Rank, usize)> = Vec::new();
    for n in 0..5_000 {
        let now = n as u64 * MS;
        for _ in 0..rng.random_range(0..3) {
            let kind = rng.random_range(0..3);
            let soft_deadline = now + rng.random_range(0..400) * MS;
            let (pinned, priority) = (rng.random_bool(0.1), rng.random_range(0..3));
            let statements = if rng.random_bool(0.2) { 4 } else { 1 };
            let (share, cost) = (NO_OWNER, costs[kind]);
            let rank = Rank { share, pinned, priority, soft_deadline, kind: kind as u64, cost, statements };
            scheduler.enqueue(rank, now, n);
            expected.push((rank, n));
        }
        if rng.random_bool(0.95) && !expected.is_empty() {
            let key = |at: &usize| {
                let r = expected[*at].0;
                (!r.pinned, r.priority, now > r.soft_deadline, r.cost * r.statements)
            };
            let first = (0..expected.len()).min_by_key(key).unwrap();
            scheduler.finish();
            assert_eq!(scheduler.dequeue(now), Some(expected.remove(first).1), "{n}");
        }
    }
    assert_eq!(scheduler.take_min_share_permits(), 0);
}
