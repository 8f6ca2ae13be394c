//! State charts of client sessions and upstream connections.

use {
    crate::state_chart::StateChart,
    std::sync::LazyLock,
    strum::{Display, EnumIter, EnumString, IntoStaticStr},
};

/// States of a client session, as in `charts/session.toml`.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, EnumIter, EnumString, IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum SessionState {
    /// No transaction is open.
    Idle,
    /// A transaction is open.
    Open,
    /// The transaction has failed, or its server was lost.
    Failed,
    /// The session has ended.
    Ended,
}

/// Events of a client session.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, EnumIter, EnumString, IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum SessionEvent {
    /// A response arrived and no transaction is open.
    Settled,
    /// A response arrived and a transaction is open.
    Opened,
    /// A response arrived and the transaction has failed.
    #[strum(serialize = "broke")]
    Failed,
    /// The instance is leaving.
    Leave,
    /// The client has disconnected, or a fatal error was sent.
    End,
}

/// States of an upstream connection, as in `charts/connection.toml`.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, EnumIter, EnumString, IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum ConnState {
    /// Idle in the pool, without session state.
    Free,
    /// Running a batch.
    Busy,
    /// Pinned to an open transaction, between batches.
    Pinned,
    /// Closed.
    Closed,
}

/// Events of an upstream connection.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, EnumIter, EnumString, IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum ConnEvent {
    /// The connection was checked out for a batch.
    Lend,
    /// The batch ended with no transaction open.
    Clean,
    /// The batch ended with a transaction open.
    Pin,
    /// The connection was dropped by the server, the client or the instance.
    Drop,
}

static SESSION: LazyLock<StateChart<SessionState, SessionEvent>> = LazyLock::new(|| {
    StateChart::parse(include_str!("../charts/session.toml")).expect("a test parses the chart")
});

static CONNECTION: LazyLock<StateChart<ConnState, ConnEvent>> = LazyLock::new(|| {
    StateChart::parse(include_str!("../charts/connection.toml")).expect("a test parses the chart")
});

/// Returns the state chart of a client session.
pub fn session_chart() -> &'static StateChart<SessionState, SessionEvent> {
    &SESSION
}

/// Returns the state chart of an upstream connection.
pub fn connection_chart() -> &'static StateChart<ConnState, ConnEvent> {
    &CONNECTION
}
