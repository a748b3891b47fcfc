//! What callers got.

use std::time::Duration;

use badgerferry_lib::relay::served_shares::ServedShares;
use serde::Deserialize;
use serde::Serialize;

use crate::relay_model::scenario::Scenario;

/// What became of one call.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CallOutcome {
    /// Index of its kind.
    pub kind: usize,
    /// When it came, in milliseconds.
    pub at_ms: u64,
    /// Prompt tokens.
    pub tokens: u64,
    /// How long it waited for engines, in milliseconds.
    pub waited_ms: u64,
    /// What its first event was expected to take, in milliseconds.
    pub expected_ms: u64,
    /// From its arrival to the first event, in milliseconds; none if it was refused.
    pub first_event_ms: Option<u64>,
    /// Longest pause between events, in milliseconds.
    pub longest_pause_ms: u64,
    /// What it earned, and what it would have earned on time.
    pub worth: [f64; 2],
}

/// What became of one run.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct DayResult {
    /// Its seed.
    pub seed: u64,
    /// Worth that was earned, of that which could have been.
    pub worth: f64,
    /// The same in the two worst seconds of arrivals, weighed by what they owe.
    pub worst_seconds: f64,
    /// The same by kind.
    pub by_kind: Vec<f64>,
    /// Share of calls on time by kind.
    pub on_time: Vec<f64>,
    /// The same of the largest tenth of each kind.
    pub largest_on_time: Vec<f64>,
    /// Worth that the largest tenth of each kind earned, of that which it could have.
    pub largest: Vec<f64>,
    /// Shares that were served, on time or late, by kind.
    pub served: Vec<ServedShares>,
    /// Refused calls by kind.
    pub refused: Vec<usize>,
    /// Part of the engines' time in which they worked.
    pub engines_busy: f64,
    /// Reports that engines were asked for.
    #[serde(default)]
    pub reports: u64,
    /// Time to the first event against its estimate, for the first kind: median and 90th of 100.
    pub over_estimate: [f64; 2],
}

/// Bucket of arrivals that the worst seconds are told by.
const WINDOW_MS: u64 = 1_000;
/// Worst buckets that count.
const WORST: usize = 2;

impl CallOutcome {
    /// Whether its caller got it on time.
    pub fn is_on_time(&self) -> bool {
        self.worth[1] > 0.0 && self.worth[0] >= self.worth[1]
    }
}

fn share(outcomes: &[&CallOutcome]) -> f64 {
    let earned: f64 = outcomes.iter().map(|outcome| outcome.worth[0]).sum();
    let owed: f64 = outcomes.iter().map(|outcome| outcome.worth[1]).sum();
    earned / owed.max(f64::MIN_POSITIVE)
}

fn on_time(outcomes: &[&CallOutcome]) -> f64 {
    let good = outcomes.iter().filter(|outcome| outcome.is_on_time());
    good.count() as f64 / outcomes.len().max(1) as f64
}

fn worst_seconds(outcomes: &[CallOutcome]) -> f64 {
    let last = outcomes
        .iter()
        .map(|outcome| outcome.at_ms / WINDOW_MS)
        .max();
    let window = |at: u64| -> f64 {
        let of = outcomes.iter();
        share(
            &of.filter(|outcome| outcome.at_ms / WINDOW_MS == at)
                .collect::<Vec<_>>(),
        )
    };
    let mut shares: Vec<f64> = (0..=last.unwrap_or_default()).map(window).collect();
    shares.sort_by(f64::total_cmp);
    shares.truncate(WORST);
    shares.iter().sum::<f64>() / shares.len().max(1) as f64
}

fn over_estimate(outcomes: &[CallOutcome]) -> [f64; 2] {
    let ratio = |outcome: &CallOutcome| {
        let first = outcome.first_event_ms? - outcome.waited_ms;
        Some(first as f64 / outcome.expected_ms.max(1) as f64)
    };
    let first = outcomes.iter().filter(|outcome| outcome.kind == 0);
    let mut ratios: Vec<f64> = first.filter_map(ratio).collect();
    ratios.sort_by(f64::total_cmp);
    let at = |part: f64| {
        let index = (ratios.len() as f64 * part) as usize;
        ratios.get(index).copied().unwrap_or_default()
    };
    [at(0.5), at(0.9)]
}

impl DayResult {
    pub(super) fn of(
        seed: u64,
        scenario: &Scenario,
        outcomes: &[CallOutcome],
        worked: Duration,
    ) -> Self {
        let all: Vec<&CallOutcome> = outcomes.iter().collect();
        let of_kind = |kind: usize| -> Vec<&CallOutcome> {
            let of = outcomes.iter().filter(|outcome| outcome.kind == kind);
            let mut of: Vec<&CallOutcome> = of.collect();
            of.sort_by_key(|outcome| outcome.tokens);
            of
        };
        let kinds: Vec<Vec<&CallOutcome>> = (0..scenario.kinds.len()).map(of_kind).collect();
        let engines = scenario.fleet.halls.len() * scenario.fleet.engines_per_hall;
        let largest = |of: &Vec<&CallOutcome>| on_time(&of[of.len() * 9 / 10..]);
        let served = |of: &Vec<&CallOutcome>| {
            let one = |outcome: &&CallOutcome| (outcome.tokens, outcome.worth[0] > 0.0);
            ServedShares::of(&of.iter().map(one).collect::<Vec<_>>())
        };
        let refused = |of: &Vec<&CallOutcome>| {
            let refused = of.iter().filter(|outcome| outcome.first_event_ms.is_none());
            refused.count()
        };
        Self {
            seed,
            worth: share(&all),
            worst_seconds: worst_seconds(outcomes),
            by_kind: kinds.iter().map(|of| share(of)).collect(),
            on_time: kinds.iter().map(|of| on_time(of)).collect(),
            largest_on_time: kinds.iter().map(largest).collect(),
            largest: (kinds.iter())
                .map(|of| share(&of[of.len() * 9 / 10..]))
                .collect(),
            served: kinds.iter().map(served).collect(),
            refused: kinds.iter().map(refused).collect(),
            engines_busy: worked.as_secs_f64() / (engines as f64 * scenario.seconds),
            reports: 0,
            over_estimate: over_estimate(outcomes),
        }
    }
}
