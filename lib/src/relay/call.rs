//! What a relayed call is, apart from its bytes.

use serde::Deserialize;
use serde::Serialize;

/// How the answer comes, and whether the call may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum CallKind {
    /// One whole answer.
    Unary {
        /// Whether a second run does no harm.
        repeatable: bool,
    },
    /// A stream of events whose ids rise.
    Stream {
        /// Whether another server may continue from the last event.
        resumable: bool,
    },
}

impl CallKind {
    /// Whether more than one run does no harm.
    pub const fn is_repeatable(self) -> bool {
        match self {
            Self::Unary { repeatable } => repeatable,
            Self::Stream { resumable } => resumable,
        }
    }

    /// Whether the answer is a stream of events.
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// Size of a generation, as its caller states it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptSize {
    /// Tokens of the prompt.
    pub tokens: u64,
    /// Most tokens of the answer.
    pub max_output: u64,
}

impl PromptSize {
    /// Memory that the whole generation takes at an engine, in tokens.
    pub const fn memory(&self) -> u64 {
        self.tokens + self.max_output
    }
}
