//! Whether the server that calls itself the primary of a term holds what the term's replicas have received.
//!
//! Entries of a term come from its primary alone, so a primary's log is never shorter than what a replica had
//! received of the term before the primary was asked. One that is has lost its log: reads there would show nothing, and replicas
//! whose longer logs came from its earlier run would seem to hold its commits.

use {crate::Time, pondtrack_proto::Lsn};

/// What a claim is worth.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// Nothing speaks against it.
    Holds,
    /// A replica has more than the claimant showed when it was asked earlier: it has to be asked again.
    Open,
    /// It held less than a replica had received before it was asked.
    Lacks,
}

/// The claim to lead a term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Claim {
    /// Who makes it.
    claimant: Option<usize>,
    /// When the claimant was last asked, and what it held.
    shown: Option<(Time, Lsn)>,
    /// The most that a replica has received of the term, and when that was learned.
    reached: Option<(Time, Lsn)>,
    /// Whether the claimant has shown as much as a replica had.
    proven: bool,
    /// Whether it has lost its log: what it writes since grows over what it lost, under the same positions.
    lost: bool,
}

impl Claim {
    /// A server that calls itself the primary held `at` when it was asked at `asked`.
    pub fn shows(&mut self, server: usize, at: Lsn, asked: Time) {
        if self.claimant != Some(server) {
            *self = Claim { claimant: Some(server), reached: self.reached, ..Claim::default() };
        }
        // Answers on several connections overtake each other.
        if self.shown.is_none_or(|it| it.0 <= asked) {
            self.shown = Some((asked, at));
            self.proven |= self.reached.is_some_and(|it| it.1 <= at);
            self.lost |= self.reached.is_some_and(|it| it.1 > at && it.0 <= asked);
        }
    }

    /// A replica had received entries of the term up to `at`, as was learned at `now`.
    pub fn received(&mut self, at: Lsn, now: Time) {
        if self.reached.is_none_or(|it| it.1 < at) {
            self.reached = Some((now, at));
        }
        self.proven |= self.shown.is_some_and(|it| at <= it.1);
    }

    /// Who makes it.
    pub fn claimant(&self) -> Option<usize> {
        self.claimant
    }

    /// What the claim is worth.
    pub fn verdict(&self) -> Verdict {
        match (self.shown, self.reached) {
            _ if self.lost => Verdict::Lacks,
            // What a proven one writes reaches replicas before it is asked again.
            (Some((_, held)), Some((_, reached))) if held < reached && !self.proven => Verdict::Open,
            _ => Verdict::Holds,
        }
    }
}
