//! What a session carries between instances.
//!
//! A token holds the session's mark and settings. It is no secret and gives no right: a mark higher
//! than the truth only makes reads wait, and settings are what the caller could set itself.

use {
    pondtrack_proto::{LogPosition, Name},
    serde::{Deserialize, Serialize},
    snafu::Snafu,
};

/// Longest token accepted, in bytes.
pub const MAX_LEN: usize = 8_192;

/// The parts of a token.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionToken {
    /// The group it is for.
    pub group: Name,
    /// What the session has seen.
    pub mark: LogPosition,
    /// The session's settings.
    pub settings: Vec<(Name, Name)>,
}

/// Why a token is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("it is no token of this version: take one with SHOW pondtrack.token"))]
pub struct TokenError;

impl SessionToken {
    /// The token as text.
    pub fn encode(&self) -> String {
        let mut out = format!("pt1.{}.{}.{}", hex(self.group.as_bytes()), self.mark.term, self.mark.lsn);
        for (key, value) in &self.settings {
            out.push_str(&format!(".{}.{}", hex(key.as_bytes()), hex(value.as_bytes())));
        }
        out
    }

    /// Reads a token.
    pub fn parse(text: &str) -> Result<SessionToken, TokenError> {
        if text.len() > MAX_LEN {
            return Err(TokenError);
        }
        let mut parts = text.split('.');
        let mut next = || parts.next().ok_or(TokenError);
        if next()? != "pt1" {
            return Err(TokenError);
        }
        let group = unhex(next()?)?;
        let number = |it: &str| it.parse::<u64>().map_err(|_| TokenError);
        let mark = LogPosition::new(number(next()?)?, number(next()?)?);
        let rest: Vec<&str> = parts.collect();
        if !rest.len().is_multiple_of(2) {
            return Err(TokenError);
        }
        let pair = |it: &[&str]| Ok((unhex(it[0])?, unhex(it[1])?));
        let settings = rest.chunks(2).map(pair).collect::<Result<_, TokenError>>()?;
        Ok(SessionToken { group, mark, settings })
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn unhex(text: &str) -> Result<Name, TokenError> {
    if !text.is_ascii() || !text.len().is_multiple_of(2) {
        return Err(TokenError);
    }
    let byte = |at: usize| u8::from_str_radix(&text[at..at + 2], 16).map_err(|_| TokenError);
    let bytes = (0..text.len()).step_by(2).map(byte).collect::<Result<Vec<_>, _>>()?;
    String::from_utf8(bytes).map(Name::from).map_err(|_| TokenError)
}
