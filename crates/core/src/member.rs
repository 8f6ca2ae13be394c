//! Probes, suspicion and incarnations.
//!
//! Each interval an instance probes one other, whatever the fleet's size. A missed probe is repeated
//! through others, in other availability zones where there are some; then the member is suspect and may
//! refute that with a higher incarnation before it is held for dead. Changes travel with the probes. The
//! platform's list only brings in members not known yet.

use {
    crate::{
        Time,
        gossip::{self, FactStore, PeerSelection},
        state_chart::StateChart,
    },
    pondtrack_proto::{Datagram, Fact, MemberState, MemberView, Name, Payload},
    rand::{RngExt, SeedableRng, seq::SliceRandom},
    rand_pcg::Pcg64Mcg,
    std::{net::SocketAddr, sync::LazyLock},
    strum::{Display, EnumIter, EnumString, IntoStaticStr},
};

/// Times and sizes of membership; times in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberConfig {
    /// Between two probes.
    pub probe_interval: u64,
    /// Until a direct probe counts as missed.
    pub direct_timeout: u64,
    /// Until the probes through others count as missed.
    pub indirect_timeout: u64,
    /// Others asked to probe.
    pub indirect_probes: usize,
    /// Until a suspect is held for dead.
    pub suspicion_timeout: u64,
    /// Between two looks at a member held for dead, which may only have been cut off.
    pub dead_interval: u64,
    /// Least time between two requests for the whole list of members.
    pub sync_interval: u64,
    /// How peers for a push are chosen.
    pub peer_choice: PeerSelection,
}

impl Default for MemberConfig {
    fn default() -> MemberConfig {
        MemberConfig {
            probe_interval: 1_000,
            direct_timeout: 300,
            indirect_timeout: 500,
            indirect_probes: 3,
            suspicion_timeout: 2_000,
            dead_interval: 5_000,
            sync_interval: 10_000,
            peer_choice: PeerSelection::Uniform,
        }
    }
}

/// Changes put into one datagram.
const NEWS: usize = 6;
/// Members put into one answer to a request for the list.
const LIST: usize = 20;
/// Members held for dead that are remembered.
const DEAD_KEPT: usize = 1_000;

/// What can happen to a member.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, EnumIter, EnumString, IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum MemberEvent {
    /// It missed its probes.
    Missed,
    /// It didn't refute in time.
    Expired,
    /// It answers with a higher incarnation.
    Refuted,
    /// It says that it leaves.
    Leaves,
    /// Others hold it for dead.
    #[strum(serialize = "buried")]
    DeclaredDead,
}

/// States of [`MemberState`] as the chart names them.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, EnumIter, EnumString, IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum MemberPhase {
    /// Answers probes.
    Alive,
    /// Missed its probes.
    Suspect,
    /// Takes no new work.
    Leaving,
    /// Held for dead.
    Dead,
}

static CHART: LazyLock<StateChart<MemberPhase, MemberEvent>> = LazyLock::new(|| {
    StateChart::parse(include_str!("../charts/member.toml")).expect("the chart is checked by a test")
});

/// The chart of a member's life.
pub fn chart() -> &'static StateChart<MemberPhase, MemberEvent> {
    &CHART
}

/// A change that others act upon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The member.
    pub name: Name,
    /// Its state before; none when it was unknown.
    pub before: Option<MemberState>,
    /// Its state now.
    pub after: MemberState,
}

/// What came of a tick or a datagram.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Output {
    /// Datagrams to send.
    pub send: Vec<(SocketAddr, Datagram)>,
    /// Members that changed.
    pub changes: Vec<Change>,
    /// Facts that are news here.
    pub facts: Vec<Fact>,
}

#[derive(Clone, Debug, PartialEq)]
enum Stage {
    Direct,
    Indirect,
}

#[derive(Clone, Debug)]
struct Probe {
    seq: u64,
    target: Name,
    stage: Stage,
    until: Time,
}

/// A ping passed on for another member.
#[derive(Clone, Debug)]
struct Errand {
    seq: u64,
    origin: SocketAddr,
    asked: u64,
    until: Time,
}

#[derive(Clone, Debug)]
struct News {
    view: MemberView,
    left: u32,
}

/// Membership as one instance sees it, with the facts it spreads.
#[derive(Clone, Debug)]
pub struct Members {
    /// The instance itself.
    pub local: MemberView,
    /// Its facts.
    pub facts: FactStore,
    config: MemberConfig,
    list: Vec<MemberView>,
    suspects: Vec<(Name, Time)>,
    order: Vec<Name>,
    probes: Vec<Probe>,
    errands: Vec<Errand>,
    news: Vec<News>,
    seeds: Vec<SocketAddr>,
    rng: Pcg64Mcg,
    seq: u64,
    ticked: Option<Time>,
    probed: Time,
    revived: Time,
    refreshed: Time,
    compared: Time,
}

impl Members {
    /// Begins alone; `seeds` are addresses to join through.
    pub fn new(me: MemberView, seeds: Vec<SocketAddr>, config: MemberConfig, seed: u64) -> Members {
        Members {
            local: me,
            facts: FactStore::default(),
            config,
            list: Vec::new(),
            suspects: Vec::new(),
            order: Vec::new(),
            probes: Vec::new(),
            errands: Vec::new(),
            news: Vec::new(),
            seeds,
            rng: Pcg64Mcg::seed_from_u64(seed),
            seq: 0,
            ticked: None,
            probed: 0,
            revived: 0,
            refreshed: 0,
            compared: 0,
        }
    }

    /// The other members, sorted by name, also those held for dead.
    pub fn others(&self) -> &[MemberView] {
        &self.list
    }

    /// All that take part, this instance among them, sorted by name.
    pub fn active(&self) -> Vec<MemberView> {
        let mut out: Vec<MemberView> =
            self.list.iter().filter(|it| it.state != MemberState::Dead).cloned().collect();
        let at = out.partition_point(|it| it.name < self.local.name);
        out.insert(at, self.local.clone());
        out
    }

    /// A member by name.
    pub fn get(&self, name: &str) -> Option<&MemberView> {
        if self.local.name == name {
            return Some(&self.local);
        }
        self.list.binary_search_by(|it| it.name.as_str().cmp(name)).ok().map(|at| &self.list[at])
    }

    /// Adds addresses to join through, as from the platform's list; known members are left alone.
    pub fn add_seeds(&mut self, addrs: impl IntoIterator<Item = SocketAddr>) {
        for it in addrs {
            let known = it == self.local.addr
                || self.list.iter().any(|m| m.addr == it && m.state != MemberState::Dead);
            if !known && !self.seeds.contains(&it) {
                self.seeds.push(it);
            }
        }
    }

    /// Says that this instance leaves.
    pub fn leave(&mut self) -> Output {
        self.local.incarnation += 1;
        self.local.state = MemberState::Leaving;
        let me = self.local.clone();
        self.tell(me);
        let mut out = Output::default();
        self.push_news(&mut out);
        out
    }

    /// Takes a fact that this instance learned elsewhere, and pushes it if it is news.
    pub fn publish(&mut self, fact: Fact) -> Output {
        let mut out = Output::default();
        if self.facts.accept(fact.clone()) {
            self.push(std::slice::from_ref(&fact), None, &mut out);
            out.facts.push(fact);
        }
        out
    }

    /// A connection to a member broke: it is probed next.
    pub fn probe_next(&mut self, name: &Name) {
        self.order.retain(|it| it != name);
        self.order.push(name.clone());
    }

    /// Does what is due; to be called a few times per interval.
    pub fn tick(&mut self, now: Time) -> Output {
        let mut out = Output::default();
        let gap = self.ticked.map_or(0, |it| now.saturating_sub(it));
        self.ticked = Some(now);
        if gap > self.config.probe_interval {
            self.forgive(now);
        }
        self.expire_probes(now, &mut out);
        self.expire_suspects(now, &mut out);
        self.errands.retain(|it| it.until > now);
        if !out.changes.is_empty() {
            self.push_news(&mut out);
        }
        if now >= self.probed + self.config.probe_interval {
            self.probed = now;
            self.probe(now, &mut out);
            self.join(&mut out);
        }
        if now >= self.revived + self.config.dead_interval {
            self.revived = now;
            self.revive(&mut out);
        }
        self.refresh(now, &mut out);
        out
    }

    /// Takes a datagram.
    pub fn receive(&mut self, now: Time, gram: Datagram) -> Output {
        let mut out = Output::default();
        let Datagram { from, facts, updates: news, body } = gram;
        if from.name == self.local.name {
            return out;
        }
        let addr = from.addr;
        let sender = from.name.clone();
        self.merge(now, from, &mut out);
        for it in news {
            self.merge(now, it, &mut out);
        }
        self.seeds.retain(|it| *it != addr);
        if out.changes.iter().any(|it| matches!(it.after, MemberState::Leaving | MemberState::Dead)) {
            // Groups are waiting to move: such news don't wait for the next probe.
            self.push_news(&mut out);
        }
        let probe = matches!(body, Payload::Ping { .. } | Payload::Ack { .. });
        match body {
            Payload::Ping { seq } => {
                let about = self.local.name.clone();
                self.send(addr, Payload::Ack { seq, about }, &mut out);
            }
            Payload::Ack { seq, about } => self.acked(seq, about, &mut out),
            Payload::PingReq { seq, addr: to, .. } => {
                self.seq += 1;
                let until = now + self.config.direct_timeout + self.config.indirect_timeout;
                self.errands.push(Errand { seq: self.seq, origin: addr, asked: seq, until });
                self.send(to, Payload::Ping { seq: self.seq }, &mut out);
            }
            Payload::Join => self.list_members(addr, &mut out),
            Payload::Members => {}
            Payload::Facts { facts } => self.take_facts(facts, &sender, &mut out),
            Payload::Compare { digest } => {
                if let Some(it) = self.facts.compare(&digest) {
                    self.send(addr, it, &mut out);
                }
            }
            Payload::Versions { keys, buckets } => {
                for it in self.facts.diff(&keys, &buckets) {
                    self.send(addr, it, &mut out);
                }
            }
            Payload::Want { keys } => {
                for it in self.facts.fetch(&keys) {
                    self.send(addr, it, &mut out);
                }
            }
        }
        // One comparison an interval is enough to repair; more would let a large difference flood.
        if probe && facts != self.facts.hash() && now >= self.compared + self.config.probe_interval / 2 {
            self.compared = now;
            let digest = self.facts.digest();
            self.send(addr, Payload::Compare { digest }, &mut out);
        }
        out
    }

    /// Evidence gathered before a pause of this instance itself says nothing about others.
    fn forgive(&mut self, now: Time) {
        self.probes.clear();
        self.errands.clear();
        for it in &mut self.suspects {
            it.1 = now + self.config.suspicion_timeout;
        }
    }

    fn probe(&mut self, now: Time, out: &mut Output) {
        let Some(target) = self.next_target() else { return };
        let Some(addr) = self.get(&target).map(|it| it.addr) else { return };
        self.seq += 1;
        let until = now + self.config.direct_timeout;
        self.probes.push(Probe { seq: self.seq, target, stage: Stage::Direct, until });
        self.send(addr, Payload::Ping { seq: self.seq }, out);
    }

    /// Walks through all members in a random order, then through a new one.
    fn next_target(&mut self) -> Option<Name> {
        loop {
            if self.order.is_empty() {
                let open = self.list.iter().filter(|it| it.state != MemberState::Dead);
                self.order = open.map(|it| it.name.clone()).collect();
                self.order.shuffle(&mut self.rng);
            }
            let it = self.order.pop()?;
            match self.get(&it).map(|it| it.state) {
                Some(MemberState::Dead) | None => {}
                Some(_) => return Some(it),
            }
        }
    }

    fn expire_probes(&mut self, now: Time, out: &mut Output) {
        let (due, open) =
            std::mem::take(&mut self.probes).into_iter().partition(|it: &Probe| it.until <= now);
        self.probes = open;
        for it in due {
            match it.stage {
                Stage::Direct => self.ask_helpers(now, it, out),
                Stage::Indirect => self.event(now, &it.target, MemberEvent::Missed, out),
            }
        }
    }

    fn ask_helpers(&mut self, now: Time, probe: Probe, out: &mut Output) {
        let Some(it) = self.get(&probe.target) else { return };
        let (addr, zone) = (it.addr, it.zone.clone());
        let mut helpers: Vec<(bool, u64, SocketAddr)> = Vec::new();
        for m in &self.list {
            if m.state == MemberState::Alive && m.name != probe.target {
                helpers.push((m.zone == zone, self.rng.random(), m.addr));
            }
        }
        // Other zones first: a cut inside the target's zone should not condemn it.
        helpers.sort_unstable();
        for (_, _, to) in helpers.into_iter().take(self.config.indirect_probes) {
            let (seq, target) = (probe.seq, probe.target.clone());
            self.send(to, Payload::PingReq { seq, target, addr }, out);
        }
        self.send(addr, Payload::Ping { seq: probe.seq }, out);
        self.probes.push(Probe {
            stage: Stage::Indirect,
            until: now + self.config.indirect_timeout,
            ..probe
        });
    }

    fn acked(&mut self, seq: u64, about: Name, out: &mut Output) {
        self.probes.retain(|it| it.seq != seq);
        if let Some(at) = self.errands.iter().position(|it| it.seq == seq) {
            let it = self.errands.swap_remove(at);
            self.send(it.origin, Payload::Ack { seq: it.asked, about }, out);
        }
    }

    fn expire_suspects(&mut self, now: Time, out: &mut Output) {
        let due: Vec<Name> = self.suspects.iter().filter(|it| it.1 <= now).map(|it| it.0.clone()).collect();
        for it in due {
            self.event(now, &it, MemberEvent::Expired, out);
        }
    }

    fn join(&mut self, out: &mut Output) {
        for it in self.seeds.clone() {
            self.send(it, Payload::Join, out);
        }
    }

    /// Looks at one member held for dead: after a cut between regions both sides hold each other so.
    fn revive(&mut self, out: &mut Output) {
        let dead: Vec<SocketAddr> =
            self.list.iter().filter(|it| it.state == MemberState::Dead).map(|it| it.addr).collect();
        if dead.is_empty() {
            return;
        }
        let at = self.rng.random_range(0..dead.len());
        self.seq += 1;
        self.send(dead[at], Payload::Ping { seq: self.seq }, out);
    }

    /// Asks one member for the whole list, the less often the larger the fleet.
    fn refresh(&mut self, now: Time, out: &mut Output) {
        let period = self.config.sync_interval.max(self.list.len() as u64 * 100);
        if now < self.refreshed + period {
            return;
        }
        self.refreshed = now;
        let alive: Vec<SocketAddr> =
            self.list.iter().filter(|it| it.state == MemberState::Alive).map(|it| it.addr).collect();
        if !alive.is_empty() {
            let at = self.rng.random_range(0..alive.len());
            self.send(alive[at], Payload::Join, out);
        }
    }

    fn list_members(&mut self, to: SocketAddr, out: &mut Output) {
        let all: Vec<MemberView> = self.list.clone();
        for part in all.chunks(LIST) {
            let gram = self.datagram(part.to_vec(), Payload::Members);
            out.send.push((to, gram));
        }
        if all.is_empty() {
            self.send(to, Payload::Members, out);
        }
    }

    /// Merges what is told of a member: a higher incarnation wins, then the worse state.
    fn merge(&mut self, now: Time, view: MemberView, out: &mut Output) {
        if view.name == self.local.name {
            self.defend(&view, out);
            return;
        }
        let at = match self.list.binary_search_by(|it| it.name.cmp(&view.name)) {
            Err(at) => {
                if view.state == MemberState::Dead && self.list.len() >= DEAD_KEPT {
                    return;
                }
                self.list.insert(at, view.clone());
                self.tell(view.clone());
                let (name, after) = (view.name, view.state);
                if after == MemberState::Suspect {
                    self.suspects.push((name.clone(), now + self.config.suspicion_timeout));
                }
                out.changes.push(Change { name, before: None, after });
                return;
            }
            Ok(at) => at,
        };
        let old = &self.list[at];
        let newer = (view.incarnation, view.state) > (old.incarnation, old.state);
        if !newer {
            // Whoever is held for suspect or dead and doesn't know it has to hear of it, to refute it.
            return;
        }
        let event = match view.state {
            MemberState::Alive => MemberEvent::Refuted,
            MemberState::Suspect => MemberEvent::Missed,
            MemberState::Leaving => MemberEvent::Leaves,
            MemberState::Dead => MemberEvent::DeclaredDead,
        };
        let name = view.name.clone();
        let it = &mut self.list[at];
        it.incarnation = view.incarnation;
        it.addr = view.addr;
        it.zone = view.zone;
        self.event(now, &name, event, out);
    }

    /// Moves a member along the chart.
    fn event(&mut self, now: Time, name: &Name, event: MemberEvent, out: &mut Output) {
        let Ok(at) = self.list.binary_search_by(|it| it.name.cmp(name)) else { return };
        let before = self.list[at].state;
        let Ok(next) = CHART.next(life(before), event) else { return };
        let after = state(next);
        self.list[at].state = after;
        self.suspects.retain(|it| it.0 != *name);
        if after == MemberState::Suspect {
            self.suspects.push((name.clone(), now + self.config.suspicion_timeout));
        }
        let view = self.list[at].clone();
        self.tell(view);
        if before != after {
            out.changes.push(Change { name: name.clone(), before: Some(before), after });
        }
    }

    /// Refutes what others hold of this instance.
    fn defend(&mut self, view: &MemberView, out: &mut Output) {
        let wrong = view.incarnation >= self.local.incarnation && view.state > self.local.state;
        let stale = view.incarnation > self.local.incarnation;
        if !wrong && !stale {
            return;
        }
        self.local.incarnation = view.incarnation + 1;
        let me = self.local.clone();
        self.tell(me);
        self.push_news(out);
    }

    /// Passes a change on with the next datagrams, the more often the larger the fleet.
    fn tell(&mut self, view: MemberView) {
        let left = 3 * ((self.list.len() + 2) as f64).log2().ceil() as u32;
        self.news.retain(|it| it.view.name != view.name);
        self.news.insert(0, News { view, left });
    }

    fn take_news(&mut self, to: SocketAddr) -> Vec<MemberView> {
        let mut out = Vec::new();
        // A member that is held for suspect or dead is told so whenever it is spoken to.
        let own = self.list.iter().find(|it| it.addr == to && it.state != MemberState::Alive);
        out.extend(own.cloned());
        // What was told least goes first: a death must not queue behind the news of a hundred joins.
        self.news.sort_by_key(|it| std::cmp::Reverse(it.left));
        for it in self.news.iter_mut().take(NEWS) {
            it.left -= 1;
            out.push(it.view.clone());
        }
        self.news.retain(|it| it.left > 0);
        out
    }

    fn take_facts(&mut self, facts: Vec<Fact>, from: &Name, out: &mut Output) {
        let news: Vec<Fact> = facts.into_iter().filter(|it| self.facts.accept(it.clone())).collect();
        if !news.is_empty() {
            self.push(&news, Some(from), out);
            out.facts.extend(news);
        }
    }

    /// Pushes news to a few peers.
    fn push(&mut self, facts: &[Fact], except: Option<&Name>, out: &mut Output) {
        let open: Vec<&MemberView> =
            self.list.iter().filter(|it| it.state != MemberState::Dead && Some(&it.name) != except).collect();
        let chosen = gossip::select_peers(self.config.peer_choice, &self.local.name, &open, &mut self.rng);
        let to: Vec<SocketAddr> = chosen.into_iter().map(|it| it.addr).collect();
        for payload in gossip::pack(facts.to_vec()) {
            for addr in &to {
                self.send(*addr, payload.clone(), out);
            }
        }
    }

    /// Sends the news to a few peers at once, rather than with the next probe.
    fn push_news(&mut self, out: &mut Output) {
        let open: Vec<&MemberView> = self.list.iter().filter(|it| it.state != MemberState::Dead).collect();
        let chosen = gossip::select_peers(self.config.peer_choice, &self.local.name, &open, &mut self.rng);
        let to: Vec<SocketAddr> = chosen.into_iter().map(|it| it.addr).collect();
        for addr in to {
            self.send(addr, Payload::Members, out);
        }
    }

    fn send(&mut self, to: SocketAddr, body: Payload, out: &mut Output) {
        let news = self.take_news(to);
        let gram = self.datagram(news, body);
        out.send.push((to, gram));
    }

    fn datagram(&self, news: Vec<MemberView>, body: Payload) -> Datagram {
        Datagram { from: self.local.clone(), facts: self.facts.hash(), updates: news, body }
    }
}

fn life(it: MemberState) -> MemberPhase {
    match it {
        MemberState::Alive => MemberPhase::Alive,
        MemberState::Suspect => MemberPhase::Suspect,
        MemberState::Leaving => MemberPhase::Leaving,
        MemberState::Dead => MemberPhase::Dead,
    }
}

fn state(it: MemberPhase) -> MemberState {
    match it {
        MemberPhase::Alive => MemberState::Alive,
        MemberPhase::Suspect => MemberState::Suspect,
        MemberPhase::Leaving => MemberState::Leaving,
        MemberPhase::Dead => MemberState::Dead,
    }
}
