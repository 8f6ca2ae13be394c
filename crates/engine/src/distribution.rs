//! Distribution of the configuration and the directory to instances that don't watch the store.
//!
//! One instance of each availability zone watches the store, independent of the size of the fleet. The watchers
//! regularly announce their versions to all other instances, and an instance with an older version fetches the
//! newer one from them. A watcher whose calls are refused by the store announces that, and the next instance of
//! its zone starts to watch. An instance that receives no heartbeat watches the store itself.
//!
//! A heartbeat only counts if the news that it announces can be fetched. Nothing can be fetched from an unknown
//! instance, one that isn't in the list of live instances. The watchers known before would tell of it; if these are gone,
//! the list is read from the store.

use {
    crate::{
        count::Count,
        fetch::fetch,
        instance::{Instance, Micros, micros},
        message::{Heartbeat, Message},
        peer::Peer,
        ports::Collection,
        update::members_digest,
    },
    pondtrack_core::placement::{self, Candidate},
    pondtrack_proto::Name,
    std::{
        cell::{Cell, RefCell},
        net::SocketAddrV4,
        rc::Rc,
        time::Duration,
    },
    tokio::{
        sync::Notify,
        time::{sleep, timeout},
    },
};

/// Interval between heartbeats of a watcher, as a fraction of the time within which a change has to be in effect:
/// 800 of 3,000 ms.
const HEARTBEAT_FRACTION: f64 = 0.267;
/// Heartbeat timeout, as a fraction of the same time: an instance that receives no heartbeat of a working watcher
/// for this long watches the store itself. Covers two heartbeats and a call of the store.
const TIMEOUT_FRACTION: f64 = 0.6;
/// Delay before an update is fetched from a watcher of another availability zone while the own zone has a working
/// watcher. Watchers receive a change within a few milliseconds of one another, and cross-zone traffic costs more.
const CROSS_ZONE_DELAY: Duration = Duration::from_millis(100);
/// Interval between polling rounds of the seeds. A healthy store answers sooner.
const SEED_POLL_INTERVAL: Duration = Duration::from_millis(400);
/// Minimum interval between fetches of the member list. Watchers detect a change within about the same time.
const MEMBERS_INTERVAL: Duration = Duration::from_millis(3_000);
/// Silence of the known watchers, as a fraction of the same time, after which the heartbeat of an unknown watcher causes
/// a read of the member list. Longer than the heartbeat interval, so that one late heartbeat doesn't count as silence.
const DISCOVERY_FRACTION: f64 = 0.35;
/// Maximum random delay of this read, in milliseconds. A new watcher's heartbeat reaches all instances at once.
const MAX_DISCOVERY_DELAY: u64 = 200;
/// Bootstrap time of a new fleet, within which instances discover one another: by their second poll of the
/// instance entries.
const BOOTSTRAP_TIME: Duration = Duration::from_millis(1_600);
/// Minimum interval between rounds of heartbeats caused by changes.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(20);

/// State of the distribution on this instance.
#[derive(Default)]
pub struct Distribution {
    /// Notified when there is a new version to announce.
    pub changed: Notify,
    /// Notified when the member list has to be read from the store.
    pub members_requested: Notify,
    /// Notified after the member list was read from the store.
    pub members_read: Notify,
    /// Time of the last heartbeat that counted: of a known, working watcher whose news can be fetched.
    last_heartbeat: Cell<Micros>,
    /// Time of the last heartbeat of a working watcher in the own availability zone.
    last_local_heartbeat: Cell<Micros>,
    /// Success of the last call of the store, for the configuration and for the directory.
    call_results: Cell<(bool, bool)>,
    fetching: Cell<bool>,
    /// True if the last fetch left this instance behind the watcher that it fetched from.
    fetch_failed: Cell<bool>,
    /// Best heartbeat received during a fetch, with its sender.
    pending: RefCell<Option<(Rc<Peer>, Heartbeat)>>,
    /// Time of the last fetch of the member list.
    members_checked: Cell<Micros>,
    /// Time of the last request to read the member list because of an unknown watcher.
    discovered_at: Cell<Micros>,
}

impl Distribution {
    /// Returns true if this instance is a watcher: the preferred instance of its zone among those whose calls of
    /// the store succeed.
    pub fn is_watcher(&self, inst: &Instance) -> bool {
        let Some(peers) = inst.peers() else { return true };
        let own = &inst.settings;
        let now = inst.now();
        let is_eligible = |p: &&Rc<Peer>| p.zone == own.zone && !p.cannot_watch(now);
        let others = peers.iter().filter(is_eligible).map(|p| inst.candidate(p));
        let zone: Vec<Candidate<'_>> = others.chain([inst.own_candidate()]).collect();
        placement::pick("watch", &zone) == Some(&own.name)
    }

    /// Returns true if this instance has to watch the store. An instance that has just started waits for the
    /// watchers: if all instances of a new fleet watched, each would receive a change for every server that starts
    /// with them.
    pub fn must_watch(&self, inst: &Instance) -> bool {
        let elapsed = inst.now().saturating_sub(self.last_heartbeat.get());
        let time_limit = inst.bounds.get().apply.mul_f64(TIMEOUT_FRACTION);
        !self.is_bootstrapping(inst) && (elapsed >= micros(time_limit) || self.is_watcher(inst))
    }

    /// Returns true during the first start of a fleet, while no instance knows how many others exist. Each
    /// instance would consider itself the watcher, and the one to give orders.
    pub fn is_bootstrapping(&self, inst: &Instance) -> bool {
        inst.settings.first_start && inst.now() < micros(BOOTSTRAP_TIME)
    }

    /// Records the success of a call of the store for a collection.
    pub fn record_call(&self, collection: Collection, ok: bool) {
        let (config, servers) = self.call_results.get();
        self.call_results.set(match collection {
            Collection::Config => (ok, servers),
            _ => (config, ok),
        });
    }

    /// Records a heartbeat of a known watcher whose calls of the store succeed.
    fn record_heartbeat(&self, is_local: bool, received: Micros) {
        // A heartbeat that waited for the member list may be handled after later ones.
        let advance = |last: &Cell<Micros>| last.set(last.get().max(received));
        advance(&self.last_heartbeat);
        if is_local {
            advance(&self.last_local_heartbeat);
        }
    }

    /// Returns true if the own availability zone has a working watcher.
    fn has_local_watcher(&self, inst: &Instance) -> bool {
        let elapsed = inst.now().saturating_sub(self.last_local_heartbeat.get());
        self.last_local_heartbeat.get() > 0
            && elapsed < micros(inst.bounds.get().apply.mul_f64(TIMEOUT_FRACTION))
    }

    /// Keeps a heartbeat received during a fetch, since a fetch may take longer than the heartbeat interval. A
    /// newer heartbeat replaces an older one, and at the same version the own zone takes precedence.
    fn defer(&self, inst: &Instance, peer: Rc<Peer>, heartbeat: Heartbeat) {
        let mut pending = self.pending.borrow_mut();
        let rank = |peer: &Peer, h: &Heartbeat| (h.version, h.directory, peer.zone == inst.settings.zone);
        if pending.as_ref().is_none_or(|old| rank(&old.0, &old.1) <= rank(&peer, &heartbeat)) {
            *pending = Some((peer, heartbeat));
        }
    }

    /// Returns true if the member list has to be read because of an unknown watcher: known watchers, which would tell of
    /// it, were heard before and have fallen silent.
    fn should_discover(&self, inst: &Instance) -> bool {
        let now = inst.now();
        let elapsed = |since: &Cell<Micros>| now.saturating_sub(since.get());
        let silent =
            elapsed(&self.last_heartbeat) >= micros(inst.bounds.get().apply.mul_f64(DISCOVERY_FRACTION));
        let due = self.discovered_at.get() == 0 || elapsed(&self.discovered_at) >= micros(MEMBERS_INTERVAL);
        self.last_heartbeat.get() > 0 && silent && due
    }

    fn has_newer_config(&self, inst: &Instance, heartbeat: &Heartbeat) -> bool {
        inst.config().is_none_or(|c| c.version < heartbeat.version)
    }

    fn has_newer_directory(&self, inst: &Instance, heartbeat: &Heartbeat) -> bool {
        inst.revision(Collection::Servers).is_none_or(|r| r < heartbeat.directory)
    }

    fn has_newer(&self, inst: &Instance, heartbeat: &Heartbeat) -> bool {
        self.has_newer_config(inst, heartbeat) || self.has_newer_directory(inst, heartbeat)
    }

    /// Returns true if the member list should be fetched because a working watcher has a different one. Watchers
    /// never fetch it: their lists may differ for a while, as they read the entries at different times.
    fn should_fetch_members(&self, inst: &Instance, heartbeat: &Heartbeat) -> bool {
        let now = inst.now();
        let due = now.saturating_sub(self.members_checked.get()) >= micros(MEMBERS_INTERVAL);
        let differs = || inst.members().is_some_and(|m| members_digest(&m) != heartbeat.members);
        let fetch_members = heartbeat.watching && due && !self.must_watch(inst) && differs();
        if fetch_members {
            self.members_checked.set(now);
        }
        fetch_members
    }

    fn heartbeat(&self, inst: &Instance) -> Option<Heartbeat> {
        let (config, directory) = (inst.revision(Collection::Config)?, inst.revision(Collection::Servers)?);
        let version = inst.config()?.version;
        let watching = self.call_results.get() == (true, true);
        let from = inst.settings.name.clone();
        let members = members_digest(&inst.members()?);
        let announces = self.is_watcher(inst) && inst.draining_since().is_none();
        announces.then_some(Heartbeat { from, version, config, directory, members, watching })
    }
}

/// Announces the versions of this instance to all others while it is a watcher; never returns.
pub async fn run(inst: Rc<Instance>) {
    loop {
        // Sent on each change, and at the latest after the heartbeat interval.
        let interval = inst.bounds.get().apply.mul_f64(HEARTBEAT_FRACTION);
        let _ = timeout(interval, inst.distribution.changed.notified()).await;
        let (Some(heartbeat), Some(peers)) = (inst.distribution.heartbeat(&inst), inst.peers()) else {
            continue;
        };
        for peer in peers {
            tokio::task::spawn_local(send(inst.clone(), peer, heartbeat.clone()));
        }
        sleep(ANNOUNCE_INTERVAL).await;
    }
}

async fn send(inst: Rc<Instance>, peer: Rc<Peer>, heartbeat: Heartbeat) {
    if !peer.is_available(inst.now()) {
        return;
    }
    if let Some(link) = peer.link(&inst).await {
        link.send_with_keepalive(Message::Heartbeat(heartbeat));
    }
}

/// Returns the sender of a heartbeat, or none if it isn't a known instance.
///
/// If the known watchers have fallen silent, the member list is read from the store before the sender is looked up again.
async fn known_sender(inst: &Rc<Instance>, heartbeat: &Heartbeat) -> Option<Rc<Peer>> {
    let peer = inst.peer(&heartbeat.from);
    if peer.is_some() {
        return peer;
    }
    let distribution = &inst.distribution;
    inst.counters.increment(Count::UnknownHeartbeats);
    if !heartbeat.watching || !distribution.should_discover(inst) {
        return None;
    }
    distribution.discovered_at.set(inst.now());
    log::info!(from = heartbeat.from.as_str(); "unknown watcher");
    sleep(Duration::from_millis(inst.random(MAX_DISCOVERY_DELAY))).await;
    let read = distribution.members_read.notified();
    distribution.members_requested.notify_one();
    timeout(inst.bounds.get().apply, read).await.ok()?;
    inst.peer(&heartbeat.from)
}

/// Handles a heartbeat of a watcher, and fetches the collections of which it has a newer version.
pub async fn on_heartbeat(inst: Rc<Instance>, heartbeat: Heartbeat) {
    let distribution = &inst.distribution;
    let received = inst.now();
    inst.observe_era(heartbeat.config.max(heartbeat.directory));
    let Some(peer) = known_sender(&inst, &heartbeat).await else { return };
    peer.set_can_watch(heartbeat.watching, received);
    let is_local = peer.zone == inst.settings.zone;
    let is_cut_off = distribution.fetch_failed.get() && distribution.has_newer(&inst, &heartbeat);
    if heartbeat.watching && !is_cut_off {
        distribution.record_heartbeat(is_local, received);
    }
    if !is_local && distribution.has_local_watcher(&inst) && distribution.has_newer(&inst, &heartbeat) {
        sleep(CROSS_ZONE_DELAY).await;
    }
    if distribution.fetching.replace(true) {
        return distribution.defer(&inst, peer, heartbeat);
    }
    let mut next = Some((peer, heartbeat));
    while let Some((peer, heartbeat)) = next {
        let collections = [
            distribution.has_newer_config(&inst, &heartbeat).then_some(Collection::Config),
            distribution.has_newer_directory(&inst, &heartbeat).then_some(Collection::Servers),
            distribution.should_fetch_members(&inst, &heartbeat).then_some(Collection::Instances),
        ];
        for collection in collections.into_iter().flatten() {
            fetch(&inst, &peer, collection).await;
        }
        distribution.fetch_failed.set(distribution.has_newer(&inst, &heartbeat));
        next = distribution.pending.take();
    }
    distribution.fetching.set(false);
}

/// Fetches the configuration and the directory from seeds, in case the store is unavailable, until this instance
/// is ready.
pub async fn join(inst: Rc<Instance>, seeds: Vec<SocketAddrV4>) {
    let others = seeds.into_iter().filter(|addr| *addr != inst.settings.peer_addr);
    let peers: Vec<Rc<Peer>> =
        others.map(|addr| Rc::new(Peer::new(Name::from(addr.to_string()), Name::new(), addr))).collect();
    loop {
        sleep(SEED_POLL_INTERVAL).await;
        for peer in &peers {
            if inst.is_ready() {
                return;
            }
            for collection in [Collection::Config, Collection::Servers] {
                fetch(&inst, peer, collection).await;
            }
        }
    }
}
