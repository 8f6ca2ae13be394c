//! A request from its arrival to its answer.
//!
//! Every batch travels between two looks at the server's position, in the same round trip. What the
//! looks show decides whether the answer may be given: a replica has to have reached the session's mark
//! in its term, a primary has to be the same before and after, and a majority has to hold what the
//! answer stands for.
//!
//! | module | holds |
//! | --- | --- |
//! | `read` | reads outside a transaction |
//! | `write` | writes outside a transaction, and the gate |
//! | `resolve` | commits whose term ended |
//! | `keyed` | keyed statements and transactions |
//! | `transaction` | batches of an open transaction |

mod keyed;
mod read;
mod resolve;
mod transaction;
mod write;

use {
    super::{
        Home, StreamId,
        pool::{PoolError, PooledConn},
    },
    crate::{
        node::Node,
        telemetry::{self, Count},
    },
    bytes::BytesMut,
    pondtrack_core::{Time, retry::Backoff},
    pondtrack_edge::{
        contract::{Order, POSITION, Position, Role},
        upstream::{self, Answer},
    },
    pondtrack_proto::{Class, LogPosition, Name, Outcome, Reply, Request, ServedBy, TxnState},
    std::{rc::Rc, time::Duration},
    tokio::{sync::Notify, time::timeout},
    tracing::Instrument,
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
pub struct PinnedTxn {
    lease: PooledConn,
    server: usize,
    /// The key that its commit records.
    key: Option<Name>,
    /// Whether the caller was told that the transaction has failed.
    failed: bool,
}

/// A batch that ran.
#[derive(Debug)]
pub struct BatchResult {
    frames: Vec<u8>,
    txn: TxnState,
    mark: LogPosition,
    served: ServedBy,
}

impl BatchResult {
    /// The recorded outcome of an earlier run.
    pub fn repeated(frames: Vec<u8>) -> BatchResult {
        BatchResult { frames, txn: TxnState::Idle, mark: LogPosition::default(), served: ServedBy::Primary }
    }
}

/// Why a batch has no answer of its own.
#[derive(Debug)]
pub enum BatchError {
    /// The final outcome.
    Final(Outcome),
    /// Provably unrun, and worth another attempt, maybe on another server.
    Retryable {
        /// Why.
        reason: Name,
        /// The server that failed.
        server: Option<usize>,
    },
    /// It may have run: the connection broke after it was sent.
    Indeterminate {
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
    let span =
        tracing::debug_span!("home", trace = req.trace, group = home.group.as_str(), class = %req.class);
    perform(node, home, from, req).instrument(span).await
}

async fn perform(node: &Rc<Node>, home: &Rc<Home>, from: &Name, req: Request) -> Reply {
    let id: StreamId = (from.clone(), req.stream);
    let (pinned, cancel) = home.begin_batch(&id);
    let began = node.now();
    let deadline = began + Time::from(req.left_ms);
    let task = Task { node, home, req: &req, deadline, cancel: &cancel };
    let (out, kept) = match (pinned, req.class) {
        (Some(it), _) => task.in_transaction(it).await,
        // It must not run on its own what was meant for a transaction that is gone.
        (None, _) if req.pinned => {
            let reason = "the transaction was lost with its connection".into();
            (Err(BatchError::Retryable { reason, server: None }), None)
        }
        (None, Class::Read) => (task.read().await, None),
        (None, _) => task.write().await,
    };
    // Dropped when the session was closed meanwhile: the server rolls its transaction back.
    drop(home.end_batch(&id, kept));
    let reply = answer(node, home, &req, out);
    tracing::debug!(trace = req.trace, served = %reply.served, took_ms = node.now() - began, "home answered");
    reply
}

fn answer(node: &Node, home: &Home, req: &Request, out: Result<BatchResult, BatchError>) -> Reply {
    let id = req.id;
    let reply = |outcome| Reply {
        id,
        outcome,
        mark: LogPosition::default(),
        txn: TxnState::Idle,
        served: ServedBy::None,
        frames: Vec::new(),
    };
    match out {
        Ok(it) => {
            home.retry_budget.borrow_mut().deposit();
            if req.class == Class::Read {
                count_read(node, it.served);
            }
            Reply { mark: it.mark, txn: it.txn, served: it.served, frames: it.frames, ..reply(Outcome::Done) }
        }
        Err(BatchError::Final(it)) => reply(it),
        Err(BatchError::Retryable { reason, .. }) => reply(Outcome::NotRun { reason, retry_ms: RETRY_MS }),
        Err(BatchError::Indeterminate { reason, .. }) => reply(Outcome::Unknown { reason }),
    }
}

fn count_read(node: &Node, served: ServedBy) {
    match served {
        ServedBy::Replica => node.count(Count::ReplicaReads),
        ServedBy::Primary => node.count(Count::PrimaryReads),
        ServedBy::None => {}
    }
    let (replica, primary) = (node.counters.get(Count::ReplicaReads), node.counters.get(Count::PrimaryReads));
    telemetry::replica_share(replica as f64 / (replica + primary).max(1) as f64);
}

impl Task<'_> {
    /// Takes a retry from the budget and waits a little, unless another server can be asked `at_once`.
    async fn may_retry(&self, backoff: &mut Backoff, at_once: bool) -> bool {
        if !self.home.retry_budget.borrow_mut().try_withdraw() {
            return false;
        }
        if !at_once {
            let ms = self.node.with_rng(|rng| backoff.next_delay(rng));
            let changed = self.home.changed.notified();
            let _ = timeout(Duration::from_millis(ms).min(self.left()), changed).await;
        }
        !self.left().is_zero()
    }

    async fn primary(&self) -> Result<usize, BatchError> {
        if !self.home.is_primary_reachable(self.node)
            && self.home.primary().is_some()
            && self.others_near().await
        {
            // The primary is well, but not within reach from here.
            let outcome =
                Outcome::NotRun { reason: "the primary can't be reached from this home".into(), retry_ms: 0 };
            return Err(BatchError::Final(outcome));
        }
        let it = self.home.wait_primary(self.node, self.deadline).await;
        it.ok_or_else(|| BatchError::Retryable {
            reason: "the group has no usable primary".into(),
            server: None,
        })
    }

    /// Whether this home has been spoken against lately: another one hears the primary.
    async fn others_near(&self) -> bool {
        let lost = self.home.primary_lost_at.get();
        let limit = self.node.settings.silence_ms * 3;
        lost.is_some_and(|at| self.node.now().saturating_sub(at) > limit)
    }

    async fn acquire_primary(&self) -> Result<(usize, PooledConn), BatchError> {
        let server = self.primary().await?;
        let lease = self.acquire(server).await.map_err(|e| denied(&e))?;
        Ok((server, lease))
    }

    async fn acquire(&self, server: usize) -> Result<PooledConn, PoolError> {
        let begins = self.req.class == Class::Begin;
        let pool = &self.home.servers[server].pool;
        pool.acquire(self.node, self.home, server, &self.req.caller, self.deadline, begins).await
    }

    /// Runs the caller's messages with the session's settings, between two looks at the position.
    ///
    /// `heads` are queries that go before the caller's messages; their answers are handed back apart.
    async fn run(
        &self,
        lease: &mut PooledConn,
        order: Option<Order>,
        frames: &[u8],
        heads: &[&BytesMut],
    ) -> Result<Exchange, BatchError> {
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
            self.home.observe(self.node, lease.server, it, sent);
            lease.known = (it.role == Role::Primary).then_some(it);
        }
        Ok(Exchange { before, extra, answer, after })
    }

    /// Runs queries of pondtrack's own; the last answer is the one that counts.
    async fn run_tail(
        &self,
        lease: &mut PooledConn,
        queries: &BytesMut,
        n: usize,
    ) -> Result<Exchange, BatchError> {
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
    async fn exchange(
        &self,
        lease: &mut PooledConn,
        out: &BytesMut,
        n: usize,
    ) -> Result<Vec<Answer>, BatchError> {
        let max = self.node.settings.max_answer_bytes;
        let server = lease.server;
        let left = self.left();
        // What was last seen of the server before anything was sent.
        let seen = self.home.servers[server].view.borrow().position;
        let before = lease.known.or(seen.filter(|it| it.role == Role::Primary));
        let broken = |reason: String| BatchError::Indeterminate { reason: reason.into(), before };
        let conn = lease.conn();
        let (addr, key) = (conn.addr, conn.cancel.clone());
        let span = tracing::debug_span!("upstream", trace = self.req.trace, server, peer = %addr);
        let work = conn.run(out, n, max).instrument(span);
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

    fn finish(&self, lease: PooledConn, txn: TxnState) {
        if txn == TxnState::Idle {
            lease.release();
        }
    }

    fn left(&self) -> Duration {
        Duration::from_millis(self.deadline.saturating_sub(self.node.now()))
    }
}

/// Gives an answer of the primary: its connection goes back, or stays with the transaction.
fn give(
    server: usize,
    mut lease: PooledConn,
    answer: Answer,
    mark: LogPosition,
    key: Option<Name>,
) -> (Result<BatchResult, BatchError>, Option<Box<PinnedTxn>>) {
    let txn = answer.txn;
    let ran = BatchResult { frames: answer.frames, txn, mark, served: ServedBy::Primary };
    if txn == TxnState::Idle {
        lease.release();
        return (Ok(ran), None);
    }
    lease.pin();
    let failed = txn == TxnState::Failed;
    (Ok(ran), Some(Box::new(PinnedTxn { lease, server, key, failed })))
}

/// The fingerprint under which transactions stand in the ledger.
const TRANSACTION: &str = "transaction";

/// The mark an answer of the primary stands for; none unless it led the same term before and after.
fn same_primary(it: &Exchange) -> Option<LogPosition> {
    let (before, after) = (it.before?, it.after?);
    let leads = before.role == Role::Primary && after.role == Role::Primary && before.term == after.term;
    leads.then_some(after.received)
}

fn denied(it: &PoolError) -> BatchError {
    match it.overload {
        true => BatchError::Final(Outcome::NotRun { reason: it.reason.clone(), retry_ms: it.retry_ms }),
        false => BatchError::Retryable { reason: it.reason.clone(), server: None },
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
