//! Who leads a term whose primary gives no answer.

use {
    pondtrack_core::leader::{Evidence, Leader},
    pondtrack_proto::{Name, Term},
    rstest::rstest,
};

fn record(term: u64, server: &str) -> Option<Leader> {
    let server = (!server.is_empty()).then(|| server.into());
    Some(Leader { term: Term(term), server })
}

#[rstest]
#[case::seen_in_this_term(record(3, "a"), false, &["b"], Some("a"))]
#[case::seen_in_an_earlier_term(record(2, "a"), true, &["a"], None)]
#[case::seen_in_a_later_term(record(4, "a"), true, &["a"], None)]
#[case::promoted_without_having_been_seen(record(3, ""), true, &["a"], None)]
#[case::never_promoted(None, true, &["a"], Some("a"))]
#[case::never_promoted_and_two_say_so(None, true, &["a", "b"], None)]
#[case::never_promoted_and_nobody_says_so(None, true, &[], None)]
#[case::promoted_perhaps_without_a_record(None, false, &["a"], None)]
fn what_proves_a_leader(
    #[case] record: Option<Leader>,
    #[case] complete: bool,
    #[case] claims: &[&str],
    #[case] leader: Option<&str>,
) {
    let claims: Vec<Name> = claims.iter().map(|it| (*it).into()).collect();
    let it = Evidence { term: Term(3), record: record.as_ref(), complete, claims: &claims };
    assert_eq!(it.leader().map(Name::as_str), leader);
}
