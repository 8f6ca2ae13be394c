//! Reads outside a transaction.
//!
//! A read goes to any server whose log holds what the read has to show: the position goes along with the
//! read, and a server that lacks it doesn't run it.

use {
    crate::{
        channel::{Channel, RunError},
        count::Count,
        group::Group,
        instance::Micros,
        model::{Answer, ErrorCode, ReadPolicy, TxnState},
        session::Session,
        settings::{HEDGE_FRACTION, MAX_ATTEMPTS, RETRY_BACKOFF_MS},
        statement::{Miss, NO_TIME, Need, UNCONFIRMED, Work, busy},
        upstream::Upstream,
    },
    futures::{StreamExt, future::LocalBoxFuture, stream::FuturesUnordered},
    pondtrack_core::retry::Backoff,
    pondtrack_proto::Term,
    std::{rc::Rc, time::Duration},
    tokio::time::{Instant, timeout, timeout_at},
};

/// Time after which a server that owes an answer nobody waits for loses its connection.
const REAP_LIMIT: Duration = Duration::from_secs(3);

/// A read at a server.
struct Flight {
    up: Rc<Upstream>,
    channel: Channel,
    need: Need,
    /// The group's term when the server was chosen.
    term: Term,
    sent: Micros,
    got: Result<Answer, RunError>,
}

/// A read at a server that will be answered.
type Landing = LocalBoxFuture<'static, Flight>;
type Flights = FuturesUnordered<Landing>;

/// What became of one try.
enum Landed {
    /// The answer for the caller, of a server that was chosen in this term.
    Done(Answer, Term),
    /// It ran, and failed.
    Failed(Answer),
    /// It may have run.
    Lost,
    /// It did not run, as there was too much to do.
    Full,
    /// It did not run, as the server has no time for it.
    Refused,
    /// It did not run.
    NotRun,
}

/// What the tries of a read came to so far.
#[derive(Default)]
struct Tries {
    /// The servers that were tried.
    tried: Vec<usize>,
    /// The answer to the last try that ran and failed.
    failed: Option<Answer>,
    /// Whether another may have run.
    lost: bool,
}

impl Tries {
    /// Whether there were some, and no server has run the read.
    fn are_vain(&self) -> bool {
        !self.tried.is_empty() && self.failed.is_none() && !self.lost
    }

    /// The answer to a read that is given up.
    fn outcome(self, why: &str) -> Answer {
        match self.failed {
            Some(it) => it,
            None if self.lost => Answer::error(ErrorCode::Timeout, "no answer in time", TxnState::Idle),
            None => busy(why, TxnState::Idle),
        }
    }
}

impl Work<'_> {
    /// Answers a read.
    pub async fn read(&self, session: &Session) -> Answer {
        let Some(group) = self.inst.group(&self.route.group) else {
            return busy("the group has no servers", TxnState::Idle);
        };
        let latest = self.route.policy == ReadPolicy::Latest;
        let mut tries = Tries::default();
        let mut flights: Flights = FuturesUnordered::new();
        let mut backoff = Backoff::new(RETRY_BACKOFF_MS.0, RETRY_BACKOFF_MS.1);
        let mut hedge = Some(self.arrived);
        while tries.tried.len() < MAX_ATTEMPTS && Instant::now() < self.end {
            if flights.is_empty() {
                if tries.are_vain() && self.gives_up(&group) {
                    break;
                }
                match self.launch(session, &group, &mut tries.tried).await {
                    Ok(it) => flights.push(it),
                    Err(Miss::Late(why, held)) => {
                        // Where a try ran and failed, or may have run, its caller is told that.
                        self.count_held(held.filter(|_| tries.failed.is_none() && !tries.lost));
                        return tries.outcome(why);
                    }
                    Err(Miss::Again) => {
                        self.pause(&mut backoff).await;
                        continue;
                    }
                }
                hedge = hedge.map(|_| Instant::now() + self.route.objective.mul_f64(HEDGE_FRACTION));
            }
            let limit = hedge.filter(|_| !latest).unwrap_or(self.end).min(self.end);
            let flight = match timeout_at(limit, flights.next()).await {
                Ok(Some(it)) => it,
                Ok(None) => continue,
                Err(_) => {
                    hedge = None;
                    flights.extend(self.hedge(session, &group, &mut tries.tried).await);
                    continue;
                }
            };
            match self.landed(&group, flight) {
                Landed::Done(answer, term) => {
                    if !latest || group.wait_confirmed(&self.inst, term, self.since, self.end).await {
                        reap(flights);
                        return answer;
                    }
                    if group.term() == term {
                        return busy(UNCONFIRMED, TxnState::Idle);
                    }
                    // The primary was replaced meanwhile: what it showed is dropped, and the next one is asked.
                }
                Landed::Failed(answer) => tries.failed = Some(answer),
                Landed::Lost => tries.lost = true,
                Landed::Full if flights.is_empty() && self.is_held() => {
                    return tries.outcome("too much to do");
                }
                Landed::Refused if flights.is_empty() => return tries.outcome(NO_TIME),
                Landed::Full | Landed::Refused | Landed::NotRun => {}
            }
            self.inst.counters.increment(Count::Retries);
            if tries.tried.len() >= group.servers().len() {
                self.pause(&mut backoff).await;
            }
        }
        tries.lost |= !flights.is_empty();
        reap(flights);
        tries.outcome("no server takes the read")
    }

    /// Sends a read that has no answer yet to another server, if one is left.
    async fn hedge(&self, session: &Session, group: &Rc<Group>, tried: &mut Vec<usize>) -> Option<Landing> {
        let old = tried.clone();
        let it = self.launch(session, group, tried).await.ok()?;
        if tried.last().is_some_and(|it| old.contains(it)) {
            return None;
        }
        self.inst.counters.increment(Count::Hedges);
        Some(it)
    }

    /// Sends a read to the best server.
    async fn launch(
        &self,
        session: &Session,
        group: &Rc<Group>,
        tried: &mut Vec<usize>,
    ) -> Result<Landing, Miss> {
        let need = self.need(session, group).await?;
        let up = match need.mark {
            Some(_) => group.select_server(&self.inst, need.since, tried),
            None => None,
        };
        let up = match up {
            Some(it) => it,
            None => self.primary(group).await?,
        };
        // It may have become known, or taken another's place, only after the read had come.
        let term = group.term();
        tried.push(up.index);
        // Another server is tried soon, if there is one.
        let others = tried.len() < group.servers().len();
        let until = if others { Instant::now() + self.route.objective / 4 } else { self.end };
        let mut channel = self.reach(session, &up, until).await?;
        let parcel = self.parcel(session, need.mark);
        let inst = self.inst.clone();
        let sent = inst.now();
        Ok(Box::pin(async move {
            let got = parcel.run(&inst, &up, &mut channel).await;
            Flight { up, channel, need, term, sent, got }
        }))
    }

    fn landed(&self, group: &Group, flight: Flight) -> Landed {
        let Flight { up, channel, need, term, sent, got } = flight;
        let now = self.inst.now();
        let answer = match got {
            Ok(it) => it,
            Err(e) => {
                up.record_run_error(&e, channel.peer(), sent, now);
                return match e {
                    RunError::Busy => Landed::Full,
                    RunError::Refused => Landed::Refused,
                    RunError::NotSent { .. } | RunError::Gone => Landed::NotRun,
                    RunError::Broken { .. } | RunError::Late => Landed::Lost,
                };
            }
        };
        self.judge(group, &up, &answer, sent, &channel);
        need.learn(&up, &answer, sent, now);
        if answer.txn == TxnState::Idle && answer.error_code() != Some(ErrorCode::NoStatement) {
            channel.release();
        }
        match answer.error_code() {
            None => {
                let replica = group.primary().is_none_or(|it| it.index != up.index);
                self.inst.counters.increment(if replica { Count::ReplicaReads } else { Count::PrimaryReads });
                Landed::Done(answer, term)
            }
            Some(code) if code.is_not_run() => Landed::NotRun,
            Some(ErrorCode::Failed | ErrorCode::Timeout) => Landed::Failed(answer),
            Some(_) => Landed::Done(answer, term),
        }
    }
}

/// Leaves statements whose answers nobody waits for to end on their own.
fn reap(flights: Flights) {
    for it in flights {
        tokio::task::spawn_local(async move {
            if let Ok(Flight { channel, got: Ok(answer), .. }) = timeout(REAP_LIMIT, it).await
                && answer.txn == TxnState::Idle
            {
                channel.release();
            }
        });
    }
}
