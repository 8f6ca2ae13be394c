//! Deltas between versions of a sorted collection, so that a new version can be sent without its unchanged items.

use {
    pondtrack_proto::Name,
    serde::{Deserialize, Serialize},
    std::cmp::Ordering,
};

/// Maximum number of keys in a log, over all its versions. Older versions are served as full copies: 4,000 keys take
/// about 100 KB, and a delta with as many items is no smaller than most collections.
const MAX_KEYS: usize = 4_000;

/// Function that returns the key of an item within its collection.
pub type KeyFn<T> = fn(&T) -> &Name;

/// Delta between two versions of a sorted collection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta<T> {
    /// Added and changed items, sorted by key.
    pub items: Vec<T>,
    /// Keys of removed items, sorted.
    #[serde(rename = "gone")]
    pub removed: Vec<Name>,
}

impl<T: Clone> Delta<T> {
    /// Returns the delta from an empty collection.
    pub fn full(items: &[T]) -> Delta<T> {
        Delta { items: items.to_vec(), removed: Vec::new() }
    }

    /// Returns the delta that brings the given keys, which are sorted, to their state in `items`.
    pub fn from_keys(keys: Vec<Name>, items: &[T], key: KeyFn<T>) -> Delta<T> {
        let mut delta = Delta { items: Vec::new(), removed: Vec::new() };
        for name in keys {
            match items.binary_search_by(|item| key(item).cmp(&name)) {
                Ok(at) => delta.items.push(items[at].clone()),
                Err(_) => delta.removed.push(name),
            }
        }
        delta
    }

    /// Returns the collection with the delta applied, sorted by key.
    pub fn apply(self, old: &[T], key: KeyFn<T>) -> Vec<T> {
        let mut out = Vec::with_capacity(old.len() + self.items.len());
        let mut new = self.items.into_iter().peekable();
        for old_item in old {
            while let Some(item) = new.next_if(|item| key(item) < key(old_item)) {
                out.push(item);
            }
            match new.next_if(|item| key(item) == key(old_item)) {
                Some(item) => out.push(item),
                None if self.removed.binary_search(key(old_item)).is_ok() => {}
                None => out.push(old_item.clone()),
            }
        }
        out.extend(new);
        out
    }
}

/// Returns the keys of the items that differ between two sorted collections, sorted.
pub fn changed_keys<T: PartialEq>(old: &[T], new: &[T], key: KeyFn<T>) -> Vec<Name> {
    let mut keys = Vec::new();
    let (mut old, mut new) = (old.iter().peekable(), new.iter().peekable());
    loop {
        let order = match (old.peek(), new.peek()) {
            (None, None) => return keys,
            (Some(_), None) => Ordering::Less,
            (None, Some(_)) => Ordering::Greater,
            (Some(a), Some(b)) => key(a).cmp(key(b)),
        };
        let before = old.next_if(|_| order.is_le());
        let after = new.next_if(|_| order.is_ge());
        if before != after {
            keys.extend(before.or(after).map(|item| key(item).clone()));
        }
    }
}

/// Log of the keys changed by each version of a collection.
#[derive(Debug, Default)]
pub struct ChangeLog {
    /// Oldest version from which changes are known. `None` before the first version is recorded.
    base: Option<u64>,
    /// Later versions in ascending order, with the keys that each changed.
    changes: Vec<(u64, Vec<Name>)>,
}

impl ChangeLog {
    /// Records a version and its changed keys, which are sorted. The first version only sets the base of the log.
    pub fn record(&mut self, version: u64, keys: Vec<Name>) {
        if self.base.is_none() {
            self.base = Some(version);
            return;
        }
        self.changes.push((version, keys));
        while self.changes.iter().map(|change| change.1.len()).sum::<usize>() > MAX_KEYS {
            self.base = Some(self.changes.remove(0).0);
        }
    }

    /// Returns the keys changed after a version, sorted, or `None` if the version is older than the log.
    pub fn changed_since(&self, version: u64) -> Option<Vec<Name>> {
        if self.base.is_none_or(|base| base > version) {
            return None;
        }
        let later = self.changes.iter().filter(|change| change.0 > version);
        let mut keys: Vec<Name> = later.flat_map(|change| change.1.iter().cloned()).collect();
        keys.sort_unstable();
        keys.dedup();
        Some(keys)
    }
}
