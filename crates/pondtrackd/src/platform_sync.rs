//! Synchronisation with the platform: watches on facts, allocation of terms, and records of promotions.
//!
//! Nothing here is on the request path. While the platform is unavailable, the instance continues with the
//! facts it has cached; failed calls are retried with backoff and jitter to prevent a thundering herd when the
//! platform recovers.

use {
    crate::{gossip, home::Home, node::Node, telemetry::Count},
    pondtrack_core::{placement, retry::Backoff, term_pool},
    pondtrack_edge::{
        PlatformError,
        platform::{Call, Listing, Object},
    },
    pondtrack_proto::{Fact, FactKey, FactKind, Name, PeerMsg, Term, TermRecord},
    std::{rc::Rc, sync::Arc, time::Duration},
    strum::IntoStaticStr,
    tokio::time::sleep,
};

/// Kinds of platform objects that are not gossiped as facts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum ObjectKind {
    /// The allocated terms of a group.
    Term,
}

/// Urgency of a term allocation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefillUrgency {
    /// The terms are a reserve for a future failover.
    Background,
    /// A failover is blocked until the terms are available.
    Immediate,
}

/// Kinds of facts that are watched on the platform and gossiped.
const WATCHED_KINDS: [FactKind; 3] = [FactKind::Group, FactKind::Plan, FactKind::Leave];
/// Initial and maximum backoff after a failed call, in milliseconds.
const BACKOFF_MS: (u64, u64) = (100, 5_000);
/// Time that an instance waits for facts from its peers before it reads them from the platform, in milliseconds.
const GOSSIP_GRACE_MS: u64 = 700;
/// Interval between two reads of the platform's list of instances, in milliseconds, before jitter.
const LIST_INTERVAL_MS: u64 = 10_000;
/// Maximum jitter before a background allocation of terms, in milliseconds, so that homes that start together don't
/// call the platform simultaneously.
const ALLOCATE_JITTER_MS: u64 = 500;
/// Pause after a failed allocation of terms.
const ALLOCATE_PAUSE: Duration = Duration::from_millis(200);
/// Timeout of a request for another home's terms: a round trip between availability zones plus queueing at the peer.
const RESERVE_TIMEOUT: Duration = Duration::from_millis(150);
/// Maximum attempts to record a term.
const MAX_RECORD_ATTEMPTS: usize = 200;

/// Synchronises with the platform until the instance stops.
pub async fn run(node: Rc<Node>) {
    for kind in WATCHED_KINDS {
        tokio::task::spawn_local(watch(node.clone(), kind));
    }
    tokio::task::spawn_local(discover_instances(node.clone()));
    load_initial_facts(&node).await;
}

fn backoff() -> Backoff {
    Backoff::new(BACKOFF_MS.0, BACKOFF_MS.1)
}

async fn pause(node: &Node, backoff: &mut Backoff) {
    let ms = node.with_rng(|rng| backoff.next_delay(rng));
    sleep(Duration::from_millis(ms)).await;
}

/// Adds the calls that the platform client made since `previous` to the instance's counters.
pub fn record_call_counts(node: &Node, previous: &mut Vec<(Call, u64)>) {
    let current = node.platform.calls();
    for (call, n) in &current {
        let old = previous.iter().find(|p| p.0 == *call).map_or(0, |p| p.1);
        let counter = match call {
            Call::Get => Count::PlatformGet,
            Call::List => Count::PlatformList,
            Call::Put => Count::PlatformPut,
            Call::Watch => Count::PlatformWatch,
            Call::Instances => Count::PlatformInstances,
        };
        if *n > old {
            node.counters.add(counter, n - old);
        }
    }
    *previous = current;
}

/// Returns true if this instance is one of the few that hold watches on the platform.
fn is_watcher(node: &Node) -> bool {
    !node.leaving.get() && placement::watchers(&node.members.borrow().active()).contains(&node.name)
}

/// Watches one kind of fact while this instance is a watcher.
async fn watch(node: Rc<Node>, kind: FactKind) {
    let mut backoff = backoff();
    // Members are discovered shortly after startup; before that, every instance would consider itself a watcher.
    sleep(Duration::from_millis(GOSSIP_GRACE_MS / 2)).await;
    let name: &'static str = kind.into();
    let mut since = None;
    loop {
        if !is_watcher(&node) {
            since = None;
            node.changed.notified().await;
            continue;
        }
        let listing = match since {
            None => node.platform.list(name).await,
            Some(version) => node.platform.watch(name, version).await,
        };
        match listing {
            Ok(listing) => {
                backoff.reset();
                since = Some(listing.version);
                learn_all(&node, kind, listing);
            }
            Err(e) => {
                log::debug!(step = "watch", peer = "platform"; "{e}");
                // Lists all objects again, to include the changes made while there was no watch.
                since = None;
                pause(&node, &mut backoff).await;
            }
        }
    }
}

fn learn_all(node: &Rc<Node>, kind: FactKind, listing: Listing) {
    for object in listing.objects {
        gossip::publish(node, fact(kind, &object));
    }
}

/// Converts a platform object to a fact.
pub fn fact(kind: FactKind, object: &Object) -> Fact {
    let text = object.value.as_ref().map_or("null", |v| v.get());
    let key = FactKey { kind, name: object.name.clone() };
    Fact { key, version: object.version, value: Arc::from(text.as_bytes()) }
}

/// Reads the groups from the platform if the instance has received none from its peers after the grace period.
async fn load_initial_facts(node: &Rc<Node>) {
    let jitter = node.random() % GOSSIP_GRACE_MS;
    sleep(Duration::from_millis(GOSSIP_GRACE_MS + jitter)).await;
    let mut backoff = backoff();
    while node.groups.borrow().is_empty() {
        let kind = FactKind::Group;
        match node.platform.list(kind.into()).await {
            Ok(listing) => {
                let empty = listing.objects.is_empty();
                learn_all(node, kind, listing);
                if empty {
                    // No group is configured yet; a watch delivers the first one.
                    return;
                }
            }
            Err(_) => pause(node, &mut backoff).await,
        }
    }
}

/// Joins the cluster through the platform's list of instances.
///
/// Watchers read the list periodically afterwards, to find members that gossip has missed.
async fn discover_instances(node: Rc<Node>) {
    let mut backoff = backoff();
    let mut first = true;
    loop {
        if first || is_watcher(&node) {
            match node.platform.instances().await {
                Ok(list) => {
                    backoff.reset();
                    first = false;
                    let others = list.into_iter().filter(|i| i.name != node.name).map(|i| i.addr);
                    node.members.borrow_mut().add_seeds(others);
                }
                Err(_) => {
                    pause(&node, &mut backoff).await;
                    continue;
                }
            }
        }
        let jitter = node.random() % (LIST_INTERVAL_MS / 2);
        sleep(Duration::from_millis(LIST_INTERVAL_MS + jitter)).await;
    }
}

/// Replenishes the reserve of terms of each home on this instance.
pub fn replenish_all(node: &Rc<Node>) {
    for home in node.homes.borrow().iter() {
        replenish_terms(node, home, RefillUrgency::Background);
    }
}

/// Drops the terms of a home that are not above the current term, and allocates more in the background if few remain.
pub fn replenish_terms(node: &Rc<Node>, home: &Rc<Home>, urgency: RefillUrgency) {
    let mut grants = home.term_pool.borrow_mut();
    grants.discard_through(home.term());
    let (low, empty) = (grants.is_low(), grants.remaining() == 0);
    drop(grants);
    if !low || home.closing.get() || home.refilling.replace(true) {
        return;
    }
    let (node, home) = (node.clone(), home.clone());
    tokio::task::spawn_local(async move {
        if !empty || !reserve_from_peer(&node, &home).await {
            try_allocate(&node, &home, urgency).await;
        }
        home.refilling.set(false);
    });
}

async fn try_allocate(node: &Rc<Node>, home: &Home, urgency: RefillUrgency) {
    if urgency == RefillUrgency::Background {
        sleep(Duration::from_millis(node.random() % ALLOCATE_JITTER_MS)).await;
    }
    if let Err(e) = allocate_terms(node, home).await {
        // Without a term the failover can't start, so an operator has to see the error.
        let level = if urgency == RefillUrgency::Immediate { log::Level::Warn } else { log::Level::Debug };
        log::log!(level, step = "grant", peer = "platform", subject = home.group.as_str(); "no term: {e}");
        sleep(ALLOCATE_PAUSE).await;
    }
}

/// Reserves some of the terms of another home of the group. Returns true if a home gave terms.
///
/// While the platform is unavailable, failovers remain possible even if the only home whose block lies above the
/// current term is lost.
async fn reserve_from_peer(node: &Rc<Node>, home: &Home) -> bool {
    let current_term = home.term();
    let homes = node.placement(&home.spec.borrow()).homes.clone();
    for peer in homes.into_iter().filter(|h| *h != node.name) {
        let make = |id| PeerMsg::ReserveTerms { id, group: home.group.clone(), known: current_term };
        let reply = node.peers.request(node, &peer, make, RESERVE_TIMEOUT).await;
        if let Some(PeerMsg::ReserveTermsReply { block: Some((first, end)), .. }) = reply {
            home.term_pool.borrow_mut().add(first, end);
            node.record_decision(
                &home.group,
                "terms of another home were taken over",
                format!("{first} to {end}, of {peer}"),
            );
            return true;
        }
    }
    false
}

/// Allocates a block of terms for a group on the platform.
///
/// A conflicting write is retried.
///
/// # Errors
///
/// Returns an error if the platform is unavailable or rejects the call.
pub async fn allocate_terms(node: &Rc<Node>, home: &Home) -> Result<(), PlatformError> {
    let kind: &'static str = ObjectKind::Term.into();
    loop {
        let (record, version) = read_term(node, &home.group).await?;
        let change = node.random();
        let (next, block) = term_pool::allocate_block(&record, home.term(), change);
        let written = match node.platform.put(kind, &home.group, version, &next).await {
            Ok(_) => true,
            Err(PlatformError::Conflict { .. }) => false,
            // The write may have taken effect although the response was lost; the change id in the record decides.
            Err(PlatformError::Unavailable { .. }) => read_term(node, &home.group).await?.0.change == change,
            Err(e) => return Err(e),
        };
        if written {
            home.term_pool.borrow_mut().add(block.0, block.1);
            return Ok(());
        }
    }
}

async fn read_term(node: &Node, group: &Name) -> Result<(TermRecord, u64), PlatformError> {
    match node.platform.get(ObjectKind::Term.into(), group).await {
        Ok(object) => Ok((object.read()?, object.version)),
        Err(PlatformError::Missing { .. }) => Ok((TermRecord::default(), 0)),
        Err(e) => Err(e),
    }
}

/// Records a new term on the platform. Runs in the background, as the servers have persisted the term already.
pub fn record_term(node: &Rc<Node>, home: &Rc<Home>, term: Term, primary: &Name) {
    let (node, group, primary) = (node.clone(), home.group.clone(), primary.clone());
    tokio::task::spawn_local(async move {
        let mut backoff = backoff();
        for _ in 0..MAX_RECORD_ATTEMPTS {
            match try_record(&node, &group, term, &primary).await {
                Ok(()) => return,
                Err(_) => pause(&node, &mut backoff).await,
            }
        }
    });
}

async fn try_record(node: &Node, group: &Name, term: Term, primary: &Name) -> Result<(), PlatformError> {
    let (record, version) = read_term(node, group).await?;
    if record.term >= term {
        return Ok(());
    }
    let next = Term(record.next.0.max(term.0 + 1));
    let change_id = node.random();
    let record = TermRecord { term, primary: primary.clone(), next, change: change_id };
    node.platform.put(ObjectKind::Term.into(), group, version, &record).await.map(drop)
}
