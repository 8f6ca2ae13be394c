//! Errors: a kind, its context, and a hint on what to type instead; rendered apart from being made.

use strum::{Display, EnumIter};

/// Kinds of errors; each has its exit status.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// The command line, or a file it names, is not accepted.
    Usage,
    /// The request makes no sense as things stand.
    Refused,
    /// Something changed meanwhile.
    Raced,
    /// The instance or the platform doesn't answer.
    Unavailable,
    /// The plan ended without being done.
    Failed,
}

impl Kind {
    /// The exit status; documented in `docs/REFERENCE.md`.
    pub fn status(self) -> u8 {
        match self {
            Kind::Usage => 2,
            Kind::Refused => 3,
            Kind::Raced => 4,
            Kind::Unavailable => 5,
            Kind::Failed => 6,
        }
    }
}

/// An error as the operator sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CliError {
    /// Its kind.
    pub kind: Kind,
    /// What happened.
    pub text: String,
    /// What to type instead.
    pub hint: Option<String>,
}

impl CliError {
    /// An error without a hint.
    pub fn new(kind: Kind, text: impl Into<String>) -> CliError {
        CliError { kind, text: text.into(), hint: None }
    }

    /// Adds what to type instead.
    pub fn hint(mut self, hint: impl Into<String>) -> CliError {
        self.hint = Some(hint.into());
        self
    }

    /// The error as text, its lines ended.
    pub fn render(&self) -> String {
        let hint = self.hint.as_ref().map(|it| format!("  hint: {it}\n")).unwrap_or_default();
        format!("pondtrack: {}: {}\n{hint}", self.kind, self.text)
    }
}
