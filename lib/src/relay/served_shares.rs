//! What share of prompts is served, by how large they are among their kind.
//!
//! The mean over a kind hides who pays: the largest are few. So the largest tenth and the fifth
//! beneath it are told by themselves, on time or late alike.

use serde::Deserialize;
use serde::Serialize;

/// Part of a kind that counts as its largest.
const LARGEST: f64 = 0.1;
/// Part of a kind just beneath.
const BENEATH: f64 = 0.2;

/// Served shares of one kind of prompts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct ServedShares {
    /// How many there were.
    pub prompts: usize,
    /// Served of all.
    pub all: f64,
    /// Served of the largest tenth.
    pub largest_tenth: f64,
    /// Served of the fifth beneath it.
    pub fifth_beneath: f64,
}

impl ServedShares {
    /// Adds up prompts by their tokens, and whether each was served.
    pub fn of(prompts: &[(u64, bool)]) -> Self {
        let mut sorted = prompts.to_vec();
        sorted.sort_unstable();
        let at = |part: f64| (sorted.len() as f64 * (1.0 - part)) as usize;
        let (beneath, largest) = (at(LARGEST + BENEATH), at(LARGEST));
        Self {
            prompts: sorted.len(),
            all: served(&sorted),
            largest_tenth: served(&sorted[largest..]),
            fifth_beneath: served(&sorted[beneath..largest]),
        }
    }

    /// The lesser served share of the two largest groups, as a part of that of all.
    pub const fn lower_relative_share(&self) -> f64 {
        self.relative_largest_tenth()
            .min(self.relative_fifth_beneath())
    }

    /// Served share of the largest tenth, as a part of that of all.
    pub const fn relative_largest_tenth(&self) -> f64 {
        self.largest_tenth / self.all.max(f64::MIN_POSITIVE)
    }

    /// Served share of the fifth beneath the largest tenth, as a part of that of all.
    pub const fn relative_fifth_beneath(&self) -> f64 {
        self.fifth_beneath / self.all.max(f64::MIN_POSITIVE)
    }
}

fn served(prompts: &[(u64, bool)]) -> f64 {
    let served = prompts.iter().filter(|(_, is_served)| *is_served).count();
    served as f64 / prompts.len().max(1) as f64
}
