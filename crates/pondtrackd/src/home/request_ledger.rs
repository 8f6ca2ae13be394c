//! Ledger of request keys, so that a request with a key takes effect at most once.
//!
//! The transaction that executes a request also inserts its key into the ledger. When a request is executed again,
//! because the caller repeats it or pondtrack retries it, the insertion fails with a unique violation. The second
//! transaction is rolled back, and the caller gets the outcome that the ledger holds for the key. A caller's own
//! transaction is rejected instead if its key is in the ledger.

use {
    super::exec::{BatchError, BatchResult},
    crate::node::epoch_ms,
    bytes::BytesMut,
    pondtrack_core::request_key,
    pondtrack_edge::{
        answer, batch,
        frame::{Frames, columns},
        upstream::{self, Answer},
    },
    pondtrack_proto::{Name, Outcome, TxnState},
};

/// SQLSTATE of a unique violation.
pub const UNIQUE_VIOLATION: &str = "23505";
/// SQLSTATE of a missing table.
pub const UNDEFINED_TABLE: &str = "42P01";
/// SQLSTATE of the notice with a recorded outcome.
pub const REPEATED_NOTICE: &str = "PT005";

/// Record of a key in the ledger.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LedgerRecord {
    /// Fingerprint of the request.
    pub fingerprint: String,
    /// Command tag of the outcome; empty if none is recorded.
    pub tag: String,
}

/// Validates a request's key and returns its time of issue, in milliseconds since the Unix epoch.
///
/// # Errors
///
/// A final outcome with the reason if the key is not accepted.
pub fn validate(key: &Name) -> Result<u64, BatchError> {
    request_key::validate(key, epoch_ms())
        .map_err(|e| BatchError::Final(Outcome::Key { reason: e.to_string().into() }))
}

/// Appends the queries that precede a keyed batch; returns the number of their answers.
pub fn put_begin(key: &Name, issued: u64, frames: &[u8], out: &mut BytesMut) -> usize {
    upstream::put_query("BEGIN", out);
    upstream::put_query(&request_key::insert_sql(key, issued, &request_key::fingerprint(frames)), out);
    2
}

/// Appends the queries that record the outcome and commit; returns the number of their answers.
pub fn put_commit(key: &Name, tag: &str, out: &mut BytesMut) -> usize {
    upstream::put_query(&request_key::record_outcome_sql(key, tag), out);
    upstream::put_query("COMMIT", out);
    2
}

/// Returns the last command tag of an answer; empty if there is none.
pub fn command_tag(answer: &Answer) -> String {
    let last = Frames::new(&answer.frames).filter(|(tag, _)| *tag == b'C').last();
    let text = last.and_then(|(_, range)| {
        let body = &answer.frames[range.start + 5..range.end.saturating_sub(1)];
        std::str::from_utf8(body).ok().map(str::to_owned)
    });
    text.unwrap_or_default()
}

/// Parses the answer to [`request_key::select_sql`]; returns none if the ledger doesn't hold the key.
pub fn parse_record(answer: &Answer) -> Option<LedgerRecord> {
    let (_, range) = Frames::new(&answer.frames).find(|(tag, _)| *tag == b'D')?;
    let cells = columns(&answer.frames[range]);
    let text = |n: usize| cells.get(n)?.as_ref().map(|c| String::from_utf8_lossy(c).into_owned());
    Some(LedgerRecord { fingerprint: text(0)?, tag: text(1).unwrap_or_default() })
}

/// Returns the answer to a repeated request, in the form that its messages require.
pub fn replay_answer(frames: &[u8], record: &LedgerRecord) -> Vec<u8> {
    let mut out = BytesMut::new();
    answer::put_notice(REPEATED_NOTICE, "this request ran before; its recorded outcome follows", &mut out);
    batch::put_local_response(frames, &record.tag, None, &mut out);
    answer::put_ready(TxnState::Idle, &mut out);
    out.to_vec()
}

/// Returns the recorded outcome for a repeated request.
///
/// # Errors
///
/// A final outcome if the record belongs to another request.
pub fn replay(frames: &[u8], record: &LedgerRecord) -> Result<BatchResult, BatchError> {
    if record.fingerprint != request_key::fingerprint(frames) {
        let reason = "the request key was used for another request".into();
        return Err(BatchError::Final(Outcome::Key { reason }));
    }
    Ok(BatchResult::repeated(replay_answer(frames, record)))
}
