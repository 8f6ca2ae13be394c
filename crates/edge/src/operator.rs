//! The operator interface: JSON-RPC between the command line and an instance.

use {
    jsonrpsee::{core::RpcResult, proc_macros::rpc},
    pondtrack_proto::{Decision, InstanceStatus, Intent, Name, Plan},
};

/// Error codes of the operator interface.
pub mod code {
    /// The request is invalid in the current state.
    pub const REFUSED: i32 = 1;
    /// The state that the request is based on has changed; the operator has to check it again.
    pub const RACED: i32 = 2;
    /// The platform is required for the request and doesn't answer.
    pub const UNAVAILABLE: i32 = 3;
}

/// The methods that an instance offers to operators.
#[rpc(server, client, namespace = "pondtrack")]
pub trait Operator {
    /// Returns the status of this instance and of all instances that answer in time.
    #[method(name = "status")]
    async fn status(&self) -> RpcResult<Vec<InstanceStatus>>;

    /// Returns the status of this instance only.
    #[method(name = "report")]
    async fn report(&self) -> RpcResult<InstanceStatus>;

    /// Creates a plan from an intent, without any effect until the plan is confirmed.
    #[method(name = "propose")]
    async fn propose(&self, operator: Name, intent: Intent) -> RpcResult<Plan>;

    /// Confirms a plan, unless the objects that the plan is based on have changed.
    #[method(name = "confirm")]
    async fn confirm(&self, operator: Name, plan: Name) -> RpcResult<Plan>;

    /// Aborts a plan.
    #[method(name = "abort")]
    async fn abort(&self, operator: Name, plan: Name) -> RpcResult<Plan>;

    /// Returns the current state of one plan, or of all known plans.
    #[method(name = "plans")]
    async fn plans(&self, plan: Option<Name>) -> RpcResult<Vec<Plan>>;

    /// Returns the recorded decisions about a subject, or all decisions, oldest first.
    #[method(name = "explain")]
    async fn explain(&self, subject: Option<Name>) -> RpcResult<Vec<Decision>>;
}
