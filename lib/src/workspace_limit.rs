//! Workspace limits that hold over all boxes of a data hall without a call per request.
//!
//! Each box admits its part of a workspace's limit. The part follows the demand that the
//! boxes tell each other: own demand over the sum, with a floor, so that a box that sees
//! its first request of a workspace can admit it at once. A box that is cut off goes on
//! with the last demand it heard; how far off that can be is in `docs/design/fairness.md`.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::WorkspaceName;
use crate::time::Time;

/// Half-life of the demand that a box observes.
const DEMAND_HALF_LIFE_S: f64 = 5.0;
/// Part of an even split that a box has without demand of its own.
const FLOOR_OF_EVEN_SPLIT: f64 = 0.1;
/// Seconds of a limit that a bucket saves up.
const BURST_S: f64 = 1.0;

/// Decaying rate of tokens asked for.
#[derive(Debug, Default, Clone, Copy)]
struct Rate {
    tokens: f64,
    at: Time,
}

impl Rate {
    fn count(&mut self, now: Time, tokens: f64) {
        self.tokens = self.decayed(now) + tokens;
        self.at = now;
    }

    fn decayed(&self, now: Time) -> f64 {
        self.tokens * 0.5_f64.powf(now.since(self.at).as_secs_f64() / DEMAND_HALF_LIFE_S)
    }

    /// Tokens a second that would keep the decaying sum where it is.
    fn per_second(&self, now: Time) -> f64 {
        self.decayed(now) * std::f64::consts::LN_2 / DEMAND_HALF_LIFE_S
    }
}

#[derive(Debug, Clone, Copy)]
struct Bucket {
    level: f64,
    at: Time,
}

impl Bucket {
    /// Takes `amount` if the bucket is not empty; it may go into debt once.
    fn take(&mut self, now: Time, rate: f64, amount: f64) -> Result<(), Duration> {
        let filled = self.level + now.since(self.at).as_secs_f64() * rate;
        self.level = filled.min(rate * BURST_S);
        self.at = now;
        match (rate > 0.0, self.level > 0.0) {
            (false, _) => Err(Duration::from_mins(1)),
            (true, false) => Err(Duration::from_secs_f64((1.0 - self.level) / rate)),
            (true, true) => {
                self.level -= amount;
                Ok(())
            }
        }
    }
}

#[derive(Debug)]
struct WorkspaceState {
    demand: Rate,
    others: f64,
    requests: Bucket,
    tokens: Bucket,
}

impl WorkspaceState {
    /// A workspace that asks for the first time: its buckets are full.
    const fn new(now: Time) -> Self {
        let full = Bucket {
            level: f64::MAX,
            at: now,
        };
        Self {
            demand: Rate {
                tokens: 0.0,
                at: Time::ZERO,
            },
            others: 0.0,
            requests: full,
            tokens: full,
        }
    }
}

/// A workspace's limits for the whole hall.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HallLimit {
    /// Requests a second.
    pub requests_per_s: u64,
    /// Tokens a second.
    pub tokens_per_s: u64,
}

/// Limits of all workspaces at one box.
#[derive(Debug)]
pub struct WorkspaceLimits {
    boxes: usize,
    workspaces: BTreeMap<WorkspaceName, WorkspaceState>,
}

impl Default for WorkspaceLimits {
    fn default() -> Self {
        Self {
            boxes: 1,
            workspaces: BTreeMap::new(),
        }
    }
}

impl WorkspaceLimits {
    /// Sets how many boxes of the hall share the limits; at least this one.
    pub fn set_boxes(&mut self, boxes: usize) {
        self.boxes = boxes.max(1);
    }

    /// Sets the demand that the other boxes of the hall told of, in tokens a second.
    pub fn set_peer_demand(&mut self, now: Time, others: &BTreeMap<WorkspaceName, f64>) {
        for (name, demand) in others {
            self.state(now, name).others = *demand;
        }
        for (name, state) in &mut self.workspaces {
            if !others.contains_key(name) {
                state.others = 0.0;
            }
        }
    }

    /// Own demand, in tokens a second, of the workspaces that ask for most.
    pub fn own_demand(&self, now: Time, most: usize) -> Vec<(WorkspaceName, f64)> {
        let mut rows: Vec<_> = self
            .workspaces
            .iter()
            .map(|(name, state)| (name.clone(), state.demand.per_second(now)))
            .filter(|(_, demand)| *demand >= 1.0)
            .collect();
        rows.sort_by(|a, b| b.1.total_cmp(&a.1));
        rows.truncate(most);
        rows
    }

    /// This box's part of a workspace's limit, between 0 and 1.
    pub fn share(&self, now: Time, name: &WorkspaceName) -> f64 {
        let even = 1.0 / self.boxes as f64;
        let Some(state) = self.workspaces.get(name) else {
            return even;
        };
        let own = state.demand.per_second(now);
        let total = own + state.others;
        if total <= 0.0 {
            return even;
        }
        let floor = even * FLOOR_OF_EVEN_SPLIT;
        floor + (1.0 - FLOOR_OF_EVEN_SPLIT) * own / total
    }

    /// Admits a request of `tokens`, or says when to come back.
    ///
    /// # Errors
    ///
    /// The time after which the box's part of the limit has room again.
    pub fn admit(
        &mut self,
        now: Time,
        name: &WorkspaceName,
        limit: HallLimit,
        tokens: u64,
    ) -> Result<(), Duration> {
        self.state(now, name).demand.count(now, tokens as f64);
        let share = self.share(now, name);
        let request_rate = limit.requests_per_s as f64 * share;
        let token_rate = limit.tokens_per_s as f64 * share;
        let state = self.state(now, name);
        let kept = state.tokens;
        state.tokens.take(now, token_rate, tokens as f64)?;
        let admitted = state.requests.take(now, request_rate, 1.0);
        if admitted.is_err() {
            state.tokens = kept;
        }
        admitted
    }

    fn state(&mut self, now: Time, name: &WorkspaceName) -> &mut WorkspaceState {
        if !self.workspaces.contains_key(name) {
            self.workspaces
                .insert(name.clone(), WorkspaceState::new(now));
        }
        self.workspaces
            .get_mut(name)
            .expect("it was just put there")
    }
}
