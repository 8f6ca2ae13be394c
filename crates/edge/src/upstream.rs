//! Client connections to database servers.

use {
    crate::{
        answer,
        contract::{Order, Position},
        error::{EdgeError, IoSnafu, MalformedSnafu, RefusedSnafu, Step, TimeoutSnafu, TooLargeSnafu},
        frame::{self, FrameReader},
    },
    bytes::{Buf, BytesMut},
    pgwire::messages::{
        Message,
        cancel::CancelRequest,
        simplequery::Query,
        startup::{SecretKey, Startup},
    },
    pondtrack_proto::{Name, TxnState},
    snafu::{OptionExt, ResultExt, ensure},
    std::{
        net::{IpAddr, SocketAddr},
        time::Duration,
    },
    tokio::{
        io::AsyncWriteExt,
        net::{
            TcpSocket, TcpStream,
            tcp::{OwnedReadHalf, OwnedWriteHalf},
        },
        time::timeout,
    },
};

/// Maximum size of a message from a server, in bytes.
const MAX_MESSAGE: usize = 64 << 20;

/// The server's answer to one query or sync, up to and including ReadyForQuery.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Answer {
    /// The encoded messages.
    pub frames: Vec<u8>,
    /// The transaction state reported by ReadyForQuery.
    pub txn: TxnState,
    /// The SQLSTATE of the first error, if any.
    pub sqlstate: Option<String>,
}

/// A failed exchange with a server.
#[derive(Debug)]
pub struct ExchangeError {
    /// True if any byte of the request may have been sent, so that the server may have executed it.
    pub sent: bool,
    /// The cause.
    pub error: EdgeError,
}

/// A connection to a database server.
#[derive(Debug)]
pub struct Upstream {
    reader: FrameReader<OwnedReadHalf>,
    writer: OwnedWriteHalf,
    /// The process id and secret key for cancel requests.
    pub cancel: (i32, SecretKey),
    /// The address of the server.
    pub addr: SocketAddr,
    /// The parameters that the server reported at startup.
    pub params: Vec<(Name, Name)>,
    /// Total number of bytes sent and received in exchanges.
    pub traffic: u64,
    /// The session settings currently applied to the connection; `None` if unknown.
    pub settings: Option<Vec<(Name, Name)>>,
}

/// Opens a TCP connection from `local` to `addr`. Fails with a timeout after `limit`.
pub async fn dial(
    local: IpAddr,
    addr: SocketAddr,
    limit: Duration,
    peer: &Name,
) -> Result<TcpStream, EdgeError> {
    let step = Step::Connect;
    let open = async {
        let socket = if addr.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        if !local.is_unspecified() {
            socket.bind(SocketAddr::new(local, 0))?;
        }
        let stream = socket.connect(addr).await?;
        stream.set_nodelay(true)?;
        Ok(stream)
    };
    let ms = limit.as_millis() as u64;
    match timeout(limit, open).await {
        Ok(opened) => opened.context(IoSnafu { step, peer: peer.clone() }),
        Err(_) => TimeoutSnafu { step, peer: peer.clone(), ms }.fail(),
    }
}

impl Upstream {
    /// Opens a connection and waits for the server's first ReadyForQuery.
    ///
    /// Connecting and startup each fail with a timeout after `limit`.
    pub async fn connect(
        local: IpAddr,
        addr: SocketAddr,
        peer: Name,
        startup: &[(&str, &str)],
        limit: Duration,
    ) -> Result<Upstream, EdgeError> {
        let stream = dial(local, addr, limit, &peer).await?;
        let ms = limit.as_millis() as u64;
        match timeout(limit, Upstream::start(stream, addr, peer.clone(), startup)).await {
            Ok(started) => started,
            Err(_) => TimeoutSnafu { step: Step::Startup, peer, ms }.fail(),
        }
    }

    async fn start(
        stream: TcpStream,
        addr: SocketAddr,
        peer: Name,
        startup: &[(&str, &str)],
    ) -> Result<Upstream, EdgeError> {
        let (read, mut writer) = stream.into_split();
        let mut out = BytesMut::new();
        let mut message = Startup::new();
        message.parameters = startup.iter().map(|(k, v)| ((*k).to_owned(), (*v).to_owned())).collect();
        answer::put(&message, &mut out);
        writer.write_all(&out).await.context(IoSnafu { step: Step::Send, peer: peer.clone() })?;
        let mut reader = FrameReader::new(read, peer.clone(), MAX_MESSAGE);
        let mut cancel = (0, SecretKey::I32(0));
        let mut params = Vec::new();
        loop {
            let frame = reader.frame().await?;
            match frame[0] {
                b'R' => check_auth(&frame, &peer)?,
                b'S' => params.extend(parameter(&frame)),
                b'K' if frame.len() >= 13 => {
                    let mut body = &frame[frame::HEADER..];
                    cancel = (body.get_i32(), SecretKey::I32(body.get_i32()));
                }
                b'E' => return refused(Step::Startup, &peer, &frame),
                b'Z' => break,
                _ => {}
            }
        }
        Ok(Upstream { reader, writer, cancel, addr, params, traffic: 0, settings: Some(Vec::new()) })
    }

    /// Returns true if the server has closed the idle connection or sent an unsolicited message on it.
    pub fn is_stale(&self) -> bool {
        if self.reader.has_buffered() {
            return true;
        }
        let mut byte = [0u8; 1];
        match self.writer.as_ref().try_read(&mut byte) {
            Err(e) => e.kind() != std::io::ErrorKind::WouldBlock,
            Ok(_) => true,
        }
    }

    /// Sends `frames` and reads `answers` answers of at most `max` bytes each.
    ///
    /// The connection must not be used again after an error or if the future is dropped.
    pub async fn run(
        &mut self,
        frames: &[u8],
        answers: usize,
        max: usize,
    ) -> Result<Vec<Answer>, ExchangeError> {
        let peer = self.reader.peer().clone();
        self.traffic += frames.len() as u64;
        let sent = self.writer.write_all(frames).await;
        sent.context(IoSnafu { step: Step::Send, peer })
            .map_err(|error| ExchangeError { sent: true, error })?;
        let mut out = Vec::with_capacity(answers);
        for _ in 0..answers {
            let answer = self.answer(max).await.map_err(|error| ExchangeError { sent: true, error })?;
            self.traffic += answer.frames.len() as u64;
            out.push(answer);
        }
        Ok(out)
    }

    async fn answer(&mut self, max: usize) -> Result<Answer, EdgeError> {
        let mut answer = Answer::default();
        loop {
            let frame = self.reader.frame().await?;
            let len = answer.frames.len() + frame.len();
            ensure!(
                len <= max,
                TooLargeSnafu { step: Step::Receive, peer: self.reader.peer().clone(), len, max }
            );
            answer.frames.extend_from_slice(&frame);
            match frame[0] {
                b'E' if answer.sqlstate.is_none() => {
                    answer.sqlstate = Some(frame::field(&frame, b'C').unwrap_or("XX000").to_owned())
                }
                b'Z' => {
                    answer.txn = match frame.get(frame::HEADER) {
                        Some(b'T') => TxnState::Open,
                        Some(b'E') => TxnState::Failed,
                        _ => TxnState::Idle,
                    };
                    return Ok(answer);
                }
                b'G' | b'W' => {
                    let reason = "COPY is not supported".to_owned();
                    return MalformedSnafu { step: Step::Receive, peer: self.reader.peer().clone(), reason }
                        .fail();
                }
                _ => {}
            }
        }
    }

    /// Sends an order and returns the position from its result. Fails with a timeout after `limit`.
    pub async fn send_order(&mut self, order: Order, limit: Duration) -> Result<Position, EdgeError> {
        let peer = self.reader.peer().clone();
        let mut out = BytesMut::new();
        put_query(&order.query(), &mut out);
        let ms = limit.as_millis() as u64;
        let answers = match timeout(limit, self.run(&out, 1, MAX_MESSAGE)).await {
            Ok(result) => result.map_err(|e| e.error)?,
            Err(_) => return TimeoutSnafu { step: Step::Receive, peer, ms }.fail(),
        };
        let answer = &answers[0];
        if answer.sqlstate.is_some() {
            return refused(Step::Receive, &peer, &answer.frames);
        }
        let reason = format!("no position in the answer to {:?}", order.query());
        Position::from_answer(&answer.frames).context(MalformedSnafu { step: Step::Decode, peer, reason })
    }
}

/// Sends a cancel request for the statement that runs on the connection with `key`.
pub async fn cancel(
    local: IpAddr,
    addr: SocketAddr,
    key: (i32, SecretKey),
    limit: Duration,
    peer: &Name,
) -> Result<(), EdgeError> {
    let mut stream = dial(local, addr, limit, peer).await?;
    let mut out = BytesMut::new();
    answer::put(&CancelRequest::new(key.0, key.1), &mut out);
    stream.write_all(&out).await.context(IoSnafu { step: Step::Send, peer: peer.clone() })
}

/// Appends a simple query message to `out`.
pub fn put_query(text: &str, out: &mut BytesMut) {
    let query = Query::new(text.to_owned());
    query.encode(out).expect("the length of a query is bounded by the length of its batch");
}

/// Checks that the server requests no authentication.
///
/// This version supports only servers that accept the instance with the `trust` method; see `docs/design/security.md`.
fn check_auth(frame: &[u8], peer: &Name) -> Result<(), EdgeError> {
    let kind = frame.get(frame::HEADER..frame::HEADER + 4).map(|mut body| body.get_i32());
    let reason = format!("the server asks for authentication of kind {kind:?}; only trust is supported");
    ensure!(kind == Some(0), MalformedSnafu { step: Step::Startup, peer: peer.clone(), reason });
    Ok(())
}

fn parameter(frame: &[u8]) -> Option<(Name, Name)> {
    let mut parts = frame[frame::HEADER..].split(|b| *b == 0);
    let key = std::str::from_utf8(parts.next()?).ok()?;
    let value = std::str::from_utf8(parts.next()?).ok()?;
    Some((key.into(), value.into()))
}

fn refused<T>(step: Step, peer: &Name, frames: &[u8]) -> Result<T, EdgeError> {
    let error = frame::Frames::new(frames).find(|(tag, _)| *tag == b'E');
    let part = |kind| error.as_ref().and_then(|(_, range)| frame::field(&frames[range.clone()], kind));
    let code = part(b'C').unwrap_or("XX000");
    let message = part(b'M').unwrap_or("no message");
    RefusedSnafu { step, peer: peer.clone(), code, message }.fail()
}
