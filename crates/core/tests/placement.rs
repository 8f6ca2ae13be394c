//! Placement by capacity: what an instance is chosen for is in proportion to its strength, instances of the same strength
//! are placed as without it, and little moves.

use {
    pondtrack_core::{
        capacity::{Capacity, MAX_WEIGHT, MinCapacity},
        placement::{self, Candidate},
    },
    pondtrack_proto::Name,
    rstest::rstest,
    std::cmp::Reverse,
};

/// What instances are chosen for.
const SUBJECTS: usize = 20_000;
const SMALL: Capacity = Capacity { processor: 84, memory: 96, descriptors: 1_200, link: 10 };
const STRONG: Capacity = Capacity { processor: 504, memory: 512, descriptors: 4_000, link: 200 };

/// Instances in three zones.
struct Fleet {
    names: Vec<Name>,
    zones: Vec<Name>,
    capacities: Vec<Option<Capacity>>,
}

impl Fleet {
    /// One of every twenty is strong.
    fn mixed(n: usize) -> Fleet {
        Fleet::with(n, |at| Some(if at % 20 == 3 { STRONG } else { SMALL }))
    }

    fn with(n: usize, capacity: impl Fn(usize) -> Option<Capacity>) -> Fleet {
        Fleet {
            names: (0..n).map(|it| Name::from(format!("node-{it:03}"))).collect(),
            zones: (0..n).map(|it| Name::from(format!("z{}", it % 3))).collect(),
            capacities: (0..n).map(capacity).collect(),
        }
    }

    fn all(&self) -> Vec<Candidate<'_>> {
        let smallest = MinCapacity::of(self.capacities.iter().copied().flatten());
        let candidate = |at: usize| Candidate {
            name: &self.names[at],
            zone: &self.zones[at],
            weight: smallest.weight(self.capacities[at]),
        };
        (0..self.names.len()).map(candidate).collect()
    }
}

/// Server ids, organisations and slots.
fn subject(at: usize) -> String {
    format!("subject-{at}")
}

/// Each instance has as many as its weight lets expect, within five standard deviations.
fn check(all: &[Candidate<'_>], chosen: impl Fn(usize) -> Name, what: &str) {
    let mut counts = vec![0_u32; all.len()];
    for at in 0..SUBJECTS {
        let name = chosen(at);
        counts[all.iter().position(|it| *it.name == name).unwrap()] += 1;
    }
    let sum: f64 = all.iter().map(|it| it.weight).sum();
    for (it, count) in all.iter().zip(counts) {
        let expected = SUBJECTS as f64 * it.weight / sum;
        let off = (f64::from(count) - expected).abs();
        assert!(off <= 5.0 * expected.sqrt(), "{what}: {} has {count}, expected {expected:.0}", it.name);
    }
}

#[rstest]
#[case(9)]
#[case(58)]
#[case(120)]
#[case(300)]
fn what_an_instance_is_chosen_for_is_in_proportion_to_its_strength(#[case] n: usize) {
    let fleet = Fleet::mixed(n);
    let all = fleet.all();
    let strong = all.iter().filter(|it| it.weight == 6.0).count();
    assert_eq!(strong, (0..n).filter(|it| it % 20 == 3).count(), "six times as strong");
    let limiter = |at: usize| placement::pick(&subject(at), &all).unwrap().clone();
    check(&all, limiter, "limiters");
    // Servers are in zones; where all instances are in the server's, the first is dispatcher and home.
    let one: Vec<Candidate<'_>> = all.iter().map(|it| Candidate { zone: &fleet.zones[0], ..*it }).collect();
    let dispatcher = |at: usize| placement::rank(&subject(at), "z0", one.iter().copied())[0].clone();
    check(&one, dispatcher, "dispatchers and homes");
    let in_zone: Vec<Candidate<'_>> = all.iter().copied().filter(|it| it.zone == "z1").collect();
    let home = |at: usize| placement::rank(&subject(at), "z1", all.iter().copied())[0].clone();
    check(&in_zone, home, "homes of a zone");
}

#[rstest]
#[case(|_| None)]
#[case(|_| Some(SMALL))]
#[case(|_| Some(STRONG))]
#[case(|at| (at % 2 == 0).then_some(STRONG))]
#[case(|at| Some(Capacity { memory: at as u32, descriptors: at as u32, ..SMALL }))]
fn instances_of_the_same_strength_are_placed_as_without_it(#[case] capacity: fn(usize) -> Option<Capacity>) {
    for n in [1, 9, 58, 120] {
        let fleet = Fleet::with(n, capacity);
        let all = fleet.all();
        for at in 0..400 {
            let subject = subject(at);
            let hash = |it: &Candidate<'_>| placement::rendezvous_hash(&subject, it.name);
            let mut ranked = all.clone();
            ranked.sort_by_key(|it| (it.zone != "z2", Reverse(hash(it)), it.name));
            let ranked: Vec<Name> = ranked.iter().map(|it| it.name.clone()).collect();
            assert_eq!(placement::rank(&subject, "z2", all.iter().copied()), ranked);
            let winner = all.iter().max_by_key(|it| hash(it)).map(|it| it.name);
            assert_eq!(placement::pick(&subject, &all), winner);
            let mut ordered = all.clone();
            placement::sort(&subject, &mut ordered);
            let before = all.iter().filter(|it| hash(it) > hash(&all[0])).count();
            assert_eq!(ordered.iter().position(|it| it.name == all[0].name), Some(before));
        }
    }
}

#[rstest]
#[case(9)]
#[case(120)]
#[case(300)]
fn only_what_an_instance_wins_or_had_moves(#[case] n: usize) {
    let (before, at) = (Fleet::mixed(n), 3);
    let mut after = Fleet::mixed(n);
    after.capacities[at] = Some(Capacity { processor: 252, ..STRONG });
    let name = &before.names[at];
    let (mut lost, mut left) = (0, 0);
    for subject in (0..2_000).map(subject) {
        let old = placement::rank(&subject, "z0", before.all().into_iter());
        let new = placement::rank(&subject, "z0", after.all().into_iter());
        assert!(position(&new, name) >= position(&old, name), "a weaker one wins nothing");
        assert_eq!(without(&new, name), without(&old, name), "the others keep their order");
        lost += usize::from(old[0] == *name && new[0] != *name);
        let others = before.all().into_iter().filter(|it| it.name != name);
        let rest = placement::rank(&subject, "z0", others);
        assert_eq!(rest, without(&old, name), "one that leaves moves what it had");
        left += usize::from(rest[0] != old[0]);
    }
    // It is first in its own zone alone.
    assert!(lost > 0 && left > lost, "{lost} {left}");
}

fn position(all: &[Name], name: &Name) -> usize {
    all.iter().position(|it| it == name).unwrap()
}

fn without(all: &[Name], name: &Name) -> Vec<Name> {
    all.iter().filter(|it| *it != name).cloned().collect()
}

#[test]
fn the_scarcer_of_processor_and_link_decides() {
    let smallest = MinCapacity::of([SMALL, STRONG].into_iter());
    let weight = |processor, link| smallest.weight(Some(Capacity { processor, link, ..SMALL }));
    assert_eq!(weight(84, 10), 1.0);
    assert_eq!(weight(504, 200), 6.0, "by its processor");
    assert_eq!(weight(504, 20), 2.0, "by its link");
    assert_eq!(weight(4_000, 1_000), MAX_WEIGHT);
    assert_eq!(weight(0, 200), 1.0, "the processor isn't stated");
    assert_eq!(weight(504, 0), 1.0, "the link isn't stated");
    assert_eq!(smallest.weight(None), 1.0, "nothing is stated");
    let only = MinCapacity::of([Capacity { link: 0, ..SMALL }].into_iter());
    assert_eq!(only.weight(Some(Capacity { processor: 168, ..SMALL })), 2.0, "nobody else states a link");
    assert_eq!(MinCapacity::default().weight(Some(STRONG)), 1.0, "nobody states anything");
}
