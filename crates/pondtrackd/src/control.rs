//! JSON-RPC server for operators.

use {
    crate::{node::Node, planner},
    jsonrpsee::{
        core::{RpcResult, async_trait},
        server::Server,
        types::ErrorObjectOwned,
    },
    pondtrack_edge::operator::{OperatorServer, code},
    pondtrack_proto::{
        Decision, GroupStatus, InstanceStatus, Intent, MemberState, MemberStatus, Name, OperatorQuery,
        PeerMsg, Plan,
    },
    std::{net::SocketAddr, rc::Rc, time::Duration},
    tokio::sync::{mpsc, oneshot},
};

/// Timeout of a query to other instances.
const QUERY_TIMEOUT: Duration = Duration::from_millis(600);
/// Maximum number of other instances queried for one request.
const MAX_FANOUT: usize = 64;

/// The error of an operator's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorError {
    /// The request is invalid in the current state.
    Refused(String),
    /// A concurrent change conflicts with the request.
    Conflict(String),
    /// The platform is required but unavailable.
    Unavailable(String),
}

/// A request of an operator, with the channel for the response.
enum Command {
    Status(oneshot::Sender<Vec<InstanceStatus>>),
    Report(oneshot::Sender<InstanceStatus>),
    Propose(Name, Intent, oneshot::Sender<Result<Plan, OperatorError>>),
    Confirm(Name, Name, oneshot::Sender<Result<Plan, OperatorError>>),
    Abort(Name, Name, oneshot::Sender<Result<Plan, OperatorError>>),
    Plans(Option<Name>, oneshot::Sender<Result<Vec<Plan>, OperatorError>>),
    Explain(Option<Name>, oneshot::Sender<Vec<Decision>>),
}

/// RPC handler. Its methods are called from any thread and send their commands to the instance's own thread.
struct RpcHandler(mpsc::Sender<Command>);

/// Starts the server for operators and returns its local address.
///
/// # Errors
///
/// Returns an error if the server can't listen on the address.
pub async fn serve(node: Rc<Node>, listen: SocketAddr) -> std::io::Result<SocketAddr> {
    let server = Server::builder().build(listen).await.map_err(std::io::Error::other)?;
    let addr = server.local_addr()?;
    let (sender, receiver) = mpsc::channel(64);
    let handle = server.start(RpcHandler(sender).into_rpc());
    tokio::task::spawn_local(async move {
        handle_commands(node, receiver).await;
        drop(handle);
    });
    Ok(addr)
}

async fn handle_commands(node: Rc<Node>, mut commands: mpsc::Receiver<Command>) {
    while let Some(command) = commands.recv().await {
        let node = node.clone();
        tokio::task::spawn_local(async move {
            match command {
                Command::Status(tx) => drop(tx.send(status(&node).await)),
                Command::Report(tx) => drop(tx.send(report(&node))),
                Command::Propose(operator, intent, tx) => {
                    drop(tx.send(planner::propose(&node, operator, intent).await))
                }
                Command::Confirm(op, plan, tx) => drop(tx.send(planner::confirm(&node, &op, &plan).await)),
                Command::Abort(op, plan, tx) => drop(tx.send(planner::abort(&node, &op, &plan).await)),
                Command::Plans(plan, tx) => drop(tx.send(planner::list(&node, plan.as_ref()).await)),
                Command::Explain(subject, tx) => drop(tx.send(explain(&node, subject).await)),
            }
        });
    }
}

impl RpcHandler {
    async fn call<T>(&self, make: impl FnOnce(oneshot::Sender<T>) -> Command) -> RpcResult<T> {
        let (tx, rx) = oneshot::channel();
        let closed = || rpc_error(code::UNAVAILABLE, "the instance is ending");
        self.0.send(make(tx)).await.map_err(|_| closed())?;
        rx.await.map_err(|_| closed())
    }

    async fn try_call<T>(
        &self,
        make: impl FnOnce(oneshot::Sender<Result<T, OperatorError>>) -> Command,
    ) -> RpcResult<T> {
        self.call(make).await?.map_err(|e| match e {
            OperatorError::Refused(text) => rpc_error(code::REFUSED, &text),
            OperatorError::Conflict(text) => rpc_error(code::RACED, &text),
            OperatorError::Unavailable(text) => rpc_error(code::UNAVAILABLE, &text),
        })
    }
}

fn rpc_error(code: i32, text: &str) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(code, text, None::<()>)
}

#[async_trait]
impl OperatorServer for RpcHandler {
    async fn status(&self) -> RpcResult<Vec<InstanceStatus>> {
        self.call(Command::Status).await
    }

    async fn report(&self) -> RpcResult<InstanceStatus> {
        self.call(Command::Report).await
    }

    async fn propose(&self, operator: Name, intent: Intent) -> RpcResult<Plan> {
        self.try_call(|tx| Command::Propose(operator, intent, tx)).await
    }

    async fn confirm(&self, operator: Name, plan: Name) -> RpcResult<Plan> {
        self.try_call(|tx| Command::Confirm(operator, plan, tx)).await
    }

    async fn abort(&self, operator: Name, plan: Name) -> RpcResult<Plan> {
        self.try_call(|tx| Command::Abort(operator, plan, tx)).await
    }

    async fn plans(&self, plan: Option<Name>) -> RpcResult<Vec<Plan>> {
        self.try_call(|tx| Command::Plans(plan, tx)).await
    }

    async fn explain(&self, subject: Option<Name>) -> RpcResult<Vec<Decision>> {
        self.call(|tx| Command::Explain(subject, tx)).await
    }
}

/// Returns the status of this instance.
pub fn report(node: &Rc<Node>) -> InstanceStatus {
    let members = node.members.borrow();
    let all = std::iter::once(&members.local).chain(members.others());
    let member = |m: &pondtrack_proto::MemberView| MemberStatus {
        name: m.name.clone(),
        zone: m.zone.clone(),
        state: m.state,
        incarnation: m.incarnation,
    };
    let mut list: Vec<MemberStatus> = all.map(member).collect();
    list.sort_by(|a, b| a.name.cmp(&b.name));
    drop(members);
    InstanceStatus {
        name: node.name.clone(),
        zone: node.zone.clone(),
        leaving: node.leaving.get(),
        sessions: node.sessions.len() as u32,
        members: list,
        groups: group_statuses(node),
        counters: node.counters.all(),
    }
}

/// Returns the status of each configured group; a group without a home on this instance has no server entries.
fn group_statuses(node: &Rc<Node>) -> Vec<GroupStatus> {
    let groups = node.groups.borrow().clone();
    let status = |(spec, version): &(Rc<pondtrack_proto::GroupSpec>, u64)| {
        let homes = node.placement(spec).homes.clone();
        match node.home(&spec.name) {
            Some(home) => home.status(node, homes),
            None => GroupStatus {
                name: spec.name.clone(),
                version: *version,
                homes,
                servers: Vec::new(),
                queued: 0,
                grants: 0,
            },
        }
    };
    groups.iter().map(status).collect()
}

/// Returns the other instances to query: members not considered dead, at most [`MAX_FANOUT`].
fn query_targets(node: &Node) -> Vec<Name> {
    let members = node.members.borrow();
    let live = members.others().iter().filter(|m| m.state != MemberState::Dead);
    live.take(MAX_FANOUT).map(|m| m.name.clone()).collect()
}

/// Queries other instances concurrently and returns the responses that arrive in time.
async fn query_all<T: serde::de::DeserializeOwned>(node: &Rc<Node>, question: OperatorQuery) -> Vec<T> {
    let query = |name: Name| {
        let (node, question) = (node.clone(), question.clone());
        async move {
            let make = |id| PeerMsg::Query { id, question };
            match node.peers.request(&node, &name, make, QUERY_TIMEOUT).await {
                Some(PeerMsg::QueryReply { json, .. }) => serde_json::from_str(&json).ok(),
                _ => None,
            }
        }
    };
    let queries = query_targets(node).into_iter().map(query);
    futures::future::join_all(queries).await.into_iter().flatten().collect()
}

/// Returns the status of this instance and of the instances that respond in time, sorted by name.
pub async fn status(node: &Rc<Node>) -> Vec<InstanceStatus> {
    let mut statuses = vec![report(node)];
    statuses.extend(query_all::<InstanceStatus>(node, OperatorQuery::Status).await);
    statuses.sort_by(|a, b| a.name.cmp(&b.name));
    statuses
}

/// Returns the decisions about a subject, or all if `None`, from all instances that respond in time, sorted by time.
async fn explain(node: &Rc<Node>, subject: Option<Name>) -> Vec<Decision> {
    let mut decisions = node.journal.borrow().by_subject(subject.as_ref());
    decisions.extend(
        query_all::<Vec<Decision>>(node, OperatorQuery::Explain { subject }).await.into_iter().flatten(),
    );
    decisions.sort_by_key(|d| d.at_ms);
    decisions
}
