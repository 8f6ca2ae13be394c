//! Statements and transactions with a request key, which run at most once.

use {
    super::{BatchError, BatchResult, Exchange, Execution, PinnedTxn, TXN_FINGERPRINT, with_idle_status},
    crate::{
        home::{
            pool::PooledConn,
            request_ledger::{self, LedgerRecord},
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

impl Execution<'_> {
    /// Executes a statement with a request key: the ledger entry and the statement are one transaction.
    pub(super) async fn write_keyed(&self, key: &Name, issued: u64) -> Result<BatchResult, BatchError> {
        let (server, mut conn) = self.acquire_primary().await?;
        let mut head = BytesMut::new();
        request_ledger::put_begin(key, issued, &self.req.frames, &mut head);
        let order = Some(Order::Position);
        let batch = match self.run_batch(&mut conn, order, &self.req.frames, &[&head]).await {
            Ok(exchange) => exchange,
            // Not committed yet: the server rolls the transaction back when the connection ends.
            Err(BatchError::Indeterminate { reason, .. }) => {
                return Err(BatchError::Retryable { reason, server: None });
            }
            Err(e) => return Err(e),
        };
        if let Some(code) = batch.extra.iter().find_map(|a| a.sqlstate.as_deref()) {
            let code = code.to_owned();
            return self.on_ledger_error(server, conn, key, &code).await;
        }
        if batch.answer.sqlstate.is_some() || batch.answer.txn != TxnState::Open {
            return self.roll_back(conn, batch).await;
        }
        let mut tail = BytesMut::new();
        let tag = request_ledger::command_tag(&batch.answer);
        let answers = request_ledger::put_commit(key, &tag, &mut tail);
        let commit = self.run_queries(&mut conn, &tail, answers).await?;
        let frames = with_idle_status(batch.answer.frames);
        let answer = Answer { frames, txn: commit.answer.txn, sqlstate: commit.answer.sqlstate };
        let exchange = Exchange { answer, ..commit };
        if let Some(code) = &exchange.answer.sqlstate {
            let reason = format!("the commit failed with {code}").into();
            return Err(BatchError::Retryable { reason, server: None });
        }
        self.acknowledge(server, conn, exchange, None).await.0
    }

    /// Rolls back after the statement itself failed, so that the key can be used again.
    pub(super) async fn roll_back(
        &self,
        mut conn: PooledConn,
        batch: Exchange,
    ) -> Result<BatchResult, BatchError> {
        let mut tail = BytesMut::new();
        upstream::put_query("ROLLBACK", &mut tail);
        self.run_queries(&mut conn, &tail, 1).await.ok();
        self.finish(conn, TxnState::Idle);
        let frames = with_idle_status(batch.answer.frames);
        let mark = LogPosition::default();
        Ok(BatchResult { frames, txn: TxnState::Idle, mark, served: ServedBy::Primary })
    }

    /// Handles a failed insertion of the key: the key exists already, or the ledger table doesn't.
    pub(super) async fn on_ledger_error(
        &self,
        server: usize,
        mut conn: PooledConn,
        key: &Name,
        code: &str,
    ) -> Result<BatchResult, BatchError> {
        let mut tail = BytesMut::new();
        upstream::put_query("ROLLBACK", &mut tail);
        let text = match code {
            request_ledger::UNIQUE_VIOLATION => request_key::select_sql(key),
            request_ledger::UNDEFINED_TABLE => request_key::create_table_sql(),
            _ => {
                let reason = format!("the request ledger refused the key with {code}").into();
                return Err(BatchError::Retryable { reason, server: None });
            }
        };
        upstream::put_query(&text, &mut tail);
        let exchange = self.run_queries(&mut conn, &tail, 2).await?;
        let record = request_ledger::parse_record(&exchange.answer);
        let (mut result, _) = self.acknowledge(server, conn, exchange, None).await;
        match (&mut result, record) {
            (Err(_), _) => result.map_err(|_| BatchError::Retryable {
                reason: "the ledger's answer was lost".into(),
                server: None,
            }),
            (Ok(batch), Some(record)) => self.recorded_result(&record, batch.mark),
            // The table was created, or the first request with this key rolled back: the request is retried.
            (Ok(_), None) => {
                Err(BatchError::Retryable { reason: "the ledger was being prepared".into(), server: None })
            }
        }
    }

    /// Returns the recorded result for a repeated request.
    pub(super) fn recorded_result(
        &self,
        record: &LedgerRecord,
        mark: LogPosition,
    ) -> Result<BatchResult, BatchError> {
        self.node.count(Count::Repeated);
        let batch = request_ledger::replay(&self.req.frames, record)?;
        Ok(BatchResult { mark, ..batch })
    }

    /// Begins a transaction with a request key, which is inserted right after the begin.
    pub(super) async fn begin_keyed(
        &self,
        key: &Name,
        issued: u64,
    ) -> (Result<BatchResult, BatchError>, Option<Box<PinnedTxn>>) {
        let (server, mut conn) = match self.acquire_primary().await {
            Ok(acquired) => acquired,
            Err(e) => return (Err(e), None),
        };
        let exchange = match self.run_batch(&mut conn, Some(Order::Position), &self.req.frames, &[]).await {
            Ok(exchange) => exchange,
            Err(BatchError::Indeterminate { reason, .. }) => {
                return (Err(BatchError::Retryable { reason, server: None }), None);
            }
            Err(e) => return (Err(e), None),
        };
        let mut query = BytesMut::new();
        upstream::put_query(&request_key::insert_sql(key, issued, TXN_FINGERPRINT), &mut query);
        let inserted = match self.run_queries(&mut conn, &query, 1).await {
            Ok(exchange) => exchange,
            Err(_) => {
                return (
                    Err(BatchError::Retryable { reason: "the primary was lost".into(), server: None }),
                    None,
                );
            }
        };
        match inserted.answer.sqlstate.as_deref() {
            None => self.acknowledge(server, conn, exchange, Some(key.clone())).await,
            Some(request_ledger::UNIQUE_VIOLATION) => {
                let reason = "a transaction with this request key was committed before".into();
                (Err(BatchError::Final(Outcome::Key { reason })), None)
            }
            Some(code) => {
                let code = code.to_owned();
                (self.on_ledger_error(server, conn, key, &code).await, None)
            }
        }
    }
}
