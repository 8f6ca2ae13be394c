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

/// What is held of a member; its chart is `member.toml` in `pondtrack-core`.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Display, IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum MemberState {
    /// Answers probes.
    Alive,
    /// Missed a probe, direct and indirect; may still refute it.
    Suspect,
    /// Alive, takes no new work and will end.
    Leaving,
    /// Gone.
    Dead,
}

/// One member as told from instance to instance.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberView {
    /// The instance.
    pub name: Name,
    /// Where its peer link and datagram socket listen.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: Name,
    /// Raised by the member itself, on a start and to refute a suspicion.
    pub incarnation: u64,
    /// Its state.
    pub state: MemberState,
}

/// A datagram between two instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Datagram {
    /// The sender as it sees itself.
    pub from: MemberView,
    /// The hash over all facts of the sender.
    pub facts: u64,
    /// Member changes passed on.
    pub news: Vec<MemberView>,
    /// The message itself.
    pub body: Payload,
}

/// The messages of membership and of the spread of facts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Payload {
    /// Asks for an [`Payload::Ack`].
    Ping {
        /// Matches the answer.
        seq: u64,
    },
    /// Answers a ping; `about` is set when it was passed on for another.
    Ack {
        /// The sequence number of the ping.
        seq: u64,
        /// The member that answered.
        about: Name,
    },
    /// Asks the receiver to ping another member.
    PingFor {
        /// Matches the answer.
        seq: u64,
        /// The member to ping.
        target: Name,
        /// Its address.
        addr: SocketAddr,
    },
    /// Asks for the members the receiver knows.
    Join,
    /// Some members; a large fleet comes in several.
    Members,
    /// Facts pushed or asked for.
    Facts {
        /// The facts.
        facts: Vec<Fact>,
    },
    /// The sender's bucket hashes; the receiver answers with what differs.
    Compare {
        /// The digest.
        digest: Digest,
    },
    /// Keys and versions in buckets that differ; the receiver sends what is newer and asks for the rest.
    Versions {
        /// Keys with versions.
        keys: Vec<(FactKey, u64)>,
        /// Buckets that this list covers wholly.
        buckets: Vec<u8>,
    },
    /// Asks for facts.
    Want {
        /// The keys.
        keys: Vec<FactKey>,
    },
}
