//! Reads outside transactions: choice of a server, validation of its answer, and retries.

use {
    super::{BACKOFF, BatchError, BatchResult, Execution, MAX_ATTEMPTS, confirmed_position, from_pool_error},
    crate::{
        home::{AckOutcome, barrier},
        telemetry::Count,
    },
    pondtrack_core::{
        retry::Backoff,
        route::{self, RouteConfig, Target},
    },
    pondtrack_edge::contract::{Order, Role},
    pondtrack_proto::{LogPosition, Lsn, Name, ServedBy, Term},
    std::time::Duration,
    tokio::time::timeout,
};

impl Execution<'_> {
    /// Executes a read outside a transaction. A read has no effect, so it may always be retried.
    pub(super) async fn read(&self) -> Result<BatchResult, BatchError> {
        let mut mark = self.req.mark;
        if self.req.barrier && self.req.age_ms.is_none() {
            mark.advance(self.barrier().await?);
        }
        let mut tried = Vec::new();
        let mut backoff = Backoff::new(BACKOFF.0, BACKOFF.1);
        for attempt in 0..MAX_ATTEMPTS {
            if attempt > 0 && !self.wait_for_retry(&mut backoff, tried.len() < self.home.servers.len()).await
            {
                break;
            }
            let result = match self.target(mark, &tried).await {
                Target::Replica { server, wait } => self.read_replica(server, wait, mark).await,
                Target::Primary { .. } | Target::Unavailable => self.read_primary().await,
            };
            match result {
                Err(BatchError::Retryable { server, .. }) if self.node.now() < self.deadline => {
                    self.node.count(Count::RetriedReads);
                    tried.extend(server);
                }
                Err(BatchError::Indeterminate { reason, .. }) if self.node.now() >= self.deadline => {
                    return Err(BatchError::Retryable { reason, server: None });
                }
                Err(BatchError::Indeterminate { .. }) => self.node.count(Count::RetriedReads),
                other => return other,
            }
        }
        Err(BatchError::Retryable { reason: "no server could answer the read in time".into(), server: None })
    }

    /// Returns the position that covers all writes acknowledged before the call, from a barrier. Retries until the
    /// deadline.
    pub(super) async fn barrier(&self) -> Result<LogPosition, BatchError> {
        loop {
            let left = self.left();
            if let Ok(Some(mark)) = timeout(left, barrier::wait(self.node, self.home)).await {
                return Ok(mark);
            }
            let reason = "no majority of the group's servers answers".into();
            if self.left().is_zero() {
                return Err(BatchError::Retryable { reason, server: None });
            }
            // A failover may be under way.
            let changed = self.home.changed.notified();
            let _ = timeout(self.left().min(Duration::from_millis(50)), changed).await;
        }
    }

    /// Chooses a server. If no replica is known to be within the staleness limit, a barrier first renews the evidence.
    pub(super) async fn target(&self, mark: LogPosition, tried: &[usize]) -> Target {
        if !self.node.settings.replica_reads.is_on() {
            return Target::Unavailable;
        }
        let first = self.choose(mark, tried);
        let has_max_age = self.req.age_ms.is_some();
        match first {
            Target::Replica { .. } => first,
            _ if has_max_age && self.home.is_primary_reachable(self.node) => {
                let _ = timeout(self.left(), barrier::wait(self.node, self.home)).await;
                self.choose(mark, tried)
            }
            _ => first,
        }
    }

    /// Chooses a server from the current evidence, except those already tried.
    pub(super) fn choose(&self, mark: LogPosition, tried: &[usize]) -> Target {
        let now = self.node.now();
        let config = RouteConfig::default();
        let candidates = self.home.candidates(self.node);
        let is_fresh = |c: &route::Candidate| self.is_fresh(c.term, c.applied);
        route::choose(&config, now, &self.node.zone, mark, &candidates, tried, is_fresh)
    }

    /// Returns true if an answer at a position is within the staleness limit of the request, or if there is no limit.
    pub(super) fn is_fresh(&self, term: Term, applied: Lsn) -> bool {
        let Some(max_age) = self.req.age_ms else { return true };
        let as_of = self.home.freshness.borrow().as_of(term, applied);
        as_of.is_some_and(|at| self.node.now().saturating_sub(at) <= u64::from(max_age))
    }

    /// Executes a read on a replica, which may wait up to `wait` milliseconds to reach the mark.
    pub(super) async fn read_replica(
        &self,
        server: usize,
        wait: u64,
        mark: LogPosition,
    ) -> Result<BatchResult, BatchError> {
        let retryable = |reason: Name| BatchError::Retryable { reason, server: Some(server) };
        let mut conn = self.acquire(server).await.map_err(|e| retryable(e.reason))?;
        let order = Order::Wait { mark, ms: wait as u32 };
        let exchange =
            self.run_batch(&mut conn, Some(order), &self.req.frames, &[]).await.map_err(|e| match e {
                // A read has no effect, so a retry is safe even if it was executed.
                BatchError::Indeterminate { reason, .. } => retryable(reason),
                other => other,
            })?;
        let (Some(before), Some(after)) = (exchange.before, exchange.after) else {
            return Err(retryable("the server shows no position".into()));
        };
        let is_same_term = before.term == after.term && after.role != Role::Fenced;
        let has_reached_mark =
            is_same_term && route::can_answer(before.term, before.received, before.applied, mark);
        if !has_reached_mark || !self.is_fresh(before.term, before.applied) {
            self.finish(conn, exchange.answer.txn);
            return Err(retryable("the replica is behind".into()));
        }
        let position = LogPosition { term: after.term, lsn: after.applied };
        if self.home.servers.len() > 3 {
            // The primary and one replica aren't a majority of a larger group.
            let ack = self.home.wait_for_quorum(self.node, position, self.deadline).await;
            if ack != AckOutcome::Committed {
                return Err(retryable("what the replica shows is not held by a majority".into()));
            }
        }
        let txn = exchange.answer.txn;
        self.finish(conn, txn);
        Ok(BatchResult { frames: exchange.answer.frames, txn, mark: position, served: ServedBy::Replica })
    }

    /// Executes a read on the primary.
    pub(super) async fn read_primary(&self) -> Result<BatchResult, BatchError> {
        let server = self.primary().await?;
        let mut conn = self.acquire(server).await.map_err(|e| from_pool_error(&e))?;
        let exchange = self.run_batch(&mut conn, Some(Order::Position), &self.req.frames, &[]).await?;
        let retryable = |reason: Name| BatchError::Retryable { reason, server: None };
        let Some(position) = confirmed_position(&exchange) else {
            return Err(retryable("the primary was superseded".into()));
        };
        let txn = exchange.answer.txn;
        match self.home.wait_for_quorum(self.node, position, self.deadline).await {
            AckOutcome::Committed => {
                self.finish(conn, txn);
                Ok(BatchResult {
                    frames: exchange.answer.frames,
                    txn,
                    mark: position,
                    served: ServedBy::Primary,
                })
            }
            _ => Err(retryable("the primary was superseded".into())),
        }
    }
}
