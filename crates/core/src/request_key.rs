//! Request keys: idempotency keys of requests that must run at most once.
//!
//! A request key is a UUID of version 7, which contains its time of issue. The ledger table stores used keys for a
//! limited time. An older key is rejected, because its entry may have been deleted.

use {
    snafu::Snafu,
    uuid::{Uuid, Version},
};

/// Name of the ledger table in each database.
pub const TABLE: &str = "pondtrack_ledger";
/// Time after its issue during which a key is accepted, in milliseconds.
pub const WINDOW_MS: u64 = 24 * 3_600_000;
/// Maximum time by which a key's time of issue may be ahead of this instance's clock, in milliseconds.
const MAX_SKEW_MS: u64 = 300_000;
/// Time after its issue during which an entry is stored, in milliseconds. It exceeds [`WINDOW_MS`] to allow for clock
/// skew.
pub const RETENTION_MS: u64 = WINDOW_MS + 2 * MAX_SKEW_MS;

/// Reason for rejecting a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum KeyError {
    /// The key is not a UUID of version 7.
    #[snafu(display("a request key is a UUID of version 7"))]
    Malformed,
    /// The key is older than [`WINDOW_MS`].
    #[snafu(display("the request key was issued {age_ms} ms ago; at most {WINDOW_MS} ms are accepted"))]
    Expired {
        /// Age of the key, in milliseconds.
        age_ms: u64,
    },
    /// The time of issue is too far in the future.
    #[snafu(display("the request key is {ahead_ms} ms ahead of this instance's clock"))]
    InFuture {
        /// Time by which the key is ahead, in milliseconds.
        ahead_ms: u64,
    },
}

/// Validates a key at the wall-clock time `now_ms`, and returns its time of issue. Both are milliseconds since the Unix
/// epoch.
///
/// # Errors
///
/// Returns an error if the key is malformed, expired or too far in the future.
pub fn validate(key: &str, now_ms: u64) -> Result<u64, KeyError> {
    let id = Uuid::try_parse(key).map_err(|_| KeyError::Malformed)?;
    if id.get_version() != Some(Version::SortRand) {
        return Err(KeyError::Malformed);
    }
    let (seconds, nanos) = id.get_timestamp().ok_or(KeyError::Malformed)?.to_unix();
    let issued = seconds * 1_000 + u64::from(nanos) / 1_000_000;
    match now_ms.saturating_sub(issued) {
        age_ms if age_ms > WINDOW_MS => Err(KeyError::Expired { age_ms }),
        _ if issued > now_ms + MAX_SKEW_MS => Err(KeyError::InFuture { ahead_ms: issued - now_ms }),
        _ => Ok(issued),
    }
}

/// Returns a hash of a request, which reveals the use of its key for another request.
pub fn fingerprint(frames: &[u8]) -> String {
    format!("{:016x}", xxhash_rust::xxh3::xxh3_64(frames))
}

/// Returns the statement that creates the ledger table.
pub fn create_table_sql() -> String {
    format!(
        "CREATE TABLE IF NOT EXISTS {TABLE} (key TEXT PRIMARY KEY, issued BIGINT NOT NULL, \
         request TEXT NOT NULL, tag TEXT)"
    )
}

/// Returns the statement that inserts a key. The statement fails with a unique violation if the key is present.
///
/// The values need no quoting: they are a validated key, a number and a hash.
pub fn insert_sql(key: &str, issued: u64, request: &str) -> String {
    format!("INSERT INTO {TABLE} (key, issued, request) VALUES ('{key}', {issued}, '{request}')")
}

/// Returns the statement that records the command tag with which the request completed.
pub fn record_outcome_sql(key: &str, tag: &str) -> String {
    let tag = tag.replace('\'', "''");
    format!("UPDATE {TABLE} SET tag = '{tag}' WHERE key = '{key}'")
}

/// Returns the query for the recorded outcome of a key.
pub fn select_sql(key: &str) -> String {
    format!("SELECT request, tag FROM {TABLE} WHERE key = '{key}'")
}

/// Returns the statement that deletes expired entries at the wall-clock time `now_ms`.
pub fn delete_expired_sql(now_ms: u64) -> String {
    format!("DELETE FROM {TABLE} WHERE issued < {}", now_ms.saturating_sub(RETENTION_MS))
}
