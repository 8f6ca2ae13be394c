//! Plans: an operator's intent as a list of steps.
//!
//! A plan lists its effects and the versions of the configuration that it was made from, and its confirmation is
//! conditional on these versions. Steps are idempotent, so any instance can continue a plan.

use {
    crate::state_chart::StateChart,
    pondtrack_proto::{
        GroupSpec, Intent, MemberState, MemberView, Name, Plan, PlanState, ServerSpec, Step, StepState, Term,
    },
    snafu::Snafu,
    std::sync::LazyLock,
    strum::{Display, EnumIter, EnumString, IntoStaticStr},
};

/// Events of a plan.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, EnumIter, EnumString, IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum PlanEvent {
    /// The operator confirmed the plan.
    Confirm,
    /// The operator aborted the plan.
    Abort,
    /// A step is done and others remain.
    Progress,
    /// The last step is done.
    Finish,
    /// A step failed.
    Fail,
}

/// Mirror of [`PlanState`] with the names used in the chart.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, EnumIter, EnumString, IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum PlanPhase {
    /// Waiting for the operator's confirmation.
    Proposed,
    /// Steps are being executed.
    Running,
    /// All steps are done.
    Done,
    /// Aborted by the operator.
    Aborted,
    /// A step failed.
    Failed,
}

static CHART: LazyLock<StateChart<PlanPhase, PlanEvent>> = LazyLock::new(|| {
    StateChart::parse(include_str!("../charts/plan.toml")).expect("a test parses the chart")
});

/// Returns the state chart of a plan.
pub fn chart() -> &'static StateChart<PlanPhase, PlanEvent> {
    &CHART
}

/// Error while making or advancing a plan.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum PlanError {
    /// The intent names something that doesn't exist.
    #[snafu(display("there is no {kind} {name:?}; known are: {known}"))]
    Unknown {
        /// The kind of object.
        kind: &'static str,
        /// The name in the intent.
        name: Name,
        /// The existing names.
        known: String,
    },
    /// The intent is already fulfilled.
    #[snafu(display("nothing to do: {reason}"))]
    NoChange {
        /// Why.
        reason: String,
    },
    /// The change would violate a safety guarantee.
    #[snafu(display("refused: {reason}"))]
    Unsafe {
        /// Why.
        reason: String,
    },
    /// The plan's state doesn't allow the event.
    #[snafu(display("the plan is {state}, so it can't take {event}"))]
    InvalidState {
        /// The plan's state.
        state: PlanState,
        /// The rejected event.
        event: PlanEvent,
    },
}

/// State of the cluster that plans are made from.
#[derive(Clone, Debug, Default)]
pub struct ClusterView {
    /// Groups with the versions of their configurations, sorted by name.
    pub groups: Vec<(GroupSpec, u64)>,
    /// Primaries as reported by the homes: group, server and term.
    pub primaries: Vec<(Name, Name, Term)>,
    /// Members, sorted by name.
    pub members: Vec<MemberView>,
}

/// Makes a plan for an intent. Fails if the intent names something unknown, is already fulfilled or is unsafe.
pub fn propose(name: Name, operator: Name, intent: Intent, view: &ClusterView) -> Result<Plan, PlanError> {
    let (steps, effects, basis) = match &intent {
        Intent::Drain { group, server } => plan_drain(view, group, server)?,
        Intent::Return { group, server } => plan_undrain(view, group, server)?,
        Intent::Switch { group, server } => plan_switch(view, group, server)?,
        Intent::Stop { instance } => plan_stop(view, instance)?,
        Intent::Configure { spec } => plan_configure(view, spec)?,
    };
    Ok(Plan {
        name,
        intent,
        operator,
        effects,
        basis,
        steps: steps.into_iter().map(|step| (step, StepState::Waiting)).collect(),
        state: PlanState::Proposed,
        worker: Name::new(),
        log: Vec::new(),
        change: 0,
    })
}

/// Applies an event to a plan's state. Fails if the chart doesn't allow the event.
pub fn advance(plan: &mut Plan, event: PlanEvent) -> Result<(), PlanError> {
    match CHART.next(phase(plan.state), event) {
        Ok(next) => {
            plan.state = state(next);
            Ok(())
        }
        Err(_) => Err(PlanError::InvalidState { state: plan.state, event }),
    }
}

/// Returns the index of the first step that isn't done; none if all are done.
pub fn next_step(plan: &Plan) -> Option<usize> {
    plan.steps.iter().position(|step| step.1 == StepState::Waiting)
}

/// Steps, effects, and the basis as kind, name and version.
type PlanParts = (Vec<Step>, Vec<String>, Vec<(String, Name, u64)>);

fn plan_drain(view: &ClusterView, group: &Name, server: &Name) -> Result<PlanParts, PlanError> {
    let (spec, version) = find_group(view, group)?;
    let target = find_server(spec, server)?;
    if target.draining {
        return Err(PlanError::NoChange { reason: format!("{server} is draining already") });
    }
    let others: Vec<&ServerSpec> = spec.servers.iter().filter(|s| !s.draining && s.name != *server).collect();
    if others.len() + 1 < spec.majority() || others.is_empty() {
        let reason = format!("{group} would be left without a server for its work");
        return Err(PlanError::Unsafe { reason });
    }
    let mut steps = Vec::new();
    let mut effects = Vec::new();
    if primary(view, group) == Some(server) {
        let next = others[0].name.clone();
        effects.push(format!("{group}: writes are held briefly, {next} catches up and becomes the primary"));
        effects.push("no transaction is cut: held work goes on at the new primary".to_owned());
        steps.push(Step::Switch { group: group.clone(), server: next });
    }
    effects.push(format!("{group}: {server} gets no new work, and what runs there is finished"));
    effects.push(format!("{server} goes on replicating until it is stopped, and counts for majorities"));
    steps.push(Step::Mark { group: group.clone(), server: server.clone(), draining: true });
    Ok((steps, effects, vec![("group".to_owned(), group.clone(), version)]))
}

fn plan_undrain(view: &ClusterView, group: &Name, server: &Name) -> Result<PlanParts, PlanError> {
    let (spec, version) = find_group(view, group)?;
    if !find_server(spec, server)?.draining {
        return Err(PlanError::NoChange { reason: format!("{server} is in use already") });
    }
    let step = Step::Mark { group: group.clone(), server: server.clone(), draining: false };
    let effect = format!("{group}: {server} takes reads again and may become the primary");
    Ok((vec![step], vec![effect], vec![("group".to_owned(), group.clone(), version)]))
}

fn plan_switch(view: &ClusterView, group: &Name, server: &Name) -> Result<PlanParts, PlanError> {
    let (spec, version) = find_group(view, group)?;
    if find_server(spec, server)?.draining {
        let reason = format!("{server} is draining; return it first: pondtrack plan return {group} {server}");
        return Err(PlanError::Unsafe { reason });
    }
    let from = match primary(view, group) {
        Some(current) if current == server => {
            return Err(PlanError::NoChange { reason: format!("{server} is the primary already") });
        }
        Some(current) => current.clone(),
        None => Name::from("none known"),
    };
    let step = Step::Switch { group: group.clone(), server: server.clone() };
    let effects = vec![
        format!("{group}: the primary moves from {from} to {server}"),
        "new writes are held until it is done; the aim is 100 ms".to_owned(),
        "transactions still open after the last try are rolled back and answered as not run".to_owned(),
    ];
    Ok((vec![step], effects, vec![("group".to_owned(), group.clone(), version)]))
}

fn plan_stop(view: &ClusterView, instance: &Name) -> Result<PlanParts, PlanError> {
    let Some(member) = crate::placement::find(&view.members, instance) else {
        let known = join(view.members.iter().map(|m| &m.name));
        return Err(PlanError::Unknown { kind: "instance", name: instance.clone(), known });
    };
    if member.state == MemberState::Leaving {
        return Err(PlanError::NoChange { reason: format!("{instance} is leaving already") });
    }
    let rest = view.members.iter().filter(|m| m.name != *instance && m.state == MemberState::Alive);
    if rest.count() == 0 {
        return Err(PlanError::Unsafe { reason: format!("{instance} is the last instance") });
    }
    let effects = vec![
        format!("{instance} takes no new sessions, and its groups move to other homes"),
        "requests in flight are finished; sessions end between transactions with a hint to reconnect"
            .to_owned(),
        format!("{instance} ends when its last session has ended, after 30 s at the latest"),
    ];
    Ok((vec![Step::Leave { instance: instance.clone() }], effects, Vec::new()))
}

fn plan_configure(view: &ClusterView, spec: &GroupSpec) -> Result<PlanParts, PlanError> {
    let mut spec = spec.clone();
    spec.servers.sort_by(|a, b| a.name.cmp(&b.name));
    spec.validate().map_err(|e| PlanError::Unsafe { reason: e.to_string() })?;
    let old = find_group(view, &spec.name).ok();
    let version = old.map_or(0, |old| old.1);
    let effects = match old {
        None => vec![format!("group {} is created with {} servers", spec.name, spec.servers.len())],
        Some((old, _)) => differences(old, &spec),
    };
    if effects.is_empty() {
        return Err(PlanError::NoChange { reason: format!("{} is configured so already", spec.name) });
    }
    if let Some((old, _)) = old {
        check_change(old, &spec)?;
    }
    let basis = vec![("group".to_owned(), spec.name.clone(), version)];
    Ok((vec![Step::Write { spec }], effects, basis))
}

/// Rejects every change of a group's servers: a majority of the new servers might have no server in common with a
/// majority of the old ones.
fn check_change(old: &GroupSpec, new: &GroupSpec) -> Result<(), PlanError> {
    let removed = old.servers.iter().filter(|s| new.server_index(&s.name).is_none()).count();
    let added = new.servers.iter().filter(|s| old.server_index(&s.name).is_none()).count();
    let moved = new
        .servers
        .iter()
        .filter(|s| old.server_index(&s.name).is_some_and(|at| old.servers[at].addr != s.addr));
    if removed + added + moved.count() > 0 {
        let reason = "the servers of a group can't be changed while it is in use: a majority of the new \
                      servers might hold none of the old ones' log; create another group";
        return Err(PlanError::Unsafe { reason: reason.to_owned() });
    }
    Ok(())
}

fn differences(old: &GroupSpec, new: &GroupSpec) -> Vec<String> {
    let mut out = Vec::new();
    if old.limit != new.limit {
        out.push(format!("{}: {} connections a server become {}", new.name, old.limit, new.limit));
    }
    if old.policy != new.policy {
        out.push(format!("{}: the read policy {:?} becomes {:?}", new.name, old.policy, new.policy));
    }
    if old.servers != new.servers {
        out.push(format!("{}: its servers change", new.name));
    }
    out
}

fn find_group<'a>(view: &'a ClusterView, name: &Name) -> Result<(&'a GroupSpec, u64), PlanError> {
    match view.groups.binary_search_by(|g| g.0.name.cmp(name)) {
        Ok(at) => Ok((&view.groups[at].0, view.groups[at].1)),
        Err(_) => {
            let known = join(view.groups.iter().map(|g| &g.0.name));
            Err(PlanError::Unknown { kind: "group", name: name.clone(), known })
        }
    }
}

fn find_server<'a>(spec: &'a GroupSpec, name: &Name) -> Result<&'a ServerSpec, PlanError> {
    spec.server_index(name).map(|at| &spec.servers[at]).ok_or_else(|| PlanError::Unknown {
        kind: "server",
        name: name.clone(),
        known: join(spec.servers.iter().map(|s| &s.name)),
    })
}

fn primary<'a>(view: &'a ClusterView, group: &Name) -> Option<&'a Name> {
    view.primaries.iter().filter(|p| p.0 == *group).max_by_key(|p| p.2).map(|p| &p.1)
}

fn join<'a>(names: impl Iterator<Item = &'a Name>) -> String {
    let names: Vec<&str> = names.map(|name| name.as_str()).collect();
    if names.is_empty() { "none".to_owned() } else { names.join(", ") }
}

fn phase(state: PlanState) -> PlanPhase {
    match state {
        PlanState::Proposed => PlanPhase::Proposed,
        PlanState::Running => PlanPhase::Running,
        PlanState::Done => PlanPhase::Done,
        PlanState::Aborted => PlanPhase::Aborted,
        PlanState::Failed => PlanPhase::Failed,
    }
}

fn state(phase: PlanPhase) -> PlanState {
    match phase {
        PlanPhase::Proposed => PlanState::Proposed,
        PlanPhase::Running => PlanState::Running,
        PlanPhase::Done => PlanState::Done,
        PlanPhase::Aborted => PlanState::Aborted,
        PlanPhase::Failed => PlanState::Failed,
    }
}
