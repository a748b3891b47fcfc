//! Limit of calls per second that a server states for all boxes together.

use std::fmt;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Calls per second, stored in thousandths.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CallRate(u32);

const THOUSAND: f64 = 1e3;
/// One call in ten seconds. A server with a limit of zero is still called that often, as only a
/// response can lift the limit.
const MIN_RATE: CallRate = CallRate(100);
/// One million calls per second: more than any server gets, hence no limit in effect.
const MAX_RATE: CallRate = CallRate(1_000_000_000);

/// The number is not a valid rate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("expected a finite, non-negative number")]
pub struct InvalidCallRate;

impl CallRate {
    /// Converts from calls per second. Clamps to the supported range.
    ///
    /// # Errors
    ///
    /// The number is negative, infinite or NaN.
    pub fn per_second(calls: f64) -> Result<Self, InvalidCallRate> {
        if !calls.is_finite() || calls < 0.0 {
            return Err(InvalidCallRate);
        }
        // The cast saturates.
        let rate = Self((calls * THOUSAND) as u32);
        Ok(rate.clamp(MIN_RATE, MAX_RATE))
    }

    /// Rate in calls per second.
    pub fn calls_per_second(self) -> f64 {
        f64::from(self.0) / THOUSAND
    }

    /// Time between two calls.
    pub fn interval(self) -> Duration {
        // A rate decoded from a peer's datagram may be out of range.
        let rate = self.clamp(MIN_RATE, MAX_RATE);
        Duration::from_secs(1).div_f64(rate.calls_per_second())
    }

    /// One of `shares` equal shares of the rate, at least one thousandth of a call per second.
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
