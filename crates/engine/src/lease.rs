//! The right to give orders to promote: one instance has it at a time. What is decided is in [`pondtrack_core::lease`]; here
//! are the calls of the store.

use {
    crate::{
        count::Count,
        instance::{Instance, Micros},
        ports::{Collection, LeaseRecord, Object, Record, StoreError},
    },
    pondtrack_core::lease::{ConditionalWrite, HeldLease, Lease},
    pondtrack_proto::{Name, Revision},
    std::{cell::Cell, rc::Rc, time::Duration},
    tokio::time::{sleep, timeout},
};

/// The record's name.
const NAME: &str = "failover";
/// Between two renewals.
const RENEW: Duration = Duration::from_millis(400);
/// The longest wait for a renewal's answer; a lost one is found out by the next.
const RENEW_LIMIT: Duration = Duration::from_millis(500);
/// Between two looks of the others, which read at a tenth of the price while every group has its primary.
const LOOK: Duration = Duration::from_millis(600);
/// The same for those of a large fleet that only look because they hear of nobody who watches the store.
const LONG_LOOK: Duration = Duration::from_millis(1_800);
/// With fewer other instances than this all of them look, so that one on the right side of a partition does.
const ALL_LOOK: usize = 16;
/// After the store came back from a copy, answers that may be old could be from before for as long as this.
const STALE_AGE: Duration = Duration::from_millis(10_000);

/// The right as this instance has it.
#[derive(Default)]
pub struct Tenure {
    held: Cell<Option<HeldLease>>,
}

impl Tenure {
    /// The fencing token, while orders may be given under it in an era of the store.
    pub fn token(&self, era: u64, now: Micros) -> Option<u64> {
        self.held.get().filter(|it| now < it.expires_at && it.era == era).map(|it| it.token)
    }

    /// Whether every holder so far recorded a group in [`crate::leaders`] before its first promotion.
    pub fn is_complete(&self) -> bool {
        self.held.get().is_some_and(|it| it.complete)
    }
}

/// The work of keeping, or waiting for, the right.
struct Keeper {
    inst: Rc<Instance>,
    lease: Lease,
    /// When the store was last found to have come back from an older copy.
    returned: Option<Micros>,
    /// Whether the last write had no result.
    failing: bool,
}

/// Keeps the right, or takes it when it is free, for good.
pub async fn keep(inst: Rc<Instance>) {
    let lease = Lease::new(inst.settings.name.clone(), inst.settings.first_start, inst.now());
    let mut it = Keeper { inst: inst.clone(), lease, returned: None, failing: false };
    while inst.leaving().is_none() {
        let pause = it.step().await;
        sleep(pause + Duration::from_millis(inst.random(100))).await;
    }
    it.release().await;
}

/// Whether an instance may come to hold the right: in a large fleet those who watch the store for all are enough to find it
/// free.
pub fn is_candidate(inst: &Instance) -> bool {
    is_one_of_few(inst) || inst.distribution.must_watch(inst)
}

fn is_one_of_few(inst: &Instance) -> bool {
    inst.peers().map_or(0, |it| it.len()) < ALL_LOOK
}

impl Keeper {
    async fn step(&mut self) -> Duration {
        self.note_era();
        if self.lease.held().is_some() {
            self.write().await;
            // Past its time nothing is lost by asking more rarely.
            return if self.inst.token().is_none() { LOOK } else { RENEW };
        }
        let pause = match () {
            () if self.inst.distribution.is_bootstrapping(&self.inst) => return RENEW,
            () if is_one_of_few(&self.inst) || self.inst.distribution.is_watcher(&self.inst) => LOOK,
            () if is_candidate(&self.inst) => LONG_LOOK,
            () => return LOOK,
        };
        self.look().await;
        if self.lease.can_acquire(self.inst.now()) {
            self.write().await;
            if let Some(token) = self.inst.token() {
                log::info!(token; "the right to promote is taken");
            }
        }
        pause
    }

    /// Takes in which era of the store it is.
    fn note_era(&mut self) {
        let Some(era) = self.inst.era() else { return };
        let now = self.inst.now();
        let had = self.lease.held().is_some();
        if self.lease.observe_era(era, now) {
            self.returned = Some(now);
            self.inst.counters.increment(Count::StoreReturns);
            log::warn!(era, had; "the store came back from an older copy: what it granted before is over");
        }
        self.show();
    }

    /// Shows the others of this instance what is held.
    fn show(&self) {
        self.inst.tenure.held.set(self.lease.held());
    }

    async fn look(&mut self) {
        let sent = self.inst.now();
        self.inst.counters.increment(Count::StoreCalls);
        let returned = self.returned.is_some_and(|at| sent - at < STALE_AGE.as_micros() as Micros);
        // An old answer would hide for seconds that the holder is lost, just when it is missed.
        let stale = !self.inst.lacks_primary() && !returned;
        match self.inst.adapters.store.list(Collection::Leases, stale).await {
            Ok(it) => {
                self.note_era();
                let found = it.items.into_iter().find(|it| it.name == NAME);
                self.lease.observe(found.and_then(record), sent, self.inst.now());
            }
            Err(e) => log::debug!(step = "lease"; "{e}"),
        }
    }

    /// Takes the right, or renews it; what becomes of that decides whether this instance holds it.
    async fn write(&mut self) {
        let (nonce, sent) = (self.inst.random(u64::MAX), self.inst.now());
        let ConditionalWrite { record, revision } = self.lease.acquire_or_renew(nonce, sent);
        let token = record.token;
        let outcome = match timeout(RENEW_LIMIT, self.put(record.clone(), revision)).await {
            Ok(it) => it,
            Err(_) => Err(StoreError::Unanswered { step: "renew", reason: "no answer in time".to_owned() }),
        };
        self.note_era();
        let now = self.inst.now();
        let kept = match outcome {
            Ok(revision) => {
                self.failing = false;
                self.lease.write_succeeded(record, revision, sent, now);
                true
            }
            Err(StoreError::Conflict { current }) => {
                self.failing = false;
                self.lease.write_conflicted(current.and_then(|it| self::record(*it)), sent, now)
            }
            Err(StoreError::Missing) => self.lease.record_missing(sent, now),
            Err(e) => {
                self.inst.counters.increment(Count::StoreFailures);
                if !std::mem::replace(&mut self.failing, true) {
                    log::info!(token, step = "lease"; "the right to promote isn't renewed: {e}");
                }
                true
            }
        };
        if !kept {
            log::warn!(token; "the right to promote is lost: its record was changed");
        }
        self.show();
    }

    async fn put(&self, record: LeaseRecord, revision: Option<Revision>) -> Result<Revision, StoreError> {
        self.inst.counters.increment(Count::StoreCalls);
        let (store, name) = (&self.inst.adapters.store, Name::from(NAME));
        store.put(Collection::Leases, name, Record::Lease(record), revision).await
    }

    /// Gives the right up, so that another instance need not wait.
    async fn release(&mut self) {
        let Some(ConditionalWrite { record, revision }) = self.lease.release() else { return };
        self.show();
        let token = record.token;
        match self.put(record, revision).await {
            Ok(_) => log::info!(token; "the right to promote is given up"),
            Err(e) => log::warn!(token; "the right to promote can't be given up: {e}"),
        }
    }
}

fn record(it: Object) -> Option<(LeaseRecord, Revision)> {
    match it.record {
        Some(Record::Lease(record)) => Some((record, it.revision)),
        _ => None,
    }
}
