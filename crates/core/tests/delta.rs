//! Deltas of collections: a delta applied to its base version yields its target version.
//!
//! A wrong delta would leave the receiver with stale, missing or removed items.

use {
    pondtrack_core::delta::{ChangeLog, Delta, changed_keys},
    pondtrack_proto::Name,
    rand::{RngExt, SeedableRng},
    rand_pcg::Pcg64Mcg,
    rstest::rstest,
};

type Item = (Name, u32);

fn key(item: &Item) -> &Name {
    &item.0
}

fn items(list: &[(&str, u32)]) -> Vec<Item> {
    list.iter().map(|item| (Name::from(item.0), item.1)).collect()
}

fn names(list: &[&str]) -> Vec<Name> {
    list.iter().map(|name| Name::from(*name)).collect()
}

#[rstest]
#[case(&[], &[("a", 1)], &["a"])]
#[case(&[("a", 1)], &[], &["a"])]
#[case(&[("a", 1), ("b", 1)], &[("a", 1), ("b", 2)], &["b"])]
#[case(&[("a", 1), ("c", 1)], &[("b", 1), ("c", 1), ("d", 1)], &["a", "b", "d"])]
#[case(&[("a", 1)], &[("a", 1)], &[])]
fn changed_keys_are_found(
    #[case] old: &[(&str, u32)],
    #[case] new: &[(&str, u32)],
    #[case] expected: &[&str],
) {
    assert_eq!(changed_keys(&items(old), &items(new), key), names(expected));
}

#[test]
fn log_starts_at_its_first_version() {
    let mut log = ChangeLog::default();
    assert_eq!(log.changed_since(0), None);
    log.record(5, names(&["a"]));
    log.record(9, names(&["b", "c"]));
    log.record(13, names(&["a", "c"]));
    assert_eq!(log.changed_since(4), None);
    assert_eq!(log.changed_since(5), Some(names(&["a", "b", "c"])));
    // A version between two recorded ones is equivalent to the earlier one.
    assert_eq!(log.changed_since(10), Some(names(&["a", "c"])));
    assert_eq!(log.changed_since(13), Some(Vec::new()));
}

#[test]
fn log_evicts_its_oldest_versions() {
    let mut log = ChangeLog::default();
    log.record(1, Vec::new());
    for version in 2..=6 {
        log.record(version, (0..1_500).map(|n| Name::from(format!("{version}-{n:04}"))).collect());
    }
    assert_eq!(log.changed_since(3), None, "more keys than the log stores");
    assert_eq!(log.changed_since(4).map(|keys| keys.len()), Some(3_000));
}

#[test]
fn delta_from_any_version_yields_the_last() {
    for seed in 0..200 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut log = ChangeLog::default();
        let mut versions: Vec<Vec<Item>> = Vec::new();
        for version in 0..8 {
            let old = versions.last().cloned().unwrap_or_default();
            let mut new = old.clone();
            new.retain(|_| rng.random_range(0..5) > 0);
            new.iter_mut().filter(|_| rng.random_range(0..3) == 0).for_each(|item| item.1 += 1);
            for _ in 0..rng.random_range(0..6) {
                let name = Name::from(format!("{:02}", rng.random_range(0..40)));
                if let Err(at) = new.binary_search_by(|item| item.0.cmp(&name)) {
                    new.insert(at, (name, 0));
                }
            }
            log.record(version, changed_keys(&old, &new, key));
            versions.push(new);
        }
        let last = versions.last().unwrap();
        for (version, old) in versions.iter().enumerate() {
            let keys = log.changed_since(version as u64).unwrap();
            let delta = Delta::from_keys(keys, last, key);
            assert_eq!(&delta.apply(old, key), last, "seed {seed}, from version {version}");
        }
        assert_eq!(&Delta::full(last).apply(&[], key), last);
    }
}
