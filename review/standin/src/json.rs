//! A small JSON reader and writer. Numbers keep their text.

use std::fmt::{self, Display};

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(String),
    String(String),
    Array(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    /// Parses a document; none if it is invalid.
    pub fn parse(text: &str) -> Option<Json> {
        let mut parser = Parser { rest: text };
        let value = parser.value()?;
        parser.skip_blanks();
        parser.rest.is_empty().then_some(value)
    }

    /// Returns a field of an object, or null.
    pub fn get(&self, key: &str) -> &Json {
        match self {
            Json::Object(fields) => fields.iter().find(|f| f.0 == key).map_or(&Json::Null, |f| &f.1),
            _ => &Json::Null,
        }
    }

    pub fn as_str(&self) -> Option<&str> {
        match self {
            Json::String(s) => Some(s),
            _ => None,
        }
    }

    pub fn as_u64(&self) -> Option<u64> {
        match self {
            Json::Number(n) => n.parse().ok(),
            _ => None,
        }
    }
}

/// Creates an object.
pub fn object<const N: usize>(fields: [(&str, Json); N]) -> Json {
    Json::Object(fields.into_iter().map(|(key, value)| (key.to_owned(), value)).collect())
}

/// Creates a string.
pub fn string(s: impl Into<String>) -> Json {
    Json::String(s.into())
}

/// Creates a number.
pub fn number(n: u64) -> Json {
    Json::Number(n.to_string())
}

impl Display for Json {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Json::Null => f.write_str("null"),
            Json::Bool(b) => write!(f, "{b}"),
            Json::Number(n) => f.write_str(n),
            Json::String(s) => write_string(f, s),
            Json::Array(items) => {
                f.write_str("[")?;
                for (i, item) in items.iter().enumerate() {
                    let comma = if i > 0 { "," } else { "" };
                    write!(f, "{comma}{item}")?;
                }
                f.write_str("]")
            }
            Json::Object(fields) => {
                f.write_str("{")?;
                for (i, (key, value)) in fields.iter().enumerate() {
                    f.write_str(if i > 0 { "," } else { "" })?;
                    write_string(f, key)?;
                    write!(f, ":{value}")?;
                }
                f.write_str("}")
            }
        }
    }
}

fn write_string(f: &mut fmt::Formatter<'_>, s: &str) -> fmt::Result {
    f.write_str("\"")?;
    for c in s.chars() {
        match c {
            '"' | '\\' => write!(f, "\\{c}")?,
            c if c.is_control() => write!(f, "\\u{:04x}", c as u32)?,
            c => write!(f, "{c}")?,
        }
    }
    f.write_str("\"")
}

struct Parser<'a> {
    rest: &'a str,
}

impl Parser<'_> {
    fn skip_blanks(&mut self) {
        self.rest = self.rest.trim_start();
    }

    fn take(&mut self, token: &str) -> Option<()> {
        self.skip_blanks();
        self.rest = self.rest.strip_prefix(token)?;
        Some(())
    }

    fn value(&mut self) -> Option<Json> {
        self.skip_blanks();
        match self.rest.chars().next()? {
            '{' => self.object(),
            '[' => self.array(),
            '"' => self.string().map(Json::String),
            't' => self.take("true").map(|()| Json::Bool(true)),
            'f' => self.take("false").map(|()| Json::Bool(false)),
            'n' => self.take("null").map(|()| Json::Null),
            _ => {
                let is_number = |c: char| c.is_ascii_digit() || matches!(c, '-' | '+' | '.' | 'e' | 'E');
                let end = self.rest.find(|c| !is_number(c)).unwrap_or(self.rest.len());
                let (text, rest) = self.rest.split_at(end);
                self.rest = rest;
                (!text.is_empty()).then(|| Json::Number(text.to_owned()))
            }
        }
    }

    fn object(&mut self) -> Option<Json> {
        self.take("{")?;
        let mut fields = Vec::new();
        if self.take("}").is_some() {
            return Some(Json::Object(fields));
        }
        loop {
            self.skip_blanks();
            let key = self.string()?;
            self.take(":")?;
            fields.push((key, self.value()?));
            if self.take(",").is_none() {
                self.take("}")?;
                return Some(Json::Object(fields));
            }
        }
    }

    fn array(&mut self) -> Option<Json> {
        self.take("[")?;
        let mut items = Vec::new();
        if self.take("]").is_some() {
            return Some(Json::Array(items));
        }
        loop {
            items.push(self.value()?);
            if self.take(",").is_none() {
                self.take("]")?;
                return Some(Json::Array(items));
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.take("\"")?;
        let mut out = String::new();
        let mut chars = self.rest.char_indices();
        loop {
            match chars.next()? {
                (at, '"') => {
                    self.rest = &self.rest[at + 1..];
                    return Some(out);
                }
                (_, '\\') => match chars.next()?.1 {
                    'n' => out.push('\n'),
                    't' => out.push('\t'),
                    'r' => out.push('\r'),
                    'u' => {
                        let digits: String = (0..4).filter_map(|_| chars.next().map(|c| c.1)).collect();
                        out.push(char::from_u32(u32::from_str_radix(&digits, 16).ok()?)?);
                    }
                    c => out.push(c),
                },
                (_, c) => out.push(c),
            }
        }
    }
}
