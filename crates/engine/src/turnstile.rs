//! Turns of this instance's statements at one server.

use {
    crate::instance::{Clock, Micros},
    pondtrack_core::turn::{Rank, Turns},
    std::{cell::RefCell, rc::Rc},
    tokio::{
        sync::oneshot,
        time::{Instant, timeout_at},
    },
};

/// Hands out turns.
pub struct Turnstile {
    clock: Clock,
    turns: RefCell<Turns<oneshot::Sender<Permit>>>,
}

impl Turnstile {
    /// Nobody runs or waits.
    pub fn new(clock: Clock) -> Rc<Turnstile> {
        Rc::new(Turnstile { clock, turns: RefCell::default() })
    }

    /// Statements that run or wait.
    pub fn load(&self) -> usize {
        let turns = self.turns.borrow();
        turns.running() + turns.waiting()
    }

    /// How busy it is, for a log line.
    pub fn account(&self) -> String {
        let turns = self.turns.borrow();
        format!("running={} waiting={} limit={}", turns.running(), turns.waiting(), turns.limit())
    }

    /// Whether a statement could run at once.
    pub fn is_free(&self) -> bool {
        self.turns.borrow().is_free()
    }

    /// Waits for a turn; none when there is none in time.
    pub async fn enter(self: &Rc<Self>, rank: Rank, until: Instant) -> Option<Permit> {
        if self.turns.borrow_mut().start() {
            return Some(Permit { of: self.clone() });
        }
        let (turn, got) = oneshot::channel();
        self.turns.borrow_mut().wait(rank, turn);
        let permit = timeout_at(until, got).await.ok().and_then(Result::ok);
        if permit.is_none() {
            self.turns.borrow_mut().retain(|it| !it.is_closed());
        }
        permit
    }

    /// A statement was answered in good time, or it was slow or refused.
    pub fn learn(self: &Rc<Self>, quick: bool) {
        self.turns.borrow_mut().learn(quick);
        self.pass(self.clock.now());
    }

    /// Hands free turns to those that wait.
    fn pass(self: &Rc<Self>, now: Micros) {
        loop {
            let next = self.turns.borrow_mut().next(now);
            let Some(it) = next else { return };
            // Whoever has stopped waiting drops the turn, which passes it on.
            drop(it.send(Permit { of: self.clone() }));
        }
    }
}

/// A turn. Dropped, it goes to the next.
pub struct Permit {
    of: Rc<Turnstile>,
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.of.turns.borrow_mut().end();
        self.of.pass(self.of.clock.now());
    }
}
