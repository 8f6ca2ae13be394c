//! The operator's interface: JSON-RPC between `pondtrack` and an instance.

use {
    jsonrpsee::{core::RpcResult, proc_macros::rpc},
    pondtrack_proto::{Decision, InstanceStatus, Intent, Name, Plan},
};

/// Error codes of the operator's interface.
pub mod code {
    /// The request makes no sense as it stands.
    pub const REFUSED: i32 = 1;
    /// Something changed meanwhile; look again.
    pub const RACED: i32 = 2;
    /// The platform is needed and doesn't answer.
    pub const UNAVAILABLE: i32 = 3;
}

/// What an instance answers to operators.
#[rpc(server, client, namespace = "pondtrack")]
pub trait Operator {
    /// The reports of this instance and of those that answer it in time.
    #[method(name = "status")]
    async fn status(&self) -> RpcResult<Vec<InstanceStatus>>;

    /// The report of this instance alone.
    #[method(name = "report")]
    async fn report(&self) -> RpcResult<InstanceStatus>;

    /// Makes a plan from an intent; nothing changes yet.
    #[method(name = "propose")]
    async fn propose(&self, operator: Name, intent: Intent) -> RpcResult<Plan>;

    /// Confirms a plan, if what it was made from still stands.
    #[method(name = "confirm")]
    async fn confirm(&self, operator: Name, plan: Name) -> RpcResult<Plan>;

    /// Ends a plan before its end.
    #[method(name = "abort")]
    async fn abort(&self, operator: Name, plan: Name) -> RpcResult<Plan>;

    /// A plan as it stands, or all known.
    #[method(name = "plans")]
    async fn plans(&self, plan: Option<Name>) -> RpcResult<Vec<Plan>>;

    /// Recorded decisions about a subject, or all, oldest first.
    #[method(name = "explain")]
    async fn explain(&self, subject: Option<Name>) -> RpcResult<Vec<Decision>>;
}
