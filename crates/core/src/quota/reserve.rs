//! Who has first call on an organisation's tokens where more are asked for than come in, and when the others may come
//! back.
//!
//! A reserve only refuses: what is granted is taken from the bucket's level, which alone says how much there is.

use {
    super::{MAX_RETRY_AFTER, SECOND, Urgency},
    std::collections::VecDeque,
};

/// Priorities that are told apart; further ones count as the next less urgent one of these, or the last.
const KINDS: usize = 8;
/// The part of what is granted that less urgent kinds keep together, however much more urgent ones want: one caller in ten
/// sees that its kind still works.
const MINIMUM: f64 = 0.1;
/// Below this part of the rate there is room for everybody, and nothing is kept back; above the second, all that should be.
const PRESSURE: (f64, f64) = (0.9, 1.0);
/// Claims that an average goes back over, as far as the two bounds below allow: fewer would be chance.
const SAMPLE: f64 = 32.0;
/// The shortest and the longest time that it goes back over, in seconds.
const SPAN: (f64, f64) = (1.0, 5.0);
/// The part of that time that is needed to know how many claims come in a second.
const KNOWN: f64 = 0.2;
/// More urgent claims of this time are kept room for, in seconds: callers of one page or batch come together.
const AHEAD: f64 = 0.25;
/// The part of a full bucket that may be kept for them: the rest takes in what comes while nobody claims.
const KEPT: f64 = 0.75;
/// The part of it that is kept from those who come at their places.
const AWAITED: f64 = 0.25;
/// The least time until a caller comes back, in microseconds: its answer and its next question cross zones, and it has to
/// notice.
const RETURN: u64 = 10_000;
/// How late a caller may be at its place and still find it, in microseconds.
const LATENESS: u64 = 5_000;
/// Tokens for each place: callers who weren't told to come come as well, and not evenly.
const SLACK: f64 = 1.25;
/// Tokens that stand ready for each place, for the same reason.
const SPARE: f64 = 3.0;
/// RetrySchedule that are remembered for a kind: those of a second of the largest organisations.
const PLACES: usize = 1_024;

/// What a bucket has, at a time.
#[derive(Clone, Copy, Debug)]
pub(super) struct Supply {
    /// Tokens that may be granted now.
    pub stock: f64,
    /// The most that there may be of them.
    pub most: f64,
    /// Tokens that come in, in a second; more than none.
    pub rate: f64,
    /// The time.
    pub now: u64,
}

impl Supply {
    /// How far averages go back, in seconds.
    fn span(&self) -> f64 {
        (SAMPLE / self.rate).clamp(SPAN.0, SPAN.1)
    }

    /// What an average keeps of a moment that long ago.
    fn kept(&self, since: u64) -> f64 {
        (-(self.now.saturating_sub(since) as f64) / (SECOND * self.span())).exp()
    }

    /// How long some tokens take to come in at a part of the rate.
    fn time(&self, tokens: f64, part: f64) -> u64 {
        ((tokens / (self.rate * part) * SECOND).ceil() as u64).min(MAX_RETRY_AFTER)
    }
}

/// A count that is forgotten with time.
#[derive(Clone, Copy, Debug, Default)]
struct Recent {
    count: f64,
    at: u64,
    /// When counting began.
    since: u64,
}

impl Recent {
    fn add(&mut self, n: u32, it: &Supply) {
        self.count = self.count * it.kept(self.at) + f64::from(n);
        self.at = it.now;
    }

    /// So many in a second.
    fn rate(&self, it: &Supply) -> f64 {
        let known = (1.0 - it.kept(self.since)).max(KNOWN);
        self.count * it.kept(self.at) / (it.span() * known)
    }
}

/// Operations of one priority.
#[derive(Clone, Debug)]
struct Kind {
    priority: u8,
    asked: Recent,
    /// What is left to it of its minimum, in tokens.
    due: f64,
    /// When it was last asked for.
    seen: u64,
    /// When callers were told to come back, in order.
    places: VecDeque<u64>,
    /// The last of them, also if it has passed.
    last: u64,
}

impl Kind {
    fn is_recent(&self, it: &Supply) -> bool {
        it.now.saturating_sub(self.seen) as f64 <= it.span() * SECOND
    }

    /// Others of the kind that come while one is awaited at its place.
    fn others(&self, it: &Supply) -> f64 {
        self.asked.rate(it) * LATENESS as f64 / SECOND
    }

    /// Tokens that are kept for those who were told to come back, from those who weren't: whoever comes at a place may be
    /// either.
    fn spare(&self, it: &Supply) -> f64 {
        match self.places.front() {
            Some(first) if *first > it.now => self.most_spare(it),
            _ => 0.0,
        }
    }

    /// Whether one is awaited at its place.
    fn is_awaited(&self, it: &Supply) -> bool {
        self.places.front().is_some_and(|first| *first <= it.now)
    }

    /// As many as there are of them.
    fn most_spare(&self, it: &Supply) -> f64 {
        SPARE * (1.0 + self.others(it))
    }
}

/// When those may come back who were refused together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Row {
    /// When the first may, from now.
    pub after: u64,
    /// Between two of them.
    pub step: u64,
}

/// The kinds of an organisation's operations, sorted by priority.
#[derive(Clone, Debug, Default)]
pub(super) struct Reserve {
    kinds: Vec<Kind>,
}

impl Reserve {
    /// How many operations are granted of those that are wanted.
    pub fn admit(&mut self, count: u32, priority: u8, it: &Supply) -> u32 {
        let at = self.note(count, priority, it);
        let spare = self.kinds[at].spare(it);
        let open = it.stock - self.kept(at, spare, it);
        let minimum = (it.stock - self.owed(at, it)).min(self.kinds[at].due - spare);
        let granted = open.max(minimum).floor().clamp(0.0, count.into()) as u32;
        self.take(at, granted, it);
        granted
    }

    /// Gives places to some that are refused, as far as they are of use.
    pub fn place(&mut self, refused: u32, urgency: Urgency, it: &Supply) -> Row {
        let at = self.find(urgency.priority);
        let minimum = MINIMUM / self.lesser(it).max(1) as f64;
        let before: f64 = self.kinds[..at].iter().map(|kind| kind.asked.rate(it)).sum();
        let part = (1.0 - MINIMUM - before / it.rate).max(minimum);
        let lacks = (1.0 + self.kept(at, 0.0, it) - it.stock).max(0.0);
        let kind = &mut self.kinds[at];
        let step = it.time((1.0 + kind.others(it)) * SLACK, part);
        let due = it.time((1.0 - kind.due).max(0.0), minimum);
        let first = it.now + it.time(lacks, part).min(due).max(RETURN);
        let mut next = first.max(kind.last + step);
        let row = Row { after: next - it.now, step };
        for _ in 0..refused {
            if next > it.now.saturating_add(urgency.remaining) || kind.places.len() == PLACES {
                break;
            }
            kind.places.push_back(next);
            kind.last = next;
            next += step;
        }
        row
    }

    /// A kind's place among the others; the nearest's, where there are too many.
    fn find(&self, priority: u8) -> usize {
        let at = self.kinds.partition_point(|it| it.priority < priority);
        at.min(self.kinds.len().saturating_sub(1))
    }

    /// Takes in that a kind is asked for.
    fn note(&mut self, count: u32, priority: u8, it: &Supply) -> usize {
        let at = self.kinds.partition_point(|it| it.priority < priority);
        let known = self.kinds.get(at).is_some_and(|it| it.priority == priority);
        if !known && self.kinds.len() < KINDS {
            let asked = Recent { since: it.now, ..Recent::default() };
            let new = Kind { priority, asked, due: 0.0, seen: it.now, places: VecDeque::new(), last: 0 };
            self.kinds.insert(at, new);
        }
        let at = self.find(priority);
        let kind = &mut self.kinds[at];
        kind.asked.add(count, it);
        kind.seen = it.now;
        while kind.places.pop_front_if(|place| *place + LATENESS <= it.now).is_some() {}
        at
    }

    /// How much is asked for beyond what there is room for: 0 where all have room, 1 where they don't.
    fn pressure(&self, it: &Supply) -> f64 {
        let asked: f64 = self.kinds.iter().map(|kind| kind.asked.rate(it)).sum();
        ((asked / it.rate - PRESSURE.0) / (PRESSURE.1 - PRESSURE.0)).clamp(0.0, 1.0)
    }

    /// Tokens that a kind leaves to others.
    fn kept(&self, at: usize, spare: f64, it: &Supply) -> f64 {
        let urgent: f64 = self.kinds[..at].iter().map(|kind| kind.asked.rate(it).min(it.rate)).sum();
        let part = if self.kinds[at].is_awaited(it) { AWAITED } else { 1.0 };
        let urgent = (urgent * AHEAD).min(it.most * KEPT) * part;
        let kept = self.owed(at, it) + (urgent + spare) * self.pressure(it);
        // Whoever is alone finds a token in a full bucket.
        kept.min(it.most - 1.0).max(0.0)
    }

    /// Tokens that are kept for other kinds' minimum.
    fn owed(&self, at: usize, it: &Supply) -> f64 {
        let is_owed = |other: &(usize, &Kind)| other.0 != at && other.1.due >= 1.0 && other.1.is_recent(it);
        let owed = self.kinds.iter().enumerate().filter(is_owed).count();
        (owed as f64 * self.pressure(it)).min(it.most - 1.0).max(0.0)
    }

    /// How many kinds there are beside the most urgent one.
    fn lesser(&self, it: &Supply) -> usize {
        self.kinds.iter().filter(|kind| kind.is_recent(it)).count().saturating_sub(1)
    }

    /// Counts what was granted, and what that makes the minimum of the others.
    fn take(&mut self, at: usize, granted: u32, it: &Supply) {
        let each = MINIMUM / self.lesser(it).max(1) as f64 * f64::from(granted);
        let first = self.kinds.iter().position(|kind| kind.is_recent(it)).unwrap_or(0);
        for kind in self.kinds.iter_mut().skip(first + 1).filter(|kind| kind.is_recent(it)) {
            let most = 2.0 + kind.most_spare(it);
            kind.due = (kind.due + each).min(most);
        }
        let kind = &mut self.kinds[at];
        kind.due = (kind.due - f64::from(granted)).max(0.0);
    }
}
