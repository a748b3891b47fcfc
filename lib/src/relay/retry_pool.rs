//! Retries that the boxes of a data hall take from a common pool.
//!
//! The slack of the retry budget is divided among all boxes. In a large fleet the share of a box is
//! less than a few retries, most of which are never used, while a box at which several calls fail
//! needs more. The slack then belongs to pools, one for each hall, and the first live box of the
//! hall grants retries from it. What a box earns by its own first sends remains its own.
//!
//! The budget holds without agreement on the owner. Half of the slack is divided among the pools,
//! and a new owner is granted its pool only gradually, over one window. So an owner and those that
//! follow it grant at most two pools in any window, however often the owner changes. Owners that may
//! exist at the same time in parts of a hall divide the pool.

use std::collections::HashMap;
use std::collections::VecDeque;

use crate::relay::retry_window::RetryBudgetRule;
use crate::relay::server_paths::ServiceKey;
use crate::time::Time;

/// Share of the slack, in retries per window, below which a box uses the pool instead. With fewer,
/// most of the slack is at boxes that do not need it.
const MIN_OWN_SHARE: f64 = 2.0;
/// Pools granted in one window, at most: that of an owner, and that of the ones that follow it.
const ASSUMED_POOLS_PER_HALL: f64 = 2.0;

/// Whether boxes take retries from pools in a fleet of this size.
pub fn is_used(budget: &RetryBudgetRule, boxes: usize) -> bool {
    budget.own_slack(boxes) < MIN_OWN_SHARE
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
        budget.slack * part / (ASSUMED_POOLS_PER_HALL * self.owners.max(1) as f64)
    }
}

/// Retries that this box granted as the owner of its hall's pool.
#[derive(Debug, Default)]
pub struct RetryPool {
    /// Since when it has been the owner without interruption.
    owner_since: Option<Time>,
    granted: HashMap<ServiceKey, VecDeque<Time>>,
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
        let owned_for = now.since(*self.owner_since.get_or_insert(now));
        let fraction = owned_for.div_duration_f64(budget.window).min(1.0);
        let granted = self.granted.entry(service).or_default();
        while granted
            .front()
            .is_some_and(|at| now.since(*at) >= budget.window)
        {
            granted.pop_front();
        }
        let is_granted = granted.len() as f64 + 1.0 <= scope.size(budget) * fraction;
        if is_granted {
            granted.push_back(now);
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
