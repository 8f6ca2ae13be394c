//! What a group's server shows and takes, over the PostgreSQL protocol.
//!
//! All of pondtrack's knowledge of a server's own interface is in this file. Each order is a simple
//! query and is answered by one row, the server's position:
//!
//! | query | meaning |
//! | --- | --- |
//! | `SHOW group_position` | the position now; also allowed in a failed transaction |
//! | `SELECT group_watch(term, received, applied, ms)` | the position once it differs, or after the time |
//! | `SELECT group_wait(term, lsn, ms)` | the position once `applied` reaches `lsn` in `term` or later, or after the time |
//! | `SELECT group_fence(term)` | take nothing from a lower term, write nothing; refused below the known term |
//! | `SELECT group_promote(term)` | write in `term`, for which it has to be fenced |
//! | `SELECT group_follow(term, 'addr')` | replicate from there, dropping what that log doesn't hold |
//! | `SELECT group_entry(lsn)` | the position, its `received` being the entry's term and position |
//!
//! The log of each term, the first one's too, begins with an entry of that term; until a majority has it,
//! nothing is answered.
//!
//! A server that has lost its log, or the terms that it knew, comes back under another name: a majority that counts it
//! once before and once after is none, and the exhaustive walk loses an acknowledged write with it.
//!
//! A fence, and following another server, end every connection that has run anything but the above, as the
//! restart does that a demotion takes. A write that the network held back can therefore not run in a later
//! term of the same server: the scenario `late-write` doubled one before this was asked for.

use {
    crate::frame::{Frames, columns},
    pondtrack_proto::{LogPosition, Lsn, Term},
    std::net::SocketAddr,
    strum::{Display, EnumString, IntoStaticStr},
};

/// Names of the columns of a position, in order.
pub const COLUMNS: [&str; 7] =
    ["role", "term", "received_term", "received_lsn", "applied_lsn", "dropped", "upstream_ms"];
/// The query for the position.
pub const POSITION: &str = "SHOW group_position";

/// A position in a watch that never counts as changed.
pub const NO_LSN: Lsn = Lsn(u64::MAX);

/// The role of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Role {
    /// It takes writes in its term.
    Primary,
    /// It follows a primary.
    Replica,
    /// It takes nothing until promoted or told whom to follow.
    Fenced,
}

/// A server's position.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    /// Its role.
    pub role: Role,
    /// The highest term it knows.
    pub term: Term,
    /// The last entry of its log.
    pub received: LogPosition,
    /// The last entry its reads show.
    pub applied: Lsn,
    /// Entries it had to drop on following another log, in all.
    pub dropped: u64,
    /// Milliseconds since it heard from whom it follows; 0 at a primary.
    pub last_contact_ms: u64,
}

impl Position {
    /// Reads a position from an answer; `None` when there is no such row.
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

    /// The cells of a position, in the order of [`COLUMNS`].
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

/// An order or question to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// The position now.
    Position,
    /// The position once it differs from what is known.
    Watch {
        /// The known position.
        term: Term,
        /// The known end of the log.
        received: Lsn,
        /// The known applied position.
        applied: Lsn,
        /// The longest wait in milliseconds.
        ms: u32,
    },
    /// The position once a mark is applied.
    Wait {
        /// The mark.
        mark: LogPosition,
        /// The longest wait in milliseconds.
        ms: u32,
    },
    /// Take nothing from a lower term.
    Fence(Term),
    /// Become the primary of a term.
    Promote(Term),
    /// Replicate from another server.
    Follow(Term, SocketAddr),
    /// The term of an entry.
    Entry(Lsn),
}

impl Order {
    /// The query that carries the order.
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

    /// Reads an order from a query; `None` when the query is none.
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
