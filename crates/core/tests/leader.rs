//! The leader of a term while its primary is unreachable.
//!
//! Guards against taking a replica for the primary, or an outdated directory entry for the current one.

use {
    pondtrack_core::leader::{LeaderEvidence, LeaderRecord},
    pondtrack_proto::{Name, Term},
    rstest::rstest,
};

fn record(term: u64, server: &str) -> Option<LeaderRecord> {
    let server = (!server.is_empty()).then(|| server.into());
    Some(LeaderRecord { term: Term(term), server })
}

#[rstest]
#[case::seen_in_this_term(record(3, "a"), false, &["b"], Some("a"))]
#[case::seen_in_an_earlier_term(record(2, "a"), true, &["a"], None)]
#[case::seen_in_a_later_term(record(4, "a"), true, &["a"], None)]
#[case::promoted_but_never_seen(record(3, ""), true, &["a"], None)]
#[case::never_promoted(None, true, &["a"], Some("a"))]
#[case::never_promoted_two_claimants(None, true, &["a", "b"], None)]
#[case::never_promoted_no_claimant(None, true, &[], None)]
#[case::possibly_promoted_without_record(None, false, &["a"], None)]
fn leader_is_proven_by_record_or_sole_claimant(
    #[case] record: Option<LeaderRecord>,
    #[case] complete: bool,
    #[case] claims: &[&str],
    #[case] leader: Option<&str>,
) {
    let claims: Vec<Name> = claims.iter().map(|name| (*name).into()).collect();
    let evidence = LeaderEvidence { term: Term(3), record: record.as_ref(), complete, claimants: &claims };
    assert_eq!(evidence.leader().map(Name::as_str), leader);
}
