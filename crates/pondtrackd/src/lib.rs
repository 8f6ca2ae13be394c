//! The pondtrack instance: one loop on one thread.
//!
//! A caller's statement flows through [`entry`] (its session) and [`forward`] (to a home, maybe over
//! [`peers`]) to [`home`] (the connections to the group's servers) and back.
//!
//! | module | holds |
//! | --- | --- |
//! | [`hosted`] | an instance on the platform |
//! | [`reload`] | its settings, when they change |
//! | [`settings`] | flags and environment variables, checked before anything listens |
//! | [`node`] | what the parts of an instance share |
//! | [`entry`] | callers' sessions |
//! | [`forward`] | choosing a home and passing requests on |
//! | [`peers`] | links between instances |
//! | [`home`] | a group's servers: routing, connections, gate, failover |
//! | [`gossip`] | membership and the spread of facts over datagrams |
//! | [`platform_sync`] | the platform: watches, grants, records |
//! | [`planner`] | plans: made, confirmed, worked on |
//! | [`control`] | the operator's interface |
//! | [`run`](mod@run), [`program`] | starting and ending |
//! | [`telemetry`] | counters, metrics, logs |

pub mod control;
pub mod entry;
pub mod forward;
pub mod gossip;
pub mod home;
pub mod hosted;
pub mod node;
pub mod peers;
pub mod planner;
pub mod platform_sync;
pub mod program;
pub mod reload;
pub mod run;
pub mod settings;
pub mod telemetry;

pub use crate::{
    run::{Ready, run},
    settings::Settings,
};
