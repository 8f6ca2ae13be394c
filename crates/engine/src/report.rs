//! Periodic log lines with the counters and the observed state of servers.

use {
    crate::{count::Count, instance::Instance},
    std::{rc::Rc, time::Duration},
    strum::IntoEnumIterator,
    tokio::time::sleep,
};

/// Interval between reports: long enough to cost nothing, short enough to locate an event in time.
const INTERVAL: Duration = Duration::from_secs(10);

/// Logs a report periodically; never returns.
pub async fn run(inst: Rc<Instance>) {
    loop {
        sleep(INTERVAL).await;
        log_report(&inst);
    }
}

/// Logs the counters, and the servers of each group in use.
pub fn log_report(inst: &Instance) {
    let counts = Count::iter().map(|c| (c, inst.counters.get(c))).filter(|c| c.1 > 0);
    let text: Vec<String> = counts.map(|(c, n)| format!("{c}={n}")).collect();
    log::info!(sessions = inst.sessions.get(); "counted since the start: {}", text.join(" "));
    let now = inst.now();
    for group in inst.groups().into_iter().filter(|g| g.is_used()) {
        let servers: Vec<String> = group.servers().iter().map(|s| s.summary(now)).collect();
        log::info!(group = group.name.as_str(), term = group.term().0; "servers: {}", servers.join("; "));
    }
}
