//! Acquires and renews the failover lease, which allows one instance at a time to order promotions. The decisions are
//! made by [`pondtrack_core::lease`]; this module calls the store.

use {
    crate::{
        count::Count,
        instance::{Instance, Micros},
        ports::{Collection, LeaseRecord, Object, Record, StoreError},
    },
    pondtrack_core::lease::{ConditionalWrite, HeldLease, Lease},
    pondtrack_proto::{Name, Revision},
    std::{cell::Cell, rc::Rc, time::Duration},
    tokio::time::timeout,
};

/// Name of the lease's record in the store.
const NAME: &str = "failover";
/// Interval between renewals.
const RENEW_INTERVAL: Duration = Duration::from_millis(400);
/// Timeout of a renewal. A renewal whose answer was lost is recognised by the next one.
const RENEW_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval at which instances without the lease poll its record. While every group has a primary, the reads may be
/// stale, which costs a tenth of a consistent read.
const POLL_INTERVAL: Duration = Duration::from_millis(600);
/// Poll interval in a large fleet for instances that only poll because no known instance watches the store.
const FALLBACK_POLL_INTERVAL: Duration = Duration::from_millis(1_800);
/// With fewer other instances than this, all instances poll, so that an instance on the store's side of a partition
/// does.
const MIN_LARGE_FLEET: usize = 16;
/// Time for which stale reads may still return data from before the store was restored from a copy.
const MAX_STALENESS: Duration = Duration::from_millis(10_000);

/// The lease as held by this instance.
#[derive(Default)]
pub struct LeaseState {
    held: Cell<Option<HeldLease>>,
}

impl LeaseState {
    /// Returns the fencing token if the lease was granted in `era` of the store and hasn't expired.
    pub fn token(&self, era: u64, now: Micros) -> Option<u64> {
        self.held.get().filter(|held| now < held.expires_at && held.era == era).map(|held| held.token)
    }

    /// Returns true if every holder so far recorded a group's leader in [`crate::leaders`] before ordering the first
    /// promotion in the group.
    pub fn is_complete(&self) -> bool {
        self.held.get().is_some_and(|held| held.complete)
    }
}

/// Acquires and renews the lease for an instance.
struct LeaseManager {
    inst: Rc<Instance>,
    lease: Lease,
    /// Time at which the store was last seen to be restored from an older copy.
    restored_at: Option<Micros>,
    /// True if the last write had no result.
    failing: bool,
}

/// Acquires the lease when it is free and renews it, until the instance drains and its failovers have ended; then releases
/// it.
///
/// An order of a failover may still be in flight when the instance starts to drain. If the lease were released then, the next
/// holder's order, with a higher fencing token, could arrive first.
pub async fn run(inst: Rc<Instance>) {
    let lease = Lease::new(inst.settings.name.clone(), inst.settings.first_start, inst.now());
    let mut manager = LeaseManager { inst: inst.clone(), lease, restored_at: None, failing: false };
    while inst.draining_since().is_none() || manager.must_hold() {
        let failover_ended = inst.failover_ended.notified();
        let delay = manager.step().await + Duration::from_millis(inst.random(100));
        let _ = timeout(delay, failover_ended).await;
    }
    manager.release().await;
}

/// Returns true if an instance may acquire the lease. In a large fleet, the instances that watch the store on behalf of
/// all others are enough to notice that it is free.
pub fn is_candidate(inst: &Instance) -> bool {
    is_small_fleet(inst) || inst.distribution.must_watch(inst)
}

fn is_small_fleet(inst: &Instance) -> bool {
    inst.peers().map_or(0, |peers| peers.len()) < MIN_LARGE_FLEET
}

impl LeaseManager {
    /// Returns true if the lease must not be released yet.
    fn must_hold(&self) -> bool {
        self.lease.held().is_some() && self.inst.failovers.get() > 0
    }

    async fn step(&mut self) -> Duration {
        self.observe_era();
        if self.lease.held().is_some() {
            self.write().await;
            // An expired lease needn't be renewed as often.
            return if self.inst.fencing_token().is_none() { POLL_INTERVAL } else { RENEW_INTERVAL };
        }
        let delay = match () {
            () if self.inst.distribution.is_bootstrapping(&self.inst) => return RENEW_INTERVAL,
            () if is_small_fleet(&self.inst) || self.inst.distribution.is_watcher(&self.inst) => {
                POLL_INTERVAL
            }
            () if is_candidate(&self.inst) => FALLBACK_POLL_INTERVAL,
            () => return POLL_INTERVAL,
        };
        self.poll().await;
        if self.lease.can_acquire(self.inst.now()) {
            self.write().await;
            if let Some(token) = self.inst.fencing_token() {
                log::info!(token; "the right to promote is taken");
            }
        }
        delay
    }

    /// Records the store's era. The lease of an earlier era is lost.
    fn observe_era(&mut self) {
        let Some(era) = self.inst.era() else { return };
        let now = self.inst.now();
        let was_held = self.lease.held().is_some();
        if self.lease.observe_era(era, now) {
            self.restored_at = Some(now);
            self.inst.counters.increment(Count::StoreReturns);
            log::warn!(era, had = was_held; "the store came back from an older copy: what it granted before is over");
        }
        self.publish();
    }

    /// Publishes the lease's state to the other parts of the instance.
    fn publish(&self) {
        self.inst.lease.held.set(self.lease.held());
    }

    async fn poll(&mut self) {
        let sent_at = self.inst.now();
        self.inst.counters.increment(Count::StoreCalls);
        let restored = self.restored_at.is_some_and(|at| sent_at - at < MAX_STALENESS.as_micros() as Micros);
        // A stale answer could hide the loss of the holder for seconds, just when a failover is needed.
        let stale = !self.inst.lacks_primary() && !restored;
        match self.inst.adapters.store.list(Collection::Leases, stale).await {
            Ok(list) => {
                self.observe_era();
                let found = list.items.into_iter().find(|object| object.name == NAME);
                self.lease.observe(found.and_then(decode), sent_at, self.inst.now());
            }
            Err(e) => log::debug!(step = "lease"; "{e}"),
        }
    }

    /// Acquires or renews the lease. The result of the conditional write decides if this instance holds the lease.
    async fn write(&mut self) {
        let (nonce, sent_at) = (self.inst.random(u64::MAX), self.inst.now());
        let ConditionalWrite { record, revision } = self.lease.acquire_or_renew(nonce, sent_at);
        let token = record.token;
        let result = match timeout(RENEW_TIMEOUT, self.put(record.clone(), revision)).await {
            Ok(result) => result,
            Err(_) => Err(StoreError::Unanswered { step: "renew", reason: "no answer in time".to_owned() }),
        };
        self.observe_era();
        let now = self.inst.now();
        let is_held = match result {
            Ok(revision) => {
                self.failing = false;
                self.lease.write_succeeded(record, revision, sent_at, now);
                true
            }
            Err(StoreError::Conflict { current }) => {
                self.failing = false;
                self.lease.write_conflicted(current.and_then(|object| decode(*object)), sent_at, now)
            }
            Err(StoreError::Missing) => self.lease.record_missing(sent_at, now),
            Err(e) => {
                self.inst.counters.increment(Count::StoreFailures);
                if !std::mem::replace(&mut self.failing, true) {
                    log::info!(token, step = "lease"; "the right to promote isn't renewed: {e}");
                }
                true
            }
        };
        if !is_held {
            log::warn!(token; "the right to promote is lost: its record was changed");
        }
        self.publish();
    }

    async fn put(&self, record: LeaseRecord, revision: Option<Revision>) -> Result<Revision, StoreError> {
        self.inst.counters.increment(Count::StoreCalls);
        let (store, name) = (&self.inst.adapters.store, Name::from(NAME));
        store.put(Collection::Leases, name, Record::Lease(record), revision).await
    }

    /// Releases the lease, so that another instance can acquire it immediately.
    async fn release(&mut self) {
        let Some(ConditionalWrite { record, revision }) = self.lease.release() else { return };
        self.publish();
        let token = record.token;
        match self.put(record, revision).await {
            Ok(_) => log::info!(token; "the right to promote is given up"),
            Err(e) => log::warn!(token; "the right to promote can't be given up: {e}"),
        }
    }
}

fn decode(object: Object) -> Option<(LeaseRecord, Revision)> {
    match object.record {
        Some(Record::Lease(record)) => Some((record, object.revision)),
        _ => None,
    }
}
