//! Writes outside transactions, and the commit gate that every answer of the primary passes.

use {
    super::{
        BACKOFF, BatchError, BatchResult, Exchange, Execution, MAX_ATTEMPTS, PinnedTxn, confirmed_position,
        finish_on_primary,
    },
    crate::home::{AckOutcome, pool::PooledConn, request_ledger},
    pondtrack_core::retry::Backoff,
    pondtrack_edge::contract::{Order, Role},
    pondtrack_proto::{Class, Name, TxnState},
};

impl Execution<'_> {
    /// Executes a request outside a transaction that needs the primary, with retries.
    pub(super) async fn write(&self) -> (Result<BatchResult, BatchError>, Option<Box<PinnedTxn>>) {
        let issued = match self.req.key.as_ref().map(request_ledger::validate).transpose() {
            Ok(issued) => issued,
            Err(e) => return (Err(e), None),
        };
        let mut last_error =
            BatchError::Retryable { reason: "the group has no usable primary".into(), server: None };
        let mut backoff = Backoff::new(BACKOFF.0, BACKOFF.1);
        for attempt in 0..MAX_ATTEMPTS {
            if attempt > 0 && !self.wait_for_retry(&mut backoff, false).await {
                break;
            }
            let result = match (&self.req.key, issued, self.req.class) {
                (Some(key), Some(issued), Class::Write) => (self.write_keyed(key, issued).await, None),
                (Some(key), Some(issued), Class::Begin) => self.begin_keyed(key, issued).await,
                _ => self.write_plain().await,
            };
            let is_keyed = self.req.key.is_some() && self.req.class == Class::Write;
            match result.0 {
                Err(e @ BatchError::Retryable { .. }) if self.node.now() < self.deadline => last_error = e,
                // The ledger detects a repeat, so a request with a key may be sent twice.
                Err(e @ BatchError::Indeterminate { .. }) if is_keyed && self.node.now() < self.deadline => {
                    last_error = e
                }
                _ => return result,
            }
        }
        (Err(last_error), None)
    }

    /// Executes a request without a request key.
    pub(super) async fn write_plain(&self) -> (Result<BatchResult, BatchError>, Option<Box<PinnedTxn>>) {
        let (server, mut conn) = match self.acquire_primary().await {
            Ok(acquired) => acquired,
            Err(e) => return (Err(e), None),
        };
        let exchange = match self.run_batch(&mut conn, Some(Order::Position), &self.req.frames, &[]).await {
            Ok(exchange) => exchange,
            Err(BatchError::Indeterminate { reason, .. }) if !self.has_effects() => {
                // Nothing was committed: the server rolls back the open transaction when the connection ends.
                return (Err(BatchError::Retryable { reason, server: None }), None);
            }
            Err(BatchError::Indeterminate { reason, before: Some(before) }) => {
                drop(conn);
                return (self.resolve_unanswered(reason, before).await, None);
            }
            Err(e) => return (Err(e), None),
        };
        self.acknowledge(server, conn, exchange, None).await
    }

    /// Returns true if the request may have a lasting effect.
    pub(super) fn has_effects(&self) -> bool {
        !matches!(self.req.class, Class::Begin | Class::Rollback)
    }

    /// Delays an answer until a majority holds the log up to its position.
    pub(super) async fn acknowledge(
        &self,
        server: usize,
        conn: PooledConn,
        exchange: Exchange,
        key: Option<Name>,
    ) -> (Result<BatchResult, BatchError>, Option<Box<PinnedTxn>>) {
        let failed = exchange.answer.sqlstate.is_some();
        let txn = exchange.answer.txn;
        if let (Some(before), Some(_)) = (exchange.before, exchange.after)
            && before.role != Role::Primary
        {
            // The server was not a primary, and such a server rejects writes.
            return (
                Err(BatchError::Retryable { reason: "the primary was superseded".into(), server: None }),
                None,
            );
        }
        let Some(position) = confirmed_position(&exchange) else {
            let result = match self.has_effects() && !failed {
                true => self.resolve_commit(exchange).await,
                false => {
                    Err(BatchError::Retryable { reason: "the primary was superseded".into(), server: None })
                }
            };
            return (result, None);
        };
        match self.home.wait_for_quorum(self.node, position, self.deadline).await {
            AckOutcome::Committed => finish_on_primary(server, conn, exchange.answer, position, key),
            AckOutcome::Superseded | AckOutcome::TimedOut
                if txn != TxnState::Idle || failed || !self.has_effects() =>
            {
                (
                    Err(BatchError::Retryable { reason: "the primary was superseded".into(), server: None }),
                    None,
                )
            }
            AckOutcome::Superseded => (self.resolve_commit(exchange).await, None),
            AckOutcome::TimedOut => {
                let reason = "no majority of servers received the write in time".into();
                (Err(BatchError::Indeterminate { reason, before: exchange.before }), None)
            }
        }
    }
}
