//! Rate limits of workspaces that hold over all boxes of a data hall without a remote call per
//! request.
//!
//! Each box admits its share of a workspace's limit. The share follows the demand that the boxes
//! report to each other: the box's own demand divided by the total, with a minimum, so that a box
//! can admit the first request of a workspace at once. A box that is partitioned from the others
//! continues with the last demand that it received; see `docs/design/fairness.md` for the resulting
//! error.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::WorkspaceName;
use crate::time::Time;

/// Half-life of the demand that a box measures.
const DEMAND_HALF_LIFE_S: f64 = 5.0;
/// Fraction of an even share that a box has without demand of its own.
const MIN_FRACTION_OF_EVEN_SHARE: f64 = 0.1;
/// Capacity of a token bucket, in seconds of its rate.
const BURST_S: f64 = 1.0;

/// Exponentially decaying sum of requested tokens.
#[derive(Debug, Default, Clone, Copy)]
struct DecayingSum {
    tokens: f64,
    updated_at: Time,
}

impl DecayingSum {
    fn add(&mut self, now: Time, tokens: f64) {
        self.tokens = self.decayed(now) + tokens;
        self.updated_at = now;
    }

    fn decayed(&self, now: Time) -> f64 {
        self.tokens * 0.5_f64.powf(now.since(self.updated_at).as_secs_f64() / DEMAND_HALF_LIFE_S)
    }

    /// Demand in tokens per second: the rate that would keep the decaying sum constant.
    fn per_second(&self, now: Time) -> f64 {
        self.decayed(now) * std::f64::consts::LN_2 / DEMAND_HALF_LIFE_S
    }
}

#[derive(Debug, Clone, Copy)]
struct Bucket {
    level: f64,
    updated_at: Time,
}

impl Bucket {
    /// Takes `amount` if the bucket is not empty, or returns the time after which to try again.
    /// The level may become negative, and then nothing is taken until it is positive again.
    fn take(&mut self, now: Time, rate: f64, amount: f64) -> Result<(), Duration> {
        let filled = self.level + now.since(self.updated_at).as_secs_f64() * rate;
        self.level = filled.min(rate * BURST_S);
        self.updated_at = now;
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
    demand: DecayingSum,
    peer_demand: f64,
    requests: Bucket,
    tokens: Bucket,
}

impl WorkspaceState {
    /// State at the first request of a workspace: the buckets are full.
    const fn new(now: Time) -> Self {
        let full = Bucket {
            level: f64::MAX,
            updated_at: now,
        };
        Self {
            demand: DecayingSum {
                tokens: 0.0,
                updated_at: Time::ZERO,
            },
            peer_demand: 0.0,
            requests: full,
            tokens: full,
        }
    }
}

/// Rate limits of one workspace over all boxes of a hall.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HallLimit {
    /// Requests per second.
    pub requests_per_s: u64,
    /// Prompt tokens per second.
    pub tokens_per_s: u64,
}

/// Rate limits of all workspaces, as enforced by one box.
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
    /// Sets the number of boxes of the hall that share the limits, including this one.
    pub fn set_boxes(&mut self, boxes: usize) {
        self.boxes = boxes.max(1);
    }

    /// Sets the total demand that the other boxes of the hall reported, in tokens per second.
    pub fn set_peer_demand(&mut self, now: Time, peer_demand: &BTreeMap<WorkspaceName, f64>) {
        for (name, demand) in peer_demand {
            self.state(now, name).peer_demand = *demand;
        }
        for (name, state) in &mut self.workspaces {
            if !peer_demand.contains_key(name) {
                state.peer_demand = 0.0;
            }
        }
    }

    /// This box's demand in tokens per second, of at most `max` workspaces with the highest demand.
    /// Workspaces below one token per second are left out.
    pub fn own_demand(&self, now: Time, max: usize) -> Vec<(WorkspaceName, f64)> {
        let mut demands: Vec<_> = self
            .workspaces
            .iter()
            .map(|(name, state)| (name.clone(), state.demand.per_second(now)))
            .filter(|(_, demand)| *demand >= 1.0)
            .collect();
        demands.sort_by(|a, b| b.1.total_cmp(&a.1));
        demands.truncate(max);
        demands
    }

    /// This box's share of a workspace's limit, between 0 and 1.
    pub fn share(&self, now: Time, name: &WorkspaceName) -> f64 {
        let even_share = 1.0 / self.boxes as f64;
        let Some(state) = self.workspaces.get(name) else {
            return even_share;
        };
        let own = state.demand.per_second(now);
        let total = own + state.peer_demand;
        if total <= 0.0 {
            return even_share;
        }
        let floor = even_share * MIN_FRACTION_OF_EVEN_SHARE;
        floor + (1.0 - MIN_FRACTION_OF_EVEN_SHARE) * own / total
    }

    /// Admits a request of `tokens`, unless this box's share of a rate limit is used up.
    ///
    /// # Errors
    ///
    /// The time after which this box's share of the limit admits requests again.
    pub fn admit(
        &mut self,
        now: Time,
        name: &WorkspaceName,
        limit: HallLimit,
        tokens: u64,
    ) -> Result<(), Duration> {
        self.state(now, name).demand.add(now, tokens as f64);
        let share = self.share(now, name);
        let request_rate = limit.requests_per_s as f64 * share;
        let token_rate = limit.tokens_per_s as f64 * share;
        let state = self.state(now, name);
        let tokens_before = state.tokens;
        state.tokens.take(now, token_rate, tokens as f64)?;
        let admitted = state.requests.take(now, request_rate, 1.0);
        if admitted.is_err() {
            state.tokens = tokens_before;
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
            .expect("the entry was just inserted")
    }
}
