//! The tries of one call: what follows when one ends.
//!
//! A try ends in one of six ways. Three of them prove that nothing ran: no connection
//! was made, or the server said so itself, perhaps with a pause that it wants. The proof is the [`Unsent`] token of
//! [`crate::outcome`]; a call that may not be repeated is sent again only with it in hand,
//! and "not run" is told only with it.

use std::time::Duration;

use crate::outcome::FailureReason;
use crate::outcome::InFlight;
use crate::outcome::NotStarted;
use crate::outcome::RefusalReason;
use crate::outcome::Refused;
use crate::outcome::Unsent;

/// Connections tried for one call: each server in a row may be gone, the caller still waits.
const MAX_CONNECT_TRIES: u32 = 4;
/// Servers in a row that may turn one call away while they shed load. None of them is asked again in
/// its pause, and each repeat is paid for from the retry budget.
const MAX_SHED: u32 = 4;

/// How one try ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// No connection was made; nothing was sent.
    NoConnection,
    /// The server answered that it did not run the call.
    Declined,
    /// The same, and it wants no call for a while.
    Shed,
    /// It broke, or its answer can't be used; the call may have run.
    Lost,
    /// The server ran the call and answered with a failure of its own.
    ServerError,
}

/// What to do after a try ended.
#[derive(Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Send it to another server.
    TryElsewhere,
    /// Give the caller the server's own failure.
    PassOn,
    /// It has not run; tell the caller so.
    Refuse(Refused),
    /// It may have run; tell the caller that it failed.
    Fail(FailureReason),
}

#[derive(Debug)]
enum Claim {
    Unsent(Unsent),
    Sent(InFlight),
    MayHaveRun,
}

/// The tries of one call.
#[derive(Debug)]
pub struct Attempts {
    repeatable: bool,
    max_sent: u32,
    sent: u32,
    shed: u32,
    connects: u32,
    claim: Option<Claim>,
}

impl Attempts {
    /// A call that may go to `max_sent` servers.
    pub const fn new(repeatable: bool, max_sent: u32) -> Self {
        Self {
            repeatable,
            max_sent,
            sent: 0,
            shed: 0,
            connects: 0,
            claim: Some(Claim::Unsent(Unsent::new())),
        }
    }

    /// Servers that the call was sent to.
    pub const fn sent(&self) -> u32 {
        self.sent
    }

    /// Whether the next send repeats one that a server has received.
    pub const fn is_retry(&self) -> bool {
        self.sent > 0
    }

    /// Whether the call certainly has not run.
    pub const fn is_unsent(&self) -> bool {
        matches!(self.claim, Some(Claim::Unsent(_)))
    }

    /// Whether another server may be tried, as far as the call itself goes.
    pub const fn may_retry(&self) -> bool {
        self.repeatable && self.has_attempt_left()
    }

    /// Whether it may go to another server. One that turned it away in need took no attempt.
    const fn has_attempt_left(&self) -> bool {
        self.sent - self.shed < self.max_sent && self.shed < MAX_SHED
    }

    /// Records that the call is being sent.
    ///
    /// # Panics
    ///
    /// A call that may not be repeated is sent while it may have run.
    pub fn send(&mut self) {
        self.sent += 1;
        self.claim = if let Some(Claim::Unsent(proof)) = self.claim.take() {
            Some(Claim::Sent(proof.dispatch()))
        } else {
            assert!(
                self.repeatable,
                "a call that may not be repeated is sent only while it has not run"
            );
            Some(Claim::MayHaveRun)
        };
    }

    /// Takes the end of a try; `may_repeat` asks the retry budget, once, if it matters.
    pub fn on_attempt_end(
        &mut self,
        end: AttemptEnd,
        retry_after: Duration,
        may_repeat: impl FnOnce() -> bool,
    ) -> NextStep {
        match end {
            AttemptEnd::NoConnection => {
                // The try never reached the server, so it is not counted as sent.
                self.sent = self.sent.saturating_sub(1);
                self.connects += 1;
                self.take_back(NotStarted::NoConnection);
            }
            AttemptEnd::Declined => self.take_back(NotStarted::ServerSaidSo),
            AttemptEnd::Shed => {
                self.shed += 1;
                self.take_back(NotStarted::ServerSaidSo);
            }
            AttemptEnd::Lost | AttemptEnd::ServerError => self.claim = Some(Claim::MayHaveRun),
        }
        let allowed = self.repeatable || self.is_unsent();
        let left = self.has_attempt_left() && self.connects < MAX_CONNECT_TRIES;
        if allowed && left && (!self.is_retry() || may_repeat()) {
            return NextStep::TryElsewhere;
        }
        match (end, self.claim.take()) {
            (AttemptEnd::ServerError, _) => NextStep::PassOn,
            (_, Some(Claim::Unsent(proof))) => NextStep::Refuse(Refused::new(
                proof,
                RefusalReason::NoServer,
                Some(retry_after),
            )),
            _ if allowed => NextStep::Fail(FailureReason::AttemptsUsed),
            _ => NextStep::Fail(FailureReason::ServerLost),
        }
    }

    /// Ends a call that no server can take now.
    pub fn give_up(&mut self, reason: RefusalReason, retry_after: Duration) -> NextStep {
        match self.claim.take() {
            Some(Claim::Unsent(proof)) => {
                NextStep::Refuse(Refused::new(proof, reason, Some(retry_after)))
            }
            _ if reason == RefusalReason::DeadlineWhileWaiting => {
                NextStep::Fail(FailureReason::DeadlineWhileRunning)
            }
            _ => NextStep::Fail(FailureReason::NoOtherServer),
        }
    }

    fn take_back(&mut self, evidence: NotStarted) {
        self.claim = match self.claim.take() {
            Some(Claim::Sent(in_flight)) => Some(Claim::Unsent(in_flight.not_started(evidence))),
            other => other,
        };
    }
}
