//! Keys of requests that run once at most.
//!
//! A key is a UUID of version 7, which carries its time of issue. The ledger keeps keys for a window; a
//! key older than that is refused, as its entry may be gone.

use {
    snafu::Snafu,
    uuid::{Uuid, Version},
};

/// The name of the ledger's table in each database.
pub const TABLE: &str = "pondtrack_ledger";
/// How long after its issue a key is accepted, in milliseconds.
pub const WINDOW_MS: u64 = 24 * 3_600_000;
/// How far a key's time may be ahead of this instance's clock, in milliseconds.
const AHEAD_MS: u64 = 300_000;
/// Entries are kept this much longer than keys are accepted, so that clocks may differ.
pub const RETENTION_MS: u64 = WINDOW_MS + 2 * AHEAD_MS;

/// Why a key is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum KeyError {
    /// It is no UUID of version 7.
    #[snafu(display("a request key is a UUID of version 7"))]
    Malformed,
    /// It is older than the window.
    #[snafu(display("the request key was issued {age_ms} ms ago; at most {WINDOW_MS} ms are accepted"))]
    Expired {
        /// Its age in milliseconds.
        age_ms: u64,
    },
    /// It is from the future.
    #[snafu(display("the request key is {ahead_ms} ms ahead of this instance's clock"))]
    InFuture {
        /// How far, in milliseconds.
        ahead_ms: u64,
    },
}

/// Checks a key at the wall-clock time `now_ms`, in milliseconds since the epoch; hands back its issue.
pub fn validate(key: &str, now_ms: u64) -> Result<u64, KeyError> {
    let id = Uuid::try_parse(key).map_err(|_| KeyError::Malformed)?;
    if id.get_version() != Some(Version::SortRand) {
        return Err(KeyError::Malformed);
    }
    let (seconds, nanos) = id.get_timestamp().ok_or(KeyError::Malformed)?.to_unix();
    let issued = seconds * 1_000 + u64::from(nanos) / 1_000_000;
    match now_ms.saturating_sub(issued) {
        age_ms if age_ms > WINDOW_MS => Err(KeyError::Expired { age_ms }),
        _ if issued > now_ms + AHEAD_MS => Err(KeyError::InFuture { ahead_ms: issued - now_ms }),
        _ => Ok(issued),
    }
}

/// A hash of what a key stands for, by which its use for another statement is noticed.
pub fn fingerprint(frames: &[u8]) -> String {
    format!("{:016x}", xxhash_rust::xxh3::xxh3_64(frames))
}

/// The statement that creates the ledger.
pub fn create_table_sql() -> String {
    format!(
        "CREATE TABLE IF NOT EXISTS {TABLE} (key TEXT PRIMARY KEY, issued BIGINT NOT NULL, \
         request TEXT NOT NULL, tag TEXT)"
    )
}

/// The statement that enters a key; it fails with a unique violation when the key is there.
///
/// All three values are free of quotes: a checked key, a number and a hash.
pub fn insert_sql(key: &str, issued: u64, request: &str) -> String {
    format!("INSERT INTO {TABLE} (key, issued, request) VALUES ('{key}', {issued}, '{request}')")
}

/// The statement that records how the request ended.
pub fn record_outcome_sql(key: &str, tag: &str) -> String {
    let tag = tag.replace('\'', "''");
    format!("UPDATE {TABLE} SET tag = '{tag}' WHERE key = '{key}'")
}

/// The query for a recorded outcome.
pub fn select_sql(key: &str) -> String {
    format!("SELECT request, tag FROM {TABLE} WHERE key = '{key}'")
}

/// The statement that trims the ledger at the wall-clock time `now_ms`.
pub fn delete_expired_sql(now_ms: u64) -> String {
    format!("DELETE FROM {TABLE} WHERE issued < {}", now_ms.saturating_sub(RETENTION_MS))
}
