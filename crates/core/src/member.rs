//! Gossip membership with SWIM: probes, suspicion and incarnations.
//!
//! In each interval an instance probes one other instance, regardless of the fleet's size. After a missed probe, other
//! members probe the target, preferably from other availability zones. If these probes fail too, the member is
//! suspected, and may refute the suspicion with a higher incarnation before it is considered dead. Updates are
//! piggybacked on the probes. The platform's list is only used to find members that aren't known yet.

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

/// Membership settings; times are in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberConfig {
    /// Time between two probes.
    pub probe_interval: u64,
    /// Timeout of a direct probe.
    pub direct_timeout: u64,
    /// Timeout of the indirect probes.
    pub indirect_timeout: u64,
    /// Number of members asked to probe a target indirectly.
    pub indirect_probes: usize,
    /// Time after which a suspect is considered dead.
    pub suspicion_timeout: u64,
    /// Time between two probes of dead members, which may only have been partitioned.
    pub dead_interval: u64,
    /// Minimum time between two requests for the full member list.
    pub sync_interval: u64,
    /// Selection of the peers for a push.
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

/// Maximum number of piggybacked updates in one datagram.
const MAX_UPDATES: usize = 6;
/// Number of members in one datagram of the member list.
const LIST_CHUNK: usize = 20;
/// Number of known members from which on an unknown member that is reported dead isn't added.
const DEAD_LIMIT: usize = 1_000;

/// Events of a member.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, EnumIter, EnumString, IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum MemberEvent {
    /// The member missed its probes.
    Missed,
    /// The suspicion wasn't refuted in time.
    Expired,
    /// The member responded with a higher incarnation.
    Refuted,
    /// The member announced that it is leaving.
    Leaves,
    /// Other members consider the member dead.
    #[strum(serialize = "buried")]
    DeclaredDead,
}

/// Mirror of [`MemberState`] with the names used in the chart.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, EnumIter, EnumString, IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum MemberPhase {
    /// Answers probes.
    Alive,
    /// Missed its probes.
    Suspect,
    /// Accepts no new work.
    Leaving,
    /// Considered dead.
    Dead,
}

static CHART: LazyLock<StateChart<MemberPhase, MemberEvent>> = LazyLock::new(|| {
    StateChart::parse(include_str!("../charts/member.toml")).expect("a test parses the chart")
});

/// Returns the state chart of a member.
pub fn chart() -> &'static StateChart<MemberPhase, MemberEvent> {
    &CHART
}

/// State change of a member, for the caller to act upon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The member.
    pub name: Name,
    /// The previous state; none if the member was unknown.
    pub before: Option<MemberState>,
    /// The new state.
    pub after: MemberState,
}

/// Result of a tick, a datagram or a local change.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Output {
    /// Datagrams to send.
    pub send: Vec<(SocketAddr, Datagram)>,
    /// State changes of members.
    pub changes: Vec<Change>,
    /// Facts that are newer than those known here.
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
    deadline: Time,
}

/// A ping sent on behalf of another member.
#[derive(Clone, Debug)]
struct RelayedPing {
    seq: u64,
    origin: SocketAddr,
    origin_seq: u64,
    deadline: Time,
}

#[derive(Clone, Debug)]
/// A member's state to be piggybacked on the next `remaining` datagrams.
struct Update {
    view: MemberView,
    remaining: u32,
}

/// Membership as seen by one instance, with the facts that the instance spreads.
#[derive(Clone, Debug)]
pub struct Members {
    /// The local instance.
    pub local: MemberView,
    /// The facts known to the instance.
    pub facts: FactStore,
    config: MemberConfig,
    list: Vec<MemberView>,
    /// Suspects and the ends of their suspicion periods.
    suspects: Vec<(Name, Time)>,
    /// Members still to be probed in this round, the next one last.
    probe_order: Vec<Name>,
    probes: Vec<Probe>,
    relayed: Vec<RelayedPing>,
    updates: Vec<Update>,
    seeds: Vec<SocketAddr>,
    rng: Pcg64Mcg,
    seq: u64,
    last_tick: Option<Time>,
    last_probe: Time,
    last_dead_probe: Time,
    last_sync: Time,
    last_compare: Time,
}

impl Members {
    /// Creates the membership of an instance that knows no other member; `seeds` are addresses to join through.
    pub fn new(local: MemberView, seeds: Vec<SocketAddr>, config: MemberConfig, seed: u64) -> Members {
        Members {
            local,
            facts: FactStore::default(),
            config,
            list: Vec::new(),
            suspects: Vec::new(),
            probe_order: Vec::new(),
            probes: Vec::new(),
            relayed: Vec::new(),
            updates: Vec::new(),
            seeds,
            rng: Pcg64Mcg::seed_from_u64(seed),
            seq: 0,
            last_tick: None,
            last_probe: 0,
            last_dead_probe: 0,
            last_sync: 0,
            last_compare: 0,
        }
    }

    /// Returns the other members, sorted by name, including those considered dead.
    pub fn others(&self) -> &[MemberView] {
        &self.list
    }

    /// Returns all members that aren't considered dead, including this instance, sorted by name.
    pub fn active(&self) -> Vec<MemberView> {
        let mut out: Vec<MemberView> =
            self.list.iter().filter(|m| m.state != MemberState::Dead).cloned().collect();
        let at = out.partition_point(|m| m.name < self.local.name);
        out.insert(at, self.local.clone());
        out
    }

    /// Returns a member by name.
    pub fn get(&self, name: &str) -> Option<&MemberView> {
        if self.local.name == name {
            return Some(&self.local);
        }
        self.list.binary_search_by(|m| m.name.as_str().cmp(name)).ok().map(|at| &self.list[at])
    }

    /// Adds addresses to join through, such as those of the platform's list; ignores the addresses of known members.
    pub fn add_seeds(&mut self, addrs: impl IntoIterator<Item = SocketAddr>) {
        for addr in addrs {
            let known = addr == self.local.addr
                || self.list.iter().any(|m| m.addr == addr && m.state != MemberState::Dead);
            if !known && !self.seeds.contains(&addr) {
                self.seeds.push(addr);
            }
        }
    }

    /// Announces that this instance is leaving.
    pub fn leave(&mut self) -> Output {
        self.local.incarnation += 1;
        self.local.state = MemberState::Leaving;
        let local = self.local.clone();
        self.queue_update(local);
        let mut out = Output::default();
        self.push_updates(&mut out);
        out
    }

    /// Stores a fact from another source than gossip, and pushes the fact to peers if it is newer than the known one.
    pub fn publish(&mut self, fact: Fact) -> Output {
        let mut out = Output::default();
        if self.facts.accept(fact.clone()) {
            self.push_facts(std::slice::from_ref(&fact), None, &mut out);
            out.facts.push(fact);
        }
        out
    }

    /// Makes a member the next to be probed, for example after a connection to the member broke.
    pub fn probe_next(&mut self, name: &Name) {
        self.probe_order.retain(|n| n != name);
        self.probe_order.push(name.clone());
    }

    /// Runs the work that is due; must be called a few times per probe interval.
    pub fn tick(&mut self, now: Time) -> Output {
        let mut out = Output::default();
        let gap = self.last_tick.map_or(0, |at| now.saturating_sub(at));
        self.last_tick = Some(now);
        if gap > self.config.probe_interval {
            self.reset_timers(now);
        }
        self.expire_probes(now, &mut out);
        self.expire_suspects(now, &mut out);
        self.relayed.retain(|ping| ping.deadline > now);
        if !out.changes.is_empty() {
            self.push_updates(&mut out);
        }
        if now >= self.last_probe + self.config.probe_interval {
            self.last_probe = now;
            self.send_probe(now, &mut out);
            self.send_joins(&mut out);
        }
        if now >= self.last_dead_probe + self.config.dead_interval {
            self.last_dead_probe = now;
            self.probe_dead(&mut out);
        }
        self.request_members(now, &mut out);
        out
    }

    /// Handles a datagram.
    pub fn receive(&mut self, now: Time, datagram: Datagram) -> Output {
        let mut out = Output::default();
        let Datagram { from, facts, updates: news, body } = datagram;
        if from.name == self.local.name {
            return out;
        }
        let addr = from.addr;
        let sender = from.name.clone();
        self.merge(now, from, &mut out);
        for view in news {
            self.merge(now, view, &mut out);
        }
        self.seeds.retain(|seed| *seed != addr);
        if out.changes.iter().any(|change| matches!(change.after, MemberState::Leaving | MemberState::Dead)) {
            // Groups must move to other homes, so such changes are sent immediately, not with the next probe.
            self.push_updates(&mut out);
        }
        let probe = matches!(body, Payload::Ping { .. } | Payload::Ack { .. });
        match body {
            Payload::Ping { seq } => {
                let about = self.local.name.clone();
                self.send(addr, Payload::Ack { seq, about }, &mut out);
            }
            Payload::Ack { seq, about } => self.on_ack(seq, about, &mut out),
            Payload::PingReq { seq, addr: to, .. } => {
                self.seq += 1;
                let deadline = now + self.config.direct_timeout + self.config.indirect_timeout;
                self.relayed.push(RelayedPing { seq: self.seq, origin: addr, origin_seq: seq, deadline });
                self.send(to, Payload::Ping { seq: self.seq }, &mut out);
            }
            Payload::Join => self.send_members(addr, &mut out),
            Payload::Members => {}
            Payload::Facts { facts } => self.merge_facts(facts, &sender, &mut out),
            Payload::Compare { digest } => {
                if let Some(payload) = self.facts.compare(&digest) {
                    self.send(addr, payload, &mut out);
                }
            }
            Payload::Versions { keys, buckets } => {
                for payload in self.facts.diff(&keys, &buckets) {
                    self.send(addr, payload, &mut out);
                }
            }
            Payload::Want { keys } => {
                for payload in self.facts.fetch(&keys) {
                    self.send(addr, payload, &mut out);
                }
            }
        }
        // One comparison per half interval is enough for repair; with more, a large difference would flood the network.
        if probe && facts != self.facts.hash() && now >= self.last_compare + self.config.probe_interval / 2 {
            self.last_compare = now;
            let digest = self.facts.digest();
            self.send(addr, Payload::Compare { digest }, &mut out);
        }
        out
    }

    /// Discards open probes and restarts suspicion periods after a pause of this instance, because evidence from before
    /// the pause says nothing about other members.
    fn reset_timers(&mut self, now: Time) {
        self.probes.clear();
        self.relayed.clear();
        for suspect in &mut self.suspects {
            suspect.1 = now + self.config.suspicion_timeout;
        }
    }

    fn send_probe(&mut self, now: Time, out: &mut Output) {
        let Some(target) = self.next_target() else { return };
        let Some(addr) = self.get(&target).map(|m| m.addr) else { return };
        self.seq += 1;
        let deadline = now + self.config.direct_timeout;
        self.probes.push(Probe { seq: self.seq, target, stage: Stage::Direct, deadline });
        self.send(addr, Payload::Ping { seq: self.seq }, out);
    }

    /// Returns the next member to probe: all members in a random order that is shuffled again for each round.
    fn next_target(&mut self) -> Option<Name> {
        loop {
            if self.probe_order.is_empty() {
                let open = self.list.iter().filter(|m| m.state != MemberState::Dead);
                self.probe_order = open.map(|m| m.name.clone()).collect();
                self.probe_order.shuffle(&mut self.rng);
            }
            let name = self.probe_order.pop()?;
            match self.get(&name).map(|m| m.state) {
                Some(MemberState::Dead) | None => {}
                Some(_) => return Some(name),
            }
        }
    }

    fn expire_probes(&mut self, now: Time, out: &mut Output) {
        let (due, open) =
            std::mem::take(&mut self.probes).into_iter().partition(|probe: &Probe| probe.deadline <= now);
        self.probes = open;
        for probe in due {
            match probe.stage {
                Stage::Direct => self.probe_indirectly(now, probe, out),
                Stage::Indirect => self.apply_event(now, &probe.target, MemberEvent::Missed, out),
            }
        }
    }

    fn probe_indirectly(&mut self, now: Time, probe: Probe, out: &mut Output) {
        let Some(member) = self.get(&probe.target) else { return };
        let (addr, zone) = (member.addr, member.zone.clone());
        let mut helpers: Vec<(bool, u64, SocketAddr)> = Vec::new();
        for m in &self.list {
            if m.state == MemberState::Alive && m.name != probe.target {
                helpers.push((m.zone == zone, self.rng.random(), m.addr));
            }
        }
        // Members of other zones first, so that a partition within the target's zone doesn't make it suspect.
        helpers.sort_unstable();
        for (_, _, to) in helpers.into_iter().take(self.config.indirect_probes) {
            let (seq, target) = (probe.seq, probe.target.clone());
            self.send(to, Payload::PingReq { seq, target, addr }, out);
        }
        self.send(addr, Payload::Ping { seq: probe.seq }, out);
        self.probes.push(Probe {
            stage: Stage::Indirect,
            deadline: now + self.config.indirect_timeout,
            ..probe
        });
    }

    fn on_ack(&mut self, seq: u64, about: Name, out: &mut Output) {
        self.probes.retain(|probe| probe.seq != seq);
        if let Some(at) = self.relayed.iter().position(|ping| ping.seq == seq) {
            let ping = self.relayed.swap_remove(at);
            self.send(ping.origin, Payload::Ack { seq: ping.origin_seq, about }, out);
        }
    }

    fn expire_suspects(&mut self, now: Time, out: &mut Output) {
        let due: Vec<Name> = self.suspects.iter().filter(|s| s.1 <= now).map(|s| s.0.clone()).collect();
        for name in due {
            self.apply_event(now, &name, MemberEvent::Expired, out);
        }
    }

    fn send_joins(&mut self, out: &mut Output) {
        for seed in self.seeds.clone() {
            self.send(seed, Payload::Join, out);
        }
    }

    /// Probes one dead member, because after a partition between regions each side considers the other dead.
    fn probe_dead(&mut self, out: &mut Output) {
        let dead: Vec<SocketAddr> =
            self.list.iter().filter(|m| m.state == MemberState::Dead).map(|m| m.addr).collect();
        if dead.is_empty() {
            return;
        }
        let at = self.rng.random_range(0..dead.len());
        self.seq += 1;
        self.send(dead[at], Payload::Ping { seq: self.seq }, out);
    }

    /// Requests the full member list from one member; the period grows with the fleet.
    fn request_members(&mut self, now: Time, out: &mut Output) {
        let period = self.config.sync_interval.max(self.list.len() as u64 * 100);
        if now < self.last_sync + period {
            return;
        }
        self.last_sync = now;
        let alive: Vec<SocketAddr> =
            self.list.iter().filter(|m| m.state == MemberState::Alive).map(|m| m.addr).collect();
        if !alive.is_empty() {
            let at = self.rng.random_range(0..alive.len());
            self.send(alive[at], Payload::Join, out);
        }
    }

    fn send_members(&mut self, to: SocketAddr, out: &mut Output) {
        let all: Vec<MemberView> = self.list.clone();
        for part in all.chunks(LIST_CHUNK) {
            let datagram = self.datagram(part.to_vec(), Payload::Members);
            out.send.push((to, datagram));
        }
        if all.is_empty() {
            self.send(to, Payload::Members, out);
        }
    }

    /// Merges a reported state of a member: the higher incarnation wins, then the worse state.
    fn merge(&mut self, now: Time, view: MemberView, out: &mut Output) {
        if view.name == self.local.name {
            self.refute(&view, out);
            return;
        }
        let at = match self.list.binary_search_by(|m| m.name.cmp(&view.name)) {
            Err(at) => {
                if view.state == MemberState::Dead && self.list.len() >= DEAD_LIMIT {
                    return;
                }
                self.list.insert(at, view.clone());
                self.queue_update(view.clone());
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
            // A suspected or dead member that still sends its old state is notified by `take_updates` and can refute
            // it.
            return;
        }
        let event = match view.state {
            MemberState::Alive => MemberEvent::Refuted,
            MemberState::Suspect => MemberEvent::Missed,
            MemberState::Leaving => MemberEvent::Leaves,
            MemberState::Dead => MemberEvent::DeclaredDead,
        };
        let name = view.name.clone();
        let member = &mut self.list[at];
        member.incarnation = view.incarnation;
        member.addr = view.addr;
        member.zone = view.zone;
        self.apply_event(now, &name, event, out);
    }

    /// Applies an event to a member's state.
    fn apply_event(&mut self, now: Time, name: &Name, event: MemberEvent, out: &mut Output) {
        let Ok(at) = self.list.binary_search_by(|m| m.name.cmp(name)) else { return };
        let before = self.list[at].state;
        let Ok(next) = CHART.next(phase(before), event) else { return };
        let after = state(next);
        self.list[at].state = after;
        self.suspects.retain(|s| s.0 != *name);
        if after == MemberState::Suspect {
            self.suspects.push((name.clone(), now + self.config.suspicion_timeout));
        }
        let view = self.list[at].clone();
        self.queue_update(view);
        if before != after {
            out.changes.push(Change { name: name.clone(), before: Some(before), after });
        }
    }

    /// Refutes a wrong or stale state of this instance with a higher incarnation.
    fn refute(&mut self, view: &MemberView, out: &mut Output) {
        let wrong = view.incarnation >= self.local.incarnation && view.state > self.local.state;
        let stale = view.incarnation > self.local.incarnation;
        if !wrong && !stale {
            return;
        }
        self.local.incarnation = view.incarnation + 1;
        let local = self.local.clone();
        self.queue_update(local);
        self.push_updates(out);
    }

    /// Queues an update to be piggybacked on the next datagrams; their number grows with the fleet.
    fn queue_update(&mut self, view: MemberView) {
        let remaining = 3 * ((self.list.len() + 2) as f64).log2().ceil() as u32;
        self.updates.retain(|update| update.view.name != view.name);
        self.updates.insert(0, Update { view, remaining });
    }

    fn take_updates(&mut self, to: SocketAddr) -> Vec<MemberView> {
        let mut out = Vec::new();
        // Every datagram to a member that isn't considered alive contains its state, so that the member can refute it.
        let own = self.list.iter().find(|m| m.addr == to && m.state != MemberState::Alive);
        out.extend(own.cloned());
        // The updates sent least often go first: a death must not queue behind a hundred joins.
        self.updates.sort_by_key(|update| std::cmp::Reverse(update.remaining));
        for update in self.updates.iter_mut().take(MAX_UPDATES) {
            update.remaining -= 1;
            out.push(update.view.clone());
        }
        self.updates.retain(|update| update.remaining > 0);
        out
    }

    fn merge_facts(&mut self, facts: Vec<Fact>, from: &Name, out: &mut Output) {
        let newer: Vec<Fact> = facts.into_iter().filter(|fact| self.facts.accept(fact.clone())).collect();
        if !newer.is_empty() {
            self.push_facts(&newer, Some(from), out);
            out.facts.extend(newer);
        }
    }

    /// Pushes facts to a few peers.
    fn push_facts(&mut self, facts: &[Fact], except: Option<&Name>, out: &mut Output) {
        let open: Vec<&MemberView> =
            self.list.iter().filter(|m| m.state != MemberState::Dead && Some(&m.name) != except).collect();
        let chosen = gossip::select_peers(self.config.peer_choice, &self.local.name, &open, &mut self.rng);
        let to: Vec<SocketAddr> = chosen.into_iter().map(|m| m.addr).collect();
        for payload in gossip::pack(facts.to_vec()) {
            for addr in &to {
                self.send(*addr, payload.clone(), out);
            }
        }
    }

    /// Sends queued updates to a few peers immediately, without waiting for the next probe.
    fn push_updates(&mut self, out: &mut Output) {
        let open: Vec<&MemberView> = self.list.iter().filter(|m| m.state != MemberState::Dead).collect();
        let chosen = gossip::select_peers(self.config.peer_choice, &self.local.name, &open, &mut self.rng);
        let to: Vec<SocketAddr> = chosen.into_iter().map(|m| m.addr).collect();
        for addr in to {
            self.send(addr, Payload::Members, out);
        }
    }

    fn send(&mut self, to: SocketAddr, body: Payload, out: &mut Output) {
        let updates = self.take_updates(to);
        let datagram = self.datagram(updates, body);
        out.send.push((to, datagram));
    }

    fn datagram(&self, news: Vec<MemberView>, body: Payload) -> Datagram {
        Datagram { from: self.local.clone(), facts: self.facts.hash(), updates: news, body }
    }
}

fn phase(state: MemberState) -> MemberPhase {
    match state {
        MemberState::Alive => MemberPhase::Alive,
        MemberState::Suspect => MemberPhase::Suspect,
        MemberState::Leaving => MemberPhase::Leaving,
        MemberState::Dead => MemberPhase::Dead,
    }
}

fn state(phase: MemberPhase) -> MemberState {
    match phase {
        MemberPhase::Alive => MemberState::Alive,
        MemberPhase::Suspect => MemberState::Suspect,
        MemberPhase::Leaving => MemberState::Leaving,
        MemberPhase::Dead => MemberState::Dead,
    }
}
