//! One box's share of a fleet-wide retry budget.
//!
//! The budget applies to the sum over all boxes in every sliding window, without coordination. Each
//! box earns retries in proportion to its own first sends within the window, and in addition gets
//! the slack divided by the number of boxes that it knows. How much of both it may send at a time is
//! in [`crate::relay::retry_allowance`]; so the sum stays within the budget while boxes restart. In a
//! fleet of so many boxes that a share is too small to be of use, the slack belongs to
//! [`crate::relay::retry_pool`] instead.

use std::collections::VecDeque;
use std::time::Duration;

use crate::relay::retry_allowance::AT_ONCE_FRACTION;
use crate::relay::retry_allowance::Allowance;
use crate::relay::retry_allowance::CountedRetries;
use crate::relay::retry_allowance::SPENDABLE_FRACTION;
use crate::relay::retry_pool;
use crate::time::Time;

/// Number of slices in which first sends are counted within the window. A slice counts only if it is
/// wholly inside, so that the inaccuracy can only lower the allowance.
const SLICES: u32 = 50;
/// Fraction of a box's share that retries which callers cause by pausing leave to all others.
const RESERVED_FRACTION: f64 = 0.5;

/// Retry budget for the sum over all boxes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudgetRule {
    /// Length of the sliding window.
    pub window: Duration,
    /// Retries allowed per first send.
    pub ratio: f64,
    /// Retries allowed in addition, per window.
    pub slack: f64,
}

impl RetryBudgetRule {
    /// One box's share of the slack, in retries per window. None if it knows no boxes, itself
    /// included: then it has not read their list yet.
    pub(crate) fn own_slack(&self, boxes: usize) -> f64 {
        match boxes {
            0 => 0.0,
            boxes => SPENDABLE_FRACTION * self.slack / boxes as f64,
        }
    }
}

/// What a box used of its part of the budget in the window that ends now.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryUsage {
    /// Retries that have arrived, or may arrive yet.
    pub spent: usize,
    /// Those of them that may arrive yet.
    pub pending: usize,
    /// Retries earned by first sends.
    pub earned: f64,
    /// The box's share of the slack.
    pub share: f64,
}

#[derive(Debug, Clone, Copy)]
struct Slice {
    started: Time,
    first_sends: u32,
}

/// First sends of the window.
#[derive(Debug, Default)]
struct FirstSends {
    slices: VecDeque<Slice>,
}

/// One box's first sends and retries of one service in the sliding window.
#[derive(Debug)]
pub struct RetryWindow {
    first_sends: FirstSends,
    retries: CountedRetries,
    /// Since when the box has its share.
    held_since: Time,
    /// Whether the slack belonged to the pools when it was last used.
    is_pooled: bool,
}

impl RetryWindow {
    /// Window of a box that started at `started`.
    pub const fn new(started: Time) -> Self {
        Self {
            first_sends: FirstSends {
                slices: VecDeque::new(),
            },
            retries: CountedRetries::new(),
            held_since: started,
            is_pooled: false,
        }
    }

    /// Records since when the box has its share, if that is later than known.
    pub fn hold_since(&mut self, since: Time) {
        self.held_since = self.held_since.max(since);
    }

    /// Counts the first send of a call.
    pub fn record_first_send(&mut self, now: Time, budget: &RetryBudgetRule) {
        self.first_sends.record(now, budget.window);
    }

    /// Whether the box's share allows another retry.
    pub fn has_retry_left(&mut self, now: Time, budget: &RetryBudgetRule, boxes: usize) -> bool {
        self.has_share_left(1.0, now, budget, boxes)
    }

    /// Reserves a retry if the box's share allows it, until
    /// [`Self::record_arrival`] or [`Self::release`].
    pub fn try_reserve(&mut self, now: Time, budget: &RetryBudgetRule, boxes: usize) -> bool {
        let is_allowed = self.has_share_left(1.0, now, budget, boxes);
        self.reserve_if(is_allowed)
    }

    /// Reserves a retry that is needed only because a caller paused, if much of the box's share is
    /// left: such callers can't use up what retries after failures need.
    pub fn try_reserve_on_pause(
        &mut self,
        now: Time,
        budget: &RetryBudgetRule,
        boxes: usize,
    ) -> bool {
        let is_allowed = self.has_share_left(1.0 - RESERVED_FRACTION, now, budget, boxes);
        self.reserve_if(is_allowed)
    }

    /// Gives up a reserved retry.
    pub fn release(&mut self) {
        self.retries.release();
    }

    /// Records that a reserved retry has arrived at its server by now.
    pub fn record_arrival(&mut self, now: Time) {
        self.retries.record_arrival(now);
    }

    /// What the box used of its part of the budget.
    pub fn usage(&mut self, now: Time, budget: &RetryBudgetRule, boxes: usize) -> RetryUsage {
        RetryUsage {
            spent: self.retries.count(now, budget.window),
            pending: self.retries.pending(),
            earned: self.first_sends.earned(now, budget, budget.window),
            share: own_share(budget, boxes),
        }
    }

    /// Whether this fraction of the box's share allows another retry.
    fn has_share_left(
        &mut self,
        fraction: f64,
        now: Time,
        budget: &RetryBudgetRule,
        boxes: usize,
    ) -> bool {
        self.follow_owner(now, retry_pool::is_used(budget, boxes));
        let first_sends = &self.first_sends;
        let share = own_share(budget, boxes);
        let earned = first_sends.earned(now, budget, budget.window);
        let accrued = |span: Duration| {
            let part = span.div_duration_f64(budget.window);
            let gradual = share * part + first_sends.earned(now, budget, span);
            (1.0 - AT_ONCE_FRACTION) * gradual * fraction
        };
        let allowance = Allowance {
            window: budget.window,
            held_for: now.since(self.held_since),
            at_once: AT_ONCE_FRACTION * (share + earned) * fraction,
            accrued,
        };
        self.retries.allow_another(now, &allowance)
    }

    /// Begins anew when the slack comes back from the pools, whose owners may just have granted it.
    fn follow_owner(&mut self, now: Time, is_pooled: bool) {
        if self.is_pooled && !is_pooled {
            self.held_since = now;
        }
        self.is_pooled = is_pooled;
    }

    fn reserve_if(&mut self, is_allowed: bool) -> bool {
        if is_allowed {
            self.retries.reserve();
        }
        is_allowed
    }
}

impl FirstSends {
    fn record(&mut self, now: Time, window: Duration) {
        let length = (window / SLICES).as_micros().max(1) as u64;
        let started = Time::from_micros(now.as_micros() / length * length);
        while (self.slices.front()).is_some_and(|slice| now.since(slice.started) > window) {
            self.slices.pop_front();
        }
        match self.slices.back_mut() {
            Some(last) if last.started >= started => last.first_sends += 1,
            _ => self.slices.push_back(Slice {
                started,
                first_sends: 1,
            }),
        }
    }

    /// Retries earned in a span that ends now.
    fn earned(&self, now: Time, budget: &RetryBudgetRule, span: Duration) -> f64 {
        let slices = self.slices.iter().rev();
        let inside = slices.take_while(|slice| now.since(slice.started) <= span);
        let first_sends: u32 = inside.map(|slice| slice.first_sends).sum();
        SPENDABLE_FRACTION * budget.ratio * f64::from(first_sends)
    }
}

fn own_share(budget: &RetryBudgetRule, boxes: usize) -> f64 {
    if retry_pool::is_used(budget, boxes) {
        0.0
    } else {
        budget.own_slack(boxes)
    }
}
