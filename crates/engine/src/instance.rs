//! What the parts of an instance share. All run on one thread; no borrow is held across an await.

use {
    crate::{
        count::{Count, Counters},
        group::Group,
        lease::Tenure,
        model::{Desired, Server},
        ports::Edge,
        settings::{SPARE_TENTH, Settings},
    },
    rand::{RngExt, SeedableRng},
    rand_pcg::Pcg64Mcg,
    std::{
        cell::{Cell, RefCell, RefMut},
        rc::Rc,
        time::Duration,
    },
    tokio::{sync::Notify, time::Instant},
};

/// Microseconds of the instance's monotonic clock.
pub type Micros = u64;

/// A duration on the instance's clock.
pub const fn micros(it: Duration) -> Micros {
    it.as_micros() as Micros
}

/// Lines about requests in each span of time, a second: enough to see a pattern, too few to cost much.
const LINES: u32 = 30;
/// The span, in microseconds.
const LINES_SPAN: Micros = 1_000_000;

/// The state of an instance.
pub struct Instance {
    /// The settings.
    pub settings: Settings,
    /// Wire, store and orders.
    pub edge: Edge,
    /// Counters.
    pub counters: Counters,
    /// Woken when this instance begins to leave.
    pub leave: Notify,
    /// Sessions that are open.
    pub sessions: Cell<usize>,
    desired: RefCell<Option<Rc<Desired>>>,
    groups: RefCell<Vec<Rc<Group>>>,
    /// Live instances, this one included.
    instances: Cell<usize>,
    /// Whether the directory of servers was read.
    listed: Cell<bool>,
    leaving: Cell<Option<Instant>>,
    start: Instant,
    rng: RefCell<Pcg64Mcg>,
    /// The right to give orders, while this instance has it.
    pub tenure: Tenure,
    lines: Cell<(Micros, u32)>,
}

impl Instance {
    /// An instance that knows nothing yet.
    pub fn new(settings: Settings, edge: Edge) -> Rc<Instance> {
        Rc::new(Instance {
            settings,
            edge,
            counters: Counters::default(),
            leave: Notify::new(),
            sessions: Cell::default(),
            desired: RefCell::default(),
            groups: RefCell::default(),
            instances: Cell::new(1),
            listed: Cell::default(),
            leaving: Cell::default(),
            start: Instant::now(),
            rng: RefCell::new(Pcg64Mcg::seed_from_u64(rand::rng().random())),
            tenure: Tenure::default(),
            lines: Cell::default(),
        })
    }

    /// The instance's monotonic clock. It begins above zero, which stands for never.
    pub fn now(&self) -> Micros {
        1 + self.start.elapsed().as_micros() as Micros
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
            self.counters.one(Count::LogsDropped);
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
    pub fn desired(&self) -> Option<Rc<Desired>> {
        self.desired.borrow().clone()
    }

    /// Takes a configuration in if it is newer.
    pub fn adopt(&self, it: Desired) {
        let old = self.desired.borrow().as_ref().map_or(0, |it| it.version);
        if it.version <= old {
            return;
        }
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

    /// Takes a server's entry in.
    pub fn enter(self: &Rc<Self>, server: Server) {
        let group = self.group(&server.group).unwrap_or_else(|| {
            let it = Rc::new(Group::new(server.group.clone()));
            let mut groups = self.groups.borrow_mut();
            let at = groups.partition_point(|old| old.name < it.name);
            groups.insert(at, it.clone());
            it
        });
        group.enter(self, server);
        self.share_out();
    }

    /// The directory of servers was read.
    pub fn set_listed(&self) {
        self.listed.set(true);
    }

    /// Sets how many instances share the servers' connections.
    pub fn set_instances(&self, n: usize) {
        if self.instances.replace(n.max(1)) != n.max(1) {
            log::info!(instances = n; "instances counted");
            self.share_out();
        }
    }

    /// Works the shares of connections out.
    fn share_out(&self) {
        let Some(desired) = self.desired() else { return };
        for group in self.groups() {
            let spec = desired.groups.iter().find(|it| it.name == group.name);
            let conns = spec.map_or(0, |it| it.conns);
            let share = (conns - conns * SPARE_TENTH / 10) / self.instances.get();
            for it in group.servers() {
                it.pool.set_share(share.max(1));
            }
        }
    }

    /// Whether new sessions are wanted here.
    pub fn is_ready(&self) -> bool {
        self.leaving.get().is_none() && self.listed.get() && self.desired.borrow().is_some()
    }

    /// Begins to leave.
    pub fn begin_leave(&self) {
        self.leaving.set(Some(Instant::now()));
        log::info!(sessions = self.sessions.get(); "leaving");
        self.leave.notify_waiters();
    }

    /// Since when this instance leaves.
    pub fn leaving(&self) -> Option<Instant> {
        self.leaving.get()
    }
}
