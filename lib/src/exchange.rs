//! State machine of one request, from its arrival to its outcome.
//!
//! The phases are: queued, reserving memory at a group of engines, prefilling the prompt share by
//! share, and streaming the response. Each [`Event`] returns the [`Action`]s to carry out, in
//! order. The last action is [`Action::Finish`], returned exactly once and within the time limit.
//!
//! Guarantees: a non-repeatable request is dispatched again only if it did not run. "Not run" is
//! reported only with proof (see [`crate::outcome`]). A resumed response has no lost or duplicate
//! tokens (see [`crate::stream_join`]). Every reservation and attempt at an engine is released or
//! cancelled, however the request ends.

use std::time::Duration;

use rand::Rng;

pub use crate::exchange_action::Action;
pub use crate::exchange_action::Event;
pub use crate::exchange_action::ExchangeLimits;
pub use crate::exchange_action::PlacementEnd;
use crate::ids::AttemptId;
use crate::ids::ServerName;
use crate::outcome::FailureReason;
use crate::outcome::InFlight;
use crate::outcome::NotStarted;
use crate::outcome::Outcome;
use crate::outcome::RefusalReason;
use crate::outcome::Refused;
use crate::outcome::Unsent;
use crate::request::Placement;
use crate::request::Share;
use crate::stream_join::DropReason;
use crate::stream_join::Frame;
use crate::stream_join::FrameDecision;
use crate::stream_join::StreamJoin;
use crate::time::Time;

/// Factor by which a prefill may exceed its estimate before the engine is considered lost.
const PREFILL_SLACK: u32 = 3;
/// Prefill estimate from which the time-out is extended, because a retry discards the prefilled
/// part.
const LONG_PREFILL: Duration = Duration::from_secs(2);
/// The time-out of a long prefill is extended by the remaining time divided by this.
const LONG_PREFILL_WAIT_DIVISOR: u32 = 3;
/// Number of placements on a group with a failed reservation, after which the request is refused.
const MAX_GROUP_PLACEMENTS: u32 = 1_000;

/// What is known about whether the request ran.
#[derive(Debug)]
enum Execution {
    Unsent(Unsent),
    Sent(InFlight),
    MayHaveRun,
}

#[derive(Debug)]
struct Group {
    id: AttemptId,
    shares: Vec<Share>,
    reserved: usize,
}

#[derive(Debug)]
enum Phase {
    Queued,
    Reserving(Group),
    Prefilling {
        group: Group,
        index: usize,
    },
    Streaming {
        server: ServerName,
        attempt: AttemptId,
        group: Option<Group>,
    },
    Done,
}

/// State machine of one request.
#[derive(Debug)]
pub struct Exchange {
    limits: ExchangeLimits,
    phase: Phase,
    execution: Option<Execution>,
    join: StreamJoin,
    attempts: u32,
    group_placements: u32,
    dispatches: u32,
    dispatches_since_proof: u32,
    prefill: Duration,
    step_deadline: Time,
}

impl Exchange {
    /// A request that was just received from its caller.
    pub const fn new(limits: ExchangeLimits) -> Self {
        Self {
            limits,
            phase: Phase::Queued,
            execution: Some(Execution::Unsent(Unsent::new())),
            join: StreamJoin::new(limits.max_tokens),
            attempts: 0,
            group_placements: 0,
            dispatches: 0,
            dispatches_since_proof: 0,
            prefill: Duration::ZERO,
            step_deadline: Time::MAX,
        }
    }

    /// The part of the response that was forwarded.
    pub const fn join(&self) -> &StreamJoin {
        &self.join
    }

    /// Number of times that the request was dispatched to a server, which may have started it.
    pub const fn dispatches(&self) -> u32 {
        self.dispatches
    }

    /// Whether the request has its outcome.
    pub const fn is_done(&self) -> bool {
        matches!(self.phase, Phase::Done)
    }

    /// Time at which the next [`Event::Tick`] is due.
    pub fn next_tick(&self) -> Time {
        match self.phase {
            Phase::Done => Time::MAX,
            _ => self.step_deadline.min(self.limits.deadline),
        }
    }

    /// Processes an event and returns the actions to carry out, in order.
    pub fn on_event(&mut self, now: Time, event: &Event<'_>, rng: &mut impl Rng) -> Vec<Action> {
        let mut out = Vec::new();
        if self.is_done() {
            return out;
        }
        match event {
            Event::CallerDisconnected => {
                self.abandon(PlacementEnd::Neutral, &mut out);
                self.finish(Outcome::Cancelled, &mut out);
            }
            Event::BoxStopping => self.on_box_stopping(&mut out),
            _ if now >= self.limits.deadline => self.on_deadline(&mut out),
            Event::Placed { placement, prefill } => {
                self.prefill = *prefill;
                self.on_placed(now, placement, rng, &mut out);
            }
            Event::Refused {
                reason,
                retry_after,
            } => self.on_refused(*reason, *retry_after, &mut out),
            Event::Reserved => self.on_reserved(now, &mut out, rng),
            Event::ReservationFailed => self.on_reservation_failed(&mut out),
            Event::SharePrefilled => self.on_share_prefilled(now, &mut out, rng),
            Event::NoConnection => self.on_not_started(NotStarted::NoConnection, &mut out),
            Event::ServerDidNotStart => self.on_not_started(NotStarted::ServerDeclined, &mut out),
            Event::Frame(frame) => self.on_frame(now, frame, &mut out),
            Event::ResponseComplete => self.on_response_complete(&mut out),
            Event::AttemptLost => self.on_attempt_lost(&mut out),
            Event::Tick if now >= self.step_deadline => self.on_attempt_lost(&mut out),
            Event::Tick => {}
        }
        out
    }

    fn on_box_stopping(&mut self, out: &mut Vec<Action>) {
        self.abandon(PlacementEnd::Neutral, out);
        let outcome = match self.execution.take() {
            Some(Execution::Unsent(proof)) => Outcome::Refused(Refused::new(
                proof,
                RefusalReason::Leaving,
                Some(Duration::from_secs(1)),
            )),
            _ => Outcome::Failed(FailureReason::BoxStopping),
        };
        self.finish(outcome, out);
    }

    fn on_deadline(&mut self, out: &mut Vec<Action>) {
        let end = match self.current_server() {
            Some(server) if self.join.next_offset() == 0 => PlacementEnd::Failed(server.clone()),
            _ => PlacementEnd::Neutral,
        };
        self.abandon(end, out);
        let outcome = match self.execution.take() {
            Some(Execution::Unsent(proof)) => Outcome::Refused(Refused::new(
                proof,
                RefusalReason::DeadlineWhileWaiting,
                Some(Duration::from_secs(1)),
            )),
            _ => Outcome::Failed(FailureReason::DeadlineWhileRunning),
        };
        self.finish(outcome, out);
    }

    fn on_refused(
        &mut self,
        reason: RefusalReason,
        retry_after: Option<Duration>,
        out: &mut Vec<Action>,
    ) {
        let outcome = match self.execution.take() {
            Some(Execution::Unsent(proof)) => {
                Outcome::Refused(Refused::new(proof, reason, retry_after))
            }
            _ if reason == RefusalReason::DeadlineWhileWaiting => {
                Outcome::Failed(FailureReason::DeadlineWhileRunning)
            }
            _ => Outcome::Failed(FailureReason::NoOtherServer),
        };
        self.finish(outcome, out);
    }

    fn on_placed(
        &mut self,
        now: Time,
        placement: &Placement,
        rng: &mut impl Rng,
        out: &mut Vec<Action>,
    ) {
        match placement {
            Placement::One(server) => self.send(now, server.clone(), None, rng, out),
            Placement::Group(shares) => {
                let group = Group {
                    id: AttemptId::draw(rng),
                    shares: shares.clone(),
                    reserved: 0,
                };
                self.step_deadline = now + self.limits.first_token;
                self.reserve_next(group, out);
            }
        }
    }

    fn reserve_next(&mut self, group: Group, out: &mut Vec<Action>) {
        let share = &group.shares[group.reserved];
        out.push(Action::Reserve {
            server: share.server.clone(),
            group: group.id,
            tokens: share.tokens,
        });
        self.phase = Phase::Reserving(group);
    }

    fn on_reserved(&mut self, now: Time, out: &mut Vec<Action>, rng: &mut impl Rng) {
        match std::mem::replace(&mut self.phase, Phase::Queued) {
            Phase::Reserving(mut group) => {
                group.reserved += 1;
                if group.reserved < group.shares.len() {
                    self.reserve_next(group, out);
                } else {
                    self.count_dispatch();
                    self.attempts += 1;
                    self.prefill_share(now, group, 0, rng, out);
                }
            }
            other => self.phase = other,
        }
    }

    fn on_reservation_failed(&mut self, out: &mut Vec<Action>) {
        let end = match (&self.phase, self.current_server()) {
            (Phase::Reserving(_), Some(server)) => PlacementEnd::NoRoom(server.clone()),
            _ => return,
        };
        self.abandon(end, out);
        self.group_placements += 1;
        if self.group_placements >= MAX_GROUP_PLACEMENTS {
            self.on_refused(RefusalReason::NoServer, Some(Duration::from_secs(1)), out);
            return;
        }
        out.push(Action::Requeue {
            avoid: None,
            is_retry: false,
        });
    }

    fn prefill_share(
        &mut self,
        now: Time,
        group: Group,
        index: usize,
        rng: &mut impl Rng,
        out: &mut Vec<Action>,
    ) {
        let Some(share) = group.shares.get(index) else {
            let last = group.shares.last().map(|share| share.server.clone());
            let lead = last.expect("a group has at least one member");
            self.send(now, lead, Some(group), rng, out);
            return;
        };
        if share.prompt == 0 {
            // The engine only reserves memory for the response.
            return self.prefill_share(now, group, index + 1, rng, out);
        }
        let from = group.shares[..index].iter().map(|share| share.prompt).sum();
        out.push(Action::Prefill {
            server: share.server.clone(),
            group: group.id,
            from,
            tokens: share.prompt,
        });
        self.step_deadline = self.first_token_deadline(now);
        self.phase = Phase::Prefilling { group, index };
    }

    fn on_share_prefilled(&mut self, now: Time, out: &mut Vec<Action>, rng: &mut impl Rng) {
        match std::mem::replace(&mut self.phase, Phase::Queued) {
            Phase::Prefilling { group, index } => {
                self.execution = Some(Execution::MayHaveRun);
                self.prefill_share(now, group, index + 1, rng, out);
            }
            other => self.phase = other,
        }
    }

    /// Time until which to wait for the first token or for the prefill of a share.
    ///
    /// A crashed engine closes its connection and is detected at once. This time-out detects
    /// engines that hang. A long prompt may be delayed by the prefill of other requests at the
    /// engine, so its time-out is extended by a part of its remaining time.
    fn first_token_deadline(&self, now: Time) -> Time {
        let deadline = now + self.limits.first_token + self.prefill * PREFILL_SLACK;
        if self.prefill < LONG_PREFILL {
            return deadline;
        }
        deadline + now.until(self.limits.deadline) / LONG_PREFILL_WAIT_DIVISOR
    }

    fn count_dispatch(&mut self) {
        self.dispatches += 1;
        self.dispatches_since_proof += 1;
        self.execution = match self.execution.take() {
            Some(Execution::Unsent(proof)) => Some(Execution::Sent(proof.dispatch())),
            _ => Some(Execution::MayHaveRun),
        };
    }

    fn send(
        &mut self,
        now: Time,
        server: ServerName,
        group: Option<Group>,
        rng: &mut impl Rng,
        out: &mut Vec<Action>,
    ) {
        if group.is_none() {
            self.count_dispatch();
            self.attempts += 1;
        }
        assert!(
            self.limits.repeatable || self.dispatches_since_proof == 1,
            "a non-repeatable request is dispatched again only if it did not run"
        );
        let attempt = AttemptId::draw(rng);
        out.push(Action::Send {
            server: server.clone(),
            attempt,
            group: group.as_ref().map(|group| group.id),
            offset: self.join.next_offset(),
        });
        self.step_deadline = self.first_token_deadline(now);
        self.phase = Phase::Streaming {
            server,
            attempt,
            group,
        };
    }

    fn on_not_started(&mut self, evidence: NotStarted, out: &mut Vec<Action>) {
        let Some(server) = self.current_server().cloned() else {
            return;
        };
        self.execution = match self.execution.take() {
            Some(Execution::Sent(in_flight)) => {
                self.dispatches_since_proof = 0;
                Some(Execution::Unsent(in_flight.not_started(evidence)))
            }
            other => other,
        };
        // There is no attempt to cancel at the server, but the reservations of a group must be
        // released.
        self.release(out);
        out.push(Action::PlacementEnded(match evidence {
            NotStarted::NoConnection => PlacementEnd::Failed(server.clone()),
            NotStarted::ServerDeclined => PlacementEnd::Neutral,
        }));
        self.retry_or_finish(server, out);
    }

    fn on_attempt_lost(&mut self, out: &mut Vec<Action>) {
        match &self.phase {
            Phase::Queued | Phase::Done => return,
            Phase::Reserving(_) => return self.on_reservation_failed(out),
            Phase::Prefilling { .. } | Phase::Streaming { .. } => {}
        }
        let Some(server) = self.current_server().cloned() else {
            return;
        };
        self.execution = Some(Execution::MayHaveRun);
        self.abandon(PlacementEnd::Failed(server.clone()), out);
        self.retry_or_finish(server, out);
    }

    fn retry_or_finish(&mut self, avoid: ServerName, out: &mut Vec<Action>) {
        self.phase = Phase::Queued;
        self.step_deadline = Time::MAX;
        let unsent = matches!(self.execution, Some(Execution::Unsent(_)));
        if !self.limits.repeatable && !unsent {
            self.finish(Outcome::Failed(FailureReason::ServerLost), out);
            return;
        }
        if self.attempts < self.limits.max_attempts {
            out.push(Action::Requeue {
                avoid: Some(avoid),
                is_retry: true,
            });
            return;
        }
        let outcome = match self.execution.take() {
            Some(Execution::Unsent(proof)) => Outcome::Refused(Refused::new(
                proof,
                RefusalReason::NoServer,
                Some(Duration::from_secs(1)),
            )),
            _ => Outcome::Failed(FailureReason::AttemptsUsed),
        };
        self.finish(outcome, out);
    }

    fn on_frame(&mut self, now: Time, frame: &Frame, out: &mut Vec<Action>) {
        let Phase::Streaming { attempt, .. } = &self.phase else {
            out.push(Action::CountDropped(DropReason::OtherAttempt));
            return;
        };
        let first = self.join.next_offset() == 0;
        match self.join.accept(*attempt, frame) {
            FrameDecision::Forward(text) => {
                self.execution = Some(Execution::MayHaveRun);
                self.step_deadline = now + self.limits.between_tokens;
                out.push(Action::Forward(text.to_owned()));
                if first {
                    out.push(Action::FirstToken);
                }
            }
            FrameDecision::Complete { prompt_tokens } => self.complete(prompt_tokens, out),
            FrameDecision::Drop(reason) => out.push(Action::CountDropped(reason)),
            FrameDecision::Abort => self.on_attempt_lost(out),
        }
    }

    fn on_response_complete(&mut self, out: &mut Vec<Action>) {
        if matches!(self.phase, Phase::Streaming { .. }) {
            self.complete(0, out);
        }
    }

    fn complete(&mut self, prompt_tokens: u64, out: &mut Vec<Action>) {
        let tokens = self.join.next_offset();
        self.release(out);
        out.push(Action::PlacementEnded(PlacementEnd::Whole {
            prompt_tokens,
            tokens,
        }));
        self.finish(Outcome::Completed { tokens }, out);
    }

    fn current_server(&self) -> Option<&ServerName> {
        match &self.phase {
            Phase::Queued | Phase::Done => None,
            Phase::Reserving(group) => group.shares.get(group.reserved).map(|share| &share.server),
            Phase::Prefilling { group, index } => {
                group.shares.get(*index).map(|share| &share.server)
            }
            Phase::Streaming { server, .. } => Some(server),
        }
    }

    /// Ends the placement: cancels its attempt, releases its reservations and notifies the
    /// dispatcher.
    fn abandon(&mut self, end: PlacementEnd, out: &mut Vec<Action>) {
        if matches!(self.phase, Phase::Queued) {
            return;
        }
        if let Phase::Streaming {
            server, attempt, ..
        } = &self.phase
        {
            out.push(Action::Cancel {
                server: server.clone(),
                attempt: *attempt,
            });
        }
        self.release(out);
        out.push(Action::PlacementEnded(end));
    }

    fn release(&mut self, out: &mut Vec<Action>) {
        let phase = std::mem::replace(&mut self.phase, Phase::Queued);
        self.step_deadline = Time::MAX;
        let (group, requested) = match phase {
            // The last engine may have made the reservation although its response was not received.
            Phase::Reserving(group) => {
                let requested = group.reserved + 1;
                (group, requested)
            }
            Phase::Prefilling { group, .. }
            | Phase::Streaming {
                group: Some(group), ..
            } => {
                let requested = group.shares.len();
                (group, requested)
            }
            Phase::Queued | Phase::Streaming { group: None, .. } | Phase::Done => return,
        };
        for share in group.shares.iter().take(requested) {
            out.push(Action::Release {
                server: share.server.clone(),
                group: group.id,
            });
        }
    }

    fn finish(&mut self, outcome: Outcome, out: &mut Vec<Action>) {
        self.phase = Phase::Done;
        out.push(Action::Finish(outcome));
    }
}
