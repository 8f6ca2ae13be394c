//! When callers that were refused may come back.

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
/// Long enough for any caller.
const LONG: u64 = 60 * SECOND;

/// A limiter whose organisation has used all.
fn used_up() -> Limiter {
    let mut it = Limiter::new(1);
    let stamp = Some(it.timestamp(SECOND));
    let mut slots = SlotSet::default();
    (0..SLOTS).for_each(|slot| slots.insert(slot));
    it.accept(&Name::from("n0"), 1, slots, 1.0, stamp, SECOND);
    claim(&mut it, Demand::unprioritised(100), 0);
    it
}

fn claim(it: &mut Limiter, demand: Demand, later: u64) -> Grant {
    it.claim(&Name::from("acme"), LIMITS, demand, SECOND + later)
}

fn refused(it: &mut Limiter, demand: Demand) -> RetrySchedule {
    match claim(it, demand, 0) {
        Grant::Refused(places) => places,
        Grant::Granted { .. } => panic!("granted"),
    }
}

fn times(places: RetrySchedule, of: Range<u32>) -> Vec<u64> {
    of.map(|n| places.retry_after(n, None).delay()).collect()
}

#[test]
fn whoever_is_refused_has_a_place_of_its_own() {
    let mut it = used_up();
    let mut told = Vec::new();
    for _ in 0..5 {
        told.extend(times(refused(&mut it, Demand::prioritised(3, 1, LONG)), 0..3));
    }
    // Tokens come in every 100 ms, and nobody is told to come sooner than the one before it can be served.
    assert!(told.windows(2).all(|it| it[0] + 100_000 <= it[1]), "{told:?}");
    assert!(told[0] >= 10_000 && told[14] <= 3 * SECOND, "{told:?}");
}

#[test]
fn a_place_after_the_callers_time_is_said_to_be_too_late() {
    let places = RetrySchedule { after: 50_000, step: 100_000, reserved: false };
    assert_eq!(places.retry_after(0, Some(50_000)), RetryAfter::Room { after: 50_000 });
    assert_eq!(places.retry_after(1, Some(50_000)), RetryAfter::TooLate { after: 150_000 });
    assert_eq!(places.retry_after(1, None), RetryAfter::Room { after: 150_000 });
}

#[test]
fn who_comes_too_late_takes_no_place() {
    let mut it = used_up();
    let first = refused(&mut it, Demand::prioritised(1, 1, LONG));
    for _ in 0..50 {
        let places = refused(&mut it, Demand::prioritised(1, 1, 1_000));
        assert!(matches!(places.retry_after(0, Some(1_000)), RetryAfter::TooLate { .. }));
    }
    let next = refused(&mut it, Demand::prioritised(1, 1, LONG));
    assert!(next.after <= first.after + 3 * next.step, "{first:?}, {next:?}");
}

#[test]
fn places_that_nobody_takes_are_forgotten() {
    let mut it = used_up();
    let last = refused(&mut it, Demand::prioritised(8, 1, LONG)).retry_after(7, None).delay();
    let Grant::Granted { count, .. } = claim(&mut it, Demand::prioritised(1, 1, LONG), last + 10_000) else {
        panic!()
    };
    assert_eq!(count, 1);
}

#[test]
fn a_more_urgent_caller_doesn_t_come_after_the_places_of_others() {
    let mut it = used_up();
    refused(&mut it, Demand::prioritised(20, 1, LONG));
    let places = refused(&mut it, Demand::prioritised(1, 0, LONG));
    assert!(places.after <= 200_000, "{places:?}");
}

const PLACE: RetrySchedule = RetrySchedule { after: 60_000, step: 20_000, reserved: true };

fn urgency(priority: u8) -> Option<Urgency> {
    Some(Urgency { priority, remaining: SECOND })
}

#[test]
fn an_instance_answers_by_itself_until_a_place_is_due() {
    let acme = Name::from("acme");
    let mut it = RefusalCache::default();
    assert_eq!(it.lookup(&acme, urgency(1), SECOND), None);
    assert_eq!(it.insert(&acme, urgency(1), PLACE, SECOND), RetryAfter::Room { after: 60_000 });
    // Others come before: each has a place of its own, and the limiter isn't asked.
    for n in 1..10 {
        let told = it.lookup(&acme, urgency(1), SECOND).map(RetryAfter::delay);
        assert_eq!(told, Some(60_000 + n * 20_000));
    }
    // Nobody has to wait for those who were told that it is too late.
    let late = Some(Urgency { priority: 1, remaining: 0 });
    assert!(
        (0..10)
            .all(|_| matches!(it.lookup(&acme, late, SECOND), Some(RetryAfter::TooLate { after: 260_000 })))
    );
    // The limiter is asked once for each place.
    assert_eq!(it.lookup(&acme, urgency(1), SECOND + 60_000), None);
    it.insert(&acme, urgency(1), RetrySchedule { after: 500_000, ..PLACE }, SECOND + 60_000);
    assert!(it.lookup(&acme, urgency(1), SECOND + 60_000).is_some());
    assert_eq!(it.lookup(&acme, urgency(1), SECOND + 80_000), None);
    assert!(it.lookup(&acme, urgency(1), SECOND + 81_000).is_some());
    // A refusal isn't believed for long.
    assert_eq!(it.lookup(&acme, urgency(1), SECOND + 300_000), None);
    assert_eq!(it.lookup(&acme, urgency(1), 3 * SECOND), None);
}

#[test]
fn nobody_is_refused_by_what_others_were_told() {
    let acme = Name::from("acme");
    let mut it = RefusalCache::default();
    it.insert(&acme, urgency(1), PLACE, SECOND);
    assert_eq!(it.lookup(&acme, urgency(0), SECOND), None);
    assert_eq!(it.lookup(&acme, urgency(2), SECOND), None);
    assert_eq!(it.lookup(&Name::from("beta"), urgency(1), SECOND), None);
    assert!(it.lookup(&acme, urgency(1), SECOND).is_some());
}

#[test]
fn operations_that_aren_t_told_apart_are_all_told_the_same_moment() {
    let acme = Name::from("acme");
    let mut it = RefusalCache::default();
    let told = it.insert(&acme, None, RetrySchedule::at(1_000), SECOND);
    assert_eq!(told, RetryAfter::Room { after: 1_000 });
    let known = |it: &mut RefusalCache, later| it.lookup(&acme, None, SECOND + later).map(RetryAfter::delay);
    assert_eq!(known(&mut it, 0), Some(5_000));
    assert_eq!(known(&mut it, 4_000), Some(1_000));
    assert_eq!(known(&mut it, 5_000), None);
    it.insert(&acme, None, RetrySchedule::at(SECOND), SECOND);
    assert_eq!(known(&mut it, 0), Some(200_000));
}

#[test]
fn what_is_granted_for_several_goes_to_the_first() {
    let grant = Grant::Granted { count: 2, after: 7, rest: PLACE };
    assert!((0..2).all(|n| matches!(grant.nth(n), Grant::Granted { .. })));
    assert_eq!(grant.nth(2), Grant::Refused(PLACE));
    assert_eq!(grant.nth(4), Grant::Refused(RetrySchedule { after: 100_000, ..PLACE }));
    assert_eq!(Grant::Refused(PLACE).nth(1), Grant::Refused(RetrySchedule { after: 80_000, ..PLACE }));
}

/// A limit may be as low as a configuration says, and a message may say anything.
#[test]
fn no_time_is_too_long_to_be_told() {
    let mut it = used_up();
    let none = Limits { rate: 1e-300, burst: 0.0, margin: 0.0 };
    let last = Demand::prioritised(u32::MAX, 1, u64::MAX);
    for _ in 0..3 {
        let Grant::Refused(places) = it.claim(&Name::from("acme"), none, last, 2 * SECOND) else { panic!() };
        assert!(matches!(places.retry_after(u32::MAX, Some(SECOND)), RetryAfter::TooLate { .. }));
        let mut known = RefusalCache::default();
        let mad = RetrySchedule { after: u64::MAX, step: u64::MAX, reserved: true };
        known.insert(&Name::from("acme"), urgency(1), mad, SECOND);
        known.lookup(&Name::from("acme"), urgency(1), SECOND);
    }
}

/// Whoever comes after one that came too late is told no sooner place than there is.
#[test]
fn a_refusal_that_comes_too_late_is_known_to_the_next() {
    let acme = Name::from("acme");
    let mut it = RefusalCache::default();
    let late = RetrySchedule { after: 5 * SECOND, ..PLACE };
    assert_eq!(it.insert(&acme, urgency(1), late, SECOND), RetryAfter::TooLate { after: 5 * SECOND });
    assert!(matches!(it.lookup(&acme, urgency(1), SECOND), Some(RetryAfter::TooLate { .. })));
    // The place is still there, for one that can wait for it.
    let patient = Some(Urgency { priority: 1, remaining: LONG });
    assert_eq!(it.lookup(&acme, patient, SECOND), Some(RetryAfter::Room { after: 5 * SECOND }));
    assert_eq!(it.lookup(&acme, patient, SECOND), Some(RetryAfter::Room { after: 5 * SECOND + 20_000 }));
    // It holds as long as the refusal does, and no longer.
    assert_eq!(it.lookup(&acme, Some(Urgency { priority: 2, remaining: LONG }), SECOND), None);
    let mut it = RefusalCache::default();
    it.insert(&acme, urgency(1), late, SECOND);
    assert_eq!(it.lookup(&acme, urgency(1), SECOND + 200_000), None);
    it.insert(&acme, urgency(1), PLACE, SECOND + 200_000);
    let told = it.lookup(&acme, urgency(1), SECOND + 200_000).map(RetryAfter::delay);
    assert_eq!(told, Some(80_000));
}
