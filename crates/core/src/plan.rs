//! From an operator's intent to a plan of steps.
//!
//! A plan says what will happen and from which versions it was made. Confirming it is conditional on
//! those versions. Each step can be done twice with the effect of once, so any instance can carry on.

use {
    crate::state_chart::StateChart,
    pondtrack_proto::{
        GroupSpec, Intent, MemberState, MemberView, Name, Plan, PlanState, ServerSpec, Step, StepState, Term,
    },
    snafu::Snafu,
    std::sync::LazyLock,
    strum::{Display, EnumIter, EnumString, IntoStaticStr},
};

/// What can happen to a plan.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, EnumIter, EnumString, IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum PlanEvent {
    /// The operator confirms.
    Confirm,
    /// The operator ends it.
    Abort,
    /// A step is done, and others are left.
    Progress,
    /// The last step is done.
    Finish,
    /// A step can't be done.
    Fail,
}

/// States of [`PlanState`] as the chart names them.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, EnumIter, EnumString, IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum PlanPhase {
    /// Shown to the operator.
    Proposed,
    /// Worked on.
    Running,
    /// Done.
    Done,
    /// Ended early.
    Aborted,
    /// Can't be done.
    Failed,
}

static CHART: LazyLock<StateChart<PlanPhase, PlanEvent>> = LazyLock::new(|| {
    StateChart::parse(include_str!("../charts/plan.toml")).expect("the chart is checked by a test")
});

/// The chart of a plan's life.
pub fn chart() -> &'static StateChart<PlanPhase, PlanEvent> {
    &CHART
}

/// Why no plan can be made, or a plan can't move.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum PlanError {
    /// Something the intent names doesn't exist.
    #[snafu(display("there is no {kind} {name:?}; known are: {known}"))]
    Unknown {
        /// The kind.
        kind: &'static str,
        /// The name given.
        name: Name,
        /// The names there are.
        known: String,
    },
    /// It is so already.
    #[snafu(display("nothing to do: {reason}"))]
    NoChange {
        /// Why.
        reason: String,
    },
    /// It would break a promise.
    #[snafu(display("refused: {reason}"))]
    Unsafe {
        /// Why.
        reason: String,
    },
    /// The plan's state doesn't allow it.
    #[snafu(display("the plan is {state}, so it can't take {event}"))]
    InvalidState {
        /// Its state.
        state: PlanState,
        /// What was asked.
        event: PlanEvent,
    },
}

/// What plans are made from.
#[derive(Clone, Debug, Default)]
pub struct ClusterView {
    /// Groups with the versions of their configuration, sorted by name.
    pub groups: Vec<(GroupSpec, u64)>,
    /// Primaries as the homes see them: group, server, term.
    pub primaries: Vec<(Name, Name, Term)>,
    /// Members, sorted by name.
    pub members: Vec<MemberView>,
}

/// Makes a plan.
pub fn propose(name: Name, operator: Name, intent: Intent, outlook: &ClusterView) -> Result<Plan, PlanError> {
    let (steps, effects, basis) = match &intent {
        Intent::Drain { group, server } => drain(outlook, group, server)?,
        Intent::Return { group, server } => bring_back(outlook, group, server)?,
        Intent::Switch { group, server } => switch(outlook, group, server)?,
        Intent::Stop { instance } => stop(outlook, instance)?,
        Intent::Configure { spec } => configure(outlook, spec)?,
    };
    Ok(Plan {
        name,
        intent,
        operator,
        effects,
        basis,
        steps: steps.into_iter().map(|it| (it, StepState::Waiting)).collect(),
        state: PlanState::Proposed,
        worker: Name::new(),
        log: Vec::new(),
        change: 0,
    })
}

/// Moves a plan along its chart.
pub fn advance(plan: &mut Plan, event: PlanEvent) -> Result<(), PlanError> {
    match CHART.next(stage(plan.state), event) {
        Ok(next) => {
            plan.state = state(next);
            Ok(())
        }
        Err(_) => Err(PlanError::InvalidState { state: plan.state, event }),
    }
}

/// The first step that is not done.
pub fn next_step(plan: &Plan) -> Option<usize> {
    plan.steps.iter().position(|it| it.1 == StepState::Waiting)
}

type Parts = (Vec<Step>, Vec<String>, Vec<(String, Name, u64)>);

fn drain(outlook: &ClusterView, group: &Name, server: &Name) -> Result<Parts, PlanError> {
    let (spec, version) = find_group(outlook, group)?;
    let it = find_server(spec, server)?;
    if it.draining {
        return Err(PlanError::NoChange { reason: format!("{server} is draining already") });
    }
    let others: Vec<&ServerSpec> =
        spec.servers.iter().filter(|it| !it.draining && it.name != *server).collect();
    if others.len() + 1 < spec.majority() || others.is_empty() {
        let reason = format!("{group} would be left without a server for its work");
        return Err(PlanError::Unsafe { reason });
    }
    let mut steps = Vec::new();
    let mut effects = Vec::new();
    if primary(outlook, group) == Some(server) {
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

fn bring_back(outlook: &ClusterView, group: &Name, server: &Name) -> Result<Parts, PlanError> {
    let (spec, version) = find_group(outlook, group)?;
    if !find_server(spec, server)?.draining {
        return Err(PlanError::NoChange { reason: format!("{server} is in use already") });
    }
    let step = Step::Mark { group: group.clone(), server: server.clone(), draining: false };
    let effect = format!("{group}: {server} takes reads again and may become the primary");
    Ok((vec![step], vec![effect], vec![("group".to_owned(), group.clone(), version)]))
}

fn switch(outlook: &ClusterView, group: &Name, server: &Name) -> Result<Parts, PlanError> {
    let (spec, version) = find_group(outlook, group)?;
    if find_server(spec, server)?.draining {
        let reason = format!("{server} is draining; return it first: pondtrack plan return {group} {server}");
        return Err(PlanError::Unsafe { reason });
    }
    let from = match primary(outlook, group) {
        Some(it) if it == server => {
            return Err(PlanError::NoChange { reason: format!("{server} is the primary already") });
        }
        Some(it) => it.clone(),
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

fn stop(outlook: &ClusterView, instance: &Name) -> Result<Parts, PlanError> {
    let Some(it) = crate::placement::find(&outlook.members, instance) else {
        let known = join(outlook.members.iter().map(|it| &it.name));
        return Err(PlanError::Unknown { kind: "instance", name: instance.clone(), known });
    };
    if it.state == MemberState::Leaving {
        return Err(PlanError::NoChange { reason: format!("{instance} is leaving already") });
    }
    let rest = outlook.members.iter().filter(|it| it.name != *instance && it.state == MemberState::Alive);
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

fn configure(outlook: &ClusterView, spec: &GroupSpec) -> Result<Parts, PlanError> {
    let mut spec = spec.clone();
    spec.servers.sort_by(|a, b| a.name.cmp(&b.name));
    spec.validate().map_err(|e| PlanError::Unsafe { reason: e.to_string() })?;
    let old = find_group(outlook, &spec.name).ok();
    let version = old.map_or(0, |it| it.1);
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

/// One server at a time may come or go, so that any two majorities, old and new, share a server.
fn check_change(old: &GroupSpec, new: &GroupSpec) -> Result<(), PlanError> {
    let gone = old.servers.iter().filter(|it| new.server_index(&it.name).is_none()).count();
    let come = new.servers.iter().filter(|it| old.server_index(&it.name).is_none()).count();
    let moved = new
        .servers
        .iter()
        .filter(|it| old.server_index(&it.name).is_some_and(|at| old.servers[at].addr != it.addr));
    if gone + come + moved.count() > 0 {
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

fn find_group<'a>(outlook: &'a ClusterView, name: &Name) -> Result<(&'a GroupSpec, u64), PlanError> {
    match outlook.groups.binary_search_by(|it| it.0.name.cmp(name)) {
        Ok(at) => Ok((&outlook.groups[at].0, outlook.groups[at].1)),
        Err(_) => {
            let known = join(outlook.groups.iter().map(|it| &it.0.name));
            Err(PlanError::Unknown { kind: "group", name: name.clone(), known })
        }
    }
}

fn find_server<'a>(spec: &'a GroupSpec, name: &Name) -> Result<&'a ServerSpec, PlanError> {
    spec.server_index(name).map(|at| &spec.servers[at]).ok_or_else(|| PlanError::Unknown {
        kind: "server",
        name: name.clone(),
        known: join(spec.servers.iter().map(|it| &it.name)),
    })
}

fn primary<'a>(outlook: &'a ClusterView, group: &Name) -> Option<&'a Name> {
    outlook.primaries.iter().filter(|it| it.0 == *group).max_by_key(|it| it.2).map(|it| &it.1)
}

fn join<'a>(names: impl Iterator<Item = &'a Name>) -> String {
    let names: Vec<&str> = names.map(|it| it.as_str()).collect();
    if names.is_empty() { "none".to_owned() } else { names.join(", ") }
}

fn stage(it: PlanState) -> PlanPhase {
    match it {
        PlanState::Proposed => PlanPhase::Proposed,
        PlanState::Running => PlanPhase::Running,
        PlanState::Done => PlanPhase::Done,
        PlanState::Aborted => PlanPhase::Aborted,
        PlanState::Failed => PlanPhase::Failed,
    }
}

fn state(it: PlanPhase) -> PlanState {
    match it {
        PlanPhase::Proposed => PlanState::Proposed,
        PlanPhase::Running => PlanState::Running,
        PlanPhase::Done => PlanState::Done,
        PlanPhase::Aborted => PlanState::Aborted,
        PlanPhase::Failed => PlanState::Failed,
    }
}
