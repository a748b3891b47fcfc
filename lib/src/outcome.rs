//! Outcomes of requests, and the proof that a refused request did not run.
//!
//! Every request ends with one of the variants of [`Outcome`]; this is guaranteed to callers. After
//! [`Outcome::Refused`] a caller may always resubmit, so it can only be constructed from an
//! [`Unsent`] token. There is one token per request. Dispatching consumes it, and it is restored
//! only on evidence that the server did not start the request: no connection was made, or the
//! server's response said so. Without this evidence, no code path can report "not run" after bytes
//! may have reached a server.

use std::fmt;
use std::time::Duration;

/// Proof that a request has reached no backend server. Neither `Clone` nor `Copy`.
#[derive(Debug, PartialEq, Eq)]
pub struct Unsent {
    _private: (),
}

impl Unsent {
    /// The token of a request that was just received from its caller.
    pub(crate) const fn new() -> Self {
        Self { _private: () }
    }

    /// Consumes the token: from now on the request may have run.
    pub const fn dispatch(self) -> InFlight {
        InFlight { _private: () }
    }
}

/// A request that may have reached a server.
#[derive(Debug, PartialEq, Eq)]
pub struct InFlight {
    _private: (),
}

/// Evidence that an attempt did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotStarted {
    /// No connection was made, so no byte was sent.
    NoConnection,
    /// The server responded that it did not start the request.
    ServerDeclined,
}

impl InFlight {
    /// Restores the token on evidence that the server did not start the request.
    pub const fn not_started(self, _evidence: NotStarted) -> Unsent {
        Unsent { _private: () }
    }
}

/// Why a request was refused without running.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RefusalReason {
    /// The request could not have completed within its time limit.
    WouldMissDeadline,
    /// The time limit passed, or could no longer be met, while the request was queued.
    DeadlineWhileWaiting,
    /// The workspace has the maximum number of requests queued at this box.
    QueueFull,
    /// The workspace exceeded its rate limit.
    WorkspaceLimit,
    /// No live server offers the requested model or service, or the attempts or the retry budget
    /// were used up without a run.
    NoServer,
    /// The prompt exceeds the limit of the settings or the memory of the fleet.
    PromptTooLong,
    /// The box is shutting down and accepts no new requests.
    Leaving,
    /// The box has not received settings yet.
    NoSettings,
    /// The key of a non-repeatable request was already used.
    DuplicateKey,
    /// The request key could not be claimed, because the platform did not respond.
    KeyNotChecked,
    /// Servers crashed during each of the last runs of the same request.
    CrashesServers,
    /// Servers crashed during the last runs of requests with one part of the prompt.
    PartCrashesServers,
    /// Servers crashed during the same request, and another run of it did not end while this one
    /// waited.
    SuspectRunning,
    /// All eligible servers limit their calls and have reached their limits.
    ServersLimited,
    /// All eligible servers shed load and asked for a pause.
    ServersShedding,
    /// All eligible servers are in data halls that the operator evacuates, or are leaving.
    ServersEvacuated,
    /// The queues of all eligible servers are full.
    ServersFull,
    /// All eligible servers are leaving.
    ServersLeaving,
    /// The network paths of this box and of its peers to the servers are cut.
    ServersUnreachable,
    /// No server that could take a retry responds to a query.
    ServersSilent,
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
            Self::PartCrashesServers => "part_ends_servers",
            Self::SuspectRunning => "suspect_runs",
            Self::ServersLimited => "servers_limited",
            Self::ServersShedding => "servers_shedding",
            Self::ServersEvacuated => "servers_evacuated",
            Self::ServersFull => "servers_full",
            Self::ServersLeaving => "servers_leaving",
            Self::ServersUnreachable => "servers_unreachable",
            Self::ServersSilent => "servers_silent",
        }
    }
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.code())
    }
}

/// Why a request that may have run failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum FailureReason {
    /// The time limit passed, or could no longer be met, after the request may have run.
    DeadlineWhileRunning,
    /// The server was lost and the request may not be retried.
    ServerLost,
    /// The server was lost, does not respond, and may run the request at any time.
    ServerSilent,
    /// The box exits before the request has ended.
    BoxStopping,
    /// All allowed attempts were used.
    AttemptsUsed,
    /// No other server was available for a retry, or the retry budget was used up.
    NoOtherServer,
    /// The server responded with an error of its own.
    ServerError,
}

impl FailureReason {
    /// Stable code for callers, logs and metrics.
    pub const fn code(self) -> &'static str {
        match self {
            Self::DeadlineWhileRunning => "deadline_while_running",
            Self::ServerLost => "server_lost",
            Self::ServerSilent => "server_silent",
            Self::BoxStopping => "box_stopping",
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

/// A refusal after which the caller may resubmit; constructed only from an [`Unsent`] token.
#[derive(Debug, PartialEq, Eq)]
pub struct Refused {
    reason: RefusalReason,
    retry_after: Option<Duration>,
    _proof: Unsent,
}

impl Refused {
    /// Refuses a request that did not run.
    pub const fn new(proof: Unsent, reason: RefusalReason, retry_after: Option<Duration>) -> Self {
        Self {
            reason,
            retry_after,
            _proof: proof,
        }
    }

    /// The reason of the refusal.
    pub const fn reason(&self) -> RefusalReason {
        self.reason
    }

    /// Time after which the caller may try again, if known.
    pub const fn retry_after(&self) -> Option<Duration> {
        self.retry_after
    }
}

/// Final outcome of a request.
#[derive(Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The complete response was forwarded: end marker received, no gap.
    Completed {
        /// Number of tokens forwarded to the caller.
        tokens: u64,
    },
    /// The request did not run; the caller may resubmit.
    Refused(Refused),
    /// The request may have run; whether to resubmit is the caller's decision.
    Failed(FailureReason),
    /// The caller disconnected.
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
