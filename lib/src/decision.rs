//! Decisions of the dispatcher, and its request counts.

use std::time::Duration;

use crate::exchange_action::Event;
use crate::ids::RequestId;
use crate::outcome::RefusalReason;
use crate::request::Placement;
use crate::routing::Candidate;

/// Decision on one request.
#[derive(Debug, Clone)]
pub enum Decision {
    /// Send the request to a server.
    Start(Start),
    /// Refuse the request, on arrival or while it is queued.
    Refuse {
        /// The refused request.
        request: RequestId,
        /// Reason sent to the caller.
        reason: RefusalReason,
        /// Time after which the caller may try again.
        retry_after: Duration,
    },
}

impl Decision {
    /// Identifier of the request that the decision is about.
    pub const fn request(&self) -> RequestId {
        match self {
            Self::Start(start) => start.request,
            Self::Refuse { request, .. } => *request,
        }
    }

    /// The corresponding event for the request's [`Exchange`](crate::exchange::Exchange).
    pub fn into_event(self) -> Event<'static> {
        match self {
            Self::Start(start) => Event::Placed {
                placement: start.placement,
                prefill: start.prefill,
            },
            Self::Refuse {
                reason,
                retry_after,
                ..
            } => Event::Refused {
                reason,
                retry_after: Some(retry_after),
            },
        }
    }
}

/// A request to send to a server.
#[derive(Debug, Clone)]
pub struct Start {
    /// Its identifier.
    pub request: RequestId,
    /// The server or group that it is sent to.
    pub placement: Placement,
    /// Expected prefill time there.
    pub prefill: Duration,
    /// Time since the request arrived at the box, including that of earlier attempts.
    pub waited: Duration,
    /// Candidates that were compared, with their costs.
    pub candidates: Vec<Candidate>,
}

/// Queue and request counts for `status` and metrics.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Queued requests.
    pub waiting: usize,
    /// Prompt tokens of the queued requests.
    pub waiting_tokens: u64,
    /// Requests that were sent to servers and have not ended.
    pub active: usize,
}
