//! Creation, confirmation and execution of plans.
//!
//! A plan is an object on the platform. The first home of the plan's group executes the plan. If this instance
//! fails, the next home takes over, which is safe because each step is idempotent.

use {
    crate::{
        control::{self, OperatorError},
        gossip::LeaveOrder,
        home::{ORDER_TIMEOUT, failover},
        node::{Node, epoch_ms},
        peers,
    },
    pondtrack_core::{
        placement,
        plan::{self, ClusterView, PlanEvent},
    },
    pondtrack_edge::{PlatformError, contract::Order, platform::Object},
    pondtrack_proto::{
        FactKind, GroupSpec, Intent, LogPosition, Name, PeerMsg, Plan, PlanState, Step, StepState,
    },
    std::{collections::BTreeSet, rc::Rc, time::Duration},
    tokio::time::sleep,
};

/// Duration of the write pause in one attempt of a planned switchover, in milliseconds.
const PAUSE_MS: u32 = 400;
/// Timeout for other homes to confirm a write pause.
const PAUSE_TIMEOUT: Duration = Duration::from_millis(150);
/// Maximum attempts of a planned switchover; the last attempt aborts transactions that are still open.
const MAX_SWITCH_ATTEMPTS: usize = 12;
/// Pause between two attempts of a planned switchover.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Timeout for the next primary to catch up during a write pause.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(100);
/// Maximum lag of the next primary at the start of a write pause, in log positions.
const MAX_LAG: u64 = 50;
/// Maximum attempts of a conditional update that conflicts with concurrent updates.
const MAX_PUT_ATTEMPTS: usize = 8;

fn operator_error(e: &PlatformError) -> OperatorError {
    match e {
        PlatformError::Unavailable { .. } => OperatorError::Unavailable(e.to_string()),
        _ => OperatorError::Conflict(e.to_string()),
    }
}

fn kind(fact: FactKind) -> &'static str {
    fact.into()
}

/// Creates a plan in the proposed state, without executing any step.
///
/// # Errors
///
/// Returns an error if the intent is invalid, or if the platform is unavailable.
pub async fn propose(node: &Rc<Node>, operator: Name, intent: Intent) -> Result<Plan, OperatorError> {
    let view = cluster_view(node, &intent).await?;
    let verb = match &intent {
        Intent::Drain { .. } => "drain",
        Intent::Return { .. } => "return",
        Intent::Switch { .. } => "switch",
        Intent::Stop { .. } => "stop",
        Intent::Configure { .. } => "configure",
    };
    let name = Name::from(format!("{verb}-{:08x}", node.random() as u32));
    let mut plan =
        plan::propose(name, operator, intent, &view).map_err(|e| OperatorError::Refused(e.to_string()))?;
    let text = format!("proposed by {} at {}", plan.operator, node.name);
    append_log(&mut plan, &text);
    plan.change = node.random();
    create_plan(node, &plan).await?;
    Ok(plan)
}

async fn create_plan(node: &Rc<Node>, plan: &Plan) -> Result<(), OperatorError> {
    match node.platform.put(kind(FactKind::Plan), &plan.name, 0, plan).await {
        Ok(_) => Ok(()),
        Err(e @ PlatformError::Unavailable { .. }) => match read_plan(node, &plan.name).await {
            Ok((stored, _)) if stored.change == plan.change => Ok(()),
            _ => Err(operator_error(&e)),
        },
        Err(e) => Err(operator_error(&e)),
    }
}

/// Returns the state that a plan is based on: groups stored on the platform and primaries reported by homes.
async fn cluster_view(node: &Rc<Node>, intent: &Intent) -> Result<ClusterView, OperatorError> {
    let listing = node.platform.list(kind(FactKind::Group)).await.map_err(|e| operator_error(&e))?;
    let mut groups = Vec::new();
    for object in &listing.objects {
        if let Ok(spec) = object.read::<GroupSpec>() {
            groups.push((spec, object.version));
        }
    }
    groups.sort_by(|a, b| a.0.name.cmp(&b.0.name));
    let needs_primary = matches!(intent, Intent::Drain { .. } | Intent::Switch { .. });
    let reports = if needs_primary { control::status(node).await } else { Vec::new() };
    let servers = reports.iter().flat_map(|r| &r.groups).flat_map(|g| g.servers.iter().map(move |s| (g, s)));
    let leaders = servers.filter(|(_, s)| s.role == "primary");
    let primaries = leaders.map(|(g, s)| (g.name.clone(), s.name.clone(), s.term)).collect();
    let members = node.members.borrow().active();
    Ok(ClusterView { groups, primaries, members })
}

async fn read_plan(node: &Node, name: &Name) -> Result<(Plan, u64), OperatorError> {
    let object: Object = match node.platform.get(kind(FactKind::Plan), name).await {
        Ok(object) => object,
        Err(PlatformError::Missing { .. }) => {
            return Err(OperatorError::Refused(format!(
                "there is no plan {name:?}; pondtrack plans lists them"
            )));
        }
        Err(e) => return Err(operator_error(&e)),
    };
    let plan = object.read().map_err(|e| operator_error(&e))?;
    Ok((plan, object.version))
}

/// Confirms a plan, which starts its execution. Returns a running plan unchanged.
///
/// # Errors
///
/// Returns [`OperatorError::Conflict`] if an object that the plan is based on has changed, and other errors if the
/// plan is missing or can't be confirmed, or if the platform is unavailable.
pub async fn confirm(node: &Rc<Node>, operator: &Name, name: &Name) -> Result<Plan, OperatorError> {
    let (mut plan, version) = read_plan(node, name).await?;
    if plan.state == PlanState::Running {
        return Ok(plan);
    }
    for (kind, object, seen) in &plan.basis {
        let now = match node.platform.get(kind, object).await {
            Ok(stored) => stored.version,
            Err(PlatformError::Missing { .. }) => 0,
            Err(e) => return Err(operator_error(&e)),
        };
        if now != *seen {
            let text = format!(
                "{kind} {object} has changed since the plan was made: version {seen} became {now}; \
                 look at pondtrack status and make a new plan"
            );
            return Err(OperatorError::Conflict(text));
        }
    }
    plan::advance(&mut plan, PlanEvent::Confirm).map_err(|e| OperatorError::Refused(e.to_string()))?;
    append_log(&mut plan, &format!("confirmed by {operator} at {}", node.name));
    put_plan(node, &mut plan, version).await?;
    Ok(plan)
}

/// Aborts a plan; a step in progress still completes.
///
/// # Errors
///
/// Returns [`OperatorError::Conflict`] if concurrent updates of the plan exhaust the attempts, and other errors if the
/// plan is missing or can't be aborted, or if the platform is unavailable.
pub async fn abort(node: &Rc<Node>, operator: &Name, name: &Name) -> Result<Plan, OperatorError> {
    for _ in 0..MAX_PUT_ATTEMPTS {
        let (mut plan, version) = read_plan(node, name).await?;
        plan::advance(&mut plan, PlanEvent::Abort).map_err(|e| OperatorError::Refused(e.to_string()))?;
        append_log(&mut plan, &format!("aborted by {operator} at {}", node.name));
        match put_plan(node, &mut plan, version).await {
            Err(OperatorError::Conflict(_)) => {}
            other => return other.map(|()| plan),
        }
    }
    Err(OperatorError::Conflict(format!("plan {name} keeps changing")))
}

/// Returns the current state of the named plan, or of all plans if `name` is `None`.
///
/// # Errors
///
/// Returns an error if the named plan is missing, or if the platform is unavailable.
pub async fn list(node: &Rc<Node>, name: Option<&Name>) -> Result<Vec<Plan>, OperatorError> {
    if let Some(name) = name {
        return read_plan(node, name).await.map(|found| vec![found.0]);
    }
    let listing = node.platform.list(kind(FactKind::Plan)).await.map_err(|e| operator_error(&e))?;
    Ok(listing.objects.iter().filter_map(|o| o.read().ok()).collect())
}

/// Writes a plan if its stored version is `version`.
///
/// If the response is lost, the change id in the stored plan shows that the write took effect.
async fn put_plan(node: &Rc<Node>, plan: &mut Plan, version: u64) -> Result<(), OperatorError> {
    plan.change = node.random();
    match node.platform.put(kind(FactKind::Plan), &plan.name, version, plan).await {
        Ok(_) => Ok(()),
        Err(PlatformError::Unavailable { .. })
            if read_plan(node, &plan.name).await?.0.change == plan.change =>
        {
            Ok(())
        }
        Err(e) => Err(operator_error(&e)),
    }
}

fn append_log(plan: &mut Plan, text: &str) {
    plan.log.push(format!("{} {text}", epoch_ms()));
}

/// Polls for plans that are assigned to this instance and executes them, until the instance stops.
pub async fn run(node: Rc<Node>) {
    let mut executing: BTreeSet<Name> = BTreeSet::new();
    let (sender, mut finished) = tokio::sync::mpsc::unbounded_channel::<Name>();
    loop {
        while let Ok(name) = finished.try_recv() {
            executing.remove(&name);
        }
        for plan in running_plans(&node) {
            if assigned_instance(&node, &plan).as_ref() == Some(&node.name)
                && executing.insert(plan.name.clone())
            {
                let (node, sender) = (node.clone(), sender.clone());
                tokio::task::spawn_local(async move {
                    execute(&node, &plan.name).await;
                    let _ = sender.send(plan.name);
                });
            }
        }
        sleep(Duration::from_millis(100)).await;
    }
}

fn running_plans(node: &Node) -> Vec<Plan> {
    let members = node.members.borrow();
    let plans = members.facts.of_kind(FactKind::Plan);
    let parsed = plans.filter_map(|fact| serde_json::from_slice::<Plan>(&fact.value).ok());
    parsed.filter(|p| p.state == PlanState::Running).collect()
}

/// Returns the instance that executes a plan: the first home of the plan's group, or a member chosen by placement.
fn assigned_instance(node: &Node, plan: &Plan) -> Option<Name> {
    let group = match &plan.intent {
        Intent::Drain { group, .. } | Intent::Return { group, .. } | Intent::Switch { group, .. } => {
            Some(group)
        }
        Intent::Configure { spec } => Some(&spec.name),
        Intent::Stop { .. } => None,
    };
    let home = group.and_then(|g| node.group(g)).and_then(|s| node.placement(&s).homes.first().cloned());
    let members = node.members.borrow().active();
    // An instance doesn't execute the plan that stops it, as the plan would end with the process.
    let stopping = |name: &Name| matches!(&plan.intent, Intent::Stop { instance } if instance == name);
    let rest = members.iter().filter(|m| !stopping(&m.name));
    home.or_else(|| placement::pick_member(&plan.name, rest).map(|m| m.name.clone()))
}

/// Executes a plan until the plan ends or is assigned to another instance.
async fn execute(node: &Rc<Node>, name: &Name) {
    loop {
        let Ok((mut plan, version)) = read_plan(node, name).await else {
            sleep(Duration::from_millis(300)).await;
            return;
        };
        if plan.state != PlanState::Running || assigned_instance(node, &plan).as_ref() != Some(&node.name) {
            return;
        }
        let Some(index) = plan::next_step(&plan) else {
            record_progress(node, &mut plan, version, PlanEvent::Finish, "done").await;
            return;
        };
        let step = plan.steps[index].0.clone();
        plan.worker = node.name.clone();
        match execute_step(node, &step, &plan).await {
            Ok(text) => {
                plan.steps[index].1 = StepState::Done;
                let last = plan::next_step(&plan).is_none();
                let event = if last { PlanEvent::Finish } else { PlanEvent::Progress };
                record_progress(node, &mut plan, version, event, &text).await;
            }
            Err(OperatorError::Refused(reason)) => {
                plan.steps[index].1 = StepState::Failed { reason: reason.clone() };
                record_progress(node, &mut plan, version, PlanEvent::Fail, &reason).await;
                return;
            }
            Err(_) => sleep(Duration::from_millis(300)).await,
        }
    }
}

/// Applies an event to a plan, then stores and logs the outcome of the step.
async fn record_progress(node: &Rc<Node>, plan: &mut Plan, version: u64, event: PlanEvent, text: &str) {
    if plan::advance(plan, event).is_err() {
        return;
    }
    append_log(plan, &format!("{}: {text}", node.name));
    node.record_decision(
        &plan.name,
        format!("plan step: {text}"),
        format!("intent of {}: {:?}", plan.operator, plan.intent),
    );
    // After a conflict the plan is read again, and the idempotent step succeeds without another change.
    let _ = put_plan(node, plan, version).await;
}

/// Executes a step. A step that was executed before has no further effect.
async fn execute_step(node: &Rc<Node>, step: &Step, plan: &Plan) -> Result<String, OperatorError> {
    match step {
        Step::Switch { group, server } => switch_primary(node, group, server).await,
        Step::Mark { group, server, draining } => set_draining(node, group, server, *draining).await,
        Step::Write { spec } => write_spec(node, spec, plan).await,
        Step::Leave { instance } => order_leave(node, instance).await,
    }
}

async fn set_draining(
    node: &Rc<Node>,
    group: &Name,
    server: &Name,
    draining: bool,
) -> Result<String, OperatorError> {
    for _ in 0..MAX_PUT_ATTEMPTS {
        let object = node.platform.get(kind(FactKind::Group), group).await.map_err(|e| operator_error(&e))?;
        let mut spec: GroupSpec = object.read().map_err(|e| operator_error(&e))?;
        spec.servers.sort_by(|a, b| a.name.cmp(&b.name));
        let Some(index) = spec.server_index(server) else {
            return Err(OperatorError::Refused(format!("{server} is no longer a server of {group}")));
        };
        let text = format!("{server} of {group} is {}", if draining { "draining" } else { "in use" });
        if spec.servers[index].draining == draining {
            return Ok(text);
        }
        spec.servers[index].draining = draining;
        match node.platform.put(kind(FactKind::Group), group, object.version, &spec).await {
            Ok(_) => return Ok(text),
            // The group is read again: a concurrent update won, or the write took effect and the response was lost.
            Err(PlatformError::Conflict { .. }) => {}
            Err(e) => return Err(operator_error(&e)),
        }
    }
    Err(OperatorError::Conflict(format!("group {group} keeps changing")))
}

async fn write_spec(node: &Rc<Node>, spec: &GroupSpec, plan: &Plan) -> Result<String, OperatorError> {
    let text = format!("group {} is configured", spec.name);
    let (current, version) = match node.platform.get(kind(FactKind::Group), &spec.name).await {
        Ok(object) => (object.read::<GroupSpec>().ok(), object.version),
        Err(PlatformError::Missing { .. }) => (None, 0),
        Err(e) => return Err(operator_error(&e)),
    };
    if current.as_ref() == Some(spec) {
        return Ok(text);
    }
    let basis = plan.basis.first().map_or(0, |b| b.2);
    if version != basis {
        return Err(OperatorError::Refused(format!(
            "group {} was changed by somebody else meanwhile",
            spec.name
        )));
    }
    node.platform
        .put(kind(FactKind::Group), &spec.name, basis, spec)
        .await
        .map_err(|e| operator_error(&e))?;
    Ok(text)
}

/// Writes an order to leave for the current incarnation of an instance.
async fn order_leave(node: &Rc<Node>, instance: &Name) -> Result<String, OperatorError> {
    let Some(incarnation) = node.members.borrow().get(instance).map(|m| m.incarnation) else {
        return Ok(format!("{instance} is gone"));
    };
    let kind = kind(FactKind::Leave);
    let version = match node.platform.get(kind, instance).await {
        Ok(object) if object.read::<LeaveOrder>().is_ok_and(|old| old.incarnation >= incarnation) => {
            return Ok(format!("{instance} is told to leave"));
        }
        Ok(object) => object.version,
        Err(PlatformError::Missing { .. }) => 0,
        Err(e) => return Err(operator_error(&e)),
    };
    let order = LeaveOrder { incarnation };
    node.platform.put(kind, instance, version, &order).await.map_err(|e| operator_error(&e))?;
    Ok(format!("{instance} is told to leave"))
}

/// Performs a planned switchover: pauses new writes, waits for the next primary to catch up and promotes the server.
async fn switch_primary(node: &Rc<Node>, group: &Name, server: &Name) -> Result<String, OperatorError> {
    let Some(home) = node.home(group) else {
        return Err(OperatorError::Conflict("this instance is not a home yet".to_owned()));
    };
    let Some(target) = home.spec.borrow().server_index(server) else {
        return Err(OperatorError::Refused(format!("{server} is no server of {group}")));
    };
    let mut last_error = String::new();
    for attempt in 1..=MAX_SWITCH_ATTEMPTS {
        let Some(from) = home.primary() else {
            last_error = "the group has no primary at the moment".to_owned();
            sleep(RETRY_PAUSE).await;
            continue;
        };
        if from == target {
            return Ok(format!("{server} is the primary of {group}"));
        }
        if !is_caught_up(&home, from, target) {
            last_error = format!("{server} is too far behind");
            sleep(RETRY_PAUSE).await;
            continue;
        }
        let force = attempt == MAX_SWITCH_ATTEMPTS;
        match try_switch(node, &home, from, target, force).await {
            Ok(text) => return Ok(text),
            Err(reason) => last_error = reason,
        }
        sleep(RETRY_PAUSE).await;
    }
    Err(OperatorError::Refused(format!("{server} did not become the primary: {last_error}")))
}

/// Returns true if `target` lags behind `from` by at most [`MAX_LAG`] log positions.
fn is_caught_up(home: &crate::home::Home, from: usize, target: usize) -> bool {
    let received = |n: usize| home.servers[n].view.borrow().position.map(|p| p.received.lsn.0);
    match (received(from), received(target)) {
        (Some(a), Some(b)) => a.saturating_sub(b) <= MAX_LAG,
        _ => false,
    }
}

/// Attempts a switchover under a write pause on all homes of the group.
///
/// Fails if transactions are still open at the end of the wait, unless `force` is set.
async fn try_switch(
    node: &Rc<Node>,
    home: &Rc<crate::home::Home>,
    from: usize,
    target: usize,
    force: bool,
) -> Result<String, String> {
    let started = node.now();
    let others: Vec<Name> = {
        let spec = home.spec.borrow().clone();
        let homes = node.placement(&spec).homes.clone();
        homes.into_iter().filter(|h| *h != node.name).collect()
    };
    let pauses = others.iter().map(|peer| {
        let make = |id| PeerMsg::PauseWrites { id, group: home.group.clone(), ms: PAUSE_MS };
        node.peers.request(node, peer, make, PAUSE_TIMEOUT)
    });
    let local = peers::pause_writes(node, &home.group, PAUSE_MS);
    let (replies, open) = tokio::join!(futures::future::join_all(pauses), local);
    let remote: u32 = replies
        .iter()
        .map(|r| if let Some(PeerMsg::WritesPaused { open, .. }) = r { *open } else { 0 })
        .sum();
    let result = match open + remote {
        0 => promote(node, home, from, target).await,
        _ if force => promote(node, home, from, target).await,
        n => Err(format!("{n} transactions are still open")),
    };
    peers::resume_writes(node, &home.group);
    for peer in &others {
        node.peers.send(node, peer, &PeerMsg::ResumeWrites { group: home.group.clone() });
    }
    result.map(|text| format!("{text}; work was held for {} ms", node.now() - started))
}

async fn promote(
    node: &Rc<Node>,
    home: &Rc<crate::home::Home>,
    from: usize,
    target: usize,
) -> Result<String, String> {
    let primary = home.order(node, from, Order::Position, ORDER_TIMEOUT).await.map_err(|e| e.to_string())?;
    let mark = LogPosition { term: primary.term, lsn: primary.received.lsn };
    let ms = CATCH_UP_TIMEOUT.as_millis() as u32;
    let replica =
        home.order(node, target, Order::Wait { mark, ms }, ORDER_TIMEOUT).await.map_err(|e| e.to_string())?;
    if replica.applied < mark.lsn {
        return Err("the next primary did not catch up in time".to_owned());
    }
    let wish = failover::CandidatePreference { preferred: Some(target), excluded: None };
    let (term, name) = failover::fail_over(node, home, wish).await?;
    if home.spec.borrow().server_index(&name) != Some(target) {
        return Err(format!("{name} had a higher log and became the primary of term {term}"));
    }
    Ok(format!("{name} is the primary of {} in term {term}", home.group))
}
