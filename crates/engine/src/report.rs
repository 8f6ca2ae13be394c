//! Lines now and then that say how much was done, and how servers are seen.

use {
    crate::{count::Count, instance::Instance},
    std::{rc::Rc, time::Duration},
    strum::IntoEnumIterator,
    tokio::time::sleep,
};

/// Between two lines: rare enough to cost nothing, often enough to place an event.
const PERIOD: Duration = Duration::from_secs(10);

/// Logs the counters now and then, for good.
pub async fn run(inst: Rc<Instance>) {
    loop {
        sleep(PERIOD).await;
        line(&inst);
    }
}

/// Logs the counters.
pub fn line(inst: &Instance) {
    let counts = Count::iter().map(|it| (it, inst.counters.get(it))).filter(|it| it.1 > 0);
    let text: Vec<String> = counts.map(|(it, n)| format!("{it}={n}")).collect();
    log::info!(sessions = inst.sessions.get(); "counted since the start: {}", text.join(" "));
    let now = inst.now();
    for group in inst.groups().into_iter().filter(|it| it.is_used()) {
        let servers: Vec<String> = group.servers().iter().map(|it| it.summary(now)).collect();
        log::info!(group = group.name.as_str(), term = group.term().0; "servers: {}", servers.join("; "));
    }
}
