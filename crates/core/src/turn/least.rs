//! What each kind of work gets at least, whatever goes before it.
//!
//! Kinds that the order leaves out share a small part of the server's work. It is saved up for each, also while none of the
//! kind waits, until it is enough for one request; the kind that has gone without for the longest has it first.

use super::KINDS;

/// One part in so many of the server's work is for kinds that are left out: callers of each see that they are served, and
/// callers of urgent work don't notice.
const PART: f64 = 10.0;
/// A kind is left out when others had so many turns since its last one.
const LEFT_OUT: u64 = 10;
/// The part of a new observation in the usual work of a turn.
const WORK_WEIGHT: f64 = 0.1;

/// What a minimum is for: a route's priority, and a kind of work.
pub(super) type Kind = (u8, u64);

/// What is known of a kind.
#[derive(Clone, Copy, Debug)]
struct Account {
    kind: Kind,
    /// Its last turn.
    turn: u64,
    /// Whether that came by the minimum.
    lifted: bool,
    /// The work saved up for it, in microseconds.
    saved: f64,
    /// The most that is: the work of its largest request.
    most: f64,
}

/// What kinds have got, and what is saved up for them.
#[derive(Debug, Default)]
pub(super) struct Least {
    /// Turns that were handed out.
    turns: u64,
    /// Sorted by kind.
    accounts: Vec<Account>,
    /// The usual work of a turn.
    usual: f64,
    /// Turns that went to kinds by their minimum.
    lifted: u64,
}

impl Least {
    /// The usual work of a turn, in microseconds.
    pub(super) fn usual(&self) -> f64 {
        self.usual.max(1.0)
    }

    /// Turns that went to kinds by their minimum, since the last look.
    pub(super) fn take_lifted(&mut self) -> u64 {
        std::mem::take(&mut self.lifted)
    }

    /// Somebody wants a turn, for a request of so much work.
    pub(super) fn asked(&mut self, kind: Kind, work: f64) {
        let it = self.account(kind);
        it.most = it.most.max(work);
    }

    /// A kind's last turn.
    pub(super) fn last(&self, kind: Kind) -> u64 {
        self.find(kind).map_or(0, |at| self.accounts[at].turn)
    }

    /// Whether a kind is left out.
    pub(super) fn is_left_out(&self, kind: Kind) -> bool {
        self.find(kind).is_ok_and(|at| self.goes_without(&self.accounts[at]))
    }

    fn goes_without(&self, it: &Account) -> bool {
        it.lifted || self.turns - it.turn >= LEFT_OUT
    }

    /// In how many turns enough is saved up for so much work of a kind.
    pub(super) fn turns_to(&self, kind: Kind, work: f64) -> f64 {
        let saved = self.find(kind).map_or(0.0, |at| self.accounts[at].saved);
        let kinds = self.savers().max(1) as f64;
        (work - saved).max(0.0) * PART * kinds / self.usual()
    }

    /// Kinds for which work is saved up at present.
    fn savers(&self) -> usize {
        self.accounts.iter().filter(|it| self.saves(it)).count()
    }

    fn saves(&self, it: &Account) -> bool {
        it.saved < it.most && self.goes_without(it)
    }

    /// A kind gets a turn; so much of what is saved up is used for it, where it comes by its minimum.
    pub(super) fn note(&mut self, kind: Kind, work: f64, used: Option<f64>) {
        let weight = if self.usual == 0.0 { 1.0 } else { WORK_WEIGHT };
        self.usual += weight * (work - self.usual);
        self.turns += 1;
        self.save(work);
        self.lifted += u64::from(used.is_some());
        let turn = self.turns;
        let it = self.account(kind);
        it.turn = turn;
        it.lifted = used.is_some();
        // One large request doesn't save up for many small ones after it.
        it.most = used.unwrap_or(it.most);
        it.saved = used.map_or(0.0, |used| (it.saved - used).clamp(0.0, it.most));
    }

    /// Puts a part of a turn's work aside.
    fn save(&mut self, work: f64) {
        let part = work / PART / self.savers().max(1) as f64;
        for at in 0..self.accounts.len() {
            if self.saves(&self.accounts[at]) {
                let it = &mut self.accounts[at];
                it.saved = (it.saved + part).min(it.most);
            }
        }
    }

    fn find(&self, kind: Kind) -> Result<usize, usize> {
        self.accounts.binary_search_by_key(&kind, |it| it.kind)
    }

    fn account(&mut self, kind: Kind) -> &mut Account {
        let at = match self.find(kind) {
            Ok(at) => at,
            Err(at) => {
                let new = Account { kind, turn: self.turns, lifted: false, saved: 0.0, most: 0.0 };
                let full = self.accounts.len() >= KINDS;
                if full {
                    self.accounts.clear();
                }
                let at = if full { 0 } else { at };
                self.accounts.insert(at, new);
                at
            }
        };
        &mut self.accounts[at]
    }
}
