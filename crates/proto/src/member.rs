//! Membership datagrams.

use {
    crate::{
        fact::{Digest, Fact, FactKey},
        ids::Name,
    },
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
    strum::{Display, IntoStaticStr},
};

/// State of a member. The transitions are defined in `member.toml` of `pondtrack-core`.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Display, IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum MemberState {
    /// The member answers probes.
    Alive,
    /// The member missed a direct and the indirect probes, and may still refute the suspicion.
    Suspect,
    /// The member is alive, accepts no new work and is shutting down.
    Leaving,
    /// The member is considered dead.
    Dead,
}

/// Membership entry that instances gossip about one another.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberView {
    /// Name of the instance.
    pub name: Name,
    /// Address of the peer link and of the datagram socket.
    pub addr: SocketAddr,
    /// Availability zone of the instance.
    pub zone: Name,
    /// Incarnation number, which only the member itself raises: at a start, and to refute a suspicion.
    pub incarnation: u64,
    /// State of the member.
    pub state: MemberState,
}

/// Datagram between two instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Datagram {
    /// Membership entry of the sender about itself.
    pub from: MemberView,
    /// Hash over all facts of the sender.
    pub facts: u64,
    /// Piggybacked membership updates.
    #[serde(rename = "news")]
    pub updates: Vec<MemberView>,
    /// Message of the datagram.
    pub body: Payload,
}

/// Messages of the membership protocol and of the gossip of facts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Payload {
    /// Direct probe; the receiver answers with [`Payload::Ack`].
    Ping {
        /// Sequence number, repeated in the answer.
        seq: u64,
    },
    /// Answer to a probe; `about` is set if the probe was relayed for another instance.
    Ack {
        /// Sequence number of the probe.
        seq: u64,
        /// Member that answered the probe.
        about: Name,
    },
    /// Indirect probe: the receiver pings another member for the sender.
    #[serde(rename = "PingFor")]
    PingReq {
        /// Sequence number, repeated in the answer.
        seq: u64,
        /// Member to ping.
        target: Name,
        /// Address of the member to ping.
        addr: SocketAddr,
    },
    /// Request for the receiver's list of members.
    Join,
    /// Part of a list of members; the list of a large fleet takes several datagrams.
    Members,
    /// Facts that are pushed, or that were requested.
    Facts {
        /// Facts with their values.
        facts: Vec<Fact>,
    },
    /// Bucket hashes of the sender; the receiver answers with the buckets that differ.
    Compare {
        /// Digest over all facts of the sender.
        digest: Digest,
    },
    /// Keys and versions in differing buckets. The receiver sends its newer facts and requests those that it lacks.
    Versions {
        /// Keys with their versions.
        keys: Vec<(FactKey, u64)>,
        /// Buckets of which the list contains every key.
        buckets: Vec<u8>,
    },
    /// Request for facts.
    Want {
        /// Keys of the requested facts.
        keys: Vec<FactKey>,
    },
}
