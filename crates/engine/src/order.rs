//! Orders to servers, the status query among them. A server answers each with its status.

use {
    crate::{
        channel::{Channel, ChannelRequest, CommandRef},
        count::Count,
        group::{Group, status_reports},
        instance::{Instance, Micros, micros},
        message::{Request, Response},
        model::{Order, Status},
        organisation::Owner,
        pool::{ConnRequest, PoolError},
        settings::{MAX_RELAYS, ORDER_TIMEOUT, PRIMARY_POLL_INTERVAL, RELAY_DELAY, STATUS_CONN_TIMEOUT},
        upstream::Upstream,
    },
    std::rc::Rc,
    tokio::time::{Instant, sleep, timeout},
};

/// Obtains a server's status on request, from other instances or from the server itself, until the server leaves the
/// directory. Requests that arrive during a query share the next query.
pub async fn poll_status(inst: Rc<Instance>, group: Rc<Group>, up: Rc<Upstream>) {
    loop {
        up.poll_request.notified().await;
        if up.is_removed() {
            up.pool.trim(Instant::now(), true);
            return;
        }
        let since = up.requested_since.take();
        if up.replay_wanted.take() && relay_status(&inst, &group, &up).await.is_some() {
            continue;
        }
        if status_reports::fetch(&inst, &group, &up, since).await {
            continue;
        }
        let status = send_order(&inst, &group, &up, &Order::Status).await;
        if status.is_none() {
            // Limits the rate of queries to an unreachable server.
            sleep(PRIMARY_POLL_INTERVAL).await;
        }
    }
}

/// Sends an order to a server over a connection of this instance. A relay is used too if no answer comes within
/// [`RELAY_DELAY`], and alone if this instance doesn't reach the server. Returns the server's status, or none if the
/// server doesn't answer.
pub async fn send_order(inst: &Rc<Instance>, group: &Group, up: &Upstream, order: &Order) -> Option<Status> {
    inst.update_placement(up);
    if !up.is_directly_reachable() {
        up.try_reconnect(inst, group);
        return send_relayed(inst, group, up, order).await;
    }
    // Clears the value of an earlier order whose caller stopped waiting.
    up.pending_since.set(None);
    let direct = send_direct(inst, group, up, order);
    tokio::pin!(direct);
    if let Ok(answer) = timeout(RELAY_DELAY, &mut direct).await {
        return match answer {
            Some(status) => Some(status),
            None if up.refused_since().is_some() => None,
            None => send_relayed(inst, group, up, order).await,
        };
    }
    tokio::select! {
        biased;
        Some(status) = &mut direct => Some(status),
        Some(status) = send_relayed(inst, group, up, order) => {
            // Not concluded from an order that still waits for a connection here.
            if up.pending_since.get().is_some_and(|at| inst.now() - at >= micros(RELAY_DELAY)) {
                up.mark_unreachable("reached through other instances only");
            }
            Some(status)
        }
        else => None,
    }
}

/// Sends an order through another instance. Tries up to [`MAX_RELAYS`] instances in turn.
async fn send_relayed(inst: &Rc<Instance>, group: &Group, up: &Upstream, order: &Order) -> Option<Status> {
    let started = inst.now();
    for _ in 0..MAX_RELAYS {
        let Some(peer) = up.pick_peer(inst, &Owner::Shared) else { break };
        let sent = inst.now();
        up.asked_at.set(sent);
        let request = Request::Order { server: up.entry().as_ref().into(), order: order.clone() };
        match timeout(ORDER_TIMEOUT, peer.request(inst, request)).await {
            Ok(Response::Status(Some(status))) => {
                group.observe_status(up, status, sent, inst.now());
                return Some(status);
            }
            Ok(Response::Gone) => {
                up.record_refused(inst.now());
                return None;
            }
            _ => up.back_off_peer(&peer.name, inst.now(), false),
        }
    }
    up.record_unanswered(started);
    None
}

/// Obtains the status of a server that this instance doesn't reach, together with the position that the server's reads
/// reflect: status reports of other instances don't contain that. Returns none if the server has to be asked otherwise.
async fn relay_status(inst: &Rc<Instance>, group: &Group, up: &Upstream) -> Option<Status> {
    inst.update_placement(up);
    if up.is_directly_reachable() {
        return None;
    }
    let deadline = Instant::now() + ORDER_TIMEOUT;
    let mut channel = Channel::Relayed(up.open_relayed(inst, &Owner::Shared, deadline).await?);
    let sent = inst.now();
    up.asked_at.set(sent);
    let request = ChannelRequest {
        values: None,
        named: None,
        command: CommandRef::Order(&Order::Status, None),
        rank: None,
        slow_after: Micros::MAX,
        stall_timeout: ORDER_TIMEOUT,
        deadline,
        progress: None,
    };
    let answer = channel.run(inst, request).await.ok()?;
    let status = inst.adapters.protocol.decode_status(&answer)?;
    channel.release();
    if let Some(position) = answer.mark {
        up.record_replayed(position);
    }
    group.observe_status(up, status, sent, inst.now());
    Some(status)
}

/// Sends an order over a connection of this instance. If a pooled connection yields no answer, a new connection is
/// tried: open connections can stop delivering packets for good while new ones work.
pub async fn send_direct(inst: &Instance, group: &Group, up: &Upstream, order: &Order) -> Option<Status> {
    match exchange(inst, group, up, order).await {
        Err(OrderError::PooledConnection) => exchange(inst, group, up, order).await.ok(),
        outcome => outcome.ok(),
    }
}

/// An order without an answer.
enum OrderError {
    /// A pooled connection yielded no answer. A new connection may work.
    PooledConnection,
    /// A new connection yielded no answer, or there was no connection.
    Failed,
}

/// Sends an order over one connection and waits for the server's status.
async fn exchange(
    inst: &Instance,
    group: &Group,
    up: &Upstream,
    order: &Order,
) -> Result<Status, OrderError> {
    let want = ConnRequest {
        priority: 0,
        deadline: Instant::now() + STATUS_CONN_TIMEOUT,
        values: None,
        owner: None,
    };
    let server = up.entry();
    let mut lease = match up.pool.acquire(inst, &server, want).await {
        Ok(lease) => lease,
        Err(PoolError::Busy | PoolError::Full) => return Err(OrderError::Failed),
        Err(PoolError::Unreachable(e)) => {
            log::debug!(server = server.id.as_str(); "{e}");
            up.record_connect_failure(inst.now(), e.is_refusal());
            return Err(OrderError::Failed);
        }
    };
    let error = if lease.is_new() { OrderError::Failed } else { OrderError::PooledConnection };
    let sent = inst.now();
    inst.counters.increment(Count::Orders);
    let dialect = inst.adapters.protocol.as_ref();
    up.asked_at.set(sent);
    up.pending_since.set(Some(sent));
    let Some(conn) = lease.get_mut() else { return Err(OrderError::Failed) };
    let answer = timeout(ORDER_TIMEOUT, conn.send_order(dialect, order)).await;
    up.pending_since.set(None);
    let answer = match answer {
        Ok(Ok(answer)) => answer,
        Ok(Err(e)) => {
            log::debug!(server = server.id.as_str(); "{e}");
            up.record_unanswered(sent);
            return Err(error);
        }
        Err(_) => {
            up.record_connect_failure(sent, false);
            return Err(error);
        }
    };
    lease.release();
    up.reachable.set(true);
    up.record_contact(inst.now());
    let status = dialect.decode_status(&answer).ok_or(OrderError::Failed)?;
    if let Some(position) = answer.mark {
        up.record_replayed(position);
    }
    group.observe_status(up, status, sent, inst.now());
    Ok(status)
}
