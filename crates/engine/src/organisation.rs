//! Organisations: the owners of callers, identified by keys, and their quotas.

use {
    pondtrack_core::{quota::Limits, scheduler::Share},
    pondtrack_proto::Name,
    serde::{Deserialize, Serialize},
    sha2::{Digest, Sha256},
    std::fmt,
    strum::Display,
    xxhash_rust::xxh3::xxh3_64,
};

/// Share id of all callers without an organisation, where organisations are configured.
const NO_ORGANISATION: u64 = 1;

/// Key of a caller, as sent. It is a secret: it is never printed, and is kept only until it is hashed.
#[derive(Clone, PartialEq, Eq)]
pub struct CallerKey(Name);

impl CallerKey {
    /// Wraps the key sent by a caller.
    pub fn new(key: &str) -> CallerKey {
        CallerKey(Name::from(key))
    }

    /// Returns the hash of the key.
    pub fn hash(&self) -> KeyHash {
        KeyHash::of(&self.0)
    }
}

impl fmt::Debug for CallerKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("CallerKey(..)")
    }
}

/// Hash of a key, which replaces the key wherever keys are stored or sent, so that a leaked hash can't open a
/// session. A single round of hashing suffices, because keys are random words that can't be found by trial.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyHash([u8; 32]);

impl KeyHash {
    /// Hashes a key.
    pub fn of(key: &str) -> KeyHash {
        KeyHash(Sha256::digest(key.as_bytes()).into())
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyHash(..)")
    }
}

/// Organisation whose callers connect with its keys.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Organisation {
    /// Name of the organisation, which is sent to servers.
    pub name: Name,
    /// Hashes of the keys, sorted.
    pub keys: Vec<KeyHash>,
    /// Quota over all instances together; none if unlimited.
    pub quota: Option<Quota>,
}

/// Quota of an organisation.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Quota {
    /// Operations per second.
    pub rate: f64,
    /// Burst size: operations at once after an idle period.
    pub burst: f64,
}

impl Quota {
    /// Returns the limits that include the tolerated margin, in operations.
    pub fn limits(self, margin: f64) -> Limits {
        Limits { rate: self.rate, burst: self.burst, margin }
    }
}

/// All organisations, indexed by name and by key.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "Vec<Organisation>", into = "Vec<Organisation>")]
pub struct Organisations {
    /// Sorted by name.
    all: Vec<Organisation>,
    /// Index into `all` for each key; sorted by key.
    keys: Vec<(KeyHash, usize)>,
    /// Set if any organisation has a quota.
    limited: bool,
}

impl From<Vec<Organisation>> for Organisations {
    fn from(all: Vec<Organisation>) -> Organisations {
        Organisations::new(all)
    }
}

impl From<Organisations> for Vec<Organisation> {
    fn from(organisations: Organisations) -> Vec<Organisation> {
        organisations.all
    }
}

impl Organisations {
    /// Builds the index. A key of two organisations is dropped, because it does not identify an owner.
    pub fn new(mut all: Vec<Organisation>) -> Organisations {
        all.sort_by(|a, b| a.name.cmp(&b.name));
        let with_index =
            |(at, o): (usize, &Organisation)| o.keys.iter().map(move |key| (*key, at)).collect::<Vec<_>>();
        let mut keys: Vec<(KeyHash, usize)> = all.iter().enumerate().flat_map(with_index).collect();
        keys.sort_unstable();
        keys.dedup();
        let ambiguous: Vec<KeyHash> =
            keys.windows(2).filter(|pair| pair[0].0 == pair[1].0).map(|pair| pair[0].0).collect();
        keys.retain(|entry| ambiguous.binary_search(&entry.0).is_err());
        let limited = all.iter().any(|o| o.quota.is_some());
        Organisations { all, keys, limited }
    }

    /// Returns all organisations, sorted by name.
    pub fn all(&self) -> &[Organisation] {
        &self.all
    }

    /// Returns true if any organisation has a quota.
    pub fn is_limited(&self) -> bool {
        self.limited
    }

    /// Returns the organisation that owns a key.
    pub fn find_by_key(&self, key: &KeyHash) -> Option<&Organisation> {
        let at = self.keys.binary_search_by(|entry| entry.0.cmp(key)).ok()?;
        Some(&self.all[self.keys[at].1])
    }

    /// Returns the organisation with a name.
    pub fn get(&self, name: &str) -> Option<&Organisation> {
        let at = self.all.binary_search_by(|o| o.name.as_str().cmp(name)).ok()?;
        Some(&self.all[at])
    }

    /// Returns the fair share of an owner at an overloaded server, weighted by the quota's operations per second.
    pub fn share(&self, owner: &Owner) -> Share {
        let Owner::Organisation(name) = owner else { return Share { owner: NO_ORGANISATION, weight: 1 } };
        let quota = self.get(name).and_then(|o| o.quota);
        let weight = quota.map_or(1, |q| q.rate.max(1.0) as u32);
        Share { owner: xxh3_64(name.as_bytes()).max(NO_ORGANISATION + 1), weight }
    }
}

/// Owner of the statements on a connection to a server. A connection never carries statements of two owners.
#[derive(Clone, Debug, Display, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Owner {
    /// No particular owner: orders of pondtrack itself, callers of public databases without a key, and all callers
    /// if no organisations are configured.
    #[default]
    #[strum(to_string = "shared")]
    Shared,
    /// Organisation.
    #[strum(to_string = "{0}")]
    Organisation(Name),
}
