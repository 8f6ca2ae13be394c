//! What it costs to send a statement to a server at present.
//!
//! Times are microseconds. The figures are weights: only the order that they give matters.

use crate::Time;

/// The part of a new observation in the average.
const WEIGHT: f64 = 0.2;
/// Time after which an average without news counts half, so that a server that was slow is tried again.
const HALF_LIFE: f64 = 1_000_000.0;
/// What another availability zone costs: the crossing both ways, and the price of the bytes.
const FAR: u64 = 6_000;
/// What each statement of this instance costs that runs or waits at the server.
const QUEUED: u64 = 8_000;
/// What the primary costs on top, as it alone takes writes.
const PRIMARY: u64 = 15_000;

/// A moving average.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Average(f64);

impl Average {
    /// One more observation, in microseconds.
    pub fn observe(&mut self, took: Time) {
        self.0 = if self.0 == 0.0 { took as f64 } else { self.0 + WEIGHT * (took as f64 - self.0) };
    }

    /// The average, in microseconds.
    pub fn get(self) -> Time {
        self.0 as Time
    }
}

/// How long a server takes for a statement.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Pace {
    average: f64,
    at: Time,
}

impl Pace {
    /// A statement took this long.
    pub fn observe(&mut self, took: Time, now: Time) {
        let old = self.expected(now);
        self.average = if old == 0.0 { took as f64 } else { old + WEIGHT * (took as f64 - old) };
        self.at = now;
    }

    /// How long the next is expected to take.
    pub fn expected(&self, now: Time) -> f64 {
        let idle = now.saturating_sub(self.at) as f64;
        self.average * (-idle / HALF_LIFE * std::f64::consts::LN_2).exp()
    }
}

/// What is known of a server when a statement is sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Offer {
    /// How long statements take there.
    pub expected: f64,
    /// This instance's statements that run or wait there.
    pub load: usize,
    /// Whether it is in another availability zone.
    pub far: bool,
    /// Whether it is the primary.
    pub primary: bool,
}

impl Offer {
    /// The cost; the lowest is chosen.
    pub fn cost(&self) -> u64 {
        let far = if self.far { FAR } else { 0 };
        let primary = if self.primary { PRIMARY } else { 0 };
        self.expected as u64 + QUEUED * self.load as u64 + far + primary
    }
}

/// How far a replica is behind, learned from reads that it could and could not answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Lag(Time);

impl Lag {
    /// The present estimate, in microseconds.
    pub fn get(self) -> Time {
        self.0
    }

    /// The server states its lag.
    pub fn stated(&mut self, lag: Time) {
        self.0 = if lag > self.0 { lag } else { (self.0 * 3 + lag) / 4 };
    }

    /// The server had a position of this age.
    pub fn reached(&mut self, age: Time) {
        let lower = self.0.min(age);
        self.0 = (self.0 * 9 + lower) / 10;
    }

    /// The server lacked a position of this age.
    pub fn lacked(&mut self, age: Time) {
        self.0 = self.0.max(age + age / 5);
    }
}
