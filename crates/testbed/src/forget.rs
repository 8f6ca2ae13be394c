//! An exhaustive walk over a change of primary while servers start again and hold nothing.
//!
//! The walk drives the decisions that ship (`core::commit_gate`, `core::primary_claim`, `core::recovery`) as `pondtrack-engine` does: one writer that
//! acknowledges and reads, one holder of the lease that replaces the primary without reaching it. Every step may come at any time;
//! an order to promote may be carried out late or never. Three assumptions are built in: the directory tells of a run before
//! anybody hears that run, an order to promote doesn't meet a later run of its server, and no change of primary lasts longer than
//! a server that came back is passed over. [`Bounds`] drops the first two.

use {
    self::view::{Status, View},
    pondtrack_core::primary_claim::PrimaryClaim,
    pondtrack_proto::{LogPosition, Lsn, Term},
    std::{
        collections::{HashSet, VecDeque},
        hash::{DefaultHasher, Hash, Hasher},
    },
};

mod view;

/// Servers of the group; the first one leads term 1.
const SERVERS: usize = 3;
/// Runs of each server's process.
const RUNS: usize = 3;
/// How long a change of primary takes at most, on the walk's clock.
const CHANGE: u64 = 1;

/// How far the walk goes, and which part is left out to see that the walk finds it.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Writes of the writer.
    pub writes: u8,
    /// Reads of the latest.
    pub reads: u8,
    /// Servers that start again with nothing.
    pub restarts: u8,
    /// Changes of primary.
    pub changes: u8,
    /// Planted: servers are told apart by their id alone.
    pub by_id: bool,
    /// Planted: a replica that came back counts at once.
    pub no_bar: bool,
    /// Planted: the last copy at the lost primary isn't waited for.
    pub no_wait: bool,
    /// Planted: any server that calls itself primary is believed.
    pub no_claim: bool,
    /// Dropped assumption: a run may be heard before the directory tells of it.
    pub unlisted: bool,
    /// Dropped assumption: an order to promote may meet a later run of its server.
    pub late_order: bool,
    /// Most states; a walk that meets more is not exhaustive, and says so.
    pub states: usize,
}

impl Bounds {
    /// A change of primary while one write is acknowledged.
    pub fn changing() -> Bounds {
        Bounds {
            writes: 1,
            reads: 0,
            restarts: 1,
            changes: 1,
            by_id: false,
            no_bar: false,
            no_wait: false,
            no_claim: false,
            unlisted: false,
            late_order: false,
            states: 3_000_000,
        }
    }

    /// Reads of what was acknowledged, in one term.
    pub fn reading() -> Bounds {
        Bounds { writes: 2, reads: 1, changes: 0, ..Bounds::changing() }
    }
}

/// What a walk found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Walked {
    /// States visited.
    pub states: usize,
    /// The first violation, if there is one, with the steps that lead to it.
    pub violation: Option<String>,
    /// Whether every state within bounds was visited.
    pub whole: bool,
}

/// A log entry: the term of the primary that wrote it, and which write it is.
type Entry = (u8, u8);

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Server {
    primary: bool,
    term: u8,
    log: Vec<Entry>,
    stopped: bool,
    run: usize,
    /// Whether it led when it started again: what it held is lost after the change, and it must be read by nobody.
    blank: bool,
}

impl Server {
    fn status(&self, asked: u64) -> Status {
        let term = self.log.last().map_or(0, |it| it.0);
        let at = LogPosition::new(term.into(), self.log.len() as u64);
        Status { primary: self.primary, term: self.term, at, stopped: self.stopped, asked }
    }
}

/// A write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Write {
    entry: Entry,
    at: Lsn,
    acked: bool,
}

/// A read of the latest that has run, and whether it lacked an acknowledged write then.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Read {
    term: Term,
    lacks: bool,
}

/// How far a change of primary is.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Change {
    None,
    /// The other servers are asked; those that have answered.
    Asking {
        old: usize,
        answers: [Option<Status>; SERVERS],
    },
    /// The next primary is chosen, the other replica is to be stopped.
    Stopping {
        old: usize,
        target: usize,
        held: LogPosition,
    },
    /// The order is given, to a run of the server; it may be carried out at any time.
    Ordered {
        target: usize,
        run: usize,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    servers: Vec<Server>,
    writer: View,
    holder: View,
    change: Change,
    /// Runs of the servers when the change began.
    began: [usize; SERVERS],
    changes: u8,
    restarts: u8,
    writes: Vec<Write>,
    read: Option<Read>,
    reads: u8,
    /// The newest term that any server ever led.
    term: u8,
    clock: u64,
    violation: Option<&'static str>,
}

/// Visits every state within bounds, the nearest first; ends at the first violation.
pub fn walk(bounds: Bounds) -> Walked {
    let first = begin(bounds);
    let mut seen: HashSet<u64> = HashSet::from([hash(&first)]);
    let mut queue: VecDeque<(State, Vec<&'static str>)> = VecDeque::from([(first, Vec::new())]);
    while let Some((state, path)) = queue.pop_front() {
        for (step, next) in successors(&state, bounds) {
            if !seen.insert(hash(&next)) {
                continue;
            }
            let mut path = path.clone();
            path.push(step);
            if let Some(what) = next.violation.or_else(|| violation(&next)) {
                let violation = Some(format!("{what}: {}", path.join(", ")));
                return Walked { states: seen.len(), violation, whole: false };
            }
            queue.push_back((next, path));
        }
        if seen.len() > bounds.states {
            return Walked { states: seen.len(), violation: None, whole: false };
        }
    }
    Walked { states: seen.len(), violation: None, whole: true }
}

fn hash(it: &State) -> u64 {
    let mut hasher = DefaultHasher::new();
    it.hash(&mut hasher);
    hasher.finish()
}

/// A primary and two replicas that both instances have heard.
fn begin(bounds: Bounds) -> State {
    let server = |at: usize| Server {
        primary: at == 0,
        term: 1,
        log: vec![(1, 0)],
        stopped: false,
        run: 0,
        blank: false,
    };
    let servers: Vec<Server> = (0..SERVERS).map(server).collect();
    let mut view = View::new();
    for (at, it) in servers.iter().enumerate() {
        view.saw(at, it.status(0), bounds);
    }
    State {
        servers,
        writer: view.clone(),
        holder: View {
            gate: View::new().gate,
            claim: PrimaryClaim::default(),
            seen: [None; SERVERS],
            ..view
        },
        change: Change::None,
        began: [0; SERVERS],
        changes: 0,
        restarts: 0,
        writes: Vec::new(),
        read: None,
        reads: 0,
        term: 1,
        clock: 0,
        violation: None,
    }
}

type Steps = Vec<(&'static str, State)>;

fn successors(state: &State, bounds: Bounds) -> Steps {
    let mut out = Vec::new();
    write(state, bounds, &mut out);
    read(state, bounds, &mut out);
    observe(state, bounds, &mut out);
    replicate(state, &mut out);
    restart(state, bounds, &mut out);
    outlast(state, &mut out);
    change(state, bounds, &mut out);
    out
}

/// The writer writes at the server that it takes for the primary, if that still does so too.
fn write(state: &State, bounds: Bounds, out: &mut Steps) {
    let Some(at) = state.writer.primary.filter(|_| state.writes.len() < usize::from(bounds.writes)) else {
        return;
    };
    if !state.servers[at].primary {
        return;
    }
    let mut next = state.clone();
    let it = &mut next.servers[at];
    let entry = (it.term, state.writes.len() as u8 + 1);
    it.log.push(entry);
    let lsn = Lsn(it.log.len() as u64);
    next.writes.push(Write { entry, at: lsn, acked: false });
    acknowledge(&mut next, bounds);
    out.push(("write", next));
}

/// What the writer's gate lets out is acknowledged.
fn acknowledge(state: &mut State, bounds: Bounds) {
    let (term, durable, clear) =
        (state.writer.gate.term(), state.writer.gate.commit_lsn(), state.writer.holds(bounds));
    for it in state.writes.iter_mut() {
        it.acked |= clear && Term(it.entry.0.into()) == term && it.at <= durable;
    }
}

/// A read runs at the server that the writer takes for the primary.
fn read(state: &State, bounds: Bounds, out: &mut Steps) {
    let Some(at) = state.writer.primary.filter(|_| state.reads < bounds.reads) else { return };
    let server = &state.servers[at];
    if !server.primary {
        return;
    }
    let lacks = state.writes.iter().any(|it| it.acked && !server.log.contains(&it.entry));
    let mut next = state.clone();
    next.reads += 1;
    next.read = Some(Read { term: state.writer.term, lacks });
    out.push(("read", next));
}

/// The writer or the holder hears a server: where that can still change what they do, as all else joins equal states.
fn observe(state: &State, bounds: Bounds, out: &mut Steps) {
    let writes = state.writes.len() < usize::from(bounds.writes) || state.writes.iter().any(|it| !it.acked);
    let reads = state.reads < bounds.reads || state.read.is_some();
    let decides = state.changes < bounds.changes && state.holder.recovery.iter().any(Option::is_some);
    for at in 0..SERVERS {
        let status = state.servers[at].status(state.clock);
        if writes || reads {
            let mut next = state.clone();
            next.writer.saw(at, status, bounds);
            acknowledge(&mut next, bounds);
            confirm(&mut next, at, status, bounds);
            out.push(("the writer hears a server", next));
        }
        if decides {
            let mut next = state.clone();
            next.holder.decide(at, status, bounds);
            out.push(("the holder hears a server", next));
        }
    }
}

/// A read is answered once a replica that counts confirms the term in which it ran.
fn confirm(state: &mut State, at: usize, it: Status, bounds: Bounds) {
    let Some(read) = state.read else { return };
    let counts = !it.primary && !it.stopped && state.writer.counts(at, bounds);
    let same = Term(it.term.into()) == read.term && state.writer.term == read.term;
    if counts && same && state.writer.holds(bounds) {
        state.read = None;
        state.violation = read.lacks.then_some("a read lacks an acknowledged write");
    } else if state.writer.term > read.term {
        // What it showed is dropped.
        state.read = None;
    }
}

/// A replica takes the next entry of a primary that it may follow, after it dropped what differs in earlier terms; an old primary
/// learns of a later one.
fn replicate(state: &State, out: &mut Steps) {
    for from in 0..SERVERS {
        let lead = &state.servers[from];
        if !lead.primary {
            continue;
        }
        for to in (0..SERVERS).filter(|to| *to != from) {
            let it = &state.servers[to];
            if it.stopped || it.term > lead.term || (it.primary && it.term == lead.term) {
                continue;
            }
            let common = it.log.iter().zip(&lead.log).take_while(|(a, b)| a == b).count();
            // Within a term a log isn't cut.
            if it.term == lead.term && common < it.log.len() {
                continue;
            }
            let mut next = state.clone();
            let it = &mut next.servers[to];
            it.primary = false;
            it.blank = false;
            it.term = lead.term;
            it.log.truncate(common);
            it.log.extend(lead.log.get(common));
            out.push(("a replica receives", next));
        }
    }
}

/// A server starts again without its log; a primary may still call itself one.
fn restart(state: &State, bounds: Bounds, out: &mut Steps) {
    if state.restarts >= bounds.restarts {
        return;
    }
    for at in 0..SERVERS {
        let mut next = state.clone();
        next.restarts += 1;
        let it = &mut next.servers[at];
        it.run += 1;
        it.log.clear();
        it.stopped = false;
        it.blank = it.primary;
        if !it.primary {
            it.term = 0;
        }
        let run = it.run;
        if !bounds.by_id && !bounds.unlisted {
            next.writer.restarted(at, run, state.clock);
            next.holder.restarted(at, run, state.clock);
        }
        out.push(("a server starts again with nothing", next));
    }
}

/// So much time passes that a change of primary which stopped an earlier run of a server is over.
fn outlast(state: &State, out: &mut Steps) {
    let runs = state.servers.iter().map(|it| it.run);
    let stale = state.change != Change::None && !runs.eq(state.began);
    if state.clock == 0 && state.restarts > 0 && !stale {
        let mut next = state.clone();
        next.clock = CHANGE;
        out.push(("time passes", next));
    }
}

/// The next step of a change of primary, or its end.
fn change(state: &State, bounds: Bounds, out: &mut Steps) {
    match &state.change {
        Change::None if state.changes < bounds.changes => {
            let Some((_, slot)) = state.holder.leader else { return };
            let mut next = state.clone();
            next.changes += 1;
            next.began = std::array::from_fn(|it| state.servers[it].run);
            next.change = Change::Asking { old: slot % SERVERS, answers: [None; SERVERS] };
            out.push(("the primary is given up", next));
        }
        Change::None => {}
        Change::Asking { old, answers } => ask(state, *old, *answers, bounds, out),
        Change::Stopping { old, target, held } => stop(state, (*old, *target, *held), out),
        Change::Ordered { target, run } => {
            let mut next = state.clone();
            next.change = Change::None;
            let it = &mut next.servers[*target];
            if !it.primary && (it.run == *run || bounds.late_order) {
                next.term += 1;
                it.primary = true;
                it.term = next.term;
                it.stopped = false;
            }
            out.push(("the order is carried out", next));
        }
    }
}

fn ask(state: &State, old: usize, answers: [Option<Status>; SERVERS], bounds: Bounds, out: &mut Steps) {
    for at in (0..SERVERS).filter(|at| *at != old && answers[*at].is_none()) {
        let status = state.servers[at].status(state.clock);
        let mut next = state.clone();
        next.holder.decide(at, status, bounds);
        let mut answers = answers;
        answers[at] = Some(status);
        next.change = Change::Asking { old, answers };
        out.push(("a replica answers the holder", next));
    }
    let replicas = (0..SERVERS).filter(|at| *at != old);
    let Some(known) = replicas.map(|at| answers[at].map(|it| (it, at))).collect::<Option<Vec<_>>>() else {
        return;
    };
    let mut next = state.clone();
    next.change = Change::None;
    let wait = state.holder.is_unrecovered() && !bounds.no_wait;
    let target = known.iter().filter(|it| !it.0.primary).max_by_key(|it| it.0.at);
    if let Some((held, target)) = target.filter(|_| !wait && known.iter().all(|it| !it.0.primary)) {
        next.change = Change::Stopping { old, target: *target, held: held.at };
    }
    out.push(("the next primary is chosen", next));
}

/// The other replica is stopped; where it has more than the next primary, it becomes that instead.
fn stop(state: &State, (old, target, held): (usize, usize, LogPosition), out: &mut Steps) {
    let Some(other) = (0..SERVERS).find(|it| *it != old && *it != target) else { return };
    let mut next = state.clone();
    next.servers[other].stopped = true;
    let longer = next.servers[other].status(0).at;
    let mut chosen = target;
    if longer > held && longer > next.servers[target].status(0).at {
        next.servers[target].stopped = true;
        chosen = other;
    }
    // Whoever was asked may have forgotten since.
    let same = state.holder.runs == state.began;
    next.change = match same {
        true => Change::Ordered { target: chosen, run: next.servers[chosen].run },
        false => Change::None,
    };
    out.push(("the other replica is stopped", next));
}

/// What must never be: a later primary without an acknowledged write.
fn violation(state: &State) -> Option<&'static str> {
    let lacks = |it: &Write| {
        let leads = |server: &&Server| server.primary && !server.blank && server.term > it.entry.0;
        let later = state.servers.iter().filter(leads);
        it.acked && later.into_iter().any(|server| !server.log.contains(&it.entry))
    };
    state.writes.iter().any(lacks).then_some("a later primary lacks an acknowledged write")
}
