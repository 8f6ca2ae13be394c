//! Decision logic of pondtrack, free of I/O.
//!
//! The caller passes in the time, as milliseconds of a local monotonic clock, and seeds the randomness. Actions to be
//! taken are returned to the caller. The same code runs in `pondtrackd`, under seeded schedules and in the model
//! checker.
//!
//! Safety:
//!
//! | module | purpose |
//! | --- | --- |
//! | [`commit_gate`] | acknowledgement of commits by a majority |
//! | [`former_primary`] | acknowledgement of commits while a former primary may still be read from |
//! | [`promotion`] | fencing of a majority and promotion of a server |
//! | [`term_pool`] | pre-allocated terms |
//! | [`leader`] | the leader of a term while its primary is unreachable |
//! | [`lease`] | the lease of the instance that may order promotions |
//! | [`primary_claim`] | detection of a primary that has lost its log |
//! | [`recovery`] | quorum eligibility of a restarted server |
//! | [`failure_detector`] | failure detection for primaries |
//! | [`freshness`] | staleness of replica reads |
//! | [`request_key`] | idempotency keys of requests that run at most once |
//! | [`token`] | session tokens, with which a session continues on another instance |
//!
//! Performance, fairness and limits:
//!
//! | module | purpose |
//! | --- | --- |
//! | [`classify`] | classification of SQL statements |
//! | [`route`] | routing of reads to servers |
//! | [`balance`] | load balancing: the cost of a server at present |
//! | [`placement`] | home instances and their shares of connections |
//! | [`intervals`] | intervals of the calls to the store |
//! | [`capacity`] | capacity of an instance relative to others |
//! | [`admission`] | admission queues and adaptive concurrency limits |
//! | [`budget`] | time budget of a statement for its waits |
//! | [`quota`] | usage limits of organisations across all instances |
//! | [`scheduler`] | scheduler of the statements at an overloaded server |
//! | [`retry`] | retry budgets and backoff |
//! | [`retry_after`] | retry times of refused callers |
//! | [`member`] | gossip membership: probes, suspicion, incarnations |
//! | [`delta`] | deltas between versions of a collection |
//! | [`gossip`] | gossip of versioned facts: push and anti-entropy |
//! | [`plan`] | plans: an operator's intent as steps |
//!
//! Shared: [`state_chart`] (state charts read from files), [`lifecycle`] (state charts of sessions and connections),
//! [`timer`], [`decision_log`].

pub mod admission;
pub mod balance;
pub mod budget;
pub mod capacity;
pub mod classify;
pub mod commit_gate;
pub mod decision_log;
pub mod delta;
pub mod failure_detector;
pub mod former_primary;
pub mod freshness;
pub mod gossip;
pub mod intervals;
pub mod leader;
pub mod lease;
pub mod lifecycle;
pub mod member;
pub mod placement;
pub mod plan;
pub mod primary_claim;
pub mod promotion;
pub mod quota;
pub mod recovery;
pub mod request_key;
pub mod retry;
pub mod retry_after;
pub mod route;
pub mod scheduler;
pub mod state_chart;
pub mod term_pool;
pub mod timer;
pub mod token;

/// Time in milliseconds of a local monotonic clock.
pub type Time = u64;
