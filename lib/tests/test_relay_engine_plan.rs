//! Where a generation runs.

use std::time::Duration;

use badgerferry_lib::relay::availability::Availability;
use badgerferry_lib::relay::call::PromptSize;
use badgerferry_lib::relay::engine_load::EngineLoad;
use badgerferry_lib::relay::engine_plan;
use badgerferry_lib::relay::engine_plan::EngineModel;
use badgerferry_lib::relay::engine_plan::EnginePlan;
use badgerferry_lib::relay::engine_plan::EnginePool;
use badgerferry_lib::relay::engine_plan::EngineState;
use badgerferry_lib::relay::engine_plan::LatencyTargets;
use badgerferry_lib::relay::engine_plan::MAX_HELPERS;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const MODEL: EngineModel = EngineModel {
    slots: 16,
    memory: 315_000,
    step_ms: 0.85,
    per_writer_ms: 0.004_25,
    read_per_ms: 177.0,
    per_million_pairs_ms: 0.184,
    steps_per_pass: 51,
};
/// So little that parts are cut as small as can be waited for.
const DUE_IN: Duration = Duration::from_millis(500);
const PATIENT: Option<Duration> = Some(Duration::from_secs(1));
const SHORT: Option<Duration> = Some(Duration::from_millis(250));
const MIDDLE: Option<Duration> = Some(Duration::from_millis(600));

fn idle(count: usize) -> Vec<EngineState> {
    (0..count)
        .map(|at| EngineState {
            load: EngineLoad::default(),
            is_local: true,
            preference: at as u32,
            availability: Availability::Open,
        })
        .collect()
}

const fn prompt(tokens: u64) -> PromptSize {
    PromptSize {
        tokens,
        max_output: 800,
    }
}

/// Beside streams that bear pauses of 250 ms.
const fn targets(due_in: Duration, pause: Option<Duration>) -> LatencyTargets {
    LatencyTargets {
        due_in,
        pause,
        tightest_gap: SHORT,
        late_chunk: None,
    }
}

const fn pool(engines: &[EngineState], boxes: usize) -> EnginePool<'_> {
    EnginePool {
        model: &MODEL,
        engines,
        boxes,
    }
}

fn plan_with(
    engines: &[EngineState],
    tokens: u64,
    targets: LatencyTargets,
    boxes: usize,
) -> Option<EnginePlan> {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    engine_plan::plan(&pool(engines, boxes), &prompt(tokens), targets, &mut rng)
}

fn plan(engines: &[EngineState], tokens: u64, pause: Option<Duration>) -> Option<EnginePlan> {
    plan_with(engines, tokens, targets(DUE_IN, pause), 6)
}

fn plan_due(engines: &[EngineState], tokens: u64, due_in: Duration) -> Option<EnginePlan> {
    plan_with(engines, tokens, targets(due_in, PATIENT), 6)
}

fn engines_of(plan: &EnginePlan) -> Vec<usize> {
    plan.assignments.iter().map(|part| part.engine).collect()
}

#[test]
fn short_calls_stay_on_the_first_engines() {
    let mut engines = idle(18);
    engines[0].load.short_calls = 12;

    let plan = plan(&engines, 5_000, SHORT).expect("there is room");

    assert!(!plan.long);
    assert_eq!(
        engines_of(&plan),
        [1],
        "the second is the spare one, and it is idle"
    );
}

#[test]
fn the_lane_grows_with_the_short_calls_in_flight() {
    let mut engines = idle(18);
    assert_eq!(engine_plan::short_call_engines(&MODEL, &engines), 1);

    engines[3].load.short_calls = 100;

    assert_eq!(engine_plan::short_call_engines(&MODEL, &engines), 10);
}

/// Engines of the grown fleets hold 12 calls at once, not 16.
#[test]
fn smaller_batches_make_a_wider_lane() {
    let mut engines = idle(18);
    engines[3].load.short_calls = 72;
    let small = EngineModel { slots: 12, ..MODEL };

    assert_eq!(engine_plan::short_call_engines(&MODEL, &engines), 7);
    assert_eq!(engine_plan::short_call_engines(&small, &engines), 9);
}

#[test]
fn a_long_prompt_takes_free_engines_outside_the_lane_in_parts() {
    let plan = plan(&idle(18), 154_000, PATIENT).expect("all are free");

    assert!(plan.long && !plan.reserve_memory);
    assert!(
        plan.assignments.len() >= 10,
        "{} parts",
        plan.assignments.len()
    );
    assert!(!engines_of(&plan).contains(&0));
    assert!(
        plan.assignments
            .iter()
            .all(|part| part.prefill <= Duration::from_millis(320))
    );
    assert_eq!(plan.assignments[0].memory, prompt(154_000).memory());
}

#[test]
fn an_engine_reads_for_one_long_prompt_at_a_time() {
    let mut engines = idle(18);
    engines[5].load.long_prefills = 1;

    let plan = plan(&engines, 154_000, PATIENT).expect("others are free");

    assert!(!engines_of(&plan).contains(&5));
}

/// 17 engines would read it in parts of 620 ms; a short stream there bears 250 ms.
#[test]
fn a_single_short_stream_is_not_made_to_pause_by_a_long_part() {
    let mut engines = idle(18);
    for engine in &mut engines {
        engine.load.short_calls = 1;
    }

    assert_eq!(plan(&engines, 310_000, PATIENT), None);
    assert!(
        plan(&engines, 100_000, PATIENT).is_some(),
        "its parts are of 90 ms"
    );
}

#[test]
fn a_prompt_waits_where_too_few_engines_are_free() {
    let mut engines = idle(18);
    for engine in &mut engines[3..] {
        engine.load.long_prefills = 1;
    }

    assert_eq!(plan(&engines, 154_000, PATIENT), None);
    assert!(
        plan(&engines, 60_000, PATIENT).is_some(),
        "a smaller one needs fewer"
    );
}

#[test]
fn large_parts_stay_away_from_long_streams() {
    let mut engines = idle(18);
    for engine in &mut engines[4..] {
        engine.load.long_calls = 1;
    }
    for engine in &mut engines[10..] {
        engine.load.long_prefills = 1;
    }

    let small = plan(&engines, 100_000, PATIENT).expect("parts of 200 ms");

    assert!(small.assignments.iter().all(|part| part.engine < 10));
    assert_eq!(
        plan(&engines, 310_000, PATIENT),
        None,
        "nine engines, six of which write, read parts of 1.2 s"
    );
}

#[test]
fn a_large_prompt_takes_all_engines_that_are_free() {
    let mut engines = idle(18);
    for engine in &mut engines[11..] {
        engine.load.long_prefills = 1;
    }

    let plan = plan_due(&engines, 250_000, Duration::from_secs(3)).expect("ten are free");

    assert_eq!(plan.assignments.len(), 10);
}

#[test]
fn a_large_prompt_leaves_some_free_engines_where_boxes_are_many() {
    let mut engines = idle(18);
    for engine in &mut engines[11..] {
        engine.load.long_prefills = 1;
    }
    let targets = targets(Duration::from_secs(3), PATIENT);

    let plan = plan_with(&engines, 250_000, targets, 60);

    let plan = plan.expect("ten are free");
    assert_eq!(plan.assignments.len(), 6);
}

/// It can't be on time, and half of the engines stay for calls that can.
#[test]
fn a_prompt_that_is_late_on_all_engines_takes_half_of_them() {
    let plan = plan_due(&idle(18), 900_000, Duration::ZERO).expect("all are free");

    assert_eq!(plan.assignments.len(), 9);
    assert!(plan.reserve_memory);
}

#[test]
fn a_prompt_is_read_beside_short_streams_in_parts_that_they_bear() {
    let mut engines = idle(18);
    for engine in &mut engines {
        engine.load.short_calls = 8;
    }

    let small = plan_due(&engines, 100_000, Duration::from_secs(3));
    let large = plan_due(&engines, 200_000, Duration::from_secs(3));

    let small = small.expect("parts of 100 ms are borne by all engines");
    assert!(
        small
            .assignments
            .iter()
            .all(|part| part.prefill < Duration::from_millis(150))
    );
    assert_eq!(large, None, "parts of 280 ms would pause them");
}

#[test]
fn streams_that_pause_longer_bear_larger_parts_beside_them() {
    let mut engines = idle(18);
    for engine in &mut engines {
        engine.load.short_calls = 8;
    }
    let targets = LatencyTargets {
        tightest_gap: MIDDLE,
        ..targets(Duration::from_secs(3), PATIENT)
    };

    let plan = plan_with(&engines, 200_000, targets, 6);

    assert!(plan.is_some());
}

/// Most engines stand in the lane while short calls are many; three read outside it.
#[test]
fn a_prompt_led_among_short_streams_is_read_in_the_lane_where_parts_would_pause_them() {
    let mut engines = idle(18);
    for engine in &mut engines[..15] {
        engine.load.short_calls = 11;
    }

    let plan = plan(&engines, 100_000, MIDDLE).expect("there is room");

    assert!(
        plan.assignments
            .iter()
            .all(|part| part.prefill <= Duration::from_millis(155)),
        "{:?}",
        plan.assignments[0]
    );
}

#[test]
fn a_stream_that_must_not_pause_is_led_among_the_short_ones() {
    let plan = plan(&idle(18), 45_000, MIDDLE).expect("there is room");

    assert!(!plan.long);
    assert_eq!(plan.assignments[0].engine, 0);
    assert!(
        plan.assignments
            .iter()
            .all(|part| part.prefill <= Duration::from_millis(60))
    );
    assert!(engines_of(&plan)[1..].iter().all(|&at| at >= 1));
}

#[test]
fn a_prompt_larger_than_one_engine_sets_memory_aside_everywhere() {
    let plan = plan(&idle(18), 700_000, PATIENT).expect("all are free");

    assert!(plan.reserve_memory);
    assert!(
        plan.assignments.len() <= MAX_HELPERS,
        "the one that leads is listed, too"
    );
    let memory: u64 = plan.assignments.iter().map(|part| part.memory).sum();
    assert!(memory >= prompt(700_000).memory());
}

#[test]
fn a_prompt_that_no_group_can_hold_is_not_planned() {
    let mut engines = idle(18);
    for engine in &mut engines {
        engine.load.memory_kilotokens = 299;
    }

    assert_eq!(plan(&engines, 700_000, PATIENT), None);
    assert_eq!(plan(&[], 5_000, SHORT), None);
}

#[test]
fn plans_are_sound_for_any_load() {
    for seed in 0..2_000 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut engines = idle(rng.random_range(1..70));
        for engine in &mut engines {
            engine.load = EngineLoad {
                prefill_ms: rng.random_range(0..800),
                long_prefills: rng.random_range(0..2),
                short_calls: rng.random_range(0..20),
                long_calls: rng.random_range(0..4),
                memory_kilotokens: rng.random_range(0..320),
            };
        }
        let tokens = rng.random_range(1..1_000_000);
        let pause = [SHORT, MIDDLE, PATIENT, None][rng.random_range(0..4)];
        let prompt = prompt(tokens);
        let boxes = rng.random_range(1..400);
        let targets = LatencyTargets {
            due_in: Duration::from_millis(rng.random_range(0..5_000)),
            pause,
            tightest_gap: [SHORT, MIDDLE, None][rng.random_range(0..3)],
            late_chunk: None,
        };
        let found = engine_plan::plan(&pool(&engines, boxes), &prompt, targets, &mut rng);
        let Some(plan) = found else { continue };

        let mut used = engines_of(&plan);
        let assignments = used.len();
        used.sort_unstable();
        used.dedup();
        assert_eq!(used.len(), assignments, "seed {seed}: an engine twice");
        assert!(used.iter().all(|&at| at < engines.len()), "seed {seed}");
        assert!(
            assignments <= MAX_HELPERS + 1 - usize::from(plan.reserve_memory),
            "seed {seed}"
        );
        let memory: u64 = plan.assignments.iter().map(|part| part.memory).sum();
        assert!(memory >= prompt.memory(), "seed {seed}: {memory}");
        let alone = used.iter().all(|&at| engines[at].load.long_prefills == 0);
        assert!(
            !plan.long || alone,
            "seed {seed}: a long prompt beside another"
        );
    }
}

#[test]
fn a_large_prompt_starts_on_few_free_engines_unless_it_needs_more_to_be_on_time() {
    let mut engines = idle(18);
    for engine in &mut engines[8..] {
        engine.load.long_prefills = 1;
    }

    let early = plan_due(&engines, 250_000, Duration::from_secs(3));
    let late = plan_due(&engines, 250_000, Duration::from_millis(500));
    let past = plan_due(&engines, 250_000, Duration::ZERO);

    let early = early.expect("seven engines read it in time");
    assert!(early.assignments.iter().all(|part| part.engine < 8));
    assert!(early.expected_first_event < Duration::from_secs(2));
    assert_eq!(late, None);
    assert!(past.is_some(), "it can only be read late, on what is free");
}

#[test]
fn a_part_that_would_pause_streams_for_long_goes_where_nothing_is_written() {
    let mut engines = idle(18);
    for engine in &mut engines[8..] {
        engine.load.long_prefills = 1;
    }
    engines[3].load.short_calls = 1;
    engines[4].load.long_calls = 1;

    let plan = plan_due(&engines, 250_000, Duration::from_secs(3)).expect("five are left");

    let used = engines_of(&plan);
    assert!(!used.contains(&3) && !used.contains(&4), "{used:?}");
}

/// A limit counts calls that boxes send there, not what it reads for others.
#[test]
fn limited_engines_read_parts_of_long_prompts_and_lead_none() {
    let mut engines = idle(6);
    for at in [1, 2, 3] {
        engines[at].availability = Availability::Limited;
    }

    let plan = plan(&engines, 154_000, PATIENT).expect("all are free");

    let used = engines_of(&plan);
    assert_eq!(
        engines[used[0]].availability,
        Availability::Open,
        "{used:?}"
    );
    assert!(
        used.iter()
            .any(|&at| engines[at].availability == Availability::Limited)
    );
}

#[test]
fn a_long_prompt_is_led_by_a_limited_engine_where_there_is_no_other() {
    let mut engines = idle(6);
    for (at, engine) in engines.iter_mut().enumerate() {
        let is_closed = at % 2 == 0;
        engine.availability = if is_closed {
            Availability::Closed
        } else {
            Availability::Limited
        };
    }

    let plan = plan(&engines, 154_000, PATIENT).expect("some take it");

    assert_eq!(
        engines[plan.assignments[0].engine].availability,
        Availability::Limited
    );
}

#[test]
fn short_calls_go_to_limited_engines_only_where_the_others_are_full() {
    let mut engines = idle(4);
    engines[0].availability = Availability::Closed;
    engines[1].availability = Availability::Limited;
    let with_room = plan(&engines, 5_000, SHORT).expect("there is room");
    for at in [2, 3] {
        engines[at].load.short_calls = 16;
    }

    let without = plan(&engines, 5_000, SHORT).expect("there is room");

    assert!(
        [2, 3].contains(&with_room.assignments[0].engine),
        "{with_room:?}"
    );
    assert_eq!(without.assignments[0].engine, 1, "{without:?}");
}

#[test]
fn a_large_prompt_that_is_late_is_read_by_few_engines_in_longer_parts() {
    let engines = idle(18);
    let part = Duration::from_millis(3_500);
    let late = LatencyTargets {
        late_chunk: Some(part),
        ..targets(Duration::ZERO, PATIENT)
    };

    let usual = plan_due(&engines, 300_000, Duration::ZERO).expect("engines are idle");
    let plan = plan_with(&engines, 300_000, late, 6).expect("engines are idle");

    let prefill = MODEL.prefill_time(300_000);
    let least = (prefill.as_secs_f64() / part.as_secs_f64()).ceil() as usize;
    assert_eq!(plan.assignments.len(), least);
    assert!(plan.assignments[0].prefill <= part);
    assert!(usual.assignments.len() > least);
}
