//! Properties of a relayed call, independent of its wire format.

use serde::Deserialize;
use serde::Serialize;

/// Form of the response, and whether the call may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum CallKind {
    /// A single response.
    Unary {
        /// Whether the call is idempotent and may be retried.
        repeatable: bool,
    },
    /// A stream of events with increasing ids.
    Stream {
        /// Whether another server can resume the stream after the last received event.
        resumable: bool,
    },
}

impl CallKind {
    /// Whether the call may be sent again: a unary call that is idempotent, or a stream that can be
    /// resumed.
    pub const fn is_repeatable(self) -> bool {
        match self {
            Self::Unary { repeatable } => repeatable,
            Self::Stream { resumable } => resumable,
        }
    }

    /// Name in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Unary { repeatable: true } => "call",
            Self::Unary { repeatable: false } => "call_once",
            Self::Stream { resumable: true } => "stream",
            Self::Stream { resumable: false } => "stream_once",
        }
    }

    /// Whether the response is an event stream.
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// Token counts of a generation, as stated by its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptSize {
    /// Prompt tokens.
    pub tokens: u64,
    /// Limit on output tokens.
    pub max_output: u64,
}

impl PromptSize {
    /// Engine memory that the generation occupies at its maximum length, in tokens.
    pub const fn memory_tokens(&self) -> u64 {
        self.tokens + self.max_output
    }
}
