//! When a primary is given up.
//!
//! The verdict only starts a change of primary; that the change loses nothing is the business of
//! [`crate::promotion`] and [`crate::commit_gate`]. So the times here trade the gap against needless changes.

use {
    crate::Time,
    pondtrack_proto::{Name, Term},
    strum::{Display, IntoStaticStr},
};

/// Times of the detector, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DetectorConfig {
    /// Silence after which a primary is given up.
    pub silence_timeout: u64,
    /// The same when its address refuses connections: the process is gone.
    pub refused_timeout: u64,
    /// Time for which commits may wait for replicas that don't advance.
    pub stall_timeout: u64,
    /// Extra patience per rank among the homes.
    pub rank_delay: u64,
    /// A gap between two looks after which this instance was paused itself.
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

/// What a home knows of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LastContact {
    /// When it last answered.
    pub answered_at: Option<Time>,
    /// Since when its address refuses connections.
    pub refused_since: Option<Time>,
}

/// Why a primary is given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Cause {
    /// It doesn't answer.
    Silent,
    /// Its address refuses connections.
    Refused,
    /// It answers, but its replicas don't receive what it writes.
    Stalled,
    /// No server of the group is a primary.
    Absent,
    /// A server knows a higher term than the primary, as after a change that failed, and can't rejoin.
    Stranded,
}

/// What another home says of a primary.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Opinion {
    /// The home.
    pub from: Name,
    /// The term of the primary that it heard just now.
    pub term: Option<Term>,
    /// Whether its own commits wait for replicas.
    pub stalled: bool,
}

/// The detector of one group at one home.
#[derive(Clone, Debug)]
pub struct FailureDetector {
    config: DetectorConfig,
    looked: Option<Time>,
    since: Time,
}

impl FailureDetector {
    /// A detector that has no evidence yet.
    pub fn new(config: DetectorConfig, now: Time) -> FailureDetector {
        FailureDetector { config, looked: None, since: now }
    }

    /// Takes a look; hands back whether evidence is to be thrown away, as this instance was paused.
    pub fn poll(&mut self, now: Time) -> bool {
        let paused = self.looked.is_some_and(|it| now.saturating_sub(it) > self.config.pause_threshold);
        self.looked = Some(now);
        if paused {
            self.since = now;
        }
        paused
    }

    /// Whether a primary is to be given up by the home of this `rank`.
    ///
    /// `absent` is the time since which no server is a primary, and `stalled` that since which commits
    /// wait at the gate without any progress.
    pub fn evaluate(
        &self,
        now: Time,
        rank: usize,
        primary: Option<&LastContact>,
        absent: Option<Time>,
        stalled: Option<Time>,
    ) -> Option<Cause> {
        let extra = rank as u64 * self.config.rank_delay;
        let over = |from: Time, limit: u64| now.saturating_sub(from.max(self.since)) >= limit + extra;
        match primary {
            None => absent.is_some_and(|at| over(at, self.config.silence_timeout)).then_some(Cause::Absent),
            Some(it) if it.refused_since.is_some_and(|at| over(at, self.config.refused_timeout)) => {
                Some(Cause::Refused)
            }
            Some(it) if over(it.answered_at.unwrap_or(self.since), self.config.silence_timeout) => {
                Some(Cause::Silent)
            }
            Some(_) if stalled.is_some_and(|at| over(at, self.config.stall_timeout)) => Some(Cause::Stalled),
            Some(_) => None,
        }
    }

    /// Whether another home's opinion speaks against the verdict on the primary of `term`; of a stranded
    /// server it is that server's term.
    ///
    /// One that hears a primary of that term or a later one does, unless its own commits wait for replicas;
    /// a stall is seen by whoever writes, so there only a later primary counts.
    pub fn is_vetoed(&self, cause: Cause, term: Term, opinions: &[Opinion]) -> bool {
        let hears = |it: &Opinion| match cause {
            Cause::Stalled => it.term > Some(term),
            Cause::Silent | Cause::Refused | Cause::Absent | Cause::Stranded => it.term >= Some(term),
        };
        opinions.iter().any(|it| hears(it) && !it.stalled)
    }
}
