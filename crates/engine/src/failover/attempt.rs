//! One change of a group's primary, from its first question to the last replica that may receive again.

use {
    super::{Begin, Cause, Failed},
    crate::{
        count::Count,
        group::Group,
        instance::Instance,
        model::{Order, Role, Status},
        order::send_order,
        ports::PromoteError,
        upstream::Upstream,
    },
    futures::future::join_all,
    pondtrack_core::leader::LeaderRecord,
    pondtrack_proto::{LogPosition, Lsn, Name, Term},
    std::{rc::Rc, time::Duration},
    tokio::time::{Instant, sleep},
};

/// Time for the next primary to lead; the platform names 300 to 600 ms.
const LEAD_LIMIT: Duration = Duration::from_millis(1_500);
/// Between two looks at the next primary.
const LEAD_PAUSE: Duration = Duration::from_millis(40);
/// Most orders in one change.
const ORDERS: usize = 3;

/// One change of a group's primary.
pub(super) struct Change<'a> {
    pub(super) inst: &'a Rc<Instance>,
    pub(super) group: &'a Rc<Group>,
    /// The term that is to end.
    pub(super) term: Term,
    /// How often a server had forgotten what it held when the change began.
    pub(super) forgotten: u64,
    pub(super) begin: Begin,
}

impl Change<'_> {
    pub(super) async fn run(&self) -> Result<Name, Failed> {
        let mut old = self.group.primary();
        let mut others = self.others(old.as_deref());
        let answers = join_all(others.iter().map(|it| self.give(it, Order::Status))).await;
        if self.group.term() > self.term || self.came_back(old.as_deref()) {
            return Err("it is no longer needed");
        }
        let mut known: Vec<(Rc<Upstream>, Status)> =
            others.iter().zip(answers).filter_map(|(it, status)| Some((it.clone(), status?))).collect();
        if let Some(it) = self.lost_leader(&known)? {
            others.retain(|other| other.index != it.index);
            old = Some(it);
        }
        known.retain(|it| it.1.role == Role::Replica);
        self.check_last_copy(&known)?;
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
        let led = match self.record(LeaderRecord { term: self.term, server }).await {
            Some(_) => self.promote(&target).await,
            None => Err("the store doesn't take who led"),
        };
        self.clean(&others, old.as_deref(), &target).await;
        led.map(|()| target.entry().id.clone())
    }

    /// Fails if a primary answers; hands back one that has lost its log, which is replaced like one that is silent.
    fn lost_leader(&self, known: &[(Rc<Upstream>, Status)]) -> Result<Option<Rc<Upstream>>, Failed> {
        let leads = |it: &&(Rc<Upstream>, Status)| it.1.role == Role::Primary && it.1.term >= self.term;
        match known.iter().find(leads) {
            None => Ok(None),
            Some((it, _)) if self.group.lacks(it) => Ok(Some(it.clone())),
            Some(_) => Err("a primary was found"),
        }
    }

    /// Fails where only the lost primary may hold what was acknowledged: a replica came back with nothing in this term, and
    /// none had caught up with the primary since. The primary comes back with its log, or its entry goes; then what is
    /// left has to do.
    fn check_last_copy(&self, replicas: &[(Rc<Upstream>, Status)]) -> Result<(), Failed> {
        let lost = matches!(self.begin.cause, Cause::Silent | Cause::Refused | Cause::Absent);
        let Some(unrecovered) = self.group.unrecovered().filter(|_| lost) else { return Ok(()) };
        let heard = |it: &Upstream| replicas.iter().any(|known| known.0.index == it.index);
        if self.group.led_by().is_some_and(|it| !heard(&it)) {
            return Err("a replica came back with nothing, and only the primary may hold what it had");
        }
        self.inst.counters.increment(Count::Losses);
        let (group, term) = (self.group.name.as_str(), self.term.0);
        log::error!(group, server = unrecovered.as_str(), term; "acknowledged writes may be lost: the server came back with nothing, and the primary is gone");
        Ok(())
    }

    /// Servers beside the primary; those that leave only if there are no others.
    fn others(&self, old: Option<&Upstream>) -> Vec<Rc<Upstream>> {
        let mut others = self.group.servers();
        others.retain(|it| old.is_none_or(|old| old.index != it.index));
        others
    }

    async fn give(&self, it: &Upstream, order: Order) -> Option<Status> {
        send_order(self.inst, self.group, it, &order).await
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
        let leader =
            self.inst.leaders.proven_leader(self.inst, self.group).filter(|id| *id == it.entry().id)?;
        log::info!(group = self.group.name.as_str(), server = leader.as_str(), term = self.term.0; "leads, and was never heard here");
        let proof = LeaderRecord { term: self.term, server: Some(leader) };
        // What another instance recorded meanwhile goes first.
        (self.record(proof.clone()).await? == proof).then(|| it.clone())
    }

    /// The record of who led the group; `leader` becomes it if there was none. None if the store doesn't answer.
    async fn record(&self, leader: LeaderRecord) -> Option<LeaderRecord> {
        self.inst.leaders.ensure_recorded(self.inst, &self.group.name, leader).await
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
    fn longest(
        &self,
        rest: &[&Rc<Upstream>],
        answers: &[Option<Status>],
    ) -> Option<(Rc<Upstream>, LogPosition)> {
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
    ) -> Result<Option<(Rc<Upstream>, LogPosition)>, Failed> {
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
            let token = self.inst.fencing_token().ok_or("the right to promote has ended")?;
            if self.group.forgotten() != self.forgotten {
                return Err("a server that was asked has forgotten what it held");
            }
            self.inst.counters.increment(Count::Promotions);
            let holder = self.inst.settings.name.clone();
            let order =
                self.inst.adapters.promoter.promote(self.group.name.clone(), entry.id.clone(), holder, token);
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
