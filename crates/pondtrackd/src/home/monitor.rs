//! Watching one server: one question is always outstanding, answered at once when something changes.
//!
//! How long an unchanged server may keep a question decides both the cost of watching and how soon a
//! silent server is noticed. Only the first home watches the primary closely; the others and all
//! replicas are asked rarely, as a change ends the wait anyway.

use {
    super::Home,
    crate::{node::Node, telemetry::Count},
    pondtrack_core::retry::Backoff,
    pondtrack_edge::{
        EdgeError, Upstream,
        contract::{NO_LSN, Order},
    },
    pondtrack_proto::{Lsn, Term},
    std::{io::ErrorKind, rc::Rc, time::Duration},
    tokio::time::{sleep, timeout},
};

/// The longest wait of a question to the primary from other homes than the first, as a multiple of the
/// setting.
const DISTANT: u32 = 3;
/// The longest wait of a question to a replica, as a multiple of the setting.
const REPLICA: u32 = 7;
/// The longest time between two answers of a healthy server, beyond the wait itself, in milliseconds.
const SLACK: u64 = 100;
/// Extra time for an answer.
const GRACE: u64 = 400;
/// Time to open the connection.
const OPEN_LIMIT: Duration = Duration::from_millis(300);
/// Least time between two answers while no acknowledgement waits for them, in milliseconds.
const CALM: u64 = 20;

/// Watches a server for the life of its home.
pub async fn run(node: Rc<Node>, home: Rc<Home>, server: usize) {
    let mut backoff = Backoff::new(20, 200);
    while !home.closing.get() {
        match home.connect(&node, server, OPEN_LIMIT).await {
            Ok(conn) => {
                backoff.reset();
                let why = watch(&node, &home, server, conn).await;
                log::debug!(step = "watch", peer = home.servers[server].spec.borrow().name.as_str(); "{why}");
                home.servers[server].pool.clear();
                refused(&node, &home, server);
            }
            Err(e) => {
                note(&node, &home, server, &e);
                let wait = node.with_rng(|rng| backoff.next_delay(rng));
                sleep(Duration::from_millis(wait)).await;
            }
        }
    }
}

/// The longest wait of a question, in milliseconds.
fn longest_wait(node: &Node, home: &Home, leads: bool) -> u32 {
    let factor = match (leads, home.rank.get()) {
        (true, 0) => 1,
        (true, _) => DISTANT,
        (false, _) => REPLICA,
    };
    node.settings.watch_ms * factor
}

/// How long a healthy server may stay unheard, in milliseconds.
pub fn unheard(node: &Node, home: &Home, leads: bool) -> u64 {
    let wait = longest_wait(node, home, leads);
    (u64::from(wait) + SLACK).max(node.settings.silence_ms)
}

/// Takes note of a failed try to open a connection.
pub fn note(node: &Node, home: &Home, server: usize, e: &EdgeError) {
    if is_gone(e) {
        refused(node, home, server);
    }
}

/// Whether the error tells that nothing listens there, rather than that nothing was heard.
fn is_gone(e: &EdgeError) -> bool {
    matches!(e, EdgeError::Io { source, .. } if source.kind() == ErrorKind::ConnectionRefused)
}

/// The server's address refused, or its connection broke; the first time counts.
fn refused(node: &Node, home: &Home, server: usize) {
    let mut view = home.servers[server].view.borrow_mut();
    if view.heard.refused_since.is_none() {
        view.heard.refused_since = Some(node.now());
        drop(view);
        home.changed.notify_waiters();
    }
}

async fn watch(node: &Rc<Node>, home: &Rc<Home>, server: usize, mut conn: Upstream) -> String {
    let mut known = (Term(0), Lsn(0), Lsn(0));
    let mut first = true;
    while !home.closing.get() {
        let leads = home.primary() == Some(server);
        let wait = if first { 0 } else { longest_wait(node, home, leads) };
        // Each commit tells the primary's position; only a change of term or role matters here.
        let (received, applied) = if leads { (NO_LSN, NO_LSN) } else { (known.1, known.2) };
        let order = Order::Watch { term: known.0, received, applied, ms: wait };
        let limit = Duration::from_millis(u64::from(wait) + GRACE);
        let sent = node.now();
        node.count(Count::ServerOrders);
        let before = conn.traffic;
        let answer = conn.send_order(order, limit).await;
        node.counters.add(Count::ServerOrderBytes, conn.traffic - before);
        let position = match answer {
            Ok(it) => it,
            Err(e) => return e.to_string(),
        };
        first = false;
        known = (position.term, position.received.lsn, position.applied);
        home.saw(node, server, position, sent);
        if home.gate.borrow().pending() == 0 {
            let wanted = home.wanted.notified();
            let _ = timeout(Duration::from_millis(CALM), wanted).await;
        }
    }
    "no longer a home".to_owned()
}
