//! When callers that were refused may come back.
//!
//! Callers that are all told the same moment come back together, and all but the first are refused again. Each one gets
//! a place of its own in the time when there will be room.
//!
//! Times are microseconds.

use {
    crate::quota::{MAX_RETRY_AFTER, RetrySchedule, Urgency},
    pondtrack_proto::Name,
    serde::{Deserialize, Serialize},
};

/// The shortest time for which a refusal holds without another question to the limiter.
const LEAST: u64 = 5_000;
/// The longest: a limit may be raised, or another limiter may take over.
const MOST: u64 = 200_000;
/// How late a caller may be at its place and is still known by it: its way back, and a busy instance.
const LATENESS: u64 = 50_000;
/// RetrySchedule that are remembered for an organisation's operations of one priority.
const PLACES: usize = 256;

/// What a refused caller is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RetryAfter {
    /// There will be room for this caller after so long.
    Room {
        /// From now.
        after: u64,
    },
    /// There will be none while its answer is still of use to it.
    TooLate {
        /// From now, when there will be room all the same.
        after: u64,
    },
}

impl RetryAfter {
    /// The pause, in either case.
    pub fn delay(self) -> u64 {
        match self {
            RetryAfter::Room { after } | RetryAfter::TooLate { after } => after,
        }
    }
}

/// What callers of an organisation's operations of one priority were told.
#[derive(Clone, Debug)]
struct Refusal {
    organisation: Name,
    priority: Option<u8>,
    /// Until then no other place is asked for.
    until: u64,
    /// The last place that was told, and the time between two.
    last: u64,
    step: u64,
    /// The places that are awaited.
    places: Vec<u64>,
}

impl Refusal {
    /// Whether it holds no longer, and nobody is awaited.
    fn is_over(&mut self, now: u64) -> bool {
        self.places.retain(|place| place + LATENESS > now);
        self.until <= now && self.places.is_empty()
    }

    /// Tells a caller its place, and remembers it if it is of use.
    fn tell(&mut self, place: u64, left: u64, now: u64) -> RetryAfter {
        // Callers are told milliseconds: one that comes a part of one too early finds nothing.
        let after = (place - now).next_multiple_of(1_000);
        if after > left {
            return RetryAfter::TooLate { after };
        }
        self.last = self.last.max(place);
        if self.places.len() < PLACES {
            self.places.push(place);
        }
        RetryAfter::Room { after }
    }
}

/// What an instance knows of refusals, so that it can answer by itself: callers who don't listen cost others nothing.
#[derive(Clone, Debug, Default)]
pub struct RefusalCache {
    /// Sorted by organisation and priority.
    list: Vec<Refusal>,
}

impl RefusalCache {
    /// What a caller is told without a question to the limiter; none if that has to be asked. A caller who comes when a
    /// place is due may be the one who was told so, and is asked for.
    pub fn lookup(&mut self, organisation: &Name, urgency: Option<Urgency>, now: u64) -> Option<RetryAfter> {
        let at = self.find(organisation, urgency).ok()?;
        let it = &mut self.list[at];
        if it.is_over(now) {
            self.list.remove(at);
            return None;
        }
        if let Some(due) = it.places.iter().position(|place| *place <= now) {
            it.places.remove(due);
            return None;
        }
        if it.until <= now {
            return None;
        }
        match urgency {
            None => Some(RetryAfter::Room { after: it.until - now }),
            Some(urgency) => Some(it.tell(it.last.max(now) + it.step, urgency.remaining, now)),
        }
    }

    /// A limiter has refused a caller; what it is told.
    pub fn insert(
        &mut self,
        organisation: &Name,
        urgency: Option<Urgency>,
        places: RetrySchedule,
        now: u64,
    ) -> RetryAfter {
        let priority = urgency.map(|it| it.priority);
        let until = now + places.after.clamp(LEAST, MOST);
        let at = self.find(organisation, urgency).unwrap_or_else(|at| {
            let organisation = organisation.clone();
            let new = Refusal { organisation, priority, until, last: 0, step: 0, places: Vec::new() };
            self.list.insert(at, new);
            at
        });
        let it = &mut self.list[at];
        it.until = until;
        it.step = places.step.min(MAX_RETRY_AFTER);
        match urgency {
            None => RetryAfter::Room { after: places.after },
            Some(urgency) => {
                let place = now + places.skip(0).after;
                let told = it.tell(place, urgency.remaining, now);
                // A place that its caller can't wait for is the next one's, who is told none before it.
                it.last = it.last.max(place.saturating_sub(it.step));
                told
            }
        }
    }

    /// Forgets refusals that are over.
    pub fn evict_expired(&mut self, now: u64) {
        self.list.retain_mut(|it| !it.is_over(now));
    }

    fn find(&self, organisation: &Name, urgency: Option<Urgency>) -> Result<usize, usize> {
        let key = (organisation, urgency.map(|it| it.priority));
        self.list.binary_search_by(|it| (&it.organisation, it.priority).cmp(&key))
    }
}
