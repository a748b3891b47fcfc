//! Load in virtual time: a mix of very unlike prompts on boxes and engines, measured.

use std::collections::BTreeMap;
use std::time::Duration;

use badgerferry_lib::ids::ModelName;
use badgerferry_lib::ids::RequestId;
use badgerferry_lib::ids::WorkspaceName;
use badgerferry_lib::outcome::Outcome;
use badgerferry_lib::priority::Priority;
use badgerferry_lib::request::Request;
use badgerferry_lib::routing::Policy;
use badgerferry_lib::time::Time;
use hdrhistogram::Histogram;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::fake_engine::EngineSize;
use crate::world::Asked;
use crate::world::Ended;
use crate::world::Fault;
use crate::world::MODEL;
use crate::world::World;
use crate::world::WorldPlan;

/// Time limit of a short request.
const SHORT_LIMIT: Duration = Duration::from_secs(30);
/// Time limit of a long request.
const LONG_LIMIT: Duration = Duration::from_mins(15);
/// Requests of which one is long.
const ONE_LONG_IN: u32 = 50;
/// Long requests of which one has a million tokens.
const ONE_MILLION_IN: u32 = 10;
const MILLION: u64 = 1_000_000;
/// Prompts from here on are long.
const LONG: u64 = 100_000;
/// Mean prompt tokens of the mix; gives the arrival rate for a load.
const MEAN_PROMPT: f64 = 6_950.0;
/// Generating requests at an engine on average; they lengthen its iterations.
const MEAN_RUNNING: u32 = 10;
/// Requests in one burst, where arrivals come in bursts.
const BURST: u32 = 20;

/// What to measure.
#[derive(Debug, Clone)]
pub struct LoadPlan {
    /// Boxes and engines.
    pub world: WorldPlan,
    /// Part of the engines' capacity that is asked for.
    pub load: f64,
    /// Time in which requests arrive.
    pub span: Duration,
    /// Whether long requests are sent.
    pub with_long: bool,
    /// Whether arrivals come in bursts.
    pub bursts: bool,
    /// Workspaces that send most of the requests, of ten.
    pub pressing: usize,
    /// Part of the engines that die in the run.
    pub dying: f64,
    /// Whether one data hall is cut off in the middle of the run.
    pub hall_cut: bool,
    /// The seed.
    pub seed: u64,
}

/// What was measured.
#[derive(Debug)]
pub struct LoadResult {
    /// Time to first token by band, in microseconds.
    pub first_token: BTreeMap<&'static str, Histogram<u64>>,
    /// Requests sent.
    pub sent: u64,
    /// Requests done whole within their limit, and their prompt tokens.
    pub done: u64,
    /// Their prompt tokens.
    pub done_tokens: u64,
    /// Requests refused as not run.
    pub refused: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Requests that did not end whole, by band and reason.
    pub reasons: BTreeMap<(&'static str, &'static str), u64>,
    /// Requests of a million tokens that did not end whole.
    pub million_lost: u64,
    /// Jain's index of goodput over demand across workspaces.
    pub jain: f64,
}

/// Prompt tokens a second that an engine can do while it generates for others.
pub fn engine_capacity(size: &EngineSize) -> f64 {
    let prefill = size.chunk as f64 / size.prefill_rate as f64;
    let fixed = (size.iteration + size.per_running * MEAN_RUNNING).as_secs_f64();
    size.chunk as f64 / (prefill + fixed)
}

/// Band of a prompt.
pub const fn band(prompt_tokens: u64) -> &'static str {
    match prompt_tokens {
        0..LONG => "1k",
        LONG..MILLION => "100k",
        _ => "1M",
    }
}

/// Runs a load and measures it.
pub fn run(plan: &LoadPlan) -> LoadResult {
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
    let mut world = World::new(plan.world.clone(), plan.seed);
    send_all(plan, &mut world, &mut rng);
    add_faults(plan, &mut world, &mut rng);
    world.run_until(Time::ZERO + plan.span + LONG_LIMIT);
    measure(&world.ended)
}

fn send_all(plan: &LoadPlan, world: &mut World, rng: &mut ChaCha8Rng) {
    let capacity = engine_capacity(&plan.world.size) * plan.world.engines as f64;
    let per_s = plan.load * capacity / MEAN_PROMPT;
    let size = if plan.bursts { BURST } else { 1 };
    let mut at = 0.0;
    loop {
        // Exponential gaps between arrivals, or between bursts of them.
        at += -(1.0 - rng.random::<f64>()).ln() * f64::from(size) / per_s;
        if at > plan.span.as_secs_f64() {
            return;
        }
        for _ in 0..size {
            let asked = asked(plan, rng);
            let boxx = rng.random_range(0..plan.world.boxes);
            // The long are drawn all the same, so that the short are the same requests.
            if plan.with_long || asked.request.prompt_tokens < LONG {
                world.ask(Time::ZERO + Duration::from_secs_f64(at), boxx, asked);
            }
        }
    }
}

fn asked(plan: &LoadPlan, rng: &mut ChaCha8Rng) -> Asked {
    let long = rng.random_ratio(1, ONE_LONG_IN);
    let million = rng.random_ratio(1, ONE_MILLION_IN);
    let prompt_tokens = match (long, million) {
        (true, true) => MILLION,
        (true, false) => rng.random_range(LONG..300_000),
        (false, _) => rng.random_range(300..2_200),
    };
    let answer_tokens = rng.random_range(20..200);
    let workspace = match plan.pressing {
        0 => rng.random_range(0..10),
        pressing if rng.random_bool(0.8) => rng.random_range(0..pressing),
        pressing => rng.random_range(pressing..10),
    };
    let urgent = rng.random_bool(0.5);
    Asked {
        request: Request {
            id: RequestId::draw(rng),
            workspace: WorkspaceName::new(format!("workspace-{workspace}")),
            weight: 10,
            queue_limit: 100_000,
            model: ModelName::new(MODEL),
            prompt_tokens,
            max_output: answer_tokens,
            priority: if urgent && !long {
                Priority::Urgent
            } else {
                Priority::Normal
            },
            ageing: Duration::from_secs(20),
            arrived: Time::ZERO,
            deadline: Time::ZERO,
            prefix: None,
        },
        limit: if long { LONG_LIMIT } else { SHORT_LIMIT },
        repeatable: true,
        answer_tokens,
        leaves_after: None,
    }
}

fn add_faults(plan: &LoadPlan, world: &mut World, rng: &mut ChaCha8Rng) {
    let dying = (plan.world.engines as f64 * plan.dying) as usize;
    for engine in 0..dying {
        let at = Time::ZERO + plan.span.mul_f64(rng.random_range(0.2..0.8));
        world.fault(at, Fault::EngineDies(engine, plan.span));
    }
    if plan.hall_cut {
        let at = Time::ZERO + plan.span.mul_f64(0.4);
        world.fault(at, Fault::HallCut(0, plan.span.mul_f64(0.3)));
    }
}

fn new_histogram() -> Histogram<u64> {
    const HOUR_US: u64 = 3_600_000_000;
    Histogram::new_with_bounds(1, HOUR_US, 3).expect("the bounds are sound")
}

fn measure(ended: &[Ended]) -> LoadResult {
    let mut result = LoadResult {
        first_token: ["1k", "100k", "1M"]
            .map(|band| (band, new_histogram()))
            .into(),
        sent: ended.len() as u64,
        done: 0,
        done_tokens: 0,
        refused: 0,
        failed: 0,
        reasons: BTreeMap::new(),
        million_lost: 0,
        jain: 0.0,
    };
    let mut shares: BTreeMap<&WorkspaceName, (u64, u64)> = BTreeMap::new();
    for row in ended {
        let request = &row.request;
        let tokens = request.prompt_tokens;
        let share = shares.entry(&request.workspace).or_default();
        share.1 += 1;
        if let (Some(first), Some(histogram)) =
            (row.first_token, result.first_token.get_mut(band(tokens)))
        {
            histogram.saturating_record(first.since(request.arrived).as_micros() as u64);
        }
        match &row.outcome {
            Some(Outcome::Completed { .. }) => {
                result.done += 1;
                result.done_tokens += tokens;
                share.0 += 1;
            }
            Some(Outcome::Refused(_)) => result.refused += 1,
            _ => result.failed += 1,
        }
        if let Some(reason) = reason_of(row.outcome.as_ref()) {
            *result.reasons.entry((band(tokens), reason)).or_default() += 1;
        }
        let whole = matches!(row.outcome, Some(Outcome::Completed { .. }));
        result.million_lost += u64::from(tokens == MILLION && !whole);
    }
    result.jain = jain(shares.values());
    result
}

fn reason_of(outcome: Option<&Outcome>) -> Option<&'static str> {
    match outcome {
        Some(Outcome::Completed { .. }) => None,
        Some(Outcome::Refused(refused)) => Some(refused.reason().code()),
        Some(Outcome::Failed(reason)) => Some(reason.code()),
        Some(Outcome::Cancelled) => Some("cancelled"),
        None => Some("box_died"),
    }
}

/// Jain's index of what each workspace got of what a fair split would give it.
///
/// A fair split of goodput gives each workspace its demand, or an equal share of what is
/// left, whichever is less (max-min).
fn jain<'a>(shares: impl Iterator<Item = &'a (u64, u64)>) -> f64 {
    let rows: Vec<(u64, u64)> = shares.copied().collect();
    let total: u64 = rows.iter().map(|(done, _)| done).sum();
    let mut by_demand: Vec<usize> = (0..rows.len()).collect();
    by_demand.sort_by_key(|&index| rows[index].1);
    let mut left = total as f64;
    let mut ratios = Vec::new();
    for (place, &index) in by_demand.iter().enumerate() {
        let (done, demand) = rows[index];
        let fair = (left / (rows.len() - place) as f64).min(demand as f64);
        left -= fair;
        if fair > 0.0 {
            ratios.push(done as f64 / fair);
        }
    }
    let sum: f64 = ratios.iter().sum();
    let squares: f64 = ratios.iter().map(|ratio| ratio * ratio).sum();
    sum * sum / (ratios.len() as f64 * squares)
}

/// Policies that are measured side by side, the first the daemon's own.
pub const POLICIES: [Policy; 5] = [
    Policy::Cost,
    Policy::RoundRobin,
    Policy::LeastRequests,
    Policy::LeastReported,
    Policy::TwoChoices,
];
