//! A connection to a server.

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

/// Initial capacity of a connection's receive buffer, in bytes. Most answers are smaller.
const BUFFER_CAPACITY: usize = 2_048;

/// Session values, sorted by name.
pub type SessionValues = Rc<Vec<(Name, Name)>>;

/// Errors of an exchange with a server.
#[derive(Debug, Snafu)]
pub enum ConnError {
    /// The connection could not be established.
    #[snafu(display("{peer}: connect: {source}"))]
    Connect {
        /// The server.
        peer: SocketAddrV4,
        /// The cause.
        source: io::Error,
    },
    /// The server did not answer the handshake in time.
    #[snafu(display("{peer}: open: no answer in time"))]
    Timeout {
        /// The server.
        peer: SocketAddrV4,
    },
    /// The server refused the connection.
    #[snafu(display("{peer}: open: refused as {code}"))]
    Refused {
        /// The server.
        peer: SocketAddrV4,
        /// The server's error code.
        code: ErrorCode,
    },
    /// The connection failed; a statement that was sent may have run.
    #[snafu(display("{peer}: exchange: {source}"))]
    Broken {
        /// The server.
        peer: SocketAddrV4,
        /// The cause.
        source: io::Error,
    },
    /// The server sent an invalid answer.
    #[snafu(display("{peer}: exchange: {source}"))]
    Wire {
        /// The server.
        peer: SocketAddrV4,
        /// The protocol error.
        source: WireError,
    },
}

impl ConnError {
    /// Returns true if the error shows that the server isn't running at its address.
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
    /// The organisation whose statements the connection carries.
    pub owner: Owner,
    /// The session values set on the connection, or `None` if they are not known.
    pub values: Option<SessionValues>,
    /// Names of the statements prepared on the connection, sorted.
    pub prepared: Vec<Name>,
    /// Transaction state after the last answer.
    pub txn: TxnState,
}

impl Conn {
    /// Opens a connection. Fails if the server at the address doesn't have the id in its directory entry, or on timeout.
    pub async fn open(protocol: &dyn WireProtocol, server: &Server, owner: Owner) -> Result<Conn, ConnError> {
        let peer = server.addr;
        timeout(CONNECT_TIMEOUT, Conn::handshake(protocol, server, owner))
            .await
            .map_err(|_| ConnError::Timeout { peer })?
    }

    async fn handshake(
        protocol: &dyn WireProtocol,
        server: &Server,
        owner: Owner,
    ) -> Result<Conn, ConnError> {
        let peer = server.addr;
        let stream = TcpStream::connect(SocketAddr::V4(peer)).await.context(ConnectSnafu { peer })?;
        stream.set_nodelay(true).context(ConnectSnafu { peer })?;
        // Closing resets the connection, so that an order that was given up can't arrive later.
        stream.set_zero_linger().context(ConnectSnafu { peer })?;
        let buf = BytesMut::with_capacity(BUFFER_CAPACITY);
        let mut conn = Conn {
            peer,
            stream,
            buf,
            owner,
            values: Some(SessionValues::default()),
            prepared: Vec::new(),
            txn: TxnState::Idle,
        };
        let mut out = BytesMut::new();
        protocol.encode_open(&server.group, &server.id, &conn.owner, &mut out);
        conn.send(&out).await?;
        loop {
            if let Some(answer) = protocol.decode_open(&mut conn.buf).context(WireSnafu { peer })? {
                return match answer.error_code() {
                    None => Ok(conn),
                    Some(code) => Err(ConnError::Refused { peer, code }),
                };
            }
            conn.fill_buffer().await?;
        }
    }

    /// Returns true if the connection is not known to be closed. Makes no system call as long as nothing has arrived.
    pub fn is_alive(&self) -> bool {
        let mut byte = [0];
        // Unexpected bytes make the connection as useless as the end of the stream.
        matches!(self.stream.try_read(&mut byte), Err(e) if e.kind() == io::ErrorKind::WouldBlock)
            && self.buf.is_empty()
    }

    /// Sends bytes.
    pub async fn send(&mut self, out: &[u8]) -> Result<(), ConnError> {
        self.stream.write_all(out).await.context(BrokenSnafu { peer: self.peer })
    }

    /// Waits for the next answer.
    pub async fn next_answer(&mut self, protocol: &dyn WireProtocol) -> Result<Answer, ConnError> {
        loop {
            let answer = protocol.decode_answer(&mut self.buf).context(WireSnafu { peer: self.peer })?;
            if let Some(answer) = answer {
                self.txn = answer.txn;
                return Ok(answer);
            }
            self.fill_buffer().await?;
        }
    }

    /// Sends an order and waits for its answer.
    pub async fn send_order(
        &mut self,
        protocol: &dyn WireProtocol,
        order: &Order,
    ) -> Result<Answer, ConnError> {
        let mut out = BytesMut::new();
        protocol.encode_order(order, None, &mut out);
        self.send(&out).await?;
        self.next_answer(protocol).await
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
