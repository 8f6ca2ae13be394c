//! Scheduling of an instance's messages to limiters, which lend its shares and renew the loans.
//!
//! In each renewal interval, a limiter receives a message from every instance. The limiter may be one of the smallest
//! instances of a large fleet, so the interval, and with it the duration of loans, grows with the number of instances
//! as soon as [`MAX_MESSAGE_RATE`] requires. The first messages after a start, or to a newly assigned limiter, are
//! spread by the rank of the instance over the time that the limiter needs for the messages of all instances. A
//! limiter that doesn't reply is retried with exponential backoff.

use {
    super::{MIN_LOAN_DURATION, SLOTS},
    pondtrack_proto::Name,
};

/// Maximum number of messages per second that a limiter receives. An instance with a tenth of a core replies to this
/// number in about half of its time while shares are being placed. Afterwards it receives half as many, and the
/// remaining time is available to its callers.
pub const MAX_MESSAGE_RATE: u64 = 1_200;
/// Part of [`MAX_MESSAGE_RATE`] that is allotted to instances. The remainder is for repeated messages.
const ALLOTTED_RATE: u64 = 1_000;
/// Number of messages that place a share: the first obtains the limiter's timestamp, the second lends.
const FIRST_MESSAGES: u64 = 2;
/// Minimum interval between two messages to a limiter, in microseconds. A loan outlasts two lost messages.
pub const MIN_RENEWAL_INTERVAL: u64 = 400_000;
/// Minimum timeout for a limiter's reply, in microseconds: a round trip between availability zones and a busy instance.
pub const MIN_REPLY_TIMEOUT: u64 = 150_000;
/// Maximum delay after the first failure, in microseconds.
const INITIAL_BACKOFF: u64 = 50_000;
/// Maximum delay after any failure, in microseconds.
const MAX_BACKOFF: u64 = 1_000_000;
/// Maximum delay within [`STARTUP_PERIOD`], in microseconds. Other instances may be starting, and callers wait.
const MAX_STARTUP_BACKOFF: u64 = 200_000;
/// Time after an instance's start during which other instances may still be starting, in microseconds.
const STARTUP_PERIOD: u64 = 3_000_000;
/// Maximum number of times that the delay doubles.
const MAX_DOUBLINGS: u32 = 8;
/// Number of intervals that a loan outlasts. A loan is counted from the previous message, and one message may be lost.
const INTERVALS_PER_LOAN: u64 = 3;
/// Maximum fleet size assumed. The product is designed for 760 instances; all of them may be replaced at once, which
/// doubles the number, and the rest is headroom. Other instances may report any number.
const MAX_FLEET_SIZE: u64 = 1_600;
/// Maximum duration of a loan, in microseconds: that of the largest fleet. Other instances may state any duration.
pub const MAX_LOAN_DURATION: u64 =
    MIN_LOAN_DURATION + INTERVALS_PER_LOAN * (placement_time(MAX_FLEET_SIZE) - MIN_RENEWAL_INTERVAL);

/// Schedule and state of one limiter.
#[derive(Clone, Debug)]
struct Target {
    name: Name,
    /// Time of the next message.
    due: u64,
    /// True if a reply is outstanding.
    is_pending: bool,
    /// Number of failures since the last reply.
    failures: u32,
    /// Time of the last reply, or the time since which the limiter is known.
    last_contact: u64,
    /// True if another limiter replaces this one.
    is_lost: bool,
}

/// Schedule of the messages from one instance to limiters. Times are microseconds of its monotonic clock, which starts
/// with its process.
#[derive(Clone, Debug, Default)]
pub struct RenewalScheduler {
    /// Number of instances that precede this one in the order of all instances.
    rank: u64,
    instances: u64,
    /// Sorted by name.
    targets: Vec<Target>,
}

/// Returns the time in which one limiter can receive the first messages of a number of instances, in microseconds.
const fn placement_time(instances: u64) -> u64 {
    instances * FIRST_MESSAGES * 1_000_000 / ALLOTTED_RATE
}

impl RenewalScheduler {
    /// Sets the number of instances, and the number of those that precede this one in an order common to all instances.
    pub fn set_fleet(&mut self, rank: usize, instances: usize) {
        self.rank = rank as u64;
        self.instances = (instances as u64).min(MAX_FLEET_SIZE);
    }

    /// Returns the time in which one limiter can receive the first messages of all instances.
    fn placement_time(&self) -> u64 {
        placement_time(self.instances)
    }

    /// Returns the interval between two messages to a limiter, in microseconds.
    pub fn interval(&self) -> u64 {
        self.placement_time().max(MIN_RENEWAL_INTERVAL)
    }

    /// Returns the minimum duration of loans, in microseconds.
    pub fn loan_duration(&self) -> u64 {
        MIN_LOAN_DURATION + INTERVALS_PER_LOAN * (self.interval() - MIN_RENEWAL_INTERVAL)
    }

    /// Returns the timeout for a limiter's reply, in microseconds. If all instances send a message at once, the limiter
    /// needs the whole placement time to reply to the last one.
    pub fn timeout(&self) -> u64 {
        self.placement_time().max(MIN_REPLY_TIMEOUT)
    }

    /// Returns those of the current limiters, which are sorted by name, whose next message is due, and marks their
    /// replies as outstanding.
    pub fn take_due(&mut self, limiters: &[Name], now: u64) -> Vec<Name> {
        self.targets.retain(|t| t.is_pending || limiters.binary_search(&t.name).is_ok());
        let first = now + self.offset();
        let interval = self.interval();
        for name in limiters {
            if let Err(at) = self.find(name) {
                let name = name.clone();
                let target = Target {
                    name,
                    due: first,
                    is_pending: false,
                    failures: 0,
                    last_contact: now,
                    is_lost: false,
                };
                self.targets.insert(at, target);
            }
        }
        let backoff = MAX_BACKOFF.max(2 * self.placement_time());
        for t in &mut self.targets {
            // Delays grow with the number of instances. If that number was overestimated when `due` was set, `due` may
            // be too late, so it is moved to at most one present interval, or for a lost limiter one backoff, from now.
            t.due = t.due.min(now + if t.is_lost { backoff } else { interval });
        }
        let mut out = Vec::new();
        for t in self.targets.iter_mut().filter(|t| !t.is_pending && t.due <= now) {
            t.is_pending = true;
            // Keeps this instance's offset within the interval unless it has fallen behind.
            t.due = if t.due + interval > now { t.due + interval } else { now + interval };
            out.push(t.name.clone());
        }
        out
    }

    /// Schedules messages to the limiters of reassigned slots, spread over all instances.
    pub fn reassigned(&mut self, old: &[Name; SLOTS], new: &[Name; SLOTS], now: u64) {
        let at = now + self.offset();
        for (name, _) in old.iter().zip(new).filter(|pair| pair.0 != pair.1) {
            self.update(name, |t| t.due = if t.is_lost { t.due } else { t.due.min(at) });
        }
    }

    /// Returns the delay of this instance's first message when all instances start to send to a limiter at the same
    /// time.
    fn offset(&self) -> u64 {
        self.placement_time() * self.rank.min(self.instances) / self.instances.max(1)
    }

    /// Returns the time until the next message is due, in microseconds, or `None` if no message is scheduled.
    pub fn next_delay(&self, now: u64) -> Option<u64> {
        let due = self.targets.iter().filter(|t| !t.is_pending).map(|t| t.due).min()?;
        Some(due.saturating_sub(now))
    }

    /// Schedules the next message to a limiter for a time at which a share can be lent to it, unless an earlier message
    /// is scheduled.
    pub fn schedule_by(&mut self, name: &Name, at: u64) {
        self.update(name, |t| t.due = t.due.min(at));
    }

    /// Records the reply of a limiter that is in service. Returns true if it was lost before.
    pub fn record_reply(&mut self, name: &Name, now: u64) -> bool {
        let mut was_lost = false;
        self.update(name, |t| {
            t.failures = 0;
            t.last_contact = now;
            was_lost = std::mem::take(&mut t.is_lost);
        });
        was_lost
    }

    /// Marks a limiter as lost that is unreachable, leaves, or hasn't replied within [`RenewalScheduler::timeout`].
    /// `random` is any number, used for jitter.
    pub fn record_failure(&mut self, name: &Name, random: u64, now: u64) {
        // All instances send a message to a limiter within this time after its return.
        let (max, min) = match now < STARTUP_PERIOD {
            true => (MAX_STARTUP_BACKOFF, self.placement_time()),
            false => (MAX_BACKOFF, 2 * self.placement_time()),
        };
        self.update(name, |t| {
            let top = (INITIAL_BACKOFF << t.failures.min(MAX_DOUBLINGS)).min(max).max(min);
            t.failures += 1;
            t.due = now + top / 2 + random % (top / 2 + 1);
            t.is_lost = true;
        });
    }

    /// Records that a limiter hasn't replied to a claim in time. It may only be slow, so it is marked as lost only if
    /// its last reply is older than [`RenewalScheduler::timeout`].
    pub fn record_timeout(&mut self, name: &Name, random: u64, now: u64) {
        let timeout = self.timeout();
        let last_contact = self.find(name).ok().map(|at| self.targets[at].last_contact);
        if last_contact.is_some_and(|at| now.saturating_sub(at) >= timeout) {
            self.record_failure(name, random, now);
        }
    }

    /// Marks the message to a limiter as completed, so that no reply is outstanding.
    pub fn complete(&mut self, name: &Name) {
        self.update(name, |t| t.is_pending = false);
    }

    /// Returns the limiters that are lost and replaced by others.
    pub fn lost(&self) -> impl Iterator<Item = &Name> {
        self.targets.iter().filter(|t| t.is_lost).map(|t| &t.name)
    }

    fn find(&self, name: &Name) -> Result<usize, usize> {
        self.targets.binary_search_by(|t| t.name.cmp(name))
    }

    fn update(&mut self, name: &Name, change: impl FnOnce(&mut Target)) {
        if let Ok(at) = self.find(name) {
            change(&mut self.targets[at]);
        }
    }
}
