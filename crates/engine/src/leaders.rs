//! Leader records: the last known leader of each group, kept in the store.
//!
//! A lease holder that has had no contact with a group's primary learns the term from the replicas, but not which
//! server leads it. The lease holder therefore records each leader that it sees, with one call of the store per group
//! and term. A group has a record before the first promotion in the group is ordered; without a record, the first
//! primary still leads.

use {
    crate::{
        count::Count,
        group::Group,
        instance::{Instance, Micros, micros},
        model::Role,
        ports::{Collection, Object, Record, StoreError},
    },
    pondtrack_core::leader::{LeaderEvidence, LeaderRecord},
    pondtrack_proto::{Name, Revision, Term},
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
        time::Duration,
    },
    tokio::{
        sync::Notify,
        time::{Instant, timeout_at},
    },
};

/// Delay after a failed call of the store, because each call incurs a cost.
const RETRY_DELAY: Duration = Duration::from_millis(400);
/// Time for which a failover waits for the group's first record. A slow store answers within 400 ms.
const FIRST_RECORD_TIMEOUT: Duration = Duration::from_millis(500);

/// The leader records as last read or written by this instance.
#[derive(Default)]
pub struct Leaders {
    cache: RefCell<Option<Cache>>,
    /// First records of groups that failovers wait for.
    requested: RefCell<Vec<(Name, LeaderRecord)>>,
    /// True while the store is called.
    calling: Cell<bool>,
    /// Earliest time of the next call.
    retry_at: Cell<Micros>,
    changed: Notify,
}

/// The records read, updated by later writes.
struct Cache {
    /// The lease's fencing token at the time of the read. Under another token, another instance may have written
    /// records.
    token: u64,
    /// Sorted by group.
    records: Vec<StoredRecord>,
}

/// A group's record.
struct StoredRecord {
    group: Name,
    revision: Revision,
    leader: LeaderRecord,
}

/// A pending write of a record.
struct PendingWrite {
    group: Name,
    /// The revision of the record to replace; none if there must be no record.
    revision: Option<Revision>,
    leader: LeaderRecord,
}

impl Leaders {
    /// Reads the records, or writes those that are missing or outdated, if this instance holds the lease. Does nothing
    /// while an earlier call is in flight.
    pub fn sync(&self, inst: &Rc<Instance>) {
        let now = inst.now();
        let Some(token) = inst.fencing_token() else { return };
        if self.calling.get() || now < self.retry_at.get() {
            return;
        }
        let writes = self.with_records(inst, |records| self.pending_writes(inst, records));
        if writes.as_ref().is_some_and(Vec::is_empty) {
            return;
        }
        self.calling.set(true);
        let inst = inst.clone();
        tokio::task::spawn_local(async move {
            let leaders = &inst.leaders;
            let result = match writes {
                Some(writes) => leaders.write_all(&inst, writes).await,
                None => leaders.read(&inst, token).await,
            };
            if let Err(e) = result {
                inst.counters.increment(Count::StoreFailures);
                log::info!(step = "leaders"; "who led isn't recorded yet: {e}");
                leaders.retry_at.set(inst.now() + micros(RETRY_DELAY));
            }
            leaders.calling.set(false);
            leaders.changed.notify_waiters();
        });
    }

    /// Applies `f` to the records; none if they weren't read under this instance's current lease.
    fn with_records<T>(&self, inst: &Instance, f: impl FnOnce(&[StoredRecord]) -> T) -> Option<T> {
        let token = inst.fencing_token()?;
        let cache = self.cache.borrow();
        cache.as_ref().filter(|cache| cache.token == token).map(|cache| f(&cache.records))
    }

    async fn read(&self, inst: &Instance, token: u64) -> Result<(), StoreError> {
        inst.counters.increment(Count::StoreCalls);
        let all = inst.adapters.store.list(Collection::Leaders, false).await?;
        let mut records: Vec<StoredRecord> = all.items.into_iter().filter_map(decode).collect();
        records.sort_by(|a, b| a.group.cmp(&b.group));
        self.cache.replace(Some(Cache { token, records }));
        Ok(())
    }

    /// Returns the records to write: those of groups whose primary is newer than the record, and requested first
    /// records.
    fn pending_writes(&self, inst: &Instance, records: &[StoredRecord]) -> Vec<PendingWrite> {
        let record = |group: &str| find(records, group).ok().map(|at| &records[at]);
        let outdated = inst.groups().into_iter().filter_map(|group| {
            let (leader, old) = (group.leader()?, record(&group.name));
            let is_new = old.is_none_or(|old| old.leader.is_older_than(&leader));
            is_new.then(|| PendingWrite {
                group: group.name.clone(),
                revision: old.map(|old| old.revision),
                leader,
            })
        });
        let mut writes: Vec<PendingWrite> = outdated.collect();
        let mut requested = self.requested.borrow_mut();
        requested.retain(|r| record(&r.0).is_none() && writes.iter().all(|w| w.group != r.0));
        let first = |request: &(Name, LeaderRecord)| PendingWrite {
            group: request.0.clone(),
            revision: None,
            leader: request.1.clone(),
        };
        writes.extend(requested.iter().map(first));
        writes
    }

    async fn write_all(&self, inst: &Instance, writes: Vec<PendingWrite>) -> Result<(), StoreError> {
        for write in writes {
            self.write(inst, write).await?;
        }
        Ok(())
    }

    async fn write(&self, inst: &Instance, write: PendingWrite) -> Result<(), StoreError> {
        inst.counters.increment(Count::StoreCalls);
        let PendingWrite { group, revision, leader } = write;
        let record = Record::Leader(leader.clone());
        let put = inst.adapters.store.put(Collection::Leaders, group.clone(), record, revision).await;
        let found = match put {
            Ok(revision) => Some(StoredRecord { group, revision, leader }),
            // Written by another lease holder, or by an earlier call whose answer was lost.
            Err(StoreError::Conflict { current }) => current.and_then(|object| decode(*object)),
            Err(StoreError::Missing) => None,
            Err(e) => return Err(e),
        };
        match found {
            Some(record) => self.insert(record),
            // The conflicting record was removed, or the answer doesn't contain it: all records are read again.
            None => drop(self.cache.take()),
        }
        Ok(())
    }

    fn insert(&self, record: StoredRecord) {
        if let Some(Cache { records, .. }) = &mut *self.cache.borrow_mut() {
            match find(records, &record.group) {
                Ok(at) => records[at] = record,
                Err(at) => records.insert(at, record),
            }
        }
    }

    /// Returns the leader of a group's latest term if the records and the servers' entries prove it, although the
    /// leader doesn't answer this instance.
    pub fn proven_leader(&self, inst: &Instance, group: &Group) -> Option<Name> {
        let servers = group.servers();
        let entries = servers.iter().map(|server| server.entry());
        let claimants: Vec<Name> =
            entries.filter(|entry| entry.role == Some(Role::Primary)).map(|entry| entry.id.clone()).collect();
        let (term, complete) = (group.term(), inst.lease.is_complete());
        self.with_records(inst, |records| {
            let record = find(records, &group.name).ok().map(|at| &records[at].leader);
            LeaderEvidence { term, record, complete, claimants: &claimants }.leader().cloned()
        })?
    }

    /// Waits until a group has a record and returns the record; `leader` is written if there is none. Returns none if
    /// the store doesn't answer in time or the lease is lost.
    pub async fn ensure_recorded(
        &self,
        inst: &Rc<Instance>,
        group: &Name,
        leader: LeaderRecord,
    ) -> Option<LeaderRecord> {
        let deadline = Instant::now() + FIRST_RECORD_TIMEOUT;
        loop {
            let changed = self.changed.notified();
            let known = self
                .with_records(inst, |records| find(records, group).ok().map(|at| records[at].leader.clone()));
            if let Some(record) = known.flatten() {
                return Some(record);
            }
            let mut requested = self.requested.take();
            requested.retain(|request| request.0 != *group);
            requested.push((group.clone(), leader.clone()));
            self.requested.replace(requested);
            self.sync(inst);
            timeout_at(deadline, changed).await.ok()?;
        }
    }
}

fn find(records: &[StoredRecord], group: &str) -> Result<usize, usize> {
    records.binary_search_by(|record| record.group.as_str().cmp(group))
}

fn decode(object: Object) -> Option<StoredRecord> {
    let Object { name: group, revision, record } = object;
    let leader = match record? {
        Record::Leader(leader) => leader,
        // The record doesn't name the leader, but shows that there was a record. The next write replaces it.
        other => {
            log::error!(group = group.as_str(); "unexpected leader record: {other:?}");
            LeaderRecord { term: Term(0), server: None }
        }
    };
    Some(StoredRecord { group, revision, leader })
}
