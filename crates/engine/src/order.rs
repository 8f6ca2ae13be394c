//! Questions and orders to servers that they answer with their account of themselves.

use {
    crate::{
        count::Count,
        group::{Group, status_reports},
        instance::{Instance, micros},
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

/// Asks a server whenever it is wanted; questions that come while one is out share the next.
pub async fn poll_status(inst: Rc<Instance>, group: Rc<Group>, it: Rc<Upstream>) {
    loop {
        it.poll_request.notified().await;
        if it.is_removed() {
            it.pool.trim(Instant::now(), true);
            return;
        }
        let since = it.requested_since.take();
        if status_reports::fetch(&inst, &group, &it, since).await {
            continue;
        }
        let asked = send_order(&inst, &group, &it, &Order::Status).await;
        if asked.is_none() {
            // So that a server that can't be reached isn't asked without end.
            sleep(PRIMARY_POLL_INTERVAL).await;
        }
    }
}

/// Gives a server an order that it answers with its account of itself: over a connection of this instance,
/// through another instance, or both.
pub async fn send_order(inst: &Rc<Instance>, group: &Group, it: &Upstream, order: &Order) -> Option<Status> {
    inst.place(it);
    if !it.is_reachable() {
        it.try_reconnect(inst, group);
        return give_through(inst, group, it, order).await;
    }
    // Whoever gave up on an earlier question didn't take this away.
    it.pending_since.set(None);
    let direct = send_direct(inst, group, it, order);
    tokio::pin!(direct);
    if let Ok(answer) = timeout(RELAY_DELAY, &mut direct).await {
        return match answer {
            Some(it) => Some(it),
            None if it.refused_since().is_some() => None,
            None => give_through(inst, group, it, order).await,
        };
    }
    tokio::select! {
        biased;
        Some(status) = &mut direct => Some(status),
        Some(status) = give_through(inst, group, it, order) => {
            // A question that still waits here for a connection shows nothing.
            if it.pending_since.get().is_some_and(|at| inst.now() - at >= micros(RELAY_DELAY)) {
                it.mark_unreachable("reached through other instances only");
            }
            Some(status)
        }
        else => None,
    }
}

/// The same through another instance.
async fn give_through(inst: &Rc<Instance>, group: &Group, it: &Upstream, order: &Order) -> Option<Status> {
    let began = inst.now();
    for _ in 0..MAX_RELAYS {
        let Some(peer) = it.pick_peer(inst, &Owner::Shared) else { break };
        let sent = inst.now();
        it.asked_at.set(sent);
        let ask = Request::Order { server: it.entry().as_ref().into(), order: order.clone() };
        match timeout(ORDER_TIMEOUT, peer.ask(inst, ask)).await {
            Ok(Response::Status(Some(status))) => {
                group.observe_status(it, status, sent, inst.now());
                return Some(status);
            }
            Ok(Response::Gone) => {
                it.record_refused(inst.now());
                return None;
            }
            _ => it.back_off_peer(&peer.name, inst.now(), false),
        }
    }
    it.record_unanswered(began);
    None
}

/// The same over a connection of this instance. Where a kept one gives no answer, a new one is tried: open
/// connections can fall silent for good while new ones work.
pub async fn send_direct(inst: &Instance, group: &Group, it: &Upstream, order: &Order) -> Option<Status> {
    match exchange(inst, group, it, order).await {
        Err(Unanswered::Kept) => exchange(inst, group, it, order).await.ok(),
        outcome => outcome.ok(),
    }
}

/// Why there is no answer to an order.
enum Unanswered {
    /// Over a connection that had been kept.
    Kept,
    /// Otherwise.
    Failed,
}

/// Gives an order over one connection.
async fn exchange(
    inst: &Instance,
    group: &Group,
    it: &Upstream,
    order: &Order,
) -> Result<Status, Unanswered> {
    let want = ConnRequest {
        priority: 0,
        deadline: Instant::now() + STATUS_CONN_TIMEOUT,
        values: None,
        owner: None,
    };
    let server = it.entry();
    let mut lease = match it.pool.acquire(inst, &server, want).await {
        Ok(lease) => lease,
        Err(PoolError::Busy | PoolError::Full) => return Err(Unanswered::Failed),
        Err(PoolError::Unreachable(e)) => {
            log::debug!(server = server.id.as_str(); "{e}");
            it.record_connect_failure(inst.now(), e.is_refusal());
            return Err(Unanswered::Failed);
        }
    };
    let why = if lease.is_new() { Unanswered::Failed } else { Unanswered::Kept };
    let sent = inst.now();
    inst.counters.increment(Count::Orders);
    let dialect = inst.adapters.protocol.as_ref();
    it.asked_at.set(sent);
    it.pending_since.set(Some(sent));
    let Some(conn) = lease.get_mut() else { return Err(Unanswered::Failed) };
    let answer = timeout(ORDER_TIMEOUT, conn.send_order(dialect, order)).await;
    it.pending_since.set(None);
    let answer = match answer {
        Ok(Ok(it)) => it,
        Ok(Err(e)) => {
            log::debug!(server = server.id.as_str(); "{e}");
            it.record_unanswered(sent);
            return Err(why);
        }
        Err(_) => {
            it.record_connect_failure(sent, false);
            return Err(why);
        }
    };
    lease.release();
    it.reachable.set(true);
    it.record_contact(inst.now());
    let status = dialect.decode_status(&answer).ok_or(Unanswered::Failed)?;
    group.observe_status(it, status, sent, inst.now());
    Ok(status)
}
