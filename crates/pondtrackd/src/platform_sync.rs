//! The platform: watches, grants, records.
//!
//! Nothing here is on the path of a request. While the platform is down everything goes on with what is
//! known; calls are repeated with backoff and jitter, so that its return brings no herd.

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

/// Kinds of objects that are no facts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum ObjectKind {
    /// Terms given out, by group.
    Term,
}

/// How soon terms are needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefillUrgency {
    /// For a failover to come.
    Background,
    /// A failover waits for them.
    Immediate,
}

/// Kinds that are watched and spread.
const WATCHED: [FactKind; 3] = [FactKind::Group, FactKind::Plan, FactKind::Leave];
/// First and longest wait after a failed call, in milliseconds.
const BACKOFF: (u64, u64) = (100, 5_000);
/// How long an instance waits for its peers' facts before it asks the platform, in milliseconds.
const PEERS_FIRST: u64 = 700;
/// Between two reads of the platform's list of instances, in milliseconds.
const LIST_PERIOD: u64 = 10_000;
/// Blocks of terms that are taken ahead are asked for within this time, in milliseconds, so that homes which start at
/// once don't ask at once.
const REFILL_SPREAD: u64 = 500;
/// Pause after the platform gave no terms.
const REFILL_PAUSE: Duration = Duration::from_millis(200);
/// Time for another home to part with terms: two crossings of availability zones and what waits there.
const SHARE_LIMIT: Duration = Duration::from_millis(150);
/// Most tries to record a term.
const RECORD_TRIES: usize = 200;

/// Keeps in touch with the platform for the life of the instance.
pub async fn run(node: Rc<Node>) {
    for kind in WATCHED {
        tokio::task::spawn_local(watch(node.clone(), kind));
    }
    tokio::task::spawn_local(instances(node.clone()));
    first_facts(&node).await;
}

fn backoff() -> Backoff {
    Backoff::new(BACKOFF.0, BACKOFF.1)
}

async fn pause(node: &Node, backoff: &mut Backoff) {
    let ms = node.with_rng(|rng| backoff.next_delay(rng));
    sleep(Duration::from_millis(ms)).await;
}

/// Copies the platform client's counts into the instance's own.
pub fn record_call_counts(node: &Node, before: &mut Vec<(Call, u64)>) {
    let now = node.platform.calls();
    for (call, n) in &now {
        let old = before.iter().find(|it| it.0 == *call).map_or(0, |it| it.1);
        let what = match call {
            Call::Get => Count::PlatformGet,
            Call::List => Count::PlatformList,
            Call::Put => Count::PlatformPut,
            Call::Watch => Count::PlatformWatch,
            Call::Instances => Count::PlatformInstances,
        };
        if *n > old {
            node.counters.add(what, n - old);
        }
    }
    *before = now;
}

/// Whether this instance is one of the few that hold watches.
fn is_watcher(node: &Node) -> bool {
    !node.leaving.get() && placement::watchers(&node.members.borrow().active()).contains(&node.name)
}

/// Watches one kind while this instance is one of the few that do.
async fn watch(node: Rc<Node>, kind: FactKind) {
    let mut backoff = backoff();
    // Members become known shortly after the start; until then every instance would hold watches.
    sleep(Duration::from_millis(PEERS_FIRST / 2)).await;
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
            Ok(it) => {
                backoff.reset();
                since = Some(it.version);
                take(&node, kind, it);
            }
            Err(e) => {
                log::debug!(step = "watch", peer = "platform"; "{e}");
                // Changes made meanwhile are in the next listing.
                since = None;
                pause(&node, &mut backoff).await;
            }
        }
    }
}

fn take(node: &Rc<Node>, kind: FactKind, listing: Listing) {
    for it in listing.objects {
        gossip::publish(node, fact(kind, &it));
    }
}

/// An object as a fact.
pub fn fact(kind: FactKind, it: &Object) -> Fact {
    let text = it.value.as_ref().map_or("null", |it| it.get());
    let key = FactKey { kind, name: it.name.clone() };
    Fact { key, version: it.version, value: Arc::from(text.as_bytes()) }
}

/// An instance that has no facts after a while, and no peers to give them, reads them itself.
async fn first_facts(node: &Rc<Node>) {
    let jitter = node.random() % PEERS_FIRST;
    sleep(Duration::from_millis(PEERS_FIRST + jitter)).await;
    let mut backoff = backoff();
    while node.groups.borrow().is_empty() {
        let kind = FactKind::Group;
        match node.platform.list(kind.into()).await {
            Ok(it) => {
                let empty = it.objects.is_empty();
                take(node, kind, it);
                if empty {
                    // Nothing is configured yet: news will come by a watch.
                    return;
                }
            }
            Err(_) => pause(node, &mut backoff).await,
        }
    }
}

/// Joins through the platform's list; the few that hold watches look for missing members now and then.
async fn instances(node: Rc<Node>) {
    let mut backoff = backoff();
    let mut first = true;
    loop {
        if first || is_watcher(&node) {
            match node.platform.instances().await {
                Ok(list) => {
                    backoff.reset();
                    first = false;
                    let others = list.into_iter().filter(|it| it.name != node.name).map(|it| it.addr);
                    node.members.borrow_mut().add_seeds(others);
                }
                Err(_) => {
                    pause(&node, &mut backoff).await;
                    continue;
                }
            }
        }
        let jitter = node.random() % (LIST_PERIOD / 2);
        sleep(Duration::from_millis(LIST_PERIOD + jitter)).await;
    }
}

/// Takes terms ahead for the homes here that are low on them.
pub fn replenish_all(node: &Rc<Node>) {
    for home in node.homes.borrow().iter() {
        replenish(node, home, RefillUrgency::Background);
    }
}

/// Drops the terms of a home that are no longer of use, and takes more in the background if few are left.
pub fn replenish(node: &Rc<Node>, home: &Rc<Home>, need: RefillUrgency) {
    let mut grants = home.term_pool.borrow_mut();
    grants.discard_through(home.term());
    let (low, none) = (grants.is_low(), grants.remaining() == 0);
    drop(grants);
    if !low || home.closing.get() || home.refilling.replace(true) {
        return;
    }
    let (node, home) = (node.clone(), home.clone());
    tokio::task::spawn_local(async move {
        if !none || !share_terms(&node, &home).await {
            take_block(&node, &home, need).await;
        }
        home.refilling.set(false);
    });
}

async fn take_block(node: &Rc<Node>, home: &Home, need: RefillUrgency) {
    if need == RefillUrgency::Background {
        sleep(Duration::from_millis(node.random() % REFILL_SPREAD)).await;
    }
    if let Err(e) = allocate_terms(node, home).await {
        // Where a failover waits for the term, this is why it doesn't come about.
        let level = if need == RefillUrgency::Immediate { log::Level::Warn } else { log::Level::Debug };
        log::log!(level, step = "grant", peer = "platform", subject = home.group.as_str(); "no term: {e}");
        sleep(REFILL_PAUSE).await;
    }
}

/// Takes a part of the terms of another home of the group. While the platform is away this keeps failovers possible when
/// the one home is lost whose block lies above the term in force.
async fn share_terms(node: &Rc<Node>, home: &Home) -> bool {
    let known = home.term();
    let homes = node.placement(&home.spec.borrow()).homes.clone();
    for peer in homes.into_iter().filter(|it| *it != node.name) {
        let make = |id| PeerMsg::ReserveTerms { id, group: home.group.clone(), known };
        let answer = node.peers.request(node, &peer, make, SHARE_LIMIT).await;
        if let Some(PeerMsg::ReserveTermsReply { block: Some((first, end)), .. }) = answer {
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

/// Takes one more block of terms for a group.
pub async fn allocate_terms(node: &Rc<Node>, home: &Home) -> Result<(), PlatformError> {
    let kind: &'static str = ObjectKind::Term.into();
    loop {
        let (record, version) = read_term(node, &home.group).await?;
        let change = node.random();
        let (next, block) = term_pool::allocate_block(&record, home.term(), change);
        let done = match node.platform.put(kind, &home.group, version, &next).await {
            Ok(_) => true,
            Err(PlatformError::Conflict { .. }) => false,
            // The answer may be lost although the write took effect: the record tells.
            Err(PlatformError::Unavailable { .. }) => read_term(node, &home.group).await?.0.change == change,
            Err(e) => return Err(e),
        };
        if done {
            home.term_pool.borrow_mut().add(block.0, block.1);
            return Ok(());
        }
    }
}

async fn read_term(node: &Node, group: &Name) -> Result<(TermRecord, u64), PlatformError> {
    match node.platform.get(ObjectKind::Term.into(), group).await {
        Ok(it) => Ok((it.read()?, it.version)),
        Err(PlatformError::Missing { .. }) => Ok((TermRecord::default(), 0)),
        Err(e) => Err(e),
    }
}

/// Records a new term on the platform, in the background: the servers hold it already.
pub fn record_term(node: &Rc<Node>, home: &Rc<Home>, term: Term, primary: &Name) {
    let (node, group, primary) = (node.clone(), home.group.clone(), primary.clone());
    tokio::task::spawn_local(async move {
        let mut backoff = backoff();
        for _ in 0..RECORD_TRIES {
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
    let change = node.random();
    let record = TermRecord { term, primary: primary.clone(), next, change };
    node.platform.put(ObjectKind::Term.into(), group, version, &record).await.map(drop)
}
