//! Who runs next at a server that has too much to do.
//!
//! Each instance keeps a limit on its own statements at a server. It shrinks when statements take long
//! there or are refused, so that work waits here, where it can be put in order, and not in the server's
//! queue. Of those that wait, transactions go first, as they hold a connection; then the route's
//! priority decides; then whoever can still be answered in time; then the shorter work.
//!
//! Times are microseconds.

use {
    crate::Time,
    serde::{Deserialize, Serialize},
};

/// The limit at the start and the highest: the slots that servers have, and one on its way.
const MOST: f64 = 4.0;
/// The lowest limit.
const LEAST: f64 = 1.0;
/// Taken off, as a part, for each statement that was slow or refused.
const SHRINK: f64 = 0.85;
/// Added for each that was quick: one more after ten.
const GROW: f64 = 0.1;

/// What a statement is worth running for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rank {
    /// Whether it belongs to an open transaction.
    pub pinned: bool,
    /// The route's rank; 0 goes first.
    pub priority: u8,
    /// Until when it is in time.
    pub aim: Time,
    /// How long such statements take.
    pub cost: Time,
}

impl Rank {
    /// The order at a time; the lowest goes first.
    fn key(&self, now: Time) -> (bool, u8, bool, Time) {
        (!self.pinned, self.priority, now > self.aim, self.cost)
    }
}

/// The statements of one instance at one server. `T` stands for one that waits.
#[derive(Debug)]
pub struct Turns<T> {
    running: usize,
    limit: f64,
    waiting: Vec<(Rank, T)>,
}

impl<T> Default for Turns<T> {
    fn default() -> Turns<T> {
        Turns { running: 0, limit: MOST, waiting: Vec::new() }
    }
}

impl<T> Turns<T> {
    /// Statements that run.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Statements that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// The limit now.
    pub fn limit(&self) -> usize {
        self.limit as usize
    }

    /// Whether a statement could run at once.
    pub fn is_free(&self) -> bool {
        self.running < self.limit() && self.waiting.is_empty()
    }

    /// Takes a turn if there is one.
    pub fn start(&mut self) -> bool {
        let free = self.is_free();
        self.running += usize::from(free);
        free
    }

    /// Waits for a turn.
    pub fn wait(&mut self, rank: Rank, it: T) {
        self.waiting.push((rank, it));
    }

    /// Forgets those that wait no longer.
    pub fn retain(&mut self, keep: impl Fn(&T) -> bool) {
        self.waiting.retain(|it| keep(&it.1));
    }

    /// A statement has ended.
    pub fn end(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Hands the next turn out, if there is one.
    pub fn next(&mut self, now: Time) -> Option<T> {
        if self.running >= self.limit() {
            return None;
        }
        let best = (0..self.waiting.len()).min_by_key(|at| self.waiting[*at].0.key(now))?;
        self.running += 1;
        // The order of arrival is kept for those that are alike.
        Some(self.waiting.remove(best).1)
    }

    /// A statement was answered in good time, or it was slow or refused.
    pub fn learn(&mut self, quick: bool) {
        let limit = if quick { self.limit + GROW } else { self.limit * SHRINK };
        self.limit = limit.clamp(LEAST, MOST);
    }
}
