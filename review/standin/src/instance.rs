//! An instance as the platform runs it: a process of its own with a settings file.

use crate::{http, record};
use std::{
    fs::{self, File},
    io::Write,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Mutex,
        atomic::{AtomicU32, Ordering},
    },
    thread::sleep,
    time::{Duration, Instant},
};

/// What the deploy file runs.
const PROGRAM: &str = "target/release/pondtrackd";
const ARGUMENT: &str = "hosted";

/// The processes that run, so that they end with the stand-in in any case.
static RUNNING: Mutex<Vec<Child>> = Mutex::new(Vec::new());

/// Ends all processes that were started.
pub fn kill_all() {
    for mut child in RUNNING.lock().unwrap().drain(..) {
        child.kill().ok();
        child.wait().ok();
    }
}

/// An instance.
pub struct Instance {
    pub name: String,
    pub callers: SocketAddr,
    /// Where other instances reach it.
    pub peers: SocketAddr,
    ready: SocketAddr,
    root: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    pid: Option<u32>,
}

/// Notes a process, so that `run.sh` can end it if the stand-in is ended from outside.
fn note_pid(path: PathBuf, pid: u32) {
    let mut file = File::options().create(true).append(true).open(path).expect("a note of the processes");
    writeln!(file, "{pid}").expect("a note of the processes");
}

/// Ports for the instances: below those that the system gives to outgoing connections.
const PORTS: std::ops::Range<u32> = 20_000..30_000;
static NEXT_PORT: AtomicU32 = AtomicU32::new(0);

/// Takes a free port. Runs at the same time begin at different ones.
fn free_port() -> u16 {
    let first = std::process::id().wrapping_mul(1_009);
    loop {
        let n = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        let port = (PORTS.start + first.wrapping_add(n) % (PORTS.end - PORTS.start)) as u16;
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}

impl Instance {
    /// Writes the settings of an instance.
    pub fn new(
        root: &Path,
        dir: &Path,
        name: &str,
        zone: &str,
        store: SocketAddr,
        cloud: SocketAddr,
    ) -> Instance {
        let [callers, ready, peers] = [(); 3].map(|()| free_port());
        let text = format!(
            r#"NodeName = "{name}"
Role = "instance"
MachineClass = "frontend"
Serves = ["frontend","control_plane"]
Ip = "127.0.0.1"
Zone = "{zone}"
Region = "th-north"
InternalPorts = [{peers},{peers}]
Seeds = ["127.0.0.1:{peers}"]
Bootstrap = false
InTolerance = false
Discovery = "platform"
Entry = "vip"
HeartbeatMs = 1200
Invariants = ["base","drain","config","cost","recover","sql","platform"]
[Zones]
cm-hq = "th-north"
lp-depot = "th-north"
cr-depot = "th-north"
[Listen]
Frontend = "127.0.0.1:{callers}"
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
Addr = "{cloud}"
RatePerS = 50.0
Duties = ["failover"]
DutyPerS = 50.0
"#
        );
        let settings = dir.join(format!("{name}.toml"));
        fs::write(&settings, text).expect("the settings can be written");
        let addr = |port| SocketAddr::from(([127, 0, 0, 1], port));
        Instance {
            name: name.to_owned(),
            callers: addr(callers),
            peers: addr(peers),
            ready: addr(ready),
            root: root.to_owned(),
            settings,
            log: dir.join(format!("{name}.log")),
            pid: None,
        }
    }

    /// Starts the process.
    pub fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log).expect("a log");
        let keep = ["PATH", "HOME", "LANG"];
        let env = keep.into_iter().filter_map(|name| Some((name, std::env::var_os(name)?)));
        let child = Command::new(self.root.join(PROGRAM))
            .arg(ARGUMENT)
            .current_dir(&self.root)
            .env_clear()
            .envs(env)
            .env("PONDTRACK_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn()
            .expect("the program starts");
        record!("{} starts", self.name);
        note_pid(self.settings.with_file_name("pids"), child.id());
        self.pid = Some(child.id());
        RUNNING.lock().unwrap().push(child);
    }

    /// Returns true if the instance says that it is ready.
    pub fn is_ready(&self) -> bool {
        http::get_status(self.ready, "/-/readyz") == Some(200)
    }

    /// Sends SIGTERM.
    pub fn terminate(&mut self) {
        if let Some(pid) = self.pid {
            record!("{} gets SIGTERM", self.name);
            let sent = Command::new("kill").args(["-TERM", &pid.to_string()]).status();
            assert!(sent.is_ok_and(|status| status.success()), "the signal can be sent");
        }
    }

    /// Waits until the process has ended.
    pub fn wait_end(&mut self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while let Some(pid) = self.pid {
            let mut running = RUNNING.lock().unwrap();
            let at = running.iter().position(|child| child.id() == pid);
            match at.map(|at| (at, running[at].try_wait())) {
                Some((at, Ok(Some(status)))) => {
                    record!("{} ended: {status}", self.name);
                    running.remove(at).wait().ok();
                    self.pid = None;
                }
                Some(_) if Instant::now() < end => {}
                _ => return false,
            }
            drop(running);
            sleep(Duration::from_millis(2));
        }
        true
    }

    /// What the instance logged about changes of primary and of the right to order them, for the record.
    pub fn copy_log(&self) {
        let text = fs::read_to_string(&self.log).unwrap_or_default();
        let words = ["change of primary", "promot", "server gone", "primary found", "ERROR", "panicked"];
        for line in text.lines().filter(|l| words.iter().any(|w| l.contains(w))).take(60) {
            record!("log of {}: {line}", self.name);
        }
    }
}
