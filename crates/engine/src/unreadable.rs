//! Objects of the store that can't be read, so that each is told once.

use {crate::ports::Collection, pondtrack_proto::Name};

/// Objects that are remembered: a flood of them is told in so many lines, and takes no more memory.
const MOST: usize = 100;

/// Which objects can't be read, as of the last look.
#[derive(Debug, Default)]
pub struct Unreadable {
    /// Sorted.
    known: Vec<(&'static str, Name)>,
}

impl Unreadable {
    /// Notes an object; says whether it is to be told.
    pub fn insert(&mut self, what: Collection, name: &Name) -> bool {
        match self.find(what, name) {
            Ok(_) => false,
            Err(_) if self.known.len() >= MOST => false,
            Err(at) => {
                self.known.insert(at, (what.into(), name.clone()));
                true
            }
        }
    }

    /// An object can be read again.
    pub fn remove(&mut self, what: Collection, name: &Name) {
        if let Ok(at) = self.find(what, name) {
            self.known.remove(at);
        }
    }

    fn find(&self, what: Collection, name: &Name) -> Result<usize, usize> {
        let key = (<&str>::from(what), name.as_str());
        self.known.binary_search_by(|it| (it.0, it.1.as_str()).cmp(&key))
    }
}
