//! Reads outside a transaction: which server, whether its answer may be given, and another try if not.

use {
    super::{ATTEMPTS, BACKOFF, BatchError, BatchResult, Task, denied, same_primary},
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

impl Task<'_> {
    /// A read outside a transaction; it has no effect, so it may be tried again.
    pub(super) async fn read(&self) -> Result<BatchResult, BatchError> {
        let mut mark = self.req.mark;
        if self.req.barrier && self.req.age_ms.is_none() {
            mark.advance(self.barrier().await?);
        }
        let mut tried = Vec::new();
        let mut backoff = Backoff::new(BACKOFF.0, BACKOFF.1);
        for attempt in 0..ATTEMPTS {
            if attempt > 0 && !self.may_retry(&mut backoff, tried.len() < self.home.servers.len()).await {
                break;
            }
            let out = match self.target(mark, &tried).await {
                Target::Replica { server, wait } => self.read_replica(server, wait, mark).await,
                Target::Primary { .. } | Target::Unavailable => self.read_primary().await,
            };
            match out {
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

    pub(super) async fn barrier(&self) -> Result<LogPosition, BatchError> {
        loop {
            let left = self.left();
            if let Ok(Some(it)) = timeout(left, barrier::wait(self.node, self.home)).await {
                return Ok(it);
            }
            let reason = "no majority of the group's servers answers".into();
            if self.left().is_zero() {
                return Err(BatchError::Retryable { reason, server: None });
            }
            // A change of primary may be under way.
            let changed = self.home.changed.notified();
            let _ = timeout(self.left().min(Duration::from_millis(50)), changed).await;
        }
    }

    /// Chooses a server; old evidence of age is renewed before replicas are given up for it.
    pub(super) async fn target(&self, mark: LogPosition, tried: &[usize]) -> Target {
        if !self.node.settings.replica_reads.is_on() {
            return Target::Unavailable;
        }
        let first = self.choose(mark, tried);
        let aged = self.req.age_ms.is_some();
        match first {
            Target::Replica { .. } => first,
            _ if aged && self.home.is_primary_reachable(self.node) => {
                let _ = timeout(self.left(), barrier::wait(self.node, self.home)).await;
                self.choose(mark, tried)
            }
            _ => first,
        }
    }

    pub(super) fn choose(&self, mark: LogPosition, tried: &[usize]) -> Target {
        let now = self.node.now();
        let config = RouteConfig::default();
        let candidates = self.home.candidates(self.node);
        let aged = |it: &route::Candidate| self.is_fresh(it.term, it.applied);
        route::choose(&config, now, &self.node.zone, mark, &candidates, tried, aged)
    }

    /// Whether an answer at a position is young enough; always so when no age is stated.
    pub(super) fn is_fresh(&self, term: Term, applied: Lsn) -> bool {
        let Some(age) = self.req.age_ms else { return true };
        let as_of = self.home.freshness.borrow().as_of(term, applied);
        as_of.is_some_and(|at| self.node.now().saturating_sub(at) <= u64::from(age))
    }

    pub(super) async fn read_replica(
        &self,
        server: usize,
        wait: u64,
        mark: LogPosition,
    ) -> Result<BatchResult, BatchError> {
        let again = |reason: Name| BatchError::Retryable { reason, server: Some(server) };
        let mut lease = self.acquire(server).await.map_err(|e| again(e.reason))?;
        let order = Order::Wait { mark, ms: wait as u32 };
        let it =
            self.run(&mut lease, Some(order), &self.req.frames, &[]).await.map_err(|fail| match fail {
                // A read has no effect, wherever it got to.
                BatchError::Indeterminate { reason, .. } => again(reason),
                other => other,
            })?;
        let (Some(before), Some(after)) = (it.before, it.after) else {
            return Err(again("the server shows no position".into()));
        };
        let same = before.term == after.term && after.role != Role::Fenced;
        let fits = same && route::can_answer(before.term, before.received, before.applied, mark);
        if !fits || !self.is_fresh(before.term, before.applied) {
            self.finish(lease, it.answer.txn);
            return Err(again("the replica is behind".into()));
        }
        let shown = LogPosition { term: after.term, lsn: after.applied };
        if self.home.servers.len() > 3 {
            // Primary and replica are no majority of a larger group.
            let gated = self.home.wait_for_quorum(self.node, shown, self.deadline).await;
            if gated != AckOutcome::Committed {
                return Err(again("what the replica shows is not held by a majority".into()));
            }
        }
        let txn = it.answer.txn;
        self.finish(lease, txn);
        Ok(BatchResult { frames: it.answer.frames, txn, mark: shown, served: ServedBy::Replica })
    }

    pub(super) async fn read_primary(&self) -> Result<BatchResult, BatchError> {
        let server = self.primary().await?;
        let mut lease = self.acquire(server).await.map_err(|e| denied(&e))?;
        let it = self.run(&mut lease, Some(Order::Position), &self.req.frames, &[]).await?;
        let again = |reason: Name| BatchError::Retryable { reason, server: None };
        let Some(shown) = same_primary(&it) else {
            return Err(again("the primary was superseded".into()));
        };
        let txn = it.answer.txn;
        match self.home.wait_for_quorum(self.node, shown, self.deadline).await {
            AckOutcome::Committed => {
                self.finish(lease, txn);
                Ok(BatchResult { frames: it.answer.frames, txn, mark: shown, served: ServedBy::Primary })
            }
            _ => Err(again("the primary was superseded".into())),
        }
    }
}
