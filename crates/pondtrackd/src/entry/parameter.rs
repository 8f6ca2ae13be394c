//! Pondtrack's configuration parameters, which callers set and read by `SET` and `SHOW`.

use {
    pondtrack_core::{classify::SETTING_PREFIX, token::SessionToken},
    pondtrack_edge::answer::SqlError,
    pondtrack_proto::Name,
};

/// Prefix of the names of these parameters.
pub const PREFIX: &str = SETTING_PREFIX;
/// List of the parameters, for the hints of errors.
pub const NAMES: &str = "pondtrack.max_age, pondtrack.request_key, pondtrack.timeout and pondtrack.token";
/// Maximum staleness and maximum timeout, in milliseconds.
const MAX_MS: u32 = 3_600_000;

/// Change of one of the parameters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ParameterChange {
    /// Maximum staleness of reads, in milliseconds; none for the group's policy, 0 for current reads only.
    MaxAge(Option<u32>),
    /// Request key of the next statement or transaction.
    RequestKey(Option<Name>),
    /// Timeout of each request, in milliseconds; none for the default of the instance.
    Timeout(Option<u32>),
    /// Token of another session of the caller, which contains the log position that session had observed.
    Token(Box<SessionToken>),
}

/// Parses a change of a parameter; a `value` of none stands for the default.
///
/// Returns SQLSTATE 22023 for an invalid value and 42704 for an unknown parameter.
pub fn parse(name: &str, value: Option<&str>) -> Result<ParameterChange, SqlError> {
    let invalid = |accepted: &str| {
        let text = format!("invalid value for parameter \"{name}\": {:?}", value.unwrap_or("default"));
        SqlError::error("22023", text).hint(format!("it takes {accepted}"))
    };
    let time = "a time such as 500ms or 2s, up to 1h";
    match (name.strip_prefix(PREFIX).unwrap_or(name), value) {
        ("max_age", None) => Ok(ParameterChange::MaxAge(None)),
        ("max_age", Some("off")) => Ok(ParameterChange::MaxAge(Some(0))),
        ("max_age", Some(s)) => {
            let accepted = format!("off, or {time}");
            parse_millis(s).map(|ms| ParameterChange::MaxAge(Some(ms))).ok_or_else(|| invalid(&accepted))
        }
        ("timeout", None) => Ok(ParameterChange::Timeout(None)),
        ("timeout", Some(s)) => {
            parse_millis(s).map(|ms| ParameterChange::Timeout(Some(ms))).ok_or_else(|| invalid(time))
        }
        ("request_key", None | Some("")) => Ok(ParameterChange::RequestKey(None)),
        ("request_key", Some(s)) => Ok(ParameterChange::RequestKey(Some(s.into()))),
        ("token", Some(s)) => {
            let token = SessionToken::parse(s).map_err(|e| invalid(&e.to_string()))?;
            Ok(ParameterChange::Token(Box::new(token)))
        }
        _ => {
            let text = format!("unrecognized configuration parameter \"{name}\"");
            Err(SqlError::error("42704", text).hint(format!("there are {NAMES}")))
        }
    }
}

/// Parses a duration with an optional unit, into milliseconds; none if it is invalid or outside of
/// 1..=`MAX_MS`.
fn parse_millis(text: &str) -> Option<u32> {
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
