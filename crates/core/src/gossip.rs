//! Gossip of versioned facts: push and anti-entropy.
//!
//! A fact is accepted only with a higher version, which the platform assigns, so no peer can revert it. New facts are
//! pushed immediately to a few peers, each of which pushes the facts that are new to it. Facts missed by a push are
//! found by comparing hashes, which are sent with the probes of [`crate::member`].

use {
    pondtrack_proto::{DIGEST_BUCKETS, Digest, Fact, FactKey, FactKind, MemberView, Payload},
    rand::{Rng, RngExt, seq::SliceRandom},
    strum::{Display, EnumString, IntoStaticStr},
};

/// Number of peers to which new facts are pushed.
pub const FANOUT: usize = 4;
/// Maximum size of the facts in one datagram, in bytes. A single larger fact is sent alone.
const MAX_DATAGRAM: usize = 1_200;
/// Maximum number of keys in one message. A bucket isn't split, so a list of versions may exceed it by one bucket.
const MAX_KEYS: usize = 400;

/// Method of selecting the peers for a push.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum PeerSelection {
    /// Uniform selection among all members.
    #[default]
    Uniform,
    /// Half from the instance's own group, which has about the square root of the fleet's size, half from other groups.
    /// Follows the affinity groups of Rowaihy et al., "A Churn-Resistant Peer-to-Peer Web Caching System".
    Groups,
}

/// Facts stored by one instance.
#[derive(Clone, Debug)]
pub struct FactStore {
    facts: Vec<Fact>,
    buckets: [u64; DIGEST_BUCKETS],
}

impl Default for FactStore {
    fn default() -> FactStore {
        FactStore { facts: Vec::new(), buckets: [0; DIGEST_BUCKETS] }
    }
}

impl FactStore {
    /// Returns all facts, sorted by key.
    pub fn facts(&self) -> &[Fact] {
        &self.facts
    }

    /// Returns the facts of one kind.
    pub fn of_kind(&self, kind: FactKind) -> impl Iterator<Item = &Fact> {
        let from = self.facts.partition_point(|f| f.key.kind < kind);
        self.facts[from..].iter().take_while(move |f| f.key.kind == kind)
    }

    /// Returns the fact with a key.
    pub fn get(&self, key: &FactKey) -> Option<&Fact> {
        let at = self.find(key).ok()?;
        Some(&self.facts[at])
    }

    /// Returns the version of a fact, or 0 if the fact is unknown.
    pub fn version(&self, key: &FactKey) -> u64 {
        self.get(key).map_or(0, |f| f.version)
    }

    /// Returns the hash of all facts.
    pub fn hash(&self) -> u64 {
        self.buckets.iter().fold(0, |sum, bucket| sum.rotate_left(1) ^ bucket)
    }

    /// Returns the digest, with one hash for each bucket.
    pub fn digest(&self) -> Digest {
        Digest { buckets: self.buckets.to_vec() }
    }

    /// Stores a fact if its version is higher than the stored one. Returns true if it was stored.
    pub fn accept(&mut self, fact: Fact) -> bool {
        let at = self.find(&fact.key);
        let bucket = fact.key.bucket();
        match at {
            Ok(at) if self.facts[at].version >= fact.version => return false,
            Ok(at) => {
                let old = &self.facts[at];
                self.buckets[bucket] ^= old.key.hash_at(old.version);
                self.buckets[bucket] ^= fact.key.hash_at(fact.version);
                self.facts[at] = fact;
            }
            Err(at) => {
                self.buckets[bucket] ^= fact.key.hash_at(fact.version);
                self.facts.insert(at, fact);
            }
        }
        true
    }

    /// Returns the response to a digest: the versions of the facts in buckets that differ, or `None` if no bucket
    /// differs or the digest is malformed.
    pub fn compare(&self, theirs: &Digest) -> Option<Payload> {
        if theirs.buckets.len() != DIGEST_BUCKETS {
            return None;
        }
        let differs = |n: &usize| self.buckets[*n] != theirs.buckets[*n];
        let mut keys = Vec::new();
        let mut buckets = Vec::new();
        for n in (0..DIGEST_BUCKETS).filter(differs) {
            if keys.len() >= MAX_KEYS {
                break;
            }
            buckets.push(n as u8);
            let own = self.facts.iter().filter(|f| f.key.bucket() == n);
            keys.extend(own.map(|f| (f.key.clone(), f.version)));
        }
        (!buckets.is_empty()).then_some(Payload::Versions { keys, buckets })
    }

    /// Returns the response to a list of versions: the facts that are newer here, and requests for those that are newer
    /// at the sender.
    pub fn diff(&self, keys: &[(FactKey, u64)], buckets: &[u8]) -> Vec<Payload> {
        let mut theirs = keys.to_vec();
        theirs.sort();
        let known = |key: &FactKey| theirs.binary_search_by(|t| t.0.cmp(key)).map_or(0, |at| theirs[at].1);
        let covered = self.facts.iter().filter(|f| buckets.contains(&(f.key.bucket() as u8)));
        let newer = covered.filter(|f| f.version > known(&f.key)).cloned().collect();
        let mut out = pack(newer);
        let want: Vec<FactKey> =
            theirs.iter().filter(|t| t.1 > self.version(&t.0)).map(|t| t.0.clone()).collect();
        out.extend(want.chunks(MAX_KEYS).map(|keys| Payload::Want { keys: keys.to_vec() }));
        out
    }

    /// Returns the requested facts.
    pub fn fetch(&self, keys: &[FactKey]) -> Vec<Payload> {
        pack(keys.iter().filter_map(|key| self.get(key)).cloned().collect())
    }

    fn find(&self, key: &FactKey) -> Result<usize, usize> {
        self.facts.binary_search_by(|f| f.key.cmp(key))
    }
}

/// Packs facts in order into messages of at most one datagram each.
pub fn pack(facts: Vec<Fact>) -> Vec<Payload> {
    let mut out = Vec::new();
    let mut batch = Vec::new();
    let mut size = 0;
    for fact in facts {
        let n = fact.value.len() + fact.key.name.len() + 16;
        if size + n > MAX_DATAGRAM && !batch.is_empty() {
            out.push(Payload::Facts { facts: std::mem::take(&mut batch) });
            size = 0;
        }
        size += n;
        batch.push(fact);
    }
    if !batch.is_empty() {
        out.push(Payload::Facts { facts: batch });
    }
    out
}

/// Selects the peers for a push. `members` doesn't include the instance itself, whose name is `me`.
pub fn select_peers<'a>(
    selection: PeerSelection,
    me: &str,
    members: &[&'a MemberView],
    rng: &mut impl Rng,
) -> Vec<&'a MemberView> {
    match selection {
        PeerSelection::Uniform => sample(members.to_vec(), FANOUT, rng),
        PeerSelection::Groups => {
            let groups = (members.len() as f64 + 1.0).sqrt().round().max(1.0) as u64;
            let group = |name: &str| crate::placement::rendezvous_hash("group", name) % groups;
            let own = group(me);
            let (local, remote): (Vec<&MemberView>, Vec<&MemberView>) =
                members.iter().partition(|m| group(&m.name) == own);
            let mut out = sample(local, FANOUT / 2, rng);
            let rest = FANOUT - out.len();
            out.extend(sample(remote, rest, rng));
            out
        }
    }
}

fn sample<'a>(mut from: Vec<&'a MemberView>, n: usize, rng: &mut impl Rng) -> Vec<&'a MemberView> {
    if from.len() <= n {
        from.shuffle(rng);
        return from;
    }
    let mut out = Vec::with_capacity(n);
    for _ in 0..n {
        let at = rng.random_range(0..from.len());
        out.push(from.swap_remove(at));
    }
    out
}
