//! One box's share of a fleet-wide retry budget.
//!
//! The budget applies to the sum over all boxes in every sliding window, without coordination. Each
//! box earns retries in proportion to its own first sends within the window, and in addition gets
//! the slack divided by twice the number of boxes that it knows. So the sum stays within the budget
//! while boxes restart, are partitioned, or do not know of each other. In a fleet of so many boxes
//! that this is too little to be of use, the slack belongs to [`crate::relay::retry_pool`] instead.

use std::collections::VecDeque;
use std::time::Duration;

use crate::relay::retry_pool;
use crate::time::Time;

/// Number of slices in which sends are counted within the window. The slice that is only partly
/// inside the window counts for retries but not for first sends, so that the inaccuracy can only
/// lower the allowance.
const SLICES: u32 = 10;
/// Fraction of the earned retries that may be spent. The rest covers boxes that restart and lose
/// their counts.
const SPENDABLE_FRACTION: f64 = 0.8;
/// Fraction of a box's share that retries which callers cause by pausing leave to all others.
const RESERVED_FRACTION: f64 = 0.5;
/// Boxes assumed per known box: a restarted box does not know what it spent before.
const ASSUMED_BOXES_PER_KNOWN: f64 = 2.0;

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
    /// One box's share of the slack, in retries per window.
    pub(crate) fn own_slack(&self, boxes: usize) -> f64 {
        self.slack / (ASSUMED_BOXES_PER_KNOWN * boxes.max(1) as f64)
    }
}

/// What a box used of its part of the budget in the window that ends now.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryUsage {
    /// Retries spent.
    pub spent: u32,
    /// Retries earned by first sends.
    pub earned: f64,
    /// The box's share of the slack.
    pub share: f64,
}

#[derive(Debug, Clone, Copy)]
struct Slice {
    number: u64,
    first_sends: u32,
    retries: u32,
}

/// One box's first sends and retries of one service in the sliding window.
#[derive(Debug, Default)]
pub struct RetryWindow {
    slices: VecDeque<Slice>,
}

impl RetryWindow {
    /// Counts the first send of a call.
    pub fn record_first_send(&mut self, now: Time, budget: &RetryBudgetRule) {
        self.slice(now, budget).first_sends += 1;
    }

    /// Whether the box's share allows another retry.
    pub fn has_retry_left(&mut self, now: Time, budget: &RetryBudgetRule, boxes: usize) -> bool {
        self.has_share_left(1.0, now, budget, boxes)
    }

    /// Counts a retry if the box's share allows it.
    pub fn try_spend(&mut self, now: Time, budget: &RetryBudgetRule, boxes: usize) -> bool {
        let is_allowed = self.has_share_left(1.0, now, budget, boxes);
        self.count_if(is_allowed, now, budget)
    }

    /// Counts a retry that is needed only because a caller paused, if much of the box's share is
    /// left: such callers can't use up what retries after failures need.
    pub fn try_spend_on_pause(
        &mut self,
        now: Time,
        budget: &RetryBudgetRule,
        boxes: usize,
    ) -> bool {
        let is_allowed = self.has_share_left(1.0 - RESERVED_FRACTION, now, budget, boxes);
        self.count_if(is_allowed, now, budget)
    }

    /// What the box used of its part of the budget.
    pub fn usage(&mut self, now: Time, budget: &RetryBudgetRule, boxes: usize) -> RetryUsage {
        let current = self.slice(now, budget).number;
        let first_sends: u32 = (self.slices.iter())
            .filter(|slice| slice.number + u64::from(SLICES) > current)
            .map(|slice| slice.first_sends)
            .sum();
        let share = if retry_pool::is_used(budget, boxes) {
            0.0
        } else {
            budget.own_slack(boxes)
        };
        RetryUsage {
            spent: self.slices.iter().map(|slice| slice.retries).sum(),
            earned: budget.ratio * SPENDABLE_FRACTION * f64::from(first_sends),
            share,
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
        let used = self.usage(now, budget, boxes);
        f64::from(used.spent) + 1.0 <= (used.earned + used.share) * fraction
    }

    fn count_if(&mut self, is_allowed: bool, now: Time, budget: &RetryBudgetRule) -> bool {
        if is_allowed {
            self.slice(now, budget).retries += 1;
        }
        is_allowed
    }

    fn slice(&mut self, now: Time, budget: &RetryBudgetRule) -> &mut Slice {
        let length = (budget.window / SLICES).as_micros().max(1) as u64;
        let number = now.as_micros() / length;
        self.slices
            .retain(|slice| slice.number + u64::from(SLICES) >= number);
        if self.slices.back().is_none_or(|last| last.number != number) {
            self.slices.push_back(Slice {
                number,
                first_sends: 0,
                retries: 0,
            });
        }
        self.slices.back_mut().expect("a slice was just pushed")
    }
}
