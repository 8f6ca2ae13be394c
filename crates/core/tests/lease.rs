//! The right to give orders, before a store that loses answers, carries calls out late, and comes back from older copies.

use {
    pondtrack_core::lease::{Lease, LeaseRecord, Write},
    pondtrack_proto::{Name, Revision},
    rand::{Rng, RngExt, SeedableRng},
    rand_pcg::Pcg64Mcg,
    rstest::rstest,
};

/// Microseconds in a millisecond.
const MS: u64 = 1_000;
/// A caller waits this long for an answer to a write.
const LIMIT: u64 = 500 * MS;
/// An order may be under way for this long.
const ORDER: u64 = 500 * MS;

/// What is wrong with the rules, so that the check is seen to find it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// Nothing tells eras apart: the revision alone counts.
    NoEra,
    /// A record counts, whichever era it was written in.
    RecordWithoutEra,
    /// Fencing tokens go on from what the copy says.
    TokenWithoutEra,
}

/// The record as the store had it.
#[derive(Clone, Debug)]
struct Stored {
    at: u64,
    record: Option<(LeaseRecord, u64)>,
    revision: u64,
}

struct Store {
    era: u64,
    record: Option<(LeaseRecord, u64)>,
    revision: u64,
    past: Vec<Stored>,
    away: u64,
}

/// A call that is carried out after its caller has stopped waiting.
struct Late {
    at: u64,
    write: Write,
}

struct Member {
    lease: Lease,
    name: Name,
    /// Nothing is done before this.
    next: u64,
}

struct World {
    rng: Pcg64Mcg,
    fault: Fault,
    now: u64,
    store: Store,
    late: Vec<Late>,
    members: Vec<Member>,
    /// When orders took effect, with their tokens and holders.
    orders: Vec<(u64, u64, usize)>,
    /// The worst time without a holder after a return of the store.
    returned: Option<u64>,
    gaps: Vec<u64>,
}

impl Store {
    /// Carries a write out if its condition holds.
    fn write(&mut self, it: &Write, now: u64) -> Result<Revision, Option<(LeaseRecord, Revision)>> {
        let current = self.record.clone().map(|it| (it.0, Revision::new(self.era, it.1)));
        match (&current, it.revision) {
            (Some(found), Some(wanted)) if found.1.number() == wanted.number() => {}
            (None, None) => {}
            _ => return Err(current),
        }
        self.revision += 1;
        self.record = Some((it.record.clone(), self.revision));
        self.past.push(Stored { at: now, record: self.record.clone(), revision: self.revision });
        Ok(Revision::new(self.era, self.revision))
    }

    /// Comes back as it was a while ago.
    fn restore(&mut self, age: u64, now: u64) {
        let old = self.past.iter().rfind(|it| it.at + age <= now).cloned();
        let old = old.unwrap_or(Stored { at: 0, record: None, revision: 0 });
        self.past.retain(|it| it.at <= old.at);
        (self.record, self.revision) = (old.record, old.revision);
        self.era += 1;
    }
}

impl World {
    fn new(seed: u64, fault: Fault) -> World {
        let now = 10_000 * MS;
        let name = |n: usize| Name::from(format!("n{n}"));
        let members =
            (0..3).map(|n| Member { lease: Lease::new(name(n), true, now), name: name(n), next: now });
        World {
            rng: Pcg64Mcg::seed_from_u64(seed),
            fault,
            now,
            store: Store { era: 0, record: None, revision: 0, past: Vec::new(), away: 0 },
            late: Vec::new(),
            members: members.collect(),
            orders: Vec::new(),
            returned: None,
            gaps: Vec::new(),
        }
    }

    /// The era as an instance is told of it.
    fn era(&self) -> u64 {
        if self.fault == Fault::NoEra { 0 } else { self.store.era }
    }

    /// A record as an instance reads it.
    fn read(&self, it: LeaseRecord) -> LeaseRecord {
        let era = if self.fault == Fault::RecordWithoutEra { self.era() } else { it.era };
        LeaseRecord { era, ..it }
    }

    fn step(&mut self) {
        self.now += self.rng.random_range(1..40) * MS;
        let now = self.now;
        match self.rng.random_range(0..3_000) {
            0..6 => {
                let age = self.rng.random_range(0..6_000) * MS;
                self.store.restore(age, now);
                self.store.away = now + self.rng.random_range(0..2_000) * MS;
                self.returned = Some(self.store.away);
            }
            6..12 => self.store.away = now + self.rng.random_range(0..4_000) * MS,
            12..18 => {
                let at = self.rng.random_range(0..3);
                let name = self.members[at].name.clone();
                let next = now + self.rng.random_range(100..2_000) * MS;
                self.members[at] = Member { lease: Lease::new(name.clone(), false, next), name, next };
            }
            18..30 => {
                let at = self.rng.random_range(0..3);
                self.members[at].next = now + self.rng.random_range(0..6_000) * MS;
            }
            _ => {}
        }
        let (due, left): (Vec<Late>, Vec<Late>) =
            std::mem::take(&mut self.late).into_iter().partition(|it| it.at <= now);
        self.late = left;
        for it in due {
            // Nobody waits for what becomes of it.
            drop(self.store.write(&it.write, now));
        }
        for at in 0..self.members.len() {
            if self.members[at].next <= now {
                self.act(at);
            }
        }
        let held = self.members.iter().any(|it| it.lease.held().is_some_and(|it| now < it.until));
        if let Some(since) = self.returned.filter(|it| held && *it <= now) {
            self.gaps.push(now - since);
            self.returned = None;
        }
    }

    fn act(&mut self, at: usize) {
        let now = self.now;
        self.members[at].next = now + self.rng.random_range(100..700) * MS;
        if let Some(it) = self.members[at].lease.held().filter(|it| now < it.until) {
            // It may be under way for a while.
            if self.rng.random_bool(0.3) {
                self.orders.push((now + self.rng.random_range(0..ORDER), it.token, at));
            }
        }
        if self.store.away > now {
            return;
        }
        let era = self.era();
        self.members[at].lease.note_era(era, now);
        let mine = self.members[at].lease.held().is_some();
        if !mine {
            let found = self.store.record.clone().map(|it| (self.read(it.0), Revision::new(era, it.1)));
            self.members[at].lease.saw(found, now, now);
        }
        if mine || self.members[at].lease.may_take(now) {
            self.write(at);
        }
    }

    fn write(&mut self, at: usize) {
        let (now, nonce) = (self.now, self.rng.next_u64());
        let mut write = self.members[at].lease.write(nonce, now);
        if self.fault == Fault::TokenWithoutEra {
            write.record.token &= u64::from(u32::MAX);
        }
        match self.rng.random_range(0..20) {
            // It is carried out later, and not answered.
            0 => {
                let late = now + self.rng.random_range(0..6_000) * MS;
                self.late.push(Late { at: late, write });
            }
            // It is carried out, and not answered.
            1 => drop(self.store.write(&write, now)),
            _ => {
                let outcome = self.store.write(&write, now);
                let answered = now + self.rng.random_range(0..LIMIT / 10);
                let (record, era) = (write.record, self.era());
                let outcome = outcome.map_err(|it| it.map(|(record, at)| (self.read(record), at)));
                let lease = &mut self.members[at].lease;
                match outcome {
                    Ok(it) => lease.written(record, Revision::new(era, it.number()), now, answered),
                    Err(current) => {
                        let current = current.map(|it| (it.0, Revision::new(era, it.1.number())));
                        match current {
                            Some(it) => drop(lease.conflicted(Some(it), now, answered)),
                            None => drop(lease.missed(now, answered)),
                        }
                    }
                }
            }
        }
    }

    /// What went wrong first, if anything did.
    fn wrong(&self) -> Option<String> {
        let mut orders = self.orders.clone();
        orders.sort_unstable();
        let wrong = |pair: &&[(u64, u64, usize)]| {
            let ((_, a, from), (_, b, to)) = (pair[0], pair[1]);
            b < a || a == b && from != to
        };
        orders.windows(2).find(wrong).map(|it| format!("{it:?}"))
    }
}

fn play(seed: u64, fault: Fault) -> World {
    let mut it = World::new(seed, fault);
    for _ in 0..6_000 {
        it.step();
    }
    it
}

#[test]
fn tokens_never_fall_and_are_never_given_out_twice() {
    let (mut orders, mut gaps) = (0, Vec::new());
    for seed in 0..200 {
        let it = play(seed, Fault::None);
        assert_eq!(it.wrong(), None, "seed {seed}");
        assert!(it.store.era > 0, "seed {seed}: the store never came back from a copy");
        orders += it.orders.len();
        gaps.extend(it.gaps);
    }
    gaps.sort_unstable();
    assert!(orders > 5_000, "{orders} orders");
    println!("{} returns, without a holder for {} ms at the median", gaps.len(), gaps[gaps.len() / 2] / MS);
}

#[rstest]
#[case(Fault::NoEra)]
#[case(Fault::RecordWithoutEra)]
#[case(Fault::TokenWithoutEra)]
fn a_wrong_rule_is_found(#[case] fault: Fault) {
    assert!((0..200).any(|seed| play(seed, fault).wrong().is_some()), "{fault:?}");
}

#[test]
fn a_holder_goes_on_in_a_new_era_after_its_own_orders() {
    let (me, now) = (Name::from("a"), 1_000 * MS);
    let mut it = Lease::new(me, true, now);
    it.note_era(0, now);
    it.saw(None, now, now);
    assert!(it.may_take(now));
    let write = it.write(1, now);
    assert_eq!((write.record.token, write.record.complete, write.revision), (1, true, None));
    it.written(write.record.clone(), Revision::new(0, 7), now, now);
    let later = now + 300 * MS;
    assert!(it.note_era(1, later));
    assert!(it.held().is_none(), "what was granted in an earlier era is over");
    let later = later + 800 * MS;
    assert!(!it.may_take(later), "before it has read");
    it.saw(None, later, later);
    assert!(!it.may_take(later - 1), "while its own orders may be under way");
    assert!(it.may_take(later));
    let write = it.write(2, later);
    assert_eq!((write.record.token, write.record.complete), (1 << 32, false));
}

#[test]
fn others_wait_in_a_new_era_for_as_long_as_an_earlier_holder_may_act() {
    let now = 1_000 * MS;
    let mut it = Lease::new("b".into(), false, now);
    it.note_era(3, now);
    let record = LeaseRecord { holder: "a".into(), token: 9, nonce: 4, complete: true, era: 2 };
    for ms in [0, 600, 1_200, 1_800, 2_300] {
        it.saw(Some((record.clone(), Revision::new(3, 50))), now + ms * MS, now + ms * MS);
        assert!(!it.may_take(now + ms * MS), "after {ms} ms");
    }
    let then = now + 2_400 * MS;
    it.saw(Some((record, Revision::new(3, 50))), then, then);
    assert!(it.may_take(then));
    assert_eq!(it.write(5, then).record.token, 3 << 32);
}
