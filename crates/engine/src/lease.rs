//! The right to give orders to promote: one instance has it at a time.
//!
//! It is a record in the store, changed only conditionally. The holder acts for a bounded time, counted
//! from the sending of its last renewal that succeeded; whoever takes over first waits for longer than
//! that, and for an order that may be under way, on its own clock. Clocks are not compared. A holder that
//! was paused finds its time over.

use {
    crate::{
        count::Count,
        instance::{Instance, Micros, micros},
        ports::{Collection, LeaseRecord, Object, Record, StoreError},
    },
    pondtrack_proto::Name,
    std::{cell::Cell, rc::Rc, time::Duration},
    tokio::time::{sleep, timeout},
};

/// The record's name.
const NAME: &str = "failover";
/// How long the holder acts after it sent a renewal. Short, so that a holder that is cut off is replaced
/// within seconds; a store that is slow answers within 400 ms.
pub const HOLD: Duration = Duration::from_millis(1_500);
/// How long a record has to stand unchanged before another instance takes it: the holder's time, the time
/// an order may be under way (500 ms), and some room for clocks that run apart.
pub const TAKE_AFTER: Duration = Duration::from_millis(2_400);
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
/// After its start, a process that finds its own name in the record waits for so long: an order of the
/// process before it may be under way.
const OWN_AFTER: Duration = Duration::from_millis(800);
/// Renewals without an answer that are remembered.
const SENT: usize = 8;

/// The right as this instance has it.
#[derive(Default)]
pub struct Tenure {
    held: Cell<Option<Held>>,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    token: u64,
    until: Micros,
    complete: bool,
}

impl Tenure {
    /// The fencing token, while orders may be given under it.
    pub fn token(&self, now: Micros) -> Option<u64> {
        self.held.get().filter(|it| now < it.until).map(|it| it.token)
    }

    /// Whether every holder so far recorded a group in [`crate::leaders`] before its first promotion.
    pub fn is_complete(&self) -> bool {
        self.held.get().is_some_and(|it| it.complete)
    }
}

/// What is known of the record.
struct Seen {
    record: LeaseRecord,
    revision: u64,
    /// When this revision was first seen.
    since: Micros,
    /// When the question was sent that last showed it.
    read: Micros,
}

/// The work of keeping, or waiting for, the right.
struct Keeper {
    inst: Rc<Instance>,
    seen: Option<Seen>,
    /// Nonces of renewals and when they were sent.
    sent: Vec<(u64, Micros)>,
    began: Micros,
    /// Whether the last write had no result.
    failing: bool,
    /// Whether the record was there and is no more: who held it before isn't known any longer.
    gone: bool,
}

/// Keeps the right, or takes it when it is free, for good.
pub async fn keep(inst: Rc<Instance>) {
    let began = inst.now();
    let mut it =
        Keeper { inst: inst.clone(), seen: None, sent: Vec::new(), began, failing: false, gone: false };
    while inst.leaving().is_none() {
        let pause = it.step().await;
        sleep(pause + Duration::from_millis(inst.random(100))).await;
    }
    it.release().await;
}

/// Whether an instance may come to hold the right: in a large fleet those who watch the store for all are enough to find it
/// free.
pub fn is_candidate(inst: &Instance) -> bool {
    is_one_of_few(inst) || inst.spread.must_watch(inst)
}

fn is_one_of_few(inst: &Instance) -> bool {
    inst.peers().map_or(0, |it| it.len()) < ALL_LOOK
}

impl Keeper {
    async fn step(&mut self) -> Duration {
        if self.is_mine() {
            self.renew().await;
            // Past its time nothing is lost by asking more rarely.
            let lapsed = self.inst.tenure.token(self.inst.now()).is_none();
            return if lapsed { LOOK } else { RENEW };
        }
        let pause = match () {
            () if is_one_of_few(&self.inst) || self.inst.spread.is_watcher(&self.inst) => LOOK,
            () if is_candidate(&self.inst) => LONG_LOOK,
            () => return LOOK,
        };
        self.look().await;
        if self.may_take() {
            self.take().await;
        }
        pause
    }

    /// Whether the record names this process, as far as is known.
    fn is_mine(&self) -> bool {
        self.inst.tenure.held.get().is_some()
    }

    async fn look(&mut self) {
        let sent = self.inst.now();
        self.inst.counters.one(Count::StoreCalls);
        // An old answer would hide for seconds that the holder is lost, just when it is missed.
        let stale = !self.inst.lacks_primary();
        match self.inst.edge.store.list(Collection::Leases, stale).await {
            Ok(it) => {
                let found = it.items.into_iter().find(|it| it.name == NAME);
                self.see(found, sent);
            }
            Err(e) => log::debug!(step = "lease"; "{e}"),
        }
    }

    fn see(&mut self, object: Option<Object>, sent: Micros) {
        let Some(Object { revision, record: Some(Record::Lease(record)), .. }) = object else {
            self.gone |= self.seen.take().is_some();
            return;
        };
        match &mut self.seen {
            // An answer may be older than what is known.
            Some(it) if it.revision > revision => {}
            Some(it) if it.revision == revision => it.read = sent,
            _ => self.seen = Some(Seen { record, revision, since: self.inst.now(), read: sent }),
        }
    }

    fn may_take(&self) -> bool {
        let now = self.inst.now();
        let over = |since: Micros, limit: Duration| now.saturating_sub(since) >= micros(limit);
        match &self.seen {
            None => true,
            Some(it) if it.record.holder.is_empty() => true,
            // A process before this one had it, and is no more.
            Some(it) if it.record.holder == self.inst.settings.name => over(self.began, OWN_AFTER),
            // Unchanged for long enough, as of the last answer.
            Some(it) => it.read.saturating_sub(it.since) >= micros(TAKE_AFTER),
        }
    }

    async fn take(&mut self) {
        let (token, revision) =
            self.seen.as_ref().map_or((1, None), |it| (it.record.token + 1, Some(it.revision)));
        self.put(self.inst.settings.name.clone(), token, revision).await;
        if let Some(token) = self.inst.tenure.token(self.inst.now()) {
            log::info!(token, revision:? = revision; "the right to promote is taken");
        }
    }

    async fn renew(&mut self) {
        let Some(seen) = &self.seen else { return };
        let (token, revision) = (seen.record.token, Some(seen.revision));
        self.put(self.inst.settings.name.clone(), token, revision).await;
    }

    /// Writes the record; what became of it decides whether this instance holds the right.
    async fn put(&mut self, holder: Name, token: u64, revision: Option<u64>) {
        let nonce = self.inst.random(u64::MAX);
        let complete = self.seen.as_ref().map_or(!self.gone, |it| it.record.complete);
        let record = LeaseRecord { holder, token, nonce, complete };
        let sent = self.inst.now();
        self.sent.push((nonce, sent));
        if self.sent.len() > SENT {
            self.sent.remove(0);
        }
        self.inst.counters.one(Count::StoreCalls);
        let name = Name::from(NAME);
        let put = self.inst.edge.store.put(Collection::Leases, name, Record::Lease(record.clone()), revision);
        let late = || StoreError::Unanswered { step: "renew", reason: "no answer in time".to_owned() };
        match timeout(RENEW_LIMIT, put).await.unwrap_or_else(|_| Err(late())) {
            Ok(revision) => {
                self.seen = Some(Seen { record, revision, since: self.inst.now(), read: sent });
                self.hold(token, sent);
            }
            Err(StoreError::Conflict { current }) => self.conflict(current.map(|it| *it), sent),
            Err(StoreError::Missing) => {
                self.seen = None;
                self.gone = true;
                self.lose("the record is gone");
            }
            Err(e) => {
                self.inst.counters.one(Count::StoreFailures);
                if !std::mem::replace(&mut self.failing, true) {
                    log::info!(token, step = "lease"; "the right to promote isn't renewed: {e}");
                }
            }
        }
    }

    /// The record was changed: by an earlier call of this process whose answer was lost, or by another.
    fn conflict(&mut self, current: Option<Object>, sent: Micros) {
        self.see(current, sent);
        let Some(seen) = &self.seen else { return self.lose("the record is gone") };
        let token = seen.record.token;
        match self.sent.iter().find(|it| it.0 == seen.record.nonce).map(|it| it.1) {
            Some(sent) => self.hold(token, sent),
            None => self.lose("another instance has it"),
        }
    }

    fn hold(&mut self, token: u64, sent: Micros) {
        self.failing = false;
        let until = sent + micros(HOLD);
        let complete = self.seen.as_ref().is_some_and(|it| it.record.complete);
        self.inst.tenure.held.set(Some(Held { token, until, complete }));
    }

    fn lose(&self, why: &str) {
        if self.inst.tenure.held.take().is_some() {
            log::warn!("the right to promote is lost: {why}");
        }
    }

    /// Gives the right up, so that another instance need not wait.
    async fn release(&mut self) {
        if !self.is_mine() {
            return;
        }
        let Some(seen) = &self.seen else { return };
        let (token, revision) = (seen.record.token, seen.revision);
        self.inst.tenure.held.set(None);
        let record = LeaseRecord { holder: Name::new(), nonce: 0, ..seen.record.clone() };
        self.inst.counters.one(Count::StoreCalls);
        let put = self.inst.edge.store.put(
            Collection::Leases,
            Name::from(NAME),
            Record::Lease(record),
            Some(revision),
        );
        match put.await {
            Ok(_) => log::info!(token; "the right to promote is given up"),
            Err(e) => log::warn!(token; "the right to promote can't be given up: {e}"),
        }
    }
}
