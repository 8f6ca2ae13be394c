//! Links between instances.
//!
//! Each instance opens one link to each other that it sends to; requests go out on it and replies come
//! back, in any order, matched by their ids. A reply that nobody waits for is dropped and counted. While
//! requests run the far side sends a beat now and then, so that a cut is told from a long statement.

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

/// Time to open a link.
const OPEN_LIMIT: Duration = Duration::from_millis(300);
/// Messages waiting to be sent on a link.
const QUEUE: usize = 8_192;
/// Between two beats while requests run.
const BEAT: Duration = Duration::from_millis(200);
/// Silence of a link, while requests wait, after which it is given up, in milliseconds.
const SILENCE: Time = 700;
/// Time for a primary to answer when another home asks about it.
const HEARD_LIMIT: Duration = Duration::from_millis(120);
/// How long a peer whose link broke is tried last, in milliseconds.
const SHUNNED: Time = 2_000;

/// Why a request got no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkError {
    /// Whether the peer may have got the request.
    pub maybe_sent: bool,
}

type Answer = Result<PeerMsg, LinkError>;

struct Waiting {
    id: u64,
    link: u64,
    send: oneshot::Sender<Answer>,
}

#[derive(Clone)]
struct Link {
    peer: Name,
    id: u64,
    send: mpsc::Sender<Bytes>,
    up: Rc<Cell<bool>>,
    heard: Rc<Cell<Time>>,
}

/// The links of an instance.
#[derive(Default)]
pub struct Peers {
    links: RefCell<Vec<Link>>,
    waiting: RefCell<Vec<Waiting>>,
    shunned: RefCell<Vec<(Name, Time)>>,
}

impl Peers {
    /// Whether a peer's link broke a short while ago.
    pub fn recently_failed(&self, now: Time, peer: &Name) -> bool {
        self.shunned.borrow().iter().any(|it| it.0 == *peer && it.1 > now)
    }

    /// Sends a request and waits for its reply.
    pub async fn forward(&self, node: &Rc<Node>, peer: &Name, req: Request) -> Result<Reply, LinkError> {
        let id = req.id;
        let left = Duration::from_millis(u64::from(req.left_ms) + u64::from(SILENCE as u32));
        let receive = self.enqueue(node, peer, id, &PeerMsg::Request(req))?;
        match timeout(left, receive).await {
            Ok(Ok(Ok(PeerMsg::Reply(it)))) => Ok(it),
            Ok(Ok(Err(lost))) => Err(lost),
            _ => {
                self.forget(id);
                Err(LinkError { maybe_sent: true })
            }
        }
    }

    /// Asks a question, bounded in time.
    pub async fn request(
        &self,
        node: &Rc<Node>,
        peer: &Name,
        make: impl FnOnce(u64) -> PeerMsg,
        limit: Duration,
    ) -> Option<PeerMsg> {
        let id = node.next_id();
        let receive = self.enqueue(node, peer, id, &make(id)).ok()?;
        let out = timeout(limit, receive).await;
        if out.is_err() {
            self.forget(id);
        }
        out.ok()?.ok()?.ok()
    }

    /// Sends a message that needs no answer.
    pub fn send(&self, node: &Rc<Node>, peer: &Name, msg: &PeerMsg) {
        if let Some(link) = self.link(node, peer) {
            let _ = link.send.try_send(link::encode(msg));
        }
    }

    fn enqueue(
        &self,
        node: &Rc<Node>,
        peer: &Name,
        id: u64,
        msg: &PeerMsg,
    ) -> Result<oneshot::Receiver<Answer>, LinkError> {
        let link = self.link(node, peer).ok_or(LinkError { maybe_sent: false })?;
        let (send, receive) = oneshot::channel();
        if self.waiting.borrow().iter().all(|it| it.link != link.id) {
            // Silence counts from here: nothing was owed before.
            link.heard.set(node.now());
        }
        self.waiting.borrow_mut().push(Waiting { id, link: link.id, send });
        if link.send.try_send(link::encode(msg)).is_err() {
            self.forget(id);
            return Err(LinkError { maybe_sent: false });
        }
        Ok(receive)
    }

    /// The link to a peer; it is opened when there is none.
    fn link(&self, node: &Rc<Node>, peer: &Name) -> Option<Link> {
        let at = self.links.borrow().binary_search_by(|it| it.peer.cmp(peer));
        if let Ok(at) = at {
            return Some(self.links.borrow()[at].clone());
        }
        let addr = node.members.borrow().get(peer)?.addr;
        let (send, receive) = mpsc::channel(QUEUE);
        let heard = Rc::new(Cell::new(node.now()));
        let it = Link { peer: peer.clone(), id: node.next_id(), send, up: Rc::default(), heard };
        let mut links = self.links.borrow_mut();
        let at = links.partition_point(|old| old.peer < it.peer);
        links.insert(at, it.clone());
        drop(links);
        tokio::task::spawn_local(keep(node.clone(), it.clone(), addr, receive));
        Some(it)
    }

    fn forget(&self, id: u64) {
        self.waiting.borrow_mut().retain(|it| it.id != id);
    }

    fn take(&self, id: u64) -> Option<Waiting> {
        let mut all = self.waiting.borrow_mut();
        let at = all.iter().position(|it| it.id == id)?;
        Some(all.swap_remove(at))
    }

    /// A link is gone: nothing more comes for what waits on it.
    fn close(&self, node: &Node, link: &Link) {
        self.links.borrow_mut().retain(|it| it.id != link.id);
        let all = std::mem::take(&mut *self.waiting.borrow_mut());
        let (lost, rest): (Vec<_>, Vec<_>) = all.into_iter().partition(|it| it.link == link.id);
        // Requests that came meanwhile are kept, as they may be on other links.
        self.waiting.borrow_mut().extend(rest);
        let maybe_sent = link.up.get();
        for it in lost {
            let _ = it.send.send(Err(LinkError { maybe_sent }));
        }
        let until = node.now() + SHUNNED;
        let mut shunned = self.shunned.borrow_mut();
        shunned.retain(|it| it.0 != link.peer);
        shunned.push((link.peer.clone(), until));
        drop(shunned);
        node.members.borrow_mut().probe_next(&link.peer);
    }

    fn owes(&self, link: u64) -> bool {
        self.waiting.borrow().iter().any(|it| it.link == link)
    }
}

/// Keeps an outgoing link for its life.
async fn keep(node: Rc<Node>, link: Link, addr: SocketAddr, mut queue: mpsc::Receiver<Bytes>) {
    match link::connect(node.settings.bind, addr, OPEN_LIMIT, &link.peer).await {
        Ok(stream) => {
            link.up.set(true);
            link.heard.set(node.now());
            let (reader, mut writer) = link::halves(stream);
            let hello = link::encode(&PeerMsg::Hello { from: node.name.clone() });
            if writer.send(hello).await.is_ok() {
                tokio::select! {
                    () = write_all(writer, &mut queue) => {}
                    () = read_replies(&node, &link, reader) => {}
                    () = watch_silence(&node, &link) => {}
                }
            }
        }
        Err(e) => log::debug!(step = "connect", peer = link.peer.as_str(); "{e}"),
    }
    node.peers.close(&node, &link);
}

async fn write_all(mut writer: LinkWriter, queue: &mut mpsc::Receiver<Bytes>) {
    while let Some(it) = queue.recv().await {
        if writer.feed(it).await.is_err() {
            return;
        }
        while let Ok(it) = queue.try_recv() {
            if writer.feed(it).await.is_err() {
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
        link.heard.set(node.now());
        let msg = match link::decode(&bytes, &link.peer) {
            Ok(it) => it,
            Err(e) => {
                log::warn!(step = "decode", peer = link.peer.as_str(); "{e}");
                return;
            }
        };
        let id = match &msg {
            PeerMsg::Reply(it) => it.id,
            PeerMsg::ProbePrimaryReply { id, .. }
            | PeerMsg::WritesPaused { id, .. }
            | PeerMsg::QueryReply { id, .. }
            | PeerMsg::ReserveTermsReply { id, .. } => *id,
            _ => continue,
        };
        match node.peers.take(id) {
            Some(it) => {
                let _ = it.send.send(Ok(msg));
            }
            None => node.count(Count::Unmatched),
        }
    }
}

/// Ends when the peer is silent although it owes answers.
async fn watch_silence(node: &Rc<Node>, link: &Link) {
    let mut looked = node.now();
    loop {
        sleep(Duration::from_millis(100)).await;
        let now = node.now();
        if now.saturating_sub(looked) > SILENCE / 2 {
            // This instance was paused itself: what came meanwhile has yet to be read.
            link.heard.set(now);
        }
        looked = now;
        if node.peers.owes(link.id) && now.saturating_sub(link.heard.get()) > SILENCE {
            log::warn!(step = "receive", peer = link.peer.as_str(); "the link is silent although answers are due");
            return;
        }
    }
}

/// Accepts links of other instances.
pub async fn serve(node: Rc<Node>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let _ = stream.set_nodelay(true);
                tokio::task::spawn_local(accept(node.clone(), stream));
            }
            Err(e) => {
                log::warn!(step = "accept"; "{e}");
                sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

async fn accept(node: Rc<Node>, stream: TcpStream) {
    let (mut reader, writer) = link::halves(stream);
    let unknown = Name::from("unknown");
    let first = timeout(OPEN_LIMIT * 10, reader.next()).await;
    let Ok(Some(Ok(bytes))) = first else { return };
    let Ok(PeerMsg::Hello { from }) = link::decode(&bytes, &unknown) else {
        log::warn!(step = "startup", peer = "unknown"; "a link that doesn't begin with a hello");
        return;
    };
    // A stream belongs to its link: what a lost link left open is rolled back with it.
    let origin = Name::from(format!("{from}/{}", node.next_id()));
    let (send, mut queue) = mpsc::channel(QUEUE);
    let running = Rc::new(Cell::new(0u32));
    tokio::select! {
        () = write_all(writer, &mut queue) => {}
        () = read_requests(&node, &from, &origin, reader, &send, &running) => {}
        () = beat(&send, &running) => {}
    }
    for it in node.homes.borrow().clone() {
        it.close_streams_of(&origin);
    }
}

async fn beat(send: &mpsc::Sender<Bytes>, running: &Rc<Cell<u32>>) {
    let mut every = interval(BEAT);
    loop {
        every.tick().await;
        if running.get() > 0 {
            let _ = send.try_send(link::encode(&PeerMsg::KeepAlive));
        }
    }
}

async fn read_requests(
    node: &Rc<Node>,
    from: &Name,
    origin: &Name,
    mut reader: LinkReader,
    send: &mpsc::Sender<Bytes>,
    running: &Rc<Cell<u32>>,
) {
    while let Some(Ok(bytes)) = reader.next().await {
        match link::decode(&bytes, from) {
            Ok(msg) => handle(node, origin, msg, send, running),
            Err(e) => {
                log::warn!(step = "decode", peer = from.as_str(); "{e}");
                return;
            }
        }
    }
}

fn handle(node: &Rc<Node>, origin: &Name, msg: PeerMsg, send: &mpsc::Sender<Bytes>, running: &Rc<Cell<u32>>) {
    match msg {
        PeerMsg::Request(req) => {
            running.set(running.get() + 1);
            let (node, origin, send, running) = (node.clone(), origin.clone(), send.clone(), running.clone());
            tokio::task::spawn_local(async move {
                let reply = serve_request(&node, &origin, req).await;
                running.set(running.get() - 1);
                let _ = send.send(link::encode(&PeerMsg::Reply(reply))).await;
            });
        }
        PeerMsg::Close { stream } => {
            let id = (origin.clone(), stream);
            for it in node.homes.borrow().iter() {
                it.close_stream(&id);
            }
        }
        PeerMsg::Cancel { stream } => {
            let id = (origin.clone(), stream);
            for it in node.homes.borrow().iter() {
                it.cancel(&id);
            }
        }
        PeerMsg::CancelFor { pid, secret } => entry::cancel_local(node, pid, secret),
        PeerMsg::ProbePrimary { id, group } => {
            let (node, send) = (node.clone(), send.clone());
            tokio::task::spawn_local(async move {
                let it = heard(&node, id, &group).await;
                let _ = send.send(link::encode(&it)).await;
            });
        }
        PeerMsg::PauseWrites { id, group, ms } => {
            let (node, send) = (node.clone(), send.clone());
            tokio::task::spawn_local(async move {
                let open = pause_writes(&node, &group, ms).await;
                let _ = send.send(link::encode(&PeerMsg::WritesPaused { id, open })).await;
            });
        }
        PeerMsg::ResumeWrites { group } => resume_writes(node, &group),
        PeerMsg::Query { id, question } => {
            let json = tell(node, &question);
            let _ = send.try_send(link::encode(&PeerMsg::QueryReply { id, json }));
        }
        PeerMsg::ReserveTerms { id, group, known } => {
            // They are no longer this home's before they leave: a lost answer loses them, and no two have one.
            let block =
                node.home(&group).and_then(|it| it.term_pool.borrow_mut().split_off(known.max(it.term())));
            let _ = send.try_send(link::encode(&PeerMsg::ReserveTermsReply { id, block }));
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

/// Runs a request that another instance passed on.
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

/// Asks the primary anew, as what was heard a while ago says little.
async fn heard(node: &Rc<Node>, id: u64, group: &Name) -> PeerMsg {
    let silent = PeerMsg::ProbePrimaryReply { id, term: None, stalled: false };
    let Some(home) = node.home(group) else { return silent };
    let Some(primary) = home.primary() else { return silent };
    let Ok(it) = home.order(node, primary, Order::Position, HEARD_LIMIT).await else { return silent };
    let limit = node.settings.detect().stall_timeout / 2;
    let stalled = home.stalled_since.get().is_some_and(|at| node.now().saturating_sub(at) > limit);
    PeerMsg::ProbePrimaryReply { id, term: (it.role == Role::Primary).then_some(it.term), stalled }
}

/// Holds new work for a group's primary here; hands back how many transactions are still open.
pub async fn pause_writes(node: &Rc<Node>, group: &Name, ms: u32) -> u32 {
    let Some(home) = node.home(group) else { return 0 };
    let until = node.now() + Time::from(ms);
    home.paused_until.set(Some(until));
    let quiet = async {
        while home.running() > 0 {
            home.changed.notified().await;
        }
    };
    // A part of the time is left for the switch itself.
    let _ = timeout(Duration::from_millis(u64::from(ms) / 5), quiet).await;
    home.running()
}

/// Ends a hold.
pub fn resume_writes(node: &Rc<Node>, group: &Name) {
    if let Some(home) = node.home(group) {
        home.paused_until.set(None);
        home.changed.notify_waiters();
    }
}

fn tell(node: &Rc<Node>, question: &OperatorQuery) -> String {
    let json = match question {
        OperatorQuery::Status => serde_json::to_string(&crate::control::report(node)),
        OperatorQuery::Explain { subject } => {
            serde_json::to_string(&node.journal.borrow().by_subject(subject.as_ref()))
        }
    };
    json.unwrap_or_default()
}
