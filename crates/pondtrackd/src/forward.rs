//! Choosing a home and passing requests on.

use {
    crate::{home::exec, node::Node, peers::LinkError},
    pondtrack_core::Time,
    pondtrack_proto::{Class, Name, Outcome, PeerMsg, Reply, Request, ServedBy, TxnState},
    std::{rc::Rc, time::Duration},
    tokio::time::timeout,
};

/// When to come back after no home was found, in milliseconds.
const RETRY_MS: u32 = 250;

/// A reply, and the home it comes from.
pub struct Forwarded {
    /// The reply.
    pub reply: Reply,
    /// The home.
    pub home: Option<Name>,
}

/// Runs a batch outside a transaction at one of the group's homes, the nearest first.
pub async fn send(node: &Rc<Node>, mut req: Request, at: &dyn Fn(&Name)) -> Forwarded {
    let deadline = node.now() + Time::from(req.left_ms);
    let mut reason = Name::from("the group has no home instance");
    loop {
        for home in homes(node, &req.group) {
            let left = deadline.saturating_sub(node.now());
            if left == 0 {
                return not_run(req.id, reason, RETRY_MS);
            }
            req.id = node.next_id();
            req.left_ms = left as u32;
            at(&home);
            match pass(node, &home, req.clone()).await {
                // Another home may reach the primary, or still be one.
                Ok(Reply { outcome: Outcome::NotRun { reason: why, retry_ms: 0 }, .. }) => reason = why,
                Ok(reply) => return Forwarded { reply, home: Some(home) },
                Err(LinkError { maybe_sent: false }) => {
                    reason = format!("the home {home} can't be reached").into()
                }
                Err(LinkError { maybe_sent: true }) => {
                    reason = format!("the link to the home {home} was lost").into();
                    if !is_repeatable(&req) {
                        return unknown(req.id, reason);
                    }
                }
            }
        }
        // Every home was tried: members, or what they reach, may be about to change.
        let changed = node.changed.notified();
        let left = deadline.saturating_sub(node.now());
        if left == 0 {
            return not_run(req.id, reason, RETRY_MS);
        }
        let _ = timeout(Duration::from_millis(left.min(100)), changed).await;
    }
}

/// Runs a batch of an open transaction at the home that has it.
pub async fn send_pinned(node: &Rc<Node>, mut req: Request, home: &Name) -> Forwarded {
    req.id = node.next_id();
    let (id, commits) = (req.id, req.class == Class::Commit);
    match pass(node, home, req).await {
        Ok(reply) => Forwarded { reply, home: Some(home.clone()) },
        Err(LinkError { maybe_sent: true }) if commits => {
            unknown(id, format!("the link to the home {home} was lost").into())
        }
        // Without a commit the home rolls back what a lost link leaves open.
        Err(_) => not_run(id, format!("the link to the home {home} was lost").into(), RETRY_MS),
    }
}

/// Ends a session at the home that has its transaction.
pub fn close(node: &Rc<Node>, stream: u64, home: &Name) {
    if *home != node.name {
        node.peers.send(node, home, &PeerMsg::Close { stream });
        return;
    }
    let id = (node.name.clone(), stream);
    for it in node.homes.borrow().clone() {
        it.close_stream(&id);
    }
}

/// Cancels what a session runs at a home.
pub fn cancel(node: &Rc<Node>, stream: u64, home: &Name) {
    if *home != node.name {
        node.peers.send(node, home, &PeerMsg::Cancel { stream });
        return;
    }
    let id = (node.name.clone(), stream);
    for it in node.homes.borrow().clone() {
        it.cancel(&id);
    }
}

/// The homes in the order in which they are tried; those whose links broke lately come last.
fn homes(node: &Rc<Node>, group: &Name) -> Vec<Name> {
    let Some(spec) = node.group(group) else { return Vec::new() };
    let now = node.now();
    let mut out = node.placement(&spec).by_proximity.clone();
    out.sort_by_key(|it| node.peers.recently_failed(now, it));
    out
}

async fn pass(node: &Rc<Node>, home: &Name, req: Request) -> Result<Reply, LinkError> {
    if *home != node.name {
        return node.peers.forward(node, home, req).await;
    }
    match node.home(&req.group) {
        Some(it) => Ok(Box::pin(exec::execute(node, &it, &node.name, req)).await),
        None => Err(LinkError { maybe_sent: false }),
    }
}

/// Whether a request may be sent again after its reply was lost.
fn is_repeatable(req: &Request) -> bool {
    match req.class {
        Class::Read => true,
        Class::Write => req.key.is_some(),
        // A transaction that was only begun leaves nothing behind.
        Class::Begin | Class::Rollback => true,
        Class::Commit => false,
    }
}

fn not_run(id: u64, reason: Name, retry_ms: u32) -> Forwarded {
    without_answer(id, Outcome::NotRun { reason, retry_ms })
}

fn unknown(id: u64, reason: Name) -> Forwarded {
    without_answer(id, Outcome::Unknown { reason })
}

fn without_answer(id: u64, outcome: Outcome) -> Forwarded {
    let reply = Reply {
        id,
        outcome,
        mark: pondtrack_proto::LogPosition::default(),
        txn: TxnState::Idle,
        served: ServedBy::None,
        frames: Vec::new(),
    };
    Forwarded { reply, home: None }
}
