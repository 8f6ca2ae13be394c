//! Turns at a server that has too much to do, handed out by one instance for all.
//!
//! Each instance can hold back its own statements only down to one at a time. Seven of them before a server with
//! two slots still leave five statements in its queue, in order of arrival, and each instance's queue knows
//! nothing of more urgent work in the others. So where an instance is at its lowest limit, it asks one for a turn
//! that all agree on by hashing, near the server; statements still go over the own connections. The one that
//! hands out turns needs no way to the server. If it can't be reached, each orders its own again.

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

/// A statement is slow at a crowded server when it takes this many times what statements take there when it has
/// no queue: one in twenty takes as long by itself, and with two before it one in three.
const SLOW_FACTOR: Micros = 3;
/// After this long a turn is taken back from another instance: its statement may wait on a connection that fell
/// silent, or its word that the turn is over was lost.
pub const MAX_PERMIT_TIME: Duration = Duration::from_millis(1_000);

/// A server stays crowded for this long at least, until all that hold their statements back alone have noticed.
const MIN_OVERLOAD_TIME: Duration = Duration::from_millis(1_000);

/// Who hands out turns at a server.
enum Dispatcher {
    /// Each instance its own.
    PerInstance,
    /// This instance, for all.
    Local,
    /// Another instance, for all.
    Remote(Name),
}

/// Waits for a turn at a server. Above `slow` microseconds there a statement is slow, if it isn't known what
/// they take without a queue.
pub async fn acquire_permit(
    inst: &Rc<Instance>,
    up: &Upstream,
    rank: Rank,
    slow: Micros,
    until: Instant,
) -> PermitOutcome {
    let turn = match dispatcher(inst, up) {
        Dispatcher::PerInstance => up.permits.acquire(rank, None, until).await,
        Dispatcher::Local => up.shared_permits.acquire(rank, Some(slow_threshold(up, slow)), until).await,
        Dispatcher::Remote(name) => {
            match request_permit(inst, up, &name, rank, slow_threshold(up, slow), until).await {
                Some(it) => it,
                None => {
                    up.back_off_dispatcher(inst.now());
                    up.permits.acquire(rank, None, until).await
                }
            }
        }
    };
    inst.counters.add(Count::PermitsRefused, u64::from(matches!(turn, PermitOutcome::Refused)));
    count_min_share_permits(inst, up);
    turn
}

/// Counts turns that went to kinds of work by their minimum.
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

/// Tells those that have connections to a server that turns come from this instance: as the server's queue gets
/// shorter, they wouldn't find out.
pub fn announce_overload(inst: &Rc<Instance>, up: &Upstream) {
    let server = up.entry().id.clone();
    for name in up.ranked_peers.borrow().iter().take(up.home_count.get()) {
        let Some(peer) = inst.peer(name).filter(|it| it.is_available(inst.now())) else { continue };
        let (inst, server) = (inst.clone(), server.clone());
        tokio::task::spawn_local(async move {
            if let Some(link) = peer.link(&inst).await {
                link.send(Message::Overloaded { server });
            }
        });
    }
}

/// Nobody has to wait at the server any longer.
fn clear_overload(inst: &Instance, up: &Upstream) {
    let over = |since: Micros| inst.now() - since >= micros(MIN_OVERLOAD_TIME);
    if up.overloaded_since.get().is_some_and(over) {
        up.overloaded_since.set(None);
        up.permits.reset_limit();
        log::info!(server = up.entry().id.as_str(); "no longer crowded");
    }
}

fn slow_threshold(up: &Upstream, slow: Micros) -> Micros {
    match up.base_latency.get().get() {
        0 => slow,
        base => base * SLOW_FACTOR,
    }
}

/// Asks another instance for a turn; none if it can't be asked.
async fn request_permit(
    inst: &Rc<Instance>,
    up: &Upstream,
    name: &Name,
    rank: Rank,
    slow: Micros,
    until: Instant,
) -> Option<PermitOutcome> {
    let peer = inst.peer(name).filter(|it| it.is_available(inst.now()))?;
    let link = peer.link(inst).await?;
    let wait_ms = until.saturating_duration_since(Instant::now()).as_millis() as u32;
    let rank = Rank { soft_deadline: rank.soft_deadline.saturating_sub(inst.now()), ..rank };
    let ask = Request::Permit(PermitRequest { server: up.entry().id.clone(), rank, slow, wait_ms });
    let told = timeout_at(until + RELAY_DEADLINE_MARGIN, link.request(ask)).await;
    let (turn, crowded) = match told {
        Ok(Response::Permit { permit: turn, overloaded: crowded }) => {
            (PermitOutcome::Granted(Permit::remote(link, turn)), crowded)
        }
        Ok(Response::Refused) => (PermitOutcome::Refused, true),
        Ok(Response::Busy) => (PermitOutcome::TimedOut, true),
        // The other one answers in time if it is there.
        Err(_) => {
            up.back_off_dispatcher(inst.now());
            (PermitOutcome::TimedOut, true)
        }
        Ok(_) => return None,
    };
    if !crowded {
        clear_overload(inst, up);
    }
    Some(turn)
}
