//! Writes outside a transaction. A write runs on the primary, and is acknowledged once a replica has received it.

use {
    crate::{
        channel::{Channel, RunError},
        count::Count,
        group::Group,
        model::{Answer, ErrorCode, TxnState},
        session::{Session, error_text},
        settings::{MAX_ATTEMPTS, RETRY_BACKOFF_MS},
        statement::{DispatchError, Execution, SERVER_OVERLOADED, busy, unknown_outcome},
        upstream::Upstream,
    },
    pondtrack_core::retry::Backoff,
    std::rc::Rc,
};

impl Execution<'_> {
    /// Executes a write. Retries only while no server has run the write.
    pub async fn write(&self, session: &mut Session) -> Answer {
        let Some(group) = self.inst.group(&self.route.group) else {
            return busy("the group has no servers", TxnState::Idle);
        };
        let mut backoff = Backoff::new(RETRY_BACKOFF_MS.0, RETRY_BACKOFF_MS.1);
        for attempt in 0..MAX_ATTEMPTS {
            if attempt > 0 && self.stops_retrying(&group) {
                break;
            }
            let (up, mut channel) = match self.open_primary_channel(session, &group).await {
                Ok(found) => found,
                Err(DispatchError::OutOfTime(reason, counter)) => {
                    self.count_timeout(counter);
                    return busy(reason, TxnState::Idle);
                }
                Err(DispatchError::Retry) => {
                    self.back_off(&mut backoff).await;
                    continue;
                }
            };
            let sent = self.inst.now();
            let answer = match self.request(session, None).run(&self.inst, &up, &mut channel).await {
                Ok(answer) => answer,
                Err(e) => {
                    up.record_run_error(&e, channel.peer(), sent, self.inst.now());
                    match e {
                        RunError::Refused => return busy(SERVER_OVERLOADED, TxnState::Idle),
                        RunError::Busy if self.is_overdue() => return busy("too much to do", TxnState::Idle),
                        RunError::NotSent { .. } | RunError::Busy | RunError::Gone => {
                            self.back_off(&mut backoff).await;
                            continue;
                        }
                        RunError::Late => {
                            return Answer::error(
                                ErrorCode::Timeout,
                                error_text(e.to_string()),
                                TxnState::Idle,
                            );
                        }
                        RunError::Broken { .. } => return unknown_outcome(&e.to_string()),
                    }
                }
            };
            self.record_answer(&group, &up, &answer, sent, &channel);
            if answer.txn == TxnState::Idle && answer.error_code() != Some(ErrorCode::NoStatement) {
                channel.release();
            }
            match answer.error_code() {
                None => return self.acknowledge_commit(session, &group, answer).await,
                Some(code) if code.is_not_run() => self.back_off(&mut backoff).await,
                Some(_) => return answer,
            }
            self.inst.counters.increment(Count::Retries);
        }
        busy("the primary doesn't take the statement", TxnState::Idle)
    }

    async fn open_primary_channel(
        &self,
        session: &Session,
        group: &Group,
    ) -> Result<(Rc<Upstream>, Channel), DispatchError> {
        let up = self.primary(group).await?;
        let channel = self.open_channel(session, &up, self.deadline).await?;
        Ok((up, channel))
    }
}
