//! Classification, read routing, placement, admission, retries and failure detection.

use {
    pondtrack_core::{
        admission::{Admission, AdmissionConfig, AdmissionQueue, Dequeued},
        classify::{Stmt, classify},
        failure_detector::{Cause, DetectorConfig, FailureDetector, LastContact, Opinion},
        placement,
        retry::{Backoff, RetryBudget},
        route::{Candidate, RouteConfig, Target, choose},
    },
    pondtrack_proto::{Class, GroupSpec, LogPosition, Lsn, MemberState, MemberView, Name, ServerSpec, Term},
    rand::SeedableRng,
    rand_pcg::Pcg64Mcg,
    rstest::rstest,
};

#[rstest]
#[case("SELECT qty FROM stock WHERE part = $1", Class::Read)]
#[case("/* hint */ select count(*) from a join b on a.id = b.id", Class::Read)]
#[case("SELECT * FROM (SELECT max(id) FROM movement) m", Class::Read)]
#[case("SHOW application_name", Class::Read)]
#[case("SELECT 1; SELECT 2", Class::Read)]
#[case("SELECT * FROM stock FOR UPDATE", Class::Write)]
#[case("SELECT * FROM (SELECT * FROM stock FOR UPDATE) s", Class::Write)]
#[case("SELECT nextval('ids')", Class::Write)]
#[case("SELECT 1 WHERE EXISTS (SELECT pg_advisory_lock(1))", Class::Write)]
#[case("WITH gone AS (DELETE FROM stock RETURNING *) SELECT * FROM gone", Class::Write)]
#[case("SELECT * INTO copy FROM stock", Class::Write)]
#[case("SELECT * FROM dblink('x')", Class::Write)]
#[case("SELECT this is no sql", Class::Write)]
#[case("SELECT 1; DELETE FROM stock", Class::Write)]
#[case("INSERT INTO stock VALUES (1)", Class::Write)]
#[case("VACUUM", Class::Write)]
#[case("begin", Class::Begin)]
#[case("START TRANSACTION READ ONLY", Class::Begin)]
#[case("COMMIT;", Class::Commit)]
#[case("end", Class::Commit)]
#[case("ROLLBACK", Class::Rollback)]
#[case("ROLLBACK TO SAVEPOINT a", Class::Write)]
#[case("SAVEPOINT a", Class::Write)]
fn statements_are_classified(#[case] text: &str, #[case] class: Class) {
    assert_eq!(classify(text), Stmt::Run(class));
}

#[rstest]
#[case("BEGIN; DELETE FROM stock; COMMIT")]
#[case("SELECT 1; what is this; COMMIT")]
#[case("LISTEN news")]
#[case("COPY stock FROM stdin")]
#[case("DECLARE c CURSOR FOR SELECT 1")]
fn statements_impossible_on_shared_connections_are_unsupported(#[case] text: &str) {
    assert!(matches!(classify(text), Stmt::Unsupported(_)), "{:?}", classify(text));
}

#[rstest]
#[case("SET a TO 'it''s'", "a", Some("it's"), false)]
#[case("set session Search_Path = public", "search_path", Some("public"), false)]
#[case("SET LOCAL x = 1", "x", Some("1"), true)]
#[case("SET x = DEFAULT", "x", None, false)]
#[case("RESET x", "x", None, false)]
fn setting_statements_are_parsed(
    #[case] text: &str,
    #[case] name: &str,
    #[case] value: Option<&str>,
    #[case] local: bool,
) {
    let value = value.map(Name::from);
    assert_eq!(classify(text), Stmt::Set { name: name.into(), value, local });
}

fn candidate(server: usize, applied: u64) -> Candidate {
    Candidate {
        server,
        zone: "a".into(),
        is_primary: server == 0,
        accepts_work: true,
        last_contact: Some(1_000),
        term: Term(2),
        received: LogPosition::new(2, 100),
        applied: Lsn(applied),
        lag: 5,
        queued: 0,
    }
}

fn pick(list: &[Candidate], mark: LogPosition, tried: &[usize]) -> Target {
    choose(&RouteConfig::default(), 1_000, "a", mark, list, tried, |_| true)
}

#[test]
fn reads_go_to_a_replica_that_has_applied_the_mark_or_will_soon() {
    let list = [candidate(0, 100), candidate(1, 90), candidate(2, 100)];
    let replica = |server| Target::Replica { server, wait: 60 };
    assert_eq!(pick(&list, LogPosition::new(2, 100), &[]), replica(2));
    assert_eq!(pick(&list, LogPosition::new(2, 90), &[]), replica(1));
    assert_eq!(pick(&list, LogPosition::new(2, 100), &[2]), replica(1));
    assert_eq!(pick(&list, LogPosition::new(2, 100), &[1, 2]), Target::Primary { server: 0 });
}

#[rstest]
#[case::lagging(Candidate { lag: 5_000, applied: Lsn(1), ..candidate(1, 0) })]
#[case::draining(Candidate { accepts_work: false, ..candidate(1, 100) })]
#[case::silent(Candidate { last_contact: Some(0), ..candidate(1, 100) })]
#[case::older_term(Candidate { term: Term(1), received: LogPosition::new(1, 100), ..candidate(1, 100) })]
#[case::log_of_an_older_term(Candidate { received: LogPosition::new(1, 100), ..candidate(1, 100) })]
fn unusable_replicas_get_no_reads(#[case] replica: Candidate) {
    assert_eq!(
        pick(&[candidate(0, 100), replica], LogPosition::new(2, 50), &[]),
        Target::Primary { server: 0 }
    );
}

#[test]
fn local_and_idle_replicas_are_preferred() {
    let remote = Candidate { zone: "b".into(), ..candidate(1, 100) };
    let busy = Candidate { queued: 5, ..candidate(2, 100) };
    let list = [candidate(0, 100), remote, busy.clone()];
    assert_eq!(pick(&list, LogPosition::default(), &[]), Target::Replica { server: 1, wait: 60 });
    let list = [candidate(0, 100), Candidate { queued: 1, ..busy }];
    assert_eq!(pick(&list, LogPosition::default(), &[]), Target::Replica { server: 2, wait: 60 });
}

fn members(n: usize) -> Vec<MemberView> {
    let one = |n: usize| MemberView {
        name: format!("p{n:04}").into(),
        addr: ([127, 0, 0, 1], 1_000).into(),
        zone: format!("z{}", n % 3).into(),
        incarnation: 1,
        state: MemberState::Alive,
    };
    (0..n).map(one).collect()
}

fn spec(n: usize) -> GroupSpec {
    let server = |z: usize| ServerSpec {
        name: format!("db{n}-{z}").into(),
        addr: ([127, 0, 0, 1], 5_432).into(),
        zone: format!("z{z}").into(),
        draining: false,
    };
    GroupSpec {
        name: format!("db{n}").into(),
        servers: (0..3).map(server).collect(),
        limit: 25,
        policy: Default::default(),
    }
}

#[test]
fn homes_are_in_different_zones_and_a_join_moves_only_its_share() {
    let before = members(30);
    let after = members(33);
    let mut moved = 0;
    for n in 0..870 {
        let old = placement::homes(&spec(n), &before);
        let new = placement::homes(&spec(n), &after);
        let mut zones: Vec<_> =
            old.iter().map(|name| &placement::find(&before, name).expect("a member").zone).collect();
        zones.sort();
        zones.dedup();
        assert_eq!(zones.len(), 3);
        for name in new.iter().filter(|name| !old.contains(name)) {
            assert!(
                placement::find(&before, name).is_none(),
                "a group moved to an instance that was there before"
            );
            moved += 1;
        }
    }
    // Three of 33 instances have joined, so a home moves with a probability of 1 in 11.
    let share = f64::from(moved) / (870.0 * 3.0);
    assert!((0.06..0.13).contains(&share), "{share}");
}

#[test]
fn a_leaving_instance_is_not_a_home() {
    let mut list = members(6);
    let old = placement::homes(&spec(1), &list);
    let at = list.iter().position(|m| m.name == old[0]).expect("a member");
    list[at].state = MemberState::Leaving;
    assert!(!placement::homes(&spec(1), &list).contains(&old[0]));
}

#[rstest]
#[case(25, 3)]
#[case(40, 3)]
#[case(25, 1)]
#[case(7, 3)]
fn shares_never_exceed_the_limit_of_a_server(#[case] limit: u32, #[case] homes: usize) {
    let all: u32 = (0..homes)
        .map(|rank| placement::connection_share(limit, homes, rank) + placement::CONTROL_CONNS)
        .sum();
    assert!(all <= limit, "{all} of {limit}");
}

#[test]
fn callers_are_served_round_robin_and_late_requests_are_rejected_immediately() {
    let mut queue = AdmissionQueue::new(AdmissionConfig { max_queued: 4, reserved_slots: 0 }, 1);
    let (greedy, modest) = (Name::from("greedy"), Name::from("modest"));
    assert_eq!(queue.submit(0, &greedy, 1_000, false), Admission::Admitted);
    let waits: Vec<Admission> = (0..3).map(|_| queue.submit(0, &greedy, 1_000, false)).collect();
    let Admission::Queued(other) = queue.submit(0, &modest, 1_000, false) else { panic!("not queued") };
    assert!(
        matches!(queue.submit(0, &modest, 1_000, false), Admission::Rejected { .. }),
        "the queue is full"
    );
    assert_eq!(queue.complete(10, Some(10), false).len(), 1);
    // The second slot goes to the other caller, although two requests of the first caller came before.
    assert_eq!(queue.complete(20, Some(10), false), [Dequeued { ticket: other, admitted: true }]);
    assert_eq!(waits.len(), 3);
    for _ in 0..100 {
        queue.complete(30, Some(400), false);
    }
    let mut slow = AdmissionQueue::new(AdmissionConfig { max_queued: 100, reserved_slots: 0 }, 1);
    slow.submit(0, &greedy, 10, false);
    for _ in 0..40 {
        slow.complete(0, Some(500), false);
        slow.submit(0, &greedy, 10, false);
    }
    assert!(matches!(slow.submit(0, &modest, 5, false), Admission::Rejected { retry_ms } if retry_ms >= 10));
}

#[test]
fn requests_that_cannot_complete_in_time_are_rejected_before_they_start() {
    let mut queue = AdmissionQueue::new(AdmissionConfig { max_queued: 100, reserved_slots: 0 }, 1);
    let name = Name::from("a");
    for _ in 0..200 {
        queue.submit(0, &name, 1_000, false);
        queue.complete(0, Some(20), false);
    }
    assert_eq!(queue.submit(0, &name, 1_000, false), Admission::Admitted);
    let Admission::Queued(ticket) = queue.submit(0, &name, 100, false) else { panic!("not queued") };
    // A slot is free at 90, but requests take 20: a request that starts then would be aborted at its deadline, with an
    // unknown outcome.
    assert_eq!(queue.complete(90, None, false), [Dequeued { ticket, admitted: false }]);
    assert_eq!((queue.running(), queue.queued()), (0, 0));
}

#[test]
fn idle_transactions_leave_the_reserved_slot_free() {
    let mut queue = AdmissionQueue::new(AdmissionConfig { max_queued: 10, reserved_slots: 1 }, 3);
    let name = Name::from("a");
    assert_eq!(queue.submit(0, &name, 100, true), Admission::Admitted);
    assert_eq!(queue.submit(0, &name, 100, true), Admission::Admitted);
    assert!(matches!(queue.submit(0, &name, 100, true), Admission::Queued(_)));
    let other = Name::from("b");
    assert!(
        matches!(queue.submit(0, &other, 100, false), Admission::Queued(_)),
        "it is queued behind the transaction"
    );
    assert_eq!(queue.dispatch(0).len(), 1, "the single statement takes the reserved slot");
}

#[test]
fn the_concurrency_limit_shrinks_with_high_latency_and_recovers() {
    let mut queue = AdmissionQueue::new(AdmissionConfig::default(), 20);
    let name = Name::from("a");
    let mut run = |ms: u64, n: usize| {
        for _ in 0..n {
            queue.submit(0, &name, 1_000, false);
            queue.complete(0, Some(ms), false);
        }
        queue.limit()
    };
    assert_eq!(run(2, 100), 20);
    let low = run(200, 200);
    assert!(low <= 4, "{low}");
    assert!(run(2, 2_000) >= 15);
}

#[test]
fn the_retry_budget_is_a_share_of_successes() {
    let mut budget = RetryBudget::default();
    let first = (0..1_000).filter(|_| budget.try_withdraw()).count();
    assert!(first <= 50);
    for _ in 0..100 {
        budget.deposit();
    }
    assert_eq!((0..1_000).filter(|_| budget.try_withdraw()).count(), 20);
}

#[test]
fn backoff_grows_with_jitter_up_to_its_maximum() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut backoff = Backoff::new(10, 100);
    let waits: Vec<u64> = (0..8).map(|_| backoff.next_delay(&mut rng)).collect();
    assert!((5..=10).contains(&waits[0]));
    assert!(waits.iter().skip(5).all(|ms| (50..=100).contains(ms)), "{waits:?}");
}

fn detector() -> FailureDetector {
    FailureDetector::new(DetectorConfig::default(), 0)
}

#[rstest]
#[case::healthy(LastContact { answered_at: Some(990), refused_since: None }, None, None)]
#[case::silent(LastContact { answered_at: Some(500), refused_since: None }, None, Some(Cause::Silent))]
#[case::refused(LastContact { answered_at: Some(990), refused_since: Some(800) }, None, Some(Cause::Refused))]
#[case::stalled(LastContact { answered_at: Some(990), refused_since: None }, Some(400), Some(Cause::Stalled))]
fn a_primary_is_suspected_for_a_cause(
    #[case] heard: LastContact,
    #[case] stalled: Option<u64>,
    #[case] cause: Option<Cause>,
) {
    assert_eq!(detector().evaluate(1_000, 0, Some(&heard), None, stalled), cause);
}

#[test]
fn absence_is_measured_from_its_start_and_lower_ranks_wait_longer() {
    let detector = detector();
    assert_eq!(detector.evaluate(10_000, 0, None, Some(9_990), None), None);
    assert_eq!(detector.evaluate(10_400, 0, None, Some(9_990), None), Some(Cause::Absent));
    assert_eq!(detector.evaluate(10_400, 1, None, Some(9_990), None), None);
}

#[test]
fn detection_restarts_after_a_pause_of_the_process() {
    let mut detector = detector();
    assert!(!detector.poll(1_000));
    assert!(detector.poll(9_000));
    let heard = LastContact { answered_at: Some(1_000), refused_since: None };
    assert_eq!(detector.evaluate(9_010, 0, Some(&heard), None, Some(1_000)), None);
}

#[test]
fn a_home_in_contact_with_the_primary_vetoes() {
    let detector = detector();
    let vetoed = |cause, term: Option<u64>, stalled| {
        detector.is_vetoed(cause, Term(5), &[Opinion { from: "p1".into(), term: term.map(Term), stalled }])
    };
    assert!(vetoed(Cause::Silent, Some(5), false));
    assert!(vetoed(Cause::Absent, Some(6), false), "the next primary is only unreachable from this home");
    assert!(!vetoed(Cause::Silent, Some(5), true));
    assert!(!vetoed(Cause::Silent, None, false));
    assert!(!vetoed(Cause::Silent, Some(4), false));
    assert!(!vetoed(Cause::Stalled, Some(5), false));
    assert!(vetoed(Cause::Stalled, Some(6), false));
    assert!(!vetoed(Cause::Stranded, Some(4), false), "the primary in contact is the one to be renewed");
    assert!(vetoed(Cause::Stranded, Some(5), false));
}
