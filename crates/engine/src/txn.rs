//! Transactions: one connection to one server from the first statement to the last.

use {
    crate::{
        channel::{Channel, ChannelRequest, CommandRef, RunError},
        count::Count,
        group::Group,
        instance::{Instance, Micros},
        model::{Access, Answer, ErrorCode, Order, ReadPolicy, Route, TxnState},
        organisation::Owner,
        session::{Session, text},
        settings::{MAX_ATTEMPTS, ORDER_TIMEOUT, RETRY_BACKOFF_MS},
        statement::{NO_TIME, UNCONFIRMED, Work, busy, unknown},
        upstream::Upstream,
    },
    pondtrack_core::retry::Backoff,
    std::rc::Rc,
    tokio::time::Instant,
};

/// A session's transaction.
pub enum Txn {
    /// There is none.
    None,
    /// One is open.
    Open(Box<OpenTxn>),
    /// One was rolled back, which the caller doesn't know yet.
    Lost(&'static str),
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
    wrote: bool,
}

impl Txn {
    /// Whether one is open.
    pub fn is_open(&self) -> bool {
        matches!(self, Txn::Open(_))
    }

    /// Whether one was rolled back, which the caller doesn't know yet.
    pub fn is_lost(&self) -> bool {
        matches!(self, Txn::Lost(_))
    }

    /// Its state, as the caller knows it.
    pub fn state(&self) -> TxnState {
        match self {
            Txn::None => TxnState::Idle,
            Txn::Open(it) => it.state,
            Txn::Lost(_) => TxnState::Open,
        }
    }

    /// The route that it began with.
    pub fn route(&self) -> Option<Rc<Route>> {
        match self {
            Txn::Open(it) => Some(it.route.clone()),
            Txn::None | Txn::Lost(_) => None,
        }
    }

    /// Whose it is, while it is open.
    pub fn owner(&self) -> Option<&Owner> {
        match self {
            Txn::Open(it) => Some(&it.owner),
            Txn::None | Txn::Lost(_) => None,
        }
    }

    /// Gives it up; the closed connection rolls it back.
    pub fn lose(&mut self, why: &'static str) {
        *self = Txn::Lost(why);
    }

    /// Tells the caller of a transaction that was given up: nothing of it is kept.
    pub fn report_lost(&mut self) -> Answer {
        let why = match std::mem::replace(self, Txn::None) {
            Txn::Lost(why) => why,
            Txn::None | Txn::Open(_) => "it is gone",
        };
        Answer::error(
            ErrorCode::Aborted,
            text(format!("the transaction was rolled back: {why}")),
            TxnState::Idle,
        )
    }

    /// Rolls it back for the caller.
    pub async fn rollback(&mut self) -> Answer {
        self.abandon().await;
        Answer::done(TxnState::Idle)
    }

    /// Rolls it back; the connection is kept if the server answers.
    pub async fn abandon(&mut self) {
        if let Txn::Open(it) = std::mem::replace(self, Txn::None) {
            let OpenTxn { inst, mut channel, .. } = *it;
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
            // Without an answer the connection is closed, which rolls back as well.
            if let Ok(answer) = channel.run(&inst, sending).await
                && answer.is_done()
                && answer.txn == TxnState::Idle
            {
                channel.release();
            }
        }
    }
}

impl Work<'_> {
    /// Begins a transaction.
    pub async fn begin(&self, session: &mut Session, access: Access) -> Answer {
        let Some(group) = self.inst.group(&self.route.group) else {
            return busy("the group has no servers", TxnState::Idle);
        };
        let mut backoff = Backoff::new(RETRY_BACKOFF_MS.0, RETRY_BACKOFF_MS.1);
        let mut tried = Vec::new();
        while tried.len() < MAX_ATTEMPTS && Instant::now() < self.end {
            if !tried.is_empty() && self.gives_up(&group) {
                break;
            }
            match self.try_begin(session, &group, access, &mut tried).await {
                Ok(it) => {
                    session.txn = Txn::Open(Box::new(it));
                    return Answer::done(TxnState::Open);
                }
                Err(Some(answer)) => return answer,
                Err(None) => self.pause(&mut backoff).await,
            }
            self.inst.counters.increment(Count::Retries);
        }
        busy("no server takes the transaction", TxnState::Idle)
    }

    async fn try_begin(
        &self,
        session: &Session,
        group: &Rc<Group>,
        access: Access,
        tried: &mut Vec<usize>,
    ) -> Result<OpenTxn, Option<Answer>> {
        let need = self.need(session, group).await.map_err(|it| self.refusal(it))?;
        let chosen = match (access, need.mark) {
            (Access::Read, Some(_)) => group.select_server(&self.inst, need.since, tried),
            _ => None,
        };
        let up = match chosen {
            Some(it) => it,
            None => self.primary(group).await.map_err(|it| self.refusal(it))?,
        };
        // It may have become known, or taken another's place, only after the statement had come.
        let term = group.term();
        tried.push(up.index);
        let mut channel = self.reach(session, &up, self.end).await.map_err(|it| self.refusal(it))?;
        let parcel = self.parcel(session, need.mark);
        let sent = self.inst.now();
        let answer = match parcel.run(&self.inst, &up, &mut channel).await {
            Ok(it) => it,
            Err(e) => {
                up.record_run_error(&e, channel.peer(), sent, self.inst.now());
                let refused = matches!(e, RunError::Refused);
                return Err(refused.then(|| busy(NO_TIME, TxnState::Idle)));
            }
        };
        self.judge(group, &up, &answer, sent, &channel);
        need.learn(&up, &answer, sent, self.inst.now());
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
            && !group.wait_confirmed(&self.inst, term, self.since, self.end).await
        {
            // Where it was replaced meanwhile, the next one is asked.
            return Err((group.term() == term).then(|| busy(UNCONFIRMED, TxnState::Idle)));
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

    /// Runs a statement of an open transaction.
    pub async fn in_transaction(&self, session: &mut Session, access: Access) -> Answer {
        let parcel = self.parcel(session, None).pinned();
        let Txn::Open(txn) = &mut session.txn else { return busy("no transaction", TxnState::Idle) };
        let mut backoff = Backoff::new(RETRY_BACKOFF_MS.0, RETRY_BACKOFF_MS.1);
        loop {
            let sent = self.inst.now();
            let answer = match parcel.run(&self.inst, &txn.up, &mut txn.channel).await {
                Ok(it) => it,
                Err(e) => {
                    txn.up.record_run_error(&e, txn.channel.peer(), sent, self.inst.now());
                    session.txn.lose("the server didn't answer");
                    return session.txn.report_lost();
                }
            };
            self.judge(&txn.group, &txn.up, &answer, sent, &txn.channel);
            // Provably not run, and the transaction goes on.
            let again = matches!(answer.error_code(), Some(ErrorCode::Busy | ErrorCode::NoStatement))
                && answer.txn == TxnState::Open;
            if again && Instant::now() < self.end {
                if answer.error_code() == Some(ErrorCode::NoStatement) {
                    txn.channel.clear_prepared();
                }
                self.pause(&mut backoff).await;
                continue;
            }
            txn.wrote |= access == Access::Write && answer.is_done();
            txn.state = answer.txn;
            if answer.txn == TxnState::Idle {
                // The server has ended it.
                session.txn = Txn::None;
            }
            return answer;
        }
    }

    /// Commits a transaction.
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
        let parcel = self.parcel(session, None).pinned();
        let mut backoff = Backoff::new(RETRY_BACKOFF_MS.0, RETRY_BACKOFF_MS.1);
        loop {
            let sent = self.inst.now();
            let answer = match parcel.run(&self.inst, &up, &mut channel).await {
                Ok(it) => it,
                Err(e) => {
                    up.record_run_error(&e, channel.peer(), sent, self.inst.now());
                    return match (wrote, e) {
                        (true, RunError::Broken { .. } | RunError::Late) => {
                            unknown("the commit wasn't answered")
                        }
                        _ => Answer::error(
                            ErrorCode::Aborted,
                            "the commit wasn't sent, or kept nothing",
                            TxnState::Idle,
                        ),
                    };
                }
            };
            self.judge(&group, &up, &answer, sent, &channel);
            if answer.error_code() == Some(ErrorCode::Busy)
                && answer.txn == TxnState::Open
                && Instant::now() < self.end
            {
                self.pause(&mut backoff).await;
                continue;
            }
            return match answer.error_code() {
                None if answer.txn == TxnState::Idle => {
                    channel.release();
                    match wrote {
                        true => self.acknowledge(session, &group, answer).await,
                        false => answer,
                    }
                }
                // Dropped, the connection rolls back whatever is open on it.
                Some(ErrorCode::Busy | ErrorCode::ReadOnly | ErrorCode::NoStatement) => {
                    Answer::error(ErrorCode::Aborted, "the server refused to commit", TxnState::Idle)
                }
                Some(_) if answer.txn == TxnState::Idle => {
                    channel.release();
                    answer
                }
                _ => unknown("the commit had no clear answer"),
            };
        }
    }
}
