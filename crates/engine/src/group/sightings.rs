//! What instances tell each other of a group's servers.
//!
//! An instance that has no connections to a server, or doesn't reach it, asks one that does for what it knows of the whole
//! group. How long ago a server was asked is counted back from the moment at which this instance sent its own question, which
//! came before the other one looked at its clock: an account is never taken for younger than it is.

use {
    super::Group,
    crate::{
        count::Count,
        instance::{Instance, Micros},
        message::{Request, Response, StatusQuery, StatusReport},
        organisation::Owner,
        peer::Peer,
        settings::{MAX_RELAYS, ORDER_TIMEOUT, RELAY_DELAY, STATUS_CONN_TIMEOUT, STATUS_HEDGE_DELAY},
        upstream::Upstream,
    },
    futures::future::join_all,
    pondtrack_core::freshness,
    pondtrack_proto::Name,
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
        time::Duration,
    },
    tokio::{
        sync::Notify,
        task::{spawn_local, yield_now},
        time::{Instant, sleep, timeout, timeout_at},
    },
};

/// After this long without an answer a second instance is asked what it knows: two crossings of zones, both ways.
const SECOND_AFTER: Duration = Duration::from_millis(10);
/// Instances that are asked at once for a primary: one of them may be cut off.
const LOOKS: usize = 2;

/// A server whose account is wanted, and since when it has to have been asked for.
type Want = (Rc<Upstream>, Micros);

/// Questions about a group to other instances: those that come together, or while one is out, go together.
#[derive(Default)]
pub(super) struct Inquiry {
    wants: RefCell<Vec<Want>>,
    running: Cell<bool>,
    begun: Cell<u64>,
    ended: Cell<u64>,
    /// Whether others are being asked for a primary that this instance should find itself.
    looking: Cell<bool>,
    /// Woken when a question or a round has ended.
    news: Notify,
}

/// What is known here of a group's servers. Those that are `wanted` and reached from here are asked anew first, where what is
/// known is older; all who ask at the same time share these questions.
pub async fn tell(inst: &Rc<Instance>, group: &str, wanted: &[StatusQuery]) -> Vec<StatusReport> {
    let came = inst.now();
    let Some(group) = inst.group(group) else { return Vec::new() };
    let servers = group.servers();
    let find = |it: &StatusQuery| {
        let up = servers.iter().find(|up| it.server == up.entry().as_ref().into())?;
        inst.update_placement(up);
        up.is_reachable().then(|| (up.clone(), came.saturating_sub(it.age)))
    };
    let wants: Vec<Want> = wanted.iter().filter_map(find).collect();
    for (up, since) in wants.iter().filter(|it| !is_met(it)) {
        up.ask_after(*since);
    }
    let end = Instant::now() + STATUS_CONN_TIMEOUT;
    loop {
        let changed = group.changed.notified();
        let settled = |it: &Want| {
            is_met(it) || it.0.refused().is_some() || it.0.silent().is_some() || !it.0.is_reachable()
        };
        if wants.iter().all(settled) || timeout_at(end, changed).await.is_err() {
            break;
        }
    }
    let sighting = |up: &Rc<Upstream>| {
        let (sent, status) = up.status()?;
        Some(StatusReport { server: up.entry().as_ref().into(), status, age: freshness::age(came, sent) })
    };
    servers.iter().filter_map(sighting).collect()
}

/// Learns from other instances what a server last said about itself, if it was asked for that at `since` or later. False
/// where the server has to be asked.
pub async fn learn(inst: &Rc<Instance>, group: &Rc<Group>, it: &Rc<Upstream>, since: Micros) -> bool {
    inst.update_placement(it);
    if it.is_reachable() {
        if group.primary().is_none() && group.is_used() {
            // Whoever leads may be known elsewhere, and not reached from here.
            spawn_local(look_round(inst.clone(), group.clone(), it.clone(), inst.now()));
        }
        return false;
    }
    // Whether it answers is found out by asking it: where that is in doubt, and where changes of primary are ordered.
    if it.silent().is_some() || it.refused().is_some() || inst.fencing_token().is_some() {
        return false;
    }
    it.probe(inst, group);
    let since = since.min(inst.now());
    let round = group.want(inst, it, since);
    let inquiry = &group.inquiry;
    loop {
        let news = inquiry.news.notified();
        let met = is_met(&(it.clone(), since));
        if met || inquiry.ended.get() >= round {
            return met;
        }
        news.await;
    }
}

/// Asks other instances what they know, where a server that this one should reach owes an answer and none is known to lead.
async fn look_round(inst: Rc<Instance>, group: Rc<Group>, it: Rc<Upstream>, asked: Micros) {
    sleep(SECOND_AFTER).await;
    let answered = is_met(&(it.clone(), asked));
    if answered
        || group.primary().is_some()
        || inst.fencing_token().is_some()
        || group.inquiry.looking.replace(true)
    {
        return;
    }
    let mut peers: Vec<Rc<Peer>> = Vec::new();
    let mut names: Vec<Name> = Vec::new();
    while let Some(peer) = it.fit_peer_but(&inst, &Owner::Shared, &names).filter(|_| names.len() < LOOKS) {
        names.push(peer.name.clone());
        peers.push(peer);
    }
    let ask = |peer| put(inst.clone(), group.clone(), peer, (it.clone(), 0), Vec::new());
    join_all(peers.into_iter().map(ask)).await;
    group.inquiry.looking.set(false);
}

/// Whether a server's account is known as it is wanted.
fn is_met(it: &Want) -> bool {
    it.0.status().is_some_and(|known| known.0 >= it.1)
}

impl Group {
    /// Takes in what another instance knows, which was asked at `sent`.
    pub fn hear(&self, told: &[StatusReport], sent: Micros, now: Micros) {
        for it in told {
            let Some(asked) = freshness::asked_at(sent, it.age) else { continue };
            let known = self.present(&it.server.id).filter(|up| !up.is_gone());
            if let Some(up) = known.filter(|up| up.entry().incarnation == it.server.incarnation) {
                self.was_told(&up, it.status, asked, now);
            }
        }
    }

    /// Has other instances asked about a server; hands back the number of the round that does it.
    fn want(self: &Rc<Self>, inst: &Rc<Instance>, it: &Rc<Upstream>, since: Micros) -> u64 {
        let inquiry = &self.inquiry;
        inquiry.wants.borrow_mut().push((it.clone(), since));
        if !inquiry.running.replace(true) {
            spawn_local(inquire(inst.clone(), self.clone()));
        }
        inquiry.begun.get() + 1
    }
}

/// Puts what is wanted, until nothing is.
async fn inquire(inst: Rc<Instance>, group: Rc<Group>) {
    let inquiry = &group.inquiry;
    loop {
        // Whoever wants something at the same moment is heard first.
        yield_now().await;
        let wants = inquiry.wants.take();
        if wants.is_empty() {
            inquiry.running.set(false);
            return;
        }
        inquiry.begun.set(inquiry.begun.get() + 1);
        // Beyond that time the servers are asked.
        timeout(RELAY_DELAY, round(&inst, &group, &wants)).await.ok();
        inquiry.ended.set(inquiry.begun.get());
        inquiry.news.notify_waiters();
    }
}

/// Asks one instance after the other until what is wanted is known, or nobody is left to be asked.
async fn round(inst: &Rc<Instance>, group: &Rc<Group>, wants: &[Want]) {
    let open = Rc::new(Cell::new(0));
    let mut asked: Vec<Name> = Vec::new();
    for n in 0..=MAX_RELAYS {
        // Who gives orders asks the servers themselves.
        if inst.fencing_token().is_some() {
            break;
        }
        let missing: Vec<Want> = wants.iter().filter(|it| !is_met(it)).cloned().collect();
        // The second one tells what it knows: it asks no server that the first one is asking.
        let knows = n == 1 && open.get() > 0;
        let next = targets(inst, group, missing, &asked);
        if next.is_empty() {
            break;
        }
        for (first, peer, wants) in next {
            if !knows {
                asked.push(peer.name.clone());
            }
            let wants = if knows { Vec::new() } else { wants };
            open.set(open.get() + 1);
            let put = put(inst.clone(), group.clone(), peer, first, wants);
            let (asking, asker) = (open.clone(), group.clone());
            spawn_local(async move {
                put.await;
                asking.set(asking.get() - 1);
                asker.inquiry.news.notify_waiters();
            });
        }
        let pause = if n == 0 { SECOND_AFTER } else { STATUS_HEDGE_DELAY };
        if await_news(group, wants, &open, Instant::now() + pause).await {
            return;
        }
    }
    while open.get() > 0 && !await_news(group, wants, &open, Instant::now() + ORDER_TIMEOUT).await {}
}

/// Whom to ask next, and for what: one instance for all, as it knows the rest as well; while nobody is known to lead, one for
/// each server unless it is a home of several, as any of them may.
fn targets(
    inst: &Instance,
    group: &Group,
    missing: Vec<Want>,
    asked: &[Name],
) -> Vec<(Want, Rc<Peer>, Vec<Want>)> {
    let mut out: Vec<(Want, Rc<Peer>, Vec<Want>)> = Vec::new();
    let one = group.primary().is_some();
    for it in missing {
        let covers = |peer: &Peer| one || it.0.is_home(&peer.name);
        let known = out.iter_mut().find(|target| covers(&target.1));
        match known {
            Some(target) => target.2.push(it),
            None => {
                let peer = it.0.fit_peer_but(inst, &Owner::Shared, asked);
                out.extend(peer.map(|peer| (it.clone(), peer, vec![it])));
            }
        }
    }
    out
}

/// Waits until what is wanted is known, which it says, all questions are answered, or the end.
async fn await_news(group: &Group, wants: &[Want], open: &Cell<usize>, end: Instant) -> bool {
    loop {
        let news = group.inquiry.news.notified();
        if wants.iter().all(is_met) {
            return true;
        }
        if open.get() == 0 || timeout_at(end, news).await.is_err() {
            return false;
        }
    }
}

/// Asks another instance, which was chosen for the `first` server's sake, also when nobody waits for it any longer: one that
/// doesn't answer is passed over by later questions.
async fn put(inst: Rc<Instance>, group: Rc<Group>, peer: Rc<Peer>, first: Want, wants: Vec<Want>) {
    let sent = inst.now();
    let wanted = |(up, since): &Want| {
        up.asked.set(sent);
        StatusQuery { server: up.entry().as_ref().into(), age: sent.saturating_sub(*since) }
    };
    let ask = Request::State { group: group.name.clone(), wanted: wants.iter().map(wanted).collect() };
    inst.counters.increment(Count::Inquiries);
    let told = timeout(ORDER_TIMEOUT, peer.request(&inst, ask)).await;
    let now = inst.now();
    let heard = matches!(told, Ok(Response::State(_)));
    if let Ok(Response::State(told)) = told {
        group.hear(&told, sent, now);
    }
    if !heard || (!wants.is_empty() && !is_met(&first)) {
        first.0.unfit(&peer.name, now, false);
        log::debug!(group = group.name.as_str(), peer = peer.name.as_str(), heard; "no news");
    }
    for (up, _) in &wants {
        // What was told may have been asked for long before.
        if up.asked.get() == sent {
            up.asked.set(up.status().map_or(0, |it| it.0));
        }
    }
}
