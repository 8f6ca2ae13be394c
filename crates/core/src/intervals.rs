//! Intervals of the calls that instances make to the platform's store while nothing happens.
//!
//! The store's rate limits don't grow with the fleet, so the calls of the whole fleet must not either: the heartbeat
//! interval grows with the number of instances, and a watch lasts as long as the time allows within which a change must
//! be in force.

use std::time::Duration;

/// Maximum rate of the heartbeats of all instances together, per second.
const HEARTBEAT_RATE: usize = 1;
/// Minimum interval between two heartbeats of an instance. Only shares of connections and relays through other instances
/// depend on heartbeats; requests avoid a dead instance long before its entry expires.
const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_secs(30);
/// Age at which an unchanged entry of an instance expires, in tenths of the heartbeat interval: two missed heartbeats and
/// a margin.
const EXPIRY_TENTHS: u32 = 24;
/// Timeout of a watch, in percent of the time within which a change must be in force. A connection that is cut without
/// notice is detected by then, and the change still has time to spread.
const WATCH_TIMEOUT_PERCENT: u32 = 50;
/// Timeout of a watch, in percent of the time within which a revoked key must be rejected, if keys aren't accepted without
/// a confirmation by the store. Another instance must be able to take over the watch within that time.
const REVOKE_WATCH_TIMEOUT_PERCENT: u32 = 30;

/// Returns the interval between two heartbeats of an instance in a fleet of this size.
pub fn heartbeat_interval(instances: usize) -> Duration {
    let shared = Duration::from_secs((instances / HEARTBEAT_RATE) as u64);
    shared.max(MIN_HEARTBEAT_INTERVAL)
}

/// Returns the number of polls, `pause` apart, that may show the same entry of an instance before the entry expires.
/// Polls are counted instead of time: while the store can't be read, no instance can write to it either.
pub fn expiry_polls(instances: usize, pause: Duration) -> u64 {
    let expiry = heartbeat_interval(instances) * EXPIRY_TENTHS / 10;
    (expiry.as_millis() / pause.as_millis().max(1)) as u64
}

/// Returns the timeout of one watch. `apply` is the time within which a change must be in force. `revoke` is the time
/// within which a revoked key must be rejected, if keys aren't accepted without a confirmation by the store.
pub fn watch_timeout(apply: Duration, revoke: Option<Duration>) -> Duration {
    let max = apply * WATCH_TIMEOUT_PERCENT / 100;
    match revoke {
        Some(revoke) => max.min(revoke * REVOKE_WATCH_TIMEOUT_PERCENT / 100),
        None => max,
    }
}
