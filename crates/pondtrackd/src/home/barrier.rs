//! Rounds that ask a majority for the term and the primary for its position.
//!
//! A session that may have written elsewhere needs all that was acknowledged before it began. One round,
//! begun after its arrival, tells: if a majority still names the primary's term, nothing was
//! acknowledged in a higher one, and the primary's position covers everything before. Sessions that
//! arrive while a round is out share the next one.

use {
    super::{Home, ORDER_TIMEOUT},
    crate::{node::Node, telemetry::Count},
    pondtrack_edge::contract::{Order, Position, Role},
    pondtrack_proto::{LogPosition, Term},
    std::{cell::RefCell, rc::Rc},
    tokio::sync::{mpsc, oneshot},
};

/// The rounds of one group.
#[derive(Default)]
pub struct Barrier {
    running: RefCell<bool>,
    waiting: RefCell<Vec<oneshot::Sender<Option<LogPosition>>>>,
}

/// The position that covers all that was acknowledged before the call; none when no majority answers.
pub async fn wait(node: &Rc<Node>, home: &Rc<Home>) -> Option<LogPosition> {
    let (send, receive) = oneshot::channel();
    home.barrier.waiting.borrow_mut().push(send);
    if !*home.barrier.running.borrow() {
        *home.barrier.running.borrow_mut() = true;
        tokio::task::spawn_local(rounds(node.clone(), home.clone()));
    }
    receive.await.ok().flatten()
}

async fn rounds(node: Rc<Node>, home: Rc<Home>) {
    loop {
        // Only those that wait already may share the round that begins now.
        let waiting: Vec<_> = home.barrier.waiting.borrow_mut().drain(..).collect();
        if waiting.is_empty() {
            *home.barrier.running.borrow_mut() = false;
            return;
        }
        let mark = run_round(&node, &home).await;
        for it in waiting {
            let _ = it.send(mark);
        }
    }
}

/// One round.
async fn run_round(node: &Rc<Node>, home: &Rc<Home>) -> Option<LogPosition> {
    node.count(Count::Barriers);
    let quorum = home.spec.borrow().majority();
    let (send, mut receive) = mpsc::unbounded_channel();
    for n in 0..home.servers.len() {
        let (node, home, send) = (node.clone(), home.clone(), send.clone());
        // Each question runs to its end, so that a slow server's connection is not lost with the round.
        tokio::task::spawn_local(async move {
            if let Ok(it) = home.order(&node, n, Order::Position, ORDER_TIMEOUT).await {
                let _ = send.send(it);
            }
        });
    }
    drop(send);
    let mut answers = Vec::new();
    while let Some(it) = receive.recv().await {
        answers.push(it);
        let mark = judge(&answers, quorum);
        if mark.is_some() {
            return mark;
        }
    }
    None
}

/// The position shown by the primary of a term that a majority names.
fn judge(answers: &[Position], quorum: usize) -> Option<LogPosition> {
    let term: Term = answers.iter().map(|it| it.term).max()?;
    let agree = answers.iter().filter(|it| it.term == term).count();
    let primary = answers.iter().find(|it| it.role == Role::Primary && it.term == term)?;
    (agree >= quorum).then_some(LogPosition { term, lsn: primary.received.lsn })
}
