//! One connection to a server.

use {
    crate::{
        model::{Answer, ErrorCode, Order, Server, TxnState},
        organisation::Owner,
        ports::{WireError, WireProtocol},
        settings::CONNECT_TIMEOUT,
    },
    bytes::BytesMut,
    pondtrack_proto::Name,
    snafu::{ResultExt, Snafu},
    std::{
        io,
        net::{SocketAddr, SocketAddrV4},
        rc::Rc,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::timeout,
    },
};

/// The first size of a connection's buffer, in bytes: most answers are smaller.
const BUFFER_CAPACITY: usize = 2_048;

/// Session values, sorted by name.
pub type SessionValues = Rc<Vec<(Name, Name)>>;

/// Why an exchange with a server has no answer.
#[derive(Debug, Snafu)]
pub enum ConnError {
    /// The connection isn't there.
    #[snafu(display("{peer}: connect: {source}"))]
    Connect {
        /// The server.
        peer: SocketAddrV4,
        /// The cause.
        source: io::Error,
    },
    /// The server doesn't answer in time.
    #[snafu(display("{peer}: open: no answer in time"))]
    Timeout {
        /// The server.
        peer: SocketAddrV4,
    },
    /// The server refuses the connection.
    #[snafu(display("{peer}: open: refused as {code}"))]
    Refused {
        /// The server.
        peer: SocketAddrV4,
        /// Why.
        code: ErrorCode,
    },
    /// The connection broke; what was sent may have run.
    #[snafu(display("{peer}: exchange: {source}"))]
    Broken {
        /// The server.
        peer: SocketAddrV4,
        /// The cause.
        source: io::Error,
    },
    /// The server sent something else than an answer.
    #[snafu(display("{peer}: exchange: {source}"))]
    Wire {
        /// The server.
        peer: SocketAddrV4,
        /// What is wrong with it.
        source: WireError,
    },
}

impl ConnError {
    /// Whether the address shows that the server isn't there.
    pub fn is_refusal(&self) -> bool {
        match self {
            ConnError::Connect { source, .. } => {
                matches!(source.kind(), io::ErrorKind::ConnectionRefused | io::ErrorKind::ConnectionReset)
            }
            ConnError::Refused { code, .. } => *code == ErrorCode::WrongServer,
            ConnError::Timeout { .. } | ConnError::Broken { .. } | ConnError::Wire { .. } => false,
        }
    }
}

/// A connection to a server.
#[derive(Debug)]
pub struct Conn {
    peer: SocketAddrV4,
    stream: TcpStream,
    buf: BytesMut,
    /// Whose statements it carries.
    pub owner: Owner,
    /// The session values set on it; none when they are not known.
    pub values: Option<SessionValues>,
    /// The names of statements prepared on it, sorted.
    pub prepared: Vec<Name>,
    /// Its transaction state after the last answer.
    pub txn: TxnState,
}

impl Conn {
    /// Opens a connection; the server has to have the id that its entry names.
    pub async fn open(dialect: &dyn WireProtocol, server: &Server, owner: Owner) -> Result<Conn, ConnError> {
        let peer = server.addr;
        timeout(CONNECT_TIMEOUT, Conn::handshake(dialect, server, owner))
            .await
            .map_err(|_| ConnError::Timeout { peer })?
    }

    async fn handshake(dialect: &dyn WireProtocol, server: &Server, owner: Owner) -> Result<Conn, ConnError> {
        let peer = server.addr;
        let stream = TcpStream::connect(SocketAddr::V4(peer)).await.context(ConnectSnafu { peer })?;
        stream.set_nodelay(true).context(ConnectSnafu { peer })?;
        // Closed, it is reset: an order that nobody waits for any longer must not arrive later.
        stream.set_zero_linger().context(ConnectSnafu { peer })?;
        let buf = BytesMut::with_capacity(BUFFER_CAPACITY);
        let mut it = Conn {
            peer,
            stream,
            buf,
            owner,
            values: Some(SessionValues::default()),
            prepared: Vec::new(),
            txn: TxnState::Idle,
        };
        let mut out = BytesMut::new();
        dialect.encode_open(&server.group, &server.id, &it.owner, &mut out);
        it.send(&out).await?;
        loop {
            if let Some(answer) = dialect.decode_open(&mut it.buf).context(WireSnafu { peer })? {
                return match answer.error_code() {
                    None => Ok(it),
                    Some(code) => Err(ConnError::Refused { peer, code }),
                };
            }
            it.fill_buffer().await?;
        }
    }

    /// Whether nothing says that the connection has ended; costs no system call while that is so.
    pub fn is_alive(&self) -> bool {
        let mut one = [0];
        // Bytes that nobody asked for make it as useless as an end.
        matches!(self.stream.try_read(&mut one), Err(e) if e.kind() == io::ErrorKind::WouldBlock)
            && self.buf.is_empty()
    }

    /// Sends bytes.
    pub async fn send(&mut self, out: &[u8]) -> Result<(), ConnError> {
        self.stream.write_all(out).await.context(BrokenSnafu { peer: self.peer })
    }

    /// Waits for the next answer.
    pub async fn next_answer(&mut self, dialect: &dyn WireProtocol) -> Result<Answer, ConnError> {
        loop {
            let answer = dialect.decode_answer(&mut self.buf).context(WireSnafu { peer: self.peer })?;
            if let Some(it) = answer {
                self.txn = it.txn;
                return Ok(it);
            }
            self.fill_buffer().await?;
        }
    }

    /// Gives an order.
    pub async fn send_order(
        &mut self,
        dialect: &dyn WireProtocol,
        order: &Order,
    ) -> Result<Answer, ConnError> {
        let mut out = BytesMut::new();
        dialect.encode_order(order, None, &mut out);
        self.send(&out).await?;
        self.next_answer(dialect).await
    }

    async fn fill_buffer(&mut self) -> Result<(), ConnError> {
        self.buf.reserve(BUFFER_CAPACITY / 2);
        let n = self.stream.read_buf(&mut self.buf).await.context(BrokenSnafu { peer: self.peer })?;
        match n {
            0 => Err(io::Error::from(io::ErrorKind::UnexpectedEof)).context(BrokenSnafu { peer: self.peer }),
            _ => Ok(()),
        }
    }
}
