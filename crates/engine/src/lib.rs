//! Sessions, connections and failover over a neutral model of statements.
//!
//! A caller's statement flows from its [`session`] through a route to a [`group`] of servers, over a
//! connection of a [`pool`], and back. What the wire, the store and the order to promote look like is the
//! business of the [`ports`].
//!
//! | module | holds |
//! | --- | --- |
//! | [`model`] | statements, answers, configuration |
//! | [`organisation`] | organisations, their keys and quotas |
//! | [`quota`] | operations within the quotas of organisations |
//! | [`ports`] | what an edge brings |
//! | [`settings`] | timeouts, limits and weights |
//! | [`instance`] | what the parts of an instance share |
//! | [`watcher`] | the configuration and the directory, kept up to date |
//! | [`distribution`] | the same for instances that don't watch the store |
//! | [`update`], [`upload`], [`fetch`] | what instances hand each other of them |
//! | [`group`], [`upstream`] | a group and the evidence about it, its servers |
//! | [`order`] | questions and orders to servers |
//! | [`conn`], [`pool`], [`permit_queue`] | connections to servers, and permits to run statements there |
//! | [`dispatch`] | turns at a server that has too much to do, from one instance for all |
//! | [`channel`] | a way to a server: a connection, or another instance |
//! | [`message`], [`link`], [`peer`] | other instances and what is said between them |
//! | [`relay`] | statements run for others |
//! | [`session`], [`statement`], [`read`], [`write`](mod@write), [`txn`] | callers |
//! | [`lease`], [`takeover`] | the right to give orders, and changes of primary |
//! | [`leaders`] | the record of who led each group |
//! | [`progress`] | how far a statement has come, for whoever waits for its answer |
//! | [`unreadable`] | objects of the store that can't be read |
//! | [`count`], [`report`] | counters and histograms, and a line that shows them |

pub mod channel;
pub mod conn;
pub mod count;
pub mod dispatch;
pub mod distribution;
pub mod fetch;
pub mod group;
pub mod instance;
pub mod leaders;
pub mod lease;
pub mod link;
pub mod message;
pub mod model;
pub mod order;
pub mod organisation;
pub mod peer;
pub mod permit_queue;
pub mod pool;
pub mod ports;
pub mod progress;
pub mod quota;
pub mod read;
pub mod relay;
pub mod report;
pub mod session;
pub mod settings;
pub mod statement;
pub mod takeover;
pub mod txn;
pub mod unreadable;
pub mod update;
pub mod upload;
pub mod upstream;
pub mod watcher;
pub mod write;
