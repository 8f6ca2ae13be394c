//! Messages between instances, and the objects stored on the platform.
//!
//! | module
//! contents |
//! | --- | --- |
//! | [`ids`]
//! names, terms, log positions, incarnations of server processes |
//! | [`group`] | database groups, their servers and read policies |
//! | [`plan`]
//! operator intents, and the plans made from them with their progress |
//! | [`fact`]
//! versioned facts and digests that instances gossip |
//! | [`member`]
//! membership datagrams |
//! | [`peer`]
//! statements and control requests on the link between two instances |
//! | [`revision`]
//! revisions of the platform's store |
//! | [`status`]
//! status reports of an instance for operators |

pub mod fact;
pub mod group;
pub mod ids;
pub mod member;
pub mod peer;
pub mod plan;
pub mod revision;
pub mod status;

pub use crate::{
    fact::{DIGEST_BUCKETS, Digest, Fact, FactKey, FactKind},
    group::{GroupSpec, ReadPolicy, ServerSpec, SpecError, TermRecord},
    ids::{Incarnation, LogPosition, Lsn, Name, Term},
    member::{Datagram, MemberState, MemberView, Payload},
    peer::{Class, OperatorQuery, Outcome, PeerMsg, Reply, Request, ServedBy, TxnState},
    plan::{Intent, Plan, PlanState, Step, StepState},
    revision::Revision,
    status::{Decision, GroupStatus, InstanceStatus, MemberStatus, ServerStatus},
};
