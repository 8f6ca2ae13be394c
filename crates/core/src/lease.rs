//! The right to give orders: one instance has it at a time.
//!
//! It is a record in the store, changed only conditionally. The holder acts for [`HOLD`], counted from the sending of its
//! last renewal that succeeded; whoever takes over first sees the record unchanged for [`TAKE_AFTER`] on its own clock.
//! Clocks are not compared. A holder that was paused finds its time over.
//!
//! The store may come back from an older copy, which begins a new era: records go back, also the lease's, and revisions
//! are given out again. A record therefore says in which era it was written; one of an earlier era is nobody's. It is
//! taken once the era has been known for [`TAKE_AFTER`], as an earlier holder may act for [`HOLD`] without knowing of
//! it. That holder itself waits only for its own orders. Fencing tokens hold the era in their upper half, so that none is given out
//! twice, whatever the copy says.

use {
    crate::Time,
    pondtrack_proto::{Name, Revision},
    serde::{Deserialize, Serialize},
};

/// How long the holder acts after it sent a renewal, in microseconds. Short, so that a holder that is cut off is replaced
/// within seconds; a store that is slow answers within 400 ms.
pub const HOLD: Time = 1_500_000;
/// How long a record has to stand unchanged before another instance takes it, in microseconds: the holder's time, the time
/// an order may be under way (500 ms), and some room for clocks that run apart.
pub const TAKE_AFTER: Time = 2_400_000;
/// After its start, a process that finds its own name in the record waits for so long, in microseconds: an order of the
/// process before it may be under way. So does the holder of an earlier era, for its own orders.
const OWN_AFTER: Time = 800_000;
/// Renewals without an answer that are remembered.
const SENT: usize = 8;
/// Bits of a fencing token that count within an era.
const TOKEN_BITS: u32 = 32;

/// Who may give orders, as the store holds it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// The instance; empty when it was given up.
    pub holder: Name,
    /// The fencing token: rises with each change of holder.
    pub token: u64,
    /// Tells writes apart, so that a lost answer is recognised.
    pub nonce: u64,
    /// Whether every holder so far recorded who led a group before its first promotion. A version that doesn't know of it
    /// drops it.
    #[serde(default)]
    pub complete: bool,
    /// The era of the store in which it was written. A version that doesn't know of it drops it.
    #[serde(default)]
    pub era: u64,
}

/// The right as this instance has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Held {
    /// The fencing token.
    pub token: u64,
    /// When it ends, in microseconds of the instance's clock.
    pub until: Time,
    /// As in the record.
    pub complete: bool,
    /// The era of the store in which it was granted.
    pub era: u64,
}

/// A conditional write of the record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// What is written.
    pub record: LeaseRecord,
    /// The revision that it replaces; none if there must be no record.
    pub revision: Option<Revision>,
}

/// What is known of the record.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Seen {
    record: LeaseRecord,
    revision: Revision,
    /// When this revision was first seen.
    since: Time,
    /// When the question was sent that last showed it.
    read: Time,
}

/// What the last reading showed.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Reading {
    /// There was none in this era.
    Unread,
    /// There is no record, and since when that is known.
    Absent { since: Time, read: Time },
    /// A record.
    Found(Seen),
}

/// The work of keeping, or waiting for, the right. Times are microseconds of the instance's monotonic clock.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Lease {
    me: Name,
    began: Time,
    reading: Reading,
    /// Nonces of writes and when they were sent.
    sent: Vec<(u64, Time)>,
    held: Option<Held>,
    /// The store's era, and when it was first seen.
    era: Option<(u64, Time)>,
    /// Whether nothing was lost before: the store is new, or its first era goes on.
    first: bool,
    /// Whether this instance had the right when the era began, which nobody has taken since.
    carried: bool,
    /// Whether the record was there and is no more: who held it before isn't known any longer.
    gone: bool,
    /// The highest token that was seen.
    top: u64,
}

impl Lease {
    /// An instance that has just started; `first` says that there was no instance before it.
    pub fn new(me: Name, first: bool, now: Time) -> Lease {
        Lease {
            me,
            began: now,
            reading: Reading::Unread,
            sent: Vec::new(),
            held: None,
            era: None,
            first,
            carried: false,
            gone: false,
            top: 0,
        }
    }

    /// The right, while this instance is the holder as far as it knows; its time may be over.
    pub fn held(&self) -> Option<Held> {
        self.held
    }

    /// The store's era, as some answer told it; says whether it is later than the one known before.
    pub fn note_era(&mut self, era: u64, now: Time) -> bool {
        let Some((known, _)) = self.era else {
            self.first |= era == 0;
            self.era = Some((era, now));
            return false;
        };
        if era <= known {
            return false;
        }
        self.era = Some((era, now));
        self.first = false;
        self.carried = self.held.take().is_some_and(|it| now < it.until);
        self.reading = Reading::Unread;
        true
    }

    fn era(&self) -> u64 {
        self.era.map_or(0, |it| it.0)
    }

    /// A reading, asked for at `sent`, has shown the record, or that there is none.
    pub fn saw(&mut self, found: Option<(LeaseRecord, Revision)>, sent: Time, now: Time) {
        let era = self.era();
        match (found, &mut self.reading) {
            (None, Reading::Absent { read, .. }) => *read = sent,
            (None, old) => {
                self.gone |= matches!(old, Reading::Found(_));
                self.reading = Reading::Absent { since: now, read: sent };
            }
            // An answer may be older than what is known.
            (Some((_, revision)), _) if revision.era() < era => {}
            (Some((_, revision)), Reading::Found(it)) if it.revision > revision => {}
            (Some((_, revision)), Reading::Found(it)) if it.revision == revision => it.read = sent,
            (Some((record, revision)), _) => {
                self.carried &= record.era < era;
                self.top = self.top.max(record.token);
                self.reading = Reading::Found(Seen { record, revision, since: now, read: sent });
            }
        }
    }

    /// Whether the right is free.
    pub fn may_take(&self, now: Time) -> bool {
        let over = |since: Time, limit: Time| now.saturating_sub(since) >= limit;
        let settled = || self.era.is_some_and(|it| over(it.1, TAKE_AFTER));
        let carried = || self.carried && self.era.is_some_and(|it| over(it.1, OWN_AFTER));
        let stood = |since: Time, read: Time| read.saturating_sub(since) >= TAKE_AFTER;
        match &self.reading {
            Reading::Unread => false,
            Reading::Absent { .. } if self.first || carried() => true,
            Reading::Absent { since, read } => settled() && stood(*since, *read),
            Reading::Found(it) if it.record.era > self.era() => false,
            Reading::Found(it) if it.record.era < self.era() => {
                carried() || settled() && stood(it.since, it.read)
            }
            Reading::Found(it) if it.record.holder.is_empty() => true,
            // A process before this one had it, and is no more.
            Reading::Found(it) if it.record.holder == self.me => over(self.began, OWN_AFTER),
            Reading::Found(it) => stood(it.since, it.read),
        }
    }

    /// The write that takes the right, or renews it. `nonce` tells it apart from all others.
    pub fn write(&mut self, nonce: u64, now: Time) -> Write {
        let era = self.era();
        let (complete, revision) = match &self.reading {
            Reading::Found(it) => (it.record.complete && it.record.era == era, Some(it.revision)),
            Reading::Unread | Reading::Absent { .. } => (self.first && !self.gone, None),
        };
        let token = match self.held {
            Some(it) => it.token,
            None => (self.top + 1).max(era << TOKEN_BITS),
        };
        self.sent.push((nonce, now));
        if self.sent.len() > SENT {
            self.sent.remove(0);
        }
        Write { record: LeaseRecord { holder: self.me.clone(), token, nonce, complete, era }, revision }
    }

    /// A write that was sent at `sent` was carried out.
    pub fn written(&mut self, record: LeaseRecord, revision: Revision, sent: Time, now: Time) {
        // Another era than the one it was meant for: what it replaced may have been another's.
        if revision.era() != record.era || record.era != self.era() {
            self.held = None;
            self.reading = Reading::Unread;
            return;
        }
        self.hold(&record, sent);
        self.reading = Reading::Found(Seen { record, revision, since: now, read: sent });
    }

    /// A write met another state of the record: it was changed by an earlier write of this process whose answer was lost, or
    /// by another instance. False if the right is lost by that.
    pub fn conflicted(&mut self, current: Option<(LeaseRecord, Revision)>, sent: Time, now: Time) -> bool {
        let Some(current) = current else {
            self.reading = Reading::Unread;
            return self.held.take().is_none();
        };
        self.saw(Some(current), sent, now);
        let Reading::Found(Seen { record, .. }) = &self.reading else { return self.held.take().is_none() };
        let known = self.sent.iter().find(|it| it.0 == record.nonce).map(|it| it.1);
        match known.filter(|_| record.era == self.era()) {
            Some(sent) => {
                let record = record.clone();
                self.hold(&record, sent);
                true
            }
            None => self.held.take().is_none(),
        }
    }

    /// A write met no record. False if the right is lost by that.
    pub fn missed(&mut self, sent: Time, now: Time) -> bool {
        self.saw(None, sent, now);
        self.gone = true;
        self.held.take().is_none()
    }

    /// The write that gives the right up, so that another instance need not wait.
    pub fn release(&mut self) -> Option<Write> {
        self.held.take()?;
        let Reading::Found(seen) = &self.reading else { return None };
        let record = LeaseRecord { holder: Name::new(), nonce: 0, ..seen.record.clone() };
        Some(Write { record, revision: Some(seen.revision) })
    }

    fn hold(&mut self, record: &LeaseRecord, sent: Time) {
        let LeaseRecord { token, complete, era, .. } = *record;
        self.carried = false;
        self.held = Some(Held { token, until: sent + HOLD, complete, era });
    }
}
