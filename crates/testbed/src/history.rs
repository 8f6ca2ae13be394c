//! A recorded history, and the checkers that read it.
//!
//! Times are microseconds since the history began. Any history can be checked, also one read from a file.

use serde::{Deserialize, Serialize};

/// What a caller asked.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Asked {
    /// To insert a row that carries the number of the operation.
    Insert {
        /// The operation; a repeat with the same request key has the same number.
        op: u64,
    },
    /// How many rows of its own session there are; that many were acknowledged before.
    Own {
        /// Rows acknowledged to the session before it asked.
        least: u64,
    },
    /// A row that carries a text of this request alone.
    Echo {
        /// The text.
        token: String,
    },
    /// The clock's row, which may be so old.
    Aged {
        /// The age in microseconds.
        age: u64,
    },
    /// To step the clock.
    Tick {
        /// The clock's new value.
        value: u64,
    },
    /// An instance's version of a group's configuration.
    Version {
        /// The instance and the group.
        of: String,
    },
}

/// How it was answered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// Done, with a value if the question has one, and the term that the session had seen.
    Done {
        /// The value.
        value: String,
        /// The term.
        term: u64,
    },
    /// Not run.
    NotRun,
    /// Unknown.
    Unknown,
    /// Another error.
    Refused {
        /// The SQLSTATE.
        code: String,
    },
    /// The connection ended while the request was in flight.
    Cut,
}

/// One request with its answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The group, by number.
    pub group: usize,
    /// What was asked.
    pub asked: Asked,
    /// When it was asked.
    pub from: u64,
    /// When it was answered.
    pub to: u64,
    /// The answer.
    pub answer: Answer,
}

/// What the servers hold in the end: group, operation, how many rows.
pub type Held = (usize, u64, u64);

/// Violations by kind.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Violations {
    /// Acknowledged inserts that are not there.
    pub lost_acked: u64,
    /// Operations with more than one row.
    pub double_runs: u64,
    /// Answers that belong to another request, or are not whole.
    pub wrong_answers: u64,
    /// Reads that miss what had to be seen.
    pub stale_reads: u64,
    /// Operations answered as not run, and by nothing else, that are there.
    pub not_run_but_ran: u64,
    /// Acknowledgements of a term that was over: a later one had acknowledged before they were asked.
    pub superseded_acks: u64,
    /// Versions of configuration that went back.
    pub reverted_config: u64,
    /// Requests in flight that were cut in a time when only planned work was done.
    pub cut_requests: u64,
}

/// Checks a history against what the servers hold; `planned` are the times of planned work alone.
pub fn check(history: &[Record], held: &[Held], planned: &[(u64, u64)]) -> Violations {
    Violations {
        lost_acked: lost_acked(history, held),
        double_runs: held.iter().filter(|it| it.2 > 1).count() as u64,
        wrong_answers: wrong_answers(history),
        stale_reads: stale_own(history) + stale_aged(history),
        not_run_but_ran: not_run_but_ran(history, held),
        superseded_acks: superseded_acks(history),
        reverted_config: reverted_config(history),
        cut_requests: cut_requests(history, planned),
    }
}

fn rows(held: &[Held], group: usize, op: u64) -> u64 {
    held.iter().find(|it| it.0 == group && it.1 == op).map_or(0, |it| it.2)
}

/// Answers by operation, sorted: group, operation, answer.
fn inserts(history: &[Record]) -> Vec<(usize, u64, &Answer)> {
    let mut out: Vec<_> = history
        .iter()
        .filter_map(|it| match it.asked {
            Asked::Insert { op } => Some((it.group, op, &it.answer)),
            _ => None,
        })
        .collect();
    out.sort_by_key(|it| (it.0, it.1));
    out
}

fn lost_acked(history: &[Record], held: &[Held]) -> u64 {
    let held = index(held);
    let all = inserts(history);
    let acked = all.iter().filter(|it| matches!(it.2, Answer::Done { .. }));
    acked.filter(|it| rows(&held[it.0.min(held.len() - 1)], it.0, it.1) == 0).count() as u64
}

/// What is held, by group, so that a look-up is short.
fn index(held: &[Held]) -> Vec<Vec<Held>> {
    let groups = held.iter().map(|it| it.0).max().unwrap_or(0) + 1;
    (0..groups).map(|g| held.iter().filter(|it| it.0 == g).copied().collect()).collect()
}

fn not_run_but_ran(history: &[Record], held: &[Held]) -> u64 {
    let all = inserts(history);
    let mut n = 0;
    for one in all.chunk_by(|a, b| (a.0, a.1) == (b.0, b.1)) {
        let only = one.iter().all(|it| *it.2 == Answer::NotRun);
        if only && rows(held, one[0].0, one[0].1) > 0 {
            n += 1;
        }
    }
    n
}

fn wrong_answers(history: &[Record]) -> u64 {
    let wrong = |it: &&Record| match (&it.asked, &it.answer) {
        (Asked::Echo { token }, Answer::Done { value, .. }) => token != value,
        (Asked::Own { .. } | Asked::Aged { .. }, Answer::Done { value, .. }) => value.parse::<u64>().is_err(),
        _ => false,
    };
    history.iter().filter(wrong).count() as u64
}

fn stale_own(history: &[Record]) -> u64 {
    let stale = |it: &&Record| match (&it.asked, &it.answer) {
        (Asked::Own { least }, Answer::Done { value, .. }) => value.parse().is_ok_and(|n: u64| n < *least),
        _ => false,
    };
    history.iter().filter(stale).count() as u64
}

/// A read of age *a* asked at *t* shows at least the last tick that was acknowledged before *t - a*.
fn stale_aged(history: &[Record]) -> u64 {
    let mut ticks: Vec<(usize, u64, u64)> = history
        .iter()
        .filter_map(|it| match (&it.asked, &it.answer) {
            (Asked::Tick { value }, Answer::Done { .. }) => Some((it.group, it.to, *value)),
            _ => None,
        })
        .collect();
    ticks.sort_unstable();
    let stale = |it: &&Record| match (&it.asked, &it.answer) {
        (Asked::Aged { age }, Answer::Done { value, .. }) => {
            let before = it.from.saturating_sub(*age);
            let known = ticks.iter().filter(|t| t.0 == it.group && t.1 < before).map(|t| t.2).max();
            value.parse::<u64>().is_ok_and(|n| n < known.unwrap_or(0))
        }
        _ => false,
    };
    history.iter().filter(stale).count() as u64
}

fn superseded_acks(history: &[Record]) -> u64 {
    let mut acks: Vec<(usize, u64, u64, u64)> = history
        .iter()
        .filter_map(|it| match (&it.asked, &it.answer) {
            // Term 0 stands for a session that ended before it was asked what it had seen.
            (Asked::Insert { .. }, Answer::Done { term, .. }) if *term > 0 => {
                Some((it.group, it.to, it.from, *term))
            }
            _ => None,
        })
        .collect();
    acks.sort_unstable();
    let mut n = 0;
    for one in acks.chunk_by(|a, b| a.0 == b.0) {
        // The highest term acknowledged by each moment.
        let mut top = Vec::new();
        let mut high = 0;
        for it in one {
            high = high.max(it.3);
            top.push((it.1, high));
        }
        for it in one {
            let at = top.partition_point(|t| t.0 < it.2);
            if at > 0 && top[at - 1].1 > it.3 {
                n += 1;
            }
        }
    }
    n
}

fn reverted_config(history: &[Record]) -> u64 {
    let mut seen: Vec<(&str, u64, u64)> = history
        .iter()
        .filter_map(|it| match (&it.asked, &it.answer) {
            (Asked::Version { of }, Answer::Done { value, .. }) => {
                Some((of.as_str(), it.from, value.parse().ok()?))
            }
            _ => None,
        })
        .collect();
    seen.sort_unstable();
    seen.windows(2).filter(|it| it[0].0 == it[1].0 && it[1].2 < it[0].2).count() as u64
}

fn cut_requests(history: &[Record], planned: &[(u64, u64)]) -> u64 {
    let inside = |it: &Record| planned.iter().any(|p| it.from >= p.0 && it.to <= p.1);
    history.iter().filter(|it| it.answer == Answer::Cut && inside(it)).count() as u64
}
