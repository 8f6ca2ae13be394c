//! Membership and the gossip of facts under seeded schedules with a virtual clock.
//!
//! Guards against live members that are considered dead, members or facts that don't reach every instance, and message
//! costs that grow with the fleet; the schedules lose datagrams, partition the network, and pause, stop and restart
//! instances.

use {
    pondtrack_core::{
        gossip::{FANOUT, PeerSelection},
        member::{MemberConfig, Members, Output},
    },
    pondtrack_proto::{Datagram, Fact, FactKey, FactKind, MemberState, MemberView, Payload},
    rand::{RngExt, SeedableRng},
    rand_pcg::Pcg64Mcg,
    rstest::rstest,
    std::{net::SocketAddr, sync::Arc},
};

/// Milliseconds between two ticks.
const TICK: u64 = 50;

struct Fleet {
    nodes: Vec<Option<Members>>,
    /// Datagrams in flight, with delivery time and target.
    in_flight: Vec<(u64, usize, Datagram)>,
    now: u64,
    rng: Pcg64Mcg,
    loss: f64,
    /// Pairs of nodes that can't reach each other.
    partitioned: Vec<(usize, usize)>,
    sent: u64,
    bytes: u64,
}

fn addr(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (n >> 8) as u8, n as u8], 7_000))
}

fn number(addr: SocketAddr) -> usize {
    match addr {
        SocketAddr::V4(v4) => usize::from(v4.ip().octets()[2]) << 8 | usize::from(v4.ip().octets()[3]),
        SocketAddr::V6(_) => 0,
    }
}

fn node(n: usize, incarnation: u64, choice: PeerSelection) -> Members {
    let local = MemberView {
        name: format!("p{n:03}").into(),
        addr: addr(n),
        zone: format!("z{}", n % 3).into(),
        incarnation,
        state: MemberState::Alive,
    };
    let seeds = if n == 0 { Vec::new() } else { vec![addr(0)] };
    let config = MemberConfig { peer_choice: choice, ..MemberConfig::default() };
    Members::new(local, seeds, config, n as u64 + incarnation)
}

impl Fleet {
    fn new(n: usize, seed: u64, loss: f64, choice: PeerSelection) -> Fleet {
        let nodes = (0..n).map(|i| Some(node(i, 1, choice))).collect();
        let rng = Pcg64Mcg::seed_from_u64(seed);
        Fleet { nodes, in_flight: Vec::new(), now: 0, rng, loss, partitioned: Vec::new(), sent: 0, bytes: 0 }
    }

    fn send(&mut self, from: usize, out: Output) {
        for (to, datagram) in out.send {
            self.sent += 1;
            self.bytes += size(&datagram);
            let to = number(to);
            let lost = self.rng.random_bool(self.loss);
            let cut = self.partitioned.contains(&(from, to)) || self.partitioned.contains(&(to, from));
            if !lost && !cut {
                let delay = self.rng.random_range(1..20);
                self.in_flight.push((self.now + delay, to, datagram));
            }
        }
    }

    fn step(&mut self) {
        self.now += TICK;
        for n in 0..self.nodes.len() {
            if let Some(node) = &mut self.nodes[n] {
                let out = node.tick(self.now);
                self.send(n, out);
            }
        }
        while let Some(at) = self.in_flight.iter().position(|d| d.0 <= self.now) {
            let (_, to, datagram) = self.in_flight.swap_remove(at);
            if let Some(node) = &mut self.nodes[to] {
                let out = node.receive(self.now, datagram);
                self.send(to, out);
            }
        }
    }

    /// Steps until the condition holds; returns the elapsed time, or none if `limit` passes first.
    fn step_until(&mut self, limit: u64, condition: impl Fn(&Fleet) -> bool) -> Option<u64> {
        let from = self.now;
        while self.now < from + limit {
            if condition(self) {
                return Some(self.now - from);
            }
            self.step();
        }
        None
    }

    fn live(&self) -> impl Iterator<Item = &Members> {
        self.nodes.iter().flatten()
    }

    fn all_see(&self, alive: usize) -> bool {
        self.live()
            .all(|node| node.active().iter().filter(|m| m.state == MemberState::Alive).count() == alive)
    }

    fn all_hold(&self, key: &FactKey, version: u64) -> bool {
        self.live().all(|node| node.facts.version(key) == version)
    }
}

/// Approximate size of a datagram on the wire, in bytes.
fn size(datagram: &Datagram) -> u64 {
    let body = match &datagram.body {
        Payload::Facts { facts } => facts.iter().map(|fact| fact.value.len() + 40).sum(),
        Payload::Compare { digest } => digest.buckets.len() * 8,
        Payload::Versions { keys, .. } => keys.len() * 24,
        Payload::Want { keys } => keys.len() * 16,
        _ => 16,
    };
    (40 + datagram.updates.len() * 32 + body) as u64
}

fn fact(name: &str, version: u64) -> Fact {
    let key = FactKey { kind: FactKind::Group, name: name.into() };
    Fact { key, version, value: Arc::from(format!("{{\"version\":{version}}}").as_bytes()) }
}

#[rstest]
fn all_join_through_one_seed_and_detect_a_dead_member(
    #[values(1, 2, 3)] seed: u64,
    #[values(0.0, 0.1)] loss: f64,
) {
    let mut fleet = Fleet::new(16, seed, loss, PeerSelection::Uniform);
    assert!(fleet.step_until(60_000, |fleet| fleet.all_see(16)).is_some());
    fleet.nodes[7] = None;
    assert!(fleet.step_until(60_000, |fleet| fleet.all_see(15)).is_some());
    fleet.nodes[7] = Some(node(7, 2, PeerSelection::Uniform));
    assert!(
        fleet.step_until(60_000, |fleet| fleet.all_see(16)).is_some(),
        "a restart under the same name is accepted"
    );
}

#[test]
fn partition_between_two_members_makes_none_dead() {
    let mut fleet = Fleet::new(9, 4, 0.0, PeerSelection::Uniform);
    fleet.step_until(60_000, |fleet| fleet.all_see(9)).expect("joined");
    fleet.partitioned.push((1, 2));
    let before = fleet.now;
    while fleet.now < before + 60_000 {
        fleet.step();
        assert!(fleet.live().all(|n| n.others().iter().all(|m| m.state != MemberState::Dead)));
    }
}

#[test]
fn partitioned_regions_rejoin() {
    let mut fleet = Fleet::new(12, 5, 0.0, PeerSelection::Uniform);
    fleet.step_until(60_000, |fleet| fleet.all_see(12)).expect("joined");
    for a in 0..6 {
        for b in 6..12 {
            fleet.partitioned.push((a, b));
        }
    }
    assert!(fleet.step_until(120_000, |fleet| fleet.all_see(6)).is_some(), "each side continues alone");
    let out = fleet.nodes[0].as_mut().expect("up").publish(fact("parts", 7));
    fleet.send(0, out);
    fleet.partitioned.clear();
    assert!(fleet.step_until(120_000, |fleet| fleet.all_see(12)).is_some(), "both sides rejoin");
    let key = fact("parts", 7).key;
    assert!(
        fleet.step_until(30_000, |fleet| fleet.all_hold(&key, 7)).is_some(),
        "the facts of either side spread"
    );
}

#[test]
fn resumed_instance_considers_no_member_dead() {
    let mut fleet = Fleet::new(9, 6, 0.0, PeerSelection::Uniform);
    fleet.step_until(60_000, |fleet| fleet.all_see(9)).expect("joined");
    let paused = fleet.nodes[3].take();
    assert!(fleet.step_until(60_000, |fleet| fleet.all_see(8)).is_some());
    fleet.nodes[3] = paused;
    for _ in 0..200 {
        fleet.step();
        let node = fleet.nodes[3].as_ref().expect("up");
        assert!(node.others().iter().all(|m| m.state != MemberState::Dead));
    }
    assert!(
        fleet.step_until(60_000, |fleet| fleet.all_see(9)).is_some(),
        "the resumed instance refutes its own death"
    );
}

#[test]
fn leaving_instance_is_known_within_three_seconds() {
    let mut fleet = Fleet::new(16, 7, 0.0, PeerSelection::Uniform);
    fleet.step_until(60_000, |fleet| fleet.all_see(16)).expect("joined");
    let out = fleet.nodes[5].as_mut().expect("up").leave();
    fleet.send(5, out);
    let elapsed = fleet.step_until(10_000, |fleet| fleet.all_see(15)).expect("known");
    assert!(elapsed <= 3_000, "{elapsed} ms");
}

#[rstest]
fn facts_reach_all_and_never_revert(#[values(1, 2, 3)] seed: u64, #[values(0.0, 0.2)] loss: f64) {
    let mut fleet = Fleet::new(24, seed, loss, PeerSelection::Uniform);
    fleet.step_until(60_000, |fleet| fleet.all_see(24)).expect("joined");
    let key = fact("parts", 1).key;
    let mut highest = [0; 24];
    for version in [5, 6, 9] {
        let out = fleet.nodes[version as usize].as_mut().expect("up").publish(fact("parts", version));
        fleet.send(version as usize, out);
        // Publishing an old version again changes nothing.
        let out = fleet.nodes[0].as_mut().expect("up").publish(fact("parts", version - 3));
        fleet.send(0, out);
        fleet.step_until(60_000, |fleet| fleet.all_hold(&key, version)).expect("known everywhere");
        for (n, node) in fleet.live().enumerate() {
            let current = node.facts.version(&key);
            assert!(current >= highest[n]);
            highest[n] = current;
        }
    }
}

#[test]
fn instance_that_starts_during_a_platform_outage_gets_facts_from_peers() {
    let mut fleet = Fleet::new(6, 8, 0.0, PeerSelection::Uniform);
    for n in 0..40 {
        let out = fleet.nodes[1].as_mut().expect("up").publish(fact(&format!("db{n}"), n + 1));
        fleet.send(1, out);
    }
    fleet.step_until(60_000, |fleet| fleet.all_see(6)).expect("joined");
    let key = fact("db39", 40).key;
    fleet.step_until(60_000, |fleet| fleet.all_hold(&key, 40)).expect("spread");
    fleet.nodes[4] = Some(node(4, 9, PeerSelection::Uniform));
    let all = |fleet: &Fleet| fleet.live().all(|m| m.facts.facts().len() == 40);
    assert!(fleet.step_until(30_000, all).is_some());
}

#[test]
fn cost_per_instance_does_not_grow_with_the_fleet() {
    let cost = |n: usize| {
        let mut fleet = Fleet::new(n, 9, 0.0, PeerSelection::Uniform);
        fleet.step_until(200_000, |fleet| fleet.all_see(n)).expect("joined");
        for _ in 0..400 {
            fleet.step();
        }
        let (sent, bytes, from) = (fleet.sent, fleet.bytes, fleet.now);
        for _ in 0..2_000 {
            fleet.step();
        }
        let seconds = (fleet.now - from) as f64 / 1_000.0 * n as f64;
        ((fleet.sent - sent) as f64 / seconds, (fleet.bytes - bytes) as f64 / seconds)
    };
    let (small, large) = (cost(8), cost(64));
    assert!(large.0 < small.0 * 1.5, "messages a second: {small:?} and {large:?}");
    assert!(large.1 < 1_000.0, "bytes a second: {large:?}");
}

#[rstest]
#[case(PeerSelection::Uniform)]
#[case(PeerSelection::Groups)]
fn push_sends_a_bounded_number_of_messages(#[case] choice: PeerSelection) {
    let mut fleet = Fleet::new(64, 10, 0.0, choice);
    fleet.step_until(200_000, |fleet| fleet.all_see(64)).expect("joined");
    let facts =
        |fleet: &Fleet| fleet.in_flight.iter().filter(|f| matches!(f.2.body, Payload::Facts { .. })).count();
    let out = fleet.nodes[0].as_mut().expect("up").publish(fact("parts", 1));
    fleet.send(0, out);
    assert_eq!(facts(&fleet), FANOUT);
    let key = fact("parts", 1).key;
    assert!(fleet.step_until(5_000, |fleet| fleet.all_hold(&key, 1)).is_some());
}

#[test]
fn death_spreads_quickly_despite_many_other_updates() {
    let mut worst = 0;
    for seed in 0..6 {
        let mut fleet = Fleet::new(96, seed, 0.0, PeerSelection::Uniform);
        fleet.step_until(200_000, |fleet| fleet.all_see(96)).expect("joined");
        fleet.nodes[7] = None;
        worst = worst.max(fleet.step_until(60_000, |fleet| fleet.all_see(95)).expect("known"));
    }
    assert!(worst <= 8_000, "{worst} ms");
}
