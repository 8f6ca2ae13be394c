//! Routing of reads to servers.
//!
//! The choice is based on the servers' last responses. The response to the read itself is checked for the required
//! position, so a stale view causes a retry and never a wrong read.

use {
    crate::Time,
    pondtrack_proto::{LogPosition, Lsn, Name, Term},
};

/// Costs and limits of read routing, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteConfig {
    /// Maximum time for which a read waits at a replica until its mark is applied.
    pub max_wait: u64,
    /// Cost of a server in another availability zone.
    pub zone_cost: u64,
    /// Cost of each request that runs or is queued at the server.
    pub queue_cost: u64,
    /// Time since the last contact after which a server gets no reads.
    pub max_silence: u64,
}

impl Default for RouteConfig {
    fn default() -> RouteConfig {
        RouteConfig { max_wait: 60, zone_cost: 2, queue_cost: 1, max_silence: 300 }
    }
}

/// State of a server that reads can be routed to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Index of the server in the group.
    pub server: usize,
    /// Availability zone of the server.
    pub zone: Name,
    /// True if the server is the primary.
    pub is_primary: bool,
    /// True if the server accepts new requests: it isn't draining and its connections work.
    pub accepts_work: bool,
    /// Time of the last response.
    pub last_contact: Option<Time>,
    /// Term of the server.
    pub term: Term,
    /// Position of the last entry of the log.
    pub received: LogPosition,
    /// Position up to which the log is applied and visible to reads.
    pub applied: Lsn,
    /// Recent lag behind the primary, in milliseconds.
    pub lag: u64,
    /// Number of requests that run or are queued at the server.
    pub queued: usize,
}

/// Destination of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// A replica.
    Replica {
        /// Index of the server in the group.
        server: usize,
        /// Maximum wait for the mark at the replica, in milliseconds.
        wait: u64,
    },
    /// The primary.
    Primary {
        /// Index of the server in the group.
        server: usize,
    },
    /// No server is available at present.
    Unavailable,
}

/// Returns true if a replica with this reported state may answer a read that needs `mark`.
///
/// The log must end with an entry of the term that the replica follows: then a majority, the primary and the replica,
/// holds every visible entry. A replica at a term below the mark's may show entries that were discarded since.
pub fn can_answer(term: Term, received: LogPosition, applied: Lsn, mark: LogPosition) -> bool {
    received.term == term && term >= mark.term && applied >= mark.lsn
}

/// Chooses a server for a read that needs `mark`, other than those in `tried`.
///
/// `is_fresh` returns true if the staleness of a replica is within the read's policy, or if the policy sets no maximum age.
pub fn choose(
    config: &RouteConfig,
    now: Time,
    zone: &str,
    mark: LogPosition,
    candidates: &[Candidate],
    tried: &[usize],
    is_fresh: impl Fn(&Candidate) -> bool,
) -> Target {
    let usable = |c: &&Candidate| {
        let in_contact = c.last_contact.is_some_and(|at| now.saturating_sub(at) <= config.max_silence);
        c.accepts_work && in_contact && !tried.contains(&c.server)
    };
    let cost = |c: &Candidate| {
        let zone_cost = if c.zone == zone { 0 } else { config.zone_cost };
        zone_cost + config.queue_cost * c.queued as u64
    };
    let wait = |c: &Candidate| if c.applied >= mark.lsn { 0 } else { c.lag.max(1) };
    let replicas = candidates
        .iter()
        .filter(usable)
        .filter(|c| !c.is_primary && c.received.term == c.term && c.term >= mark.term)
        .filter(|c| wait(c) <= config.max_wait && is_fresh(c));
    match replicas.min_by_key(|c| (cost(c) + wait(c), c.server)) {
        Some(c) => Target::Replica { server: c.server, wait: config.max_wait },
        None => match candidates.iter().filter(usable).find(|c| c.is_primary) {
            Some(c) => Target::Primary { server: c.server },
            None => Target::Unavailable,
        },
    }
}
