//! Minimum share of the server for each class of work, regardless of priorities.
//!
//! Classes that are starved by the queue's order share a small part of the server's work. Each accrues credit, also while
//! none of its statements are queued, until the credit covers one request. The class that has been without a permit for
//! the longest is served first.

use super::MAX_KINDS;

/// Starved classes get one part in this many of the server's work: callers of each class see that they are served, and
/// callers of urgent work don't notice.
const SHARE_DIVISOR: f64 = 10.0;
/// Number of permits that go to other classes before a class counts as starved.
const STARVED_AFTER: u64 = 10;
/// Weight of a new observation in the average work of a permit.
const MEAN_WEIGHT: f64 = 0.1;

/// Class of work that a minimum share is kept for: a route's priority and a kind of work.
pub(super) type WorkClass = (u8, u64);

/// State of a class.
#[derive(Clone, Copy, Debug)]
struct ClassState {
    class: WorkClass,
    /// Sequence number of the last permit of the class.
    last_permit: u64,
    /// True if that permit was granted by the minimum share.
    by_share: bool,
    /// Accrued work, in microseconds.
    credit: f64,
    /// Upper bound of the credit: the work of the largest request of the class.
    max_credit: f64,
}

/// Permits and credit of the classes.
#[derive(Debug, Default)]
pub(super) struct MinShare {
    /// Number of permits granted so far.
    permits: u64,
    /// Sorted by class.
    classes: Vec<ClassState>,
    /// Average work of a permit, in microseconds.
    mean_work: f64,
    /// Number of permits granted by the minimum share since the last [`MinShare::take_granted`].
    granted: u64,
}

impl MinShare {
    /// Average work of a permit, in microseconds; at least 1.
    pub(super) fn mean_work(&self) -> f64 {
        self.mean_work.max(1.0)
    }

    /// Returns the number of permits granted by the minimum share since the last call, and resets it.
    pub(super) fn take_granted(&mut self) -> u64 {
        std::mem::take(&mut self.granted)
    }

    /// Records that a class has a request of this much work.
    pub(super) fn note_demand(&mut self, class: WorkClass, work: f64) {
        let state = self.entry(class);
        state.max_credit = state.max_credit.max(work);
    }

    /// Sequence number of the last permit of a class; 0 if the class is unknown.
    pub(super) fn last_permit(&self, class: WorkClass) -> u64 {
        self.find(class).map_or(0, |at| self.classes[at].last_permit)
    }

    /// Returns true if a class is starved.
    pub(super) fn is_starved(&self, class: WorkClass) -> bool {
        self.find(class).is_ok_and(|at| self.starves(&self.classes[at]))
    }

    fn starves(&self, state: &ClassState) -> bool {
        state.by_share || self.permits - state.last_permit >= STARVED_AFTER
    }

    /// Expected number of permits until a class has enough credit for this much work.
    pub(super) fn permits_until(&self, class: WorkClass, work: f64) -> f64 {
        let credit = self.find(class).map_or(0.0, |at| self.classes[at].credit);
        let classes = self.count_accruing().max(1) as f64;
        (work - credit).max(0.0) * SHARE_DIVISOR * classes / self.mean_work()
    }

    /// Number of classes that accrue credit at present.
    fn count_accruing(&self) -> usize {
        self.classes.iter().filter(|state| self.accrues(state)).count()
    }

    fn accrues(&self, state: &ClassState) -> bool {
        state.credit < state.max_credit && self.starves(state)
    }

    /// Records a permit of a class. `used` is the credit that the permit uses if it was granted by the minimum share.
    pub(super) fn record_permit(&mut self, class: WorkClass, work: f64, used: Option<f64>) {
        let weight = if self.mean_work == 0.0 { 1.0 } else { MEAN_WEIGHT };
        self.mean_work += weight * (work - self.mean_work);
        self.permits += 1;
        self.accrue(work);
        self.granted += u64::from(used.is_some());
        let permit = self.permits;
        let state = self.entry(class);
        state.last_permit = permit;
        state.by_share = used.is_some();
        // A large request must not leave credit for many small ones after it.
        state.max_credit = used.unwrap_or(state.max_credit);
        state.credit = used.map_or(0.0, |used| (state.credit - used).clamp(0.0, state.max_credit));
    }

    /// Divides a part of a permit's work among the starved classes as credit.
    fn accrue(&mut self, work: f64) {
        let part = work / SHARE_DIVISOR / self.count_accruing().max(1) as f64;
        for at in 0..self.classes.len() {
            if self.accrues(&self.classes[at]) {
                let state = &mut self.classes[at];
                state.credit = (state.credit + part).min(state.max_credit);
            }
        }
    }

    fn find(&self, class: WorkClass) -> Result<usize, usize> {
        self.classes.binary_search_by_key(&class, |state| state.class)
    }

    fn entry(&mut self, class: WorkClass) -> &mut ClassState {
        let at = match self.find(class) {
            Ok(at) => at,
            Err(at) => {
                let new = ClassState {
                    class,
                    last_permit: self.permits,
                    by_share: false,
                    credit: 0.0,
                    max_credit: 0.0,
                };
                let full = self.classes.len() >= MAX_KINDS;
                if full {
                    self.classes.clear();
                }
                let at = if full { 0 } else { at };
                self.classes.insert(at, new);
                at
            }
        };
        &mut self.classes[at]
    }
}
