//! The control interface of a group's server: orders and positions over the PostgreSQL protocol.
//!
//! This file holds everything in pondtrack that depends on the server's own interface. An order is sent as a
//! simple query; its result is one row, the server's position. `ms` is a time in milliseconds:
//!
//! | query | meaning |
//! | --- | --- |
//! | `SHOW group_position` | the current position; also allowed in a failed transaction |
//! | `SELECT group_watch(term, received, applied, ms)` | the position when it differs from the arguments, or after `ms` |
//! | `SELECT group_wait(term, lsn, ms)` | the position when `applied` reaches `lsn` in `term` or later, or after `ms` |
//! | `SELECT group_fence(term)` | accept nothing from a lower term, and no writes; refused if `term` is below the server's term |
//! | `SELECT group_promote(term)` | become the primary of `term`; the server must be fenced for that term |
//! | `SELECT group_follow(term, 'addr')` | replicate from `addr`, truncating entries that are not in that log |
//! | `SELECT group_entry(lsn)` | the position, with the term and LSN of the entry as `received` |
//!
//! Every term, including the first, begins with a log entry of that term; the primary answers no statement
//! until a majority has replicated that entry.
//!
//! A server that has lost its log or its term must rejoin under a new name. Counted under the same name before
//! and after the loss, it would form a false majority, and the exhaustive state search then loses an
//! acknowledged write.
//!
//! `group_fence` and `group_follow` close every connection that has run any other statement than these orders,
//! as does the restart that a demotion involves. A write delayed by the network can therefore not run in a later
//! term of the same server; without this rule the scenario `late-write` executed a write twice.

use {
    crate::frame::{Frames, columns},
    pondtrack_proto::{LogPosition, Lsn, Term},
    std::net::SocketAddr,
    strum::{Display, EnumString, IntoStaticStr},
};

/// Column names of a position row, in order.
pub const COLUMNS: [&str; 7] =
    ["role", "term", "received_term", "received_lsn", "applied_lsn", "dropped", "upstream_ms"];
/// The query that returns the current position.
pub const POSITION: &str = "SHOW group_position";

/// The LSN argument of a watch that leaves the LSN out of the comparison, so that it never counts as changed.
pub const NO_LSN: Lsn = Lsn(u64::MAX);

/// The role of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Role {
    /// Accepts writes in its term.
    Primary,
    /// Replicates from a primary.
    Replica,
    /// Accepts nothing until promoted or ordered to follow another server.
    Fenced,
}

/// A server's position.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    /// The role of the server.
    pub role: Role,
    /// The highest term known to the server.
    pub term: Term,
    /// The position of the last entry in the server's log.
    pub received: LogPosition,
    /// The LSN of the last applied entry, visible to reads.
    pub applied: Lsn,
    /// Total number of entries truncated to follow another server's log.
    pub dropped: u64,
    /// Milliseconds since the last message from the server that it replicates from; 0 at a primary.
    pub last_contact_ms: u64,
}

impl Position {
    /// Parses the position from the messages of an answer. Returns `None` if the answer has no valid position row.
    pub fn from_answer(frames: &[u8]) -> Option<Position> {
        let (_, range) = Frames::new(frames).find(|(tag, _)| *tag == b'D')?;
        let cells = columns(&frames[range]);
        let text = |n: usize| std::str::from_utf8(cells.get(n)?.as_ref()?).ok();
        let number = |n: usize| text(n)?.parse::<u64>().ok();
        Some(Position {
            role: text(0)?.parse().ok()?,
            term: Term(number(1)?),
            received: LogPosition::new(number(2)?, number(3)?),
            applied: Lsn(number(4)?),
            dropped: number(5)?,
            last_contact_ms: number(6)?,
        })
    }

    /// The values of a position row, in the order of [`COLUMNS`].
    pub fn cells(&self) -> [String; 7] {
        [
            self.role.to_string(),
            self.term.to_string(),
            self.received.term.to_string(),
            self.received.lsn.to_string(),
            self.applied.to_string(),
            self.dropped.to_string(),
            self.last_contact_ms.to_string(),
        ]
    }
}

/// A control command to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// Returns the current position.
    Position,
    /// Returns the position when it differs from the known one.
    Watch {
        /// The known term.
        term: Term,
        /// The known LSN of the last received entry.
        received: Lsn,
        /// The known LSN of the last applied entry.
        applied: Lsn,
        /// The maximum wait in milliseconds.
        ms: u32,
    },
    /// Returns the position when a log position is applied.
    Wait {
        /// The awaited log position.
        mark: LogPosition,
        /// The maximum wait in milliseconds.
        ms: u32,
    },
    /// Fences the server, which then accepts nothing from a lower term and no writes.
    Fence(Term),
    /// Promotes the server to primary of a term.
    Promote(Term),
    /// Starts replication from another server, in a term.
    Follow(Term, SocketAddr),
    /// Returns the term of a log entry.
    Entry(Lsn),
}

impl Order {
    /// Formats the order as a query.
    pub fn query(&self) -> String {
        match self {
            Order::Position => POSITION.to_owned(),
            Order::Watch { term, received, applied, ms } => {
                format!("SELECT group_watch({term}, {received}, {applied}, {ms})")
            }
            Order::Wait { mark, ms } => format!("SELECT group_wait({}, {}, {ms})", mark.term, mark.lsn),
            Order::Fence(term) => format!("SELECT group_fence({term})"),
            Order::Promote(term) => format!("SELECT group_promote({term})"),
            Order::Follow(term, addr) => format!("SELECT group_follow({term}, '{addr}')"),
            Order::Entry(lsn) => format!("SELECT group_entry({lsn})"),
        }
    }

    /// Parses an order from a query. Returns `None` if the query is not an order.
    pub fn parse(text: &str) -> Option<Order> {
        let text = text.trim().trim_end_matches(';');
        if text == POSITION {
            return Some(Order::Position);
        }
        let (name, rest) = text.strip_prefix("SELECT group_")?.split_once('(')?;
        let args: Vec<&str> = rest.strip_suffix(')')?.split(',').map(str::trim).collect();
        let number = |n: usize| args.get(n)?.parse::<u64>().ok();
        let ms = |n: usize| args.get(n)?.parse::<u32>().ok();
        match name {
            "watch" => Some(Order::Watch {
                term: Term(number(0)?),
                received: Lsn(number(1)?),
                applied: Lsn(number(2)?),
                ms: ms(3)?,
            }),
            "wait" => Some(Order::Wait { mark: LogPosition::new(number(0)?, number(1)?), ms: ms(2)? }),
            "fence" => Some(Order::Fence(Term(number(0)?))),
            "promote" => Some(Order::Promote(Term(number(0)?))),
            "follow" => Some(Order::Follow(Term(number(0)?), args.get(1)?.trim_matches('\'').parse().ok()?)),
            "entry" => Some(Order::Entry(Lsn(number(0)?))),
            _ => None,
        }
    }
}
