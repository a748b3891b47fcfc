//! Exponential backoff with an upper bound and jitter: each pause is drawn from 10 % to 100 % of
//! its bound.
//!
//! The jitter prevents boxes that lost the platform at the same instant from all reconnecting at
//! the same instant.

use std::time::Duration;

use rand::Rng;

/// Upper bound of the first pause.
const INITIAL_BOUND: Duration = Duration::from_millis(200);
/// Upper bound of every pause. With it, 350 daemons send about 130 calls per second in total, and a
/// settings change still reaches all of them within seconds of the platform's recovery.
const MAX_BOUND: Duration = Duration::from_secs(5);

/// Pauses between the attempts of one control loop.
#[derive(Debug, Clone, Copy)]
pub struct Backoff {
    bound: Duration,
}

impl Default for Backoff {
    fn default() -> Self {
        Self {
            bound: INITIAL_BOUND,
        }
    }
}

impl Backoff {
    /// Draws the next pause and doubles the bound for the one after it.
    pub fn next(&mut self, rng: &mut impl Rng) -> Duration {
        let pause = self.bound.mul_f64(rng.random_range(0.1..=1.0));
        self.bound = (self.bound * 2).min(MAX_BOUND);
        pause
    }

    /// Returns to the initial bound after a success.
    pub const fn reset(&mut self) {
        self.bound = INITIAL_BOUND;
    }
}
