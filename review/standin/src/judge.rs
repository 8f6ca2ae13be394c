//! The check of STALE: a read on a `primary` route runs on a log that lacks a commit which was acknowledged before the
//! read's first byte. Commits that a promote rolled back don't count.

use crate::{
    client::{Client, Told},
    group::Group,
    record,
};

/// What the clients sent and were told.
#[derive(Default)]
pub struct Judge {
    /// Acknowledged writes, and when their clients were told.
    acknowledged: Vec<(String, f64)>,
    /// Reads that succeeded, and when their first byte was sent.
    reads: Vec<(String, f64)>,
    next: usize,
}

impl Judge {
    fn next_id(&mut self, prefix: &str) -> String {
        self.next += 1;
        format!("{prefix}{:04}", self.next)
    }

    /// Writes an item.
    pub fn write(&mut self, client: &mut Client, item: &str) -> bool {
        let id = self.next_id("w");
        let told = client.ask(&id, &format!("WRITE {item} data-{id}"));
        let done = matches!(told, Told::Done(_));
        if done {
            self.acknowledged.push((id, record::now()));
        }
        done
    }

    /// Reads an item.
    pub fn read(&mut self, client: &mut Client, item: &str) -> bool {
        let id = self.next_id("r");
        let sent = record::now();
        let done = matches!(client.ask(&id, &format!("READ {item}")), Told::Done(_));
        if done {
            self.reads.push((id, sent));
        }
        done
    }

    /// Records the acknowledged writes that the newest primary doesn't have. They aren't judged: the service has no
    /// `SyncReplicas`.
    pub fn record_lost(&self, group: &Group) {
        let kept = group.newest_log();
        let lost: Vec<&str> = self
            .acknowledged
            .iter()
            .map(|w| w.0.as_str())
            .filter(|id| !kept.iter().any(|k| k == id))
            .collect();
        record!(
            "acknowledged, and not kept (not judged): {}",
            if lost.is_empty() { "none".to_owned() } else { lost.join(" ") }
        );
    }

    /// The number of reads that broke the rule.
    pub fn stale_reads(&self, group: &Group) -> usize {
        let (kept, runs) = (group.newest_log(), group.take_reads());
        let mut stale = 0;
        for (id, sent) in &self.reads {
            // A read may have run on several servers; one complete log is enough.
            let logs: Vec<_> = runs.iter().filter(|run| run.id == *id).collect();
            let due = self.acknowledged.iter().filter(|w| w.1 < *sent && kept.contains(&w.0));
            let due: Vec<&String> = due.map(|w| &w.0).collect();
            let lacks = |log: &Vec<String>| due.iter().filter(|w| !log.contains(w)).count();
            let best = logs.iter().min_by_key(|run| lacks(&run.log));
            if let Some(run) = best.filter(|run| lacks(&run.log) > 0) {
                stale += 1;
                let missing: Vec<&str> =
                    due.iter().filter(|w| !run.log.contains(w)).map(|w| w.as_str()).collect();
                record!(
                    "STALE: {id}, sent at {sent:.4}, ran at {} on a log without {}, acknowledged before",
                    run.server,
                    missing.join(" ")
                );
            }
        }
        record!(
            "{} writes acknowledged, {} reads served, {stale} of them stale",
            self.acknowledged.len(),
            self.reads.len()
        );
        stale
    }
}
