//! Deadlines of the waits of a statement before it is sent to a server.

use {
    pondtrack_core::{
        Time,
        budget::{Budget, Mode, TimeLimits, Wait},
    },
    rstest::rstest,
    strum::IntoEnumIterator,
};

const MS: Time = 1_000;
/// An objective of 100 ms on a route whose timeout is eight times as long.
const LIMITS: TimeLimits = TimeLimits { arrived_at: 5 * MS, objective: 100 * MS, timeout: 800 * MS };
/// Attempts that a caller makes.
const ATTEMPTS: Time = 3;
/// Time after which callers give up, in objectives.
const GIVE_UP_AFTER: Time = 6;

/// Runs through waits of the given durations. Returns the time since arrival at which the statement was rejected, with the
/// wait, or at which it could be sent to a server.
fn run(mut budget: Budget, waits: &[(Wait, Time)]) -> (Time, Option<Wait>) {
    let mut now = LIMITS.arrived_at;
    for (wait, duration) in waits {
        let deadline = budget.deadline(*wait);
        if now + duration > deadline {
            return (now.max(deadline) - LIMITS.arrived_at, Some(*wait));
        }
        now += duration;
        if *wait == Wait::Primary {
            budget = budget.after_primary_found(now);
        }
    }
    (now - LIMITS.arrived_at, None)
}

const NEVER: Time = 3_600_000 * MS;

#[rstest]
#[case::evidence_never_available(&[(Wait::Evidence, NEVER)], 100)]
#[case::queue_longer_than_objective(&[(Wait::Evidence, 5 * MS), (Wait::Permit, 900 * MS)], 150)]
#[case::no_free_connection(&[(Wait::Permit, 0), (Wait::Connection, NEVER)], 150)]
#[case::quota_exhausted(&[(Wait::Quota, NEVER)], 50)]
#[case::no_primary(&[(Wait::Primary, NEVER)], 200)]
#[case::failover_then_queue(&[(Wait::Primary, 150 * MS), (Wait::Permit, NEVER)], 200)]
fn statements_that_wait_in_vain_are_rejected_by_the_objective(
    #[case] waits: &[(Wait, Time)],
    #[case] max_ms: Time,
) {
    let (rejected, at) = run(Budget::new(LIMITS, Mode::Objective), waits);
    assert_eq!(at, waits.last().map(|w| w.0));
    assert!(rejected <= max_ms * MS, "after {rejected} us");
    // With a limit for each wait, the rejection would come later.
    assert!(run(Budget::new(LIMITS, Mode::PerWait), waits).0 > rejected);
}

#[test]
fn consecutive_waits_draw_on_one_budget() {
    let waits = [(Wait::Quota, 49 * MS), (Wait::Evidence, 20 * MS), (Wait::Permit, 80 * MS)];
    let budget = Budget::new(LIMITS, Mode::Objective);
    assert_eq!(run(budget, &waits), (149 * MS, None));
    let more = [&waits[..], &[(Wait::Connection, 2 * MS)]].concat();
    assert_eq!(
        run(budget, &more),
        (150 * MS, Some(Wait::Connection)),
        "all but one millisecond of the budget is used"
    );
    let quota = [(Wait::Quota, 50 * MS), (Wait::Evidence, 26 * MS)];
    assert_eq!(run(budget, &quota).1, Some(Wait::Evidence));
}

#[rstest]
#[case::evidence_arrives_late(&[(Wait::Evidence, 60 * MS), (Wait::Permit, 10 * MS)])]
#[case::failover_ends_late(&[(Wait::Primary, 190 * MS), (Wait::Permit, 5 * MS), (Wait::Connection, 5 * MS)])]
fn waits_that_end_within_the_budget_are_waited_for(#[case] waits: &[(Wait, Time)]) {
    assert_eq!(run(Budget::new(LIMITS, Mode::Objective), waits).1, None);
}

#[test]
fn waits_that_are_known_to_exceed_the_budget_are_not_allowed() {
    let budget = Budget::new(LIMITS, Mode::Objective);
    let now = LIMITS.arrived_at + 40 * MS;
    assert!(budget.allows(Wait::Permit, 110 * MS, now));
    assert!(!budget.allows(Wait::Permit, 111 * MS, now));
    assert!(!budget.is_exhausted(LIMITS.arrived_at + 149 * MS));
    assert!(budget.is_exhausted(LIMITS.arrived_at + 150 * MS));
}

#[test]
fn all_attempts_together_end_before_callers_give_up() {
    for wait in Wait::iter() {
        let (rejected, _) = run(Budget::new(LIMITS, Mode::Objective), &[(wait, NEVER)]);
        assert!(rejected * ATTEMPTS <= GIVE_UP_AFTER * LIMITS.objective, "{wait}");
    }
}

#[test]
fn per_wait_deadlines_are_derived_from_the_route_timeout() {
    let budget = Budget::new(LIMITS, Mode::PerWait);
    for wait in Wait::iter() {
        let ms = if matches!(wait, Wait::Permit | Wait::Connection) { 320 } else { 800 };
        assert_eq!(budget.deadline(wait), LIMITS.arrived_at + ms * MS, "{wait}");
    }
    let late = LIMITS.arrived_at + 700 * MS;
    assert_eq!(budget.after_primary_found(late), budget);
    assert!(!budget.is_exhausted(late));
    assert!(budget.is_exhausted(LIMITS.arrived_at + 800 * MS));
}

#[test]
fn no_wait_exceeds_the_route_timeout() {
    let slow = TimeLimits { objective: 5_000 * MS, ..LIMITS };
    for mode in [Mode::PerWait, Mode::Objective, Mode::Failover] {
        for wait in Wait::iter() {
            assert!(
                Budget::new(slow, mode).deadline(wait) <= slow.arrived_at + slow.timeout,
                "{mode:?} {wait}"
            );
        }
    }
}
