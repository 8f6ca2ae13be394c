//! The assignment of slots to limiters, and the loans of this instance's shares to them.

use {
    super::{Quotas, observe},
    crate::{
        count::Count,
        instance::{Instance, Micros, micros},
        message::{QuotaLoan, Request, Response},
    },
    pondtrack_core::{
        placement::{self, Candidate},
        quota::{MIN_RENEWAL_INTERVAL, Offer, OfferReply, SlotSet, Timestamp},
    },
    pondtrack_proto::Name,
    std::{rc::Rc, time::Duration},
    tokio::time::{sleep, timeout},
};

/// The longest delay between two lending rounds until every share is lent to its limiter.
const MAX_PLACEMENT_DELAY: Duration = Duration::from_millis(50);
/// The shortest delay between two lending rounds.
const MIN_DELAY: Duration = Duration::from_millis(5);
/// The number of periods without a response from any other instance after which an instance becomes its own limiter.
const ISOLATION_PERIODS: u64 = 3;
/// The time after its start from which an instance that joins others lends a share of its own. Until the others know
/// it, they divide the limits among fewer instances. Instances discover each other within 7 s.
const LENDING_DELAY: Duration = Duration::from_millis(8_000);
/// The time after its start from which a process without a response from another instance may act as the only one,
/// unless the whole fleet starts for the first time. The store may have been restored from a copy without the other
/// instances' entries, which are rewritten within this time.
const SOLE_INSTANCE_DELAY: Duration = Duration::from_millis(4_000);

impl Quotas {
    /// Handles a loan of shares from another instance or from this one.
    pub fn handle_loan(&self, inst: &Instance, loan: &QuotaLoan) -> Response {
        let now = inst.now();
        let leaving = inst.draining_since().is_some();
        if loan.from != inst.settings.name {
            inst.counters.increment(Count::Lent);
        }
        let slots = if leaving { SlotSet::default() } else { loan.slots };
        let mut limiter = self.limiter.borrow_mut();
        let offer = Offer { slots, share: loan.share, since: loan.since, duration: loan.duration };
        let answer = limiter.accept_offer(&loan.from, loan.seq, offer, now);
        let version = inst.config().map(|config| config.version);
        let age = inst.config_staleness().map(|age| (age / 1_000) as u32);
        let count = self.counted.get().max as u32;
        Response::Lent { answer, stamp: limiter.timestamp(now), leaving, count, confirmed: version.zip(age) }
    }

    /// Counts the instances that share the limits, and assigns a limiter to each slot.
    pub(super) fn assign_limiters(&self, inst: &Instance) {
        let Some(peers) = inst.peers() else { return };
        let now = inst.now();
        observe(&self.counted, peers.len() + 1, now);
        let me = &inst.settings.name;
        let unreachable: Vec<Name> = self.renewals.borrow().lost().cloned().collect();
        let silence = now.saturating_sub(self.last_response_at.get());
        let is_isolated =
            !unreachable.is_empty() && silence >= ISOLATION_PERIODS * self.renewals.borrow().interval();
        let is_reachable = |name: &Name| !is_isolated && !unreachable.contains(name);
        let own = inst.own_candidate();
        let mut all: Vec<Candidate<'_>> = peers.iter().map(|peer| inst.candidate(peer)).collect();
        let mut available = all.clone();
        available.retain(|candidate| is_reachable(candidate.name));
        if inst.draining_since().is_none() || available.is_empty() {
            available.push(own);
        }
        all.push(own);
        let best = |slot: usize, candidates: &[Candidate<'_>]| {
            placement::pick(&format!("limit {slot}"), candidates).unwrap_or(me).clone()
        };
        let limiters = std::array::from_fn(|slot| best(slot, &available));
        let preferred = std::array::from_fn(|slot| best(slot, &all));
        let index = peers.partition_point(|peer| peer.name < *me);
        let mut renewals = self.renewals.borrow_mut();
        renewals.set_fleet(index, self.instance_count(now));
        if let Some(old) = self.limiters.replace(Some(limiters.clone())) {
            renewals.reassigned(&old, &limiters, now);
        }
        *self.preferred.borrow_mut() = Some(preferred);
    }

    /// The limiter of each slot in this instance's view; none until the other instances are known.
    pub fn limiters(&self) -> Option<Vec<Name>> {
        self.limiters.borrow().as_ref().map(|limiters| limiters.to_vec())
    }

    /// This instance's share of each limit, from 0 to 1.
    fn share(&self, inst: &Instance, now: Micros) -> f64 {
        let has_joined = !self.is_joining.get() || now >= micros(LENDING_DELAY);
        let maybe_sole = self.last_response_at.get() == 0 && now < micros(SOLE_INSTANCE_DELAY);
        if !has_joined || maybe_sole && !inst.settings.first_start {
            return 0.0;
        }
        1.0 / self.instance_count(now) as f64
    }

    /// The number of instances that share the limits.
    fn instance_count(&self, now: Micros) -> usize {
        let reported =
            Some(self.reported.get()).filter(|count| !count.is_stale(now)).map_or(0, |count| count.max);
        self.counted.get().max.max(reported).max(1)
    }

    /// Builds the loan message for an instance, with the shares of the slots whose limiter it is.
    fn loan(&self, inst: &Instance, to: &Name) -> QuotaLoan {
        let now = inst.now();
        let timestamps = self.timestamps.borrow();
        let since = timestamps.binary_search_by(|entry| entry.0.cmp(to)).ok().map(|i| timestamps[i].1);
        let share = self.share(inst, now);
        let term = self.lender.borrow_mut().raise_duration(self.renewals.borrow().loan_duration());
        let mut slots = SlotSet::default();
        if since.is_some()
            && share > 0.0
            && let (Some(limiters), Some(preferred)) = (&*self.limiters.borrow(), &*self.preferred.borrow())
        {
            for (slot, _) in limiters.iter().enumerate().filter(|entry| entry.1 == to) {
                if self.lender.borrow_mut().lend(slot, to, preferred[slot] == *to, now) {
                    slots.insert(slot);
                }
            }
        }
        self.seq.set(self.seq.get().max(now) + 1);
        let from = inst.settings.name.clone();
        QuotaLoan { from, seq: self.seq.get(), slots, share, since, duration: term }
    }

    /// Applies an instance's reply to a loan. Returns true if the loan is incomplete and another message, sent
    /// immediately, can complete it.
    fn apply_reply(
        &self,
        from: &Name,
        sent: SlotSet,
        reply: OfferReply,
        timestamp: Timestamp,
        now: Micros,
    ) -> bool {
        let returned = self.lender.borrow_mut().apply_reply(from, reply);
        if let Some(limiters) = &*self.limiters.borrow() {
            let mut renewals = self.renewals.borrow_mut();
            // The instance that has just replied gets its next message at its regular time.
            let slots =
                limiters.iter().enumerate().filter(|entry| returned.contains(entry.0) && entry.1 != from);
            slots.for_each(|entry| renewals.schedule_by(entry.1, now));
        }
        let mut timestamps = self.timestamps.borrow_mut();
        let same_process = match timestamps.binary_search_by(|entry| entry.0.cmp(from)) {
            Ok(i) => std::mem::replace(&mut timestamps[i].1, timestamp).process == timestamp.process,
            Err(i) => {
                timestamps.insert(i, (from.clone(), timestamp));
                false
            }
        };
        !same_process || !reply.is_ignored && reply.used != sent
    }

    /// The delay until the next lending round.
    pub fn next_delay(&self, inst: &Instance) -> Duration {
        if inst.config().is_some_and(|config| config.organisations.is_none()) {
            return Duration::from_micros(MIN_RENEWAL_INTERVAL);
        }
        let now = inst.now();
        let limiters = self.limiters.borrow();
        let placed = limiters.as_ref().is_some_and(|limiters| self.lender.borrow().is_placed(limiters, now));
        let is_settled = placed || limiters.is_some() && self.share(inst, now) == 0.0;
        let max_delay =
            if is_settled { Duration::from_micros(MIN_RENEWAL_INTERVAL) } else { MAX_PLACEMENT_DELAY };
        let next = self.renewals.borrow().next_delay(now).map_or(max_delay, Duration::from_micros);
        next.clamp(MIN_DELAY, max_delay)
    }

    /// Returns the instances, other than this one, whose next loan message is due. A message is sent to the current
    /// limiters, to instances that hold an unexpired loan of a share now assigned to another limiter and are asked to
    /// release it, and to lost limiters, to notice when they are back.
    fn recipients(&self, inst: &Instance) -> Vec<Name> {
        let now = inst.now();
        let Some(limiters) = self.limiters.borrow().clone() else { return Vec::new() };
        let lender = self.lender.borrow();
        let mut renewals = self.renewals.borrow_mut();
        let mut names = lender.stale_holders(&limiters, now);
        names.extend(renewals.lost().filter(|name| inst.peer(name).is_some()).cloned());
        let releases = lender.release_times(&limiters, now);
        names.extend(limiters);
        names.retain(|name| *name != inst.settings.name);
        names.sort_unstable();
        names.dedup();
        releases.iter().for_each(|release| renewals.schedule_by(&release.0, release.1));
        renewals.take_due(&names, now)
    }

    /// Records that an instance can't be a limiter for now.
    fn record_failure(&self, inst: &Instance, name: &Name) {
        inst.counters.increment(Count::LimiterLost);
        self.renewals.borrow_mut().record_failure(name, inst.random(u64::MAX), inst.now());
    }
}

/// Lends this instance's shares to limiters in rounds. Never returns.
pub async fn run(inst: Rc<Instance>) {
    loop {
        sleep(inst.quotas.next_delay(&inst)).await;
        let has_organisations = inst.config().is_some_and(|config| config.organisations.is_some());
        if !has_organisations {
            continue;
        }
        inst.quotas.assign_limiters(&inst);
        inst.quotas.limiter.borrow_mut().evict_idle(inst.now());
        inst.quotas.refusals.borrow_mut().evict_expired(inst.now());
        lend_locally(&inst);
        for name in inst.quotas.recipients(&inst) {
            tokio::task::spawn_local(lend(inst.clone(), name));
        }
    }
}

/// Lends shares to this instance's own limiter. The first message only yields the limiter's timestamp; the second
/// lends.
fn lend_locally(inst: &Instance) {
    let quotas = &inst.quotas;
    let me = &inst.settings.name;
    for _ in 0..2 {
        let loan = quotas.loan(inst, me);
        let Response::Lent { answer, stamp, .. } = quotas.handle_loan(inst, &loan) else { return };
        if !quotas.apply_reply(me, loan.slots, answer, stamp, inst.now()) {
            return;
        }
    }
}

/// Lends shares to another instance, or recalls them.
async fn lend(inst: Rc<Instance>, to: Name) {
    let quotas = &inst.quotas;
    for _ in 0..2 {
        let Some(peer) = inst.peer(&to) else { break };
        let loan = quotas.loan(&inst, &to);
        let (sent, sent_at) = (loan.slots, inst.now());
        let reply_timeout = Duration::from_micros(quotas.renewals.borrow().timeout());
        match timeout(reply_timeout, peer.request(&inst, Request::Lend(loan))).await {
            Ok(Response::Lent { answer, stamp, leaving, count, confirmed }) => {
                quotas.last_response_at.set(inst.now());
                observe(&quotas.reported, count as usize, inst.now());
                confirm_config(&inst, confirmed, sent_at);
                let incomplete = quotas.apply_reply(&to, sent, answer, stamp, inst.now());
                if leaving {
                    quotas.record_failure(&inst, &to);
                    break;
                }
                let was_lost = quotas.renewals.borrow_mut().record_reply(&to, inst.now());
                if was_lost {
                    quotas.assign_limiters(&inst);
                }
                if !incomplete {
                    break;
                }
            }
            Ok(_) | Err(_) => {
                quotas.record_failure(&inst, &to);
                break;
            }
        }
    }
    quotas.renewals.borrow_mut().complete(&to);
}

/// Confirms the configuration in force if another instance reports that the same or an older version was the newest at
/// some time. The reported age counts from `sent_at`, when the request was sent, as the age was measured after that.
fn confirm_config(inst: &Instance, confirmed: Option<(u64, u32)>, sent_at: Micros) {
    let known = inst.config().map_or(0, |config| config.version);
    if let Some((version, age_ms)) = confirmed
        && version <= known
    {
        inst.confirm_config(sent_at.saturating_sub(u64::from(age_ms) * 1_000));
    }
}
