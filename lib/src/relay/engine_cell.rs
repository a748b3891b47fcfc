//! Whether a generation runs in the box's own hall or in another one.
//!
//! What a box knows of its own hall's engines is fresh where halls are cells; what it knows of
//! others is some tenths of a second old. So its own hall's engines are used while a call can be
//! on time there, and one other hall's where they can't. Ways weighed: `docs/design/cells.md`.

use std::time::Duration;

use rand::Rng;

use crate::relay::call::Prompt;
use crate::relay::engine_plan;
use crate::relay::engine_plan::Aims;
use crate::relay::engine_plan::EnginePlan;
use crate::relay::engine_plan::EnginePool;
use crate::relay::engine_plan::EngineState;
use crate::relay::gossip_topology::GossipScope;

/// Part of the time until its first event is due that a short call may be expected to take in
/// its own hall; the estimate is exceeded about as often as it is not.
const PATIENCE_AT_HOME: f64 = 0.5;
/// How much earlier another hall must be expected to answer.
const LEAST_GAIN: Duration = Duration::from_millis(50);

/// The engines that a box may use, by hall.
#[derive(Debug)]
pub struct Cells<'a> {
    /// All engines that may take work.
    pub pool: EnginePool<'a>,
    /// The hall of each engine, as a number; 0 is this box's own.
    pub halls: &'a [usize],
    /// Whether the halls are cells, or all boxes know all engines alike.
    pub scope: GossipScope,
}

impl Cells<'_> {
    /// Plans a call.
    ///
    /// `None` if no engine can take it now.
    pub fn plan(&self, prompt: &Prompt, aims: Aims, rng: &mut impl Rng) -> Option<EnginePlan> {
        if self.scope == GossipScope::Fleet {
            return engine_plan::plan(&self.pool, prompt, aims, rng);
        }
        if engine_plan::is_long(self.pool.model, prompt, aims.pause) {
            return self.plan_over_halls(prompt, aims, rng);
        }
        let home = self.plan_in(0, prompt, aims, rng);
        let most = home.as_ref().map(|plan| plan.expected);
        if most.is_some_and(|most| most <= aims.due_in.mul_f64(PATIENCE_AT_HOME)) {
            return home;
        }
        let others = 1..=self.halls.iter().copied().max().unwrap_or_default();
        let away = others
            .filter_map(|hall| self.plan_in(hall, prompt, aims, rng))
            .min_by_key(|plan| plan.expected);
        let gains = |away: &EnginePlan| most.is_none_or(|most| away.expected + LEAST_GAIN < most);
        away.filter(gains).or(home)
    }

    /// A long prompt is read by engines of any hall, its own first. Each hall keeps its first
    /// engines for short calls.
    fn plan_over_halls(
        &self,
        prompt: &Prompt,
        aims: Aims,
        rng: &mut impl Rng,
    ) -> Option<EnginePlan> {
        let halls = 0..=self.halls.iter().copied().max().unwrap_or_default();
        let mut lanes: Vec<usize> = Vec::new();
        let mut others: Vec<usize> = Vec::new();
        for hall in halls {
            let at: Vec<usize> = self.engines_of(hall);
            let engines = self.states_of(&at);
            if !engines.is_empty() {
                let lane = engine_plan::short_lane(self.pool.model, &engines);
                lanes.extend(&at[..lane]);
                others.extend(&at[lane..]);
            }
        }
        let lane = lanes.len();
        lanes.extend(others);
        let own_first = |at: &usize| {
            let engine = self.pool.engines[*at];
            let far = u32::from(!engine.near) << 31;
            EngineState {
                preference: engine.preference >> 1 | far,
                ..engine
            }
        };
        let engines: Vec<EngineState> = lanes.iter().map(own_first).collect();
        let pool = EnginePool {
            engines: &engines,
            ..self.pool
        };
        let plan = engine_plan::plan_beside_lane(&pool, lane, prompt, aims, rng);
        plan.map(|plan| placed_at(plan, &lanes))
    }

    fn engines_of(&self, hall: usize) -> Vec<usize> {
        let all = 0..self.pool.engines.len();
        all.filter(|&at| self.halls[at] == hall).collect()
    }

    fn states_of(&self, at: &[usize]) -> Vec<EngineState> {
        at.iter().map(|&at| self.pool.engines[at]).collect()
    }

    fn plan_in(
        &self,
        hall: usize,
        prompt: &Prompt,
        aims: Aims,
        rng: &mut impl Rng,
    ) -> Option<EnginePlan> {
        let at = self.engines_of(hall);
        let pool = EnginePool {
            engines: &self.states_of(&at),
            ..self.pool
        };
        let plan = engine_plan::plan(&pool, prompt, aims, rng)?;
        Some(placed_at(plan, &at))
    }
}

/// The same plan over engines that stand at other places of the list.
fn placed_at(mut plan: EnginePlan, at: &[usize]) -> EnginePlan {
    for part in &mut plan.parts {
        part.engine = at[part.engine];
    }
    plan
}
