//! Queues, fairness and learned limits, in front of the connections to one server.
//!
//! A request is refused at once when it could not begin before its deadline, or when the queue is full;
//! it is told when to come back. Callers take turns. Statements inside a transaction don't pass here:
//! they have their connection already.

use {crate::Time, pondtrack_proto::Name, std::collections::VecDeque};

/// Bounds of the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionConfig {
    /// Most requests waiting.
    pub max_queued: usize,
    /// Slots that requests which begin a transaction leave free.
    pub reserved_slots: usize,
}

impl Default for AdmissionConfig {
    fn default() -> AdmissionConfig {
        AdmissionConfig { max_queued: 512, reserved_slots: 1 }
    }
}

/// The answer to an offered request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It has a slot.
    Admitted,
    /// It waits under this ticket.
    Queued(u64),
    /// It can't be served in time.
    Rejected {
        /// When to come back, in milliseconds.
        retry_ms: u32,
    },
}

/// The end of a request's wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Dequeued {
    /// Its ticket.
    pub ticket: u64,
    /// Whether it has a slot; otherwise it could not be done in time any longer, and is refused now.
    pub admitted: bool,
}

#[derive(Clone, Debug)]
struct Waiting {
    ticket: u64,
    deadline: Time,
    begins: bool,
}

#[derive(Clone, Debug)]
struct Line {
    caller: Name,
    waiting: VecDeque<Waiting>,
}

/// The admission to one server.
#[derive(Clone, Debug)]
pub struct AdmissionQueue {
    config: AdmissionConfig,
    limiter: ConcurrencyLimiter,
    running: usize,
    pinned: usize,
    lines: VecDeque<Line>,
    queued: usize,
    next: u64,
    service: f64,
}

impl AdmissionQueue {
    /// An admission with this many slots.
    pub fn new(config: AdmissionConfig, slots: usize) -> AdmissionQueue {
        let limiter = ConcurrencyLimiter::new(slots);
        let lines = VecDeque::new();
        AdmissionQueue { config, limiter, running: 0, pinned: 0, lines, queued: 0, next: 0, service: 1.0 }
    }

    /// Changes the number of slots; requests that run keep theirs.
    pub fn resize(&mut self, slots: usize) {
        self.limiter.resize(slots);
    }

    /// Requests that have a slot.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Requests waiting.
    pub fn queued(&self) -> usize {
        self.queued
    }

    /// The learned limit.
    pub fn limit(&self) -> usize {
        self.limiter.limit()
    }

    /// Offers a request of a caller; `begins` says that it begins a transaction.
    pub fn submit(&mut self, now: Time, caller: &Name, deadline: Time, begins: bool) -> Admission {
        if self.queued == 0 && self.has_slot(begins) {
            self.start(begins);
            return Admission::Admitted;
        }
        let wait = self.expected_wait();
        if self.queued >= self.config.max_queued || now + wait + self.expected_service() > deadline {
            return Admission::Rejected { retry_ms: wait.clamp(10, 30_000) as u32 };
        }
        let ticket = self.next;
        self.next += 1;
        let it = Waiting { ticket, deadline, begins };
        match self.lines.iter_mut().find(|line| line.caller == *caller) {
            Some(line) => line.waiting.push_back(it),
            None => self.lines.push_back(Line { caller: caller.clone(), waiting: VecDeque::from([it]) }),
        }
        self.queued += 1;
        Admission::Queued(ticket)
    }

    /// A request has ended; hands back the waits that end with it.
    ///
    /// `took` is its time in milliseconds; none for a transaction, whose time is its caller's own.
    pub fn complete(&mut self, now: Time, took: Option<u64>, began: bool) -> Vec<Dequeued> {
        self.running = self.running.saturating_sub(1);
        if began {
            self.pinned = self.pinned.saturating_sub(1);
        }
        if let Some(took) = took {
            self.service += (took as f64 - self.service) * 0.05;
            self.limiter.sample(took as f64, self.queued > 0);
        }
        self.dispatch(now)
    }

    /// Hands back the waits that end now, as after a change of the limit.
    pub fn dispatch(&mut self, now: Time) -> Vec<Dequeued> {
        let mut out = Vec::new();
        while let Some(it) = self.pop(now, &mut out) {
            self.start(it.begins);
            out.push(Dequeued { ticket: it.ticket, admitted: true });
        }
        out
    }

    /// Forgets a request that waits no longer.
    pub fn cancel(&mut self, ticket: u64) {
        let before = self.queued;
        for line in &mut self.lines {
            line.waiting.retain(|it| it.ticket != ticket);
        }
        self.lines.retain(|it| !it.waiting.is_empty());
        self.queued = self.lines.iter().map(|it| it.waiting.len()).sum();
        debug_assert!(before - self.queued <= 1, "a ticket waits once");
    }

    /// How long a request offered now would wait, in milliseconds.
    fn expected_wait(&self) -> u64 {
        let slots = self.limiter.limit().max(1) as f64;
        ((self.queued + 1) as f64 * self.service / slots).ceil() as u64
    }

    /// How long a request takes once it has a slot, in milliseconds.
    fn expected_service(&self) -> u64 {
        self.service.ceil() as u64
    }

    fn has_slot(&self, begins: bool) -> bool {
        let limit = self.limiter.limit();
        let free = self.running < limit;
        // Idle transactions may hold all slots but the reserve, so single statements still get through.
        let open = limit <= self.config.reserved_slots || self.pinned < limit - self.config.reserved_slots;
        free && (!begins || open)
    }

    fn start(&mut self, begins: bool) {
        self.running += 1;
        self.pinned += usize::from(begins);
    }

    /// The next request by turns among the callers; those that could not be done in time are refused now,
    /// rather than begun and cut.
    fn pop(&mut self, now: Time, out: &mut Vec<Dequeued>) -> Option<Waiting> {
        let end = now + self.expected_service();
        for _ in 0..self.lines.len() {
            let mut line = self.lines.pop_front()?;
            while let Some(it) = line.waiting.pop_front_if(|it| it.deadline < end) {
                self.queued -= 1;
                out.push(Dequeued { ticket: it.ticket, admitted: false });
            }
            let fits = line.waiting.front().is_some_and(|it| self.has_slot(it.begins));
            let it = if fits { line.waiting.pop_front() } else { None };
            if !line.waiting.is_empty() {
                self.lines.push_back(line);
            }
            if it.is_some() {
                self.queued -= 1;
                return it;
            }
        }
        None
    }
}

/// A limit on concurrency learned from latency: it shrinks while requests take much longer than the
/// quickest did, and grows by one a round while there is demand.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimiter {
    max: usize,
    limit: f64,
    floor: f64,
    recent: f64,
}

/// A recent latency above this multiple of the quickest shrinks the limit.
const SLOW: f64 = 4.0;
/// Latencies below this many milliseconds are never called slow.
const QUICK: f64 = 20.0;
/// The smallest learned limit.
const LEAST: f64 = 2.0;

impl ConcurrencyLimiter {
    /// Begins at the highest limit.
    pub fn new(max: usize) -> ConcurrencyLimiter {
        ConcurrencyLimiter { max, limit: max as f64, floor: f64::MAX, recent: 0.0 }
    }

    /// The limit now.
    pub fn limit(&self) -> usize {
        (self.limit as usize).clamp(self.max.min(1), self.max)
    }

    fn resize(&mut self, max: usize) {
        let was_full = self.limit as usize >= self.max;
        self.max = max;
        self.limit = if was_full { max as f64 } else { self.limit.min(max as f64) };
    }

    fn sample(&mut self, took: f64, demand: bool) {
        // The floor creeps up, so that a lasting change of the server's speed is learned.
        self.floor = (self.floor * 1.001).min(took.max(0.5));
        self.recent += (took - self.recent) * 0.1;
        match self.recent > (self.floor * SLOW).max(QUICK) {
            true => self.limit = (self.limit * 0.98).max(LEAST.min(self.max as f64)),
            false if demand || self.limit < self.max as f64 => {
                self.limit = (self.limit + 1.0 / self.limit.max(1.0)).min(self.max as f64);
            }
            false => {}
        }
    }
}
