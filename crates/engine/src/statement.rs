//! A statement on its way: what it needs, how it gets to a server, and what its answer shows.

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
        session::{Prepared, Session, text},
        settings::{LIVENESS_CHECK_DELAY, RETRY_AFTER_MS, SLOW_FRACTION, STALENESS_MARGIN, TXN_STATEMENTS},
        upstream::{Exchange, Upstream},
    },
    bytes::Bytes,
    pondtrack_core::{
        budget::{Allowance, Budget, Rule, Wait},
        retry::Backoff,
        turn::{Rank, Share},
    },
    pondtrack_proto::LogPosition,
    std::{cell::Cell, rc::Rc, time::Duration},
    tokio::time::{Instant, sleep_until, timeout},
    xxhash_rust::xxh3::xxh3_64,
};

/// A statement on its way.
pub struct Work<'a> {
    /// The instance.
    pub inst: Rc<Instance>,
    /// How the database is served.
    pub route: Rc<Route>,
    /// The statement.
    pub it: &'a Statement,
    /// Whose it is.
    pub owner: Owner,
    /// The named statement that it runs.
    pub named: Option<Prepared>,
    /// When it arrived.
    pub arrived: Instant,
    /// The same on the instance's clock.
    pub since: Micros,
    /// When it has to be answered.
    pub end: Instant,
    /// How long it may wait before a server has it.
    budget: Cell<Budget>,
    /// How far it has come.
    progress: Rc<Progress>,
}

/// A statement with all that goes along to a server.
pub struct Parcel {
    id: Bytes,
    text: Bytes,
    after: Option<LogPosition>,
    values: SessionValues,
    named: Option<Prepared>,
    rank: Rank,
    slow: Micros,
    end: Instant,
    progress: Rc<Progress>,
}

impl Parcel {
    /// The same in an open transaction.
    pub fn pinned(mut self) -> Parcel {
        self.rank.pinned = true;
        self
    }

    /// Runs it; a server that doesn't answer for a while is asked whether it is there.
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
        let what = CommandRef::Statement(Forward { id: &self.id, text, after: self.after });
        let sending = ChannelRequest {
            values: Some(&self.values),
            named: self.named.as_ref(),
            command: what,
            rank: Some(self.rank),
            slow_after: self.slow,
            stall_timeout: up.stall_timeout(inst.now()),
            deadline: self.end,
            progress: Some(&self.progress),
        };
        let work = channel.run(inst, sending);
        tokio::pin!(work);
        match timeout(LIVENESS_CHECK_DELAY, &mut work).await {
            Ok(it) => it,
            Err(_) => {
                up.request_status_since(inst.now().saturating_sub(micros(LIVENESS_CHECK_DELAY)));
                work.await
            }
        }
    }
}

/// What a read has to show.
#[derive(Clone, Copy, Debug)]
pub struct Need {
    /// The position, unless only the primary will do.
    pub mark: Option<LogPosition>,
    /// Since when the primary has had it.
    pub since: Micros,
}

impl Need {
    /// Learns from an answer how far a server is behind.
    pub fn learn(&self, up: &Upstream, answer: &Answer, sent: Micros, now: Micros) {
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

/// Why a statement is refused that would wait for too long.
pub const NO_TIME: &str = "the server has too much to do to answer in time";

/// Why what a primary showed isn't passed on.
pub const UNCONFIRMED: &str = "the primary isn't confirmed";

/// Why a statement isn't at a server.
pub enum Miss {
    /// It couldn't be sent to this one.
    Again,
    /// There is no time left; what counts it where its caller is told so.
    Late(&'static str, Option<Count>),
}

/// The refusal of a statement that did not run.
pub fn busy(why: &str, txn: TxnState) -> Answer {
    Answer::error(ErrorCode::Busy, text(format!("{why}; come back in {RETRY_AFTER_MS} ms")), txn)
}

impl<'a> Work<'a> {
    /// A statement that has just arrived.
    pub fn new(
        inst: Rc<Instance>,
        route: Rc<Route>,
        owner: Owner,
        it: &'a Statement,
        named: Option<Prepared>,
        arrived: Instant,
        progress: Rc<Progress>,
    ) -> Work<'a> {
        let since = inst.now();
        let end = arrived + route.timeout;
        let allowance =
            Allowance { arrived: since, objective: micros(route.objective), limit: micros(route.timeout) };
        let limited = inst.config().is_some_and(|it| it.is_limited());
        let rule = if limited { Rule::Objective } else { Rule::Limit };
        let budget = Cell::new(Budget::new(allowance, rule));
        Work { inst, route, it, owner, named, arrived, since, end, budget, progress }
    }

    /// What the read has to show.
    pub async fn need(&self, session: &Session, group: &Group) -> Result<Need, Miss> {
        let Some(age) = self.route.policy.max_age() else { return Ok(Need { mark: None, since: 0 }) };
        let needed = group
            .required_position(&self.inst, age.saturating_sub(STALENESS_MARGIN), self.until(Wait::Evidence))
            .await;
        let (since, mark) = needed.ok_or_else(|| self.late(Wait::Evidence))?;
        let own = session.mark.filter(|_| matches!(self.route.policy, ReadPolicy::OwnWrites(_)));
        match own {
            Some((own, at)) if own.lsn > mark.lsn => Ok(Need { mark: Some(own), since: at }),
            _ => Ok(Need { mark: Some(mark), since }),
        }
    }

    /// A primary that answers.
    pub async fn primary(&self, group: &Group) -> Result<Rc<Upstream>, Miss> {
        let found = group.wait_primary(&self.inst, self.until(Wait::Primary)).await;
        let it = found.ok_or_else(|| self.late(Wait::Primary))?;
        self.budget.set(self.budget.get().found_primary(self.inst.now()));
        Ok(it)
    }

    /// A way to a server.
    pub async fn reach(&self, session: &Session, up: &Rc<Upstream>, until: Instant) -> Result<Channel, Miss> {
        let until = until.min(self.end).min(self.hold());
        self.inst.place(up);
        if !up.is_reachable() {
            return self.relay(up, until).await;
        }
        // Transactions may rest on connections for long; others have theirs free.
        if up.pool.is_all_pinned()
            && let Ok(it) = self.relay(up, until).await
        {
            return Ok(it);
        }
        let want = ConnRequest {
            priority: self.route.priority,
            deadline: until,
            values: Some(session.values.clone()),
            owner: Some(self.owner.clone()),
        };
        match Direct::open(&self.inst, up, Some(self.rank_at(up)), self.slow(), want).await {
            Ok(it) => Ok(Channel::Direct(it)),
            Err(DirectError::Refused) => Err(Miss::Late(NO_TIME, None)),
            Err(DirectError::TimedOut(wait)) if self.is_held() => Err(self.late(wait)),
            Err(DirectError::TimedOut(_)) => Err(Miss::Again),
            Err(DirectError::Full) => self.relay(up, until).await,
            Err(DirectError::Unreachable(e)) => {
                if self.inst.may_log() {
                    log::info!(server = up.entry().id.as_str(); "{e}");
                }
                up.record_connect_failure(self.inst.now(), e.is_refusal());
                Err(Miss::Again)
            }
        }
    }

    async fn relay(&self, up: &Upstream, until: Instant) -> Result<Channel, Miss> {
        let found = up.open_relayed(&self.inst, &self.owner, until).await;
        found.map(Channel::Relayed).ok_or(Miss::Again)
    }

    /// Until when a statement waits for a server that has too much to do; then its caller is told to come
    /// back.
    fn hold(&self) -> Instant {
        self.until(Wait::Turn).min(self.until(Wait::Connection))
    }

    fn until(&self, wait: Wait) -> Instant {
        self.arrived + Duration::from_micros(self.budget.get().until(wait) - self.since)
    }

    /// Whether a statement that no server has run is not tried again. A change of primary is waited for all the same.
    pub fn gives_up(&self, group: &Group) -> bool {
        self.budget.get().is_spent(self.inst.now()) && group.primary().is_some()
    }

    /// It has waited in vain.
    fn late(&self, wait: Wait) -> Miss {
        let (count, why) = match wait {
            Wait::Quota => (Count::OverLimit, "the organisation has used its quota"),
            Wait::Evidence => (Count::NoEvidence, "the group's state isn't known"),
            Wait::Primary => (Count::NoPrimary, "the group has no primary"),
            Wait::Turn => (Count::NoPermit, "too much to do"),
            Wait::Connection => (Count::NoConnection, "no connection is free"),
        };
        Miss::Late(why, Some(count))
    }

    /// The refusal, if there is no use in another try.
    pub fn refusal(&self, it: Miss) -> Option<Answer> {
        match it {
            Miss::Again => None,
            Miss::Late(why, held) => {
                self.count_held(held);
                Some(busy(why, TxnState::Idle))
            }
        }
    }

    /// Its caller is told that it has waited in vain.
    pub fn count_held(&self, held: Option<Count>) {
        if let Some(it) = held {
            self.inst.counters.increment(it);
        }
    }

    /// Whether it has waited for as long as that.
    pub fn is_held(&self) -> bool {
        Instant::now() >= self.hold()
    }

    /// Whose share of a server it uses, where callers are told apart.
    fn share(&self) -> Share {
        let Some(desired) = self.inst.config() else { return Share::default() };
        desired.organisations.as_ref().map(|it| it.share(&self.owner)).unwrap_or_default()
    }

    fn rank(&self) -> Rank {
        Rank {
            share: self.share(),
            pinned: false,
            priority: self.route.priority,
            aim: self.since + micros(self.route.objective),
            kind: xxh3_64(self.route.database.as_bytes()),
            cost: self.inst.cost(&self.route.database),
            statements: if matches!(self.it.verb, StatementKind::Begin(_)) { TXN_STATEMENTS } else { 1 },
        }
    }

    /// The same at a server: what it takes there is taken off the time that is left.
    fn rank_at(&self, up: &Upstream) -> Rank {
        let it = self.rank();
        Rank { aim: it.aim.saturating_sub(up.latency.get().expected(self.inst.now()) as Micros), ..it }
    }

    /// The statement with all that goes along.
    pub fn parcel(&self, session: &Session, after: Option<LogPosition>) -> Parcel {
        let text = match &self.it.verb {
            StatementKind::Execute { args, .. } if self.named.is_some() => args,
            _ => &self.it.text,
        };
        Parcel {
            id: self.it.id.clone(),
            text: text.clone(),
            after,
            values: session.values.clone(),
            named: self.named.clone(),
            rank: self.rank(),
            slow: self.slow(),
            end: self.end,
            progress: self.progress.clone(),
        }
    }

    /// A statement that takes longer than this is slow.
    fn slow(&self) -> Micros {
        micros(self.route.objective.mul_f64(SLOW_FRACTION))
    }

    /// Draws conclusions from an answer.
    pub fn judge(&self, group: &Group, up: &Upstream, answer: &Answer, sent: Micros, channel: &Channel) {
        let direct = channel.peer().is_none();
        up.record_answer(
            &self.inst,
            group,
            answer,
            Exchange { sent_at: sent, slow_after: self.slow(), direct },
        );
        match answer.error_code() {
            None => {
                self.inst.counters.increment(Count::Statements);
                let took = self.inst.now() - sent;
                self.inst.spent(&self.route.database, took, channel.has_queue());
            }
            Some(ErrorCode::Busy) => self.inst.counters.increment(Count::ServerBusy),
            Some(ErrorCode::Lagging) => self.inst.counters.increment(Count::ServerLagging),
            Some(_) => {}
        }
    }

    /// Holds the answer to a commit until a replica has it.
    pub async fn acknowledge(&self, session: &mut Session, group: &Group, answer: Answer) -> Answer {
        let Some(mark) = answer.mark else { return answer };
        let began = Instant::now();
        let held = group.wait_replicated(&self.inst, mark.term, mark.lsn, self.end).await;
        self.inst.counters.record_replication_wait(began.elapsed());
        if !held {
            return unknown("the commit isn't known to last");
        }
        session.mark = Some((mark, self.inst.now()));
        answer
    }

    /// Waits before another try.
    pub async fn pause(&self, backoff: &mut Backoff) {
        let ms = backoff.next_delay(&mut *self.inst.rng());
        sleep_until((Instant::now() + Duration::from_millis(ms)).min(self.end)).await;
    }
}

/// The answer where nothing is known.
pub fn unknown(why: &str) -> Answer {
    Answer::error(ErrorCode::Unknown, text(why), TxnState::Idle)
}
