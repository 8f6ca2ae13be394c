//! The state shared by the parts of an instance. All parts run on one thread; no borrow is held across an await.

use {
    crate::{
        count::{Count, Counters},
        distribution::Distribution,
        group::Group,
        leaders::Leaders,
        lease::LeaseState,
        message::Member,
        model::{Config, Server},
        peer::Peer,
        ports::{Adapters, Collection},
        quota::Quotas,
        settings::{Bounds, FALLBACK_CONNS, MAX_CONN_TENTHS, SHARED_CONN_TENTHS, Settings},
        unreadable::Unreadable,
        update::History,
        upload::Uploads,
        upstream::Upstream,
    },
    pondtrack_core::{
        balance::{Average, Averages},
        capacity::{Capacity, MinCapacity},
        placement::{self, Candidate},
    },
    pondtrack_proto::{Name, Revision},
    rand::{RngExt, SeedableRng},
    rand_pcg::Pcg64Mcg,
    std::{
        cell::{Cell, RefCell, RefMut},
        rc::Rc,
        time::Duration,
    },
    tokio::{
        net::{TcpListener, TcpStream},
        sync::Notify,
        time::{Instant, sleep},
    },
};

/// Time on the instance's monotonic clock, or a duration, in microseconds.
pub type Micros = u64;

/// The instance's monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    /// Returns the current time, which is at least 1: zero stands for never.
    pub fn now(self) -> Micros {
        1 + micros(self.0.elapsed())
    }
}

/// Converts a duration to microseconds.
pub const fn micros(duration: Duration) -> Micros {
    duration.as_micros() as Micros
}

/// Maximum number of log lines about requests per [`LOG_INTERVAL`]: enough to see a pattern, at little cost.
const MAX_LOG_LINES: u32 = 30;
/// Interval of the log rate limit, in microseconds.
const LOG_INTERVAL: Micros = 1_000_000;

/// Delay after a connection couldn't be accepted, for example because file descriptors ran out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts connections and serves each in its own task. Never returns.
pub async fn accept_all<F: Future<Output = ()> + 'static>(
    listener: &TcpListener,
    step: &'static str,
    serve: impl Fn(TcpStream) -> F,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => drop(tokio::task::spawn_local(serve(stream))),
            Err(e) => {
                log::warn!(step; "{e}");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Returns true if two lists of peers lead to the same placement.
fn is_same_placement(a: &[Rc<Peer>], b: &[Rc<Peer>]) -> bool {
    let same = |a: &Peer, b: &Peer| a.name == b.name && a.zone == b.zone && a.capacity == b.capacity;
    a.len() == b.len() && a.iter().zip(b).all(|(a, b)| same(a, b))
}

/// The state of an instance.
pub struct Instance {
    /// Settings of the instance.
    pub settings: Settings,
    /// Durations that the platform guarantees or requires.
    pub bounds: Cell<Bounds>,
    /// Adapters for the wire protocol, the store and promotion orders.
    pub adapters: Adapters,
    /// Counters of events.
    pub counters: Counters,
    /// Notified when the instance starts to drain.
    pub drain_started: Notify,
    /// Number of open sessions.
    pub sessions: Cell<usize>,
    /// Number of failovers that this instance is performing.
    pub failovers: Cell<usize>,
    /// Notified when a failover has ended.
    pub failover_ended: Notify,
    config: RefCell<Option<Rc<Config>>>,
    /// Groups, sorted by name.
    groups: RefCell<Vec<Rc<Group>>>,
    /// The other live instances, sorted by name; none until first read.
    peers: RefCell<Option<Vec<Rc<Peer>>>>,
    /// The minimum capacity stated by any instance.
    min_capacity: Cell<MinCapacity>,
    /// Version of the placement, incremented whenever shares of connections may have changed.
    placement_version: Cell<u64>,
    /// The directory of servers, sorted by id; none until first read.
    directory: RefCell<Option<Vec<Server>>>,
    /// Objects of the store that can't be read.
    pub unreadable: RefCell<Unreadable>,
    /// The store's revisions at which the configuration and the directory were last known to have changed.
    revisions: Cell<(Option<Revision>, Option<Revision>)>,
    /// The latest era of the store reported by other instances.
    reported_era: Cell<Option<u64>>,
    /// Distribution of the configuration and the directory to this instance.
    pub distribution: Distribution,
    /// The versions in which items of the configuration and the directory changed.
    pub history: History,
    /// Documents being sent to other instances.
    pub uploads: Uploads,
    /// Time at which the configuration was last known to be the latest; 0 if never.
    config_confirmed_at: Cell<Micros>,
    draining_since: Cell<Option<Instant>>,
    /// The monotonic clock.
    pub clock: Clock,
    /// Average latency of statements, by database.
    latencies: RefCell<Averages<Name>>,
    rng: RefCell<Pcg64Mcg>,
    /// The failover lease, while held by this instance.
    pub lease: LeaseState,
    /// The leader records of the groups.
    pub leaders: Leaders,
    /// Quotas of organisations.
    pub quotas: Quotas,
    /// Start of the log rate limit's current interval, and the number of lines logged in the interval.
    log_lines: Cell<(Micros, u32)>,
}

impl Instance {
    /// Creates an instance without a configuration, directory or peers.
    pub fn new(settings: Settings, bounds: Bounds, adapters: Adapters) -> Rc<Instance> {
        let clock = Clock(Instant::now());
        Rc::new(Instance {
            settings,
            bounds: Cell::new(bounds),
            adapters,
            counters: Counters::default(),
            drain_started: Notify::new(),
            sessions: Cell::default(),
            failovers: Cell::default(),
            failover_ended: Notify::new(),
            config: RefCell::default(),
            groups: RefCell::default(),
            peers: RefCell::default(),
            min_capacity: Cell::default(),
            placement_version: Cell::new(1),
            directory: RefCell::default(),
            unreadable: RefCell::default(),
            revisions: Cell::default(),
            reported_era: Cell::default(),
            distribution: Distribution::default(),
            history: History::default(),
            uploads: Uploads::default(),
            config_confirmed_at: Cell::default(),
            draining_since: Cell::default(),
            clock,
            latencies: RefCell::default(),
            rng: RefCell::new(Pcg64Mcg::seed_from_u64(rand::rng().random())),
            lease: LeaseState::default(),
            leaders: Leaders::default(),
            quotas: Quotas::new(rand::rng().random(), clock.now()),
            log_lines: Cell::default(),
        })
    }

    /// Returns the current time on the instance's clock.
    pub fn now(&self) -> Micros {
        self.clock.now()
    }

    /// Returns the average latency of a database's statements; 0 if unknown.
    pub fn statement_latency(&self, database: &str) -> Micros {
        self.latencies.borrow().get(database).map_or(0, Average::get)
    }

    /// Records the latency of a statement at a server; `queued` is true if the server has a queue.
    pub fn record_latency(&self, database: &Name, latency: Micros, queued: bool) {
        let mut latencies = self.latencies.borrow_mut();
        // The latency at a server with a queue is a poor estimate, and is only used while there is no better one.
        if !queued || !latencies.get(database).is_some_and(Average::is_settled) {
            latencies.observe(database.clone(), latency);
        }
    }

    /// Returns true if a line about a request may be logged now. Lines above the limit are counted instead.
    pub fn may_log(&self) -> bool {
        let (since, n) = self.log_lines.get();
        let now = self.now();
        if now.saturating_sub(since) >= LOG_INTERVAL {
            self.log_lines.set((now, 1));
            return true;
        }
        if n >= MAX_LOG_LINES {
            self.counters.increment(Count::LogsDropped);
            return false;
        }
        self.log_lines.set((since, n + 1));
        true
    }

    /// Returns the instance's random number generator.
    pub fn rng(&self) -> RefMut<'_, Pcg64Mcg> {
        self.rng.borrow_mut()
    }

    /// Returns a random number below `limit`, or 0 if `limit` is 0.
    pub fn random(&self, limit: u64) -> u64 {
        self.rng.borrow_mut().random_range(0..limit.max(1))
    }

    /// Returns the active configuration; none until first read.
    pub fn config(&self) -> Option<Rc<Config>> {
        self.config.borrow().clone()
    }

    /// Records that the active configuration, or a later one, was the latest at `at`.
    pub fn confirm_config(&self, at: Micros) {
        self.config_confirmed_at.set(self.config_confirmed_at.get().max(at));
    }

    /// Returns the time since the configuration was last known to be the latest, in microseconds; none if it never was.
    pub fn config_staleness(&self) -> Option<Micros> {
        let at = Some(self.config_confirmed_at.get()).filter(|at| *at > 0)?;
        Some(self.now().saturating_sub(at))
    }

    /// Returns true if the configuration is recent enough to accept its keys: a revoked key must be refused within
    /// [`Bounds::revoke`].
    pub fn has_fresh_keys(&self) -> bool {
        let limit = self.bounds.get().revoke;
        limit.is_none_or(|limit| self.config_staleness().is_some_and(|staleness| staleness < micros(limit)))
    }

    /// Activates a configuration if it is newer than the active one.
    pub fn apply_config(&self, config: Config, revision: Revision) {
        let known = self.config();
        let old = known.as_ref().map_or(0, |known| known.version);
        if config.version <= old {
            return;
        }
        self.history.record_config(known.as_deref(), &config);
        self.set_revision(Collection::Config, revision);
        log::info!(version = config.version, old, routes = config.routes.len(); "configuration in force");
        *self.config.borrow_mut() = Some(Rc::new(config));
        self.invalidate_placement();
    }

    /// Returns the group with this name, if any of its servers was ever listed.
    pub fn group(&self, name: &str) -> Option<Rc<Group>> {
        let groups = self.groups.borrow();
        let at = groups.binary_search_by(|group| group.name.as_str().cmp(name)).ok()?;
        Some(groups[at].clone())
    }

    /// Returns all groups, sorted by name.
    pub fn groups(&self) -> Vec<Rc<Group>> {
        self.groups.borrow().clone()
    }

    /// Returns true if the configuration contains a group. Servers listed for other groups are unused.
    pub fn is_configured(&self, group: &str) -> bool {
        let contains =
            |config: &Config| config.groups.binary_search_by(|g| g.name.as_str().cmp(group)).is_ok();
        self.config.borrow().as_ref().is_some_and(|config| contains(config))
    }

    /// Returns true if any group in use has no primary that answers this instance.
    pub fn lacks_primary(&self) -> bool {
        self.groups.borrow().iter().any(|group| group.lacks_primary())
    }

    /// Returns a copy of the directory of servers, sorted by id; empty until first read.
    pub fn directory(&self) -> Vec<Server> {
        self.directory.borrow().clone().unwrap_or_default()
    }

    /// Applies `f` to the directory of servers, sorted by id, without copying it; empty until first read.
    pub fn with_directory<T>(&self, f: impl FnOnce(&[Server]) -> T) -> T {
        f(self.directory.borrow().as_deref().unwrap_or_default())
    }

    /// Replaces the directory of servers; `servers` must be sorted by id.
    pub fn apply_directory(self: &Rc<Self>, servers: Vec<Server>, revision: Revision) {
        self.set_revision(Collection::Servers, revision);
        let old = self.directory.replace(Some(servers.clone())).unwrap_or_default();
        self.history.record_directory(&old, &servers, revision.as_u64());
        let now = self.now();
        for server in &servers {
            let before = old.binary_search_by(|old| old.id.cmp(&server.id)).ok().map(|at| &old[at]);
            if let Some(before) = before.filter(|before| before.group != server.group) {
                self.group_of(before).mark_missing(&server.id, now);
            }
            if before != Some(server) {
                self.group_of(server).upsert_server(self, server.clone());
            }
        }
        for server in old.iter().filter(|old| servers.binary_search_by(|s| s.id.cmp(&old.id)).is_err()) {
            self.group_of(server).mark_missing(&server.id, now);
        }
        if old != servers {
            self.invalidate_placement();
        }
    }

    /// Returns the group of a server, created if it is new.
    fn group_of(&self, server: &Server) -> Rc<Group> {
        self.group(&server.group).unwrap_or_else(|| {
            let group = Rc::new(Group::new(server.group.clone(), self.now()));
            let mut groups = self.groups.borrow_mut();
            let at = groups.partition_point(|old| old.name < group.name);
            groups.insert(at, group.clone());
            group
        })
    }

    /// Records that an object of the store can't be read: counted each time, logged once.
    pub fn record_unreadable(&self, what: Collection, name: &Name, why: &str) {
        self.counters.increment(Count::Unreadable);
        if self.unreadable.borrow_mut().insert(what, name) {
            log::error!(collection:% = what, object = name.as_str(); "unreadable: {why}");
        }
    }

    /// Returns the store's era: the number of times that the store is known to have been restored from an older copy.
    pub fn era(&self) -> Option<u64> {
        self.adapters.store.era().max(self.reported_era.get())
    }

    /// Records the era of a revision reported by another instance.
    pub fn observe_era(&self, revision: Revision) {
        self.reported_era.set(self.reported_era.get().max(Some(revision.era())));
    }

    /// Returns the fencing token while this instance holds the lease; none if the lease was granted before the store
    /// was restored from an older copy.
    pub fn fencing_token(&self) -> Option<u64> {
        self.lease.token(self.era()?, self.now())
    }

    /// Returns the store's revision at which a collection was last known to have changed.
    pub fn revision(&self, what: Collection) -> Option<Revision> {
        match what {
            Collection::Config => self.revisions.get().0,
            _ => self.revisions.get().1,
        }
    }

    /// Records the revision of the last known change of a collection.
    pub fn set_revision(&self, what: Collection, revision: Revision) {
        let (config, servers) = self.revisions.get();
        self.revisions.set(match what {
            Collection::Config => (Some(revision), servers),
            _ => (config, Some(revision)),
        });
        self.distribution.changed.notify_one();
    }

    /// Returns the other live instances, sorted by name; none until first read.
    pub fn peers(&self) -> Option<Vec<Rc<Peer>>> {
        self.peers.borrow().clone()
    }

    /// Returns all live instances including this one, sorted by name; none until the others were first read.
    pub fn members(&self) -> Option<Vec<Member>> {
        let own = &self.settings;
        let (name, zone) = (own.name.clone(), own.zone.clone());
        let local = Member { name, zone, addr: own.peer_addr, capacity: own.capacity };
        let others = self.peers()?;
        let others = others.iter().map(|peer| Member {
            name: peer.name.clone(),
            zone: peer.zone.clone(),
            addr: peer.addr,
            capacity: peer.capacity,
        });
        let mut all: Vec<Member> = others.chain([local]).collect();
        all.sort_unstable();
        Some(all)
    }

    /// Returns another live instance by name.
    pub fn peer(&self, name: &Name) -> Option<Rc<Peer>> {
        let peers = self.peers.borrow();
        let peers = peers.as_ref()?;
        let at = peers.binary_search_by(|peer| peer.name.cmp(name)).ok()?;
        Some(peers[at].clone())
    }

    /// Replaces the list of live instances, which must be sorted by name. Unchanged peers keep their links.
    pub fn set_peers(&self, mut peers: Vec<Peer>) {
        peers.retain(|peer| peer.name != self.settings.name);
        let keep = |new: Peer| match self.peer(&new.name) {
            Some(old) if old.addr == new.addr && old.zone == new.zone && old.capacity == new.capacity => old,
            _ => Rc::new(new),
        };
        let peers: Vec<Rc<Peer>> = peers.into_iter().map(keep).collect();
        let capacities = peers.iter().map(|peer| peer.capacity).chain([self.settings.capacity]);
        self.min_capacity.set(MinCapacity::of(capacities.flatten()));
        let old = self.peers.replace(Some(peers.clone()));
        if old.as_ref().map(Vec::len) != Some(peers.len()) {
            let weight = self.own_candidate().weight;
            log::info!(others = peers.len(), weight; "instances counted");
        }
        let is_first = old.is_none();
        if old.is_none_or(|old| !is_same_placement(&old, &peers)) {
            self.invalidate_placement();
        }
        if is_first {
            self.groups().iter().for_each(|group| group.request_initial_statuses(self));
        }
    }

    /// Returns another instance as a candidate for placement.
    pub fn candidate<'a>(&self, peer: &'a Peer) -> Candidate<'a> {
        self.weigh(&peer.name, &peer.zone, peer.capacity)
    }

    /// Returns this instance as a candidate for placement.
    pub fn own_candidate(&self) -> Candidate<'_> {
        self.weigh(&self.settings.name, &self.settings.zone, self.settings.capacity)
    }

    /// Sorts other instances by their rank for a subject. An instance that is no longer live counts as the smallest.
    pub fn sort_by_placement(&self, subject: &str, names: &mut [Name]) {
        let old = names.to_vec();
        let zone = Name::new();
        let capacity = |name: &Name| self.peer(name).and_then(|peer| peer.capacity);
        let mut all: Vec<Candidate<'_>> = old.iter().map(|n| self.weigh(n, &zone, capacity(n))).collect();
        placement::sort(subject, &mut all);
        all.iter().zip(names).for_each(|(candidate, name)| *name = candidate.name.clone());
    }

    fn weigh<'a>(&self, name: &'a Name, zone: &'a Name, capacity: Option<Capacity>) -> Candidate<'a> {
        Candidate { name, zone, weight: self.min_capacity.get().weight(capacity) }
    }

    /// Invalidates the placement of all servers. The placement of a server is only recomputed when next needed, because
    /// an instance uses few of hundreds of servers.
    fn invalidate_placement(&self) {
        self.placement_version.set(self.placement_version.get() + 1);
    }

    /// Recomputes which instances have a share of a server's connections, if the placement was invalidated.
    pub fn update_placement(&self, up: &Upstream) {
        if up.placement_version.replace(self.placement_version.get()) == self.placement_version.get() {
            return;
        }
        let Some(config) = self.config() else { return };
        let group = up.entry().group.clone();
        let conns = config.groups.iter().find(|g| g.name == group).map_or(0, |g| g.conns);
        match &*self.peers.borrow() {
            Some(peers) => self.set_share(up, conns, peers),
            // Until the other instances are known, the share is minimal.
            None => up.pool.set_share(1, 2),
        }
    }

    /// Computes this instance's share of a server's connections, and the ranking of the other instances.
    fn set_share(&self, up: &Upstream, conns: usize, peers: &[Rc<Peer>]) {
        let entry = up.entry();
        let all = peers.iter().map(|peer| self.candidate(peer)).chain([self.own_candidate()]);
        let mut ranked = placement::rank(&entry.id, &entry.zone, all.clone());
        up.set_dispatcher(ranked.first().filter(|name| **name != self.settings.name).cloned());
        let n = placement::home_count(conns, peers.len() + 1);
        up.shared_permits.set_max_limit(conns);
        let share = (conns * SHARED_CONN_TENTHS / 10 / n).max(1);
        let max = (conns * MAX_CONN_TENTHS / 10 / n).max(share);
        if n > peers.len() {
            // Every instance is a home, and relays only as a fallback. The subject contains this instance's name, so
            // that instances don't all prefer the same relay.
            let subject = format!("{} {}", entry.id, self.settings.name);
            let mut others = placement::rank(&subject, &entry.zone, all);
            others.retain(|name| *name != self.settings.name);
            up.pool.set_share(share, max);
            let homes = others.len();
            return up.set_placement(true, others, homes);
        }
        let is_home = ranked.iter().position(|name| *name == self.settings.name).is_some_and(|at| at < n);
        // An instance that isn't a home may still receive requests from instances that can't reach any home.
        let (share, max) = if is_home { (share, max) } else { (0, FALLBACK_CONNS) };
        up.pool.set_share(share, max);
        // Instances start at different homes, which spreads the requests of instances that are no homes.
        ranked[..n].rotate_left(placement::rendezvous_hash(&entry.id, &self.settings.name) as usize % n);
        ranked.retain(|name| *name != self.settings.name);
        up.set_placement(is_home, ranked, n - usize::from(is_home));
    }

    /// Returns true if the instance accepts new sessions: it has a configuration and a directory, and isn't draining.
    pub fn is_ready(&self) -> bool {
        self.draining_since.get().is_none()
            && self.directory.borrow().is_some()
            && self.config.borrow().is_some()
    }

    /// Starts to drain.
    pub fn start_drain(&self) {
        self.draining_since.set(Some(Instant::now()));
        log::info!(sessions = self.sessions.get(); "leaving");
        self.drain_started.notify_waiters();
    }

    /// Returns the time at which the instance started to drain.
    pub fn draining_since(&self) -> Option<Instant> {
        self.draining_since.get()
    }
}
