//! Promotion of a server to primary, after fencing a majority.
//!
//! One [`Promotion`] is one attempt in one term, which was granted to its owner alone. An attempt promotes at most one
//! server, ever: if the answer to a promotion is lost, another server may only be promoted in another term.

use {
    crate::state_chart::StateChart,
    pondtrack_proto::{LogPosition, Term},
    std::sync::LazyLock,
    strum::{Display, EnumIter, EnumString, IntoStaticStr},
};

/// States of a promotion, as in `charts/promotion.toml`.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, EnumIter, EnumString, IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum PromotionState {
    /// Servers are being fenced.
    Fencing,
    /// A majority is fenced and the candidate is being promoted.
    Promoting,
    /// The candidate is the primary.
    Done,
    /// The attempt was aborted; a retry needs a new term.
    GivenUp,
}

/// Events of a promotion.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, EnumIter, EnumString, IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum PromotionEvent {
    /// Another server is fenced, but no majority yet.
    Fenced,
    /// A majority is fenced.
    Majority,
    /// The candidate accepts writes.
    Promoted,
    /// A server refuses the order because it knows a higher term.
    Refused,
    /// The candidate didn't answer, or the deadline has passed.
    Lost,
}

static CHART: LazyLock<StateChart<PromotionState, PromotionEvent>> = LazyLock::new(|| {
    StateChart::parse(include_str!("../charts/promotion.toml")).expect("a test parses the chart")
});

/// Returns the state chart of a promotion.
pub fn chart() -> &'static StateChart<PromotionState, PromotionEvent> {
    &CHART
}

/// An order to a server; servers are given by their index in the group.
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
    /// Make a server replicate from the primary.
    Follow {
        /// The server.
        server: usize,
        /// The term.
        term: Term,
        /// The primary to replicate from.
        primary: usize,
    },
}

/// One attempt to promote a server.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Promotion {
    /// The state.
    pub state: PromotionState,
    /// The term of the attempt.
    pub term: Term,
    /// The server selected for promotion.
    pub candidate: Option<usize>,
    /// Fenced servers with the last entries of their logs, sorted by server.
    pub fenced: Vec<(usize, LogPosition)>,
    quorum: usize,
    preferred: Option<usize>,
    avoided: Vec<usize>,
}

impl Promotion {
    /// Starts an attempt in a granted term; returns the orders to fence the servers.
    ///
    /// The promotion waits for `preferred` to be fenced, until [`Promotion::skip_preferred`] is called, and selects
    /// that server if no other log is higher. Servers in `avoided`, such as drained ones, are only selected if their
    /// log is higher than all others. `skipped` isn't fenced: a primary that its replicas can't reach would win with
    /// entries that no other server has, and still be unreachable.
    pub fn start(
        servers: usize,
        quorum: usize,
        term: Term,
        preferred: Option<usize>,
        avoided: Vec<usize>,
        skipped: Option<usize>,
    ) -> (Promotion, Vec<Action>) {
        let state = CHART.initial;
        let promotion =
            Promotion { state, term, candidate: None, fenced: Vec::new(), quorum, preferred, avoided };
        let fenced = (0..servers).filter(|s| Some(*s) != skipped);
        let actions = fenced.map(|server| Action::Fence { server, term }).collect();
        (promotion, actions)
    }

    /// Handles the fencing of a server in `term`, with `last` the last entry of its log.
    pub fn on_fenced(&mut self, server: usize, term: Term, last: LogPosition) -> Vec<Action> {
        if term != self.term {
            return Vec::new();
        }
        if let Err(at) = self.fenced.binary_search_by_key(&server, |f| f.0) {
            self.fenced.insert(at, (server, last));
        }
        self.try_promote()
    }

    /// Stops waiting for the preferred server, after its timeout.
    pub fn skip_preferred(&mut self) -> Vec<Action> {
        self.preferred = None;
        self.try_promote()
    }

    /// Promotes a server once a majority that includes the preferred server, if any, is fenced.
    fn try_promote(&mut self) -> Vec<Action> {
        let before = self.state;
        let waits = self.preferred.is_some_and(|s| self.fenced.binary_search_by_key(&s, |f| f.0).is_err());
        let majority = self.fenced.len() >= self.quorum && !waits;
        self.apply(if majority { PromotionEvent::Majority } else { PromotionEvent::Fenced });
        if before != PromotionState::Fencing || self.state != PromotionState::Promoting {
            return Vec::new();
        }
        let server = self.select_candidate();
        self.candidate = Some(server);
        vec![Action::Promote { server, term: self.term }]
    }

    /// Handles the promotion of a server in `term`; returns the orders to the other fenced servers to follow it.
    pub fn on_promoted(&mut self, server: usize, term: Term) -> Vec<Action> {
        if term != self.term || self.candidate != Some(server) || self.state != PromotionState::Promoting {
            return Vec::new();
        }
        self.apply(PromotionEvent::Promoted);
        let others = self.fenced.iter().map(|f| f.0).filter(|s| *s != server);
        others.map(|s| Action::Follow { server: s, term, primary: server }).collect()
    }

    /// Handles the refusal of a server that knows the term `known`; aborts if that term is higher.
    pub fn on_refused(&mut self, known: Term) {
        if known > self.term {
            self.apply(PromotionEvent::Refused);
        }
    }

    /// Aborts the attempt because the candidate is lost or the deadline has passed.
    pub fn abort(&mut self) {
        self.apply(PromotionEvent::Lost);
    }

    /// Returns the fenced server with the highest log; among equals the preferred server, then one that isn't avoided.
    fn select_candidate(&self) -> usize {
        let rank = |f: &(usize, LogPosition)| {
            (f.1, self.preferred == Some(f.0), !self.avoided.contains(&f.0), std::cmp::Reverse(f.0))
        };
        self.fenced.iter().max_by_key(|f| rank(f)).map(|f| f.0).expect("a majority is fenced")
    }

    fn apply(&mut self, event: PromotionEvent) {
        // The chart has every pair of state and event, which a test checks; final states ignore late events.
        if let Ok(next) = CHART.next(self.state, event) {
            self.state = next;
        }
    }
}
