//! Maintenance of a group's list of servers from the directory.

use {
    super::Group,
    crate::{
        count::Count,
        instance::{Instance, Micros, micros},
        model::{Role, Server},
        order::poll_status,
        settings::MAX_FAILOVER_TIME,
        upstream::Upstream,
    },
    pondtrack_core::recovery::Recovery,
    pondtrack_proto::Name,
    std::rc::Rc,
    tokio::time::Instant,
};

impl Group {
    /// Adds or updates a server's directory entry.
    ///
    /// Starts a polling task for a new server and for a new process of a known one.
    pub fn upsert_server(self: &Rc<Self>, inst: &Rc<Instance>, server: Server) {
        let Some(up) = self.find_server(&server.id) else { return self.add_server(inst, server, None) };
        if up.entry().incarnation != server.incarnation {
            return self.replace_process(inst, &up, server);
        }
        let promoted = server.role == Some(Role::Primary) && up.entry().role != server.role;
        up.missing_since.set(None);
        if up.removed.replace(false) {
            // The polling task ended when the server was removed.
            tokio::task::spawn_local(poll_status(inst.clone(), self.clone(), up.clone()));
        }
        up.draining_since.set(server.draining.then(|| up.draining_since.get().unwrap_or(inst.now())));
        *up.entry.borrow_mut() = Rc::new(server);
        if promoted && self.is_used() {
            up.request_status();
        }
        self.changed.notify_waiters();
    }

    /// The latest known process of a server.
    pub(super) fn find_server(&self, id: &Name) -> Option<Rc<Upstream>> {
        let servers = self.servers.borrow();
        servers.iter().find(|s| !s.superseded.get() && s.entry().id == *id).cloned()
    }

    /// Replaces a server's process by a later one.
    ///
    /// Discards the evidence from the earlier process, also if its directory entry is received again.
    pub(super) fn replace_process(self: &Rc<Self>, inst: &Rc<Instance>, old: &Rc<Upstream>, server: Server) {
        let now = inst.now();
        let (id, run, before) = (server.id.as_str(), server.incarnation, old.entry().incarnation);
        log::info!(group = self.name.as_str(), server = id, run:% = run, before:% = before; "started again");
        inst.counters.increment(Count::Restarts);
        old.superseded.set(true);
        old.removed.set(true);
        old.pool.trim(Instant::now(), true);
        self.reset_evidence(old, now);
        // Wakes the polling task, which then ends.
        old.request_status();
        self.add_server(inst, server, Some(Recovery::new(now, micros(MAX_FAILOVER_TIME))));
        self.changed.notify_waiters();
    }

    /// Records that a server's directory entry was removed. The server itself is removed if the entry stays missing.
    pub fn mark_missing(&self, id: &Name, now: Micros) {
        if let Some(server) = self.find_server(id) {
            server.missing_since.set(server.missing_since.get().or(Some(now)));
            // A draining server that no longer answers has left.
            if self.is_used() {
                server.request_status();
            }
        }
    }

    /// Removes the servers whose entries have been missing since before `limit`, and draining servers with a missing entry
    /// that no longer answer. Returns their ids.
    pub fn remove_expired(&self, limit: Micros) -> Vec<Name> {
        let mut removed = Vec::new();
        for server in self.servers().iter().filter(|s| s.is_expired(limit)) {
            server.removed.set(true);
            server.pool.trim(Instant::now(), true);
            if self.primary.get() == Some(server.index) {
                self.clear_primary(limit);
            }
            // Wakes the polling task, which then ends.
            server.request_status();
            removed.push(server.entry().id.clone());
        }
        removed
    }

    pub(super) fn add_server(
        self: &Rc<Self>,
        inst: &Rc<Instance>,
        server: Server,
        recovery: Option<Recovery>,
    ) {
        let index = self.servers.borrow().len();
        let up = Rc::new(Upstream::new(index, server, inst.clock));
        if recovery.is_some() {
            up.recovery.set(recovery);
            up.log_lost_at.set(inst.now());
        }
        self.servers.borrow_mut().push(up.clone());
        self.freshness.borrow_mut().grow(index + 1);
        self.gate.borrow_mut().grow(index + 1);
        self.request_initial_status(inst, &up);
        tokio::task::spawn_local(poll_status(inst.clone(), self.clone(), up));
    }

    /// Requests the status of a new server if this instance is one of its homes.
    ///
    /// Other instances request the status once they have callers for the group: at a start, requests from each of hundreds
    /// of instances to each of hundreds of servers would be too many.
    pub(super) fn request_initial_status(&self, inst: &Instance, up: &Upstream) {
        inst.update_placement(up);
        let home = inst.peers().is_some() && inst.is_configured(&self.name) && up.is_directly_reachable();
        if home || self.is_used() {
            up.request_status();
        }
    }

    /// Calls `request_initial_status` for all servers, once the other instances are known.
    pub fn request_initial_statuses(&self, inst: &Instance) {
        for up in self.servers() {
            self.request_initial_status(inst, &up);
        }
    }
}
