//! Placement of groups on home instances, and the connection shares of the homes.
//!
//! Each group has one home in each availability zone with one of its servers, chosen by rendezvous hashing over the
//! instances of the zone. When an instance joins or leaves, only the groups that it wins or had are moved.

use {
    pondtrack_proto::{GroupSpec, MemberState, MemberView, Name},
    std::cmp::Reverse,
    xxhash_rust::xxh3::xxh3_64,
};

/// Maximum number of homes of a group.
pub const MAX_HOMES: usize = 3;
/// Number of connections to each server that a home keeps for its own queries and commands.
pub const CONTROL_CONNS: u32 = 2;

/// Returns the rendezvous hash of an instance for a key. The instance with the highest hash is chosen.
pub fn rendezvous_hash(key: &str, instance: &str) -> u64 {
    let mut text = String::with_capacity(key.len() + instance.len() + 1);
    text.push_str(key);
    text.push('\n');
    text.push_str(instance);
    xxh3_64(text.as_bytes())
}

/// Returns true if an instance takes part in placement. A suspected instance takes part, as it may
/// refute the suspicion.
pub fn is_eligible(member: &MemberView) -> bool {
    matches!(member.state, MemberState::Alive | MemberState::Suspect)
}

/// Returns the eligible member with the highest hash for a key.
pub fn pick_member<'a>(key: &str, members: impl Iterator<Item = &'a MemberView>) -> Option<&'a MemberView> {
    members.filter(|m| is_eligible(m)).max_by_key(|m| (rendezvous_hash(key, &m.name), &m.name))
}

/// Returns the homes of a group in the order of their ranks.
pub fn homes(spec: &GroupSpec, members: &[MemberView]) -> Vec<Name> {
    let mut zones: Vec<&Name> = spec.servers.iter().map(|s| &s.zone).collect();
    zones.sort_unstable();
    zones.dedup();
    let in_zone = |zone: &&Name| pick_member(&spec.name, members.iter().filter(|m| m.zone == **zone));
    let mut homes: Vec<&MemberView> = zones.iter().filter_map(in_zone).collect();
    if homes.is_empty() {
        // No zone of a server has an instance, so an instance of any zone becomes the home.
        homes.extend(pick_member(&spec.name, members.iter()));
    }
    homes.sort_by_key(|m| (Reverse(rendezvous_hash(&spec.name, &m.name)), m.name.clone()));
    homes.truncate(MAX_HOMES);
    homes.into_iter().map(|m| m.name.clone()).collect()
}

/// Returns the homes in the order in which an instance in `zone` tries them: those of its own zone first.
pub fn own_zone_first(homes: &[Name], members: &[MemberView], zone: &str) -> Vec<Name> {
    let is_local = |name: &Name| find(members, name).is_some_and(|m| m.zone == zone);
    let mut sorted = homes.to_vec();
    sorted.sort_by_key(|name| !is_local(name));
    sorted
}

/// Finds a member by name in a list sorted by name.
pub fn find<'a>(members: &'a [MemberView], name: &str) -> Option<&'a MemberView> {
    let at = members.binary_search_by(|m| m.name.as_str().cmp(name)).ok()?;
    Some(&members[at])
}

/// Returns the number of connections that the home of `rank` out of `homes` may open to each server for callers' requests.
///
/// The sum of the shares and the control connections of all homes never exceeds `limit`.
pub fn connection_share(limit: u32, homes: usize, rank: usize) -> u32 {
    let n = homes.max(1) as u32;
    let usable = limit.saturating_sub(n * CONTROL_CONNS);
    let extra = u32::from((rank as u32) < usable % n);
    usable / n + extra
}

/// Connections of each home to a server that has too few for every instance to be a home. With this many, an idle
/// transaction doesn't block other requests.
const CONNS_PER_HOME: usize = 8;
/// Minimum number of connections per instance with which every instance is a home.
const MIN_OWN_CONNS: usize = 2;

/// Returns the number of homes of a server that accepts `limit` connections, among `instances`: all of them if each gets
/// enough connections, few otherwise.
pub fn home_count(limit: usize, instances: usize) -> usize {
    let instances = instances.max(1);
    match limit / instances {
        each if each >= MIN_OWN_CONNS => instances,
        _ => (limit / CONNS_PER_HOME).clamp(1, instances),
    }
}

/// Instance that can be chosen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate<'a> {
    /// Name of the instance.
    pub name: &'a Name,
    /// Availability zone of the instance.
    pub zone: &'a Name,
    /// Relative frequency with which the instance is chosen; above zero.
    pub weight: f64,
}

impl<'a> Candidate<'a> {
    /// Returns the sort key for a placement key. The chosen instance has the lowest one.
    fn sort_key(&self, key: &str, is_uniform: bool) -> (Reverse<u64>, Reverse<u64>, &'a Name) {
        let hash = rendezvous_hash(key, self.name);
        // Scores are positive, so their bit patterns have the same order.
        let score = if is_uniform { 0 } else { self.score(hash).to_bits() };
        (Reverse(score), Reverse(hash), self.name)
    }

    /// Returns the weighted rendezvous score; the highest is chosen. An instance is chosen in proportion to its weight, and
    /// a change of its weight moves only the keys that it wins or had.
    fn score(&self, hash: u64) -> f64 {
        // A 52-bit integer plus one half, divided by 2^52, is in (0, 1) and exactly representable.
        let uniform = ((hash >> 12) as f64 + 0.5) / (1_u64 << 52) as f64;
        -self.weight / uniform.ln()
    }
}

/// Sorts instances by their scores for a key, the highest first. With equal weights this is the order of
/// [`rendezvous_hash`].
pub fn sort(key: &str, all: &mut [Candidate<'_>]) {
    let is_uniform = is_uniform(all);
    all.sort_by_cached_key(|c| c.sort_key(key, is_uniform));
}

/// Returns the instance with the highest score for a key.
pub fn pick<'a>(key: &str, all: &[Candidate<'a>]) -> Option<&'a Name> {
    let is_uniform = is_uniform(all);
    all.iter().min_by_key(|c| c.sort_key(key, is_uniform)).map(|c| c.name)
}

/// Returns true if all weights are equal.
fn is_uniform(all: &[Candidate<'_>]) -> bool {
    all.windows(2).all(|pair| pair[0].weight == pair[1].weight)
}

/// Returns the instances in the order in which they are homes for a key: those of its zone first, then by score.
pub fn rank<'a>(key: &str, zone: &str, instances: impl Iterator<Item = Candidate<'a>>) -> Vec<Name> {
    let mut all: Vec<Candidate<'a>> = instances.collect();
    sort(key, &mut all);
    all.sort_by_key(|c| c.zone != zone);
    all.into_iter().map(|c| c.name.clone()).collect()
}

/// Returns the instances that hold the watches on the platform's store: one in each availability zone.
pub fn watchers(members: &[MemberView]) -> Vec<Name> {
    let mut zones: Vec<&Name> = members.iter().map(|m| &m.zone).collect();
    zones.sort_unstable();
    zones.dedup();
    let in_zone = |zone: &&Name| pick_member("watch", members.iter().filter(|m| m.zone == **zone));
    zones.iter().filter_map(in_zone).map(|m| m.name.clone()).collect()
}
