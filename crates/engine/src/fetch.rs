//! Documents fetched from other instances, part by part.

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

/// Time for a part, with the wait for a slot of the instance that hands it out. There is none for a whole document: it may
/// take as long as its parts come.
const PART_LIMIT: Duration = Duration::from_millis(800);
/// Pause before the first instance is asked again, shortest and its spread in milliseconds. The one that it named is not
/// known here, is gone, or still takes its last part; asked at once it would name the same.
const PAUSE: (u64, u64) = (50, 50);
/// The largest document, in bytes: what the store holds in one object is smaller, and takes less room here than there.
const DOCUMENT_BYTES: u32 = 16 << 20;

/// Why a document was not fetched.
#[derive(Debug, Snafu)]
enum FetchError {
    /// A part didn't come in time.
    #[snafu(display("no answer in time"))]
    Late,
    /// The other instance has nothing to hand out, or its link broke.
    #[snafu(display("{told:?}"))]
    Refused {
        /// What it said.
        told: Response,
    },
    /// It handed out something else than was asked for.
    #[snafu(display("not the part that was asked for"))]
    OutOfOrder,
    /// The parts don't make a document.
    #[snafu(display("not a document: {source}"))]
    Unreadable {
        /// Why not.
        source: postcard::Error,
    },
    /// It doesn't fit what is known here.
    #[snafu(display("{source}"), context(false))]
    Unfit {
        /// Why not.
        source: UpdateError,
    },
}

/// How far a fetch from one instance came.
enum Step {
    /// What it knew is known here.
    Done,
    /// Another instance hands it out as well; none if none is known that does.
    Elsewhere(Option<Rc<Peer>>),
}

/// Fetches a collection from an instance, or from others that it names, and takes it in. Whether it has come is seen from
/// what is known here; what failed is fetched again when the next beat tells of it.
pub async fn fetch(inst: &Rc<Instance>, source: &Rc<Peer>, what: Collection) {
    let begun = inst.now();
    let give_up = micros(inst.bounds.get().apply);
    let mut peer = source.clone();
    let mut whole = false;
    while inst.now().saturating_sub(begun) < give_up {
        inst.counters.increment(Count::Fetches);
        let since = if whole { 0 } else { Update::known(inst, what) };
        let step = fetch_from(inst, &peer, what, since).await;
        let took = (inst.now() - begun) / 1_000;
        match step {
            Ok(Step::Done) => {
                if inst.may_log() {
                    log::info!(peer = peer.name.as_str(), collection:% = what, since, took_ms = took; "fetched");
                }
                return;
            }
            Ok(Step::Elsewhere(Some(it))) => {
                peer = it;
                continue;
            }
            Ok(Step::Elsewhere(None)) => {}
            Err(e) => {
                inst.counters.increment(Count::FetchesFailed);
                if inst.may_log() {
                    log::info!(peer = peer.name.as_str(), collection:% = what, since, took_ms = took; "not fetched: {e}");
                }
                match e {
                    FetchError::Unfit { source: UpdateError::Moved } => {}
                    FetchError::Unfit { source: UpdateError::Differs } if !whole => whole = true,
                    _ if peer.name == source.name => return,
                    _ => {}
                }
            }
        }
        peer = source.clone();
        sleep(Duration::from_millis(PAUSE.0 + inst.random(PAUSE.1))).await;
    }
}

async fn fetch_from(
    inst: &Rc<Instance>,
    peer: &Peer,
    what: Collection,
    since: u64,
) -> Result<Step, FetchError> {
    let mut bytes = Vec::new();
    let mut next = None;
    loop {
        let ask = Request::Fetch(FetchRequest { what, from: inst.settings.name.clone(), since, next });
        let told = timeout(PART_LIMIT, peer.request(inst, ask)).await.map_err(|_| FetchError::Late)?;
        let part = match told {
            Response::Chunk(it) => it,
            Response::Elsewhere(name) => return Ok(Step::Elsewhere(name.and_then(|it| inst.peer(&it)))),
            told => return Err(FetchError::Refused { told }),
        };
        if !follows(&part, bytes.len(), next) {
            return Err(FetchError::OutOfOrder);
        }
        bytes.extend_from_slice(&part.bytes);
        if bytes.len() >= part.total as usize {
            break;
        }
        next = Some((part.at, bytes.len() as u32));
    }
    let document: Update =
        postcard::from_bytes(&bytes).map_err(|source| FetchError::Unreadable { source })?;
    document.apply(inst)?;
    Ok(Step::Done)
}

/// Whether a part is the one after those that are here.
fn follows(part: &Chunk, here: usize, next: Option<(u64, u32)>) -> bool {
    let grows = !part.bytes.is_empty() && part.total <= DOCUMENT_BYTES;
    grows && part.offset as usize == here && next.is_none_or(|it| it.0 == part.at)
}
