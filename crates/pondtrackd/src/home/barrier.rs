//! Barrier: rounds that query a majority for its term, and the primary for its log position.
//!
//! A session that may have written through another instance must see all writes that were acknowledged before the
//! session began. A round that begins after the request for it covers them: if a majority still reports the term of the
//! primary, nothing was acknowledged in a higher term, and the position of the primary covers all earlier writes.
//! Requests that arrive during a round share the next one.

use {
    super::{Home, ORDER_TIMEOUT},
    crate::{node::Node, telemetry::Count},
    pondtrack_edge::contract::{Order, Position, Role},
    pondtrack_proto::{LogPosition, Term},
    std::{cell::RefCell, rc::Rc},
    tokio::sync::{mpsc, oneshot},
};

/// Barrier of one group.
#[derive(Default)]
pub struct Barrier {
    /// True while rounds are running.
    running: RefCell<bool>,
    /// Waiters of the next round.
    waiters: RefCell<Vec<oneshot::Sender<Option<LogPosition>>>>,
}

/// Returns the position that covers all writes acknowledged before the call; none if no majority answers.
pub async fn wait(node: &Rc<Node>, home: &Rc<Home>) -> Option<LogPosition> {
    let (send, receive) = oneshot::channel();
    home.barrier.waiters.borrow_mut().push(send);
    if !*home.barrier.running.borrow() {
        *home.barrier.running.borrow_mut() = true;
        tokio::task::spawn_local(run_rounds(node.clone(), home.clone()));
    }
    receive.await.ok().flatten()
}

/// Runs rounds until no waiters are left.
async fn run_rounds(node: Rc<Node>, home: Rc<Home>) {
    loop {
        // Only the waiters that are registered before a round begins may share the round.
        let waiters: Vec<_> = home.barrier.waiters.borrow_mut().drain(..).collect();
        if waiters.is_empty() {
            *home.barrier.running.borrow_mut() = false;
            return;
        }
        let mark = run_round(&node, &home).await;
        for waiter in waiters {
            let _ = waiter.send(mark);
        }
    }
}

/// Runs one round.
async fn run_round(node: &Rc<Node>, home: &Rc<Home>) -> Option<LogPosition> {
    node.count(Count::Barriers);
    let quorum = home.spec.borrow().majority();
    let (send, mut receive) = mpsc::unbounded_channel();
    for n in 0..home.servers.len() {
        let (node, home, send) = (node.clone(), home.clone(), send.clone());
        // Each order runs to its end, so that the connection of a slow server isn't closed at the end of the round.
        tokio::task::spawn_local(async move {
            if let Ok(position) = home.order(&node, n, Order::Position, ORDER_TIMEOUT).await {
                let _ = send.send(position);
            }
        });
    }
    drop(send);
    let mut answers = Vec::new();
    while let Some(position) = receive.recv().await {
        answers.push(position);
        let mark = quorum_position(&answers, quorum);
        if mark.is_some() {
            return mark;
        }
    }
    None
}

/// Returns the position of the primary of the highest reported term, if a majority reports that term.
fn quorum_position(answers: &[Position], quorum: usize) -> Option<LogPosition> {
    let term: Term = answers.iter().map(|p| p.term).max()?;
    let count = answers.iter().filter(|p| p.term == term).count();
    let primary = answers.iter().find(|p| p.role == Role::Primary && p.term == term)?;
    (count >= quorum).then_some(LogPosition { term, lsn: primary.received.lsn })
}
