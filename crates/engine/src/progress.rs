//! How far a statement has come, for whoever waits for its answer and may leave.

use {std::cell::Cell, tokio::sync::Notify};

/// How far one statement has come, and whether anybody waits for its answer.
#[derive(Debug, Default)]
pub struct Progress {
    /// Whether a server may have it, or a connection is being prepared for it.
    sent: Cell<bool>,
    /// Other instances that may have sent it.
    relayed: Cell<usize>,
    /// Whether its caller has left.
    left: Cell<bool>,
    /// Whether nobody wants the transaction that it begins or goes on with.
    dropped: Cell<bool>,
    /// Woken when the caller has left.
    leave: Notify,
    /// Woken when another instance has not sent it.
    back: Notify,
}

impl Progress {
    /// A server may have it from now on.
    pub fn set_sent(&self) {
        self.sent.set(true);
    }

    /// Another instance may have sent it from now on.
    pub fn relay_started(&self) {
        self.relayed.set(self.relayed.get() + 1);
    }

    /// Another instance has answered.
    pub fn relay_finished(&self, sent: bool) {
        self.relayed.set(self.relayed.get() - 1);
        match sent {
            true => self.set_sent(),
            false => self.back.notify_one(),
        }
    }

    /// Whether it waits and no server has it.
    pub fn is_unsent(&self) -> bool {
        !self.sent.get() && self.relayed.get() == 0
    }

    /// Its caller has left.
    pub fn disconnect(&self) {
        self.left.set(true);
        self.leave.notify_waiters();
    }

    /// Nobody wants its transaction.
    pub fn abandon_txn(&self) {
        self.dropped.set(true);
    }

    /// Whether nobody wants its transaction.
    pub fn is_txn_abandoned(&self) -> bool {
        self.dropped.get()
    }

    /// Waits until its caller has left.
    pub async fn disconnected(&self) {
        let leave = self.leave.notified();
        if !self.left.get() {
            leave.await;
        }
    }

    /// Waits until its caller has left and no server has it. What a server has is left to end.
    pub async fn cancelled(&self) {
        self.disconnected().await;
        while !self.is_unsent() {
            self.back.notified().await;
        }
    }
}
