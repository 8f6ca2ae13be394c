//! Writes outside a transaction, and the gate that every answer of the primary passes.

use {
    super::{ATTEMPTS, BACKOFF, Exchange, Fail, Pinned, Ran, Task, give, same_primary},
    crate::home::{Gated, keyed, pool::Lease},
    pondtrack_core::retry::Backoff,
    pondtrack_edge::contract::{Order, Role},
    pondtrack_proto::{Class, Name, TxnState},
};

impl Task<'_> {
    /// Anything outside a transaction that needs the primary.
    pub(super) async fn write(&self) -> (Result<Ran, Fail>, Option<Box<Pinned>>) {
        let issued = match self.req.key.as_ref().map(keyed::check).transpose() {
            Ok(it) => it,
            Err(e) => return (Err(e), None),
        };
        let mut last = Fail::Again { reason: "the group has no usable primary".into(), server: None };
        let mut backoff = Backoff::new(BACKOFF.0, BACKOFF.1);
        for attempt in 0..ATTEMPTS {
            if attempt > 0 && !self.may_retry(&mut backoff, false).await {
                break;
            }
            let out = match (&self.req.key, issued, self.req.class) {
                (Some(key), Some(issued), Class::Write) => (self.write_keyed(key, issued).await, None),
                (Some(key), Some(issued), Class::Begin) => self.begin_keyed(key, issued).await,
                _ => self.write_plain().await,
            };
            let keyed = self.req.key.is_some() && self.req.class == Class::Write;
            match out.0 {
                Err(fail @ Fail::Again { .. }) if self.node.now() < self.deadline => last = fail,
                // A repeat meets the ledger, so a keyed request may be sent twice.
                Err(fail @ Fail::Broken { .. }) if keyed && self.node.now() < self.deadline => last = fail,
                _ => return out,
            }
        }
        (Err(last), None)
    }

    pub(super) async fn write_plain(&self) -> (Result<Ran, Fail>, Option<Box<Pinned>>) {
        let (server, mut lease) = match self.lend_primary().await {
            Ok(it) => it,
            Err(e) => return (Err(e), None),
        };
        let it = match self.run(&mut lease, Some(Order::Position), &self.req.frames, &[]).await {
            Ok(it) => it,
            Err(Fail::Broken { reason, .. }) if !self.lasts() => {
                // Nothing was committed: the server rolls back what its connection's end leaves open.
                return (Err(Fail::Again { reason, server: None }), None);
            }
            Err(Fail::Broken { reason, before: Some(before) }) => {
                drop(lease);
                return (self.resolve_unanswered(reason, before).await, None);
            }
            Err(e) => return (Err(e), None),
        };
        self.acknowledge(server, lease, it, None).await
    }

    /// Whether the request may leave something behind when it has run.
    pub(super) fn lasts(&self) -> bool {
        !matches!(self.req.class, Class::Begin | Class::Rollback)
    }

    /// Holds an answer until a majority has what it stands for.
    pub(super) async fn acknowledge(
        &self,
        server: usize,
        lease: Lease,
        it: Exchange,
        key: Option<Name>,
    ) -> (Result<Ran, Fail>, Option<Box<Pinned>>) {
        let failed = it.answer.error.is_some();
        let txn = it.answer.txn;
        if let (Some(before), Some(_)) = (it.before, it.after)
            && before.role != Role::Primary
        {
            // It ran on a server that was no primary, which takes no writes.
            return (Err(Fail::Again { reason: "the primary was superseded".into(), server: None }), None);
        }
        let Some(shown) = same_primary(&it) else {
            let out = match self.lasts() && !failed {
                true => self.resolve(it).await,
                false => Err(Fail::Again { reason: "the primary was superseded".into(), server: None }),
            };
            return (out, None);
        };
        match self.home.gated(self.node, shown, self.deadline).await {
            Gated::Open => give(server, lease, it.answer, shown, key),
            Gated::Broken | Gated::Late if txn != TxnState::Idle || failed || !self.lasts() => {
                (Err(Fail::Again { reason: "the primary was superseded".into(), server: None }), None)
            }
            Gated::Broken => (self.resolve(it).await, None),
            Gated::Late => {
                let reason = "no majority of servers received the write in time".into();
                (Err(Fail::Broken { reason, before: it.before }), None)
            }
        }
    }
}
