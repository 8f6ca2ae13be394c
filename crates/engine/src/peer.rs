//! Messages between instances, and the links that carry them.
//!
//! An instance that can't reach a server itself, or has no share of its connections, has another one run
//! its statements there. A link carries a length and the message in `postcard`; answers are matched to
//! questions by an id.

use {
    crate::{
        instance::{Clock, Instance, Micros, micros},
        model::{Answer, Desired, Order, Server, Status},
        ports::Collection,
        session::Prepared,
    },
    bytes::{Bytes, BytesMut},
    futures::StreamExt,
    pondtrack_core::turn::Rank,
    pondtrack_proto::{Mark, Name},
    serde::{Deserialize, Serialize},
    std::{
        cell::{Cell, RefCell},
        io,
        net::{SocketAddr, SocketAddrV4},
        rc::Rc,
        time::Duration,
    },
    tokio::{
        io::AsyncWriteExt,
        net::{
            TcpStream,
            tcp::{OwnedReadHalf, OwnedWriteHalf},
        },
        sync::{Mutex, Notify, mpsc, oneshot},
        time::timeout,
    },
    tokio_util::codec::{FramedRead, LengthDelimitedCodec},
};

/// Largest message on a link, in bytes: a caller's largest message or answer, and what goes with it.
const MESSAGE_BYTES: usize = 2 << 20;
/// Time to open a link: a crossing of zones takes under 3 ms, a lost first packet a second.
const OPEN_LIMIT: Duration = Duration::from_millis(250);
/// Between two looks at a link that owes answers.
const LOOK: Duration = Duration::from_millis(150);
/// A link that owes answers and is silent for this long is given up. Statements take up to 300 ms, but a
/// ping is answered at once.
const SILENCE: Duration = Duration::from_millis(500);
/// Between two looks at a link on which only an idle transaction rests.
const PING: Duration = Duration::from_millis(1_000);
/// A link on which a transaction rests is given up, on either side, when nothing was heard for this long:
/// three pings.
pub const STREAM_SILENCE: Duration = Duration::from_millis(3_000);
/// A peer whose link failed is passed over for this long, doubled each time it fails again.
const AVOID: Duration = Duration::from_millis(1_000);
/// The most doublings: its entry stays for a while after it is gone.
const DOUBLINGS: u32 = 4;
/// An instance that said that it can't watch the store isn't counted on for this long.
const BLIND: Duration = Duration::from_millis(2_400);

/// A message between instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Something is wanted.
    Ask {
        /// Matches the answer to it.
        id: u64,
        /// What is wanted.
        ask: Ask,
    },
    /// The answer.
    Told {
        /// The question's id.
        id: u64,
        /// The answer.
        told: Told,
    },
    /// A transaction was given up by its owner.
    Drop {
        /// The stream that it ran on.
        stream: u64,
    },
    /// What an instance that watches the store knows.
    Beat(Beat),
    /// Is anybody there?
    Ping,
    /// The answer to a ping.
    Pong,
}

/// What an instance that watches the store knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Beat {
    /// The instance.
    pub from: Name,
    /// The configuration's version.
    pub version: u64,
    /// The store's revision of the configuration.
    pub desired: u64,
    /// The store's revision of the directory of servers.
    pub directory: u64,
    /// Tells apart which instances are up, as it knows them.
    pub members: u64,
    /// Whether its calls of the store have results.
    pub watching: bool,
}

/// An instance, as others are told of it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub name: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Where it answers.
    pub addr: SocketAddrV4,
}

/// What an instance wants of another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Ask {
    /// To run a statement at a server.
    Run(Box<Run>),
    /// To tell what it knows of a collection.
    Fetch(Collection),
    /// To give a server an order that it answers with its account of itself.
    Order {
        /// The server.
        server: Name,
        /// The order.
        order: Order,
    },
}

/// A statement that another instance runs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Run {
    /// Tells the transactions of a link apart.
    pub stream: u64,
    /// Whether the stream's transaction is open already.
    pub pinned: bool,
    /// The server.
    pub server: Name,
    /// Its rank among those that wait; its aim counts from now, as clocks are not compared.
    pub rank: Option<Rank>,
    /// A statement that takes longer is slow, in microseconds.
    pub slow: Micros,
    /// How long it may wait for a connection, in milliseconds.
    pub wait_ms: u32,
    /// How long it may take in all, in milliseconds.
    pub left_ms: u32,
    /// The session values that it needs.
    pub values: Vec<(Name, Name)>,
    /// The named statement that it runs.
    pub named: Option<Prepared>,
    /// What is sent.
    pub what: Sent,
}

/// What is sent to a server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Sent {
    /// A caller's statement.
    Statement {
        /// Its id.
        id: Bytes,
        /// Its text; the arguments alone if it runs a named statement.
        text: Bytes,
        /// The position that the server's log has to hold.
        after: Option<Mark>,
    },
    /// An order of pondtrack's own.
    Order {
        /// The order.
        order: Order,
        /// The position that the server's log has to hold.
        after: Option<Mark>,
    },
}

/// What an instance answers another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Told {
    /// The server's answer.
    Answer(Answer),
    /// Nothing was sent to the server.
    NotSent(String),
    /// Nothing was sent: no connection was free.
    Busy,
    /// It was sent, and what became of it is not known.
    Broken(String),
    /// The server's account of itself, if it gave one.
    Status(Option<Status>),
    /// Nothing was sent: nobody listens at the server's address.
    Gone,
    /// It was sent, and not answered in time.
    Late,
    /// The configuration.
    Desired {
        /// The store's revision.
        revision: u64,
        /// The configuration.
        desired: Box<Desired>,
    },
    /// The directory of servers.
    Directory {
        /// The store's revision.
        revision: u64,
        /// The servers, sorted by id.
        servers: Vec<Server>,
    },
    /// The instances that are up, sorted by name.
    Members(Vec<Member>),
}

/// Another instance.
pub struct Peer {
    /// Its name.
    pub name: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Where it answers.
    pub addr: SocketAddrV4,
    avoid: Cell<Micros>,
    failures: Cell<u32>,
    /// Until when it counts as unable to watch the store.
    blind: Cell<Micros>,
    link: RefCell<Option<Rc<Link>>>,
    opening: Mutex<()>,
}

impl Peer {
    /// An instance that was not spoken to yet.
    pub fn new(name: Name, zone: Name, addr: SocketAddrV4) -> Peer {
        Peer {
            name,
            zone,
            addr,
            avoid: Cell::default(),
            failures: Cell::default(),
            blind: Cell::default(),
            link: RefCell::default(),
            opening: Mutex::default(),
        }
    }

    /// Whether it may be asked now.
    pub fn is_usable(&self, now: Micros) -> bool {
        self.avoid.get() <= now
    }

    /// Passes it over for a while.
    fn avoid(&self, now: Micros) {
        let failures = self.failures.replace((self.failures.get() + 1).min(DOUBLINGS));
        self.avoid.set(now + (micros(AVOID) << failures));
    }

    /// It says whether it can watch the store.
    pub fn set_watching(&self, watching: bool, now: Micros) {
        self.blind.set(if watching { 0 } else { now + micros(BLIND) });
    }

    /// Whether it said lately that it can't watch the store.
    pub fn is_blind(&self, now: Micros) -> bool {
        self.blind.get() > now
    }

    /// The link to it, opened if there is none.
    pub async fn link(&self, inst: &Rc<Instance>) -> Option<Rc<Link>> {
        let _opening = self.opening.lock().await;
        let known = self.link.borrow().clone().filter(|it| it.is_open());
        if known.is_some() {
            return known;
        }
        let opened = timeout(OPEN_LIMIT, TcpStream::connect(SocketAddr::V4(self.addr))).await;
        match opened.map_err(|_| io::Error::from(io::ErrorKind::TimedOut)).flatten() {
            Ok(stream) => {
                self.failures.set(0);
                let it = Link::start(inst, stream);
                *self.link.borrow_mut() = Some(it.clone());
                Some(it)
            }
            Err(e) => {
                log::debug!(peer = self.name.as_str(), step = "link"; "{e}");
                self.avoid(inst.now());
                None
            }
        }
    }

    /// Asks it for something.
    pub async fn ask(&self, inst: &Rc<Instance>, ask: Ask) -> Told {
        let Some(link) = self.link(inst).await else { return Told::NotSent("no link".to_owned()) };
        link.ask(ask).await
    }
}

/// A link to another instance, over which this one asks.
pub struct Link {
    out: mpsc::UnboundedSender<Message>,
    pending: RefCell<Vec<(u64, oneshot::Sender<Told>)>>,
    next: Cell<u64>,
    heard: Cell<Micros>,
    /// Since when something is owed, or a transaction rests on it.
    since: Cell<Micros>,
    /// Whether a ping has no answer yet that was sent because nothing else would be answered.
    pinged: Cell<bool>,
    /// Transactions that rest on it.
    pinned: Cell<usize>,
    /// Woken when it has to be looked at.
    wanted: Notify,
    open: Cell<bool>,
    clock: Clock,
}

impl Link {
    fn start(inst: &Rc<Instance>, stream: TcpStream) -> Rc<Link> {
        let (reader, out) = halves(stream);
        let it = Rc::new(Link {
            out,
            pending: RefCell::default(),
            next: Cell::new(1),
            heard: Cell::new(inst.now()),
            since: Cell::new(inst.now()),
            pinged: Cell::default(),
            pinned: Cell::default(),
            wanted: Notify::new(),
            open: Cell::new(true),
            clock: inst.clock,
        });
        tokio::task::spawn_local(it.clone().receive(reader));
        tokio::task::spawn_local(it.clone().watch());
        it
    }

    /// Whether it works, as far as is known.
    pub fn is_open(&self) -> bool {
        self.open.get()
    }

    /// A number that no other stream of this link has.
    pub fn stream(&self) -> u64 {
        self.next.replace(self.next.get() + 1)
    }

    /// Tells something that isn't answered.
    pub fn tell(&self, message: Message) {
        // On a closed link nobody is there to be told.
        self.out.send(message).ok();
    }

    /// Tells something regularly. The link is checked now and then: nothing else would show that it is dead.
    pub fn tell_again(&self, message: Message) {
        self.tell(message);
        let silent = self.clock.now().saturating_sub(self.heard.get());
        if silent >= micros(STREAM_SILENCE) && !self.pinged.replace(true) {
            self.tell(Message::Ping);
            self.look();
        }
    }

    /// A transaction rests on it from now on.
    pub fn pin(&self) {
        self.pinned.set(self.pinned.get() + 1);
        self.look();
    }

    /// A transaction has ended.
    pub fn unpin(&self) {
        self.pinned.set(self.pinned.get().saturating_sub(1));
    }

    /// Has it looked at, from now on.
    fn look(&self) {
        self.since.set(self.clock.now());
        self.wanted.notify_one();
    }

    /// Tells that a stream's transaction is given up.
    pub fn drop_stream(&self, stream: u64) {
        // On a closed link the other side has dropped it already.
        self.tell(Message::Drop { stream });
    }

    /// Asks for something.
    pub async fn ask(&self, ask: Ask) -> Told {
        let id = self.stream();
        let (answer, got) = oneshot::channel();
        if !self.open.get() || self.out.send(Message::Ask { id, ask }).is_err() {
            return Told::NotSent("the link is closed".to_owned());
        }
        if self.pending.borrow().is_empty() {
            self.look();
        }
        self.pending.borrow_mut().push((id, answer));
        got.await.unwrap_or_else(|_| Told::Broken("the link broke".to_owned()))
    }

    async fn receive(self: Rc<Self>, mut reader: Reader) {
        while let Some(Ok(bytes)) = reader.next().await {
            self.heard.set(self.clock.now());
            self.pinged.set(false);
            match decode(&bytes) {
                Some(Message::Told { id, told }) => self.resolve(id, told),
                Some(Message::Pong) => {}
                Some(Message::Ask { .. } | Message::Drop { .. } | Message::Beat(_) | Message::Ping)
                | None => break,
            }
            if !self.open.get() {
                break;
            }
        }
        self.close();
    }

    fn resolve(&self, id: u64, told: Told) {
        let mut pending = self.pending.borrow_mut();
        if let Ok(at) = pending.binary_search_by_key(&id, |it| it.0) {
            // Whoever asked may have stopped waiting.
            pending.remove(at).1.send(told).ok();
        }
    }

    /// Gives the link up when it is silent although it owes answers, or a transaction rests on it.
    async fn watch(self: Rc<Self>) {
        while self.open.get() {
            self.pending.borrow_mut().retain(|it| !it.1.is_closed());
            let owes = self.pinged.get() || !self.pending.borrow().is_empty();
            let (pause, limit) = match owes {
                true => (LOOK, SILENCE),
                false if self.pinned.get() > 0 => (PING, STREAM_SILENCE),
                false => {
                    self.wanted.notified().await;
                    continue;
                }
            };
            if timeout(pause, self.wanted.notified()).await.is_ok() {
                continue;
            }
            let silent = self.clock.now().saturating_sub(self.heard.get().max(self.since.get()));
            if silent >= micros(limit) {
                self.close();
            } else if silent >= micros(pause) {
                self.out.send(Message::Ping).ok();
            }
        }
    }

    fn close(&self) {
        self.open.set(false);
        self.pending.borrow_mut().clear();
        self.wanted.notify_one();
    }
}

/// The receiving half of a link.
pub type Reader = FramedRead<OwnedReadHalf, LengthDelimitedCodec>;

/// Parts a connection into a reader and a queue of messages to be written.
pub fn halves(stream: TcpStream) -> (Reader, mpsc::UnboundedSender<Message>) {
    // A link without it is slower, nothing worse.
    stream.set_nodelay(true).ok();
    let (read, write) = stream.into_split();
    let codec = LengthDelimitedCodec::builder().max_frame_length(MESSAGE_BYTES).new_codec();
    let (out, queue) = mpsc::unbounded_channel();
    tokio::task::spawn_local(send(write, queue));
    (FramedRead::new(read, codec), out)
}

/// Writes messages; those that come together go together.
async fn send(mut write: OwnedWriteHalf, mut queue: mpsc::UnboundedReceiver<Message>) {
    let mut out = BytesMut::new();
    while let Some(first) = queue.recv().await {
        put(&first, &mut out);
        while let Ok(it) = queue.try_recv() {
            put(&it, &mut out);
        }
        if write.write_all(&out).await.is_err() {
            return;
        }
        out.clear();
    }
}

fn put(message: &Message, out: &mut BytesMut) {
    let bytes = postcard::to_stdvec(message).expect("messages are plain data, which always encodes");
    out.extend_from_slice(&(bytes.len() as u32).to_be_bytes());
    out.extend_from_slice(&bytes);
}

/// Decodes a message; none for bytes that are none, which ends the link.
pub fn decode(bytes: &[u8]) -> Option<Message> {
    match postcard::from_bytes(bytes) {
        Ok(it) => Some(it),
        Err(e) => {
            log::warn!(step = "link"; "not a message: {e}");
            None
        }
    }
}
