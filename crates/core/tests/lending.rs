//! Loans of shares in large fleets.
//!
//! If all instances send to a limiter at the same time, the limiter receives more messages than it can reply to,
//! replies time out, and shares are lent to no limiter. Messages must stay within the limiter's rate, and all shares
//! must be placed soon after a simultaneous start of all instances.

use {
    pondtrack_core::{
        placement,
        quota::{
            Demand, Lender, Limiter, Limits, MAX_LOAN_DURATION, MAX_MESSAGE_RATE, MIN_LOAN_DURATION,
            MIN_RENEWAL_INTERVAL, Offer, RenewalScheduler, SLOTS, SlotSet, Timestamp, slot,
        },
    },
    pondtrack_proto::Name,
    rand::{Rng, RngExt, SeedableRng},
    rand_pcg::Pcg64Mcg,
    rstest::rstest,
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BinaryHeap},
    },
};

/// Microseconds in a second.
const SECOND: u64 = 1_000_000;
/// Time within which all instances start.
const START_SPREAD: u64 = 300_000;
/// Time after the first start within which all shares are placed.
const PLACEMENT_TIME: u64 = 2 * SECOND;
/// Interval between two polls of an instance until its shares are placed.
const POLL_INTERVAL: u64 = 50_000;
/// Maximum network delay of a message.
const MAX_DELAY: u64 = 3_000;

/// Schedule of messages to limiters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Schedule {
    Paced,
    /// Injected fault: a message at each poll, with a timeout of 150 ms.
    EveryPoll,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Start(usize),
    Kill(usize),
    Poll { at: usize, process: u64 },
    Arrive(u64),
    Handle { id: u64, process: u64 },
    Reply { id: u64, slots: u8, t: u64, process: u64 },
    Refused(u64),
    Timeout(u64),
}

/// Message in flight, sent by one process of an instance.
struct Message {
    from: usize,
    to: usize,
    process: u64,
    seq: u64,
    offer: Offer,
    /// True if a second message may follow immediately.
    is_first: bool,
}

struct Instance {
    name: Name,
    process: u64,
    /// Start of the process. `None` while the instance is down.
    started_at: Option<u64>,
    lender: Lender,
    limiter: Limiter,
    scheduler: RenewalScheduler,
    limiters: Option<[Name; SLOTS]>,
    timestamps: BTreeMap<usize, Timestamp>,
    seq: u64,
    /// Time at which all received messages are processed.
    busy_until: u64,
}

struct Simulation {
    rng: Pcg64Mcg,
    schedule: Schedule,
    now: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    count: u64,
    instances: Vec<Instance>,
    messages: BTreeMap<u64, Message>,
    /// Indices of instances by slot, in order of preference.
    preferences: Vec<Vec<usize>>,
    /// Arrival times of messages, by limiter.
    arrivals: Vec<Vec<u64>>,
}

impl Simulation {
    fn new(seed: u64, n: usize, schedule: Schedule) -> Simulation {
        let names: Vec<Name> = (0..n).map(|n| Name::from(format!("n{n:03}"))).collect();
        let preferences = |slot: usize| {
            let mut all: Vec<usize> = (0..n).collect();
            all.sort_by_key(|n| Reverse(placement::rendezvous_hash(&format!("limit {slot}"), &names[*n])));
            all
        };
        let mut sim = Simulation {
            rng: Pcg64Mcg::seed_from_u64(seed),
            schedule,
            now: 0,
            events: BinaryHeap::new(),
            count: 0,
            preferences: (0..SLOTS).map(preferences).collect(),
            instances: Vec::new(),
            messages: BTreeMap::new(),
            arrivals: vec![Vec::new(); n],
        };
        for (n, name) in names.into_iter().enumerate() {
            let instance = sim.new_instance(name);
            sim.instances.push(instance);
            let at = sim.rng.random_range(0..START_SPREAD);
            sim.push_event(at, Event::Start(n));
        }
        sim
    }

    fn new_instance(&mut self, name: Name) -> Instance {
        let process = self.rng.next_u64();
        Instance {
            name,
            process,
            started_at: None,
            lender: Lender::new(0),
            limiter: Limiter::new(process),
            scheduler: RenewalScheduler::default(),
            limiters: None,
            timestamps: BTreeMap::new(),
            seq: 0,
            busy_until: 0,
        }
    }

    fn push_event(&mut self, at: u64, event: Event) {
        self.count += 1;
        self.events.push(Reverse((at, self.count, event)));
    }

    fn run(&mut self, until: u64) {
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > until {
                self.push_event(at, event);
                break;
            }
            self.now = at;
            self.handle(event);
        }
        self.now = until;
    }

    /// Returns the time on the clock of an instance, which starts with its process.
    fn clock(&self, at: usize) -> u64 {
        self.now - self.instances[at].started_at.unwrap_or(self.now)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Start(at) => {
                let name = self.instances[at].name.clone();
                self.instances[at] = self.new_instance(name);
                self.instances[at].started_at = Some(self.now);
                self.poll(at);
            }
            Event::Kill(at) => self.instances[at].started_at = None,
            Event::Poll { at, process } if self.is_up(at, process) => self.poll(at),
            Event::Arrive(id) => {
                let Some(message) = self.messages.get(&id) else { return };
                let to = message.to;
                if self.instances[to].started_at.is_none() {
                    let back = self.now + self.rng.random_range(1..MAX_DELAY);
                    return self.push_event(back, Event::Refused(id));
                }
                self.arrivals[to].push(self.now);
                let done = self.instances[to].busy_until.max(self.now) + SECOND / MAX_MESSAGE_RATE;
                self.instances[to].busy_until = done;
                let process = self.instances[to].process;
                self.push_event(done, Event::Handle { id, process });
            }
            Event::Handle { id, process } => self.process(id, process),
            Event::Reply { id, slots, t, process } => self.on_reply(id, slots, Timestamp { process, at: t }),
            Event::Refused(id) | Event::Timeout(id) => {
                let Some(message) = self.messages.remove(&id) else { return };
                if self.is_up(message.from, message.process) {
                    let (random, now) = (self.rng.next_u64(), self.clock(message.from));
                    let to = self.instances[message.to].name.clone();
                    self.instances[message.from].scheduler.record_failure(&to, random, now);
                    self.instances[message.from].scheduler.complete(&to);
                }
            }
            Event::Poll { .. } => {}
        }
    }

    fn is_up(&self, at: usize, process: u64) -> bool {
        self.instances[at].started_at.is_some() && self.instances[at].process == process
    }

    /// Updates the limiters in the view of an instance.
    fn place(&mut self, at: usize) {
        let (now, n) = (self.clock(at), self.instances.len());
        let names = |order: &Vec<usize>, lost: &[Name]| {
            let candidate = order.iter().map(|n| &self.instances[*n].name).find(|name| !lost.contains(name));
            candidate.unwrap_or(&self.instances[at].name).clone()
        };
        let lost: Vec<Name> = self.instances[at].scheduler.lost().cloned().collect();
        let limiters: [Name; SLOTS] = std::array::from_fn(|slot| names(&self.preferences[slot], &lost));
        let instance = &mut self.instances[at];
        instance.scheduler.set_fleet(at, n);
        if let Some(old) = instance.limiters.replace(limiters.clone()) {
            instance.scheduler.reassigned(&old, &limiters, now);
        }
    }

    /// Runs one poll of an instance: updates its limiters and sends the messages that are due.
    fn poll(&mut self, at: usize) {
        self.place(at);
        let (now, schedule) = (self.clock(at), self.schedule);
        let limiters = self.instances[at].limiters.clone().unwrap();
        for _ in 0..2 {
            self.lend_here(at);
        }
        let instance = &mut self.instances[at];
        let mut targets = instance.lender.stale_holders(&limiters, now);
        targets.extend(instance.scheduler.lost().cloned());
        targets.extend(limiters.iter().cloned());
        targets.retain(|name| *name != instance.name);
        targets.sort_unstable();
        targets.dedup();
        for (name, free) in instance.lender.release_times(&limiters, now) {
            instance.scheduler.schedule_by(&name, free);
        }
        if schedule == Schedule::EveryPoll {
            instance.scheduler.set_fleet(0, 1);
            targets.iter().for_each(|name| instance.scheduler.schedule_by(name, now));
        }
        for name in instance.scheduler.take_due(&targets, now) {
            let to = self.instances.binary_search_by(|i| i.name.cmp(&name)).unwrap();
            self.send(at, to, true);
        }
        let instance = &self.instances[at];
        let max = if instance.lender.is_placed(&limiters, now) { 400_000 } else { POLL_INTERVAL };
        let next = match schedule {
            Schedule::Paced => instance.scheduler.next_delay(now).unwrap_or(max).clamp(5_000, max),
            Schedule::EveryPoll => max,
        };
        let process = instance.process;
        self.push_event(self.now + next, Event::Poll { at, process });
    }

    fn lend_here(&mut self, at: usize) {
        let now = self.clock(at);
        let (seq, offer) = self.offer(at, at);
        let instance = &mut self.instances[at];
        let reply = instance.limiter.accept_offer(&instance.name, seq, offer, now);
        instance.lender.apply_reply(&instance.name, reply);
        instance.timestamps.insert(at, instance.limiter.timestamp(now));
    }

    fn offer(&mut self, from: usize, to: usize) -> (u64, Offer) {
        let now = self.clock(from);
        let (n, name) = (self.instances.len(), self.instances[to].name.clone());
        let preferred: Vec<bool> = self.preferences.iter().map(|order| order[0] == to).collect();
        let instance = &mut self.instances[from];
        let duration = instance.lender.raise_duration(instance.scheduler.loan_duration());
        let since = instance.timestamps.get(&to).copied();
        let mut slots = SlotSet::default();
        let assigned = instance.limiters.iter().flatten().enumerate().filter(|pair| *pair.1 == name);
        for (slot, _) in assigned.filter(|_| since.is_some()) {
            if instance.lender.lend(slot, &name, preferred[slot], now) {
                slots.insert(slot);
            }
        }
        instance.seq = instance.seq.max(now) + 1;
        (instance.seq, Offer { slots, share: 1.0 / n as f64, since, duration })
    }

    fn send(&mut self, from: usize, to: usize, is_first: bool) {
        let (seq, offer) = self.offer(from, to);
        let process = self.instances[from].process;
        self.count += 1;
        let id = self.count;
        self.messages.insert(id, Message { from, to, process, seq, offer, is_first });
        let delay = self.rng.random_range(1..MAX_DELAY);
        self.push_event(self.now + delay, Event::Arrive(id));
        let timeout = self.instances[from].scheduler.timeout();
        self.push_event(self.now + timeout, Event::Timeout(id));
    }

    /// Processes a message at a limiter. The sender may have timed out.
    fn process(&mut self, id: u64, process: u64) {
        let Some(message) = self.messages.get(&id).filter(|m| self.is_up(m.to, process)) else { return };
        let (to, seq, offer) = (message.to, message.seq, message.offer);
        let (now, name) = (self.clock(to), self.instances[message.from].name.clone());
        let limiter = &mut self.instances[to].limiter;
        let used = limiter.accept_offer(&name, seq, offer, now).used;
        let bits = (0..SLOTS).filter(|slot| used.contains(*slot)).fold(0, |all, slot| all | 1 << slot);
        let delay = self.rng.random_range(1..MAX_DELAY);
        self.push_event(self.now + delay, Event::Reply { id, slots: bits, t: now, process });
    }

    fn on_reply(&mut self, id: u64, bits: u8, stamp: Timestamp) {
        let Some(message) = self.messages.remove(&id) else { return };
        let Message { from, to, process, offer, is_first, .. } = message;
        if !self.is_up(from, process) {
            return;
        }
        let (now, name) = (self.clock(from), self.instances[to].name.clone());
        let mut used = SlotSet::default();
        (0..SLOTS).filter(|slot| bits & 1 << slot != 0).for_each(|slot| used.insert(slot));
        let sender = &mut self.instances[from];
        let released = sender.lender.release_except(&name, used);
        for (slot, assigned) in sender.limiters.iter().flatten().enumerate() {
            if released.contains(slot) {
                sender.scheduler.schedule_by(assigned, now);
            }
        }
        let known = sender.timestamps.insert(to, stamp).is_some_and(|t| t.process == stamp.process);
        if sender.scheduler.record_reply(&name, now) {
            self.place(from);
        }
        if is_first && (!known || used != offer.slots) {
            self.send(from, to, false);
        } else {
            self.instances[from].scheduler.complete(&name);
        }
    }

    /// Returns the number of instances whose shares aren't all lent to the assigned limiters.
    fn unplaced(&self) -> usize {
        let placed = |at: usize| {
            let instance = &self.instances[at];
            let assigned = instance.limiters.as_ref();
            instance.started_at.is_none()
                || assigned.is_some_and(|assigned| instance.lender.is_placed(assigned, self.clock(at)))
        };
        (0..self.instances.len()).filter(|at| !placed(*at)).count()
    }

    /// Returns the total share used by running limiters, by slot.
    fn used(&mut self) -> Vec<f64> {
        let used = |slot: usize| {
            let organisation = organisation(slot);
            let mut sum = 0.0;
            for at in 0..self.instances.len() {
                let now = self.clock(at);
                let instance = &mut self.instances[at];
                if instance.started_at.is_some() {
                    instance.limiter.claim(&organisation, LIMITS, Demand::unprioritised(1), now);
                    sum += instance.limiter.share(&organisation);
                }
            }
            sum
        };
        (0..SLOTS).map(used).collect()
    }

    /// Runs until a time, and checks at each step that no share is used twice.
    fn run_checked(&mut self, until: u64) {
        while self.now < until {
            self.run((self.now + 20_000).min(until));
            let max = self.used().into_iter().fold(0.0, f64::max);
            assert!(max < 1.0 + 1e-6, "{max} of a limit is used at {}", self.now);
        }
    }

    /// Returns the maximum number of messages received by one limiter in a second.
    fn max_messages(&self) -> usize {
        let max = |arrivals: &Vec<u64>| {
            let upto = |at: usize| arrivals.partition_point(|t| *t < arrivals[at] + SECOND) - at;
            (0..arrivals.len()).map(upto).max().unwrap_or(0)
        };
        self.arrivals.iter().map(max).max().unwrap_or(0)
    }
}

const LIMITS: Limits = Limits { rate: 60.0, burst: 4.0, margin: 0.0 };

/// Returns an organisation of a slot.
fn organisation(of: usize) -> Name {
    let mut all = (0..).map(|n| Name::from(format!("o{n}")));
    all.find(|name| slot(name) == of).unwrap()
}

#[rstest]
#[case(9)]
#[case(71)]
#[case(300)]
#[case(760)]
fn shares_are_placed_after_a_start_of_all_instances(#[case] n: usize) {
    for seed in 0..5 {
        let mut sim = Simulation::new(seed, n, Schedule::Paced);
        sim.run(PLACEMENT_TIME);
        assert_eq!(sim.unplaced(), 0, "seed {seed}: shares not placed in time");
        for _ in 0..40 {
            sim.run(sim.now + SECOND / 5);
            assert_eq!(sim.unplaced(), 0, "seed {seed}: a loan has expired at {}", sim.now);
        }
        let max = sim.max_messages();
        assert!(max <= MAX_MESSAGE_RATE as usize, "seed {seed}: {max} messages in a second");
    }
}

#[test]
fn messages_at_every_poll_are_detected() {
    let mut sim = Simulation::new(1, 300, Schedule::EveryPoll);
    sim.run(PLACEMENT_TIME);
    assert!(sim.unplaced() > 0);
    assert!(sim.max_messages() > MAX_MESSAGE_RATE as usize);
}

#[rstest]
#[case(9)]
#[case(71)]
#[case(300)]
#[case(760)]
fn shares_are_placed_after_loss_and_return_of_a_limiter(#[case] n: usize) {
    for seed in 0..2 {
        let mut sim = Simulation::new(seed, n, Schedule::Paced);
        sim.run(PLACEMENT_TIME);
        sim.run_checked(4 * SECOND);
        let lost = sim.preferences[0][0];
        sim.push_event(4 * SECOND, Event::Kill(lost));
        let scheduler = &sim.instances[0].scheduler;
        // The loan of the instance that sent the last message expires, and that instance detects the loss one interval
        // later.
        let over = 4 * SECOND + scheduler.loan_duration() + 2 * scheduler.interval();
        sim.run_checked(over);
        assert_eq!(sim.unplaced(), 0, "seed {seed}: shares not placed after the loss");
        let kept = sim.used()[0];
        assert!(kept > 1.0 - 1.5 / n as f64, "seed {seed}: {kept} of the limit");
        sim.push_event(over, Event::Start(lost));
        sim.run_checked(over + 4 * SECOND);
        assert_eq!(sim.unplaced(), 0, "seed {seed}: shares not placed after the return");
        assert!(sim.instances[lost].limiter.share(&organisation(0)) > 1.0 - 1.5 / n as f64);
        let max = sim.max_messages();
        assert!(max <= MAX_MESSAGE_RATE as usize, "seed {seed}: {max} messages in a second");
    }
}

#[test]
fn simulation_is_deterministic() {
    let arrivals = |seed: u64| {
        let mut sim = Simulation::new(seed, 71, Schedule::Paced);
        sim.run(3 * SECOND);
        sim.arrivals
    };
    assert_eq!(arrivals(3), arrivals(3));
    assert_ne!(arrivals(3), arrivals(4));
}

#[test]
fn slow_limiter_is_not_lost() {
    let limiter = Name::from("a");
    for (n, slow, lost) in [(9, 100_000, 150_000), (300, 500_000, 600_000), (760, 1_500_000, 1_520_000)] {
        let mut scheduler = RenewalScheduler::default();
        scheduler.set_fleet(0, n);
        assert_eq!(
            scheduler.take_due(std::slice::from_ref(&limiter), SECOND),
            std::slice::from_ref(&limiter)
        );
        scheduler.record_timeout(&limiter, 0, SECOND + slow);
        assert_eq!(scheduler.lost().count(), 0, "{n} instances");
        scheduler.record_timeout(&limiter, 0, SECOND + lost);
        assert_eq!(scheduler.lost().count(), 1, "{n} instances");
    }
}

#[test]
fn loan_outlasts_a_lost_message() {
    for n in [1, 9, 200, 201, 300, 760, 5_000] {
        let mut scheduler = RenewalScheduler::default();
        scheduler.set_fleet(0, n);
        // The loan is counted from the previous message, and the next message is lost.
        assert!(scheduler.loan_duration() >= 3 * scheduler.interval(), "{n} instances");
        assert!(n > 200 || scheduler.loan_duration() == MIN_LOAN_DURATION, "{n} instances");
    }
}

/// Fault injected into changing durations of loans.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// The lender states a longer duration than it counts.
    StatesLonger,
    /// The limiter counts the duration from the receipt of the offer.
    CountsFromReceipt,
}

/// Simulates a lender with changing durations of loans and two limiters, with late, lost and reordered messages.
/// Returns true if both limiters used the share at the same time.
fn share_is_used_twice(seed: u64, fault: Fault) -> bool {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let names = [Name::from("a"), Name::from("b")];
    let mut limiters = [Limiter::new(1), Limiter::new(2)];
    let mut lender = Lender::new(0);
    let mut timestamps = [None; 2];
    let mut in_flight: Vec<(u64, usize, u64, Offer)> = Vec::new();
    let (mut now, mut assigned, mut pending, mut unreachable) = (10 * SECOND, 0, [(0, 0); 2], [false; 2]);
    for seq in 1..3_000 {
        now += rng.random_range(1_000..200_000);
        if rng.random_bool(0.01) {
            // The other limiter is assigned, usually because this one is unreachable.
            unreachable[assigned] = rng.random_bool(0.8);
            assigned = 1 - assigned;
            unreachable[assigned] = false;
        }
        let wanted = if rng.random_bool(0.1) {
            rng.random_range(MIN_LOAN_DURATION..2 * MIN_LOAN_DURATION)
        } else {
            MIN_LOAN_DURATION
        };
        let stated = lender.raise_duration(wanted);
        let stated = if fault == Fault::StatesLonger { stated + MIN_LOAN_DURATION } else { stated };
        for to in (0..2).filter(|to| pending[*to].1 <= now).collect::<Vec<_>>() {
            let mut slots = SlotSet::default();
            let is_assigned = to == assigned && timestamps[to].is_some();
            if is_assigned && lender.lend(0, &names[to], false, now) {
                slots.insert(0);
            }
            let offer = Offer { slots, share: 1.0, since: timestamps[to], duration: stated };
            pending[to] = (seq, now + 700_000);
            let late = if rng.random_bool(0.05) { 5 * SECOND } else { 600_000 };
            if !unreachable[to] && rng.random_bool(0.9) {
                in_flight.push((now + rng.random_range(0..late), to, seq, offer));
            }
        }
        let (due, left): (Vec<_>, Vec<_>) = in_flight.into_iter().partition(|m| m.0 <= now);
        in_flight = left;
        for (_, to, seq, mut offer) in due {
            let stamp = limiters[to].timestamp(now);
            if fault == Fault::CountsFromReceipt {
                offer.since = Some(stamp);
            }
            let reply = limiters[to].accept_offer(&Name::from("lender"), seq, offer, now);
            if pending[to].0 == seq {
                pending[to].1 = now;
                timestamps[to] = Some(stamp);
                lender.apply_reply(&names[to], reply);
            }
        }
        let organisation = organisation(0);
        limiters.iter_mut().for_each(|limiter| {
            limiter.claim(&organisation, LIMITS, Demand::unprioritised(1), now);
        });
        if limiters.iter().all(|limiter| limiter.share(&organisation) > 0.0) {
            return true;
        }
    }
    false
}

#[test]
fn share_is_never_used_twice_with_changing_durations() {
    for seed in 0..40 {
        assert!(!share_is_used_twice(seed, Fault::None), "seed {seed}");
    }
}

#[rstest]
#[case(Fault::StatesLonger)]
#[case(Fault::CountsFromReceipt)]
fn injected_duration_fault_is_detected(#[case] fault: Fault) {
    assert!((0..40).any(|seed| share_is_used_twice(seed, fault)), "{fault:?}");
}

/// Another instance may report any fleet size. Messages to limiters resume soon after the size is corrected.
#[test]
fn overestimated_fleet_size_is_corrected() {
    let limiters = [Name::from("a"), Name::from("b")];
    let mut scheduler = RenewalScheduler::default();
    scheduler.set_fleet(0, u32::MAX as usize);
    assert!(scheduler.interval() <= 4 * SECOND && scheduler.loan_duration() <= MAX_LOAN_DURATION);
    assert_eq!(scheduler.take_due(&limiters, SECOND), limiters);
    limiters.iter().for_each(|name| scheduler.complete(name));
    scheduler.set_fleet(0, 9);
    assert!(scheduler.take_due(&limiters, SECOND).is_empty());
    assert!(
        scheduler.next_delay(SECOND).is_some_and(|next| next <= MIN_RENEWAL_INTERVAL),
        "{:?}",
        scheduler.next_delay(SECOND)
    );
}

/// The cap on due times, which corrects an overestimated fleet size, must not shorten the backoff of a lost limiter.
#[test]
fn backoff_of_a_lost_limiter_is_not_shortened() {
    let limiter = Name::from("a");
    let targets = std::slice::from_ref(&limiter);
    let mut scheduler = RenewalScheduler::default();
    scheduler.set_fleet(0, 9);
    let now = 10 * SECOND;
    assert_eq!(scheduler.take_due(targets, now), targets);
    (0..9).for_each(|_| scheduler.record_failure(&limiter, 500_000, now));
    scheduler.complete(&limiter);
    assert!(scheduler.take_due(targets, now + 900_000).is_empty());
    assert_eq!(scheduler.take_due(targets, now + SECOND), targets);
}

#[test]
fn loan_duration_is_capped_at_the_largest_fleet() {
    let lender = Name::from("lender");
    let mut limiter = Limiter::new(1);
    let mut slots = SlotSet::default();
    slots.insert(0);
    let offer = Offer { slots, share: 1.0, since: Some(limiter.timestamp(SECOND)), duration: u64::MAX };
    limiter.accept_offer(&lender, 1, offer, SECOND);
    let organisation = organisation(0);
    let mut share = |now: u64| {
        limiter.claim(&organisation, LIMITS, Demand::unprioritised(1), now);
        limiter.share(&organisation)
    };
    assert_eq!(share(SECOND + MAX_LOAN_DURATION - 1), 1.0);
    assert_eq!(share(SECOND + MAX_LOAN_DURATION), 0.0);
    // The lender counts the same maximum.
    let mut lender = Lender::new(0);
    assert_eq!(lender.raise_duration(u64::MAX), MAX_LOAN_DURATION);
    assert!(lender.lend(0, &Name::from("a"), true, SECOND));
    assert!(!lender.lend(0, &Name::from("b"), true, SECOND + MAX_LOAN_DURATION - 1));
    assert!(lender.lend(0, &Name::from("b"), true, SECOND + MAX_LOAN_DURATION));
}

/// The sequence numbers of a lender restart with its process. A limiter ignores the offers of the new process until the
/// loans of the previous one have expired, and a late offer may take effect after that.
#[test]
fn reply_to_an_ignored_offer_releases_nothing() {
    let (name, names) = (Name::from("lender"), [Name::from("a"), Name::from("b")]);
    let mut limiters = [Limiter::new(1), Limiter::new(2)];
    let mut slots = SlotSet::default();
    slots.insert(0);
    let now = 10 * SECOND;
    let offer = |limiter: &Limiter, slots, now| Offer {
        slots,
        share: 1.0,
        since: Some(limiter.timestamp(now)),
        duration: MIN_LOAN_DURATION,
    };
    // The previous process releases its shares.
    let last = offer(&limiters[0], SlotSet::default(), now);
    assert!(!limiters[0].accept_offer(&name, 1_000, last, now).is_ignored);
    // Two offers of the new process lend the share, and the first is late.
    let mut lender = Lender::new(now);
    assert!(lender.lend(0, &names[0], true, now));
    let now = now + MIN_LOAN_DURATION - 100_000;
    let late = offer(&limiters[0], slots, now);
    assert!(lender.lend(0, &names[0], true, now));
    let ignored = limiters[0].accept_offer(&name, 2, late, now);
    assert!(ignored.is_ignored && ignored.used.is_empty());
    assert!(lender.apply_reply(&names[0], ignored).is_empty());
    // The share isn't lent to the next limiter while the late offer may take effect.
    let lent = lender.lend(0, &names[1], false, now + 1);
    let now = now + 200_000;
    assert!(!limiters[0].accept_offer(&name, 1, late, now).is_ignored);
    if lent {
        let other = offer(&limiters[1], slots, now);
        limiters[1].accept_offer(&name, 3, other, now);
    }
    let used = limiters.iter().filter(|l| l.share(&organisation(0)) > 0.0).count();
    assert_eq!((lent, used), (false, 1));
    assert!(lender.lend(0, &names[1], false, now + MIN_LOAN_DURATION));
}
