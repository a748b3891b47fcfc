//! A box: what it knows, by the library's own types, and how it chooses.

use std::collections::HashMap;
use std::time::Duration;

use badgerferry_lib::ids::HallName;
use badgerferry_lib::ids::ServerName;
use badgerferry_lib::relay::availability::Availability;
use badgerferry_lib::relay::call::PromptSize;
use badgerferry_lib::relay::engine_load::EngineKey;
use badgerferry_lib::relay::engine_load::EngineLoad;
use badgerferry_lib::relay::engine_load::EngineLoadTracker;
use badgerferry_lib::relay::engine_load::EngineWorkId;
use badgerferry_lib::relay::engine_plan::EngineModel;
use badgerferry_lib::relay::engine_plan::EnginePlan;
use badgerferry_lib::relay::engine_plan::EnginePool;
use badgerferry_lib::relay::engine_plan::EngineState;
use badgerferry_lib::relay::engine_plan::LatencyTargets;
use badgerferry_lib::relay::gossip_topology::GossipScope;
use badgerferry_lib::relay::hall_planner::HallPlanner;
use badgerferry_lib::relay::long_prompt_queue::LongPromptQueue;
use badgerferry_lib::relay::long_prompt_queue::QueueHead;
use badgerferry_lib::relay::size_groups::SizeCount;
use badgerferry_lib::relay::slow_engine_tracker::ReportOrigin;
use badgerferry_lib::relay::slow_engine_tracker::SlowEngineTracker;
use badgerferry_lib::relay::stream_gaps::StreamGaps;
use badgerferry_lib::time::Time;
use rand::Rng;

/// All engines as every box lists them.
#[derive(Debug)]
pub(super) struct EngineList {
    /// Key, hall and place in the run's own list, sorted by key.
    rows: Vec<(EngineKey, usize, usize)>,
}

impl EngineList {
    pub(super) fn new(halls: usize, per_hall: usize) -> Self {
        let row = |at: usize| {
            let name = ServerName::new(format!("engine-{at}"));
            (EngineKey::of(&name), at / per_hall, at)
        };
        let mut rows: Vec<_> = (0..halls * per_hall).map(row).collect();
        rows.sort_unstable();
        Self { rows }
    }

    /// Key of the engine at a place of the run's list.
    pub(super) fn key(&self, place: usize) -> EngineKey {
        let row = self.rows.iter().find(|(_, _, at)| *at == place);
        row.expect("every engine of the run is listed").0
    }
}

/// What a box tells others of itself.
#[derive(Debug)]
pub(super) struct Told {
    pub(super) sequence: u64,
    pub(super) is_urgent: bool,
    pub(super) waits: Option<QueueHead>,
    pub(super) size_counts: Vec<SizeCount>,
    pub(super) slow: Vec<EngineKey>,
    pub(super) rows: Vec<(EngineKey, EngineLoad)>,
}

/// A call that a box places.
#[derive(Debug, Clone, Copy)]
pub(super) struct Asked {
    pub(super) prompt: PromptSize,
    pub(super) due: Time,
    pub(super) pause: Duration,
    /// Longest part, where it will be late all the same.
    pub(super) late_chunk: Option<Duration>,
}

/// A plan, with engines by their place in the run's list.
#[derive(Debug)]
pub(super) struct Placed {
    pub(super) plan: EnginePlan,
    pub(super) engines: Vec<usize>,
    pub(super) works: Vec<EngineWorkId>,
}

/// A plan whose work is not entered yet.
#[derive(Debug)]
pub(super) struct Planned {
    plan: EnginePlan,
    states: Vec<EngineState>,
    /// The engines that it was made over.
    rows: Vec<(EngineKey, usize, usize)>,
}

impl Planned {
    /// Expected time to the first event.
    pub(super) const fn first_event(&self) -> Duration {
        self.plan.expected_first_event
    }
}

/// One box.
#[derive(Debug)]
pub(super) struct ModelBox {
    pub(super) name: String,
    pub(super) hall: usize,
    pub(super) loads: EngineLoadTracker,
    pub(super) queue: LongPromptQueue,
    pub(super) paces: SlowEngineTracker,
    pub(super) last_told: Time,
    pub(super) tells_at: Option<Time>,
    sequence: u64,
}

/// What all boxes go by.
#[derive(Debug)]
pub(super) struct Rules {
    pub(super) model: EngineModel,
    pub(super) scope: GossipScope,
    /// Boxes that choose among the same engines.
    pub(super) boxes: usize,
    /// Gap limits of all kinds of calls.
    pub(super) gaps: Vec<Duration>,
    pub(super) engines: EngineList,
}

impl Rules {
    /// Gap limits for a stream with this one.
    pub(super) fn stream_gaps(&self, own: Duration) -> StreamGaps {
        StreamGaps::new(&self.model, Some(own), &self.gaps)
    }
}

impl ModelBox {
    pub(super) fn new(at: usize, hall: usize) -> Self {
        Self {
            name: format!("box-{at:04}"),
            hall,
            loads: EngineLoadTracker::default(),
            queue: LongPromptQueue::default(),
            paces: SlowEngineTracker::default(),
            last_told: Time::ZERO,
            tells_at: None,
            sequence: 0,
        }
    }

    /// What it tells now.
    pub(super) fn tell(&mut self, now: Time, is_urgent: bool) -> Told {
        self.sequence += 1;
        self.last_told = now;
        self.tells_at = None;
        Told {
            sequence: self.sequence,
            is_urgent,
            waits: self.queue.head(now),
            size_counts: self.queue.size_groups.own_counts(now),
            slow: self.paces.own_reports(now),
            rows: self.loads.own_table(now).into_iter().collect(),
        }
    }

    /// Takes what another one told.
    pub(super) fn hear(&mut self, now: Time, from: &str, told: &Told) {
        self.paces
            .record_gossip(now, ReportOrigin::OwnHall, &told.slow);
        let rows = told.rows.clone();
        if self
            .loads
            .update_peer_table(now, from, 1, told.sequence, rows)
        {
            self.queue.record_box_head(now, from, told.waits);
            let counts = &told.size_counts;
            self.queue.size_groups.record_box(now, from, counts);
        }
    }

    /// What it tells other halls of its own.
    pub(super) fn tell_hall(&self, now: Time) -> Told {
        Told {
            sequence: now.as_micros() + 1,
            is_urgent: false,
            waits: self.queue.hall_head(now),
            size_counts: self.queue.size_groups.hall_counts(now),
            slow: self.paces.hall_reports(now),
            rows: self.loads.hall_table(now, |_| true).into_iter().collect(),
        }
    }

    /// Takes what another hall told.
    pub(super) fn hear_hall(&mut self, now: Time, hall: &HallName, told: &Told) {
        self.paces
            .record_gossip(now, ReportOrigin::OtherHall, &told.slow);
        let rows = told.rows.clone();
        if self
            .loads
            .update_hall_table(now, hall, 1, told.sequence, rows)
        {
            self.queue.record_hall_head(now, hall, told.waits);
            let counts = &told.size_counts;
            self.queue
                .size_groups
                .record_hall(now, hall.as_str(), counts);
        }
    }

    /// Plans a call, if it may be sent now.
    pub(super) fn plan(
        &self,
        now: Time,
        rules: &Rules,
        asked: &Asked,
        rng: &mut impl Rng,
    ) -> Option<Planned> {
        let table: HashMap<EngineKey, EngineLoad> = self.loads.table(now);
        let own = EngineKey::of(&ServerName::new(&self.name)).0;
        let rows = rules.engines.rows.clone();
        let rows = self.paces.without_slow(now, rows, |row| row.0);
        let state = |&(key, hall, _): &(EngineKey, usize, usize)| EngineState {
            load: table.get(&key).copied().unwrap_or_default(),
            is_local: hall == self.hall,
            preference: (key.0 ^ own).wrapping_mul(0x9E37_79B1),
            availability: Availability::Open,
        };
        let states: Vec<EngineState> = rows.iter().map(state).collect();
        // The box's own hall is number 0.
        let number = |&(_, hall, _): &(EngineKey, usize, usize)| match hall {
            hall if hall == self.hall => 0,
            0 => self.hall,
            hall => hall,
        };
        let halls: Vec<usize> = rows.iter().map(number).collect();
        let planner = HallPlanner {
            pool: EnginePool {
                model: &rules.model,
                engines: &states,
                boxes: rules.boxes,
            },
            halls: &halls,
            scope: rules.scope,
        };
        let targets = LatencyTargets {
            due_in: now.until(asked.due),
            gaps: rules.stream_gaps(asked.pause),
            late_chunk: asked.late_chunk,
        };
        let plan = planner.plan(&asked.prompt, targets, rng)?;
        Some(Planned { plan, states, rows })
    }

    /// Enters a plan's work.
    pub(super) fn enter(&mut self, now: Time, planned: Planned) -> Placed {
        let Planned { plan, states, rows } = planned;
        let entered = plan.assignments.iter().zip(plan.engine_work(&states));
        let works = entered.map(|(part, work)| self.loads.begin(now, rows[part.engine].0, work));
        let works = works.collect();
        let engines = plan
            .assignments
            .iter()
            .map(|part| rows[part.engine].2)
            .collect();
        Placed {
            plan,
            engines,
            works,
        }
    }
}
