//! Where a generation runs: the engine that leads it, and those that read parts of its prompt.
//!
//! An engine works in passes: all that write take a fixed number of steps, and what is read
//! comes on top, so reading makes the pauses of every stream on that engine longer. Short
//! calls are therefore packed on the first engines of an order that all boxes share; how many
//! follows from the short calls in flight. Long prompts are read in parts, side by side, on
//! the other engines. Each of those reads for one long prompt at a time: two on one engine
//! delay each other by more than they gain. Ways weighed: `docs/design/long-reads.md`.

use std::time::Duration;

use rand::Rng;
use rand::seq::SliceRandom;
use serde::Deserialize;
use serde::Serialize;

use crate::relay::availability::Availability;
use crate::relay::call::PromptSize;
use crate::relay::engine_load::EngineLoad;
use crate::relay::engine_load::EngineWork;
use crate::relay::prefill_selector::Bearable;
use crate::relay::prefill_selector::LONG_PAUSE;
use crate::relay::prefill_selector::LONGEST_PART_ALONE;
use crate::relay::prefill_selector::PrefillSelector;

/// Engines that may read for one call beside the one that leads it; the engines' limit.
pub const MAX_HELPERS: usize = 16;
/// Reading alone from which a prompt is long: a short stream's pause suffers from more.
const LONG_READ: Duration = Duration::from_millis(200);
/// Reading of one part that a long prompt is cut into, where enough engines are free. In smaller
/// parts more engines would end the same pass later.
const PART_READ: Duration = Duration::from_millis(300);
/// Part of the free engines that one prompt takes at most where boxes are many, if its parts stay
/// short enough. Up to [`FRESH_BOXES`] it takes all; beyond, several
/// boxes would take the same engines.
const LEAST_SHARE_OF_FREE: f64 = 0.6;
/// Longest part that a prompt is sent with; it waits until enough engines are free.
const LONGEST_PART: Duration = Duration::from_millis(600);
/// Part of the time until its first event is due that a prompt's reading may take; the rest
/// covers passes and other reading. The larger it is, the fewer engines must be free at once.
const READ_PART_OF_TIME: f64 = 0.8;
/// One in so many engines reads a prompt that all together can't read in parts of
/// [`LONGEST_PART_ALONE`]. It is late in any case, and calls that come meanwhile find the others.
const HUGE_SHARE: usize = 2;
/// Reading of one part that a short call is cut into: passes of short streams stay short.
const SHORT_PART_READ: Duration = Duration::from_millis(50);
/// What is left of a long part that should be over by its estimate and is not.
const LATE_PART: Duration = Duration::from_millis(150);
/// Part of an engine's batch that is filled with short calls; the rest is for a burst.
const SHORT_PART_OF_BATCH: f64 = 0.75;
/// Engines kept for short calls beside those that they fill, for calls that come at once.
const SPARE_SHORT_ENGINES: usize = 1;
/// Engines that long prompts keep at least.
const LONG_ENGINES: usize = 3;
/// Part of an engine's memory that is planned with; the rest covers what isn't known.
const USABLE_MEMORY: f64 = 0.95;
/// Boxes up to which nearly all engines are weighed; what they tell each other is fresh then.
const FRESH_BOXES: usize = 10;
/// What leaving the short calls' own engines costs, as time to the first event.
const FOREIGN_LANE: Duration = Duration::from_millis(60);
/// What a full batch costs, as time: the call waits for another to end.
const FULL_BATCH: Duration = Duration::from_millis(1_500);
/// What a short call's helper may cost more than the engine that leads, as time.
const HELPER_DELAY: Duration = Duration::from_millis(60);
/// What a trip to another data hall costs, as time.
const OTHER_HALL: Duration = Duration::from_millis(2);
/// What an engine costs more than another that names a limit or sheds load, as time: its few calls
/// are for when the others are full, and for prompts that need it.
const LIMITED: Duration = Duration::from_millis(250);
/// What an engine costs that takes no call now, as time: no call goes there.
const CLOSED: Duration = Duration::from_hours(1);

/// How fast an engine is, as the operators state it.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct EngineModel {
    /// Calls that write at once.
    pub slots: u32,
    /// Memory, in tokens.
    pub memory: u64,
    /// Time of one step, in milliseconds.
    pub step_ms: f64,
    /// What each call that writes adds to a step, in milliseconds.
    pub per_writer_ms: f64,
    /// Prompt tokens read in a millisecond.
    pub read_per_ms: f64,
    /// What a million pairs of a token and an earlier one add, in milliseconds.
    pub per_million_pairs_ms: f64,
    /// Steps of one pass.
    pub steps_per_pass: u32,
}

impl EngineModel {
    /// Time that reading a prompt takes one engine alone.
    pub fn prefill_time(&self, tokens: u64) -> Duration {
        let tokens = tokens as f64;
        let pairs = tokens * tokens / 2.0 / 1e6;
        let millis = tokens / self.read_per_ms + pairs * self.per_million_pairs_ms;
        Duration::from_secs_f64(millis / 1e3)
    }

    /// Time of a pass with this many calls that write and nothing to read.
    pub fn pass_time(&self, writers: u32) -> Duration {
        let step = self.step_ms + self.per_writer_ms * f64::from(writers);
        Duration::from_secs_f64(step * f64::from(self.steps_per_pass) / 1e3)
    }
}

/// One engine that may take work.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineState {
    /// Work there, of all boxes.
    pub load: EngineLoad,
    /// Whether it stands in this box's data hall.
    pub is_local: bool,
    /// Rank in this box's own order, so that boxes which choose at once choose apart.
    pub preference: u32,
    /// Whether it takes a call of this box. Engines that read parts are asked by the one that
    /// leads, which no limit counts.
    pub availability: Availability,
}

/// One engine's part of a plan.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Assignment {
    /// Index of the engine in the caller's list.
    pub engine: usize,
    /// Reading there.
    pub prefill: Duration,
    /// Until the engine begins a pass that reads it.
    pub delay: Duration,
    /// Memory taken there, in tokens.
    pub memory: u64,
}

/// The engines that a call is planned over, and who else chooses among them.
#[derive(Debug, Clone, Copy)]
pub struct EnginePool<'a> {
    /// How fast each is.
    pub model: &'a EngineModel,
    /// Those that may take work, in the order that all boxes share.
    pub engines: &'a [EngineState],
    /// Boxes that choose apart from each other, this one included.
    pub boxes: usize,
}

/// What a caller expects of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LatencyTargets {
    /// Until its first event is due.
    pub due_in: Duration,
    /// Longest good pause between events, if any is stated.
    pub pause: Option<Duration>,
    /// Longest good pause of the most urgent streams that the same engines write.
    pub tightest_gap: Option<Duration>,
    /// Longest part of a large prompt that can't be on time; it is read by as few engines as that takes.
    pub late_chunk: Option<Duration>,
}

/// How a generation runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EnginePlan {
    /// Parts; the first one leads.
    pub assignments: Vec<Assignment>,
    /// Whether the parts' memory must be set aside before the call is sent.
    pub reserve_memory: bool,
    /// Whether the call counts as long.
    pub long: bool,
    /// Expected time to the first event.
    pub expected_first_event: Duration,
}

impl EnginePlan {
    /// The work at each part's engine, for the load table; `engines` are those of the plan.
    pub fn works(&self, engines: &[EngineState]) -> Vec<EngineWork> {
        let work = |(at, part): (usize, &Assignment)| {
            let ahead = Duration::from_millis(engines[part.engine].load.prefill_ms.into());
            EngineWork {
                prefill: part.prefill,
                delay: ahead + part.delay,
                memory_tokens: part.memory,
                is_lead: at == 0,
                is_long: self.long,
            }
        };
        self.assignments.iter().enumerate().map(work).collect()
    }
}

/// Whether a prompt is read and written on the long prompts' engines.
///
/// A stream that must not pause for long is written among the short ones, however long its
/// prompt is: only its reading is spread over the other engines.
pub fn is_long(model: &EngineModel, prompt: &PromptSize, pause: Option<Duration>) -> bool {
    let bears_pauses = pause.is_none_or(|pause| pause >= LONG_PAUSE);
    bears_pauses && model.prefill_time(prompt.tokens) > LONG_READ
}

/// How many of the first engines are kept for short calls.
pub fn short_call_engines(model: &EngineModel, engines: &[EngineState]) -> usize {
    let short: usize = engines
        .iter()
        .map(|engine| usize::from(engine.load.short_calls))
        .sum();
    let per_engine = (f64::from(model.slots) * SHORT_PART_OF_BATCH).max(1.0) as usize;
    let wanted = short.div_ceil(per_engine) + SPARE_SHORT_ENGINES;
    wanted.clamp(1, engines.len().saturating_sub(LONG_ENGINES).max(1))
}

/// Plans a call.
///
/// `None` if no engine can take it now, or too few are free to read it.
pub fn plan(
    pool: &EnginePool<'_>,
    prompt: &PromptSize,
    targets: LatencyTargets,
    rng: &mut impl Rng,
) -> Option<EnginePlan> {
    let short_engines = short_call_engines(pool.model, pool.engines);
    plan_with_short_engines(pool, short_engines, prompt, targets, rng)
}

/// Plans a call where the first `short_engines` engines are those kept for short calls.
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
    if is_long(pool.model, prompt, targets.pause) {
        plan_long(pool, short_engines, prompt, targets)
    } else {
        Some(plan_short(pool, short_engines, prompt, targets, rng))
    }
}

fn reading_ahead(engine: &EngineState) -> Duration {
    let reading = Duration::from_millis(u64::from(engine.load.prefill_ms));
    let least = match engine.load.long_prefills {
        0 => Duration::ZERO,
        _ => LATE_PART,
    };
    reading.max(least)
}

/// What is left of the pass that plays now, on average.
fn residual(model: &EngineModel, engine: &EngineState) -> Duration {
    match engine.writers() {
        0 => Duration::ZERO,
        writers => model.pass_time(writers) / 2,
    }
}

/// Time until a call that is sent now can be read.
fn wait(model: &EngineModel, engine: &EngineState) -> Duration {
    residual(model, engine) + reading_ahead(engine)
}

impl EngineState {
    /// Streams that it writes.
    pub(crate) fn writers(&self) -> u32 {
        u32::from(self.load.short_calls) + u32::from(self.load.long_calls)
    }

    /// Tokens that it has room for.
    pub(crate) fn free_memory(&self, model: &EngineModel) -> u64 {
        let usable = (model.memory as f64 * USABLE_MEMORY) as u64;
        usable.saturating_sub(u64::from(self.load.memory_kilotokens) * 1_000)
    }
}

/// Expected time until a short call's prompt has been read at an engine, with what it costs
/// others added as time.
fn short_cost(
    model: &EngineModel,
    engine: &EngineState,
    prompt: &PromptSize,
    is_short_engine: bool,
) -> Duration {
    let writers = engine.writers();
    let mut cost = wait(model, engine) + model.pass_time(writers + 1);
    if !is_short_engine {
        cost += FOREIGN_LANE;
    }
    if writers >= model.slots || engine.free_memory(model) < prompt.memory() {
        cost += FULL_BATCH;
    }
    if !engine.is_local {
        cost += OTHER_HALL;
    }
    cost + match engine.availability {
        Availability::Open => Duration::ZERO,
        Availability::Limited | Availability::Shedding => LIMITED,
        Availability::Closed | Availability::BackOff | Availability::Leaving => CLOSED,
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
        .map(|(at, engine)| short_cost(model, engine, prompt, at < short_engines))
        .collect();
    let mut order: Vec<usize> = (0..engines.len()).collect();
    order.sort_by_key(|&at| costs[at]);
    let most = costs[order[0]] + FOREIGN_LANE;
    let good = |is_short_engine: bool| {
        let good = |at: &usize| costs[*at] <= most && (*at < short_engines || !is_short_engine);
        (0..engines.len()).filter(good).collect::<Vec<usize>>()
    };
    let lead = draw(&costs, good(true), boxes, rng)
        .or_else(|| draw(&costs, good(false), boxes, rng))
        .unwrap_or(order[0]);
    order.retain(|&at| at != lead);
    let helpers = parts_of(prefill, SHORT_PART_READ).min(MAX_HELPERS + 1) - 1;
    if prefill > LONG_READ {
        // Engines outside the lane read it; those in the lane, too, where the parts would
        // otherwise make the streams there pause.
        let beside_short = Bearable::new(model, targets.tightest_gap).beside_short;
        let enough = parts_of(prefill, beside_short).min(MAX_HELPERS + 1) - 1;
        let outside = order.iter().filter(|&&at| at >= short_engines).count();
        let ahead = |at: usize| {
            let engine = &engines[at];
            (at < short_engines, reading_ahead(engine), engine.preference)
        };
        order.sort_by_key(|&at| ahead(at));
        order.truncate(outside.max(enough));
    } else {
        // Helpers that are busy, or that no short call is meant for, would only delay it.
        order.retain(|&at| at < short_engines && costs[at] <= costs[lead] + HELPER_DELAY);
    }
    order.truncate(helpers);
    order.insert(0, lead);
    let share = prefill / order.len() as u32;
    let slowest = order.iter().map(|&at| costs[at]).max().unwrap_or_default();
    let assignments = order.iter().enumerate().map(|(at, &engine)| Assignment {
        engine,
        prefill: share,
        delay: residual(model, &engines[engine]),
        memory: if at == 0 { prompt.memory() } else { 0 },
    });
    EnginePlan {
        assignments: assignments.collect(),
        reserve_memory: false,
        long: false,
        expected_first_event: slowest + share,
    }
}

/// The cheapest of those drawn.
///
/// The more boxes there are, the older is what each knows, and the fewer engines are drawn: else
/// all of them would choose the same one.
fn draw(
    costs: &[Duration],
    mut engines: Vec<usize>,
    boxes: usize,
    rng: &mut impl Rng,
) -> Option<usize> {
    let drawn = (engines.len() * FRESH_BOXES).div_ceil(FRESH_BOXES + boxes);
    engines.shuffle(rng);
    engines.truncate(drawn.max(2));
    engines.into_iter().min_by_key(|&at| costs[at])
}

fn plan_long(
    pool: &EnginePool<'_>,
    short_engines: usize,
    prompt: &PromptSize,
    targets: LatencyTargets,
) -> Option<EnginePlan> {
    let EnginePool { model, engines, .. } = *pool;
    let prefill = model.prefill_time(prompt.tokens);
    let usable = (model.memory as f64 * USABLE_MEMORY) as u64;
    let reserve_memory = prompt.memory() > usable;
    let short_engines = short_engines.min(engines.len() - 1);
    // With reservations the engine that leads is listed among the readers, too.
    let all = (MAX_HELPERS + usize::from(!reserve_memory)).min(engines.len());
    let is_huge = prefill / all as u32 > LONGEST_PART_ALONE;
    let most = if is_huge {
        all.min(engines.len().div_ceil(HUGE_SHARE))
    } else {
        all
    };
    let longest = longest_part(targets.due_in).max(targets.late_chunk.unwrap_or_default());
    let least = parts_of(prefill, longest)
        .min(engines.len() - short_engines)
        .min(most);
    let group = PrefillSelector {
        model,
        engines,
        prompt,
        short_engines,
        reserve_memory,
        is_huge,
        longest_alone: longest.max(LONGEST_PART_ALONE),
        bearable: Bearable::new(model, targets.tightest_gap),
    };
    let wanted = if targets.late_chunk.is_some() {
        least
    } else if reserve_memory {
        most
    } else {
        let free = group.free() as f64 * share_of_free(pool.boxes);
        parts_of(prefill, PART_READ)
            .min(free as usize)
            .clamp(least, most)
    };
    // As many as are wanted or fewer, then more and smaller parts, which the lane bears, too.
    let mut counts = (least..=wanted).rev().chain(wanted + 1..=most);
    let chosen = counts.find_map(|count| group.choose(count, prefill / count as u32))?;
    Some(long_plan(&group, &chosen, prefill))
}

fn long_plan(group: &PrefillSelector<'_>, chosen: &[usize], prefill: Duration) -> EnginePlan {
    let PrefillSelector {
        model,
        engines,
        prompt,
        reserve_memory,
        ..
    } = *group;
    let share = prefill / chosen.len() as u32;
    let before = chosen.iter().map(|&at| wait(model, &engines[at])).max();
    let share_of_memory = prompt.memory() / chosen.len() as u64 + 1;
    let assignments = chosen.iter().enumerate().map(|(at, &engine)| Assignment {
        engine,
        prefill: share,
        delay: residual(model, &engines[engine]),
        memory: match (reserve_memory, at) {
            (true, _) => share_of_memory,
            (false, 0) => prompt.memory(),
            (false, _) => 0,
        },
    });
    EnginePlan {
        assignments: assignments.collect(),
        reserve_memory,
        long: true,
        expected_first_event: before.unwrap_or_default() + share + model.pass_time(2),
    }
}

/// Longest part that a prompt is sent with; it waits until enough engines are free for that.
fn longest_part(due_in: Duration) -> Duration {
    match due_in {
        // Late already, it goes when nothing else waits: it only has to be read at all.
        Duration::ZERO => LONGEST_PART_ALONE,
        due_in => due_in
            .mul_f64(READ_PART_OF_TIME)
            .clamp(LONGEST_PART, LONGEST_PART_ALONE),
    }
}

/// The part of the free engines that one prompt may take.
///
/// The more boxes there are, the older is what each knows of the engines.
fn share_of_free(boxes: usize) -> f64 {
    (FRESH_BOXES as f64 / boxes.max(1) as f64).clamp(LEAST_SHARE_OF_FREE, 1.0)
}

fn parts_of(prefill: Duration, part: Duration) -> usize {
    (prefill.as_secs_f64() / part.as_secs_f64()).ceil().max(1.0) as usize
}
