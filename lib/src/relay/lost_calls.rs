//! Classifies calls that were late or not served, from the log record that each call ends with.
//!
//! A record holds how long the call waited for engines, the estimated time to its first event, when
//! that event came, and the time limit for it. The cause follows from these values, and the records
//! of many boxes are added up by prompt size and cause.

use std::collections::BTreeMap;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::relay::served_shares::ServedShares;

/// Message of the log records that are read.
pub const CALL_END_MESSAGE: &str = "call ended";
/// Outcome in the record of a call that was served.
const ANSWERED: &str = "answered";
/// Fraction of the objective above which the wait for engines is the cause. The remaining time is
/// then too short for the prefill of most prompts.
const WAIT_FRACTION: f64 = 0.4;
/// Fraction of the objective above which the estimate at dispatch is the cause: the call was
/// expected to be late.
const EXPECTED_FRACTION: f64 = 0.8;
/// Ratio of prefill time to its estimate above which slow prefill is the cause. Nine of ten prompts
/// stay below it.
const SLOW_PREFILL_RATIO: f64 = 1.5;
/// Call ids kept per prompt size and cause.
const MAX_EXAMPLES: usize = 3;

/// The log record that a call ends with.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct CallRecord {
    /// Id of the call.
    pub call: String,
    /// Route, if the record has one.
    pub route: Option<String>,
    /// Outcome code.
    pub outcome: String,
    /// Number of servers that the call was sent to.
    pub sent: u32,
    /// Time from the request head to the end of the call.
    pub took_ms: u64,
    /// Prompt tokens, if the call is a generation.
    pub tokens: Option<u64>,
    /// Time limit for the first event, or for the response if it is not a stream.
    pub objective_ms: u64,
    /// Time from the request head to the first event, if there was one.
    pub first_event_ms: Option<u64>,
    /// Wait for engines in the last attempt.
    pub waited_ms: Option<u64>,
    /// Estimated time to the first event of the last attempt.
    pub expected_ms: Option<u64>,
    /// Longest pause between two events.
    pub longest_pause_ms: Option<u64>,
    /// Longest pause between two events that still counts as on time.
    pub pause_limit_ms: Option<u64>,
}

/// Why a call counts as lost.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LossCause {
    /// Not served.
    NotServed {
        /// Outcome code.
        outcome: String,
    },
    /// Late after a failed attempt.
    #[serde(rename = "tried_again")]
    Retried,
    /// Late because of the wait for engines.
    WaitedForEngines,
    /// Late, and already estimated to be late at dispatch.
    ExpectedLate,
    /// Late because prefill took longer than estimated.
    #[serde(rename = "read_slower")]
    SlowPrefill,
    /// Late for another reason.
    Late,
    /// First event on time, but a later pause was too long.
    Paused,
}

impl fmt::Display for LossCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotServed { outcome } => write!(f, "not served: {outcome}"),
            Self::Retried => write!(f, "late: tried again"),
            Self::WaitedForEngines => write!(f, "late: waited for engines"),
            Self::ExpectedLate => write!(f, "late: expected so"),
            Self::SlowPrefill => write!(f, "late: read slower than expected"),
            Self::Late => write!(f, "late: other"),
            Self::Paused => write!(f, "paused too long"),
        }
    }
}

impl CallRecord {
    /// Time to the first event, or to the end of a response without events.
    fn response_ms(&self) -> u64 {
        self.first_event_ms.unwrap_or(self.took_ms)
    }

    /// Time to the first event without the wait for engines: prefill and engine passes.
    fn prefill_ms(&self) -> Option<u64> {
        let waited = self.waited_ms.unwrap_or_default();
        self.first_event_ms
            .map(|first| first.saturating_sub(waited))
    }

    /// Why the call counts as lost. `None` if it was served on time.
    pub fn cause(&self) -> Option<LossCause> {
        if self.outcome != ANSWERED {
            let outcome = self.outcome.clone();
            return Some(LossCause::NotServed { outcome });
        }
        let due = self.objective_ms as f64;
        let expected = self.expected_ms.unwrap_or_default() as f64;
        let waited = self.waited_ms.unwrap_or_default() as f64;
        let prefill = self.prefill_ms().unwrap_or_default() as f64;
        if self.response_ms() <= self.objective_ms {
            let paused = self.longest_pause_ms > self.pause_limit_ms;
            return (paused && self.pause_limit_ms.is_some()).then_some(LossCause::Paused);
        }
        Some(match self.sent {
            2.. => LossCause::Retried,
            _ if waited > due * WAIT_FRACTION => LossCause::WaitedForEngines,
            _ if expected > due * EXPECTED_FRACTION => LossCause::ExpectedLate,
            _ if expected > 0.0 && prefill > expected * SLOW_PREFILL_RATIO => {
                LossCause::SlowPrefill
            }
            _ => LossCause::Late,
        })
    }
}

/// Class of a call by the size of its prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SizeClass {
    /// Not a generation.
    Plain,
    /// Up to 25,000 tokens: prefill on one engine that also serves streams.
    Short,
    /// Up to 110,000 tokens: prefill on a few engines.
    Middle,
    /// Larger: prefill on all free engines.
    Long,
}

impl SizeClass {
    /// Class of a prompt with this many tokens, or of a call without a prompt.
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

/// Lost calls of one prompt size and cause.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct LostRow {
    /// Number of calls.
    pub calls: u64,
    /// Sum of their prompt tokens.
    pub tokens: u64,
    /// Ids of the first few calls.
    pub examples: Vec<String>,
}

/// Distribution of the ratio of prefill time to its estimate.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct PrefillRatios {
    /// Number of prompts with both times recorded.
    pub prompts: usize,
    /// Median ratio.
    pub median: f64,
    /// 90th percentile.
    pub p90: f64,
    /// Largest ratio.
    pub worst: f64,
}

/// Totals over the records of many calls.
#[derive(Debug, Default)]
pub struct LostCalls {
    /// All calls by prompt size.
    pub calls: BTreeMap<SizeClass, u64>,
    /// Lost calls by prompt size and cause.
    pub lost: BTreeMap<(SizeClass, LossCause), LostRow>,
    /// Lost calls by the second in which their record was logged.
    pub seconds: BTreeMap<String, u64>,
    ratios: BTreeMap<SizeClass, Vec<f64>>,
    /// Prompt tokens and whether the call was served, by route.
    prompts: BTreeMap<String, Vec<(u64, bool)>>,
}

impl LostCalls {
    /// Adds a record that was logged in `second`.
    pub fn add(&mut self, second: &str, record: &CallRecord) {
        let size = SizeClass::of(record.tokens);
        *self.calls.entry(size).or_default() += 1;
        if let (Some(route), Some(tokens)) = (&record.route, record.tokens) {
            let prompts = self.prompts.entry(route.clone()).or_default();
            prompts.push((tokens, record.outcome == ANSWERED));
        }
        if let (Some(prefill), Some(expected)) = (record.prefill_ms(), record.expected_ms) {
            let ratio = prefill as f64 / expected.max(1) as f64;
            self.ratios.entry(size).or_default().push(ratio);
        }
        let Some(cause) = record.cause() else { return };
        let row = self.lost.entry((size, cause)).or_default();
        row.calls += 1;
        row.tokens += record.tokens.unwrap_or_default();
        if row.examples.len() < MAX_EXAMPLES {
            row.examples.push(record.call.clone());
        }
        *self.seconds.entry(second.to_owned()).or_default() += 1;
    }

    /// Share of the prompts of each route that was served, by prompt size.
    pub fn served_shares(&self) -> BTreeMap<&str, ServedShares> {
        let rows = self.prompts.iter();
        rows.map(|(route, prompts)| (route.as_str(), ServedShares::of(prompts)))
            .collect()
    }

    /// Ratio of prefill time to its estimate, by prompt size.
    pub fn prefill_ratios(&self) -> BTreeMap<SizeClass, PrefillRatios> {
        let summarize = |ratios: &Vec<f64>| {
            let mut sorted = ratios.clone();
            sorted.sort_by(f64::total_cmp);
            let quantile =
                |fraction: f64| sorted[((sorted.len() - 1) as f64 * fraction).round() as usize];
            PrefillRatios {
                prompts: sorted.len(),
                median: quantile(0.5),
                p90: quantile(0.9),
                worst: quantile(1.0),
            }
        };
        let rows = self.ratios.iter();
        rows.map(|(size, ratios)| (*size, summarize(ratios)))
            .collect()
    }
}
