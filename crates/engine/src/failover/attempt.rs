//! A single failover of a group, from the first status request until the last paused replica is resumed.

use {
    super::{Cause, Failure, Trigger},
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
    tokio::time::{Instant, sleep, timeout},
};

/// Time within which a promoted server must lead; the platform states 300 to 600 ms.
const PROMOTION_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Interval at which the candidate's status is polled, and delay after a refused promotion order.
const POLL_INTERVAL: Duration = Duration::from_millis(40);
/// Maximum time for which paused replicas wait until the old primary has stepped down.
const STEP_DOWN_TIMEOUT: Duration = Duration::from_millis(100);
/// Maximum number of promotion orders per failover.
const MAX_ORDERS: usize = 3;

/// A single failover of a group.
pub(super) struct Attempt<'a> {
    pub(super) inst: &'a Rc<Instance>,
    pub(super) group: &'a Rc<Group>,
    /// The term to end.
    pub(super) term: Term,
    /// Number of restarts and log losses of the group's servers seen when the failover began.
    pub(super) forgotten: u64,
    pub(super) trigger: Trigger,
}

impl Attempt<'_> {
    /// Performs the failover and returns the id of the new primary.
    pub(super) async fn run(&self) -> Result<Name, Failure> {
        let mut old = self.group.primary();
        let mut others = self.others(old.as_deref());
        let answers = join_all(others.iter().map(|s| self.send(s, Order::Status))).await;
        if self.group.term() > self.term || self.is_recovered(old.as_deref()) {
            return Err("the failover is no longer needed");
        }
        let mut replicas: Vec<(Rc<Upstream>, Status)> =
            others.iter().zip(answers).filter_map(|(s, status)| Some((s.clone(), status?))).collect();
        if let Some(primary) = self.find_log_loss(&replicas)? {
            others.retain(|other| other.index != primary.index);
            old = Some(primary);
        }
        replicas.retain(|r| r.1.role == Role::Replica);
        self.check_last_copy(&replicas)?;
        let counts = |s: &Upstream| self.group.counts_for_quorum(s, self.term);
        let has = |at: Lsn| replicas.iter().any(|r| r.1.received.lsn >= at && counts(&r.0));
        if self.trigger.cause == Cause::Stalled && self.trigger.unreplicated.is_some_and(has) {
            // Replicas that didn't answer before may have received the log the whole time.
            return Err("a replica has received the primary's log");
        }
        // The longest log first; of equally long ones, a server that isn't draining.
        replicas.sort_by_key(|r| (std::cmp::Reverse(r.1.received), r.0.entry().draining));
        let Some(candidate) = replicas.first().map(|r| r.0.clone()) else { return Err("no replica answers") };
        if old.is_none() {
            old = self.unseen_primary(&others, &replicas).await;
            others = self.others(old.as_deref());
        }
        let candidate = self.pause_others(&others, &candidate, old.as_ref()).await?;
        // No promotion is ordered in a group without a leader record.
        let server = old.as_ref().map(|s| s.entry().id.clone());
        let result = match self.record(LeaderRecord { term: self.term, server }).await {
            Some(_) => self.promote(&candidate).await,
            None => Err("the store doesn't accept the leader record"),
        };
        self.clean_up(&others, old.as_deref(), &candidate).await;
        result.map(|()| candidate.entry().id.clone())
    }

    /// Returns the primary if it answers but has lost its log; it is replaced like an unreachable one. Fails if another
    /// primary answers.
    fn find_log_loss(&self, statuses: &[(Rc<Upstream>, Status)]) -> Result<Option<Rc<Upstream>>, Failure> {
        let leads = |s: &&(Rc<Upstream>, Status)| s.1.role == Role::Primary && s.1.term >= self.term;
        match statuses.iter().find(leads) {
            None => Ok(None),
            Some((primary, _)) if self.group.has_lost_log(primary) => Ok(Some(primary.clone())),
            Some(_) => Err("a primary was found"),
        }
    }

    /// Fails if only the failed primary may hold acknowledged commits: a replica lost its log in this term, and no
    /// replica has caught up with the primary since. The failover can proceed once the primary is back with its log, or
    /// its entry was removed; in the latter case the remaining logs have to suffice.
    fn check_last_copy(&self, replicas: &[(Rc<Upstream>, Status)]) -> Result<(), Failure> {
        let failed = matches!(self.trigger.cause, Cause::Silent | Cause::Refused | Cause::Absent);
        let Some(unrecovered) = self.group.unrecovered_replica().filter(|_| failed) else { return Ok(()) };
        let answered = |s: &Upstream| replicas.iter().any(|r| r.0.index == s.index);
        if self.group.current_leader().is_some_and(|leader| !answered(&leader)) {
            return Err("a replica came back with nothing, and only the primary may hold what it had");
        }
        self.inst.counters.increment(Count::Losses);
        let (group, term) = (self.group.name.as_str(), self.term.0);
        log::error!(group, server = unrecovered.as_str(), term; "acknowledged writes may be lost: the replica lost its log, and the primary is no longer available");
        Ok(())
    }

    /// Returns the group's servers except the old primary.
    fn others(&self, old: Option<&Upstream>) -> Vec<Rc<Upstream>> {
        let mut others = self.group.servers();
        others.retain(|s| old.is_none_or(|old| old.index != s.index));
        others
    }

    async fn send(&self, server: &Upstream, order: Order) -> Option<Status> {
        send_order(self.inst, self.group, server, &order).await
    }

    /// Returns the primary if this instance never had contact with it: the only server without an answer, provided that
    /// it is proven to be the leader. Otherwise, that server may be a replica that confirms another server's commits.
    async fn unseen_primary(
        &self,
        others: &[Rc<Upstream>],
        replicas: &[(Rc<Upstream>, Status)],
    ) -> Option<Rc<Upstream>> {
        let mut rest = others.iter().filter(|s| replicas.iter().all(|r| r.0.index != s.index));
        let is_settled = self.group.is_settled(self.inst.now());
        let (Some(server), None, true) = (rest.next(), rest.next(), is_settled) else { return None };
        let leader =
            self.inst.leaders.proven_leader(self.inst, self.group).filter(|id| *id == server.entry().id)?;
        log::info!(group = self.group.name.as_str(), server = leader.as_str(), term = self.term.0; "leads, and was never heard here");
        let proof = LeaderRecord { term: self.term, server: Some(leader) };
        // A record written by another instance in the meantime takes precedence.
        (self.record(proof.clone()).await? == proof).then(|| server.clone())
    }

    /// Returns the group's leader record; `leader` is written if there is none. Returns none if the store doesn't
    /// answer.
    async fn record(&self, leader: LeaderRecord) -> Option<LeaderRecord> {
        self.inst.leaders.ensure_recorded(self.inst, &self.group.name, leader).await
    }

    /// Returns true if the primary has been in contact again since the failover was triggered.
    fn is_recovered(&self, old: Option<&Upstream>) -> bool {
        let Some(old) = old else { return false };
        match self.trigger.cause {
            Cause::Silent => old.unanswered_since().is_none(),
            Cause::Refused => old.refused_since().is_none(),
            Cause::Leaving | Cause::Stalled | Cause::Absent => false,
        }
    }

    /// Pauses replication on every replica except the candidate; if a replica can't be reached, the old primary has to
    /// step down instead. Returns the candidate, which changes if a paused replica turns out to have a longer log.
    async fn pause_others(
        &self,
        others: &[Rc<Upstream>],
        candidate: &Rc<Upstream>,
        old: Option<&Rc<Upstream>>,
    ) -> Result<Rc<Upstream>, Failure> {
        let next = Term(self.term.0 + 1);
        let rest: Vec<&Rc<Upstream>> = others.iter().filter(|s| s.index != candidate.index).collect();
        let answers = join_all(rest.iter().map(|s| self.send(s, Order::Pause(next)))).await;
        let longest = match answers.iter().any(Option::is_none) {
            // A replica that isn't paused may come back at any time and confirm commits of the old primary.
            true => self.step_down(old, candidate, next).await,
            false => Ok(self.longest_log(&rest, &answers)),
        };
        let Some((longest, received)) = (match longest {
            Ok(longest) => longest,
            Err(why) => {
                self.resume(&rest).await;
                return Err(why);
            }
        }) else {
            return Ok(candidate.clone());
        };
        let own = self.send(candidate, Order::Status).await.ok_or("the candidate doesn't answer")?;
        if own.received >= received {
            return Ok(candidate.clone());
        }
        // The entries that the candidate lacks may have been acknowledged by another server.
        match self.send(candidate, Order::Pause(next)).await {
            Some(_) => Ok(longest),
            None => Err("the candidate doesn't answer"),
        }
    }

    /// Returns the paused replica with the longest log, and its log position.
    fn longest_log(
        &self,
        rest: &[&Rc<Upstream>],
        answers: &[Option<Status>],
    ) -> Option<(Rc<Upstream>, LogPosition)> {
        let paused = rest.iter().zip(answers);
        let paused = paused.filter_map(|(s, status)| Some(((*s).clone(), status.as_ref()?.received)));
        paused.max_by_key(|p| p.1)
    }

    /// Makes the old primary step down if a replica can't be paused, and returns the old primary and its log position.
    /// The replica that isn't paused may have acknowledged entries that the candidate lacks. If the old primary has such
    /// entries, it stays the primary or becomes the candidate.
    async fn step_down(
        &self,
        old: Option<&Rc<Upstream>>,
        candidate: &Upstream,
        next: Term,
    ) -> Result<Option<(Rc<Upstream>, LogPosition)>, Failure> {
        const NOT_FENCED: Failure = "neither all replicas nor the primary can be stopped";
        let old = old.ok_or(NOT_FENCED)?;
        let (before, own) = tokio::join!(self.send(old, Order::Status), self.send(candidate, Order::Status));
        let (before, own) = (before.ok_or(NOT_FENCED)?, own.ok_or("the candidate doesn't answer")?);
        if own.received < before.received {
            return Err("the primary's log is longer than the candidate's");
        }
        let after = self.send(old, Order::StepDown(next)).await.filter(|status| status.role == Role::Replica);
        let after = after.ok_or(NOT_FENCED)?;
        // Entries in flight to the candidate arrive in the meantime.
        sleep(POLL_INTERVAL).await;
        Ok(Some((old.clone(), after.received)))
    }

    /// Orders the promotion of a server until it leads, at most [`MAX_ORDERS`] times. An instance that is draining doesn't
    /// repeat an order: the next holder of the lease begins anew.
    async fn promote(&self, candidate: &Upstream) -> Result<(), Failure> {
        let entry = candidate.entry();
        for orders in 0..MAX_ORDERS {
            if orders > 0 && self.inst.draining_since().is_some() {
                return Err("this instance is leaving");
            }
            let token = self.inst.fencing_token().ok_or("the failover lease has expired")?;
            if self.group.evidence_resets() != self.forgotten {
                return Err("a server that was asked has forgotten what it held");
            }
            self.inst.counters.increment(Count::Promotions);
            let holder = self.inst.settings.name.clone();
            let order =
                self.inst.adapters.promoter.promote(self.group.name.clone(), entry.id.clone(), holder, token);
            let outcome = order.await;
            log::info!(group = self.group.name.as_str(), server = entry.id.as_str(), token, outcome:? = outcome; "promotion ordered");
            match outcome {
                Ok(()) | Err(PromoteError::Unanswered { .. }) => {}
                Err(PromoteError::NotRunning) => return Err("the candidate isn't running"),
                Err(PromoteError::Refused { .. }) => {
                    sleep(POLL_INTERVAL).await;
                    continue;
                }
            }
            if self.wait_promoted(candidate).await {
                return Ok(());
            }
        }
        Err("the candidate doesn't lead")
    }

    /// Waits until a server leads a later term; returns false after [`PROMOTION_TIMEOUT`].
    async fn wait_promoted(&self, candidate: &Upstream) -> bool {
        let deadline = Instant::now() + PROMOTION_TIMEOUT;
        while Instant::now() < deadline {
            match self.send(candidate, Order::Status).await {
                Some(status) if status.role == Role::Primary && status.term > self.term => return true,
                _ => sleep(POLL_INTERVAL).await,
            }
        }
        false
    }

    /// Makes the old primary step down if it is reachable, then resumes paused replicas.
    ///
    /// A replica that is resumed and doesn't reach the new primary would receive from the old one again, and confirm commits
    /// that are lost when it follows the new one. An old primary that doesn't answer delays the replicas by
    /// [`STEP_DOWN_TIMEOUT`] only, because the new primary can't acknowledge commits without them.
    async fn clean_up(&self, others: &[Rc<Upstream>], old: Option<&Upstream>, candidate: &Upstream) {
        let rest: Vec<&Rc<Upstream>> = others.iter().filter(|s| s.index != candidate.index).collect();
        let term = self.group.term();
        let step_down = async {
            let is_other = |s: &&Upstream| s.index != candidate.index && s.unanswered_since().is_none();
            if let Some(old) = old.filter(|s| term > self.term && is_other(s)) {
                self.send(old, Order::StepDown(term)).await;
            }
        };
        tokio::pin!(step_down);
        match timeout(STEP_DOWN_TIMEOUT, &mut step_down).await {
            Ok(()) => self.resume(&rest).await,
            Err(_) => drop(tokio::join!(self.resume(&rest), step_down)),
        }
    }

    async fn resume(&self, servers: &[&Rc<Upstream>]) {
        join_all(servers.iter().map(|s| self.send(s, Order::Resume))).await;
    }
}
