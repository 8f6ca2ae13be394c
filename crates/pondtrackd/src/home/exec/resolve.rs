//! Outcomes of commits whose term ended before their acknowledgement.

use {
    super::{BatchError, BatchResult, Exchange, Execution},
    crate::home::{
        AckOutcome, ORDER_TIMEOUT,
        request_ledger::{self, LedgerRecord},
    },
    bytes::BytesMut,
    pondtrack_core::request_key,
    pondtrack_edge::{
        contract::{Order, Position},
        upstream,
    },
    pondtrack_proto::{LogPosition, Lsn, Name, ServedBy, TxnState},
    std::time::Duration,
    tokio::time::timeout,
};

/// Interval between two checks for the loss of a primary whose connection broke. By default the first home polls a
/// primary every 150 ms, and the other homes every 450 ms.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

impl Execution<'_> {
    /// Determines the outcome of a commit that was answered, but whose term ended before a majority was known to hold
    /// it.
    ///
    /// The log of the next primary is final: it holds the commit or never will.
    pub(super) async fn resolve_commit(&self, exchange: Exchange) -> Result<BatchResult, BatchError> {
        let unknown =
            |reason: &str| BatchError::Indeterminate { reason: reason.into(), before: exchange.before };
        let Some(before) = exchange.before else {
            return Err(unknown("the position before the write is not known"));
        };
        let after = exchange.after.filter(|p| p.received.term == before.term);
        let first = Lsn(before.received.lsn.0 + 1);
        let (primary, now) = self.wait_for_later_primary(&before).await.map_err(unknown)?;
        let entry = |lsn| self.home.order(self.node, primary, Order::Entry(lsn), ORDER_TIMEOUT);
        if let Some(end) = after
            && entry(end.received.lsn).await.is_ok_and(|p| p.received.term == before.term)
        {
            let mark = LogPosition { term: now.term, lsn: end.received.lsn };
            let served = ServedBy::Primary;
            return Ok(BatchResult { frames: exchange.answer.frames, txn: TxnState::Idle, mark, served });
        }
        match entry(first).await {
            // The log holds no entry of the term after the position before the write, so the write isn't in it either.
            Ok(p) if p.received.term != before.term => Err(BatchError::Retryable {
                reason: "the write was dropped with its primary".into(),
                server: None,
            }),
            _ => Err(unknown("other writes of that moment lasted, this one may not have")),
        }
    }

    /// Determines the outcome of a commit that was never answered.
    ///
    /// The commit can only have survived if the log of the next primary, which is final, holds an entry of its term
    /// after the position known before it was sent; without such an entry the commit did not run.
    pub(super) async fn resolve_unanswered(
        &self,
        reason: Name,
        before: Position,
    ) -> Result<BatchResult, BatchError> {
        let unknown = || BatchError::Indeterminate { reason: reason.clone(), before: Some(before) };
        let (primary, _) = self.wait_for_later_primary(&before).await.map_err(|_| unknown())?;
        let next = Order::Entry(Lsn(before.received.lsn.0 + 1));
        match self.home.order(self.node, primary, next, ORDER_TIMEOUT).await {
            Ok(p) if p.received.term != before.term => Err(BatchError::Retryable { reason, server: None }),
            _ => Err(unknown()),
        }
    }

    /// Waits for the primary of a later term whose log is final: a majority holds the first entry of its term.
    async fn wait_for_later_primary(&self, before: &Position) -> Result<(usize, Position), &'static str> {
        let broken_at = self.node.now();
        let (primary, now) = loop {
            let primary = self.home.wait_primary(self.node, self.deadline).await;
            let primary = primary.ok_or("no primary can tell whether the write lasted")?;
            let (position, answered_at) = self.home.servers[primary].last_report();
            match position {
                Some(p) if p.term > before.term => break (primary, p),
                _ if answered_at.is_some_and(|at| at > broken_at) => {
                    return Err("the primary leads still, and can't tell whether the write lasted");
                }
                // The broken connection may be noticed before the failure of the primary.
                _ => drop(timeout(self.left().min(CHECK_INTERVAL), self.home.changed.notified()).await),
            }
        };
        let first_entry = LogPosition { term: now.term, lsn: now.received.lsn };
        match self.home.wait_for_quorum(self.node, first_entry, self.deadline).await {
            AckOutcome::Committed => Ok((primary, now)),
            AckOutcome::Superseded | AckOutcome::TimedOut => Err("the next primary was superseded in turn"),
        }
    }

    /// Determines the outcome of a commit whose answer was lost, from the ledger if the transaction had a key.
    pub(super) async fn resolve_by_key(
        &self,
        key: Option<Name>,
        reason: Name,
        before: Option<Position>,
    ) -> Result<BatchResult, BatchError> {
        let Some(key) = key else { return Err(BatchError::Indeterminate { reason, before }) };
        let (server, mut conn) = self
            .acquire_primary()
            .await
            .map_err(|_| BatchError::Indeterminate { reason: reason.clone(), before })?;
        let mut query = BytesMut::new();
        upstream::put_query(&request_key::select_sql(&key), &mut query);
        let exchange = self.run_queries(&mut conn, &query, 1).await?;
        let found = request_ledger::parse_record(&exchange.answer).is_some_and(|r| r.tag == "COMMIT");
        let is_later = exchange.after.map(|p| p.term) > before.map(|p| p.term) && before.is_some();
        let (result, _) = self.acknowledge(server, conn, exchange, None).await;
        match result {
            Ok(batch) if found => {
                let record = LedgerRecord { fingerprint: String::new(), tag: "COMMIT".to_owned() };
                let frames = request_ledger::replay_answer(&self.req.frames, &record);
                Ok(BatchResult { frames, mark: batch.mark, ..BatchResult::repeated(Vec::new()) })
            }
            // The log of a later term is final; in the same term the commit may still arrive.
            Ok(_) if is_later => Err(BatchError::Retryable { reason, server: None }),
            _ => Err(BatchError::Indeterminate { reason, before }),
        }
    }
}
