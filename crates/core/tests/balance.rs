//! What servers cost, and how far replicas are behind.

use pondtrack_core::balance::{Average, LagEstimate, LatencyEstimate, ServerLoad};

const MS: u64 = 1_000;

#[test]
fn a_replica_that_lacked_a_position_is_not_asked_again_for_one_as_young() {
    let mut it = LagEstimate::default();
    it.observe_reported(0, 0);
    it.observe_missing(900 * MS, 0);
    assert!(it.get(0) > 900 * MS);
    // Having an older one doesn't show that it has caught up.
    for _ in 0..20 {
        it.observe_reached(5_000 * MS, 0);
    }
    assert!(it.get(0) > 900 * MS, "{}", it.get(0));
}

#[test]
fn a_replica_that_has_caught_up_is_found_out() {
    let mut it = LagEstimate::default();
    it.observe_missing(900 * MS, 0);
    for _ in 0..40 {
        it.observe_reached(50 * MS, 0);
    }
    assert!(it.get(0) < 100 * MS, "{}", it.get(0));
}

#[test]
fn a_replica_that_nobody_asks_is_tried_again_after_a_while() {
    let mut it = LagEstimate::default();
    // Found by the grown waterworks' day of high in_flight: replicas that had been behind by 20 s were passed over
    // for 20 s more by every instance that doesn't ask them itself.
    it.observe_reported(20_000 * MS, 0);
    it.observe_missing(2_400 * MS, 0);
    assert!(it.get(100 * MS) > 2_400 * MS, "{}", it.get(100 * MS));
    assert!(it.get(3_000 * MS) < 600 * MS, "{}", it.get(3_000 * MS));
    // One that is still behind is passed over again.
    it.observe_missing(2_400 * MS, 3_000 * MS);
    assert!(it.get(3_000 * MS) > 2_400 * MS);
}

#[test]
fn a_slow_server_is_tried_again_after_a_while() {
    let mut it = LatencyEstimate::default();
    it.observe(400 * MS, 0);
    assert!(it.get(100 * MS) > 300.0 * MS as f64);
    assert!(it.get(10_000 * MS) < 10.0 * MS as f64);
}

#[test]
fn near_and_idle_replicas_come_first() {
    let it = ServerLoad { expected_latency: 0.0, in_flight: 0, is_remote: false, is_primary: false };
    assert!(it.cost() < ServerLoad { is_remote: true, ..it }.cost());
    assert!(it.cost() < ServerLoad { in_flight: 1, ..it }.cost());
    assert!(it.cost() < ServerLoad { is_primary: true, ..it }.cost());
}

#[test]
fn reads_stay_in_their_zone_until_its_server_has_a_queue() {
    let near =
        ServerLoad { expected_latency: 14.0 * MS as f64, in_flight: 0, is_remote: false, is_primary: true };
    let far = ServerLoad { is_remote: true, is_primary: false, ..near };
    assert!(near.cost() < far.cost(), "an idle primary of the own zone");
    assert!(ServerLoad { in_flight: 1, ..near }.cost() < far.cost(), "with one statement more");
    assert!(ServerLoad { in_flight: 2, ..near }.cost() > far.cost(), "with two more");
    assert!(
        ServerLoad { expected_latency: 60.0 * MS as f64, ..near }.cost() > far.cost(),
        "with a queue of others"
    );
    assert!(
        ServerLoad { is_primary: false, in_flight: 2, ..near }.cost() < far.cost(),
        "a replica takes more"
    );
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
