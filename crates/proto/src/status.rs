//! Status reports of an instance for operators.

use {
    crate::{
        ids::{LogPosition, Lsn, Name, Term},
        member::MemberState,
    },
    serde::{Deserialize, Serialize},
};

/// A recorded decision with its evidence.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decision {
    /// Unix time in milliseconds by the clock of the instance. Clocks of instances differ: only for display.
    pub at_ms: u64,
    /// Instance that decided.
    pub instance: Name,
    /// Subject of the decision: a group, a member or a plan.
    pub subject: Name,
    /// Description of the decision.
    pub what: String,
    /// Evidence at the time of the decision.
    pub evidence: String,
}

/// A server as observed by a home instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerStatus {
    /// Name of the server in the configuration of its group.
    pub name: Name,
    /// Availability zone of the server.
    pub zone: Name,
    /// Role: `primary`, `replica`, `fenced` or `unreachable`.
    pub role: String,
    /// Term of the server.
    pub term: Term,
    /// End of the log of the server, with the term of the last entry.
    pub received: LogPosition,
    /// Log position that reads on the server reflect.
    pub applied: Lsn,
    /// Time since the last contact with the server, in milliseconds; none before the first contact.
    #[serde(rename = "heard_ms")]
    pub last_contact_ms: Option<u64>,
    /// Number of open connections from this instance.
    pub connections: u32,
    /// Maximum number of connections from this instance.
    pub share: u32,
    /// Set while the server is drained.
    pub draining: bool,
}

/// A group as observed by an instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupStatus {
    /// Name of the group.
    pub name: Name,
    /// Version of the group's configuration.
    pub version: u64,
    /// Home instances, the preferred instance first.
    pub homes: Vec<Name>,
    /// Servers; empty if this instance is not a home of the group.
    pub servers: Vec<ServerStatus>,
    /// Number of requests queued on this instance.
    pub queued: u32,
    /// Number of reserved terms with which this instance may promote.
    pub grants: u32,
}

/// A member as observed by an instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Name of the instance.
    pub name: Name,
    /// Availability zone of the instance.
    pub zone: Name,
    /// State of the member.
    pub state: MemberState,
    /// Incarnation number of the member.
    pub incarnation: u64,
}

/// Status report of an instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct InstanceStatus {
    /// Name of the instance.
    pub name: Name,
    /// Availability zone of the instance.
    pub zone: Name,
    /// Set while the instance is leaving.
    pub leaving: bool,
    /// Number of sessions of callers.
    pub sessions: u32,
    /// Known members.
    pub members: Vec<MemberStatus>,
    /// Known groups.
    pub groups: Vec<GroupStatus>,
    /// Counters by name.
    pub counters: Vec<(String, u64)>,
}
