//! Startup phase of a caller's connection: encryption requests, cancel requests and the startup message.

use {
    super::{cancel, parameter, session::Session},
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

/// Maximum size of the startup message, in bytes.
const MAX_STARTUP_BYTES: usize = 10_000;
/// Request codes that are sent in place of a protocol version.
const CANCEL_REQUEST: i32 = 80_877_102;
const SSL_REQUEST: i32 = 80_877_103;
const GSS_REQUEST: i32 = 80_877_104;
/// Maximum wait for the first configuration of an instance that has just started.
const CONFIG_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Parameters of the startup message that are not configuration parameters.
const STARTUP_ONLY: &[&str] = &["database", "options", "replication", "user"];

/// First message of a connection after the encryption requests.
enum FirstMessage {
    /// Startup message with its parameters.
    Startup(BTreeMap<String, String>),
    /// Cancel request with the process id and secret key of a session.
    Cancel(i32, i32),
}

/// Serves a connection until it is closed.
pub async fn run(node: Rc<Node>, stream: TcpStream) {
    let (read, mut write) = stream.into_split();
    let starting = StartingGuard::new(&node);
    let limit = Duration::from_millis(node.settings.startup_ms);
    let started = match starting.is_some() {
        false => {
            Err(SqlError::fatal("53300", "too many connections are starting").hint("come back in 1000 ms"))
        }
        true => match timeout(limit, start_session(&node, read, &mut write)).await {
            Ok(result) => result,
            Err(_) => Err(SqlError::fatal(
                "08P01",
                format!("the startup took longer than {} ms", limit.as_millis()),
            )),
        },
    };
    drop(starting);
    match started {
        Ok(Some((session, reader))) => session.run(reader, write).await,
        Ok(None) => {}
        Err(e) => {
            let mut out = BytesMut::new();
            e.put(&mut out);
            let _ = write.write_all(&out).await;
        }
    }
}

/// Guard that counts a connection as starting until it is dropped.
struct StartingGuard<'a>(&'a Node);

impl StartingGuard<'_> {
    /// Counts a connection; none if `max_starting` is reached.
    fn new(node: &Node) -> Option<StartingGuard<'_>> {
        let n = node.sessions.starting.get();
        if n >= node.settings.max_starting {
            return None;
        }
        node.sessions.starting.set(n + 1);
        Some(StartingGuard(node))
    }
}

impl Drop for StartingGuard<'_> {
    fn drop(&mut self) {
        self.0.sessions.starting.set(self.0.sessions.starting.get() - 1);
    }
}

/// Reads the startup message, opens the session and sends the greeting; none if the connection was closed or
/// carried a cancel request.
async fn start_session(
    node: &Rc<Node>,
    read: OwnedReadHalf,
    write: &mut OwnedWriteHalf,
) -> Result<Option<(Session, FrameReader<OwnedReadHalf>)>, SqlError> {
    let mut reader = FrameReader::new(read, Name::from("caller"), MAX_STARTUP_BYTES);
    let params = match read_first(&mut reader, write).await? {
        Some(FirstMessage::Startup(params)) => params,
        Some(FirstMessage::Cancel(pid, secret)) => {
            cancel(node, pid, secret);
            return Ok(None);
        }
        None => return Ok(None),
    };
    reader.set_max(node.settings.max_message_bytes);
    let session = open_session(node, params).await?;
    let out = greeting(&session);
    let _ = write.write_all(&out).await;
    Ok(Some((session, reader)))
}

/// Reads the first message. Encryption requests are declined, after which the caller sends another message.
async fn read_first(
    reader: &mut FrameReader<OwnedReadHalf>,
    write: &mut OwnedWriteHalf,
) -> Result<Option<FirstMessage>, SqlError> {
    loop {
        let mut packet = match reader.startup().await {
            Ok(packet) => packet,
            Err(pondtrack_edge::EdgeError::Closed { .. }) => return Ok(None),
            Err(e) => return Err(SqlError::fatal("08P01", format!("a bad startup packet: {e}"))),
        };
        let Some(code) = packet.get(4..8).and_then(|bytes| bytes.try_into().ok()).map(i32::from_be_bytes)
        else {
            return Err(SqlError::fatal("08P01", "a bad startup packet: it holds no protocol version"));
        };
        match code {
            SSL_REQUEST | GSS_REQUEST => {
                if write.write_all(b"N").await.is_err() {
                    return Ok(None);
                }
            }
            CANCEL_REQUEST => return Ok(decode_cancel(&mut packet)),
            _ if code >> 16 == 3 => {
                return Ok(Some(FirstMessage::Startup(parse_startup_params(&packet[8..])?)));
            }
            _ => {
                let (major, minor) = (code >> 16, code & 0xffff);
                let text = format!("protocol version {major}.{minor} is not supported; 3.0 is");
                return Err(SqlError::fatal("08P01", text));
            }
        }
    }
}

/// Decodes a cancel request; none if it is malformed.
fn decode_cancel(packet: &mut BytesMut) -> Option<FirstMessage> {
    if packet.len() != 16 {
        return None;
    }
    let request = CancelRequest::decode(packet, &DecodeContext::default()).ok()??;
    Some(FirstMessage::Cancel(request.pid, request.secret_key.as_i32()?))
}

/// Parses the parameters of a startup message: names and values, each terminated by a zero byte, and a final
/// zero byte.
pub fn parse_startup_params(body: &[u8]) -> Result<BTreeMap<String, String>, SqlError> {
    let invalid = |reason: &str| SqlError::fatal("08P01", format!("a bad startup packet: {reason}"));
    let text = std::str::from_utf8(body).map_err(|_| invalid("it is not UTF-8"))?;
    let text = text.strip_suffix('\0').ok_or_else(|| invalid("it is cut short"))?;
    let mut params = BTreeMap::new();
    let mut parts = text.split_terminator('\0');
    while let Some(key) = parts.next() {
        let value = parts.next().ok_or_else(|| invalid("a parameter without a value"))?;
        params.insert(key.to_owned(), value.to_owned());
    }
    Ok(params)
}

/// Checks the startup parameters and the limits of sessions, and opens the session.
async fn open_session(node: &Rc<Node>, params: BTreeMap<String, String>) -> Result<Session, SqlError> {
    let Some(user) = params.get("user").filter(|user| !user.is_empty()) else {
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
        || node.sessions.count_by_caller(&caller) >= node.settings.max_caller_sessions
    {
        return Err(SqlError::fatal("53300", "too many sessions").hint("come back in 1000 ms"));
    }
    await_group(node, group).await?;
    let mut session = Session::new(node, caller, group.as_str().into());
    for (key, value) in &params {
        if !STARTUP_ONLY.contains(&key.as_str()) {
            session.set_startup_param(key, value)?;
        }
    }
    for (key, value) in parse_options(params.get("options").map_or("", String::as_str))? {
        session.set_startup_param(&key, &value)?;
    }
    Ok(session)
}

/// Returns an error if the group does not exist. An instance that has just started may have no configuration
/// yet; its first one is awaited for up to [`CONFIG_TIMEOUT`].
async fn await_group(node: &Rc<Node>, name: &str) -> Result<(), SqlError> {
    let deadline = node.now() + CONFIG_TIMEOUT.as_millis() as u64;
    while node.group(name).is_none() {
        let groups = node.groups.borrow().len();
        if groups > 0 {
            let hint = "the caller's database names a pondtrack group; pondtrack status lists them";
            return Err(SqlError::fatal("3D000", format!("database \"{name}\" does not exist")).hint(hint));
        }
        if node.now() >= deadline {
            let text = "this instance has no configuration yet";
            return Err(SqlError::fatal("57P03", text).hint("come back in 1000 ms"));
        }
        sleep(Duration::from_millis(20)).await;
    }
    Ok(())
}

/// Parses the `-c name=value` and `--name=value` pairs of the options parameter.
pub fn parse_options(text: &str) -> Result<Vec<(String, String)>, SqlError> {
    let mut pairs = Vec::new();
    let mut words = text.split_whitespace();
    while let Some(word) = words.next() {
        let pair = match word.strip_prefix("--") {
            Some(pair) => pair,
            None if word == "-c" => words.next().unwrap_or(""),
            None => word.strip_prefix("-c").unwrap_or(""),
        };
        let Some((key, value)) = pair.split_once('=') else {
            let text = format!("the options parameter holds {word:?}; it takes -c name=value");
            return Err(SqlError::fatal("22023", text));
        };
        pairs.push((key.to_owned(), value.to_owned()));
    }
    Ok(pairs)
}

/// Builds the messages that end the startup phase, from AuthenticationOk to ReadyForQuery.
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

/// Returns true if a name is one of pondtrack's configuration parameters.
pub fn is_pondtrack_parameter(name: &str) -> bool {
    name.starts_with(parameter::PREFIX)
}
