//! Uploads of collection updates to other instances, in chunks and limited to a few at a time.
//!
//! The limit protects the link of the instance and its other uses: heartbeats, responses of the store, connections
//! to servers. Without it, an instance that watched the store sent a copy to each of 71 others over a link of 10
//! Mbit/s at the same time. The link was busy for 3.5 s, and most instances gave up in the meantime and asked
//! again. Now at most [`SLOTS`] chunks of [`CHUNK_BYTES`] are in flight. An instance that asks while all slots are
//! taken waits, and is then redirected to an instance that has already received the update, so that the number of
//! instances that serve the update triples in each round.

use {
    crate::{
        count::Count,
        instance::{Instance, Micros, micros},
        message::{Chunk, FetchRequest, Response},
        ports::Collection,
        update::Update,
    },
    bytes::Bytes,
    pondtrack_proto::Name,
    std::{
        cell::{Cell, RefCell},
        time::Duration,
    },
    tokio::{
        sync::Notify,
        time::{Instant, timeout_at},
    },
};

/// Maximum number of concurrent uploads. With one, the link is idle while the receiver handles a chunk and
/// requests the next. More than two delay all transfers of a round: 72 instances take about 7.8 times as long as
/// one copy with two slots, and 10.6 times with four (calculated from rounds, each as long as its copies).
pub const SLOTS: usize = 2;
/// Size of a chunk: 6.5 ms of a link of 10 Mbit/s, the slowest link of any instance, or 33 ms of a link of 2
/// Mbit/s.
pub const CHUNK_BYTES: usize = 8 << 10;
/// Maximum size of an update that needs no slot: for 71 instances at once, 0.12 s of a link of 10 Mbit/s.
const MAX_UNSLOTTED_BYTES: usize = 2 << 10;
/// Idle timeout of a slot, after which it is free again: a chunk takes 33 ms at most and the network between zones
/// 3 ms.
const SLOT_IDLE_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum time that a request waits for a slot, or for an instance that has the update. Shorter than the timeout
/// of the receiver for a chunk.
const MAX_WAIT: Duration = Duration::from_millis(400);
/// Maximum number of cached encoded updates, each of the newest version: the configuration and the directory, from
/// two base versions each.
const MAX_CACHED: usize = 4;

/// Encoded update.
#[derive(Clone)]
struct EncodedUpdate {
    collection: Collection,
    since: u64,
    version: u64,
    bytes: Bytes,
}

/// Upload in progress.
struct Upload {
    to: Name,
    update: EncodedUpdate,
    last_request: Micros,
}

/// Completed upload to an instance, which now serves the update too.
struct Completed {
    collection: Collection,
    version: u64,
    to: Name,
    /// Availability zone of the instance, if known.
    zone: Option<Name>,
}

/// Uploads in progress, and the instances that have received an update.
#[derive(Default)]
pub struct Uploads {
    cache: RefCell<Vec<EncodedUpdate>>,
    active: RefCell<Vec<Upload>>,
    /// Completed uploads of the newest version of each collection.
    completed: RefCell<Vec<Completed>>,
    /// Number of redirects, by which redirects are spread evenly over the instances.
    redirects: Cell<usize>,
    /// Notified when an upload is complete.
    completion: Notify,
}

/// Answers a request of another instance for a collection.
pub async fn answer(inst: &Instance, request: FetchRequest) -> Response {
    let uploads = &inst.uploads;
    let response = match request.next {
        Some((version, offset)) => uploads.next_chunk(inst, &request, version, offset as usize),
        None => begin(inst, &request).await,
    };
    if let Response::Chunk(chunk) = &response {
        inst.counters.add(Count::SpreadBytes, chunk.bytes.len() as u64);
    }
    response
}

async fn begin(inst: &Instance, request: &FetchRequest) -> Response {
    let uploads = &inst.uploads;
    let deadline = Instant::now() + MAX_WAIT;
    loop {
        let Some(update) = uploads.encoded(inst, request) else {
            return Response::NotSent("nothing newer is known here".to_owned());
        };
        // Registered before the slots are checked, so that no notification is missed.
        let completion = uploads.completion.notified();
        if update.bytes.len() <= MAX_UNSLOTTED_BYTES || uploads.take_slot(inst, request, &update) {
            return Response::Chunk(chunk(&update, 0));
        }
        if let Some(name) = uploads.redirect(inst, request, &update) {
            return Response::Elsewhere(Some(name));
        }
        if timeout_at(deadline, completion).await.is_err() {
            return Response::Elsewhere(None);
        }
    }
}

impl Uploads {
    /// Returns the encoded update for an instance; none if this instance has nothing newer.
    fn encoded(&self, inst: &Instance, request: &FetchRequest) -> Option<EncodedUpdate> {
        let (collection, since) = (request.collection, request.since);
        let version = Update::latest(inst, collection)?;
        let mut cache = self.cache.borrow_mut();
        cache.retain(|u| u.collection != collection || u.version == version);
        let cached =
            cache.iter().find(|u| (u.collection, u.since, u.version) == (collection, since, version));
        if let Some(update) = cached {
            return Some(update.clone());
        }
        let update = Update::build(inst, collection, since)?;
        let bytes =
            postcard::to_stdvec(&update).expect("updates are plain data, which always encodes").into();
        let update = EncodedUpdate { collection, since, version, bytes };
        cache.truncate(MAX_CACHED - 1);
        cache.insert(0, update.clone());
        Some(update)
    }

    /// Takes a slot for an update that needs one. Returns false if none is free.
    fn take_slot(&self, inst: &Instance, request: &FetchRequest, update: &EncodedUpdate) -> bool {
        let now = inst.now();
        let mut active = self.active.borrow_mut();
        active.retain(|old| {
            now.saturating_sub(old.last_request) < micros(SLOT_IDLE_TIMEOUT) && !old.is_for(request)
        });
        if active.len() >= SLOTS {
            return false;
        }
        active.push(Upload { to: request.from.clone(), update: update.clone(), last_request: now });
        drop(active);
        if update.bytes.len() <= CHUNK_BYTES {
            self.finish(inst, request);
        }
        true
    }

    /// Returns the next chunk of an upload in progress.
    fn next_chunk(&self, inst: &Instance, request: &FetchRequest, version: u64, offset: usize) -> Response {
        let mut active = self.active.borrow_mut();
        let known = active.iter_mut().find(|u| u.is_for(request) && u.update.version == version);
        let Some(upload) = known.filter(|u| offset < u.update.bytes.len()) else {
            return Response::NotSent("the transfer was given up here".to_owned());
        };
        upload.last_request = inst.now();
        let chunk = chunk(&upload.update, offset);
        let last = offset + chunk.bytes.len() == chunk.total as usize;
        drop(active);
        if last {
            self.finish(inst, request);
        }
        Response::Chunk(chunk)
    }

    /// Frees the slot of an upload whose last chunk was sent.
    fn finish(&self, inst: &Instance, request: &FetchRequest) {
        let mut active = self.active.borrow_mut();
        let Some(at) = active.iter().position(|u| u.is_for(request)) else { return };
        let Upload { to, update, .. } = active.remove(at);
        let mut completed = self.completed.borrow_mut();
        completed.retain(|old| {
            old.collection != update.collection || (old.version == update.version && old.to != to)
        });
        completed.push(Completed {
            collection: update.collection,
            version: update.version,
            zone: zone(inst, &to),
            to,
        });
        self.completion.notify_waiters();
    }

    /// Returns an instance that has received the update, preferably in the availability zone of the requesting
    /// instance.
    fn redirect(&self, inst: &Instance, request: &FetchRequest, update: &EncodedUpdate) -> Option<Name> {
        let completed = self.completed.borrow();
        let sources = completed.iter().filter(|c| {
            (c.collection, c.version) == (update.collection, update.version) && c.to != request.from
        });
        let own = zone(inst, &request.from);
        let (local, remote): (Vec<&Completed>, Vec<&Completed>) = sources.partition(|c| c.zone == own);
        let preferred = if local.is_empty() { remote } else { local };
        let n = self.redirects.replace(self.redirects.get().wrapping_add(1));
        preferred.get(n.checked_rem(preferred.len())?).map(|c| c.to.clone())
    }
}

/// Returns the availability zone of an instance, if the instance is known.
fn zone(inst: &Instance, name: &Name) -> Option<Name> {
    inst.peer(name).map(|p| p.zone.clone())
}

impl Upload {
    /// Returns true if a request continues or repeats this upload.
    fn is_for(&self, request: &FetchRequest) -> bool {
        self.to == request.from && self.update.collection == request.collection
    }
}

fn chunk(update: &EncodedUpdate, offset: usize) -> Chunk {
    let end = (offset + CHUNK_BYTES).min(update.bytes.len());
    Chunk {
        version: update.version,
        total: update.bytes.len() as u32,
        offset: offset as u32,
        bytes: update.bytes.slice(offset..end),
    }
}
