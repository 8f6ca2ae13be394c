//! Framing of PostgreSQL protocol messages.
//!
//! Messages are forwarded as bytes; only those that pondtrack acts on are decoded, by `pgwire`.

use {
    crate::error::{ClosedSnafu, EdgeError, IoSnafu, MalformedSnafu, Step, TooLargeSnafu},
    bytes::{Buf, Bytes, BytesMut},
    pondtrack_proto::Name,
    snafu::{ResultExt, ensure},
    std::ops::Range,
    tokio::io::{AsyncRead, AsyncReadExt},
};

/// Size of a message header, the tag and the length, in bytes.
pub const HEADER: usize = 5;
/// Buffer space reserved for each read from a socket, in bytes.
const READ_SIZE: usize = 8 * 1024;

/// A buffered reader of complete messages from a socket.
#[derive(Debug)]
pub struct FrameReader<R> {
    io: R,
    buf: BytesMut,
    peer: Name,
    max: usize,
}

impl<R: AsyncRead + Unpin> FrameReader<R> {
    /// Creates a reader from `io`. Messages longer than `max` bytes are rejected with an error.
    pub fn new(io: R, peer: Name, max: usize) -> FrameReader<R> {
        FrameReader { io, buf: BytesMut::new(), peer, max }
    }

    /// The name of the peer, as used in errors.
    pub fn peer(&self) -> &Name {
        &self.peer
    }

    /// Sets the maximum message length, in bytes.
    pub fn set_max(&mut self, max: usize) {
        self.max = max;
    }

    /// Returns true if at least a part of the next message is buffered.
    pub fn has_buffered(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Reads the startup message, which has no tag and begins with its length.
    ///
    /// Cancel-safe: no data is lost if the future is dropped.
    pub async fn startup(&mut self) -> Result<BytesMut, EdgeError> {
        loop {
            if let Some(len) = self.length(0)? {
                return Ok(self.buf.split_to(len));
            }
            self.fill().await?;
        }
    }

    /// Reads one message with its header. Cancel-safe: no data is lost if the future is dropped.
    pub async fn frame(&mut self) -> Result<BytesMut, EdgeError> {
        loop {
            if let Some(frame) = self.try_frame()? {
                return Ok(frame);
            }
            self.fill().await?;
        }
    }

    /// Removes the next message from the buffer. Returns `None` if the message is not complete yet.
    pub fn try_frame(&mut self) -> Result<Option<BytesMut>, EdgeError> {
        let len = self.length(1)?;
        Ok(len.map(|n| self.buf.split_to(n)))
    }

    /// The total length of the next message in bytes, or `None` if the message is not complete yet.
    ///
    /// `skip` is the number of bytes before the length field.
    fn length(&self, skip: usize) -> Result<Option<usize>, EdgeError> {
        if self.buf.len() < skip + 4 {
            return Ok(None);
        }
        let declared = (&self.buf[skip..]).get_i32();
        let len = usize::try_from(declared).unwrap_or(0);
        let step = Step::Receive;
        ensure!(
            len >= 4,
            MalformedSnafu {
                step,
                peer: self.peer.clone(),
                reason: format!("a message length of {declared}")
            }
        );
        ensure!(len <= self.max, TooLargeSnafu { step, peer: self.peer.clone(), len, max: self.max });
        Ok((self.buf.len() >= len + skip).then_some(len + skip))
    }

    async fn fill(&mut self) -> Result<(), EdgeError> {
        let step = Step::Receive;
        self.buf.reserve(READ_SIZE);
        let n = self.io.read_buf(&mut self.buf).await.context(IoSnafu { step, peer: self.peer.clone() })?;
        ensure!(n > 0, ClosedSnafu { step, peer: self.peer.clone() });
        Ok(())
    }

    /// Returns a reader of the buffered bytes followed by the rest of the socket.
    pub fn into_io(self) -> impl AsyncRead + Unpin {
        AsyncReadExt::chain(std::io::Cursor::new(self.buf.freeze()), self.io)
    }

    /// Frees the read buffer if it is empty, which keeps the memory use of idle sessions low.
    pub fn shrink(&mut self) {
        if self.buf.is_empty() {
            self.buf = BytesMut::new();
        }
    }
}

/// An iterator over the messages in a byte slice. Each item is the tag and the range of the message, header included.
#[derive(Clone, Debug)]
pub struct Frames<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl<'a> Frames<'a> {
    /// Creates an iterator over `bytes`, which stops before a truncated message.
    pub fn new(bytes: &'a [u8]) -> Frames<'a> {
        Frames { bytes, at: 0 }
    }
}

impl Iterator for Frames<'_> {
    type Item = (u8, Range<usize>);

    fn next(&mut self) -> Option<Self::Item> {
        let rest = &self.bytes[self.at..];
        if rest.len() < HEADER {
            return None;
        }
        let len = usize::try_from((&rest[1..]).get_i32()).ok()? + 1;
        if len < HEADER || rest.len() < len {
            return None;
        }
        let range = self.at..self.at + len;
        self.at += len;
        Some((rest[0], range))
    }
}

/// Returns the columns of a DataRow, with `None` for NULL. Columns after a malformed one are omitted.
pub fn columns(row: &[u8]) -> Vec<Option<Bytes>> {
    let mut body = match row.get(HEADER + 2..) {
        Some(body) => body,
        None => return Vec::new(),
    };
    let mut out = Vec::new();
    while body.len() >= 4 {
        let n = body.get_i32();
        match usize::try_from(n) {
            Err(_) => out.push(None),
            Ok(n) if n <= body.len() => {
                out.push(Some(Bytes::copy_from_slice(&body[..n])));
                body.advance(n);
            }
            Ok(_) => break,
        }
    }
    out
}

/// Returns a field of an error or notice message, such as `b'C'` for the SQLSTATE, or `None` if absent.
pub fn field(message: &[u8], wanted: u8) -> Option<&str> {
    let mut rest = message.get(HEADER..)?;
    while let Some((&kind, tail)) = rest.split_first() {
        let end = tail.iter().position(|b| *b == 0)?;
        if kind == wanted {
            return std::str::from_utf8(&tail[..end]).ok();
        }
        rest = &tail[end + 1..];
    }
    None
}
