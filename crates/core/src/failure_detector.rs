//! Failure detection for primaries.
//!
//! A verdict only starts a failover. [`crate::promotion`] and [`crate::commit_gate`] ensure that the failover loses
//! nothing, so the timeouts here only trade downtime against needless failovers.

use {
    crate::Time,
    pondtrack_proto::{Name, Term},
    strum::{Display, IntoStaticStr},
};

/// Timeouts of the detector, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DetectorConfig {
    /// Time without a response after which a primary is considered failed.
    pub silence_timeout: u64,
    /// The same while its address refuses connections, which means that the process has ended.
    pub refused_timeout: u64,
    /// Time for which commits may wait without progress of any replica.
    pub stall_timeout: u64,
    /// Additional delay per rank among the homes.
    pub rank_delay: u64,
    /// Time between two polls above which this instance itself was paused.
    pub pause_threshold: u64,
}

impl Default for DetectorConfig {
    fn default() -> DetectorConfig {
        DetectorConfig {
            silence_timeout: 400,
            refused_timeout: 150,
            stall_timeout: 500,
            rank_delay: 400,
            pause_threshold: 250,
        }
    }
}

/// A home's last contact with a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LastContact {
    /// Time of the last response.
    pub answered_at: Option<Time>,
    /// Time since which its address has refused connections.
    pub refused_since: Option<Time>,
}

/// Cause of a failover.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Cause {
    /// The primary doesn't respond.
    Silent,
    /// The primary's address refuses connections.
    Refused,
    /// The primary responds, but its replicas don't receive its writes.
    Stalled,
    /// No server of the group is the primary.
    Absent,
    /// A server has a higher term than the primary, as after a failed failover, and can't rejoin.
    Stranded,
}

/// Another home's report about a primary.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Opinion {
    /// The home.
    pub from: Name,
    /// The term of the primary that the home currently reaches; none if it reaches none.
    pub term: Option<Term>,
    /// True if the home's own commits wait for replicas.
    pub stalled: bool,
}

/// Failure detector for one group at one home.
#[derive(Clone, Debug)]
pub struct FailureDetector {
    config: DetectorConfig,
    last_poll: Option<Time>,
    /// Start of the evidence: the detector's creation, or the end of the last pause of this instance.
    since: Time,
}

impl FailureDetector {
    /// Creates a detector without evidence.
    pub fn new(config: DetectorConfig, now: Time) -> FailureDetector {
        FailureDetector { config, last_poll: None, since: now }
    }

    /// Records a poll. Returns true if this instance was paused since the last one, so that its evidence must be
    /// discarded.
    pub fn poll(&mut self, now: Time) -> bool {
        let paused = self.last_poll.is_some_and(|at| now.saturating_sub(at) > self.config.pause_threshold);
        self.last_poll = Some(now);
        if paused {
            self.since = now;
        }
        paused
    }

    /// Returns the cause if the home of this `rank` considers the primary failed.
    ///
    /// `absent` is the time since which no server has been the primary, and `stalled` the time since which commits have
    /// waited at the gate without progress.
    pub fn evaluate(
        &self,
        now: Time,
        rank: usize,
        primary: Option<&LastContact>,
        absent: Option<Time>,
        stalled: Option<Time>,
    ) -> Option<Cause> {
        let delay = rank as u64 * self.config.rank_delay;
        let elapsed = |from: Time, limit: u64| now.saturating_sub(from.max(self.since)) >= limit + delay;
        match primary {
            None => {
                absent.is_some_and(|at| elapsed(at, self.config.silence_timeout)).then_some(Cause::Absent)
            }
            Some(c) if c.refused_since.is_some_and(|at| elapsed(at, self.config.refused_timeout)) => {
                Some(Cause::Refused)
            }
            Some(c) if elapsed(c.answered_at.unwrap_or(self.since), self.config.silence_timeout) => {
                Some(Cause::Silent)
            }
            Some(_) if stalled.is_some_and(|at| elapsed(at, self.config.stall_timeout)) => {
                Some(Cause::Stalled)
            }
            Some(_) => None,
        }
    }

    /// Returns true if another home's report vetoes a failover from the primary of `term`; for [`Cause::Stranded`],
    /// `term` is the stranded server's.
    ///
    /// A home that reaches a primary of that term or a later one vetoes the failover, unless its own commits wait for
    /// replicas. A stall is only noticed by homes that write, so against a stall only a primary of a later term counts.
    pub fn is_vetoed(&self, cause: Cause, term: Term, opinions: &[Opinion]) -> bool {
        let reaches = |opinion: &Opinion| match cause {
            Cause::Stalled => opinion.term > Some(term),
            Cause::Silent | Cause::Refused | Cause::Absent | Cause::Stranded => opinion.term >= Some(term),
        };
        opinions.iter().any(|opinion| reaches(opinion) && !opinion.stalled)
    }
}
