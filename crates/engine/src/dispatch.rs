//! Scheduling of statements at an overloaded server by a single instance, the dispatcher.
//!
//! An instance can limit its own statements at a server to one at a time, but not further. With seven instances in front of a
//! server with two slots, five statements still wait in the server's queue in order of arrival, and no instance's queue takes
//! account of more urgent statements in the others. Therefore an instance whose limit is at the minimum requests permits from
//! the dispatcher. All instances select the same one by rendezvous hashing, near the server. Statements still use the
//! connections of their own instance, so the dispatcher needs no connection to the server. If it can't be reached, each
//! instance schedules its own statements again.

use {
    crate::{
        count::Count,
        instance::{Instance, Micros, micros},
        message::{Message, PermitRequest, Request, Response},
        permit_queue::{Permit, PermitOutcome},
        settings::RELAY_DEADLINE_MARGIN,
        upstream::Upstream,
    },
    pondtrack_core::scheduler::Rank,
    pondtrack_proto::Name,
    std::{rc::Rc, time::Duration},
    tokio::time::{Instant, timeout_at},
};

/// Factor over the latency without a queue above which a statement counts as slow at an overloaded server. One statement in
/// twenty takes that long without a queue, and one in three with two statements ahead.
const SLOW_FACTOR: Micros = 3;
/// Time after which a permit is reclaimed from another instance: its statement may be waiting on a stalled connection, or the
/// message that releases the permit was lost.
pub const MAX_PERMIT_TIME: Duration = Duration::from_millis(1_000);

/// Minimum time for which a server counts as overloaded, so that all instances that still limit their statements alone have
/// noticed.
const MIN_OVERLOAD_TIME: Duration = Duration::from_millis(1_000);

/// Source of the permits for a server.
enum Dispatcher {
    /// Each instance grants permits for its own statements.
    PerInstance,
    /// This instance grants permits for the statements of all.
    Local,
    /// Another instance grants permits for the statements of all.
    Remote(Name),
}

/// Waits for a permit at a server.
///
/// A statement counts as slow after `slow_after` microseconds, unless the server's latency without a queue is known.
pub async fn acquire_permit(
    inst: &Rc<Instance>,
    up: &Upstream,
    rank: Rank,
    slow_after: Micros,
    deadline: Instant,
) -> PermitOutcome {
    let outcome = match dispatcher(inst, up) {
        Dispatcher::PerInstance => up.permits.acquire(rank, None, deadline).await,
        Dispatcher::Local => {
            up.shared_permits.acquire(rank, Some(slow_threshold(up, slow_after)), deadline).await
        }
        Dispatcher::Remote(name) => {
            match request_permit(inst, up, &name, rank, slow_threshold(up, slow_after), deadline).await {
                Some(outcome) => outcome,
                None => {
                    up.back_off_dispatcher(inst.now());
                    up.permits.acquire(rank, None, deadline).await
                }
            }
        }
    };
    inst.counters.add(Count::PermitsRefused, u64::from(matches!(outcome, PermitOutcome::Refused)));
    count_min_share_permits(inst, up);
    outcome
}

/// Counts permits granted by the minimum share of a kind of work.
pub fn count_min_share_permits(inst: &Instance, up: &Upstream) {
    inst.counters.add(
        Count::PermitsLifted,
        up.permits.take_min_share_permits() + up.shared_permits.take_min_share_permits(),
    );
}

fn dispatcher(inst: &Rc<Instance>, up: &Upstream) -> Dispatcher {
    if up.permits.is_limit_min() && up.mark_overloaded(inst.now()) && up.dispatcher().is_none() {
        announce_overload(inst, up);
    }
    if up.overloaded_since.get().is_none() || up.dispatcher_retry_at.get() > inst.now() {
        return Dispatcher::PerInstance;
    }
    inst.update_placement(up);
    match up.dispatcher() {
        Some(name) => Dispatcher::Remote(name),
        None => {
            if !up.shared_permits.is_overloaded() {
                clear_overload(inst, up);
            }
            Dispatcher::Local
        }
    }
}

/// Notifies the other homes of a server that this instance grants the permits for the server. They wouldn't notice the
/// overload themselves, because the server's queue becomes shorter.
pub fn announce_overload(inst: &Rc<Instance>, up: &Upstream) {
    let server = up.entry().id.clone();
    for name in up.ranked_peers.borrow().iter().take(up.home_count.get()) {
        let Some(peer) = inst.peer(name).filter(|p| p.is_available(inst.now())) else { continue };
        let (inst, server) = (inst.clone(), server.clone());
        tokio::task::spawn_local(async move {
            if let Some(link) = peer.link(&inst).await {
                link.send(Message::Overloaded { server });
            }
        });
    }
}

/// Ends the overload of a server at which no statement has to wait any longer, after [`MIN_OVERLOAD_TIME`] at the earliest.
fn clear_overload(inst: &Instance, up: &Upstream) {
    let elapsed = |since: Micros| inst.now() - since >= micros(MIN_OVERLOAD_TIME);
    if up.overloaded_since.get().is_some_and(elapsed) {
        up.overloaded_since.set(None);
        up.permits.reset_limit();
        log::info!(server = up.entry().id.as_str(); "no longer crowded");
    }
}

fn slow_threshold(up: &Upstream, default: Micros) -> Micros {
    match up.base_latency.get().get() {
        0 => default,
        base => base * SLOW_FACTOR,
    }
}

/// Requests a permit from another instance. Returns `None` if the instance can't be reached.
async fn request_permit(
    inst: &Rc<Instance>,
    up: &Upstream,
    name: &Name,
    rank: Rank,
    slow_after: Micros,
    deadline: Instant,
) -> Option<PermitOutcome> {
    let peer = inst.peer(name).filter(|p| p.is_available(inst.now()))?;
    let link = peer.link(inst).await?;
    let wait_ms = deadline.saturating_duration_since(Instant::now()).as_millis() as u32;
    let rank = Rank { soft_deadline: rank.soft_deadline.saturating_sub(inst.now()), ..rank };
    let request =
        Request::Permit(PermitRequest { server: up.entry().id.clone(), rank, slow: slow_after, wait_ms });
    let response = timeout_at(deadline + RELAY_DEADLINE_MARGIN, link.request(request)).await;
    let (outcome, overloaded) = match response {
        Ok(Response::Permit { permit, overloaded }) => {
            (PermitOutcome::Granted(Permit::remote(link, permit)), overloaded)
        }
        Ok(Response::Refused) => (PermitOutcome::Refused, true),
        Ok(Response::Busy) => (PermitOutcome::TimedOut, true),
        // A dispatcher that is reachable answers in time.
        Err(_) => {
            up.back_off_dispatcher(inst.now());
            (PermitOutcome::TimedOut, true)
        }
        Ok(_) => return None,
    };
    if !overloaded {
        clear_overload(inst, up);
    }
    Some(outcome)
}
