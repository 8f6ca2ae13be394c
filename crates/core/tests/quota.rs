//! Usage limits: what all instances grant together stays within them, whatever happens to messages and processes.

use {
    pondtrack_core::quota::{
        Demand, Grant, Lender, Limiter, Limits, MAX_DELAY, MIN_LOAN_DURATION, RetrySchedule, SLOTS, SlotSet,
        Timestamp, slot,
    },
    pondtrack_proto::Name,
    rand::{Rng, RngExt, SeedableRng},
    rand_pcg::Pcg64Mcg,
    rstest::rstest,
};

/// Microseconds in a second.
const SECOND: u64 = 1_000_000;
/// The window over which limits are judged.
const WINDOW: u64 = 5 * SECOND;
const LIMITS: Limits = Limits { rate: 60.0, burst: 4.0, margin: 0.0 };
/// A lender waits this long for an answer.
const PATIENCE: u64 = 150_000;

/// What is wrong with the rules, so that the check is seen to find it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// A limiter counts a term from when it hears of a loan.
    CountsFromArrival,
    /// A new process lends at once what an earlier one of it may have lent.
    StartsAtOnce,
    /// A limiter that is not heard is taken for one that gave the share back.
    GoesOnAtOnce,
    /// What is kept for more urgent operations is granted to them beside what the bucket holds.
    ReserveAdds,
}

/// Whether claims say how urgent they are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kinds {
    One,
    Three,
}

struct Member {
    name: Name,
    lender: Lender,
    limiter: Limiter,
    /// The stamps that limiters told, by their place.
    stamps: Vec<Option<Timestamp>>,
    /// The message that is under way to each, with when it is given up.
    asked: Vec<Option<(u64, u64)>>,
    frozen: u64,
    process: u64,
}

enum Message {
    Lend { from: usize, to: usize, seq: u64, slots: SlotSet, stamp: Option<Timestamp>, process: u64 },
    Used { from: usize, to: usize, seq: u64, slots: SlotSet, stamp: Timestamp, process: u64 },
}

struct World {
    rng: Pcg64Mcg,
    fault: Fault,
    /// The limiter to which new processes lend at once, if any.
    usual: Option<usize>,
    now: u64,
    seq: u64,
    members: Vec<Member>,
    wire: Vec<(u64, Message)>,
    /// Which instance each one takes for the limiter.
    views: Vec<usize>,
    /// The highest delay of a message at present.
    delay: u64,
    /// Whether callers want more than there is, rather than nothing.
    greedy: bool,
    /// Picks the priority of claims; none where they aren't told apart.
    kinds: Option<Pcg64Mcg>,
    granted: Vec<(u64, u32)>,
}

impl World {
    fn new(seed: u64, n: usize, fault: Fault) -> World {
        let mut it = World {
            rng: Pcg64Mcg::seed_from_u64(seed),
            fault,
            usual: None,
            now: 10 * SECOND,
            seq: 0,
            members: Vec::new(),
            wire: Vec::new(),
            views: vec![0; n],
            delay: 20_000,
            greedy: true,
            kinds: None,
            granted: Vec::new(),
        };
        for at in 0..n {
            let member = it.member(at);
            it.members.push(member);
        }
        it
    }

    fn member(&mut self, at: usize) -> Member {
        let process = self.rng.next_u64();
        let since = if self.fault == Fault::StartsAtOnce { self.now - MIN_LOAN_DURATION } else { self.now };
        let n = self.views.len();
        Member {
            name: Name::from(format!("n{at}")),
            lender: Lender::new(since),
            limiter: Limiter::new(process),
            stamps: vec![None; n],
            asked: vec![None; n],
            frozen: 0,
            process,
        }
    }

    fn step(&mut self, organisation: &Name) {
        self.now += self.rng.random_range(1_000..30_000);
        let n = self.members.len();
        match self.rng.random_range(0..800) {
            0..2 => self.delay = [5_000, 5_000, 5_000, 50_000, 400_000][self.rng.random_range(0..5)],
            2..8 => {
                let at = self.rng.random_range(0..n);
                self.members[at] = self.member(at);
                self.views[at] = self.rng.random_range(0..n);
            }
            24..26 => self.greedy = !self.greedy,
            8..9 => {
                let (at, pause) = (self.rng.random_range(0..n), self.rng.random_range(0..4 * SECOND));
                self.members[at].frozen = self.now + pause;
            }
            9..16 => {
                let view = self.rng.random_range(0..n);
                let all = self.rng.random_bool(0.5);
                let at = self.rng.random_range(0..n);
                for (it, old) in self.views.iter_mut().enumerate() {
                    if all || it == at {
                        *old = view;
                    }
                }
            }
            _ => {}
        }
        self.deliver();
        for at in 0..n {
            if self.members[at].frozen <= self.now && self.rng.random_bool(0.2) {
                self.tell(at);
            }
        }
        for at in 0..n {
            if self.greedy && self.members[at].frozen <= self.now && self.rng.random_bool(0.5) {
                self.claim_all(at, organisation);
            }
        }
    }

    /// An instance's callers claim what they can, in any order.
    fn claim_all(&mut self, at: usize, organisation: &Name) {
        let Some(rng) = &mut self.kinds else {
            return self.claim(at, organisation, Demand::unprioritised(5));
        };
        let (first, left) = (rng.random_range(0..3), rng.random_range(0..2 * SECOND));
        for n in 0..3 {
            self.claim(at, organisation, Demand::prioritised(5, (first + n) % 3, left));
        }
        // Some instances may not know of priorities yet; what was kept back until here is theirs.
        self.claim(at, organisation, Demand::unprioritised(5));
    }

    fn claim(&mut self, at: usize, organisation: &Name, demand: Demand) {
        match self.members[at].limiter.claim(organisation, LIMITS, demand, self.now) {
            Grant::Granted { count, after, .. } => {
                assert!(after <= MAX_DELAY + 1 && count <= demand.count);
                self.granted.push((self.now, count));
            }
            Grant::Refused(places) if self.fault == Fault::ReserveAdds && places.reserved => {
                self.granted.push((self.now, 1));
            }
            Grant::Refused(_) => {}
        }
    }

    /// An instance tells whom its shares are for, and who is to use them no longer.
    fn tell(&mut self, at: usize) {
        let (now, view) = (self.now, self.views[at]);
        let to = self.members[view].name.clone();
        let it = &mut self.members[at];
        for asked in &mut it.asked {
            if asked.is_some_and(|(_, until)| until <= now) {
                *asked = None;
                if self.fault == Fault::GoesOnAtOnce {
                    it.lender = Lender::new(now - MIN_LOAN_DURATION);
                }
            }
        }
        let meant: [Name; SLOTS] = std::array::from_fn(|_| to.clone());
        let mut all = it.lender.stale_holders(&meant, now);
        all.push(to);
        for name in all {
            let to = (0..self.members.len()).find(|n| self.members[*n].name == name).unwrap();
            if self.members[at].asked[to].is_some() {
                continue;
            }
            let usual = self.usual == Some(to);
            let mut slots = SlotSet::default();
            for slot in (0..SLOTS).filter(|_| to == view) {
                if self.members[at].lender.lend(slot, &name, usual, now) {
                    slots.insert(slot);
                }
            }
            self.seq += 1;
            let (seq, stamp) = (self.seq, self.members[at].stamps[to]);
            self.members[at].asked[to] = Some((seq, now + PATIENCE));
            let process = self.members[to].process;
            self.post(Message::Lend { from: at, to, seq, slots, stamp, process });
        }
    }

    fn post(&mut self, message: Message) {
        let delay = if self.rng.random_bool(0.05) { 3 * SECOND } else { self.delay };
        let at = self.now + self.rng.random_range(0..delay);
        self.wire.push((at, message));
    }

    fn deliver(&mut self) {
        let now = self.now;
        let frozen: Vec<bool> = self.members.iter().map(|it| it.frozen > now).collect();
        let due = |it: &(u64, Message)| match it.1 {
            Message::Lend { to, .. } | Message::Used { to, .. } => it.0 <= now && !frozen[to],
        };
        let (mut due, left): (Vec<_>, Vec<_>) = std::mem::take(&mut self.wire).into_iter().partition(due);
        self.wire = left;
        due.sort_by_key(|it| it.0);
        for (_, message) in due {
            match message {
                Message::Lend { from, to, seq, slots, stamp, process } => {
                    let name = self.members[from].name.clone();
                    let sender = self.members[from].process;
                    let it = &mut self.members[to];
                    if it.process != process {
                        continue;
                    }
                    let own = it.limiter.timestamp(now);
                    let stamp = if self.fault == Fault::CountsFromArrival { Some(own) } else { stamp };
                    let share = 1.0 / self.views.len() as f64;
                    let slots = it.limiter.accept(&name, seq, slots, share, stamp, now);
                    self.post(Message::Used { from: to, to: from, seq, slots, stamp: own, process: sender });
                }
                Message::Used { from, to, seq, slots, stamp, process } => {
                    let name = self.members[from].name.clone();
                    let it = &mut self.members[to];
                    if it.process != process || it.asked[from].is_none_or(|it| it.0 != seq) {
                        continue;
                    }
                    it.asked[from] = None;
                    it.stamps[from] = Some(stamp);
                    it.lender.release_except(&name, slots);
                }
            }
        }
    }

    /// The most that was granted in any window.
    fn most(&self) -> u32 {
        let mut most = 0;
        let (mut sum, mut first) = (0, 0);
        for (at, count) in &self.granted {
            sum += count;
            while self.granted[first].0 + WINDOW < *at {
                sum -= self.granted[first].1;
                first += 1;
            }
            most = most.max(sum);
        }
        most
    }
}

fn bound() -> u32 {
    let window = (WINDOW + MAX_DELAY) as f64 / SECOND as f64;
    (LIMITS.rate * window + LIMITS.burst + LIMITS.margin).ceil() as u32
}

fn play(seed: u64, fault: Fault, kinds: Kinds) -> World {
    play_with(seed, fault, None, kinds)
}

fn play_with(seed: u64, fault: Fault, usual: Option<usize>, kinds: Kinds) -> World {
    let organisation = Name::from("acme");
    let n = 2 + seed as usize % 5;
    let mut it = World::new(seed, n, fault);
    it.usual = usual;
    it.kinds = (kinds == Kinds::Three).then(|| Pcg64Mcg::seed_from_u64(seed));
    for _ in 0..6_000 {
        it.step(&organisation);
    }
    it
}

#[rstest]
fn all_instances_together_stay_within_a_limit(#[values(Kinds::One, Kinds::Three)] kinds: Kinds) {
    for seed in 0..60 {
        let most = play(seed, Fault::None, kinds).most();
        assert!(most <= bound(), "seed {seed}: {most} in a window, above {}", bound());
    }
}

/// A new process that lends at once may do so while an earlier one's loan goes on elsewhere, if it takes place just as
/// instances change their minds about who the limiter is; what comes of that stays below what is tolerated.
#[rstest]
fn new_processes_that_lend_at_once_stay_within_what_is_tolerated(
    #[values(Kinds::One, Kinds::Three)] kinds: Kinds,
) {
    let tolerated = (LIMITS.rate * 5.0 + LIMITS.burst) * 1.1 + 20.0;
    for seed in 0..60 {
        let most = play_with(seed, Fault::None, Some(0), kinds).most();
        assert!(f64::from(most) <= tolerated, "seed {seed}: {most} in a window, above {tolerated}");
    }
}

#[rstest]
#[case(Fault::CountsFromArrival)]
#[case(Fault::StartsAtOnce)]
#[case(Fault::GoesOnAtOnce)]
fn a_wrong_rule_is_found(#[case] fault: Fault, #[values(Kinds::One, Kinds::Three)] kinds: Kinds) {
    assert!((0..60).any(|seed| play(seed, fault, kinds).most() > bound()), "{fault:?}");
}

#[test]
fn a_reserve_that_adds_tokens_is_found() {
    assert!((0..60).any(|seed| play(seed, Fault::ReserveAdds, Kinds::Three).most() > bound()));
}

/// A limiter to which `n` instances have lent their shares.
fn limiter(n: u64, now: u64) -> Limiter {
    let mut it = Limiter::new(1);
    let stamp = Some(it.timestamp(now));
    let mut slots = SlotSet::default();
    (0..SLOTS).for_each(|slot| slots.insert(slot));
    for lender in 0..n {
        let name = Name::from(format!("n{lender}"));
        assert_eq!(it.accept(&name, 1, slots, 1.0 / n as f64, stamp, now), slots);
    }
    it
}

#[test]
fn what_is_within_the_limit_is_granted() {
    let organisation = Name::from("acme");
    let mut it = limiter(71, SECOND);
    let mut now = SECOND + SECOND;
    let mut refused = 0;
    // Nine tenths of the limit, evenly.
    for n in 0..20 {
        let stamp = Some(it.timestamp(now));
        let mut slots = SlotSet::default();
        slots.insert(slot(&organisation));
        for lender in 0..71 {
            it.accept(&Name::from(format!("n{lender}")), 2 + n, slots, 1.0 / 71.0, stamp, now);
        }
        for _ in 0..18 {
            now += SECOND / 18;
            refused += u32::from(matches!(
                it.claim(&organisation, LIMITS, Demand::unprioritised(1), now),
                Grant::Refused(_)
            ));
        }
    }
    assert_eq!(refused, 0);
}

#[test]
fn a_refusal_says_when_there_is_room() {
    let organisation = Name::from("acme");
    let mut it = limiter(4, SECOND);
    let now = 2 * SECOND;
    while matches!(it.claim(&organisation, LIMITS, Demand::unprioritised(1), now), Grant::Granted { .. }) {}
    let Grant::Refused(RetrySchedule { after, .. }) =
        it.claim(&organisation, LIMITS, Demand::unprioritised(1), now)
    else {
        panic!("granted")
    };
    assert!(matches!(
        it.claim(&organisation, LIMITS, Demand::unprioritised(1), now + after - 1_000),
        Grant::Refused(_)
    ));
    assert!(matches!(
        it.claim(&organisation, LIMITS, Demand::unprioritised(1), now + after),
        Grant::Granted { count: 1, .. }
    ));
}

#[test]
fn without_a_share_nothing_is_granted() {
    let mut it = Limiter::new(1);
    assert_eq!(
        it.claim(&Name::from("acme"), LIMITS, Demand::unprioritised(1), SECOND),
        Grant::Refused(RetrySchedule::at(MIN_LOAN_DURATION))
    );
}

#[test]
fn a_lowered_limit_takes_a_full_bucket_with_it() {
    let organisation = Name::from("acme");
    let mut it = limiter(4, SECOND);
    it.claim(&organisation, LIMITS, Demand::unprioritised(1), SECOND + MIN_LOAN_DURATION - 1);
    let low = Limits { rate: 1.0, burst: 1.0, margin: 0.0 };
    let Grant::Granted { count, .. } =
        it.claim(&organisation, low, Demand::unprioritised(10), SECOND + MIN_LOAN_DURATION - 1)
    else {
        panic!()
    };
    assert_eq!(count, 1);
}

/// Instances that lend to the limiter of one organisation, and callers that come to them unevenly: some to none.
struct Fleet {
    limiter: Limiter,
    lenders: Vec<Name>,
    seq: u64,
    now: u64,
}

impl Fleet {
    fn new(n: usize) -> Fleet {
        let lenders = (0..n).map(|it| Name::from(format!("n{it}"))).collect();
        let mut it = Fleet { limiter: Limiter::new(1), lenders, seq: 0, now: SECOND };
        it.lend(1.0);
        it
    }

    /// This part of the instances lends on.
    fn lend(&mut self, part: f64) {
        let n = self.lenders.len();
        let mut slots = SlotSet::default();
        (0..SLOTS).for_each(|slot| slots.insert(slot));
        let stamp = Some(self.limiter.timestamp(self.now));
        self.seq += 1;
        for it in &self.lenders[..(n as f64 * part) as usize] {
            self.limiter.accept(it, self.seq, slots, 1.0 / n as f64, stamp, self.now);
        }
    }

    /// Operations that are granted of those that come at a rate over some seconds, and those that come.
    fn play(&mut self, rate: f64, part: f64, seconds: u64) -> (u32, u32) {
        let organisation = Name::from("acme");
        let (mut granted, mut asked) = (0, 0);
        let end = self.now + seconds * SECOND;
        let mut next = self.now;
        while self.now < end {
            if next <= self.now {
                self.lend(part);
                next = self.now + 400_000;
            }
            self.now += (SECOND as f64 / rate) as u64;
            asked += 1;
            if let Grant::Granted { count, .. } =
                self.limiter.claim(&organisation, LIMITS, Demand::unprioritised(1), self.now)
            {
                granted += count;
            }
        }
        (granted, asked)
    }
}

#[rstest]
#[case(9)]
#[case(71)]
#[case(300)]
#[case(760)]
fn an_organisation_gets_its_limit_whatever_the_fleets_size(#[case] n: usize) {
    let mut it = Fleet::new(n);
    let (granted, asked) = it.play(LIMITS.rate * 0.9, 1.0, 10);
    assert_eq!(granted, asked, "below nine tenths nothing is refused");
    for load in [2.0, 7.5] {
        let (granted, _) = it.play(LIMITS.rate * load, 1.0, 10);
        let limit = LIMITS.rate * 10.0;
        assert!(f64::from(granted) >= 0.95 * limit, "{granted} of {limit} at {load} times the limit");
    }
    let (granted, _) = it.play(LIMITS.rate * 2.0, 0.5, 10);
    let half = LIMITS.rate * 10.0 * 0.5;
    assert!(f64::from(granted) >= 0.95 * half, "{granted}, where {half} is the share of half the fleet");
    let (granted, _) = it.play(LIMITS.rate * 2.0, 1.0, 5);
    assert!(f64::from(granted) >= 0.9 * LIMITS.rate * 5.0, "back within a window");
}

/// Where an organisation's callers are half as many as its limit allows, half of the fleet is enough for half of them.
#[test]
fn a_part_of_the_fleet_serves_its_part_of_the_callers() {
    let mut it = Fleet::new(70);
    it.play(LIMITS.rate * 0.6, 1.0, 5);
    let (granted, asked) = it.play(LIMITS.rate * 0.3, 0.5, 10);
    assert!(f64::from(granted) >= 0.95 * f64::from(asked), "{granted} of {asked}");
}
