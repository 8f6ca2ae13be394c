//! Turns of statements at one server.

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

/// Hands out turns.
pub struct PermitQueue {
    clock: Clock,
    turns: RefCell<Scheduler<oneshot::Sender<Permit>>>,
}

/// What becomes of a statement that wants a turn.
pub enum PermitOutcome {
    /// It may run.
    Granted(Permit),
    /// The wait takes, or would take, too much of the time that is left.
    Refused,
    /// There was no turn in time.
    TimedOut,
}

impl PermitQueue {
    /// Nobody runs or waits.
    pub fn new(clock: Clock) -> Rc<PermitQueue> {
        Rc::new(PermitQueue { clock, turns: RefCell::default() })
    }

    /// Statements that run or wait.
    pub fn in_flight(&self) -> usize {
        let turns = self.turns.borrow();
        turns.running() + turns.queued()
    }

    /// How busy it is, for a log line.
    pub fn summary(&self) -> String {
        let turns = self.turns.borrow();
        let (running, waiting, owners) = (turns.running(), turns.queued(), turns.queued_owners());
        format!("running={running} waiting={waiting} owners={owners} limit={}", turns.limit())
    }

    /// Turns that went to kinds of work by their minimum, since the last look.
    pub fn take_min_share_permits(&self) -> u64 {
        self.turns.borrow_mut().take_min_share_permits()
    }

    /// Whether a statement could run at once.
    pub fn has_free_permit(&self) -> bool {
        self.turns.borrow().has_free_permit()
    }

    /// Whether the server has a queue, as far as recent statements show.
    pub fn is_limit_reduced(&self) -> bool {
        self.turns.borrow().is_limit_reduced()
    }

    /// Whether the limit is at its lowest.
    pub fn is_limit_min(&self) -> bool {
        self.turns.borrow().is_limit_min()
    }

    /// Whether somebody had to wait lately.
    pub fn is_overloaded(&self) -> bool {
        self.turns.borrow().is_overloaded(self.clock.now())
    }

    /// Sets the highest limit.
    pub fn set_max_limit(&self, most: usize) {
        self.turns.borrow_mut().set_max_limit(most);
    }

    /// Forgets what was learned of the server.
    pub fn reset_limit(self: &Rc<Self>) {
        self.turns.borrow_mut().reset_limit();
        self.grant_waiting(self.clock.now());
    }

    /// Waits for a turn. If it says when it is slow, the turnstile learns from how long it is held, if its statement ran.
    pub async fn acquire(self: &Rc<Self>, rank: Rank, slow: Option<Micros>, until: Instant) -> PermitOutcome {
        let now = self.clock.now();
        if self.turns.borrow_mut().should_reject(rank, now) {
            return PermitOutcome::Refused;
        }
        if self.turns.borrow_mut().try_start() {
            return PermitOutcome::Granted(self.new_permit(slow));
        }
        let _place = WaitGuard(self);
        let (turn, got) = oneshot::channel();
        self.turns.borrow_mut().enqueue(rank, now, turn);
        // What can't be in time any longer is told so while its caller can still try elsewhere.
        let left = rank.soft_deadline.checked_sub(now).filter(|it| *it > 0 && !rank.pinned);
        let aim = left.map(|it| Instant::now() + Duration::from_micros(it)).filter(|it| *it < until);
        match timeout_at(aim.unwrap_or(until), got).await {
            Ok(Ok(mut it)) => {
                it.set_slow_after(slow, self.clock.now());
                PermitOutcome::Granted(it)
            }
            Ok(Err(_)) | Err(_) => {
                if aim.is_some() {
                    PermitOutcome::Refused
                } else {
                    PermitOutcome::TimedOut
                }
            }
        }
    }

    /// A statement was answered in good time, or it was slow or refused.
    pub fn adjust_limit(self: &Rc<Self>, quick: bool) {
        self.turns.borrow_mut().adjust_limit(quick);
        self.grant_waiting(self.clock.now());
    }

    fn new_permit(self: &Rc<Self>, slow: Option<Micros>) -> Permit {
        let mut it = Permit(PermitSource::Local { of: self.clone(), watch: None, ran: false });
        it.set_slow_after(slow, self.clock.now());
        it
    }

    /// Hands free turns to those that wait.
    fn grant_waiting(self: &Rc<Self>, now: Micros) {
        loop {
            let next = self.turns.borrow_mut().dequeue(now);
            let Some(it) = next else { return };
            // Whoever has stopped waiting drops the turn, which passes it on.
            drop(it.send(self.new_permit(None)));
        }
    }
}

/// A place among those that wait. It is given back by those that have stopped waiting, also where they are dropped.
struct WaitGuard<'a>(&'a PermitQueue);

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.0.turns.borrow_mut().retain(|it| !it.is_closed());
    }
}

/// A turn. Dropped, it goes to the next.
pub struct Permit(PermitSource);

enum PermitSource {
    /// One of this instance's turnstiles.
    Local {
        of: Rc<PermitQueue>,
        /// Since when it is held, and after how long that is slow.
        watch: Option<(Micros, Micros)>,
        /// Whether its statement went to the server, as far as is known.
        ran: bool,
    },
    /// Another instance's.
    Remote { link: Rc<Link>, turn: u64 },
}

impl Permit {
    /// A turn that another instance has handed out.
    pub fn remote(link: Rc<Link>, turn: u64) -> Permit {
        Permit(PermitSource::Remote { link, turn })
    }

    /// Its statement goes to the server.
    pub fn mark_sent(&mut self) {
        if let PermitSource::Local { ran, .. } = &mut self.0 {
            *ran = true;
        }
    }

    fn set_slow_after(&mut self, slow: Option<Micros>, now: Micros) {
        if let PermitSource::Local { watch, .. } = &mut self.0 {
            *watch = slow.map(|it| (now, it));
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        match &self.0 {
            PermitSource::Local { of, watch, ran } => {
                let now = of.clock.now();
                let mut turns = of.turns.borrow_mut();
                turns.finish();
                if let Some((since, slow)) = watch.filter(|_| *ran) {
                    turns.adjust_limit(now - since <= slow);
                }
                drop(turns);
                of.grant_waiting(now);
            }
            PermitSource::Remote { link, turn } => link.send(Message::ReleasePermit { permit: *turn }),
        }
    }
}
