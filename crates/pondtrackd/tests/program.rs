//! The real program: its start, its metrics, and settings that change while it runs.

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

/// A line comes within this time, or the test fails.
const LIMIT: Duration = Duration::from_secs(15);

/// The program with the lines that it wrote.
struct Program {
    child: Child,
    lines: Receiver<String>,
}

impl Program {
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
        std::thread::spawn(move || out.lines().map_while(Result::ok).try_for_each(|it| sender.send(it)));
        Program { child, lines }
    }

    /// Waits for a line that holds these words.
    async fn line(&self, words: &str) -> String {
        let found = async {
            loop {
                match self.lines.try_recv() {
                    Ok(it) if it.contains(words) => return it,
                    Ok(_) => {}
                    Err(_) => sleep(Duration::from_millis(5)).await,
                }
            }
        };
        timeout(LIMIT, found).await.unwrap_or_else(|_| panic!("never: {words}"))
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

/// A settings file of this process alone: the same test may run in several at a time.
fn settings_file(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}.toml", std::process::id()))
}

#[test]
fn changed_settings_take_effect_without_a_signal_and_bad_ones_change_nothing() {
    run(async {
        let store = FakeStore::default();
        let _group = group(&store, 20).await;
        let front = http::front(&store, BTreeMap::new()).await;
        let file = settings_file("reload");
        let good = http::settings("a", "z1", free_ports(), &front, &[]);
        fs::write(&file, &good).unwrap();
        let program = Program::start(&file);
        program.line("configuration in force").await;
        fs::write(&file, "not settings").unwrap();
        let kept = program.line("the settings in force are kept").await;
        assert!(kept.contains("ERROR") && kept.contains(file.to_str().unwrap()), "{kept}");
        fs::write(&file, good.replace("GraceS = 3", "GraceS = 11\nUnknown = 1")).unwrap();
        let line = program.line("settings read again").await;
        assert!(line.contains("grace_ms=11000") && line.contains("at_next_start=false"), "{line}");
    });
}

#[test]
fn no_library_of_the_program_measures_a_clock_at_its_start() {
    // Found in the lines of restarts on the bench: 217 ms between the first line and the configuration, spent by
    // the metrics library's clock on its own calibration, before the first call of the store.
    let lock = fs::read_to_string(Path::new(env!("CARGO_MANIFEST_DIR")).join("../../Cargo.lock")).unwrap();
    assert!(!lock.contains("name = \"quanta\""));
}

#[test]
fn counters_and_histograms_are_shown_as_text() {
    run(async {
        let store = FakeStore::default();
        let _group = group(&store, 20).await;
        let front = http::front(&store, BTreeMap::new()).await;
        let file = settings_file("metrics");
        let ports = free_ports();
        fs::write(&file, http::settings("a", "z1", ports, &front, &[])).unwrap();
        let program = Program::start(&file);
        program.line("configuration in force").await;
        let address = |port| SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        let mut caller = Caller::try_open(address(ports[0]), "own").await.expect("a session");
        assert_eq!(caller.outcome("WRITE x 1").await, "COMPLETE");
        let mut scrape = TcpStream::connect(address(ports[1])).await.unwrap();
        scrape.write_all(b"GET /metrics HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n").await.unwrap();
        let mut text = String::new();
        scrape.read_to_string(&mut text).await.unwrap();
        for line in [
            "# TYPE pondtrack_engine_statement_seconds histogram",
            "pondtrack_engine_statement_seconds_count 1",
            "pondtrack_engine_gate_wait_seconds_count 1",
            "pondtrack_engine_statements_total 1",
        ] {
            assert!(text.contains(line), "{line} in {text}");
        }
    });
}
