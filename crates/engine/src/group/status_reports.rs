//! Exchange of server statuses between instances.
//!
//! An instance that has no connections to a server, or can't reach it, queries an instance that can for the statuses of the
//! whole group. The age in a status report is subtracted from the time at which this instance sent its query. The other
//! instance read its clock after that time, so a status is never taken to be younger than it is.

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

/// Delay after which an unanswered query is also sent to a second instance: two cross-zone round trips.
const PEER_HEDGE_DELAY: Duration = Duration::from_millis(10);
/// Number of instances that are queried for a primary in parallel, because one of them may be cut off.
const PRIMARY_QUERY_PEERS: usize = 2;

/// A server whose status is wanted, and the earliest time at which the status may have been requested from the server.
type PendingQuery = (Rc<Upstream>, Micros);

/// Queries about a group to other instances. Queries that arrive together, or while a round is in progress, are batched into
/// the next round.
#[derive(Default)]
pub(super) struct StatusQueries {
    pending: RefCell<Vec<PendingQuery>>,
    /// True while a task runs rounds.
    running: Cell<bool>,
    /// Number of rounds started.
    started: Cell<u64>,
    /// Number of the last finished round.
    finished: Cell<u64>,
    /// True while other instances are queried for a primary that this instance should be able to reach itself.
    seeking_primary: Cell<bool>,
    /// Notified when a query or a round has finished.
    progress: Notify,
}

/// Returns the known statuses of a group's servers, after refreshing the `wanted` ones.
///
/// Requests a new status from each `wanted` server that this instance can reach and whose known status is older than wanted.
/// Concurrent calls share these requests.
pub async fn collect(inst: &Rc<Instance>, group: &str, wanted: &[StatusQuery]) -> Vec<StatusReport> {
    let received_at = inst.now();
    let Some(group) = inst.group(group) else { return Vec::new() };
    let servers = group.servers();
    let find = |query: &StatusQuery| {
        let up = servers.iter().find(|up| query.server == up.entry().as_ref().into())?;
        inst.update_placement(up);
        up.is_directly_reachable().then(|| (up.clone(), received_at.saturating_sub(query.max_age)))
    };
    let pending: Vec<PendingQuery> = wanted.iter().filter_map(find).collect();
    for (up, since) in pending.iter().filter(|q| !is_satisfied(q)) {
        up.request_status_since(*since);
    }
    let deadline = Instant::now() + STATUS_CONN_TIMEOUT;
    loop {
        let changed = group.changed.notified();
        let settled = |q: &PendingQuery| {
            is_satisfied(q)
                || q.0.refused_since().is_some()
                || q.0.unanswered_since().is_some()
                || !q.0.is_directly_reachable()
        };
        if pending.iter().all(settled) || timeout_at(deadline, changed).await.is_err() {
            break;
        }
    }
    let report = |up: &Rc<Upstream>| {
        let (asked_at, status) = up.status()?;
        Some(StatusReport {
            server: up.entry().as_ref().into(),
            status,
            age: freshness::age(received_at, asked_at),
        })
    };
    servers.iter().filter_map(report).collect()
}

/// Asks other instances for a server's status. Only a status requested from the server at `since` or later is accepted.
///
/// Returns false if this instance has to request the status from the server itself.
pub async fn fetch(inst: &Rc<Instance>, group: &Rc<Group>, up: &Rc<Upstream>, since: Micros) -> bool {
    inst.update_placement(up);
    if up.is_directly_reachable() {
        if group.primary().is_none() && group.is_used() {
            // Other instances may know a primary that this instance can't reach.
            spawn_local(query_for_primary(inst.clone(), group.clone(), up.clone(), inst.now()));
        }
        return false;
    }
    // Only a direct request shows whether the server answers. It is needed if that is in doubt, and on the instance that
    // orders failovers.
    if up.unanswered_since().is_some() || up.refused_since().is_some() || inst.fencing_token().is_some() {
        return false;
    }
    up.try_reconnect(inst, group);
    let since = since.min(inst.now());
    let round = group.enqueue_query(inst, up, since);
    let queries = &group.queries;
    loop {
        let progress = queries.progress.notified();
        let satisfied = is_satisfied(&(up.clone(), since));
        if satisfied || queries.finished.get() >= round {
            return satisfied;
        }
        progress.await;
    }
}

/// Queries other instances if a server that this instance should reach has not answered yet and no primary is known.
async fn query_for_primary(inst: Rc<Instance>, group: Rc<Group>, up: Rc<Upstream>, asked_at: Micros) {
    sleep(PEER_HEDGE_DELAY).await;
    let answered = is_satisfied(&(up.clone(), asked_at));
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
        up.pick_peer_except(&inst, &Owner::Shared, &names).filter(|_| names.len() < PRIMARY_QUERY_PEERS)
    {
        names.push(peer.name.clone());
        peers.push(peer);
    }
    let query = |peer| query_peer(inst.clone(), group.clone(), peer, (up.clone(), 0), Vec::new());
    join_all(peers.into_iter().map(query)).await;
    group.queries.seeking_primary.set(false);
}

/// Returns true if the known status of the server is as recent as wanted.
fn is_satisfied(query: &PendingQuery) -> bool {
    query.0.status().is_some_and(|known| known.0 >= query.1)
}

impl Group {
    /// Applies the reports in another instance's response to a query sent at `sent`.
    pub fn apply_reports(&self, reports: &[StatusReport], sent: Micros, now: Micros) {
        for report in reports {
            let Some(asked_at) = freshness::asked_at(sent, report.age) else { continue };
            let known = self.find_server(&report.server.id).filter(|up| !up.is_removed());
            if let Some(up) = known.filter(|up| up.entry().incarnation == report.server.incarnation) {
                self.observe_relayed_status(&up, report.status, asked_at, now);
            }
        }
    }

    /// Adds a query about a server to the next round and returns the number of that round.
    fn enqueue_query(self: &Rc<Self>, inst: &Rc<Instance>, up: &Rc<Upstream>, since: Micros) -> u64 {
        let queries = &self.queries;
        queries.pending.borrow_mut().push((up.clone(), since));
        if !queries.running.replace(true) {
            spawn_local(run_queries(inst.clone(), self.clone()));
        }
        queries.started.get() + 1
    }
}

/// Runs rounds of queries until none is pending.
async fn run_queries(inst: Rc<Instance>, group: Rc<Group>) {
    let queries = &group.queries;
    loop {
        // Lets tasks that are ready now add their queries to this round.
        yield_now().await;
        let pending = queries.pending.take();
        if pending.is_empty() {
            queries.running.set(false);
            return;
        }
        queries.started.set(queries.started.get() + 1);
        // After the timeout, the callers of `fetch` request the status from the servers.
        timeout(RELAY_DELAY, run_round(&inst, &group, &pending)).await.ok();
        queries.finished.set(queries.started.get());
        queries.progress.notify_waiters();
    }
}

/// Queries one instance after the other until all queries are satisfied or no instance is left.
async fn run_round(inst: &Rc<Instance>, group: &Rc<Group>, pending: &[PendingQuery]) {
    let in_flight = Rc::new(Cell::new(0));
    let mut asked: Vec<Name> = Vec::new();
    for n in 0..=MAX_RELAYS {
        // The instance that holds the failover lease doesn't ask other instances; it queries the servers directly.
        if inst.fencing_token().is_some() {
            break;
        }
        let missing: Vec<PendingQuery> = pending.iter().filter(|q| !is_satisfied(q)).cloned().collect();
        // While the first query is in flight, the second instance only reports the statuses it has: it must not poll the
        // servers that the first instance is polling.
        let known_only = n == 1 && in_flight.get() > 0;
        let targets = pick_targets(inst, group, missing, &asked);
        if targets.is_empty() {
            break;
        }
        for (first, peer, wanted) in targets {
            if !known_only {
                asked.push(peer.name.clone());
            }
            let wanted = if known_only { Vec::new() } else { wanted };
            in_flight.set(in_flight.get() + 1);
            let query = query_peer(inst.clone(), group.clone(), peer, first, wanted);
            let (count, owner) = (in_flight.clone(), group.clone());
            spawn_local(async move {
                query.await;
                count.set(count.get() - 1);
                owner.queries.progress.notify_waiters();
            });
        }
        let delay = if n == 0 { PEER_HEDGE_DELAY } else { STATUS_HEDGE_DELAY };
        if wait_satisfied(group, pending, &in_flight, Instant::now() + delay).await {
            return;
        }
    }
    while in_flight.get() > 0
        && !wait_satisfied(group, pending, &in_flight, Instant::now() + ORDER_TIMEOUT).await
    {}
}

/// Selects the instances to query next, with the queries that each of them gets.
///
/// If a primary is known, a single instance gets all queries, because it knows the other servers' statuses as well. Otherwise
/// any server may be the primary, so each server's query goes to an instance of its own, unless an instance that is already
/// selected is also one of the server's homes.
fn pick_targets(
    inst: &Instance,
    group: &Group,
    missing: Vec<PendingQuery>,
    asked: &[Name],
) -> Vec<(PendingQuery, Rc<Peer>, Vec<PendingQuery>)> {
    let mut out: Vec<(PendingQuery, Rc<Peer>, Vec<PendingQuery>)> = Vec::new();
    let single = group.primary().is_some();
    for query in missing {
        let covers = |peer: &Peer| single || query.0.has_home(&peer.name);
        let known = out.iter_mut().find(|target| covers(&target.1));
        match known {
            Some(target) => target.2.push(query),
            None => {
                let peer = query.0.pick_peer_except(inst, &Owner::Shared, asked);
                out.extend(peer.map(|peer| (query.clone(), peer, vec![query])));
            }
        }
    }
    out
}

/// Waits until all queries are satisfied, none is in flight, or the deadline has passed. Returns true if all are satisfied.
async fn wait_satisfied(
    group: &Group,
    pending: &[PendingQuery],
    in_flight: &Cell<usize>,
    deadline: Instant,
) -> bool {
    loop {
        let progress = group.queries.progress.notified();
        if pending.iter().all(is_satisfied) {
            return true;
        }
        if in_flight.get() == 0 || timeout_at(deadline, progress).await.is_err() {
            return false;
        }
    }
}

/// Queries an instance, which was selected for the server of `first`, for the statuses in `wanted`.
///
/// Runs to its end even if no caller waits for the result any longer, so that later queries avoid an instance that doesn't
/// answer.
async fn query_peer(
    inst: Rc<Instance>,
    group: Rc<Group>,
    peer: Rc<Peer>,
    first: PendingQuery,
    wanted: Vec<PendingQuery>,
) {
    let sent = inst.now();
    let query = |(up, since): &PendingQuery| {
        up.asked_at.set(sent);
        StatusQuery { server: up.entry().as_ref().into(), max_age: sent.saturating_sub(*since) }
    };
    let request = Request::State { group: group.name.clone(), wanted: wanted.iter().map(query).collect() };
    inst.counters.increment(Count::Inquiries);
    let response = timeout(ORDER_TIMEOUT, peer.request(&inst, request)).await;
    let now = inst.now();
    let answered = matches!(response, Ok(Response::State(_)));
    if let Ok(Response::State(reports)) = response {
        group.apply_reports(&reports, sent, now);
    }
    if !answered || (!wanted.is_empty() && !is_satisfied(&first)) {
        first.0.back_off_peer(&peer.name, now, false);
        log::debug!(group = group.name.as_str(), peer = peer.name.as_str(), heard = answered; "no news");
    }
    for (up, _) in &wanted {
        // A reported status may have been requested from the server long before this query.
        if up.asked_at.get() == sent {
            up.asked_at.set(up.status().map_or(0, |known| known.0));
        }
    }
}
