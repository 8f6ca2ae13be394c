//! Which items of a sorted collection changed when, so that a new version of it can travel as a difference.

use {
    pondtrack_proto::Name,
    serde::{Deserialize, Serialize},
    std::cmp::Ordering,
};

/// Keys that a log remembers over all its versions. One that takes more falls back to whole copies: 4,000 keys take
/// about 100 KB, and a difference of as many items is no smaller than most collections.
const KEYS_MOST: usize = 4_000;

/// How an item is named within its collection.
pub type KeyFn<T> = fn(&T) -> &Name;

/// The difference between two versions of a sorted collection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta<T> {
    /// Items that are new or have changed, sorted by key.
    pub items: Vec<T>,
    /// Keys of items that are gone, sorted.
    #[serde(rename = "gone")]
    pub removed: Vec<Name>,
}

impl<T: Clone> Delta<T> {
    /// The difference from nothing.
    pub fn full(items: &[T]) -> Delta<T> {
        Delta { items: items.to_vec(), removed: Vec::new() }
    }

    /// What has become of these keys, which are sorted.
    pub fn from_keys(keys: Vec<Name>, items: &[T], key: KeyFn<T>) -> Delta<T> {
        let mut it = Delta { items: Vec::new(), removed: Vec::new() };
        for name in keys {
            match items.binary_search_by(|it| key(it).cmp(&name)) {
                Ok(at) => it.items.push(items[at].clone()),
                Err(_) => it.removed.push(name),
            }
        }
        it
    }

    /// The collection after the change, sorted by key.
    pub fn apply(self, old: &[T], key: KeyFn<T>) -> Vec<T> {
        let mut out = Vec::with_capacity(old.len() + self.items.len());
        let mut new = self.items.into_iter().peekable();
        for it in old {
            while let Some(item) = new.next_if(|item| key(item) < key(it)) {
                out.push(item);
            }
            match new.next_if(|item| key(item) == key(it)) {
                Some(item) => out.push(item),
                None if self.removed.binary_search(key(it)).is_ok() => {}
                None => out.push(it.clone()),
            }
        }
        out.extend(new);
        out
    }
}

/// Keys of the items that differ between two sorted collections, sorted.
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
            keys.extend(before.or(after).map(|it| key(it).clone()));
        }
    }
}

/// Which keys were touched by which version of a collection.
#[derive(Debug, Default)]
pub struct ChangeLog {
    /// The first version that is known; none before any is.
    base: Option<u64>,
    /// Versions since then, in order, with the keys that they touched.
    steps: Vec<(u64, Vec<Name>)>,
}

impl ChangeLog {
    /// A version has touched these keys, which are sorted. The first one counts as a beginning, whatever it touched.
    pub fn record(&mut self, version: u64, keys: Vec<Name>) {
        if self.base.is_none() {
            self.base = Some(version);
            return;
        }
        self.steps.push((version, keys));
        while self.steps.iter().map(|it| it.1.len()).sum::<usize>() > KEYS_MOST {
            self.base = Some(self.steps.remove(0).0);
        }
    }

    /// Keys touched after a version, sorted; none where the log doesn't reach back as far.
    pub fn changed_since(&self, version: u64) -> Option<Vec<Name>> {
        if self.base.is_none_or(|it| it > version) {
            return None;
        }
        let later = self.steps.iter().filter(|it| it.0 > version);
        let mut keys: Vec<Name> = later.flat_map(|it| it.1.iter().cloned()).collect();
        keys.sort_unstable();
        keys.dedup();
        Some(keys)
    }
}
