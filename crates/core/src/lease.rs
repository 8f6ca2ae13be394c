//! The failover lease: at most one instance at a time may order fences and promotions.
//!
//! The lease is a record in the store that is only changed by conditional writes. The holder may act for
//! [`LEASE_DURATION`], counted from the time at which it sent its last successful renewal. Another instance takes over
//! once it has seen the record unchanged for [`TAKEOVER_DELAY`] on its own clock, so clocks are never compared between
//! instances. A holder that was paused finds its lease expired.
//!
//! The store may be restored from an older copy, which starts a new era: records revert, the lease's among them, and
//! revisions are assigned a second time. Each record therefore carries the era in which it was written, and a record of
//! an earlier era has no holder. Such a record may be taken over once the new era has been known for
//! [`TAKEOVER_DELAY`], as a holder that is unaware of the new era may act for [`LEASE_DURATION`]. The earlier holder
//! itself only waits until its own orders have ended. Fencing tokens carry the era in their upper half, so no token is
//! issued twice, whatever the copy contains.

use {
    crate::Time,
    pondtrack_proto::{Name, Revision},
    serde::{Deserialize, Serialize},
};

/// Time for which the holder may act after sending a renewal, in microseconds. The time is short, so that a
/// holder that is partitioned from the store is replaced within seconds; a slow store answers within 400 ms.
pub const LEASE_DURATION: Time = 1_500_000;
/// Time for which a record must remain unchanged before another instance takes it over, in microseconds. It covers
/// [`LEASE_DURATION`], the time for which an order may be in flight (500 ms), and a margin for clock drift.
pub const TAKEOVER_DELAY: Time = 2_400_000;
/// Time after its start for which a process that finds its own name in the record waits, in microseconds, because an
/// order of the previous process may still be in flight. The holder of an earlier era waits as long for its own orders.
const REACQUIRE_DELAY: Time = 800_000;
/// Maximum number of unanswered writes that are remembered.
const MAX_PENDING: usize = 8;
/// Number of low bits of a fencing token that count changes of holder within an era.
const TOKEN_BITS: u32 = 32;

/// The lease as stored.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// The instance that holds the lease; empty after a release.
    pub holder: Name,
    /// The fencing token, which increases with each change of holder.
    pub token: u64,
    /// A random number per write, by which a write is recognised after its answer was lost.
    pub nonce: u64,
    /// True if every holder so far recorded a group's leader before ordering the first promotion in the group.
    /// Software versions without this field drop it.
    #[serde(default)]
    pub complete: bool,
    /// The era of the store in which the record was written. Software versions without this field drop it.
    #[serde(default)]
    pub era: u64,
}

/// The lease while held by this instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct HeldLease {
    /// The fencing token.
    pub token: u64,
    /// Expiry time, in microseconds of the instance's clock.
    pub expires_at: Time,
    /// The same as [`LeaseRecord::complete`].
    pub complete: bool,
    /// The era of the store in which the lease was granted.
    pub era: u64,
}

/// A conditional write of the record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConditionalWrite {
    /// The new record.
    pub record: LeaseRecord,
    /// The revision to replace; none if there must be no record.
    pub revision: Option<Revision>,
}

/// A revision of the record that was read from the store.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Observed {
    record: LeaseRecord,
    revision: Revision,
    /// The time at which this revision was first seen.
    since: Time,
    /// The time at which the last read that returned this revision was sent.
    read: Time,
}

/// Result of the last read of the record.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Observation {
    /// The record hasn't been read in this era.
    Unread,
    /// There is no record; `since` is when that was first seen, `read` when the last such read was sent.
    Absent { since: Time, read: Time },
    /// There is a record.
    Found(Observed),
}

/// State machine that acquires and renews the lease for one instance. Times are microseconds of the instance's
/// monotonic clock.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Lease {
    name: Name,
    started_at: Time,
    observation: Observation,
    /// Nonces of recent writes and the times at which they were sent.
    pending: Vec<(u64, Time)>,
    held: Option<HeldLease>,
    /// The store's era and the time at which it was first seen.
    era: Option<(u64, Time)>,
    /// True if the store has lost no records: it is new, or still in its first era.
    intact: bool,
    /// True if this instance held the lease when the current era began and no other instance has taken it since.
    carried_over: bool,
    /// True if the record disappeared, so that earlier holders are no longer known.
    record_lost: bool,
    /// The highest token seen.
    max_token: u64,
}

impl Lease {
    /// Creates the state of an instance that has just started; `first` is true if no instance ran before it.
    pub fn new(name: Name, first: bool, now: Time) -> Lease {
        Lease {
            name,
            started_at: now,
            observation: Observation::Unread,
            pending: Vec::new(),
            held: None,
            era: None,
            intact: first,
            carried_over: false,
            record_lost: false,
            max_token: 0,
        }
    }

    /// Returns the lease if this instance is the holder as far as is known here; the lease may have expired.
    pub fn held(&self) -> Option<HeldLease> {
        self.held
    }

    /// Records the store's era from one of its responses. Returns true if the era is later than the one known before.
    pub fn observe_era(&mut self, era: u64, now: Time) -> bool {
        let Some((known, _)) = self.era else {
            self.intact |= era == 0;
            self.era = Some((era, now));
            return false;
        };
        if era <= known {
            return false;
        }
        self.era = Some((era, now));
        self.intact = false;
        self.carried_over = self.held.take().is_some_and(|held| now < held.expires_at);
        self.observation = Observation::Unread;
        true
    }

    fn era(&self) -> u64 {
        self.era.map_or(0, |era| era.0)
    }

    /// Records the result of a read that was sent at `sent`: the record, or none if there is no record.
    pub fn observe(&mut self, found: Option<(LeaseRecord, Revision)>, sent: Time, now: Time) {
        let era = self.era();
        match (found, &mut self.observation) {
            (None, Observation::Absent { read, .. }) => *read = sent,
            (None, old) => {
                self.record_lost |= matches!(old, Observation::Found(_));
                self.observation = Observation::Absent { since: now, read: sent };
            }
            // An answer may be older than the latest observation.
            (Some((_, revision)), _) if revision.era() < era => {}
            (Some((_, revision)), Observation::Found(seen)) if seen.revision > revision => {}
            (Some((_, revision)), Observation::Found(seen)) if seen.revision == revision => seen.read = sent,
            (Some((record, revision)), _) => {
                self.carried_over &= record.era < era;
                self.max_token = self.max_token.max(record.token);
                self.observation = Observation::Found(Observed { record, revision, since: now, read: sent });
            }
        }
    }

    /// Returns true if the lease is free to be acquired.
    pub fn can_acquire(&self, now: Time) -> bool {
        let elapsed = |since: Time, limit: Time| now.saturating_sub(since) >= limit;
        let settled = || self.era.is_some_and(|era| elapsed(era.1, TAKEOVER_DELAY));
        let carried = || self.carried_over && self.era.is_some_and(|era| elapsed(era.1, REACQUIRE_DELAY));
        let unchanged = |since: Time, read: Time| read.saturating_sub(since) >= TAKEOVER_DELAY;
        match &self.observation {
            Observation::Unread => false,
            Observation::Absent { .. } if self.intact || carried() => true,
            Observation::Absent { since, read } => settled() && unchanged(*since, *read),
            Observation::Found(seen) if seen.record.era > self.era() => false,
            Observation::Found(seen) if seen.record.era < self.era() => {
                carried() || settled() && unchanged(seen.since, seen.read)
            }
            Observation::Found(seen) if seen.record.holder.is_empty() => true,
            // An earlier process of this instance held the lease and has ended.
            Observation::Found(seen) if seen.record.holder == self.name => {
                elapsed(self.started_at, REACQUIRE_DELAY)
            }
            Observation::Found(seen) => unchanged(seen.since, seen.read),
        }
    }

    /// Returns the write that acquires or renews the lease. `nonce` must differ from that of every other write.
    pub fn acquire_or_renew(&mut self, nonce: u64, now: Time) -> ConditionalWrite {
        let era = self.era();
        let (complete, revision) = match &self.observation {
            Observation::Found(seen) => (seen.record.complete && seen.record.era == era, Some(seen.revision)),
            Observation::Unread | Observation::Absent { .. } => (self.intact && !self.record_lost, None),
        };
        let token = match self.held {
            Some(held) => held.token,
            None => (self.max_token + 1).max(era << TOKEN_BITS),
        };
        self.pending.push((nonce, now));
        if self.pending.len() > MAX_PENDING {
            self.pending.remove(0);
        }
        ConditionalWrite {
            record: LeaseRecord { holder: self.name.clone(), token, nonce, complete, era },
            revision,
        }
    }

    /// Handles the success of a write that was sent at `sent`.
    pub fn write_succeeded(&mut self, record: LeaseRecord, revision: Revision, sent: Time, now: Time) {
        // The store is in another era than the write was meant for, so the replaced record may be another holder's.
        if revision.era() != record.era || record.era != self.era() {
            self.held = None;
            self.observation = Observation::Unread;
            return;
        }
        self.grant(&record, sent);
        self.observation = Observation::Found(Observed { record, revision, since: now, read: sent });
    }

    /// Handles the conflict of a write with the `current` record. The record was changed by an earlier write of this
    /// process whose answer was lost, or by another instance. Returns false if the lease is lost as a result.
    pub fn write_conflicted(
        &mut self,
        current: Option<(LeaseRecord, Revision)>,
        sent: Time,
        now: Time,
    ) -> bool {
        let Some(current) = current else {
            self.observation = Observation::Unread;
            return self.held.take().is_none();
        };
        self.observe(Some(current), sent, now);
        let Observation::Found(Observed { record, .. }) = &self.observation else {
            return self.held.take().is_none();
        };
        let known = self.pending.iter().find(|write| write.0 == record.nonce).map(|write| write.1);
        match known.filter(|_| record.era == self.era()) {
            Some(sent) => {
                let record = record.clone();
                self.grant(&record, sent);
                true
            }
            None => self.held.take().is_none(),
        }
    }

    /// Handles a write that failed because there was no record. Returns false if the lease is lost as a result.
    pub fn record_missing(&mut self, sent: Time, now: Time) -> bool {
        self.observe(None, sent, now);
        self.record_lost = true;
        self.held.take().is_none()
    }

    /// Releases the lease. Returns the write that lets another instance acquire the lease without waiting; none if the
    /// lease isn't held or its record isn't known.
    pub fn release(&mut self) -> Option<ConditionalWrite> {
        self.held.take()?;
        let Observation::Found(seen) = &self.observation else { return None };
        let record = LeaseRecord { holder: Name::new(), nonce: 0, ..seen.record.clone() };
        Some(ConditionalWrite { record, revision: Some(seen.revision) })
    }

    fn grant(&mut self, record: &LeaseRecord, sent: Time) {
        let LeaseRecord { token, complete, era, .. } = *record;
        self.carried_over = false;
        self.held = Some(HeldLease { token, expires_at: sent + LEASE_DURATION, complete, era });
    }
}
