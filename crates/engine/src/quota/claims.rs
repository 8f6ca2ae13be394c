//! Operations that wait for a limiter's word.

use {
    super::{LIMIT, Quotas, UNPLACED},
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

/// An operation that waits for a limiter's word.
pub(super) struct Waiting {
    organisation: Name,
    urgency: Option<Urgency>,
    word: oneshot::Sender<Grant>,
}

impl Quotas {
    /// Asks a limiter for an operation, together with others that come meanwhile.
    pub(super) async fn ask(
        &self,
        inst: &Rc<Instance>,
        limiter: Name,
        organisation: &Name,
        urgency: Option<Urgency>,
    ) -> Grant {
        let (word, got) = oneshot::channel();
        if self.put_queue(&limiter, Waiting { organisation: organisation.clone(), urgency, word }) {
            tokio::task::spawn_local(ask_all(inst.clone(), limiter));
        }
        got.await.unwrap_or(UNPLACED)
    }

    /// Adds an operation to those that wait for a limiter; says whether nobody works on its list yet.
    fn put_queue(&self, limiter: &Name, it: Waiting) -> bool {
        let mut queues = self.queues.borrow_mut();
        match queues.iter_mut().find(|it| it.0 == *limiter) {
            Some((_, waiting)) => {
                waiting.push(it);
                false
            }
            None => {
                queues.push((limiter.clone(), vec![it]));
                true
            }
        }
    }

    /// The operations that wait for a limiter; none ends the work on its list.
    fn take_queue(&self, limiter: &Name) -> Option<Vec<Waiting>> {
        let mut queues = self.queues.borrow_mut();
        let at = queues.iter().position(|it| it.0 == *limiter)?;
        let waiting = std::mem::take(&mut queues[at].1);
        if waiting.is_empty() {
            queues.remove(at);
            return None;
        }
        Some(waiting)
    }
}

/// Asks a limiter for operations as long as any wait for it.
async fn ask_all(inst: Rc<Instance>, limiter: Name) {
    let limit = &inst.quotas;
    while let Some(mut waiting) = limit.take_queue(&limiter) {
        // Whoever has stopped waiting needs no token.
        waiting.retain(|it| !it.word.is_closed());
        if waiting.is_empty() {
            continue;
        }
        waiting.sort_by(|a, b| (&a.organisation, a.urgency).cmp(&(&b.organisation, b.urgency)));
        let claims: Vec<Claim> = waiting
            .chunk_by(|a, b| a.organisation == b.organisation && a.urgency == b.urgency)
            .map(|it| {
                let demand = Demand { count: it.len() as u32, urgency: it[0].urgency };
                Claim { organisation: it[0].organisation.clone(), demand }
            })
            .collect();
        let told = match inst.peer(&limiter) {
            Some(peer) => timeout(LIMIT, peer.ask(&inst, Request::Claim(claims.clone()))).await.ok(),
            None => None,
        };
        let grants = match told {
            Some(Response::Granted(it)) if it.len() == claims.len() => it,
            _ => {
                limit.pacing.borrow_mut().record_timeout(&limiter, inst.random(u64::MAX), inst.now());
                limit.place(&inst);
                vec![UNPLACED; claims.len()]
            }
        };
        let mut waiting = waiting.into_iter();
        for (claim, grant) in claims.iter().zip(grants) {
            let all = waiting.by_ref().take(claim.demand.count as usize);
            hand_out(&inst, all.map(|it| it.word), grant);
        }
    }
}

/// Tells those who were claimed for together. The token of one that has stopped waiting is the next one's; if there is none,
/// it is left unused.
fn hand_out(inst: &Instance, words: impl Iterator<Item = oneshot::Sender<Grant>>, grant: Grant) {
    let mut told = 0;
    for (n, word) in words.enumerate() {
        let (first, own) = (grant.nth(told), grant.nth(n as u32));
        if word.send(first).is_ok() {
            told += 1;
            if matches!((first, own), (Grant::Granted { .. }, Grant::Refused(_))) {
                inst.counters.increment(Count::PassedOn);
            }
        }
    }
}
