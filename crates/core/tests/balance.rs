//! What servers cost, and how far replicas are behind.

use pondtrack_core::balance::{Average, Lag, Offer, Pace};

const MS: u64 = 1_000;

#[test]
fn a_replica_that_lacked_a_position_is_not_asked_again_for_one_as_young() {
    let mut it = Lag::default();
    it.stated(0, 0);
    it.lacked(900 * MS, 0);
    assert!(it.get(0) > 900 * MS);
    // Having an older one doesn't show that it has caught up.
    for _ in 0..20 {
        it.reached(5_000 * MS, 0);
    }
    assert!(it.get(0) > 900 * MS, "{}", it.get(0));
}

#[test]
fn a_replica_that_has_caught_up_is_found_out() {
    let mut it = Lag::default();
    it.lacked(900 * MS, 0);
    for _ in 0..40 {
        it.reached(50 * MS, 0);
    }
    assert!(it.get(0) < 100 * MS, "{}", it.get(0));
}

#[test]
fn a_replica_that_nobody_asks_is_tried_again_after_a_while() {
    let mut it = Lag::default();
    // Found by the grown waterworks' day of high load: replicas that had been behind by 20 s were passed over
    // for 20 s more by every instance that doesn't ask them itself.
    it.stated(20_000 * MS, 0);
    it.lacked(2_400 * MS, 0);
    assert!(it.get(100 * MS) > 2_400 * MS, "{}", it.get(100 * MS));
    assert!(it.get(3_000 * MS) < 600 * MS, "{}", it.get(3_000 * MS));
    // One that is still behind is passed over again.
    it.lacked(2_400 * MS, 3_000 * MS);
    assert!(it.get(3_000 * MS) > 2_400 * MS);
}

#[test]
fn a_slow_server_is_tried_again_after_a_while() {
    let mut it = Pace::default();
    it.observe(400 * MS, 0);
    assert!(it.expected(100 * MS) > 300.0 * MS as f64);
    assert!(it.expected(10_000 * MS) < 10.0 * MS as f64);
}

#[test]
fn near_and_idle_replicas_come_first() {
    let it = Offer { expected: 0.0, load: 0, far: false, primary: false };
    assert!(it.cost() < Offer { far: true, ..it }.cost());
    assert!(it.cost() < Offer { load: 1, ..it }.cost());
    assert!(it.cost() < Offer { primary: true, ..it }.cost());
}

#[test]
fn reads_stay_in_their_zone_until_its_server_has_a_queue() {
    let near = Offer { expected: 14.0 * MS as f64, load: 0, far: false, primary: true };
    let far = Offer { far: true, primary: false, ..near };
    assert!(near.cost() < far.cost(), "an idle primary of the own zone");
    assert!(Offer { load: 1, ..near }.cost() < far.cost(), "with one statement more");
    assert!(Offer { load: 2, ..near }.cost() > far.cost(), "with two more");
    assert!(Offer { expected: 60.0 * MS as f64, ..near }.cost() > far.cost(), "with a queue of others");
    assert!(Offer { primary: false, load: 2, ..near }.cost() < far.cost(), "a replica takes more");
}

#[test]
fn an_average_begins_with_its_first_value() {
    let mut it = Average::default();
    it.observe(30 * MS);
    assert_eq!(it.get(), 30 * MS);
}

#[test]
fn averages_tell_work_apart_that_differs_by_a_third() {
    let (mut short, mut long) = (Average::default(), Average::default());
    for n in 0..500 {
        // Single statements differ by more than the two kinds do.
        let part = [40, 60, 80, 100, 220][n % 5];
        short.observe(15 * MS * part / 100);
        long.observe(20 * MS * part / 100);
        assert!(n < 50 || long.get() > short.get(), "after {n}");
    }
    assert!(short.is_settled());
}
