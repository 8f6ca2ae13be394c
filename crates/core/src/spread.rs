//! Versioned facts, pushes and digests.
//!
//! A fact is accepted only at a higher version of the platform's, so nothing reverts whoever tells it.
//! News are pushed at once to a few peers, each of which pushes what is new to it; what a push missed is
//! found by comparing hashes, which travel with the probes of [`crate::member`].

use {
    pondtrack_proto::{BUCKETS, Digest, Fact, FactKey, FactKind, MemberView, Payload},
    rand::{Rng, RngExt, seq::SliceRandom},
    strum::{Display, EnumString, IntoStaticStr},
};

/// Peers to which news are pushed.
pub const FANOUT: usize = 4;
/// Bytes of facts put into one datagram, a single larger fact excepted.
const DATAGRAM: usize = 1_200;
/// Keys put into one list of versions.
const KEYS: usize = 400;

/// How peers for a push are chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Choice {
    /// Any members with the same chance.
    #[default]
    Uniform,
    /// Half from the own group of about the square root of the fleet, half from elsewhere; after the
    /// affinity groups of Rowaihy et al., "A Churn-Resistant Peer-to-Peer Web Caching System".
    Groups,
}

/// The facts of one instance.
#[derive(Clone, Debug)]
pub struct Spread {
    facts: Vec<Fact>,
    buckets: [u64; BUCKETS],
}

impl Default for Spread {
    fn default() -> Spread {
        Spread { facts: Vec::new(), buckets: [0; BUCKETS] }
    }
}

impl Spread {
    /// All facts, sorted by key.
    pub fn facts(&self) -> &[Fact] {
        &self.facts
    }

    /// Facts of one kind.
    pub fn of_kind(&self, kind: FactKind) -> impl Iterator<Item = &Fact> {
        let from = self.facts.partition_point(|it| it.key.kind < kind);
        self.facts[from..].iter().take_while(move |it| it.key.kind == kind)
    }

    /// One fact.
    pub fn get(&self, key: &FactKey) -> Option<&Fact> {
        let at = self.find(key).ok()?;
        Some(&self.facts[at])
    }

    /// The version of a fact; 0 when it is unknown.
    pub fn version(&self, key: &FactKey) -> u64 {
        self.get(key).map_or(0, |it| it.version)
    }

    /// The hash over all facts.
    pub fn hash(&self) -> u64 {
        self.buckets.iter().fold(0, |sum, it| sum.rotate_left(1) ^ it)
    }

    /// The digest that is compared bucket by bucket.
    pub fn digest(&self) -> Digest {
        Digest { buckets: self.buckets.to_vec() }
    }

    /// Takes a fact; hands back whether it is news.
    pub fn accept(&mut self, fact: Fact) -> bool {
        let at = self.find(&fact.key);
        let bucket = fact.key.bucket();
        match at {
            Ok(at) if self.facts[at].version >= fact.version => return false,
            Ok(at) => {
                let old = &self.facts[at];
                self.buckets[bucket] ^= old.key.hash(old.version);
                self.buckets[bucket] ^= fact.key.hash(fact.version);
                self.facts[at] = fact;
            }
            Err(at) => {
                self.buckets[bucket] ^= fact.key.hash(fact.version);
                self.facts.insert(at, fact);
            }
        }
        true
    }

    /// Answers a digest: the versions in every bucket that differs.
    pub fn compare(&self, theirs: &Digest) -> Option<Payload> {
        if theirs.buckets.len() != BUCKETS {
            return None;
        }
        let differs = |n: &usize| self.buckets[*n] != theirs.buckets[*n];
        let mut keys = Vec::new();
        let mut buckets = Vec::new();
        for n in (0..BUCKETS).filter(differs) {
            if keys.len() >= KEYS {
                break;
            }
            buckets.push(n as u8);
            let here = self.facts.iter().filter(|it| it.key.bucket() == n);
            keys.extend(here.map(|it| (it.key.clone(), it.version)));
        }
        (!buckets.is_empty()).then_some(Payload::Versions { keys, buckets })
    }

    /// Answers a list of versions: what is newer here, and a wish for what is newer there.
    pub fn versions(&self, keys: &[(FactKey, u64)], buckets: &[u8]) -> Vec<Payload> {
        let mut theirs = keys.to_vec();
        theirs.sort();
        let known = |key: &FactKey| theirs.binary_search_by(|it| it.0.cmp(key)).map_or(0, |at| theirs[at].1);
        let covered = self.facts.iter().filter(|it| buckets.contains(&(it.key.bucket() as u8)));
        let newer = covered.filter(|it| it.version > known(&it.key)).cloned().collect();
        let mut out = pack(newer);
        let want: Vec<FactKey> =
            theirs.iter().filter(|it| it.1 > self.version(&it.0)).map(|it| it.0.clone()).collect();
        out.extend(want.chunks(KEYS).map(|it| Payload::Want { keys: it.to_vec() }));
        out
    }

    /// Answers a wish.
    pub fn wanted(&self, keys: &[FactKey]) -> Vec<Payload> {
        pack(keys.iter().filter_map(|it| self.get(it)).cloned().collect())
    }

    fn find(&self, key: &FactKey) -> Result<usize, usize> {
        self.facts.binary_search_by(|it| it.key.cmp(key))
    }
}

/// Puts facts into as few messages as their size allows.
pub fn pack(facts: Vec<Fact>) -> Vec<Payload> {
    let mut out = Vec::new();
    let mut some = Vec::new();
    let mut size = 0;
    for it in facts {
        let n = it.value.len() + it.key.name.len() + 16;
        if size + n > DATAGRAM && !some.is_empty() {
            out.push(Payload::Facts { facts: std::mem::take(&mut some) });
            size = 0;
        }
        size += n;
        some.push(it);
    }
    if !some.is_empty() {
        out.push(Payload::Facts { facts: some });
    }
    out
}

/// Chooses the peers for a push among members other than oneself.
pub fn peers<'a>(
    choice: Choice,
    me: &str,
    members: &[&'a MemberView],
    rng: &mut impl Rng,
) -> Vec<&'a MemberView> {
    match choice {
        Choice::Uniform => sample(members.to_vec(), FANOUT, rng),
        Choice::Groups => {
            let groups = (members.len() as f64 + 1.0).sqrt().round().max(1.0) as u64;
            let group = |name: &str| crate::placement::rendezvous_hash("group", name) % groups;
            let mine = group(me);
            let (near, far): (Vec<&MemberView>, Vec<&MemberView>) =
                members.iter().partition(|it| group(&it.name) == mine);
            let mut out = sample(near, FANOUT / 2, rng);
            let rest = FANOUT - out.len();
            out.extend(sample(far, rest, rng));
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
