//! Transactions. A transaction runs on one connection to one server from its first statement to its last.

use {
    crate::{
        channel::{Channel, ChannelRequest, CommandRef, RunError},
        count::Count,
        group::Group,
        instance::{Instance, Micros},
        model::{Access, Answer, ErrorCode, Order, ReadPolicy, Route, TxnState},
        organisation::Owner,
        session::{Session, error_text},
        settings::{MAX_ATTEMPTS, ORDER_TIMEOUT, RETRY_BACKOFF_MS},
        statement::{Execution, PRIMARY_UNCONFIRMED, SERVER_OVERLOADED, busy, unknown_outcome},
        upstream::Upstream,
    },
    pondtrack_core::retry::Backoff,
    std::rc::Rc,
    tokio::time::Instant,
};

/// A session's transaction.
pub enum Txn {
    /// No transaction.
    None,
    /// An open transaction.
    Open(Box<OpenTxn>),
    /// A transaction that was rolled back without a request of the caller, with the reason. The caller gets the error
    /// in answer to its next statement.
    Aborted(&'static str),
}

/// An open transaction.
pub struct OpenTxn {
    inst: Rc<Instance>,
    group: Rc<Group>,
    up: Rc<Upstream>,
    route: Rc<Route>,
    owner: Owner,
    channel: Channel,
    state: TxnState,
    /// True if a write succeeded in the transaction.
    wrote: bool,
}

impl Txn {
    /// Returns true if a transaction is open.
    pub fn is_open(&self) -> bool {
        matches!(self, Txn::Open(_))
    }

    /// Returns true if a transaction was rolled back and the caller hasn't got the error yet.
    pub fn is_aborted(&self) -> bool {
        matches!(self, Txn::Aborted(_))
    }

    /// The transaction state as last reported to the caller.
    pub fn state(&self) -> TxnState {
        match self {
            Txn::None => TxnState::Idle,
            Txn::Open(txn) => txn.state,
            Txn::Aborted(_) => TxnState::Open,
        }
    }

    /// The route that an open transaction began with.
    pub fn route(&self) -> Option<Rc<Route>> {
        match self {
            Txn::Open(txn) => Some(txn.route.clone()),
            Txn::None | Txn::Aborted(_) => None,
        }
    }

    /// The owner of an open transaction.
    pub fn owner(&self) -> Option<&Owner> {
        match self {
            Txn::Open(txn) => Some(&txn.owner),
            Txn::None | Txn::Aborted(_) => None,
        }
    }

    /// Aborts the transaction by closing its connection, on which the server rolls back.
    pub fn abort(&mut self, reason: &'static str) {
        *self = Txn::Aborted(reason);
    }

    /// Returns the error for an aborted transaction and resets the state. None of the transaction's writes are kept.
    pub fn report_abort(&mut self) -> Answer {
        let why = match std::mem::replace(self, Txn::None) {
            Txn::Aborted(reason) => reason,
            Txn::None | Txn::Open(_) => "it is gone",
        };
        Answer::error(
            ErrorCode::Aborted,
            error_text(format!("the transaction was rolled back: {why}")),
            TxnState::Idle,
        )
    }

    /// Rolls the transaction back on the caller's request.
    pub async fn rollback(&mut self) -> Answer {
        self.discard().await;
        Answer::done(TxnState::Idle)
    }

    /// Rolls the transaction back. The connection returns to its pool if the server confirms the rollback.
    pub async fn discard(&mut self) {
        if let Txn::Open(txn) = std::mem::replace(self, Txn::None) {
            let OpenTxn { inst, mut channel, .. } = *txn;
            let what = CommandRef::Order(&Order::Rollback, None);
            let end = Instant::now() + ORDER_TIMEOUT;
            let sending = ChannelRequest {
                values: None,
                named: None,
                command: what,
                rank: None,
                slow_after: Micros::MAX,
                stall_timeout: ORDER_TIMEOUT,
                deadline: end,
                progress: None,
            };
            // Without a confirmation the connection is closed, and the server rolls back too.
            if let Ok(answer) = channel.run(&inst, sending).await
                && answer.is_done()
                && answer.txn == TxnState::Idle
            {
                channel.release();
            }
        }
    }
}

impl Execution<'_> {
    /// Begins a transaction. Retries on other servers until one accepts or the deadline passes.
    pub async fn begin(&self, session: &mut Session, access: Access) -> Answer {
        let Some(group) = self.inst.group(&self.route.group) else {
            return busy("the group has no servers", TxnState::Idle);
        };
        let mut backoff = Backoff::new(RETRY_BACKOFF_MS.0, RETRY_BACKOFF_MS.1);
        let mut tried = Vec::new();
        while tried.len() < MAX_ATTEMPTS && Instant::now() < self.deadline {
            if !tried.is_empty() && self.stops_retrying(&group) {
                break;
            }
            match self.try_begin(session, &group, access, &mut tried).await {
                Ok(txn) => {
                    session.txn = Txn::Open(Box::new(txn));
                    return Answer::done(TxnState::Open);
                }
                Err(Some(answer)) => return answer,
                Err(None) => self.back_off(&mut backoff).await,
            }
            self.inst.counters.increment(Count::Retries);
        }
        busy("no server takes the transaction", TxnState::Idle)
    }

    /// Begins a transaction on one server.
    ///
    /// # Errors
    ///
    /// The answer for the caller, or none if another attempt may succeed.
    async fn try_begin(
        &self,
        session: &Session,
        group: &Rc<Group>,
        access: Access,
        tried: &mut Vec<usize>,
    ) -> Result<OpenTxn, Option<Answer>> {
        let requirement = self.requirement(session, group).await.map_err(|e| self.refusal(e))?;
        let chosen = match (access, requirement.mark) {
            (Access::Read, Some(_)) => group.select_server(&self.inst, requirement.since, tried),
            _ => None,
        };
        let up = match chosen {
            Some(up) => up,
            None => self.primary(group).await.map_err(|e| self.refusal(e))?,
        };
        // Read after the choice: the term may have become known, or changed, since the statement arrived.
        let term = group.term();
        tried.push(up.index);
        let mut channel =
            self.open_channel(session, &up, self.deadline).await.map_err(|e| self.refusal(e))?;
        let request = self.request(session, requirement.mark);
        let sent = self.inst.now();
        let answer = match request.run(&self.inst, &up, &mut channel).await {
            Ok(answer) => answer,
            Err(e) => {
                up.record_run_error(&e, channel.peer(), sent, self.inst.now());
                let refused = matches!(e, RunError::Refused);
                return Err(refused.then(|| busy(SERVER_OVERLOADED, TxnState::Idle)));
            }
        };
        self.record_answer(group, &up, &answer, sent, &channel);
        requirement.record_lag(&up, &answer, sent, self.inst.now());
        match answer.error_code() {
            None => {}
            Some(code) => {
                if answer.txn == TxnState::Idle {
                    channel.release();
                }
                return Err((!code.is_not_run() && code != ErrorCode::Failed).then_some(answer));
            }
        }
        if self.route.policy == ReadPolicy::Latest
            && !group.wait_confirmed(&self.inst, term, self.arrived_at, self.deadline).await
        {
            // After a failover, the next attempt goes to the new primary.
            return Err((group.term() == term).then(|| busy(PRIMARY_UNCONFIRMED, TxnState::Idle)));
        }
        channel.pin();
        let (inst, group, route) = (self.inst.clone(), group.clone(), self.route.clone());
        Ok(OpenTxn {
            inst,
            group,
            up,
            route,
            owner: self.owner.clone(),
            channel,
            state: TxnState::Open,
            wrote: false,
        })
    }

    /// Runs a statement in the session's open transaction.
    pub async fn run_in_txn(&self, session: &mut Session, access: Access) -> Answer {
        let request = self.request(session, None).pinned();
        let Txn::Open(txn) = &mut session.txn else { return busy("no transaction", TxnState::Idle) };
        let mut backoff = Backoff::new(RETRY_BACKOFF_MS.0, RETRY_BACKOFF_MS.1);
        loop {
            let sent = self.inst.now();
            let answer = match request.run(&self.inst, &txn.up, &mut txn.channel).await {
                Ok(answer) => answer,
                Err(e) => {
                    txn.up.record_run_error(&e, txn.channel.peer(), sent, self.inst.now());
                    session.txn.abort("the server didn't answer");
                    return session.txn.report_abort();
                }
            };
            self.record_answer(&txn.group, &txn.up, &answer, sent, &txn.channel);
            // The server didn't run the statement, and the transaction is still open.
            let retry = matches!(answer.error_code(), Some(ErrorCode::Busy | ErrorCode::NoStatement))
                && answer.txn == TxnState::Open;
            if retry && Instant::now() < self.deadline {
                if answer.error_code() == Some(ErrorCode::NoStatement) {
                    txn.channel.clear_prepared();
                }
                self.back_off(&mut backoff).await;
                continue;
            }
            txn.wrote |= access == Access::Write && answer.is_done();
            txn.state = answer.txn;
            if answer.txn == TxnState::Idle {
                // The server has ended the transaction.
                session.txn = Txn::None;
            }
            return answer;
        }
    }

    /// Commits the session's transaction.
    pub async fn commit(&self, session: &mut Session) -> Answer {
        let Txn::Open(txn) = std::mem::replace(&mut session.txn, Txn::None) else {
            return busy("no transaction", TxnState::Idle);
        };
        if txn.state == TxnState::Failed {
            session.txn = Txn::Open(txn);
            session.roll_back().await;
            return Answer::error(ErrorCode::Aborted, "the transaction had failed", TxnState::Idle);
        }
        let OpenTxn { group, up, mut channel, wrote, .. } = *txn;
        let request = self.request(session, None).pinned();
        let mut backoff = Backoff::new(RETRY_BACKOFF_MS.0, RETRY_BACKOFF_MS.1);
        loop {
            let sent = self.inst.now();
            let answer = match request.run(&self.inst, &up, &mut channel).await {
                Ok(answer) => answer,
                Err(e) => {
                    up.record_run_error(&e, channel.peer(), sent, self.inst.now());
                    return match (wrote, e) {
                        (true, RunError::Broken { .. } | RunError::Late) => {
                            unknown_outcome("the commit wasn't answered")
                        }
                        _ => Answer::error(
                            ErrorCode::Aborted,
                            "the commit wasn't sent, or kept nothing",
                            TxnState::Idle,
                        ),
                    };
                }
            };
            self.record_answer(&group, &up, &answer, sent, &channel);
            if answer.error_code() == Some(ErrorCode::Busy)
                && answer.txn == TxnState::Open
                && Instant::now() < self.deadline
            {
                self.back_off(&mut backoff).await;
                continue;
            }
            return match answer.error_code() {
                None if answer.txn == TxnState::Idle => {
                    channel.release();
                    match wrote {
                        true => self.acknowledge_commit(session, &group, answer).await,
                        false => answer,
                    }
                }
                // Dropping the channel closes the connection, which rolls back the transaction if it is still open.
                Some(ErrorCode::Busy | ErrorCode::ReadOnly | ErrorCode::NoStatement) => {
                    Answer::error(ErrorCode::Aborted, "the server refused to commit", TxnState::Idle)
                }
                Some(_) if answer.txn == TxnState::Idle => {
                    channel.release();
                    answer
                }
                _ => unknown_outcome("the commit had no clear answer"),
            };
        }
    }
}
