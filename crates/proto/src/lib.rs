//! Typed messages between instances and the objects kept on the platform.
//!
//! | module | holds |
//! | --- | --- |
//! | [`ids`] | names, terms, log positions, marks, runs of a server's process |
//! | [`group`] | database groups, their servers and read policies |
//! | [`plan`] | an operator's intent, its plan and its progress |
//! | [`fact`] | versioned facts and digests spread between instances |
//! | [`member`] | membership datagrams |
//! | [`peer`] | statements and control requests over a peer link |
//! | [`revision`] | states of the platform's store |
//! | [`status`] | what an instance shows to an operator |

pub mod fact;
pub mod group;
pub mod ids;
pub mod member;
pub mod peer;
pub mod plan;
pub mod revision;
pub mod status;

pub use crate::{
    fact::{BUCKETS, Digest, Fact, FactKey, FactKind},
    group::{GroupSpec, ReadPolicy, ServerSpec, SpecError, TermRecord},
    ids::{Incarnation, Lsn, Mark, Name, Term},
    member::{Datagram, MemberState, MemberView, Payload},
    peer::{Class, Outcome, PeerMsg, Question, Reply, Request, Served, TxnState},
    plan::{Intent, Plan, PlanState, Step, StepState},
    revision::Revision,
    status::{Decision, GroupStatus, InstanceStatus, MemberStatus, ServerStatus},
};
