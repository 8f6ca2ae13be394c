//! An exhaustive walk over the gate, the switch, fencing, promotion and rejoining.
//!
//! The walk drives the code that ships: [`CommitGate`], [`Promotion`] and [`TermPool`] of `pondtrack-core`, against
//! the stand-in's own [`Contract`]. Every order may be carried out at any later time or never, answers may
//! be lost, homes may see a server as it was before.

use {
    crate::db::contract::Contract,
    pondtrack_core::{
        commit_gate::{AckStatus, CommitGate, Ticket},
        promotion::{Action, Promotion, PromotionState},
        term_pool::{self, TermPool},
    },
    pondtrack_edge::contract::Role,
    pondtrack_proto::{LogPosition, Lsn, Term, TermRecord},
    std::{
        collections::{HashSet, VecDeque},
        hash::{DefaultHasher, Hash, Hasher},
    },
};

/// Servers of the group.
const SERVERS: usize = 3;
/// Servers that make a majority.
const MAJORITY: usize = 2;
/// Homes that promote and acknowledge.
const HOMES: usize = 2;

/// How far the walk goes.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Changes of primary that each home may begin.
    pub switches: [u8; HOMES],
    /// Writes of each home's writer.
    pub writes: [u8; HOMES],
    /// Acknowledgements wait for so many servers.
    pub gate: usize,
    /// A switch is content with so many fenced servers.
    pub fence: usize,
    /// Whether homes also act on positions that are out of date.
    pub stale: bool,
    /// Servers that come back under their names with no log and no term, which [`pondtrack_edge::contract`] excludes.
    pub forgets: u8,
    /// Most states; a walk that meets more is not exhaustive, and says so.
    pub states: usize,
}

impl Bounds {
    /// The bounds of the continuous check.
    pub fn small() -> Bounds {
        Bounds {
            switches: [1, 1],
            writes: [1, 0],
            gate: MAJORITY,
            fence: MAJORITY,
            stale: false,
            forgets: 0,
            states: 8_000_000,
        }
    }
}

/// A write of a home's writer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Write {
    at: LogPosition,
    ticket: Option<Ticket>,
    acked: bool,
}

/// A home: it promotes, and its writer writes through it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Home {
    gate: CommitGate,
    grants: TermPool,
    switch: Option<Promotion>,
    begun: u8,
    writes: Vec<Write>,
    /// A server as it was seen a while ago.
    seen: Option<(usize, Role, LogPosition, Term)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    servers: Vec<Contract>,
    homes: Vec<Home>,
    /// Orders that may be carried out at any time: the home, then what to do.
    orders: Vec<(usize, Action)>,
    /// Answers to fences that may arrive at any time.
    answers: Vec<(usize, usize, Term, LogPosition)>,
    /// Every term's primary, ever.
    primaries: Vec<(Term, usize)>,
    /// Servers that forgot.
    forgot: u8,
}

/// What a walk found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Walked {
    /// States visited.
    pub states: usize,
    /// The first violation, if there is one.
    pub violation: Option<String>,
    /// How many steps lead to it.
    pub depth: usize,
    /// Whether every state within bounds was visited.
    pub whole: bool,
}

/// Visits every state within bounds, the nearest first; ends at the first violation.
pub fn walk(bounds: Bounds) -> Walked {
    let first = begin(bounds);
    let mut seen: HashSet<u64> = HashSet::from([hash(&first)]);
    let mut queue = VecDeque::from([(first, 0)]);
    while let Some((state, depth)) = queue.pop_front() {
        for next in successors(&state, bounds) {
            if !seen.insert(hash(&next)) {
                continue;
            }
            if let Some(it) = violation(&next) {
                return Walked { states: seen.len(), violation: Some(it), depth: depth + 1, whole: false };
            }
            queue.push_back((next, depth + 1));
        }
        if seen.len() > bounds.states {
            return Walked { states: seen.len(), violation: None, depth, whole: false };
        }
    }
    Walked { states: seen.len(), violation: None, depth: 0, whole: true }
}

fn hash(it: &State) -> u64 {
    let mut hasher = DefaultHasher::new();
    it.hash(&mut hasher);
    hasher.finish()
}

/// A primary of term 1 with two replicas that have its first entry, and terms granted ahead to each home.
fn begin(bounds: Bounds) -> State {
    let server = |role| Contract { role, term: Term(1), log: vec![Term(1)], dropped: 0 };
    let servers = vec![server(Role::Primary), server(Role::Replica), server(Role::Replica)];
    let mut record = TermRecord { term: Term(1), next: Term(2), ..TermRecord::default() };
    let mut homes = Vec::new();
    for n in 0..HOMES {
        let (next, block) = term_pool::allocate_block(&record, Term(1), n as u64);
        record = next;
        let mut grants = TermPool::default();
        grants.add(block.0, block.1);
        let mut gate = CommitGate::new(SERVERS, bounds.gate);
        gate.begin_term(Term(1));
        for server in 0..SERVERS {
            gate.observe(server, Term(1), LogPosition::new(1, 1));
        }
        homes.push(Home { gate, grants, switch: None, begun: 0, writes: Vec::new(), seen: None });
    }
    State {
        servers,
        homes,
        orders: Vec::new(),
        answers: Vec::new(),
        primaries: vec![(Term(1), 0)],
        forgot: 0,
    }
}

fn successors(state: &State, bounds: Bounds) -> Vec<State> {
    let mut out = Vec::new();
    for home in 0..HOMES {
        begin_switch(state, bounds, home, &mut out);
        write(state, bounds, home, &mut out);
        observe(state, bounds, home, &mut out);
    }
    carry_out(state, &mut out);
    deliver(state, &mut out);
    replicate(state, &mut out);
    rejoin(state, &mut out);
    forget(state, bounds, &mut out);
    out
}

/// A home gives the primary up, for a reason or for none.
fn begin_switch(state: &State, bounds: Bounds, home: usize, out: &mut Vec<State>) {
    let busy = |it: &Promotion| matches!(it.state, PromotionState::Fencing | PromotionState::Promoting);
    let it = &state.homes[home];
    if it.begun >= bounds.switches[home] || it.switch.as_ref().is_some_and(busy) {
        return;
    }
    let mut next = state.clone();
    let known = state.servers.iter().map(|s| s.term).max().unwrap_or_default();
    let it = &mut next.homes[home];
    let Some(term) = it.grants.take(known) else { return };
    let (switch, actions) = Promotion::start(SERVERS, bounds.fence, term, None, Vec::new(), None);
    it.switch = Some(switch);
    it.begun += 1;
    push_orders(&mut next, home, actions);
    out.push(next);
}

fn push_orders(state: &mut State, home: usize, actions: Vec<Action>) {
    state.orders.extend(actions.into_iter().map(|it| (home, it)));
    state.orders.sort_unstable();
}

/// A writer commits on any server that takes itself for a primary, also on one that was superseded.
fn write(state: &State, bounds: Bounds, home: usize, out: &mut Vec<State>) {
    if state.homes[home].writes.len() >= usize::from(bounds.writes[home]) {
        return;
    }
    for server in 0..SERVERS {
        if state.servers[server].role != Role::Primary {
            continue;
        }
        let mut next = state.clone();
        let lsn = next.servers[server].append();
        let at = LogPosition { term: next.servers[server].term, lsn };
        let it = &mut next.homes[home];
        // The answer to a write shows the primary's position.
        begin_term(it, at.term);
        settle(it, server, at.term, at);
        let (ticket, acked) = match it.gate.request_ack(at.term, at.lsn) {
            AckStatus::Ready => (None, true),
            AckStatus::Pending(ticket) => (Some(ticket), false),
            AckStatus::Superseded => (None, false),
        };
        it.writes.push(Write { at, ticket, acked });
        out.push(next);
    }
}

fn begin_term(home: &mut Home, term: Term) {
    for ticket in home.gate.begin_term(term) {
        for it in home.writes.iter_mut().filter(|it| it.ticket == Some(ticket)) {
            it.ticket = None;
        }
    }
}

fn settle(home: &mut Home, server: usize, term: Term, last: LogPosition) {
    for ticket in home.gate.observe(server, term, last) {
        for it in home.writes.iter_mut().filter(|it| it.ticket == Some(ticket)) {
            it.ticket = None;
            it.acked = true;
        }
    }
}

/// A home learns a server's position, at once or late.
///
/// It learns only while an acknowledgement waits: what it would have learned before is learned late.
fn observe(state: &State, bounds: Bounds, home: usize, out: &mut Vec<State>) {
    let waits = state.homes[home].gate.pending() > 0;
    let may_write = state.homes[home].writes.len() < usize::from(bounds.writes[home]);
    for server in 0..SERVERS {
        let it = &state.servers[server];
        let seen = (server, it.role, it.last(), it.term);
        if waits {
            let mut next = state.clone();
            learn(&mut next.homes[home], seen);
            out.push(next);
        }
        if bounds.stale && (waits || may_write) && state.homes[home].seen.is_none() {
            let mut next = state.clone();
            next.homes[home].seen = Some(seen);
            out.push(next);
        }
    }
    if let Some(seen) = state.homes[home].seen.filter(|_| waits) {
        let mut next = state.clone();
        next.homes[home].seen = None;
        learn(&mut next.homes[home], seen);
        out.push(next);
    }
}

fn learn(home: &mut Home, (server, role, last, term): (usize, Role, LogPosition, Term)) {
    if role == Role::Primary {
        begin_term(home, term);
    }
    settle(home, server, term, last);
}

/// A server carries out an order; the answer to a promotion may be lost.
fn carry_out(state: &State, out: &mut Vec<State>) {
    for at in 0..state.orders.len() {
        let (home, action) = state.orders[at];
        let mut next = state.clone();
        next.orders.remove(at);
        match action {
            Action::Fence { server, term } => {
                if next.servers[server].fence(term).is_ok() {
                    let last = next.servers[server].last();
                    next.answers.push((home, server, term, last));
                    next.answers.sort_unstable();
                }
            }
            Action::Promote { server, term } => {
                if next.servers[server].promote(term).is_ok() {
                    next.primaries.push((term, server));
                    let mut lost = next.clone();
                    if let Some(it) = &mut lost.homes[home].switch {
                        it.abort();
                    }
                    out.push(lost);
                    let switch = next.homes[home].switch.as_mut();
                    let actions = switch.map(|it| it.on_promoted(server, term)).unwrap_or_default();
                    push_orders(&mut next, home, actions);
                }
            }
            Action::Follow { server, term, .. } => {
                let _ = next.servers[server].follow(term);
            }
        }
        out.push(next);
    }
}

/// An answer to a fence arrives.
fn deliver(state: &State, out: &mut Vec<State>) {
    for at in 0..state.answers.len() {
        let mut next = state.clone();
        let (home, server, term, last) = next.answers.remove(at);
        let switch = next.homes[home].switch.as_mut();
        let actions = switch.map(|it| it.on_fenced(server, term, last)).unwrap_or_default();
        push_orders(&mut next, home, actions);
        out.push(next);
    }
}

/// A replica takes one entry from the primary of its term, after dropping what differs.
fn replicate(state: &State, out: &mut Vec<State>) {
    for from in 0..SERVERS {
        let lead = &state.servers[from];
        if lead.role != Role::Primary {
            continue;
        }
        for to in 0..SERVERS {
            if to == from || !state.servers[to].takes(lead.term) {
                continue;
            }
            let mut next = state.clone();
            let it = &mut next.servers[to];
            let common = it.common(&lead.log);
            it.truncate(common);
            // How much was dropped says nothing about safety; leaving it out joins equal states.
            it.dropped = 0;
            if let Some(term) = lead.log.get(common.0 as usize) {
                it.receive(*term);
            }
            out.push(next);
        }
    }
}

/// Any server may be told to follow any primary there ever was.
fn rejoin(state: &State, out: &mut Vec<State>) {
    for (term, primary) in &state.primaries {
        for server in 0..SERVERS {
            if server == *primary {
                continue;
            }
            let mut next = state.clone();
            if next.servers[server].follow(*term).is_ok() && next != *state {
                out.push(next);
            }
        }
    }
}

/// A server comes back with nothing, as a replica.
fn forget(state: &State, bounds: Bounds, out: &mut Vec<State>) {
    if state.forgot >= bounds.forgets {
        return;
    }
    for server in 0..SERVERS {
        let mut next = state.clone();
        next.forgot += 1;
        next.servers[server] = Contract { role: Role::Replica, term: Term(0), log: Vec::new(), dropped: 0 };
        out.push(next);
    }
}

/// What must never be: two primaries of one term, or an acknowledged write that a later primary lacks.
fn violation(state: &State) -> Option<String> {
    for (n, (term, server)) in state.primaries.iter().enumerate() {
        if state.primaries[..n].iter().any(|it| it.0 == *term && it.1 != *server) {
            return Some(format!("two primaries of term {term}"));
        }
    }
    let acked = state.homes.iter().flat_map(|it| &it.writes).filter(|it| it.acked);
    for it in acked {
        for (n, server) in state.servers.iter().enumerate() {
            let lacks = server.entry(Lsn(it.at.lsn.0)) != it.at;
            if server.role == Role::Primary && server.term > it.at.term && lacks {
                return Some(format!(
                    "server {n} leads term {} without the acknowledged write {}",
                    server.term, it.at
                ));
            }
        }
    }
    None
}
