//! Loans received by an instance, and the token buckets that they fill.

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

/// Time without a claim after which a bucket is evicted, in microseconds.
const IDLE_TIMEOUT: u64 = 60_000_000;

/// Offer of a loan: the share of one instance, for the given slots and no others.
#[derive(Clone, Copy, Debug)]
pub struct Offer {
    /// Slots whose shares are lent.
    pub slots: SlotSet,
    /// Share of each limit, from 0 to 1.
    pub share: f64,
    /// Time that the limiter last reported to the lender, from which it counts the duration.
    pub since: Option<Timestamp>,
    /// Duration of the loan, in microseconds.
    pub duration: u64,
}

/// Reply of a limiter to an offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OfferReply {
    /// Slots for which the limiter uses the lender's share.
    pub used: SlotSet,
    /// True if the offer was ignored because a message with a higher sequence number was received before. That message
    /// may come from an earlier process of the lender; offers take effect again after its loans have expired.
    pub is_ignored: bool,
}

/// Loan of one lender's share.
#[derive(Clone, Debug)]
struct Loan {
    lender: Name,
    share: f64,
    until: u64,
}

/// Newest message received from a lender. Older messages that arrive late are ignored.
#[derive(Clone, Debug)]
struct LastMessage {
    lender: Name,
    seq: u64,
    /// Time at which the loans of all older messages have expired.
    until: u64,
}

/// Token bucket of an organisation.
#[derive(Clone, Debug)]
struct Bucket {
    organisation: Name,
    /// Number of tokens. Negative if tokens were granted before they accrued.
    level: f64,
    /// Value of [`Slot::accrued`] when the level was last updated.
    accrued: f64,
    /// Limit at the time of the last claim.
    limits: Limits,
    last_used: u64,
    /// Reservations of tokens by priority.
    reserve: Reserve,
}

impl Bucket {
    /// Returns the maximum level for a total share.
    fn capacity(&self, share: f64) -> f64 {
        (self.limits.burst + self.limits.margin) * share
    }

    /// Adds the tokens accrued since the last update.
    fn refill(&mut self, accrued: f64, share: f64) {
        let capacity = self.capacity(share);
        self.level = (self.level + self.limits.rate * (accrued - self.accrued)).min(capacity);
        self.accrued = accrued;
    }
}

/// Shares of one slot.
#[derive(Clone, Debug, Default)]
struct Slot {
    /// Sorted by lender.
    loans: Vec<Loan>,
    /// Sum of the lent shares.
    total: f64,
    /// Time at which the first loan expires.
    expires_at: u64,
    /// Tokens that the shares have accrued so far for a limit of one operation per second.
    accrued: f64,
    /// Value of `accrued` when the total share last decreased. A bucket that was evicted counts as empty at that time.
    shrunk_at: f64,
    /// Time of the last update of `accrued`.
    updated_at: u64,
    /// Sorted by organisation.
    buckets: Vec<Bucket>,
}

/// Shares lent to one instance. Times are microseconds of its monotonic clock.
#[derive(Clone, Debug)]
pub struct Limiter {
    process: u64,
    slots: [Slot; SLOTS],
    /// Sorted by lender.
    messages: Vec<LastMessage>,
}

impl Limiter {
    /// Creates a limiter without loans. `process` identifies this process among all processes of the instance.
    pub fn new(process: u64) -> Limiter {
        Limiter { process, slots: Default::default(), messages: Vec::new() }
    }

    /// Returns the current time, for lenders to store and return.
    pub fn timestamp(&self, now: u64) -> Timestamp {
        Timestamp { process: self.process, at: now }
    }

    /// Applies an offer with a duration of [`MIN_LOAN_DURATION`], and returns the slots for which the lender's share
    /// is used.
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

    /// Applies an offer, which replaces all earlier loans of the lender.
    pub fn accept_offer(&mut self, lender: &Name, seq: u64, offer: Offer, now: u64) -> OfferReply {
        let Offer { slots, share, since, .. } = offer;
        let duration = offer.duration.min(MAX_LOAN_DURATION);
        let known = since.filter(|t| t.process == self.process && t.at <= now);
        let until = known.map_or(0, |t| t.at.saturating_add(duration));
        let is_new = self.record_message(lender, seq, now.saturating_add(duration), now);
        let mut used = SlotSet::default();
        for (n, slot) in self.slots.iter_mut().enumerate() {
            slot.advance(now);
            if is_new {
                let share = if slots.contains(n) && until > now { share } else { 0.0 };
                slot.set_loan(lender, share, until);
            }
            if slot.has_loan(lender) {
                used.insert(n);
            }
        }
        OfferReply { used, is_ignored: !is_new }
    }

    /// Records the sequence number of a message. The loans of all older messages expire by `until`. Returns false if a
    /// message with the same or a higher number was received before, and its time isn't over.
    fn record_message(&mut self, lender: &Name, seq: u64, until: u64, now: u64) -> bool {
        let message = LastMessage { lender: lender.clone(), seq, until };
        match self.messages.binary_search_by(|m| m.lender.cmp(lender)) {
            Ok(at) if self.messages[at].until > now && self.messages[at].seq >= seq => return false,
            Ok(at) => self.messages[at] = message,
            Err(at) => self.messages.insert(at, message),
        }
        true
    }

    /// Claims tokens for operations of an organisation.
    pub fn claim(&mut self, organisation: &Name, limits: Limits, demand: Demand, now: u64) -> Grant {
        let slot = &mut self.slots[slot(organisation)];
        slot.advance(now);
        slot.claim(organisation, limits, demand, now)
    }

    /// Returns the sum of the shares lent for an organisation.
    pub fn share(&self, organisation: &str) -> f64 {
        self.slots[slot(organisation)].total
    }

    /// Evicts idle buckets, and the sequence numbers of lenders whose older messages can't lend anything any more.
    pub fn evict_idle(&mut self, now: u64) {
        self.messages.retain(|m| m.until > now);
        for slot in &mut self.slots {
            slot.buckets.retain(|bucket| now.saturating_sub(bucket.last_used) < IDLE_TIMEOUT);
        }
    }
}

impl Slot {
    /// Accrues tokens until `now`, and removes the loans that expired by then.
    fn advance(&mut self, now: u64) {
        while self.expires_at <= now && !self.loans.is_empty() {
            self.accrue(self.expires_at.max(self.updated_at));
            let at = self.updated_at;
            self.loans.retain(|l| l.until > at);
            self.update_total();
        }
        self.accrue(now);
    }

    fn accrue(&mut self, now: u64) {
        self.accrued += self.total * now.saturating_sub(self.updated_at) as f64 / SECOND;
        self.updated_at = self.updated_at.max(now);
    }

    fn update_total(&mut self) {
        let before = self.total;
        self.total = self.loans.iter().map(|l| l.share).sum();
        self.expires_at = self.loans.iter().map(|l| l.until).min().unwrap_or(u64::MAX);
        if self.total < before {
            self.shrunk_at = self.accrued;
            let kept = if before > 0.0 { self.total / before } else { 0.0 };
            // The next limiter of a removed share starts with an empty bucket, so the tokens of the share are removed
            // here.
            for bucket in &mut self.buckets {
                bucket.refill(self.accrued, before);
                bucket.level = bucket.level.min(0.0) + bucket.level.max(0.0) * kept;
            }
        }
    }

    /// Replaces the loan of a lender, or removes it if the share is 0.
    fn set_loan(&mut self, lender: &Name, share: f64, until: u64) {
        match self.loans.binary_search_by(|l| l.lender.cmp(lender)) {
            Ok(at) if share > 0.0 => self.loans[at] = Loan { lender: lender.clone(), share, until },
            Ok(at) => drop(self.loans.remove(at)),
            Err(at) if share > 0.0 => self.loans.insert(at, Loan { lender: lender.clone(), share, until }),
            Err(_) => return,
        }
        self.update_total();
    }

    /// Returns true if the share of a lender is lent.
    fn has_loan(&self, lender: &Name) -> bool {
        self.loans.binary_search_by(|l| l.lender.cmp(lender)).is_ok()
    }

    fn claim(&mut self, organisation: &Name, limits: Limits, demand: Demand, now: u64) -> Grant {
        let (total, accrued) = (self.total, self.accrued);
        let rate = limits.rate * total;
        let bucket = self.bucket(organisation, limits, now);
        bucket.limits = limits;
        bucket.refill(accrued, total);
        bucket.last_used = now;
        let ahead = rate * MAX_DELAY as f64 / SECOND;
        let capacity = bucket.capacity(total);
        let urgency = demand.urgency.filter(|_| rate > 0.0);
        let supply = Supply { available: bucket.level + ahead, capacity: capacity + ahead, rate, now };
        let granted = match urgency {
            Some(urgency) => bucket.reserve.admit(demand.count, urgency.priority, &supply),
            None => supply.available.floor().clamp(0.0, demand.count.into()) as u32,
        };
        bucket.level -= f64::from(granted);
        // Without a share the rate is 0, and the retry delay is the minimum duration of a loan.
        let delay =
            |tokens: f64| if rate > 0.0 { (tokens / rate * SECOND).ceil() as u64 } else { MIN_LOAN_DURATION };
        let after = if bucket.level < 0.0 { delay(-bucket.level) } else { 0 };
        let refused = demand.count.saturating_sub(granted);
        let rest = match urgency {
            Some(urgency) if refused > 0 => {
                let supply = Supply { available: bucket.level + ahead, ..supply };
                let retries = bucket.reserve.schedule_retries(refused, urgency, &supply);
                RetrySchedule { after: retries.after, step: retries.step, reserved: supply.available >= 1.0 }
            }
            Some(_) => RetrySchedule::at(0),
            None if granted == 0 => RetrySchedule::at(delay(1.0 - ahead - bucket.level)),
            None => RetrySchedule::at(after),
        };
        if granted == 0 { Grant::Refused(rest) } else { Grant::Granted { count: granted, after, rest } }
    }

    /// Returns the bucket of an organisation, and creates it if necessary.
    fn bucket(&mut self, organisation: &Name, limits: Limits, now: u64) -> &mut Bucket {
        let at = match self.buckets.binary_search_by(|b| b.organisation.cmp(organisation)) {
            Ok(at) => at,
            Err(at) => {
                let (organisation, accrued) = (organisation.clone(), self.shrunk_at);
                // Starts with the margin, so that the first callers are served after a loss of all instances.
                let level = limits.margin * self.total;
                let reserve = Reserve::default();
                let new = Bucket { organisation, level, accrued, limits, last_used: now, reserve };
                self.buckets.insert(at, new);
                at
            }
        };
        &mut self.buckets[at]
    }
}
