//! Synchronisation of the configuration and the server directory with the store, and the registration of this
//! instance.

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
    tokio::time::{Instant, sleep, timeout},
};

/// Minimum backoff after a failed call and its jitter, in milliseconds. The store refuses calls for seconds at
/// most, and each call has a cost.
const BACKOFF: (u64, u64) = (150, 150);
/// Backoff of an instance that reads the store only because it receives no heartbeats. The minimum doubles with
/// each failure up to the third, so that the watchers are the first to find out that the store is available again.
const FALLBACK_BACKOFF: (u64, u64) = (900, 900);
/// Maximum number of doublings. A change has to be in effect 3,000 ms after the store has been available for 4,000
/// ms.
const MAX_DOUBLINGS: u32 = 2;
/// Interval between checks if this instance has to watch the store.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between checks for removed servers.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum delay before a restarted instance rewrites the entry of its earlier process if the content is the same,
/// in milliseconds. The delay is random, so that instances that start together don't all write at once.
const MAX_REWRITE_DELAY: u64 = 10_000;
/// Interval between polls of the entries of all instances. A stale list costs a tenth of a fresh one.
const POLL_INTERVAL: Duration = Duration::from_millis(3_000);
/// Interval between the first polls after the start, while other instances start as well.
const FIRST_POLL_INTERVAL: Duration = Duration::from_millis(1_000);
/// Number of polls with the shorter interval.
const FIRST_POLLS: u64 = 3;
/// Time after a restore of the store during which instances without an entry still count as live. They rewrite
/// their entries within one of their polls.
const RESTORE_GRACE: Duration = Duration::from_millis(6_000);

/// Keeps a collection in sync with the store while this instance has to watch the store; never returns.
pub async fn run(inst: Rc<Instance>, collection: Collection) {
    let mut failures = 0;
    // Revision after which to watch for changes; none if the whole collection has to be read.
    let mut since: Option<Revision> = None;
    let mut watching = false;
    loop {
        let must_watch = inst.distribution.must_watch(&inst);
        if std::mem::replace(&mut watching, must_watch) != must_watch && collection == Collection::Config {
            let preferred = inst.distribution.is_watcher(&inst);
            log::info!(watching, preferred; "store watch switched");
        }
        // Reads the whole collection at the start in any case.
        if !must_watch && inst.revision(collection).is_some() {
            since = None;
            sleep(CHECK_INTERVAL).await;
            continue;
        }
        let asked = inst.now();
        let result = match since {
            None => inst.adapters.store.list(collection, false).await,
            Some(at) => inst.adapters.store.watch(collection, at, watch_limit(&inst)).await,
        };
        inst.counters.increment(Count::StoreCalls);
        inst.distribution.record_call(collection, result.is_ok());
        match result {
            Ok(objects) => {
                if std::mem::take(&mut failures) > 0 {
                    log::info!(collection:% = collection; "store regained");
                }
                let as_of = objects.as_of;
                if since.is_some_and(|r| r.era() < as_of.era()) {
                    // The store was restored from an older copy. The changes undone by the restore don't appear as
                    // changes since the revision.
                    since = None;
                    continue;
                }
                apply(&inst, collection, objects, since.is_none());
                if collection == Collection::Config {
                    inst.confirm_config(asked);
                }
                since = Some(as_of);
            }
            Err(StoreError::Compacted) => since = None,
            Err(e) => {
                inst.counters.increment(Count::StoreFailures);
                if failures == 0 {
                    log::warn!(collection:% = collection; "store lost: {e}");
                }
                let (min, jitter) = match inst.distribution.is_watcher(&inst) {
                    true => BACKOFF,
                    false => (FALLBACK_BACKOFF.0 << failures.min(MAX_DOUBLINGS), FALLBACK_BACKOFF.1),
                };
                failures += 1;
                sleep(Duration::from_millis(min + inst.random(jitter))).await;
            }
        }
    }
}

/// Returns the maximum duration of one watch call.
fn watch_limit(inst: &Instance) -> Duration {
    let bounds = inst.bounds.get();
    intervals::watch_timeout(bounds.apply, bounds.revoke)
}

/// Applies objects of a collection. With `whole`, objects that are not listed don't exist.
fn apply(inst: &Rc<Instance>, collection: Collection, objects: Objects, whole: bool) {
    let as_of = objects.as_of;
    // Another instance may have delivered a later state while this call was in progress.
    let is_outdated = inst.revision(collection).is_some_and(|r| r > as_of);
    let old = inst.directory();
    let mut servers = if whole { Vec::new() } else { old.clone() };
    for object in objects.items {
        match object.record {
            Some(Record::Config(config)) => inst.apply_config(config, as_of),
            Some(Record::Server(server)) => {
                inst.unreadable.borrow_mut().remove(collection, &object.name);
                put(&mut servers, server);
            }
            Some(Record::Unreadable(why)) => {
                inst.record_unreadable(collection, &object.name, &why);
                // An unreadable object describes no server, even if it replaces an entry that did.
                servers.retain(|old| old.id != object.name);
            }
            Some(Record::Instance(_) | Record::Lease(_) | Record::Leader(_)) => {}
            None => {
                inst.unreadable.borrow_mut().remove(collection, &object.name);
                servers.retain(|old| old.id != object.name);
            }
        }
    }
    if collection == Collection::Servers
        && !is_outdated
        && (servers != old || inst.revision(collection).is_none())
    {
        inst.apply_directory(servers, as_of);
    }
}

fn put(servers: &mut Vec<Server>, server: Server) {
    match servers.binary_search_by(|s| s.id.cmp(&server.id)) {
        Ok(at) => servers[at] = server,
        Err(at) => servers.insert(at, server),
    }
}

/// Removes servers that have left, and closes unneeded connections; never returns.
pub async fn sweep(inst: Rc<Instance>) {
    loop {
        sleep(SWEEP_INTERVAL).await;
        let limit = inst.now().saturating_sub(micros(SERVER_EXPIRY));
        for group in inst.groups() {
            for id in group.remove_expired(limit) {
                log::info!(group = group.name.as_str(), server = id.as_str(); "server gone");
            }
            // Before a failover of this group, an instance that may run the failover has to know if a replica that
            // came back has caught up.
            if group.unrecovered_replica().is_some() && is_candidate(&inst) {
                group.request_statuses(inst.now().saturating_sub(micros(SWEEP_INTERVAL)));
            }
            for server in group.servers().into_iter().filter(|s| s.pool.has_open()) {
                // The share of this instance shrinks as other instances join.
                inst.update_placement(&server);
                server.pool.trim(
                    Instant::now(),
                    server.entry().draining && group.servers().len() > 1 && !is_primary(&group, server.index),
                );
            }
        }
    }
}

fn is_primary(group: &crate::group::Group, index: usize) -> bool {
    group.primary().is_some_and(|s| s.index == index)
}

/// Registers this instance in the store, renews its entry, and polls the entries of other instances at the start,
/// while it watches the store and on request; never returns. Otherwise the watchers deliver the list of instances.
pub async fn register(inst: Rc<Instance>) {
    let mut entry = Entry::default();
    let mut known: Vec<(Name, Revision, u64)> = Vec::new();
    let mut poll = 0;
    let mut requested = false;
    let mut era = (None, 0);
    loop {
        // An earlier process of the same name has probably left an entry, which the first poll finds.
        let defer_write = poll == 0 && !inst.settings.first_start;
        let has_others = inst.peers().is_some_and(|p| !p.is_empty());
        if !defer_write {
            entry.renew(&inst, has_others).await;
        }
        if inst.era() > era.0 {
            era = (inst.era(), inst.now());
        }
        if poll < FIRST_POLLS || requested || inst.distribution.must_watch(&inst) {
            poll += 1;
            inst.counters.increment(Count::StoreCalls);
            // A stale list may lack the instance that caused the request.
            match inst.adapters.store.list(Collection::Instances, !requested).await {
                Ok(objects) => {
                    entry.adopt(&inst, &objects.items);
                    let mut peers = live_peers(&mut known, &objects.items, poll);
                    if inst.now() - era.1 < micros(RESTORE_GRACE) {
                        add_known(&inst, &mut peers);
                    }
                    inst.set_peers(peers);
                }
                Err(e) => log::debug!("instances: {e}"),
            }
            inst.distribution.members_read.notify_waiters();
        }
        if defer_write {
            entry.renew(&inst, has_others).await;
        }
        let interval = if poll < FIRST_POLLS { FIRST_POLL_INTERVAL } else { POLL_INTERVAL };
        let interval = interval + Duration::from_millis(inst.random(500));
        requested = timeout(interval, inst.distribution.members_requested.notified()).await.is_ok();
    }
}

/// Entry of this instance in the store.
#[derive(Default)]
struct Entry {
    revision: Option<Revision>,
    written: Option<Instant>,
    /// Time until which the entry of an earlier process remains valid.
    valid_until: Option<Instant>,
}

impl Entry {
    /// Adopts the entry of an earlier process of the same name.
    fn adopt(&mut self, inst: &Instance, items: &[Object]) {
        if self.revision.is_some() {
            return;
        }
        let Some(object) = items.iter().find(|o| o.name == inst.settings.name) else { return };
        self.revision = Some(object.revision);
        let own = &inst.settings;
        let has_same_content =
            |r: &InstanceRecord| r.zone == own.zone && r.addr == own.peer_addr && r.capacity == own.capacity;
        let is_same = |record: &Record| matches!(record, Record::Instance(r) if has_same_content(r));
        if object.record.as_ref().is_some_and(is_same) {
            self.valid_until = Some(Instant::now() + Duration::from_millis(inst.random(MAX_REWRITE_DELAY)));
        }
    }

    /// Returns true if the entry exists and need not be rewritten yet.
    fn is_fresh(&self, inst: &Instance) -> bool {
        // The entry may be missing after a restore of the store from an older copy.
        let known = self.revision.is_some_and(|r| inst.era().is_none_or(|era| era <= r.era()));
        let heartbeat = intervals::heartbeat_interval(inst.peers().map_or(0, |p| p.len()) + 1);
        let written = self.written.is_some_and(|at| at.elapsed() < heartbeat);
        known && (written || self.valid_until.is_some_and(|t| Instant::now() < t))
    }

    /// Writes the entry if a heartbeat is due. `has_others` states that this instance already knew other instances
    /// before it could register.
    async fn renew(&mut self, inst: &Instance, has_others: bool) {
        if self.is_fresh(inst) {
            return;
        }
        // Retries once if an earlier process of the same name has left an entry.
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
                Ok(revision) => {
                    if is_new && has_others {
                        inst.quotas.set_joining();
                    }
                    self.revision = Some(revision);
                    self.written = Some(Instant::now());
                    return;
                }
                Err(StoreError::Conflict { current }) => self.revision = current.map(|o| o.revision),
                Err(StoreError::Missing) => self.revision = None,
                Err(e) => return log::debug!("heartbeat: {e}"),
            }
        }
    }
}

/// Adds the known instances that the list lacks.
fn add_known(inst: &Instance, peers: &mut Vec<Peer>) {
    for known in inst.peers().into_iter().flatten() {
        if let Err(at) = peers.binary_search_by(|peer| peer.name.cmp(&known.name)) {
            let peer = Peer::new(known.name.clone(), known.zone.clone(), known.addr);
            peers.insert(at, peer.with_capacity(known.capacity));
        }
    }
}

/// Returns the instances whose entries changed recently. `known` holds names, revisions and the poll at which each
/// revision was first seen.
fn live_peers(known: &mut Vec<(Name, Revision, u64)>, items: &[Object], poll: u64) -> Vec<Peer> {
    known.retain(|entry| items.iter().any(|item| item.name == entry.0));
    let expiry = intervals::expiry_polls(items.len(), POLL_INTERVAL);
    let mut peers = Vec::new();
    for item in items {
        let at = known.binary_search_by(|entry| entry.0.cmp(&item.name)).unwrap_or_else(|at| {
            known.insert(at, (item.name.clone(), Revision::default(), poll));
            at
        });
        if known[at].1 != item.revision {
            known[at] = (item.name.clone(), item.revision, poll);
        }
        match &item.record {
            Some(Record::Instance(record)) if poll - known[at].2 < expiry => {
                let peer = Peer::new(item.name.clone(), record.zone.clone(), record.addr);
                peers.push(peer.with_capacity(record.capacity));
            }
            _ => {}
        }
    }
    peers.sort_by(|a, b| a.name.cmp(&b.name));
    peers
}

/// Removes the entry of this instance.
pub async fn deregister(inst: &Instance) {
    inst.counters.increment(Count::StoreCalls);
    if let Err(e) = inst.adapters.store.remove(Collection::Instances, inst.settings.name.clone()).await {
        log::warn!("could not remove the entry of this instance: {e}");
    }
}
