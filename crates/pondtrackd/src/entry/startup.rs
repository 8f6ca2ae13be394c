//! The first messages of a caller's connection.

use {
    super::{cancel, own, session::Session},
    crate::node::Node,
    bytes::BytesMut,
    pgwire::messages::{
        DecodeContext, Message,
        cancel::CancelRequest,
        startup::{Authentication, BackendKeyData, ParameterStatus, SecretKey},
    },
    pondtrack_edge::{
        FrameReader,
        answer::{self, SqlError},
    },
    pondtrack_proto::{Name, TxnState},
    std::{collections::BTreeMap, rc::Rc, time::Duration},
    tokio::{
        io::AsyncWriteExt,
        net::{
            TcpStream,
            tcp::{OwnedReadHalf, OwnedWriteHalf},
        },
        time::{sleep, timeout},
    },
};

/// Longest startup message, in bytes.
const MAX_STARTUP: usize = 10_000;
/// Codes that stand in the place of a protocol version.
const CANCEL: i32 = 80_877_102;
const SSL: i32 = 80_877_103;
const GSS: i32 = 80_877_104;
/// Longest wait for the first configuration of an instance that has just begun.
const CONFIG_WAIT: Duration = Duration::from_millis(1_500);
/// Parameters of the startup message that are no settings.
const NO_SETTINGS: &[&str] = &["database", "options", "replication", "user"];

/// What a connection turned out to be.
enum First {
    Startup(BTreeMap<String, String>),
    Cancel(i32, i32),
}

/// Serves one connection to its end.
pub async fn run(node: Rc<Node>, stream: TcpStream) {
    let (read, mut write) = stream.into_split();
    let starting = Starting::begin(&node);
    let limit = Duration::from_millis(node.settings.startup_ms);
    let begun = match starting.is_some() {
        false => {
            Err(SqlError::fatal("53300", "too many connections are starting").hint("come back in 1000 ms"))
        }
        true => match timeout(limit, begin(&node, read, &mut write)).await {
            Ok(it) => it,
            Err(_) => Err(SqlError::fatal(
                "08P01",
                format!("the startup took longer than {} ms", limit.as_millis()),
            )),
        },
    };
    drop(starting);
    match begun {
        Ok(Some((session, reader))) => session.run(reader, write).await,
        Ok(None) => {}
        Err(e) => {
            let mut out = BytesMut::new();
            e.put(&mut out);
            let _ = write.write_all(&out).await;
        }
    }
}

/// Counts a connection that has not finished its startup.
struct Starting<'a>(&'a Node);

impl Starting<'_> {
    fn begin(node: &Node) -> Option<Starting<'_>> {
        let n = node.sessions.starting.get();
        if n >= node.settings.max_starting {
            return None;
        }
        node.sessions.starting.set(n + 1);
        Some(Starting(node))
    }
}

impl Drop for Starting<'_> {
    fn drop(&mut self) {
        self.0.sessions.starting.set(self.0.sessions.starting.get() - 1);
    }
}

async fn begin(
    node: &Rc<Node>,
    read: OwnedReadHalf,
    write: &mut OwnedWriteHalf,
) -> Result<Option<(Session, FrameReader<OwnedReadHalf>)>, SqlError> {
    let mut reader = FrameReader::new(read, Name::from("caller"), MAX_STARTUP);
    let params = match first(&mut reader, write).await? {
        Some(First::Startup(it)) => it,
        Some(First::Cancel(pid, secret)) => {
            cancel(node, pid, secret);
            return Ok(None);
        }
        None => return Ok(None),
    };
    reader.set_max(node.settings.max_message_bytes);
    let session = open(node, params).await?;
    let out = greeting(&session);
    let _ = write.write_all(&out).await;
    Ok(Some((session, reader)))
}

/// Reads the first message; requests for encryption are declined and another message follows.
async fn first(
    reader: &mut FrameReader<OwnedReadHalf>,
    write: &mut OwnedWriteHalf,
) -> Result<Option<First>, SqlError> {
    loop {
        let mut it = match reader.startup().await {
            Ok(it) => it,
            Err(pondtrack_edge::EdgeError::Closed { .. }) => return Ok(None),
            Err(e) => return Err(SqlError::fatal("08P01", format!("a bad startup packet: {e}"))),
        };
        let Some(code) = it.get(4..8).and_then(|it| it.try_into().ok()).map(i32::from_be_bytes) else {
            return Err(SqlError::fatal("08P01", "a bad startup packet: it holds no protocol version"));
        };
        match code {
            SSL | GSS => {
                if write.write_all(b"N").await.is_err() {
                    return Ok(None);
                }
            }
            CANCEL => return Ok(read_cancel(&mut it)),
            _ if code >> 16 == 3 => return Ok(Some(First::Startup(parameters(&it[8..])?))),
            _ => {
                let (major, minor) = (code >> 16, code & 0xffff);
                let text = format!("protocol version {major}.{minor} is not supported; 3.0 is");
                return Err(SqlError::fatal("08P01", text));
            }
        }
    }
}

fn read_cancel(it: &mut BytesMut) -> Option<First> {
    if it.len() != 16 {
        return None;
    }
    let request = CancelRequest::decode(it, &DecodeContext::default()).ok()??;
    Some(First::Cancel(request.pid, request.secret_key.as_i32()?))
}

/// Reads pairs of texts, each ended by a zero byte, and a last zero byte.
pub fn parameters(body: &[u8]) -> Result<BTreeMap<String, String>, SqlError> {
    let bad = |why: &str| SqlError::fatal("08P01", format!("a bad startup packet: {why}"));
    let text = std::str::from_utf8(body).map_err(|_| bad("it is not UTF-8"))?;
    let text = text.strip_suffix('\0').ok_or_else(|| bad("it is cut short"))?;
    let mut out = BTreeMap::new();
    let mut parts = text.split_terminator('\0');
    while let Some(key) = parts.next() {
        let value = parts.next().ok_or_else(|| bad("a parameter without a value"))?;
        out.insert(key.to_owned(), value.to_owned());
    }
    Ok(out)
}

async fn open(node: &Rc<Node>, params: BTreeMap<String, String>) -> Result<Session, SqlError> {
    let Some(user) = params.get("user").filter(|it| !it.is_empty()) else {
        return Err(SqlError::fatal("28000", "no user name in the startup packet"));
    };
    let group = params.get("database").unwrap_or(user);
    if params.contains_key("replication") {
        return Err(SqlError::fatal("0A000", "replication connections are not supported"));
    }
    let caller = Name::from(user.as_str());
    if node.leaving.get() {
        let hint = "connect again: the balancer gives you another instance";
        return Err(SqlError::fatal("57P01", "this instance is leaving").hint(hint));
    }
    if node.sessions.len() >= node.settings.max_sessions
        || node.sessions.of_caller(&caller) >= node.settings.max_caller_sessions
    {
        return Err(SqlError::fatal("53300", "too many sessions").hint("come back in 1000 ms"));
    }
    find_group(node, group).await?;
    let mut session = Session::new(node, caller, group.as_str().into());
    for (key, value) in &params {
        if !NO_SETTINGS.contains(&key.as_str()) {
            session.preset(key, value)?;
        }
    }
    for (key, value) in options(params.get("options").map_or("", String::as_str))? {
        session.preset(&key, &value)?;
    }
    Ok(session)
}

/// Finds a group; an instance that has just begun may not know any yet.
async fn find_group(node: &Rc<Node>, name: &str) -> Result<(), SqlError> {
    let until = node.now() + CONFIG_WAIT.as_millis() as u64;
    while node.group(name).is_none() {
        let known = node.groups.borrow().len();
        if known > 0 {
            let hint = "the caller's database names a pondtrack group; pondtrack status lists them";
            return Err(SqlError::fatal("3D000", format!("database \"{name}\" does not exist")).hint(hint));
        }
        if node.now() >= until {
            let text = "this instance has no configuration yet";
            return Err(SqlError::fatal("57P03", text).hint("come back in 1000 ms"));
        }
        sleep(Duration::from_millis(20)).await;
    }
    Ok(())
}

/// Reads `-c name=value` and `--name=value` pairs of the options parameter.
pub fn options(text: &str) -> Result<Vec<(String, String)>, SqlError> {
    let mut out = Vec::new();
    let mut words = text.split_whitespace();
    while let Some(it) = words.next() {
        let pair = match it.strip_prefix("--") {
            Some(pair) => pair,
            None if it == "-c" => words.next().unwrap_or(""),
            None => it.strip_prefix("-c").unwrap_or(""),
        };
        let Some((key, value)) = pair.split_once('=') else {
            let text = format!("the options parameter holds {it:?}; it takes -c name=value");
            return Err(SqlError::fatal("22023", text));
        };
        out.push((key.to_owned(), value.to_owned()));
    }
    Ok(out)
}

fn greeting(session: &Session) -> BytesMut {
    let mut out = BytesMut::new();
    answer::put(&Authentication::Ok, &mut out);
    let params = [
        ("server_version", "15.0 (pondtrack)"),
        ("server_encoding", "UTF8"),
        ("client_encoding", "UTF8"),
        ("DateStyle", "ISO, MDY"),
        ("integer_datetimes", "on"),
        ("standard_conforming_strings", "on"),
    ];
    for (key, value) in params {
        answer::put(&ParameterStatus::new(key.to_owned(), value.to_owned()), &mut out);
    }
    let handle = session.handle();
    answer::put(&BackendKeyData::new(handle.pid, SecretKey::I32(handle.secret)), &mut out);
    answer::put_ready(TxnState::Idle, &mut out);
    out
}

/// Whether a name is one of pondtrack's own settings.
pub fn is_own(name: &str) -> bool {
    name.starts_with(own::PREFIX)
}
