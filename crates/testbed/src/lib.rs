//! Stand-ins, load and measurements of pondtrack. Not shipped.
//!
//! | module | holds |
//! | --- | --- |
//! | [`db`] | a database server over SQLite |
//! | [`platform`] | the object API |
//! | [`relay`] | the network between parts, with delays and cuts |
//! | [`launch`] | parts as threads or processes |
//! | [`cluster`] | a whole system |
//! | [`caller`] | callers over the stock client library |
//! | [`demo`] | a first look, in one process |
//! | [`load`], [`history`] | a seeded load, its record and the checkers |
//! | [`measure`] | a deployment under load and failures |
//! | [`fleet`], [`ceiling`], [`overload`] | what control costs many instances, statements cost one, and too many callers do |
//! | [`lab`] | the decisions on turns against a model of a busy server, on a virtual clock |
//! | [`model`] | the exhaustive walk over gate and switch |
//! | [`scenario`] | the small test language |

pub mod caller;
pub mod ceiling;
pub mod cluster;
pub mod db;
pub mod demo;
pub mod fleet;
pub mod forget;
pub mod history;
pub mod lab;
pub mod launch;
pub mod load;
pub mod measure;
pub mod model;
pub mod overload;
pub mod platform;
pub mod relay;
pub mod scenario;
