//! Sessions, connections and failover over a model of statements that is independent of the wire protocol.
//!
//! A caller's statement flows from its [`session`] through a route to a [`group`] of servers, over a connection of a
//! [`pool`], and the answer flows back. Implementations of the [`ports`] provide the wire protocol, the store and the
//! promotion of servers.
//!
//! | module | contents |
//! | --- | --- |
//! | [`model`] | statements, answers, configuration |
//! | [`organisation`] | organisations, their keys and quotas |
//! | [`quota`] | admission of operations within the quotas of organisations |
//! | [`ports`] | traits for the wire protocol, the store and the promotion of servers |
//! | [`settings`] | timeouts, limits and weights |
//! | [`instance`] | shared state of an instance |
//! | [`watcher`] | synchronisation of the configuration and the server directory with the store |
//! | [`distribution`] | distribution of the configuration and the directory to instances that don't watch the store |
//! | [`update`], [`upload`], [`fetch`] | updates of the configuration and the directory, and their transfer between instances |
//! | [`group`], [`upstream`] | a group with the evidence about its state, and its servers |
//! | [`order`] | status queries and orders to servers |
//! | [`conn`], [`pool`], [`permit_queue`] | connections to servers, and permits to run statements there |
//! | [`dispatch`] | permits for an overloaded server, issued by one instance for all |
//! | [`channel`] | access to a server by a direct connection or through another instance |
//! | [`message`], [`link`], [`peer`] | messages between instances, links and peers |
//! | [`relay`] | statements run on behalf of other instances |
//! | [`session`], [`statement`], [`read`], [`write`](mod@write), [`txn`] | sessions of callers and their statements |
//! | [`lease`], [`failover`] | the lease for giving orders, and failover |
//! | [`leaders`] | the last known leader of each group |
//! | [`progress`] | progress of a statement |
//! | [`unreadable`] | undecodable objects in the store |
//! | [`count`], [`report`] | counters and histograms, and their periodic log line |

pub mod channel;
pub mod conn;
pub mod count;
pub mod dispatch;
pub mod distribution;
pub mod failover;
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
pub mod txn;
pub mod unreadable;
pub mod update;
pub mod upload;
pub mod upstream;
pub mod watcher;
pub mod write;
