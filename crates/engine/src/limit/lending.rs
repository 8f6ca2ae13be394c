//! Shares of limits: which instance is the limiter of which slot, and what is lent to it.

use {
    super::{Limit, note},
    crate::{
        count::Count,
        instance::{Instance, Micros, micros},
        message::{QuotaLoan, Request, Response},
    },
    pondtrack_core::{
        place::{self, Candidate},
        quota::{Offer, PERIOD, Reply, Slots, Stamp},
    },
    pondtrack_proto::Name,
    std::{rc::Rc, time::Duration},
    tokio::time::{sleep, timeout},
};

/// The longest time between two looks at which limiters there are, until all shares are with theirs.
const FIRST_LOOK: Duration = Duration::from_millis(50);
/// The shortest.
const LEAST_LOOK: Duration = Duration::from_millis(5);
/// An instance that no other answers for so many periods is its own limiter.
const ALONE: u64 = 3;
/// An instance that is new to the others counts itself as one of them only after this long: until then they divide the
/// limits among fewer. They learn of each other within 7 s.
const SETTLE: Duration = Duration::from_millis(8_000);
/// A process that has heard of no other instance takes itself for the only one only after this long, unless the whole fleet
/// starts for the first time: the store may have come back from a copy without the entries of the others, which are
/// written again within this time.
const LONELY: Duration = Duration::from_millis(4_000);

impl Limit {
    /// Answers another instance that lends its shares.
    pub fn lent(&self, inst: &Instance, it: &QuotaLoan) -> Response {
        let now = inst.now();
        let leaving = inst.leaving().is_some();
        if it.from != inst.settings.name {
            inst.counters.increment(Count::Lent);
        }
        let slots = if leaving { Slots::default() } else { it.slots };
        let mut limiter = self.limiter.borrow_mut();
        let offer = Offer { slots, share: it.share, since: it.since, term: it.duration };
        let answer = limiter.offered(&it.from, it.seq, offer, now);
        let version = inst.config().map(|it| it.version);
        let age = inst.unconfirmed().map(|it| (it / 1_000) as u32);
        let count = self.count.get().most as u32;
        Response::Lent { answer, stamp: limiter.stamp(now), leaving, count, confirmed: version.zip(age) }
    }

    /// Counts the instances that share the limits, and finds the limiter of each slot.
    pub(super) fn place(&self, inst: &Instance) {
        let Some(peers) = inst.peers() else { return };
        let now = inst.now();
        note(&self.count, peers.len() + 1, now);
        let me = &inst.settings.name;
        let unfit: Vec<Name> = self.pacing.borrow().lost().cloned().collect();
        let silent = now.saturating_sub(self.answered.get());
        let is_alone = !unfit.is_empty() && silent >= ALONE * self.pacing.borrow().period();
        let fits = |it: &Name| !is_alone && !unfit.contains(it);
        let own = inst.own_candidate();
        let mut all: Vec<Candidate<'_>> = peers.iter().map(|it| inst.candidate(it)).collect();
        let mut others = all.clone();
        others.retain(|it| fits(it.name));
        if inst.leaving().is_none() || others.is_empty() {
            others.push(own);
        }
        all.push(own);
        let first = |slot: usize, all: &[Candidate<'_>]| {
            place::best(&format!("limit {slot}"), all).unwrap_or(me).clone()
        };
        let fit = std::array::from_fn(|slot| first(slot, &others));
        let usual = std::array::from_fn(|slot| first(slot, &all));
        let before = peers.partition_point(|it| it.name < *me);
        let mut pacing = self.pacing.borrow_mut();
        pacing.set_fleet(before, self.counted(now));
        if let Some(old) = self.limiters.replace(Some(fit.clone())) {
            pacing.moved(&old, &fit, now);
        }
        *self.usual.borrow_mut() = Some(usual);
    }

    /// The limiter of each slot, as this instance finds it; none before the others were counted.
    pub fn limiters(&self) -> Option<Vec<Name>> {
        self.limiters.borrow().as_ref().map(|it| it.to_vec())
    }

    /// This instance's share of each limit.
    fn share(&self, inst: &Instance, now: Micros) -> f64 {
        let is_known = !self.new.get() || now >= micros(SETTLE);
        let lonely = self.answered.get() == 0 && now < micros(LONELY);
        if !is_known || lonely && !inst.settings.first_start {
            return 0.0;
        }
        1.0 / self.counted(now) as f64
    }

    /// How many instances share the limits.
    fn counted(&self, now: Micros) -> usize {
        let told = Some(self.told.get()).filter(|it| !it.is_old(now)).map_or(0, |it| it.most);
        self.count.get().most.max(told).max(1)
    }

    /// A message for an instance: the shares of the slots that are meant for it.
    fn lending(&self, inst: &Instance, to: &Name) -> QuotaLoan {
        let now = inst.now();
        let stamps = self.stamps.borrow();
        let since = stamps.binary_search_by(|it| it.0.cmp(to)).ok().map(|at| stamps[at].1);
        let share = self.share(inst, now);
        let term = self.lender.borrow_mut().set_term(self.pacing.borrow().term());
        let mut slots = Slots::default();
        if since.is_some()
            && share > 0.0
            && let (Some(limiters), Some(usual)) = (&*self.limiters.borrow(), &*self.usual.borrow())
        {
            for (slot, _) in limiters.iter().enumerate().filter(|it| it.1 == to) {
                if self.lender.borrow_mut().lend(slot, to, usual[slot] == *to, now) {
                    slots.insert(slot);
                }
            }
        }
        self.seq.set(self.seq.get().max(now) + 1);
        let from = inst.settings.name.clone();
        QuotaLoan { from, seq: self.seq.get(), slots, share, since, duration: term }
    }

    /// An instance has answered a loan; says whether another message at once makes it whole.
    fn took(&self, from: &Name, sent: Slots, answer: Reply, stamp: Stamp, now: Micros) -> bool {
        let back = self.lender.borrow_mut().answered(from, answer);
        if let Some(limiters) = &*self.limiters.borrow() {
            let mut pacing = self.pacing.borrow_mut();
            // The one that has just answered has its next message in its time.
            let slots = limiters.iter().enumerate().filter(|it| back.contains(it.0) && it.1 != from);
            slots.for_each(|it| pacing.hurry(it.1, now));
        }
        let mut stamps = self.stamps.borrow_mut();
        let known = match stamps.binary_search_by(|it| it.0.cmp(from)) {
            Ok(at) => std::mem::replace(&mut stamps[at].1, stamp).process == stamp.process,
            Err(at) => {
                stamps.insert(at, (from.clone(), stamp));
                false
            }
        };
        !known || !answer.is_ignored && answer.used != sent
    }

    /// How long until the next messages to limiters.
    pub fn pause(&self, inst: &Instance) -> Duration {
        if inst.config().is_some_and(|it| it.organisations.is_none()) {
            return Duration::from_micros(PERIOD);
        }
        let now = inst.now();
        let limiters = self.limiters.borrow();
        let placed = limiters.as_ref().is_some_and(|it| self.lender.borrow().is_placed(it, now));
        let is_settled = placed || limiters.is_some() && self.share(inst, now) == 0.0;
        let most = if is_settled { Duration::from_micros(PERIOD) } else { FIRST_LOOK };
        let next = self.pacing.borrow().next(now).map_or(most, Duration::from_micros);
        next.clamp(LEAST_LOOK, most)
    }

    /// The instances that are to be told something now, besides this one.
    fn audience(&self, inst: &Instance) -> Vec<Name> {
        let now = inst.now();
        let Some(limiters) = self.limiters.borrow().clone() else { return Vec::new() };
        let lender = self.lender.borrow();
        let mut pacing = self.pacing.borrow_mut();
        let mut out = lender.misplaced(&limiters, now);
        out.extend(pacing.lost().filter(|it| inst.peer(it).is_some()).cloned());
        let frees = lender.frees(&limiters, now);
        out.extend(limiters);
        out.retain(|it| *it != inst.settings.name);
        out.sort_unstable();
        out.dedup();
        frees.iter().for_each(|it| pacing.hurry(&it.0, it.1));
        pacing.due(&out, now)
    }

    /// An instance can't be a limiter for now.
    fn missed(&self, inst: &Instance, name: &Name) {
        inst.counters.increment(Count::LimiterLost);
        self.pacing.borrow_mut().missed(name, inst.random(u64::MAX), inst.now());
    }
}

/// Lends this instance's shares to limiters, for good.
pub async fn run(inst: Rc<Instance>) {
    loop {
        sleep(inst.limit.pause(&inst)).await;
        let limited = inst.config().is_some_and(|it| it.organisations.is_some());
        if !limited {
            continue;
        }
        inst.limit.place(&inst);
        inst.limit.limiter.borrow_mut().trim(inst.now());
        inst.limit.refusals.borrow_mut().trim(inst.now());
        lend_here(&inst);
        for name in inst.limit.audience(&inst) {
            tokio::task::spawn_local(lend(inst.clone(), name));
        }
    }
}

/// This instance is a limiter, for itself too.
fn lend_here(inst: &Instance) {
    let limit = &inst.limit;
    let me = &inst.settings.name;
    for _ in 0..2 {
        let lending = limit.lending(inst, me);
        let Response::Lent { answer, stamp, .. } = limit.lent(inst, &lending) else { return };
        if !limit.took(me, lending.slots, answer, stamp, inst.now()) {
            return;
        }
    }
}

/// Lends shares to another instance, or takes them back.
async fn lend(inst: Rc<Instance>, to: Name) {
    let limit = &inst.limit;
    for _ in 0..2 {
        let Some(peer) = inst.peer(&to) else { break };
        let lending = limit.lending(&inst, &to);
        let (sent, asked) = (lending.slots, inst.now());
        let patience = Duration::from_micros(limit.pacing.borrow().patience());
        match timeout(patience, peer.ask(&inst, Request::Lend(lending))).await {
            Ok(Response::Lent { answer, stamp, leaving, count, confirmed }) => {
                limit.answered.set(inst.now());
                note(&limit.told, count as usize, inst.now());
                hear(&inst, confirmed, asked);
                let again = limit.took(&to, sent, answer, stamp, inst.now());
                if leaving {
                    limit.missed(&inst, &to);
                    break;
                }
                let was_lost = limit.pacing.borrow_mut().answered(&to, inst.now());
                if was_lost {
                    limit.place(&inst);
                }
                if !again {
                    break;
                }
            }
            Ok(_) | Err(_) => {
                limit.missed(&inst, &to);
                break;
            }
        }
    }
    limit.pacing.borrow_mut().ended(&to);
}

/// Another instance has told, after it was asked, how long ago its configuration was the newest.
fn hear(inst: &Instance, confirmed: Option<(u64, u32)>, asked: Micros) {
    let known = inst.config().map_or(0, |it| it.version);
    if let Some((version, age_ms)) = confirmed
        && version <= known
    {
        inst.confirm_config(asked.saturating_sub(u64::from(age_ms) * 1_000));
    }
}
