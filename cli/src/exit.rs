//! How a command ends, and its exit code. `docs/operators.md` lists the codes.

use std::fmt;
use std::process::ExitCode;

/// A command that did not do what was asked.
#[derive(Debug)]
pub struct CommandError {
    kind: Failure,
    message: String,
    hint: Option<String>,
}

/// Why, as scripts tell it apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The request itself is wrong, or was refused.
    Refused,
    /// The command line is wrong.
    Usage,
    /// Another operator changed the same part first.
    Conflict,
    /// It is not known whether the edit is in.
    Unsure,
    /// Not every live box has the revision in force.
    NotInForce,
    /// The platform or the box gave no answer; nothing was changed.
    NoAnswer,
}

impl Failure {
    const fn code(self) -> u8 {
        match self {
            Self::Refused => 1,
            Self::Usage => 2,
            Self::Conflict => 3,
            Self::Unsure => 4,
            Self::NotInForce => 5,
            Self::NoAnswer => 6,
        }
    }
}

impl CommandError {
    /// A failure with what was attempted and why it failed.
    pub fn new(kind: Failure, message: impl fmt::Display) -> Self {
        Self {
            kind,
            message: message.to_string(),
            hint: None,
        }
    }

    /// Adds what the operator can do.
    #[must_use]
    pub fn hint(mut self, hint: impl Into<String>) -> Self {
        self.hint = Some(hint.into());
        self
    }

    /// Prints it and gives back the exit code.
    pub fn report(&self) -> ExitCode {
        eprintln!("error: {}", self.message);
        if let Some(hint) = &self.hint {
            eprintln!("hint: {hint}");
        }
        ExitCode::from(self.kind.code())
    }
}

/// A command's result.
pub type CommandResult = Result<(), CommandError>;
