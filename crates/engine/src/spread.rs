//! How the configuration and the directory reach instances that don't watch the store.
//!
//! A few instances of each availability zone watch the store. They tell all others regularly which revisions
//! they know; whoever knows an older one fetches the newer from them. One that is refused by the store says
//! so, and the next in its zone watches as well. An instance that hears of nobody does so itself.

use {
    crate::{
        count::Count,
        instance::{Instance, Micros, micros},
        message::{Ask, Beat, Member, Message, Told},
        peer::Peer,
        ports::Collection,
    },
    pondtrack_core::place,
    pondtrack_proto::Name,
    std::{cell::Cell, fmt::Write, net::SocketAddrV4, rc::Rc, time::Duration},
    tokio::{
        sync::Notify,
        time::{sleep, timeout},
    },
    xxhash_rust::xxh3::xxh3_64,
};

/// Between two beats of an instance that watches, as a share of the time in which a change has to be in force:
/// 800 of the users' 3,000 ms.
const BEAT_SHARE: f64 = 0.267;
/// Without a beat of one that can watch for this share of the same time an instance watches itself: two beats,
/// and room for a call of the store.
const LOST_SHARE: f64 = 0.6;
/// Instances of a zone for each that watches; there is one at least.
const WATCHERS_PER: usize = 32;
/// Time to fetch what is newer.
const FETCH_LIMIT: Duration = Duration::from_millis(800);
/// Between two rounds of questions to the seeds; a store that is well answers sooner.
const JOIN_PAUSE: Duration = Duration::from_millis(400);
/// Between two questions which instances are up: those that watch learn of a change within about as long.
const COUNT_PAUSE: Duration = Duration::from_millis(3_000);
/// Pause between two rounds of beats that are caused by changes.
const ROUND_PAUSE: Duration = Duration::from_millis(20);

/// How the configuration and the directory come here.
#[derive(Default)]
pub struct Spread {
    /// Woken when there is something new to tell.
    pub tell: Notify,
    /// When an instance that watches was last heard.
    heard: Cell<Micros>,
    /// Whether the last calls for the configuration and for the directory had a result.
    watched: Cell<(bool, bool)>,
    fetching: Cell<bool>,
    /// When it was last asked which instances are up.
    counted: Cell<Micros>,
}

impl Spread {
    /// Whether this instance is one of those that watch the store for all.
    pub fn is_watcher(&self, inst: &Instance) -> bool {
        let (rank, watchers) = self.rank(inst);
        rank < watchers
    }

    /// Its place among those of its availability zone that could watch the store, and how many of them do.
    fn rank(&self, inst: &Instance) -> (usize, usize) {
        let Some(peers) = inst.peers() else { return (0, 1) };
        let own = &inst.settings;
        let now = inst.now();
        let counts = |it: &&Rc<Peer>| it.zone == own.zone && !it.is_blind(now);
        let zone: Vec<&Name> = peers.iter().filter(counts).map(|it| &it.name).collect();
        let mine = place::weight("watch", &own.name);
        let before = zone.iter().filter(|it| place::weight("watch", it) > mine).count();
        (before, 1 + zone.len() / WATCHERS_PER)
    }

    /// Whether this instance has to watch the store.
    pub fn must_watch(&self, inst: &Instance) -> bool {
        let silent = inst.now().saturating_sub(self.heard.get());
        let lost = inst.bounds.get().apply.mul_f64(LOST_SHARE);
        self.heard.get() == 0 || silent >= micros(lost) || self.is_watcher(inst)
    }

    /// A call for a collection had, or had no, result.
    pub fn watched(&self, what: Collection, ok: bool) {
        let (desired, servers) = self.watched.get();
        self.watched.set(match what {
            Collection::Desired => (ok, servers),
            _ => (desired, ok),
        });
    }

    /// Whether another instance that watches the store knows other instances than this one does. Two that watch
    /// may differ for a while, as they read the entries at different times.
    fn wants_members(&self, inst: &Instance, beat: &Beat) -> bool {
        let now = inst.now();
        let due = now.saturating_sub(self.counted.get()) >= micros(COUNT_PAUSE);
        let differs = || inst.members().is_some_and(|it| digest(&it) != beat.members);
        let wants = beat.watching && due && !self.must_watch(inst) && differs();
        if wants {
            self.counted.set(now);
        }
        wants
    }

    fn beat(&self, inst: &Instance) -> Option<Beat> {
        let (desired, directory) = (inst.revision(Collection::Desired)?, inst.revision(Collection::Servers)?);
        let version = inst.desired()?.version;
        let watching = self.watched.get() == (true, true);
        let from = inst.settings.name.clone();
        let members = digest(&inst.members()?);
        let tells = self.is_watcher(inst) && inst.leaving().is_none();
        tells.then_some(Beat { from, version, desired, directory, members, watching })
    }
}

/// Tells all others what is known here while this instance watches, for good.
pub async fn run(inst: Rc<Instance>) {
    loop {
        // New or not, something is told at the next beat.
        let beat = inst.bounds.get().apply.mul_f64(BEAT_SHARE);
        let _ = timeout(beat, inst.spread.tell.notified()).await;
        let (Some(beat), Some(peers)) = (inst.spread.beat(&inst), inst.peers()) else {
            continue;
        };
        // The first of each availability zone tells all, the others their own zone, so that nobody hears of many.
        let first = inst.spread.rank(&inst).0 == 0;
        for peer in peers.into_iter().filter(|it| first || it.zone == inst.settings.zone) {
            tokio::task::spawn_local(send(inst.clone(), peer, beat.clone()));
        }
        sleep(ROUND_PAUSE).await;
    }
}

async fn send(inst: Rc<Instance>, peer: Rc<Peer>, beat: Beat) {
    if !peer.is_usable(inst.now()) {
        return;
    }
    if let Some(link) = peer.link(&inst).await {
        link.tell_again(Message::Beat(beat));
    }
}

/// An instance that watches the store tells what it knows.
pub async fn heard(inst: Rc<Instance>, beat: Beat) {
    let spread = &inst.spread;
    let now = inst.now();
    if beat.watching {
        spread.heard.set(now);
    }
    let peer = inst.peer(&beat.from);
    if let Some(it) = &peer {
        it.set_watching(beat.watching, now);
    }
    let newer = |known: Option<u64>, told: u64| known.is_none_or(|it| it < told);
    let version = inst.desired().map(|it| it.version);
    let wants = [
        newer(version, beat.version).then_some(Collection::Desired),
        newer(inst.revision(Collection::Servers), beat.directory).then_some(Collection::Servers),
        inst.spread.wants_members(&inst, &beat).then_some(Collection::Instances),
    ];
    if wants.iter().all(Option::is_none) || spread.fetching.replace(true) {
        return;
    }
    if let Some(peer) = peer {
        for what in wants.into_iter().flatten() {
            fetch(&inst, &peer, what).await;
        }
    }
    inst.spread.fetching.set(false);
}

/// Learns from other instances what the store doesn't tell at the start, until this instance is ready.
pub async fn join(inst: Rc<Instance>, seeds: Vec<SocketAddrV4>) {
    let others = seeds.into_iter().filter(|it| *it != inst.settings.peer_addr);
    let peers: Vec<Peer> = others.map(|it| Peer::new(Name::from(it.to_string()), Name::new(), it)).collect();
    loop {
        sleep(JOIN_PAUSE).await;
        for peer in &peers {
            if inst.is_ready() {
                return;
            }
            for what in [Collection::Desired, Collection::Servers] {
                fetch(&inst, peer, what).await;
            }
        }
    }
}

async fn fetch(inst: &Rc<Instance>, peer: &Peer, what: Collection) {
    let begun = inst.now();
    inst.counters.one(Count::Fetches);
    let took = || (inst.now() - begun) / 1_000;
    match timeout(FETCH_LIMIT, peer.ask(inst, Ask::Fetch(what))).await {
        Ok(Told::Desired { revision, desired }) => {
            inst.adopt(*desired, revision);
        }
        Ok(Told::Directory { revision, servers }) => {
            // Meanwhile a newer one may have come.
            if inst.revision(Collection::Servers).is_none_or(|it| it < revision) {
                inst.set_directory(servers, revision);
            }
        }
        Ok(Told::Members(all)) => {
            inst.set_peers(all.into_iter().map(|it| Peer::new(it.name, it.zone, it.addr)).collect());
        }
        other => {
            inst.counters.one(Count::FetchesFailed);
            if inst.may_log() {
                let reason = match other {
                    Ok(told) => format!("{told:?}"),
                    Err(_) => "no answer in time".to_owned(),
                };
                log::info!(peer = peer.name.as_str(), collection:% = what, took_ms = took(); "not fetched: {reason}");
            }
            return;
        }
    }
    if inst.may_log() {
        log::info!(peer = peer.name.as_str(), collection:% = what, took_ms = took(); "fetched");
    }
}

/// Tells sets of instances apart.
fn digest(members: &[Member]) -> u64 {
    let mut text = String::new();
    for it in members {
        // A string takes any text.
        let _ = writeln!(text, "{} {} {}", it.name, it.zone, it.addr);
    }
    xxh3_64(text.as_bytes())
}

/// What is known of a collection here, for another instance.
pub fn tell(inst: &Instance, what: Collection) -> Told {
    let known = match what {
        Collection::Desired => inst
            .desired()
            .zip(inst.revision(what))
            .map(|(desired, revision)| Told::Desired { revision, desired: Box::new((*desired).clone()) }),
        Collection::Instances => inst.members().map(Told::Members),
        _ => inst.revision(what).map(|revision| Told::Directory { revision, servers: inst.directory() }),
    };
    match &known {
        Some(it) => inst.counters.add(Count::SpreadBytes, size(it)),
        None => log::debug!(collection:% = what; "asked for, and not known here"),
    }
    known.unwrap_or_else(|| Told::NotSent("not known here".to_owned()))
}

/// Bytes of an answer on a link.
fn size(told: &Told) -> u64 {
    postcard::experimental::serialized_size(told).map_or(0, |it| it as u64)
}
