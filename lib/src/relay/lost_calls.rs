//! Why calls were late or not served, by the one line that each leaves in the logs.
//!
//! A line holds what decided: how long the call waited for engines, what its reading was
//! expected to take, when its first event came and what was due. From these the cause follows,
//! and lines of many boxes add up to what is lost most.

use std::collections::BTreeMap;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::relay::served_shares::ServedShares;

/// Message of the lines that are read.
pub const CALL_END_MESSAGE: &str = "call ended";
/// Outcome of a call that was served.
const ANSWERED: &str = "answered";
/// Part of the objective that waiting must take to be named as the cause; what is left is not
/// enough to read most prompts then.
const WAITED_PART: f64 = 0.4;
/// Part of the objective from which a call was expected to be late when it was sent.
const EXPECTED_PART: f64 = 0.8;
/// Times its estimate that reading must take to be named as the cause; nine in ten prompts take
/// less.
const SLOWER: f64 = 1.5;
/// Ids kept for each cause.
const EXAMPLES: usize = 3;

/// A call's last line.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct CallRecord {
    /// The call's id.
    pub call: String,
    /// Its route, in lines that name it.
    pub route: Option<String>,
    /// How it ended.
    pub outcome: String,
    /// Servers that it was sent to.
    pub sent: u32,
    /// From its head to its end.
    pub took_ms: u64,
    /// Tokens of its prompt, if it is a generation.
    pub tokens: Option<u64>,
    /// Until the first event or the answer, to be on time.
    pub objective_ms: u64,
    /// From its head to its first event, if that came.
    pub first_event_ms: Option<u64>,
    /// How long it waited for engines, in its last try.
    pub waited_ms: Option<u64>,
    /// What its last try was expected to take until the first event.
    pub expected_ms: Option<u64>,
    /// Longest pause between its events.
    pub longest_pause_ms: Option<u64>,
    /// Longest good pause.
    pub pause_limit_ms: Option<u64>,
}

/// Why a call is lost.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LossCause {
    /// It was not served.
    NotServed {
        /// Its outcome.
        outcome: String,
    },
    /// Late after a try that failed.
    TriedAgain,
    /// Late since it waited for engines.
    WaitedForEngines,
    /// Late, and expected so when it was sent.
    ExpectedLate,
    /// Late since its reading took longer than expected.
    ReadSlower,
    /// Late for none of these reasons.
    Late,
    /// On time, but its events paused too long.
    Paused,
}

impl fmt::Display for LossCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotServed { outcome } => write!(f, "not served: {outcome}"),
            Self::TriedAgain => write!(f, "late: tried again"),
            Self::WaitedForEngines => write!(f, "late: waited for engines"),
            Self::ExpectedLate => write!(f, "late: expected so"),
            Self::ReadSlower => write!(f, "late: read slower than expected"),
            Self::Late => write!(f, "late: other"),
            Self::Paused => write!(f, "paused too long"),
        }
    }
}

impl CallRecord {
    /// When its first event or its answer came.
    fn came_ms(&self) -> u64 {
        self.first_event_ms.unwrap_or(self.took_ms)
    }

    /// Reading and passes up to the first event, without the wait.
    fn read_ms(&self) -> Option<u64> {
        let waited = self.waited_ms.unwrap_or_default();
        self.first_event_ms
            .map(|first| first.saturating_sub(waited))
    }

    /// Why it is lost; none if it was served on time.
    pub fn cause(&self) -> Option<LossCause> {
        if self.outcome != ANSWERED {
            let outcome = self.outcome.clone();
            return Some(LossCause::NotServed { outcome });
        }
        let due = self.objective_ms as f64;
        let expected = self.expected_ms.unwrap_or_default() as f64;
        let waited = self.waited_ms.unwrap_or_default() as f64;
        let read = self.read_ms().unwrap_or_default() as f64;
        if self.came_ms() <= self.objective_ms {
            let paused = self.longest_pause_ms > self.pause_limit_ms;
            return (paused && self.pause_limit_ms.is_some()).then_some(LossCause::Paused);
        }
        Some(match self.sent {
            2.. => LossCause::TriedAgain,
            _ if waited > due * WAITED_PART => LossCause::WaitedForEngines,
            _ if expected > due * EXPECTED_PART => LossCause::ExpectedLate,
            _ if expected > 0.0 && read > expected * SLOWER => LossCause::ReadSlower,
            _ => LossCause::Late,
        })
    }
}

/// What kind of call it is, as far as its size tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SizeClass {
    /// A call of a plain service.
    Plain,
    /// Up to 25,000 tokens: read by one engine beside streams.
    Short,
    /// Up to 110,000 tokens: read by a few engines.
    Middle,
    /// Larger: read by all engines that are free.
    Long,
}

impl SizeClass {
    /// The size of a prompt.
    pub const fn of(tokens: Option<u64>) -> Self {
        match tokens {
            None => Self::Plain,
            Some(0..=25_000) => Self::Short,
            Some(25_001..=110_000) => Self::Middle,
            Some(_) => Self::Long,
        }
    }
}

impl fmt::Display for SizeClass {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Plain => "plain",
            Self::Short => "up to 25k",
            Self::Middle => "up to 110k",
            Self::Long => "larger",
        })
    }
}

/// Calls of one size that are lost for one cause.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct LostRow {
    /// How many.
    pub calls: u64,
    /// Tokens of their prompts.
    pub tokens: u64,
    /// Ids to look at first.
    pub examples: Vec<String>,
}

/// What reading took against its estimate.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct ReadTimeRatios {
    /// Prompts whose reading was seen.
    pub prompts: usize,
    /// The ratio in the middle.
    pub median: f64,
    /// The ratio that one in ten exceeds.
    pub p90: f64,
    /// The largest ratio.
    pub worst: f64,
}

/// What many lines add up to.
#[derive(Debug, Default)]
pub struct LostCalls {
    /// All calls, by size.
    pub calls: BTreeMap<SizeClass, u64>,
    /// Lost ones by size and cause.
    pub lost: BTreeMap<(SizeClass, LossCause), LostRow>,
    /// Lost ones by second, as the lines' times tell it.
    pub seconds: BTreeMap<String, u64>,
    ratios: BTreeMap<SizeClass, Vec<f64>>,
    /// Tokens of each prompt and whether it was served, by route.
    prompts: BTreeMap<String, Vec<(u64, bool)>>,
}

impl LostCalls {
    /// Takes a line, written in `second`.
    pub fn add(&mut self, second: &str, line: &CallRecord) {
        let size = SizeClass::of(line.tokens);
        *self.calls.entry(size).or_default() += 1;
        if let (Some(route), Some(tokens)) = (&line.route, line.tokens) {
            let prompts = self.prompts.entry(route.clone()).or_default();
            prompts.push((tokens, line.outcome == ANSWERED));
        }
        if let (Some(read), Some(expected)) = (line.read_ms(), line.expected_ms) {
            let ratio = read as f64 / expected.max(1) as f64;
            self.ratios.entry(size).or_default().push(ratio);
        }
        let Some(cause) = line.cause() else { return };
        let row = self.lost.entry((size, cause)).or_default();
        row.calls += 1;
        row.tokens += line.tokens.unwrap_or_default();
        if row.examples.len() < EXAMPLES {
            row.examples.push(line.call.clone());
        }
        *self.seconds.entry(second.to_owned()).or_default() += 1;
    }

    /// What share of the prompts of each route was served, by how large they are.
    pub fn served_shares(&self) -> BTreeMap<&str, ServedShares> {
        let rows = self.prompts.iter();
        rows.map(|(route, prompts)| (route.as_str(), ServedShares::of(prompts)))
            .collect()
    }

    /// Reading against its estimate, by size.
    pub fn estimates(&self) -> BTreeMap<SizeClass, ReadTimeRatios> {
        let estimate = |ratios: &Vec<f64>| {
            let mut sorted = ratios.clone();
            sorted.sort_by(f64::total_cmp);
            let at = |part: f64| sorted[((sorted.len() - 1) as f64 * part).round() as usize];
            ReadTimeRatios {
                prompts: sorted.len(),
                median: at(0.5),
                p90: at(0.9),
                worst: at(1.0),
            }
        };
        let rows = self.ratios.iter();
        rows.map(|(size, ratios)| (*size, estimate(ratios)))
            .collect()
    }
}
