//! Selection of the engines that prefill a long prompt in parallel.
//!
//! All chunks of a prompt have the same size, so the selected engine with the smallest limit
//! determines it. The limit of an engine follows from the streams that it decodes: they stall while a
//! chunk is prefilled in the same pass.

use std::time::Duration;

use crate::relay::availability::Availability;
use crate::relay::call::PromptSize;
use crate::relay::engine_plan::EngineModel;
use crate::relay::engine_plan::EngineState;
use crate::relay::stream_gaps::ChunkLimits;

/// Maximum prefill time of a chunk on engines that decode nothing, for a prompt with enough time left.
/// With large chunks fewer engines need to be free at once for a large prompt to start.
pub(crate) const MAX_EXCLUSIVE_CHUNK: Duration = Duration::from_millis(2_500);
/// Number of long streams at which an engine leads no further long prompt.
const MAX_LONG_STREAMS: u16 = 4;

/// Selects the engines that prefill a long prompt in parallel.
///
/// The maximum chunk of each engine depends on its streams, so that engines with short calls can take
/// small chunks. This matters most when short calls fill the fleet.
pub(crate) struct PrefillSelector<'a> {
    pub(crate) model: &'a EngineModel,
    /// All engines that accept work, in the order that all boxes share.
    pub(crate) engines: &'a [EngineState],
    pub(crate) prompt: &'a PromptSize,
    /// Number of engines, from the start of the list, reserved for short calls.
    pub(crate) short_engines: usize,
    /// Whether the prompt exceeds the memory of one engine, so that memory is reserved on every
    /// selected engine.
    pub(crate) reserve_memory: bool,
    /// Whether all engines together can't prefill the prompt in chunks of [`MAX_EXCLUSIVE_CHUNK`].
    pub(crate) exceeds_all_engines: bool,
    /// Maximum prefill time of a chunk on an engine that decodes nothing.
    pub(crate) exclusive_limit: Duration,
    /// Maximum prefill times of a chunk on engines that decode streams.
    pub(crate) chunk_limits: ChunkLimits,
}

impl PrefillSelector<'_> {
    /// Maximum prefill time of a chunk on an engine; zero while it prefills for another long prompt.
    ///
    /// The limit with one short stream is the same as with many: exceeding one stream's gap limit
    /// costs more than a longer chunk gains.
    fn max_chunk(&self, index: usize) -> Duration {
        let load = &self.engines[index].load;
        match (load.short_calls, load.long_calls) {
            _ if load.long_prefills > 0 => Duration::ZERO,
            _ if index < self.short_engines => self.chunk_limits.with_strict_streams,
            (0, 0) if self.exceeds_all_engines => Duration::MAX,
            (0, 0) => self.exclusive_limit,
            (0, _) => self.chunk_limits.with_tolerant_streams,
            _ => self.chunk_limits.with_strict_streams,
        }
    }

    /// Number of engines that are not reserved for short calls and have neither a long prefill nor
    /// short streams; they accept chunks of any usual size.
    pub(crate) fn free(&self) -> usize {
        let engines = 0..self.engines.len();
        engines
            .filter(|&index| self.max_chunk(index) > self.chunk_limits.with_strict_streams)
            .count()
    }

    /// Whether the engine can hold the whole prompt and decode its stream.
    fn can_lead(&self, index: usize) -> bool {
        let engine = &self.engines[index];
        engine.free_memory(self.model) >= self.prompt.memory_tokens()
            && engine.load.long_calls < MAX_LONG_STREAMS
            && engine.active_streams() < self.model.slots
    }

    /// Whether the engine has room for its share of a prompt that exceeds one engine's memory, and
    /// accepts the call that reserves it.
    fn has_room(&self, index: usize, count: usize) -> bool {
        let share = self.prompt.memory_tokens() / count as u64 + 1;
        let engine = &self.engines[index];
        engine.availability.accepts_calls() && engine.free_memory(self.model) >= share
    }

    /// Position in `eligible` of the first engine that can lead. Engines that state a limit are used
    /// only if no open engine can lead, and those that shed load only if none of the others can.
    fn find_lead(&self, eligible: &[usize]) -> Option<usize> {
        let first = |availability: Availability| {
            let is_lead = |&index: &usize| {
                self.engines[index].availability == availability && self.can_lead(index)
            };
            eligible.iter().position(is_lead)
        };
        first(Availability::Open)
            .or_else(|| first(Availability::Limited))
            .or_else(|| first(Availability::Shedding))
    }

    /// Selects `count` engines that can prefill chunks of this size; the first is the lead engine.
    ///
    /// Returns `None` if there are too few, or if none of them can lead.
    pub(crate) fn choose(&self, count: usize, chunk: Duration) -> Option<Vec<usize>> {
        let is_eligible = |index: &usize| {
            self.max_chunk(*index) >= chunk
                && (!self.reserve_memory || self.has_room(*index, count))
        };
        let mut eligible: Vec<usize> = (0..self.engines.len()).filter(is_eligible).collect();
        if eligible.len() < count {
            return None;
        }
        eligible.sort_by_key(|&index| {
            let engine = &self.engines[index];
            let decodes_short = self.max_chunk(index) <= self.chunk_limits.with_strict_streams;
            let has_call_limit = self.reserve_memory && engine.availability != Availability::Open;
            (
                has_call_limit,
                decodes_short,
                engine.load.long_calls,
                engine.preference,
            )
        });
        if !self.reserve_memory {
            let lead = self.find_lead(&eligible)?;
            eligible[..=lead].rotate_right(1);
        }
        eligible.truncate(count);
        Some(eligible)
    }
}
