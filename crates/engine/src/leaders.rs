//! The record of who led each group, in the store.
//!
//! A holder of the lease that never heard a group's primary knows its term from the replicas, but not which server leads
//! it. So whoever holds the lease writes down whom it saw lead: one call of the store for each group and term. A group
//! has a record before the first promotion in it is ordered, so where there is none, the first primary still leads.

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

/// Pause after a call of the store without a result, as each has its price.
const PAUSE: Duration = Duration::from_millis(400);
/// How long a change of primary waits for its group's first record: a store that is slow answers within 400 ms.
const FIRST_LIMIT: Duration = Duration::from_millis(500);

/// What is recorded, as far as this instance knows.
#[derive(Default)]
pub struct Leaders {
    read: RefCell<Option<Read>>,
    /// First records that changes of primary wait for.
    wanted: RefCell<Vec<(Name, LeaderRecord)>>,
    /// Whether the store is being called.
    calling: Cell<bool>,
    /// No call before this.
    pause: Cell<Micros>,
    changed: Notify,
}

/// What was read, and written since.
struct Read {
    /// The lease's token at that time: under another one somebody else may have written.
    token: u64,
    /// Sorted by group.
    known: Vec<Known>,
}

/// A group's record.
struct Known {
    group: Name,
    revision: Revision,
    leader: LeaderRecord,
}

/// A record that is to be written.
struct Due {
    group: Name,
    /// The store's revision of the one that it replaces.
    revision: Option<Revision>,
    leader: LeaderRecord,
}

impl Leaders {
    /// Reads the records, or writes down what is new, if there is anything to do and this instance holds the lease.
    pub fn keep(&self, inst: &Rc<Instance>) {
        let now = inst.now();
        let Some(token) = inst.token() else { return };
        if self.calling.get() || now < self.pause.get() {
            return;
        }
        let due = self.with_known(inst, |known| self.due(inst, known));
        if due.as_ref().is_some_and(Vec::is_empty) {
            return;
        }
        self.calling.set(true);
        let inst = inst.clone();
        tokio::task::spawn_local(async move {
            let it = &inst.leaders;
            let called = match due {
                Some(due) => it.write_all(&inst, due).await,
                None => it.read(&inst, token).await,
            };
            if let Err(e) = called {
                inst.counters.increment(Count::StoreFailures);
                log::info!(step = "leaders"; "who led isn't recorded yet: {e}");
                it.pause.set(inst.now() + micros(PAUSE));
            }
            it.calling.set(false);
            it.changed.notify_waiters();
        });
    }

    /// Looks at the records, if they were read under this instance's lease.
    fn with_known<T>(&self, inst: &Instance, look: impl FnOnce(&[Known]) -> T) -> Option<T> {
        let token = inst.token()?;
        let read = self.read.borrow();
        read.as_ref().filter(|it| it.token == token).map(|it| look(&it.known))
    }

    async fn read(&self, inst: &Instance, token: u64) -> Result<(), StoreError> {
        inst.counters.increment(Count::StoreCalls);
        let all = inst.adapters.store.list(Collection::Leaders, false).await?;
        let mut known: Vec<Known> = all.items.into_iter().filter_map(decode).collect();
        known.sort_by(|a, b| a.group.cmp(&b.group));
        self.read.replace(Some(Read { token, known }));
        Ok(())
    }

    /// Records to be written: of groups with a primary that is newer than its record, and those that are waited for.
    fn due(&self, inst: &Instance, known: &[Known]) -> Vec<Due> {
        let record = |group: &str| find(known, group).ok().map(|at| &known[at]);
        let seen = inst.groups().into_iter().filter_map(|it| {
            let (leader, old) = (it.leader()?, record(&it.name));
            let is_new = old.is_none_or(|it| it.leader.is_older_than(&leader));
            is_new.then(|| Due { group: it.name.clone(), revision: old.map(|it| it.revision), leader })
        });
        let mut due: Vec<Due> = seen.collect();
        let mut wanted = self.wanted.borrow_mut();
        wanted.retain(|it| record(&it.0).is_none() && due.iter().all(|due| due.group != it.0));
        let first =
            |it: &(Name, LeaderRecord)| Due { group: it.0.clone(), revision: None, leader: it.1.clone() };
        due.extend(wanted.iter().map(first));
        due
    }

    async fn write_all(&self, inst: &Instance, due: Vec<Due>) -> Result<(), StoreError> {
        for it in due {
            self.write(inst, it).await?;
        }
        Ok(())
    }

    async fn write(&self, inst: &Instance, due: Due) -> Result<(), StoreError> {
        inst.counters.increment(Count::StoreCalls);
        let Due { group, revision, leader } = due;
        let record = Record::Leader(leader.clone());
        let put = inst.adapters.store.put(Collection::Leaders, group.clone(), record, revision).await;
        let found = match put {
            Ok(revision) => Some(Known { group, revision, leader }),
            // By another holder, or by an earlier call whose answer was lost.
            Err(StoreError::Conflict { current }) => current.and_then(|it| decode(*it)),
            Err(StoreError::Missing) => None,
            Err(e) => return Err(e),
        };
        match found {
            Some(it) => self.take(it),
            // What it met was removed, or wasn't sent: all is read again.
            None => drop(self.read.take()),
        }
        Ok(())
    }

    fn take(&self, it: Known) {
        if let Some(Read { known, .. }) = &mut *self.read.borrow_mut() {
            match find(known, &it.group) {
                Ok(at) => known[at] = it,
                Err(at) => known.insert(at, it),
            }
        }
    }

    /// The server that leads a group's newest term, where that is proved although it gives no answer here.
    pub fn proved(&self, inst: &Instance, group: &Group) -> Option<Name> {
        let servers = group.servers();
        let entries = servers.iter().map(|it| it.entry());
        let claims: Vec<Name> =
            entries.filter(|it| it.role == Some(Role::Primary)).map(|it| it.id.clone()).collect();
        let (term, complete) = (group.term(), inst.tenure.is_complete());
        self.with_known(inst, |known| {
            let record = find(known, &group.name).ok().map(|at| &known[at].leader);
            LeaderEvidence { term, record, complete, claimants: &claims }.leader().cloned()
        })?
    }

    /// Waits until a group has a record: `leader` if it had none. Hands it back; none if the store doesn't answer in
    /// time, or the lease is lost.
    pub async fn ensure(
        &self,
        inst: &Rc<Instance>,
        group: &Name,
        leader: LeaderRecord,
    ) -> Option<LeaderRecord> {
        let end = Instant::now() + FIRST_LIMIT;
        loop {
            let changed = self.changed.notified();
            let known =
                self.with_known(inst, |known| find(known, group).ok().map(|at| known[at].leader.clone()));
            if let Some(it) = known.flatten() {
                return Some(it);
            }
            let mut wanted = self.wanted.take();
            wanted.retain(|it| it.0 != *group);
            wanted.push((group.clone(), leader.clone()));
            self.wanted.replace(wanted);
            self.keep(inst);
            timeout_at(end, changed).await.ok()?;
        }
    }
}

fn find(known: &[Known], group: &str) -> Result<usize, usize> {
    known.binary_search_by(|it| it.group.as_str().cmp(group))
}

fn decode(it: Object) -> Option<Known> {
    let Object { name: group, revision, record } = it;
    let leader = match record? {
        Record::Leader(it) => it,
        // It says nothing of who led, but that there was a record; the next one replaces it.
        other => {
            log::error!(group = group.as_str(); "the record of who led is unreadable: {other:?}");
            LeaderRecord { term: Term(0), server: None }
        }
    };
    Some(Known { group, revision, leader })
}
