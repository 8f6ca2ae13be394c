//! What instances tell each other of a group's servers.
//!
//! An instance that has no connections to a server, or doesn't reach it, asks one that does for what it knows of the whole
//! group. How long ago a server was asked is counted back from the moment at which this instance sent its own question, which
//! came before the other one looked at its clock: an account is never taken for younger than it is.

use {
    super::Group,
    crate::{
        count::Count,
        instance::{Instance, Micros},
        message::{Request, Response, StatusQuery, StatusReport},
        organisation::Owner,
        peer::Peer,
        settings::{MAX_RELAYS, ORDER_TIMEOUT, RELAY_DELAY, STATUS_CONN_TIMEOUT, STATUS_HEDGE_DELAY},
        upstream::Upstream,
    },
    futures::future::join_all,
    pondtrack_core::freshness,
    pondtrack_proto::Name,
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
        time::Duration,
    },
    tokio::{
        sync::Notify,
        task::{spawn_local, yield_now},
        time::{Instant, sleep, timeout, timeout_at},
    },
};

/// After this long without an answer a second instance is asked what it knows: two crossings of zones, both ways.
const PEER_HEDGE_DELAY: Duration = Duration::from_millis(10);
/// Instances that are asked at once for a primary: one of them may be cut off.
const PRIMARY_QUERY_PEERS: usize = 2;

/// A server whose account is wanted, and since when it has to have been asked for.
type PendingQuery = (Rc<Upstream>, Micros);

/// Questions about a group to other instances: those that come together, or while one is out, go together.
#[derive(Default)]
pub(super) struct StatusQueries {
    pending: RefCell<Vec<PendingQuery>>,
    running: Cell<bool>,
    started: Cell<u64>,
    finished: Cell<u64>,
    /// Whether others are being asked for a primary that this instance should find itself.
    seeking_primary: Cell<bool>,
    /// Woken when a question or a round has ended.
    progress: Notify,
}

/// What is known here of a group's servers. Those that are `wanted` and reached from here are asked anew first, where what is
/// known is older; all who ask at the same time share these questions.
pub async fn collect(inst: &Rc<Instance>, group: &str, wanted: &[StatusQuery]) -> Vec<StatusReport> {
    let came = inst.now();
    let Some(group) = inst.group(group) else { return Vec::new() };
    let servers = group.servers();
    let find = |it: &StatusQuery| {
        let up = servers.iter().find(|up| it.server == up.entry().as_ref().into())?;
        inst.update_placement(up);
        up.is_reachable().then(|| (up.clone(), came.saturating_sub(it.max_age)))
    };
    let wants: Vec<PendingQuery> = wanted.iter().filter_map(find).collect();
    for (up, since) in wants.iter().filter(|it| !is_satisfied(it)) {
        up.request_status_since(*since);
    }
    let end = Instant::now() + STATUS_CONN_TIMEOUT;
    loop {
        let changed = group.changed.notified();
        let settled = |it: &PendingQuery| {
            is_satisfied(it)
                || it.0.refused_since().is_some()
                || it.0.unanswered_since().is_some()
                || !it.0.is_reachable()
        };
        if wants.iter().all(settled) || timeout_at(end, changed).await.is_err() {
            break;
        }
    }
    let sighting = |up: &Rc<Upstream>| {
        let (sent, status) = up.status()?;
        Some(StatusReport { server: up.entry().as_ref().into(), status, age: freshness::age(came, sent) })
    };
    servers.iter().filter_map(sighting).collect()
}

/// Learns from other instances what a server last said about itself, if it was asked for that at `since` or later. False
/// where the server has to be asked.
pub async fn fetch(inst: &Rc<Instance>, group: &Rc<Group>, it: &Rc<Upstream>, since: Micros) -> bool {
    inst.update_placement(it);
    if it.is_reachable() {
        if group.primary().is_none() && group.is_used() {
            // Whoever leads may be known elsewhere, and not reached from here.
            spawn_local(query_for_primary(inst.clone(), group.clone(), it.clone(), inst.now()));
        }
        return false;
    }
    // Whether it answers is found out by asking it: where that is in doubt, and where changes of primary are ordered.
    if it.unanswered_since().is_some() || it.refused_since().is_some() || inst.fencing_token().is_some() {
        return false;
    }
    it.try_reconnect(inst, group);
    let since = since.min(inst.now());
    let round = group.enqueue_query(inst, it, since);
    let inquiry = &group.queries;
    loop {
        let news = inquiry.progress.notified();
        let met = is_satisfied(&(it.clone(), since));
        if met || inquiry.finished.get() >= round {
            return met;
        }
        news.await;
    }
}

/// Asks other instances what they know, where a server that this one should reach owes an answer and none is known to lead.
async fn query_for_primary(inst: Rc<Instance>, group: Rc<Group>, it: Rc<Upstream>, asked: Micros) {
    sleep(PEER_HEDGE_DELAY).await;
    let answered = is_satisfied(&(it.clone(), asked));
    if answered
        || group.primary().is_some()
        || inst.fencing_token().is_some()
        || group.queries.seeking_primary.replace(true)
    {
        return;
    }
    let mut peers: Vec<Rc<Peer>> = Vec::new();
    let mut names: Vec<Name> = Vec::new();
    while let Some(peer) =
        it.pick_peer_except(&inst, &Owner::Shared, &names).filter(|_| names.len() < PRIMARY_QUERY_PEERS)
    {
        names.push(peer.name.clone());
        peers.push(peer);
    }
    let ask = |peer| query_peer(inst.clone(), group.clone(), peer, (it.clone(), 0), Vec::new());
    join_all(peers.into_iter().map(ask)).await;
    group.queries.seeking_primary.set(false);
}

/// Whether a server's account is known as it is wanted.
fn is_satisfied(it: &PendingQuery) -> bool {
    it.0.status().is_some_and(|known| known.0 >= it.1)
}

impl Group {
    /// Takes in what another instance knows, which was asked at `sent`.
    pub fn apply_reports(&self, told: &[StatusReport], sent: Micros, now: Micros) {
        for it in told {
            let Some(asked) = freshness::asked_at(sent, it.age) else { continue };
            let known = self.find_server(&it.server.id).filter(|up| !up.is_removed());
            if let Some(up) = known.filter(|up| up.entry().incarnation == it.server.incarnation) {
                self.observe_relayed_status(&up, it.status, asked, now);
            }
        }
    }

    /// Has other instances asked about a server; hands back the number of the round that does it.
    fn enqueue_query(self: &Rc<Self>, inst: &Rc<Instance>, it: &Rc<Upstream>, since: Micros) -> u64 {
        let inquiry = &self.queries;
        inquiry.pending.borrow_mut().push((it.clone(), since));
        if !inquiry.running.replace(true) {
            spawn_local(run_queries(inst.clone(), self.clone()));
        }
        inquiry.started.get() + 1
    }
}

/// Puts what is wanted, until nothing is.
async fn run_queries(inst: Rc<Instance>, group: Rc<Group>) {
    let inquiry = &group.queries;
    loop {
        // Whoever wants something at the same moment is heard first.
        yield_now().await;
        let wants = inquiry.pending.take();
        if wants.is_empty() {
            inquiry.running.set(false);
            return;
        }
        inquiry.started.set(inquiry.started.get() + 1);
        // Beyond that time the servers are asked.
        timeout(RELAY_DELAY, run_round(&inst, &group, &wants)).await.ok();
        inquiry.finished.set(inquiry.started.get());
        inquiry.progress.notify_waiters();
    }
}

/// Asks one instance after the other until what is wanted is known, or nobody is left to be asked.
async fn run_round(inst: &Rc<Instance>, group: &Rc<Group>, wants: &[PendingQuery]) {
    let open = Rc::new(Cell::new(0));
    let mut asked: Vec<Name> = Vec::new();
    for n in 0..=MAX_RELAYS {
        // Who gives orders asks the servers themselves.
        if inst.fencing_token().is_some() {
            break;
        }
        let missing: Vec<PendingQuery> = wants.iter().filter(|it| !is_satisfied(it)).cloned().collect();
        // The second one tells what it knows: it asks no server that the first one is asking.
        let knows = n == 1 && open.get() > 0;
        let next = pick_targets(inst, group, missing, &asked);
        if next.is_empty() {
            break;
        }
        for (first, peer, wants) in next {
            if !knows {
                asked.push(peer.name.clone());
            }
            let wants = if knows { Vec::new() } else { wants };
            open.set(open.get() + 1);
            let put = query_peer(inst.clone(), group.clone(), peer, first, wants);
            let (asking, asker) = (open.clone(), group.clone());
            spawn_local(async move {
                put.await;
                asking.set(asking.get() - 1);
                asker.queries.progress.notify_waiters();
            });
        }
        let pause = if n == 0 { PEER_HEDGE_DELAY } else { STATUS_HEDGE_DELAY };
        if wait_satisfied(group, wants, &open, Instant::now() + pause).await {
            return;
        }
    }
    while open.get() > 0 && !wait_satisfied(group, wants, &open, Instant::now() + ORDER_TIMEOUT).await {}
}

/// Whom to ask next, and for what: one instance for all, as it knows the rest as well; while nobody is known to lead, one for
/// each server unless it is a home of several, as any of them may.
fn pick_targets(
    inst: &Instance,
    group: &Group,
    missing: Vec<PendingQuery>,
    asked: &[Name],
) -> Vec<(PendingQuery, Rc<Peer>, Vec<PendingQuery>)> {
    let mut out: Vec<(PendingQuery, Rc<Peer>, Vec<PendingQuery>)> = Vec::new();
    let one = group.primary().is_some();
    for it in missing {
        let covers = |peer: &Peer| one || it.0.has_home(&peer.name);
        let known = out.iter_mut().find(|target| covers(&target.1));
        match known {
            Some(target) => target.2.push(it),
            None => {
                let peer = it.0.pick_peer_except(inst, &Owner::Shared, asked);
                out.extend(peer.map(|peer| (it.clone(), peer, vec![it])));
            }
        }
    }
    out
}

/// Waits until what is wanted is known, which it says, all questions are answered, or the end.
async fn wait_satisfied(group: &Group, wants: &[PendingQuery], open: &Cell<usize>, end: Instant) -> bool {
    loop {
        let news = group.queries.progress.notified();
        if wants.iter().all(is_satisfied) {
            return true;
        }
        if open.get() == 0 || timeout_at(end, news).await.is_err() {
            return false;
        }
    }
}

/// Asks another instance, which was chosen for the `first` server's sake, also when nobody waits for it any longer: one that
/// doesn't answer is passed over by later questions.
async fn query_peer(
    inst: Rc<Instance>,
    group: Rc<Group>,
    peer: Rc<Peer>,
    first: PendingQuery,
    wants: Vec<PendingQuery>,
) {
    let sent = inst.now();
    let wanted = |(up, since): &PendingQuery| {
        up.asked_at.set(sent);
        StatusQuery { server: up.entry().as_ref().into(), max_age: sent.saturating_sub(*since) }
    };
    let ask = Request::State { group: group.name.clone(), wanted: wants.iter().map(wanted).collect() };
    inst.counters.increment(Count::Inquiries);
    let told = timeout(ORDER_TIMEOUT, peer.request(&inst, ask)).await;
    let now = inst.now();
    let heard = matches!(told, Ok(Response::State(_)));
    if let Ok(Response::State(told)) = told {
        group.apply_reports(&told, sent, now);
    }
    if !heard || (!wants.is_empty() && !is_satisfied(&first)) {
        first.0.back_off_peer(&peer.name, now, false);
        log::debug!(group = group.name.as_str(), peer = peer.name.as_str(), heard; "no news");
    }
    for (up, _) in &wants {
        // What was told may have been asked for long before.
        if up.asked_at.get() == sent {
            up.asked_at.set(up.status().map_or(0, |it| it.0));
        }
    }
}
