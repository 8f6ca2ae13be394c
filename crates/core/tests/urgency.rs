//! Who gets an organisation's tokens where it asks for more than its quota, and whether those who were refused find room
//! when they come back.

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
/// Callers of each kind, by priority, of eight.
const MIX: [f64; 3] = [1.0, 5.0, 2.0];
/// The callers' time for one operation.
const PATIENCE: u64 = SECOND;
/// Times that a caller comes back.
const RETRIES: u32 = 2;
/// What a caller's way back varies by.
const JITTER: u64 = 2_000;
/// Instances that lend their shares, how often they do, and for how long all is played.
const LENDERS: usize = 9;
const PERIOD: u64 = 400_000;
const PLAYED: u64 = 20 * SECOND;

/// How callers come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Pattern {
    Evenly,
    /// Four times a second, all at once.
    Waves,
}

/// What became of the callers of a kind.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    callers: u32,
    granted: u32,
    /// Came back at their places, and found no room.
    back: u32,
    again: u32,
}

/// An organisation's callers before its limiter.
struct World {
    rng: Pcg64Mcg,
    limiter: Limiter,
    now: u64,
    seq: u64,
    lent: u64,
    /// Whether claims say how urgent they are.
    urgent: bool,
    kinds: [Tally; 3],
    /// When each grant began.
    granted: Vec<u64>,
    /// Callers that come: when, of which kind, until when, how often they came before.
    coming: BinaryHeap<Reverse<(u64, u8, u64, u32)>>,
    /// The moments that callers were told.
    told: Vec<(u8, u64)>,
}

impl World {
    fn new(seed: u64, urgent: bool) -> World {
        let mut it = World {
            rng: Pcg64Mcg::seed_from_u64(seed),
            limiter: Limiter::new(1),
            now: SECOND,
            seq: 0,
            lent: 0,
            urgent,
            kinds: Default::default(),
            granted: Vec::new(),
            coming: BinaryHeap::new(),
            told: Vec::new(),
        };
        it.lend();
        it
    }

    fn lend(&mut self) {
        let mut slots = SlotSet::default();
        (0..SLOTS).for_each(|slot| slots.insert(slot));
        let stamp = Some(self.limiter.timestamp(self.now));
        self.seq += 1;
        self.lent = self.now;
        for it in 0..LENDERS {
            let name = Name::from(format!("n{it}"));
            self.limiter.accept(&name, self.seq, slots, 1.0 / LENDERS as f64, stamp, self.now);
        }
    }

    /// Callers at some times the quota, from now on.
    fn call(&mut self, load: f64, pattern: Pattern, long: u64) {
        let end = self.now + long;
        for (priority, weight) in MIX.iter().enumerate() {
            let rate = LIMITS.rate * load * weight / MIX.iter().sum::<f64>();
            let mut at = self.now as f64;
            loop {
                at += -self.rng.random_range(f64::EPSILON..1.0).ln() / rate * SECOND as f64;
                if at >= end as f64 {
                    break;
                }
                let came = match pattern {
                    Pattern::Evenly => at as u64,
                    Pattern::Waves => {
                        at as u64 / (SECOND / 4) * (SECOND / 4) + self.rng.random_range(0..JITTER)
                    }
                };
                self.kinds[priority].callers += 1;
                self.coming.push(Reverse((came.max(self.now), priority as u8, came + PATIENCE, 0)));
            }
        }
    }

    /// Lets all callers come.
    fn play(&mut self) {
        self.play_until(u64::MAX);
    }

    /// Lets those come that come before a time.
    fn play_until(&mut self, until: u64) {
        while let Some(Reverse((at, priority, end, tries))) = self.coming.pop() {
            if at >= until {
                self.now = until;
                return;
            }
            while self.lent + PERIOD <= at {
                self.now = self.lent + PERIOD;
                self.lend();
            }
            self.now = at;
            self.claim(priority, end, tries);
        }
    }

    fn claim(&mut self, priority: u8, end: u64, tries: u32) {
        let left = end.saturating_sub(self.now);
        let demand =
            if self.urgent { Demand::prioritised(1, priority, left) } else { Demand::unprioritised(1) };
        let grant = self.limiter.claim(&Name::from("acme"), LIMITS, demand, self.now);
        let it = &mut self.kinds[usize::from(priority)];
        it.back += u32::from(tries > 0);
        match grant {
            Grant::Granted { count, after, .. } => {
                assert!(after <= MAX_DELAY + 1);
                it.granted += count;
                self.granted.push(self.now + after);
            }
            Grant::Refused(places) => {
                it.again += u32::from(tries > 0);
                if let RetryAfter::Room { after } = places.retry_after(0, Some(left)) {
                    self.told.push((priority, self.now + after));
                    let back = self.now + after + self.rng.random_range(0..JITTER);
                    if tries < RETRIES && back < end {
                        self.coming.push(Reverse((back, priority, end, tries + 1)));
                    }
                }
            }
        }
    }

    fn total(&self) -> f64 {
        self.granted.len() as f64
    }

    /// How far what was granted in some window is above what the limit allows; below zero if it is within.
    fn most(&self) -> f64 {
        let mut most = f64::MIN;
        let mut all = self.granted.clone();
        all.sort_unstable();
        for (n, from) in all.iter().enumerate() {
            for (count, to) in all[n..].iter().enumerate() {
                let window = (to - from + MAX_DELAY) as f64 / SECOND as f64;
                most = most.max((count + 1) as f64 - LIMITS.rate * window - LIMITS.burst);
            }
        }
        most
    }
}

fn played(load: f64, pattern: Pattern, seed: u64, urgent: bool) -> World {
    let mut it = World::new(seed, urgent);
    it.call(load, pattern, PLAYED);
    it.play();
    it
}

/// What the callers of a kind could get: what they ask for, or what the others' minimum leaves.
fn fair(it: &World) -> f64 {
    let most = LIMITS.rate * (PLAYED / SECOND) as f64 * 0.9;
    f64::from(it.kinds[0].callers).min(most)
}

#[rstest]
fn the_most_urgent_are_served_at_every_load(
    #[values(Pattern::Evenly, Pattern::Waves)] pattern: Pattern,
    #[values(1.0, 2.0, 4.0, 7.5)] load: f64,
) {
    for seed in 0..5 {
        let it = played(load, pattern, seed, true);
        let part = f64::from(it.kinds[0].granted) / fair(&it);
        let parts = it.kinds.map(|kind| f64::from(kind.granted) / f64::from(kind.callers));
        println!("{pattern:?}, {load}, seed {seed}: granted {parts:.2?}");
        assert!(part >= 0.95, "seed {seed}: {part}");
    }
}

#[rstest]
fn the_least_urgent_keep_a_minimum(
    #[values(Pattern::Evenly, Pattern::Waves)] pattern: Pattern,
    #[values(1.0, 2.0, 4.0, 7.5)] load: f64,
) {
    for seed in 0..5 {
        let it = played(load, pattern, seed, true);
        for kind in &it.kinds[1..] {
            let least = f64::from(kind.callers).min(it.total() * 0.05) * 0.85;
            assert!(f64::from(kind.granted) >= least, "seed {seed}: {kind:?}, at least {least}");
        }
    }
}

/// What is left in the bucket at the end counts as well: it is there for the next one.
#[rstest]
fn all_that_comes_in_is_granted_and_no_more(
    #[values(Pattern::Evenly, Pattern::Waves)] pattern: Pattern,
    #[values(2.0, 4.0, 7.5)] load: f64,
) {
    for seed in 0..5 {
        let mut it = World::new(seed, true);
        it.call(load, pattern, PLAYED);
        it.play_until(SECOND + PLAYED);
        let left = match it.limiter.claim(&Name::from("acme"), LIMITS, Demand::unprioritised(1_000), it.now) {
            Grant::Granted { count, .. } => f64::from(count),
            Grant::Refused(_) => 0.0,
        };
        let came = LIMITS.rate * (it.now - SECOND + MAX_DELAY) as f64 / SECOND as f64;
        let all = it.total() + left;
        assert!((came - 1.01..=came).contains(&all), "seed {seed}: {all} of {came}");
        assert!(it.most() <= 0.0, "seed {seed}: {} above the limit in a window", it.most());
    }
}

#[rstest]
fn those_who_come_back_at_their_places_find_room(
    #[values(Pattern::Evenly, Pattern::Waves)] pattern: Pattern,
    #[values(1.0, 2.0, 4.0, 7.5)] load: f64,
) {
    let (mut back, mut again) = (0, 0);
    for seed in 0..5 {
        let mut it = played(load, pattern, seed, true);
        back += it.kinds.iter().map(|kind| kind.back).sum::<u32>();
        again += it.kinds.iter().map(|kind| kind.again).sum::<u32>();
        let told = it.told.len();
        it.told.sort_unstable();
        it.told.dedup();
        assert_eq!(told, it.told.len(), "seed {seed}: two were told the same moment");
    }
    let part = f64::from(again) / f64::from(back.max(1));
    println!("{pattern:?}, {load}: {again} of {back} found no room");
    assert!(back > 20 && part < 0.1, "{again} of {back}");
}

/// Also where the bucket is empty at first, as after a loss of all, and fills as callers come.
#[rstest]
#[case(Pattern::Evenly, 0.4, 0)]
#[case(Pattern::Evenly, 0.6, SECOND)]
#[case(Pattern::Waves, 0.6, SECOND)]
fn where_there_is_room_for_all_nothing_changes(
    #[case] pattern: Pattern,
    #[case] load: f64,
    #[case] pause: u64,
) {
    let grants = |seed: u64, urgent: bool| {
        let mut it = World::new(seed, urgent);
        it.now += pause;
        it.lend();
        it.call(load, pattern, PLAYED);
        it.play();
        it.granted
    };
    for seed in 0..5 {
        assert!(grants(seed, false) == grants(seed, true), "seed {seed}");
    }
}

/// Of the least urgent, while more urgent ones come now and then: all find room if they come on a full bucket.
#[test]
fn a_burst_after_a_pause_takes_all_that_is_there() {
    let played = |urgent: bool| {
        let mut it = World::new(1, urgent);
        for n in 0..120_u64 {
            it.now += SECOND / 10;
            if it.lent + PERIOD <= it.now {
                it.lend();
            }
            it.claim(0, it.now, 0);
            if n % 20 == 19 {
                (0..40).for_each(|_| it.claim(2, it.now, 0));
            }
        }
        it.granted.retain(|at| *at > 5 * SECOND);
        it.granted
    };
    let (plain, urgent) = (played(false), played(true));
    assert!(plain.len() > 150 && plain == urgent, "{} and {}", plain.len(), urgent.len());
}

/// The rule for operations that aren't told apart, written anew.
#[test]
fn operations_that_arent_told_apart_get_tokens_as_they_come() {
    let mut it = World::new(7, false);
    let ahead = LIMITS.rate * MAX_DELAY as f64 / SECOND as f64;
    let (mut level, mut last) = (0.0_f64, it.now);
    for _ in 0..5_000 {
        it.now += it.rng.random_range(0..20_000);
        if it.lent + PERIOD <= it.now {
            it.lend();
        }
        level = (level + LIMITS.rate * (it.now - last) as f64 / SECOND as f64).min(LIMITS.burst);
        last = it.now;
        let count = it.rng.random_range(1..4);
        let right = (level + ahead).floor().clamp(0.0, f64::from(count));
        level -= right;
        let lacks = if right == 0.0 { 1.0 - ahead - level } else { (-level).max(0.0) };
        let pause = (lacks / LIMITS.rate * SECOND as f64) as u64;
        match it.limiter.claim(&Name::from("acme"), LIMITS, Demand::unprioritised(count), it.now) {
            Grant::Granted { count, after, .. } => {
                assert_eq!(f64::from(count), right);
                assert!(after.abs_diff(pause) <= 5, "{after}, {pause}");
            }
            Grant::Refused(places) => {
                assert_eq!((right, places.step, places.reserved), (0.0, 0, false));
                assert!(places.after.abs_diff(pause) <= 5, "{places:?}, {pause}");
            }
        }
    }
}

#[test]
fn a_limiter_that_starts_again_keeps_the_bound_and_the_minimum() {
    for seed in 0..5 {
        let mut it = World::new(seed, true);
        it.call(4.0, Pattern::Evenly, PLAYED / 2);
        it.play();
        let before = it.kinds;
        // Nothing of the lost one is known; its shares are lent anew once their term is over.
        it.limiter = Limiter::new(2);
        it.now += MIN_LOAN_DURATION;
        it.lend();
        it.call(4.0, Pattern::Evenly, PLAYED / 2);
        it.play();
        assert!(it.most() <= 0.0, "seed {seed}: {} above the limit in a window", it.most());
        for (priority, least) in [(0, 0.95), (2, 0.03)] {
            let (now, old) = (it.kinds[priority], before[priority]);
            let part = f64::from(now.granted - old.granted) / f64::from(now.callers - old.callers);
            assert!(part >= least, "seed {seed}: {part} of priority {priority}");
        }
    }
}

/// An organisation with fewer operations a second than kinds: nobody waits for good.
#[rstest]
#[case(Limits { rate: 1.0, burst: 1.0, margin: 0.0 })]
#[case(Limits { rate: 0.5, burst: 0.0, margin: 2.0 })]
#[case(Limits { rate: 5.0, burst: 3.0, margin: 0.0 })]
fn small_limits_are_used_as_well(#[case] limits: Limits) {
    let mut it = World::new(3, true);
    let mut granted = [0; 3];
    for n in 0..6_000_u64 {
        it.now += 20_000;
        if it.lent + PERIOD <= it.now {
            it.lend();
        }
        let priority = (n % 3) as u8;
        let demand = Demand::prioritised(1, priority, PATIENCE);
        if let Grant::Granted { count, .. } = it.limiter.claim(&Name::from("acme"), limits, demand, it.now) {
            granted[usize::from(priority)] += count;
        }
    }
    let came = limits.rate * 120.0;
    let all: u32 = granted.iter().sum();
    assert!(
        f64::from(all) >= came * 0.9 - 3.0 && f64::from(all) <= came + limits.margin + 1.0,
        "{granted:?}"
    );
    assert!(granted.iter().all(|it| f64::from(*it) >= came * 0.04 - 1.0), "{granted:?} of {came}");
}
