//! Exhaustive exploration of event orders, for the same failure as in `quota.rs`.
//!
//! An instance lends its share to itself or to another instance, with lost and reordered messages, timeouts and
//! restarts: the share must never be used by both. Claims of any urgency reach one limiter: reservations must not let a
//! bucket grant more than its tokens.

use {
    pondtrack_core::quota::{
        Demand, Grant, Lender, Limiter, Limits, MAX_DELAY, MIN_LOAN_DURATION, SlotSet, Timestamp, slot,
    },
    pondtrack_proto::Name,
    rstest::rstest,
    std::collections::{HashSet, VecDeque},
};

const ORGANISATION: &str = "acme";
/// Length of one time step, in microseconds.
const TICK: u64 = MIN_LOAN_DURATION / 3;
/// Start of the exploration, in microseconds.
const BEGIN: u64 = 10 * MIN_LOAN_DURATION;
/// Maximum number of messages in flight.
const MAX_IN_FLIGHT: usize = 2;

/// Bounds of one exploration.
#[derive(Clone, Copy, Debug)]
struct Bounds {
    /// Number of time steps.
    ticks: u64,
    /// Number of restarts.
    restarts: u8,
}

/// One time step without a restart, and one restart without a time step. Larger bounds take minutes.
const BOUNDS: [Bounds; 2] = [Bounds { ticks: 1, restarts: 0 }, Bounds { ticks: 0, restarts: 1 }];

/// Index of the lender, which lends to itself or to the other instance. Its share is independent of the shares of
/// others.
const LENDER: usize = 0;
/// Share of the lender.
const SHARE: f64 = 0.5;

/// Fault injected into the protocol, to prove that the exploration detects it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// A limiter counts the duration of a loan from the receipt of the offer.
    CountsFromReceipt,
    /// After a restart, a process lends shares immediately, although the process before the restart may already have
    /// lent them.
    SkipsStartupWait,
    /// A lender considers a share returned if the limiter doesn't reply in time.
    ExpiresOnTimeout,
    /// A limiter applies a late message like a new one.
    IgnoresSequence,
}

#[derive(Clone)]
struct Instance {
    lender: Lender,
    limiter: Limiter,
    timestamps: [Option<Timestamp>; 2],
    /// Sequence number of the pending offer to each limiter.
    pending: [Option<u64>; 2],
    process: u64,
}

#[derive(Clone)]
enum Message {
    Offer {
        from: usize,
        to: usize,
        seq: u64,
        slots: SlotSet,
        timestamp: Option<Timestamp>,
        processes: (u64, u64),
    },
    Reply {
        from: usize,
        to: usize,
        seq: u64,
        slots: SlotSet,
        timestamp: Timestamp,
        process: u64,
    },
}

#[derive(Clone)]
struct State {
    fault: Fault,
    bounds: Bounds,
    now: u64,
    seq: u64,
    restarts: u8,
    instances: [Instance; 2],
    in_flight: Vec<Message>,
    /// Highest sequence number received, by sender and receiver.
    received: [[u64; 2]; 2],
    /// Events that led to this state.
    trace: Vec<String>,
}

fn name(at: usize) -> Name {
    Name::from(["a", "b"][at])
}

fn own_slot() -> SlotSet {
    let mut slots = SlotSet::default();
    slots.insert(slot(ORGANISATION));
    slots
}

fn new_instance(process: u64, lender: u64) -> Instance {
    Instance {
        lender: Lender::new(lender),
        limiter: Limiter::new(process),
        timestamps: [None; 2],
        pending: [None; 2],
        process,
    }
}

impl State {
    fn new(fault: Fault, bounds: Bounds) -> State {
        // Both instances have been running for a long time.
        let instances =
            [new_instance(1, BEGIN - 2 * MIN_LOAN_DURATION), new_instance(2, BEGIN - 2 * MIN_LOAN_DURATION)];
        State {
            fault,
            bounds,
            now: BEGIN,
            seq: 0,
            restarts: 0,
            instances,
            in_flight: Vec::new(),
            received: [[0; 2]; 2],
            trace: Vec::new(),
        }
    }

    fn next(&self) -> Vec<State> {
        let mut out = Vec::new();
        let mut step = |what: String, act: &dyn Fn(&mut State) -> bool| {
            let mut s = self.clone();
            if act(&mut s) {
                s.trace.push(what);
                out.push(s);
            }
        };
        step("tick".to_owned(), &|s| {
            s.now += TICK;
            s.now <= BEGIN + s.bounds.ticks * TICK
        });
        for to in 0..2 {
            step(format!("lend to {to}"), &|s| s.send_offer(LENDER, to, true));
            step(format!("take back from {to}"), &|s| s.send_offer(LENDER, to, false));
            step(format!("time out {to}"), &|s| s.time_out(LENDER, to));
            step(format!("restart {to}"), &|s| s.restart(to));
        }
        for n in 0..self.in_flight.len() {
            step(format!("deliver {n}"), &|s| s.deliver(n));
            step(format!("drop {n}"), &|s| {
                s.in_flight.remove(n);
                true
            });
        }
        out
    }

    /// Sends an offer that lends the share to an instance, or takes it back.
    fn send_offer(&mut self, at: usize, to: usize, lends: bool) -> bool {
        if self.instances[at].pending[to].is_some() || self.in_flight.len() >= MAX_IN_FLIGHT {
            return false;
        }
        let (now, timestamp) = (self.now, self.instances[at].timestamps[to]);
        // A share isn't lent before the limiter has reported a timestamp.
        let lent = lends
            && timestamp.is_some()
            && self.instances[at].lender.lend(slot(ORGANISATION), &name(to), false, now);
        if lends && !lent && timestamp.is_some() {
            return false;
        }
        let slots = if lent { own_slot() } else { SlotSet::default() };
        self.seq += 1;
        self.instances[at].pending[to] = Some(self.seq);
        let processes = (self.instances[at].process, self.instances[to].process);
        self.in_flight.push(Message::Offer { from: at, to, seq: self.seq, slots, timestamp, processes });
        true
    }

    fn time_out(&mut self, at: usize, to: usize) -> bool {
        if self.fault == Fault::ExpiresOnTimeout && self.instances[at].pending[to].is_some() {
            self.instances[at].lender = Lender::new(self.now - MIN_LOAN_DURATION);
        }
        self.instances[at].pending[to].take().is_some()
    }

    fn restart(&mut self, at: usize) -> bool {
        let waited =
            if self.fault == Fault::SkipsStartupWait { self.now - MIN_LOAN_DURATION } else { self.now };
        self.instances[at] = new_instance(self.instances[at].process + 10, waited);
        self.restarts += 1;
        self.restarts <= self.bounds.restarts
    }

    fn deliver(&mut self, n: usize) -> bool {
        let now = self.now;
        match self.in_flight.remove(n) {
            Message::Offer { from, to, seq, slots, timestamp, processes: (sender, process) } => {
                let receiver = &mut self.instances[to];
                if receiver.process != process {
                    return false;
                }
                self.received[from][to] = self.received[from][to].max(seq);
                let own = receiver.limiter.timestamp(now);
                let timestamp = if self.fault == Fault::CountsFromReceipt { Some(own) } else { timestamp };
                let order = if self.fault == Fault::IgnoresSequence { 1_000 + now + n as u64 } else { seq };
                let slots = receiver.limiter.accept(&name(from), order, slots, SHARE, timestamp, now);
                self.in_flight.push(Message::Reply {
                    from: to,
                    to: from,
                    seq,
                    slots,
                    timestamp: own,
                    process: sender,
                });
            }
            Message::Reply { from, to, seq, slots, timestamp, process } => {
                let receiver = &mut self.instances[to];
                if receiver.process != process || receiver.pending[from] != Some(seq) {
                    return false;
                }
                receiver.pending[from] = None;
                receiver.timestamps[from] = Some(timestamp);
                receiver.lender.release_except(&name(from), slots);
            }
        }
        true
    }

    /// Returns the total share used by a limiter after a delay.
    fn used(&self, at: usize, later: u64) -> f64 {
        let mut limiter = self.instances[at].limiter.clone();
        limiter.claim(
            &Name::from(ORGANISATION),
            Limits { rate: 0.0, burst: 0.0, margin: 0.0 },
            Demand::unprioritised(0),
            self.now + later,
        );
        limiter.share(ORGANISATION)
    }

    fn is_valid(&self) -> bool {
        self.used(0, 0) + self.used(1, 0) <= SHARE
    }

    /// Returns a key that identifies states with the same future. Times are relative to the current time.
    fn key(&self) -> String {
        let age = |t: Option<Timestamp>| {
            t.map(|t| (t.process, (self.now - t.at).min(2 * MIN_LOAN_DURATION) / TICK))
        };
        let mut live: Vec<u64> = self.instances.iter().flat_map(|i| i.pending).flatten().collect();
        live.extend(self.in_flight.iter().map(|message| match message {
            Message::Offer { seq, .. } | Message::Reply { seq, .. } => *seq,
        }));
        live.sort_unstable();
        live.dedup();
        let rank = |seq: u64| live.partition_point(|n| *n < seq);
        let mut key = format!("{} {}", (self.now - BEGIN) / TICK, self.restarts);
        for (at, instance) in self.instances.iter().enumerate() {
            let used: Vec<f64> = (0..4).map(|n| self.used(at, n * TICK)).collect();
            let can_lend = |to: usize, later: u64| {
                instance.lender.clone().lend(slot(ORGANISATION), &name(to), false, self.now + later * TICK)
            };
            let lend_results: Vec<bool> = (0..2)
                .flat_map(|to| (0..4).map(move |n| (to, n)))
                .map(|pair| can_lend(pair.0, pair.1))
                .collect();
            let pending = instance.pending.map(|seq| seq.map(rank));
            key += &format!(
                " {} {used:?} {lend_results:?} {pending:?} {:?}",
                instance.process,
                instance.timestamps.map(age)
            );
        }
        for message in &self.in_flight {
            key += &match message {
                Message::Offer { from, to, seq, slots, timestamp, processes } => {
                    let late = self.received[*from][*to] > *seq;
                    format!(
                        " L{from}{to} {} {late} {slots:?} {:?} {processes:?}",
                        rank(*seq),
                        age(*timestamp)
                    )
                }
                Message::Reply { from, to, seq, slots, timestamp, process } => {
                    format!(" U{from}{to} {} {slots:?} {:?} {process}", rank(*seq), age(Some(*timestamp)))
                }
            };
        }
        key
    }
}

/// Explores all states. Returns their number, and true if all are valid.
fn explore(fault: Fault, bounds: Bounds) -> (usize, bool) {
    let mut seen = HashSet::new();
    let mut queue = VecDeque::from([State::new(fault, bounds)]);
    while let Some(state) = queue.pop_front() {
        for next in state.next() {
            if !next.is_valid() {
                println!("{:?}", next.trace);
                return (seen.len(), false);
            }
            if seen.insert(next.key()) {
                queue.push_back(next);
            }
        }
    }
    (seen.len(), true)
}

#[test]
fn no_share_is_used_by_two_limiters() {
    for bounds in BOUNDS {
        let (states, valid) = explore(Fault::None, bounds);
        println!("{bounds:?}: {states} states");
        assert!(valid, "{bounds:?}");
        assert!(states > 1_000, "{bounds:?}: {states} states");
    }
}

#[rstest]
#[case(Fault::CountsFromReceipt, Bounds { ticks: 3, restarts: 0 })]
#[case(Fault::SkipsStartupWait, Bounds { ticks: 0, restarts: 1 })]
#[case(Fault::ExpiresOnTimeout, Bounds { ticks: 0, restarts: 0 })]
#[case(Fault::IgnoresSequence, Bounds { ticks: 1, restarts: 0 })]
fn injected_fault_is_detected(#[case] fault: Fault, #[case] bounds: Bounds) {
    assert!(!explore(fault, bounds).1, "{fault:?}");
}

/// Limit of the organisation in the exploration of claims: one token per step, and a small burst.
const LIMITS: Limits = Limits { rate: 10.0, burst: 2.0, margin: 1.0 };
/// Length of one time step in the exploration of claims, in microseconds.
const CLAIM_TICK: u64 = 100_000;
/// Length of explored event sequences.
const DEPTH: usize = 7;

/// Fault injected into the reservation of tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Flaw {
    None,
    /// Reserved tokens are granted in addition to the tokens of the bucket.
    Adds,
    /// A scheduled retry is granted without a token.
    GrantsRetries,
}

/// Limiter with the shares of two instances, and its grants.
#[derive(Clone)]
struct ClaimState {
    flaw: Flaw,
    limiter: Limiter,
    now: u64,
    seq: u64,
    granted: Vec<(u64, u32)>,
    /// Scheduled retry times.
    retries: Vec<u64>,
}

impl ClaimState {
    fn new(flaw: Flaw) -> ClaimState {
        let (limiter, granted, retries) = (Limiter::new(1), Vec::new(), Vec::new());
        let mut state = ClaimState { flaw, limiter, now: BEGIN, seq: 0, granted, retries };
        state.lend(0, true);
        state.lend(1, true);
        state
    }

    /// Lends the half of an instance, or takes it back.
    fn lend(&mut self, at: usize, lends: bool) {
        let timestamp = Some(self.limiter.timestamp(self.now));
        self.seq += 1;
        let slots = if lends { own_slot() } else { SlotSet::default() };
        self.limiter.accept(&name(at), self.seq, slots, 0.5, timestamp, self.now);
    }

    fn claim(&mut self, demand: Demand) {
        let grant = self.limiter.claim(&Name::from(ORGANISATION), LIMITS, demand, self.now);
        let due = self.retries.iter().position(|at| *at <= self.now);
        match grant {
            Grant::Granted { count, .. } => self.granted.push((self.now, count)),
            Grant::Refused(s) if self.flaw == Flaw::Adds && s.reserved => self.granted.push((self.now, 1)),
            Grant::Refused(_) if self.flaw == Flaw::GrantsRetries && due.is_some() => {
                self.retries.remove(due.unwrap_or_default());
                self.granted.push((self.now, 1));
            }
            Grant::Refused(s) => self.retries.push(self.now + s.after),
        }
    }

    /// Returns every state after one event.
    fn next(&self) -> impl Iterator<Item = ClaimState> {
        (0..7).map(|event| {
            let mut state = self.clone();
            match event {
                0 => state.now += CLAIM_TICK,
                1 => state.now += 5 * CLAIM_TICK,
                2 => state.lend(1, false),
                3 => state.claim(Demand::unprioritised(1)),
                class => state.claim(Demand::prioritised(2, class - 4, 10 * CLAIM_TICK)),
            }
            state
        })
    }

    /// Returns true if the grants in each window, including those possible now, are within the limit. The bound is that
    /// of all shares; without half of them fewer operations are granted.
    fn is_valid(&self) -> bool {
        let mut all = self.granted.clone();
        let mut limiter = self.limiter.clone();
        if let Grant::Granted { count, .. } =
            limiter.claim(&Name::from(ORGANISATION), LIMITS, Demand::prioritised(100, 0, 0), self.now)
        {
            all.push((self.now, count));
        }
        let sum = |from: usize| all[from..].iter().map(|grant| grant.1).sum::<u32>();
        let bound =
            |t: u64| LIMITS.rate * (self.now - t + MAX_DELAY) as f64 / 1e6 + LIMITS.burst + LIMITS.margin;
        all.iter().enumerate().all(|(n, grant)| f64::from(sum(n)) <= bound(grant.0) + 1e-6)
    }
}

/// Returns true if every order of events stays within the limit, and counts the states.
fn explore_claims(from: &ClaimState, depth: usize, seen: &mut usize) -> bool {
    *seen += 1;
    from.is_valid() && (depth == 0 || from.next().all(|next| explore_claims(&next, depth - 1, seen)))
}

#[test]
fn claims_of_any_urgency_are_bounded_by_the_bucket() {
    let mut states = 0;
    assert!(explore_claims(&ClaimState::new(Flaw::None), DEPTH, &mut states));
    println!("{states} states");
    assert!(states > 900_000, "{states} states");
}

#[rstest]
#[case(Flaw::Adds)]
#[case(Flaw::GrantsRetries)]
fn injected_reservation_fault_is_detected(#[case] flaw: Flaw) {
    assert!(!explore_claims(&ClaimState::new(flaw), DEPTH, &mut 0), "{flaw:?}");
}
