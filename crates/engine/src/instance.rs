//! What the parts of an instance share. All run on one thread; no borrow is held across an await.

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

/// Microseconds of the instance's monotonic clock.
pub type Micros = u64;

/// The instance's monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    /// The time now. It begins above zero, which stands for never.
    pub fn now(self) -> Micros {
        1 + micros(self.0.elapsed())
    }
}

/// A duration on the instance's clock.
pub const fn micros(it: Duration) -> Micros {
    it.as_micros() as Micros
}

/// Lines about requests in each span of time, a second: enough to see a pattern, too few to cost much.
const LINES: u32 = 30;
/// The span, in microseconds.
const LINES_SPAN: Micros = 1_000_000;

/// Pause after a connection couldn't be accepted, as when descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts connections for good, and serves each in a task of its own.
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
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

fn same(a: &[Rc<Peer>], b: &[Rc<Peer>]) -> bool {
    let same = |a: &Peer, b: &Peer| a.name == b.name && a.zone == b.zone && a.capacity == b.capacity;
    a.len() == b.len() && a.iter().zip(b).all(|(a, b)| same(a, b))
}

/// The state of an instance.
pub struct Instance {
    /// The settings.
    pub settings: Settings,
    /// Times that the platform promises and expects.
    pub bounds: Cell<Bounds>,
    /// Wire, store and orders.
    pub adapters: Adapters,
    /// Counters.
    pub counters: Counters,
    /// Woken when this instance begins to leave.
    pub drain_started: Notify,
    /// Sessions that are open.
    pub sessions: Cell<usize>,
    desired: RefCell<Option<Rc<Config>>>,
    groups: RefCell<Vec<Rc<Group>>>,
    /// Other live instances, sorted by name; none until they were counted.
    peers: RefCell<Option<Vec<Rc<Peer>>>>,
    /// The least that any instance can carry.
    smallest: Cell<MinCapacity>,
    /// Counts up whenever shares of connections may have changed.
    placement: Cell<u64>,
    /// The directory of servers, sorted by id; none until it was read.
    directory: RefCell<Option<Vec<Server>>>,
    /// Objects of the store that can't be read.
    pub unreadable: RefCell<Unreadable>,
    /// The store's revisions at which the configuration and the directory were last known to have changed.
    revisions: Cell<(Option<Revision>, Option<Revision>)>,
    /// The latest era of the store that other instances told.
    told_era: Cell<Option<u64>>,
    /// How the configuration and the directory come here.
    pub distribution: Distribution,
    /// Which items of them changed when.
    pub history: History,
    /// What is being handed to other instances.
    pub uploads: Uploads,
    /// When the configuration was last known to be the newest one.
    confirmed: Cell<Micros>,
    leaving: Cell<Option<Instant>>,
    /// The clock.
    pub clock: Clock,
    /// How long statements take, by database.
    costs: RefCell<Averages<Name>>,
    rng: RefCell<Pcg64Mcg>,
    /// The right to give orders, while this instance has it.
    pub lease: LeaseState,
    /// Who led each group, as the store says.
    pub leaders: Leaders,
    /// What organisations may use.
    pub quotas: Quotas,
    lines: Cell<(Micros, u32)>,
}

impl Instance {
    /// An instance that knows nothing yet.
    pub fn new(settings: Settings, bounds: Bounds, adapters: Adapters) -> Rc<Instance> {
        let clock = Clock(Instant::now());
        Rc::new(Instance {
            settings,
            bounds: Cell::new(bounds),
            adapters,
            counters: Counters::default(),
            drain_started: Notify::new(),
            sessions: Cell::default(),
            desired: RefCell::default(),
            groups: RefCell::default(),
            peers: RefCell::default(),
            smallest: Cell::default(),
            placement: Cell::new(1),
            directory: RefCell::default(),
            unreadable: RefCell::default(),
            revisions: Cell::default(),
            told_era: Cell::default(),
            distribution: Distribution::default(),
            history: History::default(),
            uploads: Uploads::default(),
            confirmed: Cell::default(),
            leaving: Cell::default(),
            clock,
            costs: RefCell::default(),
            rng: RefCell::new(Pcg64Mcg::seed_from_u64(rand::rng().random())),
            lease: LeaseState::default(),
            leaders: Leaders::default(),
            quotas: Quotas::new(rand::rng().random(), clock.now()),
            lines: Cell::default(),
        })
    }

    /// The time on the instance's clock.
    pub fn now(&self) -> Micros {
        self.clock.now()
    }

    /// How long statements of a database take.
    pub fn statement_latency(&self, database: &str) -> Micros {
        self.costs.borrow().get(database).map_or(0, Average::get)
    }

    /// A statement of a database took this long at a server.
    pub fn record_latency(&self, database: &Name, took: Micros, queued: bool) {
        let mut costs = self.costs.borrow_mut();
        // What it takes in a queue says little of the work, but more than nothing.
        if !queued || !costs.get(database).is_some_and(Average::is_settled) {
            costs.observe(database.clone(), took);
        }
    }

    /// Whether a line about a request may be logged now; lines above the limit are counted instead.
    pub fn may_log(&self) -> bool {
        let (since, n) = self.lines.get();
        let now = self.now();
        if now.saturating_sub(since) >= LINES_SPAN {
            self.lines.set((now, 1));
            return true;
        }
        if n >= LINES {
            self.counters.increment(Count::LogsDropped);
            return false;
        }
        self.lines.set((since, n + 1));
        true
    }

    /// The instance's random numbers.
    pub fn rng(&self) -> RefMut<'_, Pcg64Mcg> {
        self.rng.borrow_mut()
    }

    /// A random number below `limit`.
    pub fn random(&self, limit: u64) -> u64 {
        self.rng.borrow_mut().random_range(0..limit.max(1))
    }

    /// The configuration in force.
    pub fn config(&self) -> Option<Rc<Config>> {
        self.desired.borrow().clone()
    }

    /// The configuration in force, or a later one, was the newest at this time.
    pub fn confirm_config(&self, at: Micros) {
        self.confirmed.set(self.confirmed.get().max(at));
    }

    /// How long ago it is known to have been the newest; none if it never was.
    pub fn config_staleness(&self) -> Option<Micros> {
        let at = Some(self.confirmed.get()).filter(|it| *it > 0)?;
        Some(self.now().saturating_sub(at))
    }

    /// Whether keys may be taken at the configuration's word.
    pub fn has_fresh_keys(&self) -> bool {
        let limit = self.bounds.get().revoke;
        limit.is_none_or(|limit| self.config_staleness().is_some_and(|it| it < micros(limit)))
    }

    /// Takes a configuration in if it is newer.
    pub fn apply_config(&self, it: Config, revision: Revision) {
        let known = self.config();
        let old = known.as_ref().map_or(0, |it| it.version);
        if it.version <= old {
            return;
        }
        self.history.record_config(known.as_deref(), &it);
        self.set_revision(Collection::Config, revision);
        log::info!(version = it.version, old, routes = it.routes.len(); "configuration in force");
        *self.desired.borrow_mut() = Some(Rc::new(it));
        self.share_out();
    }

    /// A group of which a server or a configuration is known.
    pub fn group(&self, name: &str) -> Option<Rc<Group>> {
        let groups = self.groups.borrow();
        let at = groups.binary_search_by(|it| it.name.as_str().cmp(name)).ok()?;
        Some(groups[at].clone())
    }

    /// All groups.
    pub fn groups(&self) -> Vec<Rc<Group>> {
        self.groups.borrow().clone()
    }

    /// Whether the configuration names a group. An entry of another one names no server that anybody uses.
    pub fn is_configured(&self, group: &str) -> bool {
        let named = |it: &Config| it.groups.binary_search_by(|it| it.name.as_str().cmp(group)).is_ok();
        self.desired.borrow().as_ref().is_some_and(|it| named(it))
    }

    /// Whether a group that is in use has no primary that answers here.
    pub fn lacks_primary(&self) -> bool {
        self.groups.borrow().iter().any(|it| it.lacks_primary())
    }

    /// The directory of servers, sorted by id.
    pub fn directory(&self) -> Vec<Server> {
        self.directory.borrow().clone().unwrap_or_default()
    }

    /// Looks at the directory of servers without a copy of it; empty until it was read.
    pub fn with_directory<T>(&self, look: impl FnOnce(&[Server]) -> T) -> T {
        look(self.directory.borrow().as_deref().unwrap_or_default())
    }

    /// Takes a directory in, sorted by id.
    pub fn apply_directory(self: &Rc<Self>, servers: Vec<Server>, revision: Revision) {
        self.set_revision(Collection::Servers, revision);
        let old = self.directory.replace(Some(servers.clone())).unwrap_or_default();
        self.history.record_directory(&old, &servers, revision.as_u64());
        let now = self.now();
        for it in &servers {
            let before = old.binary_search_by(|old| old.id.cmp(&it.id)).ok().map(|at| &old[at]);
            if let Some(before) = before.filter(|before| before.group != it.group) {
                self.group_of(before).mark_missing(&it.id, now);
            }
            if before != Some(it) {
                self.group_of(it).upsert_server(self, it.clone());
            }
        }
        for it in old.iter().filter(|old| servers.binary_search_by(|it| it.id.cmp(&old.id)).is_err()) {
            self.group_of(it).mark_missing(&it.id, now);
        }
        if old != servers {
            self.share_out();
        }
    }

    fn group_of(&self, server: &Server) -> Rc<Group> {
        self.group(&server.group).unwrap_or_else(|| {
            let it = Rc::new(Group::new(server.group.clone(), self.now()));
            let mut groups = self.groups.borrow_mut();
            let at = groups.partition_point(|old| old.name < it.name);
            groups.insert(at, it.clone());
            it
        })
    }

    /// An object of the store can't be read: counted each time, told once.
    pub fn record_unreadable(&self, what: Collection, name: &Name, why: &str) {
        self.counters.increment(Count::Unreadable);
        if self.unreadable.borrow_mut().insert(what, name) {
            log::error!(collection:% = what, object = name.as_str(); "unreadable: {why}");
        }
    }

    /// How often the store has come back from an older copy, as far as is known here.
    pub fn era(&self) -> Option<u64> {
        self.adapters.store.era().max(self.told_era.get())
    }

    /// Another instance has told a revision of the store.
    pub fn observe_era(&self, it: Revision) {
        self.told_era.set(self.told_era.get().max(Some(it.era())));
    }

    /// The right to give orders, while this instance may use it: not what was granted before the store came back from an
    /// older copy.
    pub fn fencing_token(&self) -> Option<u64> {
        self.lease.token(self.era()?, self.now())
    }

    /// The store's revision at which a collection was last known to have changed.
    pub fn revision(&self, what: Collection) -> Option<Revision> {
        match what {
            Collection::Config => self.revisions.get().0,
            _ => self.revisions.get().1,
        }
    }

    /// A collection is known as it was changed at this revision.
    pub fn set_revision(&self, what: Collection, revision: Revision) {
        let (desired, servers) = self.revisions.get();
        self.revisions.set(match what {
            Collection::Config => (Some(revision), servers),
            _ => (desired, Some(revision)),
        });
        self.distribution.changed.notify_one();
    }

    /// All other live instances.
    pub fn peers(&self) -> Option<Vec<Rc<Peer>>> {
        self.peers.borrow().clone()
    }

    /// All live instances with this one, sorted by name; none until they were counted.
    pub fn members(&self) -> Option<Vec<Member>> {
        let own = &self.settings;
        let (name, zone) = (own.name.clone(), own.zone.clone());
        let me = Member { name, zone, addr: own.peer_addr, capacity: own.capacity };
        let others = self.peers()?;
        let others = others.iter().map(|it| Member {
            name: it.name.clone(),
            zone: it.zone.clone(),
            addr: it.addr,
            capacity: it.capacity,
        });
        let mut all: Vec<Member> = others.chain([me]).collect();
        all.sort_unstable();
        Some(all)
    }

    /// Another instance.
    pub fn peer(&self, name: &Name) -> Option<Rc<Peer>> {
        let peers = self.peers.borrow();
        let peers = peers.as_ref()?;
        let at = peers.binary_search_by(|it| it.name.cmp(name)).ok()?;
        Some(peers[at].clone())
    }

    /// Takes in which other instances are up, sorted by name.
    pub fn set_peers(&self, mut peers: Vec<Peer>) {
        peers.retain(|it| it.name != self.settings.name);
        let keep = |it: Peer| match self.peer(&it.name) {
            Some(old) if old.addr == it.addr && old.zone == it.zone && old.capacity == it.capacity => old,
            _ => Rc::new(it),
        };
        let peers: Vec<Rc<Peer>> = peers.into_iter().map(keep).collect();
        let capacities = peers.iter().map(|it| it.capacity).chain([self.settings.capacity]);
        self.smallest.set(MinCapacity::of(capacities.flatten()));
        let old = self.peers.replace(Some(peers.clone()));
        if old.as_ref().map(Vec::len) != Some(peers.len()) {
            let weight = self.own_candidate().weight;
            log::info!(others = peers.len(), weight; "instances counted");
        }
        let first = old.is_none();
        if old.is_none_or(|old| !same(&old, &peers)) {
            self.share_out();
        }
        if first {
            self.groups().iter().for_each(|it| it.request_initial_statuses(self));
        }
    }

    /// Another instance as one that can be chosen.
    pub fn candidate<'a>(&self, it: &'a Peer) -> Candidate<'a> {
        self.weigh(&it.name, &it.zone, it.capacity)
    }

    /// The same of this one.
    pub fn own_candidate(&self) -> Candidate<'_> {
        self.weigh(&self.settings.name, &self.settings.zone, self.settings.capacity)
    }

    /// Sorts other instances by how they come for a subject; one that is gone counts as small.
    pub fn sort_by_placement(&self, subject: &str, names: &mut [Name]) {
        let old = names.to_vec();
        let zone = Name::new();
        let capacity = |it: &Name| self.peer(it).and_then(|it| it.capacity);
        let mut all: Vec<Candidate<'_>> = old.iter().map(|it| self.weigh(it, &zone, capacity(it))).collect();
        placement::sort(subject, &mut all);
        all.iter().zip(names).for_each(|(it, name)| *name = it.name.clone());
    }

    fn weigh<'a>(&self, name: &'a Name, zone: &'a Name, capacity: Option<Capacity>) -> Candidate<'a> {
        Candidate { name, zone, weight: self.smallest.get().weight(capacity) }
    }

    /// Has it worked out anew who has a share of each server's connections, when it is next wanted: of hundreds of
    /// servers an instance uses few.
    fn share_out(&self) {
        self.placement.set(self.placement.get() + 1);
    }

    /// Works out who has a share of a server's connections, if that may have changed.
    pub fn update_placement(&self, up: &Upstream) {
        if up.placement_version.replace(self.placement.get()) == self.placement.get() {
            return;
        }
        let Some(desired) = self.config() else { return };
        let group = up.entry().group.clone();
        let conns = desired.groups.iter().find(|it| it.name == group).map_or(0, |it| it.conns);
        match &*self.peers.borrow() {
            Some(peers) => self.share(up, conns, peers),
            // Until the others are known, as little as possible.
            None => up.pool.set_share(1, 2),
        }
    }

    fn share(&self, up: &Upstream, conns: usize, peers: &[Rc<Peer>]) {
        let entry = up.entry();
        let all = peers.iter().map(|it| self.candidate(it)).chain([self.own_candidate()]);
        let mut ranked = placement::rank(&entry.id, &entry.zone, all.clone());
        up.set_dispatcher(ranked.first().filter(|it| **it != self.settings.name).cloned());
        let n = placement::home_count(conns, peers.len() + 1);
        up.shared_permits.set_max_limit(conns);
        let share = (conns * SHARED_CONN_TENTHS / 10 / n).max(1);
        let most = (conns * MAX_CONN_TENTHS / 10 / n).max(share);
        if n > peers.len() {
            // Each its own home; others are only gone through in need, each by another.
            let subject = format!("{} {}", entry.id, self.settings.name);
            let mut others = placement::rank(&subject, &entry.zone, all);
            others.retain(|it| *it != self.settings.name);
            up.pool.set_share(share, most);
            let homes = others.len();
            return up.set_placement(true, others, homes);
        }
        let mine = ranked.iter().position(|it| *it == self.settings.name).is_some_and(|at| at < n);
        // One that is no home may still be asked by another that can't reach any.
        let (share, most) = if mine { (share, most) } else { (0, FALLBACK_CONNS) };
        up.pool.set_share(share, most);
        // Homes share the work of those that are none.
        ranked[..n].rotate_left(placement::rendezvous_hash(&entry.id, &self.settings.name) as usize % n);
        ranked.retain(|it| *it != self.settings.name);
        up.set_placement(mine, ranked, n - usize::from(mine));
    }

    /// Whether new sessions are wanted here.
    pub fn is_ready(&self) -> bool {
        self.leaving.get().is_none() && self.directory.borrow().is_some() && self.desired.borrow().is_some()
    }

    /// Begins to leave.
    pub fn start_drain(&self) {
        self.leaving.set(Some(Instant::now()));
        log::info!(sessions = self.sessions.get(); "leaving");
        self.drain_started.notify_waiters();
    }

    /// Since when this instance leaves.
    pub fn draining_since(&self) -> Option<Instant> {
        self.leaving.get()
    }
}
