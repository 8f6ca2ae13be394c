//! Recorded decisions with their evidence, for `pondtrack explain`.

use {
    pondtrack_proto::{Decision, Name},
    std::collections::VecDeque,
};

/// Decisions kept on an instance.
const KEPT: usize = 1_000;

/// The decisions of one instance, oldest first.
#[derive(Clone, Debug, Default)]
pub struct DecisionLog {
    list: VecDeque<Decision>,
}

impl DecisionLog {
    /// Records a decision; the oldest is dropped when there are too many.
    pub fn record(&mut self, it: Decision) {
        if self.list.len() >= KEPT {
            self.list.pop_front();
        }
        self.list.push_back(it);
    }

    /// The decisions about a subject, or all, oldest first.
    pub fn by_subject(&self, subject: Option<&Name>) -> Vec<Decision> {
        let wanted = |it: &&Decision| subject.is_none_or(|name| it.subject == *name);
        self.list.iter().filter(wanted).cloned().collect()
    }
}
