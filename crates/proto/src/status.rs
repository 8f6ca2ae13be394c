//! What an instance shows to an operator.

use {
    crate::{
        ids::{Lsn, Mark, Name, Term},
        member::MemberState,
    },
    serde::{Deserialize, Serialize},
};

/// One recorded decision with its evidence.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decision {
    /// Milliseconds since the epoch by the instance's own clock; for people only.
    pub at_ms: u64,
    /// The instance that decided.
    pub instance: Name,
    /// What it is about: a group, a member, a plan.
    pub subject: Name,
    /// What was decided.
    pub what: String,
    /// The evidence at that moment.
    pub evidence: String,
}

/// One server as seen by a home.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerStatus {
    /// The server.
    pub name: Name,
    /// Its availability zone.
    pub zone: Name,
    /// `primary`, `replica`, `fenced` or `unreachable`.
    pub role: String,
    /// Its term.
    pub term: Term,
    /// The end of its log, with the last entry's term.
    pub received: Mark,
    /// What its reads show.
    pub applied: Lsn,
    /// Milliseconds since it was last heard.
    pub heard_ms: Option<u64>,
    /// Connections open from this instance.
    pub connections: u32,
    /// Connections this instance may open.
    pub share: u32,
    /// Set while it is drained.
    pub draining: bool,
}

/// One group as seen by an instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupStatus {
    /// The group.
    pub name: Name,
    /// The version of its configuration.
    pub version: u64,
    /// Its home instances, the first one first.
    pub homes: Vec<Name>,
    /// The servers, empty when this instance is no home.
    pub servers: Vec<ServerStatus>,
    /// Requests queued here.
    pub queued: u32,
    /// Terms this instance may promote with.
    pub grants: u32,
}

/// One member as seen by an instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The instance.
    pub name: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Its state.
    pub state: MemberState,
    /// Its incarnation.
    pub incarnation: u64,
}

/// An instance's own report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct InstanceStatus {
    /// The instance.
    pub name: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Set while it leaves.
    pub leaving: bool,
    /// Callers' sessions.
    pub sessions: u32,
    /// The members it knows.
    pub members: Vec<MemberStatus>,
    /// The groups it knows.
    pub groups: Vec<GroupStatus>,
    /// Counters by name.
    pub counters: Vec<(String, u64)>,
}
