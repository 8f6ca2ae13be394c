//! Texts and values between the two dialects: just enough for the tests' statements.

use {
    super::store::Value,
    bytes::{BufMut, BytesMut},
    rusqlite::types::ValueRef,
};

/// Type ids of PostgreSQL.
pub mod oid {
    /// `boolean`
    pub const BOOL: u32 = 16;
    /// `bigint`
    pub const INT8: u32 = 20;
    /// `smallint`
    pub const INT2: u32 = 21;
    /// `integer`
    pub const INT4: u32 = 23;
    /// `text`
    pub const TEXT: u32 = 25;
    /// `double precision`
    pub const FLOAT8: u32 = 701;
}

/// A statement in SQLite's dialect.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Translated {
    /// The text.
    pub text: String,
    /// The parameters' types.
    pub params: Vec<u32>,
}

/// Turns `$1::bigint` into `?1` and leaves out other casts.
pub fn translate(text: &str, given: &[u32]) -> Translated {
    let mut out = Translated { text: String::with_capacity(text.len()), params: given.to_vec() };
    let chars: Vec<char> = text.chars().collect();
    let mut at = 0;
    let mut quote = None;
    let mut last = None;
    while at < chars.len() {
        let c = chars[at];
        match quote {
            Some(q) => {
                if c == q {
                    quote = None;
                }
                out.text.push(c);
                at += 1;
            }
            None if c == '\'' || c == '"' => {
                quote = Some(c);
                out.text.push(c);
                at += 1;
            }
            None if c == '$' && chars.get(at + 1).is_some_and(char::is_ascii_digit) => {
                let digits: String = chars[at + 1..].iter().take_while(|c| c.is_ascii_digit()).collect();
                let n: usize = digits.parse().unwrap_or(1);
                if out.params.len() < n {
                    out.params.resize(n, 0);
                }
                out.text.push_str(&format!("?{n}"));
                last = Some(n);
                at += 1 + digits.len();
                continue;
            }
            None if c == ':' && chars.get(at + 1) == Some(&':') => {
                let word: String =
                    chars[at + 2..].iter().take_while(|c| c.is_alphanumeric() || **c == '_').collect();
                if let Some(n) = last.filter(|n| out.params[n - 1] == 0) {
                    out.params[n - 1] = type_of(&word);
                }
                at += 2 + word.len();
            }
            None => {
                out.text.push(c);
                at += 1;
            }
        }
        last = None;
    }
    for it in &mut out.params {
        if *it == 0 {
            *it = oid::TEXT;
        }
    }
    out
}

fn type_of(word: &str) -> u32 {
    match word.to_ascii_lowercase().as_str() {
        "int8" | "bigint" => oid::INT8,
        "int4" | "int" | "integer" => oid::INT4,
        "int2" | "smallint" => oid::INT2,
        "bool" | "boolean" => oid::BOOL,
        "float8" => oid::FLOAT8,
        _ => oid::TEXT,
    }
}

/// The type of a result's column.
pub fn column_type(declared: Option<&str>, name: &str) -> u32 {
    let name = name.to_ascii_lowercase();
    let number = ["count(", "sum(", "max(", "min(", "length(", "total("];
    match declared.map(str::to_ascii_uppercase) {
        Some(it) if it.contains("INT") => oid::INT8,
        Some(it) if it.contains("REAL") || it.contains("DOUB") => oid::FLOAT8,
        Some(_) => oid::TEXT,
        None if number.iter().any(|it| name.starts_with(it)) => oid::INT8,
        None if name.chars().all(|c| c.is_ascii_digit()) && !name.is_empty() => oid::INT8,
        None => oid::TEXT,
    }
}

/// Reads a bound value; `None` when it doesn't fit its type.
pub fn read(kind: u32, binary: bool, bytes: Option<&[u8]>) -> Option<Value> {
    let Some(bytes) = bytes else { return Some(Value::Null) };
    let text = || std::str::from_utf8(bytes).ok();
    let number = |it: Option<i64>| it.map(Value::Int);
    match (kind, binary) {
        (oid::INT8, true) => number(bytes.try_into().ok().map(i64::from_be_bytes)),
        (oid::INT4, true) => number(bytes.try_into().ok().map(|it| i32::from_be_bytes(it).into())),
        (oid::INT2, true) => number(bytes.try_into().ok().map(|it| i16::from_be_bytes(it).into())),
        (oid::BOOL, true) => number(bytes.first().map(|it| i64::from(*it != 0))),
        (oid::FLOAT8, true) => bytes.try_into().ok().map(|it| Value::Real(f64::from_be_bytes(it))),
        (oid::INT8 | oid::INT4 | oid::INT2, false) => number(text()?.trim().parse().ok()),
        (oid::FLOAT8, false) => text()?.trim().parse().ok().map(Value::Real),
        (oid::BOOL, false) => Some(Value::Int(i64::from(text()?.starts_with(['t', '1', 'T'])))),
        _ => text().map(|it| Value::Text(it.to_owned())),
    }
}

/// Appends one cell of a data row.
pub fn write(kind: u32, binary: bool, value: ValueRef<'_>, out: &mut BytesMut) {
    let text = match value {
        ValueRef::Null => {
            out.put_i32(-1);
            return;
        }
        ValueRef::Integer(it) => it.to_string(),
        ValueRef::Real(it) => it.to_string(),
        ValueRef::Text(it) | ValueRef::Blob(it) => String::from_utf8_lossy(it).into_owned(),
    };
    match (kind, binary) {
        (oid::INT8, true) => {
            out.put_i32(8);
            out.put_i64(text.parse().unwrap_or_default());
        }
        (oid::FLOAT8, true) => {
            out.put_i32(8);
            out.put_f64(text.parse().unwrap_or_default());
        }
        _ => {
            out.put_i32(text.len() as i32);
            out.extend_from_slice(text.as_bytes());
        }
    }
}

/// Parts a text into its statements.
pub fn split(text: &str) -> Vec<String> {
    let mut out = vec![String::new()];
    let mut quote = None;
    for c in text.chars() {
        match quote {
            Some(q) if c == q => quote = None,
            None if c == '\'' || c == '"' => quote = Some(c),
            None if c == ';' => {
                out.push(String::new());
                continue;
            }
            _ => {}
        }
        out.last_mut().expect("never empty").push(c);
    }
    out.retain(|it| !it.trim().is_empty());
    out
}
