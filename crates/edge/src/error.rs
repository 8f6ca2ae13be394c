//! Errors with the step and the peer at which they arose.

use {
    pondtrack_proto::Name,
    snafu::Snafu,
    std::io,
    strum::{Display, IntoStaticStr},
};

/// The step of an exchange at which an error arose.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Step {
    /// Opening the connection.
    Connect,
    /// The first messages.
    Startup,
    /// Writing a message.
    Send,
    /// Reading a message.
    Receive,
    /// Understanding a message.
    Decode,
}

/// An error on a socket.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum EdgeError {
    /// The operating system reports an error.
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
    /// A message is longer than allowed.
    #[snafu(display("{step} with {peer}: a message of {len} bytes; at most {max} are accepted"))]
    TooLarge {
        /// The step.
        step: Step,
        /// The peer.
        peer: Name,
        /// The length met.
        len: usize,
        /// The length allowed.
        max: usize,
    },
    /// A message is malformed.
    #[snafu(display("{step} with {peer}: {reason}"))]
    Malformed {
        /// The step.
        step: Step,
        /// The peer.
        peer: Name,
        /// What is wrong.
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
        /// The message.
        message: String,
    },
    /// No answer came in time.
    #[snafu(display("{step} with {peer}: no answer within {ms} ms"))]
    Timeout {
        /// The step.
        step: Step,
        /// The peer.
        peer: Name,
        /// The time waited, in milliseconds.
        ms: u64,
    },
}

impl EdgeError {
    /// Whether the peer itself answered, so that it is known to be alive.
    pub fn is_refusal(&self) -> bool {
        matches!(self, EdgeError::Refused { .. })
    }
}
