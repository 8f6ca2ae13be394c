//! Shares that were lent to an instance, and the buckets that they fill.

use {
    super::{
        Demand, Grant, Limits, MAX_DELAY, MAX_LOAN_DURATION, MIN_LOAN_DURATION, RetrySchedule, SECOND, SLOTS,
        SlotSet, Timestamp,
        reserve::{Reserve, Supply},
        slot,
    },
    pondtrack_proto::Name,
    serde::{Deserialize, Serialize},
};

/// A bucket that nobody asked for this long is forgotten, in microseconds.
const IDLE: u64 = 60_000_000;

/// What an instance lends: its share of these slots, and of no others.
#[derive(Clone, Copy, Debug)]
pub struct Offer {
    /// The slots.
    pub slots: SlotSet,
    /// The part of each limit.
    pub share: f64,
    /// The moment that it was told before, from which the term counts.
    pub since: Option<Timestamp>,
    /// The term.
    pub duration: u64,
}

/// What a limiter answers to an offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OfferReply {
    /// The slots whose shares of the lender are used.
    pub used: SlotSet,
    /// Whether the offer was ignored, as a newer message seems to have come before. The newer one may
    /// be an earlier process's, after whose time messages of the lender count again.
    pub is_ignored: bool,
}

/// A share that was lent.
#[derive(Clone, Debug)]
struct Loan {
    lender: Name,
    share: f64,
    until: u64,
}

/// The newest message of a lender: an older one that is late changes nothing.
#[derive(Clone, Debug)]
struct Heard {
    lender: Name,
    seq: u64,
    /// What is older can't lend any longer.
    until: u64,
}

/// An organisation's bucket.
#[derive(Clone, Debug)]
struct Bucket {
    organisation: Name,
    /// Tokens; below zero where some were granted ahead.
    level: f64,
    /// What the slot had filled when the level was set.
    filled: f64,
    /// The limit when it was last asked.
    limits: Limits,
    used: u64,
    /// Who has first call on the tokens.
    reserve: Reserve,
}

impl Bucket {
    /// The most tokens that it holds.
    fn most(&self, sum: f64) -> f64 {
        (self.limits.burst + self.limits.margin) * sum
    }

    /// Takes in what came since the level was set.
    fn fill(&mut self, filled: f64, sum: f64) {
        let most = self.most(sum);
        self.level = (self.level + self.limits.rate * (filled - self.filled)).min(most);
        self.filled = filled;
    }
}

/// The shares of a slot.
#[derive(Clone, Debug, Default)]
struct Slot {
    /// Sorted by lender.
    loans: Vec<Loan>,
    /// The sum of their shares.
    sum: f64,
    /// When the first of them ends.
    ends: u64,
    /// What they have filled so far of a limit of one operation a second.
    filled: f64,
    /// The same when the sum last fell: a bucket that isn't kept counts as empty then.
    fell: f64,
    /// When that was last worked out.
    at: u64,
    /// Sorted by organisation.
    buckets: Vec<Bucket>,
}

/// What was lent to one instance. Times are microseconds of its monotonic clock.
#[derive(Clone, Debug)]
pub struct Limiter {
    process: u64,
    slots: [Slot; SLOTS],
    /// Sorted by lender.
    heard: Vec<Heard>,
}

impl Limiter {
    /// Nothing was lent yet; `process` tells apart the processes that an instance runs as.
    pub fn new(process: u64) -> Limiter {
        Limiter { process, slots: Default::default(), heard: Vec::new() }
    }

    /// The present moment, for a lender to hand back.
    pub fn timestamp(&self, now: u64) -> Timestamp {
        Timestamp { process: self.process, at: now }
    }

    /// An instance lends its share of these slots, and of no others, for a term from a moment that it was told before.
    /// Hands back the slots whose shares are used now.
    pub fn accept(
        &mut self,
        lender: &Name,
        seq: u64,
        slots: SlotSet,
        share: f64,
        since: Option<Timestamp>,
        now: u64,
    ) -> SlotSet {
        self.accept_offer(lender, seq, Offer { slots, share, since, duration: MIN_LOAN_DURATION }, now).used
    }

    /// The same for a term that the lender names, and counts by itself.
    pub fn accept_offer(&mut self, lender: &Name, seq: u64, offer: Offer, now: u64) -> OfferReply {
        let Offer { slots, share, since, .. } = offer;
        let term = offer.duration.min(MAX_LOAN_DURATION);
        let known = since.filter(|it| it.process == self.process && it.at <= now);
        let until = known.map_or(0, |it| it.at.saturating_add(term));
        let is_new = self.hear(lender, seq, now.saturating_add(term), now);
        let mut used = SlotSet::default();
        for (n, slot) in self.slots.iter_mut().enumerate() {
            slot.advance(now);
            if is_new {
                let share = if slots.contains(n) && until > now { share } else { 0.0 };
                slot.put(lender, share, until);
            }
            if slot.uses(lender) {
                used.insert(n);
            }
        }
        OfferReply { used, is_ignored: !is_new }
    }

    /// Takes in that a message has come, before which none can lend after a time; says whether none after it has.
    fn hear(&mut self, lender: &Name, seq: u64, until: u64, now: u64) -> bool {
        let heard = Heard { lender: lender.clone(), seq, until };
        match self.heard.binary_search_by(|it| it.lender.cmp(lender)) {
            Ok(at) if self.heard[at].until > now && self.heard[at].seq >= seq => return false,
            Ok(at) => self.heard[at] = heard,
            Err(at) => self.heard.insert(at, heard),
        }
        true
    }

    /// An organisation wants to run so many operations.
    pub fn claim(&mut self, organisation: &Name, limits: Limits, demand: Demand, now: u64) -> Grant {
        let slot = &mut self.slots[slot(organisation)];
        slot.advance(now);
        slot.claim(organisation, limits, demand, now)
    }

    /// The sum of the shares that were lent for an organisation.
    pub fn share(&self, organisation: &str) -> f64 {
        self.slots[slot(organisation)].sum
    }

    /// Forgets buckets that nobody has asked for a long time, and messages that no older one can follow.
    pub fn evict_idle(&mut self, now: u64) {
        self.heard.retain(|it| it.until > now);
        for it in &mut self.slots {
            it.buckets.retain(|bucket| now.saturating_sub(bucket.used) < IDLE);
        }
    }
}

impl Slot {
    /// Fills up to a time, and drops the loans that have ended by then.
    fn advance(&mut self, now: u64) {
        while self.ends <= now && !self.loans.is_empty() {
            self.fill(self.ends.max(self.at));
            let at = self.at;
            self.loans.retain(|it| it.until > at);
            self.sum_up();
        }
        self.fill(now);
    }

    fn fill(&mut self, now: u64) {
        self.filled += self.sum * now.saturating_sub(self.at) as f64 / SECOND;
        self.at = self.at.max(now);
    }

    fn sum_up(&mut self) {
        let before = self.sum;
        self.sum = self.loans.iter().map(|it| it.share).sum();
        self.ends = self.loans.iter().map(|it| it.until).min().unwrap_or(u64::MAX);
        if self.sum < before {
            self.fell = self.filled;
            let kept = if before > 0.0 { self.sum / before } else { 0.0 };
            // Whoever takes a share elsewhere begins there with nothing, and leaves nothing of it here.
            for it in &mut self.buckets {
                it.fill(self.filled, before);
                it.level = it.level.min(0.0) + it.level.max(0.0) * kept;
            }
        }
    }

    /// Takes in what a lender lends, or that it lends nothing.
    fn put(&mut self, lender: &Name, share: f64, until: u64) {
        match self.loans.binary_search_by(|it| it.lender.cmp(lender)) {
            Ok(at) if share > 0.0 => self.loans[at] = Loan { lender: lender.clone(), share, until },
            Ok(at) => drop(self.loans.remove(at)),
            Err(at) if share > 0.0 => self.loans.insert(at, Loan { lender: lender.clone(), share, until }),
            Err(_) => return,
        }
        self.sum_up();
    }

    /// Whether a lender's share is used here.
    fn uses(&self, lender: &Name) -> bool {
        self.loans.binary_search_by(|it| it.lender.cmp(lender)).is_ok()
    }

    fn claim(&mut self, organisation: &Name, limits: Limits, demand: Demand, now: u64) -> Grant {
        let (sum, filled) = (self.sum, self.filled);
        let rate = limits.rate * sum;
        let it = self.bucket(organisation, limits, now);
        it.limits = limits;
        it.fill(filled, sum);
        it.used = now;
        let ahead = rate * MAX_DELAY as f64 / SECOND;
        let most = it.most(sum);
        let urgency = demand.urgency.filter(|_| rate > 0.0);
        let supply = Supply { stock: it.level + ahead, most: most + ahead, rate, now };
        let granted = match urgency {
            Some(urgency) => it.reserve.admit(demand.count, urgency.priority, &supply),
            None => supply.stock.floor().clamp(0.0, demand.count.into()) as u32,
        };
        it.level -= f64::from(granted);
        // What has no share at all has no rate either: such callers are told to come back after a term.
        let pause =
            |tokens: f64| if rate > 0.0 { (tokens / rate * SECOND).ceil() as u64 } else { MIN_LOAN_DURATION };
        let after = if it.level < 0.0 { pause(-it.level) } else { 0 };
        let refused = demand.count.saturating_sub(granted);
        let rest = match urgency {
            Some(urgency) if refused > 0 => {
                let left = Supply { stock: it.level + ahead, ..supply };
                let row = it.reserve.place(refused, urgency, &left);
                RetrySchedule { after: row.after, step: row.step, reserved: left.stock >= 1.0 }
            }
            Some(_) => RetrySchedule::at(0),
            None if granted == 0 => RetrySchedule::at(pause(1.0 - ahead - it.level)),
            None => RetrySchedule::at(after),
        };
        if granted == 0 { Grant::Refused(rest) } else { Grant::Granted { count: granted, after, rest } }
    }

    /// An organisation's bucket, new if it has none.
    fn bucket(&mut self, organisation: &Name, limits: Limits, now: u64) -> &mut Bucket {
        let at = match self.buckets.binary_search_by(|it| it.organisation.cmp(organisation)) {
            Ok(at) => at,
            Err(at) => {
                let (organisation, filled) = (organisation.clone(), self.fell);
                // After the loss of all instances the first callers find something.
                let level = limits.margin * self.sum;
                let reserve = Reserve::default();
                let new = Bucket { organisation, level, filled, limits, used: now, reserve };
                self.buckets.insert(at, new);
                at
            }
        };
        &mut self.buckets[at]
    }
}
