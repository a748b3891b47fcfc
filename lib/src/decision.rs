//! What the dispatcher decides, and the load that it decides under.

use std::time::Duration;

use crate::exchange_action::Event;
use crate::ids::RequestId;
use crate::outcome::RefusalReason;
use crate::request::Placement;
use crate::routing::Candidate;

/// What to do with a request.
#[derive(Debug, Clone)]
pub enum Decision {
    /// Start it.
    Start(Start),
    /// Refuse it, or give it up.
    Refuse {
        /// The request.
        request: RequestId,
        /// Why.
        reason: RefusalReason,
        /// When to come back.
        retry_after: Duration,
    },
}

impl Decision {
    /// The request that it is about.
    pub const fn request(&self) -> RequestId {
        match self {
            Self::Start(start) => start.request,
            Self::Refuse { request, .. } => *request,
        }
    }

    /// What it means to the request's machine.
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

/// A request that starts.
#[derive(Debug, Clone)]
pub struct Start {
    /// The request.
    pub request: RequestId,
    /// Where it goes.
    pub placement: Placement,
    /// Expected time of its prefill there.
    pub prefill: Duration,
    /// How long it waited here.
    pub waited: Duration,
    /// What was weighed.
    pub weighed: Vec<Candidate>,
}

/// Counts for `status` and metrics.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests waiting here.
    pub waiting: usize,
    /// Their prompt tokens.
    pub waiting_tokens: u64,
    /// Requests at servers.
    pub active: usize,
}
