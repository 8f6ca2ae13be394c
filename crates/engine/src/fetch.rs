//! Fetching of collection updates from other instances, in chunks.

use {
    crate::{
        count::Count,
        instance::{Instance, micros},
        message::{Chunk, FetchRequest, Request, Response},
        peer::Peer,
        ports::Collection,
        update::{Update, UpdateError},
    },
    snafu::Snafu,
    std::{rc::Rc, time::Duration},
    tokio::time::{sleep, timeout},
};

/// Timeout for one chunk, including the wait for an upload slot. The whole update has no timeout: the
/// download continues while chunks keep arriving.
const CHUNK_TIMEOUT: Duration = Duration::from_millis(800);
/// Minimum backoff and its jitter before the first instance is asked again, in milliseconds. The instance to which
/// it redirected is unknown here, is gone, or is still receiving the last chunk; an immediate retry would be
/// redirected to the same instance.
const BACKOFF: (u64, u64) = (50, 50);
/// Maximum size of an update, in bytes. The store limits an object to less, and objects are smaller here than in
/// the store.
const MAX_UPDATE_BYTES: u32 = 16 << 20;

/// Reasons for a failed fetch.
#[derive(Debug, Snafu)]
enum FetchError {
    /// A chunk did not arrive in time.
    #[snafu(display("no answer in time"))]
    Timeout,
    /// The other instance has nothing newer, or the link to it broke.
    #[snafu(display("{response:?}"))]
    Refused {
        /// Response of the other instance.
        response: Response,
    },
    /// The other instance sent a different chunk than requested.
    #[snafu(display("not the requested chunk"))]
    OutOfOrder,
    /// The chunks don't decode to an update.
    #[snafu(display("not an update: {source}"))]
    Undecodable {
        /// Decoding error.
        source: postcard::Error,
    },
    /// The update does not apply to the current collection.
    #[snafu(display("{source}"), context(false))]
    Rejected {
        /// Reason for the rejection.
        source: UpdateError,
    },
}

/// Outcome of a fetch from one instance.
enum FetchOutcome {
    /// The update was applied.
    Done,
    /// Another instance also serves the update; none if no such instance is known.
    Redirect(Option<Rc<Peer>>),
}

/// Fetches a collection from an instance, or from instances to which it redirects, and applies the update. The
/// result is visible in the collection; a failed fetch is retried on the next heartbeat.
pub async fn fetch(inst: &Rc<Instance>, source: &Rc<Peer>, collection: Collection) {
    let started = inst.now();
    let time_limit = micros(inst.bounds.get().apply);
    let mut peer = source.clone();
    let mut whole = false;
    while inst.now().saturating_sub(started) < time_limit {
        inst.counters.increment(Count::Fetches);
        let since = if whole { 0 } else { Update::base_version(inst, collection) };
        let outcome = fetch_from(inst, &peer, collection, since).await;
        let elapsed_ms = (inst.now() - started) / 1_000;
        match outcome {
            Ok(FetchOutcome::Done) => {
                if inst.may_log() {
                    log::info!(peer = peer.name.as_str(), collection:% = collection, since, took_ms = elapsed_ms; "fetched");
                }
                return;
            }
            Ok(FetchOutcome::Redirect(Some(other))) => {
                peer = other;
                continue;
            }
            Ok(FetchOutcome::Redirect(None)) => {}
            Err(e) => {
                inst.counters.increment(Count::FetchesFailed);
                if inst.may_log() {
                    log::info!(peer = peer.name.as_str(), collection:% = collection, since, took_ms = elapsed_ms; "not fetched: {e}");
                }
                match e {
                    FetchError::Rejected { source: UpdateError::StaleBase } => {}
                    FetchError::Rejected { source: UpdateError::DigestMismatch } if !whole => whole = true,
                    _ if peer.name == source.name => return,
                    _ => {}
                }
            }
        }
        peer = source.clone();
        sleep(Duration::from_millis(BACKOFF.0 + inst.random(BACKOFF.1))).await;
    }
}

async fn fetch_from(
    inst: &Rc<Instance>,
    peer: &Peer,
    collection: Collection,
    since: u64,
) -> Result<FetchOutcome, FetchError> {
    let mut bytes = Vec::new();
    let mut next = None;
    loop {
        let request =
            Request::Fetch(FetchRequest { collection, from: inst.settings.name.clone(), since, next });
        let response =
            timeout(CHUNK_TIMEOUT, peer.request(inst, request)).await.map_err(|_| FetchError::Timeout)?;
        let chunk = match response {
            Response::Chunk(chunk) => chunk,
            Response::Elsewhere(name) => return Ok(FetchOutcome::Redirect(name.and_then(|n| inst.peer(&n)))),
            response => return Err(FetchError::Refused { response }),
        };
        if !is_next(&chunk, bytes.len(), next) {
            return Err(FetchError::OutOfOrder);
        }
        bytes.extend_from_slice(&chunk.bytes);
        if bytes.len() >= chunk.total as usize {
            break;
        }
        next = Some((chunk.version, bytes.len() as u32));
    }
    let update: Update = postcard::from_bytes(&bytes).map_err(|source| FetchError::Undecodable { source })?;
    update.apply(inst)?;
    Ok(FetchOutcome::Done)
}

/// Returns true if a chunk directly follows the received bytes.
fn is_next(chunk: &Chunk, received: usize, next: Option<(u64, u32)>) -> bool {
    let has_valid_size = !chunk.bytes.is_empty() && chunk.total <= MAX_UPDATE_BYTES;
    has_valid_size && chunk.offset as usize == received && next.is_none_or(|n| n.0 == chunk.version)
}
