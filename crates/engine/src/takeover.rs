//! Changes of primary.
//!
//! The holder of the [`crate::lease`] watches each group's primary. To replace it, it chooses the replica
//! with the longest log as the next primary and stops all other replicas from receiving. From then on a
//! commit of the old primary can only be acknowledged with the chosen replica's word, and a read of the
//! old primary only be confirmed by it; both end the moment it becomes the primary. So nothing that was
//! acknowledged is lost, and the old primary needn't be reached. Where a replica can't be stopped, the old
//! primary has to step down before another is promoted; where neither can be had, nobody is.

use {
    crate::{
        ask::give,
        count::Count,
        group::Group,
        instance::{Instance, Micros, micros},
        model::{Order, Role, Status},
        ports::PromoteError,
        upstream::Upstream,
    },
    futures::future::join_all,
    pondtrack_core::leader::Leader,
    pondtrack_proto::{Lsn, Mark, Name, Term},
    std::{rc::Rc, time::Duration},
    strum::{Display, IntoStaticStr},
    tokio::time::{Instant, sleep},
};

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
/// Time for the next primary to lead; the platform names 300 to 600 ms.
const LEAD_LIMIT: Duration = Duration::from_millis(1_500);
/// Between two looks at the next primary.
const LEAD_PAUSE: Duration = Duration::from_millis(40);
/// Between two changes of one group that failed.
const COOLDOWN: Duration = Duration::from_millis(300);
/// Most orders in one change.
const ORDERS: usize = 3;
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
pub async fn watch(inst: Rc<Instance>) {
    let mut watched: Vec<Watched> = Vec::new();
    loop {
        sleep(LOOK).await;
        if inst.tenure.token(inst.now()).is_none() {
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
        inst.leaders.keep(&inst);
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
        if over(primary.silent(), silence(now)) {
            return Some(Cause::Silent);
        }
        self.is_stalled().then_some(Cause::Stalled)
    }
}

/// Silence after which an instance that runs since `uptime` microseconds gives a primary up.
pub fn silence(uptime: Micros) -> Duration {
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
        tokio::task::spawn_local(async move { give(&inst, &group, &it, &order).await });
    }
}

async fn change(inst: Rc<Instance>, group: Rc<Group>, begin: Begin) {
    let cause = begin.cause;
    let began = Instant::now();
    let term = group.term();
    let old = group.primary().map_or(Name::new(), |it| it.entry().id.clone());
    log::info!(group = group.name.as_str(), primary = old.as_str(), term = term.0, cause:% = cause; "change of primary begins");
    let changed = Change { inst: &inst, group: &group, term, losses: group.losses(), begin }.run().await;
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

/// One change of a group's primary.
struct Change<'a> {
    inst: &'a Rc<Instance>,
    group: &'a Rc<Group>,
    /// The term that is to end.
    term: Term,
    /// How often a server had forgotten what it held when the change began.
    losses: u64,
    begin: Begin,
}

impl Change<'_> {
    async fn run(&self) -> Result<Name, Failed> {
        let mut old = self.group.primary();
        let mut others = self.others(old.as_deref());
        let answers = join_all(others.iter().map(|it| self.give(it, Order::Status))).await;
        if self.group.term() > self.term || self.came_back(old.as_deref()) {
            return Err("it is no longer needed");
        }
        let mut known: Vec<(Rc<Upstream>, Status)> =
            others.iter().zip(answers).filter_map(|(it, status)| Some((it.clone(), status?))).collect();
        let mut leaders = known.iter().filter(|it| it.1.role == Role::Primary && it.1.term >= self.term);
        match leaders.next().map(|it| it.0.clone()) {
            Some(it) if self.group.lacks(&it) => {
                // It has lost its log, and is replaced like one that is silent.
                others.retain(|other| other.index != it.index);
                old = Some(it);
            }
            Some(_) => return Err("a primary was found"),
            None => {}
        }
        known.retain(|it| it.1.role == Role::Replica);
        self.spare_last_copy(&known)?;
        let counts = |it: &Upstream| self.group.counts(it, self.term);
        let has = |at: Lsn| known.iter().any(|it| it.1.received.lsn >= at && counts(&it.0));
        if self.begin.cause == Cause::Stalled && self.begin.ahead.is_some_and(has) {
            // Replicas that gave no answer before may have received it all the while.
            return Err("a replica has received what the primary wrote");
        }
        // The longest log first; of equal ones a server that stays.
        known.sort_by_key(|it| (std::cmp::Reverse(it.1.received), it.0.entry().draining));
        let Some(target) = known.first().map(|it| it.0.clone()) else { return Err("no replica answers") };
        if old.is_none() {
            old = self.unheard(&others, &known).await;
            others = self.others(old.as_deref());
        }
        let target = self.stop_others(&others, &target, old.as_ref()).await?;
        // No promotion is ordered in a group without a record.
        let server = old.as_ref().map(|it| it.entry().id.clone());
        let led = match self.record(Leader { term: self.term, server }).await {
            Some(_) => self.promote(&target).await,
            None => Err("the store doesn't take who led"),
        };
        self.clean(&others, old.as_deref(), &target).await;
        led.map(|()| target.entry().id.clone())
    }

    /// Fails where only the lost primary may hold what was acknowledged: a replica came back with nothing in this term, and
    /// none had caught up with the primary since. The primary comes back with its log, or its entry goes; then what is
    /// left has to do.
    fn spare_last_copy(&self, replicas: &[(Rc<Upstream>, Status)]) -> Result<(), Failed> {
        let lost = matches!(self.begin.cause, Cause::Silent | Cause::Refused | Cause::Absent);
        let Some(hollow) = self.group.hollow().filter(|_| lost) else { return Ok(()) };
        let heard = |it: &Upstream| replicas.iter().any(|known| known.0.index == it.index);
        if self.group.led_by().is_some_and(|it| !heard(&it)) {
            return Err("a replica came back with nothing, and only the primary may hold what it had");
        }
        self.inst.counters.one(Count::Losses);
        let (group, term) = (self.group.name.as_str(), self.term.0);
        log::error!(group, server = hollow.as_str(), term; "acknowledged writes may be lost: the server came back with nothing, and the primary is gone");
        Ok(())
    }

    /// Servers beside the primary; those that leave only if there are no others.
    fn others(&self, old: Option<&Upstream>) -> Vec<Rc<Upstream>> {
        let mut others = self.group.servers();
        others.retain(|it| old.is_none_or(|old| old.index != it.index));
        others
    }

    async fn give(&self, it: &Upstream, order: Order) -> Option<Status> {
        give(self.inst, self.group, it, &order).await
    }

    /// The primary, where this instance never heard it: the only server without an answer, if it is proved that it leads.
    /// Else that server may be a replica that speaks for another one.
    async fn unheard(
        &self,
        others: &[Rc<Upstream>],
        replicas: &[(Rc<Upstream>, Status)],
    ) -> Option<Rc<Upstream>> {
        let mut rest = others.iter().filter(|it| replicas.iter().all(|known| known.0.index != it.index));
        let is_settled = self.group.is_settled(self.inst.now());
        let (Some(it), None, true) = (rest.next(), rest.next(), is_settled) else { return None };
        let leader = self.inst.leaders.proved(self.inst, self.group).filter(|id| *id == it.entry().id)?;
        log::info!(group = self.group.name.as_str(), server = leader.as_str(), term = self.term.0; "leads, and was never heard here");
        let proof = Leader { term: self.term, server: Some(leader) };
        // What another instance recorded meanwhile goes first.
        (self.record(proof.clone()).await? == proof).then(|| it.clone())
    }

    /// The record of who led the group; `leader` becomes it if there was none. None if the store doesn't answer.
    async fn record(&self, leader: Leader) -> Option<Leader> {
        self.inst.leaders.ensure(self.inst, &self.group.name, leader).await
    }

    /// Whether the primary was heard after it had been given up.
    fn came_back(&self, old: Option<&Upstream>) -> bool {
        let Some(old) = old else { return false };
        match self.begin.cause {
            Cause::Silent => old.silent().is_none(),
            Cause::Refused => old.refused().is_none(),
            Cause::Leaving | Cause::Stalled | Cause::Absent => false,
        }
    }

    /// Stops every replica but the next primary from receiving; where one can't be reached, the old primary
    /// has to step down instead. Hands back the next primary: another one if a stopped replica turns out to
    /// have a longer log.
    async fn stop_others(
        &self,
        others: &[Rc<Upstream>],
        target: &Rc<Upstream>,
        old: Option<&Rc<Upstream>>,
    ) -> Result<Rc<Upstream>, Failed> {
        let next = Term(self.term.0 + 1);
        let rest: Vec<&Rc<Upstream>> = others.iter().filter(|it| it.index != target.index).collect();
        let answers = join_all(rest.iter().map(|it| self.give(it, Order::Pause(next)))).await;
        let longest = match answers.iter().any(Option::is_none) {
            // A replica that isn't stopped may come back at any time and speak for the old primary.
            true => self.retire(old, target, next).await,
            false => Ok(self.longest(&rest, &answers)),
        };
        let Some((longest, received)) = (match longest {
            Ok(it) => it,
            Err(why) => {
                self.resume(&rest).await;
                return Err(why);
            }
        }) else {
            return Ok(target.clone());
        };
        let own = self.give(target, Order::Status).await.ok_or("the next primary doesn't answer")?;
        if own.received >= received {
            return Ok(target.clone());
        }
        // What it lacks may have been acknowledged with another's word.
        match self.give(target, Order::Pause(next)).await {
            Some(_) => Ok(longest),
            None => Err("the next primary doesn't answer"),
        }
    }

    /// The stopped replica with the longest log.
    fn longest(&self, rest: &[&Rc<Upstream>], answers: &[Option<Status>]) -> Option<(Rc<Upstream>, Mark)> {
        let stopped = rest.iter().zip(answers);
        let stopped = stopped.filter_map(|(it, status)| Some(((*it).clone(), status.as_ref()?.received)));
        stopped.max_by_key(|it| it.1)
    }

    /// Has the old primary step down where a replica can't be stopped. What it holds beyond the next one may
    /// have been acknowledged with that replica's word: then it stays, or leads again.
    async fn retire(
        &self,
        old: Option<&Rc<Upstream>>,
        target: &Upstream,
        next: Term,
    ) -> Result<Option<(Rc<Upstream>, Mark)>, Failed> {
        const NEITHER: Failed = "neither all replicas nor the primary can be stopped";
        let old = old.ok_or(NEITHER)?;
        let (before, own) = tokio::join!(self.give(old, Order::Status), self.give(target, Order::Status));
        let (before, own) = (before.ok_or(NEITHER)?, own.ok_or("the next primary doesn't answer")?);
        if own.received < before.received {
            return Err("the primary holds more than the next one would");
        }
        let after = self.give(old, Order::StepDown(next)).await.filter(|it| it.role == Role::Replica);
        let after = after.ok_or(NEITHER)?;
        // What is under way to the next one arrives meanwhile.
        sleep(LEAD_PAUSE).await;
        Ok(Some((old.clone(), after.received)))
    }

    async fn promote(&self, target: &Upstream) -> Result<(), Failed> {
        let entry = target.entry();
        for _ in 0..ORDERS {
            let now = self.inst.now();
            let token = self.inst.tenure.token(now).ok_or("the right to promote has ended")?;
            if self.group.losses() != self.losses {
                return Err("a server that was asked has forgotten what it held");
            }
            self.inst.counters.one(Count::Promotions);
            let holder = self.inst.settings.name.clone();
            let order =
                self.inst.edge.promoter.promote(self.group.name.clone(), entry.id.clone(), holder, token);
            let ordered = order.await;
            log::info!(group = self.group.name.as_str(), server = entry.id.as_str(), token, outcome:? = ordered; "promotion ordered");
            match ordered {
                Ok(()) | Err(PromoteError::Unanswered { .. }) => {}
                Err(PromoteError::NotRunning) => return Err("the next primary isn't running"),
                Err(PromoteError::Refused { .. }) => {
                    sleep(LEAD_PAUSE).await;
                    continue;
                }
            }
            if self.leads(target).await {
                return Ok(());
            }
        }
        Err("the next primary doesn't lead")
    }

    /// Waits until a server leads a later term.
    async fn leads(&self, target: &Upstream) -> bool {
        let end = Instant::now() + LEAD_LIMIT;
        while Instant::now() < end {
            match self.give(target, Order::Status).await {
                Some(it) if it.role == Role::Primary && it.term > self.term => return true,
                _ => sleep(LEAD_PAUSE).await,
            }
        }
        false
    }

    /// Lets replicas receive again, and makes the old primary follow if it can be reached.
    async fn clean(&self, others: &[Rc<Upstream>], old: Option<&Upstream>, target: &Upstream) {
        let rest: Vec<&Rc<Upstream>> = others.iter().filter(|it| it.index != target.index).collect();
        let term = self.group.term();
        let step_down = async {
            let other = |it: &&Upstream| it.index != target.index && it.silent().is_none();
            if let Some(old) = old.filter(|it| term > self.term && other(it)) {
                self.give(old, Order::StepDown(term)).await;
            }
        };
        tokio::join!(self.resume(&rest), step_down);
    }

    async fn resume(&self, servers: &[&Rc<Upstream>]) {
        join_all(servers.iter().map(|it| self.give(it, Order::Resume))).await;
    }
}
