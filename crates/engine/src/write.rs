//! Writes outside a transaction: they go to the primary, and are acknowledged once a replica has received them.

use {
    crate::{
        channel::{Channel, RunError},
        count::Count,
        group::Group,
        model::{Answer, ErrorCode, TxnState},
        session::{Session, text},
        settings::{MAX_ATTEMPTS, RETRY_BACKOFF_MS},
        statement::{Miss, NO_TIME, Work, busy, unknown},
        upstream::Upstream,
    },
    pondtrack_core::retry::Backoff,
    std::rc::Rc,
};

impl Work<'_> {
    /// Answers a write.
    pub async fn write(&self, session: &mut Session) -> Answer {
        let Some(group) = self.inst.group(&self.route.group) else {
            return busy("the group has no servers", TxnState::Idle);
        };
        let mut backoff = Backoff::new(RETRY_BACKOFF_MS.0, RETRY_BACKOFF_MS.1);
        for n in 0..MAX_ATTEMPTS {
            if n > 0 && self.gives_up(&group) {
                break;
            }
            let (up, mut channel) = match self.reach_primary(session, &group).await {
                Ok(it) => it,
                Err(Miss::Late(why, held)) => {
                    self.count_held(held);
                    return busy(why, TxnState::Idle);
                }
                Err(Miss::Again) => {
                    self.pause(&mut backoff).await;
                    continue;
                }
            };
            let sent = self.inst.now();
            let answer = match self.parcel(session, None).run(&self.inst, &up, &mut channel).await {
                Ok(it) => it,
                Err(e) => {
                    up.record_run_error(&e, channel.peer(), sent, self.inst.now());
                    match e {
                        RunError::Refused => return busy(NO_TIME, TxnState::Idle),
                        RunError::Busy if self.is_held() => return busy("too much to do", TxnState::Idle),
                        RunError::NotSent { .. } | RunError::Busy | RunError::Gone => {
                            self.pause(&mut backoff).await;
                            continue;
                        }
                        RunError::Late => {
                            return Answer::error(ErrorCode::Timeout, text(e.to_string()), TxnState::Idle);
                        }
                        RunError::Broken { .. } => return unknown(&e.to_string()),
                    }
                }
            };
            self.judge(&group, &up, &answer, sent, &channel);
            if answer.txn == TxnState::Idle && answer.error_code() != Some(ErrorCode::NoStatement) {
                channel.release();
            }
            match answer.error_code() {
                None => return self.acknowledge(session, &group, answer).await,
                Some(code) if code.is_not_run() => self.pause(&mut backoff).await,
                Some(_) => return answer,
            }
            self.inst.counters.increment(Count::Retries);
        }
        busy("the primary doesn't take the statement", TxnState::Idle)
    }

    async fn reach_primary(&self, session: &Session, group: &Group) -> Result<(Rc<Upstream>, Channel), Miss> {
        let up = self.primary(group).await?;
        let channel = self.reach(session, &up, self.end).await?;
        Ok((up, channel))
    }
}
