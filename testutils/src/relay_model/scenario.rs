//! What a run plays: the fleet, the kinds of calls, and how their rates change.

use std::time::Duration;

use badgerferry_lib::relay::engine_plan::EngineModel;
use serde::Deserialize;
use serde::Serialize;

/// A scenario file.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// How many seconds calls arrive.
    pub seconds: f64,
    /// The fleet.
    pub fleet: Fleet,
    /// Kinds of calls.
    pub kinds: Vec<Kind>,
    /// When rates change; before the first phase each kind comes at its own rate.
    pub phases: Vec<Phase>,
    /// When engines are slow.
    #[serde(default)]
    pub slow: Vec<SlowEngines>,
}

/// Some engines are slow for a while.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SlowEngines {
    /// From when on, in seconds.
    pub from_s: f64,
    /// For how long, in seconds.
    pub for_s: f64,
    /// Share of the engines, drawn by the run's seed.
    pub share: f64,
    /// How many times as long they take.
    pub factor: f64,
}

/// Boxes and engines.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Data halls, by the share of callers that come to each.
    pub halls: Vec<f64>,
    /// Boxes of each hall.
    pub boxes_per_hall: usize,
    /// Engines of each hall.
    pub engines_per_hall: usize,
    /// What an engine is.
    pub engine: EngineModel,
    /// What a thousand tokens of context of a stream add to each step of the engine that writes it,
    /// in milliseconds.
    #[serde(default)]
    pub context_ms_per_k: f64,
    /// One way within a hall, in milliseconds.
    pub near_ms: f64,
    /// One way between halls, in milliseconds.
    pub far_ms: f64,
    /// What a box takes to hear a datagram and to act on it, in milliseconds.
    pub box_ms: f64,
}

/// A kind of call.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Its name, in results.
    pub name: String,
    /// Calls a second over all boxes.
    pub per_second: f64,
    /// Prompt tokens in the mean.
    pub mean_tokens: f64,
    /// Standard deviation of the logarithm of the prompt's length.
    pub spread: f64,
    /// Longest prompt, in tokens.
    pub most_tokens: f64,
    /// Events in the mean; each holds the tokens of one pass.
    pub mean_events: f64,
    /// Until the first event, in milliseconds.
    pub aim_ms: u64,
    /// Longest good pause between events, in milliseconds.
    pub pause_ms: u64,
    /// Until the answer must be whole, in milliseconds.
    pub deadline_ms: u64,
    /// What a call of mean length is worth on time.
    pub worth: f64,
    /// What it is worth late.
    pub late_worth: f64,
}

/// Rates from a moment on.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Phase {
    /// From when on, in seconds.
    pub from_s: f64,
    /// What each kind's rate is multiplied with.
    pub factors: Vec<f64>,
}

/// Why a scenario can't be played.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum BadScenario {
    /// It is no JSON of this form.
    #[error("not a scenario: {0}")]
    Malformed(String),
    /// A value is out of its range.
    #[error("{field}: {wanted}")]
    Value {
        /// Which value.
        field: &'static str,
        /// What it should be.
        wanted: &'static str,
    },
}

impl Scenario {
    /// Reads and checks one.
    ///
    /// # Errors
    ///
    /// What is wrong with it.
    pub fn parse(text: &str) -> Result<Self, BadScenario> {
        let scenario: Self = serde_json::from_str(text)
            .map_err(|cause| BadScenario::Malformed(cause.to_string()))?;
        scenario.check()?;
        Ok(scenario)
    }

    fn check(&self) -> Result<(), BadScenario> {
        let fleet = &self.fleet;
        let is_positive = |value: f64| value.is_finite() && value > 0.0;
        let good = [
            (is_positive(self.seconds), "seconds", "more than 0"),
            (!fleet.halls.is_empty(), "fleet.halls", "one or more"),
            (
                fleet.halls.iter().all(|share| is_positive(*share)),
                "fleet.halls",
                "shares over 0",
            ),
            (
                fleet.boxes_per_hall > 0,
                "fleet.boxes_per_hall",
                "1 or more",
            ),
            (
                fleet.engines_per_hall > 0,
                "fleet.engines_per_hall",
                "1 or more",
            ),
            (!self.kinds.is_empty(), "kinds", "one or more"),
            (
                self.kinds.iter().all(|kind| is_positive(kind.per_second)),
                "kinds.per_second",
                "more than 0",
            ),
            (
                self.kinds.iter().all(|kind| is_positive(kind.mean_tokens)),
                "kinds.mean_tokens",
                "more than 0",
            ),
            (
                (self.phases.iter()).all(|phase| phase.factors.len() == self.kinds.len()),
                "phases.factors",
                "one for each kind",
            ),
        ];
        match good.into_iter().find(|(holds, ..)| !holds) {
            Some((_, field, wanted)) => Err(BadScenario::Value { field, wanted }),
            None => Ok(()),
        }
    }

    /// The same scenario with the rate of the kind with the longest prompts multiplied by `load` and the
    /// spread of its prompt lengths by `spread`.
    #[must_use]
    pub fn with_long_prompts(mut self, load: f64, spread: f64) -> Self {
        let by_length = |a: &&mut Kind, b: &&mut Kind| a.mean_tokens.total_cmp(&b.mean_tokens);
        if let Some(longest) = self.kinds.iter_mut().max_by(by_length) {
            longest.per_second *= load;
            longest.spread *= spread;
        }
        self
    }

    /// Index of the kind with the longest prompts.
    pub fn long_kind(&self) -> usize {
        let kinds = self.kinds.iter().enumerate();
        let longest = kinds.max_by(|(_, a), (_, b)| a.mean_tokens.total_cmp(&b.mean_tokens));
        longest.map_or(0, |(at, _)| at)
    }

    /// What a kind's rate is multiplied with at a moment.
    pub(crate) fn factor(&self, kind: usize, at: Duration) -> f64 {
        let mut begun = self.phases.iter();
        let phase = begun.rfind(|phase| phase.from_s <= at.as_secs_f64());
        phase.map_or(1.0, |phase| phase.factors[kind])
    }

    /// Longest good pauses of all kinds.
    pub(crate) fn gaps(&self) -> Vec<Duration> {
        let pauses = self.kinds.iter().map(|kind| kind.pause_ms);
        pauses.map(Duration::from_millis).collect()
    }
}

impl Kind {
    /// What a call of this length is worth on time, as a multiple of the mean one.
    pub(crate) fn size(&self, tokens: u64) -> f64 {
        (0.3 + 0.7 * tokens as f64 / self.mean_tokens).min(4.0)
    }
}
