//! Retry times of refused callers.
//!
//! Callers with the same retry time come back together, and all but the first are refused again. An instance that
//! doesn't cache refusals forwards every early retry to the limiter.

use {
    pondtrack_core::{
        quota::{Demand, Grant, Limiter, Limits, RetrySchedule, SLOTS, SlotSet, Urgency},
        retry_after::{RefusalCache, RetryAfter},
    },
    pondtrack_proto::Name,
    std::ops::Range,
};

/// Microseconds in a second.
const SECOND: u64 = 1_000_000;
const LIMITS: Limits = Limits { rate: 10.0, burst: 5.0, margin: 0.0 };
/// Remaining time that exceeds every retry time in these tests.
const NO_DEADLINE: u64 = 60 * SECOND;

/// Creates a limiter whose organisation has used all tokens.
fn exhausted() -> Limiter {
    let mut limiter = Limiter::new(1);
    let timestamp = Some(limiter.timestamp(SECOND));
    let mut slots = SlotSet::default();
    (0..SLOTS).for_each(|slot| slots.insert(slot));
    limiter.accept(&Name::from("n0"), 1, slots, 1.0, timestamp, SECOND);
    claim(&mut limiter, Demand::unprioritised(100), 0);
    limiter
}

fn claim(limiter: &mut Limiter, demand: Demand, later: u64) -> Grant {
    limiter.claim(&Name::from("acme"), LIMITS, demand, SECOND + later)
}

fn refused(limiter: &mut Limiter, demand: Demand) -> RetrySchedule {
    match claim(limiter, demand, 0) {
        Grant::Refused(schedule) => schedule,
        Grant::Granted { .. } => panic!("granted"),
    }
}

fn times(schedule: RetrySchedule, of: Range<u32>) -> Vec<u64> {
    of.map(|n| schedule.retry_after(n, None).delay()).collect()
}

#[test]
fn refused_callers_get_distinct_retry_times() {
    let mut limiter = exhausted();
    let mut delays = Vec::new();
    for _ in 0..5 {
        delays.extend(times(refused(&mut limiter, Demand::prioritised(3, 1, NO_DEADLINE)), 0..3));
    }
    // A token accrues every 100 ms, and no caller retries before the token of the previous one has accrued.
    assert!(delays.windows(2).all(|pair| pair[0] + 100_000 <= pair[1]), "{delays:?}");
    assert!(delays[0] >= 10_000 && delays[14] <= 3 * SECOND, "{delays:?}");
}

#[test]
fn retry_time_after_the_deadline_is_too_late() {
    let schedule = RetrySchedule { after: 50_000, step: 100_000, reserved: false };
    assert_eq!(schedule.retry_after(0, Some(50_000)), RetryAfter::Room { after: 50_000 });
    assert_eq!(schedule.retry_after(1, Some(50_000)), RetryAfter::TooLate { after: 150_000 });
    assert_eq!(schedule.retry_after(1, None), RetryAfter::Room { after: 150_000 });
}

#[test]
fn caller_without_time_takes_no_retry_time() {
    let mut limiter = exhausted();
    let first = refused(&mut limiter, Demand::prioritised(1, 1, NO_DEADLINE));
    for _ in 0..50 {
        let schedule = refused(&mut limiter, Demand::prioritised(1, 1, 1_000));
        assert!(matches!(schedule.retry_after(0, Some(1_000)), RetryAfter::TooLate { .. }));
    }
    let next = refused(&mut limiter, Demand::prioritised(1, 1, NO_DEADLINE));
    assert!(next.after <= first.after + 3 * next.step, "{first:?}, {next:?}");
}

#[test]
fn unused_retry_times_expire() {
    let mut limiter = exhausted();
    let last = refused(&mut limiter, Demand::prioritised(8, 1, NO_DEADLINE)).retry_after(7, None).delay();
    let Grant::Granted { count, .. } =
        claim(&mut limiter, Demand::prioritised(1, 1, NO_DEADLINE), last + 10_000)
    else {
        panic!()
    };
    assert_eq!(count, 1);
}

#[test]
fn urgent_caller_is_not_delayed_by_other_retries() {
    let mut limiter = exhausted();
    refused(&mut limiter, Demand::prioritised(20, 1, NO_DEADLINE));
    let schedule = refused(&mut limiter, Demand::prioritised(1, 0, NO_DEADLINE));
    assert!(schedule.after <= 200_000, "{schedule:?}");
}

const SCHEDULE: RetrySchedule = RetrySchedule { after: 60_000, step: 20_000, reserved: true };

fn urgency(priority: u8) -> Option<Urgency> {
    Some(Urgency { priority, remaining: SECOND })
}

#[test]
fn refusal_is_cached_until_a_retry_is_due() {
    let acme = Name::from("acme");
    let mut cache = RefusalCache::default();
    assert_eq!(cache.lookup(&acme, urgency(1), SECOND), None);
    assert_eq!(cache.insert(&acme, urgency(1), SCHEDULE, SECOND), RetryAfter::Room { after: 60_000 });
    // Each earlier caller gets a retry time of its own without a claim to the limiter.
    for n in 1..10 {
        let delay = cache.lookup(&acme, urgency(1), SECOND).map(RetryAfter::delay);
        assert_eq!(delay, Some(60_000 + n * 20_000));
    }
    // Callers that can't wait for their retry time don't delay others.
    let late = Some(Urgency { priority: 1, remaining: 0 });
    assert!(
        (0..10).all(|_| matches!(
            cache.lookup(&acme, late, SECOND),
            Some(RetryAfter::TooLate { after: 260_000 })
        ))
    );
    // One claim is sent to the limiter for each scheduled retry.
    assert_eq!(cache.lookup(&acme, urgency(1), SECOND + 60_000), None);
    cache.insert(&acme, urgency(1), RetrySchedule { after: 500_000, ..SCHEDULE }, SECOND + 60_000);
    assert!(cache.lookup(&acme, urgency(1), SECOND + 60_000).is_some());
    assert_eq!(cache.lookup(&acme, urgency(1), SECOND + 80_000), None);
    assert!(cache.lookup(&acme, urgency(1), SECOND + 81_000).is_some());
    // The cached refusal expires.
    assert_eq!(cache.lookup(&acme, urgency(1), SECOND + 300_000), None);
    assert_eq!(cache.lookup(&acme, urgency(1), 3 * SECOND), None);
}

#[test]
fn refusal_is_not_applied_to_other_callers() {
    let acme = Name::from("acme");
    let mut cache = RefusalCache::default();
    cache.insert(&acme, urgency(1), SCHEDULE, SECOND);
    assert_eq!(cache.lookup(&acme, urgency(0), SECOND), None);
    assert_eq!(cache.lookup(&acme, urgency(2), SECOND), None);
    assert_eq!(cache.lookup(&Name::from("beta"), urgency(1), SECOND), None);
    assert!(cache.lookup(&acme, urgency(1), SECOND).is_some());
}

#[test]
fn unprioritised_callers_get_the_same_retry_time() {
    let acme = Name::from("acme");
    let mut cache = RefusalCache::default();
    let retry = cache.insert(&acme, None, RetrySchedule::at(1_000), SECOND);
    assert_eq!(retry, RetryAfter::Room { after: 1_000 });
    let lookup =
        |cache: &mut RefusalCache, later| cache.lookup(&acme, None, SECOND + later).map(RetryAfter::delay);
    assert_eq!(lookup(&mut cache, 0), Some(5_000));
    assert_eq!(lookup(&mut cache, 4_000), Some(1_000));
    assert_eq!(lookup(&mut cache, 5_000), None);
    cache.insert(&acme, None, RetrySchedule::at(SECOND), SECOND);
    assert_eq!(lookup(&mut cache, 0), Some(200_000));
}

#[test]
fn partial_grant_goes_to_the_first_operations() {
    let grant = Grant::Granted { count: 2, after: 7, rest: SCHEDULE };
    assert!((0..2).all(|n| matches!(grant.nth(n), Grant::Granted { .. })));
    assert_eq!(grant.nth(2), Grant::Refused(SCHEDULE));
    assert_eq!(grant.nth(4), Grant::Refused(RetrySchedule { after: 100_000, ..SCHEDULE }));
    assert_eq!(Grant::Refused(SCHEDULE).nth(1), Grant::Refused(RetrySchedule { after: 80_000, ..SCHEDULE }));
}

/// A configuration may set any limit, and a message may contain any value. Neither may overflow a retry time.
#[test]
fn extreme_values_do_not_overflow() {
    let mut limiter = exhausted();
    let none = Limits { rate: 1e-300, burst: 0.0, margin: 0.0 };
    let last = Demand::prioritised(u32::MAX, 1, u64::MAX);
    for _ in 0..3 {
        let Grant::Refused(schedule) = limiter.claim(&Name::from("acme"), none, last, 2 * SECOND) else {
            panic!()
        };
        assert!(matches!(schedule.retry_after(u32::MAX, Some(SECOND)), RetryAfter::TooLate { .. }));
        let mut cache = RefusalCache::default();
        let extreme = RetrySchedule { after: u64::MAX, step: u64::MAX, reserved: true };
        cache.insert(&Name::from("acme"), urgency(1), extreme, SECOND);
        cache.lookup(&Name::from("acme"), urgency(1), SECOND);
    }
}

/// A caller that can't wait for its retry time leaves the time to the next one, which must not get an earlier one.
#[test]
fn unused_retry_time_is_given_to_the_next_caller() {
    let acme = Name::from("acme");
    let mut cache = RefusalCache::default();
    let late = RetrySchedule { after: 5 * SECOND, ..SCHEDULE };
    assert_eq!(cache.insert(&acme, urgency(1), late, SECOND), RetryAfter::TooLate { after: 5 * SECOND });
    assert!(matches!(cache.lookup(&acme, urgency(1), SECOND), Some(RetryAfter::TooLate { .. })));
    // A caller that can wait gets the unused retry time.
    let patient = Some(Urgency { priority: 1, remaining: NO_DEADLINE });
    assert_eq!(cache.lookup(&acme, patient, SECOND), Some(RetryAfter::Room { after: 5 * SECOND }));
    assert_eq!(cache.lookup(&acme, patient, SECOND), Some(RetryAfter::Room { after: 5 * SECOND + 20_000 }));
    // The retry time is valid only for this priority, and only as long as the refusal.
    assert_eq!(cache.lookup(&acme, Some(Urgency { priority: 2, remaining: NO_DEADLINE }), SECOND), None);
    let mut cache = RefusalCache::default();
    cache.insert(&acme, urgency(1), late, SECOND);
    assert_eq!(cache.lookup(&acme, urgency(1), SECOND + 200_000), None);
    cache.insert(&acme, urgency(1), SCHEDULE, SECOND + 200_000);
    let delay = cache.lookup(&acme, urgency(1), SECOND + 200_000).map(RetryAfter::delay);
    assert_eq!(delay, Some(80_000));
}
