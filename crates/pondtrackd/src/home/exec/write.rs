//! Writes outside a transaction, and the gate that every answer of the primary passes.

use {
    super::{ATTEMPTS, BACKOFF, BatchError, BatchResult, Exchange, PinnedTxn, Task, give, same_primary},
    crate::home::{AckOutcome, pool::PooledConn, request_ledger},
    pondtrack_core::retry::Backoff,
    pondtrack_edge::contract::{Order, Role},
    pondtrack_proto::{Class, Name, TxnState},
};

impl Task<'_> {
    /// Anything outside a transaction that needs the primary.
    pub(super) async fn write(&self) -> (Result<BatchResult, BatchError>, Option<Box<PinnedTxn>>) {
        let issued = match self.req.key.as_ref().map(request_ledger::check).transpose() {
            Ok(it) => it,
            Err(e) => return (Err(e), None),
        };
        let mut last =
            BatchError::Retryable { reason: "the group has no usable primary".into(), server: None };
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
                Err(fail @ BatchError::Retryable { .. }) if self.node.now() < self.deadline => last = fail,
                // A repeat meets the ledger, so a keyed request may be sent twice.
                Err(fail @ BatchError::Indeterminate { .. }) if keyed && self.node.now() < self.deadline => {
                    last = fail
                }
                _ => return out,
            }
        }
        (Err(last), None)
    }

    pub(super) async fn write_plain(&self) -> (Result<BatchResult, BatchError>, Option<Box<PinnedTxn>>) {
        let (server, mut lease) = match self.acquire_primary().await {
            Ok(it) => it,
            Err(e) => return (Err(e), None),
        };
        let it = match self.run(&mut lease, Some(Order::Position), &self.req.frames, &[]).await {
            Ok(it) => it,
            Err(BatchError::Indeterminate { reason, .. }) if !self.lasts() => {
                // Nothing was committed: the server rolls back what its connection's end leaves open.
                return (Err(BatchError::Retryable { reason, server: None }), None);
            }
            Err(BatchError::Indeterminate { reason, before: Some(before) }) => {
                drop(lease);
                return (self.resolve_unanswered(reason, before).await, None);
            }
            Err(e) => return (Err(e), None),
        };
        self.acknowledge(server, lease, it, None).await
    }

    /// Whether the request may leave something behind when it has run.
    pub(super) fn lasts(&self) -> bool {
        !matches!(self.req.class, Class::Begin | Class::Rollback)
    }

    /// Holds an answer until a majority has what it stands for.
    pub(super) async fn acknowledge(
        &self,
        server: usize,
        lease: PooledConn,
        it: Exchange,
        key: Option<Name>,
    ) -> (Result<BatchResult, BatchError>, Option<Box<PinnedTxn>>) {
        let failed = it.answer.error.is_some();
        let txn = it.answer.txn;
        if let (Some(before), Some(_)) = (it.before, it.after)
            && before.role != Role::Primary
        {
            // It ran on a server that was no primary, which takes no writes.
            return (
                Err(BatchError::Retryable { reason: "the primary was superseded".into(), server: None }),
                None,
            );
        }
        let Some(shown) = same_primary(&it) else {
            let out = match self.lasts() && !failed {
                true => self.resolve(it).await,
                false => {
                    Err(BatchError::Retryable { reason: "the primary was superseded".into(), server: None })
                }
            };
            return (out, None);
        };
        match self.home.wait_for_quorum(self.node, shown, self.deadline).await {
            AckOutcome::Committed => give(server, lease, it.answer, shown, key),
            AckOutcome::Superseded | AckOutcome::TimedOut
                if txn != TxnState::Idle || failed || !self.lasts() =>
            {
                (
                    Err(BatchError::Retryable { reason: "the primary was superseded".into(), server: None }),
                    None,
                )
            }
            AckOutcome::Superseded => (self.resolve(it).await, None),
            AckOutcome::TimedOut => {
                let reason = "no majority of servers received the write in time".into();
                (Err(BatchError::Indeterminate { reason, before: it.before }), None)
            }
        }
    }
}
