//! How many retries the holder of a part of the retry budget may send.
//!
//! The budget bounds the retries of all holders in every sliding window. A holder that has just
//! started, or taken over a part, does not know what its predecessors sent in the window. Therefore
//! only a fraction of a part may be sent at once. The rest accrues over one window, and a holder that
//! is younger than a window has only what has accrued since its start.
//!
//! What counts is the arrival at the server, which may come long after the decision. A retry counts as
//! arriving now from its decision until it has arrived, and from then on for a window.
//!
//! So the holders of one part that follow each other stay within it, however many they are: the one
//! at the start of a window sends at most the fraction at once and what accrued until its end, and
//! each later one at most what accrued in its own time.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Time;

/// Fraction of a part that a holder older than a window may send at once.
pub(crate) const AT_ONCE_FRACTION: f64 = 0.6;
/// Fraction of the budget that is given out. The rest covers calls that move to other boxes within a
/// window, and boxes that are not known yet.
pub(crate) const SPENDABLE_FRACTION: f64 = 0.8;

/// What a holder may send.
pub(crate) struct Allowance<F> {
    /// Length of the window.
    pub window: Duration,
    /// How long the part has been held.
    pub held_for: Duration,
    /// Retries that may arrive at once.
    pub at_once: f64,
    /// Retries that accrued over the last span of this length, at most a window.
    pub accrued: F,
}

/// Retries of a holder that arrived at servers within the window, and those that may arrive yet.
#[derive(Debug, Default)]
pub(crate) struct CountedRetries {
    times: VecDeque<Time>,
    /// Retries that were decided and have not arrived yet.
    pending: usize,
}

impl CountedRetries {
    pub const fn new() -> Self {
        Self {
            times: VecDeque::new(),
            pending: 0,
        }
    }

    /// Whether another retry is within the allowance in every span that ends now.
    pub fn allow_another<F: Fn(Duration) -> f64>(
        &mut self,
        now: Time,
        allowance: &Allowance<F>,
    ) -> bool {
        self.expire(now, allowance.window);
        let first = self.pending + 1;
        if allowance.held_for < allowance.window {
            let ages = self.times.iter().map(|at| now.since(*at));
            let sent = ages.filter(|age| *age <= allowance.held_for).count();
            return (first + sent) as f64 <= (allowance.accrued)(allowance.held_for);
        }
        let is_within =
            |count: usize, span| count as f64 <= allowance.at_once + (allowance.accrued)(span);
        let mut spans = self.times.iter().rev().map(|at| now.since(*at)).enumerate();
        is_within(first, Duration::ZERO)
            && spans.all(|(later, span)| is_within(first + later + 1, span))
    }

    /// Reserves a retry.
    pub fn reserve(&mut self) {
        self.pending += 1;
    }

    /// Gives up a reserved retry.
    pub fn release(&mut self) {
        self.pending = self.pending.saturating_sub(1);
    }

    /// Records that a reserved retry has arrived by now.
    pub fn record_arrival(&mut self, now: Time) {
        self.release();
        self.times.push_back(now);
    }

    /// Number of retries that have not arrived yet.
    pub const fn pending(&self) -> usize {
        self.pending
    }

    /// Number of retries, those that have not arrived yet included.
    pub fn count(&mut self, now: Time, window: Duration) -> usize {
        self.expire(now, window);
        self.times.len() + self.pending
    }

    fn expire(&mut self, now: Time, window: Duration) {
        while self
            .times
            .front()
            .is_some_and(|at| now.since(*at) >= window)
        {
            self.times.pop_front();
        }
    }
}
