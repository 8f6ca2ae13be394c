//! Detection of a primary that has lost its log.
//!
//! Entries of a term come from the term's primary alone. When a primary is queried, its log is therefore at least as
//! long as what any replica had received of the term before the query. A primary with a shorter log has lost it: reads
//! from it would return nothing, and replicas whose longer logs came from its earlier run would appear to hold its
//! commits.

use {crate::Time, pondtrack_proto::Lsn};

/// Assessment of a server's claim to be the primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ClaimStatus {
    /// Nothing contradicts the claim.
    Valid,
    /// A replica has received more than the claimant reported in an earlier response: the claimant must be queried
    /// again.
    Unverified,
    /// The claimant's log was shorter than what a replica had received before the claimant was queried.
    LogLost,
}

/// A server's claim to be the primary of a term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct PrimaryClaim {
    /// The server that makes the claim.
    claimant: Option<usize>,
    /// The time of the claimant's last query and the position it reported.
    reported: Option<(Time, Lsn)>,
    /// The highest position of the term received by any replica, and the time at which it became known.
    replicated: Option<(Time, Lsn)>,
    /// True if the claimant has reported at least as much as a replica had received.
    proven: bool,
    /// True if the claimant has lost its log. This is permanent, because its new entries reuse the positions of the
    /// lost ones.
    lost: bool,
}

impl PrimaryClaim {
    /// Records that a server that reports itself as primary was at position `at` in the response to a query sent at
    /// `asked`.
    pub fn observe_primary(&mut self, server: usize, at: Lsn, asked: Time) {
        if self.claimant != Some(server) {
            *self = PrimaryClaim {
                claimant: Some(server),
                replicated: self.replicated,
                ..PrimaryClaim::default()
            };
        }
        // Responses on several connections may arrive out of order.
        if self.reported.is_none_or(|reported| reported.0 <= asked) {
            self.reported = Some((asked, at));
            self.proven |= self.replicated.is_some_and(|replicated| replicated.1 <= at);
            self.lost |= self.replicated.is_some_and(|replicated| replicated.1 > at && replicated.0 <= asked);
        }
    }

    /// Records that a replica has received entries of the term up to `at`, which became known at `now`.
    pub fn observe_replica(&mut self, at: Lsn, now: Time) {
        if self.replicated.is_none_or(|replicated| replicated.1 < at) {
            self.replicated = Some((now, at));
        }
        self.proven |= self.reported.is_some_and(|reported| at <= reported.1);
    }

    /// Returns the server that makes the claim.
    pub fn claimant(&self) -> Option<usize> {
        self.claimant
    }

    /// Returns the assessment of the claim.
    pub fn status(&self) -> ClaimStatus {
        match (self.reported, self.replicated) {
            _ if self.lost => ClaimStatus::LogLost,
            // A proven claimant's new entries may reach replicas before the claimant is queried again.
            (Some((_, held)), Some((_, received))) if held < received && !self.proven => {
                ClaimStatus::Unverified
            }
            _ => ClaimStatus::Valid,
        }
    }
}
