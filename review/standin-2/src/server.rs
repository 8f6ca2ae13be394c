//! A service: one primary and its replicas, which speak the users' wire.

use {
    crate::record::Record,
    std::{
        collections::BTreeMap,
        io::{BufRead, BufReader, Write},
        net::{Shutdown, SocketAddr, TcpListener, TcpStream},
        sync::{Arc, Mutex, MutexGuard},
        thread,
        time::Duration,
    },
};

/// Connections to one server, from all callers.
const MAX_CONNS: usize = 38;
/// From the order to promote until the named server leads.
const PROMOTE: Duration = Duration::from_millis(600);
/// How long an old primary goes on once it can reach the new one.
const OLD_PRIMARY: Duration = Duration::from_secs(1);
/// The number before the first entry of a log.
const BASE: usize = 100;

/// The writes of a committed transaction.
#[derive(Clone)]
struct Entry {
    writes: Vec<(String, String)>,
}

pub struct Server {
    pub id: String,
    pub addr: SocketAddr,
    pub zone: &'static str,
    pub up: bool,
    pub primary: bool,
    pub term: u64,
    log: Vec<Entry>,
    paused: u64,
    conns: Vec<TcpStream>,
}

impl Server {
    fn position(&self) -> String {
        format!("{}.{}", self.term, BASE + self.log.len())
    }

    fn read(&self, item: &str) -> String {
        let mut writes = self.log.iter().rev().flat_map(|e| e.writes.iter().rev());
        writes.find(|w| w.0 == item).map_or_else(|| "none".to_owned(), |w| w.1.clone())
    }
}

pub struct Group {
    pub name: &'static str,
    record: Arc<Record>,
    servers: Mutex<Vec<Server>>,
    /// How long a statement of a client takes.
    work: Duration,
}

#[derive(Default)]
struct Conn {
    values: BTreeMap<String, String>,
    prepared: BTreeMap<String, String>,
    txn: Option<Vec<(String, String)>>,
    read_only: bool,
    failed: bool,
}

impl Group {
    /// Starts servers, one in each zone; the first one is the primary of term 1.
    pub fn start(
        name: &'static str,
        zones: &[&'static str],
        record: Arc<Record>,
        work: Duration,
    ) -> Arc<Group> {
        let mut servers = Vec::new();
        let mut listeners = Vec::new();
        for (n, zone) in zones.iter().enumerate() {
            let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
            servers.push(Server {
                id: format!("i-{n}{n}{n}{n}"),
                addr: listener.local_addr().expect("bound"),
                zone,
                up: true,
                primary: n == 0,
                term: 1,
                log: Vec::new(),
                paused: 0,
                conns: Vec::new(),
            });
            listeners.push(listener);
        }
        let group = Arc::new(Group { name, record, servers: Mutex::new(servers), work });
        for (n, listener) in listeners.into_iter().enumerate() {
            group.clone().accept(n, listener);
        }
        group
    }

    pub fn servers(&self) -> MutexGuard<'_, Vec<Server>> {
        self.servers.lock().unwrap()
    }

    /// The server that leads the newest term.
    pub fn leader(&self) -> usize {
        let servers = self.servers();
        (0..servers.len()).filter(|n| servers[*n].primary).max_by_key(|n| servers[*n].term).unwrap_or(0)
    }

    /// A server's process ends: its connections break, and its address refuses new ones.
    pub fn crash(&self, n: usize) {
        let mut servers = self.servers();
        servers[n].up = false;
        for conn in servers[n].conns.drain(..) {
            let _ = conn.shutdown(Shutdown::Both);
        }
        self.record.line(format!("server {} has crashed", servers[n].id));
    }

    /// A server that crashed comes back with its log, as a replica if another server was promoted.
    pub fn restart(self: &Arc<Group>, n: usize) {
        let addr = {
            let mut servers = self.servers();
            servers[n].up = true;
            servers[n].paused = 0;
            follow(&mut servers, n);
            self.record.line(format!("server {} is back", servers[n].id));
            servers[n].addr
        };
        self.clone().accept(n, TcpListener::bind(addr).expect("the port of before"));
    }

    /// The order to promote was accepted: some hundred ms later the server leads the next term.
    pub fn promote(self: &Arc<Group>, id: &str) -> bool {
        let n = {
            let servers = self.servers();
            match servers.iter().position(|s| s.id == id) {
                Some(n) if servers[n].up => n,
                _ => return false,
            }
        };
        let group = self.clone();
        thread::spawn(move || {
            thread::sleep(PROMOTE);
            group.lead(n);
            thread::sleep(OLD_PRIMARY);
            let mut servers = group.servers();
            for other in 0..servers.len() {
                follow(&mut servers, other);
            }
        });
        true
    }

    fn lead(&self, n: usize) {
        let mut servers = self.servers();
        if !servers[n].up || servers[n].primary {
            return;
        }
        let term = servers.iter().map(|s| s.term).max().unwrap_or_default() + 1;
        (servers[n].primary, servers[n].term, servers[n].paused) = (true, term, 0);
        self.record.line(format!("server {} leads term {term}", servers[n].id));
        for other in 0..servers.len() {
            if !servers[other].primary {
                servers[other].paused = 0;
                follow(&mut servers, other);
            }
        }
    }

    fn accept(self: Arc<Group>, n: usize, listener: TcpListener) {
        listener.set_nonblocking(true).expect("a socket option");
        thread::spawn(move || {
            while self.servers()[n].up {
                match listener.accept() {
                    Ok((stream, _)) => {
                        stream.set_nonblocking(false).expect("a socket option");
                        let group = self.clone();
                        thread::spawn(move || group.serve(n, stream));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(2)),
                }
            }
        });
    }

    fn serve(&self, n: usize, mut stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut lines = BufReader::new(stream.try_clone().ok()?).lines();
        let startup = lines.next()?.ok()?;
        let fields: Vec<&str> = startup.split(' ').collect();
        {
            let mut servers = self.servers();
            let server = &mut servers[n];
            let is_right = fields.first() == Some(&"STARTUP")
                && fields.get(1) == Some(&self.name)
                && fields.get(3).is_none_or(|id| *id == server.id);
            if !server.up {
                return None;
            }
            if !is_right || server.conns.len() >= MAX_CONNS {
                let code = if is_right { "TOOMANY" } else { "WRONGNODE" };
                stream.write_all(format!("ERROR {code} {}\r\n", server.id).as_bytes()).ok()?;
                return None;
            }
            server.conns.push(stream.try_clone().ok()?);
            stream.write_all(format!("READY I {}\r\n", server.position()).as_bytes()).ok()?;
        }
        let peer = stream.peer_addr().ok();
        let mut conn = Conn::default();
        while let Some(Ok(line)) = lines.next() {
            let Some((id, text)) = line.strip_prefix("QUERY ").and_then(|l| l.split_once(' ')) else { break };
            if id != "-" {
                let server = self.servers()[n].id.clone();
                self.record.line(format!("server {server} gets {id} {text}"));
                thread::sleep(self.work);
            }
            let answer = self.answer(n, &mut conn, id, text);
            if !self.servers()[n].up || stream.write_all(answer.as_bytes()).is_err() {
                break;
            }
        }
        self.servers()[n].conns.retain(|c| c.peer_addr().ok() != peer);
        Some(())
    }

    fn answer(&self, n: usize, conn: &mut Conn, id: &str, text: &str) -> String {
        let mut servers = self.servers();
        let result = run(&mut servers, n, conn, id, text);
        let lines = result.unwrap_or_else(|code| {
            conn.failed |= conn.txn.is_some() && !matches!(code, "BUSY" | "NOSTMT");
            format!("ERROR {code} {}\r\n", servers[n].id)
        });
        let state = match (&conn.txn, conn.failed) {
            (None, _) => 'I',
            (Some(_), false) => 'T',
            (Some(_), true) => 'E',
        };
        format!("{lines}READY {state} {}\r\n", servers[n].position())
    }
}

/// A server that isn't the primary of the newest term follows that one.
fn follow(servers: &mut [Server], n: usize) {
    let leaders = (0..servers.len()).filter(|l| servers[*l].primary && servers[*l].up);
    let Some(leader) = leaders.max_by_key(|l| servers[*l].term) else { return };
    if leader == n || !servers[n].up || servers[n].paused > 0 || servers[n].term > servers[leader].term {
        return;
    }
    let (term, log) = (servers[leader].term, servers[leader].log.clone());
    let server = &mut servers[n];
    (server.primary, server.term, server.log) = (false, term, log);
}

fn run(
    servers: &mut [Server],
    n: usize,
    conn: &mut Conn,
    id: &str,
    text: &str,
) -> Result<String, &'static str> {
    let proof = |server: &Server| format!("COMPLETE {}.{id}\r\n", server.id);
    let (word, rest) = text.split_once(' ').unwrap_or((text, ""));
    if conn.failed && !matches!(word, "ROLLBACK" | "COMMIT" | "STATUS") {
        return Err("MALFORMED");
    }
    match word {
        "WAITLSN" => {
            let (position, rest) = rest.split_once(' ').ok_or("MALFORMED")?;
            let (_, number) = position.split_once('.').ok_or("MALFORMED")?;
            if number.parse::<usize>().map_err(|_| "MALFORMED")? > BASE + servers[n].log.len() {
                return Err("LAGGING");
            }
            run(servers, n, conn, id, rest)
        }
        "BEGIN" => {
            conn.read_only = rest == "READ";
            if !conn.read_only && !servers[n].primary {
                return Err("READONLY");
            }
            conn.txn = Some(Vec::new());
            Ok(proof(&servers[n]))
        }
        "COMMIT" => {
            let writes = conn.txn.take().ok_or("MALFORMED")?;
            if std::mem::take(&mut conn.failed) {
                return Err("ABORTED");
            }
            if !writes.is_empty() {
                if !servers[n].primary {
                    return Err("READONLY");
                }
                commit(servers, n, writes);
            }
            Ok(proof(&servers[n]))
        }
        "ROLLBACK" => {
            (conn.txn, conn.failed) = (None, false);
            Ok("COMPLETE -\r\n".to_owned())
        }
        "SET" => {
            let (name, value) = rest.split_once(' ').ok_or("MALFORMED")?;
            conn.values.insert(name.to_owned(), value.to_owned());
            Ok("COMPLETE -\r\n".to_owned())
        }
        "PREPARE" => {
            let (name, what) = rest.split_once(' ').ok_or("MALFORMED")?;
            conn.prepared.insert(name.to_owned(), what.to_owned());
            Ok("COMPLETE -\r\n".to_owned())
        }
        "DISCARD" => {
            conn.values.clear();
            conn.prepared.clear();
            Ok("COMPLETE -\r\n".to_owned())
        }
        "EXECUTE" => {
            let (name, args) = rest.split_once(' ').ok_or("MALFORMED")?;
            let access = conn.prepared.get(name).and_then(|p| p.split(' ').next()).ok_or("NOSTMT")?;
            let text = format!("{access} {args}");
            run(servers, n, conn, id, &text)
        }
        "READ" => {
            if conn.txn.is_some() && !conn.read_only && !servers[n].primary {
                return Err("READONLY");
            }
            Ok(format!("ROW {}\r\n{}", servers[n].read(rest), proof(&servers[n])))
        }
        "WRITE" => {
            let (item, data) = rest.split_once(' ').ok_or("MALFORMED")?;
            if !servers[n].primary || conn.txn.is_some() && conn.read_only {
                return Err("READONLY");
            }
            let write = (item.to_owned(), data.to_owned());
            match &mut conn.txn {
                Some(writes) => writes.push(write),
                None => commit(servers, n, vec![write]),
            }
            Ok(proof(&servers[n]))
        }
        "STATUS" => Ok(status(&servers[n])),
        "PAUSE" => {
            let term: u64 = rest.parse().map_err(|_| "MALFORMED")?;
            if !servers[n].primary && term > servers[n].term {
                servers[n].paused = term;
            }
            Ok(status(&servers[n]))
        }
        "RESUME" => {
            servers[n].paused = 0;
            follow(servers, n);
            Ok(status(&servers[n]))
        }
        "STEPDOWN" => {
            let term: u64 = rest.parse().map_err(|_| "MALFORMED")?;
            if servers[n].primary && servers[n].term < term {
                servers[n].primary = false;
                follow(servers, n);
            }
            Ok(status(&servers[n]))
        }
        _ => Err("MALFORMED"),
    }
}

fn commit(servers: &mut [Server], n: usize, writes: Vec<(String, String)>) {
    servers[n].log.push(Entry { writes });
    let (term, log) = (servers[n].term, servers[n].log.clone());
    for other in servers.iter_mut().enumerate().filter(|s| s.0 != n).map(|s| s.1) {
        if other.up && !other.primary && other.paused == 0 && other.term <= term {
            (other.term, other.log) = (term, log.clone());
        }
    }
}

fn status(server: &Server) -> String {
    let role = if server.primary { "primary" } else { "replica" };
    let (term, at, paused, conns) = (server.term, server.position(), server.paused, server.conns.len());
    format!("ROW {role} {term} {at} {paused} 0 0 {conns}\r\nCOMPLETE -\r\n")
}
