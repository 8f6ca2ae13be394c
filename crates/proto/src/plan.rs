//! An operator's intent, the plan made from it, and its progress.

use {
    crate::ids::Name,
    serde::{Deserialize, Serialize},
    strum::{Display, EnumString, IntoStaticStr},
};

/// What an operator wants.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum Intent {
    /// Send no new work to a server; a primary is switched away first.
    Drain {
        /// The group.
        group: Name,
        /// The server.
        server: Name,
    },
    /// Use a drained server again.
    Return {
        /// The group.
        group: Name,
        /// The server.
        server: Name,
    },
    /// Make another server the primary.
    Switch {
        /// The group.
        group: Name,
        /// The next primary.
        server: Name,
    },
    /// Let an instance finish its work and end.
    Stop {
        /// The instance.
        instance: Name,
    },
    /// Create or change a group.
    Configure {
        /// The whole configuration wanted.
        spec: crate::group::GroupSpec,
    },
}

/// The life cycle of a plan; its chart is `plan.toml` in `pondtrack-core`.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, Display, EnumString, IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum PlanState {
    /// Shown to the operator; nothing has changed.
    Proposed,
    /// Confirmed; an instance works on it.
    Running,
    /// Every step is done.
    Done,
    /// Ended by an operator before its end.
    Aborted,
    /// A step can't be done; the reason is on the step.
    Failed,
}

/// How far a step is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StepState {
    /// Not begun.
    Waiting,
    /// Done.
    Done,
    /// Can't be done.
    Failed {
        /// Why.
        reason: String,
    },
}

/// One step of a plan; doing it twice has the effect of doing it once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "do")]
pub enum Step {
    /// Make a server the primary: hold new writes, catch up, promote.
    Switch {
        /// The group.
        group: Name,
        /// The next primary.
        server: Name,
    },
    /// Set or clear the draining mark of a server.
    Mark {
        /// The group.
        group: Name,
        /// The server.
        server: Name,
        /// The mark.
        draining: bool,
    },
    /// Write a group's configuration.
    Write {
        /// The configuration.
        spec: crate::group::GroupSpec,
    },
    /// Tell an instance to leave.
    Leave {
        /// The instance.
        instance: Name,
    },
}

/// A plan as kept on the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// The plan's name.
    pub name: Name,
    /// What the operator asked for.
    pub intent: Intent,
    /// Who asked.
    pub operator: Name,
    /// What will happen, in words, a line each.
    pub effects: Vec<String>,
    /// Object versions the plan was made from: kind, name, version.
    pub basis: Vec<(String, Name, u64)>,
    /// The steps with their progress.
    pub steps: Vec<(Step, StepState)>,
    /// Where the plan stands.
    pub state: PlanState,
    /// The instance that last worked on it.
    pub worker: Name,
    /// What happened, a line each, oldest first.
    pub log: Vec<String>,
    /// The id of the last change, by which a lost answer is recognised.
    pub change: u64,
}
