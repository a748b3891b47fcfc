//! Validates the frames of a server and joins several attempts into one contiguous response.
//!
//! A frame carries its attempt and the offset of its token. A frame of another attempt is dropped.
//! A frame below the expected offset is a duplicate and is dropped. A frame above the expected
//! offset means that a frame was lost, and nothing after it may be forwarded. The response is
//! complete only if the end marker gives exactly the number of tokens that were forwarded.
//!
//! A response is longer than was asked for only if its engine is faulty: nothing beyond its size limit is
//! kept or forwarded.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::AttemptId;

/// Longest text of a token, on average over a response; most are a few bytes long.
const MAX_MEAN_TOKEN_BYTES: u64 = 32;
/// Bytes that a response of few tokens may have in addition.
const SIZE_SLACK_BYTES: u64 = 4 << 10;

/// Payload of a frame.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum FrameBody {
    /// One token of the response.
    Token {
        /// Index of the token within the complete response, from zero.
        offset: u64,
        /// Text of the token.
        text: String,
    },
    /// End marker of the response.
    End {
        /// Number of tokens in the complete response.
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
    /// Payload.
    #[serde(flatten)]
    pub body: FrameBody,
}

/// How to handle a frame.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FrameDecision<'a> {
    /// Forward this text to the caller.
    Forward(&'a str),
    /// The response is complete.
    Complete {
        /// Tokens in the prompt, as the engine counted them.
        prompt_tokens: u64,
    },
    /// Drop the frame and continue with the stream.
    Drop(DropReason),
    /// The stream lost a frame, or is longer than was asked for; abort the attempt.
    Abort,
}

/// Why a frame was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum DropReason {
    /// The frame belongs to another attempt.
    OtherAttempt,
    /// The token was already forwarded.
    Duplicate,
    /// The response was already complete.
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

/// The forwarded part of one request's response.
#[derive(Debug, Clone)]
pub struct StreamJoin {
    text: String,
    next: u64,
    max_tokens: u64,
    complete: bool,
}

impl StreamJoin {
    /// A response of at most `max_tokens`, of which nothing was forwarded yet.
    pub const fn new(max_tokens: u64) -> Self {
        Self {
            text: String::new(),
            next: 0,
            max_tokens,
            complete: false,
        }
    }

    /// Whether a token with this text is within the size limit.
    const fn has_room(&self, text: &str) -> bool {
        let max_bytes = self.max_tokens.saturating_mul(MAX_MEAN_TOKEN_BYTES);
        let bytes = (self.text.len() + text.len()) as u64;
        self.next < self.max_tokens && bytes <= max_bytes.saturating_add(SIZE_SLACK_BYTES)
    }

    /// Number of tokens forwarded so far, which is the offset at which another engine resumes.
    pub const fn next_offset(&self) -> u64 {
        self.next
    }

    /// Text forwarded so far, which another engine gets as context before it resumes.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Decides on a frame that was received on the stream of the attempt `current`.
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
            FrameBody::Token { text, .. } if !self.has_room(text) => FrameDecision::Abort,
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
