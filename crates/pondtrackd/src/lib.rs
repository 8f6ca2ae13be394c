//! A pondtrack instance: one event loop on one thread.
//!
//! A caller's statement passes through [`entry`] (the caller's session) and [`forward`] (routing to a home, over
//! [`peers`] if the home is on another instance) to [`home`] (connections to the group's servers) and back.
//!
//! | module | contents |
//! | --- | --- |
//! | [`hosted`] | an instance on the platform |
//! | [`reload`] | reload of the settings file of an instance on the platform |
//! | [`settings`] | flags and environment variables, validated before any listener opens |
//! | [`node`] | state shared by all parts of an instance |
//! | [`entry`] | callers' sessions |
//! | [`forward`] | choice of a home and forwarding of requests |
//! | [`peers`] | links between instances |
//! | [`home`] | servers of a group: routing, connections, gate, failover |
//! | [`gossip`] | membership and gossip of facts over datagrams |
//! | [`platform_sync`] | synchronisation with the platform: watches, grants, records |
//! | [`planner`] | creation, confirmation and execution of plans |
//! | [`control`] | operator interface |
//! | [`run`](mod@run), [`program`] | start-up and shutdown |
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
