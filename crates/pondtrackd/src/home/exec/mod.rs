//! Execution of a request, from arrival to answer.
//!
//! Every batch is sent between two queries for the server's position, in one round trip. The two positions decide if
//! the answer may be returned: a replica must have reached the session's mark in its term, a primary must lead the same
//! term before and after, and a majority must hold the log up to the position of the answer.
//!
//! | module | contents |
//! | --- | --- |
//! | `read` | reads outside transactions |
//! | `write` | writes outside transactions, and the commit gate |
//! | `resolve` | outcomes of commits whose term ended |
//! | `keyed` | statements and transactions with a request key |
//! | `transaction` | batches inside an open transaction |

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

/// Delay before a retry by the caller after a request found no primary, in milliseconds.
const RETRY_MS: u32 = 250;
/// Time limit of a cancel request to a server.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of attempts of one request.
const MAX_ATTEMPTS: usize = 8;
/// First and longest backoff between two attempts, in milliseconds.
const BACKOFF: (u64, u64) = (10, 160);

/// Open transaction between two batches, and its connection.
pub struct PinnedTxn {
    conn: PooledConn,
    server: usize,
    /// Request key that the commit records.
    key: Option<Name>,
    /// True if the caller has received an answer that reports the transaction as failed.
    failed: bool,
}

/// Result of a batch that was executed.
#[derive(Debug)]
pub struct BatchResult {
    frames: Vec<u8>,
    txn: TxnState,
    mark: LogPosition,
    served: ServedBy,
}

impl BatchResult {
    /// Returns the recorded result of an earlier execution.
    pub fn repeated(frames: Vec<u8>) -> BatchResult {
        BatchResult { frames, txn: TxnState::Idle, mark: LogPosition::default(), served: ServedBy::Primary }
    }
}

/// Reason for which a batch has no answer of its own.
#[derive(Debug)]
pub enum BatchError {
    /// Final outcome, which is not retried.
    Final(Outcome),
    /// The batch provably had no effect and may be retried, possibly on another server.
    Retryable {
        /// Reason of the failure.
        reason: Name,
        /// Server that failed, which a retry skips.
        server: Option<usize>,
    },
    /// The connection broke after the batch was sent, so the batch may have been executed.
    Indeterminate {
        /// Reason of the failure.
        reason: Name,
        /// Position just before the batch, if known.
        before: Option<Position>,
    },
}

/// Answers of one exchange with a server.
struct Exchange {
    /// Position before the batch.
    before: Option<Position>,
    /// Answers to the queries that precede the batch.
    extra: Vec<Answer>,
    answer: Answer,
    /// Position after the batch.
    after: Option<Position>,
}

/// Context of the execution of one request.
struct Execution<'a> {
    node: &'a Rc<Node>,
    home: &'a Rc<Home>,
    req: &'a Request,
    deadline: Time,
    cancel: &'a Notify,
}

/// Executes a request of a session and returns the reply; `origin` identifies the sender of the stream.
pub async fn execute(node: &Rc<Node>, home: &Rc<Home>, origin: &Name, req: Request) -> Reply {
    let span =
        tracing::debug_span!("home", trace = req.trace, group = home.group.as_str(), class = %req.class);
    execute_in_span(node, home, origin, req).instrument(span).await
}

async fn execute_in_span(node: &Rc<Node>, home: &Rc<Home>, origin: &Name, req: Request) -> Reply {
    let id: StreamId = (origin.clone(), req.stream);
    let (pinned, cancel) = home.begin_batch(&id);
    let started_at = node.now();
    let deadline = started_at + Time::from(req.left_ms);
    let execution = Execution { node, home, req: &req, deadline, cancel: &cancel };
    let (result, open_txn) = match (pinned, req.class) {
        (Some(txn), _) => execution.in_transaction(txn).await,
        // A batch of a lost transaction must not be executed outside of the transaction.
        (None, _) if req.pinned => {
            let reason = "the transaction was lost with its connection".into();
            (Err(BatchError::Retryable { reason, server: None }), None)
        }
        (None, Class::Read) => (execution.read().await, None),
        (None, _) => execution.write().await,
    };
    // If the session has been closed in the meantime, the connection is dropped and the server rolls the transaction
    // back.
    drop(home.end_batch(&id, open_txn));
    let reply = into_reply(node, home, &req, result);
    tracing::debug!(trace = req.trace, served = %reply.served, took_ms = node.now() - started_at, "home answered");
    reply
}

/// Converts the result of a request into its reply.
fn into_reply(node: &Node, home: &Home, req: &Request, result: Result<BatchResult, BatchError>) -> Reply {
    let id = req.id;
    let reply = |outcome| Reply {
        id,
        outcome,
        mark: LogPosition::default(),
        txn: TxnState::Idle,
        served: ServedBy::None,
        frames: Vec::new(),
    };
    match result {
        Ok(batch) => {
            home.retry_budget.borrow_mut().deposit();
            if req.class == Class::Read {
                count_read(node, batch.served);
            }
            Reply {
                mark: batch.mark,
                txn: batch.txn,
                served: batch.served,
                frames: batch.frames,
                ..reply(Outcome::Done)
            }
        }
        Err(BatchError::Final(outcome)) => reply(outcome),
        Err(BatchError::Retryable { reason, .. }) => reply(Outcome::NotRun { reason, retry_ms: RETRY_MS }),
        Err(BatchError::Indeterminate { reason, .. }) => reply(Outcome::Unknown { reason }),
    }
}

/// Counts a read, and updates the ratio of reads served by replicas.
fn count_read(node: &Node, served: ServedBy) {
    match served {
        ServedBy::Replica => node.count(Count::ReplicaReads),
        ServedBy::Primary => node.count(Count::PrimaryReads),
        ServedBy::None => {}
    }
    let (replica, primary) = (node.counters.get(Count::ReplicaReads), node.counters.get(Count::PrimaryReads));
    telemetry::replica_share(replica as f64 / (replica + primary).max(1) as f64);
}

impl Execution<'_> {
    /// Withdraws a retry from the budget and waits for the backoff, unless the retry may begin `immediately` on another
    /// server. Returns true if the request may be retried.
    async fn wait_for_retry(&self, backoff: &mut Backoff, immediately: bool) -> bool {
        if !self.home.retry_budget.borrow_mut().try_withdraw() {
            return false;
        }
        if !immediately {
            let ms = self.node.with_rng(|rng| backoff.next_delay(rng));
            let changed = self.home.changed.notified();
            let _ = timeout(Duration::from_millis(ms).min(self.left()), changed).await;
        }
        !self.left().is_zero()
    }

    /// Waits for a primary that accepts work.
    async fn primary(&self) -> Result<usize, BatchError> {
        if !self.home.is_primary_reachable(self.node)
            && self.home.primary().is_some()
            && self.is_primary_reachable_elsewhere().await
        {
            // The primary is healthy, but can't be reached from this instance.
            let outcome =
                Outcome::NotRun { reason: "the primary can't be reached from this home".into(), retry_ms: 0 };
            return Err(BatchError::Final(outcome));
        }
        let primary = self.home.wait_primary(self.node, self.deadline).await;
        primary.ok_or_else(|| BatchError::Retryable {
            reason: "the group has no usable primary".into(),
            server: None,
        })
    }

    /// Returns true if the primary has been unreachable from here for so long that a failover must have been vetoed by
    /// another home, which reaches the primary.
    async fn is_primary_reachable_elsewhere(&self) -> bool {
        let lost_at = self.home.primary_lost_at.get();
        let limit = self.node.settings.silence_ms * 3;
        lost_at.is_some_and(|at| self.node.now().saturating_sub(at) > limit)
    }

    /// Acquires a connection to the primary; returns it with the index of the server.
    async fn acquire_primary(&self) -> Result<(usize, PooledConn), BatchError> {
        let server = self.primary().await?;
        let conn = self.acquire(server).await.map_err(|e| from_pool_error(&e))?;
        Ok((server, conn))
    }

    /// Acquires a connection to a server.
    async fn acquire(&self, server: usize) -> Result<PooledConn, PoolError> {
        let begins = self.req.class == Class::Begin;
        let pool = &self.home.servers[server].pool;
        pool.acquire(self.node, self.home, server, &self.req.caller, self.deadline, begins).await
    }

    /// Runs the caller's messages with the session's settings. `order` returns the position before the messages, and a
    /// query the position after them.
    ///
    /// `heads` are queries that precede the caller's messages; their answers are returned separately.
    async fn run_batch(
        &self,
        conn: &mut PooledConn,
        order: Option<Order>,
        frames: &[u8],
        heads: &[&BytesMut],
    ) -> Result<Exchange, BatchError> {
        let mut out = BytesMut::with_capacity(frames.len() + 256);
        let mut set = 0;
        if conn.upstream().settings.as_ref() != Some(&self.req.settings) {
            set = put_settings(&self.req.settings, &mut out);
        }
        if let Some(order) = order {
            upstream::put_query(&order.query(), &mut out);
        }
        let mut extra = 0;
        for head in heads {
            extra += pondtrack_edge::Frames::new(head).count();
            out.extend_from_slice(head);
        }
        out.extend_from_slice(frames);
        upstream::put_query(POSITION, &mut out);
        let positions = usize::from(order.is_some());
        let total = set + positions + extra + 1 + 1;
        let sent = self.node.now();
        let answers = self.exchange(conn, &out, total).await?;
        conn.upstream().settings = (!self.req.sets).then(|| self.req.settings.clone());
        let mut rest = answers.into_iter().skip(set);
        let before =
            if positions == 1 { rest.next().and_then(|a| Position::from_answer(&a.frames)) } else { None };
        let extra: Vec<Answer> = rest.by_ref().take(extra).collect();
        let answer = rest.next().unwrap_or_default();
        let after = rest.next().and_then(|a| Position::from_answer(&a.frames));
        if let Some(position) = after {
            // Every answer is evidence of the server's state, the same as the answers to the monitor.
            self.home.observe(self.node, conn.server, position, sent);
            conn.last_position = (position.role == Role::Primary).then_some(position);
        }
        Ok(Exchange { before, extra, answer, after })
    }

    /// Runs queries of pondtrack itself, between two queries for the position. The last of their answers becomes the
    /// answer of the exchange.
    async fn run_queries(
        &self,
        conn: &mut PooledConn,
        queries: &BytesMut,
        n: usize,
    ) -> Result<Exchange, BatchError> {
        let mut out = BytesMut::new();
        upstream::put_query(POSITION, &mut out);
        out.extend_from_slice(queries);
        upstream::put_query(POSITION, &mut out);
        let answers = self.exchange(conn, &out, n + 2).await?;
        let position = |a: Option<&Answer>| a.and_then(|a| Position::from_answer(&a.frames));
        let before = position(answers.first());
        let after = position(answers.last());
        let mut extra = answers;
        extra.pop();
        let answer = extra.pop().unwrap_or_default();
        Ok(Exchange { before, extra, answer, after })
    }

    /// Sends messages and reads `n` answers, until the deadline of the request. A cancellation by the caller is passed
    /// on to the server.
    ///
    /// # Errors
    ///
    /// [`BatchError::Indeterminate`] if the connection breaks, the primary is superseded or the deadline passes.
    async fn exchange(
        &self,
        conn: &mut PooledConn,
        out: &BytesMut,
        n: usize,
    ) -> Result<Vec<Answer>, BatchError> {
        let max = self.node.settings.max_answer_bytes;
        let server = conn.server;
        let left = self.left();
        // The last known position of the server, before anything is sent.
        let known = self.home.servers[server].view.borrow().position;
        let before = conn.last_position.or(known.filter(|p| p.role == Role::Primary));
        let broken = |reason: String| BatchError::Indeterminate { reason: reason.into(), before };
        let server_conn = conn.upstream();
        let (addr, key) = (server_conn.addr, server_conn.cancel.clone());
        let span = tracing::debug_span!("upstream", trace = self.req.trace, server, peer = %addr);
        let work = server_conn.run(out, n, max).instrument(span);
        tokio::pin!(work);
        let result = tokio::select! {
            r = timeout(left, &mut work) => r,
            () = self.superseded(server, before) => {
                return Err(broken("the primary was superseded while this ran".to_owned()));
            }
            () = self.cancel.notified() => {
                let peer = self.home.group.clone();
                let local_ip = self.node.settings.bind;
                let _ = upstream::cancel(local_ip, addr, key.clone(), CANCEL_TIMEOUT, &peer).await;
                // The server answers with an error, or with the result if the batch ended before the cancel request
                // arrived.
                timeout(self.left(), &mut work).await
            }
        };
        match result {
            Ok(Ok(answers)) => Ok(answers),
            Ok(Err(e)) => Err(broken(e.error.to_string())),
            Err(_) => {
                let peer = self.home.group.clone();
                let local_ip = self.node.settings.bind;
                tokio::task::spawn_local(async move {
                    let _ = upstream::cancel(local_ip, addr, key, CANCEL_TIMEOUT, &peer).await;
                });
                Err(broken(format!("no answer within {} ms", left.as_millis())))
            }
        }
    }

    /// Waits until another server is the primary of a later term: this server won't answer any more. Waits forever if
    /// no position is known.
    async fn superseded(&self, server: usize, before: Option<Position>) {
        let Some(before) = before else { return std::future::pending().await };
        loop {
            let changed = self.home.changed.notified();
            let has_ended = self.home.gate.borrow().term() > before.term;
            if has_ended && self.home.primary().is_some_and(|n| n != server) {
                return;
            }
            changed.await;
        }
    }

    /// Releases a connection, or closes it if a transaction is open.
    fn finish(&self, conn: PooledConn, txn: TxnState) {
        if txn == TxnState::Idle {
            conn.release();
        }
    }

    /// Returns the time left until the deadline.
    fn left(&self) -> Duration {
        Duration::from_millis(self.deadline.saturating_sub(self.node.now()))
    }
}

/// Returns an answer of the primary, and releases its connection or pins it to the open transaction.
fn finish_on_primary(
    server: usize,
    mut conn: PooledConn,
    answer: Answer,
    mark: LogPosition,
    key: Option<Name>,
) -> (Result<BatchResult, BatchError>, Option<Box<PinnedTxn>>) {
    let txn = answer.txn;
    let batch = BatchResult { frames: answer.frames, txn, mark, served: ServedBy::Primary };
    if txn == TxnState::Idle {
        conn.release();
        return (Ok(batch), None);
    }
    conn.pin();
    let failed = txn == TxnState::Failed;
    (Ok(batch), Some(Box::new(PinnedTxn { conn, server, key, failed })))
}

/// Fingerprint that the ledger holds for a caller's transaction. The key is inserted right after the begin, when the
/// statements to hash aren't known yet.
const TXN_FINGERPRINT: &str = "transaction";

/// Returns the log position of an answer of the primary; none unless the server led the same term before and after.
fn confirmed_position(exchange: &Exchange) -> Option<LogPosition> {
    let (before, after) = (exchange.before?, exchange.after?);
    let is_same_primary =
        before.role == Role::Primary && after.role == Role::Primary && before.term == after.term;
    is_same_primary.then_some(after.received)
}

/// Converts a pool error: a rejection by admission is final, a failed connection may be retried.
fn from_pool_error(e: &PoolError) -> BatchError {
    match e.overload {
        true => BatchError::Final(Outcome::NotRun { reason: e.reason.clone(), retry_ms: e.retry_ms }),
        false => BatchError::Retryable { reason: e.reason.clone(), server: None },
    }
}

/// Appends the queries that replace a connection's settings; returns their number.
fn put_settings(settings: &[(Name, Name)], out: &mut BytesMut) -> usize {
    upstream::put_query("RESET ALL", out);
    for (name, value) in settings {
        let value = value.replace('\'', "''");
        upstream::put_query(&format!("SET {name} = '{value}'"), out);
    }
    settings.len() + 1
}

/// Sets the transaction status of the last ReadyForQuery message to idle.
fn with_idle_status(mut frames: Vec<u8>) -> Vec<u8> {
    if let Some(last) = frames.last_mut() {
        *last = b'I';
    }
    frames
}
