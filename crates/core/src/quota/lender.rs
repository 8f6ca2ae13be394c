//! Where the shares of an instance are.

use {
    super::{MAX_LOAN_DURATION, MIN_LOAN_DURATION, OfferReply, SLOTS, SlotSet},
    pondtrack_proto::Name,
};

/// Where the share of a slot's limits is.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Place {
    /// With nobody.
    Free,
    /// For a term from a time perhaps where an earlier process of this instance has lent it.
    Unknown { since: u64 },
    /// With an instance, for all that this one knows, until a time.
    Lent { to: Name, until: u64 },
}

/// The shares of one instance. Times are microseconds of its monotonic clock.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Lender {
    places: [Place; SLOTS],
    /// How long shares are lent. It never falls: a message with a longer one may be under way.
    term: u64,
}

impl Lender {
    /// An instance that has just started. Another process of it may have lent its shares until a moment ago.
    pub fn new(now: u64) -> Lender {
        Lender { places: std::array::from_fn(|_| Place::Unknown { since: now }), term: MIN_LOAN_DURATION }
    }

    /// The term of the loans that follow, which their messages name: at least so long, up to [`MAX_LOAN_DURATION`].
    pub fn raise_duration(&mut self, least: u64) -> u64 {
        self.term = self.term.max(least.min(MAX_LOAN_DURATION));
        self.term
    }

    /// Lends a slot's share to an instance, or goes on to; false where another one may still use it. `usual` says that
    /// it is the one to which the share goes as long as all instances reach each other. An earlier process has most
    /// probably lent to the same one, where its loan ends as this one begins: after the loss of all instances nobody
    /// has to wait.
    pub fn lend(&mut self, slot: usize, to: &Name, usual: bool, now: u64) -> bool {
        let is_held = match &self.places[slot] {
            Place::Free => false,
            Place::Unknown { since } => !usual && since + self.term > now,
            Place::Lent { to: it, until } => it != to && *until > now,
        };
        if !is_held {
            self.places[slot] = Place::Lent { to: to.clone(), until: now + self.term };
        }
        !is_held
    }

    /// Whether all shares are where they are meant to be.
    pub fn is_placed(&self, meant: &[Name; SLOTS], now: u64) -> bool {
        let placed = |(place, meant): (&Place, &Name)| match place {
            Place::Lent { to, until } => to == meant && *until > now,
            Place::Free | Place::Unknown { .. } => false,
        };
        self.places.iter().zip(meant).all(placed)
    }

    /// The instances that may use a share, other than the ones that the slots are meant for, and have to be told that
    /// they may not any longer.
    pub fn stale_holders(&self, meant: &[Name; SLOTS], now: u64) -> Vec<Name> {
        let mut out: Vec<Name> = Vec::new();
        for (place, meant) in self.places.iter().zip(meant) {
            match place {
                Place::Lent { to, until } if to != meant && *until > now => out.push(to.clone()),
                Place::Lent { .. } | Place::Unknown { .. } | Place::Free => {}
            }
        }
        out.sort_unstable();
        out.dedup();
        out
    }

    /// When shares that others may use can be lent to the instances that they are meant for.
    pub fn release_times(&self, meant: &[Name; SLOTS], now: u64) -> Vec<(Name, u64)> {
        let free = |(place, meant): (&Place, &Name)| match place {
            Place::Lent { to, until } if to != meant => Some((meant.clone(), *until)),
            Place::Unknown { since } => Some((meant.clone(), since + self.term)),
            Place::Lent { .. } | Place::Free => None,
        };
        let all = self.places.iter().zip(meant).filter_map(free);
        all.filter(|it| it.1 > now).collect()
    }

    /// An instance has answered an offer. Hands back the slots whose shares came back: none where it ignored the
    /// offer, as one that is still under way may count after all.
    pub fn apply_reply(&mut self, from: &Name, answer: OfferReply) -> SlotSet {
        match answer.is_ignored {
            true => SlotSet::default(),
            false => self.release_except(from, answer.used),
        }
    }

    /// An instance has said that it uses the shares of these slots alone. Hands back those that came back.
    pub fn release_except(&mut self, from: &Name, kept: SlotSet) -> SlotSet {
        let mut back = SlotSet::default();
        for (slot, place) in self.places.iter_mut().enumerate() {
            match place {
                Place::Lent { to, .. } if to == from && !kept.contains(slot) => {
                    *place = Place::Free;
                    back.insert(slot);
                }
                Place::Lent { .. } | Place::Unknown { .. } | Place::Free => {}
            }
        }
        back
    }
}
