//! Versioned facts that instances gossip, and the digests for anti-entropy.

use {
    crate::ids::Name,
    serde::{Deserialize, Serialize},
    strum::{Display, EnumString, IntoStaticStr},
    xxhash_rust::xxh3::xxh3_64,
};

/// Number of buckets in a [`Digest`].
pub const DIGEST_BUCKETS: usize = 64;

/// Kinds of platform objects that are gossiped as facts.
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
    /// Configuration of a group.
    Group,
    /// An operator's plan.
    Plan,
    /// Order for an instance to leave the fleet.
    Leave,
}

/// Identifies a fact.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FactKey {
    /// Kind of the object.
    pub kind: FactKind,
    /// Name of the object.
    pub name: Name,
}

/// A platform object as known to an instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fact {
    /// Kind and name of the object.
    pub key: FactKey,
    /// Version on the platform. Only a higher version replaces a fact.
    pub version: u64,
    /// JSON encoding of the object.
    pub value: std::sync::Arc<[u8]>,
}

/// Bucket hashes that two instances compare to find the facts that differ.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// One hash per bucket.
    pub buckets: Vec<u64>,
}

impl FactKey {
    /// Returns the index of the bucket that holds the fact.
    pub fn bucket(&self) -> usize {
        self.hash_at(0) as usize % DIGEST_BUCKETS
    }

    /// Hashes the key together with a version.
    pub fn hash_at(&self, version: u64) -> u64 {
        let mut buf = Vec::with_capacity(self.name.len() + 9);
        buf.push(self.kind as u8);
        buf.extend_from_slice(&version.to_le_bytes());
        buf.extend_from_slice(self.name.as_bytes());
        xxh3_64(&buf)
    }
}
