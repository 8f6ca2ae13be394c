//! Placement by capacity: instances are chosen in proportion to their weights, equal weights give the same placement as
//! plain rendezvous hashing, and a change moves few keys.

use {
    pondtrack_core::{
        capacity::{Capacity, MAX_WEIGHT, MinCapacity},
        placement::{self, Candidate},
    },
    pondtrack_proto::Name,
    rstest::rstest,
    std::cmp::Reverse,
};

/// Number of keys that instances are chosen for.
const KEYS: usize = 20_000;
const SMALL: Capacity = Capacity { processor: 84, memory: 96, descriptors: 1_200, link: 10 };
const STRONG: Capacity = Capacity { processor: 504, memory: 512, descriptors: 4_000, link: 200 };

/// Instances in three zones.
struct Fleet {
    names: Vec<Name>,
    zones: Vec<Name>,
    capacities: Vec<Option<Capacity>>,
}

impl Fleet {
    /// Creates a fleet in which one of every twenty instances is strong.
    fn mixed(n: usize) -> Fleet {
        Fleet::with(n, |at| Some(if at % 20 == 3 { STRONG } else { SMALL }))
    }

    fn with(n: usize, capacity: impl Fn(usize) -> Option<Capacity>) -> Fleet {
        Fleet {
            names: (0..n).map(|n| Name::from(format!("node-{n:03}"))).collect(),
            zones: (0..n).map(|n| Name::from(format!("z{}", n % 3))).collect(),
            capacities: (0..n).map(capacity).collect(),
        }
    }

    fn all(&self) -> Vec<Candidate<'_>> {
        let min = MinCapacity::of(self.capacities.iter().copied().flatten());
        let candidate = |at: usize| Candidate {
            name: &self.names[at],
            zone: &self.zones[at],
            weight: min.weight(self.capacities[at]),
        };
        (0..self.names.len()).map(candidate).collect()
    }
}

/// Key that stands for a server, an organisation or a hash slot.
fn key(at: usize) -> String {
    format!("subject-{at}")
}

/// Asserts that each instance is chosen in proportion to its weight, within five standard deviations.
fn assert_proportional(all: &[Candidate<'_>], chosen: impl Fn(usize) -> Name, what: &str) {
    let mut counts = vec![0_u32; all.len()];
    for at in 0..KEYS {
        let name = chosen(at);
        counts[all.iter().position(|c| *c.name == name).unwrap()] += 1;
    }
    let sum: f64 = all.iter().map(|c| c.weight).sum();
    for (c, count) in all.iter().zip(counts) {
        let expected = KEYS as f64 * c.weight / sum;
        let deviation = (f64::from(count) - expected).abs();
        assert!(deviation <= 5.0 * expected.sqrt(), "{what}: {} has {count}, expected {expected:.0}", c.name);
    }
}

#[rstest]
#[case(9)]
#[case(58)]
#[case(120)]
#[case(300)]
fn instances_are_chosen_in_proportion_to_their_weights(#[case] n: usize) {
    let fleet = Fleet::mixed(n);
    let all = fleet.all();
    let strong = all.iter().filter(|c| c.weight == 6.0).count();
    assert_eq!(strong, (0..n).filter(|n| n % 20 == 3).count(), "six times the capacity");
    let limiter = |at: usize| placement::pick(&key(at), &all).unwrap().clone();
    assert_proportional(&all, limiter, "limiters");
    // If all instances are in the zone of a server, the first one in rank is its dispatcher and home.
    let one_zone: Vec<Candidate<'_>> =
        all.iter().map(|c| Candidate { zone: &fleet.zones[0], ..*c }).collect();
    let dispatcher = |at: usize| placement::rank(&key(at), "z0", one_zone.iter().copied())[0].clone();
    assert_proportional(&one_zone, dispatcher, "dispatchers and homes");
    let in_zone: Vec<Candidate<'_>> = all.iter().copied().filter(|c| c.zone == "z1").collect();
    let home = |at: usize| placement::rank(&key(at), "z1", all.iter().copied())[0].clone();
    assert_proportional(&in_zone, home, "homes of a zone");
}

#[rstest]
#[case(|_| None)]
#[case(|_| Some(SMALL))]
#[case(|_| Some(STRONG))]
#[case(|at| (at % 2 == 0).then_some(STRONG))]
#[case(|at| Some(Capacity { memory: at as u32, descriptors: at as u32, ..SMALL }))]
fn equal_weights_give_the_order_of_plain_rendezvous_hashing(#[case] capacity: fn(usize) -> Option<Capacity>) {
    for n in [1, 9, 58, 120] {
        let fleet = Fleet::with(n, capacity);
        let all = fleet.all();
        for at in 0..400 {
            let key = key(at);
            let hash = |c: &Candidate<'_>| placement::rendezvous_hash(&key, c.name);
            let mut ranked = all.clone();
            ranked.sort_by_key(|c| (c.zone != "z2", Reverse(hash(c)), c.name));
            let ranked: Vec<Name> = ranked.iter().map(|c| c.name.clone()).collect();
            assert_eq!(placement::rank(&key, "z2", all.iter().copied()), ranked);
            let winner = all.iter().max_by_key(|c| hash(c)).map(|c| c.name);
            assert_eq!(placement::pick(&key, &all), winner);
            let mut ordered = all.clone();
            placement::sort(&key, &mut ordered);
            let before = all.iter().filter(|c| hash(c) > hash(&all[0])).count();
            assert_eq!(ordered.iter().position(|c| c.name == all[0].name), Some(before));
        }
    }
}

#[rstest]
#[case(9)]
#[case(120)]
#[case(300)]
fn a_change_moves_only_keys_that_the_instance_wins_or_had(#[case] n: usize) {
    let (before, at) = (Fleet::mixed(n), 3);
    let mut after = Fleet::mixed(n);
    after.capacities[at] = Some(Capacity { processor: 252, ..STRONG });
    let name = &before.names[at];
    let (mut lost, mut left) = (0, 0);
    for key in (0..2_000).map(key) {
        let old = placement::rank(&key, "z0", before.all().into_iter());
        let new = placement::rank(&key, "z0", after.all().into_iter());
        assert!(position(&new, name) >= position(&old, name), "a lower weight wins no key");
        assert_eq!(without(&new, name), without(&old, name), "the others keep their order");
        lost += usize::from(old[0] == *name && new[0] != *name);
        let others = before.all().into_iter().filter(|c| c.name != name);
        let rest = placement::rank(&key, "z0", others);
        assert_eq!(rest, without(&old, name), "a leave moves only its own keys");
        left += usize::from(rest[0] != old[0]);
    }
    // With the lower weight, the instance keeps some of the keys for which it ranked first, so a leave moves more keys
    // (`left`) than the change (`lost`). It ranks first only for keys of its own zone, which all keys here have.
    assert!(lost > 0 && left > lost, "{lost} {left}");
}

fn position(all: &[Name], name: &Name) -> usize {
    all.iter().position(|n| n == name).unwrap()
}

fn without(all: &[Name], name: &Name) -> Vec<Name> {
    all.iter().filter(|n| *n != name).cloned().collect()
}

#[test]
fn the_scarcer_of_processor_and_link_determines_the_weight() {
    let min = MinCapacity::of([SMALL, STRONG].into_iter());
    let weight = |processor, link| min.weight(Some(Capacity { processor, link, ..SMALL }));
    assert_eq!(weight(84, 10), 1.0);
    assert_eq!(weight(504, 200), 6.0, "limited by the processor");
    assert_eq!(weight(504, 20), 2.0, "limited by the link");
    assert_eq!(weight(4_000, 1_000), MAX_WEIGHT);
    assert_eq!(weight(0, 200), 1.0, "the processor isn't stated");
    assert_eq!(weight(504, 0), 1.0, "the link isn't stated");
    assert_eq!(min.weight(None), 1.0, "nothing is stated");
    let no_link = MinCapacity::of([Capacity { link: 0, ..SMALL }].into_iter());
    assert_eq!(no_link.weight(Some(Capacity { processor: 168, ..SMALL })), 2.0, "no instance states a link");
    assert_eq!(MinCapacity::default().weight(Some(STRONG)), 1.0, "no instance states its capacity");
}
