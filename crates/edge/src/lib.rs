//! Sockets of pondtrack: frames, upstream connections, peer links and the platform's client.
//!
//! | module | holds |
//! | --- | --- |
//! | [`frame`] | whole messages of the PostgreSQL protocol, read and written as bytes |
//! | [`batch`] | a caller's messages up to a query or sync, with statements carried along |
//! | [`answer`] | errors and small answers towards callers |
//! | [`upstream`] | a connection to a database server |
//! | [`contract`] | what a group's server shows and takes, over the same protocol |
//! | [`link`](mod@link) | framed messages between instances |
//! | [`operator`] | the interface between the command line and an instance |
//! | [`platform`] | the client of the platform's object API |
//! | [`error`] | errors with the step and the peer at which they arose |

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
