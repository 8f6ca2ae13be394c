//! A machine is stopped as planned while clients have several statements outstanding on their sessions.

use {
    crate::{
        Verdict,
        machine::Machine,
        record::Record,
        world::{DATABASE, World},
    },
    std::{
        io::{BufRead, BufReader, Write},
        net::TcpStream,
        path::Path,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::Duration,
    },
};

/// `GraceS`.
const GRACE: Duration = Duration::from_secs(6);
/// `LossSlackMs`, in seconds.
const SLACK: f64 = 0.2;
/// The statements of an operation, which a client sends at once.
const BATCH: usize = 12;
/// Clients on each machine.
const CLIENTS: usize = 3;
/// How long a statement takes at a server.
const WORK: Duration = Duration::from_millis(25);

/// How long a client waits after a refusal, as the refusal says.
const RETRY_AFTER: Duration = Duration::from_millis(100);

/// A statement without an answer whose connection has ended.
struct Lost {
    id: String,
    sent_at: f64,
    ended_at: f64,
    /// True if the connection was closed, and not reset: the process had read every byte that was sent.
    read: bool,
}

struct Client {
    machine: Arc<Machine>,
    name: String,
    record: Arc<Record>,
    lost: Arc<Mutex<Vec<Lost>>>,
    stop: Arc<AtomicBool>,
}

pub fn run(folder: &Path, trouble: bool) -> Verdict {
    let world = match World::start(folder, WORK) {
        Ok(world) => world,
        Err(why) => return Verdict::NotRun(why),
    };
    let (lost, stop): (Arc<Mutex<Vec<Lost>>>, Arc<AtomicBool>) = Default::default();
    let mut clients = Vec::new();
    for (m, machine) in world.machines.iter().enumerate() {
        for n in 0..CLIENTS {
            let (machine, name, record) = (machine.clone(), format!("u{m}{n}"), world.record.clone());
            let client = Client { machine, name, record, lost: lost.clone(), stop: stop.clone() };
            clients.push(thread::spawn(move || client.run()));
        }
    }
    world.sleep(3.0);
    let mut stops = Vec::new();
    for machine in &world.machines {
        stops.push(world.record.now());
        if trouble {
            machine.restart(GRACE);
        }
        world.sleep(5.0);
    }
    let running = world.machines.iter().all(|m| m.is_running());
    stop.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| drop(client.join()));
    world.end();
    if !running {
        return Verdict::NotRun("a process has ended by itself".to_owned());
    }
    judge(&world, &lost.lock().unwrap(), &stops)
}

/// LOST: around a SIGTERM, a process has read a whole request and the connection ends without a complete answer, later
/// than `LossSlackMs` after its last byte was sent.
fn judge(world: &World, lost: &[Lost], stops: &[f64]) -> Verdict {
    let mut broken = 0;
    for statement in lost {
        let planned = stops.iter().any(|at| {
            (*at..*at + GRACE.as_secs_f64() + 1.0).contains(&statement.sent_at) || *at > statement.sent_at
        });
        let age = statement.ended_at - statement.sent_at;
        if planned && statement.read && age > SLACK {
            broken += 1;
            let Lost { id, sent_at, ended_at, .. } = statement;
            world.record.line(format!(
                "LOST: {id}, sent at {sent_at:.3} s, was read and has no answer; its session was closed at {ended_at:.3} s"
            ));
        }
    }
    world.record.line(format!("requests without an answer: {}, against the rule: {broken}", lost.len()));
    world.record.flush();
    println!("requests without an answer: {}, against the rule: {broken}", lost.len());
    if broken > 0 { Verdict::Broken } else { Verdict::Held }
}

impl Client {
    fn run(self) {
        let mut n = 0;
        while !self.stop.load(Ordering::SeqCst) {
            if !self.machine.is_ready() || self.session(&mut n).is_none() {
                thread::sleep(Duration::from_millis(20));
            }
        }
    }

    fn session(&self, n: &mut usize) -> Option<()> {
        let stream = TcpStream::connect(self.machine.caller_addr()).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
        let mut out = stream.try_clone().ok()?;
        let mut lines = BufReader::new(stream).lines();
        out.write_all(format!("STARTUP {DATABASE} {}\r\n", self.name).as_bytes()).ok()?;
        lines.next()?.ok()?.strip_prefix("READY")?;
        while !self.stop.load(Ordering::SeqCst) {
            let ids: Vec<String> = (0..BATCH).map(|k| format!("{}-{:05}", self.name, *n + k)).collect();
            *n += BATCH;
            let text: String = ids.iter().map(|id| format!("QUERY {id} WRITE k{id} v\r\n")).collect();
            let sent = out.write_all(text.as_bytes());
            let sent_at =
                self.record.line(format!("{} is sent {} to {}", self.machine.name, ids[0], ids[BATCH - 1]));
            sent.ok()?;
            let (mut answered, mut refused) = (0, false);
            let mut last = String::new();
            while answered < BATCH {
                match lines.next() {
                    Some(Ok(line)) if line.starts_with("READY ") => {
                        self.record.line(format!("{} is answered: {last}", ids[answered]));
                        answered += 1;
                        refused |= last.starts_with("ERROR BUSY");
                    }
                    Some(Ok(line)) => last = line,
                    end => {
                        let read = end.is_none();
                        let how = if read { "closed" } else { "reset" };
                        let ended_at = self.record.line(format!(
                            "the session is {how}; without an answer: {} to {}",
                            ids[answered],
                            ids[BATCH - 1]
                        ));
                        let rest = ids[answered..].iter().cloned();
                        let lost = rest.map(|id| Lost { id, sent_at, ended_at, read });
                        self.lost.lock().unwrap().extend(lost);
                        return None;
                    }
                }
            }
            if refused {
                thread::sleep(RETRY_AFTER);
            }
        }
        Some(())
    }
}
