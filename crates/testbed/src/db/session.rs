//! One connection to the stand-in.

use {
    super::{
        Server, replicate,
        sql::{self, Translated},
        store::{self, Entry, Value, Written},
    },
    bytes::BytesMut,
    pgwire::messages::{
        DecodeContext, Message,
        cancel::CancelRequest,
        data::{DataRow, FieldDescription, NoData, ParameterDescription, RowDescription},
        extendedquery::{Bind, BindComplete, Close, CloseComplete, Describe, Execute, Parse, ParseComplete},
        simplequery::Query,
        startup::{BackendKeyData, ParameterStatus, SecretKey, Startup},
    },
    pondtrack_edge::{
        answer::{self, SqlError},
        contract::{COLUMNS, NO_LSN, Order, Role},
        frame::FrameReader,
    },
    pondtrack_proto::{Lsn, Name, Term, TxnState},
    rusqlite::Connection,
    std::{cell::RefCell, rc::Rc, time::Duration},
    tokio::{
        io::{AsyncBufReadExt, AsyncWriteExt, BufReader},
        net::TcpStream,
        sync::{Notify, OwnedMutexGuard},
        time::{sleep, timeout},
    },
};

/// Longest wait for the one transaction that writes.
const LOCK_WAIT: Duration = Duration::from_secs(5);
/// Largest message accepted.
const MAX_MESSAGE: usize = 64 << 20;

/// The part of a connection that a fence reaches.
pub struct Live {
    conn: Connection,
    txn: TxnState,
    term: Term,
    written: Vec<Written>,
    lock: Option<OwnedMutexGuard<()>>,
    /// Whether it has run anything but orders.
    used: bool,
    /// Whether a fence has ended it.
    ended: bool,
    /// Woken when it is ended.
    end: Rc<Notify>,
}

impl Live {
    /// Rolls back what is open, because the server lost its role.
    pub fn kill(&mut self) {
        if !self.conn.is_autocommit() {
            let _ = self.conn.execute_batch("ROLLBACK");
        }
        self.written.clear();
        self.lock = None;
        if self.txn == TxnState::Open {
            self.txn = TxnState::Failed;
        }
        if self.used {
            self.ended = true;
            self.end.notify_one();
        }
    }
}

#[derive(Clone)]
struct Portal {
    statement: Translated,
    values: Vec<Value>,
    formats: Vec<i16>,
}

struct Session {
    server: Rc<Server>,
    live: Rc<RefCell<Live>>,
    settings: Vec<(String, String)>,
    statements: Vec<(String, Translated)>,
    portals: Vec<(String, Portal)>,
    cancel: Rc<Notify>,
    out: BytesMut,
}

/// Serves one connection to its end.
pub async fn serve(server: Rc<Server>, mut stream: TcpStream) {
    let mut first = [0u8; 8];
    while stream.peek(&mut first).await.is_ok_and(|n| n == 8) {
        let code = i32::from_be_bytes([first[4], first[5], first[6], first[7]]);
        // Requests for encryption are declined.
        if code != 80_877_103 && code != 80_877_104 {
            break;
        }
        let mut skip = [0u8; 8];
        let read = tokio::io::AsyncReadExt::read_exact(&mut stream, &mut skip).await;
        if read.is_err() || stream.write_all(b"N").await.is_err() {
            return;
        }
    }
    let (read, mut write) = stream.into_split();
    let mut reader = FrameReader::new(read, Name::from("client"), MAX_MESSAGE);
    let Ok(mut startup) = reader.startup().await else { return };
    let ctx = DecodeContext::default();
    if CancelRequest::is_cancel_request_packet(&startup) {
        if let Ok(Some(it)) = CancelRequest::decode(&mut startup, &ctx) {
            let key = it.secret_key.as_i32();
            for (pid, secret, notify) in server.cancels.borrow().iter() {
                if *pid == it.pid && Some(*secret) == key {
                    notify.notify_waiters();
                }
            }
        }
        return;
    }
    let Ok(Some(startup)) = Startup::decode(&mut startup, &ctx) else { return };
    if startup.parameters.get("database").is_some_and(|it| it == replicate::DATABASE) {
        let lines = BufReader::new(reader.into_io()).lines();
        let _ = replicate::stream(server, lines, write).await;
        return;
    }
    if server.open.get() >= server.config.limit {
        let mut out = BytesMut::new();
        SqlError::fatal("53300", "sorry, too many clients already").put(&mut out);
        let _ = write.write_all(&out).await;
        return;
    }
    server.open.set(server.open.get() + 1);
    server.peak.set(server.peak.get().max(server.open.get()));
    sleep(server.config.opening).await;
    let number = server.next.get();
    server.next.set(number + 1);
    let cancel = Rc::new(Notify::new());
    server.cancels.borrow_mut().push((number, number * 7, cancel.clone()));
    let _ = run(server.clone(), reader, write, number, cancel).await;
    server.cancels.borrow_mut().retain(|it| it.0 != number);
    server.open.set(server.open.get() - 1);
}

async fn run(
    server: Rc<Server>,
    mut reader: FrameReader<tokio::net::tcp::OwnedReadHalf>,
    mut write: tokio::net::tcp::OwnedWriteHalf,
    number: i32,
    cancel: Rc<Notify>,
) -> std::io::Result<()> {
    let conn = server.store.borrow().session().map_err(std::io::Error::other)?;
    let end = Rc::new(Notify::new());
    let live = Live {
        conn,
        txn: TxnState::Idle,
        term: Term(0),
        written: Vec::new(),
        lock: None,
        used: false,
        ended: false,
        end: end.clone(),
    };
    let live = Rc::new(RefCell::new(live));
    server.remember(&live);
    let mut it = Session {
        server,
        live,
        settings: Vec::new(),
        statements: Vec::new(),
        portals: Vec::new(),
        cancel,
        out: BytesMut::new(),
    };
    it.greet(number);
    write.write_all(&it.out.split()).await?;
    let mut skipping = false;
    loop {
        let frame = tokio::select! {
            it = reader.frame() => it,
            () = end.notified() => return Ok(()),
        };
        let Ok(frame) = frame else { return Ok(()) };
        let tag = frame[0];
        if tag == b'X' || it.live.borrow().ended {
            return Ok(());
        }
        if skipping && tag != b'S' {
            continue;
        }
        let done = match tag {
            b'S' => {
                skipping = false;
                it.ready();
                Ok(())
            }
            _ => it.message(frame).await,
        };
        if let Err(e) = done {
            it.fail(&e);
            match tag {
                b'Q' => it.ready(),
                _ => skipping = true,
            }
        }
        if tag == b'S' || tag == b'Q' || tag == b'H' {
            write.write_all(&it.out.split()).await?;
        }
    }
}

impl Session {
    fn greet(&mut self, number: i32) {
        self.out.extend_from_slice(&[b'R', 0, 0, 0, 8, 0, 0, 0, 0]);
        for (name, value) in [("server_version", "15.0"), ("client_encoding", "UTF8")] {
            answer::put(&ParameterStatus::new(name.to_owned(), value.to_owned()), &mut self.out);
        }
        answer::put(&BackendKeyData::new(number, SecretKey::I32(number * 7)), &mut self.out);
        self.ready();
    }

    fn ready(&mut self) {
        let txn = self.live.borrow().txn;
        answer::put_ready(txn, &mut self.out);
    }

    fn fail(&mut self, e: &SqlError) {
        e.put(&mut self.out);
        let mut live = self.live.borrow_mut();
        if live.txn == TxnState::Open {
            live.txn = TxnState::Failed;
        } else if live.txn == TxnState::Idle && !live.conn.is_autocommit() {
            let _ = live.conn.execute_batch("ROLLBACK");
            live.written.clear();
            live.lock = None;
        }
    }

    async fn message(&mut self, mut frame: BytesMut) -> Result<(), SqlError> {
        let ctx = DecodeContext::default();
        let bad = |_| SqlError::error("08P01", "a malformed message");
        match frame[0] {
            b'Q' => {
                let it = Query::decode(&mut frame, &ctx).map_err(bad)?.ok_or_else(bad_end)?;
                self.simple(&it.query).await?;
                self.ready();
            }
            b'P' => {
                let it = Parse::decode(&mut frame, &ctx).map_err(bad)?.ok_or_else(bad_end)?;
                let statement = sql::translate(&it.query, &it.type_oids);
                self.check(&statement)?;
                let name = it.name.unwrap_or_default();
                self.statements.retain(|it| it.0 != name);
                self.statements.push((name, statement));
                answer::put(&ParseComplete::new(), &mut self.out);
            }
            b'B' => {
                let it = Bind::decode(&mut frame, &ctx).map_err(bad)?.ok_or_else(bad_end)?;
                self.bind(it)?;
                answer::put(&BindComplete::new(), &mut self.out);
            }
            b'D' => {
                let it = Describe::decode(&mut frame, &ctx).map_err(bad)?.ok_or_else(bad_end)?;
                self.describe(&it)?;
            }
            b'E' => {
                let it = Execute::decode(&mut frame, &ctx).map_err(bad)?.ok_or_else(bad_end)?;
                let portal = self.portal(it.name.as_deref().unwrap_or(""))?;
                self.execute(&portal.statement, &portal.values, &portal.formats, false).await?;
            }
            b'C' => {
                let it = Close::decode(&mut frame, &ctx).map_err(bad)?.ok_or_else(bad_end)?;
                let name = it.name.unwrap_or_default();
                match it.target_type {
                    b'S' => self.statements.retain(|it| it.0 != name),
                    _ => self.portals.retain(|it| it.0 != name),
                }
                answer::put(&CloseComplete::new(), &mut self.out);
            }
            b'H' => {}
            _ => return Err(SqlError::error("08P01", "an unknown message")),
        }
        Ok(())
    }

    async fn simple(&mut self, text: &str) -> Result<(), SqlError> {
        let parts = sql::split(text);
        if parts.is_empty() {
            answer::put(&pgwire::messages::response::EmptyQueryResponse::new(), &mut self.out);
            return Ok(());
        }
        let together = parts.len() > 1 && self.live.borrow().txn == TxnState::Idle;
        if together {
            self.begin();
        }
        for it in &parts {
            let statement = sql::translate(it, &[]);
            self.execute(&statement, &[], &[], true).await?;
        }
        if together && self.live.borrow().txn == TxnState::Open {
            self.commit()?;
        }
        Ok(())
    }

    fn begin(&mut self) {
        let term = self.server.contract.borrow().term;
        let mut live = self.live.borrow_mut();
        live.txn = TxnState::Open;
        live.term = term;
        let _ = live.conn.execute_batch("BEGIN DEFERRED");
    }

    fn bind(&mut self, it: Bind) -> Result<(), SqlError> {
        let name = it.statement_name.unwrap_or_default();
        let statement = self.statement(&name)?;
        let binary = |n: usize| match it.parameter_format_codes.as_slice() {
            [] => false,
            [one] => *one == 1,
            many => many.get(n) == Some(&1),
        };
        let mut values = Vec::new();
        for (n, bytes) in it.parameters.iter().enumerate() {
            let kind = statement.params.get(n).copied().unwrap_or(sql::oid::TEXT);
            let value = sql::read(kind, binary(n), bytes.as_deref());
            values.push(value.ok_or_else(|| SqlError::error("22P02", "a value that doesn't fit its type"))?);
        }
        let portal = Portal { statement, values, formats: it.result_column_format_codes };
        let name = it.portal_name.unwrap_or_default();
        self.portals.retain(|it| it.0 != name);
        self.portals.push((name, portal));
        Ok(())
    }

    fn statement(&self, name: &str) -> Result<Translated, SqlError> {
        let it = self.statements.iter().find(|it| it.0 == name);
        it.map(|it| it.1.clone())
            .ok_or_else(|| SqlError::error("26000", format!("prepared statement \"{name}\" does not exist")))
    }

    fn portal(&self, name: &str) -> Result<Portal, SqlError> {
        let it = self.portals.iter().find(|it| it.0 == name);
        it.map(|it| it.1.clone())
            .ok_or_else(|| SqlError::error("34000", format!("portal \"{name}\" does not exist")))
    }

    fn check(&self, statement: &Translated) -> Result<(), SqlError> {
        if is_own(&statement.text) {
            return Ok(());
        }
        let live = self.live.borrow();
        live.conn.prepare_cached(&statement.text).map(drop).map_err(|e| sql_error(&e))
    }

    fn describe(&mut self, it: &Describe) -> Result<(), SqlError> {
        let name = it.name.as_deref().unwrap_or("");
        let (statement, formats) = match it.target_type {
            b'S' => {
                let it = self.statement(name)?;
                answer::put(&ParameterDescription::new(it.params.clone()), &mut self.out);
                (it, Vec::new())
            }
            _ => {
                let it = self.portal(name)?;
                (it.statement, it.formats)
            }
        };
        let fields = self.fields(&statement.text, &formats)?;
        match fields.is_empty() {
            true => answer::put(&NoData::new(), &mut self.out),
            false => answer::put(&RowDescription::new(fields), &mut self.out),
        }
        Ok(())
    }

    fn fields(&self, text: &str, formats: &[i16]) -> Result<Vec<FieldDescription>, SqlError> {
        if is_own(text) {
            return Ok(Vec::new());
        }
        let live = self.live.borrow();
        let prepared = live.conn.prepare_cached(text).map_err(|e| sql_error(&e))?;
        let columns = prepared.columns();
        let field = |(n, it): (usize, rusqlite::Column<'_>)| {
            let kind = sql::column_type(it.decl_type(), it.name());
            let format = i16::from(is_binary(formats, n));
            FieldDescription::new(it.name().to_owned(), 0, 0, kind, -1, -1, format)
        };
        Ok(columns.enumerate().map(field).collect())
    }

    async fn execute(
        &mut self,
        statement: &Translated,
        values: &[Value],
        formats: &[i16],
        describe: bool,
    ) -> Result<(), SqlError> {
        let text = statement.text.trim();
        if let Some(order) = Order::parse(text) {
            return self.order(order).await;
        }
        self.live.borrow_mut().used = true;
        let word = text.split(|c: char| !c.is_ascii_alphabetic()).next().unwrap_or("").to_ascii_lowercase();
        let txn = self.live.borrow().txn;
        if txn == TxnState::Failed && !matches!(word.as_str(), "rollback" | "commit" | "end" | "abort") {
            let text = "current transaction is aborted, commands ignored until end of transaction block";
            return Err(SqlError::error("25P02", text));
        }
        match word.as_str() {
            "begin" | "start" => {
                if txn == TxnState::Idle {
                    self.begin();
                }
                answer::put_complete("BEGIN", &mut self.out);
            }
            "commit" | "end" if txn == TxnState::Failed => self.rollback(),
            "commit" | "end" => {
                self.commit()?;
                answer::put_complete("COMMIT", &mut self.out);
            }
            "rollback" | "abort" => self.rollback(),
            "set" => {
                self.set(&text[3..])?;
                answer::put_complete("SET", &mut self.out);
            }
            "reset" | "discard" => {
                self.settings.clear();
                answer::put_complete("RESET", &mut self.out);
            }
            "show" => self.show(text[4..].trim()),
            "standin" => self.stand_in(text).await?,
            "select" if text.to_ascii_lowercase().starts_with("select sleep_ms(") => self.sleep(text).await?,
            _ => self.run(text, values, formats, describe).await?,
        }
        Ok(())
    }

    async fn run(
        &mut self,
        text: &str,
        values: &[Value],
        formats: &[i16],
        describe: bool,
    ) -> Result<(), SqlError> {
        let reads = {
            let live = self.live.borrow();
            live.conn.prepare_cached(text).map_err(|e| sql_error(&e))?.readonly()
        };
        if !reads {
            self.lock().await?;
        }
        let single = self.live.borrow().txn == TxnState::Idle;
        if single && !reads {
            let live = self.live.borrow();
            live.conn.execute_batch("BEGIN IMMEDIATE").map_err(|e| sql_error(&e))?;
        }
        let fields = self.fields(text, formats)?;
        let kinds: Vec<u32> = fields.iter().map(|it| it.type_id).collect();
        if describe && !fields.is_empty() {
            answer::put(&RowDescription::new(fields), &mut self.out);
        }
        let rows = self.rows(text, values, formats, &kinds)?;
        if !reads {
            self.live.borrow_mut().written.push((text.to_owned(), values.to_vec()));
            if single {
                self.commit()?;
            }
        }
        let word = text.split_whitespace().next().unwrap_or("").to_ascii_uppercase();
        let tag = match word.as_str() {
            "SELECT" | "WITH" | "VALUES" => format!("SELECT {rows}"),
            "INSERT" => format!("INSERT 0 {rows}"),
            "CREATE" | "DROP" => format!("{word} TABLE"),
            _ => format!("{word} {rows}"),
        };
        answer::put_complete(&tag, &mut self.out);
        Ok(())
    }

    /// Runs a statement; hands back how many rows it answered or changed.
    fn rows(
        &mut self,
        text: &str,
        values: &[Value],
        formats: &[i16],
        kinds: &[u32],
    ) -> Result<u64, SqlError> {
        let live = self.live.borrow();
        let mut prepared = live.conn.prepare_cached(text).map_err(|e| sql_error(&e))?;
        let reads = prepared.readonly();
        let mut rows = prepared.query(rusqlite::params_from_iter(values)).map_err(|e| sql_error(&e))?;
        let mut n = 0;
        while let Some(row) = rows.next().map_err(|e| sql_error(&e))? {
            let mut data = BytesMut::new();
            for (at, kind) in kinds.iter().enumerate() {
                let value = row.get_ref(at).map_err(|e| sql_error(&e))?;
                sql::write(*kind, is_binary(formats, at), value, &mut data);
            }
            answer::put(&DataRow::new(data, kinds.len() as i16), &mut self.out);
            n += 1;
        }
        drop(rows);
        Ok(if reads { n } else { live.conn.changes() })
    }

    /// Waits for its turn to write, on a primary only.
    async fn lock(&mut self) -> Result<(), SqlError> {
        let text = "cannot execute a statement that writes in a read-only transaction";
        let read_only = || SqlError::error("25006", text);
        let server = self.server.clone();
        let primary = || server.contract.borrow().role == Role::Primary;
        if !primary() {
            return Err(read_only());
        }
        if self.live.borrow().lock.is_some() {
            return Ok(());
        }
        let wait = server.writer.clone().lock_owned();
        let canceled = self.cancel.clone();
        let guard = tokio::select! {
            it = timeout(LOCK_WAIT, wait) => it,
            () = canceled.notified() => return Err(canceled_error()),
        };
        let guard = guard.map_err(|_| SqlError::error("55P03", "another transaction holds the lock"))?;
        // The role may have changed meanwhile, and with it the transaction.
        if !primary() {
            return Err(read_only());
        }
        let mut live = self.live.borrow_mut();
        if live.txn == TxnState::Failed || live.ended {
            return Err(SqlError::error("57P01", "terminating the transaction: the server was fenced"));
        }
        live.lock = Some(guard);
        Ok(())
    }

    fn commit(&mut self) -> Result<(), SqlError> {
        let mut live = self.live.borrow_mut();
        let written = std::mem::take(&mut live.written);
        live.txn = TxnState::Idle;
        if written.is_empty() {
            live.lock = None;
            if !live.conn.is_autocommit() {
                live.conn.execute_batch("COMMIT").map_err(|e| sql_error(&e))?;
            }
            return Ok(());
        }
        let (term, lsn) = {
            let it = self.server.contract.borrow();
            (it.term, Lsn(it.log.len() as u64 + 1))
        };
        let entry = Entry { lsn, term, body: written };
        let done = store::put_entry(&live.conn, &entry)
            .and_then(|()| store::put_meta(&live.conn, "applied", &lsn.to_string()))
            .and_then(|()| live.conn.execute_batch("COMMIT"));
        if let Err(e) = done {
            let _ = live.conn.execute_batch("ROLLBACK");
            live.lock = None;
            return Err(sql_error(&e));
        }
        self.server.contract.borrow_mut().append();
        self.server.committed(entry);
        live.lock = None;
        Ok(())
    }

    fn rollback(&mut self) {
        let mut live = self.live.borrow_mut();
        if !live.conn.is_autocommit() {
            let _ = live.conn.execute_batch("ROLLBACK");
        }
        live.written.clear();
        live.lock = None;
        live.txn = TxnState::Idle;
        drop(live);
        answer::put_complete("ROLLBACK", &mut self.out);
    }

    fn set(&mut self, text: &str) -> Result<(), SqlError> {
        let split =
            text.split_once('=').or_else(|| text.split_once(" TO ")).or_else(|| text.split_once(" to "));
        let (name, value) = split.ok_or_else(|| SqlError::error("42601", "write SET name = value"))?;
        let name = name.trim().trim_matches('"').to_ascii_lowercase();
        let value = value.trim().trim_matches('\'').to_owned();
        if name == "statement_timeout" && value.parse::<u64>().is_err() {
            return Err(SqlError::error("22023", format!("invalid value for parameter {name:?}: {value:?}")));
        }
        self.settings.retain(|it| it.0 != name);
        self.settings.push((name, value));
        Ok(())
    }

    fn show(&mut self, name: &str) {
        let name = name.to_ascii_lowercase();
        let value = self.settings.iter().find(|it| it.0 == name).map_or("", |it| it.1.as_str());
        answer::put_columns(&[&name], &mut self.out);
        answer::put_row(&[value], &mut self.out);
        answer::put_complete("SHOW", &mut self.out);
    }

    async fn sleep(&mut self, text: &str) -> Result<(), SqlError> {
        let ms = text.chars().filter(char::is_ascii_digit).collect::<String>().parse().unwrap_or(0);
        let canceled = self.cancel.clone();
        tokio::select! {
            () = sleep(Duration::from_millis(ms)) => {}
            () = canceled.notified() => return Err(canceled_error()),
        }
        answer::put_columns(&["slept"], &mut self.out);
        answer::put_row(&[&ms.to_string()], &mut self.out);
        answer::put_complete("SELECT 1", &mut self.out);
        Ok(())
    }

    /// Orders to the stand-in itself: `STANDIN lag 500`, `STANDIN cut on`, `STANDIN freeze 1000`.
    async fn stand_in(&mut self, text: &str) -> Result<(), SqlError> {
        let words: Vec<&str> = text.split_whitespace().collect();
        let ms = || Duration::from_millis(words.get(2).and_then(|it| it.parse().ok()).unwrap_or(0));
        match words.get(1).copied() {
            Some("lag") => self.server.lag.set(ms()),
            Some("cut") => self.server.cut.set(words.get(2) == Some(&"on")),
            // The whole loop stops: nothing is answered, as by a stopped process.
            Some("freeze") => std::thread::sleep(ms()),
            Some("peak") => {
                let peak = self.server.peak.get().to_string();
                answer::put_columns(&["peak"], &mut self.out);
                answer::put_row(&[&peak], &mut self.out);
            }
            _ => return Err(SqlError::error("42601", "STANDIN takes lag, cut, freeze or peak")),
        }
        self.server.changed.notify_waiters();
        answer::put_complete("STANDIN", &mut self.out);
        Ok(())
    }

    async fn order(&mut self, order: Order) -> Result<(), SqlError> {
        let server = self.server.clone();
        let refused = |e: String| SqlError::error("55000", e);
        let mut entry = None;
        match order {
            Order::Position => {}
            Order::Watch { term, received, applied, ms } => {
                let first = server.position().role;
                wait(&server, ms, || {
                    let it = server.position();
                    let moved = |now: Lsn, known: Lsn| known != NO_LSN && now != known;
                    it.term != term
                        || it.role != first
                        || moved(it.received.lsn, received)
                        || moved(it.applied, applied)
                })
                .await;
            }
            Order::Wait { mark, ms } => {
                wait(&server, ms, || {
                    let it = server.position();
                    it.term >= mark.term && it.received.term == it.term && it.applied >= mark.lsn
                })
                .await;
            }
            Order::Fence(term) => server.fence(term).map_err(refused)?,
            Order::Promote(term) => server.promote(term).map_err(refused)?,
            Order::Follow(term, addr) => server.follow(term, addr).map_err(refused)?,
            Order::Entry(lsn) => entry = Some(server.entry(lsn)),
        }
        let mut position = server.position();
        if let Some(it) = entry {
            position.received = it;
        }
        let cells = position.cells();
        let cells: Vec<&str> = cells.iter().map(String::as_str).collect();
        answer::put_columns(&COLUMNS, &mut self.out);
        answer::put_row(&cells, &mut self.out);
        answer::put_complete("SELECT 1", &mut self.out);
        Ok(())
    }
}

/// Waits until something is so, bounded in time.
async fn wait(server: &Server, ms: u32, mut so: impl FnMut() -> bool) {
    let until = async {
        loop {
            let changed = server.changed.notified();
            tokio::pin!(changed);
            // Registered before the look, so that no change between the two is missed.
            changed.as_mut().enable();
            if so() {
                return;
            }
            changed.await;
        }
    };
    let _ = timeout(Duration::from_millis(ms.into()), until).await;
}

/// Whether a text is handled here rather than by the SQL engine.
fn is_own(text: &str) -> bool {
    let text = text.trim().to_ascii_lowercase();
    let words = ["begin", "start", "commit", "end", "rollback", "abort", "set", "show", "reset", "discard"];
    let word = text.split(|c: char| !c.is_ascii_alphabetic()).next().unwrap_or("");
    words.contains(&word) || text.starts_with("select group_") || text.starts_with("select sleep_ms(")
}

fn is_binary(formats: &[i16], n: usize) -> bool {
    match formats {
        [] => false,
        [one] => *one == 1,
        many => many.get(n) == Some(&1),
    }
}

fn bad_end() -> SqlError {
    SqlError::error("08P01", "a message cut short")
}

fn canceled_error() -> SqlError {
    SqlError::error("57014", "canceling statement due to user request")
}

fn sql_error(e: &rusqlite::Error) -> SqlError {
    let text = e.to_string();
    let code = match e.sqlite_error() {
        Some(it) if it.extended_code == rusqlite::ffi::SQLITE_CONSTRAINT_PRIMARYKEY => "23505",
        Some(it) if it.extended_code == rusqlite::ffi::SQLITE_CONSTRAINT_UNIQUE => "23505",
        Some(it) if it.code == rusqlite::ErrorCode::ConstraintViolation => "23514",
        Some(it) if it.code == rusqlite::ErrorCode::DatabaseBusy => "40001",
        _ if text.contains("no such table") => "42P01",
        _ => "42601",
    };
    SqlError::error(code, text)
}
