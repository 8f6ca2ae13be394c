//! Errors of connections, with the step and the peer.

use {
    pondtrack_proto::Name,
    snafu::Snafu,
    std::io,
    strum::{Display, IntoStaticStr},
};

/// The step of an exchange in which an error occurred.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Step {
    /// Opening the connection.
    Connect,
    /// Exchange of the startup messages.
    Startup,
    /// Writing a message.
    Send,
    /// Reading a message.
    Receive,
    /// Decoding a message.
    Decode,
}

/// An error of a connection to a caller, server or instance.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum EdgeError {
    /// The operating system reported an I/O error.
    #[snafu(display("{step} with {peer}: {source}"))]
    Io {
        /// The step.
        step: Step,
        /// The peer.
        peer: Name,
        /// The cause.
        source: io::Error,
    },
    /// The peer closed the connection.
    #[snafu(display("{step} with {peer}: the connection was closed"))]
    Closed {
        /// The step.
        step: Step,
        /// The peer.
        peer: Name,
    },
    /// A message exceeds the maximum length.
    #[snafu(display("{step} with {peer}: a message of {len} bytes; at most {max} are accepted"))]
    TooLarge {
        /// The step.
        step: Step,
        /// The peer.
        peer: Name,
        /// The length of the message or answer, in bytes.
        len: usize,
        /// The maximum length, in bytes.
        max: usize,
    },
    /// A message is malformed.
    #[snafu(display("{step} with {peer}: {reason}"))]
    Malformed {
        /// The step.
        step: Step,
        /// The peer.
        peer: Name,
        /// The fault in the message.
        reason: String,
    },
    /// The peer answered with an error.
    #[snafu(display("{step} with {peer}: refused with {code}: {message}"))]
    Refused {
        /// The step.
        step: Step,
        /// The peer.
        peer: Name,
        /// The SQLSTATE.
        code: String,
        /// The error message of the peer.
        message: String,
    },
    /// The peer did not answer before the timeout.
    #[snafu(display("{step} with {peer}: no answer within {ms} ms"))]
    Timeout {
        /// The step.
        step: Step,
        /// The peer.
        peer: Name,
        /// The timeout, in milliseconds.
        ms: u64,
    },
}

impl EdgeError {
    /// Returns true if the peer answered with an error, which proves that the peer is alive.
    pub fn is_refusal(&self) -> bool {
        matches!(self, EdgeError::Refused { .. })
    }
}
