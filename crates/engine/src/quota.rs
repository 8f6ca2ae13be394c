//! Quota enforcement for organisations across all instances.
//!
//! [`pondtrack_core::quota`] decides on loans and grants; this module exchanges the messages. Each instance lends its
//! shares to one limiter for each slot, chosen by rendezvous hashing, and requests a grant from the limiter before an
//! operation runs. An instance that can't reach a limiter lends to the next candidate, so that each side of a network
//! partition has the shares of its own instances, and no more.

use {
    crate::{
        count::Count,
        instance::{Instance, Micros, micros},
        message::{Claim, Response},
        model::Config,
        organisation::Owner,
        statement::Execution,
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

use self::claims::PendingClaim;
pub use self::lending::run;

/// The timeout for a limiter's response to claims: a cross-zone round trip and a busy instance. Callers wait meanwhile.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(150);
/// The time after the start of the process during which an operation waits for a limiter. Limiters may come up a moment
/// later than this instance, within the first period.
const STARTUP: Duration = Duration::from_millis(3_000);
/// The longest wait of an operation for a limiter that has shares, during [`STARTUP`]. A refused caller would retry
/// after the same time, and retries at most twice.
const STARTUP_WAIT: Duration = Duration::from_millis(400);
/// The interval between claims during that wait.
const STARTUP_POLL_INTERVAL: Duration = Duration::from_millis(25);
/// The delay before a smaller number of instances takes effect, as some may be about to return.
const SHRINK_DELAY: Duration = Duration::from_millis(10_000);
/// The fraction of the tolerated excess that full buckets may use, and each new limiter once more. The rest covers
/// limiters that restart and tokens granted ahead of time.
const MARGIN_FRACTION: f64 = 0.25;
/// The step in microseconds to which a caller's remaining time is rounded down, so that operations that arrive together
/// share a claim.
const REMAINING_STEP: Micros = 50_000;

/// The grant while no limiter is known, and that of a limiter that has no shares.
const NO_LIMITER: Grant = Grant::Refused(RetrySchedule::at(MIN_LOAN_DURATION));

/// The number of instances that share the limits: the highest recent count.
#[derive(Clone, Copy, Default)]
struct InstanceCount {
    max: usize,
    /// The last time with that count.
    at: Micros,
}

impl InstanceCount {
    fn observe(&mut self, n: usize, now: Micros) {
        if n >= self.max || self.is_stale(now) {
            *self = InstanceCount { max: n, at: now };
        }
    }

    fn is_stale(self, now: Micros) -> bool {
        now.saturating_sub(self.at) >= micros(SHRINK_DELAY)
    }
}

/// The quota state of one instance, in its roles as lender, as limiter and as client of other limiters.
pub struct Quotas {
    lender: RefCell<Lender>,
    limiter: RefCell<Limiter>,
    /// The limiter of each slot; none until the other instances are known.
    limiters: RefCell<Option<[Name; SLOTS]>>,
    /// The limiter that each slot has if all instances are reachable.
    preferred: RefCell<Option<[Name; SLOTS]>>,
    /// The last timestamp of each limiter's clock, sorted by name.
    timestamps: RefCell<Vec<(Name, Timestamp)>>,
    /// The schedule of the messages to limiters.
    renewals: RefCell<RenewalScheduler>,
    /// The queued claims for each limiter. An entry exists while a task sends that limiter's claims.
    pending: RefCell<Vec<(Name, Vec<PendingClaim>)>>,
    /// The organisations that were refused lately, with the retry times that their callers got.
    refusals: RefCell<RefusalCache>,
    /// A version of the configuration, and true if its routes differ in priority.
    mixed_priorities: Cell<Option<(u64, bool)>>,
    /// The instances that this one has counted itself.
    counted: Cell<InstanceCount>,
    /// The highest count that other instances reported. It isn't reported to other instances in turn, as an outdated
    /// count would otherwise circulate between them.
    reported: Cell<InstanceCount>,
    /// The time of the last response from another instance.
    last_response_at: Cell<Micros>,
    /// True if this instance has joined others that were running before and don't know it yet.
    is_joining: Cell<bool>,
    /// The sequence number of the last loan message.
    seq: Cell<u64>,
}

impl Quotas {
    /// Creates the state of an instance that has just started. `process` distinguishes this process from earlier
    /// processes of the same instance.
    pub fn new(process: u64, now: Micros) -> Quotas {
        Quotas {
            lender: RefCell::new(Lender::new(now)),
            limiter: RefCell::new(Limiter::new(process)),
            limiters: RefCell::default(),
            preferred: RefCell::default(),
            timestamps: RefCell::default(),
            renewals: RefCell::default(),
            pending: RefCell::default(),
            refusals: RefCell::default(),
            mixed_priorities: Cell::default(),
            counted: Cell::default(),
            reported: Cell::default(),
            last_response_at: Cell::default(),
            is_joining: Cell::default(),
            seq: Cell::default(),
        }
    }

    /// Marks this instance as new to other instances that were running before it.
    pub fn set_joining(&self) {
        self.is_joining.set(true);
    }

    /// Waits until an operation may run.
    ///
    /// # Errors
    ///
    /// [`RetryAfter`] with the time at which the quota has room, if that is later than the operation should wait.
    pub async fn admit(&self, execution: &Execution<'_>) -> Result<(), RetryAfter> {
        let inst = &execution.inst;
        let Owner::Organisation(organisation) = &execution.owner else { return Ok(()) };
        let Some(limits) = limits(inst, organisation) else { return Ok(()) };
        let urgency = self.urgency(execution);
        if let Some(retry_after) = self.refusals.borrow_mut().lookup(organisation, urgency, inst.now()) {
            inst.counters.increment(Count::RefusedByHint);
            return Err(retry_after);
        }
        let startup_deadline = (inst.now() + micros(STARTUP_WAIT)).min(micros(STARTUP));
        let mut grant = self.claim(inst, organisation, limits, urgency).await;
        while grant == NO_LIMITER && inst.now() < startup_deadline {
            sleep(STARTUP_POLL_INTERVAL).await;
            grant = self.claim(inst, organisation, limits, urgency).await;
        }
        match grant {
            Grant::Granted { after: 0, .. } => Ok(()),
            Grant::Granted { after, .. } => {
                sleep(Duration::from_micros(after)).await;
                Ok(())
            }
            Grant::Refused(places) => {
                let retry_after =
                    self.refusals.borrow_mut().insert(organisation, urgency, places, inst.now());
                count_refusal(inst, places, retry_after);
                Err(retry_after)
            }
        }
    }

    /// The urgency of an operation; none if all routes have the same priority.
    fn urgency(&self, execution: &Execution) -> Option<Urgency> {
        let config = execution.inst.config()?;
        let mixed = match self.mixed_priorities.get() {
            Some((version, mixed)) if version == config.version => mixed,
            _ => {
                let mixed = has_mixed_priorities(&config);
                self.mixed_priorities.set(Some((config.version, mixed)));
                mixed
            }
        };
        let left = micros(execution.deadline.saturating_duration_since(Instant::now())) / REMAINING_STEP
            * REMAINING_STEP;
        mixed.then_some(Urgency { priority: execution.route.priority, remaining: left })
    }

    /// Claims an operation at the limiter of the organisation's slot.
    async fn claim(
        &self,
        inst: &Rc<Instance>,
        organisation: &Name,
        limits: Limits,
        urgency: Option<Urgency>,
    ) -> Grant {
        let limiter = self.limiters.borrow().as_ref().map(|limiters| limiters[slot(organisation)].clone());
        match limiter {
            None => NO_LIMITER,
            Some(name) if name == inst.settings.name => {
                let demand = Demand { count: 1, urgency };
                self.limiter.borrow_mut().claim(organisation, limits, demand, inst.now())
            }
            Some(name) => self.claim_remote(inst, name, organisation, urgency).await,
        }
    }

    /// Handles the claims of another instance, and returns a grant for each.
    pub fn handle_claims(&self, inst: &Instance, claims: &[Claim]) -> Response {
        let now = inst.now();
        let mut limiter = self.limiter.borrow_mut();
        let grant = |claim: &Claim| match limits(inst, &claim.organisation) {
            Some(limits) => limiter.claim(&claim.organisation, limits, claim.demand, now),
            // The configuration that adds the organisation may not have arrived here yet.
            None => Grant::Refused(RetrySchedule::at(0)),
        };
        Response::Granted(claims.iter().map(grant).collect())
    }
}

fn observe(cell: &Cell<InstanceCount>, n: usize, now: Micros) {
    let mut count = cell.get();
    count.observe(n, now);
    cell.set(count);
}

/// The limits of an organisation; none if it has no quota.
fn limits(inst: &Instance, organisation: &Name) -> Option<Limits> {
    let config = inst.config()?;
    let quota = config.organisations.as_ref()?.get(organisation)?.quota?;
    Some(quota.limits(f64::from(inst.bounds.get().quota_margin) * MARGIN_FRACTION))
}

/// Returns true if the routes of a configuration differ in priority.
fn has_mixed_priorities(config: &Config) -> bool {
    config.routes.windows(2).any(|pair| pair[0].priority != pair[1].priority)
}

/// Counts a refusal by its cause.
fn count_refusal(inst: &Instance, places: RetrySchedule, retry_after: RetryAfter) {
    inst.counters.increment(Count::OverLimit);
    if places.reserved {
        inst.counters.increment(Count::Reserved);
    }
    if matches!(retry_after, RetryAfter::TooLate { .. }) {
        inst.counters.increment(Count::TooLate);
    }
}
