//! Whole messages of the PostgreSQL protocol, read and written as bytes.
//!
//! Messages pass through undecoded; only those that pondtrack acts on are decoded, by `pgwire`.

use {
    crate::error::{ClosedSnafu, EdgeError, IoSnafu, MalformedSnafu, Step, TooLargeSnafu},
    bytes::{Buf, Bytes, BytesMut},
    pondtrack_proto::Name,
    snafu::{ResultExt, ensure},
    std::ops::Range,
    tokio::io::{AsyncRead, AsyncReadExt},
};

/// Bytes before a message's body: the tag and the length.
pub const HEADER: usize = 5;
/// Room reserved for one read from a socket, in bytes.
const READ_SIZE: usize = 8 * 1024;

/// Reads whole messages from a socket.
#[derive(Debug)]
pub struct FrameReader<R> {
    io: R,
    buf: BytesMut,
    peer: Name,
    max: usize,
}

impl<R: AsyncRead + Unpin> FrameReader<R> {
    /// Reads from `io`; messages longer than `max` bytes are an error.
    pub fn new(io: R, peer: Name, max: usize) -> FrameReader<R> {
        FrameReader { io, buf: BytesMut::new(), peer, max }
    }

    /// The peer's name, as errors carry it.
    pub fn peer(&self) -> &Name {
        &self.peer
    }

    /// Changes the longest message accepted, in bytes.
    pub fn set_max(&mut self, max: usize) {
        self.max = max;
    }

    /// Whether a part of a further message is already here.
    pub fn has_buffered(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Reads the first message of a connection, which has no tag; it begins with its length.
    ///
    /// Cancelling the call loses nothing.
    pub async fn startup(&mut self) -> Result<BytesMut, EdgeError> {
        loop {
            if let Some(len) = self.length(0)? {
                return Ok(self.buf.split_to(len));
            }
            self.fill().await?;
        }
    }

    /// Reads one message with its header. Cancelling the call loses nothing.
    pub async fn frame(&mut self) -> Result<BytesMut, EdgeError> {
        loop {
            if let Some(it) = self.try_frame()? {
                return Ok(it);
            }
            self.fill().await?;
        }
    }

    /// Takes one message if it is here whole.
    pub fn try_frame(&mut self) -> Result<Option<BytesMut>, EdgeError> {
        let len = self.length(1)?;
        Ok(len.map(|n| self.buf.split_to(n)))
    }

    /// The whole length of the next message when all of it is here; `skip` bytes precede its length.
    fn length(&self, skip: usize) -> Result<Option<usize>, EdgeError> {
        if self.buf.len() < skip + 4 {
            return Ok(None);
        }
        let said = (&self.buf[skip..]).get_i32();
        let len = usize::try_from(said).unwrap_or(0);
        let step = Step::Receive;
        ensure!(
            len >= 4,
            MalformedSnafu { step, peer: self.peer.clone(), reason: format!("a message length of {said}") }
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

    /// The socket, preceded by what was read of it already.
    pub fn into_io(self) -> impl AsyncRead + Unpin {
        AsyncReadExt::chain(std::io::Cursor::new(self.buf.freeze()), self.io)
    }

    /// Frees the read buffer when it is empty, so that an idle session holds little memory.
    pub fn shrink(&mut self) {
        if self.buf.is_empty() {
            self.buf = BytesMut::new();
        }
    }
}

/// Walks over the messages in a run of bytes: each item is a tag and the range of the whole message.
#[derive(Clone, Debug)]
pub struct Frames<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl<'a> Frames<'a> {
    /// Walks over `bytes`; a cut last message ends the walk.
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

/// The text columns of a data row; `None` is NULL. A malformed row ends early.
pub fn columns(row: &[u8]) -> Vec<Option<Bytes>> {
    let mut body = match row.get(HEADER + 2..) {
        Some(it) => it,
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

/// A field of an error or notice message, such as `b'C'` for its SQLSTATE.
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
