//! The tables and the log on disk.

use {
    super::contract::Contract,
    pondtrack_edge::contract::Role,
    pondtrack_proto::{Lsn, Term},
    rusqlite::{Connection, OptionalExtension, params},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, path::Path, path::PathBuf, sync::Arc, time::Duration},
};

/// A value bound to a statement.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Value {
    /// NULL.
    Null,
    /// An integer.
    Int(i64),
    /// A floating-point number.
    Real(f64),
    /// A text.
    Text(String),
}

impl rusqlite::ToSql for Value {
    fn to_sql(&self) -> rusqlite::Result<rusqlite::types::ToSqlOutput<'_>> {
        match self {
            Value::Null => rusqlite::types::Null.to_sql(),
            Value::Int(it) => it.to_sql(),
            Value::Real(it) => it.to_sql(),
            Value::Text(it) => it.to_sql(),
        }
    }
}

/// A statement that wrote, with its values.
pub type Written = (String, Vec<Value>);

/// An entry of the log: what one transaction wrote.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Entry {
    /// Its position.
    pub lsn: Lsn,
    /// The term it was written in.
    pub term: Term,
    /// The statements; none for the first entry of a term.
    pub body: Vec<Written>,
}

/// What a folder held.
#[derive(Debug)]
pub struct Saved {
    /// Role, term and log.
    pub contract: Contract,
    /// The entries.
    pub entries: Vec<Arc<Entry>>,
    /// What reads show.
    pub applied: Lsn,
    /// Whom it follows.
    pub upstream: Option<SocketAddr>,
}

/// The tables and the log.
#[derive(Debug)]
pub struct Store {
    path: PathBuf,
    conn: Connection,
}

/// Opens a connection to a server's file. Kills of the process lose nothing; those of the machine may.
pub fn connect(path: &Path) -> rusqlite::Result<Connection> {
    let conn = Connection::open(path)?;
    conn.pragma_update(None, "journal_mode", "wal")?;
    conn.pragma_update(None, "synchronous", "off")?;
    conn.busy_timeout(Duration::from_millis(200))?;
    conn.set_prepared_statement_cache_capacity(64);
    Ok(conn)
}

impl Store {
    /// Opens or creates the file.
    pub fn open(path: &Path) -> rusqlite::Result<Store> {
        let conn = connect(path)?;
        conn.execute_batch(
            "CREATE TABLE IF NOT EXISTS _meta (key TEXT PRIMARY KEY, value TEXT);
             CREATE TABLE IF NOT EXISTS _log (lsn INTEGER PRIMARY KEY, term INTEGER, body TEXT);",
        )?;
        Ok(Store { path: path.to_owned(), conn })
    }

    /// Another connection to the same file.
    pub fn session(&self) -> rusqlite::Result<Connection> {
        connect(&self.path)
    }

    /// Reads what was saved; an empty file begins as said.
    pub fn load(&mut self, primary: bool, follow: Option<SocketAddr>) -> rusqlite::Result<Saved> {
        let role = match self.meta("role")?.as_deref() {
            Some("primary") => Role::Primary,
            Some("fenced") => Role::Fenced,
            Some(_) => Role::Replica,
            None if primary => Role::Primary,
            None => Role::Replica,
        };
        let term = self.meta("term")?.and_then(|it| it.parse().ok()).unwrap_or(1);
        let dropped = self.meta("dropped")?.and_then(|it| it.parse().ok()).unwrap_or(0);
        let saved = self.meta("upstream")?.and_then(|it| it.parse().ok());
        let mut entries = Vec::new();
        let mut query = self.conn.prepare("SELECT lsn, term, body FROM _log ORDER BY lsn")?;
        let mut rows = query.query([])?;
        while let Some(row) = rows.next()? {
            let body: String = row.get(2)?;
            let body = serde_json::from_str(&body).unwrap_or_default();
            let (lsn, term): (i64, i64) = (row.get(0)?, row.get(1)?);
            entries.push(Arc::new(Entry { lsn: Lsn(lsn as u64), term: Term(term as u64), body }));
        }
        drop(rows);
        drop(query);
        let log = entries.iter().map(|it| it.term).collect();
        let applied = Lsn(self.meta("applied")?.and_then(|it| it.parse().ok()).unwrap_or(0));
        let contract = Contract { role, term: Term(term), log, dropped };
        Ok(Saved { contract, entries, applied, upstream: saved.or(follow) })
    }

    /// Writes role and term.
    pub fn save(&mut self, it: &Contract, upstream: Option<SocketAddr>) -> rusqlite::Result<()> {
        let role = it.role.to_string();
        let upstream = upstream.map(|it| it.to_string()).unwrap_or_default();
        let pairs = [
            ("role", role),
            ("term", it.term.to_string()),
            ("dropped", it.dropped.to_string()),
            ("upstream", upstream),
        ];
        let change = self.conn.transaction()?;
        for (key, value) in pairs {
            put_meta(&change, key, &value)?;
        }
        change.commit()
    }

    /// Writes entries without applying them.
    pub fn receive(&mut self, entries: &[Arc<Entry>]) -> rusqlite::Result<()> {
        let change = self.conn.transaction()?;
        for it in entries {
            put_entry(&change, it)?;
        }
        change.commit()
    }

    /// Applies entries.
    pub fn apply(&mut self, entries: &[Arc<Entry>]) -> rusqlite::Result<()> {
        let change = self.conn.transaction()?;
        for it in entries {
            run_entry(&change, it)?;
        }
        if let Some(it) = entries.last() {
            put_meta(&change, "applied", &it.lsn.to_string())?;
        }
        change.commit()
    }

    /// Drops entries after a position.
    pub fn truncate(&mut self, end: Lsn) -> rusqlite::Result<()> {
        self.conn.execute("DELETE FROM _log WHERE lsn > ?1", params![end.0 as i64])?;
        Ok(())
    }

    /// Builds the tables anew from the log.
    pub fn rebuild(&mut self, entries: &[Arc<Entry>]) -> rusqlite::Result<()> {
        let names: Vec<String> = {
            let text = "SELECT name FROM sqlite_master WHERE type = 'table' AND name NOT LIKE '\\_%' \
                        ESCAPE '\\' AND name NOT LIKE 'sqlite%'";
            let mut query = self.conn.prepare(text)?;
            query.query_map([], |row| row.get(0))?.collect::<Result<_, _>>()?
        };
        let change = self.conn.transaction()?;
        for it in names {
            change.execute(&format!("DROP TABLE \"{it}\""), [])?;
        }
        for it in entries {
            run_entry(&change, it)?;
        }
        put_meta(&change, "applied", &entries.len().to_string())?;
        change.commit()
    }

    fn meta(&self, key: &str) -> rusqlite::Result<Option<String>> {
        let text = "SELECT value FROM _meta WHERE key = ?1";
        self.conn.query_row(text, params![key], |row| row.get(0)).optional()
    }
}

/// Writes an entry into the log; part of the transaction that it stands for when a primary commits.
pub fn put_entry(conn: &Connection, it: &Entry) -> rusqlite::Result<()> {
    let body = serde_json::to_string(&it.body).unwrap_or_default();
    let mut put = conn.prepare_cached("INSERT OR REPLACE INTO _log (lsn, term, body) VALUES (?1, ?2, ?3)")?;
    put.execute(params![it.lsn.0 as i64, it.term.0 as i64, body])?;
    Ok(())
}

/// Writes a pair of the server's own state.
pub fn put_meta(conn: &Connection, key: &str, value: &str) -> rusqlite::Result<()> {
    let mut put = conn.prepare_cached("INSERT OR REPLACE INTO _meta (key, value) VALUES (?1, ?2)")?;
    put.execute(params![key, value])?;
    Ok(())
}

fn run_entry(conn: &Connection, it: &Entry) -> rusqlite::Result<()> {
    for (text, values) in &it.body {
        let mut run = conn.prepare_cached(text)?;
        let mut rows = run.query(rusqlite::params_from_iter(values))?;
        while rows.next()?.is_some() {}
    }
    Ok(())
}
