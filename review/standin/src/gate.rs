//! Paths that can be cut.
//!
//! A cut is silent: connections are taken, and nothing passes in either direction. What a sender that has closed its
//! connection left behind is lost; the rest arrives when the cut ends.

use std::{
    io::{ErrorKind, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, sleep},
    time::Duration,
};

/// A path between a process and a stand-in.
#[derive(Clone, Default)]
pub struct Gate(Arc<AtomicBool>);

impl Gate {
    /// Cuts the path, or ends the cut.
    pub fn set_cut(&self, cut: bool) {
        self.0.store(cut, Ordering::SeqCst);
    }

    pub fn is_cut(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }

    /// Waits until the path isn't cut. Returns false if the other end of the connection was closed.
    pub fn pass(&self, stream: &TcpStream) -> bool {
        while self.is_cut() {
            if is_closed(stream) {
                return false;
            }
            sleep(Duration::from_millis(1));
        }
        !is_closed(stream)
    }
}

/// Returns true if the other end has closed or reset the connection.
pub fn is_closed(stream: &TcpStream) -> bool {
    let mut byte = [0];
    stream.set_nonblocking(true).ok();
    let peeked = stream.peek(&mut byte);
    stream.set_nonblocking(false).ok();
    match peeked {
        Ok(n) => n == 0,
        Err(e) => e.kind() != ErrorKind::WouldBlock,
    }
}

/// Starts a proxy in front of an address, on a path that can be cut. Bytes that are sent into a cut are lost, and their
/// connections end with it.
pub fn proxy(target: SocketAddr, gate: &Gate) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("a bound address");
    let gate = gate.clone();
    thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let gate = gate.clone();
            thread::spawn(move || drop(join(near, target, &gate)));
        }
    });
    addr
}

fn join(near: TcpStream, target: SocketAddr, gate: &Gate) -> std::io::Result<()> {
    let far = TcpStream::connect(target)?;
    near.set_nodelay(true)?;
    far.set_nodelay(true)?;
    let (back_from, back_to, back_gate) = (far.try_clone()?, near.try_clone()?, gate.clone());
    thread::spawn(move || copy(back_from, back_to, &back_gate));
    copy(near, far, gate);
    Ok(())
}

fn copy(mut from: TcpStream, mut to: TcpStream, gate: &Gate) {
    let mut buf = [0; 16 << 10];
    while let Ok(n @ 1..) = from.read(&mut buf) {
        if gate.is_cut() {
            while gate.is_cut() {
                sleep(Duration::from_millis(1));
            }
            break;
        }
        if to.write_all(&buf[..n]).is_err() {
            break;
        }
    }
    from.shutdown(Shutdown::Both).ok();
    to.shutdown(Shutdown::Both).ok();
}
