//! Callers' sessions.
//!
//! | module | holds |
//! | --- | --- |
//! | [`startup`] | the first messages of a connection |
//! | [`session`] | a session's state and its batches |
//! | [`own`] | pondtrack's own settings |

pub mod own;
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

/// Bits of a process id that number the sessions of an instance.
const NUMBER_BITS: u32 = 20;
/// Bits of a process id that tell the instance.
const INSTANCE_BITS: u32 = 11;

/// One session as others reach it.
#[derive(Clone)]
pub struct Handle {
    /// The process id given to the caller.
    pub pid: i32,
    /// The secret given to the caller.
    pub secret: i32,
    /// The session's number.
    pub stream: u64,
    /// The home that runs its batch now.
    pub home: Rc<RefCell<Option<Name>>>,
}

/// The sessions of an instance.
#[derive(Default)]
pub struct Sessions {
    /// Sorted by process id.
    list: RefCell<Vec<Handle>>,
    /// Sessions by caller, sorted.
    callers: RefCell<Vec<(Name, usize)>>,
    /// Connections that have not finished their startup.
    pub starting: Cell<usize>,
    next: Cell<i32>,
    /// Woken when a session has ended.
    pub ended: Notify,
}

impl Sessions {
    /// How many there are.
    pub fn len(&self) -> usize {
        self.list.borrow().len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// How many a caller has.
    pub fn of_caller(&self, caller: &Name) -> usize {
        let all = self.callers.borrow();
        all.binary_search_by(|it| it.0.cmp(caller)).map_or(0, |at| all[at].1)
    }

    fn add(&self, node: &Node, caller: &Name) -> Handle {
        let mask = (1 << NUMBER_BITS) - 1;
        let mut list = self.list.borrow_mut();
        let (pid, at) = loop {
            self.next.set((self.next.get() + 1) & mask);
            let pid = instance_bits(&node.name) << NUMBER_BITS | self.next.get();
            if let Err(at) = list.binary_search_by_key(&pid, |it| it.pid) {
                break (pid, at);
            }
        };
        let secret = (node.random() & 0x7fff_ffff) as i32;
        let it = Handle { pid, secret, stream: node.next_id(), home: Rc::default() };
        list.insert(at, it.clone());
        drop(list);
        self.count(caller, 1);
        it
    }

    fn remove(&self, pid: i32, caller: &Name) {
        self.list.borrow_mut().retain(|it| it.pid != pid);
        self.count(caller, -1);
        self.ended.notify_waiters();
    }

    fn count(&self, caller: &Name, by: isize) {
        let mut all = self.callers.borrow_mut();
        let at = match all.binary_search_by(|it| it.0.cmp(caller)) {
            Ok(at) => at,
            Err(at) => {
                all.insert(at, (caller.clone(), 0));
                at
            }
        };
        all[at].1 = all[at].1.saturating_add_signed(by);
        if all[at].1 == 0 {
            all.remove(at);
        }
    }

    fn find(&self, pid: i32, secret: i32) -> Option<Handle> {
        let list = self.list.borrow();
        let at = list.binary_search_by_key(&pid, |it| it.pid).ok()?;
        (list[at].secret == secret).then(|| list[at].clone())
    }
}

/// The part of a process id that tells the instance.
fn instance_bits(name: &str) -> i32 {
    (placement::rendezvous_hash("pid", name) & ((1 << INSTANCE_BITS) - 1)) as i32
}

/// Accepts callers.
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

/// A caller's cancel request; it may belong to a session on another instance.
pub fn cancel(node: &Rc<Node>, pid: i32, secret: i32) {
    if pid >> NUMBER_BITS == instance_bits(&node.name) && node.sessions.find(pid, secret).is_some() {
        cancel_here(node, pid, secret);
        return;
    }
    let owners: Vec<Name> = {
        let members = node.members.borrow();
        let others = members.others().iter();
        others.filter(|it| instance_bits(&it.name) == pid >> NUMBER_BITS).map(|it| it.name.clone()).collect()
    };
    for it in owners {
        node.peers.send(node, &it, &PeerMsg::CancelFor { pid, secret });
    }
}

/// Cancels what a session of this instance runs, if the secret fits.
pub fn cancel_here(node: &Rc<Node>, pid: i32, secret: i32) {
    let Some(it) = node.sessions.find(pid, secret) else { return };
    let home = it.home.borrow().clone();
    if let Some(home) = home {
        forward::cancel(node, it.stream, &home);
    }
}
