//! Statements outside a transaction.
//!
//! A read goes to any server whose log holds what the read has to show: the position goes along with the
//! read, and a server that lacks it doesn't run it. A write goes to the primary, and is acknowledged once
//! a replica has received it.

use {
    crate::{
        conn::{ConnError, Values},
        count::{self, Count},
        group::{Group, Upstream},
        instance::{Instance, Micros},
        model::{Answer, Code, Order, ReadPolicy, Route, Statement, TxnState, Verb},
        pool::{Denied, Lease, Want},
        ports::{Forward, Text},
        session::{Prepared, Session, text},
        settings::{AGE_MARGIN, COME_BACK_MS, HEDGE_SHARE, PREPARED_MOST, RETRY_PAUSE, TRIES},
    },
    bytes::BytesMut,
    futures::{StreamExt, future::LocalBoxFuture, stream::FuturesUnordered},
    pondtrack_core::retry::Backoff,
    pondtrack_proto::Mark,
    std::{rc::Rc, time::Duration},
    tokio::time::{Instant, sleep_until, timeout_at},
};

/// Time after which a server that owes an answer nobody waits for loses its connection.
const REAP_LIMIT: Duration = Duration::from_secs(3);
/// After a server said that it is busy, others are preferred for this long.
const BUSY_PAUSE: Duration = Duration::from_millis(15);

/// A statement on its way.
pub struct Work<'a> {
    /// The instance.
    pub inst: Rc<Instance>,
    /// How the database is served.
    pub route: Rc<Route>,
    /// The statement.
    pub it: &'a Statement,
    /// The named statement that it runs.
    pub named: Option<Prepared>,
    /// When it arrived.
    pub arrived: Instant,
    /// The same on the instance's clock.
    pub since: Micros,
    /// When it has to be answered.
    pub end: Instant,
}

/// A statement at a server.
pub struct Flight {
    /// The server.
    pub up: Rc<Upstream>,
    /// The connection.
    pub lease: Lease,
    /// When it was sent.
    pub sent: Micros,
    /// The answer.
    pub got: Result<Answer, ConnError>,
}

/// A statement at a server that will be answered.
type Landing = LocalBoxFuture<'static, Flight>;
type Flights = FuturesUnordered<Landing>;

/// What a read has to show.
#[derive(Clone, Copy, Debug)]
pub struct Need {
    /// The position, unless only the primary will do.
    pub mark: Option<Mark>,
    /// Since when the primary has had it.
    pub since: Micros,
}

/// Why a statement isn't at a server.
pub enum Miss {
    /// It couldn't be sent to this one.
    Again,
    /// There is no time left.
    Late(&'static str),
}

impl Miss {
    /// The refusal, if there is no use in another try.
    pub fn refusal(self) -> Option<Answer> {
        match self {
            Miss::Again => None,
            Miss::Late(why) => Some(busy(why, TxnState::Idle)),
        }
    }
}

/// The refusal of a statement that did not run.
pub fn busy(why: &str, txn: TxnState) -> Answer {
    Answer::error(Code::Busy, text(format!("{why}; come back in {COME_BACK_MS} ms")), txn)
}

impl<'a> Work<'a> {
    /// A statement that has just arrived.
    pub fn new(
        inst: Rc<Instance>,
        route: Rc<Route>,
        it: &'a Statement,
        named: Option<Prepared>,
        arrived: Instant,
    ) -> Work<'a> {
        let since = inst.now();
        let end = arrived + route.timeout;
        Work { inst, route, it, named, arrived, since, end }
    }

    /// Answers a read.
    pub async fn read(&self, session: &Session) -> Answer {
        let Some(group) = self.inst.group(&self.route.group) else {
            return busy("the group has no servers", TxnState::Idle);
        };
        let latest = self.route.policy == ReadPolicy::Latest;
        let term = group.term();
        let mut tried = Vec::new();
        let mut flights: Flights = FuturesUnordered::new();
        let mut backoff = Backoff::new(RETRY_PAUSE.0, RETRY_PAUSE.1);
        let mut hedge = Some(self.arrived);
        let mut last = None;
        while tried.len() < TRIES && Instant::now() < self.end {
            if flights.is_empty() {
                match self.launch(session, &group, &mut tried).await {
                    Ok(it) => flights.push(it),
                    Err(Miss::Late(why)) => return last.unwrap_or_else(|| busy(why, TxnState::Idle)),
                    Err(Miss::Again) => {
                        self.pause(&mut backoff).await;
                        continue;
                    }
                }
                hedge = hedge.map(|_| Instant::now() + self.route.objective.mul_f64(HEDGE_SHARE));
            }
            let limit = hedge.filter(|_| !latest).unwrap_or(self.end).min(self.end);
            let flight = match timeout_at(limit, flights.next()).await {
                Ok(Some(it)) => it,
                Ok(None) => continue,
                Err(_) => {
                    hedge = None;
                    flights.extend(self.hedge(session, &group, &mut tried).await);
                    continue;
                }
            };
            match self.landed(&group, flight) {
                Ok(answer) => {
                    reap(flights);
                    if latest && !group.confirm(&self.inst, term, self.since, self.end).await {
                        return busy("the primary isn't confirmed", TxnState::Idle);
                    }
                    return answer;
                }
                Err(it) => last = it.or(last),
            }
            self.inst.counters.one(Count::Retries);
            if tried.len() >= group.servers().len() {
                self.pause(&mut backoff).await;
            }
        }
        reap(flights);
        last.unwrap_or_else(|| Answer::error(Code::Timeout, "no answer in time", TxnState::Idle))
    }

    /// Sends a read that has no answer yet to another server, if one is left.
    async fn hedge(&self, session: &Session, group: &Rc<Group>, tried: &mut Vec<usize>) -> Option<Landing> {
        let old = tried.clone();
        let it = self.launch(session, group, tried).await.ok()?;
        if tried.last().is_some_and(|it| old.contains(it)) {
            return None;
        }
        self.inst.counters.one(Count::Hedges);
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
            Some(_) => group.choose(&self.inst, need.since, tried),
            None => None,
        };
        let up = match up {
            Some(it) => it,
            None => group
                .wait_primary(&self.inst, self.end)
                .await
                .ok_or(Miss::Late("the group has no primary"))?,
        };
        tried.push(up.index);
        let wait = self.route.objective / 4;
        let mut lease = self.lend(session, &up, Instant::now() + wait).await?;
        let mut out = BytesMut::new();
        self.put(need.mark, &mut out);
        let inst = self.inst.clone();
        let sent = inst.now();
        Ok(Box::pin(async move {
            let got = exchange(&inst, &mut lease, &out).await;
            Flight { up, lease, sent, got }
        }))
    }

    /// What the read has to show.
    pub async fn need(&self, session: &Session, group: &Group) -> Result<Need, Miss> {
        let Some(age) = self.route.policy.age() else { return Ok(Need { mark: None, since: 0 }) };
        let needed = group.needed(&self.inst, age.saturating_sub(AGE_MARGIN), self.end).await;
        let (since, mark) = needed.ok_or(Miss::Late("the group's state isn't known"))?;
        let own = session.mark.filter(|_| matches!(self.route.policy, ReadPolicy::OwnWrites(_)));
        match own {
            Some((own, at)) if own.lsn > mark.lsn => Ok(Need { mark: Some(own), since: at }),
            _ => Ok(Need { mark: Some(mark), since }),
        }
    }

    /// A connection to a server, in the session's state.
    pub async fn lend(&self, session: &Session, up: &Upstream, until: Instant) -> Result<Lease, Miss> {
        let want = Want {
            priority: self.route.priority,
            until: until.min(self.end),
            values: Some(session.values.clone()),
        };
        let began = self.inst.now();
        let mut lease = match up.pool.lend(&self.inst, &up.entry(), want).await {
            Ok(it) => it,
            Err(Denied::Busy) if Instant::now() >= self.end => {
                return Err(Miss::Late("no connection is free"));
            }
            Err(Denied::Busy) => return Err(Miss::Again),
            Err(Denied::Unreachable(e)) => {
                if self.inst.may_log() {
                    log::info!(server = up.entry().id.as_str(); "{e}");
                }
                up.unanswered(began);
                up.unreachable(self.inst.now(), e.is_refusal());
                return Err(Miss::Again);
            }
        };
        match timeout_at(self.end, align(&self.inst, &mut lease, &session.values, self.named.as_ref())).await
        {
            Ok(true) => Ok(lease),
            Ok(false) => Err(Miss::Again),
            Err(_) => Err(Miss::Late("the server doesn't answer")),
        }
    }

    /// Appends the statement towards a server.
    pub fn put(&self, after: Option<Mark>, out: &mut BytesMut) {
        let text = match (&self.it.verb, &self.named) {
            (Verb::Execute { args, .. }, Some(named)) => Text::Execute { name: &named.alias, args },
            _ => Text::Plain(&self.it.text),
        };
        self.inst.edge.dialect.forward(Forward { id: &self.it.id, text, after }, out);
    }

    /// Takes the answer to a read: the answer for the caller, or the error of a try that failed.
    fn landed(&self, group: &Group, flight: Flight) -> Result<Answer, Option<Answer>> {
        let Flight { up, lease, sent, got } = flight;
        let now = self.inst.now();
        let answer = match got {
            Ok(it) => it,
            Err(e) => {
                log::debug!("{e}");
                up.unanswered(sent);
                up.ask();
                return Err(None);
            }
        };
        self.judge(group, &up, &answer, sent, now);
        if answer.txn == TxnState::Idle && answer.code() != Some(Code::NoStatement) {
            lease.give_back();
        }
        match answer.code() {
            None => {
                let replica = group.primary().is_none_or(|it| it.index != up.index);
                self.inst.counters.one(if replica { Count::ReplicaReads } else { Count::PrimaryReads });
                Ok(answer)
            }
            Some(code) if code.not_run() => Err(None),
            Some(Code::Failed | Code::Timeout) => Err(Some(answer)),
            Some(_) => Ok(answer),
        }
    }

    /// Draws conclusions from an answer.
    pub fn judge(&self, group: &Group, up: &Upstream, answer: &Answer, sent: Micros, now: Micros) {
        up.answered(now);
        match answer.code() {
            None => {
                self.inst.counters.one(Count::Statements);
                up.took(now - sent, now);
                if let Some(at) = answer.mark {
                    group.moved(up, at, sent);
                }
            }
            Some(Code::Busy) => up.busy(now, BUSY_PAUSE),
            Some(Code::Lagging) => up.busy(now, BUSY_PAUSE),
            Some(Code::ReadOnly) => group.denied(up, now),
            Some(_) => {}
        }
    }

    /// Answers a write.
    pub async fn write(&self, session: &mut Session) -> Answer {
        let Some(group) = self.inst.group(&self.route.group) else {
            return busy("the group has no servers", TxnState::Idle);
        };
        let mut backoff = Backoff::new(RETRY_PAUSE.0, RETRY_PAUSE.1);
        for _ in 0..TRIES {
            let Some(up) = group.wait_primary(&self.inst, self.end).await else {
                return busy("the group has no primary", TxnState::Idle);
            };
            let mut lease = match self.lend(session, &up, self.end).await {
                Ok(it) => it,
                Err(Miss::Late(why)) => return busy(why, TxnState::Idle),
                Err(Miss::Again) => {
                    self.pause(&mut backoff).await;
                    continue;
                }
            };
            let mut out = BytesMut::new();
            self.put(None, &mut out);
            let sent = self.inst.now();
            let got = timeout_at(self.end, exchange(&self.inst, &mut lease, &out)).await;
            let answer = match got {
                Ok(Ok(it)) => it,
                Ok(Err(e)) => {
                    up.unanswered(sent);
                    up.ask();
                    return unknown(&format!("the connection broke: {e}"));
                }
                Err(_) => {
                    up.unanswered(sent);
                    return Answer::error(Code::Timeout, "no answer in time", TxnState::Idle);
                }
            };
            self.judge(&group, &up, &answer, sent, self.inst.now());
            if answer.txn == TxnState::Idle && answer.code() != Some(Code::NoStatement) {
                lease.give_back();
            }
            match answer.code() {
                None => return self.acknowledge(session, &group, answer).await,
                Some(code) if code.not_run() => self.pause(&mut backoff).await,
                Some(_) => return answer,
            }
            self.inst.counters.one(Count::Retries);
        }
        busy("the primary doesn't take the statement", TxnState::Idle)
    }

    /// Holds the answer to a commit until a replica has it.
    pub async fn acknowledge(&self, session: &mut Session, group: &Group, answer: Answer) -> Answer {
        let Some(mark) = answer.mark else { return answer };
        let began = Instant::now();
        let held = group.replicated(&self.inst, mark.term, mark.lsn, self.end).await;
        count::gate_time(began.elapsed());
        if !held {
            return unknown("the commit isn't known to last");
        }
        session.mark = Some((mark, self.inst.now()));
        answer
    }

    /// Waits before another try.
    pub async fn pause(&self, backoff: &mut Backoff) {
        let ms = backoff.next(&mut *self.inst.rng());
        sleep_until((Instant::now() + Duration::from_millis(ms)).min(self.end)).await;
    }
}

/// The answer where nothing is known.
pub fn unknown(why: &str) -> Answer {
    Answer::error(Code::Unknown, text(why), TxnState::Idle)
}

/// Sends bytes over a connection and waits for the answer.
pub async fn exchange(inst: &Instance, lease: &mut Lease, out: &[u8]) -> Result<Answer, ConnError> {
    let Some(conn) = lease.conn() else { unreachable!("a lease has its connection until it is given back") };
    conn.send(out).await?;
    conn.next(inst.edge.dialect.as_ref()).await
}

/// Brings a connection into a session's state. False when that failed and the connection is of no use.
pub async fn align(inst: &Instance, lease: &mut Lease, values: &Values, named: Option<&Prepared>) -> bool {
    let Some(conn) = lease.conn() else { return false };
    let mut orders = Vec::new();
    let known = conn.values.as_ref();
    let mut reset = conn.prepared.len() >= PREPARED_MOST;
    // Values can only be taken away all at once.
    reset |=
        known.is_none_or(|old| old.iter().any(|it| values.binary_search_by(|new| new.0.cmp(&it.0)).is_err()));
    if reset {
        orders.push(Order::Reset);
    }
    let has = |it: &(pondtrack_proto::Name, pondtrack_proto::Name)| {
        !reset && known.is_some_and(|old| old.binary_search(it).is_ok())
    };
    for it in values.iter().filter(|it| !has(it)) {
        orders.push(Order::Set { name: it.0.clone(), value: it.1.clone() });
    }
    let prepare = named.filter(|it| reset || conn.prepared.binary_search(&it.alias).is_err());
    if let Some(it) = prepare {
        let name = it.alias.clone();
        orders.push(Order::Prepare { name, access: it.access, shape: it.shape.clone() });
    }
    if orders.is_empty() {
        return true;
    }
    let mut out = BytesMut::new();
    for it in &orders {
        inst.edge.dialect.order(it, None, &mut out);
    }
    // Until all are answered its state isn't known.
    conn.values = None;
    if reset {
        conn.prepared.clear();
    }
    if conn.send(&out).await.is_err() {
        return false;
    }
    for _ in &orders {
        match conn.next(inst.edge.dialect.as_ref()).await {
            Ok(it) if it.is_done() => {}
            Ok(_) | Err(_) => return false,
        }
    }
    conn.values = Some(values.clone());
    if let Some(it) = prepare {
        let at = conn.prepared.binary_search(&it.alias).unwrap_or_else(|at| at);
        conn.prepared.insert(at, it.alias.clone());
    }
    true
}

/// Leaves statements whose answers nobody waits for to end on their own.
fn reap(flights: Flights) {
    for it in flights {
        tokio::task::spawn_local(async move {
            if let Ok(Flight { lease, got: Ok(answer), .. }) = tokio::time::timeout(REAP_LIMIT, it).await
                && answer.txn == TxnState::Idle
            {
                lease.give_back();
            }
        });
    }
}
