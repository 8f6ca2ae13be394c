//! Log of decisions with their evidence, for `pondtrack explain`.

use {
    pondtrack_proto::{Decision, Name},
    std::collections::VecDeque,
};

/// Maximum number of decisions in the log of an instance.
const MAX_DECISIONS: usize = 1_000;

/// Decisions of one instance, oldest first.
#[derive(Clone, Debug, Default)]
pub struct DecisionLog {
    decisions: VecDeque<Decision>,
}

impl DecisionLog {
    /// Records a decision. Drops the oldest one if the log is full.
    pub fn record(&mut self, decision: Decision) {
        if self.decisions.len() >= MAX_DECISIONS {
            self.decisions.pop_front();
        }
        self.decisions.push_back(decision);
    }

    /// Returns the decisions about a subject, or all decisions if `subject` is `None`, oldest first.
    pub fn by_subject(&self, subject: Option<&Name>) -> Vec<Decision> {
        let matches = |d: &&Decision| subject.is_none_or(|name| d.subject == *name);
        self.decisions.iter().filter(matches).cloned().collect()
    }
}
