//! A connection to a database server.

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

/// Largest message taken from a server, in bytes.
const MAX_MESSAGE: usize = 64 << 20;

/// One answer, up to and with ready-for-query.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Answer {
    /// The messages.
    pub frames: Vec<u8>,
    /// The transaction state after it.
    pub txn: TxnState,
    /// The SQLSTATE of its error, if it has one.
    pub error: Option<String>,
}

/// Why an exchange with a server ended, and whether the server may have got the request.
#[derive(Debug)]
pub struct ExchangeError {
    /// Whether any byte of the request was handed to the network.
    pub sent: bool,
    /// The error.
    pub error: EdgeError,
}

/// A connection to a database server, outside any exchange.
#[derive(Debug)]
pub struct Upstream {
    reader: FrameReader<OwnedReadHalf>,
    writer: OwnedWriteHalf,
    /// What the server wants with a cancel request.
    pub cancel: (i32, SecretKey),
    /// Where the server listens.
    pub addr: SocketAddr,
    /// Parameters the server reported.
    pub params: Vec<(Name, Name)>,
    /// Bytes sent and received in exchanges.
    pub traffic: u64,
    /// The caller's settings in force; `None` when they are not known.
    pub settings: Option<Vec<(Name, Name)>>,
}

/// Opens a TCP connection from `local`, bounded in time.
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
        Ok(it) => it.context(IoSnafu { step, peer: peer.clone() }),
        Err(_) => TimeoutSnafu { step, peer: peer.clone(), ms }.fail(),
    }
}

impl Upstream {
    /// Opens a connection and waits until the server is ready.
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
            Ok(it) => it,
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
            let it = reader.frame().await?;
            match it[0] {
                b'R' => check_auth(&it, &peer)?,
                b'S' => params.extend(parameter(&it)),
                b'K' if it.len() >= 13 => {
                    let mut body = &it[frame::HEADER..];
                    cancel = (body.get_i32(), SecretKey::I32(body.get_i32()));
                }
                b'E' => return refused(Step::Startup, &peer, &it),
                b'Z' => break,
                _ => {}
            }
        }
        Ok(Upstream { reader, writer, cancel, addr, params, traffic: 0, settings: Some(Vec::new()) })
    }

    /// Whether the server has closed the connection or sent something unasked while it was idle.
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

    /// Sends messages and reads as many answers as they ask for, `max` bytes each at most.
    ///
    /// The connection is unusable after an error, or when the call is cancelled.
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
            let it = self.answer(max).await.map_err(|error| ExchangeError { sent: true, error })?;
            self.traffic += it.frames.len() as u64;
            out.push(it);
        }
        Ok(out)
    }

    async fn answer(&mut self, max: usize) -> Result<Answer, EdgeError> {
        let mut it = Answer::default();
        loop {
            let frame = self.reader.frame().await?;
            let len = it.frames.len() + frame.len();
            ensure!(
                len <= max,
                TooLargeSnafu { step: Step::Receive, peer: self.reader.peer().clone(), len, max }
            );
            it.frames.extend_from_slice(&frame);
            match frame[0] {
                b'E' if it.error.is_none() => {
                    it.error = Some(frame::field(&frame, b'C').unwrap_or("XX000").to_owned())
                }
                b'Z' => {
                    it.txn = match frame.get(frame::HEADER) {
                        Some(b'T') => TxnState::Open,
                        Some(b'E') => TxnState::Failed,
                        _ => TxnState::Idle,
                    };
                    return Ok(it);
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

    /// Gives an order and reads the position it is answered with, bounded in time.
    pub async fn send_order(&mut self, order: Order, limit: Duration) -> Result<Position, EdgeError> {
        let peer = self.reader.peer().clone();
        let mut out = BytesMut::new();
        put_query(&order.query(), &mut out);
        let ms = limit.as_millis() as u64;
        let answers = match timeout(limit, self.run(&out, 1, MAX_MESSAGE)).await {
            Ok(it) => it.map_err(|e| e.error)?,
            Err(_) => return TimeoutSnafu { step: Step::Receive, peer, ms }.fail(),
        };
        let it = &answers[0];
        if it.error.is_some() {
            return refused(Step::Receive, &peer, &it.frames);
        }
        let reason = format!("no position in the answer to {:?}", order.query());
        Position::from_answer(&it.frames).context(MalformedSnafu { step: Step::Decode, peer, reason })
    }
}

/// Asks a server to stop what a connection runs.
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

/// Appends a simple query.
pub fn put_query(text: &str, out: &mut BytesMut) {
    let it = Query::new(text.to_owned());
    it.encode(out).expect("a query's length is bounded by the batch it came in");
}

/// Only servers that trust the instance are supported in this version; see `docs/design/security.md`.
fn check_auth(frame: &[u8], peer: &Name) -> Result<(), EdgeError> {
    let kind = frame.get(frame::HEADER..frame::HEADER + 4).map(|mut it| it.get_i32());
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
