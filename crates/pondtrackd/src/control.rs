//! The operator's interface.

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

/// Time for the answers of other instances.
const ASK_LIMIT: Duration = Duration::from_millis(600);
/// Most instances asked for one question.
const ASKED: usize = 64;

/// Why an operator's request fails.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorError {
    /// It makes no sense as it stands.
    Refused(String),
    /// Something changed meanwhile.
    Conflict(String),
    /// The platform is needed and doesn't answer.
    Unavailable(String),
}

/// What an operator asks.
enum Call {
    Status(oneshot::Sender<Vec<InstanceStatus>>),
    Report(oneshot::Sender<InstanceStatus>),
    Propose(Name, Intent, oneshot::Sender<Result<Plan, OperatorError>>),
    Confirm(Name, Name, oneshot::Sender<Result<Plan, OperatorError>>),
    Abort(Name, Name, oneshot::Sender<Result<Plan, OperatorError>>),
    Plans(Option<Name>, oneshot::Sender<Result<Vec<Plan>, OperatorError>>),
    Explain(Option<Name>, oneshot::Sender<Vec<Decision>>),
}

/// The server's methods may be called from anywhere; they hand their calls to the instance's loop.
struct Front(mpsc::Sender<Call>);

/// Serves operators; hands back the address.
pub async fn serve(node: Rc<Node>, listen: SocketAddr) -> std::io::Result<SocketAddr> {
    let server = Server::builder().build(listen).await.map_err(std::io::Error::other)?;
    let addr = server.local_addr()?;
    let (send, receive) = mpsc::channel(64);
    let handle = server.start(Front(send).into_rpc());
    tokio::task::spawn_local(async move {
        work(node, receive).await;
        drop(handle);
    });
    Ok(addr)
}

async fn work(node: Rc<Node>, mut calls: mpsc::Receiver<Call>) {
    while let Some(call) = calls.recv().await {
        let node = node.clone();
        tokio::task::spawn_local(async move {
            match call {
                Call::Status(send) => drop(send.send(status(&node).await)),
                Call::Report(send) => drop(send.send(report(&node))),
                Call::Propose(who, intent, send) => {
                    drop(send.send(planner::propose(&node, who, intent).await))
                }
                Call::Confirm(who, plan, send) => drop(send.send(planner::confirm(&node, &who, &plan).await)),
                Call::Abort(who, plan, send) => drop(send.send(planner::abort(&node, &who, &plan).await)),
                Call::Plans(plan, send) => drop(send.send(planner::list(&node, plan.as_ref()).await)),
                Call::Explain(subject, send) => drop(send.send(explain(&node, subject).await)),
            }
        });
    }
}

impl Front {
    async fn ask<T>(&self, make: impl FnOnce(oneshot::Sender<T>) -> Call) -> RpcResult<T> {
        let (send, receive) = oneshot::channel();
        let gone = || error(code::UNAVAILABLE, "the instance is ending");
        self.0.send(make(send)).await.map_err(|_| gone())?;
        receive.await.map_err(|_| gone())
    }

    async fn try_ask<T>(
        &self,
        make: impl FnOnce(oneshot::Sender<Result<T, OperatorError>>) -> Call,
    ) -> RpcResult<T> {
        self.ask(make).await?.map_err(|e| match e {
            OperatorError::Refused(text) => error(code::REFUSED, &text),
            OperatorError::Conflict(text) => error(code::RACED, &text),
            OperatorError::Unavailable(text) => error(code::UNAVAILABLE, &text),
        })
    }
}

fn error(code: i32, text: &str) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(code, text, None::<()>)
}

#[async_trait]
impl OperatorServer for Front {
    async fn status(&self) -> RpcResult<Vec<InstanceStatus>> {
        self.ask(Call::Status).await
    }

    async fn report(&self) -> RpcResult<InstanceStatus> {
        self.ask(Call::Report).await
    }

    async fn propose(&self, operator: Name, intent: Intent) -> RpcResult<Plan> {
        self.try_ask(|send| Call::Propose(operator, intent, send)).await
    }

    async fn confirm(&self, operator: Name, plan: Name) -> RpcResult<Plan> {
        self.try_ask(|send| Call::Confirm(operator, plan, send)).await
    }

    async fn abort(&self, operator: Name, plan: Name) -> RpcResult<Plan> {
        self.try_ask(|send| Call::Abort(operator, plan, send)).await
    }

    async fn plans(&self, plan: Option<Name>) -> RpcResult<Vec<Plan>> {
        self.try_ask(|send| Call::Plans(plan, send)).await
    }

    async fn explain(&self, subject: Option<Name>) -> RpcResult<Vec<Decision>> {
        self.ask(|send| Call::Explain(subject, send)).await
    }
}

/// This instance's own report.
pub fn report(node: &Rc<Node>) -> InstanceStatus {
    let members = node.members.borrow();
    let own = std::iter::once(&members.local).chain(members.others());
    let member = |it: &pondtrack_proto::MemberView| MemberStatus {
        name: it.name.clone(),
        zone: it.zone.clone(),
        state: it.state,
        incarnation: it.incarnation,
    };
    let mut list: Vec<MemberStatus> = own.map(member).collect();
    list.sort_by(|a, b| a.name.cmp(&b.name));
    drop(members);
    InstanceStatus {
        name: node.name.clone(),
        zone: node.zone.clone(),
        leaving: node.leaving.get(),
        sessions: node.sessions.len() as u32,
        members: list,
        groups: groups(node),
        counters: node.counters.all(),
    }
}

fn groups(node: &Rc<Node>) -> Vec<GroupStatus> {
    let all = node.groups.borrow().clone();
    let one = |(spec, version): &(Rc<pondtrack_proto::GroupSpec>, u64)| {
        let homes = node.placement(spec).homes.clone();
        match node.home(&spec.name) {
            Some(it) => it.status(node, homes),
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
    all.iter().map(one).collect()
}

/// The other instances that may be asked.
fn others(node: &Node) -> Vec<Name> {
    let members = node.members.borrow();
    let open = members.others().iter().filter(|it| it.state != MemberState::Dead);
    open.take(ASKED).map(|it| it.name.clone()).collect()
}

async fn ask_all<T: serde::de::DeserializeOwned>(node: &Rc<Node>, question: OperatorQuery) -> Vec<T> {
    let one = |name: Name| {
        let (node, question) = (node.clone(), question.clone());
        async move {
            let make = |id| PeerMsg::Query { id, question };
            match node.peers.request(&node, &name, make, ASK_LIMIT).await {
                Some(PeerMsg::QueryReply { json, .. }) => serde_json::from_str(&json).ok(),
                _ => None,
            }
        }
    };
    let asks = others(node).into_iter().map(one);
    futures::future::join_all(asks).await.into_iter().flatten().collect()
}

/// The reports of this instance and of those that answer in time.
pub async fn status(node: &Rc<Node>) -> Vec<InstanceStatus> {
    let mut out = vec![report(node)];
    out.extend(ask_all::<InstanceStatus>(node, OperatorQuery::Status).await);
    out.sort_by(|a, b| a.name.cmp(&b.name));
    out
}

async fn explain(node: &Rc<Node>, subject: Option<Name>) -> Vec<Decision> {
    let mut out = node.journal.borrow().by_subject(subject.as_ref());
    out.extend(
        ask_all::<Vec<Decision>>(node, OperatorQuery::Explain { subject }).await.into_iter().flatten(),
    );
    out.sort_by_key(|it| it.at_ms);
    out
}
