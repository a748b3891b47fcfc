//! Which streams of a service may be decoded next to the prefill of long prompts, and how long a
//! prefill chunk next to them may be.
//!
//! A pass of an engine delays the next event of all its streams, so the prefill in a pass is limited
//! by the gap that these streams tolerate. Streams are divided into two classes by the gap limits
//! of the service's routes. Tolerant streams are decoded on engines that prefill chunks of long
//! prompts. Strict streams are gathered on the engines for short calls. The limit next to each class
//! is that of the strictest route in it.

use std::time::Duration;

use crate::relay::engine_plan::EngineModel;
use crate::relay::engine_plan::TARGET_CHUNK;

/// Gap limit that is assumed for streams whose route states none.
const DEFAULT_MAX_GAP: Duration = Duration::from_secs(1);
/// Chunks that may arrive for the same pass before boxes learn of each other's.
const CHUNKS_PER_PASS: u32 = 2;
/// Fraction of the largest gap limit of a service that a tolerant stream has at least. A stream with
/// less would shorten the chunks of all long prompts.
const MIN_TOLERANT_FRACTION: f64 = 0.75;
/// Fraction of a tolerant stream's gap limit that a pass may take; the rest covers the growing
/// context of the streams and the delivery of their events.
const PASS_FRACTION: f64 = 0.9;
/// Fraction of the time between passes that one chunk next to strict streams may take; the rest is
/// for chunks of other calls that are prefilled in the same pass.
const CHUNK_FRACTION: f64 = 0.75;

/// How a stream shares its engine with prefill chunks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamClass {
    /// Only small chunks may be prefilled in the same pass.
    Strict,
    /// Chunks of long prompts may be prefilled in the same pass.
    Tolerant,
}

/// Gap limits of a stream and of the streams with which it shares the engines of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamGaps {
    /// Gap limit of the stream itself, if its route states one.
    pub own: Option<Duration>,
    /// Smallest gap limit of all streams, if any is stated.
    pub tightest: Option<Duration>,
    /// Gap limit from which a stream is tolerant: the smallest one of tolerant streams, if any is
    /// stated.
    pub tolerant: Option<Duration>,
}

impl StreamGaps {
    /// Gap limits of a stream, by all limits that routes to its service state.
    pub fn new(model: &EngineModel, own: Option<Duration>, of_service: &[Duration]) -> Self {
        let largest = of_service.iter().max().copied().unwrap_or_default();
        let with_chunks = model.pass_time(model.slots) + CHUNKS_PER_PASS * TARGET_CHUNK;
        let min_tolerant = with_chunks.max(largest.mul_f64(MIN_TOLERANT_FRACTION));
        let tolerant = of_service.iter().filter(|&&gap| gap >= min_tolerant);
        Self {
            own,
            tightest: of_service.iter().min().copied(),
            tolerant: tolerant.min().copied(),
        }
    }

    /// Class of the stream itself.
    pub fn class(&self) -> StreamClass {
        match (self.own, self.tolerant) {
            (None, _) => StreamClass::Tolerant,
            (Some(own), Some(tolerant)) if own >= tolerant => StreamClass::Tolerant,
            (Some(_), _) => StreamClass::Strict,
        }
    }
}

/// Maximum prefill time of a chunk at which the streams on the same engine keep their gap limit.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ChunkLimits {
    /// Limit with any number of strict streams.
    pub(crate) with_strict_streams: Duration,
    /// Limit with tolerant streams only.
    pub(crate) with_tolerant_streams: Duration,
}

impl ChunkLimits {
    /// Derives the limits for a pass with a full batch of decoding streams.
    pub(crate) fn new(model: &EngineModel, gaps: &StreamGaps) -> Self {
        let pass = model.pass_time(model.slots);
        let tolerant = gaps
            .tolerant
            .unwrap_or(DEFAULT_MAX_GAP)
            .mul_f64(PASS_FRACTION);
        let strict = gaps.tightest.unwrap_or(tolerant);
        Self {
            with_strict_streams: strict.saturating_sub(pass).mul_f64(CHUNK_FRACTION),
            with_tolerant_streams: tolerant.saturating_sub(pass),
        }
    }
}
