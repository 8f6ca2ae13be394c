//! Changes of primary.
//!
//! The holder of the [`crate::lease`] watches each group's primary. To replace it, it chooses the replica
//! with the longest log as the next primary and stops all other replicas from receiving. From then on a
//! commit of the old primary can only be acknowledged with the chosen replica's word, and a read of the
//! old primary only be confirmed by it; both end the moment it becomes the primary. So nothing that was
//! acknowledged is lost, and the old primary needn't be reached. Where a replica can't be stopped, the old
//! primary has to step down before another is promoted; where neither can be had, nobody is.

use {
    self::attempt::Change,
    crate::{
        group::Group,
        instance::{Instance, Micros, micros},
        model::{Order, Role, Status},
        order::send_order,
        upstream::Upstream,
    },
    pondtrack_proto::{Lsn, Name},
    std::{rc::Rc, time::Duration},
    strum::{Display, IntoStaticStr},
    tokio::time::{Instant, sleep},
};

mod attempt;

/// Between two looks at the groups.
const LOOK: Duration = Duration::from_millis(100);
/// A primary that wasn't heard for this long is asked.
const ASK_PRIMARY: Duration = Duration::from_millis(300);
/// The same for replicas, whose logs are compared with the primary's.
const ASK_REPLICA: Duration = Duration::from_millis(1_000);
/// Silence after which a primary is given up: an answer may take 400 ms behind long statements.
const SILENCE: Duration = Duration::from_millis(500);
/// The same for an instance that has just started: when all come back from a loss of power, servers are busy
/// with their connections, and a question may wait for a second.
const YOUNG_SILENCE: Duration = Duration::from_millis(1_500);
/// For how long an instance counts as just started.
const YOUNG: Duration = Duration::from_secs(5);
/// Time for which its address refuses connections until it is given up: the process is gone.
const REFUSED: Duration = Duration::from_millis(150);
/// Time without a primary.
const ABSENT: Duration = Duration::from_millis(600);
/// Time for which no replica receives what the primary writes.
const STALLED: Duration = Duration::from_millis(700);
/// Between two changes of one group that failed.
const COOLDOWN: Duration = Duration::from_millis(300);
/// Why a primary is replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
enum Cause {
    /// It is about to leave.
    Leaving,
    /// Its address refuses connections.
    Refused,
    /// It doesn't answer.
    Silent,
    /// No replica receives what it writes.
    Stalled,
    /// No server leads.
    Absent,
}

/// Why a change didn't come about.
type Failed = &'static str;

/// What a change begins with.
#[derive(Clone, Copy, Debug)]
struct Begin {
    cause: Cause,
    /// The position of the primary that no replica was seen to have.
    ahead: Option<Lsn>,
}

/// Watches the groups while this instance has the right to give orders, for good.
pub async fn run(inst: Rc<Instance>) {
    let mut watched: Vec<Watched> = Vec::new();
    loop {
        sleep(LOOK).await;
        if inst.fencing_token().is_none() {
            watched.clear();
            continue;
        }
        for group in inst.groups().into_iter().filter(|it| inst.is_configured(&it.name)) {
            let at = watched.binary_search_by(|it| it.group.name.cmp(&group.name)).unwrap_or_else(|at| {
                watched.insert(at, Watched::new(group.clone(), inst.now()));
                at
            });
            watched[at].look(&inst);
        }
        inst.leaders.sync(&inst);
    }
}

/// A position of the primary that no replica has received yet.
#[derive(Clone, Copy)]
struct Ahead {
    since: Micros,
    position: Lsn,
}

/// A group under watch.
struct Watched {
    group: Rc<Group>,
    since: Micros,
    ahead: Option<Ahead>,
    change: Option<tokio::task::JoinHandle<()>>,
}

impl Watched {
    fn new(group: Rc<Group>, now: Micros) -> Watched {
        Watched { group, since: now, ahead: None, change: None }
    }

    fn look(&mut self, inst: &Rc<Instance>) {
        let now = inst.now();
        ask(&self.group, now);
        self.compare(now);
        if self.change.as_ref().is_some_and(|it| !it.is_finished()) {
            return;
        }
        match self.cause(now) {
            Some(cause) => {
                let ahead = self.ahead.map(|it| it.position);
                let change = change(inst.clone(), self.group.clone(), Begin { cause, ahead });
                self.change = Some(tokio::task::spawn_local(change));
                self.ahead = None;
            }
            None => tidy(inst, &self.group, now),
        }
    }

    /// Compares the replicas' logs with the primary's.
    fn compare(&mut self, now: Micros) {
        let Some(primary) = self.group.primary() else {
            self.ahead = None;
            return;
        };
        let servers = self.group.servers();
        let term = self.group.term();
        let counts = |it: &&Rc<Upstream>| it.index != primary.index && self.group.counts(it, term);
        let replicas: Vec<_> = servers.iter().filter(counts).collect();
        let reached = replicas.iter().filter_map(|it| it.status()).map(|it| it.1.received.lsn).max();
        let written = primary.status().map_or(Lsn::default(), |it| it.1.received.lsn);
        let reached = reached.unwrap_or_default();
        self.ahead = match self.ahead {
            _ if servers.len() == 1 || written <= reached => None,
            Some(it) if reached < it.position => Some(it),
            _ => Some(Ahead { since: now, position: written }),
        };
        // A verdict needs answers of the replicas that came after the time for them was over.
        if let Some(it) = self.ahead.filter(|it| now >= it.since + micros(STALLED)) {
            replicas.iter().for_each(|replica| replica.ask_after(it.since + micros(STALLED)));
        }
    }

    /// Whether no replica has received, after long enough, what the primary had.
    fn is_stalled(&self) -> bool {
        let Some(ahead) = self.ahead else { return false };
        let primary = self.group.primary().map(|it| it.index);
        let late = ahead.since.max(self.since) + micros(STALLED);
        let servers = self.group.servers();
        let mut replicas = servers.iter().filter(|it| Some(it.index) != primary);
        replicas.all(|it| it.silent().is_some() || it.status().is_some_and(|it| it.0 >= late))
    }

    fn cause(&self, now: Micros) -> Option<Cause> {
        let over = |since: Option<Micros>, limit: Duration| {
            since.is_some_and(|at| now.saturating_sub(at) >= micros(limit))
        };
        // What was seen before this instance could act counts, but for what it didn't watch until then.
        let watched = |since: Option<Micros>| since.map(|at| at.max(self.since));
        let Some(primary) = self.group.primary() else {
            return over(watched(self.group.absent()), ABSENT).then_some(Cause::Absent);
        };
        if primary.entry().draining {
            return Some(Cause::Leaving);
        }
        if over(primary.refused(), REFUSED) {
            return Some(Cause::Refused);
        }
        if over(primary.silent(), primary_timeout(now)) {
            return Some(Cause::Silent);
        }
        self.is_stalled().then_some(Cause::Stalled)
    }
}

/// Silence after which an instance that runs since `uptime` microseconds gives a primary up.
pub fn primary_timeout(uptime: Micros) -> Duration {
    if uptime < micros(YOUNG) { YOUNG_SILENCE } else { SILENCE }
}

/// Asks servers that weren't asked lately.
fn ask(group: &Group, now: Micros) {
    let primary = group.primary().map(|it| it.index);
    for it in group.servers() {
        let (age, known) = match primary == Some(it.index) {
            // Any answer shows that it is there; how far its log goes is wanted more rarely.
            true => (ASK_PRIMARY, Some(it.heard())),
            false => (ASK_REPLICA, it.status().map(|it| it.0)),
        };
        let limit = now.saturating_sub(micros(age));
        let stated = it.status().is_some_and(|it| it.0 >= now.saturating_sub(micros(ASK_REPLICA)));
        if !stated || known.is_none_or(|at| at < limit) {
            it.ask_after(limit);
        }
    }
}

/// Undoes what a change that didn't end has left: stopped replicas, and primaries of earlier terms.
fn tidy(inst: &Rc<Instance>, group: &Rc<Group>, now: Micros) {
    let limit = now.saturating_sub(micros(ASK_REPLICA));
    for it in group.servers() {
        let order = match it.status() {
            Some((at, status)) if at >= limit => match status {
                Status { paused: Some(_), .. } => Order::Resume,
                Status { role: Role::Primary, term, .. } if term < group.term() => {
                    Order::StepDown(group.term())
                }
                _ => continue,
            },
            _ => continue,
        };
        log::info!(group = group.name.as_str(), server = it.entry().id.as_str(); "left over from a change: {order:?}");
        let (inst, group) = (inst.clone(), group.clone());
        tokio::task::spawn_local(async move { send_order(&inst, &group, &it, &order).await });
    }
}

async fn change(inst: Rc<Instance>, group: Rc<Group>, begin: Begin) {
    let cause = begin.cause;
    let began = Instant::now();
    let term = group.term();
    let old = group.primary().map_or(Name::new(), |it| it.entry().id.clone());
    log::info!(group = group.name.as_str(), primary = old.as_str(), term = term.0, cause:% = cause; "change of primary begins");
    let changed =
        Change { inst: &inst, group: &group, term, forgotten: group.forgotten(), begin }.run().await;
    let took_ms = began.elapsed().as_millis() as u64;
    match changed {
        Ok(id) => {
            log::info!(group = group.name.as_str(), primary = id.as_str(), term = group.term().0, took_ms; "change of primary done");
        }
        Err(why) => {
            log::warn!(group = group.name.as_str(), term = term.0, cause:% = cause, took_ms; "change of primary failed: {why}");
            sleep(COOLDOWN).await;
        }
    }
}
