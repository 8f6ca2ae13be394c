//! Organisations: whose callers they are, by their keys, and what they may use.

use {
    pondtrack_core::{quota::Limits, scheduler::Share},
    pondtrack_proto::Name,
    serde::{Deserialize, Serialize},
    sha2::{Digest, Sha256},
    std::fmt,
    strum::Display,
    xxhash_rust::xxh3::xxh3_64,
};

/// Stands for all callers of no organisation together, where callers are told apart.
const UNNAMED: u64 = 1;

/// A caller's key, as it was sent. It is a secret: it is not printed, and kept only until it is hashed.
#[derive(Clone, PartialEq, Eq)]
pub struct CallerKey(Name);

impl CallerKey {
    /// What a caller sent.
    pub fn new(it: &str) -> CallerKey {
        CallerKey(Name::from(it))
    }

    /// Its hash.
    pub fn hash(&self) -> KeyHash {
        KeyHash::of(&self.0)
    }
}

impl fmt::Debug for CallerKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("CallerKey(..)")
    }
}

/// The hash of a key, which stands for it wherever keys are kept or sent: whoever sees it can't open a session. Keys are
/// random words, which nobody can try out one by one, so that one round of hashing is enough.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyHash([u8; 32]);

impl KeyHash {
    /// The hash of a key.
    pub fn of(key: &str) -> KeyHash {
        KeyHash(Sha256::digest(key.as_bytes()).into())
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyHash(..)")
    }
}

/// An organisation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Organisation {
    /// Its name, which servers are told.
    pub name: Name,
    /// Its keys, sorted.
    pub keys: Vec<KeyHash>,
    /// What it may use of all instances together; none where nothing limits it.
    pub quota: Option<Quota>,
}

/// What an organisation may use.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Quota {
    /// Operations a second.
    pub rate: f64,
    /// Operations at once after a pause.
    pub burst: f64,
}

impl Quota {
    /// The limit with what is tolerated above it, in operations.
    pub fn limits(self, margin: f64) -> Limits {
        Limits { rate: self.rate, burst: self.burst, margin }
    }
}

/// All organisations, by name and by key.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "Vec<Organisation>", into = "Vec<Organisation>")]
pub struct Organisations {
    /// Sorted by name.
    all: Vec<Organisation>,
    /// Which of them has a key; sorted by key.
    keys: Vec<(KeyHash, usize)>,
    /// Whether any of them has a quota.
    limited: bool,
}

impl From<Vec<Organisation>> for Organisations {
    fn from(all: Vec<Organisation>) -> Organisations {
        Organisations::new(all)
    }
}

impl From<Organisations> for Vec<Organisation> {
    fn from(it: Organisations) -> Vec<Organisation> {
        it.all
    }
}

impl Organisations {
    /// Puts them in order. A key that two of them have is nobody's: it doesn't tell whose request it is.
    pub fn new(mut all: Vec<Organisation>) -> Organisations {
        all.sort_by(|a, b| a.name.cmp(&b.name));
        let held =
            |(at, it): (usize, &Organisation)| it.keys.iter().map(move |key| (*key, at)).collect::<Vec<_>>();
        let mut keys: Vec<(KeyHash, usize)> = all.iter().enumerate().flat_map(held).collect();
        keys.sort_unstable();
        keys.dedup();
        let shared: Vec<KeyHash> =
            keys.windows(2).filter(|it| it[0].0 == it[1].0).map(|it| it[0].0).collect();
        keys.retain(|it| shared.binary_search(&it.0).is_err());
        let limited = all.iter().any(|it| it.quota.is_some());
        Organisations { all, keys, limited }
    }

    /// All, sorted by name.
    pub fn all(&self) -> &[Organisation] {
        &self.all
    }

    /// Whether any of them has a quota.
    pub fn is_limited(&self) -> bool {
        self.limited
    }

    /// The organisation that has a key.
    pub fn find_by_key(&self, key: &KeyHash) -> Option<&Organisation> {
        let at = self.keys.binary_search_by(|it| it.0.cmp(key)).ok()?;
        Some(&self.all[self.keys[at].1])
    }

    /// An organisation, by its name.
    pub fn get(&self, name: &str) -> Option<&Organisation> {
        let at = self.all.binary_search_by(|it| it.name.as_str().cmp(name)).ok()?;
        Some(&self.all[at])
    }

    /// An owner's share of a server that has too much to do: by the operations a second that it may use.
    pub fn share(&self, owner: &Owner) -> Share {
        let Owner::Organisation(name) = owner else { return Share { owner: UNNAMED, weight: 1 } };
        let quota = self.get(name).and_then(|it| it.quota);
        let weight = quota.map_or(1, |it| it.rate.max(1.0) as u32);
        Share { owner: xxh3_64(name.as_bytes()).max(UNNAMED + 1), weight }
    }
}

/// Whose statements a connection to a server carries. It never carries another's.
#[derive(Clone, Debug, Display, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Owner {
    /// Nobody's in particular: orders of pondtrack's own, callers of public databases without a key, and all callers
    /// where these aren't told apart.
    #[default]
    #[strum(to_string = "shared")]
    Shared,
    /// An organisation's.
    #[strum(to_string = "{0}")]
    Organisation(Name),
}
