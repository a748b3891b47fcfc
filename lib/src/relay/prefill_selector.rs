//! Which engines can read a long prompt together.
//!
//! All parts of a prompt are even, so the engine that bears the least decides how small they
//! must be. What an engine bears follows from the streams that it writes: they pause for as
//! long as a part is read beside them.

use std::time::Duration;

use crate::relay::availability::Availability;
use crate::relay::call::PromptSize;
use crate::relay::engine_plan::EngineModel;
use crate::relay::engine_plan::EngineState;

/// Pause from which a stream may be written where long parts are read: the longest part, the
/// steps of a pass, and a second part that came with it.
pub(crate) const LONG_PAUSE: Duration = Duration::from_millis(900);
/// Longest part of a prompt that has time enough; it is read where nothing is written. Fewer
/// engines need to be free at once for a large prompt so.
pub(crate) const LONGEST_PART_ALONE: Duration = Duration::from_millis(2_500);
/// Part of what short streams bear that one part of reading may take; the rest is for other
/// calls' prompts that are read in the same pass.
const READ_PART_OF_PAUSE: f64 = 0.75;
/// Long streams that an engine writes at most while it still leads another.
const MOST_LONG_STREAMS: u16 = 4;

/// Longest part of reading beside which streams still pause well.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Bearable {
    /// Beside any number of the most urgent streams.
    pub(crate) beside_short: Duration,
    /// Beside streams of long prompts only.
    beside_long: Duration,
}

impl Bearable {
    /// A pass with a full batch plays beside the part.
    pub(crate) fn new(model: &EngineModel, tightest_gap: Option<Duration>) -> Self {
        let pass = model.pass_time(model.slots);
        let short = tightest_gap.unwrap_or(LONG_PAUSE).saturating_sub(pass);
        Self {
            beside_short: short.mul_f64(READ_PART_OF_PAUSE),
            beside_long: LONG_PAUSE.saturating_sub(pass),
        }
    }
}

/// Chooses engines that read a long prompt together.
///
/// Each engine bears parts up to a length that depends on what it writes, which helps
/// most where short calls fill the fleet.
pub(crate) struct PrefillSelector<'a> {
    pub(crate) model: &'a EngineModel,
    /// All engines that may take work, in the order that all boxes share.
    pub(crate) engines: &'a [EngineState],
    pub(crate) prompt: &'a PromptSize,
    /// How many of the first engines are kept for short calls.
    pub(crate) short_engines: usize,
    /// Whether no engine holds the prompt alone, so that its memory is set aside everywhere.
    pub(crate) reserve_memory: bool,
    /// Whether all engines together can't read it in parts of [`LONGEST_PART_ALONE`].
    pub(crate) is_huge: bool,
    /// Longest part that an engine reads which writes nothing.
    pub(crate) longest_alone: Duration,
    /// What streams bear beside a part.
    pub(crate) bearable: Bearable,
}

impl PrefillSelector<'_> {
    /// Longest part that an engine may read.
    ///
    /// Beside a single short stream it is as short as beside many: one that pauses loses more than a
    /// longer part gains.
    fn bears(&self, at: usize) -> Duration {
        let load = &self.engines[at].load;
        match (load.short_calls, load.long_calls) {
            _ if load.long_prefills > 0 => Duration::ZERO,
            _ if at < self.short_engines => self.bearable.beside_short,
            (0, 0) if self.is_huge => Duration::MAX,
            (0, 0) => self.longest_alone,
            (0, _) => self.bearable.beside_long,
            _ => self.bearable.beside_short,
        }
    }

    /// Engines that read and write little enough for parts of any usual length.
    pub(crate) fn free(&self) -> usize {
        let engines = 0..self.engines.len();
        engines
            .filter(|&at| self.bears(at) > self.bearable.beside_short)
            .count()
    }

    /// Whether it may hold the whole prompt and write its stream.
    fn leads(&self, at: usize) -> bool {
        let engine = &self.engines[at];
        engine.free_memory(self.model) >= self.prompt.memory()
            && engine.load.long_calls < MOST_LONG_STREAMS
            && engine.writers() < self.model.slots
    }

    /// Whether it has room for its share of a prompt that no engine holds alone, and takes the orders
    /// that set it aside.
    fn has_room(&self, at: usize, count: usize) -> bool {
        let share = self.prompt.memory() / count as u64 + 1;
        let engine = &self.engines[at];
        engine.availability.accepts_calls() && engine.free_memory(self.model) >= share
    }

    /// The first that may lead; one that names a limit or sheds load only where no other one may.
    fn lead_among(&self, able: &[usize]) -> Option<usize> {
        let first = |availability: Availability| {
            let may_lead =
                |&at: &usize| self.engines[at].availability == availability && self.leads(at);
            able.iter().position(may_lead)
        };
        first(Availability::Open)
            .or_else(|| first(Availability::Limited))
            .or_else(|| first(Availability::Shedding))
    }

    /// So many engines that can read parts of this length; the one that leads is first.
    pub(crate) fn choose(&self, count: usize, part: Duration) -> Option<Vec<usize>> {
        let is_able = |at: &usize| {
            self.bears(*at) >= part && (!self.reserve_memory || self.has_room(*at, count))
        };
        let mut able: Vec<usize> = (0..self.engines.len()).filter(is_able).collect();
        if able.len() < count {
            return None;
        }
        able.sort_by_key(|&at| {
            let engine = &self.engines[at];
            let writes_short = self.bears(at) <= self.bearable.beside_short;
            let is_ordered = self.reserve_memory && engine.availability != Availability::Open;
            (
                is_ordered,
                writes_short,
                engine.load.long_calls,
                engine.preference,
            )
        });
        if !self.reserve_memory {
            let lead = self.lead_among(&able)?;
            able[..=lead].rotate_right(1);
        }
        able.truncate(count);
        Some(able)
    }
}
