//! The state shared by all modules of an instance.

use {
    crate::{
        entry::Sessions,
        home::Home,
        peers::Peers,
        settings::Settings,
        telemetry::{Count, Counters},
    },
    pondtrack_core::{
        Time,
        classify::Classifier,
        decision_log::DecisionLog,
        member::{MemberConfig, Members},
        placement,
    },
    pondtrack_edge::{Platform, PlatformError},
    pondtrack_proto::{Decision, FactKey, FactKind, GroupSpec, MemberState, MemberView, Name},
    rand::{RngExt, SeedableRng},
    rand_pcg::Pcg64Mcg,
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
        time::{Instant, SystemTime, UNIX_EPOCH},
    },
    tokio::{net::UdpSocket, sync::Notify},
};

/// Shared state of an instance. All tasks run on one thread; no borrow is held across an await.
pub struct Node {
    /// Settings of the instance.
    pub settings: Settings,
    /// Name of the instance.
    pub name: Name,
    /// Availability zone of the instance.
    pub zone: Name,
    /// Cluster membership and gossiped facts.
    pub members: RefCell<Members>,
    /// Configured groups and their versions, sorted by name.
    pub groups: RefCell<Vec<(Rc<GroupSpec>, u64)>>,
    /// Homes on this instance, sorted by name of the group. Includes homes that are closing.
    pub homes: RefCell<Vec<Rc<Home>>>,
    /// Connections to other instances.
    pub peers: Peers,
    /// Client of the platform.
    pub platform: Platform,
    /// Sessions of callers.
    pub sessions: Sessions,
    /// Log of recent decisions.
    pub journal: RefCell<DecisionLog>,
    /// Statement classifier and its cache.
    pub classifier: RefCell<Classifier>,
    /// Counters for metrics.
    pub counters: Counters,
    /// Set once this instance has started to leave the cluster.
    pub leaving: Cell<bool>,
    /// Notified when this instance starts to leave the cluster.
    pub drain_started: Notify,
    /// Notified when members or groups have changed.
    pub changed: Notify,
    /// Notified when this instance has shut down.
    pub stopped: Notify,
    /// Socket for gossip datagrams.
    pub udp: UdpSocket,
    /// Incarnation at startup. Orders to leave that were meant for an earlier process have a lower incarnation.
    pub incarnation: u64,
    placements: RefCell<Vec<Rc<Placement>>>,
    start: Instant,
    rng: RefCell<Pcg64Mcg>,
    next_id: Cell<u64>,
}

impl Node {
    /// Creates the state of an instance without starting any task.
    ///
    /// # Errors
    ///
    /// Returns an error if the client of the platform can't be created.
    pub fn new(settings: Settings, udp: UdpSocket) -> Result<Rc<Node>, PlatformError> {
        let platform = Platform::new(&settings.platform, settings.bind)?;
        let name = settings.shared_name();
        let zone = Name::from(settings.zone.as_str());
        // Wall-clock time gives a restart under the same name a higher incarnation.
        let incarnation = epoch_ms();
        let local = MemberView {
            name: name.clone(),
            addr: settings.peer_addr(),
            zone: zone.clone(),
            incarnation,
            state: MemberState::Alive,
        };
        let interval = settings.probe_ms;
        let peer_choice = settings.spread;
        let config = MemberConfig {
            probe_interval: interval,
            direct_timeout: (interval * 3 / 10).max(20),
            indirect_timeout: (interval / 2).max(30),
            suspicion_timeout: interval * 2,
            peer_choice,
            ..MemberConfig::default()
        };
        let seed: u64 = rand::rng().random();
        let members = Members::new(local, settings.seed.clone(), config, seed);
        Ok(Rc::new(Node {
            name,
            zone,
            members: RefCell::new(members),
            groups: RefCell::default(),
            homes: RefCell::default(),
            peers: Peers::default(),
            platform,
            sessions: Sessions::default(),
            journal: RefCell::default(),
            classifier: RefCell::default(),
            counters: Counters::default(),
            leaving: Cell::default(),
            drain_started: Notify::new(),
            changed: Notify::new(),
            stopped: Notify::new(),
            udp,
            incarnation,
            placements: RefCell::default(),
            start: Instant::now(),
            rng: RefCell::new(Pcg64Mcg::seed_from_u64(seed)),
            next_id: Cell::new(1),
            settings,
        }))
    }

    /// Returns the time of the instance's monotonic clock, in milliseconds.
    pub fn now(&self) -> Time {
        self.start.elapsed().as_millis() as Time
    }

    /// Returns an id that is unique within this process.
    pub fn next_id(&self) -> u64 {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        id
    }

    /// Returns a random number.
    pub fn random(&self) -> u64 {
        self.rng.borrow_mut().random()
    }

    /// Calls `f` with the instance's random number generator.
    pub fn with_rng<T>(&self, f: impl FnOnce(&mut Pcg64Mcg) -> T) -> T {
        f(&mut self.rng.borrow_mut())
    }

    /// Increments a counter by one.
    pub fn count(&self, counter: Count) {
        self.counters.one(counter);
    }

    /// Records a decision and logs it.
    pub fn record_decision(&self, subject: &Name, what: impl Into<String>, evidence: impl Into<String>) {
        let decision = Decision {
            at_ms: epoch_ms(),
            instance: self.name.clone(),
            subject: subject.clone(),
            what: what.into(),
            evidence: evidence.into(),
        };
        log::info!(subject = decision.subject.as_str(), evidence = decision.evidence.as_str(); "{}", decision.what);
        self.journal.borrow_mut().record(decision);
    }

    /// Returns the configuration of a group.
    pub fn group(&self, name: &str) -> Option<Rc<GroupSpec>> {
        let groups = self.groups.borrow();
        let index = groups.binary_search_by(|g| g.0.name.as_str().cmp(name)).ok()?;
        Some(groups[index].0.clone())
    }

    /// Returns the placement of a group. The result is cached until members or groups change.
    pub fn placement(&self, spec: &GroupSpec) -> Rc<Placement> {
        let mut placements = self.placements.borrow_mut();
        let found = placements.binary_search_by(|p| p.group.cmp(&spec.name));
        if let Ok(index) = found {
            return placements[index].clone();
        }
        let members = self.members.borrow().active();
        let homes = placement::homes(spec, &members);
        let by_proximity = placement::own_zone_first(&homes, &members, &self.zone);
        let placement = Rc::new(Placement { group: spec.name.clone(), homes, by_proximity });
        let index = placements.partition_point(|old| old.group < placement.group);
        placements.insert(index, placement.clone());
        placement
    }

    /// Clears the cached placements and notifies waiters, after a change of members or groups.
    pub fn invalidate_placements(&self) {
        self.placements.borrow_mut().clear();
        self.changed.notify_waiters();
    }

    /// Returns the home of a group, or `None` if the group has no home on this instance.
    pub fn home(&self, group: &str) -> Option<Rc<Home>> {
        let homes = self.homes.borrow();
        let index = homes.binary_search_by(|h| h.group.as_str().cmp(group)).ok()?;
        Some(homes[index].clone())
    }

    /// Returns the version of the local copy of a fact.
    pub fn version(&self, kind: FactKind, name: &Name) -> u64 {
        self.members.borrow().facts.version(&FactKey { kind, name: name.clone() })
    }
}

/// Homes of a group, as computed from the current members.
#[derive(Clone, Debug)]
pub struct Placement {
    /// Name of the group.
    pub group: Name,
    /// Instances that are homes of the group, in order of precedence.
    pub homes: Vec<Name>,
    /// The homes in the order in which this instance tries them, with its own availability zone first.
    pub by_proximity: Vec<Name>,
}

/// Returns the wall-clock time in milliseconds since the Unix epoch.
///
/// Only for display, request keys and incarnations; durations use [`Node::now`].
pub fn epoch_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}
