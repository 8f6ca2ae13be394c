//! A stand-in for a database server: the PostgreSQL protocol over SQLite, with terms, log positions and
//! asynchronous replication.
//!
//! | module | holds |
//! | --- | --- |
//! | [`contract`] | roles, terms and logs, free of I/O |
//! | [`store`] | the tables and the log on disk |
//! | [`sql`] | texts and values between the two dialects |
//! | [`session`] | one connection |
//! | [`replicate`] | streaming the log |

pub mod contract;
pub mod replicate;
pub mod session;
pub mod sql;
pub mod store;

use {
    contract::Contract,
    pondtrack_edge::contract::{Position, Role},
    pondtrack_proto::{LogPosition, Lsn, Term},
    session::Live,
    std::{
        cell::{Cell, RefCell},
        net::{IpAddr, SocketAddr},
        path::PathBuf,
        rc::{Rc, Weak},
        sync::Arc,
        time::{Duration, Instant},
    },
    store::{Entry, Store},
    tokio::{
        net::TcpListener,
        sync::{Mutex, Notify},
        task::LocalSet,
    },
};

/// How a server is set up.
#[derive(Clone, Debug)]
pub struct DbConfig {
    /// Where it listens; port 0 takes a free one.
    pub listen: SocketAddr,
    /// The address its own connections come from.
    pub bind: IpAddr,
    /// Its folder.
    pub data: PathBuf,
    /// Connections accepted.
    pub limit: usize,
    /// Time to open a connection.
    pub opening: Duration,
    /// Whether an empty server begins as the primary of term 1.
    pub primary: bool,
    /// Whom an empty server follows at first.
    pub follow: Option<SocketAddr>,
}

/// The state of a server, shared by its connections.
pub struct Server {
    /// Its set-up.
    pub config: DbConfig,
    /// Roles, terms and the log.
    pub contract: RefCell<Contract>,
    /// The entries of the log, as far as they are kept here: all of them.
    pub entries: RefCell<Vec<Arc<Entry>>>,
    /// The tables.
    pub store: RefCell<Store>,
    /// What reads show.
    pub applied: Cell<Lsn>,
    /// Whom it follows.
    pub upstream: Cell<Option<SocketAddr>>,
    /// When it last heard from whom it follows.
    pub heard: Cell<Instant>,
    /// Raised whenever anything above changes.
    pub changed: Notify,
    /// Held by the one transaction that writes.
    pub writer: Arc<Mutex<()>>,
    /// Replication lag on purpose.
    pub lag: Cell<Duration>,
    /// Cut from the other servers on purpose.
    pub cut: Cell<bool>,
    /// Connections open.
    pub open: Cell<usize>,
    /// The most connections that were ever open.
    pub peak: Cell<usize>,
    /// Open connections' transactions, for a fence to end.
    pub live: RefCell<Vec<Weak<RefCell<Live>>>>,
    /// Cancel keys by connection.
    pub cancels: RefCell<Vec<(i32, i32, Rc<Notify>)>>,
    /// The next connection's number.
    pub next: Cell<i32>,
}

impl Server {
    /// Opens the folder and takes up where it was left.
    pub fn open(config: DbConfig) -> rusqlite::Result<Rc<Server>> {
        std::fs::create_dir_all(&config.data).ok();
        let mut store = Store::open(&config.data.join("db.sqlite"))?;
        let saved = store.load(config.primary, config.follow)?;
        let it = Rc::new(Server {
            config,
            contract: RefCell::new(saved.contract),
            entries: RefCell::new(saved.entries),
            store: RefCell::new(store),
            applied: Cell::new(saved.applied),
            upstream: Cell::new(saved.upstream),
            heard: Cell::new(Instant::now()),
            changed: Notify::new(),
            writer: Arc::default(),
            lag: Cell::default(),
            cut: Cell::default(),
            open: Cell::default(),
            peak: Cell::default(),
            live: RefCell::default(),
            cancels: RefCell::default(),
            next: Cell::new(1),
        });
        let begins = it.contract.borrow().role == Role::Primary && it.contract.borrow().log.is_empty();
        if begins {
            // Each term's log begins with an entry of that term, the first one's too.
            it.contract.borrow_mut().append();
            it.begin_term();
            it.save();
        }
        Ok(it)
    }

    /// The position as it is shown.
    pub fn position(&self) -> Position {
        let it = self.contract.borrow();
        let last_contact_ms = match it.role {
            Role::Primary => 0,
            _ => self.heard.get().elapsed().as_millis() as u64,
        };
        Position {
            role: it.role,
            term: it.term,
            received: it.last(),
            applied: self.applied.get(),
            dropped: it.dropped,
            last_contact_ms,
        }
    }

    /// Writes role and term to disk and wakes whoever watches.
    pub fn save(&self) {
        let it = self.contract.borrow();
        let upstream = self.upstream.get();
        self.store.borrow_mut().save(&it, upstream).expect("the stand-in's disk works");
        drop(it);
        self.changed.notify_waiters();
    }

    /// Takes note of a connection, whose transaction a fence has to end.
    pub fn remember(&self, live: &Rc<RefCell<Live>>) {
        let mut all = self.live.borrow_mut();
        all.retain(|it| it.strong_count() > 0);
        all.push(Rc::downgrade(live));
    }

    /// Ends every open transaction, as a fence does.
    pub fn end_transactions(&self) {
        for it in self.live.borrow().iter().filter_map(Weak::upgrade) {
            it.borrow_mut().kill();
        }
    }

    /// Takes nothing from a lower term.
    pub fn fence(&self, term: Term) -> Result<(), String> {
        self.contract.borrow_mut().fence(term).map_err(|e| e.to_string())?;
        self.end_transactions();
        self.save();
        Ok(())
    }

    /// Becomes the primary of a term; the log begins with an entry of that term.
    pub fn promote(&self, term: Term) -> Result<(), String> {
        let appended = self.contract.borrow_mut().promote(term).map_err(|e| e.to_string())?;
        if appended.is_some() {
            self.apply_all();
            self.begin_term();
        }
        self.save();
        Ok(())
    }

    /// Writes the first entry of a term, which the contract has appended.
    fn begin_term(&self) {
        let LogPosition { term, lsn } = self.contract.borrow().last();
        let entry = Arc::new(Entry { lsn, term, body: Vec::new() });
        self.store.borrow_mut().receive(std::slice::from_ref(&entry)).expect("the stand-in's disk works");
        self.entries.borrow_mut().push(entry);
        self.apply_all();
    }

    /// Replicates from another server.
    pub fn follow(&self, term: Term, from: SocketAddr) -> Result<(), String> {
        self.contract.borrow_mut().follow(term).map_err(|e| e.to_string())?;
        self.end_transactions();
        self.upstream.set(Some(from));
        self.save();
        Ok(())
    }

    /// Applies everything received, without its lag.
    pub fn apply_all(&self) {
        let end = Lsn(self.entries.borrow().len() as u64);
        self.apply_to(end);
    }

    /// Applies the log up to a position.
    pub fn apply_to(&self, end: Lsn) {
        let from = self.applied.get();
        if end <= from {
            return;
        }
        let entries = self.entries.borrow();
        let part = &entries[from.0 as usize..end.0 as usize];
        self.store.borrow_mut().apply(part).expect("what ran once runs again");
        self.applied.set(end);
        self.changed.notify_waiters();
    }

    /// Drops the log after a position and builds the tables anew when they showed more.
    pub fn truncate(&self, end: Lsn) {
        self.contract.borrow_mut().truncate(end);
        self.entries.borrow_mut().truncate(end.0 as usize);
        let mut store = self.store.borrow_mut();
        store.truncate(end).expect("the stand-in's disk works");
        if self.applied.get() > end {
            store.rebuild(&self.entries.borrow()).expect("what ran once runs again");
            self.applied.set(end);
        }
        drop(store);
        self.changed.notify_waiters();
    }

    /// A commit of this primary: the entry is on disk already.
    pub fn committed(&self, entry: Entry) {
        self.applied.set(entry.lsn);
        self.entries.borrow_mut().push(Arc::new(entry));
        self.changed.notify_waiters();
    }

    /// The term of an entry, as a mark.
    pub fn entry(&self, lsn: Lsn) -> LogPosition {
        self.contract.borrow().entry(lsn)
    }
}

/// Serves until the future is dropped; `ready` gets the address.
pub async fn serve(config: DbConfig, ready: impl FnOnce(SocketAddr)) -> std::io::Result<()> {
    let listener = TcpListener::bind(config.listen).await?;
    ready(listener.local_addr()?);
    let server = Server::open(config).map_err(std::io::Error::other)?;
    let local = LocalSet::new();
    local
        .run_until(async {
            tokio::task::spawn_local(replicate::follow(server.clone()));
            loop {
                let (stream, _) = listener.accept().await?;
                stream.set_nodelay(true)?;
                tokio::task::spawn_local(session::serve(server.clone(), stream));
            }
        })
        .await
}
