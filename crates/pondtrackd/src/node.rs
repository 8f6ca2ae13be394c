//! What the parts of an instance share.

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

/// The state of an instance. All parts run on one thread; no borrow is held across an await.
pub struct Node {
    /// The settings.
    pub settings: Settings,
    /// The instance's name.
    pub name: Name,
    /// The instance's availability zone.
    pub zone: Name,
    /// Membership and facts.
    pub members: RefCell<Members>,
    /// Groups with their versions, sorted by name.
    pub groups: RefCell<Vec<(Rc<GroupSpec>, u64)>>,
    /// Groups this instance is a home of, sorted by name; also some it is no longer.
    pub homes: RefCell<Vec<Rc<Home>>>,
    /// Links to other instances.
    pub peers: Peers,
    /// The platform.
    pub platform: Platform,
    /// Callers' sessions.
    pub sessions: Sessions,
    /// Recorded decisions.
    pub journal: RefCell<DecisionLog>,
    /// Classified texts.
    pub classifier: RefCell<Classifier>,
    /// Counters.
    pub counters: Counters,
    /// Set while this instance leaves.
    pub leaving: Cell<bool>,
    /// Woken when this instance begins to leave.
    pub drain_started: Notify,
    /// Woken when members or groups have changed.
    pub changed: Notify,
    /// Woken when this instance has ended its work.
    pub stopped: Notify,
    /// The socket for datagrams.
    pub udp: UdpSocket,
    /// Incarnation at the start; orders to leave for an earlier process are older.
    pub incarnation: u64,
    placed: RefCell<Vec<Rc<Placement>>>,
    start: Instant,
    rng: RefCell<Pcg64Mcg>,
    next: Cell<u64>,
}

impl Node {
    /// Sets an instance up; nothing runs yet.
    pub fn new(settings: Settings, udp: UdpSocket) -> Result<Rc<Node>, PlatformError> {
        let platform = Platform::new(&settings.platform, settings.bind)?;
        let name = settings.shared_name();
        let zone = Name::from(settings.zone.as_str());
        // Wall-clock time, so that a restart under the same name has a higher incarnation.
        let incarnation = epoch_ms();
        let me = MemberView {
            name: name.clone(),
            addr: settings.peer_addr(),
            zone: zone.clone(),
            incarnation,
            state: MemberState::Alive,
        };
        let interval = settings.probe_ms;
        let choice = settings.spread;
        let config = MemberConfig {
            probe_interval: interval,
            direct_timeout: (interval * 3 / 10).max(20),
            indirect_timeout: (interval / 2).max(30),
            suspicion_timeout: interval * 2,
            peer_choice: choice,
            ..MemberConfig::default()
        };
        let seed: u64 = rand::rng().random();
        let members = Members::new(me, settings.seed.clone(), config, seed);
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
            placed: RefCell::default(),
            start: Instant::now(),
            rng: RefCell::new(Pcg64Mcg::seed_from_u64(seed)),
            next: Cell::new(1),
            settings,
        }))
    }

    /// Milliseconds of this instance's monotonic clock.
    pub fn now(&self) -> Time {
        self.start.elapsed().as_millis() as Time
    }

    /// A number that is unique on this instance.
    pub fn next_id(&self) -> u64 {
        let it = self.next.get();
        self.next.set(it + 1);
        it
    }

    /// A random number.
    pub fn random(&self) -> u64 {
        self.rng.borrow_mut().random()
    }

    /// Works with the instance's random numbers.
    pub fn with_rng<T>(&self, f: impl FnOnce(&mut Pcg64Mcg) -> T) -> T {
        f(&mut self.rng.borrow_mut())
    }

    /// Counts one.
    pub fn count(&self, what: Count) {
        self.counters.one(what);
    }

    /// Records a decision and logs it.
    pub fn record_decision(&self, subject: &Name, what: impl Into<String>, evidence: impl Into<String>) {
        let it = Decision {
            at_ms: epoch_ms(),
            instance: self.name.clone(),
            subject: subject.clone(),
            what: what.into(),
            evidence: evidence.into(),
        };
        log::info!(subject = it.subject.as_str(), evidence = it.evidence.as_str(); "{}", it.what);
        self.journal.borrow_mut().record(it);
    }

    /// A group's configuration.
    pub fn group(&self, name: &str) -> Option<Rc<GroupSpec>> {
        let groups = self.groups.borrow();
        let at = groups.binary_search_by(|it| it.0.name.as_str().cmp(name)).ok()?;
        Some(groups[at].0.clone())
    }

    /// The homes of a group, the first one first.
    pub fn placement(&self, spec: &GroupSpec) -> Rc<Placement> {
        let mut placed = self.placed.borrow_mut();
        let at = placed.binary_search_by(|it| it.group.cmp(&spec.name));
        if let Ok(at) = at {
            return placed[at].clone();
        }
        let members = self.members.borrow().active();
        let homes = placement::homes(spec, &members);
        let by_proximity = placement::own_zone_first(&homes, &members, &self.zone);
        let it = Rc::new(Placement { group: spec.name.clone(), homes, by_proximity });
        let at = placed.partition_point(|old| old.group < it.group);
        placed.insert(at, it.clone());
        it
    }

    /// Members or groups have changed: placement is worked out anew when it is next asked for.
    pub fn invalidate_placements(&self) {
        self.placed.borrow_mut().clear();
        self.changed.notify_waiters();
    }

    /// This instance's home of a group, if it is one.
    pub fn home(&self, group: &str) -> Option<Rc<Home>> {
        let homes = self.homes.borrow();
        let at = homes.binary_search_by(|it| it.group.as_str().cmp(group)).ok()?;
        Some(homes[at].clone())
    }

    /// The version of a fact known here.
    pub fn version(&self, kind: FactKind, name: &Name) -> u64 {
        self.members.borrow().facts.version(&FactKey { kind, name: name.clone() })
    }
}

/// The homes of a group.
#[derive(Clone, Debug)]
pub struct Placement {
    /// The group.
    pub group: Name,
    /// The homes, the first one first.
    pub homes: Vec<Name>,
    /// The same in the order in which this instance tries them.
    pub by_proximity: Vec<Name>,
}

/// Wall-clock time in milliseconds since the epoch; for people, keys and incarnations only.
pub fn epoch_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |it| it.as_millis() as u64)
}
