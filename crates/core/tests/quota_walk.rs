//! Every order of events between an instance that lends its share and the two that may use it, itself among them: it is
//! never used in two places. And every order of claims, by their urgency, at one limiter: a bucket grants what it holds.

use {
    pondtrack_core::quota::{
        Demand, Grant, Lender, Limiter, Limits, MAX_DELAY, MIN_LOAN_DURATION, SlotSet, Timestamp, slot,
    },
    pondtrack_proto::Name,
    rstest::rstest,
    std::collections::{HashSet, VecDeque},
};

const ORGANISATION: &str = "acme";
/// Time goes in steps of this length.
const TICK: u64 = MIN_LOAN_DURATION / 3;
const BEGIN: u64 = 10 * MIN_LOAN_DURATION;
/// Messages under way at once.
const MESSAGES: usize = 2;

/// What may happen in one walk.
#[derive(Clone, Copy, Debug)]
struct Size {
    /// Steps of time.
    ticks: u64,
    /// Processes that start again.
    restarts: u8,
}

/// A step of time without a restart, and a restart: more takes minutes.
const SIZES: [Size; 2] = [Size { ticks: 1, restarts: 0 }, Size { ticks: 0, restarts: 1 }];

/// Who lends, to itself or to the other one. What becomes of its share doesn't depend on others' shares.
const LENDER: usize = 0;
/// Its share.
const SHARE: f64 = 0.5;

/// What is wrong with the rules, so that the walk is seen to find it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    CountsFromArrival,
    StartsAtOnce,
    GoesOnAtOnce,
    /// A late message counts like a new one.
    ForgetsOrder,
}

#[derive(Clone)]
struct Member {
    lender: Lender,
    limiter: Limiter,
    stamps: [Option<Timestamp>; 2],
    /// The message that is owed an answer, by limiter.
    asked: [Option<u64>; 2],
    process: u64,
}

#[derive(Clone)]
enum Message {
    Lend { from: usize, to: usize, seq: u64, slots: SlotSet, stamp: Option<Timestamp>, processes: (u64, u64) },
    Used { from: usize, to: usize, seq: u64, slots: SlotSet, stamp: Timestamp, process: u64 },
}

#[derive(Clone)]
struct World {
    fault: Fault,
    size: Size,
    now: u64,
    seq: u64,
    restarts: u8,
    members: [Member; 2],
    wire: Vec<Message>,
    /// The last message that came, from each to each.
    heard: [[u64; 2]; 2],
    /// What happened.
    trace: Vec<String>,
}

fn name(at: usize) -> Name {
    Name::from(["a", "b"][at])
}

fn own_slot() -> SlotSet {
    let mut it = SlotSet::default();
    it.insert(slot(ORGANISATION));
    it
}

fn member(process: u64, lender: u64) -> Member {
    Member {
        lender: Lender::new(lender),
        limiter: Limiter::new(process),
        stamps: [None; 2],
        asked: [None; 2],
        process,
    }
}

impl World {
    fn new(fault: Fault, size: Size) -> World {
        // Both have been there for long.
        let members = [member(1, BEGIN - 2 * MIN_LOAN_DURATION), member(2, BEGIN - 2 * MIN_LOAN_DURATION)];
        World {
            fault,
            size,
            now: BEGIN,
            seq: 0,
            restarts: 0,
            members,
            wire: Vec::new(),
            heard: [[0; 2]; 2],
            trace: Vec::new(),
        }
    }

    fn next(&self) -> Vec<World> {
        let mut out = Vec::new();
        let mut step = |what: String, act: &dyn Fn(&mut World) -> bool| {
            let mut it = self.clone();
            if act(&mut it) {
                it.trace.push(what);
                out.push(it);
            }
        };
        step("tick".to_owned(), &|it| {
            it.now += TICK;
            it.now <= BEGIN + it.size.ticks * TICK
        });
        for to in 0..2 {
            step(format!("lend to {to}"), &|it| it.tell(LENDER, to, true));
            step(format!("take back from {to}"), &|it| it.tell(LENDER, to, false));
            step(format!("give up on {to}"), &|it| it.give_up(LENDER, to));
            step(format!("restart {to}"), &|it| it.restart(to));
        }
        for n in 0..self.wire.len() {
            step(format!("deliver {n}"), &|it| it.deliver(n));
            step(format!("drop {n}"), &|it| {
                it.wire.remove(n);
                true
            });
        }
        out
    }

    /// An instance lends its share to another or itself, or takes it back.
    fn tell(&mut self, at: usize, to: usize, lends: bool) -> bool {
        if self.members[at].asked[to].is_some() || self.wire.len() >= MESSAGES {
            return false;
        }
        let (now, stamp) = (self.now, self.members[at].stamps[to]);
        // Nothing is lent before the other has told a moment.
        let lent = lends
            && stamp.is_some()
            && self.members[at].lender.lend(slot(ORGANISATION), &name(to), false, now);
        if lends && !lent && stamp.is_some() {
            return false;
        }
        let slots = if lent { own_slot() } else { SlotSet::default() };
        self.seq += 1;
        self.members[at].asked[to] = Some(self.seq);
        let processes = (self.members[at].process, self.members[to].process);
        self.wire.push(Message::Lend { from: at, to, seq: self.seq, slots, stamp, processes });
        true
    }

    fn give_up(&mut self, at: usize, to: usize) -> bool {
        if self.fault == Fault::GoesOnAtOnce && self.members[at].asked[to].is_some() {
            self.members[at].lender = Lender::new(self.now - MIN_LOAN_DURATION);
        }
        self.members[at].asked[to].take().is_some()
    }

    fn restart(&mut self, at: usize) -> bool {
        let waited = if self.fault == Fault::StartsAtOnce { self.now - MIN_LOAN_DURATION } else { self.now };
        self.members[at] = member(self.members[at].process + 10, waited);
        self.restarts += 1;
        self.restarts <= self.size.restarts
    }

    fn deliver(&mut self, n: usize) -> bool {
        let now = self.now;
        match self.wire.remove(n) {
            Message::Lend { from, to, seq, slots, stamp, processes: (sender, process) } => {
                let it = &mut self.members[to];
                if it.process != process {
                    return false;
                }
                self.heard[from][to] = self.heard[from][to].max(seq);
                let own = it.limiter.timestamp(now);
                let stamp = if self.fault == Fault::CountsFromArrival { Some(own) } else { stamp };
                let order = if self.fault == Fault::ForgetsOrder { 1_000 + now + n as u64 } else { seq };
                let slots = it.limiter.accept(&name(from), order, slots, SHARE, stamp, now);
                self.wire.push(Message::Used { from: to, to: from, seq, slots, stamp: own, process: sender });
            }
            Message::Used { from, to, seq, slots, stamp, process } => {
                let it = &mut self.members[to];
                if it.process != process || it.asked[from] != Some(seq) {
                    return false;
                }
                it.asked[from] = None;
                it.stamps[from] = Some(stamp);
                it.lender.release_except(&name(from), slots);
            }
        }
        true
    }

    /// The sum of the shares that a limiter uses at a time from now on.
    fn used(&self, at: usize, later: u64) -> f64 {
        let mut it = self.members[at].limiter.clone();
        it.claim(
            &Name::from(ORGANISATION),
            Limits { rate: 0.0, burst: 0.0, margin: 0.0 },
            Demand::unprioritised(0),
            self.now + later,
        );
        it.share(ORGANISATION)
    }

    fn is_right(&self) -> bool {
        self.used(0, 0) + self.used(1, 0) <= SHARE
    }

    /// What the future of this state depends on, in times from now.
    fn key(&self) -> String {
        let age = |it: Option<Timestamp>| {
            it.map(|it| (it.process, (self.now - it.at).min(2 * MIN_LOAN_DURATION) / TICK))
        };
        let mut live: Vec<u64> = self.members.iter().flat_map(|it| it.asked).flatten().collect();
        live.extend(self.wire.iter().map(|it| match it {
            Message::Lend { seq, .. } | Message::Used { seq, .. } => *seq,
        }));
        live.sort_unstable();
        live.dedup();
        let rank = |seq: u64| live.partition_point(|it| *it < seq);
        let mut key = format!("{} {}", (self.now - BEGIN) / TICK, self.restarts);
        for (at, it) in self.members.iter().enumerate() {
            let used: Vec<f64> = (0..4).map(|n| self.used(at, n * TICK)).collect();
            let lends = |to: usize, later: u64| {
                it.lender.clone().lend(slot(ORGANISATION), &name(to), false, self.now + later * TICK)
            };
            let lends: Vec<bool> =
                (0..2).flat_map(|to| (0..4).map(move |n| (to, n))).map(|it| lends(it.0, it.1)).collect();
            let asked = it.asked.map(|it| it.map(rank));
            key += &format!(" {} {used:?} {lends:?} {asked:?} {:?}", it.process, it.stamps.map(age));
        }
        for it in &self.wire {
            key += &match it {
                Message::Lend { from, to, seq, slots, stamp, processes } => {
                    let late = self.heard[*from][*to] > *seq;
                    format!(" L{from}{to} {} {late} {slots:?} {:?} {processes:?}", rank(*seq), age(*stamp))
                }
                Message::Used { from, to, seq, slots, stamp, process } => {
                    format!(" U{from}{to} {} {slots:?} {:?} {process}", rank(*seq), age(Some(*stamp)))
                }
            };
        }
        key
    }
}

/// The number of states, and whether all were right.
fn walk(fault: Fault, size: Size) -> (usize, bool) {
    let mut seen = HashSet::new();
    let mut open = VecDeque::from([World::new(fault, size)]);
    while let Some(it) = open.pop_front() {
        for next in it.next() {
            if !next.is_right() {
                println!("{:?}", next.trace);
                return (seen.len(), false);
            }
            if seen.insert(next.key()) {
                open.push_back(next);
            }
        }
    }
    (seen.len(), true)
}

#[test]
fn no_share_is_used_in_two_places() {
    for size in SIZES {
        let (states, right) = walk(Fault::None, size);
        println!("{size:?}: {states} states");
        assert!(right, "{size:?}");
        assert!(states > 1_000, "{size:?}: {states} states");
    }
}

#[rstest]
#[case(Fault::CountsFromArrival, Size { ticks: 3, restarts: 0 })]
#[case(Fault::StartsAtOnce, Size { ticks: 0, restarts: 1 })]
#[case(Fault::GoesOnAtOnce, Size { ticks: 0, restarts: 0 })]
#[case(Fault::ForgetsOrder, Size { ticks: 1, restarts: 0 })]
fn a_wrong_rule_is_found(#[case] fault: Fault, #[case] size: Size) {
    assert!(!walk(fault, size).1, "{fault:?}");
}

/// An organisation's limit in the walk of claims: a token in each step, a few at once.
const LIMITS: Limits = Limits { rate: 10.0, burst: 2.0, margin: 1.0 };
/// A step of time, in microseconds.
const STEP: u64 = 100_000;
/// Events in a row.
const DEPTH: usize = 7;

/// What is wrong with a bucket's reserve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Flaw {
    None,
    /// What is kept for others is granted beside what the bucket holds.
    Adds,
    /// A place that was promised is a token.
    Promises,
}

/// A limiter to which two instances lend, and what it granted.
#[derive(Clone)]
struct Claims {
    flaw: Flaw,
    limiter: Limiter,
    now: u64,
    seq: u64,
    granted: Vec<(u64, u32)>,
    /// The times of promised places.
    told: Vec<u64>,
}

impl Claims {
    fn new(flaw: Flaw) -> Claims {
        let (limiter, granted, told) = (Limiter::new(1), Vec::new(), Vec::new());
        let mut it = Claims { flaw, limiter, now: BEGIN, seq: 0, granted, told };
        it.lend(0, true);
        it.lend(1, true);
        it
    }

    /// An instance lends its half, or takes it back.
    fn lend(&mut self, at: usize, lends: bool) {
        let stamp = Some(self.limiter.timestamp(self.now));
        self.seq += 1;
        let slots = if lends { own_slot() } else { SlotSet::default() };
        self.limiter.accept(&name(at), self.seq, slots, 0.5, stamp, self.now);
    }

    fn claim(&mut self, demand: Demand) {
        let grant = self.limiter.claim(&Name::from(ORGANISATION), LIMITS, demand, self.now);
        let due = self.told.iter().position(|it| *it <= self.now);
        match grant {
            Grant::Granted { count, .. } => self.granted.push((self.now, count)),
            Grant::Refused(it) if self.flaw == Flaw::Adds && it.reserved => self.granted.push((self.now, 1)),
            Grant::Refused(_) if self.flaw == Flaw::Promises && due.is_some() => {
                self.told.remove(due.unwrap_or_default());
                self.granted.push((self.now, 1));
            }
            Grant::Refused(it) => self.told.push(self.now + it.after),
        }
    }

    /// Every state after one event.
    fn next(&self) -> impl Iterator<Item = Claims> {
        (0..7).map(|event| {
            let mut it = self.clone();
            match event {
                0 => it.now += STEP,
                1 => it.now += 5 * STEP,
                2 => it.lend(1, false),
                3 => it.claim(Demand::unprioritised(1)),
                kind => it.claim(Demand::prioritised(2, kind - 4, 10 * STEP)),
            }
            it
        })
    }

    /// Whether what was granted in each window, and what would be now, is within the limit. Half of the shares may have gone:
    /// that is less, never more.
    fn is_right(&self) -> bool {
        let mut all = self.granted.clone();
        let mut limiter = self.limiter.clone();
        if let Grant::Granted { count, .. } =
            limiter.claim(&Name::from(ORGANISATION), LIMITS, Demand::prioritised(100, 0, 0), self.now)
        {
            all.push((self.now, count));
        }
        let sum = |from: usize| all[from..].iter().map(|it| it.1).sum::<u32>();
        let bound = |from: u64| {
            LIMITS.rate * (self.now - from + MAX_DELAY) as f64 / 1e6 + LIMITS.burst + LIMITS.margin
        };
        all.iter().enumerate().all(|(n, it)| f64::from(sum(n)) <= bound(it.0) + 1e-6)
    }
}

/// Whether every order of events keeps within the limit; counts them.
fn walk_claims(from: &Claims, depth: usize, seen: &mut usize) -> bool {
    *seen += 1;
    from.is_right() && (depth == 0 || from.next().all(|it| walk_claims(&it, depth - 1, seen)))
}

#[test]
fn claims_of_any_urgency_take_what_the_bucket_holds() {
    let mut states = 0;
    assert!(walk_claims(&Claims::new(Flaw::None), DEPTH, &mut states));
    println!("{states} states");
    assert!(states > 900_000, "{states} states");
}

#[rstest]
#[case(Flaw::Adds)]
#[case(Flaw::Promises)]
fn a_wrong_reserve_is_found(#[case] flaw: Flaw) {
    assert!(!walk_claims(&Claims::new(flaw), DEPTH, &mut 0), "{flaw:?}");
}
