//! Database groups, their servers and read policies.

use {
    crate::ids::{Name, Term},
    serde::{Deserialize, Serialize},
    snafu::Snafu,
    std::net::SocketAddr,
};

/// Maximum number of servers in a group.
pub const MAX_SERVERS: usize = 9;

/// Configuration of a database group, as written by an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupSpec {
    /// Database name under which callers connect.
    pub name: Name,
    /// Servers, sorted by name.
    pub servers: Vec<ServerSpec>,
    /// Maximum number of connections to each server, summed over all instances.
    pub limit: u32,
    /// Default staleness policy for reads; a session may override it.
    #[serde(default)]
    pub policy: ReadPolicy,
}

/// Configuration of one server of a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerSpec {
    /// Name of the server, unique in its group.
    pub name: Name,
    /// Address the server listens on.
    pub addr: SocketAddr,
    /// Availability zone of the server.
    pub zone: Name,
    /// Set while an operator drains the server: no new work is sent to it.
    #[serde(default)]
    pub draining: bool,
}

/// Staleness allowed for reads. A session always reads its own writes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReadPolicy {
    /// A session sees at least every commit acknowledged before the session began.
    #[default]
    Current,
    /// A read may be stale by a bounded time.
    MaxAge {
        /// Maximum staleness in milliseconds.
        ms: u32,
    },
}

/// Platform object that allocates the terms of one group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TermRecord {
    /// Highest term known to have had a primary.
    pub term: Term,
    /// Primary of that term; empty if none is recorded.
    pub primary: Name,
    /// Next term to allocate; all lower terms are allocated.
    pub next: Term,
    /// Id of the last change, which identifies a write whose response was lost.
    pub change: u64,
}

/// Reasons for rejecting a group's configuration.
#[derive(Debug, Snafu, PartialEq, Eq)]
pub enum SpecError {
    /// The text is not the JSON of a group.
    #[snafu(display("the group's configuration can't be read: {reason}"))]
    Syntax {
        /// Message of the JSON parser.
        reason: String,
    },
    /// A value is out of range.
    #[snafu(display("{field} = {value:?} is not accepted; it takes {accepted}"))]
    Value {
        /// Path of the field.
        field: String,
        /// Rejected value.
        value: String,
        /// Description of the accepted values.
        accepted: &'static str,
    },
}

impl GroupSpec {
    /// Parses a group from JSON, sorts its servers and validates every field.
    ///
    /// # Errors
    ///
    /// Returns [`SpecError::Syntax`] if the text is not the JSON of a group, and [`SpecError::Value`] if a value is out of
    /// range.
    pub fn parse(text: &[u8]) -> Result<GroupSpec, SpecError> {
        let mut spec: GroupSpec =
            serde_json::from_slice(text).map_err(|e| SpecError::Syntax { reason: e.to_string() })?;
        spec.servers.sort_by(|a, b| a.name.cmp(&b.name));
        spec.validate()?;
        Ok(spec)
    }

    /// Validates every field. The servers must be sorted by name.
    ///
    /// # Errors
    ///
    /// Returns [`SpecError::Value`] for the first value out of range.
    pub fn validate(&self) -> Result<(), SpecError> {
        let invalid = |field: &str, value: String, accepted| {
            Err(SpecError::Value { field: field.to_owned(), value, accepted })
        };
        if !is_valid_name(&self.name) {
            return invalid("name", self.name.to_string(), "1 to 63 of a-z, 0-9, '-' and '_'");
        }
        let n = self.servers.len();
        if n == 0 || n > MAX_SERVERS || n.is_multiple_of(2) {
            return invalid("servers", n.to_string(), "an odd number of servers, 9 at most");
        }
        if self.limit < 4 || self.limit > 10_000 {
            return invalid("limit", self.limit.to_string(), "4 to 10000 connections a server");
        }
        for server in &self.servers {
            if !is_valid_name(&server.name) {
                return invalid("servers.name", server.name.to_string(), "1 to 63 of a-z, 0-9, '-' and '_'");
            }
        }
        for pair in self.servers.windows(2) {
            if pair[0].name >= pair[1].name {
                return invalid("servers.name", pair[1].name.to_string(), "a name once");
            }
        }
        match self.policy {
            ReadPolicy::MaxAge { ms } if ms == 0 || ms > 3_600_000 => {
                invalid("policy.max_age.ms", ms.to_string(), "1 to 3600000 milliseconds")
            }
            _ => Ok(()),
        }
    }

    /// Returns the number of servers that form a majority.
    pub fn majority(&self) -> usize {
        self.servers.len() / 2 + 1
    }

    /// Returns the index of a server in the sorted list.
    pub fn server_index(&self, name: &str) -> Option<usize> {
        self.servers.binary_search_by(|s| s.name.as_str().cmp(name)).ok()
    }
}

/// Returns true if a text is a valid name of a group, server, instance or availability zone.
pub fn is_valid_name(text: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-' || c == '_';
    !text.is_empty() && text.len() <= 63 && text.chars().all(is_allowed)
}
