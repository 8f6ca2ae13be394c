//! Operations within the quotas of organisations.
//!
//! What is granted where is decided in [`pondtrack_core::quota`]; here are the messages. Each instance lends its shares to
//! the limiters that it finds by hashing, one for each slot, and asks these before an operation runs. One that can't reach
//! a limiter lends to the next, so that either side of a cut has the shares of its instances, and no more.

use {
    crate::{
        count::Count,
        instance::{Instance, Micros, micros},
        message::{Claim, Response},
        model::Config,
        organisation::Owner,
        statement::Work,
    },
    pondtrack_core::{
        quota::{
            Demand, Grant, Lender, Limiter, Limits, MIN_LOAN_DURATION, RenewalScheduler, RetrySchedule,
            SLOTS, Timestamp, Urgency, slot,
        },
        retry_after::{RefusalCache, RetryAfter},
    },
    pondtrack_proto::Name,
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
        time::Duration,
    },
    tokio::time::{Instant, sleep},
};

mod claims;
mod lending;

use self::claims::Waiting;
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
/// The time that callers have left is told in steps of this length, so that those who come together are claimed for
/// together.
const LEFT_STEP: Micros = 50_000;

/// The answer where no limiter is known, and of one that has no share.
const UNPLACED: Grant = Grant::Refused(RetrySchedule::at(MIN_LOAN_DURATION));

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
pub struct Quotas {
    lender: RefCell<Lender>,
    limiter: RefCell<Limiter>,
    /// The limiter of each slot; none before the others were counted.
    limiters: RefCell<Option<[Name; SLOTS]>>,
    /// The same if all instances could be reached.
    usual: RefCell<Option<[Name; SLOTS]>>,
    /// The last moments that limiters told, sorted by name.
    stamps: RefCell<Vec<(Name, Timestamp)>>,
    /// When limiters are told something.
    pacing: RefCell<RenewalScheduler>,
    /// Operations that wait, by limiter; a list that is there is being worked on.
    queues: RefCell<Vec<(Name, Vec<Waiting>)>>,
    /// Organisations without room, and what their callers were told.
    refusals: RefCell<RefusalCache>,
    /// Whether routes differ in priority, in a version of the configuration.
    mixed: Cell<Option<(u64, bool)>>,
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

impl Quotas {
    /// Nothing is known yet; `process` tells the processes apart that an instance runs as.
    pub fn new(process: u64, now: Micros) -> Quotas {
        Quotas {
            lender: RefCell::new(Lender::new(now)),
            limiter: RefCell::new(Limiter::new(process)),
            limiters: RefCell::default(),
            usual: RefCell::default(),
            stamps: RefCell::default(),
            pacing: RefCell::default(),
            queues: RefCell::default(),
            refusals: RefCell::default(),
            mixed: Cell::default(),
            count: Cell::default(),
            told: Cell::default(),
            answered: Cell::default(),
            new: Cell::default(),
            seq: Cell::default(),
        }
    }

    /// This instance has come to others that don't know it yet.
    pub fn set_joining(&self) {
        self.new.set(true);
    }

    /// Waits until an operation may run.
    ///
    /// # Errors
    ///
    /// When there is room for it, if that is later than a caller should wait.
    pub async fn admit(&self, work: &Work<'_>) -> Result<(), RetryAfter> {
        let inst = &work.inst;
        let Owner::Organisation(organisation) = &work.owner else { return Ok(()) };
        let Some(limits) = limits(inst, organisation) else { return Ok(()) };
        let urgency = self.urgency(work);
        if let Some(told) = self.refusals.borrow_mut().lookup(organisation, urgency, inst.now()) {
            inst.counters.increment(Count::RefusedByHint);
            return Err(told);
        }
        let end = (inst.now() + micros(START_WAIT)).min(micros(START));
        let mut grant = self.claim(inst, organisation, limits, urgency).await;
        while grant == UNPLACED && inst.now() < end {
            sleep(START_LOOK).await;
            grant = self.claim(inst, organisation, limits, urgency).await;
        }
        match grant {
            Grant::Granted { after: 0, .. } => Ok(()),
            Grant::Granted { after, .. } => {
                sleep(Duration::from_micros(after)).await;
                Ok(())
            }
            Grant::Refused(places) => {
                let told = self.refusals.borrow_mut().insert(organisation, urgency, places, inst.now());
                count(inst, places, told);
                Err(told)
            }
        }
    }

    /// How urgent an operation is; none where all routes are as urgent.
    fn urgency(&self, work: &Work) -> Option<Urgency> {
        let desired = work.inst.config()?;
        let mixed = match self.mixed.get() {
            Some((version, it)) if version == desired.version => it,
            _ => {
                let it = is_mixed(&desired);
                self.mixed.set(Some((desired.version, it)));
                it
            }
        };
        let left = micros(work.end.saturating_duration_since(Instant::now())) / LEFT_STEP * LEFT_STEP;
        mixed.then_some(Urgency { priority: work.route.priority, remaining: left })
    }

    /// Claims an operation where the organisation's limiter is, as far as is known.
    async fn claim(
        &self,
        inst: &Rc<Instance>,
        organisation: &Name,
        limits: Limits,
        urgency: Option<Urgency>,
    ) -> Grant {
        let limiter = self.limiters.borrow().as_ref().map(|it| it[slot(organisation)].clone());
        match limiter {
            None => UNPLACED,
            Some(it) if it == inst.settings.name => {
                let demand = Demand { count: 1, urgency };
                self.limiter.borrow_mut().claim(organisation, limits, demand, inst.now())
            }
            Some(it) => self.ask(inst, it, organisation, urgency).await,
        }
    }

    /// Answers another instance that has operations to run.
    pub fn handle_claims(&self, inst: &Instance, claims: &[Claim]) -> Response {
        let now = inst.now();
        let mut limiter = self.limiter.borrow_mut();
        let grant = |it: &Claim| match limits(inst, &it.organisation) {
            Some(limits) => limiter.claim(&it.organisation, limits, it.demand, now),
            // Which organisations there are may be known here only later.
            None => Grant::Refused(RetrySchedule::at(0)),
        };
        Response::Granted(claims.iter().map(grant).collect())
    }
}

fn note(cell: &Cell<Counted>, n: usize, now: Micros) {
    let mut it = cell.get();
    it.note(n, now);
    cell.set(it);
}

/// What limits an organisation; none where nothing does.
fn limits(inst: &Instance, organisation: &Name) -> Option<Limits> {
    let desired = inst.config()?;
    let quota = desired.organisations.as_ref()?.get(organisation)?.quota?;
    Some(quota.limits(f64::from(inst.bounds.get().quota_margin) * MARGIN_SHARE))
}

/// Whether some routes are more urgent than others.
fn is_mixed(desired: &Config) -> bool {
    desired.routes.windows(2).any(|it| it[0].priority != it[1].priority)
}

/// Counts a refusal, by its cause.
fn count(inst: &Instance, places: RetrySchedule, told: RetryAfter) {
    inst.counters.increment(Count::OverLimit);
    if places.reserved {
        inst.counters.increment(Count::Reserved);
    }
    if matches!(told, RetryAfter::TooLate { .. }) {
        inst.counters.increment(Count::TooLate);
    }
}
