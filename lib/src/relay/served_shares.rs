//! Share of prompts served, by their size among the prompts of the same kind.
//!
//! The mean over a kind hides starvation of its largest prompts, since these are few. The largest
//! tenth and the fifth of all prompts just below it are therefore reported separately. A prompt
//! counts as served whether it was on time or late.

use serde::Deserialize;
use serde::Serialize;

/// Fraction of the prompts of a kind that form its largest group.
pub const LARGEST_FRACTION: f64 = 0.1;
/// Fraction of the prompts of a kind that form the group below.
pub const BELOW_FRACTION: f64 = 0.2;

/// Shares of the prompts of one kind that were served, from 0 to 1.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct ServedShares {
    /// Number of prompts.
    pub prompts: usize,
    /// Share served of all prompts.
    pub all: f64,
    /// Share served of the largest tenth.
    pub largest_tenth: f64,
    /// Share served of the fifth below the largest tenth.
    pub fifth_beneath: f64,
}

impl ServedShares {
    /// Computes the shares from the token count of each prompt and whether it was served.
    pub fn of(prompts: &[(u64, bool)]) -> Self {
        let mut sorted = prompts.to_vec();
        sorted.sort_unstable();
        let start_of = |fraction: f64| (sorted.len() as f64 * (1.0 - fraction)) as usize;
        let (below, largest) = (
            start_of(LARGEST_FRACTION + BELOW_FRACTION),
            start_of(LARGEST_FRACTION),
        );
        Self {
            prompts: sorted.len(),
            all: served(&sorted),
            largest_tenth: served(&sorted[largest..]),
            fifth_beneath: served(&sorted[below..largest]),
        }
    }

    /// Lower of the served shares of the two groups of large prompts, relative to the share of all.
    pub const fn lower_relative_share(&self) -> f64 {
        self.relative_largest_tenth()
            .min(self.relative_fifth_beneath())
    }

    /// Served share of the largest tenth, relative to the share of all prompts.
    pub const fn relative_largest_tenth(&self) -> f64 {
        self.largest_tenth / self.all.max(f64::MIN_POSITIVE)
    }

    /// Served share of the fifth below the largest tenth, relative to the share of all prompts.
    pub const fn relative_fifth_beneath(&self) -> f64 {
        self.fifth_beneath / self.all.max(f64::MIN_POSITIVE)
    }
}

fn served(prompts: &[(u64, bool)]) -> f64 {
    let served = prompts.iter().filter(|(_, is_served)| *is_served).count();
    served as f64 / prompts.len().max(1) as f64
}
