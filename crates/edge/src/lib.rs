//! Network I/O of pondtrack: message framing, upstream connections, peer links and the platform client.
//!
//! | module | contents |
//! | --- | --- |
//! | [`frame`] | framing of PostgreSQL protocol messages |
//! | [`batch`] | batches of a caller's messages, with emulated prepared statements |
//! | [`answer`] | error responses and other messages that pondtrack itself sends to callers |
//! | [`upstream`] | client connections to database servers |
//! | [`contract`] | the control interface of a group's server, over the same protocol |
//! | [`link`](mod@link) | length-delimited messages between instances |
//! | [`operator`] | the operator interface between the command line and an instance |
//! | [`platform`] | a client of the platform's object API |
//! | [`error`] | errors of connections, with the step and the peer |

pub mod answer;
pub mod batch;
pub mod contract;
pub mod error;
pub mod frame;
pub mod link;
pub mod operator;
pub mod platform;
pub mod upstream;

pub use crate::{
    error::{EdgeError, Step},
    frame::{FrameReader, Frames},
    platform::{Object, Platform, PlatformError},
    upstream::Upstream,
};
