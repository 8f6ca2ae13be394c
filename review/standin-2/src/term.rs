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
/// `TimeoutMs` of the route, in seconds.
const ROUTE_TIMEOUT: f64 = 1.0;
/// The statements of an operation, which a client sends at once.
const BATCH: usize = 12;
/// Clients on each machine.
const CLIENTS: usize = 3;
/// How long a statement takes at a server.
const WORK: Duration = Duration::from_millis(25);

/// Between the first statements of two clients of a machine.
const PHASE: Duration = Duration::from_millis(180);
/// How long a client waits after a refusal, as the refusal says.
const RETRY_AFTER: Duration = Duration::from_millis(100);

/// A statement without an answer whose connection has ended.
struct Lost {
    id: String,
    sent_at: f64,
    ended_at: f64,
    /// True if the connection was closed, and not reset: the process had read every byte that was sent.
    read: bool,
    /// The machine that took it.
    machine: usize,
}

struct Client {
    number: usize,
    /// How many times [`PHASE`] the client waits before it sends.
    phase: u32,
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
            let client = Client {
                number: m,
                phase: n as u32,
                machine,
                name,
                record,
                lost: lost.clone(),
                stop: stop.clone(),
            };
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

/// LOST: a process has read a whole request and the connection ends without a complete answer, later than `LossSlackMs`
/// after its last byte was sent, between the SIGTERM of the machine that took it and 1 s after `GraceS`.
///
/// Not counted: requests whose route's timeout was reached, which is before every client's deadline, and those sent no
/// later than 3 s after the SIGTERM that end in the last sixth of `GraceS` or later, as a server may still have been at
/// work on them. The servers of this case don't break off, and nothing unplanned happens.
fn judge(world: &World, lost: &[Lost], stops: &[f64]) -> Verdict {
    let grace = GRACE.as_secs_f64();
    let mut broken = 0;
    for statement in lost {
        let Lost { id, sent_at, ended_at, read, machine } = statement;
        let stop = stops[*machine];
        let age = ended_at - sent_at;
        let is_planned = (stop..stop + grace + 1.0).contains(ended_at);
        let is_excused =
            age >= ROUTE_TIMEOUT || *sent_at <= stop + 3.0 && *ended_at >= stop + grace * 5.0 / 6.0;
        if *read && age > SLACK && is_planned && !is_excused {
            broken += 1;
            world.record.line(format!(
                "LOST: {id}, sent at {sent_at:.3} s, was read and has no answer; its session was closed at {ended_at:.3} s, \
                 {:.3} s after the SIGTERM",
                ended_at - stop
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
        // The clients of a machine don't send at the same moments.
        thread::sleep(PHASE * self.phase);
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
                        let lost = rest.map(|id| Lost { id, sent_at, ended_at, read, machine: self.number });
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
