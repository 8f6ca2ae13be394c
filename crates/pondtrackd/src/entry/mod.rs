//! Callers' sessions.
//!
//! | module | holds |
//! | --- | --- |
//! | [`startup`] | the startup phase of a connection |
//! | [`session`] | state of a session and execution of its batches |
//! | [`parameter`] | pondtrack's configuration parameters |

pub mod parameter;
pub mod session;
pub mod startup;

use {
    crate::{forward, node::Node},
    pondtrack_core::placement,
    pondtrack_proto::{Name, PeerMsg},
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
        time::Duration,
    },
    tokio::{net::TcpListener, sync::Notify, time::sleep},
};

/// Number of low bits of a process id that hold the session's number on its instance.
const NUMBER_BITS: u32 = 20;
/// Number of bits of a process id that identify the instance.
const INSTANCE_BITS: u32 = 11;

/// Handle to a session, for cancel requests.
#[derive(Clone)]
pub struct SessionHandle {
    /// Process id sent to the caller.
    pub pid: i32,
    /// Secret key sent to the caller, which a cancel request has to contain.
    pub secret: i32,
    /// Number of the session's stream, unique on the instance.
    pub stream: u64,
    /// Home that runs the session's current batch; none between batches.
    pub current_home: Rc<RefCell<Option<Name>>>,
}

/// Sessions of an instance.
#[derive(Default)]
pub struct Sessions {
    /// All sessions, sorted by process id.
    list: RefCell<Vec<SessionHandle>>,
    /// Number of sessions per caller, sorted by caller.
    callers: RefCell<Vec<(Name, usize)>>,
    /// Number of connections in the startup phase.
    pub starting: Cell<usize>,
    next_number: Cell<i32>,
    /// Notified when a session has ended.
    pub ended: Notify,
}

impl Sessions {
    /// Returns the number of sessions.
    pub fn len(&self) -> usize {
        self.list.borrow().len()
    }

    /// Returns true if there are no sessions.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the number of sessions of a caller.
    pub fn count_by_caller(&self, caller: &Name) -> usize {
        let callers = self.callers.borrow();
        callers.binary_search_by(|entry| entry.0.cmp(caller)).map_or(0, |i| callers[i].1)
    }

    /// Adds a session of the caller under a free process id.
    fn add(&self, node: &Node, caller: &Name) -> SessionHandle {
        let mask = (1 << NUMBER_BITS) - 1;
        let mut list = self.list.borrow_mut();
        let (pid, i) = loop {
            self.next_number.set((self.next_number.get() + 1) & mask);
            let pid = instance_bits(&node.name) << NUMBER_BITS | self.next_number.get();
            if let Err(i) = list.binary_search_by_key(&pid, |handle| handle.pid) {
                break (pid, i);
            }
        };
        let secret = (node.random() & 0x7fff_ffff) as i32;
        let handle = SessionHandle { pid, secret, stream: node.next_id(), current_home: Rc::default() };
        list.insert(i, handle.clone());
        drop(list);
        self.adjust_count(caller, 1);
        handle
    }

    fn remove(&self, pid: i32, caller: &Name) {
        self.list.borrow_mut().retain(|handle| handle.pid != pid);
        self.adjust_count(caller, -1);
        self.ended.notify_waiters();
    }

    /// Adds `delta` to the number of sessions of a caller.
    fn adjust_count(&self, caller: &Name, delta: isize) {
        let mut callers = self.callers.borrow_mut();
        let i = match callers.binary_search_by(|entry| entry.0.cmp(caller)) {
            Ok(i) => i,
            Err(i) => {
                callers.insert(i, (caller.clone(), 0));
                i
            }
        };
        callers[i].1 = callers[i].1.saturating_add_signed(delta);
        if callers[i].1 == 0 {
            callers.remove(i);
        }
    }

    /// Returns the session with this process id if the secret key matches.
    fn find(&self, pid: i32, secret: i32) -> Option<SessionHandle> {
        let list = self.list.borrow();
        let i = list.binary_search_by_key(&pid, |handle| handle.pid).ok()?;
        (list[i].secret == secret).then(|| list[i].clone())
    }
}

/// Returns the part of a process id that identifies the instance, a hash of its name.
fn instance_bits(name: &str) -> i32 {
    (placement::rendezvous_hash("pid", name) & ((1 << INSTANCE_BITS) - 1)) as i32
}

/// Accepts connections of callers.
pub async fn serve(node: Rc<Node>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let _ = stream.set_nodelay(true);
                tokio::task::spawn_local(startup::run(node.clone(), stream));
            }
            Err(e) => {
                log::warn!(step = "accept", peer = "caller"; "{e}");
                sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

/// Handles a caller's cancel request. The session may be on another instance; the request is then
/// forwarded to all instances that the process id may identify.
pub fn cancel(node: &Rc<Node>, pid: i32, secret: i32) {
    if pid >> NUMBER_BITS == instance_bits(&node.name) && node.sessions.find(pid, secret).is_some() {
        cancel_local(node, pid, secret);
        return;
    }
    let owners: Vec<Name> = {
        let members = node.members.borrow();
        let others = members.others().iter();
        others.filter(|m| instance_bits(&m.name) == pid >> NUMBER_BITS).map(|m| m.name.clone()).collect()
    };
    for owner in owners {
        node.peers.send(node, &owner, &PeerMsg::CancelFor { pid, secret });
    }
}

/// Cancels the running batch of a session of this instance if the secret key matches.
pub fn cancel_local(node: &Rc<Node>, pid: i32, secret: i32) {
    let Some(session) = node.sessions.find(pid, secret) else { return };
    let home = session.current_home.borrow().clone();
    if let Some(home) = home {
        forward::cancel_stream(node, session.stream, &home);
    }
}
