//! What it costs to send a statement to a server at present.
//!
//! Times are microseconds. The figures are weights: only the order that they give matters.

use {crate::Time, std::borrow::Borrow};

/// The part of a new observation in the average.
const WEIGHT: f64 = 0.2;
/// Time after which an estimate without news counts half, so that a server that was slow or behind is tried
/// again.
const HALF_LIFE: f64 = 1_000_000.0;
/// The most that a replica is taken to be behind, in microseconds: above the ages that routes
/// allow, and little enough to be tried again soon.
const LAG_MOST: Time = 4_000_000;
/// What another availability zone costs: the crossing both ways, and the price of the bytes. The near server is
/// passed over once two more statements of this instance are there than at the other; a third of the bytes between
/// zones is saved against a cost below that of one statement.
const FAR: u64 = 20_000;
/// What each statement of this instance costs that runs or waits at the server.
const QUEUED: u64 = 8_000;
/// What the primary costs on top, as it alone takes writes: less than one statement more, and less than another
/// zone, so that the primary takes the reads of its own zone while it has no queue.
const PRIMARY: u64 = 5_000;

/// The part of a new observation in a long average.
const LONG_WEIGHT: f64 = 0.02;

/// A moving average over about fifty observations: work that differs by a third is told apart, although single
/// statements differ by more.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Average {
    value: f64,
    seen: f64,
}

impl Average {
    /// One more observation, in microseconds.
    pub fn observe(&mut self, took: Time) {
        self.seen += 1.0;
        // The first ones count alike.
        let weight = LONG_WEIGHT.max(1.0 / self.seen);
        self.value += weight * (took as f64 - self.value);
    }

    /// Whether it rests on as many observations as it averages over.
    pub fn is_settled(self) -> bool {
        self.seen * LONG_WEIGHT >= 1.0
    }

    /// The average, in microseconds; 0 before the first observation.
    pub fn get(self) -> Time {
        self.value as Time
    }
}

/// An average for each kind of work, sorted by kind.
#[derive(Clone, Debug)]
pub struct Averages<K> {
    list: Vec<(K, Average)>,
}

impl<K> Default for Averages<K> {
    fn default() -> Averages<K> {
        Averages { list: Vec::new() }
    }
}

impl<K: Ord> Averages<K> {
    /// The average of a kind that was observed.
    pub fn get<Q: Ord + ?Sized>(&self, kind: &Q) -> Option<Average>
    where
        K: Borrow<Q>,
    {
        let at = self.list.binary_search_by(|it| it.0.borrow().cmp(kind)).ok()?;
        Some(self.list[at].1)
    }

    /// One more observation of a kind, in microseconds.
    pub fn observe(&mut self, kind: K, took: Time) {
        let at = self.list.binary_search_by(|it| it.0.cmp(&kind)).unwrap_or_else(|at| {
            self.list.insert(at, (kind, Average::default()));
            at
        });
        self.list[at].1.observe(took);
    }

    /// How many kinds were observed.
    pub fn len(&self) -> usize {
        self.list.len()
    }

    /// Whether none was.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Forgets them all.
    pub fn clear(&mut self) {
        self.list.clear();
    }
}

/// How long a server takes for a statement.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LatencyEstimate {
    average: f64,
    at: Time,
}

impl LatencyEstimate {
    /// A statement took this long.
    pub fn observe(&mut self, took: Time, now: Time) {
        let old = self.get(now);
        self.average = if old == 0.0 { took as f64 } else { old + WEIGHT * (took as f64 - old) };
        self.at = now;
    }

    /// How long the next is expected to take.
    pub fn get(&self, now: Time) -> f64 {
        let idle = now.saturating_sub(self.at) as f64;
        self.average * (-idle / HALF_LIFE * std::f64::consts::LN_2).exp()
    }
}

/// What is known of a server when a statement is sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerLoad {
    /// How long statements take there.
    pub expected_latency: f64,
    /// This instance's statements that run or wait there.
    pub in_flight: usize,
    /// Whether it is in another availability zone.
    pub is_remote: bool,
    /// Whether it is the primary.
    pub is_primary: bool,
}

impl ServerLoad {
    /// The cost; the lowest is chosen.
    pub fn cost(&self) -> u64 {
        let far = if self.is_remote { FAR } else { 0 };
        let primary = if self.is_primary { PRIMARY } else { 0 };
        self.expected_latency as u64 + QUEUED * self.in_flight as u64 + far + primary
    }
}

/// How far a replica is behind, learned from reads that it could and could not answer.
///
/// Without news the estimate shrinks, so that a replica that was passed over is tried again: nothing else
/// would show that it has caught up.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LagEstimate {
    value: f64,
    at: Time,
}

impl LagEstimate {
    /// The estimate at a time, in microseconds.
    pub fn get(self, now: Time) -> Time {
        let quiet = now.saturating_sub(self.at) as f64;
        (self.value * (-quiet / HALF_LIFE * std::f64::consts::LN_2).exp()) as Time
    }

    fn set(&mut self, lag: Time, now: Time) {
        *self = LagEstimate { value: lag.min(LAG_MOST) as f64, at: now };
    }

    /// The server states its lag.
    pub fn observe_reported(&mut self, lag: Time, now: Time) {
        let old = self.get(now);
        self.set(if lag > old { lag } else { (old * 3 + lag) / 4 }, now);
    }

    /// The server had a position of this age; an older one than the estimate says nothing.
    pub fn observe_reached(&mut self, age: Time, now: Time) {
        let old = self.get(now);
        if age < old {
            self.set((old * 9 + age) / 10, now);
        }
    }

    /// The server lacked a position of this age.
    pub fn observe_missing(&mut self, age: Time, now: Time) {
        self.set(self.get(now).max(age + age / 5), now);
    }
}
