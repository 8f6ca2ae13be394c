//! Error responses and other messages that pondtrack itself sends to callers.

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

/// The type OID of `text`.
pub const TEXT: u32 = 25;

/// An error response to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SqlError {
    /// `ERROR`, or `FATAL` if the error closes the connection.
    pub severity: &'static str,
    /// The SQLSTATE; the codes that pondtrack uses are listed in `docs/REFERENCE.md`.
    pub code: &'static str,
    /// The primary error message.
    pub message: String,
    /// A suggestion for the caller on how to resolve the error.
    pub hint: Option<String>,
}

impl SqlError {
    /// Creates an error after which the session continues.
    pub fn error(code: &'static str, message: impl Into<String>) -> SqlError {
        SqlError { severity: "ERROR", code, message: message.into(), hint: None }
    }

    /// Creates an error that closes the session.
    pub fn fatal(code: &'static str, message: impl Into<String>) -> SqlError {
        SqlError { severity: "FATAL", ..SqlError::error(code, message) }
    }

    /// Sets the hint.
    pub fn hint(mut self, hint: impl Into<String>) -> SqlError {
        self.hint = Some(hint.into());
        self
    }

    /// Appends the error as an ErrorResponse to `out`.
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
        fields.extend(self.hint.iter().map(|hint| (b'H', hint.clone())));
        fields
    }
}

/// Appends a message to `out`. A message above the protocol's maximum size is replaced by an error response.
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

/// Appends a NoticeResponse to `out`.
pub fn put_notice(code: &str, message: &str, out: &mut BytesMut) {
    let fields = vec![
        (b'S', "NOTICE".to_owned()),
        (b'V', "NOTICE".to_owned()),
        (b'C', code.to_owned()),
        (b'M', message.to_owned()),
    ];
    put(&NoticeResponse::new(fields), out);
}

/// Appends a ReadyForQuery with the transaction state to `out`.
pub fn put_ready(txn: TxnState, out: &mut BytesMut) {
    let status = match txn {
        TxnState::Idle => TransactionStatus::Idle,
        TxnState::Open => TransactionStatus::Transaction,
        TxnState::Failed => TransactionStatus::Error,
    };
    put(&ReadyForQuery::new(status), out);
}

/// Appends a CommandComplete with the command tag to `out`.
pub fn put_complete(tag: &str, out: &mut BytesMut) {
    put(&CommandComplete::new(tag.to_owned()), out);
}

/// Appends a RowDescription of text columns to `out`.
pub fn put_columns(names: &[&str], out: &mut BytesMut) {
    let fields = names.iter().map(|name| text_field(name)).collect();
    put(&RowDescription::new(fields), out);
}

/// Appends a DataRow of text values to `out`.
pub fn put_row(values: &[&str], out: &mut BytesMut) {
    let mut data = BytesMut::new();
    for value in values {
        bytes::BufMut::put_i32(&mut data, value.len() as i32);
        data.extend_from_slice(value.as_bytes());
    }
    put(&DataRow::new(data, values.len() as i16), out);
}

fn text_field(name: &str) -> FieldDescription {
    FieldDescription::new(name.to_owned(), 0, 0, TEXT, -1, -1, 0)
}
