//! Connections (links) between instances.
//!
//! Each instance opens one link to each peer that it sends messages to. Requests are multiplexed on the link, and
//! replies arrive in any order and are matched by request id. A reply without a pending request is dropped and
//! counted. While requests run, the receiving peer sends heartbeats, so that a broken link can be distinguished from
//! a long-running statement.

use {
    crate::{entry, home::exec, node::Node, telemetry::Count},
    bytes::Bytes,
    futures::{SinkExt, StreamExt},
    pondtrack_core::Time,
    pondtrack_edge::{
        contract::{Order, Role},
        link::{self, LinkReader, LinkWriter},
    },
    pondtrack_proto::{Name, OperatorQuery, Outcome, PeerMsg, Reply, Request, ServedBy, TxnState},
    std::{
        cell::{Cell, RefCell},
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
    tokio::{
        net::{TcpListener, TcpStream},
        sync::{mpsc, oneshot},
        time::{interval, sleep, timeout},
    },
};

/// Timeout for opening a link.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Capacity of the send queue of a link, in messages.
const SEND_QUEUE_LEN: usize = 8_192;
/// Interval between two heartbeats while requests run.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
/// Idle time after which a link with pending requests is closed, in milliseconds.
const IDLE_TIMEOUT: Time = 700;
/// Timeout for the primary's response when another home probes the primary through this instance.
const PROBE_TIMEOUT: Duration = Duration::from_millis(120);
/// Time that a peer is tried last after its link failed, in milliseconds.
const FAILURE_PENALTY: Time = 2_000;

/// The error of a request that received no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkError {
    /// Set if the peer may have received the request.
    pub maybe_sent: bool,
}

type Response = Result<PeerMsg, LinkError>;

struct PendingRequest {
    id: u64,
    link: u64,
    sender: oneshot::Sender<Response>,
}

#[derive(Clone)]
struct Link {
    peer: Name,
    id: u64,
    sender: mpsc::Sender<Bytes>,
    connected: Rc<Cell<bool>>,
    last_contact: Rc<Cell<Time>>,
}

/// Outgoing links of an instance and their pending requests.
#[derive(Default)]
pub struct Peers {
    links: RefCell<Vec<Link>>,
    pending: RefCell<Vec<PendingRequest>>,
    failed: RefCell<Vec<(Name, Time)>>,
}

impl Peers {
    /// Returns true if the link to a peer failed a short time ago.
    pub fn recently_failed(&self, now: Time, peer: &Name) -> bool {
        self.failed.borrow().iter().any(|f| f.0 == *peer && f.1 > now)
    }

    /// Forwards a statement to a peer and waits for the reply.
    ///
    /// # Errors
    ///
    /// Returns an error if the link fails, or if no reply arrives before the request's deadline plus the idle timeout
    /// of the link.
    pub async fn forward(&self, node: &Rc<Node>, peer: &Name, req: Request) -> Result<Reply, LinkError> {
        let id = req.id;
        let limit = Duration::from_millis(u64::from(req.left_ms) + u64::from(IDLE_TIMEOUT as u32));
        let receiver = self.enqueue(node, peer, id, &PeerMsg::Request(req))?;
        match timeout(limit, receiver).await {
            Ok(Ok(Ok(PeerMsg::Reply(reply)))) => Ok(reply),
            Ok(Ok(Err(e))) => Err(e),
            _ => {
                self.discard(id);
                Err(LinkError { maybe_sent: true })
            }
        }
    }

    /// Sends a request built by `make` from a new id. Returns the reply, or `None` on a link error or timeout.
    pub async fn request(
        &self,
        node: &Rc<Node>,
        peer: &Name,
        make: impl FnOnce(u64) -> PeerMsg,
        limit: Duration,
    ) -> Option<PeerMsg> {
        let id = node.next_id();
        let receiver = self.enqueue(node, peer, id, &make(id)).ok()?;
        let response = timeout(limit, receiver).await;
        if response.is_err() {
            self.discard(id);
        }
        response.ok()?.ok()?.ok()
    }

    /// Sends a one-way message. The message is dropped if the link is unavailable or its queue is full.
    pub fn send(&self, node: &Rc<Node>, peer: &Name, msg: &PeerMsg) {
        if let Some(link) = self.link(node, peer) {
            let _ = link.sender.try_send(link::encode(msg));
        }
    }

    fn enqueue(
        &self,
        node: &Rc<Node>,
        peer: &Name,
        id: u64,
        msg: &PeerMsg,
    ) -> Result<oneshot::Receiver<Response>, LinkError> {
        let link = self.link(node, peer).ok_or(LinkError { maybe_sent: false })?;
        let (sender, receiver) = oneshot::channel();
        if self.pending.borrow().iter().all(|p| p.link != link.id) {
            // The idle timeout starts here, as no reply was due before.
            link.last_contact.set(node.now());
        }
        self.pending.borrow_mut().push(PendingRequest { id, link: link.id, sender });
        if link.sender.try_send(link::encode(msg)).is_err() {
            self.discard(id);
            return Err(LinkError { maybe_sent: false });
        }
        Ok(receiver)
    }

    /// Returns the link to a peer, opening a new one if necessary.
    fn link(&self, node: &Rc<Node>, peer: &Name) -> Option<Link> {
        let found = self.links.borrow().binary_search_by(|l| l.peer.cmp(peer));
        if let Ok(index) = found {
            return Some(self.links.borrow()[index].clone());
        }
        let addr = node.members.borrow().get(peer)?.addr;
        let (sender, queue) = mpsc::channel(SEND_QUEUE_LEN);
        let last_contact = Rc::new(Cell::new(node.now()));
        let link =
            Link { peer: peer.clone(), id: node.next_id(), sender, connected: Rc::default(), last_contact };
        let mut links = self.links.borrow_mut();
        let index = links.partition_point(|old| old.peer < link.peer);
        links.insert(index, link.clone());
        drop(links);
        tokio::task::spawn_local(run_link(node.clone(), link.clone(), addr, queue));
        Some(link)
    }

    /// Discards a pending request.
    fn discard(&self, id: u64) {
        self.pending.borrow_mut().retain(|p| p.id != id);
    }

    /// Removes and returns a pending request.
    fn take(&self, id: u64) -> Option<PendingRequest> {
        let mut pending = self.pending.borrow_mut();
        let index = pending.iter().position(|p| p.id == id)?;
        Some(pending.swap_remove(index))
    }

    /// Removes a closed link and fails its pending requests.
    fn close(&self, node: &Node, link: &Link) {
        self.links.borrow_mut().retain(|l| l.id != link.id);
        let pending = std::mem::take(&mut *self.pending.borrow_mut());
        let (lost, rest): (Vec<_>, Vec<_>) = pending.into_iter().partition(|p| p.link == link.id);
        // Requests that were added in the meantime are kept, as they may be on other links.
        self.pending.borrow_mut().extend(rest);
        let maybe_sent = link.connected.get();
        for request in lost {
            let _ = request.sender.send(Err(LinkError { maybe_sent }));
        }
        let deadline = node.now() + FAILURE_PENALTY;
        let mut failed = self.failed.borrow_mut();
        failed.retain(|f| f.0 != link.peer);
        failed.push((link.peer.clone(), deadline));
        drop(failed);
        node.members.borrow_mut().probe_next(&link.peer);
    }

    /// Returns true if requests are pending on a link.
    fn has_pending(&self, link: u64) -> bool {
        self.pending.borrow().iter().any(|p| p.link == link)
    }
}

/// Runs an outgoing link: connects, then sends and receives messages until the link fails.
async fn run_link(node: Rc<Node>, link: Link, addr: SocketAddr, mut queue: mpsc::Receiver<Bytes>) {
    match link::connect(node.settings.bind, addr, CONNECT_TIMEOUT, &link.peer).await {
        Ok(stream) => {
            link.connected.set(true);
            link.last_contact.set(node.now());
            let (reader, mut writer) = link::halves(stream);
            let hello = link::encode(&PeerMsg::Hello { from: node.name.clone() });
            if writer.send(hello).await.is_ok() {
                tokio::select! {
                    () = write_all(writer, &mut queue) => {}
                    () = read_replies(&node, &link, reader) => {}
                    () = wait_for_idle_timeout(&node, &link) => {}
                }
            }
        }
        Err(e) => log::debug!(step = "connect", peer = link.peer.as_str(); "{e}"),
    }
    node.peers.close(&node, &link);
}

async fn write_all(mut writer: LinkWriter, queue: &mut mpsc::Receiver<Bytes>) {
    while let Some(bytes) = queue.recv().await {
        if writer.feed(bytes).await.is_err() {
            return;
        }
        while let Ok(bytes) = queue.try_recv() {
            if writer.feed(bytes).await.is_err() {
                return;
            }
        }
        if SinkExt::<Bytes>::flush(&mut writer).await.is_err() {
            return;
        }
    }
}

async fn read_replies(node: &Rc<Node>, link: &Link, mut reader: LinkReader) {
    while let Some(Ok(bytes)) = reader.next().await {
        link.last_contact.set(node.now());
        let msg = match link::decode(&bytes, &link.peer) {
            Ok(msg) => msg,
            Err(e) => {
                log::warn!(step = "decode", peer = link.peer.as_str(); "{e}");
                return;
            }
        };
        let id = match &msg {
            PeerMsg::Reply(reply) => reply.id,
            PeerMsg::ProbePrimaryReply { id, .. }
            | PeerMsg::WritesPaused { id, .. }
            | PeerMsg::QueryReply { id, .. }
            | PeerMsg::ReserveTermsReply { id, .. } => *id,
            _ => continue,
        };
        match node.peers.take(id) {
            Some(request) => {
                let _ = request.sender.send(Ok(msg));
            }
            None => node.count(Count::Unmatched),
        }
    }
}

/// Returns when a link with pending requests has exceeded the idle timeout.
async fn wait_for_idle_timeout(node: &Rc<Node>, link: &Link) {
    let mut last_check = node.now();
    loop {
        sleep(Duration::from_millis(100)).await;
        let now = node.now();
        if now.saturating_sub(last_check) > IDLE_TIMEOUT / 2 {
            // This process was paused, so messages that arrived in the meantime haven't been read yet.
            link.last_contact.set(now);
        }
        last_check = now;
        if node.peers.has_pending(link.id) && now.saturating_sub(link.last_contact.get()) > IDLE_TIMEOUT {
            log::warn!(step = "receive", peer = link.peer.as_str(); "link closed: idle with pending requests");
            return;
        }
    }
}

/// Accepts links from other instances.
pub async fn serve(node: Rc<Node>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let _ = stream.set_nodelay(true);
                tokio::task::spawn_local(serve_link(node.clone(), stream));
            }
            Err(e) => {
                log::warn!(step = "accept"; "{e}");
                sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

/// Serves an incoming link until the link is closed.
async fn serve_link(node: Rc<Node>, stream: TcpStream) {
    let (mut reader, writer) = link::halves(stream);
    let unknown = Name::from("unknown");
    let first = timeout(CONNECT_TIMEOUT * 10, reader.next()).await;
    let Ok(Some(Ok(bytes))) = first else { return };
    let Ok(PeerMsg::Hello { from }) = link::decode(&bytes, &unknown) else {
        log::warn!(step = "startup", peer = "unknown"; "rejected a link: the first message is not a hello");
        return;
    };
    // Streams are scoped to their link, so that transactions left open by a closed link are rolled back.
    let origin = Name::from(format!("{from}/{}", node.next_id()));
    let (sender, mut queue) = mpsc::channel(SEND_QUEUE_LEN);
    let running = Rc::new(Cell::new(0u32));
    tokio::select! {
        () = write_all(writer, &mut queue) => {}
        () = read_requests(&node, &from, &origin, reader, &sender, &running) => {}
        () = send_heartbeats(&sender, &running) => {}
    }
    for home in node.homes.borrow().clone() {
        home.close_streams_of(&origin);
    }
}

/// Sends heartbeats while requests run.
async fn send_heartbeats(sender: &mpsc::Sender<Bytes>, running: &Rc<Cell<u32>>) {
    let mut ticker = interval(HEARTBEAT_INTERVAL);
    loop {
        ticker.tick().await;
        if running.get() > 0 {
            let _ = sender.try_send(link::encode(&PeerMsg::KeepAlive));
        }
    }
}

async fn read_requests(
    node: &Rc<Node>,
    from: &Name,
    origin: &Name,
    mut reader: LinkReader,
    sender: &mpsc::Sender<Bytes>,
    running: &Rc<Cell<u32>>,
) {
    while let Some(Ok(bytes)) = reader.next().await {
        match link::decode(&bytes, from) {
            Ok(msg) => handle(node, origin, msg, sender, running),
            Err(e) => {
                log::warn!(step = "decode", peer = from.as_str(); "{e}");
                return;
            }
        }
    }
}

/// Handles a message from another instance. Replies are queued on `sender`.
fn handle(
    node: &Rc<Node>,
    origin: &Name,
    msg: PeerMsg,
    sender: &mpsc::Sender<Bytes>,
    running: &Rc<Cell<u32>>,
) {
    match msg {
        PeerMsg::Request(req) => {
            running.set(running.get() + 1);
            let (node, origin, sender, running) =
                (node.clone(), origin.clone(), sender.clone(), running.clone());
            tokio::task::spawn_local(async move {
                let reply = serve_request(&node, &origin, req).await;
                running.set(running.get() - 1);
                let _ = sender.send(link::encode(&PeerMsg::Reply(reply))).await;
            });
        }
        PeerMsg::Close { stream } => {
            let id = (origin.clone(), stream);
            for home in node.homes.borrow().iter() {
                home.close_stream(&id);
            }
        }
        PeerMsg::Cancel { stream } => {
            let id = (origin.clone(), stream);
            for home in node.homes.borrow().iter() {
                home.cancel(&id);
            }
        }
        PeerMsg::CancelFor { pid, secret } => entry::cancel_local(node, pid, secret),
        PeerMsg::ProbePrimary { id, group } => {
            let (node, sender) = (node.clone(), sender.clone());
            tokio::task::spawn_local(async move {
                let reply = probe_primary(&node, id, &group).await;
                let _ = sender.send(link::encode(&reply)).await;
            });
        }
        PeerMsg::PauseWrites { id, group, ms } => {
            let (node, sender) = (node.clone(), sender.clone());
            tokio::task::spawn_local(async move {
                let open = pause_writes(&node, &group, ms).await;
                let _ = sender.send(link::encode(&PeerMsg::WritesPaused { id, open })).await;
            });
        }
        PeerMsg::ResumeWrites { group } => resume_writes(node, &group),
        PeerMsg::Query { id, question } => {
            let json = answer_query(node, &question);
            let _ = sender.try_send(link::encode(&PeerMsg::QueryReply { id, json }));
        }
        PeerMsg::ReserveTerms { id, group, known } => {
            // The terms are removed from this home before the reply is sent. A lost reply wastes the terms, but no two
            // homes can own the same term.
            let block =
                node.home(&group).and_then(|h| h.term_pool.borrow_mut().split_off(known.max(h.term())));
            let _ = sender.try_send(link::encode(&PeerMsg::ReserveTermsReply { id, block }));
        }
        PeerMsg::Hello { .. }
        | PeerMsg::Reply(_)
        | PeerMsg::KeepAlive
        | PeerMsg::ProbePrimaryReply { .. }
        | PeerMsg::WritesPaused { .. }
        | PeerMsg::QueryReply { .. }
        | PeerMsg::ReserveTermsReply { .. } => {}
    }
}

/// Executes a request that was forwarded by another instance.
pub async fn serve_request(node: &Rc<Node>, origin: &Name, req: Request) -> Reply {
    match node.home(&req.group) {
        Some(home) => Box::pin(exec::execute(node, &home, origin, req)).await,
        None => Reply {
            id: req.id,
            outcome: Outcome::NotRun { reason: "this instance is no home of the group".into(), retry_ms: 0 },
            mark: req.mark,
            txn: TxnState::Idle,
            served: ServedBy::None,
            frames: Vec::new(),
        },
    }
}

/// Probes the primary of a group on behalf of another home.
///
/// Queries the primary again instead of using the last status report, which may be stale.
async fn probe_primary(node: &Rc<Node>, id: u64, group: &Name) -> PeerMsg {
    let failed = PeerMsg::ProbePrimaryReply { id, term: None, stalled: false };
    let Some(home) = node.home(group) else { return failed };
    let Some(primary) = home.primary() else { return failed };
    let Ok(status) = home.order(node, primary, Order::Position, PROBE_TIMEOUT).await else { return failed };
    let limit = node.settings.detect().stall_timeout / 2;
    let stalled = home.stalled_since.get().is_some_and(|at| node.now().saturating_sub(at) > limit);
    PeerMsg::ProbePrimaryReply { id, term: (status.role == Role::Primary).then_some(status.term), stalled }
}

/// Pauses new work for the primary of a group on this instance, for `ms` milliseconds.
///
/// Waits at most a fifth of the pause for open transactions to finish, and returns the number that are still open.
pub async fn pause_writes(node: &Rc<Node>, group: &Name, ms: u32) -> u32 {
    let Some(home) = node.home(group) else { return 0 };
    let deadline = node.now() + Time::from(ms);
    home.paused_until.set(Some(deadline));
    let drained = async {
        while home.running() > 0 {
            home.changed.notified().await;
        }
    };
    // The rest of the pause is reserved for the switchover itself.
    let _ = timeout(Duration::from_millis(u64::from(ms) / 5), drained).await;
    home.running()
}

/// Ends a write pause.
pub fn resume_writes(node: &Rc<Node>, group: &Name) {
    if let Some(home) = node.home(group) {
        home.paused_until.set(None);
        home.changed.notify_waiters();
    }
}

/// Returns the JSON reply to an operator's query, or an empty string if the serialisation fails.
fn answer_query(node: &Rc<Node>, query: &OperatorQuery) -> String {
    let json = match query {
        OperatorQuery::Status => serde_json::to_string(&crate::control::report(node)),
        OperatorQuery::Explain { subject } => {
            serde_json::to_string(&node.journal.borrow().by_subject(subject.as_ref()))
        }
    };
    json.unwrap_or_default()
}
