//! Status reports of servers relayed between instances, with delays, reordering and duplicates.
//!
//! The age of a relayed report must include all delays since its request. An instance that considers a report newer
//! than it is would serve reads that miss acknowledged writes.

use {
    pondtrack_core::{
        Time,
        commit_gate::CommitGate,
        freshness::{self, Freshness},
    },
    pondtrack_proto::{LogPosition, Lsn, Term},
    rand::{RngExt, SeedableRng},
    rand_pcg::Pcg64Mcg,
};

/// Number of steps. A primary writes at every step and a replica follows. The home polls both at random times. Its
/// reports are relayed to a second instance and from there to a third.
const STEPS: Time = 4_000;
/// Maximum network delay between two instances.
const MAX_DELAY: Time = 40;
/// Maximum time until a server responds.
const MAX_RESPONSE_TIME: Time = 30;
const SEEDS: u64 = 200;
const PRIMARY: usize = 0;
const REPLICA: usize = 1;

/// Status report of a server, with the latest time at which it may have been requested.
#[derive(Clone, Copy)]
struct Report {
    server: usize,
    at: LogPosition,
    asked: Time,
}

/// Report in flight.
struct InFlight {
    arrives_at: Time,
    to: usize,
    report: Report,
}

/// Actual state of the group. Term 2 begins halfway and loses the entries that the replica hadn't received.
struct Truth {
    change: Time,
}

impl Truth {
    fn term(&self, now: Time) -> Term {
        Term(if now < self.change { 1 } else { 2 })
    }

    /// Returns the end of a server's log.
    fn log(&self, server: usize, now: Time) -> LogPosition {
        let lsn = if server == REPLICA { now - now % 7 } else { now };
        LogPosition { term: self.term(now), lsn: Lsn(lsn) }
    }

    /// Returns the last position acknowledged before a time.
    fn acknowledged(&self, before: Time) -> Lsn {
        self.log(REPLICA, before.saturating_sub(1)).lsn
    }
}

/// Evidence of one instance.
struct Evidence {
    fresh: Freshness,
    gate: CommitGate,
    /// Latest report of each server, which is relayed to other instances.
    latest: [Option<Report>; 2],
    offset: Time,
}

impl Evidence {
    fn new(offset: Time) -> Evidence {
        Evidence { fresh: Freshness::new(2, 1), gate: CommitGate::new(2, 1), latest: [None; 2], offset }
    }

    fn apply(&mut self, report: Report) {
        self.fresh.begin_term(report.at.term);
        self.gate.begin_term(report.at.term);
        match report.server {
            PRIMARY => self.fresh.observe(report.at.term, report.at, report.asked),
            _ => {
                self.fresh.confirm(report.server, report.at.term, report.asked);
                self.gate.observe(report.server, report.at.term, report.at);
            }
        }
        let latest = &mut self.latest[report.server];
        if latest.is_none_or(|old| old.asked < report.asked) {
            *latest = Some(report);
        }
    }
}

/// Coverage of one schedule.
#[derive(Default)]
struct Coverage {
    required: usize,
    durable: usize,
}

fn schedule(seed: u64, age: fn(Time, Time) -> Time, asked: fn(Time, Time) -> Option<Time>) -> Coverage {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let truth = Truth { change: 10_000 + STEPS / 2 };
    // Each instance has a clock of its own.
    let mut evidence = [5, 7_000, 2_000].map(Evidence::new);
    let mut in_flight: Vec<InFlight> = Vec::new();
    let mut coverage = Coverage::default();
    for now in 10_000..10_000 + STEPS {
        if rng.random_range(0..20) == 0 {
            let server = rng.random_range(0..2);
            let answered = now + rng.random_range(1..MAX_RESPONSE_TIME);
            let asked = now - evidence[0].offset;
            let report = Report { server, at: truth.log(server, answered), asked };
            in_flight.push(InFlight { arrives_at: answered + rng.random_range(1..MAX_DELAY), to: 0, report });
        }
        if rng.random_range(0..10) == 0 {
            let to = rng.random_range(1..3);
            let source = &evidence[to - 1];
            // The request was sent earlier and arrives now. The response arrives later.
            let sent = now - rng.random_range(1..MAX_DELAY) - evidence[to].offset;
            let received = now - source.offset;
            for report in source.latest.into_iter().flatten() {
                let Some(asked) = asked(sent, age(received, report.asked)) else { continue };
                let report = Report { asked, ..report };
                for _ in 0..rng.random_range(1..3) {
                    in_flight.push(InFlight {
                        arrives_at: now + rng.random_range(1..4 * MAX_DELAY),
                        to,
                        report,
                    });
                }
            }
        }
        in_flight.retain(|m| {
            if m.arrives_at <= now {
                evidence[m.to].apply(m.report);
            }
            m.arrives_at > now
        });
        for instance in &evidence {
            check(&truth, instance, now, &mut rng, &mut coverage);
        }
    }
    coverage
}

/// Checks that a required position covers all positions acknowledged by its time, and that no position counts as
/// durable that the replica hasn't received.
fn check(truth: &Truth, evidence: &Evidence, now: Time, rng: &mut Pcg64Mcg, coverage: &mut Coverage) {
    let since = now - evidence.offset - rng.random_range(0..400);
    if let Some((at, needed)) = evidence.fresh.required_position(since) {
        let known = truth.acknowledged(at.min(now - evidence.offset) + evidence.offset);
        assert!(at >= since && needed.lsn >= known, "{needed:?} at {at} lacks {known:?}");
        // A term that had ended by that time is never confirmed.
        assert!(needed.term >= truth.term(at + evidence.offset), "{needed:?} at {at}");
        assert!(needed.lsn <= truth.log(PRIMARY, now).lsn, "{needed:?} is in the future");
        coverage.required += 1;
    }
    let durable = evidence.gate.commit_lsn();
    assert!(durable <= truth.log(REPLICA, now).lsn, "{durable:?} is durable, but not on the replica");
    coverage.durable += usize::from(durable > Lsn(0));
}

#[test]
fn delayed_and_reordered_reports_are_never_considered_newer() {
    let mut all = Coverage::default();
    for seed in 0..SEEDS {
        let coverage = schedule(seed, freshness::age, freshness::asked_at);
        all.required += coverage.required;
        all.durable += coverage.durable;
    }
    // The schedules exercise both checks.
    assert!(all.required > 100_000 && all.durable > 100_000, "{} {}", all.required, all.durable);
}

#[test]
#[should_panic(expected = "lacks")]
fn age_counted_from_the_response_is_detected() {
    for seed in 0..SEEDS {
        schedule(seed, freshness::age, |sent, age| freshness::asked_at(sent + MAX_DELAY, age));
    }
}

#[test]
#[should_panic(expected = "lacks")]
fn ages_that_are_not_accumulated_are_detected() {
    for seed in 0..SEEDS {
        schedule(seed, |_, _| 0, freshness::asked_at);
    }
}
