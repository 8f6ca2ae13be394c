//! Costs of servers, and estimates of replica lag.

use pondtrack_core::balance::{Average, LagEstimate, LatencyEstimate, ServerLoad};

const MS: u64 = 1_000;

#[test]
fn a_missing_position_raises_the_lag_above_its_age() {
    let mut lag = LagEstimate::default();
    lag.observe_reported(0, 0);
    lag.observe_missing(900 * MS, 0);
    assert!(lag.get(0) > 900 * MS);
    // Reaching an older position doesn't show that the replica has caught up.
    for _ in 0..20 {
        lag.observe_reached(5_000 * MS, 0);
    }
    assert!(lag.get(0) > 900 * MS, "{}", lag.get(0));
}

#[test]
fn the_lag_falls_when_a_replica_has_caught_up() {
    let mut lag = LagEstimate::default();
    lag.observe_missing(900 * MS, 0);
    for _ in 0..40 {
        lag.observe_reached(50 * MS, 0);
    }
    assert!(lag.get(0) < 100 * MS, "{}", lag.get(0));
}

#[test]
fn the_lag_of_an_unused_replica_decays() {
    let mut lag = LagEstimate::default();
    // Without an upper bound of the estimate, a replica that had been behind by 20 s is passed over for 20 s more by
    // every instance that doesn't query its status itself.
    lag.observe_reported(20_000 * MS, 0);
    lag.observe_missing(2_400 * MS, 0);
    assert!(lag.get(100 * MS) > 2_400 * MS, "{}", lag.get(100 * MS));
    assert!(lag.get(3_000 * MS) < 600 * MS, "{}", lag.get(3_000 * MS));
    // A replica that is still behind is passed over again.
    lag.observe_missing(2_400 * MS, 3_000 * MS);
    assert!(lag.get(3_000 * MS) > 2_400 * MS);
}

#[test]
fn the_latency_estimate_of_an_unused_server_decays() {
    let mut latency = LatencyEstimate::default();
    latency.observe(400 * MS, 0);
    assert!(latency.get(100 * MS) > 300.0 * MS as f64);
    assert!(latency.get(10_000 * MS) < 10.0 * MS as f64);
}

#[test]
fn idle_replicas_of_the_own_zone_cost_the_least() {
    let load = ServerLoad { expected_latency: 0.0, in_flight: 0, is_remote: false, is_primary: false };
    assert!(load.cost() < ServerLoad { is_remote: true, ..load }.cost());
    assert!(load.cost() < ServerLoad { in_flight: 1, ..load }.cost());
    assert!(load.cost() < ServerLoad { is_primary: true, ..load }.cost());
}

#[test]
fn reads_stay_in_their_zone_until_its_server_has_a_queue() {
    let local =
        ServerLoad { expected_latency: 14.0 * MS as f64, in_flight: 0, is_remote: false, is_primary: true };
    let remote = ServerLoad { is_remote: true, is_primary: false, ..local };
    assert!(local.cost() < remote.cost(), "an idle primary in the own zone");
    assert!(ServerLoad { in_flight: 1, ..local }.cost() < remote.cost(), "one more statement");
    assert!(ServerLoad { in_flight: 2, ..local }.cost() > remote.cost(), "two more statements");
    assert!(
        ServerLoad { expected_latency: 60.0 * MS as f64, ..local }.cost() > remote.cost(),
        "a queue of other instances"
    );
    assert!(
        ServerLoad { is_primary: false, in_flight: 2, ..local }.cost() < remote.cost(),
        "a replica takes more statements"
    );
}

#[test]
fn an_average_starts_at_its_first_observation() {
    let mut average = Average::default();
    average.observe(30 * MS);
    assert_eq!(average.get(), 30 * MS);
}

#[test]
fn averages_distinguish_costs_that_differ_by_a_third() {
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
