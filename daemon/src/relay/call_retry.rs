//! The retry of a call, from the decision to the send.
//!
//! A call may wait between the two, and its connection may be refused. The retry budget bounds what
//! reaches servers, so a retry is reserved until it is sent, and is kept for the next attempt if
//! nothing was sent.

use std::sync::Arc;
use std::sync::Mutex;

use badgerferry_lib::relay::attempts::AttemptEnd;
use badgerferry_lib::relay::attempts::Attempts;
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

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// No retry is held.
    Idle,
    /// The pool granted one that the call may not need.
    Granted,
    /// The next attempt is a retry.
    Reserved(RetrySource),
    /// It was sent.
    Sent(RetrySource, Time),
}

/// The retry that a call holds. Dropped before the send, it is given back.
#[derive(Debug)]
pub struct CallRetry {
    relay: Arc<Relay>,
    service: ServiceName,
    state: Mutex<State>,
}

impl CallRetry {
    /// No retry.
    pub fn new(relay: &Arc<Relay>, service: &ServiceName) -> Self {
        Self {
            relay: Arc::clone(relay),
            service: service.clone(),
            state: Mutex::new(State::Idle),
        }
    }

    /// Counts the first send of the call.
    pub fn record_first_send(&self, at: Time) {
        self.with_window(|window, rule| window.record_first_send(at, rule));
    }

    /// Whether the retry budget may have a retry left.
    pub fn may_be_left(&self) -> bool {
        let boxes = self.relay.budget_boxes();
        matches!(*lock(&self.state), State::Reserved(_))
            || retry_pool::is_used(&self.relay.settings.retries, boxes)
            || self.is_left_in_share()
    }

    /// Requests a retry from the pool of the hall, if the next attempt needs one that the box has
    /// not earned itself and the fleet is so large that the slack is pooled.
    pub async fn prepare(&self, attempts: &Attempts, end: AttemptEnd) {
        let boxes = self.relay.budget_boxes();
        if !attempts.may_need_budget(end)
            || !retry_pool::is_used(&self.relay.settings.retries, boxes)
            || matches!(*lock(&self.state), State::Reserved(_))
            || self.is_left_in_share()
        {
            return;
        }
        if self.relay.gate.request_retry(&self.service).await {
            *lock(&self.state) = State::Granted;
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
        let mut state = lock(&self.state);
        if let State::Reserved(_) = *state {
            return true;
        }
        let (now, boxes) = (self.relay.clock.now(), self.relay.budget_boxes());
        let is_own = self.with_window(|window, rule| try_reserve(window, now, rule, boxes));
        let source = match *state {
            _ if is_own => RetrySource::Own,
            State::Granted => RetrySource::Pool,
            _ => {
                call_log::retry_denied(call, end, self.usage());
                return false;
            }
        };
        *state = State::Reserved(source);
        call_log::retry_allowed(call, end, source, self.usage());
        true
    }

    /// Records that the attempt is being sent.
    pub fn record_sent(&self) {
        let mut state = lock(&self.state);
        if let State::Reserved(source) = *state {
            let now = self.relay.clock.now();
            if source == RetrySource::Own {
                self.with_window(|window, _rule| window.send(now));
            }
            *state = State::Sent(source, now);
        }
    }

    /// Records that nothing of the attempt reached its server.
    pub fn record_not_sent(&self) {
        let mut state = lock(&self.state);
        if let State::Sent(source, at) = *state {
            if source == RetrySource::Own {
                self.with_window(|window, _rule| window.undo_send(at));
            }
            *state = State::Reserved(source);
        }
    }

    fn usage(&self) -> RetryUsage {
        let (now, boxes) = (self.relay.clock.now(), self.relay.budget_boxes());
        self.with_window(|window, rule| window.usage(now, rule, boxes))
    }

    fn is_left_in_share(&self) -> bool {
        let (now, boxes) = (self.relay.clock.now(), self.relay.budget_boxes());
        self.with_window(|window, rule| window.has_retry_left(now, rule, boxes))
    }

    fn with_window<T>(&self, f: impl FnOnce(&mut RetryWindow, &RetryBudgetRule) -> T) -> T {
        let mut retries = lock(&self.relay.retries);
        let window = retries.entry(self.service.clone());
        // The clock starts with the process.
        let window = window.or_insert_with(|| RetryWindow::new(Time::ZERO));
        f(window, &self.relay.settings.retries)
    }
}

impl Drop for CallRetry {
    fn drop(&mut self) {
        if *lock(&self.state) == State::Reserved(RetrySource::Own) {
            self.with_window(|window, _rule| window.release());
        }
    }
}
