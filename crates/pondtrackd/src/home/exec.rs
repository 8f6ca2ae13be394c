//! A request from its arrival to its answer.
//!
//! Every batch travels between two looks at the server's position, in the same round trip. What the
//! looks show decides whether the answer may be given: a replica has to have reached the session's mark
//! in its term, a primary has to be the same before and after, and a majority has to hold what the
//! answer stands for.

use {
    super::{
        Gated, Home, StreamId, barrier,
        keyed::{self, Recorded},
        pool::{Denied, Lease},
    },
    crate::{
        node::Node,
        telemetry::{self, Count},
    },
    bytes::BytesMut,
    pondtrack_core::{
        Time, request_key,
        retry::Backoff,
        route::{self, RouteConfig, Target},
    },
    pondtrack_edge::{
        contract::{Order, POSITION, Position, Role},
        upstream::{self, Answer},
    },
    pondtrack_proto::{Class, Lsn, Mark, Name, Outcome, Reply, Request, Served, TxnState},
    std::{rc::Rc, time::Duration},
    tokio::{sync::Notify, time::timeout},
};

/// When to come back after a request met no primary, in milliseconds.
const RETRY_MS: u32 = 250;
/// Time for a cancel request to a server.
const CANCEL_LIMIT: Duration = Duration::from_millis(500);
/// Most attempts of one request.
const ATTEMPTS: usize = 8;
/// First and longest wait before another attempt, in milliseconds.
const BACKOFF: (u64, u64) = (10, 160);

/// A transaction between two batches.
pub struct Pinned {
    lease: Lease,
    server: usize,
    /// The key that its commit records.
    key: Option<Name>,
    /// Whether the caller was told that the transaction has failed.
    failed: bool,
}

/// A batch that ran.
#[derive(Debug)]
pub struct Ran {
    frames: Vec<u8>,
    txn: TxnState,
    mark: Mark,
    served: Served,
}

impl Ran {
    /// The recorded outcome of an earlier run.
    pub fn repeated(frames: Vec<u8>) -> Ran {
        Ran { frames, txn: TxnState::Idle, mark: Mark::default(), served: Served::Primary }
    }
}

/// Why a batch has no answer of its own.
#[derive(Debug)]
pub enum Fail {
    /// The final outcome.
    Outcome(Outcome),
    /// Provably unrun, and worth another attempt, maybe on another server.
    Again {
        /// Why.
        reason: Name,
        /// The server that failed.
        server: Option<usize>,
    },
    /// It may have run: the connection broke after it was sent.
    Broken {
        /// Why.
        reason: Name,
        /// The position just before it, if known.
        before: Option<Position>,
    },
}

/// The parts of one exchange with a server.
struct Exchange {
    before: Option<Position>,
    extra: Vec<Answer>,
    answer: Answer,
    after: Option<Position>,
}

/// What a request is run with.
struct Task<'a> {
    node: &'a Rc<Node>,
    home: &'a Rc<Home>,
    req: &'a Request,
    deadline: Time,
    cancel: &'a Notify,
}

/// Runs a request of a session.
pub async fn execute(node: &Rc<Node>, home: &Rc<Home>, from: &Name, req: Request) -> Reply {
    let id: StreamId = (from.clone(), req.stream);
    let (pinned, cancel) = home.enter(&id);
    let deadline = node.now() + Time::from(req.left_ms);
    let task = Task { node, home, req: &req, deadline, cancel: &cancel };
    let began = node.now();
    let (out, kept) = match (pinned, req.class) {
        (Some(it), _) => task.in_transaction(it).await,
        // It must not run on its own what was meant for a transaction that is gone.
        (None, _) if req.pinned => {
            let reason = "the transaction was lost with its connection".into();
            (Err(Fail::Again { reason, server: None }), None)
        }
        (None, Class::Read) => (task.read().await, None),
        (None, _) => task.write().await,
    };
    // Dropped when the session was closed meanwhile: the server rolls its transaction back.
    drop(home.leave(&id, kept));
    let reply = answer(node, home, &req, out);
    tracing::debug!(
        target: "span",
        hop = "home",
        trace = req.trace,
        group = req.group.as_str(),
        class = %req.class,
        served = %reply.served,
        took_ms = node.now() - began,
    );
    reply
}

fn answer(node: &Node, home: &Home, req: &Request, out: Result<Ran, Fail>) -> Reply {
    let id = req.id;
    let reply = |outcome| Reply {
        id,
        outcome,
        mark: Mark::default(),
        txn: TxnState::Idle,
        served: Served::None,
        frames: Vec::new(),
    };
    match out {
        Ok(it) => {
            home.budget.borrow_mut().earn();
            if req.class == Class::Read {
                count_read(node, it.served);
            }
            Reply { mark: it.mark, txn: it.txn, served: it.served, frames: it.frames, ..reply(Outcome::Done) }
        }
        Err(Fail::Outcome(it)) => reply(it),
        Err(Fail::Again { reason, .. }) => reply(Outcome::NotRun { reason, retry_ms: RETRY_MS }),
        Err(Fail::Broken { reason, .. }) => reply(Outcome::Unknown { reason }),
    }
}

fn count_read(node: &Node, served: Served) {
    match served {
        Served::Replica => node.count(Count::ReplicaReads),
        Served::Primary => node.count(Count::PrimaryReads),
        Served::None => {}
    }
    let all = node.counters.all();
    let get = |name: &str| all.iter().find(|it| it.0 == name).map_or(0, |it| it.1);
    let (replica, primary) = (get("replica_reads"), get("primary_reads"));
    telemetry::replica_share(replica as f64 / (replica + primary).max(1) as f64);
}

impl Task<'_> {
    /// A read outside a transaction; it has no effect, so it may be tried again.
    async fn read(&self) -> Result<Ran, Fail> {
        let mut mark = self.req.mark;
        if self.req.barrier && self.req.age_ms.is_none() {
            mark.raise(self.barrier().await?);
        }
        let mut tried = Vec::new();
        let mut backoff = Backoff::new(BACKOFF.0, BACKOFF.1);
        for attempt in 0..ATTEMPTS {
            if attempt > 0 && !self.may_retry(&mut backoff, tried.len() < self.home.servers.len()).await {
                break;
            }
            let out = match self.target(mark, &tried).await {
                Target::Replica { server, wait } => self.read_replica(server, wait, mark).await,
                Target::Primary { .. } | Target::Nowhere => self.read_primary().await,
            };
            match out {
                Err(Fail::Again { server, .. }) if self.node.now() < self.deadline => {
                    self.node.count(Count::RetriedReads);
                    tried.extend(server);
                }
                Err(Fail::Broken { reason, .. }) if self.node.now() >= self.deadline => {
                    return Err(Fail::Again { reason, server: None });
                }
                Err(Fail::Broken { .. }) => self.node.count(Count::RetriedReads),
                other => return other,
            }
        }
        Err(Fail::Again { reason: "no server could answer the read in time".into(), server: None })
    }

    /// Takes a retry from the budget and waits a little, unless another server can be asked `at_once`.
    async fn may_retry(&self, backoff: &mut Backoff, at_once: bool) -> bool {
        if !self.home.budget.borrow_mut().spend() {
            return false;
        }
        if !at_once {
            let ms = self.node.with_rng(|rng| backoff.next(rng));
            let changed = self.home.changed.notified();
            let _ = timeout(Duration::from_millis(ms).min(self.left()), changed).await;
        }
        !self.left().is_zero()
    }

    async fn barrier(&self) -> Result<Mark, Fail> {
        loop {
            let left = self.left();
            if let Ok(Some(it)) = timeout(left, barrier::pass(self.node, self.home)).await {
                return Ok(it);
            }
            let reason = "no majority of the group's servers answers".into();
            if self.left().is_zero() {
                return Err(Fail::Again { reason, server: None });
            }
            // A change of primary may be under way.
            let changed = self.home.changed.notified();
            let _ = timeout(self.left().min(Duration::from_millis(50)), changed).await;
        }
    }

    /// Chooses a server; old evidence of age is renewed before replicas are given up for it.
    async fn target(&self, mark: Mark, tried: &[usize]) -> Target {
        if !self.node.settings.replica_reads.is_on() {
            return Target::Nowhere;
        }
        let first = self.choose(mark, tried);
        let aged = self.req.age_ms.is_some();
        match first {
            Target::Replica { .. } => first,
            _ if aged && self.home.primary_is_near(self.node) => {
                let _ = timeout(self.left(), barrier::pass(self.node, self.home)).await;
                self.choose(mark, tried)
            }
            _ => first,
        }
    }

    fn choose(&self, mark: Mark, tried: &[usize]) -> Target {
        let now = self.node.now();
        let config = RouteConfig::default();
        let candidates = self.home.candidates(self.node);
        let aged = |it: &route::Candidate| self.is_fresh(it.term, it.applied);
        route::choose(&config, now, &self.node.zone, mark, &candidates, tried, aged)
    }

    /// Whether an answer at a position is young enough; always so when no age is stated.
    fn is_fresh(&self, term: pondtrack_proto::Term, applied: Lsn) -> bool {
        let Some(age) = self.req.age_ms else { return true };
        let as_of = self.home.fresh.borrow().as_of(term, applied);
        as_of.is_some_and(|at| self.node.now().saturating_sub(at) <= u64::from(age))
    }

    async fn read_replica(&self, server: usize, wait: u64, mark: Mark) -> Result<Ran, Fail> {
        let again = |reason: Name| Fail::Again { reason, server: Some(server) };
        let mut lease = self.lend(server).await.map_err(|e| again(e.reason))?;
        let order = Order::Wait { mark, ms: wait as u32 };
        let it =
            self.run(&mut lease, Some(order), &self.req.frames, &[]).await.map_err(|fail| match fail {
                // A read has no effect, wherever it got to.
                Fail::Broken { reason, .. } => again(reason),
                other => other,
            })?;
        let (Some(before), Some(after)) = (it.before, it.after) else {
            return Err(again("the server shows no position".into()));
        };
        let same = before.term == after.term && after.role != Role::Fenced;
        let fits = same && route::may_answer(before.term, before.received, before.applied, mark);
        if !fits || !self.is_fresh(before.term, before.applied) {
            self.finish(lease, it.answer.txn);
            return Err(again("the replica is behind".into()));
        }
        let shown = Mark { term: after.term, lsn: after.applied };
        if self.home.servers.len() > 3 {
            // Primary and replica are no majority of a larger group.
            let gated = self.home.gated(self.node, shown, self.deadline).await;
            if gated != Gated::Open {
                return Err(again("what the replica shows is not held by a majority".into()));
            }
        }
        let txn = it.answer.txn;
        self.finish(lease, txn);
        Ok(Ran { frames: it.answer.frames, txn, mark: shown, served: Served::Replica })
    }

    async fn read_primary(&self) -> Result<Ran, Fail> {
        let server = self.primary().await?;
        let mut lease = self.lend(server).await.map_err(|e| denied(&e))?;
        let it = self.run(&mut lease, Some(Order::Position), &self.req.frames, &[]).await?;
        let again = |reason: Name| Fail::Again { reason, server: None };
        let Some(shown) = same_primary(&it) else {
            return Err(again("the primary was superseded".into()));
        };
        let txn = it.answer.txn;
        match self.home.gated(self.node, shown, self.deadline).await {
            Gated::Open => {
                self.finish(lease, txn);
                Ok(Ran { frames: it.answer.frames, txn, mark: shown, served: Served::Primary })
            }
            _ => Err(again("the primary was superseded".into())),
        }
    }

    /// Anything outside a transaction that needs the primary.
    async fn write(&self) -> (Result<Ran, Fail>, Option<Box<Pinned>>) {
        let issued = match self.req.key.as_ref().map(keyed::check).transpose() {
            Ok(it) => it,
            Err(e) => return (Err(e), None),
        };
        let mut last = Fail::Again { reason: "the group has no usable primary".into(), server: None };
        let mut backoff = Backoff::new(BACKOFF.0, BACKOFF.1);
        for attempt in 0..ATTEMPTS {
            if attempt > 0 && !self.may_retry(&mut backoff, false).await {
                break;
            }
            let out = match (&self.req.key, issued, self.req.class) {
                (Some(key), Some(issued), Class::Write) => (self.write_keyed(key, issued).await, None),
                (Some(key), Some(issued), Class::Begin) => self.begin_keyed(key, issued).await,
                _ => self.write_plain().await,
            };
            let keyed = self.req.key.is_some() && self.req.class == Class::Write;
            match out.0 {
                Err(fail @ Fail::Again { .. }) if self.node.now() < self.deadline => last = fail,
                // A repeat meets the ledger, so a keyed request may be sent twice.
                Err(fail @ Fail::Broken { .. }) if keyed && self.node.now() < self.deadline => last = fail,
                _ => return out,
            }
        }
        (Err(last), None)
    }

    async fn write_plain(&self) -> (Result<Ran, Fail>, Option<Box<Pinned>>) {
        let (server, mut lease) = match self.lend_primary().await {
            Ok(it) => it,
            Err(e) => return (Err(e), None),
        };
        let it = match self.run(&mut lease, Some(Order::Position), &self.req.frames, &[]).await {
            Ok(it) => it,
            Err(Fail::Broken { reason, .. }) if !self.lasts() => {
                // Nothing was committed: the server rolls back what its connection's end leaves open.
                return (Err(Fail::Again { reason, server: None }), None);
            }
            Err(Fail::Broken { reason, before: Some(before) }) => {
                drop(lease);
                return (self.resolve_unanswered(reason, before).await, None);
            }
            Err(e) => return (Err(e), None),
        };
        self.acknowledge(server, lease, it, None).await
    }

    /// Whether the request may leave something behind when it has run.
    fn lasts(&self) -> bool {
        !matches!(self.req.class, Class::Begin | Class::Rollback)
    }

    /// Holds an answer until a majority has what it stands for.
    async fn acknowledge(
        &self,
        server: usize,
        mut lease: Lease,
        it: Exchange,
        key: Option<Name>,
    ) -> (Result<Ran, Fail>, Option<Box<Pinned>>) {
        let failed = it.answer.error.is_some();
        let txn = it.answer.txn;
        if let (Some(before), Some(_)) = (it.before, it.after)
            && before.role != Role::Primary
        {
            // It ran on a server that was no primary, which takes no writes.
            return (Err(Fail::Again { reason: "the primary was superseded".into(), server: None }), None);
        }
        let Some(shown) = same_primary(&it) else {
            let out = match self.lasts() && !failed {
                true => self.resolve(it).await,
                false => Err(Fail::Again { reason: "the primary was superseded".into(), server: None }),
            };
            return (out, None);
        };
        match self.home.gated(self.node, shown, self.deadline).await {
            Gated::Open => {
                let ran = Ran { frames: it.answer.frames, txn, mark: shown, served: Served::Primary };
                match txn {
                    TxnState::Idle => {
                        self.finish(lease, txn);
                        (Ok(ran), None)
                    }
                    TxnState::Open | TxnState::Failed => {
                        lease.pin();
                        let failed = txn == TxnState::Failed;
                        (Ok(ran), Some(Box::new(Pinned { lease, server, key, failed })))
                    }
                }
            }
            Gated::Broken | Gated::Late if txn != TxnState::Idle || failed || !self.lasts() => {
                (Err(Fail::Again { reason: "the primary was superseded".into(), server: None }), None)
            }
            Gated::Broken => (self.resolve(it).await, None),
            Gated::Late => {
                let reason = "no majority of servers received the write in time".into();
                (Err(Fail::Broken { reason, before: it.before }), None)
            }
        }
    }

    /// A commit was answered, but its term ended before a majority was known to hold it: asks the next
    /// primary's log, which is final, whether it lasted.
    async fn resolve(&self, it: Exchange) -> Result<Ran, Fail> {
        let unknown = |reason: &str| Fail::Broken { reason: reason.into(), before: it.before };
        let Some(before) = it.before else {
            return Err(unknown("the position before the write is not known"));
        };
        let after = it.after.filter(|p| p.received.term == before.term);
        let Some(primary) = self.home.wait_primary(self.node, self.deadline).await else {
            return Err(unknown("no primary can tell whether the write lasted"));
        };
        let first = Lsn(before.received.lsn.0 + 1);
        let now = self.home.servers[primary].view.borrow().position;
        let Some(now) = now.filter(|p| p.term > before.term) else {
            return Err(unknown("the next primary is not known"));
        };
        // What the new log holds is final once a majority holds the first entry of its term.
        let settled = Mark { term: now.term, lsn: now.received.lsn };
        if self.home.gated(self.node, settled, self.deadline).await != Gated::Open {
            return Err(unknown("the next primary was superseded in turn"));
        }
        let entry = |lsn| self.home.order(self.node, primary, Order::Entry(lsn), super::ORDER_LIMIT);
        if let Some(end) = after
            && entry(end.received.lsn).await.is_ok_and(|p| p.received.term == before.term)
        {
            let mark = Mark { term: now.term, lsn: end.received.lsn };
            let served = Served::Primary;
            return Ok(Ran { frames: it.answer.frames, txn: TxnState::Idle, mark, served });
        }
        match entry(first).await {
            // Nothing after the position before the write is in the log: neither is the write.
            Ok(p) if p.received.term != before.term => {
                Err(Fail::Again { reason: "the write was dropped with its primary".into(), server: None })
            }
            _ => Err(unknown("other writes of that moment lasted, this one may not have")),
        }
    }

    /// A commit was never answered. It lasted only if the next primary's log, which is final, holds an
    /// entry of its term after the position known before it was sent; without any it did not run.
    async fn resolve_unanswered(&self, reason: Name, before: Position) -> Result<Ran, Fail> {
        let unknown = || Fail::Broken { reason: reason.clone(), before: Some(before) };
        let primary = self.home.wait_primary(self.node, self.deadline).await.ok_or_else(unknown)?;
        let now = self.home.servers[primary].view.borrow().position;
        let now = now.filter(|it| it.term > before.term).ok_or_else(unknown)?;
        let settled = Mark { term: now.term, lsn: now.received.lsn };
        if self.home.gated(self.node, settled, self.deadline).await != Gated::Open {
            return Err(unknown());
        }
        let next = Order::Entry(Lsn(before.received.lsn.0 + 1));
        match self.home.order(self.node, primary, next, super::ORDER_LIMIT).await {
            Ok(it) if it.received.term != before.term => Err(Fail::Again { reason, server: None }),
            _ => Err(unknown()),
        }
    }

    /// A keyed statement: the ledger and the statement in one transaction.
    async fn write_keyed(&self, key: &Name, issued: u64) -> Result<Ran, Fail> {
        let (server, mut lease) = self.lend_primary().await?;
        let mut head = BytesMut::new();
        keyed::before(key, issued, &self.req.frames, &mut head);
        let order = Some(Order::Position);
        let first = match self.run(&mut lease, order, &self.req.frames, &[&head]).await {
            Ok(it) => it,
            // Not committed yet: whatever ran is rolled back with the connection.
            Err(Fail::Broken { reason, .. }) => return Err(Fail::Again { reason, server: None }),
            Err(e) => return Err(e),
        };
        if let Some(code) = first.extra.iter().find_map(|it| it.error.as_deref()) {
            let code = code.to_owned();
            return self.ledger_refused(server, lease, key, &code).await;
        }
        if first.answer.error.is_some() || first.answer.txn != TxnState::Open {
            return self.undo_failed(lease, first).await;
        }
        let mut tail = BytesMut::new();
        let tag = keyed::tag(&first.answer);
        let answers = keyed::after(key, &tag, &mut tail);
        let second = self.run_tail(&mut lease, &tail, answers).await?;
        let frames = ready_idle(first.answer.frames);
        let answer = Answer { frames, txn: second.answer.txn, error: second.answer.error };
        let it = Exchange { answer, ..second };
        if let Some(code) = &it.answer.error {
            let reason = format!("the commit failed with {code}").into();
            return Err(Fail::Again { reason, server: None });
        }
        self.acknowledge(server, lease, it, None).await.0
    }

    /// The statement itself failed: the key is not used up.
    async fn undo_failed(&self, mut lease: Lease, first: Exchange) -> Result<Ran, Fail> {
        let mut tail = BytesMut::new();
        upstream::put_query("ROLLBACK", &mut tail);
        self.run_tail(&mut lease, &tail, 1).await.ok();
        self.finish(lease, TxnState::Idle);
        let frames = ready_idle(first.answer.frames);
        let mark = Mark::default();
        Ok(Ran { frames, txn: TxnState::Idle, mark, served: Served::Primary })
    }

    /// The key could not be entered: it is there already, or the ledger is not.
    async fn ledger_refused(
        &self,
        server: usize,
        mut lease: Lease,
        key: &Name,
        code: &str,
    ) -> Result<Ran, Fail> {
        let mut tail = BytesMut::new();
        upstream::put_query("ROLLBACK", &mut tail);
        let text = match code {
            keyed::DUPLICATE => request_key::find(key),
            keyed::NO_TABLE => request_key::create(),
            _ => {
                let reason = format!("the request ledger refused the key with {code}").into();
                return Err(Fail::Again { reason, server: None });
            }
        };
        upstream::put_query(&text, &mut tail);
        let it = self.run_tail(&mut lease, &tail, 2).await?;
        let found = keyed::recorded(&it.answer);
        let (mut out, _) = self.acknowledge(server, lease, it, None).await;
        match (&mut out, found) {
            (Err(_), _) => {
                out.map_err(|_| Fail::Again { reason: "the ledger's answer was lost".into(), server: None })
            }
            (Ok(ran), Some(it)) => self.settled(&it, ran.mark),
            // The table was made, or the first holder of the key rolled back: try once more.
            (Ok(_), None) => {
                Err(Fail::Again { reason: "the ledger was being prepared".into(), server: None })
            }
        }
    }

    fn settled(&self, found: &Recorded, mark: Mark) -> Result<Ran, Fail> {
        self.node.count(Count::Repeated);
        let ran = keyed::settle(&self.req.frames, found)?;
        Ok(Ran { mark, ..ran })
    }

    /// A keyed transaction: the key is entered right after its begin.
    async fn begin_keyed(&self, key: &Name, issued: u64) -> (Result<Ran, Fail>, Option<Box<Pinned>>) {
        let (server, mut lease) = match self.lend_primary().await {
            Ok(it) => it,
            Err(e) => return (Err(e), None),
        };
        let it = match self.run(&mut lease, Some(Order::Position), &self.req.frames, &[]).await {
            Ok(it) => it,
            Err(Fail::Broken { reason, .. }) => return (Err(Fail::Again { reason, server: None }), None),
            Err(e) => return (Err(e), None),
        };
        let mut enter = BytesMut::new();
        upstream::put_query(&request_key::enter(key, issued, TRANSACTION), &mut enter);
        let entered = match self.run_tail(&mut lease, &enter, 1).await {
            Ok(it) => it,
            Err(_) => {
                return (Err(Fail::Again { reason: "the primary was lost".into(), server: None }), None);
            }
        };
        match entered.answer.error.as_deref() {
            None => self.acknowledge(server, lease, it, Some(key.clone())).await,
            Some(keyed::DUPLICATE) => {
                let reason = "a transaction with this request key was committed before".into();
                (Err(Fail::Outcome(Outcome::Key { reason })), None)
            }
            Some(code) => {
                let code = code.to_owned();
                (self.ledger_refused(server, lease, key, &code).await, None)
            }
        }
    }

    /// A batch of a transaction that is open.
    async fn in_transaction(&self, mut pinned: Box<Pinned>) -> (Result<Ran, Fail>, Option<Box<Pinned>>) {
        pinned.lease.resume();
        if pinned.lease.conn().is_stale() {
            // Nothing of this batch was sent, and the server rolls back what it was sent before.
            let reason = "the server ended the connection".into();
            return (Err(Fail::Again { reason, server: None }), None);
        }
        let commits = self.req.class == Class::Commit;
        let mut head = BytesMut::new();
        if let Some(key) = pinned.key.as_ref().filter(|_| commits) {
            upstream::put_query(&request_key::record(key, "COMMIT"), &mut head);
        }
        let heads: &[&BytesMut] = if head.is_empty() { &[] } else { &[&head] };
        let order = Some(Order::Position);
        let it = match self.run(&mut pinned.lease, order, &self.req.frames, heads).await {
            Ok(it) => it,
            Err(Fail::Broken { reason, before }) if commits => {
                let key = pinned.key.clone();
                drop(pinned);
                let out = match (key, before) {
                    (None, Some(before)) => self.resolve_unanswered(reason, before).await,
                    (key, before) => self.commit_lost(key, reason, before).await,
                };
                return (out, None);
            }
            Err(Fail::Broken { reason, .. }) => {
                // The commit was never sent, so the server rolls back.
                return (Err(Fail::Again { reason, server: None }), None);
            }
            Err(e) => return (Err(e), None),
        };
        let Pinned { lease, server, key, failed: told } = *pinned;
        let rolled_back = it.answer.txn == TxnState::Idle && keyed::tag(&it.answer) == "ROLLBACK";
        if commits && rolled_back && !told {
            // A fence ends transactions between two statements; a caller may not look at the tag.
            let reason = "the server rolled the transaction back".into();
            return (Err(Fail::Again { reason, server: None }), None);
        }
        let failed = it.answer.error.is_some() || rolled_back;
        if !commits || failed {
            return self.go_on(server, lease, it, key).await;
        }
        self.acknowledge(server, lease, it, key).await
    }

    /// Goes on inside a transaction, or after its end without a commit.
    async fn go_on(
        &self,
        server: usize,
        mut lease: Lease,
        it: Exchange,
        key: Option<Name>,
    ) -> (Result<Ran, Fail>, Option<Box<Pinned>>) {
        let txn = it.answer.txn;
        let failed = it.answer.error.is_some();
        let lost = || Err(Fail::Again { reason: "the primary was superseded".into(), server: None });
        let shown = match same_primary(&it) {
            Some(mark) if !failed => match self.home.gated(self.node, mark, self.deadline).await {
                Gated::Open => mark,
                _ => return (lost(), None),
            },
            // An error shows no rows.
            Some(_) => Mark::default(),
            None => return (lost(), None),
        };
        let ran = Ran { frames: it.answer.frames, txn, mark: shown, served: Served::Primary };
        match txn {
            TxnState::Idle => {
                self.finish(lease, txn);
                (Ok(ran), None)
            }
            TxnState::Open | TxnState::Failed => {
                lease.pin();
                let failed = txn == TxnState::Failed;
                (Ok(ran), Some(Box::new(Pinned { lease, server, key, failed })))
            }
        }
    }

    /// The answer to a commit was lost: the ledger knows, if the transaction had a key.
    async fn commit_lost(
        &self,
        key: Option<Name>,
        reason: Name,
        before: Option<Position>,
    ) -> Result<Ran, Fail> {
        let Some(key) = key else { return Err(Fail::Broken { reason, before }) };
        let (server, mut lease) =
            self.lend_primary().await.map_err(|_| Fail::Broken { reason: reason.clone(), before })?;
        let mut find = BytesMut::new();
        upstream::put_query(&request_key::find(&key), &mut find);
        let it = self.run_tail(&mut lease, &find, 1).await?;
        let found = keyed::recorded(&it.answer).is_some_and(|it| it.tag == "COMMIT");
        let later = it.after.map(|p| p.term) > before.map(|p| p.term) && before.is_some();
        let (out, _) = self.acknowledge(server, lease, it, None).await;
        match out {
            Ok(ran) if found => {
                let recorded = Recorded { request: String::new(), tag: "COMMIT".to_owned() };
                let frames = keyed::repeat(&self.req.frames, &recorded);
                Ok(Ran { frames, mark: ran.mark, ..Ran::repeated(Vec::new()) })
            }
            // A later term's log is final; in the same term the commit may still be on its way.
            Ok(_) if later => Err(Fail::Again { reason, server: None }),
            _ => Err(Fail::Broken { reason, before }),
        }
    }

    async fn primary(&self) -> Result<usize, Fail> {
        if !self.home.primary_is_near(self.node) && self.home.primary().is_some() && self.others_near().await
        {
            // The primary is well, but not within reach from here.
            let outcome =
                Outcome::NotRun { reason: "the primary can't be reached from this home".into(), retry_ms: 0 };
            return Err(Fail::Outcome(outcome));
        }
        let it = self.home.wait_primary(self.node, self.deadline).await;
        it.ok_or_else(|| Fail::Again { reason: "the group has no usable primary".into(), server: None })
    }

    /// Whether this home has been spoken against lately: another one hears the primary.
    async fn others_near(&self) -> bool {
        let lost = self.home.lost.get();
        let limit = self.node.settings.silence_ms * 3;
        lost.is_some_and(|at| self.node.now().saturating_sub(at) > limit)
    }

    async fn lend_primary(&self) -> Result<(usize, Lease), Fail> {
        let server = self.primary().await?;
        let lease = self.lend(server).await.map_err(|e| denied(&e))?;
        Ok((server, lease))
    }

    async fn lend(&self, server: usize) -> Result<Lease, Denied> {
        let begins = self.req.class == Class::Begin;
        let pool = &self.home.servers[server].pool;
        pool.lend(self.node, self.home, server, &self.req.caller, self.deadline, begins).await
    }

    /// Runs the caller's messages with the session's settings, between two looks at the position.
    ///
    /// `heads` are queries that go before the caller's messages; their answers are handed back apart.
    async fn run(
        &self,
        lease: &mut Lease,
        order: Option<Order>,
        frames: &[u8],
        heads: &[&BytesMut],
    ) -> Result<Exchange, Fail> {
        let mut out = BytesMut::with_capacity(frames.len() + 256);
        let mut set = 0;
        if lease.conn().settings.as_ref() != Some(&self.req.settings) {
            set = put_settings(&self.req.settings, &mut out);
        }
        if let Some(it) = order {
            upstream::put_query(&it.query(), &mut out);
        }
        let mut extra = 0;
        for it in heads {
            extra += pondtrack_edge::Frames::new(it).count();
            out.extend_from_slice(it);
        }
        out.extend_from_slice(frames);
        upstream::put_query(POSITION, &mut out);
        let looks = usize::from(order.is_some());
        let total = set + looks + extra + 1 + 1;
        let sent = self.node.now();
        let answers = self.exchange(lease, &out, total).await?;
        lease.conn().settings = (!self.req.sets).then(|| self.req.settings.clone());
        let mut rest = answers.into_iter().skip(set);
        let before =
            if looks == 1 { rest.next().and_then(|it| Position::from_answer(&it.frames)) } else { None };
        let extra: Vec<Answer> = rest.by_ref().take(extra).collect();
        let answer = rest.next().unwrap_or_default();
        let after = rest.next().and_then(|it| Position::from_answer(&it.frames));
        if let Some(it) = after {
            // Every answer is evidence, as good as that of a watch.
            self.home.saw(self.node, lease.server, it, sent);
            lease.known = (it.role == Role::Primary).then_some(it);
        }
        Ok(Exchange { before, extra, answer, after })
    }

    /// Runs queries of pondtrack's own; the last answer is the one that counts.
    async fn run_tail(&self, lease: &mut Lease, queries: &BytesMut, n: usize) -> Result<Exchange, Fail> {
        let mut out = BytesMut::new();
        upstream::put_query(POSITION, &mut out);
        out.extend_from_slice(queries);
        upstream::put_query(POSITION, &mut out);
        let answers = self.exchange(lease, &out, n + 2).await?;
        let position = |it: Option<&Answer>| it.and_then(|it| Position::from_answer(&it.frames));
        let before = position(answers.first());
        let after = position(answers.last());
        let mut extra = answers;
        extra.pop();
        let answer = extra.pop().unwrap_or_default();
        Ok(Exchange { before, extra, answer, after })
    }

    /// Sends and reads, bounded in time, ended by a cancel request of the caller.
    async fn exchange(&self, lease: &mut Lease, out: &BytesMut, n: usize) -> Result<Vec<Answer>, Fail> {
        let max = self.node.settings.max_answer_bytes;
        let server = lease.server;
        let left = self.left();
        // What was last seen of the server before anything was sent.
        let seen = self.home.servers[server].view.borrow().position;
        let before = lease.known.or(seen.filter(|it| it.role == Role::Primary));
        let broken = |reason: String| Fail::Broken { reason: reason.into(), before };
        let conn = lease.conn();
        let (addr, key) = (conn.addr, conn.cancel.clone());
        let work = conn.run(out, n, max);
        tokio::pin!(work);
        let done = tokio::select! {
            it = timeout(left, &mut work) => it,
            () = self.superseded(server, before) => {
                return Err(broken("the primary was superseded while this ran".to_owned()));
            }
            () = self.cancel.notified() => {
                let peer = self.home.group.clone();
                let bind = self.node.settings.bind;
                let _ = upstream::cancel(bind, addr, key.clone(), CANCEL_LIMIT, &peer).await;
                // The server answers with an error, or with the result if it was quicker.
                timeout(self.left(), &mut work).await
            }
        };
        match done {
            Ok(Ok(it)) => Ok(it),
            Ok(Err(e)) => Err(broken(e.error.to_string())),
            Err(_) => {
                let peer = self.home.group.clone();
                let bind = self.node.settings.bind;
                tokio::task::spawn_local(async move {
                    let _ = upstream::cancel(bind, addr, key, CANCEL_LIMIT, &peer).await;
                });
                Err(broken(format!("no answer within {} ms", left.as_millis())))
            }
        }
    }

    /// Waits until another server leads a later term: nothing more is to be expected of this one.
    async fn superseded(&self, server: usize, before: Option<Position>) {
        let Some(before) = before else { return std::future::pending().await };
        loop {
            let changed = self.home.changed.notified();
            let moved = self.home.gate.borrow().term() > before.term;
            if moved && self.home.primary().is_some_and(|it| it != server) {
                return;
            }
            changed.await;
        }
    }

    fn finish(&self, lease: Lease, txn: TxnState) {
        if txn == TxnState::Idle {
            lease.give_back();
        }
    }

    fn left(&self) -> Duration {
        Duration::from_millis(self.deadline.saturating_sub(self.node.now()))
    }
}

/// The fingerprint under which transactions stand in the ledger.
const TRANSACTION: &str = "transaction";

/// The mark an answer of the primary stands for; none unless it led the same term before and after.
fn same_primary(it: &Exchange) -> Option<Mark> {
    let (before, after) = (it.before?, it.after?);
    let leads = before.role == Role::Primary && after.role == Role::Primary && before.term == after.term;
    leads.then_some(after.received)
}

fn denied(it: &Denied) -> Fail {
    match it.overload {
        true => Fail::Outcome(Outcome::NotRun { reason: it.reason.clone(), retry_ms: it.retry_ms }),
        false => Fail::Again { reason: it.reason.clone(), server: None },
    }
}

/// Appends the queries that bring a connection's settings to those wanted; hands back their number.
fn put_settings(settings: &[(Name, Name)], out: &mut BytesMut) -> usize {
    upstream::put_query("RESET ALL", out);
    for (name, value) in settings {
        let value = value.replace('\'', "''");
        upstream::put_query(&format!("SET {name} = '{value}'"), out);
    }
    settings.len() + 1
}

/// Turns the last ready-for-query into one outside a transaction.
fn ready_idle(mut frames: Vec<u8>) -> Vec<u8> {
    if let Some(last) = frames.last_mut() {
        *last = b'I';
    }
    frames
}
