//! Failover of a group: detecting a failed primary, fencing a majority, promoting a server, and rejoining old servers.

use {
    super::{Home, ORDER_TIMEOUT},
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

/// Interval between two checks of a group.
const CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// Time limit of a whole failover.
const FAILOVER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time limit for fencing the preferred candidate; after it, any fenced server may be promoted.
const PREFERRED_TIMEOUT: Duration = Duration::from_millis(150);
/// Time limit for the opinions of the other homes.
const OPINION_TIMEOUT: Duration = Duration::from_millis(150);
/// Wait after a failover before the next one may begin, in milliseconds.
const COOLDOWN_MS: u64 = 200;
/// First and longest backoff after a failover that another home vetoed, in milliseconds.
const VETO_BACKOFF: (u64, u64) = (500, 8_000);
/// Time for which a server may diverge from the primary before it is ordered to follow, in milliseconds; multiplied by
/// the rank of the home.
const REJOIN_DELAY_MS: u64 = 300;
/// Interval between two checks for the rejoining of a server that was ordered to follow.
const REJOIN_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of these checks. After ten seconds a server that can't be reached is considered lost; once the server
/// is reachable again, it is ordered to follow once more.
const MAX_REJOIN_CHECKS: usize = 20;
/// Time for which a server may have a higher term than the primary, in milliseconds; multiplied by the rank of the home
/// plus one. After this time, the primary is promoted again in a new term.
const STRANDED_DELAY_MS: u64 = 600;

/// Result of an order that was sent to a server during a failover.
enum Outcome {
    /// The server with this index answered the order for the action. The position that it reported shows whether the
    /// order took effect.
    Position(usize, Action, Position),
    /// The server answered with an error.
    Refused,
    /// The order for the action got no valid answer in time. The server may have executed it.
    Lost(Action),
}

/// Monitors a group, and replaces its primary when it fails, until the home is closed.
pub async fn run(node: Rc<Node>, home: Rc<Home>) {
    let mut cooldown_until: Time = 0;
    let mut diverged_since: Vec<Option<Time>> = vec![None; home.servers.len()];
    let mut absent_since = None;
    let mut veto_backoff = VETO_BACKOFF.0;
    let mut last_term = Term::default();
    let mut lacks_term = false;
    while !home.closing.get() {
        sleep(CHECK_INTERVAL).await;
        let now = node.now();
        if home.detector.borrow_mut().poll(now) {
            node.count(Count::Pauses);
            reset_evidence(&home, now);
            absent_since = None;
            continue;
        }
        if home.primary().is_some() && home.is_primary_reachable(&node) {
            home.record_recovery(&node);
            veto_backoff = VETO_BACKOFF.0;
        } else if home.primary_lost_at.get().is_none() {
            home.primary_lost_at.set(Some(now));
        }
        absent_since = is_primary_absent(&home).then(|| absent_since.unwrap_or(now));
        rejoin_servers(&node, &home, &mut diverged_since);
        let term = home.term();
        if term != last_term {
            // Terms that were reserved in advance may be below it, and are then useless.
            last_term = term;
            platform_sync::replenish_terms(&node, &home, RefillUrgency::Background);
        }
        if now < cooldown_until
            || home.in_failover.get()
            || home.paused_until.get().is_some_and(|until| until > now)
        {
            continue;
        }
        let Some(cause) = evaluate(&node, &home, now, absent_since, &diverged_since) else { continue };
        if home.term_pool.borrow().remaining() == 0 {
            // A failover begins with a reserved term. Its time limit would end the calls that reserve one, and would do
            // so forever if these calls are slower than the limit.
            platform_sync::replenish_terms(&node, &home, RefillUrgency::Immediate);
            if !std::mem::replace(&mut lacks_term, true) {
                node.record_decision(
                    &home.group,
                    "a change of primary waits for a term",
                    evidence(&node, &home, cause),
                );
            }
            continue;
        }
        lacks_term = false;
        let primary = home.primary();
        let opinions = query_opinions(&node, &home).await;
        let term = if cause == Cause::Stranded { home.term() } else { primary_term(&home, primary) };
        if home.detector.borrow().is_vetoed(cause, term, &opinions) {
            node.count(Count::Vetoes);
            let evidence = format!("{cause}; others: {opinions:?}");
            node.record_decision(&home.group, "the primary is kept: another home hears it", evidence);
            cooldown_until = node.now() + veto_backoff;
            veto_backoff = (veto_backoff * 2).min(VETO_BACKOFF.1);
            continue;
        }
        let evidence = evidence(&node, &home, cause);
        node.record_decision(&home.group, format!("the primary is given up: {cause}"), evidence);
        let preference = candidate_preference(cause, primary);
        if let Err(why) = fail_over(&node, &home, preference).await {
            node.record_decision(&home.group, "the change of primary failed", why);
        }
        cooldown_until = node.now() + COOLDOWN_MS;
    }
}

/// Discards the evidence from before a pause of this instance: it says nothing about the present.
fn reset_evidence(home: &Home, now: Time) {
    for s in &home.servers {
        let mut view = s.view.borrow_mut();
        view.last_contact.refused_since = view.last_contact.refused_since.map(|_| now);
        view.last_contact.answered_at = view.last_contact.answered_at.map(|_| now);
    }
    if home.stalled_since.get().is_some() {
        home.stalled_since.set(Some(now));
    }
}

/// Returns true if a majority has reported, and no server is the primary.
///
/// Without a majority, as on an instance that has just started, nothing is known about a primary; the fences that such
/// an instance sent would arrive as soon as the servers can be reached.
fn is_primary_absent(home: &Home) -> bool {
    let reported = home.servers.iter().filter(|s| s.view.borrow().position.is_some()).count();
    reported >= home.spec.borrow().majority() && home.primary().is_none()
}

/// Returns the cause of a failover, if one is due.
fn evaluate(
    node: &Node,
    home: &Home,
    now: Time,
    absent_since: Option<Time>,
    diverged_since: &[Option<Time>],
) -> Option<Cause> {
    let reachable =
        home.servers.iter().filter(|s| s.view.borrow().last_contact.refused_since.is_none()).count();
    if reachable < home.spec.borrow().majority() {
        // Fencing takes a majority.
        return None;
    }
    let primary = home.primary();
    let last_contact = primary.map(|n| home.servers[n].view.borrow().last_contact);
    let rank = home.rank.get();
    if has_stranded_server(home, now, diverged_since, rank, primary) {
        return Some(Cause::Stranded);
    }
    let cause = home.detector.borrow().evaluate(
        now,
        rank,
        last_contact.as_ref(),
        absent_since,
        home.stalled_since.get(),
    );
    cause.filter(|c| *c != Cause::Stalled || is_majority_without_primary(node, home, primary))
}

/// Returns true if a server has had a higher term than the primary for longer than the delay for this rank.
fn has_stranded_server(
    home: &Home,
    now: Time,
    diverged_since: &[Option<Time>],
    rank: usize,
    primary: Option<usize>,
) -> bool {
    let position = |n: usize| home.servers[n].view.borrow().position;
    let Some(term) = primary.and_then(position).map(|p| p.term) else { return false };
    let delay = STRANDED_DELAY_MS * (1 + rank as u64);
    (0..home.servers.len()).any(|n| {
        let above = position(n).is_some_and(|p| p.term > term);
        above && diverged_since[n].is_some_and(|at| now.saturating_sub(at) > delay)
    })
}

/// Returns true if the reachable servers other than the primary form a majority. Without one, a failover that excludes
/// the stalled primary can't succeed, and would only strand the servers that it fences.
fn is_majority_without_primary(node: &Node, home: &Home, primary: Option<usize>) -> bool {
    let limit = super::monitor::max_silence_ms(node, home, false);
    let reachable = |n: &usize| home.servers[*n].view.borrow().is_reachable(node.now(), limit);
    let others = (0..home.servers.len()).filter(|n| Some(*n) != primary).filter(reachable);
    others.count() >= home.spec.borrow().majority()
}

/// Preferences of a failover among the candidates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CandidatePreference {
    /// Server that is promoted if no fenced log is higher than its own.
    pub preferred: Option<usize>,
    /// Server that is not fenced.
    pub excluded: Option<usize>,
}

fn candidate_preference(cause: Cause, primary: Option<usize>) -> CandidatePreference {
    match cause {
        Cause::Stalled => CandidatePreference { preferred: None, excluded: primary },
        // A healthy primary is only promoted again in a higher term.
        Cause::Stranded => CandidatePreference { preferred: primary, excluded: None },
        Cause::Silent | Cause::Refused | Cause::Absent => CandidatePreference::default(),
    }
}

/// Returns the status of each server, as evidence for the decision log.
fn evidence(node: &Node, home: &Home, cause: Cause) -> String {
    let now = node.now();
    let status = |s: &super::Server| {
        let view = s.view.borrow();
        let answered = view
            .last_contact
            .answered_at
            .map_or("never".to_owned(), |at| format!("{} ms ago", now.saturating_sub(at)));
        let refused = if view.last_contact.refused_since.is_some() { ", refuses connections" } else { "" };
        let position = view
            .position
            .map_or("unknown".to_owned(), |p| format!("{} of term {} at {}", p.role, p.term, p.received));
        format!("{}: {position}, heard {answered}{refused}", s.spec.borrow().name)
    };
    let servers: Vec<String> = home.servers.iter().map(status).collect();
    let stalled = match (cause, home.stalled_since.get()) {
        (Cause::Stalled, Some(at)) => format!("; commits wait since {} ms", now.saturating_sub(at)),
        _ => String::new(),
    };
    format!("{}{stalled}", servers.join("; "))
}

/// Returns the term of the given primary; without one, the highest known term.
fn primary_term(home: &Home, primary: Option<usize>) -> Term {
    let position = primary.and_then(|n| home.servers[n].view.borrow().position);
    position.map_or_else(|| home.term(), |p| p.term)
}

/// Asks the other homes for the primaries that they reach.
async fn query_opinions(node: &Rc<Node>, home: &Rc<Home>) -> Vec<Opinion> {
    let spec = home.spec.borrow().clone();
    let homes = node.placement(&spec).homes.clone();
    let mut queries = Vec::new();
    for peer in homes.into_iter().filter(|h| *h != node.name) {
        let group = home.group.clone();
        let node = node.clone();
        queries.push(async move {
            let make = |id| PeerMsg::ProbePrimary { id, group };
            match node.peers.request(&node, &peer, make, OPINION_TIMEOUT).await {
                Some(PeerMsg::ProbePrimaryReply { term, stalled, .. }) => {
                    Some(Opinion { from: peer, term, stalled })
                }
                _ => None,
            }
        });
    }
    futures::future::join_all(queries).await.into_iter().flatten().collect()
}

/// Fails over to another server, or promotes the primary again in a new term. Returns the term and the name of the new
/// primary.
pub async fn fail_over(
    node: &Rc<Node>,
    home: &Rc<Home>,
    preference: CandidatePreference,
) -> Result<(Term, Name), String> {
    let term = take_term(node, home).await?;
    if home.in_failover.replace(true) {
        return Err("another change is under way".to_owned());
    }
    node.count(Count::Switches);
    let result = match timeout(FAILOVER_TIMEOUT, run_promotion(node, home, preference, term)).await {
        Ok(r) => r,
        Err(_) => Err(format!("not done within {} ms", FAILOVER_TIMEOUT.as_millis())),
    };
    home.in_failover.set(false);
    home.changed.notify_waiters();
    if let Ok((term, primary)) = &result {
        node.count(Count::Promotions);
        platform_sync::record_term(node, home, *term, primary);
    }
    result
}

/// Runs a promotion in `term` to its end.
async fn run_promotion(
    node: &Rc<Node>,
    home: &Rc<Home>,
    preference: CandidatePreference,
    term: Term,
) -> Result<(Term, Name), String> {
    let spec = home.spec.borrow().clone();
    let draining = (0..spec.servers.len()).filter(|n| spec.servers[*n].draining).collect();
    let (mut promotion, first) = Promotion::start(
        spec.servers.len(),
        spec.majority(),
        term,
        preference.preferred,
        draining,
        preference.excluded,
    );
    let (send, mut receive) = mpsc::unbounded_channel();
    send_orders(node, home, first, &send);
    let preferred_timeout = sleep(PREFERRED_TIMEOUT);
    tokio::pin!(preferred_timeout);
    let mut preferred_timed_out = false;
    loop {
        let outcome = tokio::select! {
            o = receive.recv() => o,
            () = &mut preferred_timeout, if !preferred_timed_out => {
                preferred_timed_out = true;
                send_orders(node, home, promotion.skip_preferred(), &send);
                continue;
            }
        };
        let Some(outcome) = outcome else { break };
        let next = match outcome {
            Outcome::Position(server, Action::Fence { .. }, p) => {
                promotion.on_fenced(server, p.term, p.received)
            }
            Outcome::Position(server, Action::Promote { .. }, p) if p.role == Role::Primary => {
                promotion.on_promoted(server, p.term)
            }
            Outcome::Position(_, _, p) => {
                promotion.on_refused(p.term);
                Vec::new()
            }
            Outcome::Lost(Action::Promote { .. }) => {
                promotion.abort();
                Vec::new()
            }
            Outcome::Lost(_) => Vec::new(),
            Outcome::Refused => {
                promotion.on_refused(home.term());
                Vec::new()
            }
        };
        send_orders(node, home, next, &send);
        match promotion.state {
            PromotionState::Done => return Ok(finish(node, home, &promotion)),
            PromotionState::GivenUp => {
                return Err(format!("term {term} was overtaken, or the chosen server is lost"));
            }
            PromotionState::Fencing | PromotionState::Promoting => {}
        }
    }
    Err("no majority of servers answers".to_owned())
}

/// Logs a finished promotion. Returns the term and the name of the new primary.
fn finish(node: &Node, home: &Home, promotion: &Promotion) -> (Term, Name) {
    let n = promotion.candidate.expect("a finished promotion has a candidate");
    let name = home.servers[n].spec.borrow().name.clone();
    let logs: Vec<String> = promotion
        .fenced
        .iter()
        .map(|(n, last): &(usize, LogPosition)| format!("{} at {last}", home.servers[*n].spec.borrow().name))
        .collect();
    let what = format!("{name} is the primary of term {}", promotion.term);
    node.record_decision(&home.group, what, format!("fenced: {}", logs.join(", ")));
    (promotion.term, name)
}

/// Takes a term that is granted to this home alone: a reserved one, or one from the platform if none is left.
async fn take_term(node: &Rc<Node>, home: &Rc<Home>) -> Result<Term, String> {
    let known = home.term();
    if let Some(term) = home.term_pool.borrow_mut().take(known) {
        return Ok(term);
    }
    platform_sync::allocate_terms(node, home).await.map_err(|e| e.to_string())?;
    home.term_pool.borrow_mut().take(known).ok_or_else(|| "no term was granted".to_owned())
}

/// Starts the orders of a promotion; each sends its outcome.
fn send_orders(
    node: &Rc<Node>,
    home: &Rc<Home>,
    actions: Vec<Action>,
    send: &mpsc::UnboundedSender<Outcome>,
) {
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
            let outcome = match home.order(&node, server, order, ORDER_TIMEOUT).await {
                Ok(p) => Outcome::Position(server, action, p),
                Err(e) if e.is_refusal() => Outcome::Refused,
                Err(_) => Outcome::Lost(action),
            };
            let _ = send.send(outcome);
        });
    }
}

/// Orders the servers that don't follow the primary to do so: fenced ones, old primaries, and servers of an older term.
fn rejoin_servers(node: &Rc<Node>, home: &Rc<Home>, diverged_since: &mut [Option<Time>]) {
    let Some(primary) = home.primary() else { return };
    let Some(leader) = home.servers[primary].view.borrow().position else { return };
    let now = node.now();
    for (n, diverged_since) in diverged_since.iter_mut().enumerate() {
        let Some(position) = home.servers[n].view.borrow().position else { continue };
        let follows = position.role == Role::Replica && position.term == leader.term;
        if n == primary || follows {
            *diverged_since = None;
            continue;
        }
        let since = *diverged_since.get_or_insert(now);
        let delay = REJOIN_DELAY_MS * home.rank.get() as u64;
        if position.term > leader.term || now.saturating_sub(since) < delay || home.in_failover.get() {
            continue;
        }
        *diverged_since = Some(now);
        let (node, home) = (node.clone(), home.clone());
        tokio::task::spawn_local(
            async move { follow(&node, &home, n, primary, leader.term, position).await },
        );
    }
}

/// Orders a server to follow the primary, and reports the entries that it drops.
async fn follow(node: &Rc<Node>, home: &Rc<Home>, n: usize, primary: usize, term: Term, before: Position) {
    let addr = home.servers[primary].spec.borrow().addr;
    let name = home.servers[n].spec.borrow().name.clone();
    if home.order(node, n, Order::Follow(term, addr), ORDER_TIMEOUT).await.is_err() {
        return;
    }
    let what = format!("{name} follows the primary of term {term}");
    node.record_decision(&home.group, what, format!("it was {} of term {}", before.role, before.term));
    report_dropped(node, home, n, before, term).await;
}

/// Logs the number of unacknowledged entries that a server drops on rejoining. The server drops them once it reaches
/// the new primary, and may be slow or unreachable until then.
async fn report_dropped(node: &Rc<Node>, home: &Rc<Home>, n: usize, before: Position, term: Term) {
    for _ in 0..MAX_REJOIN_CHECKS {
        sleep(REJOIN_INTERVAL).await;
        let Ok(after) = home.order(node, n, Order::Position, ORDER_TIMEOUT).await else { continue };
        if after.dropped > before.dropped {
            let name = home.servers[n].spec.borrow().name.clone();
            let what = format!("{name} dropped {} entries on rejoining", after.dropped - before.dropped);
            let evidence = format!("its log ended at {}; none of them was acknowledged", before.received);
            return node.record_decision(&home.group, what, evidence);
        }
        if after.received.term >= term {
            // The server has rejoined and had nothing to drop.
            return;
        }
    }
}
