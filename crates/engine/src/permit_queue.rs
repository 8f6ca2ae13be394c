//! Queue of statements that wait for a permit to run at a server.

use {
    crate::{
        instance::{Clock, Micros},
        link::Link,
        message::Message,
    },
    pondtrack_core::scheduler::{Rank, Scheduler},
    std::{cell::RefCell, rc::Rc, time::Duration},
    tokio::{
        sync::oneshot,
        time::{Instant, timeout_at},
    },
};

/// Grants permits in the order of the scheduler.
pub struct PermitQueue {
    clock: Clock,
    scheduler: RefCell<Scheduler<oneshot::Sender<Permit>>>,
}

/// Outcome of a request for a permit.
pub enum PermitOutcome {
    /// The statement may run.
    Granted(Permit),
    /// The wait takes, or is expected to take, too much of the statement's remaining time.
    Refused,
    /// No permit was granted before the deadline.
    TimedOut,
}

impl PermitQueue {
    /// Creates an empty queue.
    pub fn new(clock: Clock) -> Rc<PermitQueue> {
        Rc::new(PermitQueue { clock, scheduler: RefCell::default() })
    }

    /// Number of statements that run or wait.
    pub fn in_flight(&self) -> usize {
        let scheduler = self.scheduler.borrow();
        scheduler.running() + scheduler.queued()
    }

    /// Numbers of statements and the limit as text for a log line.
    pub fn summary(&self) -> String {
        let scheduler = self.scheduler.borrow();
        let (running, waiting, owners) = (scheduler.running(), scheduler.queued(), scheduler.queued_owners());
        format!("running={running} waiting={waiting} owners={owners} limit={}", scheduler.limit())
    }

    /// Number of permits granted by the minimum share of a kind of work, since the last call.
    pub fn take_min_share_permits(&self) -> u64 {
        self.scheduler.borrow_mut().take_min_share_permits()
    }

    /// Returns true if a statement would get a permit immediately.
    pub fn has_free_permit(&self) -> bool {
        self.scheduler.borrow().has_free_permit()
    }

    /// Returns true if the limit is reduced: recent statements show that the server has a queue.
    pub fn is_limit_reduced(&self) -> bool {
        self.scheduler.borrow().is_limit_reduced()
    }

    /// Returns true if the limit is at its minimum.
    pub fn is_limit_min(&self) -> bool {
        self.scheduler.borrow().is_limit_min()
    }

    /// Returns true if a statement had to wait recently.
    pub fn is_overloaded(&self) -> bool {
        self.scheduler.borrow().is_overloaded(self.clock.now())
    }

    /// Sets the maximum of the limit.
    pub fn set_max_limit(&self, max: usize) {
        self.scheduler.borrow_mut().set_max_limit(max);
    }

    /// Resets the limit to its initial value.
    pub fn reset_limit(self: &Rc<Self>) {
        self.scheduler.borrow_mut().reset_limit();
        self.grant_waiting(self.clock.now());
    }

    /// Waits for a permit.
    ///
    /// If `slow_after` is given, in microseconds, the limit is adjusted by the time for which the permit is held, provided that
    /// its statement was sent.
    pub async fn acquire(
        self: &Rc<Self>,
        rank: Rank,
        slow_after: Option<Micros>,
        deadline: Instant,
    ) -> PermitOutcome {
        let now = self.clock.now();
        if self.scheduler.borrow_mut().should_reject(rank, now) {
            return PermitOutcome::Refused;
        }
        if self.scheduler.borrow_mut().try_start() {
            return PermitOutcome::Granted(self.new_permit(slow_after));
        }
        let _guard = WaitGuard(self);
        let (sender, receiver) = oneshot::channel();
        self.scheduler.borrow_mut().enqueue(rank, now, sender);
        // A statement that can't finish in time any longer is refused while its caller can still try another server.
        let left = rank.soft_deadline.checked_sub(now).filter(|left| *left > 0 && !rank.pinned);
        let refuse_at =
            left.map(|left| Instant::now() + Duration::from_micros(left)).filter(|at| *at < deadline);
        match timeout_at(refuse_at.unwrap_or(deadline), receiver).await {
            Ok(Ok(mut permit)) => {
                permit.set_slow_after(slow_after, self.clock.now());
                PermitOutcome::Granted(permit)
            }
            Ok(Err(_)) | Err(_) => {
                if refuse_at.is_some() {
                    PermitOutcome::Refused
                } else {
                    PermitOutcome::TimedOut
                }
            }
        }
    }

    /// Adjusts the limit after a statement that was answered fast, or that was slow or refused.
    pub fn adjust_limit(self: &Rc<Self>, fast: bool) {
        self.scheduler.borrow_mut().adjust_limit(fast);
        self.grant_waiting(self.clock.now());
    }

    fn new_permit(self: &Rc<Self>, slow_after: Option<Micros>) -> Permit {
        let mut permit = Permit(PermitSource::Local { queue: self.clone(), timer: None, sent: false });
        permit.set_slow_after(slow_after, self.clock.now());
        permit
    }

    /// Grants free permits to waiting statements.
    fn grant_waiting(self: &Rc<Self>, now: Micros) {
        loop {
            let next = self.scheduler.borrow_mut().dequeue(now);
            let Some(waiter) = next else { return };
            // If the waiter has stopped waiting, the permit is dropped, which grants it to the next one.
            drop(waiter.send(self.new_permit(None)));
        }
    }
}

/// Guard of a waiter's place in the queue, which removes waiters that have stopped waiting or were dropped.
struct WaitGuard<'a>(&'a PermitQueue);

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.0.scheduler.borrow_mut().retain(|w| !w.is_closed());
    }
}

/// Permission to run a statement at a server. Dropping the permit frees it for the next statement.
pub struct Permit(PermitSource);

enum PermitSource {
    /// Granted by a queue of this instance.
    Local {
        queue: Rc<PermitQueue>,
        /// Time at which the permit was granted, and the time after which a statement is slow, in microseconds.
        timer: Option<(Micros, Micros)>,
        /// True if the statement was sent to the server, as far as is known.
        sent: bool,
    },
    /// Granted by another instance, under the id `permit`.
    Remote { link: Rc<Link>, permit: u64 },
}

impl Permit {
    /// Creates a permit that another instance has granted under the id `permit`.
    pub fn remote(link: Rc<Link>, permit: u64) -> Permit {
        Permit(PermitSource::Remote { link, permit })
    }

    /// Records that the statement is sent to the server.
    pub fn mark_sent(&mut self) {
        if let PermitSource::Local { sent, .. } = &mut self.0 {
            *sent = true;
        }
    }

    fn set_slow_after(&mut self, slow_after: Option<Micros>, now: Micros) {
        if let PermitSource::Local { timer, .. } = &mut self.0 {
            *timer = slow_after.map(|after| (now, after));
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        match &self.0 {
            PermitSource::Local { queue, timer, sent } => {
                let now = queue.clock.now();
                let mut scheduler = queue.scheduler.borrow_mut();
                scheduler.finish();
                if let Some((granted_at, slow_after)) = timer.filter(|_| *sent) {
                    scheduler.adjust_limit(now - granted_at <= slow_after);
                }
                drop(scheduler);
                queue.grant_waiting(now);
            }
            PermitSource::Remote { link, permit } => link.send(Message::ReleasePermit { permit: *permit }),
        }
    }
}
