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

use crate::relay::call::Prompt;
use crate::relay::engine_group::Bearable;
use crate::relay::engine_group::EngineGroup;
use crate::relay::engine_group::LONG_PAUSE;
use crate::relay::engine_group::LONGEST_PART_ALONE;
use crate::relay::engine_load::EngineLoad;
use crate::relay::engine_load::EngineWork;
use crate::relay::standing::Standing;

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
    pub fn read(&self, tokens: u64) -> Duration {
        let tokens = tokens as f64;
        let pairs = tokens * tokens / 2.0 / 1e6;
        let millis = tokens / self.read_per_ms + pairs * self.per_million_pairs_ms;
        Duration::from_secs_f64(millis / 1e3)
    }

    /// Time of a pass with this many calls that write and nothing to read.
    pub fn pass(&self, writers: u32) -> Duration {
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
    pub near: bool,
    /// Rank in this box's own order, so that boxes which choose at once choose apart.
    pub preference: u32,
    /// Whether it takes a call of this box. Engines that read parts are asked by the one that
    /// leads, which no limit counts.
    pub standing: Standing,
}

/// One engine's part of a plan.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Part {
    /// Index of the engine in the caller's list.
    pub engine: usize,
    /// Reading there.
    pub read: Duration,
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
pub struct Aims {
    /// Until its first event is due.
    pub due_in: Duration,
    /// Longest good pause between events, if any is stated.
    pub pause: Option<Duration>,
    /// Longest good pause of the most urgent streams that the same engines write.
    pub least_pause: Option<Duration>,
    /// Longest part of a large prompt that can't be on time; it is read by as few engines as that takes.
    pub late_part: Option<Duration>,
}

/// How a generation runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EnginePlan {
    /// Parts; the first one leads.
    pub parts: Vec<Part>,
    /// Whether the parts' memory must be set aside before the call is sent.
    pub reserve: bool,
    /// Whether the call counts as long.
    pub long: bool,
    /// Expected time to the first event.
    pub expected: Duration,
}

impl EnginePlan {
    /// The work at each part's engine, for the load table; `engines` are those of the plan.
    pub fn works(&self, engines: &[EngineState]) -> Vec<EngineWork> {
        let work = |(at, part): (usize, &Part)| {
            let ahead = Duration::from_millis(engines[part.engine].load.prefill_ms.into());
            EngineWork {
                prefill: part.read,
                delay: ahead + part.delay,
                memory_tokens: part.memory,
                is_lead: at == 0,
                is_long: self.long,
            }
        };
        self.parts.iter().enumerate().map(work).collect()
    }
}

/// Whether a prompt is read and written on the long prompts' engines.
///
/// A stream that must not pause for long is written among the short ones, however long its
/// prompt is: only its reading is spread over the other engines.
pub fn is_long(model: &EngineModel, prompt: &Prompt, pause: Option<Duration>) -> bool {
    let bears_pauses = pause.is_none_or(|pause| pause >= LONG_PAUSE);
    bears_pauses && model.read(prompt.tokens) > LONG_READ
}

/// How many of the first engines are kept for short calls.
pub fn short_lane(model: &EngineModel, engines: &[EngineState]) -> usize {
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
    prompt: &Prompt,
    aims: Aims,
    rng: &mut impl Rng,
) -> Option<EnginePlan> {
    let lane = short_lane(pool.model, pool.engines);
    plan_beside_lane(pool, lane, prompt, aims, rng)
}

/// Plans a call where the first `lane` engines are those kept for short calls.
pub(crate) fn plan_beside_lane(
    pool: &EnginePool<'_>,
    lane: usize,
    prompt: &Prompt,
    aims: Aims,
    rng: &mut impl Rng,
) -> Option<EnginePlan> {
    if pool.engines.is_empty() {
        return None;
    }
    if is_long(pool.model, prompt, aims.pause) {
        plan_long(pool, lane, prompt, aims)
    } else {
        Some(plan_short(pool, lane, prompt, aims, rng))
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
        writers => model.pass(writers) / 2,
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
    prompt: &Prompt,
    in_lane: bool,
) -> Duration {
    let writers = engine.writers();
    let mut cost = wait(model, engine) + model.pass(writers + 1);
    if !in_lane {
        cost += FOREIGN_LANE;
    }
    if writers >= model.slots || engine.free_memory(model) < prompt.memory() {
        cost += FULL_BATCH;
    }
    if !engine.near {
        cost += OTHER_HALL;
    }
    cost + match engine.standing {
        Standing::Open => Duration::ZERO,
        Standing::Limited | Standing::Shedding => LIMITED,
        Standing::Closed | Standing::BackOff | Standing::Leaving => CLOSED,
    }
}

fn plan_short(
    pool: &EnginePool<'_>,
    lane: usize,
    prompt: &Prompt,
    aims: Aims,
    rng: &mut impl Rng,
) -> EnginePlan {
    let EnginePool {
        model,
        engines,
        boxes,
        ..
    } = *pool;
    let read = model.read(prompt.tokens);
    let costs: Vec<Duration> = (engines.iter().enumerate())
        .map(|(at, engine)| short_cost(model, engine, prompt, at < lane))
        .collect();
    let mut order: Vec<usize> = (0..engines.len()).collect();
    order.sort_by_key(|&at| costs[at]);
    let most = costs[order[0]] + FOREIGN_LANE;
    let good = |in_lane: bool| {
        let good = |at: &usize| costs[*at] <= most && (*at < lane || !in_lane);
        (0..engines.len()).filter(good).collect::<Vec<usize>>()
    };
    let lead = draw(&costs, good(true), boxes, rng)
        .or_else(|| draw(&costs, good(false), boxes, rng))
        .unwrap_or(order[0]);
    order.retain(|&at| at != lead);
    let helpers = parts_of(read, SHORT_PART_READ).min(MAX_HELPERS + 1) - 1;
    if read > LONG_READ {
        // Engines outside the lane read it; those in the lane, too, where the parts would
        // otherwise make the streams there pause.
        let beside_short = Bearable::new(model, aims.least_pause).beside_short;
        let enough = parts_of(read, beside_short).min(MAX_HELPERS + 1) - 1;
        let outside = order.iter().filter(|&&at| at >= lane).count();
        let ahead = |at: usize| {
            let engine = &engines[at];
            (at < lane, reading_ahead(engine), engine.preference)
        };
        order.sort_by_key(|&at| ahead(at));
        order.truncate(outside.max(enough));
    } else {
        // Helpers that are busy, or that no short call is meant for, would only delay it.
        order.retain(|&at| at < lane && costs[at] <= costs[lead] + HELPER_DELAY);
    }
    order.truncate(helpers);
    order.insert(0, lead);
    let share = read / order.len() as u32;
    let slowest = order.iter().map(|&at| costs[at]).max().unwrap_or_default();
    let parts = order.iter().enumerate().map(|(at, &engine)| Part {
        engine,
        read: share,
        delay: residual(model, &engines[engine]),
        memory: if at == 0 { prompt.memory() } else { 0 },
    });
    EnginePlan {
        parts: parts.collect(),
        reserve: false,
        long: false,
        expected: slowest + share,
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
    lane: usize,
    prompt: &Prompt,
    aims: Aims,
) -> Option<EnginePlan> {
    let EnginePool { model, engines, .. } = *pool;
    let read = model.read(prompt.tokens);
    let usable = (model.memory as f64 * USABLE_MEMORY) as u64;
    let reserve = prompt.memory() > usable;
    let lane = lane.min(engines.len() - 1);
    // With reservations the engine that leads is listed among the readers, too.
    let all = (MAX_HELPERS + usize::from(!reserve)).min(engines.len());
    let is_huge = read / all as u32 > LONGEST_PART_ALONE;
    let most = if is_huge {
        all.min(engines.len().div_ceil(HUGE_SHARE))
    } else {
        all
    };
    let longest = longest_part(aims.due_in).max(aims.late_part.unwrap_or_default());
    let least = parts_of(read, longest).min(engines.len() - lane).min(most);
    let group = EngineGroup {
        model,
        engines,
        prompt,
        lane,
        reserve,
        is_huge,
        longest_alone: longest.max(LONGEST_PART_ALONE),
        bearable: Bearable::new(model, aims.least_pause),
    };
    let wanted = if aims.late_part.is_some() {
        least
    } else if reserve {
        most
    } else {
        let free = group.free() as f64 * share_of_free(pool.boxes);
        parts_of(read, PART_READ)
            .min(free as usize)
            .clamp(least, most)
    };
    // As many as are wanted or fewer, then more and smaller parts, which the lane bears, too.
    let mut counts = (least..=wanted).rev().chain(wanted + 1..=most);
    let chosen = counts.find_map(|count| group.choose(count, read / count as u32))?;
    Some(long_plan(&group, &chosen, read))
}

fn long_plan(group: &EngineGroup<'_>, chosen: &[usize], read: Duration) -> EnginePlan {
    let EngineGroup {
        model,
        engines,
        prompt,
        reserve,
        ..
    } = *group;
    let share = read / chosen.len() as u32;
    let before = chosen.iter().map(|&at| wait(model, &engines[at])).max();
    let share_of_memory = prompt.memory() / chosen.len() as u64 + 1;
    let parts = chosen.iter().enumerate().map(|(at, &engine)| Part {
        engine,
        read: share,
        delay: residual(model, &engines[engine]),
        memory: match (reserve, at) {
            (true, _) => share_of_memory,
            (false, 0) => prompt.memory(),
            (false, _) => 0,
        },
    });
    EnginePlan {
        parts: parts.collect(),
        reserve,
        long: true,
        expected: before.unwrap_or_default() + share + model.pass(2),
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

fn parts_of(read: Duration, part: Duration) -> usize {
    (read.as_secs_f64() / part.as_secs_f64()).ceil().max(1.0) as usize
}
