//! Start-time fair queueing of the owners at one server.
//!
//! The virtual time of an owner advances by the work of its permits divided by its weight. The virtual time of the server
//! is the lowest one among the owners with queued statements. An owner that returns after a pause starts at the server's
//! virtual time, without credit for the pause and without debt from before.
//!
//! The most urgent work of an owner has the first claim on its share: statements of one priority are charged with the work
//! that the owner has had of that priority and more urgent ones, and not with its less urgent work.

use super::Share;

/// Work that an owner may have had above its share while others wait, in microseconds: an urgent statement still goes
/// before ordinary statements of other owners, and an owner that floods the queue gets ahead by a few statements at most.
const MAX_LEAD: f64 = 20_000.0;

/// Maximum number of tracked owners without queued statements. Fewer owners get permits at one server within one
/// [`MAX_LEAD`].
const MAX_IDLE: usize = 256;

/// State of one owner.
#[derive(Clone, Debug)]
struct Flow {
    owner: u64,
    weight: f64,
    /// Virtual times: for each priority, the work that the owner has had of that priority and more urgent ones, divided
    /// by its weight. Sorted by priority.
    times: Vec<(u8, f64)>,
    /// Number of queued statements.
    queued: usize,
}

impl Flow {
    fn new(share: Share) -> Flow {
        Flow { owner: share.owner, weight: weight(share), times: Vec::new(), queued: 0 }
    }

    /// Virtual time over the work of all priorities.
    fn total_time(&self) -> f64 {
        self.times.last().map_or(0.0, |entry| entry.1)
    }

    /// Virtual time over the work of a priority and more urgent ones.
    fn time(&self, priority: u8) -> f64 {
        let at = self.times.partition_point(|entry| entry.0 <= priority);
        self.times[..at].last().map_or(0.0, |entry| entry.1)
    }

    fn add(&mut self, priority: u8, work: f64, now: f64) {
        if let Err(at) = self.times.binary_search_by_key(&priority, |entry| entry.0) {
            self.times.insert(at, (priority, self.time(priority)));
        }
        for entry in self.times.iter_mut().filter(|entry| entry.0 >= priority) {
            entry.1 = entry.1.max(now) + work / self.weight;
        }
    }
}

/// The owners with queued statements, and those that have had more than their share.
#[derive(Debug, Default)]
pub(super) struct Owners {
    /// Sorted by owner.
    flows: Vec<Flow>,
    /// Virtual time of the server.
    now: f64,
}

impl Owners {
    /// Number of tracked owners.
    pub(super) fn len(&self) -> usize {
        self.flows.len()
    }

    /// Number of owners with queued statements.
    pub(super) fn queued(&self) -> usize {
        self.flows.iter().filter(|flow| flow.queued > 0).count()
    }

    /// Returns true if another owner has queued statements.
    pub(super) fn has_others(&self, share: Share) -> bool {
        self.flows.iter().any(|flow| flow.queued > 0 && flow.owner != share.owner)
    }

    /// Counts a statement that is queued.
    pub(super) fn enqueue(&mut self, share: Share) {
        self.flow(share).queued += 1;
        self.advance();
    }

    /// Counts a statement that leaves the queue.
    pub(super) fn dequeue(&mut self, share: Share) {
        let flow = self.flow(share);
        flow.queued = flow.queued.saturating_sub(1);
        self.advance();
    }

    /// Charges the owner of a queued statement that gets a permit with its work, in microseconds.
    pub(super) fn charge(&mut self, share: Share, priority: u8, work: f64) {
        let now = self.now;
        self.flow(share).add(priority, work, now);
        self.dequeue(share);
    }

    /// Sort key of a statement by how far its owner would be above its share after `work` more microseconds: 0 up to
    /// [`MAX_LEAD`], above that a key that rises with the owner's virtual time. Counts only work of this priority and
    /// more urgent ones. The lowest key goes first.
    pub(super) fn excess(&self, share: Share, priority: u8, work: f64) -> u64 {
        let known = self.find(share.owner).map_or(0.0, |at| self.flows[at].time(priority));
        let time = known.max(self.now) + work / weight(share);
        if (time - self.now) * weight(share) <= MAX_LEAD { 0 } else { time.to_bits() }
    }

    fn find(&self, owner: u64) -> Result<usize, usize> {
        self.flows.binary_search_by_key(&owner, |flow| flow.owner)
    }

    fn flow(&mut self, share: Share) -> &mut Flow {
        let at = self.find(share.owner).unwrap_or_else(|at| {
            self.flows.insert(at, Flow::new(share));
            at
        });
        let flow = &mut self.flows[at];
        flow.weight = weight(share);
        flow
    }

    /// Advances the server's virtual time, and removes the idle owners that aren't ahead of it.
    fn advance(&mut self) {
        let times = self.flows.iter().filter(|flow| flow.queued > 0).map(Flow::total_time);
        match times.min_by(f64::total_cmp) {
            Some(min) => {
                self.now = self.now.max(min);
                let now = self.now;
                self.flows.retain(|flow| flow.queued > 0 || flow.total_time() > now);
                self.evict_idle();
            }
            // With an empty queue no owner is at a disadvantage, so all state is dropped.
            None => *self = Owners::default(),
        }
    }
}

impl Owners {
    /// Removes idle owners above [`MAX_IDLE`] and keeps those that are the furthest ahead.
    fn evict_idle(&mut self) {
        let idle = |flow: &&Flow| flow.queued == 0;
        if self.flows.iter().filter(idle).count() <= MAX_IDLE {
            return;
        }
        let mut times: Vec<f64> = self.flows.iter().filter(idle).map(Flow::total_time).collect();
        times.sort_by(|a, b| b.total_cmp(a));
        let cutoff = times[MAX_IDLE / 2];
        self.flows.retain(|flow| flow.queued > 0 || flow.total_time() > cutoff);
    }
}

fn weight(share: Share) -> f64 {
    f64::from(share.weight.max(1))
}
