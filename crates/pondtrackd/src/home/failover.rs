//! Detecting a lost primary, fencing a majority, promoting a server, and taking old ones back.

use {
    super::{Home, ORDER_LIMIT},
    crate::{
        node::Node,
        platform_sync::{self, RefillUrgency},
        telemetry::Count,
    },
    pondtrack_core::{
        Time,
        failure_detector::{Cause, Opinion},
        promotion::{Action, Promotion, PromotionState},
    },
    pondtrack_edge::contract::{Order, Position, Role},
    pondtrack_proto::{LogPosition, Name, PeerMsg, Term},
    std::{rc::Rc, time::Duration},
    tokio::{
        sync::mpsc,
        time::{sleep, timeout},
    },
};

/// Between two looks at a group.
const LOOK: Duration = Duration::from_millis(25);
/// Time for a whole change of primary.
const SWITCH_LIMIT: Duration = Duration::from_millis(1_500);
/// Time for the server that should become the primary to be fenced.
const PREFERRED_LIMIT: Duration = Duration::from_millis(150);
/// Time for the opinions of other homes.
const OPINION_LIMIT: Duration = Duration::from_millis(150);
/// Wait after a change of primary.
const AGAIN: u64 = 200;
/// First and longest wait after a verdict that another home spoke against.
const VETOED: (u64, u64) = (500, 8_000);
/// Time for which a server may stand apart before it is told whom to follow, per rank of the home.
const APART: u64 = 300;
/// Between two looks whether a server that was told to follow has rejoined.
const REJOIN_PAUSE: Duration = Duration::from_millis(500);
/// Most of these looks: ten seconds, after which a server that is away is lost, or told to follow once more when it is back.
const REJOIN_LOOKS: usize = 20;
/// Time for which a server may know a higher term than the primary before the primary is renewed.
const ABOVE: u64 = 600;

/// What an order of a switch brought.
enum Outcome {
    Position(usize, Action, Position),
    Refused,
    Lost(Action),
}

/// Looks after a group for the life of its home.
pub async fn run(node: Rc<Node>, home: Rc<Home>) {
    let mut quiet_until: Time = 0;
    let mut apart: Vec<Option<Time>> = vec![None; home.servers.len()];
    let mut absent = None;
    let mut vetoed = VETOED.0;
    let mut known = Term::default();
    let mut short = false;
    while !home.closing.get() {
        sleep(LOOK).await;
        let now = node.now();
        if home.detector.borrow_mut().poll(now) {
            node.count(Count::Pauses);
            forget_evidence(&home, now);
            absent = None;
            continue;
        }
        if home.primary().is_some() && home.primary_is_near(&node) {
            home.found(&node);
            vetoed = VETOED.0;
        } else if home.lost.get().is_none() {
            home.lost.set(Some(now));
        }
        absent = misses_primary(&home).then(|| absent.unwrap_or(now));
        take_back(&node, &home, &mut apart);
        let term = home.term();
        if term != known {
            // What was taken ahead may be below it, and then of no use any longer.
            known = term;
            platform_sync::replenish(&node, &home, RefillUrgency::Background);
        }
        if now < quiet_until || home.switching.get() || home.held.get().is_some_and(|it| it > now) {
            continue;
        }
        let Some(cause) = judge(&node, &home, now, absent, &apart) else { continue };
        if home.grants.borrow().remaining() == 0 {
            // A change begins with a term in hand: its limit would end the calls that bring one, for ever if these
            // are slower than it.
            platform_sync::replenish(&node, &home, RefillUrgency::Immediate);
            if !std::mem::replace(&mut short, true) {
                node.record_decision(
                    &home.group,
                    "a change of primary waits for a term",
                    evidence(&node, &home, cause),
                );
            }
            continue;
        }
        short = false;
        let primary = home.primary();
        let opinions = ask_others(&node, &home).await;
        let term = if cause == Cause::Stranded { home.term() } else { leading_term(&home, primary) };
        if home.detector.borrow().is_vetoed(cause, term, &opinions) {
            node.count(Count::Vetoes);
            let evidence = format!("{cause}; others: {opinions:?}");
            node.record_decision(&home.group, "the primary is kept: another home hears it", evidence);
            quiet_until = node.now() + vetoed;
            vetoed = (vetoed * 2).min(VETOED.1);
            continue;
        }
        let evidence = evidence(&node, &home, cause);
        node.record_decision(&home.group, format!("the primary is given up: {cause}"), evidence);
        let wish = wish(cause, primary);
        if let Err(why) = change(&node, &home, wish).await {
            node.record_decision(&home.group, "the change of primary failed", why);
        }
        quiet_until = node.now() + AGAIN;
    }
}

/// After a pause of this instance nothing it heard before says anything.
fn forget_evidence(home: &Home, now: Time) {
    for it in &home.servers {
        let mut view = it.view.borrow_mut();
        view.heard.refused_since = view.heard.refused_since.map(|_| now);
        view.heard.answered_at = view.heard.answered_at.map(|_| now);
    }
    if home.stalled.get().is_some() {
        home.stalled.set(Some(now));
    }
}

/// Whether no server is the primary, as far as a majority has told. An instance that has just started and heard fewer knows
/// nothing of a primary; the fences that it sent would come as soon as the servers can be reached.
fn misses_primary(home: &Home) -> bool {
    let told = home.servers.iter().filter(|it| it.view.borrow().position.is_some()).count();
    told >= home.spec.borrow().majority() && home.primary().is_none()
}

fn judge(node: &Node, home: &Home, now: Time, absent: Option<Time>, apart: &[Option<Time>]) -> Option<Cause> {
    let reachable = home.servers.iter().filter(|it| it.view.borrow().heard.refused_since.is_none()).count();
    if reachable < home.spec.borrow().majority() {
        // Without a majority nothing can be fenced.
        return None;
    }
    let primary = home.primary();
    let heard = primary.map(|n| home.servers[n].view.borrow().heard);
    let rank = home.rank.get();
    if stranded(home, now, apart, rank, primary) {
        return Some(Cause::Stranded);
    }
    let cause = home.detector.borrow().evaluate(now, rank, heard.as_ref(), absent, home.stalled.get());
    cause.filter(|it| *it != Cause::Stalled || others_suffice(node, home, primary))
}

/// Whether a server stands above the term of a primary that is heard, and has for a while.
fn stranded(home: &Home, now: Time, apart: &[Option<Time>], rank: usize, primary: Option<usize>) -> bool {
    let position = |n: usize| home.servers[n].view.borrow().position;
    let Some(term) = primary.and_then(position).map(|it| it.term) else { return false };
    let patience = ABOVE * (1 + rank as u64);
    (0..home.servers.len()).any(|n| {
        let above = position(n).is_some_and(|it| it.term > term);
        above && apart[n].is_some_and(|at| now.saturating_sub(at) > patience)
    })
}

/// Whether the servers other than the primary make a majority. Without one, a change that leaves the
/// stalled primary out can't succeed, and would only strand those it fences.
fn others_suffice(node: &Node, home: &Home, primary: Option<usize>) -> bool {
    let limit = super::monitor::unheard(node, home, false);
    let near = |n: &usize| home.servers[*n].view.borrow().is_near(node.now(), limit);
    let others = (0..home.servers.len()).filter(|n| Some(*n) != primary).filter(near);
    others.count() >= home.spec.borrow().majority()
}

/// Which server should be the primary, and which should not even be asked.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Wish {
    /// Taken when its log is as high as any.
    pub prefer: Option<usize>,
    /// Not fenced.
    pub skip: Option<usize>,
}

fn wish(cause: Cause, primary: Option<usize>) -> Wish {
    match cause {
        Cause::Stalled => Wish { prefer: None, skip: primary },
        // A primary that is well is only renewed in a higher term.
        Cause::Stranded => Wish { prefer: primary, skip: None },
        Cause::Silent | Cause::Refused | Cause::Absent => Wish::default(),
    }
}

fn evidence(node: &Node, home: &Home, cause: Cause) -> String {
    let now = node.now();
    let one = |it: &super::Server| {
        let view = it.view.borrow();
        let heard = view
            .heard
            .answered_at
            .map_or("never".to_owned(), |at| format!("{} ms ago", now.saturating_sub(at)));
        let refused = if view.heard.refused_since.is_some() { ", refuses connections" } else { "" };
        let position = view
            .position
            .map_or("unknown".to_owned(), |p| format!("{} of term {} at {}", p.role, p.term, p.received));
        format!("{}: {position}, heard {heard}{refused}", it.spec.borrow().name)
    };
    let servers: Vec<String> = home.servers.iter().map(one).collect();
    let stalled = match (cause, home.stalled.get()) {
        (Cause::Stalled, Some(at)) => format!("; commits wait since {} ms", now.saturating_sub(at)),
        _ => String::new(),
    };
    format!("{}{stalled}", servers.join("; "))
}

/// The term of the primary that is judged; without one, the highest term known.
fn leading_term(home: &Home, primary: Option<usize>) -> Term {
    let position = primary.and_then(|n| home.servers[n].view.borrow().position);
    position.map_or_else(|| home.term(), |it| it.term)
}

/// Asks the other homes whether they hear a primary.
async fn ask_others(node: &Rc<Node>, home: &Rc<Home>) -> Vec<Opinion> {
    let spec = home.spec.borrow().clone();
    let homes = node.placement(&spec).homes.clone();
    let mut asks = Vec::new();
    for it in homes.into_iter().filter(|it| *it != node.name) {
        let group = home.group.clone();
        let node = node.clone();
        asks.push(async move {
            let make = |id| PeerMsg::ProbePrimary { id, group };
            match node.peers.request(&node, &it, make, OPINION_LIMIT).await {
                Some(PeerMsg::ProbePrimaryReply { term, stalled, .. }) => {
                    Some(Opinion { from: it, term, stalled })
                }
                _ => None,
            }
        });
    }
    futures::future::join_all(asks).await.into_iter().flatten().collect()
}

/// Changes the primary.
pub async fn change(node: &Rc<Node>, home: &Rc<Home>, wish: Wish) -> Result<(Term, Name), String> {
    let term = take_term(node, home).await?;
    if home.switching.replace(true) {
        return Err("another change is under way".to_owned());
    }
    node.count(Count::Switches);
    let out = match timeout(SWITCH_LIMIT, drive(node, home, wish, term)).await {
        Ok(it) => it,
        Err(_) => Err(format!("not done within {} ms", SWITCH_LIMIT.as_millis())),
    };
    home.switching.set(false);
    home.changed.notify_waiters();
    if let Ok((term, primary)) = &out {
        node.count(Count::Promotions);
        platform_sync::record_term(node, home, *term, primary);
    }
    out
}

async fn drive(node: &Rc<Node>, home: &Rc<Home>, wish: Wish, term: Term) -> Result<(Term, Name), String> {
    let spec = home.spec.borrow().clone();
    let avoid = (0..spec.servers.len()).filter(|n| spec.servers[*n].draining).collect();
    let (mut switch, first) =
        Promotion::start(spec.servers.len(), spec.majority(), term, wish.prefer, avoid, wish.skip);
    let (send, mut receive) = mpsc::unbounded_channel();
    perform(node, home, first, &send);
    let hurry = sleep(PREFERRED_LIMIT);
    tokio::pin!(hurry);
    let mut hurried = false;
    loop {
        let it = tokio::select! {
            it = receive.recv() => it,
            () = &mut hurry, if !hurried => {
                hurried = true;
                perform(node, home, switch.skip_preferred(), &send);
                continue;
            }
        };
        let Some(it) = it else { break };
        let next = match it {
            Outcome::Position(server, Action::Fence { .. }, p) => {
                switch.on_fenced(server, p.term, p.received)
            }
            Outcome::Position(server, Action::Promote { .. }, p) if p.role == Role::Primary => {
                switch.on_promoted(server, p.term)
            }
            Outcome::Position(_, _, p) => {
                switch.on_refused(p.term);
                Vec::new()
            }
            Outcome::Lost(Action::Promote { .. }) => {
                switch.abort();
                Vec::new()
            }
            Outcome::Lost(_) => Vec::new(),
            Outcome::Refused => {
                switch.on_refused(home.term());
                Vec::new()
            }
        };
        perform(node, home, next, &send);
        match switch.state {
            PromotionState::Done => return Ok(finish(node, home, &switch)),
            PromotionState::GivenUp => {
                return Err(format!("term {term} was overtaken, or the chosen server is lost"));
            }
            PromotionState::Fencing | PromotionState::Promoting => {}
        }
    }
    Err("no majority of servers answers".to_owned())
}

fn finish(node: &Node, home: &Home, switch: &Promotion) -> (Term, Name) {
    let n = switch.candidate.expect("a switch that is done has chosen");
    let name = home.servers[n].spec.borrow().name.clone();
    let logs: Vec<String> = switch
        .fenced
        .iter()
        .map(|(n, last): &(usize, LogPosition)| format!("{} at {last}", home.servers[*n].spec.borrow().name))
        .collect();
    let what = format!("{name} is the primary of term {}", switch.term);
    node.record_decision(&home.group, what, format!("fenced: {}", logs.join(", ")));
    (switch.term, name)
}

/// A term that nobody else has; from those taken ahead, or from the platform when there are none.
async fn take_term(node: &Rc<Node>, home: &Rc<Home>) -> Result<Term, String> {
    let known = home.term();
    if let Some(it) = home.grants.borrow_mut().take(known) {
        return Ok(it);
    }
    platform_sync::allocate_terms(node, home).await.map_err(|e| e.to_string())?;
    home.grants.borrow_mut().take(known).ok_or_else(|| "no term was granted".to_owned())
}

/// Starts the orders of a switch; each reports its outcome.
fn perform(node: &Rc<Node>, home: &Rc<Home>, actions: Vec<Action>, send: &mpsc::UnboundedSender<Outcome>) {
    for action in actions {
        let (node, home, send) = (node.clone(), home.clone(), send.clone());
        tokio::task::spawn_local(async move {
            let (server, order) = match action {
                Action::Fence { server, term } => (server, Order::Fence(term)),
                Action::Promote { server, term } => (server, Order::Promote(term)),
                Action::Follow { server, term, primary } => {
                    let addr = home.servers[primary].spec.borrow().addr;
                    (server, Order::Follow(term, addr))
                }
            };
            let it = match home.order(&node, server, order, ORDER_LIMIT).await {
                Ok(p) => Outcome::Position(server, action, p),
                Err(e) if e.is_refusal() => Outcome::Refused,
                Err(_) => Outcome::Lost(action),
            };
            let _ = send.send(it);
        });
    }
}

/// Tells servers that stand apart whom to follow: a fenced one, an old primary, one of an older term.
fn take_back(node: &Rc<Node>, home: &Rc<Home>, apart: &mut [Option<Time>]) {
    let Some(primary) = home.primary() else { return };
    let Some(lead) = home.servers[primary].view.borrow().position else { return };
    let now = node.now();
    for (n, apart) in apart.iter_mut().enumerate() {
        let Some(it) = home.servers[n].view.borrow().position else { continue };
        let follows = it.role == Role::Replica && it.term == lead.term;
        if n == primary || follows {
            *apart = None;
            continue;
        }
        let since = *apart.get_or_insert(now);
        let patience = APART * home.rank.get() as u64;
        if it.term > lead.term || now.saturating_sub(since) < patience || home.switching.get() {
            continue;
        }
        *apart = Some(now);
        let (node, home) = (node.clone(), home.clone());
        tokio::task::spawn_local(async move { follow(&node, &home, n, primary, lead.term, it).await });
    }
}

async fn follow(node: &Rc<Node>, home: &Rc<Home>, n: usize, primary: usize, term: Term, before: Position) {
    let addr = home.servers[primary].spec.borrow().addr;
    let name = home.servers[n].spec.borrow().name.clone();
    if home.order(node, n, Order::Follow(term, addr), ORDER_LIMIT).await.is_err() {
        return;
    }
    let what = format!("{name} follows the primary of term {term}");
    node.record_decision(&home.group, what, format!("it was {} of term {}", before.role, before.term));
    report_dropped(node, home, n, before, term).await;
}

/// Says how many entries, acknowledged to nobody, a server had to drop. It drops them once it reaches the new primary, and
/// may be slow or away until then.
async fn report_dropped(node: &Rc<Node>, home: &Rc<Home>, n: usize, before: Position, term: Term) {
    for _ in 0..REJOIN_LOOKS {
        sleep(REJOIN_PAUSE).await;
        let Ok(after) = home.order(node, n, Order::Position, ORDER_LIMIT).await else { continue };
        if after.dropped > before.dropped {
            let name = home.servers[n].spec.borrow().name.clone();
            let what = format!("{name} dropped {} entries on rejoining", after.dropped - before.dropped);
            let evidence = format!("its log ended at {}; none of them was acknowledged", before.received);
            return node.record_decision(&home.group, what, evidence);
        }
        if after.received.term >= term {
            // It has rejoined, and had nothing to drop.
            return;
        }
    }
}
