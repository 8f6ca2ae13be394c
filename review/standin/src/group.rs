//! A group of database servers that replicate from their primary, and the platform's call that promotes one.

use crate::{
    gate::Gate,
    http::{Request, Response},
    json::{Json, number, object, string},
    record,
    store::Store,
};
use std::{
    collections::VecDeque,
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex, MutexGuard},
    thread::{self, sleep},
    time::{Duration, Instant},
};

/// The position before the first entry of a log.
const FIRST: usize = 10;
/// Interval between reports of a server to the store. An entry goes after three reports of silence.
const REPORT_INTERVAL: Duration = Duration::from_millis(1_200);
/// How long an old primary goes on after it can reach the new one.
const OLD_PRIMARY_TIME: Duration = Duration::from_secs(1);
/// How long a new connection and a statement take.
const OPEN_TIME: Duration = Duration::from_millis(12);
const WORK_TIME: Duration = Duration::from_millis(6);
/// Interval of replication.
const TICK: Duration = Duration::from_millis(2);

/// A committed write.
#[derive(Clone, Debug, PartialEq)]
struct Entry {
    term: u64,
    /// The id of the statement that committed it.
    id: String,
    item: String,
    data: String,
}

struct Server {
    id: String,
    zone: &'static str,
    addr: Option<SocketAddr>,
    primary: bool,
    term: u64,
    log: Vec<Entry>,
    applied: usize,
    /// Received lengths of the log, and when they are applied.
    applying: VecDeque<(Instant, usize)>,
    /// The term of a `PAUSE`; 0 if the server receives.
    paused: u64,
    draining: bool,
    /// True while the server can't reach the store.
    store_cut: bool,
    /// When it last reported, and what.
    reported: Option<(Instant, bool, bool)>,
    /// Since when an old primary has been able to reach the new one.
    sees_newer: Option<Instant>,
    conns: usize,
}

impl Server {
    fn position(&self, length: usize) -> String {
        let term = self.log[..length].last().map_or(1, |entry| entry.term);
        format!("{term}.{}", FIRST + length)
    }

    fn status(&self) -> String {
        let role = if self.primary { "primary" } else { "replica" };
        let received = self.position(self.log.len());
        format!("ROW {role} {} {received} {} 0 0 {}\r\nCOMPLETE -\r\n", self.term, self.paused, self.conns)
    }
}

/// A read that a server ran.
pub struct ReadRun {
    pub id: String,
    pub server: String,
    /// The ids of the commits in the log that it ran on.
    pub log: Vec<String>,
}

struct State {
    servers: Vec<Server>,
    /// `reach[a][b]`: what `a` writes gets to `b`.
    reach: Vec<Vec<bool>>,
    reads: Vec<ReadRun>,
    /// The server that the platform promoted last.
    current: usize,
}

/// A group of servers.
pub struct Group {
    pub name: String,
    lag: Duration,
    promote_time: Duration,
    state: Mutex<State>,
}

impl Group {
    /// Starts a group of servers in these zones, each behind a path; the first one is the primary of term 1.
    pub fn start(
        name: &str,
        zones: &[&'static str],
        lag: Duration,
        promote_time: Duration,
        gates: &[Gate],
        store: &Arc<Store>,
    ) -> Arc<Group> {
        let n = zones.len();
        let servers = zones.iter().enumerate().map(|(i, zone)| Server {
            id: format!("i-{i}"),
            zone,
            addr: None,
            primary: i == 0,
            term: 1,
            log: Vec::new(),
            applied: 0,
            applying: VecDeque::new(),
            paused: 0,
            draining: false,
            store_cut: false,
            reported: None,
            sees_newer: None,
            conns: 0,
        });
        let state = State {
            servers: servers.collect(),
            reach: vec![vec![true; n]; n],
            reads: Vec::new(),
            current: 0,
        };
        let group = Arc::new(Group { name: name.to_owned(), lag, promote_time, state: Mutex::new(state) });
        for (at, gate) in gates.iter().enumerate() {
            let addr = group.listen(at, gate);
            group.lock().servers[at].addr = Some(addr);
        }
        group.report(store);
        let (replicating, reporting, store) = (group.clone(), group.clone(), store.clone());
        thread::spawn(move || {
            loop {
                sleep(TICK);
                replicating.replicate();
            }
        });
        thread::spawn(move || {
            loop {
                sleep(Duration::from_millis(20));
                reporting.report(&store);
            }
        });
        group
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// Lets a server listen on a further address, through a path that can be cut.
    pub fn listen(self: &Arc<Self>, at: usize, gate: &Gate) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("a bound address");
        let (group, gate) = (self.clone(), gate.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (group, gate) = (group.clone(), gate.clone());
                thread::spawn(move || {
                    group.lock().servers[at].conns += 1;
                    group.talk(at, &gate, stream);
                    group.lock().servers[at].conns -= 1;
                });
            }
        });
        addr
    }

    /// The address that a server has for everybody.
    pub fn addr(&self, at: usize) -> SocketAddr {
        self.lock().servers[at].addr.expect("every server listens")
    }

    /// Cuts the replication between two servers, or ends the cut.
    pub fn set_reach(&self, a: usize, b: usize, reach: bool) {
        let mut state = self.lock();
        state.reach[a][b] = reach;
        state.reach[b][a] = reach;
    }

    /// Cuts a server off from the store, or ends the cut.
    pub fn set_store_cut(&self, at: usize, cut: bool) {
        self.lock().servers[at].store_cut = cut;
    }

    /// Lets a server announce that it ends.
    pub fn drain(&self, at: usize) {
        record!("plan: server i-{at} says draining");
        self.lock().servers[at].draining = true;
    }

    /// Ends a drain.
    pub fn undrain(&self, at: usize) {
        self.lock().servers[at].draining = false;
    }

    /// The primary of the newest term.
    pub fn newest_primary(&self) -> Option<(usize, u64)> {
        let state = self.lock();
        let leads = state.servers.iter().enumerate().filter(|s| s.1.primary);
        leads.map(|(i, s)| (i, s.term)).max_by_key(|s| s.1)
    }

    /// The number of servers that are primaries, and of those that are paused.
    pub fn primaries(&self) -> (usize, usize) {
        let state = self.lock();
        let count = |is: fn(&Server) -> bool| state.servers.iter().filter(|s| is(s)).count();
        (count(|s| s.primary), count(|s| s.paused > 0))
    }

    /// The ids of the commits in the newest primary's log.
    pub fn newest_log(&self) -> Vec<String> {
        let at = self.newest_primary().map_or(0, |p| p.0);
        self.lock().servers[at].log.iter().map(|e| e.id.clone()).collect()
    }

    /// The reads that servers ran.
    pub fn take_reads(&self) -> Vec<ReadRun> {
        std::mem::take(&mut self.lock().reads)
    }

    /// `POST /promote`.
    pub fn promote(self: &Arc<Self>, request: &Request) -> Response {
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let id = body.get("Id").as_str().unwrap_or_default().to_owned();
        let mut state = self.lock();
        let Some(at) = state.servers.iter().position(|s| s.id == id) else { return (409, "null".to_owned()) };
        if state.current == at {
            return (200, "null".to_owned());
        }
        state.current = at;
        let group = self.clone();
        thread::spawn(move || {
            sleep(group.promote_time);
            group.lead(at);
        });
        (200, "null".to_owned())
    }

    fn lead(&self, at: usize) {
        let mut state = self.lock();
        let term = state.servers.iter().map(|s| s.term).max().unwrap_or_default() + 1;
        let server = &mut state.servers[at];
        server.primary = true;
        server.term = term;
        server.paused = 0;
        server.applied = server.log.len();
        server.applying.clear();
        record!("server {} leads term {term} at {}", server.id, server.position(server.log.len()));
    }

    fn replicate(&self) {
        let mut state = self.lock();
        let state = &mut *state;
        for at in 0..state.servers.len() {
            while let Some((when, length)) = state.servers[at].applying.front().copied()
                && when <= Instant::now()
            {
                let server = &mut state.servers[at];
                server.applying.pop_front();
                server.applied = server.applied.max(length);
            }
            let reachable = (0..state.servers.len())
                .filter(|p| *p != at && state.servers[*p].primary && state.reach[*p][at]);
            let Some(lead) = reachable.max_by_key(|p| state.servers[*p].term) else { continue };
            let (term, log) = (state.servers[lead].term, state.servers[lead].log.clone());
            let server = &mut state.servers[at];
            if server.primary {
                if term > server.term {
                    let since = *server.sees_newer.get_or_insert(Instant::now());
                    if since.elapsed() >= OLD_PRIMARY_TIME {
                        record!("server {} follows the new primary by itself", server.id);
                        server.primary = false;
                    }
                }
                continue;
            }
            server.sees_newer = None;
            if term < server.term || server.paused > 0 {
                continue;
            }
            server.term = term;
            let common = server.log.iter().zip(&log).take_while(|(a, b)| a == b).count();
            if common < server.log.len() {
                let lost: Vec<&str> = server.log[common..].iter().map(|e| e.id.as_str()).collect();
                record!("server {} rolls back {}", server.id, lost.join(" "));
                server.log.truncate(common);
                server.applied = server.applied.min(common);
                server.applying.retain(|a| a.1 <= common);
            }
            if server.log.len() < log.len() {
                server.log.extend_from_slice(&log[common..]);
                server.applying.push_back((Instant::now() + self.lag, log.len()));
            }
        }
    }

    /// Servers keep themselves in the store. An entry changes when more than its sequence number does.
    fn report(&self, store: &Store) {
        let mut state = self.lock();
        for server in &mut state.servers {
            let now = (server.primary, server.draining);
            let age = server.reported.map(|r| r.0.elapsed());
            if server.store_cut {
                if age.is_some_and(|age| age >= REPORT_INTERVAL * 3) {
                    server.reported = None;
                    record!("store: the entry of {} goes after three reports of silence", server.id);
                    store.remove("servers", &server.id);
                }
                continue;
            }
            let changed = server.reported.is_none_or(|r| (r.1, r.2) != now);
            if changed {
                store.set("servers", &server.id, entry(&self.name, server));
            }
            if changed || age.is_some_and(|age| age >= REPORT_INTERVAL) {
                server.reported = Some((Instant::now(), now.0, now.1));
            }
        }
    }

    fn talk(&self, at: usize, gate: &Gate, mut stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        let mut open_txn: Option<Vec<Entry>> = None;
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).ok()? == 0 || !gate.pass(&stream) {
                return None;
            }
            let line = line.trim_end();
            let is_own = line.starts_with("QUERY - ");
            if line.starts_with("STARTUP") {
                sleep(OPEN_TIME);
            } else if !is_own {
                sleep(WORK_TIME);
                if !gate.pass(&stream) {
                    return None;
                }
            }
            let answer = self.answer(at, line, &mut open_txn);
            if !line.ends_with(" STATUS") && !line.starts_with("STARTUP") {
                record!("server i-{at}: {line} -> {}", answer.trim_end().replace("\r\n", " | "));
            }
            if !gate.pass(&stream) {
                return None;
            }
            stream.write_all(answer.as_bytes()).ok()?;
        }
    }

    fn answer(&self, at: usize, line: &str, txn: &mut Option<Vec<Entry>>) -> String {
        let mut state = self.lock();
        if let Some(rest) = line.strip_prefix("STARTUP ") {
            let fields: Vec<&str> = rest.split(' ').collect();
            let id = &state.servers[at].id;
            if fields.first() != Some(&self.name.as_str()) || fields.get(2).is_some_and(|f| f != id) {
                return "ERROR WRONGNODE another\r\n".to_owned();
            }
            return ready(&state.servers[at], txn);
        }
        let query = line.strip_prefix("QUERY ").and_then(|rest| rest.split_once(' '));
        let outcome = match query {
            Some((id, text)) => run(&mut state, at, id, text, txn),
            None => Err("MALFORMED"),
        };
        let lines = outcome.unwrap_or_else(|code| format!("ERROR {code} {}\r\n", state.servers[at].id));
        lines + &ready(&state.servers[at], txn)
    }
}

fn entry(group: &str, server: &Server) -> Json {
    object([
        ("Service", string(group)),
        ("Addr", string(server.addr.map(|addr| addr.to_string()).unwrap_or_default())),
        ("Zone", string(server.zone)),
        ("Version", string("v1")),
        ("Slots", number(3)),
        ("State", string(if server.draining { "draining" } else { "ready" })),
        ("ColdLeftMs", number(0)),
        ("DbRole", string(if server.primary { "primary" } else { "replica" })),
        ("Seq", number(1)),
    ])
}

fn ready(server: &Server, txn: &Option<Vec<Entry>>) -> String {
    let state = if txn.is_some() { 'T' } else { 'I' };
    format!("READY {state} {}\r\n", server.position(server.applied))
}

fn run(
    state: &mut State,
    at: usize,
    id: &str,
    text: &str,
    txn: &mut Option<Vec<Entry>>,
) -> Result<String, &'static str> {
    let server = &mut state.servers[at];
    let proof = format!("COMPLETE p.{}.{id}\r\n", server.id);
    let (word, rest) = text.split_once(' ').unwrap_or((text, ""));
    match word {
        "WAITLSN" => {
            let (position, rest) = rest.split_once(' ').ok_or("MALFORMED")?;
            let (_, lsn) = position.split_once('.').ok_or("MALFORMED")?;
            if FIRST + server.applied < lsn.parse().map_err(|_| "MALFORMED")? {
                return Err("LAGGING");
            }
            run(state, at, id, rest, txn)
        }
        "STATUS" => Ok(server.status()),
        "PAUSE" => {
            server.paused = rest.parse().map_err(|_| "MALFORMED")?;
            Ok(server.status())
        }
        "RESUME" => {
            server.paused = 0;
            Ok(server.status())
        }
        "STEPDOWN" => {
            let term: u64 = rest.parse().map_err(|_| "MALFORMED")?;
            server.primary &= term <= server.term;
            Ok(server.status())
        }
        "DISCARD" | "SET" | "PREPARE" | "DEALLOC" => Ok("COMPLETE -\r\n".to_owned()),
        "BEGIN" if rest.is_empty() && !server.primary => Err("READONLY"),
        "BEGIN" => {
            *txn = Some(Vec::new());
            Ok(proof)
        }
        "ROLLBACK" => {
            *txn = None;
            Ok(proof)
        }
        "COMMIT" => {
            let writes = txn.take().ok_or("MALFORMED")?;
            if !writes.is_empty() && !server.primary {
                return Err("READONLY");
            }
            writes.into_iter().for_each(|write| commit(server, Entry { id: id.to_owned(), ..write }));
            Ok(proof)
        }
        "READ" => {
            let log = &server.log[..server.applied];
            let row = log.iter().rev().find(|e| e.item == rest).map_or("none", |e| &e.data).to_owned();
            let log = log.iter().map(|e| e.id.clone()).collect();
            state.reads.push(ReadRun { id: id.to_owned(), server: state.servers[at].id.clone(), log });
            Ok(format!("ROW {row}\r\n{proof}"))
        }
        "WRITE" if !server.primary => Err("READONLY"),
        "WRITE" => {
            let (item, data) = rest.split_once(' ').ok_or("MALFORMED")?;
            let (id, item, data) = (id.to_owned(), item.to_owned(), data.to_owned());
            let write = Entry { term: server.term, id, item, data };
            match txn {
                Some(writes) => writes.push(write),
                None => commit(server, write),
            }
            Ok(proof)
        }
        _ => Err("MALFORMED"),
    }
}

fn commit(server: &mut Server, write: Entry) {
    server.log.push(Entry { term: server.term, ..write });
    server.applied = server.log.len();
}
