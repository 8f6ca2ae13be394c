//! Fencing a majority and promoting one server.
//!
//! One `Switch` uses one term, which its holder alone was granted. It promotes one server at most, ever:
//! after a lost answer to a promotion, another server may only be promoted in another term.

use {
    crate::chart::Chart,
    pondtrack_proto::{LogPosition, Term},
    std::sync::LazyLock,
    strum::{Display, EnumIter, EnumString, IntoStaticStr},
};

/// The states of a switch; the chart is `charts/switch.toml`.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, EnumIter, EnumString, IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum SwitchState {
    /// Fencing servers.
    Fencing,
    /// A majority is fenced and one server is told to write.
    Promoting,
    /// It writes.
    Done,
    /// Given up; a new term is needed to try again.
    GivenUp,
}

/// What can happen to a switch.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, EnumIter, EnumString, IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum SwitchEvent {
    /// One more server is fenced, but no majority yet.
    Fenced,
    /// A majority is fenced.
    Majority,
    /// The chosen server writes.
    Promoted,
    /// A server refuses: it knows a higher term.
    Refused,
    /// The chosen server didn't answer, or time is up.
    Lost,
}

static CHART: LazyLock<Chart<SwitchState, SwitchEvent>> = LazyLock::new(|| {
    Chart::parse(include_str!("../charts/switch.toml")).expect("the chart is checked by a test")
});

/// The chart of a switch.
pub fn chart() -> &'static Chart<SwitchState, SwitchEvent> {
    &CHART
}

/// What has to be done; servers are given by their place in the group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Action {
    /// Fence a server.
    Fence {
        /// The server.
        server: usize,
        /// The term.
        term: Term,
    },
    /// Promote a server.
    Promote {
        /// The server.
        server: usize,
        /// The term.
        term: Term,
    },
    /// Tell a server whom to follow.
    Follow {
        /// The server.
        server: usize,
        /// The term.
        term: Term,
        /// Whom to follow.
        primary: usize,
    },
}

/// One attempt at a change of primary.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Switch {
    /// Its state.
    pub state: SwitchState,
    /// Its term.
    pub term: Term,
    /// The server that was chosen.
    pub chosen: Option<usize>,
    /// Fenced servers with the last entry of their logs, sorted by server.
    pub fenced: Vec<(usize, LogPosition)>,
    quorum: usize,
    prefer: Option<usize>,
    avoid: Vec<usize>,
}

impl Switch {
    /// Begins with a granted term: every server is to be fenced.
    ///
    /// `prefer` is waited for, until [`Switch::hurry`], and taken when its log is as high as any; `avoid` only when its log is higher than all
    /// others, as a drained server's may be. `skip` is not fenced at all: a primary that its replicas don't
    /// hear would win with what nobody else has, and be as useless as before.
    pub fn begin(
        servers: usize,
        quorum: usize,
        term: Term,
        prefer: Option<usize>,
        avoid: Vec<usize>,
        skip: Option<usize>,
    ) -> (Switch, Vec<Action>) {
        let state = CHART.initial;
        let it = Switch { state, term, chosen: None, fenced: Vec::new(), quorum, prefer, avoid };
        let fenced = (0..servers).filter(|it| Some(*it) != skip);
        let actions = fenced.map(|server| Action::Fence { server, term }).collect();
        (it, actions)
    }

    /// A server is fenced in `term`, its log ending at `last`.
    pub fn fenced(&mut self, server: usize, term: Term, last: LogPosition) -> Vec<Action> {
        if term != self.term {
            return Vec::new();
        }
        if let Err(at) = self.fenced.binary_search_by_key(&server, |it| it.0) {
            self.fenced.insert(at, (server, last));
        }
        self.proceed()
    }

    /// The preferred server has been waited for long enough.
    pub fn hurry(&mut self) -> Vec<Action> {
        self.prefer = None;
        self.proceed()
    }

    /// Promotes a server once a majority is fenced, and the preferred one among it.
    fn proceed(&mut self) -> Vec<Action> {
        let before = self.state;
        let waits = self.prefer.is_some_and(|it| self.fenced.binary_search_by_key(&it, |f| f.0).is_err());
        let majority = self.fenced.len() >= self.quorum && !waits;
        self.apply(if majority { SwitchEvent::Majority } else { SwitchEvent::Fenced });
        if before != SwitchState::Fencing || self.state != SwitchState::Promoting {
            return Vec::new();
        }
        let server = self.choose();
        self.chosen = Some(server);
        vec![Action::Promote { server, term: self.term }]
    }

    /// A server writes in `term`; the fenced ones are told to follow it.
    pub fn promoted(&mut self, server: usize, term: Term) -> Vec<Action> {
        if term != self.term || self.chosen != Some(server) || self.state != SwitchState::Promoting {
            return Vec::new();
        }
        self.apply(SwitchEvent::Promoted);
        let others = self.fenced.iter().map(|it| it.0).filter(|it| *it != server);
        others.map(|it| Action::Follow { server: it, term, primary: server }).collect()
    }

    /// A server refuses, knowing the higher term `known`.
    pub fn refused(&mut self, known: Term) {
        if known > self.term {
            self.apply(SwitchEvent::Refused);
        }
    }

    /// The chosen server is lost, or time is up.
    pub fn lost(&mut self) {
        self.apply(SwitchEvent::Lost);
    }

    /// The highest log among the fenced; among equals the preferred server, then one not to be avoided.
    fn choose(&self) -> usize {
        let rank = |it: &(usize, LogPosition)| {
            (it.1, self.prefer == Some(it.0), !self.avoid.contains(&it.0), std::cmp::Reverse(it.0))
        };
        self.fenced.iter().max_by_key(|it| rank(it)).map(|it| it.0).expect("a majority is fenced")
    }

    fn apply(&mut self, event: SwitchEvent) {
        // Every pair is in the chart, which a test checks; a final state ignores what comes late.
        if let Ok(next) = CHART.next(self.state, event) {
            self.state = next;
        }
    }
}
