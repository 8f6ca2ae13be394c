//! Where the shares of an instance are.

use {
    super::{SLOTS, Slots, TERM},
    pondtrack_proto::Name,
};

/// Where the share of a slot's limits is.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Place {
    /// With nobody.
    Free,
    /// With an instance, for all that this one knows, until a time.
    Lent { to: Option<Name>, until: u64 },
}

/// The shares of one instance. Times are microseconds of its monotonic clock.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Lender {
    places: [Place; SLOTS],
}

impl Lender {
    /// An instance that has just started. Another process of it may have lent its shares until a moment ago.
    pub fn new(now: u64) -> Lender {
        Lender { places: std::array::from_fn(|_| Place::Lent { to: None, until: now + TERM }) }
    }

    /// Lends a slot's share to an instance, or goes on to; false where another one may still use it.
    pub fn lend(&mut self, slot: usize, to: &Name, now: u64) -> bool {
        let is_held = match &self.places[slot] {
            Place::Free => false,
            Place::Lent { to: Some(it), .. } if it == to => false,
            Place::Lent { until, .. } => *until > now,
        };
        if !is_held {
            self.places[slot] = Place::Lent { to: Some(to.clone()), until: now + TERM };
        }
        !is_held
    }

    /// The instances that may use a share, other than the ones that the slots are meant for, and have to be told that
    /// they may not any longer.
    pub fn misplaced(&self, meant: &[Name; SLOTS], now: u64) -> Vec<Name> {
        let mut out: Vec<Name> = Vec::new();
        for (slot, place) in self.places.iter().enumerate() {
            match place {
                Place::Lent { to: Some(it), until } if *it != meant[slot] && *until > now => {
                    out.push(it.clone())
                }
                Place::Lent { .. } | Place::Free => {}
            }
        }
        out.sort_unstable();
        out.dedup();
        out
    }

    /// An instance has said that it uses the shares of these slots alone.
    pub fn returned(&mut self, from: &Name, kept: Slots) {
        for (slot, place) in self.places.iter_mut().enumerate() {
            match place {
                Place::Lent { to: Some(it), .. } if it == from && !kept.contains(slot) => {
                    *place = Place::Free
                }
                Place::Lent { .. } | Place::Free => {}
            }
        }
    }
}
