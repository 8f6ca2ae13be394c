//! Which servers a group has, as the directory lists them.

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
    /// Takes a server's entry in; a new server, and a new run of a known one, gets a task that asks it.
    pub fn upsert_server(self: &Rc<Self>, inst: &Rc<Instance>, server: Server) {
        let Some(it) = self.find_server(&server.id) else { return self.add_server(inst, server, None) };
        if it.entry().incarnation != server.incarnation {
            return self.replace_process(inst, &it, server);
        }
        let hint = server.role == Some(Role::Primary) && it.entry().role != server.role;
        it.missing_since.set(None);
        if it.removed.replace(false) {
            // Its task has ended.
            tokio::task::spawn_local(poll_status(inst.clone(), self.clone(), it.clone()));
        }
        it.draining_since.set(server.draining.then(|| it.draining_since.get().unwrap_or(inst.now())));
        *it.entry.borrow_mut() = Rc::new(server);
        if hint && self.is_used() {
            it.request_status();
        }
        self.changed.notify_waiters();
    }

    /// The present run of a server, as far as it is known here.
    pub(super) fn find_server(&self, id: &Name) -> Option<Rc<Upstream>> {
        let servers = self.servers.borrow();
        servers.iter().find(|it| !it.superseded.get() && it.entry().id == *id).cloned()
    }

    /// A server has started again. Nothing of what its earlier run showed counts, nor will it if an entry of that run
    /// comes once more.
    pub(super) fn replace_process(self: &Rc<Self>, inst: &Rc<Instance>, old: &Rc<Upstream>, server: Server) {
        let now = inst.now();
        let (id, run, before) = (server.id.as_str(), server.incarnation, old.entry().incarnation);
        log::info!(group = self.name.as_str(), server = id, run:% = run, before:% = before; "started again");
        inst.counters.increment(Count::Restarts);
        old.superseded.set(true);
        old.removed.set(true);
        old.pool.trim(Instant::now(), true);
        self.reset_evidence(old, now);
        // Its task ends.
        old.request_status();
        self.add_server(inst, server, Some(Recovery::new(now, micros(MAX_FAILOVER_TIME))));
        self.changed.notify_waiters();
    }

    /// A server's entry was removed; it counts as gone if it stays away.
    pub fn mark_missing(&self, id: &Name, now: Micros) {
        if let Some(it) = self.find_server(id) {
            it.missing_since.set(it.missing_since.get().or(Some(now)));
            // Whether it still answers shows whether it has left.
            if self.is_used() {
                it.request_status();
            }
        }
    }

    /// Servers whose entries have been missing since before `limit` are gone, and those that had said that they
    /// leave and don't answer any longer. Hands their ids back.
    pub fn remove_expired(&self, limit: Micros) -> Vec<Name> {
        let mut gone = Vec::new();
        for it in self.servers().iter().filter(|it| it.is_expired(limit)) {
            it.removed.set(true);
            it.pool.trim(Instant::now(), true);
            if self.primary.get() == Some(it.index) {
                self.clear_primary(limit);
            }
            // Its task ends.
            it.request_status();
            gone.push(it.entry().id.clone());
        }
        gone
    }

    pub(super) fn add_server(
        self: &Rc<Self>,
        inst: &Rc<Instance>,
        server: Server,
        recovery: Option<Recovery>,
    ) {
        let index = self.servers.borrow().len();
        let it = Rc::new(Upstream::new(index, server, inst.clock));
        if recovery.is_some() {
            it.recovery.set(recovery);
            it.log_lost_at.set(inst.now());
        }
        self.servers.borrow_mut().push(it.clone());
        self.freshness.borrow_mut().grow(index + 1);
        self.gate.borrow_mut().grow(index + 1);
        self.request_initial_status(inst, &it);
        tokio::task::spawn_local(poll_status(inst.clone(), self.clone(), it));
    }

    /// Asks a server that is new here, if this instance is one of its homes. Others ask once they have callers for
    /// it: each of hundreds of instances asking each of hundreds of servers would be too much at a start.
    pub(super) fn request_initial_status(&self, inst: &Instance, it: &Upstream) {
        inst.update_placement(it);
        let home = inst.peers().is_some() && inst.is_configured(&self.name) && it.is_reachable();
        if home || self.is_used() {
            it.request_status();
        }
    }

    /// The same for all its servers, once it is known which other instances there are.
    pub fn request_initial_statuses(&self, inst: &Instance) {
        for it in self.servers() {
            self.request_initial_status(inst, &it);
        }
    }
}
