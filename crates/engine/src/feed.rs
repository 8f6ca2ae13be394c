//! The configuration and the directory of servers, kept up to date from the store.

use {
    crate::{
        count::Count,
        instance::{Instance, Micros, micros},
        peer::Peer,
        ports::{Collection, InstanceRecord, Object, Objects, Record, StoreError},
        settings::GONE_AFTER,
    },
    pondtrack_proto::Name,
    std::{rc::Rc, time::Duration},
    tokio::time::sleep,
};

/// The longest wait of one watch. A cut that hides its end is noticed after this long; a change has to be
/// in force 3,000 ms after a cut of any length has been healed for 4,000 ms.
const WATCH: Duration = Duration::from_millis(4_000);
/// Pause after a failed call, shortest and its spread in milliseconds: the store refuses at most for
/// seconds, and each call has its price.
const PAUSE: (u64, u64) = (150, 150);
/// Between two looks for servers that have left.
const SWEEP: Duration = Duration::from_millis(500);
/// Between two heartbeats of an instance.
const HEARTBEAT: Duration = Duration::from_millis(4_000);
/// Heartbeats without a change after which an instance doesn't count.
const MISSED: u64 = 3;

/// Keeps a collection up to date, for good.
pub async fn follow(inst: Rc<Instance>, what: Collection) {
    let mut since = None;
    let mut failing = false;
    loop {
        let got = match since {
            None => inst.edge.store.list(what, false).await,
            Some(at) => inst.edge.store.watch(what, at, WATCH).await,
        };
        inst.counters.one(Count::StoreCalls);
        match got {
            Ok(it) => {
                if std::mem::take(&mut failing) {
                    log::info!(collection:% = what; "store regained");
                }
                take(&inst, what, &it, since.is_none());
                since = Some(it.as_of);
            }
            Err(StoreError::Compacted) => since = None,
            Err(e) => {
                inst.counters.one(Count::StoreFailures);
                if !std::mem::replace(&mut failing, true) {
                    log::warn!(collection:% = what; "store lost: {e}");
                }
                pause(&inst).await;
            }
        }
    }
}

async fn pause(inst: &Instance) {
    sleep(Duration::from_millis(PAUSE.0 + inst.random(PAUSE.1))).await;
}

/// Takes objects in; `whole` says that whatever isn't among them doesn't exist.
fn take(inst: &Rc<Instance>, what: Collection, objects: &Objects, whole: bool) {
    let now = inst.now();
    for it in &objects.items {
        match &it.record {
            Some(Record::Desired(desired)) => inst.adopt(desired.clone()),
            Some(Record::Server(server)) => inst.enter(server.clone()),
            Some(Record::Unreadable(e)) => {
                log::error!(collection:% = what, object = it.name.as_str(); "unreadable: {e}");
            }
            Some(Record::Instance(_) | Record::Lease(_)) => {}
            None => leave(inst, &it.name, now),
        }
    }
    if what != Collection::Servers {
        return;
    }
    inst.set_listed();
    if whole {
        for it in inst.groups().iter().flat_map(|it| it.servers()) {
            let id = it.entry().id.clone();
            if !objects.items.iter().any(|it| it.name == id) {
                leave(inst, &id, now);
            }
        }
    }
}

fn leave(inst: &Instance, id: &Name, now: Micros) {
    for group in inst.groups() {
        group.leave(id, now);
    }
}

/// Looks for servers that have left, and closes connections that are not needed.
pub async fn sweep(inst: Rc<Instance>) {
    loop {
        sleep(SWEEP).await;
        let limit = inst.now().saturating_sub(micros(GONE_AFTER));
        for group in inst.groups() {
            for id in group.expire(limit) {
                log::info!(group = group.name.as_str(), server = id.as_str(); "server gone");
            }
            for it in group.servers() {
                it.pool.trim(
                    tokio::time::Instant::now(),
                    it.entry().draining && group.servers().len() > 1 && !is_primary(&group, it.index),
                );
            }
        }
    }
}

fn is_primary(group: &crate::group::Group, index: usize) -> bool {
    group.primary().is_some_and(|it| it.index == index)
}

/// Writes this instance's entry now and then, and counts the others.
pub async fn enlist(inst: Rc<Instance>) {
    let name = inst.settings.name.clone();
    let mut beat = 0;
    let mut revision = None;
    let mut known: Vec<(Name, u64, u64)> = Vec::new();
    loop {
        beat += 1;
        let record = InstanceRecord {
            beat: inst.now(),
            zone: inst.settings.zone.clone(),
            addr: inst.settings.peer_addr,
        };
        inst.counters.one(Count::StoreCalls);
        let put = inst
            .edge
            .store
            .put(Collection::Instances, name.clone(), Record::Instance(record), revision)
            .await;
        match put {
            Ok(it) => revision = Some(it),
            Err(StoreError::Conflict { current }) => {
                revision = current.map(|it| it.revision);
                pause(&inst).await;
                continue;
            }
            Err(StoreError::Missing) => revision = None,
            Err(e) => log::debug!("heartbeat: {e}"),
        }
        inst.counters.one(Count::StoreCalls);
        match inst.edge.store.list(Collection::Instances, true).await {
            Ok(it) => inst.set_peers(live(&mut known, &it.items, beat)),
            Err(e) => log::debug!("instances: {e}"),
        }
        sleep(HEARTBEAT + Duration::from_millis(inst.random(500))).await;
    }
}

/// The instances whose entries changed lately; `known` holds names, revisions and when they were new.
fn live(known: &mut Vec<(Name, u64, u64)>, items: &[Object], beat: u64) -> Vec<Peer> {
    known.retain(|it| items.iter().any(|item| item.name == it.0));
    let mut peers = Vec::new();
    for item in items {
        let at = known.binary_search_by(|it| it.0.cmp(&item.name)).unwrap_or_else(|at| {
            known.insert(at, (item.name.clone(), 0, beat));
            at
        });
        if known[at].1 != item.revision {
            known[at] = (item.name.clone(), item.revision, beat);
        }
        match &item.record {
            Some(Record::Instance(it)) if beat - known[at].2 < MISSED => {
                peers.push(Peer::new(item.name.clone(), it.zone.clone(), it.addr));
            }
            _ => {}
        }
    }
    peers.sort_by(|a, b| a.name.cmp(&b.name));
    peers
}

/// Removes this instance's entry.
pub async fn delist(inst: &Instance) {
    inst.counters.one(Count::StoreCalls);
    if let Err(e) = inst.edge.store.remove(Collection::Instances, inst.settings.name.clone()).await {
        log::warn!("the entry of this instance stays: {e}");
    }
}
