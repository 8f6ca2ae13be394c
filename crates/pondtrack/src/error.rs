//! Errors of the command line, each with a kind, a message and an optional hint.

use strum::{Display, EnumIter};

/// The kind of an error, which determines the exit status.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// The command line, or a file named in its arguments, is invalid.
    Usage,
    /// The request is invalid in the current state.
    Refused,
    /// The state that the request is based on has changed.
    Raced,
    /// The instance or the platform doesn't answer.
    Unavailable,
    /// The plan ended before completion.
    Failed,
}

impl Kind {
    /// Returns the exit status, as documented in `docs/REFERENCE.md`.
    pub fn exit_status(self) -> u8 {
        match self {
            Kind::Usage => 2,
            Kind::Refused => 3,
            Kind::Raced => 4,
            Kind::Unavailable => 5,
            Kind::Failed => 6,
        }
    }
}

/// An error that is shown to the operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CliError {
    /// The kind of the error, which determines the exit status.
    pub kind: Kind,
    /// The message, shown after the kind.
    pub text: String,
    /// A suggested command or correction.
    pub hint: Option<String>,
}

impl CliError {
    /// Creates an error without a hint.
    pub fn new(kind: Kind, text: impl Into<String>) -> CliError {
        CliError { kind, text: text.into(), hint: None }
    }

    /// Adds a suggested command or correction, which is shown on a line below the message.
    pub fn hint(mut self, hint: impl Into<String>) -> CliError {
        self.hint = Some(hint.into());
        self
    }

    /// Formats the error as lines of text, with a trailing newline.
    pub fn render(&self) -> String {
        let hint = self.hint.as_ref().map(|hint| format!("  hint: {hint}\n")).unwrap_or_default();
        format!("pondtrack: {}: {}\n{hint}", self.kind, self.text)
    }
}
