//! Acknowledgement of commits while a former primary may still be read from.
//!
//! A replica that replicates in a term confirms to an instance that the term's primary leads. After a failover, replicas
//! are resumed, and one that doesn't reach the new primary yet confirms the old term. An instance that doesn't know of the
//! failover then reads from the old primary, although that follows the new one and shows its commits late. A commit is
//! therefore acknowledged only once it is visible on each server that may be read from in this way.

use pondtrack_proto::Term;

/// What an instance knows of a server of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Member {
    /// The newest term that the server reported; none if its status isn't known.
    pub term: Option<Term>,
    /// The newest term that the server is known to have led.
    pub led: Option<Term>,
}

impl Member {
    /// Returns true if the server may still be in an earlier term.
    pub fn may_be_behind(&self, term: Term) -> bool {
        self.term.is_none_or(|known| known < term)
    }

    /// Returns true if the server may confirm an earlier term than `term`. The leader of the preceding term doesn't: it
    /// had left the terms before that one, and isn't one of its own replicas.
    fn may_confirm_earlier(&self, term: Term) -> bool {
        self.may_be_behind(term) && !self.led_preceding(term) && self.led != Some(term)
    }

    fn led_preceding(&self, term: Term) -> bool {
        self.led.is_some_and(|led| led.0 + 1 == term.0)
    }
}

/// Returns true if a commit of `term`, the newest term of a group, may only be acknowledged once reads at a server
/// reflect it: the server may have led an earlier term, which another one may confirm. `server` is an index into
/// `members`.
pub fn must_replay(term: Term, members: &[Member], server: usize) -> bool {
    let confirming = |m: &&Member| m.may_confirm_earlier(term);
    // If all of these are in the preceding term at least, they only confirm that term, whose leader is known.
    let in_preceding = |m: &Member| m.term.is_some_and(|known| known.0 + 1 == term.0);
    let former_known =
        members.iter().any(|m| m.led_preceding(term)) && members.iter().filter(confirming).all(in_preceding);
    let may_have_led = match members[server].led {
        Some(led) if led == term => false,
        _ if former_known => members[server].led_preceding(term),
        _ => true,
    };
    let mut others = members.iter().enumerate().filter(|m| m.0 != server);
    may_have_led && others.any(|m| m.1.may_confirm_earlier(term))
}
