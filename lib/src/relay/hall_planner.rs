//! Chooses the hall in which a generation runs.
//!
//! Where halls are cells (see [`gossip_topology`](crate::relay::gossip_topology)), a box has fresh
//! data about the engines of its own hall, while data about other halls is some tenths of a second
//! old. A short call therefore runs in the own hall if it can be on time there, and otherwise in the
//! hall that is expected to be fastest. A long prompt prefers the engines of the own hall but may
//! use those of several halls. Alternatives considered: see `docs/design/cells.md`.

use std::time::Duration;

use rand::Rng;

use crate::relay::call::PromptSize;
use crate::relay::engine_plan;
use crate::relay::engine_plan::EnginePlan;
use crate::relay::engine_plan::EnginePool;
use crate::relay::engine_plan::EngineState;
use crate::relay::engine_plan::LatencyTargets;
use crate::relay::gossip_topology::GossipScope;

/// Fraction of the time until its first event is due that a short call may be expected to take in
/// its own hall. The rest is a margin: about half of all calls exceed their estimate.
const LOCAL_TIME_FRACTION: f64 = 0.5;
/// Minimum expected gain in time to the first event for which a short call leaves the own hall.
const MIN_REMOTE_GAIN: Duration = Duration::from_millis(50);

/// The engines that a box may use, by hall.
#[derive(Debug)]
pub struct HallPlanner<'a> {
    /// All engines that accept work.
    pub pool: EnginePool<'a>,
    /// Hall number of each engine; 0 is the hall of this box.
    pub halls: &'a [usize],
    /// [`GossipScope::Hall`] if halls are cells, [`GossipScope::Fleet`] if all boxes share data about
    /// all engines.
    pub scope: GossipScope,
}

impl HallPlanner<'_> {
    /// Plans a call.
    ///
    /// Returns `None` if no engine can take the call now.
    pub fn plan(
        &self,
        prompt: &PromptSize,
        targets: LatencyTargets,
        rng: &mut impl Rng,
    ) -> Option<EnginePlan> {
        if self.scope == GossipScope::Fleet {
            return engine_plan::plan(&self.pool, prompt, targets, rng);
        }
        if engine_plan::is_long(self.pool.model, prompt, &targets.gaps) {
            return self.plan_across_halls(prompt, targets, rng);
        }
        let local = self.plan_in(0, prompt, targets, rng);
        let local_time = local.as_ref().map(|plan| plan.expected_first_event);
        if local_time.is_some_and(|time| time <= targets.due_in.mul_f64(LOCAL_TIME_FRACTION)) {
            return local;
        }
        let others = 1..=self.halls.iter().copied().max().unwrap_or_default();
        let remote = others
            .filter_map(|hall| self.plan_in(hall, prompt, targets, rng))
            .min_by_key(|plan| plan.expected_first_event);
        let gains = |remote: &EnginePlan| {
            local_time.is_none_or(|time| remote.expected_first_event + MIN_REMOTE_GAIN < time)
        };
        remote.filter(gains).or(local)
    }

    /// Plans a long prompt over the engines of all halls, preferring the own hall. In each hall the
    /// first engines stay reserved for short calls.
    fn plan_across_halls(
        &self,
        prompt: &PromptSize,
        targets: LatencyTargets,
        rng: &mut impl Rng,
    ) -> Option<EnginePlan> {
        let halls = 0..=self.halls.iter().copied().max().unwrap_or_default();
        let mut order: Vec<usize> = Vec::new();
        let mut others: Vec<usize> = Vec::new();
        for hall in halls {
            let indices: Vec<usize> = self.engines_of(hall);
            let engines = self.states_of(&indices);
            if !engines.is_empty() {
                let short_engines = engine_plan::short_call_engines(self.pool.model, &engines);
                order.extend(&indices[..short_engines]);
                others.extend(&indices[short_engines..]);
            }
        }
        let short_engines = order.len();
        order.extend(others);
        // Ranks all engines of other halls after those of the own hall.
        let prefer_local = |index: &usize| {
            let engine = self.pool.engines[*index];
            let remote_bit = u32::from(!engine.is_local) << 31;
            EngineState {
                preference: engine.preference >> 1 | remote_bit,
                ..engine
            }
        };
        let engines: Vec<EngineState> = order.iter().map(prefer_local).collect();
        let pool = EnginePool {
            engines: &engines,
            ..self.pool
        };
        let plan = engine_plan::plan_with_short_engines(&pool, short_engines, prompt, targets, rng);
        plan.map(|plan| map_indices(plan, &order))
    }

    fn engines_of(&self, hall: usize) -> Vec<usize> {
        let all = 0..self.pool.engines.len();
        all.filter(|&index| self.halls[index] == hall).collect()
    }

    fn states_of(&self, indices: &[usize]) -> Vec<EngineState> {
        indices
            .iter()
            .map(|&index| self.pool.engines[index])
            .collect()
    }

    fn plan_in(
        &self,
        hall: usize,
        prompt: &PromptSize,
        targets: LatencyTargets,
        rng: &mut impl Rng,
    ) -> Option<EnginePlan> {
        let indices = self.engines_of(hall);
        let pool = EnginePool {
            engines: &self.states_of(&indices),
            ..self.pool
        };
        let plan = engine_plan::plan(&pool, prompt, targets, rng)?;
        Some(map_indices(plan, &indices))
    }
}

/// Translates the engine indices of a plan over a subset into indices of the full list.
fn map_indices(mut plan: EnginePlan, indices: &[usize]) -> EnginePlan {
    for assignment in &mut plan.assignments {
        assignment.engine = indices[assignment.engine];
    }
    plan
}
