//! Plans: made, confirmed, worked on.
//!
//! A plan is an object on the platform. The instance that works on it is the first home of its group;
//! when that one dies, the next takes over, as every step can be done twice with the effect of once.

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

/// How long work for a primary is held in one try of a planned switch, in milliseconds.
const HOLD_MS: u32 = 400;
/// Time for other homes to confirm a hold.
const HOLD_LIMIT: Duration = Duration::from_millis(150);
/// Tries of a planned switch; on the last, transactions still open are cut.
const SWITCH_TRIES: usize = 12;
/// Between two tries of a planned switch.
const SWITCH_PAUSE: Duration = Duration::from_millis(250);
/// Time for the next primary to catch up, once work is held.
const CATCH_UP: Duration = Duration::from_millis(100);
/// Positions by which the next primary may be behind when work is held.
const NEAR: u64 = 50;
/// Tries of a conditional update that others race.
const PUT_TRIES: usize = 8;

fn refusal(e: &PlatformError) -> OperatorError {
    match e {
        PlatformError::Unavailable { .. } => OperatorError::Unavailable(e.to_string()),
        _ => OperatorError::Conflict(e.to_string()),
    }
}

fn kind(it: FactKind) -> &'static str {
    it.into()
}

/// Makes a plan; nothing changes yet.
pub async fn propose(node: &Rc<Node>, operator: Name, intent: Intent) -> Result<Plan, OperatorError> {
    let outlook = outlook(node, &intent).await?;
    let word = match &intent {
        Intent::Drain { .. } => "drain",
        Intent::Return { .. } => "return",
        Intent::Switch { .. } => "switch",
        Intent::Stop { .. } => "stop",
        Intent::Configure { .. } => "configure",
    };
    let name = Name::from(format!("{word}-{:08x}", node.random() as u32));
    let mut it =
        plan::propose(name, operator, intent, &outlook).map_err(|e| OperatorError::Refused(e.to_string()))?;
    let text = format!("proposed by {} at {}", it.operator, node.name);
    note(&mut it, &text);
    it.change = node.random();
    put_new(node, &it).await?;
    Ok(it)
}

async fn put_new(node: &Rc<Node>, it: &Plan) -> Result<(), OperatorError> {
    match node.platform.put(kind(FactKind::Plan), &it.name, 0, it).await {
        Ok(_) => Ok(()),
        Err(e @ PlatformError::Unavailable { .. }) => match read_plan(node, &it.name).await {
            Ok((found, _)) if found.change == it.change => Ok(()),
            _ => Err(refusal(&e)),
        },
        Err(e) => Err(refusal(&e)),
    }
}

/// What a plan is made from: the platform's own objects and the homes' views.
async fn outlook(node: &Rc<Node>, intent: &Intent) -> Result<ClusterView, OperatorError> {
    let listing = node.platform.list(kind(FactKind::Group)).await.map_err(|e| refusal(&e))?;
    let mut groups = Vec::new();
    for it in &listing.objects {
        if let Ok(spec) = it.read::<GroupSpec>() {
            groups.push((spec, it.version));
        }
    }
    groups.sort_by(|a, b| a.0.name.cmp(&b.0.name));
    let needs_primary = matches!(intent, Intent::Drain { .. } | Intent::Switch { .. });
    let reports = if needs_primary { control::status(node).await } else { Vec::new() };
    let servers =
        reports.iter().flat_map(|it| &it.groups).flat_map(|g| g.servers.iter().map(move |s| (g, s)));
    let leads = servers.filter(|(_, s)| s.role == "primary");
    let primaries = leads.map(|(g, s)| (g.name.clone(), s.name.clone(), s.term)).collect();
    let members = node.members.borrow().active();
    Ok(ClusterView { groups, primaries, members })
}

async fn read_plan(node: &Node, name: &Name) -> Result<(Plan, u64), OperatorError> {
    let it: Object = match node.platform.get(kind(FactKind::Plan), name).await {
        Ok(it) => it,
        Err(PlatformError::Missing { .. }) => {
            return Err(OperatorError::Refused(format!(
                "there is no plan {name:?}; pondtrack plans lists them"
            )));
        }
        Err(e) => return Err(refusal(&e)),
    };
    let plan = it.read().map_err(|e| refusal(&e))?;
    Ok((plan, it.version))
}

/// Confirms a plan, if what it was made from still stands.
pub async fn confirm(node: &Rc<Node>, operator: &Name, name: &Name) -> Result<Plan, OperatorError> {
    let (mut it, version) = read_plan(node, name).await?;
    if it.state == PlanState::Running {
        return Ok(it);
    }
    for (kind, object, seen) in &it.basis {
        let now = match node.platform.get(kind, object).await {
            Ok(found) => found.version,
            Err(PlatformError::Missing { .. }) => 0,
            Err(e) => return Err(refusal(&e)),
        };
        if now != *seen {
            let text = format!(
                "{kind} {object} has changed since the plan was made: version {seen} became {now}; \
                 look at pondtrack status and make a new plan"
            );
            return Err(OperatorError::Conflict(text));
        }
    }
    plan::advance(&mut it, PlanEvent::Confirm).map_err(|e| OperatorError::Refused(e.to_string()))?;
    note(&mut it, &format!("confirmed by {operator} at {}", node.name));
    put_plan(node, &mut it, version).await?;
    Ok(it)
}

/// Ends a plan before its end; a step that is under way is finished.
pub async fn abort(node: &Rc<Node>, operator: &Name, name: &Name) -> Result<Plan, OperatorError> {
    for _ in 0..PUT_TRIES {
        let (mut it, version) = read_plan(node, name).await?;
        plan::advance(&mut it, PlanEvent::Abort).map_err(|e| OperatorError::Refused(e.to_string()))?;
        note(&mut it, &format!("aborted by {operator} at {}", node.name));
        match put_plan(node, &mut it, version).await {
            Err(OperatorError::Conflict(_)) => {}
            other => return other.map(|()| it),
        }
    }
    Err(OperatorError::Conflict(format!("plan {name} keeps changing")))
}

/// A plan as it stands, or all.
pub async fn list(node: &Rc<Node>, name: Option<&Name>) -> Result<Vec<Plan>, OperatorError> {
    if let Some(it) = name {
        return read_plan(node, it).await.map(|it| vec![it.0]);
    }
    let listing = node.platform.list(kind(FactKind::Plan)).await.map_err(|e| refusal(&e))?;
    Ok(listing.objects.iter().filter_map(|it| it.read().ok()).collect())
}

/// Writes a plan on condition of its version; a lost answer is recognised by the change's id.
async fn put_plan(node: &Rc<Node>, it: &mut Plan, version: u64) -> Result<(), OperatorError> {
    it.change = node.random();
    match node.platform.put(kind(FactKind::Plan), &it.name, version, it).await {
        Ok(_) => Ok(()),
        Err(PlatformError::Unavailable { .. }) if read_plan(node, &it.name).await?.0.change == it.change => {
            Ok(())
        }
        Err(e) => Err(refusal(&e)),
    }
}

fn note(it: &mut Plan, text: &str) {
    it.log.push(format!("{} {text}", epoch_ms()));
}

/// Looks for plans that this instance has to work on, for the life of the instance.
pub async fn run(node: Rc<Node>) {
    let mut working: BTreeSet<Name> = BTreeSet::new();
    let (send, mut done) = tokio::sync::mpsc::unbounded_channel::<Name>();
    loop {
        while let Ok(it) = done.try_recv() {
            working.remove(&it);
        }
        for it in running_plans(&node) {
            if worker(&node, &it).as_ref() == Some(&node.name) && working.insert(it.name.clone()) {
                let (node, send) = (node.clone(), send.clone());
                tokio::task::spawn_local(async move {
                    work(&node, &it.name).await;
                    let _ = send.send(it.name);
                });
            }
        }
        sleep(Duration::from_millis(100)).await;
    }
}

fn running_plans(node: &Node) -> Vec<Plan> {
    let members = node.members.borrow();
    let plans = members.facts.of_kind(FactKind::Plan);
    let read = plans.filter_map(|it| serde_json::from_slice::<Plan>(&it.value).ok());
    read.filter(|it| it.state == PlanState::Running).collect()
}

/// The instance that works on a plan.
fn worker(node: &Node, it: &Plan) -> Option<Name> {
    let group = match &it.intent {
        Intent::Drain { group, .. } | Intent::Return { group, .. } | Intent::Switch { group, .. } => {
            Some(group)
        }
        Intent::Configure { spec } => Some(&spec.name),
        Intent::Stop { .. } => None,
    };
    let home = group.and_then(|it| node.group(it)).and_then(|it| node.placement(&it).homes.first().cloned());
    let members = node.members.borrow().active();
    // An instance does not work on its own stop: its end would end the work.
    let own = |name: &Name| matches!(&it.intent, Intent::Stop { instance } if instance == name);
    let rest = members.iter().filter(|m| !own(&m.name));
    home.or_else(|| placement::pick_member(&it.name, rest).map(|it| it.name.clone()))
}

/// Works on a plan until it ends, or another instance has to.
async fn work(node: &Rc<Node>, name: &Name) {
    loop {
        let Ok((mut it, version)) = read_plan(node, name).await else {
            sleep(Duration::from_millis(300)).await;
            return;
        };
        if it.state != PlanState::Running || worker(node, &it).as_ref() != Some(&node.name) {
            return;
        }
        let Some(at) = plan::next_step(&it) else {
            finish(node, &mut it, version, PlanEvent::Finish, "done").await;
            return;
        };
        let step = it.steps[at].0.clone();
        it.worker = node.name.clone();
        match perform(node, &step, &it).await {
            Ok(text) => {
                it.steps[at].1 = StepState::Done;
                let last = plan::next_step(&it).is_none();
                let event = if last { PlanEvent::Finish } else { PlanEvent::Progress };
                finish(node, &mut it, version, event, &text).await;
            }
            Err(OperatorError::Refused(reason)) => {
                it.steps[at].1 = StepState::Failed { reason: reason.clone() };
                finish(node, &mut it, version, PlanEvent::Fail, &reason).await;
                return;
            }
            Err(_) => sleep(Duration::from_millis(300)).await,
        }
    }
}

async fn finish(node: &Rc<Node>, it: &mut Plan, version: u64, event: PlanEvent, text: &str) {
    if plan::advance(it, event).is_err() {
        return;
    }
    note(it, &format!("{}: {text}", node.name));
    node.record_decision(
        &it.name,
        format!("plan step: {text}"),
        format!("intent of {}: {:?}", it.operator, it.intent),
    );
    // After a race the plan is read anew; the step is recognised as done.
    let _ = put_plan(node, it, version).await;
}

/// Does a step; it may have been done before.
async fn perform(node: &Rc<Node>, step: &Step, plan: &Plan) -> Result<String, OperatorError> {
    match step {
        Step::Switch { group, server } => switch(node, group, server).await,
        Step::Mark { group, server, draining } => mark(node, group, server, *draining).await,
        Step::Write { spec } => write(node, spec, plan).await,
        Step::Leave { instance } => leave(node, instance).await,
    }
}

async fn mark(node: &Rc<Node>, group: &Name, server: &Name, draining: bool) -> Result<String, OperatorError> {
    for _ in 0..PUT_TRIES {
        let it = node.platform.get(kind(FactKind::Group), group).await.map_err(|e| refusal(&e))?;
        let mut spec: GroupSpec = it.read().map_err(|e| refusal(&e))?;
        spec.servers.sort_by(|a, b| a.name.cmp(&b.name));
        let Some(at) = spec.server_index(server) else {
            return Err(OperatorError::Refused(format!("{server} is no longer a server of {group}")));
        };
        let text = format!("{server} of {group} is {}", if draining { "draining" } else { "in use" });
        if spec.servers[at].draining == draining {
            return Ok(text);
        }
        spec.servers[at].draining = draining;
        match node.platform.put(kind(FactKind::Group), group, it.version, &spec).await {
            Ok(_) => return Ok(text),
            // Raced, or the answer was lost: read again and see.
            Err(PlatformError::Conflict { .. }) => {}
            Err(e) => return Err(refusal(&e)),
        }
    }
    Err(OperatorError::Conflict(format!("group {group} keeps changing")))
}

async fn write(node: &Rc<Node>, spec: &GroupSpec, plan: &Plan) -> Result<String, OperatorError> {
    let text = format!("group {} is configured", spec.name);
    let (now, version) = match node.platform.get(kind(FactKind::Group), &spec.name).await {
        Ok(it) => (it.read::<GroupSpec>().ok(), it.version),
        Err(PlatformError::Missing { .. }) => (None, 0),
        Err(e) => return Err(refusal(&e)),
    };
    if now.as_ref() == Some(spec) {
        return Ok(text);
    }
    let basis = plan.basis.first().map_or(0, |it| it.2);
    if version != basis {
        return Err(OperatorError::Refused(format!(
            "group {} was changed by somebody else meanwhile",
            spec.name
        )));
    }
    node.platform.put(kind(FactKind::Group), &spec.name, basis, spec).await.map_err(|e| refusal(&e))?;
    Ok(text)
}

async fn leave(node: &Rc<Node>, instance: &Name) -> Result<String, OperatorError> {
    let Some(incarnation) = node.members.borrow().get(instance).map(|it| it.incarnation) else {
        return Ok(format!("{instance} is gone"));
    };
    let kind = kind(FactKind::Leave);
    let version = match node.platform.get(kind, instance).await {
        Ok(it) if it.read::<LeaveOrder>().is_ok_and(|old| old.incarnation >= incarnation) => {
            return Ok(format!("{instance} is told to leave"));
        }
        Ok(it) => it.version,
        Err(PlatformError::Missing { .. }) => 0,
        Err(e) => return Err(refusal(&e)),
    };
    let order = LeaveOrder { incarnation };
    node.platform.put(kind, instance, version, &order).await.map_err(|e| refusal(&e))?;
    Ok(format!("{instance} is told to leave"))
}

/// A planned switch: hold new work, let the next primary catch up, promote it.
async fn switch(node: &Rc<Node>, group: &Name, server: &Name) -> Result<String, OperatorError> {
    let Some(home) = node.home(group) else {
        return Err(OperatorError::Conflict("this instance is not a home yet".to_owned()));
    };
    let Some(target) = home.spec.borrow().server_index(server) else {
        return Err(OperatorError::Refused(format!("{server} is no server of {group}")));
    };
    let mut last = String::new();
    for attempt in 1..=SWITCH_TRIES {
        let Some(from) = home.primary() else {
            last = "the group has no primary at the moment".to_owned();
            sleep(SWITCH_PAUSE).await;
            continue;
        };
        if from == target {
            return Ok(format!("{server} is the primary of {group}"));
        }
        if !near(&home, from, target) {
            last = format!("{server} is too far behind");
            sleep(SWITCH_PAUSE).await;
            continue;
        }
        let force = attempt == SWITCH_TRIES;
        match held_switch(node, &home, from, target, force).await {
            Ok(text) => return Ok(text),
            Err(why) => last = why,
        }
        sleep(SWITCH_PAUSE).await;
    }
    Err(OperatorError::Refused(format!("{server} did not become the primary: {last}")))
}

fn near(home: &crate::home::Home, from: usize, target: usize) -> bool {
    let end = |n: usize| home.servers[n].view.borrow().position.map(|it| it.received.lsn.0);
    match (end(from), end(target)) {
        (Some(a), Some(b)) => a.saturating_sub(b) <= NEAR,
        _ => false,
    }
}

async fn held_switch(
    node: &Rc<Node>,
    home: &Rc<crate::home::Home>,
    from: usize,
    target: usize,
    force: bool,
) -> Result<String, String> {
    let began = node.now();
    let others: Vec<Name> = {
        let spec = home.spec.borrow().clone();
        let homes = node.placement(&spec).homes.clone();
        homes.into_iter().filter(|it| *it != node.name).collect()
    };
    let holds = others.iter().map(|it| {
        let make = |id| PeerMsg::PauseWrites { id, group: home.group.clone(), ms: HOLD_MS };
        node.peers.request(node, it, make, HOLD_LIMIT)
    });
    let own = peers::pause_writes(node, &home.group, HOLD_MS);
    let (answers, open) = tokio::join!(futures::future::join_all(holds), own);
    let theirs: u32 = answers
        .iter()
        .map(|it| if let Some(PeerMsg::WritesPaused { open, .. }) = it { *open } else { 0 })
        .sum();
    let out = match open + theirs {
        0 => promote(node, home, from, target).await,
        _ if force => promote(node, home, from, target).await,
        n => Err(format!("{n} transactions are still open")),
    };
    peers::resume_writes(node, &home.group);
    for it in &others {
        node.peers.send(node, it, &PeerMsg::ResumeWrites { group: home.group.clone() });
    }
    out.map(|text| format!("{text}; work was held for {} ms", node.now() - began))
}

async fn promote(
    node: &Rc<Node>,
    home: &Rc<crate::home::Home>,
    from: usize,
    target: usize,
) -> Result<String, String> {
    let lead = home.order(node, from, Order::Position, ORDER_TIMEOUT).await.map_err(|e| e.to_string())?;
    let mark = LogPosition { term: lead.term, lsn: lead.received.lsn };
    let ms = CATCH_UP.as_millis() as u32;
    let caught =
        home.order(node, target, Order::Wait { mark, ms }, ORDER_TIMEOUT).await.map_err(|e| e.to_string())?;
    if caught.applied < mark.lsn {
        return Err("the next primary did not catch up in time".to_owned());
    }
    let wish = failover::CandidatePreference { preferred: Some(target), excluded: None };
    let (term, name) = failover::fail_over(node, home, wish).await?;
    if home.spec.borrow().server_index(&name) != Some(target) {
        return Err(format!("{name} had a higher log and became the primary of term {term}"));
    }
    Ok(format!("{name} is the primary of {} in term {term}", home.group))
}
