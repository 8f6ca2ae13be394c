//! Other instances, as this one reaches them.

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

/// Time to open a link: a crossing of zones takes under 3 ms, a lost first packet a second.
const OPEN_LIMIT: Duration = Duration::from_millis(250);
/// A peer whose link failed is passed over for this long, doubled each time it fails again.
const AVOID: Duration = Duration::from_millis(1_000);
/// The most doublings: its entry stays for a while after it is gone.
const DOUBLINGS: u32 = 4;
/// An instance that said that it can't watch the store isn't counted on for this long.
const BLIND: Duration = Duration::from_millis(2_400);

/// Another instance.
pub struct Peer {
    /// Its name.
    pub name: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Where it answers.
    pub addr: SocketAddrV4,
    /// What it can carry, where it states that.
    pub capacity: Option<Capacity>,
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
            capacity: None,
            avoid: Cell::default(),
            failures: Cell::default(),
            blind: Cell::default(),
            link: RefCell::default(),
            opening: Mutex::default(),
        }
    }

    /// The same with what it can carry.
    pub fn with_capacity(self, capacity: Option<Capacity>) -> Peer {
        Peer { capacity, ..self }
    }

    /// Whether it may be asked now.
    pub fn is_available(&self, now: Micros) -> bool {
        self.avoid.get() <= now
    }

    /// Passes it over for a while.
    fn avoid(&self, now: Micros) {
        let failures = self.failures.replace((self.failures.get() + 1).min(DOUBLINGS));
        self.avoid.set(now + (micros(AVOID) << failures));
    }

    /// It says whether it can watch the store.
    pub fn set_can_watch(&self, watching: bool, now: Micros) {
        self.blind.set(if watching { 0 } else { now + micros(BLIND) });
    }

    /// Whether it said lately that it can't watch the store.
    pub fn cannot_watch(&self, now: Micros) -> bool {
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
    pub async fn request(&self, inst: &Rc<Instance>, ask: Request) -> Response {
        let Some(link) = self.link(inst).await else { return Response::NotSent("no link".to_owned()) };
        link.request(ask).await
    }
}
