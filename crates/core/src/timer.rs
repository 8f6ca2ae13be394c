//! A timer service that parts subscribe to.
//!
//! The owner of the loop asks when to wake, and hands out what is due. Parts never read a clock.

use crate::Time;

/// Subscriptions of parts `K`, sorted by their time.
#[derive(Clone, Debug)]
pub struct Timers<K> {
    due: Vec<(Time, K)>,
}

impl<K> Default for Timers<K> {
    fn default() -> Timers<K> {
        Timers { due: Vec::new() }
    }
}

impl<K: Clone + PartialEq> Timers<K> {
    /// Wakes a part at a time; an earlier subscription of the same part is replaced.
    pub fn set(&mut self, key: K, at: Time) {
        self.cancel(&key);
        let n = self.due.partition_point(|it| it.0 <= at);
        self.due.insert(n, (at, key));
    }

    /// Ends a subscription.
    pub fn cancel(&mut self, key: &K) {
        self.due.retain(|it| it.1 != *key);
    }

    /// When the next part wants to be woken.
    pub fn next_deadline(&self) -> Option<Time> {
        self.due.first().map(|it| it.0)
    }

    /// Takes the parts that are due, the earliest first.
    pub fn take_due(&mut self, now: Time) -> Vec<K> {
        let n = self.due.partition_point(|it| it.0 <= now);
        self.due.drain(..n).map(|it| it.1).collect()
    }
}
