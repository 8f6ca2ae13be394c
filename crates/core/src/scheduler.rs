//! Scheduler for the statements at an overloaded server.
//!
//! The concurrency limit of a server shrinks when statements are slow or refused there, so that statements queue in this
//! process, where they can be ordered, and not in the server. Queued statements are ordered by the first of these criteria
//! in which they differ: statements of open transactions go first, as they hold a connection; then the route's priority;
//! then statements that can still meet their deadline; then the shorter kind of work; then arrival.
//!
//! Ordering alone doesn't help if the demand exceeds the server's capacity: the statements at the end of the queue wait
//! until their deadline has passed. A statement that would wait for a large part of its remaining time is therefore
//! rejected immediately, so that its caller can retry elsewhere in time. In a queue as long as the whole remaining time,
//! every statement would be late.
//!
//! If callers are attributed to owners, fair queueing keeps each owner close to its share while others wait, and each kind
//! of work gets a small minimum share of the server regardless of priorities.
//!
//! Times are in microseconds.

use {
    crate::{
        Time,
        balance::{Average, Averages},
    },
    serde::{Deserialize, Serialize},
};

mod fair;
mod min_share;

use self::{fair::Owners, min_share::MinShare};

/// Initial limit, and the maximum where one instance limits only its own statements: enough for a server with a few
/// slots and one statement in transit.
const DEFAULT_MAX_LIMIT: f64 = 4.0;
/// Lower bound of the limit.
const MIN_LIMIT: f64 = 1.0;
/// Factor applied to the limit for each statement that was slow or refused.
const DECREASE_FACTOR: f64 = 0.85;
/// Added to the limit for each fast statement, so that ten of them raise the limit by one.
const INCREASE_STEP: f64 = 0.1;
/// Time for which the server counts as overloaded after a statement was last queued. Covers a few waves of callers.
const OVERLOAD_HOLD: Time = 1_000_000;

/// Maximum number of kinds of work whose costs are tracked. A server has fewer databases that are busy at once.
const MAX_KINDS: usize = 256;
/// Weight of a new observation in the average interval between permits.
const INTERVAL_WEIGHT: f64 = 0.1;
/// Maximum expected wait, in percent of the remaining time. A statement that is rejected can still be served in time
/// elsewhere, and the queue stays short enough for the statements in it.
const MAX_WAIT_PERCENT: u64 = 30;

/// The owner whose share of a server a statement uses, and the weight of the owner. Statements of one owner are ordered
/// among themselves; owners get permits in proportion to their weights.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// Identifier of the owner; 0 where callers aren't attributed to owners.
    pub owner: u64,
    /// Weight of the owner relative to others; 0 counts as 1.
    pub weight: u32,
}

/// Attributes of a statement that determine its position in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rank {
    /// The owner whose share of the server the statement uses.
    pub share: Share,
    /// True if the statement belongs to an open transaction.
    pub pinned: bool,
    /// Priority of the route; 0 is the highest.
    pub priority: u8,
    /// Latest time at which the statement can start and still meet its caller's objective. A statement past this time may
    /// still run, after the others of its priority.
    #[serde(rename = "aim")]
    pub soft_deadline: Time,
    /// Identifier of the kind of work. Kinds differ in how long their statements take.
    pub kind: u64,
    /// Average duration of a statement of this kind, as measured by the instance that the statement comes from; 0 if
    /// unknown.
    pub cost: Time,
    /// Number of statements that the request is expected to run, this one included.
    pub statements: u64,
}

/// Sort key of a queued statement; the lowest key is scheduled first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Key {
    unpinned: bool,
    excess: u64,
    priority: u8,
    late: bool,
    work: Time,
}

/// Returns the class of work that a minimum share is kept for.
fn class(rank: &Rank) -> min_share::WorkClass {
    (rank.priority, rank.kind)
}

/// Scheduler of the statements at one server. `T` is the handle of a queued statement.
#[derive(Debug)]
pub struct Scheduler<T> {
    running: usize,
    limit: f64,
    max_limit: f64,
    queue: Vec<(Rank, T)>,
    /// Time at which a statement was last queued.
    queued_at: Option<Time>,
    /// Time at which a queued statement last got a permit, if others were queued then.
    granted_at: Option<Time>,
    /// Average time between two permits for queued statements.
    interval: f64,
    /// Average cost of the work that got a permit, by kind, over the statements of all instances. The estimate of one
    /// instance depends on the statements it had served: an instance that overestimates the cost would always be
    /// scheduled last and never correct the estimate.
    costs: Averages<u64>,
    owners: Owners,
    min_share: MinShare,
}

impl<T> Default for Scheduler<T> {
    fn default() -> Scheduler<T> {
        Scheduler {
            running: 0,
            limit: DEFAULT_MAX_LIMIT,
            max_limit: DEFAULT_MAX_LIMIT,
            queue: Vec::new(),
            queued_at: None,
            granted_at: None,
            interval: 0.0,
            costs: Averages::default(),
            owners: Owners::default(),
            min_share: MinShare::default(),
        }
    }
}

impl<T> Scheduler<T> {
    /// Number of running statements.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Number of queued statements.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Number of owners with queued statements.
    pub fn queued_owners(&self) -> usize {
        self.owners.queued()
    }

    /// Number of tracked owners: those with queued statements, and those that have had more than their share.
    pub fn tracked_owners(&self) -> usize {
        self.owners.len()
    }

    /// Returns the number of permits granted by the minimum share since the last call, and resets it.
    pub fn take_min_share_permits(&mut self) -> u64 {
        self.min_share.take_granted()
    }

    /// Current concurrency limit.
    pub fn limit(&self) -> usize {
        self.limit as usize
    }

    /// Sets the maximum of the limit, for a scheduler that all instances share.
    pub fn set_max_limit(&mut self, max: usize) {
        self.max_limit = (max as f64).max(MIN_LIMIT);
        self.limit = self.limit.min(self.max_limit);
    }

    /// Discards the learned limit.
    pub fn reset_limit(&mut self) {
        self.limit = self.max_limit.min(DEFAULT_MAX_LIMIT);
    }

    /// Returns true if recent statements indicate that the server has a queue of its own.
    pub fn is_limit_reduced(&self) -> bool {
        self.limit < self.max_limit.min(DEFAULT_MAX_LIMIT) - 1.0
    }

    /// Returns true if the limit is at its minimum: the overload is more than one instance alone can hold back.
    pub fn is_limit_min(&self) -> bool {
        self.limit < MIN_LIMIT + 1.0
    }

    /// Returns true if statements are queued or were queued recently.
    pub fn is_overloaded(&self, now: Time) -> bool {
        !self.queue.is_empty() || self.queued_at.is_some_and(|at| now.saturating_sub(at) < OVERLOAD_HOLD)
    }

    /// Returns true if a statement could run immediately.
    pub fn has_free_permit(&self) -> bool {
        self.running < self.limit() && self.queue.is_empty()
    }

    /// Returns true if a statement would be queued for too large a part of its remaining time. Also records the demand for
    /// the minimum share of its class.
    pub fn should_reject(&mut self, rank: Rank, now: Time) -> bool {
        self.min_share.note_demand(class(&rank), self.request_work(&rank));
        let left = rank.soft_deadline.saturating_sub(now);
        let must_queue = !rank.pinned && !self.queue.is_empty();
        must_queue
            && self.expected_wait(rank, now) * 100 > left * MAX_WAIT_PERCENT
            && self.min_share_wait(rank, now) > left
    }

    /// Expected time in the queue, from the number of statements ahead and the average interval between permits.
    fn expected_wait(&self, rank: Rank, now: Time) -> Time {
        let ahead = match self.owners.has_others(rank.share) {
            true => self.count_ahead(&rank, now),
            false => {
                let key = self.owner_key(&rank, now);
                self.queue.iter().filter(|entry| self.owner_key(&entry.0, now) <= key).count()
            }
        };
        (ahead as f64 * self.interval) as Time
    }

    /// Number of statements scheduled before this one, where other owners' statements are queued. Each statement is
    /// charged with the work of its owner's statements that come before it.
    fn count_ahead(&self, rank: &Rank, now: Time) -> usize {
        let mut all: Vec<(&Rank, bool)> = self.queue.iter().map(|entry| (&entry.0, false)).collect();
        all.push((rank, true));
        all.sort_by_cached_key(|entry| (entry.0.share.owner, self.owner_key(entry.0, now)));
        let (mut done, mut last) = (0.0, None);
        let mut keys = Vec::with_capacity(all.len());
        let mut own = None;
        for (r, is_own) in all {
            if last.replace(r.share.owner) != Some(r.share.owner) {
                done = 0.0;
            }
            let key = Key { excess: self.owners.excess(r.share, r.priority, done), ..self.owner_key(r, now) };
            done += self.permit_work(r);
            if is_own { own = Some(key) } else { keys.push(key) }
        }
        keys.into_iter().filter(|key| Some(*key) <= own).count()
    }

    /// Expected time until the statement gets a permit by the minimum share of its class; [`Time::MAX`] if the minimum
    /// share doesn't apply.
    fn min_share_wait(&self, rank: Rank, now: Time) -> Time {
        if rank.share.owner == 0 || !self.is_eligible(&rank, now) {
            return Time::MAX;
        }
        let same_class = |entry: &&(Rank, T)| class(&entry.0) == class(&rank) && !entry.0.pinned;
        let work: f64 = self.queue.iter().filter(same_class).map(|entry| self.request_work(&entry.0)).sum();
        (self.min_share.permits_until(class(&rank), work + self.request_work(&rank)) * self.interval) as Time
    }

    /// Takes a permit if one is free and no statement is queued. Returns true if it did.
    pub fn try_start(&mut self) -> bool {
        let free = self.has_free_permit();
        self.running += usize::from(free);
        free
    }

    /// Queues a statement.
    pub fn enqueue(&mut self, rank: Rank, now: Time, waiter: T) {
        self.queued_at = Some(now);
        self.min_share.note_demand(class(&rank), self.request_work(&rank));
        self.owners.enqueue(rank.share);
        self.queue.push((rank, waiter));
    }

    /// Removes the queued statements for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&T) -> bool) {
        let owners = &mut self.owners;
        self.queue.retain(|entry| {
            let kept = keep(&entry.1);
            if !kept {
                owners.dequeue(entry.0.share);
            }
            kept
        });
    }

    /// Releases the permit of a statement that has ended.
    pub fn finish(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Removes the next statement from the queue and gives it a permit, if one is free.
    pub fn dequeue(&mut self, now: Time) -> Option<T> {
        if self.running >= self.limit() {
            return None;
        }
        let first = (0..self.queue.len()).min_by_key(|at| self.sort_key(&self.queue[*at].0, now))?;
        let due = self.due_by_min_share(first, now);
        self.running += 1;
        self.update_interval(now);
        // `Vec::remove` keeps the order of arrival among statements with equal keys.
        let (rank, waiter) = self.queue.remove(due.map_or(first, |entry| entry.0));
        let work = self.permit_work(&rank);
        self.min_share.record_permit(class(&rank), work, due.map(|entry| entry.1));
        self.owners.charge(rank.share, rank.priority, work);
        self.update_cost(rank);
        Some(waiter)
    }

    /// Returns the index and the work of the statement that the minimum share puts before the first one: the first
    /// statement of the class that has been without a permit for the longest, if enough credit was accrued for it.
    fn due_by_min_share(&self, first: usize, now: Time) -> Option<(usize, f64)> {
        let rank = self.queue[first].0;
        if rank.share.owner == 0 || rank.pinned {
            return None;
        }
        let due = |at: &usize| self.is_due(&self.queue[*at].0, now);
        let by_last_permit = |at: &usize| {
            let r = &self.queue[*at].0;
            (self.min_share.last_permit(class(r)), self.owner_key(r, now))
        };
        let at = (0..self.queue.len()).filter(due).min_by_key(by_last_permit)?;
        let r = &self.queue[at].0;
        (class(r) != class(&rank)).then(|| (at, self.request_work(r)))
    }

    /// Returns true if the class has accrued enough credit for the statement.
    fn is_due(&self, rank: &Rank, now: Time) -> bool {
        self.is_eligible(rank, now)
            && self.min_share.permits_until(class(rank), self.request_work(rank)) == 0.0
    }

    /// Returns true if the minimum share applies: the class is starved, the owner is within its share, and the statement
    /// can still meet its deadline and isn't part of an open transaction.
    fn is_eligible(&self, rank: &Rank, now: Time) -> bool {
        let useful = !rank.pinned && now <= rank.soft_deadline;
        useful
            && self.min_share.is_starved(class(rank))
            && self.owners.excess(rank.share, rank.priority, 0.0) == 0
    }

    /// Sort key among the statements of all owners.
    fn sort_key(&self, rank: &Rank, now: Time) -> Key {
        Key { excess: self.owners.excess(rank.share, rank.priority, 0.0), ..self.owner_key(rank, now) }
    }

    /// Sort key among the statements of one owner.
    fn owner_key(&self, rank: &Rank, now: Time) -> Key {
        let work = self.cost(rank) * rank.statements;
        Key {
            unpinned: !rank.pinned,
            excess: 0,
            priority: rank.priority,
            late: now > rank.soft_deadline,
            work,
        }
    }

    /// Work of one permit, in microseconds; the average of all permits if the cost of the kind is unknown.
    fn permit_work(&self, rank: &Rank) -> f64 {
        match self.cost(rank) {
            0 => self.min_share.mean_work(),
            cost => cost as f64,
        }
    }

    /// Work of all statements that the request is expected to run, in microseconds.
    fn request_work(&self, rank: &Rank) -> f64 {
        self.permit_work(rank) * rank.statements as f64
    }

    /// Cost of one statement: the average of its kind, or the estimate of its instance if the kind had no permit yet.
    fn cost(&self, rank: &Rank) -> Time {
        self.costs.get(&rank.kind).map_or(rank.cost, Average::get)
    }

    /// Updates the average cost of a kind that gets a permit, unless its instance has no estimate yet.
    fn update_cost(&mut self, rank: Rank) {
        if rank.cost == 0 {
            return;
        }
        // When the set of kinds changes, the costs of the previous ones are obsolete or are soon measured again.
        if self.costs.len() >= MAX_KINDS && self.costs.get(&rank.kind).is_none() {
            self.costs.clear();
        }
        self.costs.observe(rank.kind, rank.cost);
    }

    /// Updates the average interval between permits when a queued statement gets one.
    fn update_interval(&mut self, now: Time) {
        // If nothing else is queued, the time to the next permit may measure a lack of demand.
        let known = self.granted_at.take();
        self.granted_at = (self.queue.len() > 1).then_some(now);
        let Some(last) = known else { return };
        let gap = (now - last) as f64;
        let weight = if self.interval == 0.0 { 1.0 } else { INTERVAL_WEIGHT };
        self.interval += weight * (gap - self.interval);
    }

    /// Raises the limit after a fast statement; lowers it after one that was slow or refused.
    pub fn adjust_limit(&mut self, fast: bool) {
        let limit = if fast { self.limit + INCREASE_STEP } else { self.limit * DECREASE_FACTOR };
        self.limit = limit.clamp(MIN_LIMIT, self.max_limit);
    }
}
