//! Claims at remote limiters, sent in batches.

use {
    super::{CLAIM_TIMEOUT, NO_LIMITER, Quotas},
    crate::{
        count::Count,
        instance::Instance,
        message::{Claim, Request, Response},
    },
    pondtrack_core::quota::{Demand, Grant, Urgency},
    pondtrack_proto::Name,
    std::rc::Rc,
    tokio::{sync::oneshot, time::timeout},
};

/// An operation that waits for a limiter's grant.
pub(super) struct PendingClaim {
    organisation: Name,
    urgency: Option<Urgency>,
    reply: oneshot::Sender<Grant>,
}

impl Quotas {
    /// Claims an operation at a remote limiter. Claims that arrive while a request is in flight share the next request.
    pub(super) async fn claim_remote(
        &self,
        inst: &Rc<Instance>,
        limiter: Name,
        organisation: &Name,
        urgency: Option<Urgency>,
    ) -> Grant {
        let (reply, grant) = oneshot::channel();
        if self.enqueue(&limiter, PendingClaim { organisation: organisation.clone(), urgency, reply }) {
            tokio::task::spawn_local(send_claims(inst.clone(), limiter));
        }
        grant.await.unwrap_or(NO_LIMITER)
    }

    /// Queues a claim for a limiter. Returns true if no task sends the limiter's claims yet.
    fn enqueue(&self, limiter: &Name, claim: PendingClaim) -> bool {
        let mut pending = self.pending.borrow_mut();
        match pending.iter_mut().find(|entry| entry.0 == *limiter) {
            Some((_, queue)) => {
                queue.push(claim);
                false
            }
            None => {
                pending.push((limiter.clone(), vec![claim]));
                true
            }
        }
    }

    /// Takes the queued claims for a limiter. Removes the queue and returns none if it is empty; the task then ends.
    fn take_queue(&self, limiter: &Name) -> Option<Vec<PendingClaim>> {
        let mut pending = self.pending.borrow_mut();
        let i = pending.iter().position(|entry| entry.0 == *limiter)?;
        let queue = std::mem::take(&mut pending[i].1);
        if queue.is_empty() {
            pending.remove(i);
            return None;
        }
        Some(queue)
    }
}

/// Sends the queued claims for a limiter until its queue is empty.
async fn send_claims(inst: Rc<Instance>, limiter: Name) {
    let quotas = &inst.quotas;
    while let Some(mut queue) = quotas.take_queue(&limiter) {
        // Operations that have been cancelled need no token.
        queue.retain(|claim| !claim.reply.is_closed());
        if queue.is_empty() {
            continue;
        }
        queue.sort_by(|a, b| (&a.organisation, a.urgency).cmp(&(&b.organisation, b.urgency)));
        let claims: Vec<Claim> = queue
            .chunk_by(|a, b| a.organisation == b.organisation && a.urgency == b.urgency)
            .map(|same| {
                let demand = Demand { count: same.len() as u32, urgency: same[0].urgency };
                Claim { organisation: same[0].organisation.clone(), demand }
            })
            .collect();
        let response = match inst.peer(&limiter) {
            Some(peer) => {
                timeout(CLAIM_TIMEOUT, peer.request(&inst, Request::Claim(claims.clone()))).await.ok()
            }
            None => None,
        };
        let grants = match response {
            Some(Response::Granted(grants)) if grants.len() == claims.len() => grants,
            _ => {
                quotas.renewals.borrow_mut().record_timeout(&limiter, inst.random(u64::MAX), inst.now());
                quotas.assign_limiters(&inst);
                vec![NO_LIMITER; claims.len()]
            }
        };
        let mut queue = queue.into_iter();
        for (claim, grant) in claims.iter().zip(grants) {
            let batch = queue.by_ref().take(claim.demand.count as usize);
            distribute(&inst, batch.map(|claim| claim.reply), grant);
        }
    }
}

/// Distributes a grant among the operations of one claim. The token of a cancelled operation goes to the next
/// operation; after the last one it stays unused.
fn distribute(inst: &Instance, replies: impl Iterator<Item = oneshot::Sender<Grant>>, grant: Grant) {
    let mut delivered = 0;
    for (n, reply) in replies.enumerate() {
        let (actual, own) = (grant.nth(delivered), grant.nth(n as u32));
        if reply.send(actual).is_ok() {
            delivered += 1;
            if matches!((actual, own), (Grant::Granted { .. }, Grant::Refused(_))) {
                inst.counters.increment(Count::PassedOn);
            }
        }
    }
}
