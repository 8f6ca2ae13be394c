//! Tests of the `pondtrackd` binary: start-up, metrics and reload of the settings file.

#[path = "../../../platform/tests/stand_in/mod.rs"]
mod stand_in;

use {
    stand_in::{Caller, FakeStore, group, http, ports::free_ports, run},
    std::{
        collections::BTreeMap,
        fs,
        io::{BufRead, BufReader},
        net::{Ipv4Addr, SocketAddr},
        path::{Path, PathBuf},
        process::{Child, Command, Stdio},
        sync::mpsc::{Receiver, channel},
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::{sleep, timeout},
    },
};

/// Maximum time to wait for an expected output line.
const LINE_TIMEOUT: Duration = Duration::from_secs(15);

/// A running `pondtrackd` process and its output lines.
struct Program {
    child: Child,
    lines: Receiver<String>,
}

impl Program {
    /// Starts `pondtrackd hosted` with a settings file.
    fn start(file: &Path) -> Program {
        let mut child = Command::new(env!("CARGO_BIN_EXE_pondtrackd"))
            .arg("hosted")
            .env(http::SETTINGS, file)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let out = BufReader::new(child.stdout.take().unwrap());
        let (sender, lines) = channel();
        std::thread::spawn(move || out.lines().map_while(Result::ok).try_for_each(|l| sender.send(l)));
        Program { child, lines }
    }

    /// Waits for an output line that contains `text` and returns it.
    async fn wait_for_line(&self, text: &str) -> String {
        let found = async {
            loop {
                match self.lines.try_recv() {
                    Ok(line) if line.contains(text) => return line,
                    Ok(_) => {}
                    Err(_) => sleep(Duration::from_millis(5)).await,
                }
            }
        };
        timeout(LINE_TIMEOUT, found).await.unwrap_or_else(|_| panic!("timed out: {text}"))
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

/// Returns a settings path unique to this process, because several processes may run the same test concurrently.
fn settings_file(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}.toml", std::process::id()))
}

#[test]
fn changed_file_is_reloaded_without_signal_and_invalid_file_is_ignored() {
    run(async {
        let store = FakeStore::default();
        let _group = group(&store, 20).await;
        let front = http::front(&store, BTreeMap::new()).await;
        let file = settings_file("reload");
        let valid = http::settings("a", "z1", free_ports(), &front, &[]);
        fs::write(&file, &valid).unwrap();
        let program = Program::start(&file);
        program.wait_for_line("configuration in force").await;
        fs::write(&file, "not settings").unwrap();
        let kept = program.wait_for_line("the settings in force are kept").await;
        assert!(kept.contains("ERROR") && kept.contains(file.to_str().unwrap()), "{kept}");
        fs::write(&file, valid.replace("GraceS = 3", "GraceS = 11\nUnknown = 1")).unwrap();
        let line = program.wait_for_line("settings read again").await;
        assert!(line.contains("grace_ms=11000") && line.contains("at_next_start=false"), "{line}");
    });
}

#[test]
fn startup_is_not_delayed_by_clock_calibration() {
    // The clock library `quanta`, a dependency of the metrics library, calibrated itself at start-up: 217 ms
    // passed between the first log line and the configuration, before the first store call.
    let lock = fs::read_to_string(Path::new(env!("CARGO_MANIFEST_DIR")).join("../../Cargo.lock")).unwrap();
    assert!(!lock.contains("name = \"quanta\""));
}

#[test]
fn metrics_endpoint_exposes_counters_and_histograms() {
    run(async {
        let store = FakeStore::default();
        let _group = group(&store, 20).await;
        let front = http::front(&store, BTreeMap::new()).await;
        let file = settings_file("metrics");
        let ports = free_ports();
        fs::write(&file, http::settings("a", "z1", ports, &front, &[])).unwrap();
        let program = Program::start(&file);
        program.wait_for_line("configuration in force").await;
        let address = |port| SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        let mut caller = Caller::try_open(address(ports[0]), "own").await.expect("a session");
        assert_eq!(caller.outcome("WRITE x 1").await, "COMPLETE");
        let mut scrape = TcpStream::connect(address(ports[1])).await.unwrap();
        scrape.write_all(b"GET /metrics HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n").await.unwrap();
        let mut text = String::new();
        scrape.read_to_string(&mut text).await.unwrap();
        for sample in [
            "# TYPE pondtrack_engine_statement_seconds histogram",
            "pondtrack_engine_statement_seconds_count 1",
            "pondtrack_engine_gate_wait_seconds_count 1",
            "pondtrack_engine_statements_total 1",
        ] {
            assert!(text.contains(sample), "{sample} is missing in {text}");
        }
    });
}
