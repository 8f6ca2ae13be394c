//! The network between parts: every address that others use is a relay's, which delays by availability
//! zone and can be cut.
//!
//! A part is known by the loopback address its own connections come from, so that a cut can be one
//! between two parts while everyone else still reaches both.

use {
    std::{
        collections::VecDeque,
        io,
        net::{IpAddr, Ipv4Addr, SocketAddr},
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream, UdpSocket},
        sync::{Notify, mpsc},
        time::sleep_until,
    },
};

/// A part of the system: its number; 0 is the callers.
pub type Part = u16;

/// Number of the callers.
pub const CALLERS: Part = 0;
/// Largest datagram.
const MAX_DATAGRAM: usize = 65_507;

#[derive(Default)]
struct State {
    /// Zones by part; callers have none.
    zones: Vec<(Part, usize)>,
    cuts: Vec<(Part, Part)>,
}

/// The network.
#[derive(Clone)]
pub struct Relay {
    state: Arc<Mutex<State>>,
    changed: Arc<Notify>,
    zone_delay: Duration,
    caller_delay: Duration,
}

/// An address that others use for a part.
#[derive(Clone, Debug)]
pub struct Front {
    /// The address.
    pub addr: SocketAddr,
    target: Arc<Mutex<Option<SocketAddr>>>,
}

impl Front {
    /// Says where the part itself listens.
    pub fn set(&self, target: SocketAddr) {
        *self.target.lock().expect("no panic while held") = Some(target);
    }

    /// The part is about to end: its port may soon be another program's, of which this address knows nothing.
    pub fn clear(&self) {
        *self.target.lock().expect("no panic while held") = None;
    }

    fn target(&self) -> Option<SocketAddr> {
        *self.target.lock().expect("no panic while held")
    }
}

/// The address a part's own connections come from.
pub fn own_ip(part: Part) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 1, (part >> 8) as u8, part as u8))
}

/// The address others use for a part.
fn front_ip(part: Part) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 2, (part >> 8) as u8, part as u8))
}

fn part_of(ip: IpAddr) -> Part {
    match ip {
        IpAddr::V4(it) if it.octets()[1] == 1 => u16::from(it.octets()[2]) << 8 | u16::from(it.octets()[3]),
        _ => CALLERS,
    }
}

impl Relay {
    /// A network with these one-way delays.
    pub fn new(zone_delay: Duration, caller_delay: Duration) -> Relay {
        Relay { state: Arc::default(), changed: Arc::default(), zone_delay, caller_delay }
    }

    /// Says in which zone a part is.
    pub fn place(&self, part: Part, zone: usize) {
        self.state.lock().expect("no panic while held").zones.push((part, zone));
    }

    /// Cuts two parts from each other, both ways.
    pub fn cut(&self, a: Part, b: Part) {
        self.state.lock().expect("no panic while held").cuts.push((a, b));
    }

    /// Ends all cuts.
    pub fn heal(&self) {
        self.state.lock().expect("no panic while held").cuts.clear();
        self.changed.notify_waiters();
    }

    fn is_cut(&self, a: Part, b: Part) -> bool {
        let state = self.state.lock().expect("no panic while held");
        state.cuts.iter().any(|it| *it == (a, b) || *it == (b, a))
    }

    fn delay(&self, a: Part, b: Part) -> Duration {
        if a == CALLERS || b == CALLERS {
            return self.caller_delay;
        }
        let state = self.state.lock().expect("no panic while held");
        let zone = |part| state.zones.iter().find(|it| it.0 == part).map(|it| it.1);
        if zone(a) == zone(b) { Duration::ZERO } else { self.zone_delay }
    }

    /// Waits until two parts reach each other.
    async fn open(&self, a: Part, b: Part) {
        loop {
            let changed = self.changed.notified();
            if !self.is_cut(a, b) {
                return;
            }
            changed.await;
        }
    }

    /// Opens an address for a part, over TCP, and over UDP on the same port if asked for.
    pub async fn front(&self, part: Part, udp: bool) -> io::Result<Front> {
        let listener = TcpListener::bind(SocketAddr::new(front_ip(part), 0)).await?;
        let addr = listener.local_addr()?;
        let front = Front { addr, target: Arc::default() };
        if udp {
            let socket = UdpSocket::bind(addr).await?;
            tokio::spawn(self.clone().datagrams(part, front.clone(), socket));
        }
        tokio::spawn(self.clone().accept(part, front.clone(), listener));
        Ok(front)
    }

    async fn accept(self, to: Part, front: Front, listener: TcpListener) {
        while let Ok((stream, from)) = listener.accept().await {
            let from = part_of(from.ip());
            tokio::spawn(self.clone().connection(from, to, front.clone(), stream));
        }
    }

    async fn connection(self, from: Part, to: Part, front: Front, near: TcpStream) {
        self.open(from, to).await;
        let Some(target) = front.target() else { return };
        // A server that is gone refuses; so does its address here, by closing.
        let Ok(far) = TcpStream::connect(target).await else { return };
        let _ = near.set_nodelay(true);
        let _ = far.set_nodelay(true);
        let delay = self.delay(from, to);
        let (near_read, near_write) = near.into_split();
        let (far_read, far_write) = far.into_split();
        tokio::select! {
            () = self.pump(from, to, delay, near_read, far_write) => {}
            () = self.pump(to, from, delay, far_read, near_write) => {}
        }
    }

    async fn pump(
        &self,
        from: Part,
        to: Part,
        delay: Duration,
        mut read: tokio::net::tcp::OwnedReadHalf,
        mut write: tokio::net::tcp::OwnedWriteHalf,
    ) {
        let (send, mut receive) = mpsc::channel::<(Instant, Vec<u8>)>(1_024);
        let reading = async move {
            let mut buf = vec![0u8; 16 * 1024];
            while let Ok(n) = read.read(&mut buf).await {
                if n == 0 || send.send((Instant::now() + delay, buf[..n].to_vec())).await.is_err() {
                    return;
                }
            }
        };
        let writing = async {
            while let Some((due, bytes)) = receive.recv().await {
                if due > Instant::now() {
                    sleep_until(due.into()).await;
                }
                self.open(from, to).await;
                if write.write_all(&bytes).await.is_err() {
                    return;
                }
            }
        };
        tokio::join!(reading, writing);
    }

    async fn datagrams(self, to: Part, front: Front, socket: UdpSocket) {
        let socket = Arc::new(socket);
        let mut buf = vec![0u8; MAX_DATAGRAM];
        let mut queue: VecDeque<(Instant, Vec<u8>)> = VecDeque::new();
        loop {
            let due = queue.front().map(|it| it.0);
            let wait = async {
                match due {
                    Some(it) => sleep_until(it.into()).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                it = socket.recv_from(&mut buf) => {
                    let Ok((n, from)) = it else { continue };
                    let from = part_of(from.ip());
                    if !self.is_cut(from, to) {
                        queue.push_back((Instant::now() + self.delay(from, to), buf[..n].to_vec()));
                    }
                }
                () = wait => {
                    if let (Some((_, bytes)), Some(target)) = (queue.pop_front(), front.target()) {
                        let _ = socket.send_to(&bytes, target).await;
                    }
                }
            }
        }
    }
}
