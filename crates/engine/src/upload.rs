//! Documents handed to other instances, in parts, to a few at a time.
//!
//! Protects the instance's link, and all that shares it: beats, the store's answers, connections to servers. Without it
//! an instance that watched the store put a copy for each of 71 others into a link of 10 Mbit/s at once, which was busy for
//! 3.5 s; most gave up meanwhile and asked again. Now at most [`SLOTS`] parts of [`PART_BYTES`] are under way. Whoever asks
//! meanwhile waits, and is then sent to an instance that has the document from here, so that the instances which hand it out
//! multiply by three each round.

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

/// Documents that are handed out at the same time. With one, a link stands idle while the other side takes a part and
/// asks for the next; more than two make all of a round late: 72 instances take about 7.8 times as long as one
/// copy with two, 10.6 times with four (reckoned: rounds, each as long as its copies).
pub const SLOTS: usize = 2;
/// Bytes of a part: 6.5 ms of a link of 10 Mbit/s, the least that instances have today, 33 ms of one with 2 Mbit/s.
pub const PART_BYTES: usize = 8 << 10;
/// Documents of this size need no slot: for 71 instances at once they are 0.12 s of 10 Mbit/s.
const FREE_BYTES: usize = 2 << 10;
/// A slot is free again when its next part isn't asked for within this time: a part takes 33 ms at most, and a crossing of
/// zones 3 ms.
const SLOT_LIMIT: Duration = Duration::from_millis(400);
/// How long a question waits for a slot, or for an instance that has the document: below the time in which a part is
/// expected.
const HOLD: Duration = Duration::from_millis(400);
/// Encoded documents that are kept, each of the newest version: the configuration and the directory, from two versions each.
const DOCS: usize = 4;

/// An encoded document.
#[derive(Clone)]
struct Doc {
    what: Collection,
    since: u64,
    at: u64,
    bytes: Bytes,
}

/// A document on its way to another instance.
struct Transfer {
    to: Name,
    doc: Doc,
    asked: Micros,
}

/// An instance that had a document from here.
struct Given {
    what: Collection,
    at: u64,
    to: Name,
    /// Its availability zone, if it is known.
    zone: Option<Name>,
}

/// What is being handed out, and who has it.
#[derive(Default)]
pub struct Uploads {
    docs: RefCell<Vec<Doc>>,
    transfers: RefCell<Vec<Transfer>>,
    /// The newest version of each collection only.
    given: RefCell<Vec<Given>>,
    /// Counts those who were sent to others, so that they are spread evenly.
    sent_on: Cell<usize>,
    /// Woken when a document has been handed out.
    freed: Notify,
}

/// Answers an instance that wants what is known here of a collection.
pub async fn answer(inst: &Instance, it: FetchRequest) -> Response {
    let handout = &inst.uploads;
    let told = match it.next {
        Some((at, offset)) => handout.go_on(inst, &it, at, offset as usize),
        None => begin(inst, &it).await,
    };
    if let Response::Chunk(part) = &told {
        inst.counters.add(Count::SpreadBytes, part.bytes.len() as u64);
    }
    told
}

async fn begin(inst: &Instance, it: &FetchRequest) -> Response {
    let handout = &inst.uploads;
    let end = Instant::now() + HOLD;
    loop {
        let Some(doc) = handout.doc(inst, it) else {
            return Response::NotSent("nothing newer is known here".to_owned());
        };
        // Registered before the slots are looked at, so that none is missed.
        let freed = handout.freed.notified();
        if doc.bytes.len() <= FREE_BYTES || handout.take_slot(inst, it, &doc) {
            return Response::Chunk(part(&doc, 0));
        }
        if let Some(name) = handout.other(inst, it, &doc) {
            return Response::Elsewhere(Some(name));
        }
        if timeout_at(end, freed).await.is_err() {
            return Response::Elsewhere(None);
        }
    }
}

impl Uploads {
    /// The document for an instance that has a collection as of a version; none if nothing newer is known here.
    fn doc(&self, inst: &Instance, it: &FetchRequest) -> Option<Doc> {
        let (what, since) = (it.what, it.since);
        let at = Update::latest(inst, what)?;
        let mut docs = self.docs.borrow_mut();
        docs.retain(|it| it.what != what || it.at == at);
        let kept = docs.iter().find(|it| (it.what, it.since, it.at) == (what, since, at));
        if let Some(doc) = kept {
            return Some(doc.clone());
        }
        let doc = Update::build(inst, what, since)?;
        let bytes = postcard::to_stdvec(&doc).expect("documents are plain data, which always encodes").into();
        let doc = Doc { what, since, at, bytes };
        docs.truncate(DOCS - 1);
        docs.insert(0, doc.clone());
        Some(doc)
    }

    /// Takes a slot for a document of more than one part, if there is one.
    fn take_slot(&self, inst: &Instance, it: &FetchRequest, doc: &Doc) -> bool {
        let now = inst.now();
        let mut transfers = self.transfers.borrow_mut();
        transfers.retain(|old| now.saturating_sub(old.asked) < micros(SLOT_LIMIT) && !old.is_of(it));
        if transfers.len() >= SLOTS {
            return false;
        }
        transfers.push(Transfer { to: it.from.clone(), doc: doc.clone(), asked: now });
        drop(transfers);
        if doc.bytes.len() <= PART_BYTES {
            self.finish(inst, it);
        }
        true
    }

    /// The next part of a document that was begun.
    fn go_on(&self, inst: &Instance, it: &FetchRequest, at: u64, offset: usize) -> Response {
        let mut transfers = self.transfers.borrow_mut();
        let known = transfers.iter_mut().find(|old| old.is_of(it) && old.doc.at == at);
        let Some(transfer) = known.filter(|it| offset < it.doc.bytes.len()) else {
            return Response::NotSent("the transfer was given up here".to_owned());
        };
        transfer.asked = inst.now();
        let part = part(&transfer.doc, offset);
        let last = offset + part.bytes.len() == part.total as usize;
        drop(transfers);
        if last {
            self.finish(inst, it);
        }
        Response::Chunk(part)
    }

    /// Frees the slot of a transfer whose last part has gone out.
    fn finish(&self, inst: &Instance, it: &FetchRequest) {
        let mut transfers = self.transfers.borrow_mut();
        let Some(at) = transfers.iter().position(|old| old.is_of(it)) else { return };
        let Transfer { to, doc, .. } = transfers.remove(at);
        let mut given = self.given.borrow_mut();
        given.retain(|old| old.what != doc.what || (old.at == doc.at && old.to != to));
        given.push(Given { what: doc.what, at: doc.at, zone: zone(inst, &to), to });
        self.freed.notify_waiters();
    }

    /// An instance that has the document from here: in the asking one's availability zone, if there is one.
    fn other(&self, inst: &Instance, it: &FetchRequest, doc: &Doc) -> Option<Name> {
        let given = self.given.borrow();
        let has = given.iter().filter(|old| (old.what, old.at) == (doc.what, doc.at) && old.to != it.from);
        let own = zone(inst, &it.from);
        let (near, far): (Vec<&Given>, Vec<&Given>) = has.partition(|it| it.zone == own);
        let from = if near.is_empty() { far } else { near };
        let n = self.sent_on.replace(self.sent_on.get().wrapping_add(1));
        from.get(n.checked_rem(from.len())?).map(|it| it.to.clone())
    }
}

/// An instance's availability zone, if the instance is known.
fn zone(inst: &Instance, name: &Name) -> Option<Name> {
    inst.peer(name).map(|it| it.zone.clone())
}

impl Transfer {
    /// Whether a question is about it.
    fn is_of(&self, it: &FetchRequest) -> bool {
        self.to == it.from && self.doc.what == it.what
    }
}

fn part(doc: &Doc, offset: usize) -> Chunk {
    let end = (offset + PART_BYTES).min(doc.bytes.len());
    Chunk {
        at: doc.at,
        total: doc.bytes.len() as u32,
        offset: offset as u32,
        bytes: doc.bytes.slice(offset..end),
    }
}
