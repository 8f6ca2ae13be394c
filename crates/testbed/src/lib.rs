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
//! | [`model`] | the exhaustive walk over gate and switch |
//! | [`scenario`] | the small test language |

pub mod caller;
pub mod cluster;
pub mod db;
pub mod demo;
pub mod launch;
pub mod model;
pub mod platform;
pub mod relay;
pub mod scenario;
