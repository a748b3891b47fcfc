//! The retry of a call, from the decision to the arrival at its server.
//!
//! A call may wait between the decision and the send, its connection may be refused, and a server that
//! stands still reads it long after the send. The retry budget bounds what servers receive. So a
//! retry is reserved until it has arrived, and is kept for the next attempt if nothing was sent.
//! [`PendingSend`] tells of the arrival, which may come after the call has ended.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;

use badgerferry_lib::ids::ServerName;
use badgerferry_lib::relay::attempts::AttemptEnd;
use badgerferry_lib::relay::attempts::Attempts;
use badgerferry_lib::relay::call_sends::CallSends;
use badgerferry_lib::relay::retry_pool;
use badgerferry_lib::relay::retry_window::RetryBudgetRule;
use badgerferry_lib::relay::retry_window::RetryUsage;
use badgerferry_lib::relay::retry_window::RetryWindow;
use badgerferry_lib::relay::route_table::ServiceName;
use badgerferry_lib::time::Time;

use crate::relay::call::Call;
use crate::relay::call_log;
use crate::relay::state::Relay;
use crate::traffic::lock;

/// Where a retry was taken from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetrySource {
    /// The box's share of the retry budget.
    Own,
    /// The pool of the hall.
    Pool,
}

impl RetrySource {
    /// Name in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Pool => "pool",
        }
    }
}

/// A retry of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Retry {
    /// Where it was taken from.
    pub source: RetrySource,
    /// How the attempt before it ended.
    pub after: AttemptEnd,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// No retry is held.
    Idle,
    /// The pool granted one that the call may not need.
    Granted,
    /// The next attempt is a retry.
    Reserved(Retry),
    /// It was sent.
    Sent(Retry),
}

#[derive(Debug)]
struct CallState {
    state: State,
    sends: CallSends,
    /// Sources of the retries that may still arrive, the oldest first.
    pending: VecDeque<RetrySource>,
}

/// What a call and its pending sends share.
#[derive(Debug)]
struct Shared {
    relay: Arc<Relay>,
    service: ServiceName,
    call: Mutex<CallState>,
}

impl Shared {
    fn with_window<T>(&self, f: impl FnOnce(&mut RetryWindow, &RetryBudgetRule) -> T) -> T {
        let now = self.relay.clock.now();
        let share_since = lock(&self.relay.cluster_view).budget_share.held_since(now);
        let mut retries = lock(&self.relay.retries);
        let window = retries.entry(self.service.clone());
        // The clock starts with the process.
        let window = window.or_insert_with(|| RetryWindow::new(Time::ZERO));
        window.hold_since(share_since.unwrap_or_default());
        f(window, &self.relay.settings.retries)
    }
}

/// A call that is being sent to a server, and may arrive at any time until this is dropped.
#[derive(Debug)]
pub struct PendingSend {
    shared: Arc<Shared>,
    /// Id of the call.
    call: String,
    may_have_arrived: bool,
}

impl PendingSend {
    /// Id of the call.
    pub fn call(&self) -> &str {
        &self.call
    }

    /// Records that nothing reached the server.
    pub fn record_not_sent(mut self) {
        self.may_have_arrived = false;
        let mut held = lock(&self.shared.call);
        if let State::Sent(retry) = held.state {
            held.state = State::Reserved(retry);
            held.sends.undo_send();
            held.pending.pop_back();
            call_log::retry_not_sent(&self.call, retry);
        }
    }
}

impl Drop for PendingSend {
    fn drop(&mut self) {
        if !self.may_have_arrived {
            return;
        }
        let arrived = {
            let mut call = lock(&self.shared.call);
            if call.sends.end_send() {
                call.pending.pop_front()
            } else {
                None
            }
        };
        if arrived == Some(RetrySource::Own) {
            let now = self.shared.relay.clock.now();
            self.shared
                .with_window(|window, _rule| window.record_arrival(now));
        }
    }
}

/// The retry that a call holds. Dropped before the send, it is given back.
#[derive(Debug)]
pub struct CallRetry(Arc<Shared>);

impl CallRetry {
    /// No retry.
    pub fn new(relay: &Arc<Relay>, service: &ServiceName) -> Self {
        Self(Arc::new(Shared {
            relay: Arc::clone(relay),
            service: service.clone(),
            call: Mutex::new(CallState {
                state: State::Idle,
                sends: CallSends::default(),
                pending: VecDeque::new(),
            }),
        }))
    }

    /// Counts the first send of the call.
    pub fn record_first_send(&self, at: Time) {
        self.0
            .with_window(|window, rule| window.record_first_send(at, rule));
    }

    /// Whether the retry budget may have a retry left.
    pub fn may_be_left(&self) -> bool {
        let boxes = self.0.relay.budget_boxes();
        matches!(lock(&self.0.call).state, State::Reserved(_))
            || retry_pool::is_used(&self.0.relay.settings.retries, boxes)
            || self.is_left_in_share()
    }

    /// Requests a retry from the pool of the hall, if the next attempt needs one that the box has
    /// not earned itself and the fleet is so large that the slack is pooled.
    pub async fn prepare(&self, attempts: &Attempts, end: AttemptEnd) {
        let boxes = self.0.relay.budget_boxes();
        if !attempts.may_need_budget(end)
            || !retry_pool::is_used(&self.0.relay.settings.retries, boxes)
            || matches!(lock(&self.0.call).state, State::Reserved(_))
            || self.is_left_in_share()
        {
            return;
        }
        if self.0.relay.gate.request_retry(&self.0.service).await {
            lock(&self.0.call).state = State::Granted;
        }
    }

    /// Reserves a retry after an attempt that ended like this, if one is left. One that was reserved
    /// for that attempt and not sent serves for the next.
    pub fn try_reserve(&self, call: &Call, end: AttemptEnd) -> bool {
        self.reserve_with(call, end, RetryWindow::try_reserve)
    }

    /// Reserves a retry for a stream whose caller paused, if much of the box's share is left.
    pub fn try_reserve_on_pause(&self, call: &Call) -> bool {
        let try_reserve = RetryWindow::try_reserve_on_pause;
        self.reserve_with(call, AttemptEnd::LeftUnread, try_reserve)
    }

    fn reserve_with(
        &self,
        call: &Call,
        end: AttemptEnd,
        try_reserve: impl FnOnce(&mut RetryWindow, Time, &RetryBudgetRule, usize) -> bool,
    ) -> bool {
        let mut held = lock(&self.0.call);
        if let State::Reserved(_) = held.state {
            return true;
        }
        let (now, boxes) = (self.0.relay.clock.now(), self.0.relay.budget_boxes());
        let is_own = self
            .0
            .with_window(|window, rule| try_reserve(window, now, rule, boxes));
        let source = match held.state {
            _ if is_own => RetrySource::Own,
            State::Granted => RetrySource::Pool,
            _ => {
                call_log::retry_denied(call, end, self.usage());
                return false;
            }
        };
        held.state = State::Reserved(Retry { source, after: end });
        call_log::retry_allowed(call, end, source, self.usage());
        true
    }

    /// Records that the attempt of a call is being sent to a server.
    pub fn record_sent(&self, call: &Call, server: &ServerName) -> PendingSend {
        let mut held = lock(&self.0.call);
        if let State::Reserved(retry) = held.state {
            held.state = State::Sent(retry);
            held.sends.send_retry();
            held.pending.push_back(retry.source);
            call_log::retry_sent(call, server, retry);
        }
        PendingSend {
            shared: Arc::clone(&self.0),
            call: call.id().to_owned(),
            may_have_arrived: true,
        }
    }

    fn usage(&self) -> RetryUsage {
        let (now, boxes) = (self.0.relay.clock.now(), self.0.relay.budget_boxes());
        self.0
            .with_window(|window, rule| window.usage(now, rule, boxes))
    }

    fn is_left_in_share(&self) -> bool {
        let (now, boxes) = (self.0.relay.clock.now(), self.0.relay.budget_boxes());
        self.0
            .with_window(|window, rule| window.has_retry_left(now, rule, boxes))
    }
}

impl Drop for CallRetry {
    fn drop(&mut self) {
        let state = lock(&self.0.call).state;
        let is_own = |retry: Retry| retry.source == RetrySource::Own;
        if matches!(state, State::Reserved(retry) if is_own(retry)) {
            self.0.with_window(|window, _rule| window.release());
        }
    }
}
