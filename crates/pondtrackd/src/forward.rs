//! Selection of a home and forwarding of requests to it.

use {
    crate::{home::exec, node::Node, peers::LinkError},
    pondtrack_core::Time,
    pondtrack_proto::{Class, Name, Outcome, PeerMsg, Reply, Request, ServedBy, TxnState},
    std::{rc::Rc, time::Duration},
    tokio::time::timeout,
};

/// Retry delay given to callers when no home could run the request, in milliseconds.
const RETRY_MS: u32 = 250;

/// Reply and the home it comes from.
pub struct ForwardedReply {
    /// The reply.
    pub reply: Reply,
    /// The home; none if no home replied.
    pub home: Option<Name>,
}

/// Runs a batch outside a transaction at one of the group's homes and retries at the others, own zone
/// first, until the deadline. `on_attempt` is called with each home before the request is sent to it.
pub async fn send(node: &Rc<Node>, mut req: Request, on_attempt: &dyn Fn(&Name)) -> ForwardedReply {
    let deadline = node.now() + Time::from(req.left_ms);
    let mut reason = Name::from("the group has no home instance");
    loop {
        for home in candidates(node, &req.group) {
            let left = deadline.saturating_sub(node.now());
            if left == 0 {
                return not_run(req.id, reason, RETRY_MS);
            }
            req.id = node.next_id();
            req.left_ms = left as u32;
            on_attempt(&home);
            match dispatch(node, &home, req.clone()).await {
                // Another home may reach the primary, or may still be a home of the group.
                Ok(Reply { outcome: Outcome::NotRun { reason: new_reason, retry_ms: 0 }, .. }) => {
                    reason = new_reason
                }
                Ok(reply) => return ForwardedReply { reply, home: Some(home) },
                Err(LinkError { maybe_sent: false }) => {
                    reason = format!("the home {home} can't be reached").into()
                }
                Err(LinkError { maybe_sent: true }) => {
                    reason = format!("the link to the home {home} was lost").into();
                    if !is_retryable(&req) {
                        return unknown(req.id, reason);
                    }
                }
            }
        }
        // All homes were tried. Members, or the servers that they reach, may change soon, so the next round
        // starts after a change of members or groups, or after 100 ms.
        let changed = node.changed.notified();
        let left = deadline.saturating_sub(node.now());
        if left == 0 {
            return not_run(req.id, reason, RETRY_MS);
        }
        let _ = timeout(Duration::from_millis(left.min(100)), changed).await;
    }
}

/// Runs a batch of an open transaction at the home that holds the transaction's connection; never retries.
pub async fn send_pinned(node: &Rc<Node>, mut req: Request, home: &Name) -> ForwardedReply {
    req.id = node.next_id();
    let (id, commits) = (req.id, req.class == Class::Commit);
    match dispatch(node, home, req).await {
        Ok(reply) => ForwardedReply { reply, home: Some(home.clone()) },
        Err(LinkError { maybe_sent: true }) if commits => {
            unknown(id, format!("the link to the home {home} was lost").into())
        }
        // The home rolls back a transaction whose link is lost before the commit.
        Err(_) => not_run(id, format!("the link to the home {home} was lost").into(), RETRY_MS),
    }
}

/// Closes a session's stream at the home that holds its transaction, which is rolled back.
pub fn close_stream(node: &Rc<Node>, stream: u64, home: &Name) {
    if *home != node.name {
        node.peers.send(node, home, &PeerMsg::Close { stream });
        return;
    }
    let id = (node.name.clone(), stream);
    for home in node.homes.borrow().clone() {
        home.close_stream(&id);
    }
}

/// Cancels the running batch of a session at a home.
pub fn cancel_stream(node: &Rc<Node>, stream: u64, home: &Name) {
    if *home != node.name {
        node.peers.send(node, home, &PeerMsg::Cancel { stream });
        return;
    }
    let id = (node.name.clone(), stream);
    for home in node.homes.borrow().clone() {
        home.cancel(&id);
    }
}

/// Returns the homes of a group in the order of attempts; homes whose links broke recently come last.
fn candidates(node: &Rc<Node>, group: &Name) -> Vec<Name> {
    let Some(spec) = node.group(group) else { return Vec::new() };
    let now = node.now();
    let mut homes = node.placement(&spec).by_proximity.clone();
    homes.sort_by_key(|home| node.peers.recently_failed(now, home));
    homes
}

/// Runs a request at a home, locally or over the link to its instance.
async fn dispatch(node: &Rc<Node>, home: &Name, req: Request) -> Result<Reply, LinkError> {
    if *home != node.name {
        return node.peers.forward(node, home, req).await;
    }
    match node.home(&req.group) {
        Some(local) => Ok(Box::pin(exec::execute(node, &local, &node.name, req)).await),
        None => Err(LinkError { maybe_sent: false }),
    }
}

/// Returns true if a request may be retried after its reply was lost.
fn is_retryable(req: &Request) -> bool {
    match req.class {
        Class::Read => true,
        Class::Write => req.key.is_some(),
        // A transaction that has only begun has changed nothing.
        Class::Begin | Class::Rollback => true,
        Class::Commit => false,
    }
}

fn not_run(id: u64, reason: Name, retry_ms: u32) -> ForwardedReply {
    without_frames(id, Outcome::NotRun { reason, retry_ms })
}

fn unknown(id: u64, reason: Name) -> ForwardedReply {
    without_frames(id, Outcome::Unknown { reason })
}

/// Builds a reply without messages from the upstream.
fn without_frames(id: u64, outcome: Outcome) -> ForwardedReply {
    let reply = Reply {
        id,
        outcome,
        mark: pondtrack_proto::LogPosition::default(),
        txn: TxnState::Idle,
        served: ServedBy::None,
        frames: Vec::new(),
    };
    ForwardedReply { reply, home: None }
}
