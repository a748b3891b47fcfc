//! Errors of commands and their exit codes. See `docs/operators.md` for the list of codes.

use std::fmt;
use std::process::ExitCode;

/// Failure of a command: its kind, a message and an optional hint for the operator.
#[derive(Debug)]
pub struct CommandError {
    kind: Failure,
    message: String,
    hint: Option<String>,
}

/// Kind of a failure; each has its own exit code, so that scripts can tell them apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The request is invalid or was refused.
    Refused,
    /// The command line is invalid.
    Usage,
    /// The edit conflicts with one that another operator committed first.
    Conflict,
    /// It is unknown whether the edit was committed.
    UnknownOutcome,
    /// The revision is not active on at least one live box.
    NotInForce,
    /// The platform or the box did not respond. No edit of the settings was committed, but a request
    /// to release a suspect may still have been applied.
    NoAnswer,
}

impl Failure {
    const fn exit_code(self) -> u8 {
        match self {
            Self::Refused => 1,
            Self::Usage => 2,
            Self::Conflict => 3,
            Self::UnknownOutcome => 4,
            Self::NotInForce => 5,
            Self::NoAnswer => 6,
        }
    }
}

impl CommandError {
    /// Creates an error whose message says what was attempted and why it failed.
    pub fn new(kind: Failure, message: impl fmt::Display) -> Self {
        Self {
            kind,
            message: message.to_string(),
            hint: None,
        }
    }

    /// Adds a hint on what the operator can do.
    #[must_use]
    pub fn hint(mut self, hint: impl Into<String>) -> Self {
        self.hint = Some(hint.into());
        self
    }

    /// Prints the error to stderr and returns its exit code.
    pub fn report(&self) -> ExitCode {
        eprintln!("error: {}", self.message);
        if let Some(hint) = &self.hint {
            eprintln!("hint: {hint}");
        }
        ExitCode::from(self.kind.exit_code())
    }
}

/// Result of a command that prints its own output.
pub type CommandResult = Result<(), CommandError>;
