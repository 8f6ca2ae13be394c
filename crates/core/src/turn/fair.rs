//! How far each owner is with its share of a server: start-time fair queueing.
//!
//! An owner's time goes on by the work of its turns, divided by its weight. The server's time is that of the owner that
//! waits and is furthest behind. One that comes back after a pause begins there: it has saved nothing up, and owes nothing.

use super::Share;

/// How much more work than its share an owner may have had, in microseconds, while others wait: an urgent statement still
/// goes before others' ordinary ones, and a storm gets no further ahead than by a few statements.
const LEAD: f64 = 20_000.0;

/// One owner.
#[derive(Clone, Copy, Debug)]
struct Flow {
    owner: u64,
    weight: f64,
    /// Its time: the work that it has had, by its weight.
    time: f64,
    /// Its statements that wait.
    waiting: usize,
}

/// The owners that wait, and those that have had more than their share.
#[derive(Debug, Default)]
pub(super) struct Owners {
    /// Sorted by owner.
    flows: Vec<Flow>,
    /// The server's time.
    now: f64,
}

impl Owners {
    /// How many are known.
    pub(super) fn len(&self) -> usize {
        self.flows.len()
    }

    /// How many wait.
    pub(super) fn waiting(&self) -> usize {
        self.flows.iter().filter(|it| it.waiting > 0).count()
    }

    /// Whether another than this one waits.
    pub(super) fn has_others(&self, share: Share) -> bool {
        self.flows.iter().any(|it| it.waiting > 0 && it.owner != share.owner)
    }

    /// A statement waits.
    pub(super) fn join(&mut self, share: Share) {
        let now = self.now;
        let it = self.flow(share);
        it.time = it.time.max(now);
        it.waiting += 1;
        self.advance();
    }

    /// A statement waits no longer.
    pub(super) fn leave(&mut self, share: Share) {
        let it = self.flow(share);
        it.waiting = it.waiting.saturating_sub(1);
        self.advance();
    }

    /// A statement that waited gets a turn of so much work, in microseconds.
    pub(super) fn charge(&mut self, share: Share, work: f64) {
        let it = self.flow(share);
        it.time += work / it.weight;
        self.leave(share);
    }

    /// The time of an owner that has had more than its share, once so much more of its work is done; 0 of others. The
    /// lowest goes first.
    pub(super) fn ahead(&self, share: Share, work: f64) -> u64 {
        let known = self.find(share.owner).ok().map(|at| self.flows[at]);
        let (time, weight) = known.map_or((self.now, weight(share)), |it| (it.time.max(self.now), it.weight));
        let time = time + work / weight;
        if (time - self.now) * weight <= LEAD { 0 } else { time as u64 }
    }

    fn find(&self, owner: u64) -> Result<usize, usize> {
        self.flows.binary_search_by_key(&owner, |it| it.owner)
    }

    fn flow(&mut self, share: Share) -> &mut Flow {
        let at = self.find(share.owner).unwrap_or_else(|at| {
            let (owner, weight) = (share.owner, weight(share));
            self.flows.insert(at, Flow { owner, weight, time: self.now, waiting: 0 });
            at
        });
        let it = &mut self.flows[at];
        it.weight = weight(share);
        it
    }

    /// Brings the server's time up, and forgets those that neither wait nor are ahead of it.
    fn advance(&mut self) {
        let times = self.flows.iter().filter(|it| it.waiting > 0).map(|it| it.time);
        match times.min_by(f64::total_cmp) {
            Some(least) => {
                self.now = self.now.max(least);
                let now = self.now;
                self.flows.retain(|it| it.waiting > 0 || it.time > now);
            }
            // Where nobody waits, nobody goes without.
            None => *self = Owners::default(),
        }
    }
}

fn weight(share: Share) -> f64 {
    f64::from(share.weight.max(1))
}
