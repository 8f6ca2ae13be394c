//! Monitoring of one server by long polls: one poll is always outstanding, and is answered immediately on a change.
//!
//! The wait of a poll on an unchanged server decides both the cost of monitoring and the time in which a silent server
//! is detected. Only the first home polls the primary at a short interval. The other homes, and the polls of replicas,
//! use long waits, as a change ends a wait early anyway.

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

/// Longest wait of a poll of the primary by homes other than the first, as a multiple of the setting.
const SECONDARY_HOME_FACTOR: u32 = 3;
/// Longest wait of a poll of a replica, as a multiple of the setting.
const REPLICA_FACTOR: u32 = 7;
/// Longest time between two answers of a healthy server beyond the wait of the poll, in milliseconds.
const SILENCE_MARGIN_MS: u64 = 100;
/// Time limit of the answer to a poll beyond its wait, in milliseconds.
const POLL_MARGIN_MS: u64 = 400;
/// Time limit for opening the connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Pause between an answer and the next poll while no acknowledgement is waiting, in milliseconds.
const IDLE_PAUSE_MS: u64 = 20;

/// Monitors a server until its home is closed.
pub async fn run(node: Rc<Node>, home: Rc<Home>, server: usize) {
    let mut backoff = Backoff::new(20, 200);
    while !home.closing.get() {
        match home.connect(&node, server, CONNECT_TIMEOUT).await {
            Ok(conn) => {
                backoff.reset();
                let reason = poll(&node, &home, server, conn).await;
                log::debug!(step = "watch", peer = home.servers[server].spec.borrow().name.as_str(); "{reason}");
                home.servers[server].pool.clear();
                record_refusal(&node, &home, server);
            }
            Err(e) => {
                record_connect_error(&node, &home, server, &e);
                let wait = node.with_rng(|rng| backoff.next_delay(rng));
                sleep(Duration::from_millis(wait)).await;
            }
        }
    }
}

/// Returns the longest wait of a poll, in milliseconds.
fn max_wait_ms(node: &Node, home: &Home, is_primary: bool) -> u32 {
    let factor = match (is_primary, home.rank.get()) {
        (true, 0) => 1,
        (true, _) => SECONDARY_HOME_FACTOR,
        (false, _) => REPLICA_FACTOR,
    };
    node.settings.watch_ms * factor
}

/// Returns the longest time between two answers of a healthy server, in milliseconds.
pub fn max_silence_ms(node: &Node, home: &Home, is_primary: bool) -> u64 {
    let wait = max_wait_ms(node, home, is_primary);
    (u64::from(wait) + SILENCE_MARGIN_MS).max(node.settings.silence_ms)
}

/// Records a failed attempt to open a connection.
pub fn record_connect_error(node: &Node, home: &Home, server: usize, e: &EdgeError) {
    if is_connection_refused(e) {
        record_refusal(node, home, server);
    }
}

/// Returns true if nothing listens at the address; a timeout, for example, isn't such a refusal.
fn is_connection_refused(e: &EdgeError) -> bool {
    matches!(e, EdgeError::Io { source, .. } if source.kind() == ErrorKind::ConnectionRefused)
}

/// Records that the server refused a connection, or that its connection broke; the time of the first event is kept.
fn record_refusal(node: &Node, home: &Home, server: usize) {
    let mut view = home.servers[server].view.borrow_mut();
    if view.last_contact.refused_since.is_none() {
        view.last_contact.refused_since = Some(node.now());
        drop(view);
        home.changed.notify_waiters();
    }
}

/// Polls a server over a connection; returns the reason for which polling ended.
async fn poll(node: &Rc<Node>, home: &Rc<Home>, server: usize, mut conn: Upstream) -> String {
    let mut last_seen = (Term(0), Lsn(0), Lsn(0));
    let mut first = true;
    while !home.closing.get() {
        let is_primary = home.primary() == Some(server);
        let wait = if first { 0 } else { max_wait_ms(node, home, is_primary) };
        // Commits report the position of the primary, so only a change of its term or role has to end the wait.
        let (received, applied) = if is_primary { (NO_LSN, NO_LSN) } else { (last_seen.1, last_seen.2) };
        let order = Order::Watch { term: last_seen.0, received, applied, ms: wait };
        let limit = Duration::from_millis(u64::from(wait) + POLL_MARGIN_MS);
        let sent = node.now();
        node.count(Count::ServerOrders);
        let traffic_before = conn.traffic;
        let answer = conn.send_order(order, limit).await;
        node.counters.add(Count::ServerOrderBytes, conn.traffic - traffic_before);
        let position = match answer {
            Ok(position) => position,
            Err(e) => return e.to_string(),
        };
        first = false;
        last_seen = (position.term, position.received.lsn, position.applied);
        home.observe(node, server, position, sent);
        if home.gate.borrow().pending() == 0 {
            let ack_requested = home.ack_requested.notified();
            let _ = timeout(Duration::from_millis(IDLE_PAUSE_MS), ack_requested).await;
        }
    }
    "no longer a home".to_owned()
}
