//! Checks a server's frames and joins attempts into one unbroken answer.
//!
//! A frame carries the attempt it belongs to and the offset of its token. A frame of
//! another attempt is foreign and is dropped; one below the expected offset is a
//! repeat and is dropped; one above it means a frame was lost, and nothing after it
//! may be forwarded. The answer is whole only when the end marker names exactly the
//! number of tokens that were forwarded.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::AttemptId;

/// What a frame carries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum FrameBody {
    /// One token of the answer.
    Token {
        /// Index of the token within the whole answer, from zero.
        offset: u64,
        /// The token's text.
        text: String,
    },
    /// The end marker.
    End {
        /// Tokens in the whole answer.
        tokens: u64,
        /// Tokens in the prompt, as the engine counted them.
        prompt_tokens: u64,
    },
}

/// One frame from an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame {
    /// The attempt that the frame belongs to.
    pub attempt: AttemptId,
    /// What it carries.
    #[serde(flatten)]
    pub body: FrameBody,
}

/// What to do with a frame.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FrameDecision<'a> {
    /// Forward this text to the caller.
    Forward(&'a str),
    /// The answer is whole.
    Complete {
        /// Tokens in the prompt, as the engine counted them.
        prompt_tokens: u64,
    },
    /// Drop the frame; the stream goes on.
    Drop(DropReason),
    /// The stream lost a frame; give the attempt up.
    Abort,
}

/// Why a frame was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum DropReason {
    /// It belongs to another attempt.
    OtherAttempt,
    /// Its token was forwarded before.
    Duplicate,
    /// The answer was already whole.
    AfterEnd,
}

impl DropReason {
    /// Stable label for metrics.
    pub const fn label(self) -> &'static str {
        match self {
            Self::OtherAttempt => "foreign",
            Self::Duplicate => "repeated",
            Self::AfterEnd => "after_end",
        }
    }
}

/// The answer of one request as far as it was forwarded.
#[derive(Debug, Clone, Default)]
pub struct StreamJoin {
    text: String,
    next: u64,
    complete: bool,
}

impl StreamJoin {
    /// An answer of which nothing was forwarded yet.
    pub const fn new() -> Self {
        Self {
            text: String::new(),
            next: 0,
            complete: false,
        }
    }

    /// Tokens forwarded so far; the offset from which another engine resumes.
    pub const fn next_offset(&self) -> u64 {
        self.next
    }

    /// Text forwarded so far; what another engine replays before it goes on.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Judges a frame that came on `current`'s stream.
    pub fn accept<'a>(&mut self, current: AttemptId, frame: &'a Frame) -> FrameDecision<'a> {
        if frame.attempt != current {
            return FrameDecision::Drop(DropReason::OtherAttempt);
        }
        if self.complete {
            return FrameDecision::Drop(DropReason::AfterEnd);
        }
        match &frame.body {
            FrameBody::Token { offset, .. } if *offset < self.next => {
                FrameDecision::Drop(DropReason::Duplicate)
            }
            FrameBody::Token { offset, .. } if *offset > self.next => FrameDecision::Abort,
            FrameBody::Token { text, .. } => {
                self.text.push_str(text);
                self.next += 1;
                FrameDecision::Forward(text)
            }
            FrameBody::End { tokens, .. } if *tokens != self.next => FrameDecision::Abort,
            FrameBody::End { prompt_tokens, .. } => {
                self.complete = true;
                FrameDecision::Complete {
                    prompt_tokens: *prompt_tokens,
                }
            }
        }
    }
}
