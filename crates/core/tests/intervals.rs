//! A quiet fleet: its calls of the store stay as many when it grows.

use {pondtrack_core::intervals, rstest::rstest, std::time::Duration};

/// Between two looks at all entries.
const LOOK: Duration = Duration::from_secs(3);

#[rstest]
#[case::small(9)]
#[case::medium(58)]
#[case::large(195)]
#[case::sweep(300)]
#[case::aim(760)]
fn a_quiet_fleet_of_any_size_writes_one_heartbeat_a_second_at_most(#[case] instances: usize) {
    let a_second = instances as f64 / intervals::heartbeat_interval(instances).as_secs_f64();
    assert!(a_second <= 1.0, "{a_second} heartbeats a second");
}

#[rstest]
#[case::small(9)]
#[case::medium(58)]
#[case::large(195)]
#[case::sweep(300)]
#[case::aim(760)]
fn an_instance_that_misses_one_heartbeat_still_counts(#[case] instances: usize) {
    let heartbeat = intervals::heartbeat_interval(instances);
    let lapse = LOOK * intervals::expiry_polls(instances, LOOK) as u32;
    assert!(lapse >= heartbeat * 2, "{lapse:?} for {heartbeat:?}");
    assert!(lapse <= heartbeat * 3, "{lapse:?} for {heartbeat:?}");
}

#[test]
fn one_that_believes_in_a_smaller_fleet_writes_more_often_than_others_expect() {
    for n in 1..760 {
        assert!(intervals::heartbeat_interval(n) <= intervals::heartbeat_interval(n + 1));
        assert!(intervals::expiry_polls(n, LOOK) <= intervals::expiry_polls(n + 1, LOOK));
    }
}

#[rstest]
#[case::as_ever(3_000, None, 1_500)]
#[case::more_time(5_000, None, 2_500)]
#[case::keys_that_need_the_stores_word(5_000, Some(5_000), 1_500)]
fn a_watch_ends_while_a_change_can_still_be_in_force_in_time(
    #[case] apply_ms: u64,
    #[case] revoke_ms: Option<u64>,
    #[case] watch_ms: u64,
) {
    let got = intervals::watch_timeout(Duration::from_millis(apply_ms), revoke_ms.map(Duration::from_millis));
    assert_eq!(got, Duration::from_millis(watch_ms));
}
