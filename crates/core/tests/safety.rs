//! Gate, grants, freshness, keys and tokens.

use {
    pondtrack_core::{
        commit_gate::{AckStatus, CommitGate},
        freshness::Freshness,
        promotion::{Action, Promotion, PromotionState},
        request_key::{self, KeyError, WINDOW_MS},
        term_pool::{self, BLOCK_SIZE, TermPool},
        token::SessionToken,
    },
    pondtrack_proto::{LogPosition, Lsn, Term, TermRecord},
    rstest::rstest,
};

const PRIMARY: usize = 0;

fn gate() -> CommitGate {
    let mut it = CommitGate::new(3, 2);
    it.begin_term(Term(2));
    it
}

#[test]
fn one_replica_of_three_opens_the_gate_for_all_behind_it() {
    let mut it = gate();
    it.observe(PRIMARY, Term(2), LogPosition::new(2, 9));
    let tickets: Vec<_> = [7, 8, 9].map(|lsn| it.request_ack(Term(2), Lsn(lsn))).into_iter().collect();
    let open = it.observe(1, Term(2), LogPosition::new(2, 8));
    assert_eq!(open.len(), 2);
    assert_eq!(tickets[0], AckStatus::Pending(open[0]));
    assert_eq!(it.pending(), 1);
    assert_eq!(it.request_ack(Term(2), Lsn(8)), AckStatus::Ready);
}

#[rstest]
#[case::entry_of_an_earlier_term(Term(2), LogPosition::new(1, 9))]
// Found by the exhaustive walk: the log came by the primary of term 3.
#[case::server_that_knows_a_later_term(Term(3), LogPosition::new(2, 9))]
#[case::server_of_an_earlier_term(Term(1), LogPosition::new(1, 9))]
fn what_does_not_count_for_a_majority(#[case] term: Term, #[case] last: LogPosition) {
    let mut it = gate();
    it.observe(PRIMARY, Term(2), LogPosition::new(2, 9));
    assert!(matches!(it.request_ack(Term(2), Lsn(9)), AckStatus::Pending(_)));
    assert!(it.observe(1, term, last).is_empty());
    assert_eq!(it.pending(), 1);
}

#[test]
fn a_new_term_breaks_what_waits_and_refuses_the_old() {
    let mut it = gate();
    assert!(matches!(it.request_ack(Term(2), Lsn(5)), AckStatus::Pending(_)));
    assert_eq!(it.begin_term(Term(3)).len(), 1);
    assert_eq!(it.request_ack(Term(2), Lsn(1)), AckStatus::Superseded);
    assert_eq!(it.commit_lsn(), Lsn(0));
}

fn fence(it: &mut Promotion, server: usize, last: LogPosition) -> Vec<Action> {
    it.on_fenced(server, Term(5), last)
}

#[test]
fn a_switch_waits_for_the_preferred_server_and_takes_it_among_equals() {
    let (mut it, first) = Promotion::start(3, 2, Term(5), Some(1), Vec::new(), None);
    assert_eq!(first.len(), 3);
    let last = LogPosition::new(4, 9);
    assert!(fence(&mut it, 0, last).is_empty());
    // Two of three answered first: the preferred one lost by that in one of 14 runs of a planned switch.
    assert!(fence(&mut it, 2, last).is_empty());
    assert_eq!(fence(&mut it, 1, last), [Action::Promote { server: 1, term: Term(5) }]);
}

#[test]
fn a_switch_goes_on_without_the_preferred_server_and_takes_the_highest_log() {
    let (mut it, _) = Promotion::start(3, 2, Term(5), Some(1), Vec::new(), None);
    fence(&mut it, 0, LogPosition::new(4, 8));
    fence(&mut it, 2, LogPosition::new(4, 9));
    assert_eq!(it.skip_preferred(), [Action::Promote { server: 2, term: Term(5) }]);
    assert!(it.skip_preferred().is_empty(), "one promotion at most");
    assert!(fence(&mut it, 1, LogPosition::new(4, 10)).is_empty());
    assert_eq!(it.on_promoted(2, Term(5)).len(), 2);
    assert_eq!(it.state, PromotionState::Done);
}

#[test]
fn a_stalled_primary_is_not_fenced() {
    let (_, first) = Promotion::start(3, 2, Term(5), None, Vec::new(), Some(0));
    assert!(first.iter().all(|it| !matches!(it, Action::Fence { server: 0, .. })));
}

#[test]
fn no_term_is_granted_twice() {
    let mut record = TermRecord::default();
    let (mut a, mut b) = (TermPool::default(), TermPool::default());
    let mut taken = Vec::new();
    for change in 0..4 {
        for it in [&mut a, &mut b] {
            let (next, block) = term_pool::allocate_block(&record, Term(3), change);
            record = next;
            it.add(block.0, block.1);
            taken.push(it.take(Term(3)).expect("just granted"));
        }
    }
    let mut unique = taken.clone();
    unique.sort_unstable();
    unique.dedup();
    assert_eq!(unique.len(), taken.len());
    assert!(taken.iter().all(|it| *it > Term(3)));
}

#[test]
fn shared_terms_are_nobody_elses() {
    let mut giver = TermPool::default();
    giver.add(Term(2), Term(2 + BLOCK_SIZE));
    let mut taken = Vec::new();
    let mut parts = 0;
    while let Some((first, end)) = giver.split_off(Term(3)) {
        parts += 1;
        taken.extend((first.0..end.0).map(Term));
    }
    while let Some(it) = giver.take(Term(3)) {
        taken.push(it);
    }
    taken.sort_unstable();
    let all: Vec<Term> = (4..2 + BLOCK_SIZE).map(Term).collect();
    assert_eq!(taken, all, "each term above the known one, once");
    assert!(parts >= 8, "one part for each of the other homes, after several changes");
}

#[test]
fn a_last_term_is_kept() {
    let mut it = TermPool::default();
    it.add(Term(2), Term(4));
    assert_eq!(it.split_off(Term(2)), None);
    assert_eq!(it.take(Term(2)), Some(Term(3)));
}

#[test]
fn terms_below_the_known_one_are_forgotten() {
    let mut it = TermPool::default();
    it.add(Term(2), Term(2 + BLOCK_SIZE));
    assert_eq!(it.take(Term(5)), Some(Term(6)));
    assert_eq!(it.take(Term(2 + BLOCK_SIZE)), None);
    assert!(it.is_low());
}

#[rstest]
#[case::applied_all(Lsn(10), Some(100))]
#[case::behind_the_last_seen(Lsn(9), Some(50))]
#[case::behind_everything(Lsn(4), None)]
fn an_answer_is_as_old_as_the_question_that_showed_its_position(
    #[case] applied: Lsn,
    #[case] as_of: Option<u64>,
) {
    let mut it = Freshness::new(3, 2);
    for server in 0..2 {
        it.confirm(server, Term(1), 100);
    }
    it.observe(Term(1), LogPosition::new(1, 5), 50);
    it.observe(Term(1), LogPosition::new(1, 10), 100);
    assert_eq!(it.as_of(Term(1), applied), as_of);
}

#[test]
fn a_replica_of_a_primary_without_a_majority_ages() {
    let mut it = Freshness::new(3, 2);
    it.confirm(0, Term(1), 100);
    it.confirm(1, Term(1), 100);
    it.observe(Term(1), LogPosition::new(1, 5), 100);
    // The primary goes on alone: nobody else confirms its term.
    it.confirm(0, Term(1), 900);
    it.observe(Term(1), LogPosition::new(1, 6), 900);
    assert_eq!(it.as_of(Term(1), Lsn(5)), Some(100));
    assert_eq!(it.as_of(Term(1), Lsn(6)), Some(100));
    it.confirm(1, Term(2), 950);
    it.confirm(2, Term(2), 950);
    assert_eq!(it.as_of(Term(1), Lsn(9)), None);
}

#[test]
fn keys_are_checked_for_form_and_age() {
    let issued = 1_800_000_000_000u64;
    let key = key_at(issued);
    assert_eq!(request_key::validate(&key, issued + 5), Ok(issued));
    assert_eq!(request_key::validate("order-17", issued), Err(KeyError::Malformed));
    let age_ms = WINDOW_MS + 1;
    assert_eq!(request_key::validate(&key, issued + age_ms), Err(KeyError::Expired { age_ms }));
    assert!(matches!(request_key::validate(&key, issued - 400_000), Err(KeyError::InFuture { .. })));
}

/// A UUID of version 7 issued at a time.
fn key_at(ms: u64) -> String {
    let hex = format!("{ms:012x}");
    format!("{}-{}-7abc-8def-0123456789ab", &hex[..8], &hex[8..])
}

#[test]
fn tokens_come_back_as_they_were() {
    let settings = vec![("application_name".into(), "depot.7 'x'".into())];
    let it = SessionToken { group: "parts".into(), mark: LogPosition::new(3, 77), settings };
    assert_eq!(SessionToken::parse(&it.encode()), Ok(it));
    for bad in ["", "pt1", "pt2.70.1.1", "pt1.7.1.1", "pt1.70.x.1", "pt1.70.1.1.61", "pt1.é.1.1"] {
        assert!(SessionToken::parse(bad).is_err(), "{bad}");
    }
}
