//! How the configuration and the directory reach instances that don't watch the store.
//!
//! One instance of each availability zone watches the store, however many there are. They tell all others regularly which revisions
//! they know; whoever knows an older one fetches the newer from them. One that is refused by the store says
//! so, and the next in its zone watches as well. An instance that hears of nobody does so itself.

use {
    crate::{
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

/// Between two beats of an instance that watches, as a share of the time in which a change has to be in force:
/// 800 of 3,000 ms.
const BEAT_SHARE: f64 = 0.267;
/// Without a beat of one that can watch for this share of the same time an instance watches itself: two beats,
/// and room for a call of the store.
const LOST_SHARE: f64 = 0.6;
/// What an instance of another availability zone tells is fetched from there only after this pause, where one of the own
/// zone tells as well: those that watch hear of a change within a few milliseconds of each other, and bytes that cross
/// zones cost more.
const ZONE_PAUSE: Duration = Duration::from_millis(100);
/// Between two rounds of questions to the seeds; a store that is well answers sooner.
const JOIN_PAUSE: Duration = Duration::from_millis(400);
/// Between two questions which instances are up: those that watch learn of a change within about as long.
const COUNT_PAUSE: Duration = Duration::from_millis(3_000);
/// After the first start of all, instances know of each other within this long: by their second look.
const GATHER: Duration = Duration::from_millis(1_600);
/// Pause between two rounds of beats that are caused by changes.
const ROUND_PAUSE: Duration = Duration::from_millis(20);

/// How the configuration and the directory come here.
#[derive(Default)]
pub struct Distribution {
    /// Woken when there is something new to tell.
    pub changed: Notify,
    /// When an instance that watches was last heard.
    heard: Cell<Micros>,
    /// When one of the own availability zone was last heard.
    heard_near: Cell<Micros>,
    /// Whether the last calls for the configuration and for the directory had a result.
    watched: Cell<(bool, bool)>,
    fetching: Cell<bool>,
    /// What was told last while something was fetched, and by whom.
    missed: RefCell<Option<(Rc<Peer>, Heartbeat)>>,
    /// When it was last asked which instances are up.
    counted: Cell<Micros>,
}

impl Distribution {
    /// Whether this instance is one of those that watch the store for all.
    pub fn is_watcher(&self, inst: &Instance) -> bool {
        let Some(peers) = inst.peers() else { return true };
        let own = &inst.settings;
        let now = inst.now();
        let counts = |it: &&Rc<Peer>| it.zone == own.zone && !it.cannot_watch(now);
        let others = peers.iter().filter(counts).map(|it| inst.candidate(it));
        let zone: Vec<Candidate<'_>> = others.chain([inst.own_candidate()]).collect();
        placement::pick("watch", &zone) == Some(&own.name)
    }

    /// Whether this instance has to watch the store. One that has just started waits for those that do: all at once would
    /// each be told of every server that comes up with them.
    pub fn must_watch(&self, inst: &Instance) -> bool {
        let silent = inst.now().saturating_sub(self.heard.get());
        let lost = inst.bounds.get().apply.mul_f64(LOST_SHARE);
        !self.is_bootstrapping(inst) && (silent >= micros(lost) || self.is_watcher(inst))
    }

    /// Whether all instances have only just started for the first time, and none knows yet how many they are: each would
    /// take itself for the one that watches, and for the one that may give orders.
    pub fn is_bootstrapping(&self, inst: &Instance) -> bool {
        inst.settings.first_start && inst.now() < micros(GATHER)
    }

    /// A call for a collection had, or had no, result.
    pub fn record_call(&self, what: Collection, ok: bool) {
        let (desired, servers) = self.watched.get();
        self.watched.set(match what {
            Collection::Config => (ok, servers),
            _ => (desired, ok),
        });
    }

    /// Whether an instance of the own availability zone tells what it watches.
    fn hears_near(&self, inst: &Instance) -> bool {
        let silent = inst.now().saturating_sub(self.heard_near.get());
        self.heard_near.get() > 0 && silent < micros(inst.bounds.get().apply.mul_f64(LOST_SHARE))
    }

    /// Keeps what was told while something is fetched: a fetch may take longer than the time between two beats. What an
    /// instance of the own zone tells goes before what others tell, unless that is newer.
    fn look_later(&self, inst: &Instance, peer: Rc<Peer>, beat: Heartbeat) {
        let mut missed = self.missed.borrow_mut();
        let rank =
            |peer: &Peer, beat: &Heartbeat| (beat.version, beat.directory, peer.zone == inst.settings.zone);
        if missed.as_ref().is_none_or(|old| rank(&old.0, &old.1) <= rank(&peer, &beat)) {
            *missed = Some((peer, beat));
        }
    }

    fn newer_desired(&self, inst: &Instance, beat: &Heartbeat) -> bool {
        inst.config().is_none_or(|it| it.version < beat.version)
    }

    fn newer_directory(&self, inst: &Instance, beat: &Heartbeat) -> bool {
        inst.revision(Collection::Servers).is_none_or(|it| it < beat.directory)
    }

    fn tells_newer(&self, inst: &Instance, beat: &Heartbeat) -> bool {
        self.newer_desired(inst, beat) || self.newer_directory(inst, beat)
    }

    /// Whether another instance that watches the store knows other instances than this one does. Two that watch
    /// may differ for a while, as they read the entries at different times.
    fn wants_members(&self, inst: &Instance, beat: &Heartbeat) -> bool {
        let now = inst.now();
        let due = now.saturating_sub(self.counted.get()) >= micros(COUNT_PAUSE);
        let differs = || inst.members().is_some_and(|it| members_digest(&it) != beat.members);
        let wants = beat.watching && due && !self.must_watch(inst) && differs();
        if wants {
            self.counted.set(now);
        }
        wants
    }

    fn beat(&self, inst: &Instance) -> Option<Heartbeat> {
        let (desired, directory) = (inst.revision(Collection::Config)?, inst.revision(Collection::Servers)?);
        let version = inst.config()?.version;
        let watching = self.watched.get() == (true, true);
        let from = inst.settings.name.clone();
        let members = members_digest(&inst.members()?);
        let tells = self.is_watcher(inst) && inst.draining_since().is_none();
        tells.then_some(Heartbeat { from, version, desired, directory, members, watching })
    }
}

/// Tells all others what is known here while this instance watches, for good.
pub async fn run(inst: Rc<Instance>) {
    loop {
        // New or not, something is told at the next beat.
        let beat = inst.bounds.get().apply.mul_f64(BEAT_SHARE);
        let _ = timeout(beat, inst.distribution.changed.notified()).await;
        let (Some(beat), Some(peers)) = (inst.distribution.beat(&inst), inst.peers()) else {
            continue;
        };
        for peer in peers {
            tokio::task::spawn_local(send(inst.clone(), peer, beat.clone()));
        }
        sleep(ROUND_PAUSE).await;
    }
}

async fn send(inst: Rc<Instance>, peer: Rc<Peer>, beat: Heartbeat) {
    if !peer.is_available(inst.now()) {
        return;
    }
    if let Some(link) = peer.link(&inst).await {
        link.send_with_keepalive(Message::Heartbeat(beat));
    }
}

/// An instance that watches the store tells what it knows.
pub async fn on_heartbeat(inst: Rc<Instance>, beat: Heartbeat) {
    let spread = &inst.distribution;
    let now = inst.now();
    inst.observe_era(beat.desired.max(beat.directory));
    if beat.watching {
        spread.heard.set(now);
    }
    let Some(peer) = inst.peer(&beat.from) else { return };
    peer.set_can_watch(beat.watching, now);
    let is_near = peer.zone == inst.settings.zone;
    if is_near && beat.watching {
        spread.heard_near.set(now);
    }
    if !is_near && spread.hears_near(&inst) && spread.tells_newer(&inst, &beat) {
        sleep(ZONE_PAUSE).await;
    }
    if spread.fetching.replace(true) {
        return spread.look_later(&inst, peer, beat);
    }
    let mut told = Some((peer, beat));
    while let Some((peer, beat)) = told {
        let wants = [
            spread.newer_desired(&inst, &beat).then_some(Collection::Config),
            spread.newer_directory(&inst, &beat).then_some(Collection::Servers),
            spread.wants_members(&inst, &beat).then_some(Collection::Instances),
        ];
        for what in wants.into_iter().flatten() {
            fetch(&inst, &peer, what).await;
        }
        told = spread.missed.take();
    }
    spread.fetching.set(false);
}

/// Learns from other instances what the store doesn't tell at the start, until this instance is ready.
pub async fn join(inst: Rc<Instance>, seeds: Vec<SocketAddrV4>) {
    let others = seeds.into_iter().filter(|it| *it != inst.settings.peer_addr);
    let peers: Vec<Rc<Peer>> =
        others.map(|it| Rc::new(Peer::new(Name::from(it.to_string()), Name::new(), it))).collect();
    loop {
        sleep(JOIN_PAUSE).await;
        for peer in &peers {
            if inst.is_ready() {
                return;
            }
            for what in [Collection::Config, Collection::Servers] {
                fetch(&inst, peer, what).await;
            }
        }
    }
}
