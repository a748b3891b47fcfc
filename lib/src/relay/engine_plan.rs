//! Placement of a generation: its lead engine and the engines that prefill chunks of its prompt.
//!
//! The lead engine receives the call, requests the chunks from the other engines, its helpers, and
//! decodes the stream.
//!
//! An engine works in passes. A pass runs a fixed number of decode steps for all its streams, and
//! prefill work is added to it, so prefill widens the gaps between the events of every stream on the
//! engine.
//!
//! Short calls are therefore packed onto the first engines of an order that all boxes share; the
//! number of these engines follows from the short calls in flight. Long prompts are split into
//! chunks that the other engines prefill in parallel. Each of these engines serves one long prompt
//! at a time, since two on one engine delay each other by more than they gain.
//!
//! Alternatives considered: see `docs/design/long-reads.md`.

use std::time::Duration;

use rand::Rng;
use rand::seq::SliceRandom;
use serde::Deserialize;
use serde::Serialize;

use crate::relay::availability::Availability;
use crate::relay::call::PromptSize;
use crate::relay::engine_load::EngineLoad;
use crate::relay::engine_load::EngineWork;
use crate::relay::prefill_selector::MAX_EXCLUSIVE_CHUNK;
use crate::relay::prefill_selector::PrefillSelector;
use crate::relay::stream_gaps::ChunkLimits;
use crate::relay::stream_gaps::StreamClass;
use crate::relay::stream_gaps::StreamGaps;

/// Maximum number of engines that prefill for one call besides its lead engine; a limit that the
/// engines impose.
pub const MAX_HELPERS: usize = 16;
/// Prefill time on a single engine above which a prompt is long: more would make short streams
/// exceed their gap limit.
const MAX_SHORT_PREFILL: Duration = Duration::from_millis(200);
/// Target prefill time of a long prompt's chunk where enough engines are free. Smaller chunks would
/// prolong a pass on more engines.
pub(crate) const TARGET_CHUNK: Duration = Duration::from_millis(300);
/// Lower bound of the fraction of free engines that one prompt may take, reached where there are
/// many boxes, provided its chunks stay short enough. Up to [`FRESH_BOXES`] boxes a prompt may take
/// all free engines; with more, several boxes would choose the same ones.
const MIN_FREE_ENGINE_FRACTION: f64 = 0.6;
/// Maximum prefill time of a chunk of a prompt that is due soon; one with more time left may use
/// larger chunks. The prompt waits until enough engines are free for chunks of this size.
const BASE_MAX_CHUNK: Duration = Duration::from_millis(600);
/// Fraction of the time until its first event is due that a prompt's prefill may take; the rest
/// covers passes and other prefill work. With a larger fraction fewer engines must be free at once.
const PREFILL_TIME_FRACTION: f64 = 0.8;
/// One in this many engines serves a prompt that all engines together can't prefill in chunks of
/// [`MAX_EXCLUSIVE_CHUNK`]. It is late in any case; the other engines stay free for other calls.
const HUGE_PROMPT_ENGINE_DIVISOR: usize = 2;
/// Target prefill time of a short call's chunk, which keeps the passes of short streams short.
const SHORT_TARGET_CHUNK: Duration = Duration::from_millis(50);
/// Minimum remaining prefill time that is assumed for an engine with an unfinished long chunk, even
/// if the chunk has exceeded its estimate.
const OVERDUE_CHUNK_REMAINDER: Duration = Duration::from_millis(150);
/// Fraction of a reserved engine's batch that is filled with short calls; the rest absorbs bursts.
const SHORT_BATCH_FRACTION: f64 = 0.75;
/// Engines reserved for short calls in addition to those that they fill, for simultaneous arrivals.
const SPARE_SHORT_ENGINES: usize = 1;
/// Minimum number of engines left to long prompts.
const MIN_LONG_ENGINES: usize = 3;
/// Fraction of an engine's memory that plans may use; the rest covers use not yet known here.
const USABLE_MEMORY_FRACTION: f64 = 0.95;
/// Number of boxes up to which load data is fresh, so that most engines are considered.
const FRESH_BOXES: usize = 10;
/// Cost of placing a short call outside the reserved engines, as time to the first event.
const UNRESERVED_ENGINE_COST: Duration = Duration::from_millis(60);
/// Cost of a full batch, as time: the call waits until another ends.
const FULL_BATCH_COST: Duration = Duration::from_millis(1_500);
/// Maximum cost of a short call's helper above that of its lead engine, as time.
const MAX_HELPER_EXTRA_COST: Duration = Duration::from_millis(60);
/// Cost of a round trip to another data hall, as time.
const REMOTE_HALL_COST: Duration = Duration::from_millis(2);
/// Cost of an engine that states a call limit or sheds load, as time: the few calls that it accepts
/// are kept for times when other engines are full and for prompts that need this engine.
const LIMITED_COST: Duration = Duration::from_millis(250);
/// Cost of an engine that accepts no calls now, as time: high enough that no call goes there
/// while another engine accepts calls.
const CLOSED_COST: Duration = Duration::from_hours(1);

/// Performance model of an engine, as configured by the operators.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct EngineModel {
    /// Maximum number of streams decoded at once.
    pub slots: u32,
    /// Engine memory, in tokens.
    pub memory: u64,
    /// Base time of one decode step, in milliseconds.
    pub step_ms: f64,
    /// Time that each decoding stream adds to a step, in milliseconds.
    pub per_writer_ms: f64,
    /// Prompt tokens prefilled per millisecond, without attention cost.
    pub read_per_ms: f64,
    /// Attention cost of a million pairs of a token and an earlier one, in milliseconds.
    pub per_million_pairs_ms: f64,
    /// Decode steps per pass.
    pub steps_per_pass: u32,
}

impl EngineModel {
    /// Whether engines with these figures can exist: they hold and prefill something, and no time is
    /// negative or infinite.
    pub fn is_valid(&self) -> bool {
        let times = [self.step_ms, self.per_writer_ms, self.per_million_pairs_ms];
        let is_time = |millis: &f64| millis.is_finite() && *millis >= 0.0;
        self.slots > 0
            && self.memory > 0
            && self.read_per_ms.is_finite()
            && self.read_per_ms > 0.0
            && times.iter().all(is_time)
    }

    /// Time to prefill a prompt on a single engine.
    pub fn prefill_time(&self, tokens: u64) -> Duration {
        let tokens = tokens as f64;
        let pairs = tokens * tokens / 2.0 / 1e6;
        let millis = tokens / self.read_per_ms + pairs * self.per_million_pairs_ms;
        Duration::from_secs_f64(millis / 1e3)
    }

    /// Memory that plans may use, in tokens.
    pub(crate) fn usable_memory(&self) -> u64 {
        (self.memory as f64 * USABLE_MEMORY_FRACTION) as u64
    }

    /// Duration of a pass that decodes this many streams, without prefill work.
    pub fn pass_time(&self, streams: u32) -> Duration {
        let step = self.step_ms + self.per_writer_ms * f64::from(streams);
        Duration::from_secs_f64(step * f64::from(self.steps_per_pass) / 1e3)
    }
}

/// An engine that accepts work.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineState {
    /// Load from all boxes.
    pub load: EngineLoad,
    /// Whether the engine is in this box's data hall.
    pub is_local: bool,
    /// Rank in this box's own order of engines; the orders differ so that boxes which choose at the
    /// same time choose different engines.
    pub preference: u32,
    /// Whether the engine accepts calls of this box. Doesn't apply to chunks that it prefills for
    /// others: the lead engine requests these, and call limits don't count them.
    pub availability: Availability,
}

/// The part of a plan that one engine executes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Assignment {
    /// Index of the engine in [`EnginePool::engines`].
    pub engine: usize,
    /// Prefill time on this engine.
    pub prefill: Duration,
    /// Time until the engine starts the pass that prefills it.
    pub delay: Duration,
    /// Memory used on this engine, in tokens.
    pub memory_tokens: u64,
}

/// The engines available to a plan, and the number of boxes that choose among them.
#[derive(Debug, Clone, Copy)]
pub struct EnginePool<'a> {
    /// Performance model that all engines share.
    pub model: &'a EngineModel,
    /// Engines that accept work, in the order that all boxes share.
    pub engines: &'a [EngineState],
    /// Boxes that choose independently, this one included.
    pub boxes: usize,
}

/// Latency targets of a stream, and limits set by other streams on the same engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LatencyTargets {
    /// Time until the first event is due.
    pub due_in: Duration,
    /// Gap limits of the stream and of the other streams on the engines.
    pub gaps: StreamGaps,
    /// Maximum prefill time of a chunk of a large prompt that can't be on time; it uses as few
    /// engines as chunks of this size allow. `None` for all other prompts.
    pub late_chunk: Option<Duration>,
}

/// Placement of a generation on engines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EnginePlan {
    /// Assignments to engines; the first is that of the lead engine.
    pub assignments: Vec<Assignment>,
    /// Whether memory must be reserved for all assignments before the call is sent.
    pub reserve_memory: bool,
    /// Whether the call is treated as long.
    pub is_long: bool,
    /// How the stream shares its lead engine with prefill chunks.
    pub stream: StreamClass,
    /// Expected time to the first event.
    pub expected_first_event: Duration,
}

impl EnginePlan {
    /// Load table entry of each assignment; `engines` must be the list that the plan was made for.
    pub fn engine_work(&self, engines: &[EngineState]) -> Vec<EngineWork> {
        let entry = |(index, assignment): (usize, &Assignment)| {
            let pending = Duration::from_millis(engines[assignment.engine].load.prefill_ms.into());
            EngineWork {
                prefill: assignment.prefill,
                delay: pending + assignment.delay,
                memory_tokens: assignment.memory_tokens,
                is_lead: index == 0,
                is_long: self.is_long,
                stream: self.stream,
            }
        };
        self.assignments.iter().enumerate().map(entry).collect()
    }
}

/// Whether a prompt is prefilled and decoded on the engines for long prompts.
///
/// A strict stream is decoded on the engines for short calls, and only its prefill is spread over
/// the other engines, unless its prompt exceeds the memory of an engine or its chunks would be too
/// long for the streams there.
pub fn is_long(model: &EngineModel, prompt: &PromptSize, gaps: &StreamGaps) -> bool {
    let prefill = model.prefill_time(prompt.tokens);
    let smallest_chunk = prefill / (MAX_HELPERS as u32 + 1);
    match gaps.class() {
        _ if needs_reservation(model, prompt) => true,
        _ if prefill <= MAX_SHORT_PREFILL => false,
        StreamClass::Tolerant => true,
        StreamClass::Strict => smallest_chunk > ChunkLimits::new(model, gaps).with_strict_streams,
    }
}

/// Whether a prompt exceeds the memory of one engine, so that its call is sent only with memory
/// reserved on several.
fn needs_reservation(model: &EngineModel, prompt: &PromptSize) -> bool {
    prompt.memory_tokens() > model.usable_memory()
}

/// Minimum number of engines that can hold a prompt while they serve nothing else.
fn min_holders(model: &EngineModel, prompt: &PromptSize) -> usize {
    match model.usable_memory() {
        _ if !needs_reservation(model, prompt) => 1,
        0 => usize::MAX,
        // Each engine holds its share, rounded up to the next token.
        usable => (prompt.memory_tokens() / usable + 1) as usize,
    }
}

/// Whether this many engines can hold a prompt while they serve nothing else.
pub fn fits_engines(model: &EngineModel, prompt: &PromptSize, engines: usize) -> bool {
    min_holders(model, prompt) <= engines.min(MAX_HELPERS)
}

/// Number of engines, from the start of the shared order, reserved for short calls.
pub fn short_call_engines(model: &EngineModel, engines: &[EngineState]) -> usize {
    let short: usize = engines
        .iter()
        .map(|engine| usize::from(engine.load.short_calls))
        .sum();
    let per_engine = (f64::from(model.slots) * SHORT_BATCH_FRACTION).max(1.0) as usize;
    let wanted = short.div_ceil(per_engine) + SPARE_SHORT_ENGINES;
    wanted.clamp(1, engines.len().saturating_sub(MIN_LONG_ENGINES).max(1))
}

/// Plans a call.
///
/// Returns `None` if no engine can take the call now, or too few are free to prefill it.
pub fn plan(
    pool: &EnginePool<'_>,
    prompt: &PromptSize,
    targets: LatencyTargets,
    rng: &mut impl Rng,
) -> Option<EnginePlan> {
    let short_engines = short_call_engines(pool.model, pool.engines);
    plan_with_short_engines(pool, short_engines, prompt, targets, rng)
}

/// Plans a call with the first `short_engines` engines reserved for short calls.
pub(crate) fn plan_with_short_engines(
    pool: &EnginePool<'_>,
    short_engines: usize,
    prompt: &PromptSize,
    targets: LatencyTargets,
    rng: &mut impl Rng,
) -> Option<EnginePlan> {
    if pool.engines.is_empty() {
        return None;
    }
    if is_long(pool.model, prompt, &targets.gaps) {
        plan_long(pool, short_engines, prompt, targets)
    } else {
        Some(plan_short(pool, short_engines, prompt, targets, rng))
    }
}

/// Prefill work ahead of a new call. A long chunk counts as unfinished even if it is overdue.
fn pending_prefill(engine: &EngineState) -> Duration {
    let prefill = Duration::from_millis(u64::from(engine.load.prefill_ms));
    let minimum = match engine.load.long_prefills {
        0 => Duration::ZERO,
        _ => OVERDUE_CHUNK_REMAINDER,
    };
    prefill.max(minimum)
}

/// Expected remaining time of the current pass: half of it on average.
fn pass_remainder(model: &EngineModel, engine: &EngineState) -> Duration {
    match engine.active_streams() {
        0 => Duration::ZERO,
        active_streams => model.pass_time(active_streams) / 2,
    }
}

/// Time until prefill of a call that is sent now can start.
fn time_to_start(model: &EngineModel, engine: &EngineState) -> Duration {
    pass_remainder(model, engine) + pending_prefill(engine)
}

impl EngineState {
    /// Streams that the engine decodes.
    pub(crate) fn active_streams(&self) -> u32 {
        u32::from(self.load.short_calls) + u32::from(self.load.long_calls)
    }

    /// Usable free memory, in tokens.
    pub(crate) fn free_memory(&self, model: &EngineModel) -> u64 {
        model
            .usable_memory()
            .saturating_sub(u64::from(self.load.memory_kilotokens) * 1_000)
    }
}

/// Expected time until an engine produces the first event of a short call, without the call's own
/// prefill, plus the disadvantages of this engine expressed as time.
fn short_cost(
    model: &EngineModel,
    engine: &EngineState,
    prompt: &PromptSize,
    is_short_engine: bool,
) -> Duration {
    let active_streams = engine.active_streams();
    let mut cost = time_to_start(model, engine) + model.pass_time(active_streams + 1);
    if !is_short_engine {
        cost += UNRESERVED_ENGINE_COST;
    }
    if active_streams >= model.slots || engine.free_memory(model) < prompt.memory_tokens() {
        cost += FULL_BATCH_COST;
    }
    if !engine.is_local {
        cost += REMOTE_HALL_COST;
    }
    cost + match engine.availability {
        Availability::Open => Duration::ZERO,
        Availability::Limited | Availability::Shedding => LIMITED_COST,
        Availability::Closed
        | Availability::BackOff
        | Availability::Evacuated
        | Availability::Leaving => CLOSED_COST,
    }
}

fn plan_short(
    pool: &EnginePool<'_>,
    short_engines: usize,
    prompt: &PromptSize,
    targets: LatencyTargets,
    rng: &mut impl Rng,
) -> EnginePlan {
    let EnginePool {
        model,
        engines,
        boxes,
        ..
    } = *pool;
    let prefill = model.prefill_time(prompt.tokens);
    let costs: Vec<Duration> = (engines.iter().enumerate())
        .map(|(index, engine)| short_cost(model, engine, prompt, index < short_engines))
        .collect();
    let mut order: Vec<usize> = (0..engines.len()).collect();
    order.sort_by_key(|&index| costs[index]);
    let max_cost = costs[order[0]] + UNRESERVED_ENGINE_COST;
    let candidates = |only_short_engines: bool| {
        let is_candidate = |index: &usize| {
            costs[*index] <= max_cost && (*index < short_engines || !only_short_engines)
        };
        (0..engines.len())
            .filter(is_candidate)
            .collect::<Vec<usize>>()
    };
    let lead = cheapest_of_sample(&costs, candidates(true), boxes, rng)
        .or_else(|| cheapest_of_sample(&costs, candidates(false), boxes, rng))
        .unwrap_or(order[0]);
    order.retain(|&index| index != lead);
    let helpers = chunk_count(prefill, SHORT_TARGET_CHUNK).min(MAX_HELPERS + 1) - 1;
    if prefill > MAX_SHORT_PREFILL {
        // Engines that are not reserved for short calls prefill it. Reserved ones help only if
        // chunks would otherwise be so large that short streams exceed their gap limit.
        let with_strict_streams = ChunkLimits::new(model, &targets.gaps).with_strict_streams;
        let needed = chunk_count(prefill, with_strict_streams).min(MAX_HELPERS + 1) - 1;
        let outside = order
            .iter()
            .filter(|&&index| index >= short_engines)
            .count();
        let helper_key = |index: usize| {
            let engine = &engines[index];
            (
                index < short_engines,
                pending_prefill(engine),
                engine.preference,
            )
        };
        order.sort_by_key(|&index| helper_key(index));
        order.truncate(outside.max(needed));
    } else {
        // Busy engines and those not reserved for short calls would only delay the call.
        order.retain(|&index| {
            index < short_engines && costs[index] <= costs[lead] + MAX_HELPER_EXTRA_COST
        });
    }
    order.truncate(helpers);
    order.insert(0, lead);
    let share = prefill / order.len() as u32;
    let slowest = order
        .iter()
        .map(|&index| costs[index])
        .max()
        .unwrap_or_default();
    let assignments = order.iter().enumerate().map(|(index, &engine)| Assignment {
        engine,
        prefill: share,
        delay: pass_remainder(model, &engines[engine]),
        memory_tokens: if index == 0 {
            prompt.memory_tokens()
        } else {
            0
        },
    });
    EnginePlan {
        assignments: assignments.collect(),
        reserve_memory: false,
        is_long: false,
        stream: StreamClass::Strict,
        expected_first_event: slowest + share,
    }
}

/// Chooses the cheapest engine of a random sample.
///
/// With more boxes the load data of each is older, so the sample is smaller; otherwise all boxes
/// would choose the same engine.
fn cheapest_of_sample(
    costs: &[Duration],
    mut engines: Vec<usize>,
    boxes: usize,
    rng: &mut impl Rng,
) -> Option<usize> {
    let sample_size = (engines.len() * FRESH_BOXES).div_ceil(FRESH_BOXES + boxes);
    engines.shuffle(rng);
    engines.truncate(sample_size.max(2));
    engines.into_iter().min_by_key(|&index| costs[index])
}

fn plan_long(
    pool: &EnginePool<'_>,
    short_engines: usize,
    prompt: &PromptSize,
    targets: LatencyTargets,
) -> Option<EnginePlan> {
    let EnginePool { model, engines, .. } = *pool;
    let prefill = model.prefill_time(prompt.tokens);
    let reserve_memory = needs_reservation(model, prompt);
    let holders = min_holders(model, prompt);
    let short_engines = short_engines.min(engines.len().saturating_sub(holders));
    // If memory is reserved, the lead engine itself counts against the engines' limit on helpers.
    let available = (MAX_HELPERS + usize::from(!reserve_memory)).min(engines.len());
    // Reserved engines take only small chunks, even while they are idle.
    let unreserved = engines.len() - SPARE_SHORT_ENGINES.min(engines.len() - 1);
    let exceeds_all_engines = prefill / available.min(unreserved) as u32 > MAX_EXCLUSIVE_CHUNK;
    let max_count = if exceeds_all_engines {
        let few = engines.len().div_ceil(HUGE_PROMPT_ENGINE_DIVISOR);
        available.min(few.max(holders))
    } else {
        available
    };
    let chunk_limit =
        max_chunk_by_due_time(targets.due_in).max(targets.late_chunk.unwrap_or_default());
    let min_count = chunk_count(prefill, chunk_limit)
        .max(holders)
        .min(engines.len() - short_engines)
        .min(max_count);
    let selector = PrefillSelector {
        model,
        engines,
        prompt,
        short_engines,
        reserve_memory,
        exceeds_all_engines,
        exclusive_limit: chunk_limit.max(MAX_EXCLUSIVE_CHUNK),
        chunk_limits: ChunkLimits::new(model, &targets.gaps),
    };
    let wanted = if targets.late_chunk.is_some() {
        min_count
    } else if reserve_memory {
        max_count
    } else {
        let free = selector.free() as f64 * free_engine_fraction(pool.boxes);
        chunk_count(prefill, TARGET_CHUNK)
            .min(free as usize)
            .clamp(min_count, max_count)
    };
    // Try the wanted number of engines, then fewer, then more: smaller chunks also fit on engines
    // reserved for short calls.
    let mut counts = (min_count..=wanted).rev().chain(wanted + 1..=max_count);
    let chosen = counts.find_map(|count| selector.choose(count, prefill / count as u32))?;
    Some(build_long_plan(
        &selector,
        &chosen,
        prefill,
        targets.gaps.class(),
    ))
}

fn build_long_plan(
    selector: &PrefillSelector<'_>,
    chosen: &[usize],
    prefill: Duration,
    stream: StreamClass,
) -> EnginePlan {
    let PrefillSelector {
        model,
        engines,
        prompt,
        reserve_memory,
        ..
    } = *selector;
    let share = prefill / chosen.len() as u32;
    let start_delay = chosen
        .iter()
        .map(|&index| time_to_start(model, &engines[index]))
        .max();
    let memory_share = prompt.memory_tokens() / chosen.len() as u64 + 1;
    let assignments = chosen
        .iter()
        .enumerate()
        .map(|(index, &engine)| Assignment {
            engine,
            prefill: share,
            delay: pass_remainder(model, &engines[engine]),
            memory_tokens: match (reserve_memory, index) {
                (true, _) => memory_share,
                (false, 0) => prompt.memory_tokens(),
                (false, _) => 0,
            },
        });
    EnginePlan {
        assignments: assignments.collect(),
        reserve_memory,
        is_long: true,
        stream,
        expected_first_event: start_delay.unwrap_or_default() + share + model.pass_time(2),
    }
}

/// Maximum prefill time of a chunk, by the time until the prompt's first event is due. The prompt
/// waits until enough engines are free for chunks of this size.
fn max_chunk_by_due_time(due_in: Duration) -> Duration {
    match due_in {
        // Already late: it starts only when nothing else waits, and doesn't wait for more engines
        // to become free.
        Duration::ZERO => MAX_EXCLUSIVE_CHUNK,
        due_in => due_in
            .mul_f64(PREFILL_TIME_FRACTION)
            .clamp(BASE_MAX_CHUNK, MAX_EXCLUSIVE_CHUNK),
    }
}

/// Fraction of the free engines that one prompt may take.
///
/// Shrinks with the number of boxes, since the load data of each is then older.
fn free_engine_fraction(boxes: usize) -> f64 {
    (FRESH_BOXES as f64 / boxes.max(1) as f64).clamp(MIN_FREE_ENGINE_FRACTION, 1.0)
}

/// Number of chunks that a prefill is split into if each takes at most the time `chunk`.
fn chunk_count(prefill: Duration, chunk: Duration) -> usize {
    (prefill.as_secs_f64() / chunk.as_secs_f64())
        .ceil()
        .max(1.0) as usize
}
