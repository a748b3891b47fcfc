//! Pauses after failures: doubling, bounded, with full jitter.
//!
//! The jitter spreads boxes that lost the platform in the same instant, so that they do
//! not all come back in the same instant.

use std::time::Duration;

use rand::Rng;

/// First bound of a pause.
const FIRST: Duration = Duration::from_millis(200);
/// Last bound; 350 daemons then make some 130 calls a second in all, and a settings
/// change still reaches all of them within seconds of the platform's return.
const LAST: Duration = Duration::from_secs(5);

/// The pauses of one controller.
#[derive(Debug, Clone, Copy)]
pub struct Backoff {
    bound: Duration,
}

impl Default for Backoff {
    fn default() -> Self {
        Self { bound: FIRST }
    }
}

impl Backoff {
    /// The next pause.
    pub fn next(&mut self, rng: &mut impl Rng) -> Duration {
        let pause = self.bound.mul_f64(rng.random_range(0.1..=1.0));
        self.bound = (self.bound * 2).min(LAST);
        pause
    }

    /// Forgets failures after a success.
    pub const fn reset(&mut self) {
        self.bound = FIRST;
    }
}
