//! What became of a commit whose term ended before its acknowledgement.

use {
    super::{BatchError, BatchResult, Exchange, Task},
    crate::home::{
        AckOutcome, ORDER_TIMEOUT,
        request_ledger::{self, Recorded},
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

/// Between two looks whether a primary whose connection broke is gone: the first home asks it each 150 ms, the others each
/// 450 ms, unless set otherwise.
const LOOK: Duration = Duration::from_millis(50);

impl Task<'_> {
    /// A commit was answered, but its term ended before a majority was known to hold it: asks the next
    /// primary's log, which is final, whether it lasted.
    pub(super) async fn resolve(&self, it: Exchange) -> Result<BatchResult, BatchError> {
        let unknown = |reason: &str| BatchError::Indeterminate { reason: reason.into(), before: it.before };
        let Some(before) = it.before else {
            return Err(unknown("the position before the write is not known"));
        };
        let after = it.after.filter(|p| p.received.term == before.term);
        let first = Lsn(before.received.lsn.0 + 1);
        let (primary, now) = self.later_primary(&before).await.map_err(unknown)?;
        let entry = |lsn| self.home.order(self.node, primary, Order::Entry(lsn), ORDER_TIMEOUT);
        if let Some(end) = after
            && entry(end.received.lsn).await.is_ok_and(|p| p.received.term == before.term)
        {
            let mark = LogPosition { term: now.term, lsn: end.received.lsn };
            let served = ServedBy::Primary;
            return Ok(BatchResult { frames: it.answer.frames, txn: TxnState::Idle, mark, served });
        }
        match entry(first).await {
            // Nothing after the position before the write is in the log: neither is the write.
            Ok(p) if p.received.term != before.term => Err(BatchError::Retryable {
                reason: "the write was dropped with its primary".into(),
                server: None,
            }),
            _ => Err(unknown("other writes of that moment lasted, this one may not have")),
        }
    }

    /// A commit was never answered. It lasted only if the next primary's log, which is final, holds an
    /// entry of its term after the position known before it was sent; without any it did not run.
    pub(super) async fn resolve_unanswered(
        &self,
        reason: Name,
        before: Position,
    ) -> Result<BatchResult, BatchError> {
        let unknown = || BatchError::Indeterminate { reason: reason.clone(), before: Some(before) };
        let (primary, _) = self.later_primary(&before).await.map_err(|_| unknown())?;
        let next = Order::Entry(Lsn(before.received.lsn.0 + 1));
        match self.home.order(self.node, primary, next, ORDER_TIMEOUT).await {
            Ok(it) if it.received.term != before.term => Err(BatchError::Retryable { reason, server: None }),
            _ => Err(unknown()),
        }
    }

    /// The primary of a later term, once what its log holds is final: a majority holds the first entry of
    /// its term.
    async fn later_primary(&self, before: &Position) -> Result<(usize, Position), &'static str> {
        let broke = self.node.now();
        let (primary, now) = loop {
            let primary = self.home.wait_primary(self.node, self.deadline).await;
            let primary = primary.ok_or("no primary can tell whether the write lasted")?;
            let (position, heard) = self.home.servers[primary].last_report();
            match position {
                Some(it) if it.term > before.term => break (primary, it),
                _ if heard.is_some_and(|at| at > broke) => {
                    return Err("the primary leads still, and can't tell whether the write lasted");
                }
                // That a connection to it has broken may be known before that it is gone.
                _ => drop(timeout(self.left().min(LOOK), self.home.changed.notified()).await),
            }
        };
        let settled = LogPosition { term: now.term, lsn: now.received.lsn };
        match self.home.wait_for_quorum(self.node, settled, self.deadline).await {
            AckOutcome::Committed => Ok((primary, now)),
            AckOutcome::Superseded | AckOutcome::TimedOut => Err("the next primary was superseded in turn"),
        }
    }

    /// The answer to a commit was lost: the ledger knows, if the transaction had a key.
    pub(super) async fn commit_lost(
        &self,
        key: Option<Name>,
        reason: Name,
        before: Option<Position>,
    ) -> Result<BatchResult, BatchError> {
        let Some(key) = key else { return Err(BatchError::Indeterminate { reason, before }) };
        let (server, mut lease) = self
            .acquire_primary()
            .await
            .map_err(|_| BatchError::Indeterminate { reason: reason.clone(), before })?;
        let mut find = BytesMut::new();
        upstream::put_query(&request_key::select_sql(&key), &mut find);
        let it = self.run_tail(&mut lease, &find, 1).await?;
        let found = request_ledger::recorded(&it.answer).is_some_and(|it| it.tag == "COMMIT");
        let later = it.after.map(|p| p.term) > before.map(|p| p.term) && before.is_some();
        let (out, _) = self.acknowledge(server, lease, it, None).await;
        match out {
            Ok(ran) if found => {
                let recorded = Recorded { request: String::new(), tag: "COMMIT".to_owned() };
                let frames = request_ledger::repeat(&self.req.frames, &recorded);
                Ok(BatchResult { frames, mark: ran.mark, ..BatchResult::repeated(Vec::new()) })
            }
            // A later term's log is final; in the same term the commit may still be on its way.
            Ok(_) if later => Err(BatchError::Retryable { reason, server: None }),
            _ => Err(BatchError::Indeterminate { reason, before }),
        }
    }
}
