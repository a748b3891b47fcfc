//! How a request ends, and the proof that a refused one was not run.
//!
//! [`Outcome`] is a closed set and is what the product promises. The one that lets a
//! caller resubmit without thought, [`Outcome::Refused`], can only be made from an
//! [`Unsent`] token. A token exists once per request, is consumed by dispatch, and
//! comes back only with evidence that the server never began: the connection was not
//! made, or the server itself said so. No code path can claim "not run" after bytes
//! may have reached a server.

use std::fmt;
use std::time::Duration;

/// Evidence that a request has reached no backend server. Neither `Clone` nor `Copy`.
#[derive(Debug, PartialEq, Eq)]
pub struct Unsent {
    _private: (),
}

impl Unsent {
    /// The token of a request that has just been read from its caller.
    pub(crate) const fn new() -> Self {
        Self { _private: () }
    }

    /// Spends the token: from here on the request may have run.
    pub const fn dispatch(self) -> InFlight {
        InFlight { _private: () }
    }
}

/// A request that may have reached a server.
#[derive(Debug, PartialEq, Eq)]
pub struct InFlight {
    _private: (),
}

/// Why an attempt certainly did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotStarted {
    /// No connection was made, so no byte was sent.
    NoConnection,
    /// The server answered that it did not start the work.
    ServerDeclined,
}

impl InFlight {
    /// Takes the claim back on evidence that nothing was started.
    pub const fn not_started(self, _evidence: NotStarted) -> Unsent {
        Unsent { _private: () }
    }
}

/// Why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RefusalReason {
    /// It could not have finished within its time limit.
    WouldMissDeadline,
    /// Its time limit passed while it waited.
    DeadlineWhileWaiting,
    /// The daemon's queue is full.
    QueueFull,
    /// The workspace is over its limit.
    WorkspaceLimit,
    /// No live server has what it asks for.
    NoServer,
    /// The prompt is larger than the settings or the fleet allow.
    PromptTooLong,
    /// The box is leaving and takes no new work.
    Leaving,
    /// The box has no settings yet.
    NoSettings,
    /// The same not-repeatable request key was already used.
    DuplicateKey,
    /// The request key could not be claimed, because the platform gave no answer.
    KeyNotChecked,
    /// Servers ended under each of the last runs of what it asks for.
    CrashesServers,
    /// Servers ended under what it asks for, and another run of it is under way for long.
    SuspectRunning,
    /// All servers that could take it say how many calls they take, and have those.
    ServersLimited,
    /// All servers that could take it turned calls away and asked for a pause.
    ServersShedding,
    /// All servers that could take it leave.
    ServersLeaving,
}

impl RefusalReason {
    /// Stable code for callers, logs and metrics.
    pub const fn code(self) -> &'static str {
        match self {
            Self::WouldMissDeadline => "would_miss_deadline",
            Self::DeadlineWhileWaiting => "deadline_while_waiting",
            Self::QueueFull => "queue_full",
            Self::WorkspaceLimit => "workspace_limit",
            Self::NoServer => "no_server",
            Self::PromptTooLong => "prompt_too_long",
            Self::Leaving => "box_leaving",
            Self::NoSettings => "no_settings",
            Self::DuplicateKey => "duplicate_key",
            Self::KeyNotChecked => "key_not_checked",
            Self::CrashesServers => "ends_servers",
            Self::SuspectRunning => "suspect_runs",
            Self::ServersLimited => "servers_limited",
            Self::ServersShedding => "servers_shedding",
            Self::ServersLeaving => "servers_leaving",
        }
    }
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.code())
    }
}

/// Why a request failed after it may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum FailureReason {
    /// The time limit passed while a server worked on it.
    DeadlineWhileRunning,
    /// The server went away and the request may not be tried again.
    ServerLost,
    /// Every allowed attempt was used.
    AttemptsUsed,
    /// No other server could take it over in time.
    NoOtherServer,
    /// The server answered with an error of its own.
    ServerError,
}

impl FailureReason {
    /// Stable code for callers, logs and metrics.
    pub const fn code(self) -> &'static str {
        match self {
            Self::DeadlineWhileRunning => "deadline_while_running",
            Self::ServerLost => "server_lost",
            Self::AttemptsUsed => "attempts_used",
            Self::NoOtherServer => "no_other_server",
            Self::ServerError => "server_error",
        }
    }
}

impl fmt::Display for FailureReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.code())
    }
}

/// A refusal that the caller may resubmit; made only from an [`Unsent`] token.
#[derive(Debug, PartialEq, Eq)]
pub struct Refused {
    reason: RefusalReason,
    retry_after: Option<Duration>,
    _proof: Unsent,
}

impl Refused {
    /// Refuses a request that was not run.
    pub const fn new(proof: Unsent, reason: RefusalReason, retry_after: Option<Duration>) -> Self {
        Self {
            reason,
            retry_after,
            _proof: proof,
        }
    }

    /// Why it was refused.
    pub const fn reason(&self) -> RefusalReason {
        self.reason
    }

    /// When to come back, where that is known.
    pub const fn retry_after(&self) -> Option<Duration> {
        self.retry_after
    }
}

/// How a request ended.
#[derive(Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The whole answer was forwarded: end marker seen, no gap.
    Completed {
        /// Tokens forwarded.
        tokens: u64,
    },
    /// Not run; the caller may resubmit.
    Refused(Refused),
    /// May have run; resubmitting is the caller's decision.
    Failed(FailureReason),
    /// The caller went away.
    Cancelled,
}

impl Outcome {
    /// Stable label for metrics.
    pub const fn label(&self) -> &'static str {
        match self {
            Self::Completed { .. } => "completed",
            Self::Refused(_) => "refused",
            Self::Failed(_) => "failed",
            Self::Cancelled => "cancelled",
        }
    }
}
