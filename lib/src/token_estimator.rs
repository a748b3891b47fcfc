//! Estimates the number of prompt tokens before an engine counts them.
//!
//! There is no tokenizer in the daemon. Each model has a ratio of bytes per token that starts at
//! its setting and follows the counts that engines report, so that the estimate for a model with an
//! unusual vocabulary is right after a few responses.

use std::collections::BTreeMap;

use crate::ids::ModelName;

/// Weight of one report in the moving average; small, so that one unusual prompt has little effect.
const REPORT_WEIGHT: f64 = 0.05;
/// Bounds that a reported ratio of bytes per token is clamped to; a ratio outside them is not
/// plausible.
const RATIO_BOUNDS: (f64, f64) = (0.5, 32.0);

/// Bytes per token of each model, corrected by the counts of engines.
#[derive(Debug, Default)]
pub struct TokenEstimator {
    ratios: BTreeMap<ModelName, f64>,
}

impl TokenEstimator {
    /// Estimates the tokens of a prompt of `bytes`; at least one. `default_ratio` applies to a
    /// model without reports.
    pub fn estimate(&self, model: &ModelName, bytes: usize, default_ratio: f64) -> u64 {
        let ratio = self.ratios.get(model).copied().unwrap_or(default_ratio);
        ((bytes as f64 / ratio).ceil() as u64).max(1)
    }

    /// Records the token count that an engine reported for a prompt of `bytes`. Zero means that the
    /// engine did not count.
    pub fn record(&mut self, model: &ModelName, bytes: usize, tokens: u64, default_ratio: f64) {
        if tokens == 0 {
            return;
        }
        let measured = (bytes as f64 / tokens as f64).clamp(RATIO_BOUNDS.0, RATIO_BOUNDS.1);
        let ratio = self.ratios.entry(model.clone()).or_insert(default_ratio);
        *ratio += (measured - *ratio) * REPORT_WEIGHT;
    }
}
