//! Requests that run once at most.
//!
//! The key goes into the ledger in the same transaction as the work. Whoever comes second, be it a
//! repeat or a retry of ours, meets a unique violation and gets the recorded outcome.

use {
    super::exec::{Fail, Ran},
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
pub const DUPLICATE: &str = "23505";
/// SQLSTATE of a missing table.
pub const NO_TABLE: &str = "42P01";
/// SQLSTATE of the notice with a recorded outcome.
pub const REPEATED: &str = "PT005";

/// What the ledger holds of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Recorded {
    /// The fingerprint of the request.
    pub request: String,
    /// How it ended.
    pub tag: String,
}

/// Checks a request's key; hands back its time of issue.
pub fn check(key: &Name) -> Result<u64, Fail> {
    request_key::validate(key, epoch_ms())
        .map_err(|e| Fail::Outcome(Outcome::Key { reason: e.to_string().into() }))
}

/// The queries around a keyed batch: before it, with the number of their answers.
pub fn before(key: &Name, issued: u64, frames: &[u8], out: &mut BytesMut) -> usize {
    upstream::put_query("BEGIN", out);
    upstream::put_query(&request_key::insert_sql(key, issued, &request_key::fingerprint(frames)), out);
    2
}

/// The queries that record the outcome and make it last.
pub fn after(key: &Name, tag: &str, out: &mut BytesMut) -> usize {
    upstream::put_query(&request_key::record_outcome_sql(key, tag), out);
    upstream::put_query("COMMIT", out);
    2
}

/// The command tag of an answer.
pub fn tag(answer: &Answer) -> String {
    let last = Frames::new(&answer.frames).filter(|(tag, _)| *tag == b'C').last();
    let text = last.and_then(|(_, range)| {
        let body = &answer.frames[range.start + 5..range.end.saturating_sub(1)];
        std::str::from_utf8(body).ok().map(str::to_owned)
    });
    text.unwrap_or_default()
}

/// Reads the answer to [`request_key::select_sql`].
pub fn recorded(answer: &Answer) -> Option<Recorded> {
    let (_, range) = Frames::new(&answer.frames).find(|(tag, _)| *tag == b'D')?;
    let cells = columns(&answer.frames[range]);
    let text = |n: usize| cells.get(n)?.as_ref().map(|it| String::from_utf8_lossy(it).into_owned());
    Some(Recorded { request: text(0)?, tag: text(1).unwrap_or_default() })
}

/// The answer to a repeat, shaped as its messages ask for.
pub fn repeat(frames: &[u8], recorded: &Recorded) -> Vec<u8> {
    let mut out = BytesMut::new();
    answer::put_notice(REPEATED, "this request ran before; its recorded outcome follows", &mut out);
    batch::put_local_response(frames, &recorded.tag, None, &mut out);
    answer::put_ready(TxnState::Idle, &mut out);
    out.to_vec()
}

/// Judges a recorded outcome against the request that met it.
pub fn settle(frames: &[u8], found: &Recorded) -> Result<Ran, Fail> {
    if found.request != request_key::fingerprint(frames) {
        let reason = "the request key was used for another request".into();
        return Err(Fail::Outcome(Outcome::Key { reason }));
    }
    Ok(Ran::repeated(repeat(frames, found)))
}
