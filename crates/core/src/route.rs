//! Which server answers a read.
//!
//! The choice is made from what the last answers showed; whether it was right is checked on the answer
//! itself, so an old view costs a retry and never a wrong read.

use {
    crate::Time,
    pondtrack_proto::{LogPosition, Lsn, Name, Term},
};

/// Costs and bounds of the choice, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteConfig {
    /// The longest time a read waits at a replica for its mark.
    pub max_wait: u64,
    /// What another availability zone counts.
    pub zone_cost: u64,
    /// What each request running or queued there counts.
    pub queue_cost: u64,
    /// A server not heard for this long gets no reads.
    pub max_silence: u64,
}

impl Default for RouteConfig {
    fn default() -> RouteConfig {
        RouteConfig { max_wait: 60, zone_cost: 2, queue_cost: 1, max_silence: 300 }
    }
}

/// What is known of a server when a read is routed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Its place in the group.
    pub server: usize,
    /// Its availability zone.
    pub zone: Name,
    /// Whether it is the primary.
    pub is_primary: bool,
    /// Whether new work may go there: it isn't draining and its connections work.
    pub accepts_work: bool,
    /// When it last answered.
    pub last_contact: Option<Time>,
    /// Its term.
    pub term: Term,
    /// The last entry of its log.
    pub received: LogPosition,
    /// What its reads show.
    pub applied: Lsn,
    /// How far it was behind the primary lately, in milliseconds.
    pub lag: u64,
    /// Requests running or queued there.
    pub queued: usize,
}

/// Where a read goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// To a replica, which may wait so long for the mark.
    Replica {
        /// The server.
        server: usize,
        /// The longest wait there, in milliseconds.
        wait: u64,
    },
    /// To the primary.
    Primary {
        /// The server.
        server: usize,
    },
    /// Unavailable at present.
    Unavailable,
}

/// Whether a replica's own account allows it to answer a read that needs `mark`.
///
/// Its log has to end with an entry of the term it follows: then a majority, the primary and itself,
/// holds all it shows. A term below the mark's may show what was dropped since.
pub fn can_answer(term: Term, received: LogPosition, applied: Lsn, mark: LogPosition) -> bool {
    received.term == term && term >= mark.term && applied >= mark.lsn
}

/// Chooses a server for a read that needs `mark`, leaving out those already tried.
///
/// `aged` tells of a candidate whether policy lets it answer as it is; with no stated age it says yes.
pub fn choose(
    config: &RouteConfig,
    now: Time,
    zone: &str,
    mark: LogPosition,
    candidates: &[Candidate],
    tried: &[usize],
    aged: impl Fn(&Candidate) -> bool,
) -> Target {
    let usable = |it: &&Candidate| {
        let heard = it.last_contact.is_some_and(|at| now.saturating_sub(at) <= config.max_silence);
        it.accepts_work && heard && !tried.contains(&it.server)
    };
    let cost = |it: &Candidate| {
        let away = if it.zone == zone { 0 } else { config.zone_cost };
        away + config.queue_cost * it.queued as u64
    };
    let wait = |it: &Candidate| if it.applied >= mark.lsn { 0 } else { it.lag.max(1) };
    let replicas = candidates
        .iter()
        .filter(usable)
        .filter(|it| !it.is_primary && it.received.term == it.term && it.term >= mark.term)
        .filter(|it| wait(it) <= config.max_wait && aged(it));
    match replicas.min_by_key(|it| (cost(it) + wait(it), it.server)) {
        Some(it) => Target::Replica { server: it.server, wait: config.max_wait },
        None => match candidates.iter().filter(usable).find(|it| it.is_primary) {
            Some(it) => Target::Primary { server: it.server },
            None => Target::Unavailable,
        },
    }
}
