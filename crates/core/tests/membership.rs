//! Membership and the spread of facts under seeded schedules with a virtual clock.

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
    flight: Vec<(u64, usize, Datagram)>,
    now: u64,
    rng: Pcg64Mcg,
    loss: f64,
    cut: Vec<(usize, usize)>,
    sent: u64,
    bytes: u64,
}

fn addr(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (n >> 8) as u8, n as u8], 7_000))
}

fn number(addr: SocketAddr) -> usize {
    match addr {
        SocketAddr::V4(it) => usize::from(it.ip().octets()[2]) << 8 | usize::from(it.ip().octets()[3]),
        SocketAddr::V6(_) => 0,
    }
}

fn node(n: usize, incarnation: u64, choice: PeerSelection) -> Members {
    let me = MemberView {
        name: format!("p{n:03}").into(),
        addr: addr(n),
        zone: format!("z{}", n % 3).into(),
        incarnation,
        state: MemberState::Alive,
    };
    let seeds = if n == 0 { Vec::new() } else { vec![addr(0)] };
    let config = MemberConfig { peer_choice: choice, ..MemberConfig::default() };
    Members::new(me, seeds, config, n as u64 + incarnation)
}

impl Fleet {
    fn new(n: usize, seed: u64, loss: f64, choice: PeerSelection) -> Fleet {
        let nodes = (0..n).map(|it| Some(node(it, 1, choice))).collect();
        let rng = Pcg64Mcg::seed_from_u64(seed);
        Fleet { nodes, flight: Vec::new(), now: 0, rng, loss, cut: Vec::new(), sent: 0, bytes: 0 }
    }

    fn send(&mut self, from: usize, out: Output) {
        for (to, gram) in out.send {
            self.sent += 1;
            self.bytes += size(&gram);
            let to = number(to);
            let lost = self.rng.random_bool(self.loss);
            let cut = self.cut.contains(&(from, to)) || self.cut.contains(&(to, from));
            if !lost && !cut {
                let delay = self.rng.random_range(1..20);
                self.flight.push((self.now + delay, to, gram));
            }
        }
    }

    fn step(&mut self) {
        self.now += TICK;
        for n in 0..self.nodes.len() {
            if let Some(it) = &mut self.nodes[n] {
                let out = it.tick(self.now);
                self.send(n, out);
            }
        }
        while let Some(at) = self.flight.iter().position(|it| it.0 <= self.now) {
            let (_, to, gram) = self.flight.swap_remove(at);
            if let Some(it) = &mut self.nodes[to] {
                let out = it.receive(self.now, gram);
                self.send(to, out);
            }
        }
    }

    /// Steps until something is so; hands back the time it took.
    fn until(&mut self, limit: u64, so: impl Fn(&Fleet) -> bool) -> Option<u64> {
        let from = self.now;
        while self.now < from + limit {
            if so(self) {
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
        self.live().all(|it| it.active().iter().filter(|m| m.state == MemberState::Alive).count() == alive)
    }

    fn all_hold(&self, key: &FactKey, version: u64) -> bool {
        self.live().all(|it| it.facts.version(key) == version)
    }
}

/// About what a datagram takes on the wire, in bytes.
fn size(gram: &Datagram) -> u64 {
    let body = match &gram.body {
        Payload::Facts { facts } => facts.iter().map(|it| it.value.len() + 40).sum(),
        Payload::Compare { digest } => digest.buckets.len() * 8,
        Payload::Versions { keys, .. } => keys.len() * 24,
        Payload::Want { keys } => keys.len() * 16,
        _ => 16,
    };
    (40 + gram.updates.len() * 32 + body) as u64
}

fn fact(name: &str, version: u64) -> Fact {
    let key = FactKey { kind: FactKind::Group, name: name.into() };
    Fact { key, version, value: Arc::from(format!("{{\"version\":{version}}}").as_bytes()) }
}

#[rstest]
fn everyone_joins_through_one_and_a_dead_one_is_noticed(
    #[values(1, 2, 3)] seed: u64,
    #[values(0.0, 0.1)] loss: f64,
) {
    let mut fleet = Fleet::new(16, seed, loss, PeerSelection::Uniform);
    assert!(fleet.until(60_000, |it| it.all_see(16)).is_some());
    fleet.nodes[7] = None;
    assert!(fleet.until(60_000, |it| it.all_see(15)).is_some());
    fleet.nodes[7] = Some(node(7, 2, PeerSelection::Uniform));
    assert!(fleet.until(60_000, |it| it.all_see(16)).is_some(), "a restart under the same name is let in");
}

#[test]
fn a_cut_between_two_alone_condemns_nobody() {
    let mut fleet = Fleet::new(9, 4, 0.0, PeerSelection::Uniform);
    fleet.until(60_000, |it| it.all_see(9)).expect("joined");
    fleet.cut.push((1, 2));
    let before = fleet.now;
    while fleet.now < before + 60_000 {
        fleet.step();
        assert!(fleet.live().all(|it| it.others().iter().all(|m| m.state != MemberState::Dead)));
    }
}

#[test]
fn regions_cut_from_each_other_find_each_other_again() {
    let mut fleet = Fleet::new(12, 5, 0.0, PeerSelection::Uniform);
    fleet.until(60_000, |it| it.all_see(12)).expect("joined");
    for a in 0..6 {
        for b in 6..12 {
            fleet.cut.push((a, b));
        }
    }
    assert!(fleet.until(120_000, |it| it.all_see(6)).is_some(), "each side goes on alone");
    let out = fleet.nodes[0].as_mut().expect("up").publish(fact("parts", 7));
    fleet.send(0, out);
    fleet.cut.clear();
    assert!(fleet.until(120_000, |it| it.all_see(12)).is_some(), "and both join again");
    let key = fact("parts", 7).key;
    assert!(fleet.until(30_000, |it| it.all_hold(&key, 7)).is_some(), "with the facts of either side");
}

#[test]
fn a_paused_instance_condemns_nobody_when_it_goes_on() {
    let mut fleet = Fleet::new(9, 6, 0.0, PeerSelection::Uniform);
    fleet.until(60_000, |it| it.all_see(9)).expect("joined");
    let paused = fleet.nodes[3].take();
    assert!(fleet.until(60_000, |it| it.all_see(8)).is_some());
    fleet.nodes[3] = paused;
    for _ in 0..200 {
        fleet.step();
        let it = fleet.nodes[3].as_ref().expect("up");
        assert!(it.others().iter().all(|m| m.state != MemberState::Dead));
    }
    assert!(fleet.until(60_000, |it| it.all_see(9)).is_some(), "it refutes its own death");
}

#[test]
fn a_leaving_instance_is_known_within_a_second() {
    let mut fleet = Fleet::new(16, 7, 0.0, PeerSelection::Uniform);
    fleet.until(60_000, |it| it.all_see(16)).expect("joined");
    let out = fleet.nodes[5].as_mut().expect("up").leave();
    fleet.send(5, out);
    let took = fleet.until(10_000, |it| it.all_see(15)).expect("known");
    assert!(took <= 3_000, "{took} ms");
}

#[rstest]
fn news_reach_everyone_and_never_revert(#[values(1, 2, 3)] seed: u64, #[values(0.0, 0.2)] loss: f64) {
    let mut fleet = Fleet::new(24, seed, loss, PeerSelection::Uniform);
    fleet.until(60_000, |it| it.all_see(24)).expect("joined");
    let key = fact("parts", 1).key;
    let mut highest = [0; 24];
    for version in [5, 6, 9] {
        let out = fleet.nodes[version as usize].as_mut().expect("up").publish(fact("parts", version));
        fleet.send(version as usize, out);
        // An old version told again changes nothing.
        let out = fleet.nodes[0].as_mut().expect("up").publish(fact("parts", version - 3));
        fleet.send(0, out);
        fleet.until(60_000, |it| it.all_hold(&key, version)).expect("in force everywhere");
        for (n, it) in fleet.live().enumerate() {
            let now = it.facts.version(&key);
            assert!(now >= highest[n]);
            highest[n] = now;
        }
    }
}

#[test]
fn an_instance_that_starts_during_an_outage_learns_from_its_peers() {
    let mut fleet = Fleet::new(6, 8, 0.0, PeerSelection::Uniform);
    for n in 0..40 {
        let out = fleet.nodes[1].as_mut().expect("up").publish(fact(&format!("db{n}"), n + 1));
        fleet.send(1, out);
    }
    fleet.until(60_000, |it| it.all_see(6)).expect("joined");
    let key = fact("db39", 40).key;
    fleet.until(60_000, |it| it.all_hold(&key, 40)).expect("spread");
    fleet.nodes[4] = Some(node(4, 9, PeerSelection::Uniform));
    let all = |it: &Fleet| it.live().all(|m| m.facts.facts().len() == 40);
    assert!(fleet.until(30_000, all).is_some());
}

#[test]
fn the_cost_of_an_instance_does_not_grow_with_the_fleet() {
    let cost = |n: usize| {
        let mut fleet = Fleet::new(n, 9, 0.0, PeerSelection::Uniform);
        fleet.until(200_000, |it| it.all_see(n)).expect("joined");
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
fn a_push_costs_a_bounded_number_of_messages(#[case] choice: PeerSelection) {
    let mut fleet = Fleet::new(64, 10, 0.0, choice);
    fleet.until(200_000, |it| it.all_see(64)).expect("joined");
    let facts = |it: &Fleet| it.flight.iter().filter(|f| matches!(f.2.body, Payload::Facts { .. })).count();
    let out = fleet.nodes[0].as_mut().expect("up").publish(fact("parts", 1));
    fleet.send(0, out);
    assert_eq!(facts(&fleet), FANOUT);
    let key = fact("parts", 1).key;
    assert!(fleet.until(5_000, |it| it.all_hold(&key, 1)).is_some());
}

#[test]
fn a_death_is_known_soon_although_much_other_news_is_about() {
    let mut worst = 0;
    for seed in 0..6 {
        let mut fleet = Fleet::new(96, seed, 0.0, PeerSelection::Uniform);
        fleet.until(200_000, |it| it.all_see(96)).expect("joined");
        fleet.nodes[7] = None;
        worst = worst.max(fleet.until(60_000, |it| it.all_see(95)).expect("known"));
    }
    assert!(worst <= 8_000, "{worst} ms");
}
