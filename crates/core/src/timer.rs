//! Timer queue of an event loop.
//!
//! The owner of the loop sleeps until the next deadline and runs the components that are due. Components never read a
//! clock.

use crate::Time;

/// Deadlines of components, identified by `K` and sorted by time.
#[derive(Clone, Debug)]
pub struct Timers<K> {
    deadlines: Vec<(Time, K)>,
}

impl<K> Default for Timers<K> {
    fn default() -> Timers<K> {
        Timers { deadlines: Vec::new() }
    }
}

impl<K: Clone + PartialEq> Timers<K> {
    /// Sets the deadline of a component, replacing its previous one.
    pub fn set(&mut self, key: K, at: Time) {
        self.cancel(&key);
        let n = self.deadlines.partition_point(|d| d.0 <= at);
        self.deadlines.insert(n, (at, key));
    }

    /// Removes the deadline of a component.
    pub fn cancel(&mut self, key: &K) {
        self.deadlines.retain(|d| d.1 != *key);
    }

    /// Returns the earliest deadline.
    pub fn next_deadline(&self) -> Option<Time> {
        self.deadlines.first().map(|d| d.0)
    }

    /// Removes and returns the components that are due, earliest first.
    pub fn take_due(&mut self, now: Time) -> Vec<K> {
        let n = self.deadlines.partition_point(|d| d.0 <= now);
        self.deadlines.drain(..n).map(|d| d.1).collect()
    }
}
