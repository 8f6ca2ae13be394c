//! Who runs next at a server that has too much to do.
//!
//! A limit on the statements at a server shrinks when they take long there or are refused, so that work waits
//! here, where it can be put in order, and not in the server's queue. Of those that wait, transactions go first,
//! as they hold a connection; then the route's priority decides; then whoever can still be answered in time;
//! then the shorter kind of work; then who came first.
//!
//! Order alone doesn't help where more is asked for than a server can do: what comes last waits until its time
//! is over. So what would wait for a large part of the time that it has is refused at once, so that its caller can
//! try elsewhere while there is time: a queue that is as long as that makes all that pass through it late.
//!
//! Where owners are told apart, none gets far ahead of its share while others wait, and each kind of work gets a small
//! part of the server whatever goes before it.
//!
//! Times are microseconds.

use {
    crate::{
        Time,
        balance::{Average, Averages},
    },
    serde::{Deserialize, Serialize},
};

mod fair;
mod least;

use self::{fair::Owners, least::Least};

/// The limit at the start, and the highest of one instance alone: enough for a server with a few slots, and one
/// statement on its way.
const MOST: f64 = 4.0;
/// The lowest limit.
const LEAST: f64 = 1.0;
/// Taken off, as a part, for each statement that was slow or refused.
const SHRINK: f64 = 0.85;
/// Added for each that was quick: one more after ten.
const GROW: f64 = 0.1;
/// A queue is one as long as somebody had to wait in this time: a few waves of callers.
const LINGER: Time = 1_000_000;

/// Kinds of work of which the cost is known at the same time: a server has fewer databases that are busy at once.
const KINDS: usize = 256;
/// The part of a new observation in the pace of turns.
const PACE_WEIGHT: f64 = 0.1;
/// The part of the time that is left, in percent, for which a statement may be expected to wait: what is refused can
/// still be served in time elsewhere, and the queue is short enough for those that are in it.
const WAIT_PERCENT: u64 = 30;

/// Whose share of a server a statement uses. Those of one owner are ordered among themselves; owners get turns in
/// proportion to their weights.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// Tells owners apart; 0 where callers aren't told apart.
    pub owner: u64,
    /// Its weight beside others; 0 counts as 1.
    pub weight: u32,
}

/// What a statement is worth running for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rank {
    /// Whose share of the server it uses.
    pub share: Share,
    /// Whether it belongs to an open transaction.
    pub pinned: bool,
    /// The route's rank; 0 goes first.
    pub priority: u8,
    /// Until when it has to run to be in time.
    pub aim: Time,
    /// Tells apart work that takes differently long.
    pub kind: u64,
    /// How long such statements take, as seen where it comes from.
    pub cost: Time,
    /// How many of them this one brings.
    pub statements: u64,
}

/// The order of those that wait; the lowest goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Key {
    loose: bool,
    ahead: u64,
    priority: u8,
    late: bool,
    work: Time,
}

/// What a minimum is for.
fn kind(rank: &Rank) -> least::Kind {
    (rank.priority, rank.kind)
}

/// The statements at one server. `T` stands for one that waits.
#[derive(Debug)]
pub struct Turns<T> {
    running: usize,
    limit: f64,
    most: f64,
    waiting: Vec<(Rank, T)>,
    /// When somebody last had to wait.
    queued: Option<Time>,
    /// When a turn was last handed to somebody who waited.
    handed: Option<Time>,
    /// How long it takes from one such turn to the next.
    interval: f64,
    /// What work that got a turn costs, by kind. One figure for all instances: what an instance takes it to cost
    /// rests on what it had served, so one that took it to be long would come last and never find out.
    costs: Averages<u64>,
    owners: Owners,
    least: Least,
}

impl<T> Default for Turns<T> {
    fn default() -> Turns<T> {
        Turns {
            running: 0,
            limit: MOST,
            most: MOST,
            waiting: Vec::new(),
            queued: None,
            handed: None,
            interval: 0.0,
            costs: Averages::default(),
            owners: Owners::default(),
            least: Least::default(),
        }
    }
}

impl<T> Turns<T> {
    /// Statements that run.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Statements that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Owners with statements that wait.
    pub fn owners(&self) -> usize {
        self.owners.waiting()
    }

    /// Owners that are remembered: those that wait, and those that have had more than their share.
    pub fn known_owners(&self) -> usize {
        self.owners.len()
    }

    /// Turns that went to kinds of work by their minimum, since the last look.
    pub fn take_lifted(&mut self) -> u64 {
        self.least.take_lifted()
    }

    /// The limit now.
    pub fn limit(&self) -> usize {
        self.limit as usize
    }

    /// Sets the highest limit, where it is shared by all instances.
    pub fn set_most(&mut self, most: usize) {
        self.most = (most as f64).max(LEAST);
        self.limit = self.limit.min(self.most);
    }

    /// Forgets what was learned of the server.
    pub fn reset(&mut self) {
        self.limit = self.most.min(MOST);
    }

    /// Whether the server has a queue, as far as recent statements show.
    pub fn is_shrunk(&self) -> bool {
        self.limit < self.most.min(MOST) - 1.0
    }

    /// Whether the limit is at its lowest: more than one instance alone can hold back.
    pub fn is_lowest(&self) -> bool {
        self.limit < LEAST + 1.0
    }

    /// Whether somebody had to wait lately.
    pub fn is_crowded(&self, now: Time) -> bool {
        !self.waiting.is_empty() || self.queued.is_some_and(|at| now.saturating_sub(at) < LINGER)
    }

    /// Whether a statement could run at once.
    pub fn is_free(&self) -> bool {
        self.running < self.limit() && self.waiting.is_empty()
    }

    /// Whether this would wait for too much of the time that it has.
    pub fn refuses(&mut self, rank: Rank, now: Time) -> bool {
        self.least.asked(kind(&rank), self.whole(&rank));
        let left = rank.aim.saturating_sub(now);
        let waits = !rank.pinned && !self.waiting.is_empty();
        waits
            && self.expected_wait(rank, now) * 100 > left * WAIT_PERCENT
            && self.wait_for_least(rank, now) > left
    }

    /// How long this would wait, as far as those before it and the pace of turns show.
    fn expected_wait(&self, rank: Rank, now: Time) -> Time {
        let before = match self.owners.has_others(rank.share) {
            true => self.before(&rank, now),
            false => {
                let key = self.order(&rank, now);
                self.waiting.iter().filter(|it| self.order(&it.0, now) <= key).count()
            }
        };
        (before as f64 * self.interval) as Time
    }

    /// How many go before this, where others' statements wait: each is as far ahead as those of its owner before it make
    /// it.
    fn before(&self, rank: &Rank, now: Time) -> usize {
        let mut all: Vec<(&Rank, bool)> = self.waiting.iter().map(|it| (&it.0, false)).collect();
        all.push((rank, true));
        all.sort_by_cached_key(|it| (it.0.share.owner, self.order(it.0, now)));
        let (mut done, mut last) = (0.0, None);
        let mut keys = Vec::with_capacity(all.len());
        let mut own = None;
        for (it, is_own) in all {
            if last.replace(it.share.owner) != Some(it.share.owner) {
                done = 0.0;
            }
            let key = Key { ahead: self.owners.ahead(it.share, it.priority, done), ..self.order(it, now) };
            done += self.work(it);
            if is_own { own = Some(key) } else { keys.push(key) }
        }
        keys.into_iter().filter(|it| Some(*it) <= own).count()
    }

    /// How long this would wait for a turn by its kind's minimum.
    fn wait_for_least(&self, rank: Rank, now: Time) -> Time {
        if rank.share.owner == 0 || !self.may_be_lifted(&rank, now) {
            return Time::MAX;
        }
        let alike = |it: &&(Rank, T)| kind(&it.0) == kind(&rank) && !it.0.pinned;
        let work: f64 = self.waiting.iter().filter(alike).map(|it| self.whole(&it.0)).sum();
        (self.least.turns_to(kind(&rank), work + self.whole(&rank)) * self.interval) as Time
    }

    /// Takes a turn if there is one.
    pub fn start(&mut self) -> bool {
        let free = self.is_free();
        self.running += usize::from(free);
        free
    }

    /// Waits for a turn.
    pub fn wait(&mut self, rank: Rank, now: Time, it: T) {
        self.queued = Some(now);
        self.least.asked(kind(&rank), self.whole(&rank));
        self.owners.join(rank.share);
        self.waiting.push((rank, it));
    }

    /// Forgets those that wait no longer.
    pub fn retain(&mut self, keep: impl Fn(&T) -> bool) {
        let owners = &mut self.owners;
        self.waiting.retain(|it| {
            let kept = keep(&it.1);
            if !kept {
                owners.leave(it.0.share);
            }
            kept
        });
    }

    /// A statement has ended.
    pub fn end(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Hands the next turn out, if there is one.
    pub fn next(&mut self, now: Time) -> Option<T> {
        if self.running >= self.limit() {
            return None;
        }
        let best = (0..self.waiting.len()).min_by_key(|at| self.key(&self.waiting[*at].0, now))?;
        let lifted = self.lifted(best, now);
        self.running += 1;
        self.note_pace(now);
        // The order of arrival is kept for those that are alike.
        let (rank, it) = self.waiting.remove(lifted.map_or(best, |it| it.0));
        let work = self.work(&rank);
        self.least.note(kind(&rank), work, lifted.map(|it| it.1));
        self.owners.charge(rank.share, rank.priority, work);
        self.note_cost(rank);
        Some(it)
    }

    /// Who goes next in place of the first, and the work that it brings: the first of the kind that has gone without a turn
    /// for the longest, where its minimum is due.
    fn lifted(&self, first: usize, now: Time) -> Option<(usize, f64)> {
        let rank = self.waiting[first].0;
        if rank.share.owner == 0 || rank.pinned {
            return None;
        }
        let due = |at: &usize| self.is_due(&self.waiting[*at].0, now);
        let by_turn = |at: &usize| {
            let it = &self.waiting[*at].0;
            (self.least.last(kind(it)), self.order(it, now))
        };
        let at = (0..self.waiting.len()).filter(due).min_by_key(by_turn)?;
        let it = &self.waiting[at].0;
        (kind(it) != kind(&rank)).then(|| (at, self.whole(it)))
    }

    /// Whether enough is saved up for this.
    fn is_due(&self, rank: &Rank, now: Time) -> bool {
        self.may_be_lifted(rank, now) && self.least.turns_to(kind(rank), self.whole(rank)) == 0.0
    }

    /// Whether this is of a kind that is left out, while its owner is within its share and its answer of use.
    fn may_be_lifted(&self, rank: &Rank, now: Time) -> bool {
        let useful = !rank.pinned && now <= rank.aim;
        useful && self.least.is_left_out(kind(rank)) && self.owners.ahead(rank.share, rank.priority, 0.0) == 0
    }

    fn key(&self, rank: &Rank, now: Time) -> Key {
        Key { ahead: self.owners.ahead(rank.share, rank.priority, 0.0), ..self.order(rank, now) }
    }

    /// The order within an owner.
    fn order(&self, rank: &Rank, now: Time) -> Key {
        let work = self.cost(rank) * rank.statements;
        Key { loose: !rank.pinned, ahead: 0, priority: rank.priority, late: now > rank.aim, work }
    }

    /// The work of one turn, in microseconds; the usual one where it isn't known.
    fn work(&self, rank: &Rank) -> f64 {
        match self.cost(rank) {
            0 => self.least.usual(),
            cost => cost as f64,
        }
    }

    /// The work of all the turns that this brings.
    fn whole(&self, rank: &Rank) -> f64 {
        self.work(rank) * rank.statements as f64
    }

    /// What work costs: as its kind did, or as its instance takes it to cost where none of the kind had a turn yet.
    fn cost(&self, rank: &Rank) -> Time {
        self.costs.get(&rank.kind).map_or(rank.cost, Average::get)
    }

    /// Work gets a turn. One that had none served yet can't say what it costs.
    fn note_cost(&mut self, rank: Rank) {
        if rank.cost == 0 {
            return;
        }
        // Where others come, what is kept of those before is of no use, or soon learned anew.
        if self.costs.len() >= KINDS && self.costs.get(&rank.kind).is_none() {
            self.costs.clear();
        }
        self.costs.observe(rank.kind, rank.cost);
    }

    /// A turn goes to somebody who waited.
    fn note_pace(&mut self, now: Time) {
        // Where nobody else waits, the next may be long in coming for lack of those that want one.
        let known = self.handed.take();
        self.handed = (self.waiting.len() > 1).then_some(now);
        let Some(last) = known else { return };
        let gap = (now - last) as f64;
        let weight = if self.interval == 0.0 { 1.0 } else { PACE_WEIGHT };
        self.interval += weight * (gap - self.interval);
    }

    /// A statement was answered in good time, or it was slow or refused.
    pub fn learn(&mut self, quick: bool) {
        let limit = if quick { self.limit + GROW } else { self.limit * SHRINK };
        self.limit = limit.clamp(LEAST, self.most);
    }
}
