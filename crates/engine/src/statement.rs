//! Execution of one statement: its freshness requirement, its channel to a server, and the records kept of its answer.

use {
    crate::{
        channel::{Channel, ChannelRequest, CommandRef, Direct, DirectError, RunError},
        conn::SessionValues,
        count::Count,
        group::Group,
        instance::{Instance, Micros, micros},
        model::{Answer, ErrorCode, ReadPolicy, Route, Statement, StatementKind, TxnState},
        organisation::Owner,
        pool::ConnRequest,
        ports::{Forward, Text},
        progress::Progress,
        session::{Prepared, Session, error_text},
        settings::{LIVENESS_CHECK_DELAY, RETRY_AFTER_MS, SLOW_FRACTION, STALENESS_MARGIN, TXN_STATEMENTS},
        upstream::{Exchange, Upstream},
    },
    bytes::Bytes,
    pondtrack_core::{
        budget::{Budget, Mode, TimeLimits, Wait},
        retry::Backoff,
        scheduler::{Rank, Share},
    },
    pondtrack_proto::LogPosition,
    std::{cell::Cell, rc::Rc, time::Duration},
    tokio::time::{Instant, sleep_until, timeout},
    xxhash_rust::xxh3::xxh3_64,
};

/// Execution of one statement, from its arrival to its answer.
pub struct Execution<'a> {
    /// The instance that runs the statement.
    pub inst: Rc<Instance>,
    /// The database's group, read policy, priority and time limits.
    pub route: Rc<Route>,
    /// The statement.
    pub statement: &'a Statement,
    /// The organisation or shared owner that the statement is accounted to.
    pub owner: Owner,
    /// The named statement that an `Execute` refers to.
    pub named: Option<Prepared>,
    /// The time of arrival.
    pub arrived: Instant,
    /// The time of arrival on the instance's clock.
    pub arrived_at: Micros,
    /// The time by which the statement has to be answered.
    pub deadline: Instant,
    /// Limits on the waits before a server has the statement.
    budget: Cell<Budget>,
    /// State shared with the task that watches the caller's connection.
    progress: Rc<Progress>,
}

/// A statement with the session state and limits that a channel needs to run it.
pub struct ServerRequest {
    id: Bytes,
    text: Bytes,
    /// The position that the server's log must have reached.
    min_position: Option<LogPosition>,
    values: SessionValues,
    named: Option<Prepared>,
    rank: Rank,
    /// The latency in microseconds above which the statement counts as slow.
    slow_threshold: Micros,
    deadline: Instant,
    progress: Rc<Progress>,
}

impl ServerRequest {
    /// Marks the request as part of an open transaction.
    pub fn pinned(mut self) -> ServerRequest {
        self.rank.pinned = true;
        self
    }

    /// Runs the request on a channel. Requests a status from the server if no answer comes within [`LIVENESS_CHECK_DELAY`].
    pub async fn run(
        &self,
        inst: &Rc<Instance>,
        up: &Upstream,
        channel: &mut Channel,
    ) -> Result<Answer, RunError> {
        let text = match &self.named {
            Some(named) => Text::Execute { name: &named.alias, args: &self.text },
            None => Text::Plain(&self.text),
        };
        let what = CommandRef::Statement(Forward { id: &self.id, text, after: self.min_position });
        let sending = ChannelRequest {
            values: Some(&self.values),
            named: self.named.as_ref(),
            command: what,
            rank: Some(self.rank),
            slow_after: self.slow_threshold,
            stall_timeout: up.stall_timeout(inst.now()),
            deadline: self.deadline,
            progress: Some(&self.progress),
        };
        let answer = channel.run(inst, sending);
        tokio::pin!(answer);
        match timeout(LIVENESS_CHECK_DELAY, &mut answer).await {
            Ok(result) => result,
            Err(_) => {
                up.request_status_since(inst.now().saturating_sub(micros(LIVENESS_CHECK_DELAY)));
                answer.await
            }
        }
    }
}

/// The log position that a read has to reflect.
#[derive(Clone, Copy, Debug)]
pub struct ReadRequirement {
    /// The position; none if the read has to run on the primary.
    pub mark: Option<LogPosition>,
    /// The time since which the primary is known to have reached the position.
    pub since: Micros,
}

impl ReadRequirement {
    /// Updates a server's replication lag estimate from its answer.
    pub fn record_lag(&self, up: &Upstream, answer: &Answer, sent: Micros, now: Micros) {
        if self.mark.is_none() {
            return;
        }
        let age = sent.saturating_sub(self.since);
        match answer.error_code() {
            None => up.record_lag(age, true, now),
            Some(ErrorCode::Lagging) => up.record_lag(age, false, now),
            Some(_) => {}
        }
    }
}

/// The refusal text for a statement that would wait too long in a server's queue.
pub const SERVER_OVERLOADED: &str = "the server has too much to do to answer in time";

/// The refusal text for a result from a primary that no replica has confirmed.
pub const PRIMARY_UNCONFIRMED: &str = "the primary isn't confirmed";

/// An error before a statement was sent to a server.
pub enum DispatchError {
    /// The statement couldn't be sent to the chosen server, and may be retried.
    Retry,
    /// No time is left: the refusal text, and the counter to increment if the caller gets that refusal.
    OutOfTime(&'static str, Option<Count>),
}

/// The answer for a statement that did not run, with the time after which the caller may retry.
pub fn busy(reason: &str, txn: TxnState) -> Answer {
    Answer::error(ErrorCode::Busy, error_text(format!("{reason}; come back in {RETRY_AFTER_MS} ms")), txn)
}

impl<'a> Execution<'a> {
    /// Starts the execution of a statement that has just arrived.
    pub fn new(
        inst: Rc<Instance>,
        route: Rc<Route>,
        owner: Owner,
        statement: &'a Statement,
        named: Option<Prepared>,
        arrived: Instant,
        progress: Rc<Progress>,
    ) -> Execution<'a> {
        let arrived_at = inst.now();
        let deadline = arrived + route.timeout;
        let allowance =
            TimeLimits { arrived_at, objective: micros(route.objective), timeout: micros(route.timeout) };
        let limited = inst.config().is_some_and(|config| config.is_limited());
        let rule = if limited { Mode::Objective } else { Mode::PerWait };
        let budget = Cell::new(Budget::new(allowance, rule));
        Execution { inst, route, statement, owner, named, arrived, arrived_at, deadline, budget, progress }
    }

    /// Returns the log position that a read has to reflect under the route's policy.
    ///
    /// # Errors
    ///
    /// [`DispatchError::OutOfTime`] if the group's state isn't known in time.
    pub async fn requirement(
        &self,
        session: &Session,
        group: &Group,
    ) -> Result<ReadRequirement, DispatchError> {
        let Some(age) = self.route.policy.max_age() else {
            return Ok(ReadRequirement { mark: None, since: 0 });
        };
        let required = group
            .required_position(
                &self.inst,
                age.saturating_sub(STALENESS_MARGIN),
                self.wait_deadline(Wait::Evidence),
            )
            .await;
        let (since, mark) = required.ok_or_else(|| self.out_of_time(Wait::Evidence))?;
        let own = session.mark.filter(|_| matches!(self.route.policy, ReadPolicy::OwnWrites(_)));
        match own {
            Some((own, at)) if own.lsn > mark.lsn => Ok(ReadRequirement { mark: Some(own), since: at }),
            _ => Ok(ReadRequirement { mark: Some(mark), since }),
        }
    }

    /// Waits for the group's primary.
    ///
    /// # Errors
    ///
    /// [`DispatchError::OutOfTime`] if no primary answers in time.
    pub async fn primary(&self, group: &Group) -> Result<Rc<Upstream>, DispatchError> {
        let found = group.wait_primary(&self.inst, self.wait_deadline(Wait::Primary)).await;
        let up = found.ok_or_else(|| self.out_of_time(Wait::Primary))?;
        self.budget.set(self.budget.get().after_primary_found(self.inst.now()));
        Ok(up)
    }

    /// Opens a channel to a server: a connection of this instance, or a relay through another instance.
    ///
    /// # Errors
    ///
    /// [`DispatchError::Retry`] if the server can't be reached or has no connection free,
    /// [`DispatchError::OutOfTime`] if it rejects the statement for its load or the wait has used up the budget.
    pub async fn open_channel(
        &self,
        session: &Session,
        up: &Rc<Upstream>,
        deadline: Instant,
    ) -> Result<Channel, DispatchError> {
        let deadline = deadline.min(self.deadline).min(self.queue_deadline());
        self.inst.update_placement(up);
        if !up.is_directly_reachable() {
            return self.relay(up, deadline).await;
        }
        // Transactions may occupy this instance's connections for long, while other instances have free ones.
        if up.pool.is_all_pinned()
            && let Ok(channel) = self.relay(up, deadline).await
        {
            return Ok(channel);
        }
        let want = ConnRequest {
            priority: self.route.priority,
            deadline,
            values: Some(session.values.clone()),
            owner: Some(self.owner.clone()),
        };
        match Direct::open(&self.inst, up, Some(self.rank_at(up)), self.slow_threshold(), want).await {
            Ok(direct) => Ok(Channel::Direct(direct)),
            Err(DirectError::Refused) => Err(DispatchError::OutOfTime(SERVER_OVERLOADED, None)),
            Err(DirectError::TimedOut(wait)) if self.is_overdue() => Err(self.out_of_time(wait)),
            Err(DirectError::TimedOut(_)) => Err(DispatchError::Retry),
            Err(DirectError::Full) => self.relay(up, deadline).await,
            Err(DirectError::Unreachable(e)) => {
                if self.inst.may_log() {
                    log::info!(server = up.entry().id.as_str(); "{e}");
                }
                up.record_connect_failure(self.inst.now(), e.is_refusal());
                Err(DispatchError::Retry)
            }
        }
    }

    async fn relay(&self, up: &Upstream, deadline: Instant) -> Result<Channel, DispatchError> {
        let relayed = up.open_relayed(&self.inst, &self.owner, deadline).await;
        relayed.map(Channel::Relayed).ok_or(DispatchError::Retry)
    }

    /// The deadline for waiting on an overloaded server. After that the caller is refused and may retry later.
    fn queue_deadline(&self) -> Instant {
        self.wait_deadline(Wait::Permit).min(self.wait_deadline(Wait::Connection))
    }

    fn wait_deadline(&self, wait: Wait) -> Instant {
        self.arrived + Duration::from_micros(self.budget.get().deadline(wait) - self.arrived_at)
    }

    /// Returns true if a statement that no server has run is no longer retried. While the group has no primary,
    /// retries continue even with the budget spent, to wait for the failover to complete.
    pub fn stops_retrying(&self, group: &Group) -> bool {
        self.budget.get().is_exhausted(self.inst.now()) && group.primary().is_some()
    }

    /// The error for a wait that has reached its deadline.
    fn out_of_time(&self, wait: Wait) -> DispatchError {
        let (count, reason) = match wait {
            Wait::Quota => (Count::OverLimit, "the organisation has used its quota"),
            Wait::Evidence => (Count::NoEvidence, "the group's state isn't known"),
            Wait::Primary => (Count::NoPrimary, "the group has no primary"),
            Wait::Permit => (Count::NoPermit, "too much to do"),
            Wait::Connection => (Count::NoConnection, "no connection is free"),
        };
        DispatchError::OutOfTime(reason, Some(count))
    }

    /// Returns the refusal for the caller, or none if the statement may be retried.
    pub fn refusal(&self, e: DispatchError) -> Option<Answer> {
        match e {
            DispatchError::Retry => None,
            DispatchError::OutOfTime(reason, counter) => {
                self.count_timeout(counter);
                Some(busy(reason, TxnState::Idle))
            }
        }
    }

    /// Counts a statement that is refused because a wait has reached its deadline.
    pub fn count_timeout(&self, counter: Option<Count>) {
        if let Some(counter) = counter {
            self.inst.counters.increment(counter);
        }
    }

    /// Returns true if the statement has reached the deadline for waiting on an overloaded server.
    pub fn is_overdue(&self) -> bool {
        Instant::now() >= self.queue_deadline()
    }

    /// The owner's weighted share of a server; the default if the configuration has no organisations.
    fn share(&self) -> Share {
        let Some(config) = self.inst.config() else { return Share::default() };
        config.organisations.as_ref().map(|orgs| orgs.share(&self.owner)).unwrap_or_default()
    }

    /// The statement's rank in a server's queue.
    fn rank(&self) -> Rank {
        Rank {
            share: self.share(),
            pinned: false,
            priority: self.route.priority,
            soft_deadline: self.arrived_at + micros(self.route.objective),
            kind: xxh3_64(self.route.database.as_bytes()),
            cost: self.inst.statement_latency(&self.route.database),
            statements: if matches!(self.statement.kind, StatementKind::Begin(_)) {
                TXN_STATEMENTS
            } else {
                1
            },
        }
    }

    /// The rank for one server, with its expected latency subtracted from the deadline.
    fn rank_at(&self, up: &Upstream) -> Rank {
        let rank = self.rank();
        Rank {
            soft_deadline: rank.soft_deadline.saturating_sub(up.latency.get().get(self.inst.now()) as Micros),
            ..rank
        }
    }

    /// Builds the request for a server whose log must have reached `min_position`.
    pub fn request(&self, session: &Session, min_position: Option<LogPosition>) -> ServerRequest {
        let text = match &self.statement.kind {
            StatementKind::Execute { args, .. } if self.named.is_some() => args,
            _ => &self.statement.text,
        };
        ServerRequest {
            id: self.statement.id.clone(),
            text: text.clone(),
            min_position,
            values: session.values.clone(),
            named: self.named.clone(),
            rank: self.rank(),
            slow_threshold: self.slow_threshold(),
            deadline: self.deadline,
            progress: self.progress.clone(),
        }
    }

    /// The latency in microseconds above which the statement counts as slow.
    fn slow_threshold(&self) -> Micros {
        micros(self.route.objective.mul_f64(SLOW_FRACTION))
    }

    /// Updates the server's state, the statement costs and the counters from an answer.
    pub fn record_answer(
        &self,
        group: &Group,
        up: &Upstream,
        answer: &Answer,
        sent: Micros,
        channel: &Channel,
    ) {
        let direct = channel.peer().is_none();
        up.record_answer(
            &self.inst,
            group,
            answer,
            Exchange { sent_at: sent, slow_after: self.slow_threshold(), direct },
        );
        match answer.error_code() {
            None => {
                self.inst.counters.increment(Count::Statements);
                let latency = self.inst.now() - sent;
                self.inst.record_latency(&self.route.database, latency, channel.has_queue());
            }
            Some(ErrorCode::Busy) => self.inst.counters.increment(Count::ServerBusy),
            Some(ErrorCode::Lagging) => self.inst.counters.increment(Count::ServerLagging),
            Some(_) => {}
        }
    }

    /// Delays the answer to a commit until a replica has received the commit, and it is visible wherever a former primary may
    /// be read from. Returns an unknown outcome if that isn't confirmed before the deadline or the term ends first.
    pub async fn acknowledge_commit(&self, session: &mut Session, group: &Group, answer: Answer) -> Answer {
        let Some(mark) = answer.mark else { return answer };
        let started = Instant::now();
        let replicated = group.wait_replicated(&self.inst, mark.term, mark.lsn, self.deadline).await;
        let visible = replicated && group.wait_visible(&self.inst, mark, self.deadline).await;
        self.inst.counters.record_replication_wait(started.elapsed());
        match (replicated, visible) {
            (false, _) => unknown_outcome("the commit isn't known to last"),
            (true, false) => unknown_outcome("the commit isn't known to be visible at a former primary"),
            (true, true) => {
                session.mark = Some((mark, self.inst.now()));
                answer
            }
        }
    }

    /// Waits before a retry, up to the statement's deadline.
    pub async fn back_off(&self, backoff: &mut Backoff) {
        let ms = backoff.next_delay(&mut *self.inst.rng());
        sleep_until((Instant::now() + Duration::from_millis(ms)).min(self.deadline)).await;
    }
}

/// The answer for a statement that may or may not have taken effect.
pub fn unknown_outcome(reason: &str) -> Answer {
    Answer::error(ErrorCode::Unknown, error_text(reason), TxnState::Idle)
}
