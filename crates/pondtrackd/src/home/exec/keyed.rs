//! Keyed statements and transactions, which run once at most.

use {
    super::{BatchError, BatchResult, Exchange, PinnedTxn, TRANSACTION, Task, ready_idle},
    crate::{
        home::{
            pool::PooledConn,
            request_ledger::{self, Recorded},
        },
        telemetry::Count,
    },
    bytes::BytesMut,
    pondtrack_core::request_key,
    pondtrack_edge::{
        contract::Order,
        upstream::{self, Answer},
    },
    pondtrack_proto::{LogPosition, Name, Outcome, ServedBy, TxnState},
};

impl Task<'_> {
    /// A keyed statement: the ledger and the statement in one transaction.
    pub(super) async fn write_keyed(&self, key: &Name, issued: u64) -> Result<BatchResult, BatchError> {
        let (server, mut lease) = self.acquire_primary().await?;
        let mut head = BytesMut::new();
        request_ledger::before(key, issued, &self.req.frames, &mut head);
        let order = Some(Order::Position);
        let first = match self.run(&mut lease, order, &self.req.frames, &[&head]).await {
            Ok(it) => it,
            // Not committed yet: whatever ran is rolled back with the connection.
            Err(BatchError::Indeterminate { reason, .. }) => {
                return Err(BatchError::Retryable { reason, server: None });
            }
            Err(e) => return Err(e),
        };
        if let Some(code) = first.extra.iter().find_map(|it| it.error.as_deref()) {
            let code = code.to_owned();
            return self.ledger_refused(server, lease, key, &code).await;
        }
        if first.answer.error.is_some() || first.answer.txn != TxnState::Open {
            return self.undo_failed(lease, first).await;
        }
        let mut tail = BytesMut::new();
        let tag = request_ledger::tag(&first.answer);
        let answers = request_ledger::after(key, &tag, &mut tail);
        let second = self.run_tail(&mut lease, &tail, answers).await?;
        let frames = ready_idle(first.answer.frames);
        let answer = Answer { frames, txn: second.answer.txn, error: second.answer.error };
        let it = Exchange { answer, ..second };
        if let Some(code) = &it.answer.error {
            let reason = format!("the commit failed with {code}").into();
            return Err(BatchError::Retryable { reason, server: None });
        }
        self.acknowledge(server, lease, it, None).await.0
    }

    /// The statement itself failed: the key is not used up.
    pub(super) async fn undo_failed(
        &self,
        mut lease: PooledConn,
        first: Exchange,
    ) -> Result<BatchResult, BatchError> {
        let mut tail = BytesMut::new();
        upstream::put_query("ROLLBACK", &mut tail);
        self.run_tail(&mut lease, &tail, 1).await.ok();
        self.finish(lease, TxnState::Idle);
        let frames = ready_idle(first.answer.frames);
        let mark = LogPosition::default();
        Ok(BatchResult { frames, txn: TxnState::Idle, mark, served: ServedBy::Primary })
    }

    /// The key could not be entered: it is there already, or the ledger is not.
    pub(super) async fn ledger_refused(
        &self,
        server: usize,
        mut lease: PooledConn,
        key: &Name,
        code: &str,
    ) -> Result<BatchResult, BatchError> {
        let mut tail = BytesMut::new();
        upstream::put_query("ROLLBACK", &mut tail);
        let text = match code {
            request_ledger::DUPLICATE => request_key::select_sql(key),
            request_ledger::NO_TABLE => request_key::create_table_sql(),
            _ => {
                let reason = format!("the request ledger refused the key with {code}").into();
                return Err(BatchError::Retryable { reason, server: None });
            }
        };
        upstream::put_query(&text, &mut tail);
        let it = self.run_tail(&mut lease, &tail, 2).await?;
        let found = request_ledger::recorded(&it.answer);
        let (mut out, _) = self.acknowledge(server, lease, it, None).await;
        match (&mut out, found) {
            (Err(_), _) => out.map_err(|_| BatchError::Retryable {
                reason: "the ledger's answer was lost".into(),
                server: None,
            }),
            (Ok(ran), Some(it)) => self.settled(&it, ran.mark),
            // The table was made, or the first holder of the key rolled back: try once more.
            (Ok(_), None) => {
                Err(BatchError::Retryable { reason: "the ledger was being prepared".into(), server: None })
            }
        }
    }

    pub(super) fn settled(&self, found: &Recorded, mark: LogPosition) -> Result<BatchResult, BatchError> {
        self.node.count(Count::Repeated);
        let ran = request_ledger::settle(&self.req.frames, found)?;
        Ok(BatchResult { mark, ..ran })
    }

    /// A keyed transaction: the key is entered right after its begin.
    pub(super) async fn begin_keyed(
        &self,
        key: &Name,
        issued: u64,
    ) -> (Result<BatchResult, BatchError>, Option<Box<PinnedTxn>>) {
        let (server, mut lease) = match self.acquire_primary().await {
            Ok(it) => it,
            Err(e) => return (Err(e), None),
        };
        let it = match self.run(&mut lease, Some(Order::Position), &self.req.frames, &[]).await {
            Ok(it) => it,
            Err(BatchError::Indeterminate { reason, .. }) => {
                return (Err(BatchError::Retryable { reason, server: None }), None);
            }
            Err(e) => return (Err(e), None),
        };
        let mut enter = BytesMut::new();
        upstream::put_query(&request_key::insert_sql(key, issued, TRANSACTION), &mut enter);
        let entered = match self.run_tail(&mut lease, &enter, 1).await {
            Ok(it) => it,
            Err(_) => {
                return (
                    Err(BatchError::Retryable { reason: "the primary was lost".into(), server: None }),
                    None,
                );
            }
        };
        match entered.answer.error.as_deref() {
            None => self.acknowledge(server, lease, it, Some(key.clone())).await,
            Some(request_ledger::DUPLICATE) => {
                let reason = "a transaction with this request key was committed before".into();
                (Err(BatchError::Final(Outcome::Key { reason })), None)
            }
            Some(code) => {
                let code = code.to_owned();
                (self.ledger_refused(server, lease, key, &code).await, None)
            }
        }
    }
}
