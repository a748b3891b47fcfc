//! What a request's machine takes and what it asks for: its events and actions.

use std::time::Duration;

use crate::ids::AttemptId;
use crate::ids::ServerName;
use crate::outcome::Outcome;
use crate::outcome::RefusalReason;
use crate::request::Placement;
use crate::stream_join::DropReason;
use crate::stream_join::Frame;
use crate::time::Time;

/// Limits of one request, from its class.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ExchangeLimits {
    /// When the outcome must be known.
    pub deadline: Time,
    /// Time to the first token beyond the prefill.
    pub first_token: Duration,
    /// Longest silence within an answer.
    pub between_tokens: Duration,
    /// Attempts in all.
    pub max_attempts: u32,
    /// Whether it may be tried again after it may have run.
    pub repeatable: bool,
}

/// What happened at an edge.
#[derive(Debug)]
pub enum Event<'a> {
    /// The dispatcher chose where it goes.
    Placed {
        /// Where.
        placement: Placement,
        /// Expected time of its prefill.
        prefill: Duration,
    },
    /// The dispatcher refused it, or gave it up.
    Refused {
        /// Why.
        reason: RefusalReason,
        /// When to come back.
        retry_after: Option<Duration>,
    },
    /// The member asked last reserved its share.
    Reserved,
    /// The member asked last has no room, or could not be asked.
    ReservationFailed,
    /// The member asked last has prefilled its share.
    SharePrefilled,
    /// No connection was made.
    NoConnection,
    /// The server said that it did not start the work.
    ServerDidNotStart,
    /// A frame of the answer.
    Frame(&'a Frame),
    /// A plain service's whole answer has come.
    ResponseComplete,
    /// The connection ended, or what came was no frame.
    AttemptLost,
    /// The caller went away.
    CallerDisconnected,
    /// Time passed.
    Tick,
}

/// What to do.
#[derive(Debug, PartialEq)]
pub enum Action {
    /// Reserve memory for a share.
    Reserve {
        /// The engine.
        server: ServerName,
        /// The reservation's identifier, one per group.
        group: AttemptId,
        /// Tokens.
        tokens: u64,
    },
    /// Give a reservation up, with whatever was prefilled into it.
    Release {
        /// The engine.
        server: ServerName,
        /// The reservation.
        group: AttemptId,
    },
    /// Prefill one share into its reservation.
    Prefill {
        /// The engine.
        server: ServerName,
        /// The reservation.
        group: AttemptId,
        /// First token of the share within the prompt.
        from: u64,
        /// Tokens.
        tokens: u64,
    },
    /// Send the request, or resume it.
    Send {
        /// The server.
        server: ServerName,
        /// The attempt that its frames must name.
        attempt: AttemptId,
        /// The group that holds the prompt, if one does.
        group: Option<AttemptId>,
        /// Offset of the first token wanted.
        offset: u64,
    },
    /// Tell the server to stop and free the attempt's memory.
    Cancel {
        /// The server.
        server: ServerName,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Pass text on to the caller.
    Forward(String),
    /// Count a frame that was dropped.
    CountDropped(DropReason),
    /// Tell the dispatcher that the first token came.
    FirstToken,
    /// Tell the dispatcher how the placement ended.
    PlacementEnded(PlacementEnd),
    /// Ask the dispatcher for another placement.
    Requeue {
        /// A server to keep away from.
        avoid: Option<ServerName>,
        /// Whether this counts as a repeat.
        is_retry: bool,
    },
    /// The caller's final answer.
    Finish(Outcome),
}

/// How a placement ended, for routing to learn from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlacementEnd {
    /// The answer is whole.
    Whole {
        /// Tokens of the prompt as the engine counted them; zero if it did not.
        prompt_tokens: u64,
        /// Tokens of the answer.
        tokens: u64,
    },
    /// This server failed.
    Failed(ServerName),
    /// This server had no room for its share.
    NoRoom(ServerName),
    /// Nothing can be learned of the servers.
    Neutral,
}
