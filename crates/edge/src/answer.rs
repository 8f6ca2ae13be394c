//! Errors and small answers towards callers.

use {
    bytes::BytesMut,
    pgwire::{
        error::PgWireError,
        messages::{
            Message,
            data::{DataRow, FieldDescription, RowDescription},
            response::{CommandComplete, ErrorResponse, NoticeResponse, ReadyForQuery, TransactionStatus},
        },
    },
    pondtrack_proto::TxnState,
};

/// The type id of `text`.
pub const TEXT: u32 = 25;

/// An error as a caller sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SqlError {
    /// `ERROR`, or `FATAL` when the connection ends with it.
    pub severity: &'static str,
    /// The SQLSTATE; those of pondtrack are listed in `docs/REFERENCE.md`.
    pub code: &'static str,
    /// What happened.
    pub message: String,
    /// What to do.
    pub hint: Option<String>,
}

impl SqlError {
    /// An error after which the session goes on.
    pub fn error(code: &'static str, message: impl Into<String>) -> SqlError {
        SqlError { severity: "ERROR", code, message: message.into(), hint: None }
    }

    /// An error that ends the session.
    pub fn fatal(code: &'static str, message: impl Into<String>) -> SqlError {
        SqlError { severity: "FATAL", ..SqlError::error(code, message) }
    }

    /// Adds what to do.
    pub fn hint(mut self, hint: impl Into<String>) -> SqlError {
        self.hint = Some(hint.into());
        self
    }

    /// Appends the message to `out`.
    pub fn put(&self, out: &mut BytesMut) {
        let fields = self.fields();
        put(&ErrorResponse::new(fields), out);
    }

    fn fields(&self) -> Vec<(u8, String)> {
        let mut fields = vec![
            (b'S', self.severity.to_owned()),
            (b'V', self.severity.to_owned()),
            (b'C', self.code.to_owned()),
            (b'M', self.message.clone()),
        ];
        fields.extend(self.hint.iter().map(|it| (b'H', it.clone())));
        fields
    }
}

/// Appends any message to `out`.
pub fn put<M: Message>(message: &M, out: &mut BytesMut) {
    let at = out.len();
    match message.encode(out) {
        Ok(()) => {}
        Err(PgWireError::MessageTooLarge(..)) => {
            out.truncate(at);
            SqlError::error("54000", "an answer's message is too large").put(out);
        }
        Err(e) => log::error!(step = "encode"; "{e}"),
    }
}

/// Appends a notice.
pub fn put_notice(code: &str, message: &str, out: &mut BytesMut) {
    let fields = vec![
        (b'S', "NOTICE".to_owned()),
        (b'V', "NOTICE".to_owned()),
        (b'C', code.to_owned()),
        (b'M', message.to_owned()),
    ];
    put(&NoticeResponse::new(fields), out);
}

/// Appends ready-for-query.
pub fn put_ready(txn: TxnState, out: &mut BytesMut) {
    let status = match txn {
        TxnState::Idle => TransactionStatus::Idle,
        TxnState::Open => TransactionStatus::Transaction,
        TxnState::Failed => TransactionStatus::Error,
    };
    put(&ReadyForQuery::new(status), out);
}

/// Appends command-complete.
pub fn put_complete(tag: &str, out: &mut BytesMut) {
    put(&CommandComplete::new(tag.to_owned()), out);
}

/// Appends the description of text columns.
pub fn put_columns(names: &[&str], out: &mut BytesMut) {
    let fields = names.iter().map(|it| text_field(it)).collect();
    put(&RowDescription::new(fields), out);
}

/// Appends a row of text values.
pub fn put_row(values: &[&str], out: &mut BytesMut) {
    let mut data = BytesMut::new();
    for it in values {
        bytes::BufMut::put_i32(&mut data, it.len() as i32);
        data.extend_from_slice(it.as_bytes());
    }
    put(&DataRow::new(data, values.len() as i16), out);
}

fn text_field(name: &str) -> FieldDescription {
    FieldDescription::new(name.to_owned(), 0, 0, TEXT, -1, -1, 0)
}
