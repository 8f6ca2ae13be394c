//! A loopback proxy that can hold up what passes through it, like a partition.
//!
//! What is held up arrives when the partition ends, unless its sender has reset or closed the connection by then. A
//! connection that is opened during the partition is closed at its end.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

const POLL: Duration = Duration::from_millis(5);

pub struct Proxy {
    pub addr: SocketAddr,
    held: AtomicBool,
    /// Bytes towards the target that are, or were, held up.
    held_bytes: AtomicUsize,
}

impl Proxy {
    pub fn start(target: SocketAddr) -> Arc<Proxy> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
        let addr = listener.local_addr().expect("bound");
        let proxy = Arc::new(Proxy { addr, held: AtomicBool::default(), held_bytes: AtomicUsize::default() });
        let served = proxy.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let served = served.clone();
                thread::spawn(move || served.connect(stream, target));
            }
        });
        proxy
    }

    /// Begins or ends the partition.
    pub fn hold(&self, held: bool) {
        self.held.store(held, Ordering::SeqCst);
    }

    /// The number of bytes towards the target that were held up so far.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes.load(Ordering::SeqCst)
    }

    fn is_held(&self) -> bool {
        self.held.load(Ordering::SeqCst)
    }

    fn connect(self: Arc<Proxy>, source: TcpStream, target: SocketAddr) -> Option<()> {
        if self.is_held() {
            while self.is_held() {
                thread::sleep(POLL);
            }
            return None;
        }
        let target = TcpStream::connect(target).ok()?;
        source.set_nodelay(true).ok()?;
        target.set_nodelay(true).ok()?;
        let back = (target.try_clone().ok()?, source.try_clone().ok()?);
        let proxy = self.clone();
        thread::spawn(move || proxy.pump(back.0, back.1, false));
        self.pump(source, target, true);
        Some(())
    }

    fn pump(&self, mut from: TcpStream, mut to: TcpStream, forward: bool) {
        let mut buf = [0; 65536];
        while let Ok(n) = from.read(&mut buf) {
            if n == 0 || !self.pass(&from, &mut to, &buf[..n], forward) {
                break;
            }
        }
        let _ = from.shutdown(Shutdown::Both);
        let _ = to.shutdown(Shutdown::Both);
    }

    /// Passes bytes on once they aren't held up. Returns false if the connection has ended meanwhile.
    fn pass(&self, from: &TcpStream, to: &mut TcpStream, bytes: &[u8], forward: bool) -> bool {
        if self.is_held() && forward {
            self.held_bytes.fetch_add(bytes.len(), Ordering::SeqCst);
        }
        while self.is_held() {
            thread::sleep(POLL);
            if is_closed(from) {
                return false;
            }
        }
        !is_closed(from) && to.write_all(bytes).is_ok()
    }
}

/// Returns true if the other end has closed or reset the connection.
fn is_closed(stream: &TcpStream) -> bool {
    let mut byte = [0];
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let closed = match stream.peek(&mut byte) {
        Ok(0) => true,
        Ok(_) => false,
        Err(e) => e.kind() != std::io::ErrorKind::WouldBlock,
    };
    closed || stream.set_nonblocking(false).is_err()
}
