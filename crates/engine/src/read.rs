//! Reads outside a transaction.
//!
//! A read runs on any server whose log has reached the position that the read has to reflect. The position is sent with
//! the read, and a server that hasn't reached it rejects the read.

use {
    crate::{
        channel::{Channel, RunError},
        count::Count,
        group::Group,
        instance::Micros,
        model::{Answer, ErrorCode, ReadPolicy, TxnState},
        session::Session,
        settings::{HEDGE_FRACTION, MAX_ATTEMPTS, RETRY_BACKOFF_MS},
        statement::{
            DispatchError, Execution, PRIMARY_UNCONFIRMED, ReadRequirement, SERVER_OVERLOADED, busy,
        },
        upstream::Upstream,
    },
    futures::{StreamExt, future::LocalBoxFuture, stream::FuturesUnordered},
    pondtrack_core::retry::Backoff,
    pondtrack_proto::Term,
    std::{rc::Rc, time::Duration},
    tokio::time::{Instant, timeout, timeout_at},
};

/// The time after which the connection of an unneeded read is closed if the server hasn't answered.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(3);

/// A finished attempt to run a read on a server.
struct Attempt {
    up: Rc<Upstream>,
    channel: Channel,
    requirement: ReadRequirement,
    /// The group's term when the server was chosen.
    term: Term,
    sent: Micros,
    result: Result<Answer, RunError>,
}

/// An attempt in flight.
type PendingAttempt = LocalBoxFuture<'static, Attempt>;
type PendingAttempts = FuturesUnordered<PendingAttempt>;

/// The outcome of one attempt.
enum Outcome {
    /// The answer for the caller, and the group's term when the server was chosen.
    Done(Answer, Term),
    /// The read ran and failed.
    Failed(Answer),
    /// The read may have run.
    Unknown,
    /// The read did not run, because no connection or permit was free in time.
    Busy,
    /// The read did not run, because the server is too overloaded to answer in time.
    Refused,
    /// The read did not run.
    NotRun,
}

/// The outcomes of all attempts of a read so far.
#[derive(Default)]
struct Attempts {
    /// The indexes of the servers that were tried.
    tried: Vec<usize>,
    /// The answer to the last attempt that ran and failed.
    failed: Option<Answer>,
    /// True if an attempt without an answer may have run.
    maybe_run: bool,
}

impl Attempts {
    /// Returns true if there was an attempt, and no server has run the read.
    fn all_not_run(&self) -> bool {
        !self.tried.is_empty() && self.failed.is_none() && !self.maybe_run
    }

    /// The answer to a read after the last attempt.
    fn into_answer(self, reason: &str) -> Answer {
        match self.failed {
            Some(answer) => answer,
            None if self.maybe_run => Answer::error(ErrorCode::Timeout, "no answer in time", TxnState::Idle),
            None => busy(reason, TxnState::Idle),
        }
    }
}

impl Execution<'_> {
    /// Executes a read. Retries on other servers, and hedges a slow attempt with a second one.
    pub async fn read(&self, session: &Session) -> Answer {
        let Some(group) = self.inst.group(&self.route.group) else {
            return busy("the group has no servers", TxnState::Idle);
        };
        let latest = self.route.policy == ReadPolicy::Latest;
        let mut attempts = Attempts::default();
        let mut pending: PendingAttempts = FuturesUnordered::new();
        let mut backoff = Backoff::new(RETRY_BACKOFF_MS.0, RETRY_BACKOFF_MS.1);
        let mut hedge = Some(self.arrived);
        while attempts.tried.len() < MAX_ATTEMPTS && Instant::now() < self.deadline {
            if pending.is_empty() {
                if attempts.all_not_run() && self.stops_retrying(&group) {
                    break;
                }
                match self.start_attempt(session, &group, &mut attempts.tried).await {
                    Ok(attempt) => pending.push(attempt),
                    Err(DispatchError::OutOfTime(reason, counter)) => {
                        // If an attempt failed or may have run, the caller gets that outcome, and no refusal is
                        // counted.
                        self.count_timeout(
                            counter.filter(|_| attempts.failed.is_none() && !attempts.maybe_run),
                        );
                        return attempts.into_answer(reason);
                    }
                    Err(DispatchError::Retry) => {
                        self.back_off(&mut backoff).await;
                        continue;
                    }
                }
                hedge = hedge.map(|_| Instant::now() + self.route.objective.mul_f64(HEDGE_FRACTION));
            }
            let hedge_at = hedge.filter(|_| !latest).unwrap_or(self.deadline).min(self.deadline);
            let attempt = match timeout_at(hedge_at, pending.next()).await {
                Ok(Some(attempt)) => attempt,
                Ok(None) => continue,
                Err(_) => {
                    hedge = None;
                    pending.extend(self.hedge(session, &group, &mut attempts.tried).await);
                    continue;
                }
            };
            match self.finish_attempt(&group, attempt) {
                Outcome::Done(answer, term) => {
                    if !latest || group.wait_confirmed(&self.inst, term, self.arrived_at, self.deadline).await
                    {
                        drain(pending);
                        return answer;
                    }
                    if group.term() == term {
                        return busy(PRIMARY_UNCONFIRMED, TxnState::Idle);
                    }
                    // After a failover, the old primary's answer is discarded, and the read is retried on the new one.
                }
                Outcome::Failed(answer) => attempts.failed = Some(answer),
                Outcome::Unknown => attempts.maybe_run = true,
                Outcome::Busy if pending.is_empty() && self.is_overdue() => {
                    return attempts.into_answer("too much to do");
                }
                Outcome::Refused if pending.is_empty() => return attempts.into_answer(SERVER_OVERLOADED),
                Outcome::Busy | Outcome::Refused | Outcome::NotRun => {}
            }
            self.inst.counters.increment(Count::Retries);
            if attempts.tried.len() >= group.servers().len() {
                self.back_off(&mut backoff).await;
            }
        }
        attempts.maybe_run |= !pending.is_empty();
        drain(pending);
        attempts.into_answer("no server takes the read")
    }

    /// Sends a slow read to another server too. Returns none if no untried server is left.
    async fn hedge(
        &self,
        session: &Session,
        group: &Rc<Group>,
        tried: &mut Vec<usize>,
    ) -> Option<PendingAttempt> {
        let already_tried = tried.clone();
        let attempt = self.start_attempt(session, group, tried).await.ok()?;
        if tried.last().is_some_and(|index| already_tried.contains(index)) {
            return None;
        }
        self.inst.counters.increment(Count::Hedges);
        Some(attempt)
    }

    /// Prepares a read on the best server. The request is sent when the returned future is polled.
    async fn start_attempt(
        &self,
        session: &Session,
        group: &Rc<Group>,
        tried: &mut Vec<usize>,
    ) -> Result<PendingAttempt, DispatchError> {
        let requirement = self.requirement(session, group).await?;
        let up = match requirement.mark {
            Some(_) => group.select_server(&self.inst, requirement.since, tried),
            None => None,
        };
        let up = match up {
            Some(up) => up,
            None => self.primary(group).await?,
        };
        // Read after the choice: the term may have become known, or changed, since the read arrived.
        let term = group.term();
        tried.push(up.index);
        // Waits only a quarter of the objective for a channel while there are untried servers.
        let untried = tried.len() < group.servers().len();
        let deadline = if untried { Instant::now() + self.route.objective / 4 } else { self.deadline };
        let mut channel = self.open_channel(session, &up, deadline).await?;
        let request = self.request(session, requirement.mark);
        let inst = self.inst.clone();
        let sent = inst.now();
        Ok(Box::pin(async move {
            let result = request.run(&inst, &up, &mut channel).await;
            Attempt { up, channel, requirement, term, sent, result }
        }))
    }

    /// Records the result of an attempt and classifies it.
    fn finish_attempt(&self, group: &Group, attempt: Attempt) -> Outcome {
        let Attempt { up, channel, requirement, term, sent, result } = attempt;
        let now = self.inst.now();
        let answer = match result {
            Ok(answer) => answer,
            Err(e) => {
                up.record_run_error(&e, channel.peer(), sent, now);
                return match e {
                    RunError::Busy => Outcome::Busy,
                    RunError::Refused => Outcome::Refused,
                    RunError::NotSent { .. } | RunError::Gone => Outcome::NotRun,
                    RunError::Broken { .. } | RunError::Late => Outcome::Unknown,
                };
            }
        };
        self.record_answer(group, &up, &answer, sent, &channel);
        requirement.record_lag(&up, &answer, sent, now);
        if answer.txn == TxnState::Idle && answer.error_code() != Some(ErrorCode::NoStatement) {
            channel.release();
        }
        match answer.error_code() {
            None => {
                let replica = group.primary().is_none_or(|primary| primary.index != up.index);
                self.inst.counters.increment(if replica { Count::ReplicaReads } else { Count::PrimaryReads });
                Outcome::Done(answer, term)
            }
            Some(code) if code.is_not_run() => Outcome::NotRun,
            Some(ErrorCode::Failed | ErrorCode::Timeout) => Outcome::Failed(answer),
            Some(_) => Outcome::Done(answer, term),
        }
    }
}

/// Drains attempts whose answers are no longer needed, in the background, so that their connections can be reused.
fn drain(pending: PendingAttempts) {
    for attempt in pending {
        tokio::task::spawn_local(async move {
            if let Ok(Attempt { channel, result: Ok(answer), .. }) = timeout(DRAIN_TIMEOUT, attempt).await
                && answer.txn == TxnState::Idle
            {
                channel.release();
            }
        });
    }
}
