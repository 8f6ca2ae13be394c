//! Decisions of pondtrack, free of I/O.
//!
//! Time is passed in as milliseconds of a local monotonic clock, randomness comes from a seed, and what
//! has to be done is handed back to the caller. The same code runs in `pondtrackd`, under seeded
//! schedules and in the model checker.
//!
//! What must hold:
//!
//! | module | holds |
//! | --- | --- |
//! | [`commit_gate`] | acknowledgement of commits by a majority |
//! | [`promotion`] | fencing of a majority and promotion of a server |
//! | [`term_pool`] | pre-allocated terms |
//! | [`leader`] | the leader of a term while its primary is unreachable |
//! | [`lease`] | the lease of the instance that may order promotions |
//! | [`primary_claim`] | detection of a primary that has lost its log |
//! | [`recovery`] | quorum eligibility of a restarted server |
//! | [`failure_detector`] | failure detection for primaries |
//! | [`freshness`] | staleness of replica reads |
//! | [`request_key`] | keys of requests that run once at most |
//! | [`token`] | what a session carries between instances |
//!
//! What makes it fast, fair and bounded:
//!
//! | module | holds |
//! | --- | --- |
//! | [`classify`] | what a statement needs |
//! | [`route`] | which server answers a read |
//! | [`balance`] | what a server costs at present |
//! | [`place`] | home instances and their shares of connections |
//! | [`cadence`] | how often instances call the store |
//! | [`capacity`] | what an instance can carry |
//! | [`admit`] | queues, fairness and learned limits |
//! | [`budget`] | how long a statement may wait before a server has it |
//! | [`quota`] | usage limits of organisations over all instances |
//! | [`turn`] | who runs next at a server that has too much to do |
//! | [`retry`] | budgets and backoff |
//! | [`retry_after`] | when callers that were refused may come back |
//! | [`member`] | gossip membership: probes, suspicion, incarnations |
//! | [`delta`] | what changed in a collection since a version |
//! | [`spread`] | versioned facts, pushes and digests |
//! | [`plan`] | plans: an operator's intent as steps |
//!
//! Shared: [`state_chart`] (state charts read from files), [`lifecycle`] (those of sessions and connections),
//! [`timer`], [`journal`].

pub mod admit;
pub mod balance;
pub mod budget;
pub mod cadence;
pub mod capacity;
pub mod classify;
pub mod commit_gate;
pub mod delta;
pub mod failure_detector;
pub mod freshness;
pub mod journal;
pub mod leader;
pub mod lease;
pub mod lifecycle;
pub mod member;
pub mod place;
pub mod plan;
pub mod primary_claim;
pub mod promotion;
pub mod quota;
pub mod recovery;
pub mod request_key;
pub mod retry;
pub mod retry_after;
pub mod route;
pub mod spread;
pub mod state_chart;
pub mod term_pool;
pub mod timer;
pub mod token;
pub mod turn;

/// Milliseconds of a local monotonic clock.
pub type Time = u64;
