//! Loans of the shares that an instance owns.

use {
    super::{MAX_LOAN_DURATION, MIN_LOAN_DURATION, OfferReply, SLOTS, SlotSet},
    pondtrack_proto::Name,
};

/// State of the share of one slot.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Share {
    /// Not lent.
    Free,
    /// Possibly lent by an earlier process of this instance, until one loan duration after `since`.
    Unknown { since: u64 },
    /// Lent to an instance until a time, as far as this instance can know.
    Held { by: Name, until: u64 },
}

/// Shares of one instance. Times are microseconds of its monotonic clock.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Lender {
    shares: [Share; SLOTS],
    /// Duration of loans. Never decreases, because a message with a longer duration may still be in flight.
    duration: u64,
}

impl Lender {
    /// Creates the lender of an instance that has just started. An earlier process of the instance may have lent its
    /// shares until just before `now`.
    pub fn new(now: u64) -> Lender {
        Lender { shares: std::array::from_fn(|_| Share::Unknown { since: now }), duration: MIN_LOAN_DURATION }
    }

    /// Raises the duration of subsequent loans to at least `min`, capped at [`MAX_LOAN_DURATION`], and returns the
    /// duration to state in their messages.
    pub fn raise_duration(&mut self, min: u64) -> u64 {
        self.duration = self.duration.max(min.min(MAX_LOAN_DURATION));
        self.duration
    }

    /// Lends the share of a slot to an instance or renews its loan. Returns false if another instance may still use
    /// the share.
    ///
    /// `preferred` states that the instance is the limiter of the slot as long as all instances can reach each other.
    /// An earlier process has most probably lent the share to the same instance, where the new loan replaces the old
    /// one. A loan to the preferred limiter therefore doesn't wait, and operations are granted without delay after a
    /// loss of all instances.
    pub fn lend(&mut self, slot: usize, to: &Name, preferred: bool, now: u64) -> bool {
        let is_held = match &self.shares[slot] {
            Share::Free => false,
            Share::Unknown { since } => !preferred && since + self.duration > now,
            Share::Held { by, until } => by != to && *until > now,
        };
        if !is_held {
            self.shares[slot] = Share::Held { by: to.clone(), until: now + self.duration };
        }
        !is_held
    }

    /// Returns true if the share of each slot is lent to the limiter assigned to the slot.
    pub fn is_placed(&self, assigned: &[Name; SLOTS], now: u64) -> bool {
        let placed = |(share, assigned): (&Share, &Name)| match share {
            Share::Held { by, until } => by == assigned && *until > now,
            Share::Free | Share::Unknown { .. } => false,
        };
        self.shares.iter().zip(assigned).all(placed)
    }

    /// Returns the instances with an unexpired loan for a slot that is assigned to another limiter. They have to be
    /// asked to release the share.
    pub fn stale_holders(&self, assigned: &[Name; SLOTS], now: u64) -> Vec<Name> {
        let mut out: Vec<Name> = Vec::new();
        for (share, assigned) in self.shares.iter().zip(assigned) {
            match share {
                Share::Held { by, until } if by != assigned && *until > now => out.push(by.clone()),
                Share::Held { .. } | Share::Unknown { .. } | Share::Free => {}
            }
        }
        out.sort_unstable();
        out.dedup();
        out
    }

    /// Returns the assigned limiter of each share that others may still use, with the time at which the share can be
    /// lent to that limiter.
    pub fn release_times(&self, assigned: &[Name; SLOTS], now: u64) -> Vec<(Name, u64)> {
        let release = |(share, assigned): (&Share, &Name)| match share {
            Share::Held { by, until } if by != assigned => Some((assigned.clone(), *until)),
            Share::Unknown { since } => Some((assigned.clone(), since + self.duration)),
            Share::Held { .. } | Share::Free => None,
        };
        let all = self.shares.iter().zip(assigned).filter_map(release);
        all.filter(|release| release.1 > now).collect()
    }

    /// Applies the reply of an instance to an offer, and returns the slots whose shares it released. That is none if
    /// the instance ignored the offer, because another offer in flight may still take effect.
    pub fn apply_reply(&mut self, from: &Name, reply: OfferReply) -> SlotSet {
        match reply.is_ignored {
            true => SlotSet::default(),
            false => self.release_except(from, reply.used),
        }
    }

    /// Frees the shares lent to an instance except those of the slots in `used`, and returns the slots of the freed
    /// shares.
    pub fn release_except(&mut self, from: &Name, used: SlotSet) -> SlotSet {
        let mut released = SlotSet::default();
        for (slot, share) in self.shares.iter_mut().enumerate() {
            match share {
                Share::Held { by, .. } if by == from && !used.contains(slot) => {
                    *share = Share::Free;
                    released.insert(slot);
                }
                Share::Held { .. } | Share::Unknown { .. } | Share::Free => {}
            }
        }
        released
    }
}
