//! How far each owner is with its share of a server: start-time fair queueing.
//!
//! An owner's time goes on by the work of its turns, divided by its weight. The server's time is that of the owner that
//! waits and is furthest behind. One that comes back after a pause begins there: it has saved nothing up, and owes nothing.
//!
//! An owner's share is for its most urgent work first: work of one priority is ahead of the share by what the owner has had of
//! that priority and the more urgent ones.

use super::Share;

/// How much more work than its share an owner may have had, in microseconds, while others wait: an urgent statement still
/// goes before others' ordinary ones, and a storm gets no further ahead than by a few statements.
const LEAD: f64 = 20_000.0;

/// Owners without a statement that waits that are remembered: more than have turns at one server within a lead.
const IDLE_MOST: usize = 256;

/// One owner.
#[derive(Clone, Debug)]
struct Flow {
    owner: u64,
    weight: f64,
    /// Its times: the work that it has had of each priority and the more urgent ones, by its weight. Sorted.
    times: Vec<(u8, f64)>,
    /// Its statements that wait.
    waiting: usize,
}

impl Flow {
    fn new(share: Share) -> Flow {
        Flow { owner: share.owner, weight: weight(share), times: Vec::new(), waiting: 0 }
    }

    /// Its time in all.
    fn whole(&self) -> f64 {
        self.times.last().map_or(0.0, |it| it.1)
    }

    /// Its time for work of a priority and the more urgent ones.
    fn time(&self, priority: u8) -> f64 {
        let at = self.times.partition_point(|it| it.0 <= priority);
        self.times[..at].last().map_or(0.0, |it| it.1)
    }

    fn add(&mut self, priority: u8, work: f64, now: f64) {
        if let Err(at) = self.times.binary_search_by_key(&priority, |it| it.0) {
            self.times.insert(at, (priority, self.time(priority)));
        }
        for it in self.times.iter_mut().filter(|it| it.0 >= priority) {
            it.1 = it.1.max(now) + work / self.weight;
        }
    }
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
        self.flow(share).waiting += 1;
        self.advance();
    }

    /// A statement waits no longer.
    pub(super) fn leave(&mut self, share: Share) {
        let it = self.flow(share);
        it.waiting = it.waiting.saturating_sub(1);
        self.advance();
    }

    /// A statement that waited gets a turn of so much work, in microseconds.
    pub(super) fn charge(&mut self, share: Share, priority: u8, work: f64) {
        let now = self.now;
        self.flow(share).add(priority, work, now);
        self.leave(share);
    }

    /// A figure that rises with the time of an owner that has had more than its share in work as urgent as this, once so
    /// much more of it is done; 0 of others. The lowest goes first.
    pub(super) fn ahead(&self, share: Share, priority: u8, work: f64) -> u64 {
        let known = self.find(share.owner).map_or(0.0, |at| self.flows[at].time(priority));
        let time = known.max(self.now) + work / weight(share);
        if (time - self.now) * weight(share) <= LEAD { 0 } else { time.to_bits() }
    }

    fn find(&self, owner: u64) -> Result<usize, usize> {
        self.flows.binary_search_by_key(&owner, |it| it.owner)
    }

    fn flow(&mut self, share: Share) -> &mut Flow {
        let at = self.find(share.owner).unwrap_or_else(|at| {
            self.flows.insert(at, Flow::new(share));
            at
        });
        let it = &mut self.flows[at];
        it.weight = weight(share);
        it
    }

    /// Brings the server's time up, and forgets those that neither wait nor are ahead of it.
    fn advance(&mut self) {
        let times = self.flows.iter().filter(|it| it.waiting > 0).map(Flow::whole);
        match times.min_by(f64::total_cmp) {
            Some(least) => {
                self.now = self.now.max(least);
                let now = self.now;
                self.flows.retain(|it| it.waiting > 0 || it.whole() > now);
                self.forget_idle();
            }
            // Where nobody waits, nobody goes without.
            None => *self = Owners::default(),
        }
    }
}

impl Owners {
    /// Keeps those that are furthest ahead of the idle owners.
    fn forget_idle(&mut self) {
        let idle = |it: &&Flow| it.waiting == 0;
        if self.flows.iter().filter(idle).count() <= IDLE_MOST {
            return;
        }
        let mut times: Vec<f64> = self.flows.iter().filter(idle).map(Flow::whole).collect();
        times.sort_by(|a, b| b.total_cmp(a));
        let least = times[IDLE_MOST / 2];
        self.flows.retain(|it| it.waiting > 0 || it.whole() > least);
    }
}

fn weight(share: Share) -> f64 {
    f64::from(share.weight.max(1))
}
