//! The lives of a caller's session and of an upstream connection, as charts.

use {
    crate::state_chart::StateChart,
    std::sync::LazyLock,
    strum::{Display, EnumIter, EnumString, IntoStaticStr},
};

/// The states of a caller's session; the chart is `charts/session.toml`.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, EnumIter, EnumString, IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum SessionState {
    /// Between transactions.
    Idle,
    /// Inside a transaction.
    Open,
    /// Inside a failed transaction, also one whose server was lost.
    Failed,
    /// Over.
    Ended,
}

/// What can happen to a caller's session.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, EnumIter, EnumString, IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum SessionEvent {
    /// An answer came; no transaction is open.
    Settled,
    /// An answer came; a transaction is open.
    Opened,
    /// An answer came; the transaction has failed.
    #[strum(serialize = "broke")]
    Failed,
    /// The instance leaves.
    Leave,
    /// The caller is gone, or a fatal error was answered.
    End,
}

/// The states of an upstream connection; the chart is `charts/connection.toml`.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, EnumIter, EnumString, IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum ConnState {
    /// Clean and free.
    Free,
    /// Runs a batch.
    Busy,
    /// Belongs to a transaction, between batches.
    Pinned,
    /// Closed.
    Closed,
}

/// What can happen to an upstream connection.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, EnumIter, EnumString, IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum ConnEvent {
    /// Lent to a batch.
    Lend,
    /// The batch ended outside a transaction.
    Clean,
    /// The batch ended inside a transaction.
    Pin,
    /// Its server, its caller or its instance let it go.
    Drop,
}

static SESSION: LazyLock<StateChart<SessionState, SessionEvent>> = LazyLock::new(|| {
    StateChart::parse(include_str!("../charts/session.toml")).expect("the chart is checked by a test")
});

static CONNECTION: LazyLock<StateChart<ConnState, ConnEvent>> = LazyLock::new(|| {
    StateChart::parse(include_str!("../charts/connection.toml")).expect("the chart is checked by a test")
});

/// The chart of a caller's session.
pub fn session_chart() -> &'static StateChart<SessionState, SessionEvent> {
    &SESSION
}

/// The chart of an upstream connection.
pub fn connection_chart() -> &'static StateChart<ConnState, ConnEvent> {
    &CONNECTION
}
