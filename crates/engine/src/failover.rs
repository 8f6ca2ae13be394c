//! Failover: detects failed primaries and replaces them.
//!
//! The holder of the [`crate::lease`] monitors each group's primary. To replace the primary, the holder selects the
//! replica with the longest log as the candidate and pauses replication on all other replicas. From then on, the old
//! primary's commits can only be acknowledged, and its reads only confirmed, by the candidate; both end when the
//! candidate is promoted. No acknowledged commit is lost, and the old primary needn't be reachable. If a replica can't
//! be paused, the old primary must step down before the promotion; if neither is possible, no server is promoted.

use {
    self::attempt::Attempt,
    crate::{
        group::Group,
        instance::{Instance, Micros, micros},
        model::{Order, Role, Status},
        order::send_order,
        upstream::Upstream,
    },
    pondtrack_proto::{Lsn, Name},
    std::{rc::Rc, time::Duration},
    strum::{Display, IntoStaticStr},
    tokio::time::{Instant, sleep},
};

mod attempt;

/// Interval at which the groups are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time since the last contact after which a primary's status is requested.
const PRIMARY_STATUS_INTERVAL: Duration = Duration::from_millis(300);
/// Maximum age of a replica's status, whose log position is compared with the primary's.
const REPLICA_STATUS_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time without an answer after which a primary is considered failed. An answer behind long statements may take 400 ms.
const PRIMARY_TIMEOUT: Duration = Duration::from_millis(500);
/// Primary timeout of an instance that has just started. When all processes restart after a power loss, servers are
/// busy accepting connections, and a status request may wait for a second.
const STARTUP_PRIMARY_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Uptime below which an instance counts as just started.
const STARTUP_PERIOD: Duration = Duration::from_secs(5);
/// Time for which a primary's address must refuse connections before the primary is considered failed. The time is
/// short because a refusal means that the process has ended.
const REFUSED_TIMEOUT: Duration = Duration::from_millis(150);
/// Time without a known primary after which a replica is promoted.
const ABSENT_TIMEOUT: Duration = Duration::from_millis(600);
/// Time without replication progress on any replica after which a primary is replaced.
const STALL_TIMEOUT: Duration = Duration::from_millis(700);
/// Delay after a failed failover of a group.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// The reason for a failover.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
enum Cause {
    /// The primary is draining.
    Leaving,
    /// The primary's address refuses connections.
    Refused,
    /// The primary doesn't answer.
    Silent,
    /// No replica receives the primary's log.
    Stalled,
    /// No primary is known.
    Absent,
}

/// The reason why a failover failed.
type Failure = &'static str;

/// The condition that triggered a failover.
#[derive(Clone, Copy, Debug)]
struct Trigger {
    cause: Cause,
    /// The primary's position that no replica is known to have received.
    unreplicated: Option<Lsn>,
}

/// A failover in progress. While there is one, the lease isn't released: an order may still be in flight.
struct RunningFailover(Rc<Instance>);

impl RunningFailover {
    fn start(inst: &Rc<Instance>) -> RunningFailover {
        inst.failovers.set(inst.failovers.get() + 1);
        RunningFailover(inst.clone())
    }
}

impl Drop for RunningFailover {
    fn drop(&mut self) {
        self.0.failovers.set(self.0.failovers.get() - 1);
        self.0.failover_ended.notify_waiters();
    }
}

/// Monitors the groups while this instance holds the lease and isn't draining, and starts failovers. Never returns.
pub async fn run(inst: Rc<Instance>) {
    let mut monitors: Vec<Monitor> = Vec::new();
    loop {
        sleep(CHECK_INTERVAL).await;
        if inst.fencing_token().is_none() || inst.draining_since().is_some() {
            monitors.clear();
            continue;
        }
        for group in inst.groups().into_iter().filter(|group| inst.is_configured(&group.name)) {
            let at = monitors.binary_search_by(|m| m.group.name.cmp(&group.name)).unwrap_or_else(|at| {
                monitors.insert(at, Monitor::new(group.clone(), inst.now()));
                at
            });
            monitors[at].check(&inst);
        }
        inst.leaders.sync(&inst);
    }
}

/// A position of the primary that no replica is known to have received.
#[derive(Clone, Copy)]
struct Unreplicated {
    since: Micros,
    position: Lsn,
}

/// Failure detector of a group.
struct Monitor {
    group: Rc<Group>,
    /// Time at which monitoring began.
    since: Micros,
    unreplicated: Option<Unreplicated>,
    /// The last failover of the group, which may have ended.
    task: Option<tokio::task::JoinHandle<()>>,
}

impl Monitor {
    fn new(group: Rc<Group>, now: Micros) -> Monitor {
        Monitor { group, since: now, unreplicated: None, task: None }
    }

    /// Updates the evidence about the group and starts a failover if there is a cause and none is running.
    fn check(&mut self, inst: &Rc<Instance>) {
        let now = inst.now();
        request_statuses(&self.group, now);
        self.compare_logs(now);
        if self.task.as_ref().is_some_and(|task| !task.is_finished()) {
            return;
        }
        match self.cause(now) {
            Some(cause) => {
                let unreplicated = self.unreplicated.map(|u| u.position);
                let failover = fail_over(inst.clone(), self.group.clone(), Trigger { cause, unreplicated });
                self.task = Some(tokio::task::spawn_local(failover));
                self.unreplicated = None;
            }
            None => clean_up(inst, &self.group, now),
        }
    }

    /// Compares the replicas' log positions with the primary's.
    fn compare_logs(&mut self, now: Micros) {
        let Some(primary) = self.group.primary() else {
            self.unreplicated = None;
            return;
        };
        let servers = self.group.servers();
        let term = self.group.term();
        let counts = |s: &&Rc<Upstream>| s.index != primary.index && self.group.counts_for_quorum(s, term);
        let replicas: Vec<_> = servers.iter().filter(counts).collect();
        let replicated = replicas.iter().filter_map(|s| s.status()).map(|s| s.1.received.lsn).max();
        let written = primary.status().map_or(Lsn::default(), |status| status.1.received.lsn);
        let replicated = replicated.unwrap_or_default();
        self.unreplicated = match self.unreplicated {
            _ if servers.len() == 1 || written <= replicated => None,
            Some(u) if replicated < u.position => Some(u),
            _ => Some(Unreplicated { since: now, position: written }),
        };
        // Only statuses requested after the timeout show if the replicas are stalled.
        if let Some(u) = self.unreplicated.filter(|u| now >= u.since + micros(STALL_TIMEOUT)) {
            replicas.iter().for_each(|replica| replica.request_status_since(u.since + micros(STALL_TIMEOUT)));
        }
    }

    /// Returns true if no replica received the unreplicated position within [`STALL_TIMEOUT`].
    fn is_stalled(&self) -> bool {
        let Some(unreplicated) = self.unreplicated else { return false };
        let primary = self.group.primary().map(|s| s.index);
        let deadline = unreplicated.since.max(self.since) + micros(STALL_TIMEOUT);
        let servers = self.group.servers();
        let mut replicas = servers.iter().filter(|s| Some(s.index) != primary);
        replicas
            .all(|s| s.unanswered_since().is_some() || s.status().is_some_and(|status| status.0 >= deadline))
    }

    /// Returns the cause for a failover, if there is one.
    fn cause(&self, now: Micros) -> Option<Cause> {
        let elapsed = |since: Option<Micros>, limit: Duration| {
            since.is_some_and(|at| now.saturating_sub(at) >= micros(limit))
        };
        // Evidence from before monitoring began counts, except that the absence of a primary is counted from then on.
        let monitored = |since: Option<Micros>| since.map(|at| at.max(self.since));
        let Some(primary) = self.group.primary() else {
            return elapsed(monitored(self.group.primary_lost_at()), ABSENT_TIMEOUT).then_some(Cause::Absent);
        };
        if primary.entry().draining {
            return Some(Cause::Leaving);
        }
        if elapsed(primary.refused_since(), REFUSED_TIMEOUT) {
            return Some(Cause::Refused);
        }
        if elapsed(primary.unanswered_since(), primary_timeout(now)) {
            return Some(Cause::Silent);
        }
        self.is_stalled().then_some(Cause::Stalled)
    }
}

/// Returns the time without an answer after which an instance considers a primary failed; `uptime` is the instance's
/// uptime in microseconds.
pub fn primary_timeout(uptime: Micros) -> Duration {
    if uptime < micros(STARTUP_PERIOD) { STARTUP_PRIMARY_TIMEOUT } else { PRIMARY_TIMEOUT }
}

/// Requests the status of each server whose status is outdated.
fn request_statuses(group: &Group, now: Micros) {
    let primary = group.primary().map(|s| s.index);
    for server in group.servers() {
        let (max_age, known) = match primary == Some(server.index) {
            // Any answer shows that the primary is up; its log position is needed less often.
            true => (PRIMARY_STATUS_INTERVAL, Some(server.last_contact())),
            false => (REPLICA_STATUS_INTERVAL, server.status().map(|status| status.0)),
        };
        let limit = now.saturating_sub(micros(max_age));
        let is_recent = server
            .status()
            .is_some_and(|status| status.0 >= now.saturating_sub(micros(REPLICA_STATUS_INTERVAL)));
        if !is_recent || known.is_none_or(|at| at < limit) {
            server.request_status_since(limit);
        }
    }
}

/// Reverts the effects of an interrupted failover: resumes paused replicas, and makes primaries of earlier terms step
/// down.
fn clean_up(inst: &Rc<Instance>, group: &Rc<Group>, now: Micros) {
    let limit = now.saturating_sub(micros(REPLICA_STATUS_INTERVAL));
    for server in group.servers() {
        let order = match server.status() {
            Some((at, status)) if at >= limit => match status {
                Status { paused: Some(_), .. } => Order::Resume,
                Status { role: Role::Primary, term, .. } if term < group.term() => {
                    Order::StepDown(group.term())
                }
                _ => continue,
            },
            _ => continue,
        };
        log::info!(group = group.name.as_str(), server = server.entry().id.as_str(); "left over from a change: {order:?}");
        let (inst, group) = (inst.clone(), group.clone());
        tokio::task::spawn_local(async move { send_order(&inst, &group, &server, &order).await });
    }
}

/// Performs a failover and logs its result. After a failure, waits for [`RETRY_DELAY`].
async fn fail_over(inst: Rc<Instance>, group: Rc<Group>, trigger: Trigger) {
    let cause = trigger.cause;
    let started_at = Instant::now();
    let running = RunningFailover::start(&inst);
    let term = group.term();
    let old = group.primary().map_or(Name::new(), |s| s.entry().id.clone());
    log::info!(group = group.name.as_str(), primary = old.as_str(), term = term.0, cause:% = cause; "change of primary begins");
    let result =
        Attempt { inst: &inst, group: &group, term, forgotten: group.evidence_resets(), trigger }.run().await;
    drop(running);
    let took_ms = started_at.elapsed().as_millis() as u64;
    match result {
        Ok(id) => {
            log::info!(group = group.name.as_str(), primary = id.as_str(), term = group.term().0, took_ms; "change of primary done");
        }
        Err(why) => {
            log::warn!(group = group.name.as_str(), term = term.0, cause:% = cause, took_ms; "change of primary failed: {why}");
            sleep(RETRY_DELAY).await;
        }
    }
}
