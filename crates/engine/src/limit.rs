//! Operations within the quotas of organisations.
//!
//! What is granted where is decided in [`pondtrack_core::quota`]; here are the messages. Each instance lends its shares to
//! the limiters that it finds by hashing, one for each slot, and asks these before an operation runs. One that can't reach
//! a limiter lends to the next, so that either side of a cut has the shares of its instances, and no more.

use {
    crate::{
        count::Count,
        instance::{Instance, Micros, micros},
        message::{Ask, Claim, Told},
        organisation::Owner,
    },
    pondtrack_core::quota::{Grant, Lender, Limiter, Limits, Pacing, SLOTS, Stamp, TERM, slot},
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

mod lending;

pub use self::lending::run;

/// Time for a limiter's answer: a crossing of zones and a busy instance; callers wait meanwhile.
const LIMIT: Duration = Duration::from_millis(150);
/// The same for this long after the start, when limiters may come up a moment later: within the first period.
const START: Duration = Duration::from_millis(3_000);
/// How long an operation waits then for a limiter that has shares. Its caller would only come back as soon, and does so
/// twice at most.
const START_WAIT: Duration = Duration::from_millis(400);
/// Between two looks meanwhile.
const START_LOOK: Duration = Duration::from_millis(25);
/// A smaller number of instances counts only after this long: some may be about to come back.
const SHRINK: Duration = Duration::from_millis(10_000);
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
    /// When limiters are told something.
    pacing: RefCell<Pacing>,
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
            pacing: RefCell::default(),
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
                limit.pacing.borrow_mut().doubted(&limiter, inst.random(u64::MAX), inst.now());
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
