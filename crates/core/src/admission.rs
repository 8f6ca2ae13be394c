//! Admission queue with per-caller fairness and an adaptive concurrency limit, in front of the connections to one server.
//!
//! A request is rejected immediately if it could not start before its deadline or if the queue is full; the rejection
//! says when to retry. Callers are served round-robin. Statements inside a transaction don't pass admission, as they have
//! a connection already.

use {crate::Time, pondtrack_proto::Name, std::collections::VecDeque};

/// Limits of an [`AdmissionQueue`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionConfig {
    /// Maximum number of queued requests.
    pub max_queued: usize,
    /// Number of slots that requests which begin a transaction can't take.
    pub reserved_slots: usize,
}

impl Default for AdmissionConfig {
    fn default() -> AdmissionConfig {
        AdmissionConfig { max_queued: 512, reserved_slots: 1 }
    }
}

/// Result of submitting a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request has a slot.
    Admitted,
    /// The request is queued under this ticket.
    Queued(u64),
    /// The request can't be served in time.
    Rejected {
        /// Time after which to retry, in milliseconds.
        retry_ms: u32,
    },
}

/// Request that has left the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Dequeued {
    /// Ticket of the request.
    pub ticket: u64,
    /// True if the request has a slot; false if it is rejected because it can't be completed in time any longer.
    pub admitted: bool,
}

#[derive(Clone, Debug)]
struct QueuedRequest {
    ticket: u64,
    deadline: Time,
    begins_txn: bool,
}

#[derive(Clone, Debug)]
struct CallerQueue {
    caller: Name,
    requests: VecDeque<QueuedRequest>,
}

/// Admission queue of one server.
#[derive(Clone, Debug)]
pub struct AdmissionQueue {
    config: AdmissionConfig,
    limiter: ConcurrencyLimiter,
    running: usize,
    /// Number of running transactions.
    transactions: usize,
    /// Queues of the callers with queued requests, in round-robin order.
    callers: VecDeque<CallerQueue>,
    queued: usize,
    next_ticket: u64,
    /// Average service time, in milliseconds.
    mean_service: f64,
}

impl AdmissionQueue {
    /// Creates a queue in front of this many slots.
    pub fn new(config: AdmissionConfig, slots: usize) -> AdmissionQueue {
        let limiter = ConcurrencyLimiter::new(slots);
        let callers = VecDeque::new();
        AdmissionQueue {
            config,
            limiter,
            running: 0,
            transactions: 0,
            callers,
            queued: 0,
            next_ticket: 0,
            mean_service: 1.0,
        }
    }

    /// Changes the number of slots; running requests keep theirs.
    pub fn resize(&mut self, slots: usize) {
        self.limiter.resize(slots);
    }

    /// Number of requests that have a slot.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Number of queued requests.
    pub fn queued(&self) -> usize {
        self.queued
    }

    /// Current concurrency limit.
    pub fn limit(&self) -> usize {
        self.limiter.limit()
    }

    /// Submits a request of a caller. `begins_txn` is true if the request begins a transaction.
    pub fn submit(&mut self, now: Time, caller: &Name, deadline: Time, begins_txn: bool) -> Admission {
        if self.queued == 0 && self.has_slot(begins_txn) {
            self.start(begins_txn);
            return Admission::Admitted;
        }
        let wait = self.expected_wait();
        if self.queued >= self.config.max_queued || now + wait + self.expected_service() > deadline {
            return Admission::Rejected { retry_ms: wait.clamp(10, 30_000) as u32 };
        }
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let request = QueuedRequest { ticket, deadline, begins_txn };
        match self.callers.iter_mut().find(|queue| queue.caller == *caller) {
            Some(queue) => queue.requests.push_back(request),
            None => self
                .callers
                .push_back(CallerQueue { caller: caller.clone(), requests: VecDeque::from([request]) }),
        }
        self.queued += 1;
        Admission::Queued(ticket)
    }

    /// Releases the slot of a request that has ended. Returns the requests that leave the queue.
    ///
    /// `latency` is in milliseconds; `None` for a transaction, whose duration depends on the caller.
    pub fn complete(&mut self, now: Time, latency: Option<u64>, began_txn: bool) -> Vec<Dequeued> {
        self.running = self.running.saturating_sub(1);
        if began_txn {
            self.transactions = self.transactions.saturating_sub(1);
        }
        if let Some(latency) = latency {
            self.mean_service += (latency as f64 - self.mean_service) * 0.05;
            self.limiter.observe(latency as f64, self.queued > 0);
        }
        self.dispatch(now)
    }

    /// Gives free slots to queued requests, such as after a change of the limit. Returns the requests that leave the queue.
    pub fn dispatch(&mut self, now: Time) -> Vec<Dequeued> {
        let mut out = Vec::new();
        while let Some(request) = self.pop(now, &mut out) {
            self.start(request.begins_txn);
            out.push(Dequeued { ticket: request.ticket, admitted: true });
        }
        out
    }

    /// Removes a request from the queue.
    pub fn cancel(&mut self, ticket: u64) {
        let before = self.queued;
        for queue in &mut self.callers {
            queue.requests.retain(|request| request.ticket != ticket);
        }
        self.callers.retain(|queue| !queue.requests.is_empty());
        self.queued = self.callers.iter().map(|queue| queue.requests.len()).sum();
        debug_assert!(before - self.queued <= 1, "ticket {ticket} is queued more than once");
    }

    /// Expected time in the queue of a request submitted now, in milliseconds.
    fn expected_wait(&self) -> u64 {
        let slots = self.limiter.limit().max(1) as f64;
        ((self.queued + 1) as f64 * self.mean_service / slots).ceil() as u64
    }

    /// Expected service time of a request, in milliseconds.
    fn expected_service(&self) -> u64 {
        self.mean_service.ceil() as u64
    }

    fn has_slot(&self, begins_txn: bool) -> bool {
        let limit = self.limiter.limit();
        let free = self.running < limit;
        // Idle transactions may hold all slots but the reserved ones, so that single statements are still served.
        let txn_allowed =
            limit <= self.config.reserved_slots || self.transactions < limit - self.config.reserved_slots;
        free && (!begins_txn || txn_allowed)
    }

    fn start(&mut self, begins_txn: bool) {
        self.running += 1;
        self.transactions += usize::from(begins_txn);
    }

    /// Removes the next request that can have a slot, round-robin among the callers. Requests that can't be completed
    /// in time are rejected, rather than started and aborted at their deadline.
    fn pop(&mut self, now: Time, out: &mut Vec<Dequeued>) -> Option<QueuedRequest> {
        let expected_end = now + self.expected_service();
        for _ in 0..self.callers.len() {
            let mut queue = self.callers.pop_front()?;
            while let Some(late) = queue.requests.pop_front_if(|request| request.deadline < expected_end) {
                self.queued -= 1;
                out.push(Dequeued { ticket: late.ticket, admitted: false });
            }
            let fits = queue.requests.front().is_some_and(|request| self.has_slot(request.begins_txn));
            let next = if fits { queue.requests.pop_front() } else { None };
            if !queue.requests.is_empty() {
                self.callers.push_back(queue);
            }
            if next.is_some() {
                self.queued -= 1;
                return next;
            }
        }
        None
    }
}

/// Adaptive concurrency limit: it shrinks while latencies are far above the lowest one, and grows by one per round of
/// requests while there is demand.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimiter {
    max: usize,
    limit: f64,
    /// Lowest latency, in milliseconds.
    min_latency: f64,
    /// Moving average of the latency, in milliseconds.
    mean_latency: f64,
}

/// Multiple of the lowest latency above which the average latency reduces the limit.
const SLOW_FACTOR: f64 = 4.0;
/// Latency up to which requests never count as slow, in milliseconds.
const MIN_SLOW_MS: f64 = 20.0;
/// Lower bound of the limit.
const MIN_LIMIT: f64 = 2.0;

impl ConcurrencyLimiter {
    /// Creates a limiter that starts at its maximum.
    pub fn new(max: usize) -> ConcurrencyLimiter {
        ConcurrencyLimiter { max, limit: max as f64, min_latency: f64::MAX, mean_latency: 0.0 }
    }

    /// Current limit.
    pub fn limit(&self) -> usize {
        (self.limit as usize).clamp(self.max.min(1), self.max)
    }

    fn resize(&mut self, max: usize) {
        let was_full = self.limit as usize >= self.max;
        self.max = max;
        self.limit = if was_full { max as f64 } else { self.limit.min(max as f64) };
    }

    fn observe(&mut self, latency: f64, demand: bool) {
        // The lowest latency drifts upwards, so that it adapts to a lasting slowdown of the server.
        self.min_latency = (self.min_latency * 1.001).min(latency.max(0.5));
        self.mean_latency += (latency - self.mean_latency) * 0.1;
        match self.mean_latency > (self.min_latency * SLOW_FACTOR).max(MIN_SLOW_MS) {
            true => self.limit = (self.limit * 0.98).max(MIN_LIMIT.min(self.max as f64)),
            false if demand || self.limit < self.max as f64 => {
                self.limit = (self.limit + 1.0 / self.limit.max(1.0)).min(self.max as f64);
            }
            false => {}
        }
    }
}
