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
//! | [`commit_gate`] | acknowledgements wait for a majority |
//! | [`promotion`] | fencing a majority and promoting one server |
//! | [`term_pool`] | terms taken ahead of need |
//! | [`leader`] | who leads a term whose primary gives no answer |
//! | [`lease`] | which instance may give orders |
//! | [`primary_claim`] | whether a primary holds what its replicas have received |
//! | [`recovery`] | what a server counts for that came back with nothing |
//! | [`failure_detector`] | when a primary is given up |
//! | [`freshness`] | how old a replica's answer is |
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
//! | [`member`] | probes, suspicion, incarnations |
//! | [`delta`] | what changed in a collection since a version |
//! | [`gossip`] | versioned facts, pushes and digests |
//! | [`plan`] | from an intent to steps |
//!
//! What they share: [`state_chart`] (state charts read from files), [`lifecycle`] (those of sessions and connections),
//! [`timer`], [`decision_log`].

pub mod admit;
pub mod balance;
pub mod budget;
pub mod cadence;
pub mod capacity;
pub mod classify;
pub mod commit_gate;
pub mod decision_log;
pub mod delta;
pub mod failure_detector;
pub mod freshness;
pub mod gossip;
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
pub mod state_chart;
pub mod term_pool;
pub mod timer;
pub mod token;
pub mod turn;

/// Milliseconds of a local monotonic clock.
pub type Time = u64;
