//! Reservation of an organisation's tokens by priority, for times when more are claimed than accrue, and the retry
//! times of refused operations.
//!
//! A reservation only refuses claims. Granted tokens are taken from the level of the bucket, which alone limits their
//! number.

use {
    super::{MAX_RETRY_AFTER, SECOND, Urgency},
    std::collections::VecDeque,
};

/// Maximum number of distinct priorities. An operation of a further priority counts towards the next less urgent of
/// these, or towards the last.
const MAX_CLASSES: usize = 8;
/// Part of the granted tokens that all less urgent classes together are guaranteed, at any demand of more urgent ones:
/// one caller in ten finds that its class is still served.
const MIN_SHARE: f64 = 0.1;
/// Demand as a part of the rate. Nothing is reserved below the first value, as all operations find tokens, and the full
/// amount is reserved above the second.
const PRESSURE_RANGE: (f64, f64) = (0.9, 1.0);
/// Number of claims covered by an average, within the bounds of [`WINDOW_RANGE`]. An average of fewer claims would be
/// dominated by chance.
const SAMPLE_SIZE: f64 = 32.0;
/// Minimum and maximum time covered by an average, in seconds.
const WINDOW_RANGE: (f64, f64) = (1.0, 5.0);
/// Minimum part of the averaging window that is treated as observed when the rate of claims is computed.
const MIN_OBSERVED: f64 = 0.2;
/// Time for whose claims of more urgent operations tokens are reserved, in seconds. The callers of one page or batch
/// claim together.
const LOOKAHEAD: f64 = 0.25;
/// Maximum part of a full bucket reserved for more urgent operations. The rest absorbs the tokens that accrue while
/// there are no claims.
const MAX_RESERVED: f64 = 0.75;
/// Part of the reservation for more urgent operations that also applies to scheduled retries.
const RETRY_FACTOR: f64 = 0.25;
/// Minimum delay before a retry, in microseconds. Both the response and the retry cross availability zones, and the
/// caller needs time to react.
const MIN_RETRY_DELAY: u64 = 10_000;
/// Maximum lateness of a retry that still uses its scheduled time, in microseconds.
const MAX_LATENESS: u64 = 5_000;
/// Tokens for each scheduled retry. Callers without a scheduled time also claim, at uneven intervals.
const SLACK: f64 = 1.25;
/// Tokens kept available for each scheduled retry, for the same reason as [`SLACK`].
const SPARE: f64 = 3.0;
/// Maximum number of scheduled retries stored for a class: one second of the largest organisations.
const MAX_RETRIES: usize = 1_024;

/// Tokens of a bucket at a point in time.
#[derive(Clone, Copy, Debug)]
pub(super) struct Supply {
    /// Tokens that may be granted now.
    pub available: f64,
    /// Maximum number of such tokens.
    pub capacity: f64,
    /// Tokens that accrue per second, greater than 0.
    pub rate: f64,
    /// Current time, in microseconds.
    pub now: u64,
}

impl Supply {
    /// Returns the time covered by averages, in seconds.
    fn window(&self) -> f64 {
        (SAMPLE_SIZE / self.rate).clamp(WINDOW_RANGE.0, WINDOW_RANGE.1)
    }

    /// Returns the weight in an average of a count made at the time `since`.
    fn decay(&self, since: u64) -> f64 {
        (-(self.now.saturating_sub(since) as f64) / (SECOND * self.window())).exp()
    }

    /// Returns the time in which tokens accrue at a part of the rate, in microseconds.
    fn time_for(&self, tokens: f64, part: f64) -> u64 {
        ((tokens / (self.rate * part) * SECOND).ceil() as u64).min(MAX_RETRY_AFTER)
    }
}

/// Counter with exponential decay.
#[derive(Clone, Copy, Debug, Default)]
struct DecayingCounter {
    count: f64,
    updated_at: u64,
    /// Start of counting.
    started_at: u64,
}

impl DecayingCounter {
    fn add(&mut self, n: u32, supply: &Supply) {
        self.count = self.count * supply.decay(self.updated_at) + f64::from(n);
        self.updated_at = supply.now;
    }

    /// Returns the average number per second.
    fn rate(&self, supply: &Supply) -> f64 {
        let observed = (1.0 - supply.decay(self.started_at)).max(MIN_OBSERVED);
        self.count * supply.decay(self.updated_at) / (supply.window() * observed)
    }
}

/// Operations of one priority.
#[derive(Clone, Debug)]
struct PriorityClass {
    priority: u8,
    demand: DecayingCounter,
    /// Unused part of the guaranteed minimum, in tokens.
    credit: f64,
    /// Time of the last claim.
    last_claim: u64,
    /// Scheduled retry times, sorted.
    retries: VecDeque<u64>,
    /// Last scheduled retry time, even if it is in the past.
    last_retry: u64,
}

impl PriorityClass {
    fn is_active(&self, supply: &Supply) -> bool {
        supply.now.saturating_sub(self.last_claim) as f64 <= supply.window() * SECOND
    }

    /// Returns the expected number of other claims of the class while one scheduled retry is awaited.
    fn competitors(&self, supply: &Supply) -> f64 {
        self.demand.rate(supply) * MAX_LATENESS as f64 / SECOND
    }

    /// Returns the number of tokens reserved for scheduled retries. It is 0 while a retry is awaited, because a claim
    /// at that time may be the scheduled one.
    fn spare(&self, supply: &Supply) -> f64 {
        match self.retries.front() {
            Some(first) if *first > supply.now => self.max_spare(supply),
            _ => 0.0,
        }
    }

    /// Returns true if a scheduled retry is awaited now.
    fn is_retry_due(&self, supply: &Supply) -> bool {
        self.retries.front().is_some_and(|first| *first <= supply.now)
    }

    /// Returns the maximum number of tokens reserved for scheduled retries.
    fn max_spare(&self, supply: &Supply) -> f64 {
        SPARE * (1.0 + self.competitors(supply))
    }
}

/// Retry times of operations that were refused together, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RetryTimes {
    /// Delay until the first retry.
    pub after: u64,
    /// Interval between two retries.
    pub step: u64,
}

/// Priority classes of an organisation's operations, sorted by priority.
#[derive(Clone, Debug, Default)]
pub(super) struct Reserve {
    classes: Vec<PriorityClass>,
}

impl Reserve {
    /// Returns the number of operations to grant of those claimed.
    pub fn admit(&mut self, count: u32, priority: u8, supply: &Supply) -> u32 {
        let at = self.record_claim(count, priority, supply);
        let spare = self.classes[at].spare(supply);
        let unreserved = supply.available - self.reserved(at, spare, supply);
        let minimum = (supply.available - self.owed(at, supply)).min(self.classes[at].credit - spare);
        let granted = unreserved.max(minimum).floor().clamp(0.0, count.into()) as u32;
        self.record_grant(at, granted, supply);
        granted
    }

    /// Schedules retries of refused operations, as long as the callers still wait at those times.
    pub fn schedule_retries(&mut self, refused: u32, urgency: Urgency, supply: &Supply) -> RetryTimes {
        let at = self.find(urgency.priority);
        let minimum = MIN_SHARE / self.lower_classes(supply).max(1) as f64;
        let before: f64 = self.classes[..at].iter().map(|class| class.demand.rate(supply)).sum();
        let part = (1.0 - MIN_SHARE - before / supply.rate).max(minimum);
        let missing = (1.0 + self.reserved(at, 0.0, supply) - supply.available).max(0.0);
        let class = &mut self.classes[at];
        let step = supply.time_for((1.0 + class.competitors(supply)) * SLACK, part);
        let due = supply.time_for((1.0 - class.credit).max(0.0), minimum);
        let first = supply.now + supply.time_for(missing, part).min(due).max(MIN_RETRY_DELAY);
        let mut next = first.max(class.last_retry + step);
        let times = RetryTimes { after: next - supply.now, step };
        for _ in 0..refused {
            if next > supply.now.saturating_add(urgency.remaining) || class.retries.len() == MAX_RETRIES {
                break;
            }
            class.retries.push_back(next);
            class.last_retry = next;
            next += step;
        }
        times
    }

    /// Returns the index of a class, or of the nearest one if the number of classes is at its maximum.
    fn find(&self, priority: u8) -> usize {
        let at = self.classes.partition_point(|class| class.priority < priority);
        at.min(self.classes.len().saturating_sub(1))
    }

    /// Records a claim, and returns the index of its class.
    fn record_claim(&mut self, count: u32, priority: u8, supply: &Supply) -> usize {
        let at = self.classes.partition_point(|class| class.priority < priority);
        let known = self.classes.get(at).is_some_and(|class| class.priority == priority);
        if !known && self.classes.len() < MAX_CLASSES {
            let demand = DecayingCounter { started_at: supply.now, ..DecayingCounter::default() };
            let new = PriorityClass {
                priority,
                demand,
                credit: 0.0,
                last_claim: supply.now,
                retries: VecDeque::new(),
                last_retry: 0,
            };
            self.classes.insert(at, new);
        }
        let at = self.find(priority);
        let class = &mut self.classes[at];
        class.demand.add(count, supply);
        class.last_claim = supply.now;
        while class.retries.pop_front_if(|retry| *retry + MAX_LATENESS <= supply.now).is_some() {}
        at
    }

    /// Returns the excess of demand over supply, from 0 if all claims can be granted to 1 if they can't.
    fn pressure(&self, supply: &Supply) -> f64 {
        let demand: f64 = self.classes.iter().map(|class| class.demand.rate(supply)).sum();
        ((demand / supply.rate - PRESSURE_RANGE.0) / (PRESSURE_RANGE.1 - PRESSURE_RANGE.0)).clamp(0.0, 1.0)
    }

    /// Returns the number of tokens that a class may not use.
    fn reserved(&self, at: usize, spare: f64, supply: &Supply) -> f64 {
        let urgent: f64 =
            self.classes[..at].iter().map(|class| class.demand.rate(supply).min(supply.rate)).sum();
        let part = if self.classes[at].is_retry_due(supply) { RETRY_FACTOR } else { 1.0 };
        let urgent = (urgent * LOOKAHEAD).min(supply.capacity * MAX_RESERVED) * part;
        let reserved = self.owed(at, supply) + (urgent + spare) * self.pressure(supply);
        // A single caller always finds a token in a full bucket.
        reserved.min(supply.capacity - 1.0).max(0.0)
    }

    /// Returns the number of tokens reserved for the guaranteed minimum of other classes.
    fn owed(&self, at: usize, supply: &Supply) -> f64 {
        let is_owed = |c: &(usize, &PriorityClass)| c.0 != at && c.1.credit >= 1.0 && c.1.is_active(supply);
        let owed = self.classes.iter().enumerate().filter(is_owed).count();
        (owed as f64 * self.pressure(supply)).min(supply.capacity - 1.0).max(0.0)
    }

    /// Returns the number of active classes besides the most urgent one.
    fn lower_classes(&self, supply: &Supply) -> usize {
        self.classes.iter().filter(|class| class.is_active(supply)).count().saturating_sub(1)
    }

    /// Records a grant, and credits the other classes with their guaranteed minimum.
    fn record_grant(&mut self, at: usize, granted: u32, supply: &Supply) {
        let each = MIN_SHARE / self.lower_classes(supply).max(1) as f64 * f64::from(granted);
        let first = self.classes.iter().position(|class| class.is_active(supply)).unwrap_or(0);
        for class in self.classes.iter_mut().skip(first + 1).filter(|class| class.is_active(supply)) {
            let max = 2.0 + class.max_spare(supply);
            class.credit = (class.credit + each).min(max);
        }
        let class = &mut self.classes[at];
        class.credit = (class.credit - f64::from(granted)).max(0.0);
    }
}
