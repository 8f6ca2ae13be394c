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
pub struct Turnstile {
    clock: Clock,
    turns: RefCell<Scheduler<oneshot::Sender<Permit>>>,
}

/// What becomes of a statement that wants a turn.
pub enum Turn {
    /// It may run.
    Granted(Permit),
    /// The wait takes, or would take, too much of the time that is left.
    Refused,
    /// There was no turn in time.
    Late,
}

impl Turnstile {
    /// Nobody runs or waits.
    pub fn new(clock: Clock) -> Rc<Turnstile> {
        Rc::new(Turnstile { clock, turns: RefCell::default() })
    }

    /// Statements that run or wait.
    pub fn load(&self) -> usize {
        let turns = self.turns.borrow();
        turns.running() + turns.queued()
    }

    /// How busy it is, for a log line.
    pub fn account(&self) -> String {
        let turns = self.turns.borrow();
        let (running, waiting, owners) = (turns.running(), turns.queued(), turns.queued_owners());
        format!("running={running} waiting={waiting} owners={owners} limit={}", turns.limit())
    }

    /// Turns that went to kinds of work by their minimum, since the last look.
    pub fn take_lifted(&self) -> u64 {
        self.turns.borrow_mut().take_min_share_permits()
    }

    /// Whether a statement could run at once.
    pub fn is_free(&self) -> bool {
        self.turns.borrow().has_free_permit()
    }

    /// Whether the server has a queue, as far as recent statements show.
    pub fn is_shrunk(&self) -> bool {
        self.turns.borrow().is_limit_reduced()
    }

    /// Whether the limit is at its lowest.
    pub fn is_lowest(&self) -> bool {
        self.turns.borrow().is_limit_min()
    }

    /// Whether somebody had to wait lately.
    pub fn is_crowded(&self) -> bool {
        self.turns.borrow().is_overloaded(self.clock.now())
    }

    /// Sets the highest limit.
    pub fn set_most(&self, most: usize) {
        self.turns.borrow_mut().set_max_limit(most);
    }

    /// Forgets what was learned of the server.
    pub fn reset(self: &Rc<Self>) {
        self.turns.borrow_mut().reset_limit();
        self.pass(self.clock.now());
    }

    /// Waits for a turn. If it says when it is slow, the turnstile learns from how long it is held, if its statement ran.
    pub async fn enter(self: &Rc<Self>, rank: Rank, slow: Option<Micros>, until: Instant) -> Turn {
        let now = self.clock.now();
        if self.turns.borrow_mut().should_reject(rank, now) {
            return Turn::Refused;
        }
        if self.turns.borrow_mut().try_start() {
            return Turn::Granted(self.permit(slow));
        }
        let _place = Place(self);
        let (turn, got) = oneshot::channel();
        self.turns.borrow_mut().enqueue(rank, now, turn);
        // What can't be in time any longer is told so while its caller can still try elsewhere.
        let left = rank.soft_deadline.checked_sub(now).filter(|it| *it > 0 && !rank.pinned);
        let aim = left.map(|it| Instant::now() + Duration::from_micros(it)).filter(|it| *it < until);
        match timeout_at(aim.unwrap_or(until), got).await {
            Ok(Ok(mut it)) => {
                it.watch(slow, self.clock.now());
                Turn::Granted(it)
            }
            Ok(Err(_)) | Err(_) => {
                if aim.is_some() {
                    Turn::Refused
                } else {
                    Turn::Late
                }
            }
        }
    }

    /// A statement was answered in good time, or it was slow or refused.
    pub fn learn(self: &Rc<Self>, quick: bool) {
        self.turns.borrow_mut().adjust_limit(quick);
        self.pass(self.clock.now());
    }

    fn permit(self: &Rc<Self>, slow: Option<Micros>) -> Permit {
        let mut it = Permit(Held::Here { of: self.clone(), watch: None, ran: false });
        it.watch(slow, self.clock.now());
        it
    }

    /// Hands free turns to those that wait.
    fn pass(self: &Rc<Self>, now: Micros) {
        loop {
            let next = self.turns.borrow_mut().dequeue(now);
            let Some(it) = next else { return };
            // Whoever has stopped waiting drops the turn, which passes it on.
            drop(it.send(self.permit(None)));
        }
    }
}

/// A place among those that wait. It is given back by those that have stopped waiting, also where they are dropped.
struct Place<'a>(&'a Turnstile);

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.0.turns.borrow_mut().retain(|it| !it.is_closed());
    }
}

/// A turn. Dropped, it goes to the next.
pub struct Permit(Held);

enum Held {
    /// One of this instance's turnstiles.
    Here {
        of: Rc<Turnstile>,
        /// Since when it is held, and after how long that is slow.
        watch: Option<(Micros, Micros)>,
        /// Whether its statement went to the server, as far as is known.
        ran: bool,
    },
    /// Another instance's.
    There { link: Rc<Link>, turn: u64 },
}

impl Permit {
    /// A turn that another instance has handed out.
    pub fn remote(link: Rc<Link>, turn: u64) -> Permit {
        Permit(Held::There { link, turn })
    }

    /// Its statement goes to the server.
    pub fn run(&mut self) {
        if let Held::Here { ran, .. } = &mut self.0 {
            *ran = true;
        }
    }

    fn watch(&mut self, slow: Option<Micros>, now: Micros) {
        if let Held::Here { watch, .. } = &mut self.0 {
            *watch = slow.map(|it| (now, it));
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        match &self.0 {
            Held::Here { of, watch, ran } => {
                let now = of.clock.now();
                let mut turns = of.turns.borrow_mut();
                turns.finish();
                if let Some((since, slow)) = watch.filter(|_| *ran) {
                    turns.adjust_limit(now - since <= slow);
                }
                drop(turns);
                of.pass(now);
            }
            Held::There { link, turn } => link.send(Message::ReleasePermit { permit: *turn }),
        }
    }
}
