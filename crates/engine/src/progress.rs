//! The progress of a statement towards a server, and its cancellation after the caller disconnects.

use {std::cell::Cell, tokio::sync::Notify};

/// The progress of one statement, and the state of its caller.
#[derive(Debug, Default)]
pub struct Progress {
    /// True if a server may have the statement, or a connection is being prepared for it.
    sent: Cell<bool>,
    /// The number of other instances that may have sent the statement.
    relays: Cell<usize>,
    /// True if the caller has disconnected.
    disconnected: Cell<bool>,
    /// True if the transaction that the statement begins or continues has been abandoned.
    txn_abandoned: Cell<bool>,
    /// Notified when the caller disconnects.
    disconnect: Notify,
    /// Notified when another instance returns the statement without having sent it.
    returned: Notify,
}

impl Progress {
    /// Records that a server may have the statement from now on.
    pub fn set_sent(&self) {
        self.sent.set(true);
    }

    /// Records that another instance may have sent the statement from now on.
    pub fn relay_started(&self) {
        self.relays.set(self.relays.get() + 1);
    }

    /// Records the response of another instance, and whether that instance may have sent the statement.
    pub fn relay_finished(&self, may_have_run: bool) {
        self.relays.set(self.relays.get() - 1);
        match may_have_run {
            true => self.set_sent(),
            false => self.returned.notify_one(),
        }
    }

    /// Returns true if no server can have the statement.
    pub fn is_unsent(&self) -> bool {
        !self.sent.get() && self.relays.get() == 0
    }

    /// Records that the caller has disconnected.
    pub fn disconnect(&self) {
        self.disconnected.set(true);
        self.disconnect.notify_waiters();
    }

    /// Records that the statement's transaction has been abandoned and has to be rolled back.
    pub fn abandon_txn(&self) {
        self.txn_abandoned.set(true);
    }

    /// Returns true if the statement's transaction has been abandoned.
    pub fn is_txn_abandoned(&self) -> bool {
        self.txn_abandoned.get()
    }

    /// Waits until the caller has disconnected.
    pub async fn disconnected(&self) {
        let notified = self.disconnect.notified();
        if !self.disconnected.get() {
            notified.await;
        }
    }

    /// Waits until the caller has disconnected and no server can have the statement. A statement that a server has runs
    /// to completion.
    pub async fn cancelled(&self) {
        self.disconnected().await;
        while !self.is_unsent() {
            self.returned.notified().await;
        }
    }
}
