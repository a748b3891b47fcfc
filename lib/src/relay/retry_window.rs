//! The share of a fleet-wide retry budget that one box may spend.
//!
//! The budget holds over all boxes in every sliding window, and nothing coordinates it. Each
//! box earns a ratio of its own first sends within the window and gets an even part of the
//! slack, worked out for twice the boxes it knows: so the sum holds while boxes start again,
//! are cut off, or have not heard of each other.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Time;

/// Slices of the window; the oldest counts for repeats only, so that counts err on the low side.
const SLICES: u32 = 10;
/// Part of the earned ratio that is spent; the rest covers a box that loses its count.
const EARNED_PART: f64 = 0.8;
/// Boxes assumed for each one known: restarts forget what they spent.
const ASSUMED_PER_KNOWN: f64 = 2.0;

/// What the budget is, over all boxes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudgetRule {
    /// Length of the sliding window.
    pub window: Duration,
    /// Repeats allowed for each first send.
    pub ratio: f64,
    /// Repeats allowed beside those, in each window.
    pub slack: f64,
}

#[derive(Debug, Clone, Copy)]
struct Slice {
    number: u64,
    firsts: u32,
    repeats: u32,
}

/// One box's count for one service.
#[derive(Debug, Default)]
pub struct RetryWindow {
    slices: VecDeque<Slice>,
}

impl RetryWindow {
    /// Counts a first send.
    pub fn record_first_send(&mut self, now: Time, rule: &RetryBudgetRule) {
        self.slice(now, rule).firsts += 1;
    }

    /// Whether the box's share has a repeat left.
    pub fn has_retry_left(&mut self, now: Time, rule: &RetryBudgetRule, boxes: usize) -> bool {
        let current = self.slice(now, rule).number;
        let firsts: u32 = (self.slices.iter())
            .filter(|slice| slice.number + u64::from(SLICES) > current)
            .map(|slice| slice.firsts)
            .sum();
        let repeats: u32 = self.slices.iter().map(|slice| slice.repeats).sum();
        let share = rule.slack / (ASSUMED_PER_KNOWN * boxes.max(1) as f64);
        let allowed = rule.ratio * EARNED_PART * f64::from(firsts) + share;
        f64::from(repeats) + 1.0 <= allowed
    }

    /// Takes one repeat if the box's share has one left.
    pub fn try_spend(&mut self, now: Time, rule: &RetryBudgetRule, boxes: usize) -> bool {
        let allows = self.has_retry_left(now, rule, boxes);
        if allows {
            self.slice(now, rule).repeats += 1;
        }
        allows
    }

    fn slice(&mut self, now: Time, rule: &RetryBudgetRule) -> &mut Slice {
        let length = (rule.window / SLICES).as_micros().max(1) as u64;
        let number = now.as_micros() / length;
        self.slices
            .retain(|slice| slice.number + u64::from(SLICES) >= number);
        if self.slices.back().is_none_or(|last| last.number != number) {
            self.slices.push_back(Slice {
                number,
                firsts: 0,
                repeats: 0,
            });
        }
        self.slices.back_mut().expect("a slice was just pushed")
    }
}
