//! Database groups, their servers and read policies.

use {
    crate::ids::{Name, Term},
    serde::{Deserialize, Serialize},
    snafu::Snafu,
    std::net::SocketAddr,
};

/// Most servers a group may have.
pub const MAX_SERVERS: usize = 9;

/// A database group as configured by an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupSpec {
    /// The name callers give as their database.
    pub name: Name,
    /// The servers, sorted by name.
    pub servers: Vec<ServerSpec>,
    /// Connections allowed on each server, for the whole fleet.
    pub limit: u32,
    /// What a read may answer with, unless the session asks otherwise.
    #[serde(default)]
    pub policy: ReadPolicy,
}

/// One server of a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerSpec {
    /// The server's name, unique in its group.
    pub name: Name,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: Name,
    /// Set while an operator drains it: no new work is sent there.
    #[serde(default)]
    pub draining: bool,
}

/// How old an answer to a read may be. A session always reads its own writes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReadPolicy {
    /// A session sees at least all that was acknowledged before it began.
    #[default]
    Current,
    /// A read may be this many milliseconds old.
    MaxAge {
        /// The age in milliseconds.
        ms: u32,
    },
}

/// The object that gives out terms of one group, kept on the platform.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TermRecord {
    /// The highest term known to have had a primary.
    pub term: Term,
    /// The primary of that term, empty when none is recorded.
    pub primary: Name,
    /// All terms below this one are given out.
    pub next: Term,
    /// The id of the last change, by which a lost answer is recognised.
    pub change: u64,
}

/// Why a group's configuration is refused.
#[derive(Debug, Snafu, PartialEq, Eq)]
pub enum SpecError {
    /// The text is not a group.
    #[snafu(display("the group's configuration can't be read: {reason}"))]
    Syntax {
        /// What the reader met.
        reason: String,
    },
    /// A value is out of its range.
    #[snafu(display("{field} = {value:?} is not accepted; it takes {accepted}"))]
    Value {
        /// The field's path.
        field: String,
        /// The value met.
        value: String,
        /// What the field takes.
        accepted: &'static str,
    },
}

impl GroupSpec {
    /// Reads a group from JSON, sorts its servers and checks every field.
    pub fn parse(text: &[u8]) -> Result<GroupSpec, SpecError> {
        let mut it: GroupSpec =
            serde_json::from_slice(text).map_err(|e| SpecError::Syntax { reason: e.to_string() })?;
        it.servers.sort_by(|a, b| a.name.cmp(&b.name));
        it.check()?;
        Ok(it)
    }

    /// Checks every field; servers have to be sorted.
    pub fn check(&self) -> Result<(), SpecError> {
        let fail = |field: &str, value: String, accepted| {
            Err(SpecError::Value { field: field.to_owned(), value, accepted })
        };
        if !is_name(&self.name) {
            return fail("name", self.name.to_string(), "1 to 63 of a-z, 0-9, '-' and '_'");
        }
        let n = self.servers.len();
        if n == 0 || n > MAX_SERVERS || n.is_multiple_of(2) {
            return fail("servers", n.to_string(), "an odd number of servers, 9 at most");
        }
        if self.limit < 4 || self.limit > 10_000 {
            return fail("limit", self.limit.to_string(), "4 to 10000 connections a server");
        }
        for it in &self.servers {
            if !is_name(&it.name) {
                return fail("servers.name", it.name.to_string(), "1 to 63 of a-z, 0-9, '-' and '_'");
            }
        }
        for pair in self.servers.windows(2) {
            if pair[0].name >= pair[1].name {
                return fail("servers.name", pair[1].name.to_string(), "a name once");
            }
        }
        match self.policy {
            ReadPolicy::MaxAge { ms } if ms == 0 || ms > 3_600_000 => {
                fail("policy.max_age.ms", ms.to_string(), "1 to 3600000 milliseconds")
            }
            _ => Ok(()),
        }
    }

    /// The number of servers that make a majority.
    pub fn majority(&self) -> usize {
        self.servers.len() / 2 + 1
    }

    /// The place of a server in the sorted list.
    pub fn server(&self, name: &str) -> Option<usize> {
        self.servers.binary_search_by(|it| it.name.as_str().cmp(name)).ok()
    }
}

/// Whether a text may name a group, server, instance or zone.
pub fn is_name(text: &str) -> bool {
    let ok = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-' || c == '_';
    !text.is_empty() && text.len() <= 63 && text.chars().all(ok)
}
