//! Shares of limits in large fleets: limiters that answer a bounded number of messages have no more of them, and all
//! shares are placed soon after a start of all.

use {
    pondtrack_core::{
        placement,
        quota::{
            ANSWERS, Demand, LONGEST_TERM, Lender, Limiter, Limits, Offer, PERIOD, Pacing, SLOTS, Slots,
            Stamp, TERM, slot,
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
/// All instances start within this.
const STARTS: u64 = 300_000;
/// Shares are placed within this after the first of them has started.
const PLACED: u64 = 2 * SECOND;
/// Between two looks at the limiters, until all shares are placed.
const LOOK: u64 = 50_000;
/// The longest time for a message on its way.
const WAY: u64 = 3_000;

/// When instances speak to limiters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Rule {
    Paced,
    /// At each look, with 150 ms for an answer: what is wrong.
    AtOnce,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Start(usize),
    Kill(usize),
    Look { at: usize, process: u64 },
    Arrive(u64),
    Handle { id: u64, process: u64 },
    Told { id: u64, slots: u8, stamp: u64, process: u64 },
    Refused(u64),
    Over(u64),
}

/// A message under way, of the process of an instance.
struct Message {
    from: usize,
    to: usize,
    process: u64,
    seq: u64,
    offer: Offer,
    /// Whether another may follow at once.
    is_first: bool,
}

struct Member {
    name: Name,
    process: u64,
    /// When its process started; none while there is none.
    start: Option<u64>,
    lender: Lender,
    limiter: Limiter,
    pacing: Pacing,
    limiters: Option<[Name; SLOTS]>,
    stamps: BTreeMap<usize, Stamp>,
    seq: u64,
    /// When it has answered what has come.
    busy: u64,
}

struct World {
    rng: Pcg64Mcg,
    rule: Rule,
    now: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    count: u64,
    members: Vec<Member>,
    messages: BTreeMap<u64, Message>,
    /// Instances in the order in which each slot is meant for them.
    ranked: Vec<Vec<usize>>,
    /// Messages that came, by limiter.
    came: Vec<Vec<u64>>,
}

impl World {
    fn new(seed: u64, n: usize, rule: Rule) -> World {
        let names: Vec<Name> = (0..n).map(|it| Name::from(format!("n{it:03}"))).collect();
        let ranked = |slot: usize| {
            let mut all: Vec<usize> = (0..n).collect();
            all.sort_by_key(|it| Reverse(placement::rendezvous_hash(&format!("limit {slot}"), &names[*it])));
            all
        };
        let mut it = World {
            rng: Pcg64Mcg::seed_from_u64(seed),
            rule,
            now: 0,
            events: BinaryHeap::new(),
            count: 0,
            ranked: (0..SLOTS).map(ranked).collect(),
            members: Vec::new(),
            messages: BTreeMap::new(),
            came: vec![Vec::new(); n],
        };
        for (at, name) in names.into_iter().enumerate() {
            let member = it.member(name);
            it.members.push(member);
            let start = it.rng.random_range(0..STARTS);
            it.put(start, Event::Start(at));
        }
        it
    }

    fn member(&mut self, name: Name) -> Member {
        let process = self.rng.next_u64();
        Member {
            name,
            process,
            start: None,
            lender: Lender::new(0),
            limiter: Limiter::new(process),
            pacing: Pacing::default(),
            limiters: None,
            stamps: BTreeMap::new(),
            seq: 0,
            busy: 0,
        }
    }

    fn put(&mut self, at: u64, event: Event) {
        self.count += 1;
        self.events.push(Reverse((at, self.count, event)));
    }

    fn run(&mut self, until: u64) {
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > until {
                self.put(at, event);
                break;
            }
            self.now = at;
            self.happen(event);
        }
        self.now = until;
    }

    /// The time on the clock of an instance, which begins with its process.
    fn clock(&self, at: usize) -> u64 {
        self.now - self.members[at].start.unwrap_or(self.now)
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Start(at) => {
                let name = self.members[at].name.clone();
                self.members[at] = self.member(name);
                self.members[at].start = Some(self.now);
                self.look(at);
            }
            Event::Kill(at) => self.members[at].start = None,
            Event::Look { at, process } if self.is_up(at, process) => self.look(at),
            Event::Arrive(id) => {
                let Some(it) = self.messages.get(&id) else { return };
                let to = it.to;
                if self.members[to].start.is_none() {
                    let back = self.now + self.rng.random_range(1..WAY);
                    return self.put(back, Event::Refused(id));
                }
                self.came[to].push(self.now);
                let done = self.members[to].busy.max(self.now) + SECOND / ANSWERS;
                self.members[to].busy = done;
                let process = self.members[to].process;
                self.put(done, Event::Handle { id, process });
            }
            Event::Handle { id, process } => self.handle(id, process),
            Event::Told { id, slots, stamp, process } => self.told(id, slots, Stamp { process, at: stamp }),
            Event::Refused(id) | Event::Over(id) => {
                let Some(it) = self.messages.remove(&id) else { return };
                if self.is_up(it.from, it.process) {
                    let (random, now) = (self.rng.next_u64(), self.clock(it.from));
                    let to = self.members[it.to].name.clone();
                    self.members[it.from].pacing.missed(&to, random, now);
                    self.members[it.from].pacing.ended(&to);
                }
            }
            Event::Look { .. } => {}
        }
    }

    fn is_up(&self, at: usize, process: u64) -> bool {
        self.members[at].start.is_some() && self.members[at].process == process
    }

    /// An instance finds its limiters.
    fn place(&mut self, at: usize) {
        let (now, n) = (self.clock(at), self.members.len());
        let names = |order: &Vec<usize>, lost: &[Name]| {
            let fit = order.iter().map(|it| &self.members[*it].name).find(|it| !lost.contains(it));
            fit.unwrap_or(&self.members[at].name).clone()
        };
        let lost: Vec<Name> = self.members[at].pacing.lost().cloned().collect();
        let limiters: [Name; SLOTS] = std::array::from_fn(|slot| names(&self.ranked[slot], &lost));
        let it = &mut self.members[at];
        it.pacing.set_fleet(at, n);
        if let Some(old) = it.limiters.replace(limiters.clone()) {
            it.pacing.moved(&old, &limiters, now);
        }
    }

    /// An instance looks at who its limiters are, and speaks to those whose time has come.
    fn look(&mut self, at: usize) {
        self.place(at);
        let (now, rule) = (self.clock(at), self.rule);
        let limiters = self.members[at].limiters.clone().unwrap();
        for _ in 0..2 {
            self.lend_here(at);
        }
        let it = &mut self.members[at];
        let mut audience = it.lender.misplaced(&limiters, now);
        audience.extend(it.pacing.lost().cloned());
        audience.extend(limiters.iter().cloned());
        audience.retain(|name| *name != it.name);
        audience.sort_unstable();
        audience.dedup();
        for (name, free) in it.lender.frees(&limiters, now) {
            it.pacing.hurry(&name, free);
        }
        if rule == Rule::AtOnce {
            it.pacing.set_fleet(0, 1);
            audience.iter().for_each(|name| it.pacing.hurry(name, now));
        }
        for name in it.pacing.due(&audience, now) {
            let to = self.members.binary_search_by(|it| it.name.cmp(&name)).unwrap();
            self.send(at, to, true);
        }
        let it = &self.members[at];
        let most = if it.lender.is_placed(&limiters, now) { 400_000 } else { LOOK };
        let next = match rule {
            Rule::Paced => it.pacing.next(now).unwrap_or(most).clamp(5_000, most),
            Rule::AtOnce => most,
        };
        let process = it.process;
        self.put(self.now + next, Event::Look { at, process });
    }

    fn lend_here(&mut self, at: usize) {
        let now = self.clock(at);
        let (seq, offer) = self.offer(at, at);
        let it = &mut self.members[at];
        let answer = it.limiter.offered(&it.name, seq, offer, now);
        it.lender.answered(&it.name, answer);
        it.stamps.insert(at, it.limiter.stamp(now));
    }

    fn offer(&mut self, from: usize, to: usize) -> (u64, Offer) {
        let now = self.clock(from);
        let (n, name) = (self.members.len(), self.members[to].name.clone());
        let usual: Vec<bool> = self.ranked.iter().map(|it| it[0] == to).collect();
        let it = &mut self.members[from];
        let term = it.lender.set_term(it.pacing.term());
        let since = it.stamps.get(&to).copied();
        let mut slots = Slots::default();
        let meant = it.limiters.iter().flatten().enumerate().filter(|it| *it.1 == name);
        for (slot, _) in meant.filter(|_| since.is_some()) {
            if it.lender.lend(slot, &name, usual[slot], now) {
                slots.insert(slot);
            }
        }
        it.seq = it.seq.max(now) + 1;
        (it.seq, Offer { slots, share: 1.0 / n as f64, since, term })
    }

    fn send(&mut self, from: usize, to: usize, is_first: bool) {
        let (seq, offer) = self.offer(from, to);
        let process = self.members[from].process;
        self.count += 1;
        let id = self.count;
        self.messages.insert(id, Message { from, to, process, seq, offer, is_first });
        let way = self.rng.random_range(1..WAY);
        self.put(self.now + way, Event::Arrive(id));
        let patience = self.members[from].pacing.patience();
        self.put(self.now + patience, Event::Over(id));
    }

    /// A limiter's turn for a message has come. Whoever sent it may have stopped waiting.
    fn handle(&mut self, id: u64, process: u64) {
        let Some(it) = self.messages.get(&id).filter(|it| self.is_up(it.to, process)) else { return };
        let (to, seq, offer) = (it.to, it.seq, it.offer);
        let (now, name) = (self.clock(to), self.members[it.from].name.clone());
        let limiter = &mut self.members[to].limiter;
        let used = limiter.offered(&name, seq, offer, now).used;
        let bits = (0..SLOTS).filter(|it| used.contains(*it)).fold(0, |all, it| all | 1 << it);
        let way = self.rng.random_range(1..WAY);
        self.put(self.now + way, Event::Told { id, slots: bits, stamp: now, process });
    }

    fn told(&mut self, id: u64, bits: u8, stamp: Stamp) {
        let Some(message) = self.messages.remove(&id) else { return };
        let Message { from, to, process, offer, is_first, .. } = message;
        if !self.is_up(from, process) {
            return;
        }
        let (now, name) = (self.clock(from), self.members[to].name.clone());
        let mut used = Slots::default();
        (0..SLOTS).filter(|it| bits & 1 << it != 0).for_each(|it| used.insert(it));
        let it = &mut self.members[from];
        let back = it.lender.returned(&name, used);
        for (slot, meant) in it.limiters.iter().flatten().enumerate() {
            if back.contains(slot) {
                it.pacing.hurry(meant, now);
            }
        }
        let known = it.stamps.insert(to, stamp).is_some_and(|it| it.process == stamp.process);
        if it.pacing.answered(&name, now) {
            self.place(from);
        }
        if is_first && (!known || used != offer.slots) {
            self.send(from, to, false);
        } else {
            self.members[from].pacing.ended(&name);
        }
    }

    /// Instances some of whose shares are not where they are meant to be.
    fn unplaced(&self) -> usize {
        let placed = |at: usize| {
            let it = &self.members[at];
            let meant = it.limiters.as_ref();
            it.start.is_none() || meant.is_some_and(|meant| it.lender.is_placed(meant, self.clock(at)))
        };
        (0..self.members.len()).filter(|at| !placed(*at)).count()
    }

    /// The parts of each slot's limits that are used by limiters that are up.
    fn used(&mut self) -> Vec<f64> {
        let used = |slot: usize| {
            let organisation = organisation(slot);
            let mut sum = 0.0;
            for at in 0..self.members.len() {
                let now = self.clock(at);
                let it = &mut self.members[at];
                if it.start.is_some() {
                    it.limiter.claim(&organisation, LIMITS, Demand::plain(1), now);
                    sum += it.limiter.share(&organisation);
                }
            }
            sum
        };
        (0..SLOTS).map(used).collect()
    }

    /// Goes on until a time; at each step no share may be used twice.
    fn watch(&mut self, until: u64) {
        while self.now < until {
            self.run((self.now + 20_000).min(until));
            let most = self.used().into_iter().fold(0.0, f64::max);
            assert!(most < 1.0 + 1e-6, "{most} of a limit is used at {}", self.now);
        }
    }

    /// The most messages that came to one limiter in a second.
    fn most(&self) -> usize {
        let most = |came: &Vec<u64>| {
            let upto = |at: usize| came.partition_point(|it| *it < came[at] + SECOND) - at;
            (0..came.len()).map(upto).max().unwrap_or(0)
        };
        self.came.iter().map(most).max().unwrap_or(0)
    }
}

const LIMITS: Limits = Limits { rate: 60.0, burst: 4.0, margin: 0.0 };

/// An organisation of a slot.
fn organisation(of: usize) -> Name {
    let mut all = (0..).map(|it| Name::from(format!("o{it}")));
    all.find(|it| slot(it) == of).unwrap()
}

#[rstest]
#[case(9)]
#[case(71)]
#[case(300)]
#[case(760)]
fn after_a_start_of_all_shares_are_placed_and_limiters_keep_up(#[case] n: usize) {
    for seed in 0..5 {
        let mut it = World::new(seed, n, Rule::Paced);
        it.run(PLACED);
        assert_eq!(it.unplaced(), 0, "seed {seed}: not placed in time");
        for _ in 0..40 {
            it.run(it.now + SECOND / 5);
            assert_eq!(it.unplaced(), 0, "seed {seed}: a loan has ended at {}", it.now);
        }
        let most = it.most();
        assert!(most <= ANSWERS as usize, "seed {seed}: {most} messages in a second");
    }
}

#[test]
fn messages_at_every_look_are_found() {
    let mut it = World::new(1, 300, Rule::AtOnce);
    it.run(PLACED);
    assert!(it.unplaced() > 0);
    assert!(it.most() > ANSWERS as usize);
}

#[rstest]
#[case(9)]
#[case(71)]
#[case(300)]
#[case(760)]
fn a_limiter_is_lost_and_comes_back(#[case] n: usize) {
    for seed in 0..2 {
        let mut it = World::new(seed, n, Rule::Paced);
        it.run(PLACED);
        it.watch(4 * SECOND);
        let lost = it.ranked[0][0];
        it.put(4 * SECOND, Event::Kill(lost));
        let pacing = &it.members[0].pacing;
        // The loan of whoever spoke last ends, and it learns of the loss a period later.
        let over = 4 * SECOND + pacing.term() + 2 * pacing.period();
        it.watch(over);
        assert_eq!(it.unplaced(), 0, "seed {seed}: not placed after the loss");
        let kept = it.used()[0];
        assert!(kept > 1.0 - 1.5 / n as f64, "seed {seed}: {kept} of the limit");
        it.put(over, Event::Start(lost));
        it.watch(over + 4 * SECOND);
        assert_eq!(it.unplaced(), 0, "seed {seed}: not placed after the return");
        assert!(it.members[lost].limiter.share(&organisation(0)) > 1.0 - 1.5 / n as f64);
        let most = it.most();
        assert!(most <= ANSWERS as usize, "seed {seed}: {most} messages in a second");
    }
}

#[test]
fn a_seed_gives_the_same_messages() {
    let came = |seed: u64| {
        let mut it = World::new(seed, 71, Rule::Paced);
        it.run(3 * SECOND);
        it.came
    };
    assert_eq!(came(3), came(3));
    assert_ne!(came(3), came(4));
}

#[test]
fn a_limiter_that_is_slow_is_not_lost() {
    let limiter = Name::from("a");
    for (n, slow, lost) in [(9, 100_000, 150_000), (300, 500_000, 600_000), (760, 1_500_000, 1_520_000)] {
        let mut it = Pacing::default();
        it.set_fleet(0, n);
        assert_eq!(it.due(std::slice::from_ref(&limiter), SECOND), std::slice::from_ref(&limiter));
        it.doubted(&limiter, 0, SECOND + slow);
        assert_eq!(it.lost().count(), 0, "{n} instances");
        it.doubted(&limiter, 0, SECOND + lost);
        assert_eq!(it.lost().count(), 1, "{n} instances");
    }
}

#[test]
fn a_loan_outlasts_a_message_that_is_lost() {
    for n in [1, 9, 200, 201, 300, 760, 5_000] {
        let mut it = Pacing::default();
        it.set_fleet(0, n);
        // It counts from the message before; the one after it is lost.
        assert!(it.term() >= 3 * it.period(), "{n} instances");
        assert!(n > 200 || it.term() == TERM, "{n} instances");
    }
}

/// What is wrong about terms that change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// The lender tells a longer term than it counts.
    TellsLonger,
    /// The limiter counts the term from when it hears of the loan.
    CountsFromArrival,
}

/// One lender, whose terms change, and two limiters; messages are late, lost and out of order. Whether a share was ever
/// used by both.
fn terms(seed: u64, fault: Fault) -> bool {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let names = [Name::from("a"), Name::from("b")];
    let mut limiters = [Limiter::new(1), Limiter::new(2)];
    let mut lender = Lender::new(0);
    let mut stamps = [None; 2];
    let mut wire: Vec<(u64, usize, u64, Offer)> = Vec::new();
    let (mut now, mut meant, mut asked, mut cut) = (10 * SECOND, 0, [(0, 0); 2], [false; 2]);
    for seq in 1..3_000 {
        now += rng.random_range(1_000..200_000);
        if rng.random_bool(0.01) {
            // The other one is meant, mostly because this one can't be reached.
            cut[meant] = rng.random_bool(0.8);
            meant = 1 - meant;
            cut[meant] = false;
        }
        let wanted = if rng.random_bool(0.1) { rng.random_range(TERM..2 * TERM) } else { TERM };
        let told = lender.set_term(wanted);
        let told = if fault == Fault::TellsLonger { told + TERM } else { told };
        for to in (0..2).filter(|to| asked[*to].1 <= now).collect::<Vec<_>>() {
            let mut slots = Slots::default();
            let is_meant = to == meant && stamps[to].is_some();
            if is_meant && lender.lend(0, &names[to], false, now) {
                slots.insert(0);
            }
            let offer = Offer { slots, share: 1.0, since: stamps[to], term: told };
            asked[to] = (seq, now + 700_000);
            let late = if rng.random_bool(0.05) { 5 * SECOND } else { 600_000 };
            if !cut[to] && rng.random_bool(0.9) {
                wire.push((now + rng.random_range(0..late), to, seq, offer));
            }
        }
        let (due, left): (Vec<_>, Vec<_>) = wire.into_iter().partition(|it| it.0 <= now);
        wire = left;
        for (_, to, seq, mut offer) in due {
            let stamp = limiters[to].stamp(now);
            if fault == Fault::CountsFromArrival {
                offer.since = Some(stamp);
            }
            let answer = limiters[to].offered(&Name::from("lender"), seq, offer, now);
            if asked[to].0 == seq {
                asked[to].1 = now;
                stamps[to] = Some(stamp);
                lender.answered(&names[to], answer);
            }
        }
        let organisation = organisation(0);
        limiters.iter_mut().for_each(|it| {
            it.claim(&organisation, LIMITS, Demand::plain(1), now);
        });
        if limiters.iter().all(|it| it.share(&organisation) > 0.0) {
            return true;
        }
    }
    false
}

#[test]
fn a_share_fills_once_whatever_the_terms() {
    for seed in 0..40 {
        assert!(!terms(seed, Fault::None), "seed {seed}");
    }
}

#[rstest]
#[case(Fault::TellsLonger)]
#[case(Fault::CountsFromArrival)]
fn a_wrong_term_is_found(#[case] fault: Fault) {
    assert!((0..40).any(|seed| terms(seed, fault)), "{fault:?}");
}

/// Whatever others tell of the fleet's size, an instance speaks to its limiters again soon.
#[test]
fn a_fleet_that_is_told_too_large_is_soon_forgotten() {
    let limiters = [Name::from("a"), Name::from("b")];
    let mut it = Pacing::default();
    it.set_fleet(0, u32::MAX as usize);
    assert!(it.period() <= 4 * SECOND && it.term() <= LONGEST_TERM);
    assert_eq!(it.due(&limiters, SECOND), limiters);
    limiters.iter().for_each(|name| it.ended(name));
    it.set_fleet(0, 9);
    assert!(it.due(&limiters, SECOND).is_empty());
    assert!(it.next(SECOND).is_some_and(|next| next <= PERIOD), "{:?}", it.next(SECOND));
}

/// A pause before one that is lost is asked again stays as long as it has to be.
#[test]
fn one_that_is_lost_is_not_asked_sooner() {
    let limiter = Name::from("a");
    let audience = std::slice::from_ref(&limiter);
    let mut it = Pacing::default();
    it.set_fleet(0, 9);
    let now = 10 * SECOND;
    assert_eq!(it.due(audience, now), audience);
    (0..9).for_each(|_| it.missed(&limiter, 500_000, now));
    it.ended(&limiter);
    assert!(it.due(audience, now + 900_000).is_empty());
    assert_eq!(it.due(audience, now + SECOND), audience);
}

#[test]
fn no_loan_lasts_longer_than_in_the_largest_fleet() {
    let lender = Name::from("lender");
    let mut it = Limiter::new(1);
    let mut slots = Slots::default();
    slots.insert(0);
    let offer = Offer { slots, share: 1.0, since: Some(it.stamp(SECOND)), term: u64::MAX };
    it.offered(&lender, 1, offer, SECOND);
    let organisation = organisation(0);
    let mut share = |now: u64| {
        it.claim(&organisation, LIMITS, Demand::plain(1), now);
        it.share(&organisation)
    };
    assert_eq!(share(SECOND + LONGEST_TERM - 1), 1.0);
    assert_eq!(share(SECOND + LONGEST_TERM), 0.0);
    // The lender counts as long.
    let mut lender = Lender::new(0);
    assert_eq!(lender.set_term(u64::MAX), LONGEST_TERM);
    assert!(lender.lend(0, &Name::from("a"), true, SECOND));
    assert!(!lender.lend(0, &Name::from("b"), true, SECOND + LONGEST_TERM - 1));
    assert!(lender.lend(0, &Name::from("b"), true, SECOND + LONGEST_TERM));
}

/// The numbers of a lender's messages begin anew with its process. The limiter ignores those of the new one until the
/// earlier one's time is over, and one that was late counts then.
#[test]
fn an_answer_to_an_ignored_offer_gives_nothing_back() {
    let (name, names) = (Name::from("lender"), [Name::from("a"), Name::from("b")]);
    let mut limiters = [Limiter::new(1), Limiter::new(2)];
    let mut slots = Slots::default();
    slots.insert(0);
    let now = 10 * SECOND;
    let offer =
        |it: &Limiter, slots, now| Offer { slots, share: 1.0, since: Some(it.stamp(now)), term: TERM };
    // The earlier process says good-bye.
    let last = offer(&limiters[0], Slots::default(), now);
    assert!(!limiters[0].offered(&name, 1_000, last, now).is_ignored);
    // Two messages of the new one lend; the first is late.
    let mut lender = Lender::new(now);
    assert!(lender.lend(0, &names[0], true, now));
    let now = now + TERM - 100_000;
    let late = offer(&limiters[0], slots, now);
    assert!(lender.lend(0, &names[0], true, now));
    let ignored = limiters[0].offered(&name, 2, late, now);
    assert!(ignored.is_ignored && ignored.used.is_empty());
    assert!(lender.answered(&names[0], ignored).is_empty());
    // Another is its limiter now: it isn't lent to while the late one may count.
    let lent = lender.lend(0, &names[1], false, now + 1);
    let now = now + 200_000;
    assert!(!limiters[0].offered(&name, 1, late, now).is_ignored);
    if lent {
        let other = offer(&limiters[1], slots, now);
        limiters[1].offered(&name, 3, other, now);
    }
    let fills = limiters.iter().filter(|it| it.share(&organisation(0)) > 0.0).count();
    assert_eq!((lent, fills), (false, 1));
    assert!(lender.lend(0, &names[1], false, now + TERM));
}
