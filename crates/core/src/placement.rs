//! Home instances and their shares of connections.
//!
//! Each group has one home in each availability zone that holds one of its servers, by rendezvous hashing
//! over the zone's instances. A join or leave moves only the groups that the instance wins or had.

use {
    pondtrack_proto::{GroupSpec, MemberState, MemberView, Name},
    std::cmp::Reverse,
    xxhash_rust::xxh3::xxh3_64,
};

/// Most homes of a group.
pub const MAX_HOMES: usize = 3;
/// Connections to each server that a home keeps for its own questions and orders.
pub const CONTROL_CONNS: u32 = 2;

/// The weight of an instance for a subject; the highest wins.
pub fn rendezvous_hash(subject: &str, instance: &str) -> u64 {
    let mut text = String::with_capacity(subject.len() + instance.len() + 1);
    text.push_str(subject);
    text.push('\n');
    text.push_str(instance);
    xxh3_64(text.as_bytes())
}

/// Whether an instance takes part in placement. A suspect may refute, so nothing moves for it yet.
pub fn is_eligible(it: &MemberView) -> bool {
    matches!(it.state, MemberState::Alive | MemberState::Suspect)
}

/// The instance that wins a subject.
pub fn pick_member<'a>(
    subject: &str,
    members: impl Iterator<Item = &'a MemberView>,
) -> Option<&'a MemberView> {
    members.filter(|it| is_eligible(it)).max_by_key(|it| (rendezvous_hash(subject, &it.name), &it.name))
}

/// The homes of a group, the first one first.
pub fn homes(spec: &GroupSpec, members: &[MemberView]) -> Vec<Name> {
    let mut zones: Vec<&Name> = spec.servers.iter().map(|it| &it.zone).collect();
    zones.sort_unstable();
    zones.dedup();
    let in_zone = |zone: &&Name| pick_member(&spec.name, members.iter().filter(|it| it.zone == **zone));
    let mut out: Vec<&MemberView> = zones.iter().filter_map(in_zone).collect();
    if out.is_empty() {
        // No instance lives beside a server; any will do.
        out.extend(pick_member(&spec.name, members.iter()));
    }
    out.sort_by_key(|it| (Reverse(rendezvous_hash(&spec.name, &it.name)), it.name.clone()));
    out.truncate(MAX_HOMES);
    out.into_iter().map(|it| it.name.clone()).collect()
}

/// The order in which an instance in `zone` tries the homes: its own zone's first.
pub fn own_zone_first(homes: &[Name], members: &[MemberView], zone: &str) -> Vec<Name> {
    let near = |it: &Name| find(members, it).is_some_and(|m| m.zone == zone);
    let mut out = homes.to_vec();
    out.sort_by_key(|it| !near(it));
    out
}

/// Finds a member by name in a sorted list.
pub fn find<'a>(members: &'a [MemberView], name: &str) -> Option<&'a MemberView> {
    let at = members.binary_search_by(|it| it.name.as_str().cmp(name)).ok()?;
    Some(&members[at])
}

/// How many connections the home of `rank` out of `homes` may open to each server for callers' work.
///
/// The shares of all homes and their control connections never add up to more than `limit`.
pub fn connection_share(limit: u32, homes: usize, rank: usize) -> u32 {
    let n = homes.max(1) as u32;
    let usable = limit.saturating_sub(n * CONTROL_CONNS);
    let extra = u32::from((rank as u32) < usable % n);
    usable / n + extra
}

/// Connections that a home has to a server where not every instance can be one: enough that a transaction
/// which rests doesn't hold others up.
const HOME_CONNS: usize = 8;
/// The fewest connections with which an instance is its own home.
const OWN_CONNS: usize = 2;

/// How many homes a server with room for `limit` connections has among `instances`: all of them where
/// that leaves each enough, few otherwise.
pub fn home_count(limit: usize, instances: usize) -> usize {
    let instances = instances.max(1);
    match limit / instances {
        each if each >= OWN_CONNS => instances,
        _ => (limit / HOME_CONNS).clamp(1, instances),
    }
}

/// An instance that can be chosen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate<'a> {
    /// Its name.
    pub name: &'a Name,
    /// Its availability zone.
    pub zone: &'a Name,
    /// How often it is chosen beside others; above zero.
    pub weight: f64,
}

impl<'a> Candidate<'a> {
    /// Sorts it among others, the winner first.
    fn key(&self, subject: &str, is_even: bool) -> (Reverse<u64>, Reverse<u64>, &'a Name) {
        let hash = rendezvous_hash(subject, self.name);
        // Scores are above zero, where the order of their bits is theirs.
        let score = if is_even { 0 } else { self.score(hash).to_bits() };
        (Reverse(score), Reverse(hash), self.name)
    }

    /// Where it comes for a subject: the highest wins. What it wins is in proportion to its weight, and a change of one
    /// instance's weight moves only what that one wins or had.
    fn score(&self, hash: u64) -> f64 {
        // Halves above whole numbers of 52 bits, in (0, 1) and exact.
        let at = ((hash >> 12) as f64 + 0.5) / (1_u64 << 52) as f64;
        -self.weight / at.ln()
    }
}

/// Sorts instances by how they come for a subject, the winner first. Where all weigh the same this is the order of
/// [`rendezvous_hash`].
pub fn sort(subject: &str, all: &mut [Candidate<'_>]) {
    let is_even = is_even(all);
    all.sort_by_cached_key(|it| it.key(subject, is_even));
}

/// The instance that wins a subject.
pub fn pick<'a>(subject: &str, all: &[Candidate<'a>]) -> Option<&'a Name> {
    let is_even = is_even(all);
    all.iter().min_by_key(|it| it.key(subject, is_even)).map(|it| it.name)
}

fn is_even(all: &[Candidate<'_>]) -> bool {
    all.windows(2).all(|it| it[0].weight == it[1].weight)
}

/// Instances in the order in which they are homes of a subject: those of its zone first, then by weight.
pub fn rank<'a>(subject: &str, zone: &str, instances: impl Iterator<Item = Candidate<'a>>) -> Vec<Name> {
    let mut all: Vec<Candidate<'a>> = instances.collect();
    sort(subject, &mut all);
    all.sort_by_key(|it| it.zone != zone);
    all.into_iter().map(|it| it.name.clone()).collect()
}

/// The few instances that hold the platform's watches: one in each availability zone.
pub fn watchers(members: &[MemberView]) -> Vec<Name> {
    let mut zones: Vec<&Name> = members.iter().map(|it| &it.zone).collect();
    zones.sort_unstable();
    zones.dedup();
    let in_zone = |zone: &&Name| pick_member("watch", members.iter().filter(|it| it.zone == **zone));
    zones.iter().filter_map(in_zone).map(|it| it.name.clone()).collect()
}
