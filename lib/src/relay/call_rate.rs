//! How many calls a second a server says that it takes from all boxes together.

use std::fmt;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Calls a second, in thousandths.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CallRate(u32);

/// Thousandths in one.
const THOUSAND: f64 = 1e3;
/// A server that takes none is still tried once in ten seconds: only its answer ends the limit.
const LEAST: CallRate = CallRate(100);
/// More calls a second than any server gets, and no limit any more.
const MOST: CallRate = CallRate(1_000_000_000);

/// A text is no number of calls a second.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("expected a finite number that is not negative")]
pub struct InvalidCallRate;

impl CallRate {
    /// A rate from calls a second, kept within what can be counted.
    ///
    /// # Errors
    ///
    /// It is negative, infinite or no number.
    pub fn per_second(calls: f64) -> Result<Self, InvalidCallRate> {
        if !calls.is_finite() || calls < 0.0 {
            return Err(InvalidCallRate);
        }
        // Converting saturates.
        let rate = Self((calls * THOUSAND) as u32);
        Ok(rate.clamp(LEAST, MOST))
    }

    /// Calls a second.
    pub fn calls_per_second(self) -> f64 {
        f64::from(self.0) / THOUSAND
    }

    /// Time from one call to the next.
    pub fn interval(self) -> Duration {
        // A rate that another box told may lie outside.
        let rate = self.clamp(LEAST, MOST);
        Duration::from_secs(1).div_f64(rate.calls_per_second())
    }

    /// What one of so many takers has of it.
    #[must_use]
    pub fn divided_by(self, shares: usize) -> Self {
        let shares = u32::try_from(shares.max(1)).unwrap_or(u32::MAX);
        Self(self.0 / shares).max(Self(1))
    }
}

impl fmt::Display for CallRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.calls_per_second())
    }
}
