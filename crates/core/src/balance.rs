//! Load balancing: the cost of sending a statement to a server at present.
//!
//! Times are in microseconds. Costs are only compared with each other; their absolute values have no meaning.

use {crate::Time, std::borrow::Borrow};

/// Weight of a new observation in the latency estimate.
const LATENCY_WEIGHT: f64 = 0.2;
/// Half-life of an estimate without new observations, so that a server that was slow or behind is tried again.
const HALF_LIFE: f64 = 1_000_000.0;
/// Maximum estimate of a replica's lag: above the ages that routes allow, and low enough for the replica to be tried again
/// soon.
const MAX_LAG: Time = 4_000_000;
/// Cost of a server in another availability zone: the round trip between zones and the price of the traffic. The server
/// of the own zone is passed over once it has two more statements of this instance than the remote one. Compared to a cost
/// below that of one statement, this saves a third of the traffic between zones.
const CROSS_ZONE_COST: u64 = 20_000;
/// Cost of each statement of this instance that runs or is queued at the server.
const IN_FLIGHT_COST: u64 = 8_000;
/// Additional cost of the primary, as only the primary can take writes: below the cost of one statement and of another
/// zone, so that the primary takes the reads of its own zone while it has no queue.
const PRIMARY_COST: u64 = 5_000;

/// Weight of a new observation in an [`Average`].
const AVERAGE_WEIGHT: f64 = 0.02;

/// Moving average over about fifty observations. That many are needed to distinguish kinds of work whose costs differ by a
/// third, as single statements of one kind differ by more.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Average {
    value: f64,
    count: f64,
}

impl Average {
    /// Adds an observation, in microseconds.
    pub fn observe(&mut self, duration: Time) {
        self.count += 1.0;
        // The first observations have equal weights.
        let weight = AVERAGE_WEIGHT.max(1.0 / self.count);
        self.value += weight * (duration as f64 - self.value);
    }

    /// Returns true if there were as many observations as the average covers.
    pub fn is_settled(self) -> bool {
        self.count * AVERAGE_WEIGHT >= 1.0
    }

    /// Returns the average in microseconds; 0 before the first observation.
    pub fn get(self) -> Time {
        self.value as Time
    }
}

/// Averages by kind of work.
#[derive(Clone, Debug)]
pub struct Averages<K> {
    /// Sorted by kind.
    entries: Vec<(K, Average)>,
}

impl<K> Default for Averages<K> {
    fn default() -> Averages<K> {
        Averages { entries: Vec::new() }
    }
}

impl<K: Ord> Averages<K> {
    /// Returns the average of a kind, if the kind was observed.
    pub fn get<Q: Ord + ?Sized>(&self, kind: &Q) -> Option<Average>
    where
        K: Borrow<Q>,
    {
        let at = self.entries.binary_search_by(|entry| entry.0.borrow().cmp(kind)).ok()?;
        Some(self.entries[at].1)
    }

    /// Adds an observation of a kind, in microseconds.
    pub fn observe(&mut self, kind: K, duration: Time) {
        let at = self.entries.binary_search_by(|entry| entry.0.cmp(&kind)).unwrap_or_else(|at| {
            self.entries.insert(at, (kind, Average::default()));
            at
        });
        self.entries[at].1.observe(duration);
    }

    /// Number of observed kinds.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns true if no kind was observed.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Removes all averages.
    pub fn clear(&mut self) {
        self.entries.clear();
    }
}

/// Estimate of the latency of a server: a moving average that decays without observations.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LatencyEstimate {
    average: f64,
    updated_at: Time,
}

impl LatencyEstimate {
    /// Adds the latency of a statement.
    pub fn observe(&mut self, latency: Time, now: Time) {
        let old = self.get(now);
        self.average =
            if old == 0.0 { latency as f64 } else { old + LATENCY_WEIGHT * (latency as f64 - old) };
        self.updated_at = now;
    }

    /// Returns the expected latency of the next statement.
    pub fn get(&self, now: Time) -> f64 {
        let idle = now.saturating_sub(self.updated_at) as f64;
        self.average * (-idle / HALF_LIFE * std::f64::consts::LN_2).exp()
    }
}

/// Load of a server as seen by this instance, from which the cost of a statement is computed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerLoad {
    /// Expected latency of a statement.
    pub expected_latency: f64,
    /// Number of this instance's statements that run or are queued at the server.
    pub in_flight: usize,
    /// True if the server is in another availability zone.
    pub is_remote: bool,
    /// True if the server is the primary.
    pub is_primary: bool,
}

impl ServerLoad {
    /// Returns the cost of a statement; the server with the lowest cost is chosen.
    pub fn cost(&self) -> u64 {
        let remote = if self.is_remote { CROSS_ZONE_COST } else { 0 };
        let primary = if self.is_primary { PRIMARY_COST } else { 0 };
        self.expected_latency as u64 + IN_FLIGHT_COST * self.in_flight as u64 + remote + primary
    }
}

/// Estimate of a replica's lag, from its reports and from the reads that it could and could not answer.
///
/// Without observations the estimate decays, so that a replica that was passed over is tried again: nothing else would
/// show that it has caught up.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LagEstimate {
    value: f64,
    updated_at: Time,
}

impl LagEstimate {
    /// Returns the estimate in microseconds.
    pub fn get(self, now: Time) -> Time {
        let idle = now.saturating_sub(self.updated_at) as f64;
        (self.value * (-idle / HALF_LIFE * std::f64::consts::LN_2).exp()) as Time
    }

    fn set(&mut self, lag: Time, now: Time) {
        *self = LagEstimate { value: lag.min(MAX_LAG) as f64, updated_at: now };
    }

    /// Updates the estimate with a lag that the server reported.
    pub fn observe_reported(&mut self, lag: Time, now: Time) {
        let old = self.get(now);
        self.set(if lag > old { lag } else { (old * 3 + lag) / 4 }, now);
    }

    /// Updates the estimate after the server had reached a position of this age. An age above the estimate is no evidence
    /// and is ignored.
    pub fn observe_reached(&mut self, age: Time, now: Time) {
        let old = self.get(now);
        if age < old {
            self.set((old * 9 + age) / 10, now);
        }
    }

    /// Updates the estimate after the server had not reached a position of this age.
    pub fn observe_missing(&mut self, age: Time, now: Time) {
        self.set(self.get(now).max(age + age / 5), now);
    }
}
