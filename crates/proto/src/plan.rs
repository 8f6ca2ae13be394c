//! Operator intents, and the plans made from them with their progress.

use {
    crate::ids::Name,
    serde::{Deserialize, Serialize},
    strum::{Display, EnumString, IntoStaticStr},
};

/// Change requested by an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum Intent {
    /// Sends no new work to a server. If it is the primary, another server is promoted first.
    Drain {
        /// Group of the server.
        group: Name,
        /// Server to drain.
        server: Name,
    },
    /// Returns a drained server to service.
    Return {
        /// Group of the server.
        group: Name,
        /// Server to return.
        server: Name,
    },
    /// Makes another server the primary.
    Switch {
        /// Group to switch.
        group: Name,
        /// New primary.
        server: Name,
    },
    /// Lets an instance finish its work and shut down.
    Stop {
        /// Instance to stop.
        instance: Name,
    },
    /// Creates or changes a group.
    Configure {
        /// Complete desired configuration.
        spec: crate::group::GroupSpec,
    },
}

/// Life cycle of a plan. The transitions are defined in `plan.toml` of `pondtrack-core`.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, Display, EnumString, IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum PlanState {
    /// Shown to the operator; nothing has changed yet.
    Proposed,
    /// Confirmed by the operator; an instance is executing the steps.
    Running,
    /// Every step is done.
    Done,
    /// Aborted by an operator before the last step.
    Aborted,
    /// A step can't be done; the step holds the reason.
    Failed,
}

/// Progress of a step.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StepState {
    /// Not started.
    Waiting,
    /// Done.
    Done,
    /// The step can't be done.
    Failed {
        /// Reason for the failure.
        reason: String,
    },
}

/// One step of a plan. Steps are idempotent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "do")]
pub enum Step {
    /// Promotes a server: holds new writes, waits for the server to catch up, and makes it the primary.
    Switch {
        /// Group to switch.
        group: Name,
        /// New primary.
        server: Name,
    },
    /// Sets or clears the draining flag of a server.
    Mark {
        /// Group of the server.
        group: Name,
        /// Server to mark.
        server: Name,
        /// New value of the flag.
        draining: bool,
    },
    /// Writes the configuration of a group.
    Write {
        /// Configuration to write.
        spec: crate::group::GroupSpec,
    },
    /// Orders an instance to leave the fleet.
    Leave {
        /// Instance to stop.
        instance: Name,
    },
}

/// A plan, as stored on the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// Name of the plan.
    pub name: Name,
    /// Change requested by the operator.
    pub intent: Intent,
    /// Operator who requested the change.
    pub operator: Name,
    /// Descriptions of the effects, one line each.
    pub effects: Vec<String>,
    /// Object versions from which the plan was made: kind, name, version.
    pub basis: Vec<(String, Name, u64)>,
    /// Steps with their progress.
    pub steps: Vec<(Step, StepState)>,
    /// State of the plan.
    pub state: PlanState,
    /// Instance that last worked on the plan.
    pub worker: Name,
    /// Execution log, one line per event, oldest first.
    pub log: Vec<String>,
    /// Id of the last change, which identifies a write whose response was lost.
    pub change: u64,
}
