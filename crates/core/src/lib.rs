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
//! | [`gate`] | acknowledgements wait for a majority |
//! | [`switch`] | fencing a majority and promoting one server |
//! | [`grant`] | terms taken ahead of need |
//! | [`leader`] | who leads a term whose primary gives no answer |
//! | [`lease`] | which instance may give orders |
//! | [`claim`] | whether a primary holds what its replicas have received |
//! | [`recovery`] | what a server counts for that came back with nothing |
//! | [`detect`] | when a primary is given up |
//! | [`fresh`] | how old a replica's answer is |
//! | [`request_key`] | keys of requests that run once at most |
//! | [`token`] | what a session carries between instances |
//!
//! What makes it fast, fair and bounded:
//!
//! | module | holds |
//! | --- | --- |
//! | [`classify`] | classification of SQL statements |
//! | [`route`] | routing of reads to servers |
//! | [`balance`] | load balancing: the cost of a server at present |
//! | [`placement`] | home instances and their shares of connections |
//! | [`intervals`] | intervals of the calls to the store |
//! | [`capacity`] | capacity of an instance relative to others |
//! | [`admission`] | admission queues and adaptive concurrency limits |
//! | [`budget`] | time budget of a statement for its waits |
//! | [`quota`] | usage limits of organisations over all instances |
//! | [`scheduler`] | scheduler of the statements at an overloaded server |
//! | [`retry`] | budgets and backoff |
//! | [`retry_after`] | when callers that were refused may come back |
//! | [`member`] | probes, suspicion, incarnations |
//! | [`delta`] | what changed in a collection since a version |
//! | [`spread`] | versioned facts, pushes and digests |
//! | [`plan`] | from an intent to steps |
//!
//! What they share: [`chart`] (state charts read from files), [`life`] (those of sessions and connections),
//! [`timer`], [`journal`].

pub mod admission;
pub mod balance;
pub mod budget;
pub mod capacity;
pub mod chart;
pub mod claim;
pub mod classify;
pub mod delta;
pub mod detect;
pub mod fresh;
pub mod gate;
pub mod grant;
pub mod intervals;
pub mod journal;
pub mod leader;
pub mod lease;
pub mod life;
pub mod member;
pub mod placement;
pub mod plan;
pub mod quota;
pub mod recovery;
pub mod request_key;
pub mod retry;
pub mod retry_after;
pub mod route;
pub mod scheduler;
pub mod spread;
pub mod switch;
pub mod timer;
pub mod token;

/// Milliseconds of a local monotonic clock.
pub type Time = u64;
