//! Whether a generation runs in the box's own hall or in another one.

use std::time::Duration;

use badgerferry_lib::relay::availability::Availability;
use badgerferry_lib::relay::call::PromptSize;
use badgerferry_lib::relay::engine_load::EngineLoad;
use badgerferry_lib::relay::engine_plan::EngineModel;
use badgerferry_lib::relay::engine_plan::EnginePlan;
use badgerferry_lib::relay::engine_plan::EnginePool;
use badgerferry_lib::relay::engine_plan::EngineState;
use badgerferry_lib::relay::engine_plan::LatencyTargets;
use badgerferry_lib::relay::gossip_topology::GossipScope;
use badgerferry_lib::relay::hall_planner::HallPlanner;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const MODEL: EngineModel = EngineModel {
    slots: 10,
    memory: 315_000,
    step_ms: 0.85,
    per_writer_ms: 0.004_25,
    read_per_ms: 177.0,
    per_million_pairs_ms: 0.184,
    steps_per_pass: 80,
};
const PER_HALL: usize = 30;
const HALLS: usize = 5;

/// Idle engines of five halls, which stand mixed in the shared order.
fn idle() -> (Vec<EngineState>, Vec<usize>) {
    let state = |at| EngineState {
        load: EngineLoad::default(),
        is_local: at % HALLS == 0,
        preference: at as u32,
        availability: Availability::Open,
    };
    let engines = (0..PER_HALL * HALLS).map(state).collect();
    let halls = (0..PER_HALL * HALLS).map(|at| at % HALLS).collect();
    (engines, halls)
}

fn plan(engines: &[EngineState], halls: &[usize], tokens: u64) -> Option<EnginePlan> {
    let planner = HallPlanner {
        pool: EnginePool {
            model: &MODEL,
            engines,
            boxes: 59,
        },
        halls,
        scope: GossipScope::Hall,
    };
    let prompt = PromptSize {
        tokens,
        max_output: 800,
    };
    let is_short = tokens < 25_000;
    let pause = Duration::from_millis(if is_short { 300 } else { 1_200 });
    let targets = LatencyTargets {
        due_in: Duration::from_millis(if is_short { 400 } else { 4_000 }),
        pause: Some(pause),
        tightest_gap: Some(Duration::from_millis(300)),
        late_chunk: None,
    };
    planner.plan(&prompt, targets, &mut ChaCha8Rng::seed_from_u64(1))
}

/// Makes a hall's engines read long prompts and write many short ones.
fn fill(engines: &mut [EngineState], halls: &[usize], hall: usize) {
    for (engine, _) in engines.iter_mut().zip(halls).filter(|(_, of)| **of == hall) {
        engine.load = EngineLoad {
            prefill_ms: 2_000,
            long_prefills: 1,
            short_calls: 10,
            long_calls: 1,
            memory_kilotokens: 290,
        };
    }
}

fn halls_of(plan: &EnginePlan, halls: &[usize]) -> Vec<usize> {
    let mut used: Vec<usize> = plan
        .assignments
        .iter()
        .map(|part| halls[part.engine])
        .collect();
    used.sort_unstable();
    used.dedup();
    used
}

#[test]
fn calls_of_all_sizes_stay_in_their_own_hall_while_it_has_room() {
    let (engines, halls) = idle();

    for tokens in [1_000, 5_000, 45_000, 220_000, 700_000] {
        let plan = plan(&engines, &halls, tokens).expect("all are free");
        assert_eq!(halls_of(&plan, &halls), [0], "{tokens} tokens");
    }
}

#[test]
fn a_short_call_that_would_be_late_at_home_goes_to_another_hall() {
    let (mut engines, halls) = idle();
    fill(&mut engines, &halls, 0);
    fill(&mut engines, &halls, 2);

    let plan = plan(&engines, &halls, 5_000).expect("there is always one");

    let used = halls_of(&plan, &halls);
    assert!(used.len() == 1 && ![0, 2].contains(&used[0]), "{used:?}");
    assert!(plan.expected_first_event < Duration::from_millis(400));
}

#[test]
fn a_short_call_stays_home_where_all_halls_are_as_full() {
    let (mut engines, halls) = idle();
    (0..HALLS).for_each(|hall| fill(&mut engines, &halls, hall));

    let plan = plan(&engines, &halls, 5_000).expect("there is always one");

    assert_eq!(halls_of(&plan, &halls), [0]);
}

#[test]
fn a_long_prompt_is_read_by_other_halls_where_its_own_is_taken() {
    let (mut engines, halls) = idle();
    fill(&mut engines, &halls, 0);

    let plan = plan(&engines, &halls, 220_000).expect("four halls are free");

    assert!(!halls_of(&plan, &halls).contains(&0));
}

#[test]
fn a_long_prompt_leaves_each_halls_first_engines_to_short_calls() {
    let (mut engines, halls) = idle();
    fill(&mut engines, &halls, 0);

    let plan = plan(&engines, &halls, 220_000).expect("four halls are free");

    let first_of_halls = 0..HALLS;
    assert!(
        plan.assignments
            .iter()
            .all(|part| !first_of_halls.contains(&part.engine))
    );
}

#[test]
fn a_prompt_that_no_hall_can_read_by_itself_is_read_by_several() {
    let (mut engines, halls) = idle();
    (0..HALLS).for_each(|hall| fill(&mut engines, &halls, hall));
    // The last four engines of each hall are free: too few for a prompt that no engine holds.
    let last = PER_HALL * HALLS - 4 * HALLS;
    for engine in &mut engines[last..] {
        engine.load = EngineLoad::default();
    }

    let plan = plan(&engines, &halls, 400_000).expect("twenty engines are free");

    assert!(plan.reserve_memory);
    assert!(halls_of(&plan, &halls).len() > 1);
}

#[test]
fn a_box_without_engines_in_its_hall_uses_those_of_others() {
    let (engines, halls) = idle();
    let away: Vec<EngineState> = (engines.iter().zip(&halls))
        .filter(|(_, hall)| **hall != 0)
        .map(|(engine, _)| *engine)
        .collect();
    let halls: Vec<usize> = halls.into_iter().filter(|hall| *hall != 0).collect();

    assert!(plan(&away, &halls, 5_000).is_some());
    assert!(plan(&away, &halls, 220_000).is_some());
}
