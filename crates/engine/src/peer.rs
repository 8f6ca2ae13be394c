//! Peers: the other live instances, and the links to them.

use {
    crate::{
        instance::{Instance, Micros, micros},
        link::Link,
        message::{Request, Response},
    },
    pondtrack_core::capacity::Capacity,
    pondtrack_proto::Name,
    std::{
        cell::{Cell, RefCell},
        io,
        net::{SocketAddr, SocketAddrV4},
        rc::Rc,
        time::Duration,
    },
    tokio::{net::TcpStream, sync::Mutex, time::timeout},
};

/// Timeout for opening a link. A cross-zone connection takes less than 3 ms; a lost first packet is only resent after a
/// second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Initial backoff after a link couldn't be opened, doubled with each further failure.
const BACKOFF: Duration = Duration::from_millis(1_000);
/// Maximum number of doublings of the backoff. An instance stays listed for a while after it has ended.
const MAX_DOUBLINGS: u32 = 4;
/// Validity period of an instance's report that it can't watch the store.
const CANNOT_WATCH_TTL: Duration = Duration::from_millis(2_400);

/// Another instance.
pub struct Peer {
    /// Name of the instance.
    pub name: Name,
    /// Availability zone of the instance.
    pub zone: Name,
    /// Address for links.
    pub addr: SocketAddrV4,
    /// Capacity of the instance, if stated.
    pub capacity: Option<Capacity>,
    /// End of the backoff.
    avoid_until: Cell<Micros>,
    failures: Cell<u32>,
    /// Time until which the instance counts as unable to watch the store.
    cannot_watch_until: Cell<Micros>,
    link: RefCell<Option<Rc<Link>>>,
    /// Held while a link is opened.
    connecting: Mutex<()>,
}

impl Peer {
    /// Creates a peer without a link.
    pub fn new(name: Name, zone: Name, addr: SocketAddrV4) -> Peer {
        Peer {
            name,
            zone,
            addr,
            capacity: None,
            avoid_until: Cell::default(),
            failures: Cell::default(),
            cannot_watch_until: Cell::default(),
            link: RefCell::default(),
            connecting: Mutex::default(),
        }
    }

    /// Sets the capacity.
    pub fn with_capacity(self, capacity: Option<Capacity>) -> Peer {
        Peer { capacity, ..self }
    }

    /// Returns true if the peer isn't in backoff.
    pub fn is_available(&self, now: Micros) -> bool {
        self.avoid_until.get() <= now
    }

    /// Starts a backoff after a link couldn't be opened.
    fn back_off(&self, now: Micros) {
        let failures = self.failures.replace((self.failures.get() + 1).min(MAX_DOUBLINGS));
        self.avoid_until.set(now + (micros(BACKOFF) << failures));
    }

    /// Records the peer's report on its ability to watch the store.
    pub fn set_can_watch(&self, can_watch: bool, now: Micros) {
        self.cannot_watch_until.set(if can_watch { 0 } else { now + micros(CANNOT_WATCH_TTL) });
    }

    /// Returns true if the peer recently reported that it can't watch the store.
    pub fn cannot_watch(&self, now: Micros) -> bool {
        self.cannot_watch_until.get() > now
    }

    /// Returns the link to the peer, opening one if there is none. Returns none if the peer can't be reached.
    pub async fn link(&self, inst: &Rc<Instance>) -> Option<Rc<Link>> {
        let _guard = self.connecting.lock().await;
        let known = self.link.borrow().clone().filter(|link| link.is_open());
        if known.is_some() {
            return known;
        }
        let result = timeout(CONNECT_TIMEOUT, TcpStream::connect(SocketAddr::V4(self.addr))).await;
        match result.map_err(|_| io::Error::from(io::ErrorKind::TimedOut)).flatten() {
            Ok(stream) => {
                self.failures.set(0);
                let link = Link::start(inst, stream);
                *self.link.borrow_mut() = Some(link.clone());
                Some(link)
            }
            Err(e) => {
                log::debug!(peer = self.name.as_str(), step = "link"; "{e}");
                self.back_off(inst.now());
                None
            }
        }
    }

    /// Sends a request and waits for the response. Returns [`Response::NotSent`] if there is no link.
    pub async fn request(&self, inst: &Rc<Instance>, request: Request) -> Response {
        let Some(link) = self.link(inst).await else { return Response::NotSent("no link".to_owned()) };
        link.request(request).await
    }
}
