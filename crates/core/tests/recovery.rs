//! Servers that restart with an empty log, and primaries that lose theirs.
//!
//! Guards against acknowledging commits on the confirmation of a server that has forgotten them, and against serving
//! reads from a primary whose log was lost.

use {
    pondtrack_core::{
        commit_gate::{AckStatus, CommitGate},
        freshness::Freshness,
        primary_claim::{ClaimStatus, PrimaryClaim},
        recovery::{Recovery, ReplicaReport},
    },
    pondtrack_proto::{LogPosition, Lsn, Term},
    rstest::rstest,
};

/// Maximum duration of a failover.
const MAX_FAILOVER: u64 = 100;

fn restarted(at: u64, newest: u64) -> Recovery {
    let mut recovery = Recovery::new(at, MAX_FAILOVER);
    recovery.observe_term(Term(newest));
    recovery
}

fn report(asked_at: u64, term: u64, receiving: bool) -> Option<ReplicaReport> {
    Some(ReplicaReport { asked_at, term: Term(term), receiving })
}

#[rstest]
#[case::other_replica_not_reached(3, &[None], false)]
#[case::query_sent_too_early(3, &[report(1_099, 3, true)], false)]
#[case::term_outlasted_every_change(3, &[report(1_100, 3, true)], true)]
#[case::other_replica_stopped(3, &[report(1_100, 3, false)], false)]
#[case::other_replica_in_another_term(3, &[report(1_100, 4, true)], false)]
#[case::one_of_two_not_reached(3, &[report(1_100, 3, true), None], false)]
#[case::no_other_replica(3, &[], true)]
#[case::term_began_later(4, &[None], true)]
#[case::earlier_term(2, &[report(1_100, 3, true)], false)]
fn confirmations_count_by_term(
    #[case] term: u64,
    #[case] others: &[Option<ReplicaReport>],
    #[case] counts: bool,
) {
    assert_eq!(restarted(1_000, 3).counts_for_quorum(Term(term), others.iter().copied()), counts);
}

#[test]
fn unreached_server_counts_in_no_term() {
    let recovery = Recovery::new(1_000, MAX_FAILOVER);
    assert!(!recovery.counts_for_quorum(Term(9), [report(5_000, 9, true)]));
}

#[test]
fn first_known_term_stays_the_threshold() {
    let mut recovery = restarted(1_000, 3);
    recovery.observe_term(Term(5));
    assert!(recovery.counts_for_quorum(Term(4), [None]));
}

#[test]
fn recovered_once_a_replica_reaches_the_primary_position_after_the_restart() {
    let mut recovery = restarted(1_000, 3);
    recovery.observe_primary(LogPosition::new(3, 7), 999);
    recovery.observe_replica(LogPosition::new(3, 9));
    assert!(!recovery.is_recovered(), "the query was sent before the restart");
    recovery.observe_primary(LogPosition::new(3, 8), 1_000);
    recovery.observe_primary(LogPosition::new(3, 20), 1_050);
    recovery.observe_replica(LogPosition::new(3, 7));
    assert!(!recovery.is_recovered());
    recovery.observe_replica(LogPosition::new(2, 30));
    assert!(!recovery.is_recovered(), "the log ends in an earlier term");
    recovery.observe_replica(LogPosition::new(3, 8));
    assert!(recovery.is_recovered());
}

#[test]
fn primary_behind_an_earlier_replica_report_has_lost_its_log() {
    let mut claim = PrimaryClaim::default();
    assert_eq!(claim.status(), ClaimStatus::Valid, "no report yet");
    claim.observe_primary(0, Lsn(3), 10);
    claim.observe_replica(Lsn(9), 20);
    assert_eq!(claim.status(), ClaimStatus::Unverified, "the replica may have received it in the meantime");
    claim.observe_primary(0, Lsn(4), 15);
    assert_eq!(claim.status(), ClaimStatus::Unverified, "the query was sent before that was known");
    claim.observe_primary(0, Lsn(5), 20);
    assert_eq!(claim.status(), ClaimStatus::LogLost);
    claim.observe_primary(0, Lsn(30), 40);
    assert_eq!(claim.status(), ClaimStatus::LogLost, "new entries reuse the positions of the lost ones");
}

#[test]
fn proven_primary_is_valid_until_it_reports_a_shorter_log() {
    let mut claim = PrimaryClaim::default();
    claim.observe_replica(Lsn(9), 20);
    claim.observe_primary(0, Lsn(9), 21);
    claim.observe_replica(Lsn(12), 30);
    assert_eq!(
        claim.status(),
        ClaimStatus::Valid,
        "entries reach replicas before the primary is queried again"
    );
    claim.observe_primary(0, Lsn(11), 31);
    assert_eq!(claim.status(), ClaimStatus::LogLost);
    // Another server takes over the same term with the complete log.
    claim.observe_primary(2, Lsn(12), 32);
    assert_eq!((claim.status(), claim.claimant()), (ClaimStatus::Valid, Some(2)));
}

#[test]
fn reports_from_before_a_restart_do_not_count() {
    let mut gate = CommitGate::new(2, 1);
    gate.begin_term(Term(1));
    gate.observe(1, Term(1), LogPosition::new(1, 12));
    assert_eq!(gate.request_ack(Term(1), Lsn(12)), AckStatus::Ready);
    gate.reset_server(1);
    assert!(matches!(gate.request_ack(Term(1), Lsn(12)), AckStatus::Pending(_)));
    let mut fresh = Freshness::new(2, 1);
    fresh.observe(Term(1), LogPosition::new(1, 12), 50);
    fresh.begin_term(Term(1));
    fresh.observe(Term(1), LogPosition::new(1, 12), 50);
    fresh.confirm(1, Term(1), 60);
    assert!(fresh.required_position(40).is_some());
    fresh.reset_server(1);
    assert_eq!(fresh.required_position(40), None);
    fresh.confirm(0, Term(1), 70);
    fresh.reset_primary();
    assert_eq!(fresh.required_position(40), None);
}
