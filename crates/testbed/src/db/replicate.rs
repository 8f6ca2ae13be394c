//! Streaming the log from a primary to a replica: JSON lines after a startup message that names the
//! database `_replication`.

use {
    super::{Server, store::Entry},
    bytes::BytesMut,
    pgwire::messages::startup::Startup,
    pondtrack_edge::{answer, contract::Role, upstream},
    pondtrack_proto::{Lsn, Name, Term},
    serde::{Deserialize, Serialize},
    std::{
        rc::Rc,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncBufReadExt, AsyncRead, AsyncWriteExt, BufReader, Lines},
        net::TcpStream,
        time::{sleep, timeout},
    },
};

/// The database named by a replica.
pub const DATABASE: &str = "_replication";
/// Between two lines of a quiet stream.
const BEAT: Duration = Duration::from_millis(50);
/// Silence after which a replica connects anew.
const SILENCE: Duration = Duration::from_millis(400);
/// Between two tries.
const RETRY: Duration = Duration::from_millis(20);
/// Entries in one line.
const LINE: usize = 256;

/// A replica's first line.
#[derive(Serialize, Deserialize)]
struct Hello {
    term: Term,
    log: Vec<(Term, u64)>,
}

/// A primary's line.
#[derive(Serialize, Deserialize)]
struct Line {
    /// The position after which the stream goes on; given in the first line.
    from: Option<Lsn>,
    entries: Vec<Entry>,
}

/// The log as runs of equal terms.
fn runs(log: &[Term]) -> Vec<(Term, u64)> {
    let mut out: Vec<(Term, u64)> = Vec::new();
    for it in log {
        match out.last_mut() {
            Some(run) if run.0 == *it => run.1 += 1,
            _ => out.push((*it, 1)),
        }
    }
    out
}

fn expand(runs: &[(Term, u64)]) -> Vec<Term> {
    runs.iter().flat_map(|it| std::iter::repeat_n(it.0, it.1 as usize)).collect()
}

/// Streams the log to a replica until either side changes.
pub async fn stream<R: AsyncRead + Unpin>(
    server: Rc<Server>,
    mut lines: Lines<BufReader<R>>,
    mut out: impl tokio::io::AsyncWrite + Unpin,
) -> std::io::Result<()> {
    let Some(first) = lines.next_line().await? else { return Ok(()) };
    let hello: Hello = serde_json::from_str(&first).map_err(std::io::Error::other)?;
    let leads = |server: &Server| {
        let it = server.contract.borrow();
        it.role == Role::Primary && it.term == hello.term && !server.cut.get()
    };
    if !leads(&server) {
        return Ok(());
    }
    let mut at = server.contract.borrow().common(&expand(&hello.log));
    let mut from = Some(at);
    loop {
        let changed = server.changed.notified();
        if !leads(&server) {
            return Ok(());
        }
        let entries: Vec<Entry> = {
            let all = server.entries.borrow();
            all[at.0 as usize..].iter().take(LINE).map(|it| Entry::clone(it)).collect()
        };
        at = Lsn(at.0 + entries.len() as u64);
        let empty = entries.is_empty();
        let mut line = serde_json::to_vec(&Line { from: from.take(), entries })?;
        line.push(b'\n');
        out.write_all(&line).await?;
        if empty {
            let _ = timeout(BEAT, changed).await;
        }
    }
}

/// Follows whom the contract says, for the life of the server.
pub async fn follow(server: Rc<Server>) {
    tokio::task::spawn_local(apply(server.clone()));
    loop {
        let term = server.contract.borrow().term;
        let follows = server.contract.borrow().role == Role::Replica && !server.cut.get();
        if let Some(addr) = server.upstream.get().filter(|_| follows) {
            let peer = Name::from("upstream");
            let dialed = upstream::dial(server.config.bind, addr, SILENCE, &peer).await;
            if let Ok(stream) = dialed {
                let _ = receive(&server, stream, term).await;
            }
        }
        sleep(RETRY).await;
    }
}

async fn receive(server: &Rc<Server>, stream: TcpStream, term: Term) -> std::io::Result<()> {
    let (read, mut write) = stream.into_split();
    let mut startup = Startup::new();
    startup.parameters.insert("database".to_owned(), DATABASE.to_owned());
    let mut out = BytesMut::new();
    answer::put(&startup, &mut out);
    let hello = Hello { term, log: runs(&server.contract.borrow().log) };
    out.extend_from_slice(&serde_json::to_vec(&hello)?);
    out.extend_from_slice(b"\n");
    write.write_all(&out).await?;
    let mut lines = BufReader::new(read).lines();
    loop {
        let Ok(line) = timeout(SILENCE, lines.next_line()).await else { return Ok(()) };
        let Some(line) = line? else { return Ok(()) };
        if !server.contract.borrow().takes(term) || server.cut.get() {
            return Ok(());
        }
        let line: Line = serde_json::from_str(&line).map_err(std::io::Error::other)?;
        server.heard.set(Instant::now());
        if let Some(from) = line.from
            && from < Lsn(server.contract.borrow().log.len() as u64)
        {
            server.truncate(from);
            server.save();
        }
        take(server, line.entries);
    }
}

fn take(server: &Rc<Server>, entries: Vec<Entry>) {
    if entries.is_empty() {
        return;
    }
    let entries: Vec<Arc<Entry>> = entries.into_iter().map(Arc::new).collect();
    server.store.borrow_mut().receive(&entries).expect("the stand-in's disk works");
    for it in &entries {
        server.contract.borrow_mut().receive(it.term);
    }
    server.entries.borrow_mut().extend(entries);
    server.changed.notify_waiters();
}

/// Applies what was received, after the lag on purpose.
async fn apply(server: Rc<Server>) {
    let mut due: Vec<(Instant, Lsn)> = Vec::new();
    loop {
        let changed = server.changed.notified();
        let end = Lsn(server.entries.borrow().len() as u64);
        let replica = server.contract.borrow().role == Role::Replica;
        if replica && end > server.applied.get() {
            if server.lag.get().is_zero() {
                due.clear();
                server.apply_to(end);
            } else {
                due.retain(|it| it.1 <= end);
                if due.last().is_none_or(|it| it.1 < end) {
                    due.push((Instant::now() + server.lag.get(), end));
                }
            }
        }
        let now = Instant::now();
        let n = due.iter().take_while(|it| it.0 <= now).count();
        if let Some(last) = due.drain(..n).next_back().filter(|it| it.1 <= end)
            && replica
        {
            server.apply_to(last.1);
        }
        let wait = due.first().map_or(Duration::from_millis(500), |it| it.0.saturating_duration_since(now));
        let _ = timeout(wait, changed).await;
    }
}
