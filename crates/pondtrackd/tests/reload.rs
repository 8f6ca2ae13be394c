//! The real program: settings that change while it runs, and its line at each.

#[path = "../../../platform/tests/stand_in/mod.rs"]
mod stand_in;

use {
    stand_in::{FakeStore, group, http, run},
    std::{
        collections::BTreeMap,
        fs,
        io::{BufRead, BufReader},
        net::{Ipv4Addr, TcpListener},
        path::{Path, PathBuf},
        process::{Child, Command, Stdio},
        sync::mpsc::{Receiver, channel},
        time::Duration,
    },
    tokio::time::{sleep, timeout},
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

fn free_ports() -> [u16; 3] {
    let held = [(); 3].map(|()| TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap());
    held.map(|it| it.local_addr().unwrap().port())
}

#[test]
fn changed_settings_take_effect_without_a_signal_and_bad_ones_change_nothing() {
    run(async {
        let store = FakeStore::default();
        let _group = group(&store, 20).await;
        let front = http::front(&store, BTreeMap::new()).await;
        let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("reload.toml");
        let good = http::settings("a", "z1", free_ports(), &front, &[]);
        fs::write(&file, &good).unwrap();
        let program = Program::start(&file);
        program.line("configuration in force").await;
        fs::write(&file, "not settings").unwrap();
        let kept = program.line("the settings in force are kept").await;
        assert!(kept.contains("ERROR") && kept.contains("reload.toml"), "{kept}");
        fs::write(&file, good.replace("GraceS = 3", "GraceS = 11\nUnknown = 1")).unwrap();
        let line = program.line("settings read again").await;
        assert!(line.contains("grace_ms=11000") && line.contains("at_next_start=false"), "{line}");
    });
}
