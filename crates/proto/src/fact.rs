//! Versioned facts and the digests by which instances compare them.

use {
    crate::ids::Name,
    serde::{Deserialize, Serialize},
    strum::{Display, EnumString, IntoStaticStr},
    xxhash_rust::xxh3::xxh3_64,
};

/// Number of buckets a digest parts the facts into.
pub const BUCKETS: usize = 64;

/// The kinds of objects that are spread as facts.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum FactKind {
    /// A group's configuration.
    Group,
    /// A plan.
    Plan,
    /// An order to an instance to leave.
    Leave,
}

/// Names one fact.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FactKey {
    /// The kind.
    pub kind: FactKind,
    /// The object's name.
    pub name: Name,
}

/// One object of the platform as known to an instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fact {
    /// What it is.
    pub key: FactKey,
    /// The platform's version; only a higher one replaces it.
    pub version: u64,
    /// The object as JSON.
    pub value: std::sync::Arc<[u8]>,
}

/// What two instances compare to find facts that differ.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// One hash a bucket.
    pub buckets: Vec<u64>,
}

impl FactKey {
    /// The bucket this fact belongs to.
    pub fn bucket(&self) -> usize {
        self.hash(0) as usize % BUCKETS
    }

    /// A hash of the key at a version.
    pub fn hash(&self, version: u64) -> u64 {
        let mut buf = Vec::with_capacity(self.name.len() + 9);
        buf.push(self.kind as u8);
        buf.extend_from_slice(&version.to_le_bytes());
        buf.extend_from_slice(self.name.as_bytes());
        xxh3_64(&buf)
    }
}
