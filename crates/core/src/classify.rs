//! Classification of SQL statements.
//!
//! Every statement that isn't known to be a plain read goes to the primary: a text that can't be parsed, a locking read, a
//! call of a function that isn't on the list of read-only functions.

use {
    pondtrack_proto::{Class, Name},
    sqlparser::{
        ast::{Expr, Query, SetExpr, Statement, TableFactor, Visit, Visitor},
        dialect::PostgreSqlDialect,
        parser::Parser,
    },
    std::ops::ControlFlow,
    xxhash_rust::xxh3::xxh3_64,
};

/// Maximum number of texts in the cache of a [`Classifier`].
const MAX_CACHED: usize = 1_024;
/// Maximum length of a cached text, in bytes.
const MAX_CACHED_LEN: usize = 4_096;
/// Prefix of pondtrack's own settings.
pub const SETTING_PREFIX: &str = "pondtrack.";

/// Functions known to be read-only, sorted.
const READ_ONLY_FUNCTIONS: &[&str] = &[
    "abs",
    "array_agg",
    "avg",
    "bool_and",
    "bool_or",
    "ceil",
    "char_length",
    "coalesce",
    "concat",
    "count",
    "current_date",
    "current_timestamp",
    "date_part",
    "date_trunc",
    "dense_rank",
    "extract",
    "first_value",
    "floor",
    "format",
    "greatest",
    "ifnull",
    "json_agg",
    "lag",
    "last_value",
    "lead",
    "least",
    "left",
    "length",
    "lower",
    "ltrim",
    "max",
    "md5",
    "min",
    "mod",
    "now",
    "nullif",
    "position",
    "power",
    "rank",
    "replace",
    "right",
    "round",
    "row_number",
    "rtrim",
    "sqrt",
    "string_agg",
    "strpos",
    "substr",
    "substring",
    "sum",
    "to_char",
    "total",
    "trim",
    "upper",
    "version",
];

/// Statement as classified from its text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Stmt {
    /// A statement for the upstream.
    Run(Class),
    /// A change of a session's setting.
    Set {
        /// Name of the setting, in lower case.
        name: Name,
        /// Value without quotes; `None` for the default.
        value: Option<Name>,
        /// True if the value is reset at the end of the transaction.
        local: bool,
    },
    /// A reset of all settings to their defaults.
    ResetAll,
    /// A query of one of pondtrack's own settings, by its name without [`SETTING_PREFIX`].
    ShowSetting(Name),
    /// A statement that is not possible on shared connections, with the reason.
    Unsupported(&'static str),
    /// An empty text.
    Empty,
}

/// Classifier with a cache.
#[derive(Clone, Debug, Default)]
pub struct Classifier {
    /// Statements by the hash of their text, sorted.
    cache: Vec<(u64, Stmt)>,
}

impl Classifier {
    /// Classifies a text, or returns the cached result.
    pub fn classify(&mut self, text: &str) -> Stmt {
        if text.len() > MAX_CACHED_LEN {
            return classify(text);
        }
        let hash = xxh3_64(text.as_bytes());
        match self.cache.binary_search_by_key(&hash, |entry| entry.0) {
            Ok(at) => self.cache[at].1.clone(),
            Err(at) => {
                let stmt = classify(text);
                if self.cache.len() >= MAX_CACHED {
                    self.cache.clear();
                    self.cache.push((hash, stmt.clone()));
                } else {
                    self.cache.insert(at, (hash, stmt.clone()));
                }
                stmt
            }
        }
    }
}

/// Classifies a text.
pub fn classify(text: &str) -> Stmt {
    let text = trim_statement(text);
    let word = first_word(text).to_ascii_lowercase();
    match word.as_str() {
        "" => Stmt::Empty,
        _ if text.contains(';') => classify_parsed(text),
        "begin" | "start" => Stmt::Run(Class::Begin),
        "commit" | "end" => Stmt::Run(Class::Commit),
        "abort" => Stmt::Run(Class::Rollback),
        "rollback" if text.to_ascii_lowercase().contains(" to ") => Stmt::Run(Class::Write),
        "rollback" => Stmt::Run(Class::Rollback),
        "set" => parse_set(text),
        "reset" => parse_reset(text),
        "show" => parse_show(text),
        "listen" | "unlisten" | "notify" => {
            Stmt::Unsupported("LISTEN and NOTIFY need a connection of their own")
        }
        "copy" => Stmt::Unsupported("COPY is not supported"),
        "prepare" | "execute" | "deallocate" | "declare" | "fetch" | "close" => {
            Stmt::Unsupported("prepared statements and cursors in SQL text need a connection of their own")
        }
        "select" | "with" | "values" | "table" => classify_parsed(text),
        _ => Stmt::Run(Class::Write),
    }
}

/// Removes whitespace, comments before the first word and trailing semicolons.
fn trim_statement(text: &str) -> &str {
    let mut rest = text.trim().trim_end_matches(|c: char| c == ';' || c.is_whitespace());
    loop {
        rest = rest.trim_start();
        let after = match rest.get(..2) {
            Some("--") => rest.find('\n').map(|at| &rest[at + 1..]).or(Some("")),
            Some("/*") => rest.find("*/").map(|at| &rest[at + 2..]),
            _ => None,
        };
        match after {
            Some(after) => rest = after,
            None => return rest,
        }
    }
}

fn first_word(text: &str) -> &str {
    let end = text.find(|c: char| !c.is_ascii_alphabetic()).unwrap_or(text.len());
    &text[..end]
}

fn classify_parsed(text: &str) -> Stmt {
    let is_read = match Parser::parse_sql(&PostgreSqlDialect {}, text) {
        Ok(list) if list.iter().any(ends_transaction) => {
            return Stmt::Unsupported("BEGIN, COMMIT, ROLLBACK and SET have to be sent on their own");
        }
        Ok(list) => !list.is_empty() && list.iter().all(is_read_only),
        Err(_) if mentions_transaction(text) => {
            return Stmt::Unsupported(
                "several statements that can't be read, with a word that ends transactions",
            );
        }
        Err(_) => false,
    };
    Stmt::Run(if is_read { Class::Read } else { Class::Write })
}

fn ends_transaction(stmt: &Statement) -> bool {
    matches!(
        stmt,
        Statement::StartTransaction { .. }
            | Statement::Commit { .. }
            | Statement::Rollback { savepoint: None, .. }
            | Statement::Set(_)
    )
}

/// Returns true if a text that can't be parsed may contain a statement that begins or ends a transaction, or changes
/// settings.
fn mentions_transaction(text: &str) -> bool {
    text.contains(';')
        && text.split(';').any(|part| {
            let word = first_word(trim_statement(part)).to_ascii_lowercase();
            matches!(
                word.as_str(),
                "begin" | "start" | "commit" | "end" | "abort" | "rollback" | "set" | "reset"
            )
        })
}

fn is_read_only(stmt: &Statement) -> bool {
    matches!(stmt, Statement::Query(_)) && stmt.visit(&mut ReadOnlyVisitor).is_continue()
}

/// Visitor that stops at the first part of a statement that may do more than read.
struct ReadOnlyVisitor;

impl Visitor for ReadOnlyVisitor {
    type Break = ();

    fn pre_visit_query(&mut self, query: &Query) -> ControlFlow<()> {
        continue_if(query.locks.is_empty() && is_read_only_body(&query.body))
    }

    fn pre_visit_table_factor(&mut self, table: &TableFactor) -> ControlFlow<()> {
        let read_only = match table {
            TableFactor::Table { args, .. } => args.is_none(),
            TableFactor::Derived { .. } | TableFactor::NestedJoin { .. } => true,
            _ => false,
        };
        continue_if(read_only)
    }

    fn pre_visit_expr(&mut self, expr: &Expr) -> ControlFlow<()> {
        match expr {
            Expr::Function(f) => continue_if(is_read_only_function(&f.name.to_string())),
            _ => ControlFlow::Continue(()),
        }
    }
}

fn continue_if(read_only: bool) -> ControlFlow<()> {
    if read_only { ControlFlow::Continue(()) } else { ControlFlow::Break(()) }
}

fn is_read_only_body(body: &SetExpr) -> bool {
    match body {
        SetExpr::Select(select) => select.into.is_none(),
        SetExpr::SetOperation { left, right, .. } => is_read_only_body(left) && is_read_only_body(right),
        SetExpr::Query(_) | SetExpr::Values(_) | SetExpr::Table(_) => true,
        _ => false,
    }
}

fn is_read_only_function(name: &str) -> bool {
    READ_ONLY_FUNCTIONS.binary_search(&name.to_ascii_lowercase().as_str()).is_ok()
}

fn parse_set(text: &str) -> Stmt {
    let mut rest = text[3..].trim_start();
    let mut local = false;
    match first_word(rest).to_ascii_lowercase().as_str() {
        "local" => {
            local = true;
            rest = rest[5..].trim_start();
        }
        "session" if !rest[7..].trim_start().to_ascii_lowercase().starts_with("characteristics") => {
            rest = rest[7..].trim_start();
        }
        "transaction" => return Stmt::Run(Class::Write),
        "session" => return Stmt::Unsupported("SET SESSION CHARACTERISTICS is not supported"),
        _ => {}
    }
    let end = rest.find(|c: char| c.is_whitespace() || c == '=').unwrap_or(rest.len());
    let (name, tail) = rest.split_at(end);
    let tail = tail.trim_start();
    let value = match (tail.strip_prefix('='), first_word(tail).eq_ignore_ascii_case("to")) {
        (Some(value), _) => value,
        (None, true) => &tail[2..],
        // Forms without `=` or TO, such as SET TIME ZONE, are not supported.
        (None, false) => return Stmt::Unsupported("write SET name = value"),
    };
    let name = Name::from(name.trim_matches('"').to_ascii_lowercase());
    Stmt::Set { name, value: unquote(value), local }
}

fn parse_reset(text: &str) -> Stmt {
    let name = text[5..].trim().to_ascii_lowercase();
    match name.as_str() {
        "all" => Stmt::ResetAll,
        _ => Stmt::Set { name: name.into(), value: None, local: false },
    }
}

fn parse_show(text: &str) -> Stmt {
    let name = text[4..].trim().trim_matches('"').to_ascii_lowercase();
    match name.strip_prefix(SETTING_PREFIX) {
        Some(own) => Stmt::ShowSetting(own.into()),
        None => Stmt::Run(Class::Read),
    }
}

/// Returns the value of a setting without quotes; `None` for the default.
fn unquote(text: &str) -> Option<Name> {
    let text = text.trim();
    let inner = text.strip_prefix('\'').and_then(|rest| rest.strip_suffix('\''));
    match inner {
        Some(inner) => Some(inner.replace("''", "'").into()),
        None if text.eq_ignore_ascii_case("default") => None,
        None => Some(text.into()),
    }
}
