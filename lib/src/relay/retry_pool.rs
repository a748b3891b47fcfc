//! Retries that the boxes of a data hall take from a common pool.
//!
//! The slack of the retry budget is divided among all boxes. In a large fleet the share of a box is
//! less than a few retries, most of which are never used, while a box at which several calls fail
//! needs more. The slack then belongs to pools, one for each hall, and the first live box of the
//! hall grants retries from it. What a box earns by its own first sends remains its own.
//!
//! The budget holds without agreement on the owner: a new one is granted its pool only gradually, see
//! [`crate::relay::retry_allowance`]. Owners that may exist at the same time in parts of a hall
//! divide the pool.

use std::collections::HashMap;
use std::time::Duration;

use crate::relay::retry_allowance::AT_ONCE_FRACTION;
use crate::relay::retry_allowance::Allowance;
use crate::relay::retry_allowance::CountedRetries;
use crate::relay::retry_allowance::SPENDABLE_FRACTION;
use crate::relay::retry_window::RetryBudgetRule;
use crate::relay::server_paths::ServiceKey;
use crate::time::Time;

/// Slack per box, in retries per window, below which a box uses the pool instead. With less, most of
/// the slack is at boxes that do not need it.
const MIN_OWN_SLACK: f64 = 4.0;

/// Whether boxes take retries from pools in a fleet of this size.
pub fn is_used(budget: &RetryBudgetRule, boxes: usize) -> bool {
    budget.slack < MIN_OWN_SLACK * boxes as f64
}

/// The part of a fleet for which a pool is granted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PoolScope {
    /// Known boxes of all halls.
    pub boxes: usize,
    /// Known boxes of the hall.
    pub hall_boxes: usize,
    /// Number of owners that may exist at the same time.
    pub owners: usize,
}

impl PoolScope {
    /// Retries per window.
    fn size(&self, budget: &RetryBudgetRule) -> f64 {
        let part = self.hall_boxes as f64 / self.boxes.max(1) as f64;
        SPENDABLE_FRACTION * budget.slack * part / self.owners.max(1) as f64
    }
}

/// Retries that this box granted as the owner of its hall's pool.
#[derive(Debug, Default)]
pub struct RetryPool {
    /// Since when it has been the owner without interruption.
    owner_since: Option<Time>,
    granted: HashMap<ServiceKey, CountedRetries>,
}

impl RetryPool {
    /// Grants a retry, if the pool has one left. This box owns the pool now.
    pub fn try_grant(
        &mut self,
        now: Time,
        service: ServiceKey,
        budget: &RetryBudgetRule,
        scope: PoolScope,
    ) -> bool {
        let held_for = now.since(*self.owner_since.get_or_insert(now));
        let size = scope.size(budget);
        let allowance = Allowance {
            window: budget.window,
            held_for,
            at_once: AT_ONCE_FRACTION * size,
            accrued: |span: Duration| {
                (1.0 - AT_ONCE_FRACTION) * size * span.div_duration_f64(budget.window)
            },
        };
        let granted = self.granted.entry(service).or_default();
        let is_granted = granted.allow_another(now, &allowance);
        if is_granted {
            granted.reserve();
            granted.record_arrival(now);
        }
        is_granted
    }

    /// Records whether this box is the owner, which it has to be without interruption.
    pub fn set_owner(&mut self, now: Time, is_owner: bool) {
        self.owner_since = match self.owner_since {
            _ if !is_owner => None,
            Some(since) => Some(since),
            None => Some(now),
        };
    }
}
