//! Rate limiter for the calls to one server.
//!
//! Implements the generic cell rate algorithm (GCRA). The burst allowance is deducted from the
//! sustained rate, so that a server gets at most two calls beyond its limit in any four seconds.

use std::time::Duration;

use crate::relay::call_rate::CallRate;
use crate::time::Time;

/// Calls beyond its limit that a server may get within [`WINDOW_SECS`].
const MAX_EXCESS: f64 = 2.0;
/// Period over which the limit is enforced, in seconds.
const WINDOW_SECS: f64 = 4.0;
/// Burst allowance after an idle period, in seconds of calls at the limit. Callers send in bursts.
const BURST_SECS: f64 = 0.25;
/// Longest time for which charged calls, which cannot be delayed, may use up the quota in advance.
const MAX_DEBT: Duration = Duration::from_secs(4);

/// The call would exceed the quota.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("call quota exceeded; next call possible in {retry_in:?}")]
pub struct QuotaExceeded {
    /// Time until the next call is possible, unless another caller takes it first.
    pub retry_in: Duration,
}

/// Call quota of one server.
#[derive(Debug, Clone, Copy)]
pub struct CallQuota {
    rate: CallRate,
    /// Theoretical arrival time of the GCRA: when the rate has caught up with all granted calls.
    theoretical_arrival: Time,
}

impl CallQuota {
    /// Starts with the allowance used up: a previous quota owner may just have granted a burst.
    pub fn new(now: Time, rate: CallRate) -> Self {
        let allowance = emission_interval(rate).mul_f64(MAX_EXCESS + burst_calls(rate));
        Self {
            rate,
            theoretical_arrival: now + allowance,
        }
    }

    /// Changes the rate. The number of calls granted in advance is preserved.
    pub fn set_rate(&mut self, now: Time, rate: CallRate) {
        if rate != self.rate {
            let backlog = now.until(self.theoretical_arrival);
            let calls = backlog.div_duration_f64(emission_interval(self.rate));
            self.theoretical_arrival = now + emission_interval(rate).mul_f64(calls);
            self.rate = rate;
        }
    }

    /// Grants a call and returns how long it has to wait.
    ///
    /// # Errors
    ///
    /// The call would have to wait longer than `max_wait`.
    pub fn take(&mut self, now: Time, max_wait: Duration) -> Result<Duration, QuotaExceeded> {
        let tolerance =
            emission_interval(self.rate).mul_f64(MAX_EXCESS + burst_calls(self.rate) - 1.0);
        let wait = now
            .until(self.theoretical_arrival)
            .saturating_sub(tolerance);
        if wait > max_wait {
            return Err(QuotaExceeded { retry_in: wait });
        }
        self.theoretical_arrival = self.theoretical_arrival.max(now) + emission_interval(self.rate);
        Ok(wait)
    }

    /// Counts a call that is sent regardless of the quota.
    pub fn charge(&mut self, now: Time) {
        let cap = now + MAX_DEBT;
        let charged = self.theoretical_arrival.max(now) + emission_interval(self.rate);
        self.theoretical_arrival = charged.min(cap).max(self.theoretical_arrival);
    }
}

/// Size of a burst in whole calls.
fn burst_calls(rate: CallRate) -> f64 {
    (rate.calls_per_second() * BURST_SECS).floor()
}

/// Time between two calls at the sustained rate, which is the limit less the burst allowance.
fn emission_interval(rate: CallRate) -> Duration {
    let reserved_for_burst = burst_calls(rate) / WINDOW_SECS;
    let share = 1.0 - reserved_for_burst / rate.calls_per_second();
    rate.interval().div_f64(share)
}
