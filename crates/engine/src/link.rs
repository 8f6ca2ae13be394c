//! Links: TCP connections between instances that carry their messages.

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

/// Maximum size of a message on a link, in bytes: the largest statement or answer, and the fields sent with it.
const MAX_MESSAGE_BYTES: usize = 2 << 20;
/// Interval at which a link with pending requests is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(150);
/// Time without received bytes after which a link with pending requests is closed. Statements take up to 300 ms, but a
/// ping is answered immediately.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval at which a link with an idle transaction and no pending requests is checked.
const PING_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time without received bytes after which a link with an open transaction is closed, on either side: three pings.
pub const STREAM_TIMEOUT: Duration = Duration::from_millis(3_000);

/// The requesting side of a link to another instance.
pub struct Link {
    sender: mpsc::UnboundedSender<Message>,
    /// Pending requests, sorted by id.
    pending: RefCell<Vec<(u64, oneshot::Sender<Response>)>>,
    next_id: Cell<u64>,
    /// Time at which bytes were last received, even if they are only a part of a message.
    last_received: Rc<Cell<Micros>>,
    /// Time at which a transaction was last opened, or a response became due while none was pending.
    active_since: Cell<Micros>,
    /// True if a keepalive ping is unanswered, sent while no other response was due.
    ping_pending: Cell<bool>,
    /// Number of open transactions on the link.
    pinned: Cell<usize>,
    /// Notified when the link becomes active or is closed.
    wakeup: Notify,
    open: Cell<bool>,
    clock: Clock,
}

impl Link {
    /// Starts a link over a connection.
    pub fn start(inst: &Rc<Instance>, stream: TcpStream) -> Rc<Link> {
        let Halves { reader, sender, last_received } = split(stream, inst.clock);
        let link = Rc::new(Link {
            sender,
            pending: RefCell::default(),
            next_id: Cell::new(1),
            last_received,
            active_since: Cell::new(inst.now()),
            ping_pending: Cell::default(),
            pinned: Cell::default(),
            wakeup: Notify::new(),
            open: Cell::new(true),
            clock: inst.clock,
        });
        tokio::task::spawn_local(link.clone().receive(reader));
        tokio::task::spawn_local(link.clone().monitor());
        link
    }

    /// Returns true if the link isn't known to have failed.
    pub fn is_open(&self) -> bool {
        self.open.get()
    }

    /// Returns an id that is unique among the link's streams and requests.
    pub fn next_id(&self) -> u64 {
        self.next_id.replace(self.next_id.get() + 1)
    }

    /// Sends a message that has no response. Does nothing if the link is closed.
    pub fn send(&self, message: Message) {
        // Fails only if the link is closed; the message then has no receiver.
        self.sender.send(message).ok();
    }

    /// Sends a message that is repeated regularly and has no response. After [`STREAM_TIMEOUT`] without received bytes,
    /// also sends a ping, because a dead link would otherwise go unnoticed.
    pub fn send_with_keepalive(&self, message: Message) {
        self.send(message);
        let idle = self.clock.now().saturating_sub(self.last_received.get());
        if idle >= micros(STREAM_TIMEOUT) && !self.ping_pending.replace(true) {
            self.send(Message::Ping);
            self.activate();
        }
    }

    /// Records that a transaction on the link was opened.
    pub fn pin(&self) {
        self.pinned.set(self.pinned.get() + 1);
        self.activate();
    }

    /// Records that a transaction on the link has ended.
    pub fn unpin(&self) {
        self.pinned.set(self.pinned.get().saturating_sub(1));
    }

    /// Starts the checks of the link; its timeouts count from now.
    fn activate(&self) {
        self.active_since.set(self.clock.now());
        self.wakeup.notify_one();
    }

    /// Abandons a stream's transaction, which the other instance rolls back.
    pub fn drop_stream(&self, stream: u64) {
        // If the link is closed, the other side has rolled back the transaction already.
        self.send(Message::Drop { stream });
    }

    /// Cancels a request unless its execution has begun. The request is answered in either case.
    pub fn cancel(&self, id: u64) {
        self.send(Message::Cancel { id });
    }

    /// Sends a request and waits for the response.
    pub async fn request(&self, request: Request) -> Response {
        self.send_request(request).response().await
    }

    /// Sends a request without waiting for the response.
    pub fn send_request(&self, request: Request) -> PendingRequest<'_> {
        let id = self.next_id();
        let cancellable = request.is_cancellable();
        let (sender, receiver) = oneshot::channel();
        if !self.open.get() || self.sender.send(Message::Request { id, request }).is_err() {
            return PendingRequest { link: self, id, cancellable: false, receiver: None };
        }
        if self.pending.borrow().is_empty() {
            self.activate();
        }
        self.pending.borrow_mut().push((id, sender));
        PendingRequest { link: self, id, cancellable, receiver: Some(receiver) }
    }

    async fn receive(self: Rc<Self>, mut reader: Reader) {
        while let Some(Ok(bytes)) = reader.next().await {
            self.ping_pending.set(false);
            match Message::decode(&bytes) {
                Some(Message::Response { id, response }) => self.resolve(id, response),
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

    /// Passes a response to the task that waits for it.
    fn resolve(&self, id: u64, response: Response) {
        let mut pending = self.pending.borrow_mut();
        let waiter = pending.binary_search_by_key(&id, |p| p.0).ok().map(|at| pending.remove(at).1);
        let undelivered = match waiter {
            Some(waiter) => waiter.send(response).err(),
            None => Some(response),
        };
        // The requesting task may have stopped waiting; a permit is then released.
        if let Some(Response::Permit { permit, .. }) = undelivered {
            self.send(Message::ReleasePermit { permit });
        }
    }

    /// Closes the link if nothing is received although responses are due or a transaction is open.
    async fn monitor(self: Rc<Self>) {
        while self.open.get() {
            self.pending.borrow_mut().retain(|p| !p.1.is_closed());
            let response_due = self.ping_pending.get() || !self.pending.borrow().is_empty();
            let (interval, limit) = match response_due {
                true => (CHECK_INTERVAL, RESPONSE_TIMEOUT),
                false if self.pinned.get() > 0 => (PING_INTERVAL, STREAM_TIMEOUT),
                false => {
                    self.wakeup.notified().await;
                    continue;
                }
            };
            if timeout(interval, self.wakeup.notified()).await.is_ok() {
                continue;
            }
            let idle = self.clock.now().saturating_sub(self.last_received.get().max(self.active_since.get()));
            if idle >= micros(limit) {
                self.close();
            } else if idle >= micros(interval) {
                self.sender.send(Message::Ping).ok();
            }
        }
    }

    fn close(&self) {
        self.open.set(false);
        self.pending.borrow_mut().clear();
        self.wakeup.notify_one();
    }
}

/// A request that was sent. Dropping it before the response arrives cancels the request.
pub struct PendingRequest<'a> {
    link: &'a Link,
    id: u64,
    /// True if the request is to be cancelled when dropped.
    cancellable: bool,
    /// Receives the response; none if the request couldn't be sent.
    receiver: Option<oneshot::Receiver<Response>>,
}

impl PendingRequest<'_> {
    /// Waits for the response. Returns [`Response::NotSent`] if the link was closed, and [`Response::Broken`] if the
    /// link is closed before the response arrives.
    pub async fn response(mut self) -> Response {
        let Some(receiver) = &mut self.receiver else {
            return Response::NotSent("the link is closed".to_owned());
        };
        let response = receiver.await.unwrap_or_else(|_| Response::Broken("the link broke".to_owned()));
        self.cancellable = false;
        response
    }

    /// Returns the request's id, by which it can be cancelled with [`Link::cancel`] while the response is awaited.
    pub fn id(&self) -> u64 {
        self.id
    }
}

impl Drop for PendingRequest<'_> {
    fn drop(&mut self) {
        if !self.cancellable {
            return;
        }
        match self.receiver.as_mut().map(oneshot::Receiver::try_recv) {
            // The response arrived, but was never read.
            Some(Ok(Response::Permit { permit, .. })) => self.link.send(Message::ReleasePermit { permit }),
            Some(Ok(_)) => {}
            Some(Err(_)) | None => self.link.cancel(self.id),
        }
    }
}

/// Callback invoked with received bytes.
type OnBytes = Box<dyn FnMut(&[u8])>;
/// The receiving half of a link.
pub type Reader = FramedRead<InspectReader<OwnedReadHalf, OnBytes>, LengthDelimitedCodec>;

/// A connection between instances, split into its directions.
pub struct Halves {
    /// Reader of incoming messages.
    pub reader: Reader,
    /// Queue of outgoing messages.
    pub sender: mpsc::UnboundedSender<Message>,
    /// Time at which bytes were last received. Bytes count rather than messages, because a large message over a narrow
    /// link may take longer than the timeout of an idle link.
    pub last_received: Rc<Cell<Micros>>,
}

/// Splits a connection into a reader and a queue of outgoing messages.
pub fn split(stream: TcpStream, clock: Clock) -> Halves {
    // Without TCP_NODELAY, the link only has a higher latency.
    stream.set_nodelay(true).ok();
    let (read, write) = stream.into_split();
    let codec = LengthDelimitedCodec::builder().max_frame_length(MAX_MESSAGE_BYTES).new_codec();
    let (sender, queue) = mpsc::unbounded_channel();
    tokio::task::spawn_local(write_queue(write, queue));
    let last_received = Rc::new(Cell::new(clock.now()));
    let on_bytes: OnBytes = {
        let last_received = last_received.clone();
        Box::new(move |_| last_received.set(clock.now()))
    };
    Halves { reader: FramedRead::new(InspectReader::new(read, on_bytes), codec), sender, last_received }
}

/// Writes queued messages, batching those that are queued together.
async fn write_queue(mut write: OwnedWriteHalf, mut queue: mpsc::UnboundedReceiver<Message>) {
    let mut buf = BytesMut::new();
    while let Some(first) = queue.recv().await {
        first.encode(&mut buf);
        while let Ok(message) = queue.try_recv() {
            message.encode(&mut buf);
        }
        if write.write_all(&buf).await.is_err() {
            return;
        }
        buf.clear();
    }
}
