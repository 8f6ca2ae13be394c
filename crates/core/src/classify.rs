//! What a statement needs.
//!
//! Anything that is not known to be a plain read goes to the primary: a text that can't be parsed, a
//! locking read, a call of a function that isn't on the list of harmless ones.

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

/// Texts kept with their classes.
const CACHED: usize = 1_024;
/// Texts longer than this are not kept, in bytes.
const CACHED_LEN: usize = 4_096;
/// The prefix of pondtrack's own settings.
pub const SETTING_PREFIX: &str = "pondtrack.";

/// Functions known to only read, sorted.
const HARMLESS: &[&str] = &[
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

/// What a text asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Stmt {
    /// Work for an upstream.
    Run(Class),
    /// A session's setting; `local` ends with the transaction.
    Set {
        /// The setting in lower case.
        name: Name,
        /// Its value without quotes; none for the default.
        value: Option<Name>,
        /// Whether it ends with the transaction.
        local: bool,
    },
    /// All settings back to their defaults.
    ResetAll,
    /// A question about one of pondtrack's own settings.
    ShowSetting(Name),
    /// Not possible on shared connections.
    Unsupported(&'static str),
    /// Nothing at all.
    Empty,
}

/// Classifies texts and remembers them.
#[derive(Clone, Debug, Default)]
pub struct Classifier {
    known: Vec<(u64, Stmt)>,
}

impl Classifier {
    /// What a text asks for.
    pub fn classify(&mut self, text: &str) -> Stmt {
        if text.len() > CACHED_LEN {
            return classify(text);
        }
        let hash = xxh3_64(text.as_bytes());
        match self.known.binary_search_by_key(&hash, |it| it.0) {
            Ok(at) => self.known[at].1.clone(),
            Err(at) => {
                let it = classify(text);
                if self.known.len() >= CACHED {
                    self.known.clear();
                    self.known.push((hash, it.clone()));
                } else {
                    self.known.insert(at, (hash, it.clone()));
                }
                it
            }
        }
    }
}

/// What a text asks for.
pub fn classify(text: &str) -> Stmt {
    let text = strip(text);
    let word = first_word(text).to_ascii_lowercase();
    match word.as_str() {
        "" => Stmt::Empty,
        _ if text.contains(';') => parsed(text),
        "begin" | "start" => Stmt::Run(Class::Begin),
        "commit" | "end" => Stmt::Run(Class::Commit),
        "abort" => Stmt::Run(Class::Rollback),
        "rollback" if text.to_ascii_lowercase().contains(" to ") => Stmt::Run(Class::Write),
        "rollback" => Stmt::Run(Class::Rollback),
        "set" => set(text),
        "reset" => reset(text),
        "show" => show(text),
        "listen" | "unlisten" | "notify" => {
            Stmt::Unsupported("LISTEN and NOTIFY need a connection of their own")
        }
        "copy" => Stmt::Unsupported("COPY is not supported"),
        "prepare" | "execute" | "deallocate" | "declare" | "fetch" | "close" => {
            Stmt::Unsupported("prepared statements and cursors in SQL text need a connection of their own")
        }
        "select" | "with" | "values" | "table" => parsed(text),
        _ => Stmt::Run(Class::Write),
    }
}

/// Removes blanks, comments before the first word and a last semicolon.
fn strip(text: &str) -> &str {
    let mut rest = text.trim().trim_end_matches(|c: char| c == ';' || c.is_whitespace());
    loop {
        rest = rest.trim_start();
        let after = match rest.get(..2) {
            Some("--") => rest.find('\n').map(|at| &rest[at + 1..]).or(Some("")),
            Some("/*") => rest.find("*/").map(|at| &rest[at + 2..]),
            _ => None,
        };
        match after {
            Some(it) => rest = it,
            None => return rest,
        }
    }
}

fn first_word(text: &str) -> &str {
    let end = text.find(|c: char| !c.is_ascii_alphabetic()).unwrap_or(text.len());
    &text[..end]
}

fn parsed(text: &str) -> Stmt {
    let reads = match Parser::parse_sql(&PostgreSqlDialect {}, text) {
        Ok(list) if list.iter().any(ends_transaction) => {
            return Stmt::Unsupported("BEGIN, COMMIT, ROLLBACK and SET have to be sent on their own");
        }
        Ok(list) => !list.is_empty() && list.iter().all(is_read),
        Err(_) if mentions_transaction(text) => {
            return Stmt::Unsupported(
                "several statements that can't be read, with a word that ends transactions",
            );
        }
        Err(_) => false,
    };
    Stmt::Run(if reads { Class::Read } else { Class::Write })
}

fn ends_transaction(it: &Statement) -> bool {
    matches!(
        it,
        Statement::StartTransaction { .. }
            | Statement::Commit { .. }
            | Statement::Rollback { savepoint: None, .. }
            | Statement::Set(_)
    )
}

/// Whether a text that can't be parsed may hold a statement that begins or ends a transaction.
fn mentions_transaction(text: &str) -> bool {
    text.contains(';')
        && text.split(';').any(|part| {
            let word = first_word(strip(part)).to_ascii_lowercase();
            matches!(
                word.as_str(),
                "begin" | "start" | "commit" | "end" | "abort" | "rollback" | "set" | "reset"
            )
        })
}

fn is_read(it: &Statement) -> bool {
    matches!(it, Statement::Query(_)) && it.visit(&mut ReadCheck).is_continue()
}

/// Stops at the first part of a statement that may do more than read.
struct ReadCheck;

impl Visitor for ReadCheck {
    type Break = ();

    fn pre_visit_query(&mut self, query: &Query) -> ControlFlow<()> {
        go_on(query.locks.is_empty() && body_reads(&query.body))
    }

    fn pre_visit_table_factor(&mut self, table: &TableFactor) -> ControlFlow<()> {
        let plain = match table {
            TableFactor::Table { args, .. } => args.is_none(),
            TableFactor::Derived { .. } | TableFactor::NestedJoin { .. } => true,
            _ => false,
        };
        go_on(plain)
    }

    fn pre_visit_expr(&mut self, expr: &Expr) -> ControlFlow<()> {
        match expr {
            Expr::Function(f) => go_on(is_harmless(&f.name.to_string())),
            _ => ControlFlow::Continue(()),
        }
    }
}

fn go_on(yes: bool) -> ControlFlow<()> {
    if yes { ControlFlow::Continue(()) } else { ControlFlow::Break(()) }
}

fn body_reads(body: &SetExpr) -> bool {
    match body {
        SetExpr::Select(it) => it.into.is_none(),
        SetExpr::SetOperation { left, right, .. } => body_reads(left) && body_reads(right),
        SetExpr::Query(_) | SetExpr::Values(_) | SetExpr::Table(_) => true,
        _ => false,
    }
}

fn is_harmless(name: &str) -> bool {
    HARMLESS.binary_search(&name.to_ascii_lowercase().as_str()).is_ok()
}

fn set(text: &str) -> Stmt {
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
        (Some(it), _) => it,
        (None, true) => &tail[2..],
        // Forms without a sign, such as SET TIME ZONE, are left to the upstream and refused there.
        (None, false) => return Stmt::Unsupported("write SET name = value"),
    };
    let name = Name::from(name.trim_matches('"').to_ascii_lowercase());
    Stmt::Set { name, value: unquote(value), local }
}

fn reset(text: &str) -> Stmt {
    let name = text[5..].trim().to_ascii_lowercase();
    match name.as_str() {
        "all" => Stmt::ResetAll,
        _ => Stmt::Set { name: name.into(), value: None, local: false },
    }
}

fn show(text: &str) -> Stmt {
    let name = text[4..].trim().trim_matches('"').to_ascii_lowercase();
    match name.strip_prefix(SETTING_PREFIX) {
        Some(it) => Stmt::ShowSetting(it.into()),
        None => Stmt::Run(Class::Read),
    }
}

/// The value of a setting without its quotes; none stands for the default.
fn unquote(text: &str) -> Option<Name> {
    let text = text.trim();
    let inner = text.strip_prefix('\'').and_then(|it| it.strip_suffix('\''));
    match inner {
        Some(it) => Some(it.replace("''", "'").into()),
        None if text.eq_ignore_ascii_case("default") => None,
        None => Some(text.into()),
    }
}
