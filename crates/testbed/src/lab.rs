//! A load laboratory without a network: the decisions on turns run unchanged against a model of one busy server.
//!
//! The model has a server with a few slots and a queue in order of arrival, instances that hold statements back,
//! and callers whose requests are one statement or a transaction, have an objective and a deadline, and are
//! repeated at another instance after a refusal. Time is virtual, randomness comes from a seed. It leaves out
//! connections, replicas and lost messages, and takes for known how long each kind of statement takes.
//!
//! The pattern that it answers: a group whose replicas are all too far behind to be read, so that its primary is
//! asked for half as much again as it can do.

use {
    hdrhistogram::Histogram,
    pondtrack_core::{
        Time,
        scheduler::{Rank, Scheduler, Share},
    },
    rand::{RngExt, SeedableRng},
    rand_distr::{Distribution, Exp, LogNormal},
    rand_pcg::Pcg64Mcg,
    std::{
        cmp::Reverse,
        collections::{BinaryHeap, VecDeque},
    },
    strum::{Display, EnumIter, IntoEnumIterator},
};

/// A millisecond of the model's time.
const MS: Time = 1_000;
/// Between an instance and the server, and between two instances, one way.
const HOP: Time = MS / 2;
/// Between a refusal and the caller's repetition.
const RETRY_PAUSE: Time = 20 * MS;
/// What a statement takes at the busy server, its queue included; taken off the time that it has, as in the engine.
const AT_SERVER: Time = 25 * MS;
/// Repetitions of one request.
const RETRIES: u32 = 2;
/// The spread of the times that statements take, as the deviation of their logarithm.
const SPREAD: f64 = 0.7;
/// The part of a time limit for which a statement waits, as in the engine.
const HOLD_PERCENT: Time = 40;
/// A statement is slow above this part of its objective, where each instance learns alone, as in the engine.
const SLOW_PERCENT: Time = 25;
/// It is slow above this many times what statements take, where turns come from one instance, as in the engine.
const SLOW_FACTOR: Time = 3;

/// What one of the lesser organisations asks for, as a part of what the server can do: it has a tenth.
const LIGHT: f64 = 0.06;

/// Who hands out turns, and what is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Policy {
    /// Each instance orders its own statements; nothing is refused before it has waited.
    Each,
    /// Each instance orders its own, and refuses what there is no time for.
    EachRefuses,
    /// One instance hands out turns for all, and refuses so.
    Shared,
}

impl Policy {
    fn refuses(self) -> bool {
        matches!(self, Policy::EachRefuses | Policy::Shared)
    }
}

/// A kind of request.
#[derive(Clone, Debug)]
pub struct Kind {
    /// Its name, in the table.
    pub name: &'static str,
    /// Its rank; 0 goes first.
    pub priority: u8,
    /// Requests a second, of all callers.
    pub rate: f64,
    /// How long a statement takes on average.
    pub cost: Time,
    /// The part of them that are transactions.
    pub transactions: f64,
    /// Statements of a transaction at most.
    pub statements: u64,
    /// The time that callers hope for.
    pub objective: Time,
    /// A statement's time limit.
    pub limit: Time,
    /// When the caller gives up.
    pub deadline: Time,
    /// What an answer in time is worth, and a later one.
    pub worth: (f64, f64),
}

impl Kind {
    /// Statements of a request on average.
    fn usual_statements(&self) -> f64 {
        1.0 + self.transactions * self.statements as f64 / 2.0
    }
}

/// What is played.
#[derive(Clone, Debug)]
pub struct Pattern {
    /// Instances, among which callers are spread evenly.
    pub instances: usize,
    /// Statements that the server runs at the same time.
    pub slots: usize,
    /// The kinds of requests.
    pub kinds: Vec<Kind>,
    /// The part of the requests of each organisation, all of one weight; empty where callers aren't told apart.
    pub organisations: Vec<f64>,
    /// How long callers come.
    pub length: Time,
}

impl Pattern {
    /// A group whose replicas are all behind by more than its routes allow: short urgent work, the bulk, and long
    /// work that is worth half as much. `load` scales the callers; at 1 about 1.4 times of what the server can do
    /// is asked for, and without the long work 1.1 times.
    pub fn replicas_behind(load: f64) -> Pattern {
        let urgent = Kind {
            name: "urgent",
            priority: 1,
            rate: 22.0 * load,
            cost: 4_500,
            transactions: 0.4,
            statements: 6,
            objective: 120 * MS,
            limit: 800 * MS,
            deadline: 1_200 * MS,
            worth: (2.0, 0.6),
        };
        let bulk = Kind {
            name: "bulk",
            priority: 2,
            rate: 105.0 * load,
            cost: 14 * MS,
            transactions: 0.12,
            objective: 200 * MS,
            worth: (2.0, 0.3),
            ..urgent.clone()
        };
        let long = Kind {
            name: "long",
            rate: 22.0 * load,
            cost: 22 * MS,
            transactions: 0.1,
            objective: 400 * MS,
            limit: 1_500 * MS,
            deadline: 4_000 * MS,
            worth: (1.0, 0.3),
            ..bulk.clone()
        };
        Pattern {
            instances: 7,
            slots: 2,
            kinds: vec![urgent, bulk, long],
            organisations: Vec::new(),
            length: 20_000 * MS,
        }
    }

    /// The same kinds, of ten organisations: nine ask for six tenths of a tenth of what the server can do, and one for all
    /// the rest. `load` is what all ask for, as a multiple of what the server can do.
    pub fn storm(load: f64) -> Pattern {
        let whole = Pattern::replicas_behind(1.0);
        let scale = load / whole.load();
        let mut it = Pattern::replicas_behind(scale);
        it.organisations = vec![LIGHT / load; 9];
        it.organisations.push(1.0 - 9.0 * LIGHT / load);
        it
    }

    /// The same without the others' callers.
    pub fn alone(&self, organisation: usize) -> Pattern {
        let part = self.organisations[organisation];
        let mut it = Pattern { organisations: vec![1.0], ..self.clone() };
        for kind in &mut it.kinds {
            kind.rate *= part;
        }
        it
    }

    /// What is asked for, as a multiple of what the server can do.
    fn load(&self) -> f64 {
        let work = |it: &Kind| it.rate * it.usual_statements() * it.cost as f64 / 1e6;
        self.kinds.iter().map(work).sum::<f64>() / self.slots as f64
    }
}

/// What became of one kind of request.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Requests.
    pub asked: u32,
    /// Answered in time.
    pub in_time: u32,
    /// Answered later.
    pub late: u32,
    /// Refused at each try.
    pub refused: u32,
    /// Worth earned, as a part of what all would have been worth.
    pub worth: f64,
    /// What all would have been worth.
    owed: f64,
}

impl Outcome {
    /// A request was answered.
    fn note(&mut self, kind: &Kind, took: Time) {
        match took {
            took if took <= kind.objective => {
                self.in_time += 1;
                self.worth += kind.worth.0;
            }
            took if took <= kind.deadline => {
                self.late += 1;
                self.worth += kind.worth.1;
            }
            _ => self.refused += 1,
        }
    }

    /// The part that was answered in time.
    pub fn in_time_part(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.asked.max(1))
    }
}

/// What became of a pattern.
#[derive(Clone, Debug)]
pub struct Report {
    /// By kind, in the pattern's order.
    pub kinds: Vec<Outcome>,
    /// By organisation, in the pattern's order.
    pub organisations: Vec<Outcome>,
    /// The most that could have been earned, as a part, by one who knows all that will be asked for and never waits: first
    /// all requests of the organisations that ask for no more than their share, then those of the others that earn most
    /// for their work, by the usual work of their statements, until the server's time is over. That is the time in which
    /// callers come and the longest objective; the last request counts in part.
    pub most: f64,
    /// Worth earned of all, as a part.
    pub worth: f64,
    /// How long refused tries had waited, in milliseconds.
    pub refused_after: Histogram<u64>,
}

/// A request of a caller.
struct Request {
    kind: usize,
    organisation: usize,
    first: Time,
    /// Statements that are left, with the one that waits or runs.
    left: u64,
    statements: u64,
    tries: u32,
    instance: usize,
    /// When the statement that waits or runs arrived, and began to run.
    arrived: Time,
    sent: Time,
    waiting: bool,
}

/// Something happens to the request of this number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// Its next statement reaches an instance.
    Arrive(usize),
    /// Its statement has waited for as long as it may.
    GiveUp(usize, Time),
    /// Its statement reaches the server.
    Serve(usize),
    /// The server has run its statement.
    Served(usize),
    /// The instance has the answer.
    Answered(usize),
    /// A new request of this kind.
    New(usize),
}

/// Plays a pattern.
pub fn play(pattern: &Pattern, policy: Policy, seed: u64) -> Report {
    let mut lab = Lab::new(pattern, policy, seed);
    lab.run();
    lab.report()
}

/// A table of what each policy makes of the pattern: means over the seeds, and the worst seed's worth.
pub fn table(load: f64, seeds: u64) -> String {
    let pattern = Pattern::replicas_behind(load);
    let mut out = format!("{:<14} {:>6} {:>6} {:>9}", "policy", "worth", "least", "refused_ms");
    for kind in &pattern.kinds {
        out += &format!(" {:>13}", format!("{} in time", kind.name));
    }
    out.push('\n');
    for policy in Policy::iter() {
        let reports: Vec<Report> = (1..=seeds).map(|seed| play(&pattern, policy, seed)).collect();
        let mean = |of: &dyn Fn(&Report) -> f64| reports.iter().map(of).sum::<f64>() / seeds.max(1) as f64;
        let least = reports.iter().map(|it| it.worth).fold(f64::INFINITY, f64::min);
        let after = mean(&|it| it.refused_after.value_at_quantile(0.5) as f64);
        out += &format!("{policy:<14} {:>6.3} {least:>6.3} {after:>9.0}", mean(&|it| it.worth));
        for at in 0..pattern.kinds.len() {
            out += &format!(" {:>13.3}", mean(&|it| it.kinds[at].in_time_part()));
        }
        out.push('\n');
    }
    out
}

struct Lab<'a> {
    pattern: &'a Pattern,
    policy: Policy,
    rng: Pcg64Mcg,
    now: Time,
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    count: u64,
    requests: Vec<Request>,
    turns: Vec<Scheduler<usize>>,
    running: usize,
    queue: VecDeque<usize>,
    outcomes: Vec<Outcome>,
    by_organisation: Vec<Outcome>,
    refused_after: Histogram<u64>,
}

impl<'a> Lab<'a> {
    fn new(pattern: &'a Pattern, policy: Policy, seed: u64) -> Lab<'a> {
        let places = if policy == Policy::Shared { 1 } else { pattern.instances };
        let mut turns: Vec<Scheduler<usize>> = (0..places).map(|_| Scheduler::default()).collect();
        if policy == Policy::Shared {
            turns[0].set_max_limit(pattern.instances * 2);
        }
        let mut lab = Lab {
            pattern,
            policy,
            rng: Pcg64Mcg::seed_from_u64(seed),
            now: 0,
            events: BinaryHeap::new(),
            count: 0,
            requests: Vec::new(),
            turns,
            running: 0,
            queue: VecDeque::new(),
            outcomes: vec![Outcome::default(); pattern.kinds.len()],
            by_organisation: vec![Outcome::default(); pattern.organisations.len().max(1)],
            refused_after: Histogram::new(3).expect("three digits are allowed"),
        };
        for kind in 0..pattern.kinds.len() {
            lab.expect(kind);
        }
        lab
    }

    fn at(&mut self, pause: Time, event: Event) {
        self.count += 1;
        self.events.push(Reverse((self.now + pause, self.count, event)));
    }

    /// The next request of a kind.
    fn expect(&mut self, kind: usize) {
        let gaps = Exp::new(self.pattern.kinds[kind].rate).expect("rates are above zero");
        let gap = (gaps.sample(&mut self.rng) * 1e6) as Time;
        if self.now + gap < self.pattern.length {
            self.at(gap, Event::New(kind));
        }
    }

    fn run(&mut self) {
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            self.now = now;
            match event {
                Event::New(kind) => self.begin(kind),
                Event::Arrive(it) => self.arrive(it),
                Event::GiveUp(it, since) => self.give_up(it, since),
                Event::Serve(it) => self.serve(it),
                Event::Served(it) => self.served(it),
                Event::Answered(it) => self.answered(it),
            }
        }
    }

    fn begin(&mut self, kind: usize) {
        self.expect(kind);
        let of = &self.pattern.kinds[kind];
        let statements = match self.rng.random_bool(of.transactions) {
            true => self.rng.random_range(2..=of.statements),
            false => 1,
        };
        let instance = self.rng.random_range(0..self.pattern.instances);
        let organisation = self.caller();
        let (now, left) = (self.now, statements);
        let it = Request {
            kind,
            organisation,
            first: now,
            left,
            statements,
            tries: 0,
            instance,
            arrived: now,
            sent: now,
            waiting: false,
        };
        for outcome in [&mut self.outcomes[kind], &mut self.by_organisation[organisation]] {
            outcome.asked += 1;
            outcome.owed += of.worth.0;
        }
        self.requests.push(it);
        self.at(0, Event::Arrive(self.requests.len() - 1));
    }

    /// Whose the next request is.
    fn caller(&mut self) -> usize {
        let parts = &self.pattern.organisations;
        if parts.is_empty() {
            return 0;
        }
        let at = self.rng.random_range(0.0..1.0);
        let mut sum = 0.0;
        let reached = |it: &f64| {
            sum += it;
            sum > at
        };
        parts.iter().position(reached).unwrap_or(parts.len() - 1)
    }

    /// Whose turns a request needs.
    fn place(&self, it: usize) -> usize {
        if self.policy == Policy::Shared { 0 } else { self.requests[it].instance }
    }

    fn rank(&self, it: usize) -> Rank {
        let request = &self.requests[it];
        let kind = &self.pattern.kinds[request.kind];
        let owner = if self.pattern.organisations.is_empty() { 0 } else { request.organisation as u64 + 1 };
        Rank {
            share: Share { owner, weight: 1 },
            pinned: request.left < request.statements,
            priority: kind.priority,
            soft_deadline: request.arrived + kind.objective - AT_SERVER,
            kind: request.kind as u64,
            cost: kind.cost,
            statements: request.statements.min(4),
        }
    }

    fn arrive(&mut self, it: usize) {
        self.requests[it].arrived = self.now;
        let (place, rank, now) = (self.place(it), self.rank(it), self.now);
        if self.policy.refuses() && self.turns[place].should_reject(rank, now) {
            return self.refuse(it);
        }
        if self.turns[place].try_start() {
            return self.send(it);
        }
        let limit = self.pattern.kinds[self.requests[it].kind].limit * HOLD_PERCENT / 100;
        self.requests[it].waiting = true;
        self.turns[place].enqueue(rank, now, it);
        let left = rank.soft_deadline - now;
        let limit = if self.policy.refuses() && !rank.pinned { limit.min(left) } else { limit };
        self.at(limit, Event::GiveUp(it, now));
    }

    fn give_up(&mut self, it: usize, since: Time) {
        let request = &mut self.requests[it];
        if request.waiting && request.arrived == since {
            request.waiting = false;
            let place = self.place(it);
            self.turns[place].retain(|other| *other != it);
            self.refuse(it);
        }
    }

    fn refuse(&mut self, it: usize) {
        let request = &mut self.requests[it];
        self.refused_after.saturating_record((self.now - request.arrived) / MS);
        let deadline = request.first + self.pattern.kinds[request.kind].deadline;
        request.tries += 1;
        if request.tries > RETRIES || self.now + RETRY_PAUSE >= deadline {
            self.outcomes[request.kind].refused += 1;
            self.by_organisation[request.organisation].refused += 1;
            return;
        }
        request.left = request.statements;
        request.instance = self.rng.random_range(0..self.pattern.instances);
        self.at(RETRY_PAUSE, Event::Arrive(it));
    }

    fn send(&mut self, it: usize) {
        self.requests[it].waiting = false;
        self.requests[it].sent = self.now;
        // Where turns come from another instance, their word crosses to it and back.
        let hops = if self.policy == Policy::Shared { 3 } else { 1 };
        self.at(hops * HOP, Event::Serve(it));
    }

    fn serve(&mut self, it: usize) {
        if self.running == self.pattern.slots {
            return self.queue.push_back(it);
        }
        self.running += 1;
        let mean = self.pattern.kinds[self.requests[it].kind].cost as f64;
        let times = LogNormal::new(mean.ln() - SPREAD * SPREAD / 2.0, SPREAD).expect("a finite mean");
        let took = times.sample(&mut self.rng) as Time;
        self.at(took, Event::Served(it));
    }

    fn served(&mut self, it: usize) {
        self.running -= 1;
        self.at(HOP, Event::Answered(it));
        if let Some(next) = self.queue.pop_front() {
            self.serve(next);
        }
    }

    fn answered(&mut self, it: usize) {
        let place = self.place(it);
        let kind = &self.pattern.kinds[self.requests[it].kind];
        let slow = match self.policy {
            Policy::Shared => self.usual() * SLOW_FACTOR,
            Policy::Each | Policy::EachRefuses => kind.objective * SLOW_PERCENT / 100,
        };
        let quick = self.now - self.requests[it].sent <= slow;
        self.turns[place].finish();
        self.turns[place].adjust_limit(quick);
        while let Some(next) = self.turns[place].dequeue(self.now) {
            self.send(next);
        }
        self.requests[it].left -= 1;
        match self.requests[it].left {
            0 => self.finish(it),
            _ => self.at(HOP, Event::Arrive(it)),
        }
    }

    /// How long statements take on average.
    fn usual(&self) -> Time {
        let rate: f64 = self.pattern.kinds.iter().map(|it| it.rate).sum();
        let work: f64 = self.pattern.kinds.iter().map(|it| it.rate * it.cost as f64).sum();
        (work / rate) as Time
    }

    fn finish(&mut self, it: usize) {
        let request = &self.requests[it];
        let kind = &self.pattern.kinds[request.kind];
        let took = self.now - request.first;
        for outcome in [&mut self.outcomes[request.kind], &mut self.by_organisation[request.organisation]] {
            outcome.note(kind, took);
        }
    }

    fn report(mut self) -> Report {
        let owed: f64 = self.outcomes.iter().map(|it| it.owed).sum();
        let earned: f64 = self.outcomes.iter().map(|it| it.worth).sum();
        for it in self.outcomes.iter_mut().chain(&mut self.by_organisation) {
            it.worth /= it.owed.max(1.0);
        }
        let most = self.most() / owed;
        Report {
            kinds: self.outcomes,
            organisations: self.by_organisation,
            most,
            worth: earned / owed,
            refused_after: self.refused_after,
        }
    }

    /// The worth of the requests that earn most for their work, as far as the server's time goes.
    fn most(&self) -> f64 {
        let kind = |it: &Request| &self.pattern.kinds[it.kind];
        let work = |it: &Request| (it.statements * kind(it).cost) as f64;
        let mut asked = vec![0.0; self.by_organisation.len()];
        for it in &self.requests {
            asked[it.organisation] += work(it);
        }
        let share = (self.pattern.slots as Time * self.pattern.length) as f64 / asked.len() as f64;
        let later = |it: &Request| !self.pattern.organisations.is_empty() && asked[it.organisation] > share;
        let item = |it: &Request| (later(it), kind(it).worth.0, work(it));
        let mut all: Vec<(bool, f64, f64)> = self.requests.iter().map(item).collect();
        all.sort_by(|a, b| a.0.cmp(&b.0).then((b.1 / b.2).total_cmp(&(a.1 / a.2))));
        let last = self.pattern.kinds.iter().map(|it| it.objective).max().unwrap_or(0);
        let mut left = (self.pattern.slots as Time * (self.pattern.length + last)) as f64;
        let mut sum = 0.0;
        for (_, worth, work) in all {
            let part = (left / work).min(1.0);
            sum += worth * part;
            left -= work * part;
        }
        sum
    }
}
