//! Batches inside an open transaction.

use {
    super::{BatchError, BatchResult, Exchange, Execution, PinnedTxn, confirmed_position, finish_on_primary},
    crate::home::{AckOutcome, pool::PooledConn, request_ledger},
    bytes::BytesMut,
    pondtrack_core::request_key,
    pondtrack_edge::{contract::Order, upstream},
    pondtrack_proto::{Class, LogPosition, Name, TxnState},
};

impl Execution<'_> {
    /// Executes a batch of an open transaction.
    pub(super) async fn in_transaction(
        &self,
        mut pinned: Box<PinnedTxn>,
    ) -> (Result<BatchResult, BatchError>, Option<Box<PinnedTxn>>) {
        pinned.conn.resume();
        if pinned.conn.upstream().is_stale() {
            // The batch was not sent, and the server rolls back the earlier batches of the transaction.
            let reason = "the server ended the connection".into();
            return (Err(BatchError::Retryable { reason, server: None }), None);
        }
        let is_commit = self.req.class == Class::Commit;
        let mut head = BytesMut::new();
        if let Some(key) = pinned.key.as_ref().filter(|_| is_commit) {
            upstream::put_query(&request_key::record_outcome_sql(key, "COMMIT"), &mut head);
        }
        let heads: &[&BytesMut] = if head.is_empty() { &[] } else { &[&head] };
        let order = Some(Order::Position);
        let exchange = match self.run_batch(&mut pinned.conn, order, &self.req.frames, heads).await {
            Ok(exchange) => exchange,
            Err(BatchError::Indeterminate { reason, before }) if is_commit => {
                let key = pinned.key.clone();
                drop(pinned);
                let result = match (key, before) {
                    (None, Some(before)) => self.resolve_unanswered(reason, before).await,
                    (key, before) => self.resolve_by_key(key, reason, before).await,
                };
                return (result, None);
            }
            Err(BatchError::Indeterminate { reason, .. }) => {
                // The commit was not sent, so the server rolls back.
                return (Err(BatchError::Retryable { reason, server: None }), None);
            }
            Err(e) => return (Err(e), None),
        };
        let PinnedTxn { conn, server, key, failed: was_reported } = *pinned;
        let rolled_back = exchange.answer.txn == TxnState::Idle
            && request_ledger::command_tag(&exchange.answer) == "ROLLBACK";
        if is_commit && rolled_back && !was_reported {
            // A fence ends transactions between two statements, and callers may not check the command tag.
            let reason = "the server rolled the transaction back".into();
            return (Err(BatchError::Retryable { reason, server: None }), None);
        }
        let failed = exchange.answer.sqlstate.is_some() || rolled_back;
        if !is_commit || failed {
            return self.continue_txn(server, conn, exchange, key).await;
        }
        self.acknowledge(server, conn, exchange, key).await
    }

    /// Returns an answer inside a transaction, or after an end without a commit.
    pub(super) async fn continue_txn(
        &self,
        server: usize,
        conn: PooledConn,
        exchange: Exchange,
        key: Option<Name>,
    ) -> (Result<BatchResult, BatchError>, Option<Box<PinnedTxn>>) {
        let failed = exchange.answer.sqlstate.is_some();
        let superseded =
            || Err(BatchError::Retryable { reason: "the primary was superseded".into(), server: None });
        let position = match confirmed_position(&exchange) {
            Some(mark) if !failed => match self.home.wait_for_quorum(self.node, mark, self.deadline).await {
                AckOutcome::Committed => mark,
                _ => return (superseded(), None),
            },
            // An error contains no rows, so it needs no majority.
            Some(_) => LogPosition::default(),
            None => return (superseded(), None),
        };
        finish_on_primary(server, conn, exchange.answer, position, key)
    }
}
