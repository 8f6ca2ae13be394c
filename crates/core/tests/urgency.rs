//! Distribution of an organisation's tokens by priority when it exceeds its quota.
//!
//! Without a reservation for more urgent callers, less urgent ones use up the tokens. Without a minimum for less urgent
//! callers, they are never served. Without distinct retry times, refused callers retry together and are refused again.

use {
    pondtrack_core::{
        quota::{Demand, Grant, Limiter, Limits, MAX_DELAY, MIN_LOAN_DURATION, SLOTS, SlotSet},
        retry_after::RetryAfter,
    },
    pondtrack_proto::Name,
    rand::{RngExt, SeedableRng},
    rand_pcg::Pcg64Mcg,
    rstest::rstest,
    std::{cmp::Reverse, collections::BinaryHeap},
};

/// Microseconds in a second.
const SECOND: u64 = 1_000_000;
const LIMITS: Limits = Limits { rate: 60.0, burst: 30.0, margin: 0.0 };
/// Weight of each priority among the callers, in eighths.
const WEIGHTS: [f64; 3] = [1.0, 5.0, 2.0];
/// Time for which a caller waits for one operation, including retries.
const CALLER_TIMEOUT: u64 = SECOND;
/// Maximum number of retries of a caller.
const MAX_RETRIES: u32 = 2;
/// Maximum network jitter of a retry.
const JITTER: u64 = 2_000;
/// Number of instances that lend their shares.
const LENDERS: usize = 9;
/// Interval between renewals of the loans.
const RENEWAL_INTERVAL: u64 = 400_000;
/// Duration of a simulation.
const DURATION: u64 = 20 * SECOND;

/// Arrival pattern of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Pattern {
    /// Poisson arrivals.
    Evenly,
    /// Four simultaneous batches per second.
    Waves,
}

/// Outcome of the callers of one priority.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    callers: u32,
    granted: u32,
    /// Number of retries at scheduled times.
    retried: u32,
    /// Number of retries that were refused.
    refused: u32,
}

/// Simulation of an organisation's callers and its limiter.
struct Simulation {
    rng: Pcg64Mcg,
    limiter: Limiter,
    now: u64,
    seq: u64,
    renewed_at: u64,
    /// True if claims state their urgency.
    prioritised: bool,
    outcomes: [Outcome; 3],
    /// Time of each granted operation.
    granted: Vec<u64>,
    /// Pending claims: time, priority, deadline and number of retries so far.
    pending: BinaryHeap<Reverse<(u64, u8, u64, u32)>>,
    /// Retry times given to callers, with their priority.
    retries: Vec<(u8, u64)>,
}

impl Simulation {
    fn new(seed: u64, prioritised: bool) -> Simulation {
        let mut sim = Simulation {
            rng: Pcg64Mcg::seed_from_u64(seed),
            limiter: Limiter::new(1),
            now: SECOND,
            seq: 0,
            renewed_at: 0,
            prioritised,
            outcomes: Default::default(),
            granted: Vec::new(),
            pending: BinaryHeap::new(),
            retries: Vec::new(),
        };
        sim.lend();
        sim
    }

    fn lend(&mut self) {
        let mut slots = SlotSet::default();
        (0..SLOTS).for_each(|slot| slots.insert(slot));
        let timestamp = Some(self.limiter.timestamp(self.now));
        self.seq += 1;
        self.renewed_at = self.now;
        for n in 0..LENDERS {
            let name = Name::from(format!("n{n}"));
            self.limiter.accept(&name, self.seq, slots, 1.0 / LENDERS as f64, timestamp, self.now);
        }
    }

    /// Schedules callers that arrive within `duration` microseconds of the current simulated time, at `load` times the
    /// rate of the quota.
    fn add_callers(&mut self, load: f64, pattern: Pattern, duration: u64) {
        let end = self.now + duration;
        for (priority, weight) in WEIGHTS.iter().enumerate() {
            let rate = LIMITS.rate * load * weight / WEIGHTS.iter().sum::<f64>();
            let mut at = self.now as f64;
            loop {
                at += -self.rng.random_range(f64::EPSILON..1.0).ln() / rate * SECOND as f64;
                if at >= end as f64 {
                    break;
                }
                let arrival = match pattern {
                    Pattern::Evenly => at as u64,
                    Pattern::Waves => {
                        at as u64 / (SECOND / 4) * (SECOND / 4) + self.rng.random_range(0..JITTER)
                    }
                };
                self.outcomes[priority].callers += 1;
                self.pending.push(Reverse((
                    arrival.max(self.now),
                    priority as u8,
                    arrival + CALLER_TIMEOUT,
                    0,
                )));
            }
        }
    }

    /// Processes all claims.
    fn run(&mut self) {
        self.run_until(u64::MAX);
    }

    /// Processes the claims before a time.
    fn run_until(&mut self, until: u64) {
        while let Some(Reverse((at, priority, end, tries))) = self.pending.pop() {
            if at >= until {
                self.now = until;
                return;
            }
            while self.renewed_at + RENEWAL_INTERVAL <= at {
                self.now = self.renewed_at + RENEWAL_INTERVAL;
                self.lend();
            }
            self.now = at;
            self.claim(priority, end, tries);
        }
    }

    fn claim(&mut self, priority: u8, end: u64, tries: u32) {
        let left = end.saturating_sub(self.now);
        let demand =
            if self.prioritised { Demand::prioritised(1, priority, left) } else { Demand::unprioritised(1) };
        let grant = self.limiter.claim(&Name::from("acme"), LIMITS, demand, self.now);
        let outcome = &mut self.outcomes[usize::from(priority)];
        outcome.retried += u32::from(tries > 0);
        match grant {
            Grant::Granted { count, after, .. } => {
                assert!(after <= MAX_DELAY + 1);
                outcome.granted += count;
                self.granted.push(self.now + after);
            }
            Grant::Refused(schedule) => {
                outcome.refused += u32::from(tries > 0);
                if let RetryAfter::Room { after } = schedule.retry_after(0, Some(left)) {
                    self.retries.push((priority, self.now + after));
                    let at = self.now + after + self.rng.random_range(0..JITTER);
                    if tries < MAX_RETRIES && at < end {
                        self.pending.push(Reverse((at, priority, end, tries + 1)));
                    }
                }
            }
        }
    }

    fn total(&self) -> f64 {
        self.granted.len() as f64
    }

    /// Returns the maximum excess over the limit in any window. Negative if all grants are within the limit.
    fn max_excess(&self) -> f64 {
        let mut max = f64::MIN;
        let mut all = self.granted.clone();
        all.sort_unstable();
        for (n, from) in all.iter().enumerate() {
            for (count, to) in all[n..].iter().enumerate() {
                let window = (to - from + MAX_DELAY) as f64 / SECOND as f64;
                max = max.max((count + 1) as f64 - LIMITS.rate * window - LIMITS.burst);
            }
        }
        max
    }
}

fn simulate(load: f64, pattern: Pattern, seed: u64, prioritised: bool) -> Simulation {
    let mut sim = Simulation::new(seed, prioritised);
    sim.add_callers(load, pattern, DURATION);
    sim.run();
    sim
}

/// Returns the number of grants available to the most urgent callers: their demand, or the limit without the minimum of
/// the others.
fn attainable(sim: &Simulation) -> f64 {
    let max = LIMITS.rate * (DURATION / SECOND) as f64 * 0.9;
    f64::from(sim.outcomes[0].callers).min(max)
}

#[rstest]
fn most_urgent_callers_are_served_at_any_load(
    #[values(Pattern::Evenly, Pattern::Waves)] pattern: Pattern,
    #[values(1.0, 2.0, 4.0, 7.5)] load: f64,
) {
    for seed in 0..5 {
        let sim = simulate(load, pattern, seed, true);
        let part = f64::from(sim.outcomes[0].granted) / attainable(&sim);
        let parts = sim.outcomes.map(|class| f64::from(class.granted) / f64::from(class.callers));
        println!("{pattern:?}, {load}, seed {seed}: granted {parts:.2?}");
        assert!(part >= 0.95, "seed {seed}: {part}");
    }
}

#[rstest]
fn least_urgent_callers_keep_a_minimum(
    #[values(Pattern::Evenly, Pattern::Waves)] pattern: Pattern,
    #[values(1.0, 2.0, 4.0, 7.5)] load: f64,
) {
    for seed in 0..5 {
        let sim = simulate(load, pattern, seed, true);
        for class in &sim.outcomes[1..] {
            let min = f64::from(class.callers).min(sim.total() * 0.05) * 0.85;
            assert!(f64::from(class.granted) >= min, "seed {seed}: {class:?}, at least {min}");
        }
    }
}

/// Tokens left in the bucket at the end count as well, as they are available to the next claim.
#[rstest]
fn accrued_tokens_are_granted_and_no_more(
    #[values(Pattern::Evenly, Pattern::Waves)] pattern: Pattern,
    #[values(2.0, 4.0, 7.5)] load: f64,
) {
    for seed in 0..5 {
        let mut sim = Simulation::new(seed, true);
        sim.add_callers(load, pattern, DURATION);
        sim.run_until(SECOND + DURATION);
        let left = match sim.limiter.claim(&Name::from("acme"), LIMITS, Demand::unprioritised(1_000), sim.now)
        {
            Grant::Granted { count, .. } => f64::from(count),
            Grant::Refused(_) => 0.0,
        };
        let accrued = LIMITS.rate * (sim.now - SECOND + MAX_DELAY) as f64 / SECOND as f64;
        let all = sim.total() + left;
        assert!((accrued - 1.01..=accrued).contains(&all), "seed {seed}: {all} of {accrued}");
        assert!(sim.max_excess() <= 0.0, "seed {seed}: {} above the limit in a window", sim.max_excess());
    }
}

#[rstest]
fn scheduled_retries_are_granted(
    #[values(Pattern::Evenly, Pattern::Waves)] pattern: Pattern,
    #[values(1.0, 2.0, 4.0, 7.5)] load: f64,
) {
    let (mut retried, mut refused) = (0, 0);
    for seed in 0..5 {
        let mut sim = simulate(load, pattern, seed, true);
        retried += sim.outcomes.iter().map(|class| class.retried).sum::<u32>();
        refused += sim.outcomes.iter().map(|class| class.refused).sum::<u32>();
        let retries = sim.retries.len();
        sim.retries.sort_unstable();
        sim.retries.dedup();
        assert_eq!(retries, sim.retries.len(), "seed {seed}: two callers have the same retry time");
    }
    let part = f64::from(refused) / f64::from(retried.max(1));
    println!("{pattern:?}, {load}: {refused} of {retried} retries refused");
    assert!(retried > 20 && part < 0.1, "{refused} of {retried}");
}

/// Holds as well if the bucket is empty at first, as after a loss of all instances, and fills while callers arrive.
#[rstest]
#[case(Pattern::Evenly, 0.4, 0)]
#[case(Pattern::Evenly, 0.6, SECOND)]
#[case(Pattern::Waves, 0.6, SECOND)]
fn priorities_have_no_effect_below_the_limit(
    #[case] pattern: Pattern,
    #[case] load: f64,
    #[case] pause: u64,
) {
    let grants = |seed: u64, prioritised: bool| {
        let mut sim = Simulation::new(seed, prioritised);
        sim.now += pause;
        sim.lend();
        sim.add_callers(load, pattern, DURATION);
        sim.run();
        sim.granted
    };
    for seed in 0..5 {
        assert!(grants(seed, false) == grants(seed, true), "seed {seed}");
    }
}

/// A burst of the least urgent callers on a full bucket is granted completely, although more urgent ones arrive from
/// time to time.
#[test]
fn burst_after_a_pause_takes_all_tokens() {
    let simulate = |prioritised: bool| {
        let mut sim = Simulation::new(1, prioritised);
        for n in 0..120_u64 {
            sim.now += SECOND / 10;
            if sim.renewed_at + RENEWAL_INTERVAL <= sim.now {
                sim.lend();
            }
            sim.claim(0, sim.now, 0);
            if n % 20 == 19 {
                (0..40).for_each(|_| sim.claim(2, sim.now, 0));
            }
        }
        sim.granted.retain(|at| *at > 5 * SECOND);
        sim.granted
    };
    let (plain, prioritised) = (simulate(false), simulate(true));
    assert!(plain.len() > 150 && plain == prioritised, "{} and {}", plain.len(), prioritised.len());
}

/// Compares unprioritised claims with a second implementation of the token bucket.
#[test]
fn unprioritised_claims_are_granted_in_order_of_arrival() {
    let mut sim = Simulation::new(7, false);
    let ahead = LIMITS.rate * MAX_DELAY as f64 / SECOND as f64;
    let (mut level, mut last) = (0.0_f64, sim.now);
    for _ in 0..5_000 {
        sim.now += sim.rng.random_range(0..20_000);
        if sim.renewed_at + RENEWAL_INTERVAL <= sim.now {
            sim.lend();
        }
        level = (level + LIMITS.rate * (sim.now - last) as f64 / SECOND as f64).min(LIMITS.burst);
        last = sim.now;
        let count = sim.rng.random_range(1..4);
        let expected = (level + ahead).floor().clamp(0.0, f64::from(count));
        level -= expected;
        let missing = if expected == 0.0 { 1.0 - ahead - level } else { (-level).max(0.0) };
        let delay = (missing / LIMITS.rate * SECOND as f64) as u64;
        match sim.limiter.claim(&Name::from("acme"), LIMITS, Demand::unprioritised(count), sim.now) {
            Grant::Granted { count, after, .. } => {
                assert_eq!(f64::from(count), expected);
                assert!(after.abs_diff(delay) <= 5, "{after}, {delay}");
            }
            Grant::Refused(schedule) => {
                assert_eq!((expected, schedule.step, schedule.reserved), (0.0, 0, false));
                assert!(schedule.after.abs_diff(delay) <= 5, "{schedule:?}, {delay}");
            }
        }
    }
}

#[test]
fn bound_and_minimum_hold_after_a_limiter_restart() {
    for seed in 0..5 {
        let mut sim = Simulation::new(seed, true);
        sim.add_callers(4.0, Pattern::Evenly, DURATION / 2);
        sim.run();
        let before = sim.outcomes;
        // The new process has no state of the previous one. Shares are lent to it after the old loans have expired.
        sim.limiter = Limiter::new(2);
        sim.now += MIN_LOAN_DURATION;
        sim.lend();
        sim.add_callers(4.0, Pattern::Evenly, DURATION / 2);
        sim.run();
        assert!(sim.max_excess() <= 0.0, "seed {seed}: {} above the limit in a window", sim.max_excess());
        for (priority, min) in [(0, 0.95), (2, 0.03)] {
            let (now, old) = (sim.outcomes[priority], before[priority]);
            let part = f64::from(now.granted - old.granted) / f64::from(now.callers - old.callers);
            assert!(part >= min, "seed {seed}: {part} of priority {priority}");
        }
    }
}

/// An organisation with fewer operations per second than priorities must not starve any of them.
#[rstest]
#[case(Limits { rate: 1.0, burst: 1.0, margin: 0.0 })]
#[case(Limits { rate: 0.5, burst: 0.0, margin: 2.0 })]
#[case(Limits { rate: 5.0, burst: 3.0, margin: 0.0 })]
fn small_limits_are_shared_by_all_priorities(#[case] limits: Limits) {
    let mut sim = Simulation::new(3, true);
    let mut granted = [0; 3];
    for n in 0..6_000_u64 {
        sim.now += 20_000;
        if sim.renewed_at + RENEWAL_INTERVAL <= sim.now {
            sim.lend();
        }
        let priority = (n % 3) as u8;
        let demand = Demand::prioritised(1, priority, CALLER_TIMEOUT);
        if let Grant::Granted { count, .. } = sim.limiter.claim(&Name::from("acme"), limits, demand, sim.now)
        {
            granted[usize::from(priority)] += count;
        }
    }
    let accrued = limits.rate * 120.0;
    let all: u32 = granted.iter().sum();
    assert!(
        f64::from(all) >= accrued * 0.9 - 3.0 && f64::from(all) <= accrued + limits.margin + 1.0,
        "{granted:?}"
    );
    assert!(granted.iter().all(|n| f64::from(*n) >= accrued * 0.04 - 1.0), "{granted:?} of {accrued}");
}
