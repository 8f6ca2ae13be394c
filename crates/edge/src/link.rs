//! Length-delimited messages between instances, encoded with `postcard`.

use {
    crate::error::{EdgeError, MalformedSnafu, Step},
    bytes::Bytes,
    pondtrack_proto::{Name, PeerMsg},
    snafu::ResultExt,
    tokio::net::{
        TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec},
};

/// Maximum size of a message on a peer link, in bytes.
pub const MAX_MESSAGE: usize = 64 << 20;

/// The receiving half of a link.
pub type LinkReader = FramedRead<OwnedReadHalf, LengthDelimitedCodec>;
/// The sending half of a link.
pub type LinkWriter = FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>;

/// Splits a connection into the two halves of a link.
pub fn halves(stream: TcpStream) -> (LinkReader, LinkWriter) {
    let (read, write) = stream.into_split();
    let codec = || LengthDelimitedCodec::builder().max_frame_length(MAX_MESSAGE).new_codec();
    (FramedRead::new(read, codec()), FramedWrite::new(write, codec()))
}

/// Encodes a message as `postcard`.
pub fn encode(msg: &PeerMsg) -> Bytes {
    postcard::to_stdvec(msg).map(Bytes::from).expect("messages are plain data, which always encodes")
}

/// Decodes a message. Returns [`EdgeError::Malformed`] if the bytes are not a valid message.
pub fn decode(bytes: &[u8], peer: &Name) -> Result<PeerMsg, EdgeError> {
    postcard::from_bytes(bytes)
        .map_err(|e| e.to_string())
        .or_else(|reason| MalformedSnafu { step: Step::Decode, peer: peer.clone(), reason }.fail())
}

/// Opens a TCP connection to another instance. Fails with a timeout after `limit`.
pub async fn connect(
    local: std::net::IpAddr,
    addr: std::net::SocketAddr,
    limit: std::time::Duration,
    peer: &Name,
) -> Result<TcpStream, EdgeError> {
    crate::upstream::dial(local, addr, limit, peer).await
}

/// Converts an I/O error of the codec to an [`EdgeError`] with its step and peer.
pub fn io<T>(step: Step, peer: &Name, result: Result<T, std::io::Error>) -> Result<T, EdgeError> {
    result.context(crate::error::IoSnafu { step, peer: peer.clone() })
}
