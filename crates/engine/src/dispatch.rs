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
        settings::RELAY_DEADLINE_MARGIN,
        turnstile::{Permit, Turn},
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
pub const TURN_MOST: Duration = Duration::from_millis(1_000);

/// A server stays crowded for this long at least, until all that hold their statements back alone have noticed.
const CROWDED_LEAST: Duration = Duration::from_millis(1_000);

/// Who hands out turns at a server.
enum Dispatcher {
    /// Each instance its own.
    Each,
    /// This instance, for all.
    Here,
    /// Another instance, for all.
    At(Name),
}

/// Waits for a turn at a server. Above `slow` microseconds there a statement is slow, if it isn't known what
/// they take without a queue.
pub async fn turn(inst: &Rc<Instance>, up: &Upstream, rank: Rank, slow: Micros, until: Instant) -> Turn {
    let turn = match dispatcher(inst, up) {
        Dispatcher::Each => up.turns.enter(rank, None, until).await,
        Dispatcher::Here => up.shared.enter(rank, Some(slow_at(up, slow)), until).await,
        Dispatcher::At(name) => match ask(inst, up, &name, rank, slow_at(up, slow), until).await {
            Some(it) => it,
            None => {
                up.order_alone(inst.now());
                up.turns.enter(rank, None, until).await
            }
        },
    };
    inst.counters.add(Count::PermitsRefused, u64::from(matches!(turn, Turn::Refused)));
    count_lifted(inst, up);
    turn
}

/// Counts turns that went to kinds of work by their minimum.
pub fn count_lifted(inst: &Instance, up: &Upstream) {
    inst.counters.add(Count::PermitsLifted, up.turns.take_lifted() + up.shared.take_lifted());
}

fn dispatcher(inst: &Rc<Instance>, up: &Upstream) -> Dispatcher {
    if up.turns.is_lowest() && up.crowd(inst.now()) && up.dispatcher().is_none() {
        tell_homes(inst, up);
    }
    if up.crowded.get().is_none() || up.alone.get() > inst.now() {
        return Dispatcher::Each;
    }
    inst.update_placement(up);
    match up.dispatcher() {
        Some(name) => Dispatcher::At(name),
        None => {
            if !up.shared.is_crowded() {
                relax(inst, up);
            }
            Dispatcher::Here
        }
    }
}

/// Tells those that have connections to a server that turns come from this instance: as the server's queue gets
/// shorter, they wouldn't find out.
pub fn tell_homes(inst: &Rc<Instance>, up: &Upstream) {
    let server = up.entry().id.clone();
    for name in up.ranked.borrow().iter().take(up.homes.get()) {
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
fn relax(inst: &Instance, up: &Upstream) {
    let over = |since: Micros| inst.now() - since >= micros(CROWDED_LEAST);
    if up.crowded.get().is_some_and(over) {
        up.crowded.set(None);
        up.turns.reset();
        log::info!(server = up.entry().id.as_str(); "no longer crowded");
    }
}

fn slow_at(up: &Upstream, slow: Micros) -> Micros {
    match up.base.get().get() {
        0 => slow,
        base => base * SLOW_FACTOR,
    }
}

/// Asks another instance for a turn; none if it can't be asked.
async fn ask(
    inst: &Rc<Instance>,
    up: &Upstream,
    name: &Name,
    rank: Rank,
    slow: Micros,
    until: Instant,
) -> Option<Turn> {
    let peer = inst.peer(name).filter(|it| it.is_available(inst.now()))?;
    let link = peer.link(inst).await?;
    let wait_ms = until.saturating_duration_since(Instant::now()).as_millis() as u32;
    let rank = Rank { soft_deadline: rank.soft_deadline.saturating_sub(inst.now()), ..rank };
    let ask = Request::Permit(PermitRequest { server: up.entry().id.clone(), rank, slow, wait_ms });
    let told = timeout_at(until + RELAY_DEADLINE_MARGIN, link.request(ask)).await;
    let (turn, crowded) = match told {
        Ok(Response::Permit { permit: turn, overloaded: crowded }) => {
            (Turn::Granted(Permit::remote(link, turn)), crowded)
        }
        Ok(Response::Refused) => (Turn::Refused, true),
        Ok(Response::Busy) => (Turn::Late, true),
        // The other one answers in time if it is there.
        Err(_) => {
            up.order_alone(inst.now());
            (Turn::Late, true)
        }
        Ok(_) => return None,
    };
    if !crowded {
        relax(inst, up);
    }
    Some(turn)
}
