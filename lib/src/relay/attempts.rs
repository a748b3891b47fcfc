//! Attempts of one call, and the next step when an attempt ends.
//!
//! Three of the ways in which an attempt ends prove that the call did not run: no connection was
//! made, or the server declined the call, with or without a pause for later calls. The proof is the
//! [`Unsent`] token of [`crate::outcome`]. Without it, a call that is not repeatable is not sent
//! again, and the response does not state that the call did not run.

use std::time::Duration;

use crate::outcome::FailureReason;
use crate::outcome::InFlight;
use crate::outcome::NotStarted;
use crate::outcome::RefusalReason;
use crate::outcome::Refused;
use crate::outcome::Unsent;

/// Maximum number of failed connections per call that took time to fail, or after which no other
/// server is left. Several servers in a row may be gone while the caller still waits.
const MAX_CONNECT_ATTEMPTS: u32 = 4;
/// Maximum number of refused connections per call. Each costs a round trip; with half of the servers
/// down, one call in 65,000 meets only such servers.
const MAX_REFUSED_CONNECTIONS: u32 = 16;
/// Maximum number of servers that may shed one call. None of them is tried again during its pause,
/// and each further attempt spends from the retry budget.
const MAX_SHED_ATTEMPTS: u32 = 4;
/// Maximum number of times that a stream is resumed because its caller paused. A caller that pauses
/// again would use up attempts that others need.
const MAX_RESUMED_PAUSES: u32 = 1;

/// How one attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// No connection was made; nothing was sent.
    NoConnection,
    /// The connection failed at once; nothing was sent.
    ConnectionRefused {
        /// Whether there are servers that the call has not tried yet.
        has_untried: bool,
    },
    /// The server responded that it did not run the call.
    Declined,
    /// The server did not run the call and accepts no calls for a pause.
    Shed,
    /// The server did not run the call, probably because its queue was full.
    Full {
        /// Whether the call has not been sent to all servers yet.
        has_untried: bool,
    },
    /// The connection broke or the response is unusable; the call may have run.
    Lost,
    /// The same, and the server may still read the call: it has not responded to anything since.
    Unread,
    /// The stream broke off after its caller had left it unread, and the caller reads again.
    LeftUnread,
    /// The server ran the call and responded with an error of its own.
    ServerError,
}

impl AttemptEnd {
    /// Name in logs and metrics.
    pub const fn code(self) -> &'static str {
        match self {
            Self::NoConnection => "no_connection",
            Self::ConnectionRefused { .. } => "connection_refused",
            Self::Declined => "declined",
            Self::Shed => "shed",
            Self::Full { .. } => "full",
            Self::Lost => "lost",
            Self::Unread => "unread",
            Self::LeftUnread => "left_unread",
            Self::ServerError => "server_error",
        }
    }
}

/// What to do after an attempt ended.
#[derive(Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Send the call to another server.
    TryElsewhere,
    /// Forward the server's own error to the caller.
    PassOn,
    /// Tell the caller that the call did not run.
    Refuse(Refused),
    /// Tell the caller that the call failed and may have run.
    Fail(FailureReason),
}

#[derive(Debug)]
enum Execution {
    Unsent(Unsent),
    Sent(InFlight),
    MayHaveRun,
}

/// Attempts of one call.
#[derive(Debug)]
pub struct Attempts {
    repeatable: bool,
    max_sent: u32,
    sent: u32,
    times_shed: u32,
    failed_connects: u32,
    refused_connects: u32,
    resumed_pauses: u32,
    state: Option<Execution>,
}

impl Attempts {
    /// A call that may be sent to `max_sent` servers, not counting those that shed it or were full.
    pub const fn new(repeatable: bool, max_sent: u32) -> Self {
        Self {
            repeatable,
            max_sent,
            sent: 0,
            times_shed: 0,
            failed_connects: 0,
            refused_connects: 0,
            resumed_pauses: 0,
            state: Some(Execution::Unsent(Unsent::new())),
        }
    }

    /// Number of servers that the call was sent to.
    pub const fn sent(&self) -> u32 {
        self.sent
    }

    /// Whether a server has received the call before, so that the next send is a retry.
    pub const fn is_retry(&self) -> bool {
        self.sent > 0
    }

    /// Whether the call certainly has not run.
    pub const fn is_unsent(&self) -> bool {
        matches!(self.state, Some(Execution::Unsent(_)))
    }

    /// Whether the call may be sent again after it may have run. The retry budget is not
    /// considered.
    pub const fn may_retry(&self) -> bool {
        self.repeatable && self.has_attempt_left()
    }

    /// Whether the next attempt, after one that ended like this, takes a retry from the budget.
    pub const fn may_need_budget(&self, end: AttemptEnd) -> bool {
        let (has_not_run, sent) = match end {
            AttemptEnd::NoConnection | AttemptEnd::ConnectionRefused { .. } => {
                (true, self.sent.saturating_sub(1))
            }
            AttemptEnd::Declined | AttemptEnd::Shed | AttemptEnd::Full { .. } => (true, self.sent),
            AttemptEnd::Unread => return false,
            AttemptEnd::Lost | AttemptEnd::LeftUnread | AttemptEnd::ServerError => {
                (false, self.sent)
            }
        };
        sent > 0 && (self.repeatable || has_not_run) && sent - self.times_shed <= self.max_sent
    }

    /// Whether a stream that its caller left unread may be resumed once the caller reads again. The
    /// retry budget is not considered.
    pub const fn may_resume_pause(&self) -> bool {
        self.may_retry() && self.resumed_pauses < MAX_RESUMED_PAUSES
    }

    /// Whether the call may be sent once more. Attempts that ended with load shedding, and those that
    /// exceed `max_sent` because servers were full, count against [`MAX_SHED_ATTEMPTS`] instead of
    /// `max_sent`.
    const fn has_attempt_left(&self) -> bool {
        self.sent - self.times_shed < self.max_sent && self.times_shed < MAX_SHED_ATTEMPTS
    }

    /// Records that the call is being sent.
    ///
    /// # Panics
    ///
    /// Panics if the call is not repeatable and may have run.
    pub fn send(&mut self) {
        self.sent += 1;
        self.state = if let Some(Execution::Unsent(proof)) = self.state.take() {
            Some(Execution::Sent(proof.dispatch()))
        } else {
            assert!(
                self.repeatable,
                "a call that may not be repeated is sent again only if it did not run"
            );
            Some(Execution::MayHaveRun)
        };
    }

    /// Records the end of an attempt and decides on the next step. `may_retry` takes a retry from
    /// the retry budget, if one is left. It is called at most once, and only if the next attempt is
    /// a retry.
    pub fn on_attempt_end(
        &mut self,
        end: AttemptEnd,
        retry_after: Duration,
        may_retry: impl FnOnce() -> bool,
    ) -> NextStep {
        match end {
            AttemptEnd::NoConnection | AttemptEnd::ConnectionRefused { .. } => {
                // The attempt did not reach the server, so it is not counted as sent.
                self.sent = self.sent.saturating_sub(1);
                match end {
                    AttemptEnd::ConnectionRefused { has_untried: true } => {
                        self.refused_connects += 1;
                    }
                    _ => self.failed_connects += 1,
                }
                self.mark_not_started(NotStarted::NoConnection);
            }
            AttemptEnd::Declined => self.mark_not_started(NotStarted::ServerDeclined),
            AttemptEnd::Shed => {
                self.times_shed += 1;
                self.mark_not_started(NotStarted::ServerDeclined);
            }
            AttemptEnd::Full { has_untried } => {
                // Beyond `max_sent`, only servers that may have room are tried.
                self.times_shed += u32::from(has_untried && !self.has_attempt_left());
                self.mark_not_started(NotStarted::ServerDeclined);
            }
            AttemptEnd::Lost
            | AttemptEnd::Unread
            | AttemptEnd::LeftUnread
            | AttemptEnd::ServerError => {
                self.state = Some(Execution::MayHaveRun);
            }
        }
        if end == AttemptEnd::Unread {
            return NextStep::Fail(FailureReason::ServerSilent);
        }
        if end == AttemptEnd::LeftUnread {
            if !self.may_resume_pause() {
                return NextStep::Fail(FailureReason::AttemptsUsed);
            }
            self.resumed_pauses += 1;
        }
        let may_resend = self.repeatable || self.is_unsent();
        let may_connect = self.failed_connects < MAX_CONNECT_ATTEMPTS
            && self.refused_connects < MAX_REFUSED_CONNECTIONS;
        let has_left = self.has_attempt_left() && may_connect;
        if may_resend && has_left && (!self.is_retry() || may_retry()) {
            return NextStep::TryElsewhere;
        }
        match (end, self.state.take()) {
            (AttemptEnd::ServerError, _) => NextStep::PassOn,
            (_, Some(Execution::Unsent(proof))) => NextStep::Refuse(Refused::new(
                proof,
                RefusalReason::NoServer,
                Some(retry_after),
            )),
            _ if may_resend => NextStep::Fail(FailureReason::AttemptsUsed),
            _ => NextStep::Fail(FailureReason::ServerLost),
        }
    }

    /// Ends a call that no server can accept now, for the given reason.
    pub fn give_up(&mut self, reason: RefusalReason, retry_after: Duration) -> NextStep {
        match self.state.take() {
            Some(Execution::Unsent(proof)) => {
                NextStep::Refuse(Refused::new(proof, reason, Some(retry_after)))
            }
            _ if reason == RefusalReason::DeadlineWhileWaiting => {
                NextStep::Fail(FailureReason::DeadlineWhileRunning)
            }
            _ => NextStep::Fail(FailureReason::NoOtherServer),
        }
    }

    /// Ends a call because its box exits.
    pub fn stop(&mut self, retry_after: Duration) -> NextStep {
        match self.state.take() {
            Some(Execution::Unsent(proof)) => NextStep::Refuse(Refused::new(
                proof,
                RefusalReason::Leaving,
                Some(retry_after),
            )),
            _ => NextStep::Fail(FailureReason::BoxStopping),
        }
    }

    fn mark_not_started(&mut self, evidence: NotStarted) {
        self.state = match self.state.take() {
            Some(Execution::Sent(in_flight)) => {
                Some(Execution::Unsent(in_flight.not_started(evidence)))
            }
            other => other,
        };
    }
}
