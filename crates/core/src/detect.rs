//! When a primary is given up.
//!
//! The verdict only starts a change of primary; that the change loses nothing is the business of
//! [`crate::switch`] and [`crate::gate`]. So the times here trade the gap against needless changes.

use {
    crate::Time,
    pondtrack_proto::{Name, Term},
    strum::{Display, IntoStaticStr},
};

/// Times of the detector, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DetectConfig {
    /// Silence after which a primary is given up.
    pub silence: u64,
    /// The same when its address refuses connections: the process is gone.
    pub refused: u64,
    /// Time for which commits may wait for replicas that don't advance.
    pub stall: u64,
    /// Extra patience per rank among the homes.
    pub stagger: u64,
    /// A gap between two looks after which this instance was paused itself.
    pub pause: u64,
}

impl Default for DetectConfig {
    fn default() -> DetectConfig {
        DetectConfig { silence: 400, refused: 150, stall: 500, stagger: 400, pause: 250 }
    }
}

/// What a home knows of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Heard {
    /// When it last answered.
    pub last: Option<Time>,
    /// Since when its address refuses connections.
    pub refused: Option<Time>,
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
pub struct Detector {
    config: DetectConfig,
    looked: Option<Time>,
    since: Time,
}

impl Detector {
    /// A detector that has no evidence yet.
    pub fn new(config: DetectConfig, now: Time) -> Detector {
        Detector { config, looked: None, since: now }
    }

    /// Takes a look; hands back whether evidence is to be thrown away, as this instance was paused.
    pub fn look(&mut self, now: Time) -> bool {
        let paused = self.looked.is_some_and(|it| now.saturating_sub(it) > self.config.pause);
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
    pub fn judge(
        &self,
        now: Time,
        rank: usize,
        primary: Option<&Heard>,
        absent: Option<Time>,
        stalled: Option<Time>,
    ) -> Option<Cause> {
        let extra = rank as u64 * self.config.stagger;
        let over = |from: Time, limit: u64| now.saturating_sub(from.max(self.since)) >= limit + extra;
        match primary {
            None => absent.is_some_and(|at| over(at, self.config.silence)).then_some(Cause::Absent),
            Some(it) if it.refused.is_some_and(|at| over(at, self.config.refused)) => Some(Cause::Refused),
            Some(it) if over(it.last.unwrap_or(self.since), self.config.silence) => Some(Cause::Silent),
            Some(_) if stalled.is_some_and(|at| over(at, self.config.stall)) => Some(Cause::Stalled),
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
