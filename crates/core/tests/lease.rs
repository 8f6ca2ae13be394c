//! The failover lease on a simulated store that loses answers, applies writes late and is restored from older copies.
//!
//! Guards against two holders at a time and against fencing tokens that repeat or decrease: after a restore the record
//! and its revisions revert, so an earlier holder's writes and tokens could be mistaken for current ones.

use {
    pondtrack_core::lease::{ConditionalWrite, Lease, LeaseRecord},
    pondtrack_proto::{Name, Revision},
    rand::{Rng, RngExt, SeedableRng},
    rand_pcg::Pcg64Mcg,
    rstest::rstest,
};

/// Microseconds in a millisecond.
const MS: u64 = 1_000;
/// Timeout of a write, in microseconds.
const WRITE_TIMEOUT: u64 = 500 * MS;
/// Maximum time for which an order is in flight, in microseconds.
const MAX_ORDER: u64 = 500 * MS;

/// A defect injected into the rules, to prove that the check detects it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// Eras are ignored: only the revision counts.
    NoEra,
    /// A record counts regardless of the era in which it was written.
    RecordWithoutEra,
    /// Fencing tokens continue from the value in the restored copy.
    TokenWithoutEra,
    /// An instance that stops releases the lease while its orders are in flight.
    EarlyRelease,
}

/// The events of a simulation besides outages of the store, restarts and pauses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Events {
    /// The store is restored from older copies.
    restores: bool,
    /// Instances are stopped as planned, and give orders as soon as they have acquired the lease.
    stops: bool,
}

const RESTORES: Events = Events { restores: true, stops: false };
const STOPS: Events = Events { restores: false, stops: true };

/// A snapshots state of the store.
#[derive(Clone, Debug)]
struct Snapshot {
    at: u64,
    record: Option<(LeaseRecord, u64)>,
    revision: u64,
}

struct Store {
    era: u64,
    record: Option<(LeaseRecord, u64)>,
    revision: u64,
    snapshots: Vec<Snapshot>,
    /// The store is unavailable before this time.
    down_until: u64,
}

/// A write that is applied after its sender has stopped waiting.
struct DelayedWrite {
    at: u64,
    write: ConditionalWrite,
}

struct Member {
    lease: Lease,
    name: Name,
    /// Time of the next action.
    next: u64,
    /// True if the instance gives no more orders, and releases the lease once its orders have ended.
    stopping: bool,
}

struct Simulation {
    rng: Pcg64Mcg,
    fault: Fault,
    events: Events,
    now: u64,
    store: Store,
    delayed: Vec<DelayedWrite>,
    members: Vec<Member>,
    /// Orders: (time of effect, fencing token, index of the holder).
    orders: Vec<(u64, u64, usize)>,
    /// Time at which the store became available after the last restore; none once there is a holder again.
    restored_at: Option<u64>,
    /// Times without a holder after each restore.
    gaps: Vec<u64>,
}

impl Store {
    /// Applies a write if its condition holds.
    fn write(
        &mut self,
        write: &ConditionalWrite,
        now: u64,
    ) -> Result<Revision, Option<(LeaseRecord, Revision)>> {
        let current = self.record.clone().map(|r| (r.0, Revision::new(self.era, r.1)));
        match (&current, write.revision) {
            (Some(found), Some(expected)) if found.1.number() == expected.number() => {}
            (None, None) => {}
            _ => return Err(current),
        }
        self.revision += 1;
        self.record = Some((write.record.clone(), self.revision));
        self.snapshots.push(Snapshot { at: now, record: self.record.clone(), revision: self.revision });
        Ok(Revision::new(self.era, self.revision))
    }

    /// Restores the state of `age` microseconds ago and begins a new era.
    fn restore(&mut self, age: u64, now: u64) {
        let old = self.snapshots.iter().rfind(|s| s.at + age <= now).cloned();
        let old = old.unwrap_or(Snapshot { at: 0, record: None, revision: 0 });
        self.snapshots.retain(|s| s.at <= old.at);
        (self.record, self.revision) = (old.record, old.revision);
        self.era += 1;
    }
}

impl Simulation {
    fn new(seed: u64, fault: Fault, events: Events) -> Simulation {
        let now = 10_000 * MS;
        let name = |n: usize| Name::from(format!("n{n}"));
        let members = (0..3).map(|n| Member {
            lease: Lease::new(name(n), true, now),
            name: name(n),
            next: now,
            stopping: false,
        });
        Simulation {
            rng: Pcg64Mcg::seed_from_u64(seed),
            fault,
            events,
            now,
            store: Store { era: 0, record: None, revision: 0, snapshots: Vec::new(), down_until: 0 },
            delayed: Vec::new(),
            members: members.collect(),
            orders: Vec::new(),
            restored_at: None,
            gaps: Vec::new(),
        }
    }

    /// The era as reported to an instance.
    fn era(&self) -> u64 {
        if self.fault == Fault::NoEra { 0 } else { self.store.era }
    }

    /// A record as read by an instance.
    fn read(&self, record: LeaseRecord) -> LeaseRecord {
        let era = if self.fault == Fault::RecordWithoutEra { self.era() } else { record.era };
        LeaseRecord { era, ..record }
    }

    fn step(&mut self) {
        self.now += self.rng.random_range(1..40) * MS;
        let now = self.now;
        match self.rng.random_range(0..3_000) {
            0..6 if self.events.restores => {
                let age = self.rng.random_range(0..6_000) * MS;
                self.store.restore(age, now);
                self.store.down_until = now + self.rng.random_range(0..2_000) * MS;
                self.restored_at = Some(self.store.down_until);
            }
            6..12 => self.store.down_until = now + self.rng.random_range(0..4_000) * MS,
            12..18 => {
                let at = self.rng.random_range(0..3);
                let name = self.members[at].name.clone();
                let next = now + self.rng.random_range(100..2_000) * MS;
                let lease = Lease::new(name.clone(), false, next);
                self.members[at] = Member { lease, name, next, stopping: false };
            }
            18..30 => {
                let at = self.rng.random_range(0..3);
                self.members[at].next = now + self.rng.random_range(0..6_000) * MS;
            }
            30..60 if self.events.stops => {
                let at = self.rng.random_range(0..3);
                (self.members[at].stopping, self.members[at].next) = (true, now);
            }
            _ => {}
        }
        let (due, left): (Vec<DelayedWrite>, Vec<DelayedWrite>) =
            std::mem::take(&mut self.delayed).into_iter().partition(|w| w.at <= now);
        self.delayed = left;
        for delayed in due {
            // The sender no longer waits for the result.
            drop(self.store.write(&delayed.write, now));
        }
        for at in 0..self.members.len() {
            if self.members[at].next <= now {
                self.act(at);
            }
        }
        let held = self.members.iter().any(|m| m.lease.held().is_some_and(|held| now < held.expires_at));
        if let Some(since) = self.restored_at.filter(|at| held && *at <= now) {
            self.gaps.push(now - since);
            self.restored_at = None;
        }
    }

    fn act(&mut self, at: usize) {
        let now = self.now;
        self.members[at].next = now + self.rng.random_range(100..700) * MS;
        if let Some(held) = self.members[at].lease.held().filter(|held| now < held.expires_at) {
            // An order takes effect some time after it was sent.
            if !self.members[at].stopping && self.rng.random_bool(0.3) {
                self.orders.push((now + self.rng.random_range(0..MAX_ORDER), held.token, at));
            }
        }
        if self.store.down_until > now {
            return;
        }
        let era = self.era();
        self.members[at].lease.observe_era(era, now);
        if self.members[at].stopping && !(self.has_orders(at) && self.fault != Fault::EarlyRelease) {
            return self.stop(at);
        }
        let mine = self.members[at].lease.held().is_some();
        if !mine {
            let found = self.store.record.clone().map(|r| (self.read(r.0), Revision::new(era, r.1)));
            self.members[at].lease.observe(found, now, now);
        }
        if mine || self.members[at].lease.can_acquire(now) {
            self.write(at);
        }
        if self.events.stops && !mine && self.members[at].lease.held().is_some() {
            // A failover may be due as soon as the lease is acquired.
            self.members[at].next = now + self.rng.random_range(1..50) * MS;
        }
    }

    /// Returns true if an order of a member hasn't taken effect yet.
    fn has_orders(&self, at: usize) -> bool {
        self.orders.iter().any(|order| order.2 == at && order.0 > self.now)
    }

    /// Releases the lease, and starts the instance again some time later.
    fn stop(&mut self, at: usize) {
        let now = self.now;
        if let Some(write) = self.members[at].lease.release() {
            // The lease expires if the release fails.
            drop(self.store.write(&write, now));
        }
        let next = now + self.rng.random_range(100..2_000) * MS;
        let name = self.members[at].name.clone();
        let lease = Lease::new(name.clone(), false, next);
        self.members[at] = Member { lease, name, next, stopping: false };
    }

    fn write(&mut self, at: usize) {
        let (now, nonce) = (self.now, self.rng.next_u64());
        let mut write = self.members[at].lease.acquire_or_renew(nonce, now);
        if self.fault == Fault::TokenWithoutEra {
            write.record.token &= u64::from(u32::MAX);
        }
        match self.rng.random_range(0..20) {
            // Applied later, without an answer.
            0 => {
                let late = now + self.rng.random_range(0..6_000) * MS;
                self.delayed.push(DelayedWrite { at: late, write });
            }
            // Applied now, without an answer.
            1 => drop(self.store.write(&write, now)),
            _ => {
                let outcome = self.store.write(&write, now);
                let answered = now + self.rng.random_range(0..WRITE_TIMEOUT / 10);
                let (record, era) = (write.record, self.era());
                let outcome = outcome.map_err(|current| current.map(|(record, at)| (self.read(record), at)));
                let lease = &mut self.members[at].lease;
                match outcome {
                    Ok(revision) => {
                        lease.write_succeeded(record, Revision::new(era, revision.number()), now, answered)
                    }
                    Err(current) => {
                        let current = current.map(|c| (c.0, Revision::new(era, c.1.number())));
                        match current {
                            Some(current) => drop(lease.write_conflicted(Some(current), now, answered)),
                            None => drop(lease.record_missing(now, answered)),
                        }
                    }
                }
            }
        }
    }

    /// The first pair of orders whose tokens decrease or are shared by two holders.
    fn violation(&self) -> Option<String> {
        let mut orders = self.orders.clone();
        orders.sort_unstable();
        let violates = |pair: &&[(u64, u64, usize)]| {
            let ((_, a, from), (_, b, to)) = (pair[0], pair[1]);
            b < a || a == b && from != to
        };
        orders.windows(2).find(violates).map(|pair| format!("{pair:?}"))
    }
}

fn run(seed: u64, fault: Fault, events: Events) -> Simulation {
    let mut simulation = Simulation::new(seed, fault, events);
    for _ in 0..6_000 {
        simulation.step();
    }
    simulation
}

#[test]
fn tokens_never_decrease_and_are_never_issued_twice() {
    let (mut orders, mut gaps) = (0, Vec::new());
    for seed in 0..200 {
        let simulation = run(seed, Fault::None, RESTORES);
        assert_eq!(simulation.violation(), None, "seed {seed}");
        assert!(simulation.store.era > 0, "seed {seed}: the store was never restored");
        orders += simulation.orders.len();
        gaps.extend(simulation.gaps);
    }
    gaps.sort_unstable();
    assert!(orders > 5_000, "{orders} orders");
    println!("{} restores, median time without a holder {} ms", gaps.len(), gaps[gaps.len() / 2] / MS);
}

/// Guards against an order that arrives after one of the next holder, because the lease was released before the order had
/// ended.
#[test]
fn tokens_never_decrease_when_holders_stop() {
    for seed in 0..200 {
        assert_eq!(run(seed, Fault::None, STOPS).violation(), None, "seed {seed}");
    }
}

/// Guards against a token that is issued twice because a write of an earlier era, whose revision was assigned again,
/// replaced the record that contained it.
#[test]
fn tokens_are_unique_when_holders_stop_and_the_store_is_restored() {
    for seed in 0..200 {
        let events = Events { restores: true, stops: true };
        assert_eq!(run(seed, Fault::None, events).violation(), None, "seed {seed}");
    }
}

#[rstest]
#[case(Fault::NoEra, RESTORES)]
#[case(Fault::RecordWithoutEra, RESTORES)]
#[case(Fault::TokenWithoutEra, RESTORES)]
#[case(Fault::EarlyRelease, STOPS)]
fn injected_fault_is_detected(#[case] fault: Fault, #[case] events: Events) {
    assert!((0..200).any(|seed| run(seed, fault, events).violation().is_some()), "{fault:?}");
}

#[test]
fn holder_reacquires_in_new_era_after_its_orders_end() {
    let (name, now) = (Name::from("a"), 1_000 * MS);
    let mut lease = Lease::new(name, true, now);
    lease.observe_era(0, now);
    lease.observe(None, now, now);
    assert!(lease.can_acquire(now));
    let write = lease.acquire_or_renew(1, now);
    assert_eq!((write.record.token, write.record.complete, write.revision), (1, true, None));
    lease.write_succeeded(write.record.clone(), Revision::new(0, 7), now, now);
    let later = now + 300 * MS;
    assert!(lease.observe_era(1, later));
    assert!(lease.held().is_none(), "a lease of an earlier era has ended");
    let later = later + 800 * MS;
    assert!(!lease.can_acquire(later), "before the record was read");
    lease.observe(None, later, later);
    assert!(!lease.can_acquire(later - 1), "while its own orders may be in flight");
    assert!(lease.can_acquire(later));
    let write = lease.acquire_or_renew(2, later);
    assert_eq!((write.record.token, write.record.complete), (1 << 32, false));
}

#[test]
fn others_wait_in_new_era_until_earlier_holder_expired() {
    let now = 1_000 * MS;
    let mut lease = Lease::new("b".into(), false, now);
    lease.observe_era(3, now);
    let record = LeaseRecord { holder: "a".into(), token: 9, nonce: 4, complete: true, era: 2 };
    for ms in [0, 600, 1_200, 1_800, 2_300] {
        lease.observe(Some((record.clone(), Revision::new(3, 50))), now + ms * MS, now + ms * MS);
        assert!(!lease.can_acquire(now + ms * MS), "after {ms} ms");
    }
    let then = now + 2_400 * MS;
    lease.observe(Some((record, Revision::new(3, 50))), then, then);
    assert!(lease.can_acquire(then));
    assert_eq!(lease.acquire_or_renew(5, then).record.token, 3 << 32);
}
