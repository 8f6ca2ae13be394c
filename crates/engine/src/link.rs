//! Links between instances, which carry their messages.

use {
    crate::{
        instance::{Clock, Instance, Micros, micros},
        message::{Message, Request, Response},
    },
    bytes::BytesMut,
    futures::StreamExt,
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
        time::Duration,
    },
    tokio::{
        io::AsyncWriteExt,
        net::{
            TcpStream,
            tcp::{OwnedReadHalf, OwnedWriteHalf},
        },
        sync::{Notify, mpsc, oneshot},
        time::timeout,
    },
    tokio_util::{
        codec::{FramedRead, LengthDelimitedCodec},
        io::InspectReader,
    },
};

/// Largest message on a link, in bytes: a caller's largest message or answer, and what goes with it.
const MESSAGE_BYTES: usize = 2 << 20;
/// Between two looks at a link that owes answers.
const LOOK: Duration = Duration::from_millis(150);
/// A link that owes answers and is silent for this long is given up. Statements take up to 300 ms, but a
/// ping is answered at once.
const SILENCE: Duration = Duration::from_millis(500);
/// Between two looks at a link on which only an idle transaction rests.
const PING: Duration = Duration::from_millis(1_000);
/// A link on which a transaction rests is given up, on either side, when nothing was heard for this long:
/// three pings.
pub const STREAM_TIMEOUT: Duration = Duration::from_millis(3_000);

/// A link to another instance, over which this one asks.
pub struct Link {
    sender: mpsc::UnboundedSender<Message>,
    pending: RefCell<Vec<(u64, oneshot::Sender<Response>)>>,
    next: Cell<u64>,
    /// When anything came, be it a part of a message.
    last_received: Rc<Cell<Micros>>,
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
    /// Begins to use a connection.
    pub fn start(inst: &Rc<Instance>, stream: TcpStream) -> Rc<Link> {
        let Halves { reader, sender, last_received } = split(stream, inst.clock);
        let it = Rc::new(Link {
            sender,
            pending: RefCell::default(),
            next: Cell::new(1),
            last_received,
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
    pub fn next_id(&self) -> u64 {
        self.next.replace(self.next.get() + 1)
    }

    /// Tells something that isn't answered.
    pub fn send(&self, message: Message) {
        // On a closed link nobody is there to be told.
        self.sender.send(message).ok();
    }

    /// Tells something regularly. The link is checked now and then: nothing else would show that it is dead.
    pub fn send_with_keepalive(&self, message: Message) {
        self.send(message);
        let silent = self.clock.now().saturating_sub(self.last_received.get());
        if silent >= micros(STREAM_TIMEOUT) && !self.pinged.replace(true) {
            self.send(Message::Ping);
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
        self.send(Message::Drop { stream });
    }

    /// Tells that what a question asks for needn't begin. It is answered all the same.
    pub fn cancel(&self, id: u64) {
        self.send(Message::Cancel { id });
    }

    /// Asks for something.
    pub async fn request(&self, ask: Request) -> Response {
        self.send_request(ask).response().await
    }

    /// Asks for something, and lets the answer come.
    pub fn send_request(&self, ask: Request) -> PendingRequest<'_> {
        let id = self.next_id();
        let waits = ask.is_cancellable();
        let (answer, got) = oneshot::channel();
        if !self.open.get() || self.sender.send(Message::Request { id, request: ask }).is_err() {
            return PendingRequest { link: self, id, waits: false, got: None };
        }
        if self.pending.borrow().is_empty() {
            self.look();
        }
        self.pending.borrow_mut().push((id, answer));
        PendingRequest { link: self, id, waits, got: Some(got) }
    }

    async fn receive(self: Rc<Self>, mut reader: Reader) {
        while let Some(Ok(bytes)) = reader.next().await {
            self.pinged.set(false);
            match Message::decode(&bytes) {
                Some(Message::Response { id, response: told }) => self.resolve(id, told),
                Some(Message::Pong) => {}
                Some(
                    Message::Request { .. }
                    | Message::Drop { .. }
                    | Message::ReleasePermit { .. }
                    | Message::Overloaded { .. }
                    | Message::Heartbeat(_)
                    | Message::Cancel { .. }
                    | Message::Ping,
                )
                | None => break,
            }
            if !self.open.get() {
                break;
            }
        }
        self.close();
    }

    fn resolve(&self, id: u64, told: Response) {
        let mut pending = self.pending.borrow_mut();
        let known = pending.binary_search_by_key(&id, |it| it.0).ok().map(|at| pending.remove(at).1);
        let missed = match known {
            Some(it) => it.send(told).err(),
            None => Some(told),
        };
        // Whoever asked may have stopped waiting; a turn goes back.
        if let Some(Response::Permit { permit: turn, .. }) = missed {
            self.send(Message::ReleasePermit { permit: turn });
        }
    }

    /// Gives the link up when it is silent although it owes answers, or a transaction rests on it.
    async fn watch(self: Rc<Self>) {
        while self.open.get() {
            self.pending.borrow_mut().retain(|it| !it.1.is_closed());
            let owes = self.pinged.get() || !self.pending.borrow().is_empty();
            let (pause, limit) = match owes {
                true => (LOOK, SILENCE),
                false if self.pinned.get() > 0 => (PING, STREAM_TIMEOUT),
                false => {
                    self.wanted.notified().await;
                    continue;
                }
            };
            if timeout(pause, self.wanted.notified()).await.is_ok() {
                continue;
            }
            let silent = self.clock.now().saturating_sub(self.last_received.get().max(self.since.get()));
            if silent >= micros(limit) {
                self.close();
            } else if silent >= micros(pause) {
                self.sender.send(Message::Ping).ok();
            }
        }
    }

    fn close(&self) {
        self.open.set(false);
        self.pending.borrow_mut().clear();
        self.wanted.notify_one();
    }
}

/// A question that was asked. Dropped before its answer came, it is cancelled.
pub struct PendingRequest<'a> {
    link: &'a Link,
    id: u64,
    /// Whether it may wait for something there.
    waits: bool,
    /// Its answer; none where it couldn't be asked.
    got: Option<oneshot::Receiver<Response>>,
}

impl PendingRequest<'_> {
    /// Its answer.
    pub async fn response(mut self) -> Response {
        let Some(got) = &mut self.got else { return Response::NotSent("the link is closed".to_owned()) };
        let told = got.await.unwrap_or_else(|_| Response::Broken("the link broke".to_owned()));
        self.waits = false;
        told
    }

    /// Its number, by which it can be cancelled while its answer is waited for.
    pub fn id(&self) -> u64 {
        self.id
    }
}

impl Drop for PendingRequest<'_> {
    fn drop(&mut self) {
        if !self.waits {
            return;
        }
        match self.got.as_mut().map(oneshot::Receiver::try_recv) {
            // It came, and whoever asked has left.
            Some(Ok(Response::Permit { permit: turn, .. })) => {
                self.link.send(Message::ReleasePermit { permit: turn })
            }
            Some(Ok(_)) => {}
            Some(Err(_)) | None => self.link.cancel(self.id),
        }
    }
}

/// Looks at bytes as they come.
type Note = Box<dyn FnMut(&[u8])>;
/// The receiving half of a link.
pub type Reader = FramedRead<InspectReader<OwnedReadHalf, Note>, LengthDelimitedCodec>;

/// A connection between instances, parted.
pub struct Halves {
    /// Messages that come.
    pub reader: Reader,
    /// Messages to be written.
    pub sender: mpsc::UnboundedSender<Message>,
    /// When bytes last came. A large message over a narrow link takes longer than a silent link is kept, and is none.
    pub last_received: Rc<Cell<Micros>>,
}

/// Parts a connection into a reader and a queue of messages to be written.
pub fn split(stream: TcpStream, clock: Clock) -> Halves {
    // A link without it is slower, nothing worse.
    stream.set_nodelay(true).ok();
    let (read, write) = stream.into_split();
    let codec = LengthDelimitedCodec::builder().max_frame_length(MESSAGE_BYTES).new_codec();
    let (sender, queue) = mpsc::unbounded_channel();
    tokio::task::spawn_local(send(write, queue));
    let last_received = Rc::new(Cell::new(clock.now()));
    let note: Note = {
        let last_received = last_received.clone();
        Box::new(move |_| last_received.set(clock.now()))
    };
    Halves { reader: FramedRead::new(InspectReader::new(read, note), codec), sender, last_received }
}

/// Writes messages; those that come together go together.
async fn send(mut write: OwnedWriteHalf, mut queue: mpsc::UnboundedReceiver<Message>) {
    let mut out = BytesMut::new();
    while let Some(first) = queue.recv().await {
        first.encode(&mut out);
        while let Ok(it) = queue.try_recv() {
            it.encode(&mut out);
        }
        if write.write_all(&out).await.is_err() {
            return;
        }
        out.clear();
    }
}
