//! How often instances call the platform's store while nothing happens.
//!
//! The store's rates don't grow with the fleet, so neither may the calls of the whole fleet: heartbeats become rarer as
//! there are more instances, and watches as long as the time allows in which a change has to be in force.

use std::time::Duration;

/// Heartbeats of all instances together, a second at most.
const HEARTBEATS: usize = 1;
/// The shortest time between two heartbeats of an instance. Only shares of connections and ways through others depend on
/// them, and a dead instance is passed over long before.
const HEARTBEAT_LEAST: Duration = Duration::from_secs(30);
/// An instance whose entry stands unchanged for this many tenths of the time between two heartbeats doesn't count: two that
/// were missed, and some room.
const LAPSE_TENTHS: u32 = 24;
/// The part of the time in which a change has to be in force after which a watch is begun anew, in percent: a cut that hides
/// its end is found out by then, and the change still has to spread.
const WATCH_PERCENT: u32 = 50;
/// The same for the time in which a key has to lose its force, where it doesn't count without word of the store: another
/// instance has to be able to take the watching over within it.
const REVOKE_PERCENT: u32 = 30;

/// The time between two heartbeats of an instance, where there are so many.
pub fn heartbeat_interval(instances: usize) -> Duration {
    let shared = Duration::from_secs((instances / HEARTBEATS) as u64);
    shared.max(HEARTBEAT_LEAST)
}

/// How many looks, a `pause` apart, may show the same entry of an instance until it doesn't count any longer. Looks are
/// counted, not time: while the store can't be read, nobody can write either.
pub fn expiry_polls(instances: usize, pause: Duration) -> u64 {
    let lapse = heartbeat_interval(instances) * LAPSE_TENTHS / 10;
    (lapse.as_millis() / pause.as_millis().max(1)) as u64
}

/// The longest wait of one watch: `apply` is the time in which a change has to be in force, `revoke` the one in which a key
/// has to lose its force, where that is wanted without word of the store.
pub fn watch_timeout(apply: Duration, revoke: Option<Duration>) -> Duration {
    let most = apply * WATCH_PERCENT / 100;
    match revoke {
        Some(it) => most.min(it * REVOKE_PERCENT / 100),
        None => most,
    }
}
