//! Events and actions of a request's state machine.

use std::time::Duration;

use crate::ids::AttemptId;
use crate::ids::ServerName;
use crate::outcome::Outcome;
use crate::outcome::RefusalReason;
use crate::request::Placement;
use crate::stream_join::DropReason;
use crate::stream_join::Frame;
use crate::time::Time;

/// Limits of one request, set by its class.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ExchangeLimits {
    /// When the outcome must be known at the latest.
    pub deadline: Time,
    /// Time-out for the first token, in addition to the prefill.
    pub first_token: Duration,
    /// Time-out between tokens of a response.
    pub between_tokens: Duration,
    /// Maximum number of attempts.
    pub max_attempts: u32,
    /// Longest response, in tokens.
    pub max_tokens: u64,
    /// Whether the request may be retried after it may have run.
    pub repeatable: bool,
}

/// Input of the state machine.
#[derive(Debug)]
pub enum Event<'a> {
    /// The dispatcher chose a placement.
    Placed {
        /// The server or group.
        placement: Placement,
        /// Expected prefill time.
        prefill: Duration,
    },
    /// The dispatcher refused the request, on arrival or while it was queued.
    Refused {
        /// Reason sent to the caller.
        reason: RefusalReason,
        /// Time after which the caller may try again, if known.
        retry_after: Option<Duration>,
    },
    /// The pending reservation request succeeded.
    Reserved,
    /// The pending reservation request failed: the engine has no memory left or is unreachable.
    ReservationFailed,
    /// The pending prefill request completed.
    SharePrefilled,
    /// No connection to the server was made.
    NoConnection,
    /// The server responded that it did not start the request.
    ServerDidNotStart,
    /// A frame of the response was received.
    Frame(&'a Frame),
    /// The complete response of a plain service was received.
    ResponseComplete,
    /// The connection ended, or the received data is not a frame.
    AttemptLost,
    /// The caller disconnected.
    CallerDisconnected,
    /// The box exits: the outcome must be known now.
    BoxStopping,
    /// Time passed; see [`Exchange::next_tick`](crate::exchange::Exchange::next_tick).
    Tick,
}

/// Output of the state machine, to be carried out by the driver.
#[derive(Debug, PartialEq)]
pub enum Action {
    /// Reserve memory for a share of the prompt.
    Reserve {
        /// The engine.
        server: ServerName,
        /// Identifier of the reservation, one per group.
        group: AttemptId,
        /// Memory to reserve, in tokens.
        tokens: u64,
    },
    /// Release a reservation and whatever was prefilled into it.
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
        /// Offset of the share in the prompt.
        from: u64,
        /// Length of the share in tokens.
        tokens: u64,
    },
    /// Send the request, or resume its response at another server.
    Send {
        /// The server.
        server: ServerName,
        /// Identifier that the frames of the response must carry.
        attempt: AttemptId,
        /// The group that holds the prompt, if there is one.
        group: Option<AttemptId>,
        /// Offset of the first token to generate.
        offset: u64,
    },
    /// Tell the server to stop the attempt and to free its memory.
    Cancel {
        /// The server.
        server: ServerName,
        /// The attempt to stop.
        attempt: AttemptId,
    },
    /// Forward text to the caller.
    Forward(String),
    /// Count a dropped frame.
    CountDropped(DropReason),
    /// Tell the dispatcher that the first token was received.
    FirstToken,
    /// Tell the dispatcher that the placement ended, and how.
    PlacementEnded(PlacementEnd),
    /// Ask the dispatcher for another placement.
    Requeue {
        /// A server to avoid.
        avoid: Option<ServerName>,
        /// Whether the new placement is a retry and spends from the retry budget.
        is_retry: bool,
    },
    /// Report the outcome to the caller. Always the last action.
    Finish(Outcome),
}

/// How a placement ended, as evidence for routing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlacementEnd {
    /// The response is complete.
    Whole {
        /// Prompt tokens as counted by the engine; zero if it did not count them.
        prompt_tokens: u64,
        /// Tokens of the response.
        tokens: u64,
    },
    /// The named server failed.
    Failed(ServerName),
    /// The named server did not reserve its share: it had no memory left or did not respond.
    NoRoom(ServerName),
    /// No evidence about the servers.
    Neutral,
}
