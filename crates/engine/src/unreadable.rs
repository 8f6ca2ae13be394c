//! Undecodable objects in the store, recorded so that each is logged only once.

use {crate::ports::Collection, pondtrack_proto::Name};

/// Maximum number of recorded objects, which bounds log lines and memory if many objects are undecodable.
const MAX_OBJECTS: usize = 100;

/// Objects that were undecodable when last read.
#[derive(Debug, Default)]
pub struct Unreadable {
    /// Sorted by collection and name.
    known: Vec<(&'static str, Name)>,
}

impl Unreadable {
    /// Records an object. Returns true if the object is new and should be logged.
    pub fn insert(&mut self, collection: Collection, name: &Name) -> bool {
        match self.find(collection, name) {
            Ok(_) => false,
            Err(_) if self.known.len() >= MAX_OBJECTS => false,
            Err(at) => {
                self.known.insert(at, (collection.into(), name.clone()));
                true
            }
        }
    }

    /// Removes an object that is readable again.
    pub fn remove(&mut self, collection: Collection, name: &Name) {
        if let Ok(at) = self.find(collection, name) {
            self.known.remove(at);
        }
    }

    fn find(&self, collection: Collection, name: &Name) -> Result<usize, usize> {
        let key = (<&str>::from(collection), name.as_str());
        self.known.binary_search_by(|entry| (entry.0, entry.1.as_str()).cmp(&key))
    }
}
