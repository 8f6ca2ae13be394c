//! Operations within the quotas of organisations.
//!
//! What is granted where is decided in [`pondtrack_core::quota`]; here are the messages. Each instance lends its shares to
//! the limiters that it finds by hashing, one for each slot, and asks these before an operation runs. One that can't reach
//! a limiter lends to the next, so that either side of a cut has the shares of its instances, and no more.

use {
    crate::{
        count::Count,
        instance::{Instance, Micros, micros},
        message::{Ask, Claim, Lending, Told},
        organisation::Owner,
    },
    pondtrack_core::{
        place,
        quota::{Grant, Lender, Limiter, Limits, SLOTS, Slots, Stamp, TERM, slot},
    },
    pondtrack_proto::Name,
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
        time::Duration,
    },
    tokio::{
        sync::oneshot,
        time::{sleep, timeout},
    },
};

/// Between two messages to a limiter: a loan outlasts two that are lost.
const PERIOD: Duration = Duration::from_millis(400);
/// The same until all shares are with their limiters, as after a start.
const FIRST_PERIOD: Duration = Duration::from_millis(50);
/// Time for a limiter's answer: a crossing of zones and a busy instance; callers wait meanwhile.
const LIMIT: Duration = Duration::from_millis(150);
/// Between two questions to a limiter that did not answer, whether it does again.
const PROBE: Duration = Duration::from_millis(1_000);
/// The same for this long after the start, when limiters may come up a moment later: within the first period.
const START: Duration = Duration::from_millis(3_000);
/// How long an operation waits then for a limiter that has shares. Its caller would only come back as soon, and does so
/// twice at most.
const START_WAIT: Duration = Duration::from_millis(400);
/// Between two looks meanwhile.
const START_LOOK: Duration = Duration::from_millis(25);
/// An instance that no other answers for this long is its own limiter.
const ALONE: Duration = Duration::from_millis(1_200);
/// An instance that is new to the others counts itself as one of them only after this long: until then they divide the
/// limits among fewer. They learn of each other within 7 s.
const SETTLE: Duration = Duration::from_millis(8_000);
/// A smaller number of instances counts only after this long: some may be about to come back.
const SHRINK: Duration = Duration::from_millis(10_000);
/// A process that has heard of no other instance takes itself for the only one only after this long, unless the whole fleet
/// starts for the first time: the store may have come back from a copy without the entries of the others, which are
/// written again within this time.
const LONELY: Duration = Duration::from_millis(4_000);
/// The part of the tolerated operations that full buckets use, and again each new limiter; the rest is for limiters that
/// start again and for what is granted ahead.
const MARGIN_SHARE: f64 = 0.25;
/// The shortest time for which a refusal holds without another question.
const REFUSED_LEAST: Micros = 5_000;
/// The longest: a limit may be raised, or another limiter may take over.
const REFUSED_MOST: Micros = 200_000;

/// The answer where no limiter is known, and of one that has no share.
const UNPLACED: Grant = Grant::Refused { after: TERM };

/// An operation that waits for a limiter's word.
struct Waiting {
    organisation: Name,
    word: oneshot::Sender<Grant>,
}

/// How many instances share the limits: the most that were counted lately.
#[derive(Clone, Copy, Default)]
struct Counted {
    most: usize,
    /// When there were last as many.
    at: Micros,
}

impl Counted {
    fn note(&mut self, n: usize, now: Micros) {
        if n >= self.most || self.is_old(now) {
            *self = Counted { most: n, at: now };
        }
    }

    fn is_old(self, now: Micros) -> bool {
        now.saturating_sub(self.at) >= micros(SHRINK)
    }
}

/// A limiter that doesn't answer.
struct Unfit {
    name: Name,
    probed: Micros,
}

/// The limits of organisations, as one instance keeps them.
pub struct Limit {
    lender: RefCell<Lender>,
    limiter: RefCell<Limiter>,
    /// The limiter of each slot; none before the others were counted.
    limiters: RefCell<Option<[Name; SLOTS]>>,
    /// The same if all instances could be reached.
    usual: RefCell<Option<[Name; SLOTS]>>,
    /// The last moments that limiters told, sorted by name.
    stamps: RefCell<Vec<(Name, Stamp)>>,
    /// Limiters that owe the answer to a loan.
    asked: RefCell<Vec<Name>>,
    unfit: RefCell<Vec<Unfit>>,
    /// Operations that wait, by limiter; a list that is there is being worked on.
    queues: RefCell<Vec<(Name, Vec<Waiting>)>>,
    /// Organisations without room, and until when.
    full: RefCell<Vec<(Name, Micros)>>,
    /// Instances as this one has counted them.
    count: Cell<Counted>,
    /// The same as others told. It is told to nobody else, so that a number that was right once isn't told in circles.
    told: Cell<Counted>,
    /// When another instance last answered.
    answered: Cell<Micros>,
    /// Whether this instance is new to others that were there before.
    new: Cell<bool>,
    seq: Cell<u64>,
}

impl Limit {
    /// Nothing is known yet; `process` tells the processes apart that an instance runs as.
    pub fn new(process: u64, now: Micros) -> Limit {
        Limit {
            lender: RefCell::new(Lender::new(now)),
            limiter: RefCell::new(Limiter::new(process)),
            limiters: RefCell::default(),
            usual: RefCell::default(),
            stamps: RefCell::default(),
            asked: RefCell::default(),
            unfit: RefCell::default(),
            queues: RefCell::default(),
            full: RefCell::default(),
            count: Cell::default(),
            told: Cell::default(),
            answered: Cell::default(),
            new: Cell::default(),
            seq: Cell::default(),
        }
    }

    /// This instance has come to others that don't know it yet.
    pub fn set_new(&self) {
        self.new.set(true);
    }

    /// Waits until an operation of an owner may run.
    ///
    /// # Errors
    ///
    /// How long its organisation has no room for another, if that is longer than a caller should wait.
    pub async fn admit(&self, inst: &Rc<Instance>, owner: &Owner) -> Result<(), Duration> {
        let Owner::Organisation(organisation) = owner else { return Ok(()) };
        let Some(limits) = limits(inst, organisation) else { return Ok(()) };
        if let Some(left) = self.refused(organisation, inst.now()) {
            return Err(left);
        }
        let end = (inst.now() + micros(START_WAIT)).min(micros(START));
        let mut grant = self.claim(inst, organisation, limits).await;
        while grant == UNPLACED && inst.now() < end {
            sleep(START_LOOK).await;
            grant = self.claim(inst, organisation, limits).await;
        }
        match grant {
            Grant::Granted { after: 0, .. } => Ok(()),
            Grant::Granted { after, .. } => {
                sleep(Duration::from_micros(after)).await;
                Ok(())
            }
            Grant::Refused { after } => {
                inst.counters.one(Count::OverLimit);
                self.refuse(organisation, after, inst.now());
                Err(Duration::from_micros(after))
            }
        }
    }

    /// Claims an operation where the organisation's limiter is, as far as is known.
    async fn claim(&self, inst: &Rc<Instance>, organisation: &Name, limits: Limits) -> Grant {
        let limiter = self.limiters.borrow().as_ref().map(|it| it[slot(organisation)].clone());
        match limiter {
            None => UNPLACED,
            Some(it) if it == inst.settings.name => {
                self.limiter.borrow_mut().claim(organisation, limits, 1, inst.now())
            }
            Some(it) => self.ask(inst, it, organisation).await,
        }
    }

    /// How much longer an organisation has no room, as far as is known.
    fn refused(&self, organisation: &Name, now: Micros) -> Option<Duration> {
        let mut full = self.full.borrow_mut();
        full.retain(|it| it.1 > now);
        let until = full.iter().find(|it| it.0 == *organisation)?.1;
        Some(Duration::from_micros(until - now))
    }

    fn refuse(&self, organisation: &Name, after: Micros, now: Micros) {
        let until = now + after.clamp(REFUSED_LEAST, REFUSED_MOST);
        self.full.borrow_mut().push((organisation.clone(), until));
    }

    /// Asks a limiter for an operation, together with others that come meanwhile.
    async fn ask(&self, inst: &Rc<Instance>, limiter: Name, organisation: &Name) -> Grant {
        let (word, got) = oneshot::channel();
        if self.put_queue(&limiter, Waiting { organisation: organisation.clone(), word }) {
            tokio::task::spawn_local(ask_all(inst.clone(), limiter));
        }
        got.await.unwrap_or(UNPLACED)
    }

    /// Adds an operation to those that wait for a limiter; says whether nobody works on its list yet.
    fn put_queue(&self, limiter: &Name, it: Waiting) -> bool {
        let mut queues = self.queues.borrow_mut();
        match queues.iter_mut().find(|it| it.0 == *limiter) {
            Some((_, waiting)) => {
                waiting.push(it);
                false
            }
            None => {
                queues.push((limiter.clone(), vec![it]));
                true
            }
        }
    }

    /// The operations that wait for a limiter; none ends the work on its list.
    fn take_queue(&self, limiter: &Name) -> Option<Vec<Waiting>> {
        let mut queues = self.queues.borrow_mut();
        let at = queues.iter().position(|it| it.0 == *limiter)?;
        let waiting = std::mem::take(&mut queues[at].1);
        if waiting.is_empty() {
            queues.remove(at);
            return None;
        }
        Some(waiting)
    }

    /// Answers another instance that lends its shares.
    pub fn lent(&self, inst: &Instance, it: &Lending) -> Told {
        let now = inst.now();
        let leaving = inst.leaving().is_some();
        let slots = if leaving { Slots::default() } else { it.slots };
        let mut limiter = self.limiter.borrow_mut();
        let slots = limiter.lent(&it.from, it.seq, slots, it.share, it.since, now);
        let version = inst.desired().map(|it| it.version);
        let age = inst.unconfirmed().map(|it| (it / 1_000) as u32);
        let count = self.count.get().most as u32;
        Told::Lent { slots, stamp: limiter.stamp(now), leaving, count, confirmed: version.zip(age) }
    }

    /// Answers another instance that has operations to run.
    pub fn claimed(&self, inst: &Instance, claims: &[Claim]) -> Told {
        let now = inst.now();
        let mut limiter = self.limiter.borrow_mut();
        let grant = |it: &Claim| match limits(inst, &it.organisation) {
            Some(limits) => limiter.claim(&it.organisation, limits, it.count, now),
            // Which organisations there are may be known here only later.
            None => Grant::Refused { after: 0 },
        };
        Told::Granted(claims.iter().map(grant).collect())
    }

    /// Counts the instances that share the limits, and finds the limiter of each slot.
    fn place(&self, inst: &Instance) {
        let Some(peers) = inst.peers() else { return };
        let now = inst.now();
        note(&self.count, peers.len() + 1, now);
        let me = &inst.settings.name;
        let unfit = self.unfit.borrow();
        let silent = now.saturating_sub(self.answered.get());
        let is_alone = !unfit.is_empty() && silent >= micros(ALONE);
        let fits = |it: &Name| !is_alone && unfit.iter().all(|old| old.name != *it);
        let others: Vec<&Name> = peers.iter().map(|it| &it.name).filter(|it| fits(it)).collect();
        let mine = (inst.leaving().is_none() || others.is_empty()).then_some(me);
        let first = |slot: usize, all: &mut dyn Iterator<Item = &Name>| {
            let subject = format!("limit {slot}");
            all.max_by_key(|it| place::weight(&subject, it)).unwrap_or(me).clone()
        };
        let fit = std::array::from_fn(|slot| first(slot, &mut others.iter().copied().chain(mine)));
        let all = || peers.iter().map(|it| &it.name).chain([me]);
        let usual = std::array::from_fn(|slot| first(slot, &mut all()));
        *self.limiters.borrow_mut() = Some(fit);
        *self.usual.borrow_mut() = Some(usual);
    }

    /// This instance's share of each limit.
    fn share(&self, inst: &Instance, now: Micros) -> f64 {
        let is_known = !self.new.get() || now >= micros(SETTLE);
        let lonely = self.answered.get() == 0 && now < micros(LONELY);
        if !is_known || lonely && !inst.settings.first_start {
            return 0.0;
        }
        let told = Some(self.told.get()).filter(|it| !it.is_old(now)).map_or(0, |it| it.most);
        1.0 / self.count.get().most.max(told).max(1) as f64
    }

    /// A message for an instance: the shares of the slots that are meant for it.
    fn lending(&self, inst: &Instance, to: &Name) -> Lending {
        let now = inst.now();
        let stamps = self.stamps.borrow();
        let since = stamps.binary_search_by(|it| it.0.cmp(to)).ok().map(|at| stamps[at].1);
        let share = self.share(inst, now);
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
        Lending { from, seq: self.seq.get(), slots, share, since }
    }

    /// An instance has answered a loan; says whether another message at once makes it whole.
    fn took(&self, from: &Name, sent: Slots, used: Slots, stamp: Stamp) -> bool {
        self.lender.borrow_mut().returned(from, used);
        let mut stamps = self.stamps.borrow_mut();
        let known = match stamps.binary_search_by(|it| it.0.cmp(from)) {
            Ok(at) => std::mem::replace(&mut stamps[at].1, stamp).process == stamp.process,
            Err(at) => {
                stamps.insert(at, (from.clone(), stamp));
                false
            }
        };
        !known || used != sent
    }

    /// How long until the next messages to limiters.
    fn pause(&self, inst: &Instance) -> Duration {
        let now = inst.now();
        let limiters = self.limiters.borrow();
        let placed = limiters.as_ref().is_some_and(|it| self.lender.borrow().is_placed(it, now));
        if placed || self.share(inst, now) == 0.0 { PERIOD } else { FIRST_PERIOD }
    }

    fn set_unfit(&self, name: &Name, now: Micros) {
        let mut unfit = self.unfit.borrow_mut();
        match unfit.iter_mut().find(|it| it.name == *name) {
            Some(it) => it.probed = now,
            None => unfit.push(Unfit { name: name.clone(), probed: now }),
        }
    }

    /// The instances that are to be told something now.
    fn audience(&self, inst: &Instance) -> Vec<Name> {
        let now = inst.now();
        let Some(limiters) = self.limiters.borrow().clone() else { return Vec::new() };
        let mut out = self.lender.borrow().misplaced(&limiters, now);
        out.extend(limiters);
        let mut unfit = self.unfit.borrow_mut();
        unfit.retain(|it| inst.peer(&it.name).is_some());
        let probe = if now < micros(START) { FIRST_PERIOD } else { PROBE };
        let due = unfit.iter().filter(|it| now.saturating_sub(it.probed) >= micros(probe));
        out.extend(due.map(|it| it.name.clone()));
        out.sort_unstable();
        out.dedup();
        let asked = self.asked.borrow();
        out.retain(|it| !asked.contains(it));
        out
    }
}

fn note(cell: &Cell<Counted>, n: usize, now: Micros) {
    let mut it = cell.get();
    it.note(n, now);
    cell.set(it);
}

/// What limits an organisation; none where nothing does.
fn limits(inst: &Instance, organisation: &Name) -> Option<Limits> {
    let desired = inst.desired()?;
    let quota = desired.organisations.as_ref()?.find(organisation)?.quota?;
    Some(quota.limits(f64::from(inst.bounds.get().quota_margin) * MARGIN_SHARE))
}

/// Lends this instance's shares to limiters, for good.
pub async fn run(inst: Rc<Instance>) {
    loop {
        sleep(inst.limit.pause(&inst)).await;
        let limited = inst.desired().is_some_and(|it| it.organisations.is_some());
        if !limited {
            continue;
        }
        inst.limit.place(&inst);
        inst.limit.limiter.borrow_mut().trim(inst.now());
        for name in inst.limit.audience(&inst) {
            if name == inst.settings.name {
                lend_here(&inst);
            } else {
                inst.limit.asked.borrow_mut().push(name.clone());
                tokio::task::spawn_local(lend(inst.clone(), name));
            }
        }
    }
}

/// This instance is a limiter, for itself too.
fn lend_here(inst: &Instance) {
    let limit = &inst.limit;
    let me = &inst.settings.name;
    for _ in 0..2 {
        let lending = limit.lending(inst, me);
        let Told::Lent { slots, stamp, .. } = limit.lent(inst, &lending) else { return };
        if !limit.took(me, lending.slots, slots, stamp) {
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
        match timeout(LIMIT, peer.ask(&inst, Ask::Lend(lending))).await {
            Ok(Told::Lent { slots, stamp, leaving, count, confirmed }) => {
                limit.answered.set(inst.now());
                note(&limit.told, count as usize, inst.now());
                hear(&inst, confirmed, asked);
                let again = limit.took(&to, sent, slots, stamp);
                if leaving {
                    limit.set_unfit(&to, inst.now());
                    break;
                }
                limit.unfit.borrow_mut().retain(|it| it.name != to);
                if !again {
                    break;
                }
            }
            Ok(_) | Err(_) => {
                limit.set_unfit(&to, inst.now());
                break;
            }
        }
    }
    limit.asked.borrow_mut().retain(|it| *it != to);
}

/// Another instance has told, after it was asked, how long ago its configuration was the newest.
fn hear(inst: &Instance, confirmed: Option<(u64, u32)>, asked: Micros) {
    let known = inst.desired().map_or(0, |it| it.version);
    if let Some((version, age_ms)) = confirmed
        && version <= known
    {
        inst.confirm_desired(asked.saturating_sub(u64::from(age_ms) * 1_000));
    }
}

/// Asks a limiter for operations as long as any wait for it.
async fn ask_all(inst: Rc<Instance>, limiter: Name) {
    let limit = &inst.limit;
    while let Some(mut waiting) = limit.take_queue(&limiter) {
        waiting.sort_by(|a, b| a.organisation.cmp(&b.organisation));
        let claims: Vec<Claim> = waiting
            .chunk_by(|a, b| a.organisation == b.organisation)
            .map(|it| Claim { organisation: it[0].organisation.clone(), count: it.len() as u32 })
            .collect();
        let told = match inst.peer(&limiter) {
            Some(peer) => timeout(LIMIT, peer.ask(&inst, Ask::Claim(claims.clone()))).await.ok(),
            None => None,
        };
        let grants = match told {
            Some(Told::Granted(it)) if it.len() == claims.len() => it,
            _ => {
                limit.set_unfit(&limiter, inst.now());
                limit.place(&inst);
                vec![UNPLACED; claims.len()]
            }
        };
        let mut waiting = waiting.into_iter();
        for (claim, grant) in claims.iter().zip(grants) {
            for (n, it) in waiting.by_ref().take(claim.count as usize).enumerate() {
                // Whoever has stopped waiting leaves the token unused.
                it.word.send(nth(grant, n as u32)).ok();
            }
        }
    }
}

/// What a grant for several means for one of them.
fn nth(grant: Grant, n: u32) -> Grant {
    match grant {
        Grant::Granted { count, after } if n >= count => Grant::Refused { after },
        other => other,
    }
}
