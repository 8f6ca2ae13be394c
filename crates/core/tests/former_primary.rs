//! Exhaustive search over failovers, with an instance that doesn't know of them and reads from a former primary.
//!
//! Guards against reads that lack an acknowledged commit: a replica that was resumed, or never stopped, and doesn't reach
//! the new primary confirms the old term, while the old primary follows the new one and shows commits late.

use {
    pondtrack_core::{
        commit_gate::CommitGate,
        former_primary::{self, Member},
    },
    pondtrack_proto::{LogPosition, Term},
    rstest::rstest,
    std::{
        collections::HashSet,
        hash::{DefaultHasher, Hash, Hasher},
    },
};

/// Position of the commit in the log of each primary that has it.
const COMMIT: u64 = 2;
/// The server that leads the first term.
const FIRST: usize = 0;
/// States beyond which a search is not exhaustive.
const MAX_STATES: usize = 20_000_000;

/// The servers that have to show a commit before it is acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Rule {
    /// As decided by [`former_primary::must_replay`].
    Shipped,
    /// None, so that a replica's receipt is enough.
    None,
    /// The replica whose receipt counts.
    ReceiverOnly,
}

#[derive(Clone, Copy, Debug)]
struct Bounds {
    servers: usize,
    failovers: u64,
    rule: Rule,
    /// True if the acknowledging instance has seen each term's leader; false if it has just started.
    knows_leaders: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Server {
    leads: bool,
    term: u64,
    paused: bool,
    /// True if the log contains the commit.
    received: bool,
    /// True if reads reflect the commit.
    replayed: bool,
}

/// Progress of a failover.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Failover {
    None,
    /// The candidate is selected and the other servers are being stopped.
    Stopping(usize),
}

/// The read of the instance that knows only the first term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Read {
    NotSent,
    /// `due` is true if the commit had been acknowledged when the read arrived; `shown` is none until the read has run.
    Sent {
        due: bool,
        shown: Option<bool>,
        confirmed: bool,
    },
}

/// The instance that acknowledges the commit.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Writer {
    gate: CommitGate,
    members: Vec<Member>,
    replayed: Vec<bool>,
    /// The term in which the commit was written.
    term: Option<u64>,
    received_by: Option<usize>,
    acknowledged: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    servers: Vec<Server>,
    failover: Failover,
    /// The newest term.
    term: u64,
    writer: Writer,
    read: Read,
}

impl State {
    fn new(bounds: Bounds) -> State {
        let server =
            |at| Server { leads: at == FIRST, term: 1, paused: false, received: false, replayed: false };
        let known = bounds.knows_leaders;
        let member =
            |at| Member { term: known.then_some(Term(1)), led: (known && at == FIRST).then_some(Term(1)) };
        let mut gate = CommitGate::new(bounds.servers, 1);
        gate.begin_term(Term(1));
        State {
            servers: (0..bounds.servers).map(server).collect(),
            failover: Failover::None,
            term: 1,
            writer: Writer {
                gate,
                members: (0..bounds.servers).map(member).collect(),
                replayed: vec![false; bounds.servers],
                term: None,
                received_by: None,
                acknowledged: false,
            },
            read: Read::NotSent,
        }
    }

    fn successors(&self, bounds: Bounds) -> Vec<State> {
        let mut out = Vec::new();
        self.fail_over(bounds, &mut out);
        self.replicate(&mut out);
        self.write(&mut out);
        self.acknowledge(bounds, &mut out);
        self.read(&mut out);
        out
    }

    /// Stops all replicas but the candidate, or the primary if one can't be stopped; then promotes the candidate. Resumes
    /// replicas and demotes former primaries at any later time.
    fn fail_over(&self, bounds: Bounds, out: &mut Vec<State>) {
        let at = |leads: bool| (0..self.servers.len()).filter(move |at| self.servers[*at].leads == leads);
        let current = at(true).find(|at| self.servers[*at].term == self.term);
        match self.failover {
            Failover::None if self.term <= bounds.failovers => {
                for candidate in at(false) {
                    out.push(State { failover: Failover::Stopping(candidate), ..self.clone() });
                }
            }
            Failover::None => {}
            Failover::Stopping(candidate) => {
                let mut rest = at(false).filter(|at| *at != candidate);
                if current.is_none() || rest.all(|at| self.servers[at].paused) {
                    let mut next = self.clone();
                    next.failover = Failover::None;
                    next.term += 1;
                    let lead = &mut next.servers[candidate];
                    (lead.leads, lead.paused, lead.term) = (true, false, next.term);
                    lead.replayed = lead.received;
                    // An acknowledged commit is held by every later primary.
                    if lead.received || !self.writer.acknowledged {
                        out.push(next);
                    }
                }
                for at in at(false).filter(|at| *at != candidate && !self.servers[*at].paused) {
                    out.push(self.with(at, |server| server.paused = true));
                }
                if let Some(current) = current {
                    out.push(self.with(current, |server| server.leads = false));
                }
            }
        }
        if self.failover == Failover::None {
            for at in (0..self.servers.len()).filter(|at| self.servers[*at].paused) {
                out.push(self.with(at, |server| server.paused = false));
            }
        }
        for former in at(true).filter(|at| self.servers[*at].term < self.term) {
            out.push(self.with(former, |server| server.leads = false));
        }
    }

    fn with(&self, at: usize, change: impl FnOnce(&mut Server)) -> State {
        let mut next = self.clone();
        change(&mut next.servers[at]);
        next
    }

    /// A replica that isn't paused receives the log of a primary, of its own term or a later one, and replays it later.
    fn replicate(&self, out: &mut Vec<State>) {
        for (at, server) in self.servers.iter().enumerate().filter(|s| !s.1.leads) {
            for lead in self.servers.iter().filter(|s| s.leads && s.term >= server.term && !server.paused) {
                out.push(self.with(at, |server| {
                    (server.term, server.received) = (lead.term, lead.received);
                    server.replayed &= lead.received;
                }));
            }
            out.push(self.with(at, |server| server.replayed = server.received));
        }
    }

    /// The commit is written at the newest primary, in a later term than the first.
    fn write(&self, out: &mut Vec<State>) {
        let lead = self.servers.iter().position(|s| s.leads && s.term == self.term);
        if let Some(lead) = lead.filter(|_| self.writer.term.is_none() && self.term > 1) {
            let mut next = self.with(lead, |server| (server.received, server.replayed) = (true, true));
            next.writer.term = Some(self.term);
            next.writer.members[lead].led = Some(Term(self.term));
            out.push(next);
        }
    }

    /// The writer hears a server's status, and acknowledges the commit once the rule allows it.
    fn acknowledge(&self, bounds: Bounds, out: &mut Vec<State>) {
        if self.writer.acknowledged {
            return;
        }
        for (at, server) in self.servers.iter().enumerate() {
            let mut next = self.clone();
            let writer = &mut next.writer;
            writer.members[at].term = Some(Term(server.term));
            if server.leads && (bounds.knows_leaders || server.term == self.term) {
                writer.members[at].led = Some(Term(server.term));
            }
            writer.replayed[at] = server.replayed;
            writer.gate.begin_term(Term(server.term));
            if !server.leads && !server.paused && server.received {
                writer.gate.observe(at, Term(server.term), LogPosition::new(server.term, COMMIT));
                writer.received_by = Some(at);
            }
            let term = writer.gate.term();
            let received = writer.term == Some(term.0) && writer.gate.commit_lsn().0 == COMMIT;
            let must_replay = |server: usize| match bounds.rule {
                Rule::Shipped => former_primary::must_replay(term, &writer.members, server),
                Rule::None => false,
                Rule::ReceiverOnly => {
                    writer.received_by == Some(server)
                        && former_primary::must_replay(term, &writer.members, server)
                }
            };
            let shown = (0..bounds.servers).all(|server| writer.replayed[server] || !must_replay(server));
            writer.acknowledged = received && shown;
            out.push(next);
        }
    }

    /// The read runs at the first primary, and is answered once a replica confirms the first term.
    fn read(&self, out: &mut Vec<State>) {
        let Read::Sent { due, shown, confirmed } = self.read else {
            let read = Read::Sent { due: self.writer.acknowledged, shown: None, confirmed: false };
            out.push(State { read, ..self.clone() });
            return;
        };
        if shown.is_none() {
            let read = Read::Sent { due, shown: Some(self.servers[FIRST].replayed), confirmed };
            out.push(State { read, ..self.clone() });
        }
        let confirms = |at: usize| {
            let Server { leads, term, paused, .. } = self.servers[at];
            at != FIRST && term == 1 && !leads && !paused
        };
        if !confirmed && (0..self.servers.len()).any(confirms) {
            out.push(State { read: Read::Sent { due, shown, confirmed: true }, ..self.clone() });
        }
    }

    fn violates(&self) -> bool {
        self.read == Read::Sent { due: true, shown: Some(false), confirmed: true }
    }
}

/// Searches all states within the bounds. Returns their number, and true if a read lacked an acknowledged commit.
fn search(bounds: Bounds) -> (usize, bool) {
    let first = State::new(bounds);
    let mut seen = HashSet::from([hash(&first)]);
    let mut stack = vec![first];
    while let Some(state) = stack.pop() {
        for next in state.successors(bounds) {
            if next.violates() {
                return (seen.len(), true);
            }
            if seen.insert(hash(&next)) {
                stack.push(next);
            }
        }
        assert!(seen.len() < MAX_STATES, "not exhaustive: {bounds:?}");
    }
    (seen.len(), false)
}

fn hash(state: &State) -> u64 {
    let mut hasher = DefaultHasher::new();
    state.hash(&mut hasher);
    hasher.finish()
}

#[rstest]
#[case::three_servers(3, 1, true)]
#[case::three_servers_and_a_young_instance(3, 1, false)]
#[case::three_servers_and_two_failovers(3, 2, true)]
#[case::four_servers(4, 1, true)]
fn reads_at_a_former_primary_show_acknowledged_commits(
    #[case] servers: usize,
    #[case] failovers: u64,
    #[case] knows_leaders: bool,
) {
    let (states, violated) = search(Bounds { servers, failovers, rule: Rule::Shipped, knows_leaders });
    println!("{states} states");
    assert!(!violated, "after {states} states");
    assert!(states > 1_000, "only {states} states");
}

#[rstest]
#[case::a_receipt_is_enough(3, 1, Rule::None)]
#[case::only_the_receiver_shows_it(4, 1, Rule::ReceiverOnly)]
fn weaker_rules_are_detected(#[case] servers: usize, #[case] failovers: u64, #[case] rule: Rule) {
    let (states, violated) = search(Bounds { servers, failovers, rule, knows_leaders: true });
    assert!(violated, "{rule:?}: no violation in {states} states");
}

#[rstest]
#[case::all_seen_in_the_term(3, &[])]
#[case::not_seen_since_the_preceding_term(2, &[1])]
#[case::may_confirm_a_term_whose_leader_is_unknown(1, &[1, 2])]
fn replay_is_required_of_possible_leaders_of_a_term_that_may_be_confirmed(
    #[case] last_seen: u64,
    #[case] expected: &[usize],
) {
    let member = |term, led: Option<u64>| Member { term: Some(Term(term)), led: led.map(Term) };
    let members = [member(3, Some(3)), member(3, Some(2)), member(3, None), member(last_seen, None)];
    let required = |server: &usize| former_primary::must_replay(Term(3), &members, *server);
    assert_eq!((0..3).filter(required).collect::<Vec<_>>(), expected);
}
