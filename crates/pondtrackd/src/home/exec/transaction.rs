//! Batches of a transaction that is open.

use {
    super::{BatchError, BatchResult, Exchange, PinnedTxn, Task, give, same_primary},
    crate::home::{AckOutcome, pool::PooledConn, request_ledger},
    bytes::BytesMut,
    pondtrack_core::request_key,
    pondtrack_edge::{contract::Order, upstream},
    pondtrack_proto::{Class, LogPosition, Name, TxnState},
};

impl Task<'_> {
    /// A batch of a transaction that is open.
    pub(super) async fn in_transaction(
        &self,
        mut pinned: Box<PinnedTxn>,
    ) -> (Result<BatchResult, BatchError>, Option<Box<PinnedTxn>>) {
        pinned.lease.resume();
        if pinned.lease.conn().is_stale() {
            // Nothing of this batch was sent, and the server rolls back what it was sent before.
            let reason = "the server ended the connection".into();
            return (Err(BatchError::Retryable { reason, server: None }), None);
        }
        let commits = self.req.class == Class::Commit;
        let mut head = BytesMut::new();
        if let Some(key) = pinned.key.as_ref().filter(|_| commits) {
            upstream::put_query(&request_key::record_outcome_sql(key, "COMMIT"), &mut head);
        }
        let heads: &[&BytesMut] = if head.is_empty() { &[] } else { &[&head] };
        let order = Some(Order::Position);
        let it = match self.run(&mut pinned.lease, order, &self.req.frames, heads).await {
            Ok(it) => it,
            Err(BatchError::Indeterminate { reason, before }) if commits => {
                let key = pinned.key.clone();
                drop(pinned);
                let out = match (key, before) {
                    (None, Some(before)) => self.resolve_unanswered(reason, before).await,
                    (key, before) => self.commit_lost(key, reason, before).await,
                };
                return (out, None);
            }
            Err(BatchError::Indeterminate { reason, .. }) => {
                // The commit was never sent, so the server rolls back.
                return (Err(BatchError::Retryable { reason, server: None }), None);
            }
            Err(e) => return (Err(e), None),
        };
        let PinnedTxn { lease, server, key, failed: told } = *pinned;
        let rolled_back = it.answer.txn == TxnState::Idle && request_ledger::tag(&it.answer) == "ROLLBACK";
        if commits && rolled_back && !told {
            // A fence ends transactions between two statements; a caller may not look at the tag.
            let reason = "the server rolled the transaction back".into();
            return (Err(BatchError::Retryable { reason, server: None }), None);
        }
        let failed = it.answer.error.is_some() || rolled_back;
        if !commits || failed {
            return self.go_on(server, lease, it, key).await;
        }
        self.acknowledge(server, lease, it, key).await
    }

    /// Goes on inside a transaction, or after its end without a commit.
    pub(super) async fn go_on(
        &self,
        server: usize,
        lease: PooledConn,
        it: Exchange,
        key: Option<Name>,
    ) -> (Result<BatchResult, BatchError>, Option<Box<PinnedTxn>>) {
        let failed = it.answer.error.is_some();
        let lost =
            || Err(BatchError::Retryable { reason: "the primary was superseded".into(), server: None });
        let shown = match same_primary(&it) {
            Some(mark) if !failed => match self.home.wait_for_quorum(self.node, mark, self.deadline).await {
                AckOutcome::Committed => mark,
                _ => return (lost(), None),
            },
            // An error shows no rows.
            Some(_) => LogPosition::default(),
            None => return (lost(), None),
        };
        give(server, lease, it.answer, shown, key)
    }
}
