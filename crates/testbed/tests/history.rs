//! Each checker catches a planted violation, and a clean history has none.

use {
    rstest::rstest,
    testbed::history::{Answer, Asked, Held, Record, Violations, check},
};

fn done(value: &str, term: u64) -> Answer {
    Answer::Done { value: value.to_owned(), term }
}

fn record(asked: Asked, from: u64, to: u64, answer: Answer) -> Record {
    Record { group: 0, asked, from, to, answer }
}

fn insert(op: u64, from: u64, answer: Answer) -> Record {
    record(Asked::Insert { op }, from, from + 10, answer)
}

fn clean() -> (Vec<Record>, Vec<Held>) {
    let history = vec![
        insert(1, 0, done("", 1)),
        insert(2, 20, Answer::NotRun),
        insert(3, 40, Answer::Unknown),
        insert(4, 60, Answer::NotRun),
        insert(4, 80, done("", 2)),
        record(Asked::Own { least: 1 }, 100, 110, done("1", 2)),
        record(Asked::Echo { token: "a".to_owned() }, 100, 110, done("a", 2)),
        record(Asked::Tick { value: 5 }, 100, 110, done("", 2)),
        record(Asked::Aged { age: 50 }, 150, 160, done("0", 2)),
        record(Asked::Aged { age: 50 }, 170, 180, done("5", 2)),
        record(Asked::Version { of: "p0 parts".to_owned() }, 1, 2, done("3", 0)),
        record(Asked::Version { of: "p0 parts".to_owned() }, 5, 6, done("4", 0)),
        record(Asked::Version { of: "p1 parts".to_owned() }, 9, 10, done("3", 0)),
        record(Asked::Echo { token: "b".to_owned() }, 300, 310, Answer::Cut),
    ];
    (history, vec![(0, 1, 1), (0, 3, 1), (0, 4, 1)])
}

#[test]
fn a_clean_history_has_no_violation() {
    let (history, held) = clean();
    assert_eq!(check(&history, &held, &[(0, 200)]), Violations::default());
}

#[rstest]
#[case::lost(insert(9, 0, done("", 1)), None, Violations { lost_acked: 1, ..Violations::default() })]
#[case::doubled(insert(9, 0, done("", 1)), Some((0, 9, 2)), Violations { double_runs: 1, ..Violations::default() })]
#[case::not_run(insert(9, 0, Answer::NotRun), Some((0, 9, 1)), Violations { not_run_but_ran: 1, ..Violations::default() })]
#[case::superseded(insert(1, 95, done("", 1)), None, Violations { superseded_acks: 1, ..Violations::default() })]
#[case::foreign(
    record(Asked::Echo { token: "c".to_owned() }, 0, 1, done("d", 1)), None,
    Violations { wrong_answers: 1, ..Violations::default() }
)]
#[case::stale(
    record(Asked::Own { least: 2 }, 0, 1, done("1", 1)), None,
    Violations { stale_reads: 1, ..Violations::default() }
)]
#[case::aged(
    record(Asked::Aged { age: 50 }, 170, 180, done("4", 2)), None,
    Violations { stale_reads: 1, ..Violations::default() }
)]
#[case::reverted(
    record(Asked::Version { of: "p0 parts".to_owned() }, 7, 8, done("3", 0)), None,
    Violations { reverted_config: 1, ..Violations::default() }
)]
#[case::cut(
    record(Asked::Echo { token: "c".to_owned() }, 10, 20, Answer::Cut), None,
    Violations { cut_requests: 1, ..Violations::default() }
)]
fn a_planted_violation_is_caught(
    #[case] planted: Record,
    #[case] row: Option<Held>,
    #[case] found: Violations,
) {
    let (mut history, mut held) = clean();
    history.push(planted);
    held.extend(row);
    assert_eq!(check(&history, &held, &[(0, 200)]), found);
}
