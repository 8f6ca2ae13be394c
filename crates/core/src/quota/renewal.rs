//! When an instance speaks to which limiter.
//!
//! A limiter has a message of every instance in each period. It may be one of the smallest instances of a large fleet, so
//! the period, and with it the term of loans, grows with the number of instances as soon as [`MAX_MESSAGE_RATE`] calls for it. The
//! first messages, after a start or to a limiter that is new in its place, are spread over the same time by the place of the
//! instance among all; a limiter without an answer is asked again after a pause that doubles.

use {
    super::{MIN_LOAN_DURATION, SLOTS},
    pondtrack_proto::Name,
};

/// Messages a second that come to a limiter at most: what an instance with a tenth of a core answers in about half of its
/// time, while shares are placed; afterwards it has half as many, and the rest is its callers'.
pub const MAX_MESSAGE_RATE: u64 = 1_200;
/// The part of them that is dealt to the instances; the rest is for messages that are repeated.
const DEALT: u64 = 1_000;
/// Messages until a share is placed: one to learn the limiter's moment, one that lends.
const FIRST: u64 = 2;
/// The shortest time between two messages to a limiter, in microseconds: a loan outlasts two that are lost.
pub const MIN_RENEWAL_INTERVAL: u64 = 400_000;
/// The shortest time for a limiter's answer, in microseconds: a crossing of zones and a busy instance.
pub const MIN_REPLY_TIMEOUT: u64 = 150_000;
/// The longest pause after the first miss, in microseconds.
const RETRY: u64 = 50_000;
/// The longest pause of all, in microseconds.
const RETRY_MOST: u64 = 1_000_000;
/// The same within [`EARLY`]: others start too, and callers wait.
const RETRY_EARLY: u64 = 200_000;
/// How long after an instance's start others may come up, in microseconds.
const EARLY: u64 = 3_000_000;
/// Most doublings of a pause.
const DOUBLINGS: u32 = 8;
/// Periods that a loan has to outlast, as it counts from the message before: one whose message is lost.
const OUTLASTS: u64 = 3;
/// The largest fleet that is reckoned with: twice the 760 instances that the product is made for, as all may be replaced at
/// once, and some room. Others may tell any number.
const FLEET: u64 = 1_600;
/// The longest term of a loan, in microseconds: that of the largest fleet. Others may name any.
pub const MAX_LOAN_DURATION: u64 = MIN_LOAN_DURATION + OUTLASTS * (span(FLEET) - MIN_RENEWAL_INTERVAL);

/// What is known of a limiter.
#[derive(Clone, Debug)]
struct Lane {
    name: Name,
    /// When it is told something next.
    due: u64,
    /// Whether it owes an answer.
    is_asked: bool,
    /// Misses since its last answer.
    misses: u32,
    /// Its last answer, or the time since when it is known.
    heard: u64,
    /// Whether others are taken in its place.
    is_lost: bool,
}

/// The messages of one instance to limiters. Times are microseconds of its monotonic clock, which begins with its
/// process.
#[derive(Clone, Debug, Default)]
pub struct RenewalScheduler {
    /// How many instances come before this one in the order of all.
    place: u64,
    instances: u64,
    /// Sorted by name.
    lanes: Vec<Lane>,
}

/// The time in which one limiter can have the first messages of so many instances.
const fn span(instances: u64) -> u64 {
    instances * FIRST * 1_000_000 / DEALT
}

impl RenewalScheduler {
    /// Takes in how many instances there are, and how many of them come before this one in an order that is the same on
    /// all.
    pub fn set_fleet(&mut self, place: usize, instances: usize) {
        self.place = place as u64;
        self.instances = (instances as u64).min(FLEET);
    }

    /// The time in which one limiter can have the first messages of all instances.
    fn span(&self) -> u64 {
        span(self.instances)
    }

    /// Between two messages to a limiter.
    pub fn interval(&self) -> u64 {
        self.span().max(MIN_RENEWAL_INTERVAL)
    }

    /// How long shares have to be lent.
    pub fn loan_duration(&self) -> u64 {
        MIN_LOAN_DURATION + OUTLASTS * (self.interval() - MIN_RENEWAL_INTERVAL)
    }

    /// How long a limiter's answer may take: one that all ask at once answers the last after the time for all.
    pub fn timeout(&self) -> u64 {
        self.span().max(MIN_REPLY_TIMEOUT)
    }

    /// The limiters that are told something now, of these that there are, sorted. They owe an answer from now on.
    pub fn take_due(&mut self, audience: &[Name], now: u64) -> Vec<Name> {
        self.lanes.retain(|it| it.is_asked || audience.binary_search(&it.name).is_ok());
        let first = now + self.turn();
        let period = self.interval();
        for name in audience {
            if let Err(at) = self.find(name) {
                let name = name.clone();
                let lane = Lane { name, due: first, is_asked: false, misses: 0, heard: now, is_lost: false };
                self.lanes.insert(at, lane);
            }
        }
        let pause = RETRY_MOST.max(2 * self.span());
        for it in &mut self.lanes {
            // The fleet may have been taken for a larger one.
            it.due = it.due.min(now + if it.is_lost { pause } else { period });
        }
        let mut out = Vec::new();
        for it in self.lanes.iter_mut().filter(|it| !it.is_asked && it.due <= now) {
            it.is_asked = true;
            // In step with what was dealt to this instance, as long as it keeps up.
            it.due = if it.due + period > now { it.due + period } else { now + period };
            out.push(it.name.clone());
        }
        out
    }

    /// SlotSet are meant for other limiters than before: those are told, all instances in turn.
    pub fn reassigned(&mut self, old: &[Name; SLOTS], new: &[Name; SLOTS], now: u64) {
        let at = now + self.turn();
        for (name, _) in old.iter().zip(new).filter(|it| it.0 != it.1) {
            self.with(name, |it| it.due = if it.is_lost { it.due } else { it.due.min(at) });
        }
    }

    /// When this instance has its turn, where all begin to speak to a limiter at the same time.
    fn turn(&self) -> u64 {
        self.span() * self.place.min(self.instances) / self.instances.max(1)
    }

    /// How long until a limiter is told something; none where there is nobody to be told.
    pub fn next_delay(&self, now: u64) -> Option<u64> {
        let due = self.lanes.iter().filter(|it| !it.is_asked).map(|it| it.due).min()?;
        Some(due.saturating_sub(now))
    }

    /// A limiter is told something at this time, if not sooner: a share can be lent to it then.
    pub fn schedule_by(&mut self, name: &Name, at: u64) {
        self.with(name, |it| it.due = it.due.min(at));
    }

    /// A limiter has answered, and serves; says whether it was lost before.
    pub fn record_reply(&mut self, name: &Name, now: u64) -> bool {
        let mut was_lost = false;
        self.with(name, |it| {
            it.misses = 0;
            it.heard = now;
            was_lost = std::mem::take(&mut it.is_lost);
        });
        was_lost
    }

    /// A limiter couldn't be reached, leaves, or has had [`RenewalScheduler::timeout`] for its answer; `random` is any number.
    pub fn record_failure(&mut self, name: &Name, random: u64, now: u64) {
        // All come within this time to one that serves again.
        let (most, least) = match now < EARLY {
            true => (RETRY_EARLY, self.span()),
            false => (RETRY_MOST, 2 * self.span()),
        };
        self.with(name, |it| {
            let top = (RETRY << it.misses.min(DOUBLINGS)).min(most).max(least);
            it.misses += 1;
            it.due = now + top / 2 + random % (top / 2 + 1);
            it.is_lost = true;
        });
    }

    /// A limiter has not answered in time for a caller. It may be slow, and is lost only if nothing was heard of it for
    /// longer.
    pub fn record_timeout(&mut self, name: &Name, random: u64, now: u64) {
        let patience = self.timeout();
        let heard = self.find(name).ok().map(|at| self.lanes[at].heard);
        if heard.is_some_and(|it| now.saturating_sub(it) >= patience) {
            self.record_failure(name, random, now);
        }
    }

    /// A limiter owes no answer any longer.
    pub fn complete(&mut self, name: &Name) {
        self.with(name, |it| it.is_asked = false);
    }

    /// Limiters in whose place others are taken.
    pub fn lost(&self) -> impl Iterator<Item = &Name> {
        self.lanes.iter().filter(|it| it.is_lost).map(|it| &it.name)
    }

    fn find(&self, name: &Name) -> Result<usize, usize> {
        self.lanes.binary_search_by(|it| it.name.cmp(name))
    }

    fn with(&mut self, name: &Name, change: impl FnOnce(&mut Lane)) {
        if let Ok(at) = self.find(name) {
            change(&mut self.lanes[at]);
        }
    }
}
