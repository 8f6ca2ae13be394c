//! Machines that run the project's program, and clients that are connected to one of them.

use {
    crate::record::Record,
    std::{
        fs::{self, File},
        io::{BufRead, BufReader, Read, Write},
        net::{SocketAddr, TcpListener, TcpStream},
        path::PathBuf,
        process::{Child, Command, Stdio},
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU32, Ordering},
        },
        thread,
        time::Duration,
    },
};

/// The time in a zone between the end of a process and its next start.
const RESTART_DELAY: Duration = Duration::from_millis(300);
/// How long a client waits after a refusal, as the refusal says.
const RETRY_AFTER: Duration = Duration::from_millis(100);
/// A client closes a session that isn't opened in this time, and waits no longer for an answer than its deadline.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(3);

/// Where a machine finds the platform, and what it is told about itself.
pub struct Machine {
    pub name: String,
    pub zone: &'static str,
    pub store: SocketAddr,
    pub orders: SocketAddr,
    ports: [u16; 3],
    seeds: Mutex<String>,
    dir: PathBuf,
    record: Arc<Record>,
    child: Mutex<Option<Child>>,
    /// True once no process may be started any more.
    closed: AtomicBool,
    /// When the running process was started.
    pub started: Mutex<f64>,
}

impl Machine {
    pub fn new(
        name: &str,
        zone: &'static str,
        platform: (SocketAddr, SocketAddr),
        dir: PathBuf,
        record: Arc<Record>,
    ) -> Arc<Machine> {
        let (store, orders) = platform;
        Arc::new(Machine {
            name: name.to_owned(),
            zone,
            store,
            orders,
            ports: free_ports(),
            seeds: Mutex::default(),
            dir,
            record,
            child: Mutex::default(),
            closed: AtomicBool::default(),
            started: Mutex::default(),
        })
    }

    pub fn peer_addr(&self) -> String {
        format!("127.0.0.1:{}", self.ports[2])
    }

    /// The address for clients.
    pub fn caller_addr(&self) -> SocketAddr {
        SocketAddr::from(([127, 0, 0, 1], self.ports[0]))
    }

    pub fn set_seeds(&self, seeds: &[String]) {
        *self.seeds.lock().unwrap() = seeds.iter().map(|s| format!("{s:?}")).collect::<Vec<_>>().join(",");
    }

    /// Starts the program as the deploy file does.
    pub fn start(&self, bootstrap: bool) {
        let file = self.dir.join(format!("{}.toml", self.name));
        fs::write(&file, self.settings(bootstrap)).expect("a file in the temporary folder");
        let log = self.dir.join(format!("{}.log", self.name));
        let log = File::options().create(true).append(true).open(log).expect("a file there");
        let mut command = Command::new("target/release/pondtrackd");
        command.arg("hosted").env_clear().env("PONDTRACK_BOOT", &file);
        for name in ["PATH", "HOME", "LANG"] {
            if let Ok(value) = std::env::var(name) {
                command.env(name, value);
            }
        }
        command.stdin(Stdio::null()).stdout(log).stderr(Stdio::null());
        let mut child = self.child.lock().unwrap();
        // Read under the lock, so that a process is either not started or ended by `kill`.
        if self.closed.load(Ordering::SeqCst) {
            return;
        }
        *child = Some(command.spawn().expect("the program of the deploy file is built"));
        drop(child);
        *self.started.lock().unwrap() = self.record.line(format!("{} starts", self.name));
    }

    pub fn signal(&self, name: &str) {
        let Some(pid) = self.child.lock().unwrap().as_ref().map(Child::id) else { return };
        self.record.line(format!("{} gets SIG{name}", self.name));
        let _ = Command::new("sh").arg("-c").arg(format!("kill -s {name} {pid}")).status();
    }

    /// Stops the process as the platform does, and starts it again.
    pub fn restart(&self, grace: Duration) {
        self.signal("TERM");
        let until = self.record.now() + grace.as_secs_f64();
        while self.is_running() {
            if self.record.now() > until {
                self.end_process();
            }
            thread::sleep(Duration::from_millis(5));
        }
        self.record.line(format!("{} has ended", self.name));
        thread::sleep(RESTART_DELAY);
        self.start(false);
    }

    /// Ends the process for good.
    pub fn kill(&self) {
        self.closed.store(true, Ordering::SeqCst);
        self.end_process();
    }

    fn end_process(&self) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn is_running(&self) -> bool {
        let mut child = self.child.lock().unwrap();
        child.as_mut().is_some_and(|c| matches!(c.try_wait(), Ok(None)))
    }

    /// The platform's probe.
    pub fn is_ready(&self) -> bool {
        let probe = || -> Option<bool> {
            let mut stream = TcpStream::connect(("127.0.0.1", self.ports[1])).ok()?;
            stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
            stream.write_all(b"GET /-/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").ok()?;
            let mut head = [0; 12];
            stream.read_exact(&mut head).ok()?;
            Some(head.ends_with(b"200"))
        };
        probe() == Some(true)
    }

    fn settings(&self, bootstrap: bool) -> String {
        let [front, ready, peers] = self.ports;
        let (name, zone, seeds) = (&self.name, self.zone, self.seeds.lock().unwrap().clone());
        let (store, orders) = (self.store, self.orders);
        format!(
            r#"NodeName = "{name}"
Role = "instance"
MachineClass = "frontend"
Serves = ["frontend","control_plane"]
Ip = "127.0.0.1"
Zone = "{zone}"
Region = "tallinn"
InternalPorts = [{peers},{peers}]
Seeds = [{seeds}]
Bootstrap = {bootstrap}
InTolerance = false
Discovery = "platform"
Entry = "vip"
HeartbeatMs = 1200
Invariants = ["base","drain","config","cost","recover","sql","platform"]
[Zones]
ulemiste = "tallinn"
lasnamae = "tallinn"
kopli = "tallinn"
[Listen]
Frontend = "127.0.0.1:{front}"
Ready = "127.0.0.1:{ready}"
ControlPlane = "127.0.0.1:{peers}"
[Limits]
CpuQuota = 0.25
Cores = 1
MemoryMb = 260
MaxFds = 4200
LinkMbps = 1000.0
DiskMb = 0
[FaultTolerance]
Machines = 2
Zones = 0
Regions = 0
[Bounds]
SeedLagS = 3
AddrReuseS = 2
StabilityWindowMs = 4000
AckMs = 5000
CatchUpS = 4
DrainMs = 7000
GraceS = 6
LossSlackMs = 200
ConfigApplyMs = 3000
DowngradeMs = 250
SkewMaxMs = 12000
RecoveryS = 12
Fencing = false
ThawMs = 300
[platform]
Addr = "{store}"
form = "objects"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
TtlMinMs = 1000
[CloudApi]
Addr = "{orders}"
RatePerS = 50.0
Duties = ["failover"]
DutyPerS = 50.0
"#
        )
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Three free ports, below those that the system gives to outgoing connections, so that no connection takes one before
/// the program binds it. Each run begins at another one.
fn free_ports() -> [u16; 3] {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let first = std::process::id().wrapping_mul(97);
    [(); 3].map(|()| {
        loop {
            let n = first.wrapping_add(NEXT.fetch_add(1, Ordering::SeqCst));
            let port = 20_000 + (n % 12_000) as u16;
            if TcpListener::bind(("127.0.0.1", port)).is_ok() {
                return port;
            }
        }
    })
}

/// A client that keeps one session open on a machine and sends one statement after the other.
pub struct Client {
    pub addr: Arc<Machine>,
    pub database: &'static str,
    pub name: String,
    pub pause: Duration,
    pub record: Arc<Record>,
    pub stop: Arc<AtomicBool>,
}

impl Client {
    /// Runs until it is stopped.
    pub fn run(self) {
        let mut n = 0;
        while !self.stop.load(Ordering::SeqCst) {
            // The platform sends new connections to machines that are ready.
            if !self.addr.is_ready() || self.session(&mut n).is_none() {
                thread::sleep(Duration::from_millis(20));
            }
        }
    }

    fn session(&self, n: &mut usize) -> Option<()> {
        let stream = TcpStream::connect(self.addr.caller_addr()).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(CLIENT_TIMEOUT)).ok()?;
        let mut out = stream.try_clone().ok()?;
        let mut lines = BufReader::new(stream).lines();
        out.write_all(format!("STARTUP {} {}\r\n", self.database, self.name).as_bytes()).ok()?;
        lines.next()?.ok()?.strip_prefix("READY")?;
        while !self.stop.load(Ordering::SeqCst) {
            *n += 1;
            let id = format!("{}-{n:05}", self.name);
            let text = match *n % 3 {
                0 => format!("READ k{}", self.name),
                _ => format!("WRITE k{} v{n}", self.name),
            };
            out.write_all(format!("QUERY {id} {text}\r\n").as_bytes()).ok()?;
            self.record.line(format!("{} is sent {id} {text}", self.addr.name));
            let mut last = String::new();
            loop {
                let Some(Ok(line)) = lines.next() else {
                    self.record.line(format!("{id} has no answer"));
                    return None;
                };
                if line.starts_with("READY ") {
                    break;
                }
                last = line;
            }
            self.record.line(format!("{id} is answered: {last}"));
            let is_busy = last.starts_with("ERROR BUSY");
            thread::sleep(if is_busy { RETRY_AFTER } else { self.pause });
        }
        Some(())
    }
}
