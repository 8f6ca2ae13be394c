//! Calls of an idle fleet to the store, which must not grow with the fleet.

use {pondtrack_core::intervals, rstest::rstest, std::time::Duration};

/// Time between two polls of all entries.
const POLL: Duration = Duration::from_secs(3);

#[rstest]
#[case::small(9)]
#[case::medium(58)]
#[case::large(195)]
#[case::very_large(300)]
#[case::maximum(760)]
fn an_idle_fleet_of_any_size_writes_at_most_one_heartbeat_per_second(#[case] instances: usize) {
    let rate = instances as f64 / intervals::heartbeat_interval(instances).as_secs_f64();
    assert!(rate <= 1.0, "{rate} heartbeats per second");
}

#[rstest]
#[case::small(9)]
#[case::medium(58)]
#[case::large(195)]
#[case::very_large(300)]
#[case::maximum(760)]
fn an_entry_does_not_expire_after_one_missed_heartbeat(#[case] instances: usize) {
    let heartbeat = intervals::heartbeat_interval(instances);
    let expiry = POLL * intervals::expiry_polls(instances, POLL) as u32;
    assert!(expiry >= heartbeat * 2, "{expiry:?} for {heartbeat:?}");
    assert!(expiry <= heartbeat * 3, "{expiry:?} for {heartbeat:?}");
}

#[test]
fn an_instance_that_underestimates_the_fleet_writes_more_often_than_others_expect() {
    for n in 1..760 {
        assert!(intervals::heartbeat_interval(n) <= intervals::heartbeat_interval(n + 1));
        assert!(intervals::expiry_polls(n, POLL) <= intervals::expiry_polls(n + 1, POLL));
    }
}

#[rstest]
#[case::default(3_000, None, 1_500)]
#[case::longer_apply_time(5_000, None, 2_500)]
#[case::strict_revocation(5_000, Some(5_000), 1_500)]
fn a_watch_ends_while_a_change_can_still_be_applied_in_time(
    #[case] apply_ms: u64,
    #[case] revoke_ms: Option<u64>,
    #[case] watch_ms: u64,
) {
    let timeout =
        intervals::watch_timeout(Duration::from_millis(apply_ms), revoke_ms.map(Duration::from_millis));
    assert_eq!(timeout, Duration::from_millis(watch_ms));
}
