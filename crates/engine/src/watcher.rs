//! The configuration and the directory of servers, kept up to date from the store.

use {
    crate::{
        count::Count,
        instance::{Instance, micros},
        lease::is_candidate,
        model::Server,
        peer::Peer,
        ports::{Collection, InstanceRecord, Object, Objects, Record, StoreError},
        settings::SERVER_EXPIRY,
    },
    pondtrack_core::intervals,
    pondtrack_proto::{Name, Revision},
    std::{rc::Rc, time::Duration},
    tokio::time::{Instant, sleep},
};

/// Pause after a failed call, shortest and its spread in milliseconds: the store refuses at most for
/// seconds, and each call has its price.
const PAUSE: (u64, u64) = (150, 150);
/// The same for an instance that only reads the store because nobody tells it what is there. It doubles with
/// each failure up to the third: those that watch for all find out first that the store is back.
const LONG_PAUSE: (u64, u64) = (900, 900);
/// The most doublings: a change has to be in force 3,000 ms after the store was well for 4,000 ms.
const DOUBLINGS: u32 = 2;
/// Between two looks whether the store has to be watched.
const IDLE: Duration = Duration::from_millis(250);
/// Between two looks for servers that have left.
const SWEEP: Duration = Duration::from_millis(500);
/// A process that finds the entry of an earlier one of its name, which says the same, writes it again within this time, in
/// milliseconds: where all start at once, they don't all write at once.
const ENTRY_SPREAD: u64 = 10_000;
/// Between two looks at the entries of all instances, which are read at a tenth of the price.
const LOOK: Duration = Duration::from_millis(3_000);
/// The same after the start, when the others come up as well.
const FIRST_LOOK: Duration = Duration::from_millis(1_000);
/// How many looks of this kind there are.
const FIRST_LOOKS: u64 = 3;
/// After the store came back from an older copy, instances whose entries it lacks count for as long as this: they write them
/// again within a look of theirs.
const REWRITE: Duration = Duration::from_millis(6_000);

/// Keeps a collection up to date while this instance has to watch the store itself, for good.
pub async fn run(inst: Rc<Instance>, what: Collection) {
    let mut failures = 0;
    // The revision after which changes are wanted; none when everything has to be read.
    let mut since: Option<Revision> = None;
    loop {
        // At the start it reads the whole in any case.
        if !inst.distribution.must_watch(&inst) && inst.revision(what).is_some() {
            since = None;
            sleep(IDLE).await;
            continue;
        }
        let asked = inst.now();
        let got = match since {
            None => inst.adapters.store.list(what, false).await,
            Some(at) => inst.adapters.store.watch(what, at, watch_limit(&inst)).await,
        };
        inst.counters.increment(Count::StoreCalls);
        inst.distribution.record_call(what, got.is_ok());
        match got {
            Ok(it) => {
                if std::mem::take(&mut failures) > 0 {
                    log::info!(collection:% = what; "store regained");
                }
                let as_of = it.as_of;
                if since.is_some_and(|it| it.era() < as_of.era()) {
                    // It came back from an older copy: what was undone by that is no change since then.
                    since = None;
                    continue;
                }
                take(&inst, what, it, since.is_none());
                if what == Collection::Config {
                    inst.confirm_config(asked);
                }
                since = Some(as_of);
            }
            Err(StoreError::Compacted) => since = None,
            Err(e) => {
                inst.counters.increment(Count::StoreFailures);
                if failures == 0 {
                    log::warn!(collection:% = what; "store lost: {e}");
                }
                let (least, spread) = match inst.distribution.is_watcher(&inst) {
                    true => PAUSE,
                    false => (LONG_PAUSE.0 << failures.min(DOUBLINGS), LONG_PAUSE.1),
                };
                failures += 1;
                sleep(Duration::from_millis(least + inst.random(spread))).await;
            }
        }
    }
}

/// The longest wait of one watch.
fn watch_limit(inst: &Instance) -> Duration {
    let bounds = inst.bounds.get();
    intervals::watch_timeout(bounds.apply, bounds.revoke)
}

/// Takes objects in; `whole` says that whatever isn't among them doesn't exist.
fn take(inst: &Rc<Instance>, what: Collection, objects: Objects, whole: bool) {
    let as_of = objects.as_of;
    // Another instance may have told of a later state while this answer was under way.
    let is_old = inst.revision(what).is_some_and(|it| it > as_of);
    let old = inst.directory();
    let mut servers = if whole { Vec::new() } else { old.clone() };
    for it in objects.items {
        match it.record {
            Some(Record::Config(desired)) => inst.apply_config(desired, as_of),
            Some(Record::Server(server)) => {
                inst.unreadable.borrow_mut().remove(what, &it.name);
                put(&mut servers, server);
            }
            Some(Record::Unreadable(why)) => {
                inst.record_unreadable(what, &it.name, &why);
                // It names no server, also where it replaces an entry that did.
                servers.retain(|old| old.id != it.name);
            }
            Some(Record::Instance(_) | Record::Lease(_) | Record::Leader(_)) => {}
            None => {
                inst.unreadable.borrow_mut().remove(what, &it.name);
                servers.retain(|old| old.id != it.name);
            }
        }
    }
    if what == Collection::Servers && !is_old && (servers != old || inst.revision(what).is_none()) {
        inst.apply_directory(servers, as_of);
    }
}

fn put(servers: &mut Vec<Server>, server: Server) {
    match servers.binary_search_by(|it| it.id.cmp(&server.id)) {
        Ok(at) => servers[at] = server,
        Err(at) => servers.insert(at, server),
    }
}

/// Looks for servers that have left, and closes connections that are not needed.
pub async fn sweep(inst: Rc<Instance>) {
    loop {
        sleep(SWEEP).await;
        let limit = inst.now().saturating_sub(micros(SERVER_EXPIRY));
        for group in inst.groups() {
            for id in group.expire(limit) {
                log::info!(group = group.name.as_str(), server = id.as_str(); "server gone");
            }
            // Who comes to change its primary has to know by then whether a replica that came back has caught up.
            if group.unrecovered().is_some() && is_candidate(&inst) {
                group.ask_all(inst.now().saturating_sub(micros(SWEEP)));
            }
            for it in group.servers().into_iter().filter(|it| it.pool.is_open()) {
                // What this instance may keep shrinks as others come.
                inst.update_placement(&it);
                it.pool.trim(
                    Instant::now(),
                    it.entry().draining && group.servers().len() > 1 && !is_primary(&group, it.index),
                );
            }
        }
    }
}

fn is_primary(group: &crate::group::Group, index: usize) -> bool {
    group.primary().is_some_and(|it| it.index == index)
}

/// Writes this instance's entry now and then, and counts the others: at the start, and as long as it watches the
/// store. Else those that watch tell.
pub async fn register(inst: Rc<Instance>) {
    let mut entry = Entry::default();
    let mut known: Vec<(Name, Revision, u64)> = Vec::new();
    let mut look = 0;
    let mut era = (None, 0);
    loop {
        // An earlier process of the same name has most probably left an entry, which a look shows.
        let unread = look == 0 && !inst.settings.first_start;
        let has_others = inst.peers().is_some_and(|it| !it.is_empty());
        if !unread {
            entry.keep(&inst, has_others).await;
        }
        if inst.era() > era.0 {
            era = (inst.era(), inst.now());
        }
        if look < FIRST_LOOKS || inst.distribution.must_watch(&inst) {
            look += 1;
            inst.counters.increment(Count::StoreCalls);
            match inst.adapters.store.list(Collection::Instances, true).await {
                Ok(it) => {
                    entry.find(&inst, &it.items);
                    let mut peers = live(&mut known, &it.items, look);
                    if inst.now() - era.1 < micros(REWRITE) {
                        keep_others(&inst, &mut peers);
                    }
                    inst.set_peers(peers);
                }
                Err(e) => log::debug!("instances: {e}"),
            }
        }
        if unread {
            entry.keep(&inst, has_others).await;
        }
        let pause = if look < FIRST_LOOKS { FIRST_LOOK } else { LOOK };
        sleep(pause + Duration::from_millis(inst.random(500))).await;
    }
}

/// This instance's own entry.
#[derive(Default)]
struct Entry {
    revision: Option<Revision>,
    written: Option<Instant>,
    /// Until when the entry of an earlier process will do.
    due: Option<Instant>,
}

impl Entry {
    /// Takes in what an earlier process of the same name has left.
    fn find(&mut self, inst: &Instance, items: &[Object]) {
        if self.revision.is_some() {
            return;
        }
        let Some(it) = items.iter().find(|it| it.name == inst.settings.name) else { return };
        self.revision = Some(it.revision);
        let own = &inst.settings;
        let says_the_same = |it: &InstanceRecord| {
            it.zone == own.zone && it.addr == own.peer_addr && it.capacity == own.capacity
        };
        let same = |it: &Record| matches!(it, Record::Instance(it) if says_the_same(it));
        if it.record.as_ref().is_some_and(same) {
            self.due = Some(Instant::now() + Duration::from_millis(inst.random(ENTRY_SPREAD)));
        }
    }

    /// Whether the entry is there and needn't be written yet.
    fn is_fresh(&self, inst: &Instance) -> bool {
        // Where the store came back from an older copy, it may not be there any longer.
        let known = self.revision.is_some_and(|it| inst.era().is_none_or(|era| era <= it.era()));
        let heartbeat = intervals::heartbeat_interval(inst.peers().map_or(0, |it| it.len()) + 1);
        let written = self.written.is_some_and(|at| at.elapsed() < heartbeat);
        known && (written || self.due.is_some_and(|it| Instant::now() < it))
    }

    /// Writes the entry if a heartbeat is due. `has_others` says that this instance knew others before it could tell them
    /// of itself.
    async fn keep(&mut self, inst: &Instance, has_others: bool) {
        if self.is_fresh(inst) {
            return;
        }
        // Once more if an earlier process of the same name has left an entry.
        for _ in 0..2 {
            let record = InstanceRecord {
                beat: inst.now(),
                zone: inst.settings.zone.clone(),
                addr: inst.settings.peer_addr,
                capacity: inst.settings.capacity,
            };
            inst.counters.increment(Count::StoreCalls);
            let name = inst.settings.name.clone();
            let is_new = self.revision.is_none();
            let store = &inst.adapters.store;
            let put = store.put(Collection::Instances, name, Record::Instance(record), self.revision);
            match put.await {
                Ok(it) => {
                    if is_new && has_others {
                        inst.quotas.set_joining();
                    }
                    self.revision = Some(it);
                    self.written = Some(Instant::now());
                    return;
                }
                Err(StoreError::Conflict { current }) => self.revision = current.map(|it| it.revision),
                Err(StoreError::Missing) => self.revision = None,
                Err(e) => return log::debug!("heartbeat: {e}"),
            }
        }
    }
}

/// Adds the instances that are known already.
fn keep_others(inst: &Instance, peers: &mut Vec<Peer>) {
    for it in inst.peers().into_iter().flatten() {
        if let Err(at) = peers.binary_search_by(|peer| peer.name.cmp(&it.name)) {
            let peer = Peer::new(it.name.clone(), it.zone.clone(), it.addr);
            peers.insert(at, peer.with_capacity(it.capacity));
        }
    }
}

/// The instances whose entries changed lately; `known` holds names, revisions and when they were new.
fn live(known: &mut Vec<(Name, Revision, u64)>, items: &[Object], look: u64) -> Vec<Peer> {
    known.retain(|it| items.iter().any(|item| item.name == it.0));
    let lapse = intervals::expiry_polls(items.len(), LOOK);
    let mut peers = Vec::new();
    for item in items {
        let at = known.binary_search_by(|it| it.0.cmp(&item.name)).unwrap_or_else(|at| {
            known.insert(at, (item.name.clone(), Revision::default(), look));
            at
        });
        if known[at].1 != item.revision {
            known[at] = (item.name.clone(), item.revision, look);
        }
        match &item.record {
            Some(Record::Instance(it)) if look - known[at].2 < lapse => {
                let peer = Peer::new(item.name.clone(), it.zone.clone(), it.addr);
                peers.push(peer.with_capacity(it.capacity));
            }
            _ => {}
        }
    }
    peers.sort_by(|a, b| a.name.cmp(&b.name));
    peers
}

/// Removes this instance's entry.
pub async fn deregister(inst: &Instance) {
    inst.counters.increment(Count::StoreCalls);
    if let Err(e) = inst.adapters.store.remove(Collection::Instances, inst.settings.name.clone()).await {
        log::warn!("the entry of this instance stays: {e}");
    }
}
