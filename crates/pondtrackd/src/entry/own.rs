//! Pondtrack's own settings, which a caller sets and shows like any other.

use {
    pondtrack_core::{classify::SETTING_PREFIX, token::SessionToken},
    pondtrack_edge::answer::SqlError,
    pondtrack_proto::Name,
};

/// What the names of these settings begin with.
pub const PREFIX: &str = SETTING_PREFIX;
/// The settings, for hints.
pub const NAMES: &str = "pondtrack.max_age, pondtrack.request_key, pondtrack.timeout and pondtrack.token";
/// Highest age and timeout, in milliseconds.
const MAX_MS: u32 = 3_600_000;

/// A change of one of the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The age reads may have; none for the group's policy, 0 for no age at all.
    MaxAge(Option<u32>),
    /// The key of the next statement or transaction.
    RequestKey(Option<Name>),
    /// The time for each request; none for the instance's.
    Timeout(Option<u32>),
    /// What another session of the caller had seen.
    Token(Box<SessionToken>),
}

/// Reads a change; `value` is none for the default.
pub fn parse(name: &str, value: Option<&str>) -> Result<Change, SqlError> {
    let bad = |accepted: &str| {
        let text = format!("invalid value for parameter \"{name}\": {:?}", value.unwrap_or("default"));
        SqlError::error("22023", text).hint(format!("it takes {accepted}"))
    };
    let time = "a time such as 500ms or 2s, up to 1h";
    match (name.strip_prefix(PREFIX).unwrap_or(name), value) {
        ("max_age", None) => Ok(Change::MaxAge(None)),
        ("max_age", Some("off")) => Ok(Change::MaxAge(Some(0))),
        ("max_age", Some(it)) => {
            let accepted = format!("off, or {time}");
            millis(it).map(|ms| Change::MaxAge(Some(ms))).ok_or_else(|| bad(&accepted))
        }
        ("timeout", None) => Ok(Change::Timeout(None)),
        ("timeout", Some(it)) => millis(it).map(|ms| Change::Timeout(Some(ms))).ok_or_else(|| bad(time)),
        ("request_key", None | Some("")) => Ok(Change::RequestKey(None)),
        ("request_key", Some(it)) => Ok(Change::RequestKey(Some(it.into()))),
        ("token", Some(it)) => {
            let token = SessionToken::parse(it).map_err(|e| bad(&e.to_string()))?;
            Ok(Change::Token(Box::new(token)))
        }
        _ => {
            let text = format!("unrecognized configuration parameter \"{name}\"");
            Err(SqlError::error("42704", text).hint(format!("there are {NAMES}")))
        }
    }
}

/// Reads a time in milliseconds, with an optional unit.
fn millis(text: &str) -> Option<u32> {
    let text = text.trim();
    let end = text.find(|c: char| !c.is_ascii_digit()).unwrap_or(text.len());
    let (number, unit) = text.split_at(end);
    let factor: u32 = match unit.trim() {
        "" | "ms" => 1,
        "s" => 1_000,
        "min" => 60_000,
        "h" => 3_600_000,
        _ => return None,
    };
    let ms = number.parse::<u32>().ok()?.checked_mul(factor)?;
    (1..=MAX_MS).contains(&ms).then_some(ms)
}
