//! Seeded runs of the request path: a small world, mixed requests, faults in pairs and
//! together. The world asserts the invariants; a broken one panics with the seed's run.

use std::time::Duration;

use badgerferry_lib::ids::ModelName;
use badgerferry_lib::ids::RequestId;
use badgerferry_lib::ids::WorkspaceName;
use badgerferry_lib::outcome::Outcome;
use badgerferry_lib::priority::Priority;
use badgerferry_lib::request::Request;
use badgerferry_lib::time::Time;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::fake_engine::EngineSize;
use crate::world::Asked;
use crate::world::Fault;
use crate::world::MODEL;
use crate::world::World;
use crate::world::WorldPlan;
use crate::world::default_routing;

/// Time in which requests arrive.
const ARRIVALS: Duration = Duration::from_secs(20);
/// Longest time limit of a request.
const LONGEST_LIMIT: Duration = Duration::from_secs(40);
const REQUESTS: usize = 60;
/// Memory of one engine: small, so that prompts beyond it are quick.
const MEMORY: u64 = 20_000;
/// Prompts above this are long.
const LONG_PROMPT: u64 = 4_000;

/// What a run came to.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RunCounts {
    /// Whole answers.
    pub completed: u64,
    /// Not run.
    pub refused: u64,
    /// May have run.
    pub failed: u64,
    /// Given up by the caller.
    pub cancelled: u64,
    /// Lost with their box.
    pub lost_with_box: u64,
}

impl RunCounts {
    /// Adds another run.
    pub const fn add(&mut self, other: Self) {
        self.completed += other.completed;
        self.refused += other.refused;
        self.failed += other.failed;
        self.cancelled += other.cancelled;
        self.lost_with_box += other.lost_with_box;
    }
}

/// Runs one seed.
///
/// # Panics
///
/// An invariant is broken.
pub fn run(seed: u64) -> RunCounts {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let plan = plan(&mut rng);
    let mut world = World::new(plan.clone(), rng.random());
    for _ in 0..REQUESTS {
        let at = Time::ZERO + ARRIVALS.mul_f64(rng.random());
        let boxx = rng.random_range(0..plan.boxes);
        world.ask(at, boxx, asked(&mut rng));
    }
    for _ in 0..rng.random_range(0..=6) {
        let at = Time::ZERO + (ARRIVALS + Duration::from_secs(10)).mul_f64(rng.random());
        let fault = fault(&plan, &mut rng);
        world.fault(at, fault);
    }
    world.run_until(Time::ZERO + ARRIVALS + LONGEST_LIMIT + Duration::from_secs(20));
    world.settle();
    assert_eq!(world.ended.len(), REQUESTS, "every request has an end");
    count(&world)
}

fn plan(rng: &mut ChaCha8Rng) -> WorldPlan {
    let mut routing = default_routing();
    routing.long_prompt = LONG_PROMPT;
    routing.long_share_percent = 100;
    WorldPlan {
        boxes: rng.random_range(2..=4),
        engines: rng.random_range(3..=6),
        halls: rng.random_range(1..=2),
        size: EngineSize {
            memory: MEMORY,
            ..EngineSize::default()
        },
        report_lag: Duration::from_millis(rng.random_range(0..2_000)),
        routing,
        ..WorldPlan::default()
    }
}

fn asked(rng: &mut ChaCha8Rng) -> Asked {
    let prompt_tokens = match rng.random_range(0..10) {
        0 => rng.random_range(MEMORY..MEMORY * 5 / 2),
        1 => rng.random_range(LONG_PROMPT..MEMORY),
        _ => rng.random_range(50..2_000),
    };
    let answer_tokens = rng.random_range(1..60);
    let leaves = rng.random_bool(0.1);
    Asked {
        request: Request {
            id: RequestId::draw(rng),
            workspace: WorkspaceName::new(format!("workspace-{}", rng.random_range(0..3))),
            weight: 10,
            queue_limit: 1_000,
            model: ModelName::new(MODEL),
            prompt_tokens,
            max_output: answer_tokens,
            priority: match rng.random_range(0..3) {
                0 => Priority::Urgent,
                1 => Priority::Normal,
                _ => Priority::Batch,
            },
            ageing: Duration::from_secs(10),
            arrived: Time::ZERO,
            deadline: Time::ZERO,
            prefix: None,
        },
        limit: Duration::from_millis(rng.random_range(500..LONGEST_LIMIT.as_millis() as u64)),
        repeatable: rng.random_bool(0.8),
        answer_tokens,
        leaves_after: leaves.then(|| Duration::from_millis(rng.random_range(1..5_000))),
    }
}

fn fault(plan: &WorldPlan, rng: &mut ChaCha8Rng) -> Fault {
    let engine = rng.random_range(0..plan.engines);
    let boxx = rng.random_range(0..plan.boxes);
    let span = Duration::from_millis(rng.random_range(100..25_000));
    match rng.random_range(0..7) {
        0 => Fault::EngineDies(engine, span),
        1 => Fault::BoxDies(boxx, span),
        2 => Fault::BoxFreezes(boxx, span),
        3 => Fault::Cut(boxx, engine, span),
        4 => Fault::HallCut(rng.random_range(0..plan.halls), span),
        5 => Fault::LoseReleases(span),
        _ => Fault::GarbleFrames(span),
    }
}

fn count(world: &World) -> RunCounts {
    let mut counts = RunCounts::default();
    for ended in &world.ended {
        match &ended.outcome {
            Some(Outcome::Completed { .. }) => counts.completed += 1,
            Some(Outcome::Refused(_)) => counts.refused += 1,
            Some(Outcome::Failed(_)) => counts.failed += 1,
            Some(Outcome::Cancelled) => counts.cancelled += 1,
            None => counts.lost_with_box += 1,
        }
    }
    counts
}
