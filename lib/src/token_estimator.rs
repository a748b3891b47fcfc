//! Estimates prompt tokens before an engine counts them.
//!
//! There is no tokenizer here. Each model has a ratio of bytes to tokens that starts
//! from its setting and follows what engines report back, so that a model with an
//! unusual vocabulary is right after a few answers.

use std::collections::BTreeMap;

use crate::ids::ModelName;

/// Weight of one report against the running ratio; small, so that one odd prompt moves little.
const REPORT_WEIGHT: f64 = 0.05;
/// Ratios outside these bounds are not believed.
const RATIO_BOUNDS: (f64, f64) = (0.5, 32.0);

/// Bytes per token for each model, corrected by reports.
#[derive(Debug, Default)]
pub struct TokenEstimator {
    ratios: BTreeMap<ModelName, f64>,
}

impl TokenEstimator {
    /// Estimates the tokens of a prompt of `bytes`; at least one.
    pub fn estimate(&self, model: &ModelName, bytes: usize, default_ratio: f64) -> u64 {
        let ratio = self.ratios.get(model).copied().unwrap_or(default_ratio);
        ((bytes as f64 / ratio).ceil() as u64).max(1)
    }

    /// Learns from an engine's own count.
    pub fn record(&mut self, model: &ModelName, bytes: usize, tokens: u64, default_ratio: f64) {
        if tokens == 0 {
            return;
        }
        let measured = (bytes as f64 / tokens as f64).clamp(RATIO_BOUNDS.0, RATIO_BOUNDS.1);
        let ratio = self.ratios.entry(model.clone()).or_insert(default_ratio);
        *ratio += (measured - *ratio) * REPORT_WEIGHT;
    }
}
