//! What servers count for that came back with nothing, and what a primary's word is worth.

use {
    pondtrack_core::{
        claim::{Claim, Verdict},
        fresh::Freshness,
        gate::{Gate, Verdict as Gated},
        recovery::{Recovery, Witness},
    },
    pondtrack_proto::{LogPosition, Lsn, Term},
    rstest::rstest,
};

/// The longest change of primary.
const CHANGE: u64 = 100;

fn back(at: u64, newest: u64) -> Recovery {
    let mut it = Recovery::new(at, CHANGE);
    it.heard(Term(newest));
    it
}

fn witness(asked: u64, term: u64, receives: bool) -> Option<Witness> {
    Some(Witness { asked, term: Term(term), receives })
}

#[rstest]
#[case::the_other_replica_is_not_heard(3, &[None], false)]
#[case::it_was_asked_too_soon(3, &[witness(1_099, 3, true)], false)]
#[case::the_term_has_outlasted_every_change(3, &[witness(1_100, 3, true)], true)]
#[case::the_other_was_stopped(3, &[witness(1_100, 3, false)], false)]
#[case::another_term_was_seen(3, &[witness(1_100, 4, true)], false)]
#[case::one_of_two_is_not_heard(3, &[witness(1_100, 3, true), None], false)]
#[case::nobody_else_can_be_promoted(3, &[], true)]
#[case::a_term_that_began_later(4, &[None], true)]
#[case::an_earlier_term(2, &[witness(1_100, 3, true)], false)]
fn in_which_terms_its_word_counts(
    #[case] term: u64,
    #[case] others: &[Option<Witness>],
    #[case] counts: bool,
) {
    assert_eq!(back(1_000, 3).counts(Term(term), others.iter().copied()), counts);
}

#[test]
fn before_it_was_heard_it_counts_nowhere() {
    let it = Recovery::new(1_000, CHANGE);
    assert!(!it.counts(Term(9), [witness(5_000, 9, true)]));
}

#[test]
fn the_first_term_that_was_known_stays_the_bar() {
    let mut it = back(1_000, 3);
    it.heard(Term(5));
    assert!(it.counts(Term(4), [None]));
}

#[test]
fn it_is_whole_once_a_replica_has_what_the_primary_held_after_it_came_back() {
    let mut it = back(1_000, 3);
    it.led(LogPosition::new(3, 7), 999);
    it.received(LogPosition::new(3, 9));
    assert!(!it.is_whole(), "the primary was asked before");
    it.led(LogPosition::new(3, 8), 1_000);
    it.led(LogPosition::new(3, 20), 1_050);
    it.received(LogPosition::new(3, 7));
    assert!(!it.is_whole());
    it.received(LogPosition::new(2, 30));
    assert!(!it.is_whole(), "a tail of an earlier term");
    it.received(LogPosition::new(3, 8));
    assert!(it.is_whole());
}

#[test]
fn a_primary_that_shows_less_than_a_replica_had_before_has_lost_its_log() {
    let mut it = Claim::default();
    assert_eq!(it.verdict(), Verdict::Holds, "nothing is known");
    it.shows(0, Lsn(3), 10);
    it.received(Lsn(9), 20);
    assert_eq!(it.verdict(), Verdict::Open, "the replica may have got it meanwhile");
    it.shows(0, Lsn(4), 15);
    assert_eq!(it.verdict(), Verdict::Open, "asked before that was known");
    it.shows(0, Lsn(5), 20);
    assert_eq!(it.verdict(), Verdict::Lacks);
    it.shows(0, Lsn(30), 40);
    assert_eq!(it.verdict(), Verdict::Lacks, "what it wrote since stands at the positions of what it lost");
}

#[test]
fn a_primary_that_had_all_is_believed_until_it_shows_less() {
    let mut it = Claim::default();
    it.received(Lsn(9), 20);
    it.shows(0, Lsn(9), 21);
    it.received(Lsn(12), 30);
    assert_eq!(it.verdict(), Verdict::Holds, "what it writes is received before it is asked again");
    it.shows(0, Lsn(11), 31);
    assert_eq!(it.verdict(), Verdict::Lacks);
    // Another server takes the same term over with the whole log.
    it.shows(2, Lsn(12), 32);
    assert_eq!((it.verdict(), it.claimant()), (Verdict::Holds, Some(2)));
}

#[test]
fn what_a_server_showed_before_it_started_again_acknowledges_nothing() {
    let mut gate = Gate::new(2, 1);
    gate.begin(Term(1));
    gate.observe(1, Term(1), LogPosition::new(1, 12));
    assert_eq!(gate.hold(Term(1), Lsn(12)), Gated::Open);
    gate.forget_server(1);
    assert!(matches!(gate.hold(Term(1), Lsn(12)), Gated::Wait(_)));
    let mut fresh = Freshness::new(2, 1);
    fresh.observe(Term(1), LogPosition::new(1, 12), 50);
    fresh.begin(Term(1));
    fresh.observe(Term(1), LogPosition::new(1, 12), 50);
    fresh.confirm(1, Term(1), 60);
    assert!(fresh.needed(40).is_some());
    fresh.forget(1);
    assert_eq!(fresh.needed(40), None);
    fresh.confirm(0, Term(1), 70);
    fresh.forget_primary();
    assert_eq!(fresh.needed(40), None);
}
