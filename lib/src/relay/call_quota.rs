//! Rate limiter for the calls to one server.
//!
//! Implements the generic cell rate algorithm (GCRA). The burst allowance is deducted from the
//! sustained rate, so that a server gets at most two calls beyond its limit in any four seconds.
//! Cold servers are limited within each second, and get no bursts.

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

/// Calls that a cold server bears within one second, beyond which it fails.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdTolerance {
    /// Multiple of its rate.
    pub overload: f64,
    /// Calls beyond that multiple.
    pub slack: f64,
}

impl ColdTolerance {
    fn calls(self, rate: CallRate) -> f64 {
        rate.calls_per_second() * self.overload + self.slack
    }
}

/// Numbers of shares of which an owner grants one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuotaShares {
    /// Shares of a stated limit.
    pub stated: usize,
    /// Shares of a cold rate.
    pub cold: usize,
}

/// Rate of a quota, and whether it allows bursts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuotaTerms {
    /// Calls per second.
    pub rate: CallRate,
    /// Whether calls that were not made for a while may be made at once.
    pub allows_bursts: bool,
}

impl QuotaTerms {
    /// Terms for one of `shares` equal shares of a limit that a server states.
    pub fn stated(limit: CallRate, shares: usize) -> Self {
        Self {
            rate: limit.divided_by(shares),
            allows_bursts: true,
        }
    }

    /// Terms for a cold server, with one of `shares` shares.
    ///
    /// Two owners, each of which hears half of the boxes, divide between them what the server bears,
    /// or the rate where that is more. With more shares another owner may grant the whole rate, and
    /// this one grants at most what the server bears beyond that, but a call in ten seconds.
    pub fn cold(limit: CallRate, shares: usize, tolerance: ColdTolerance) -> Self {
        let borne = tolerance.calls(limit);
        let calls = limit.calls_per_second();
        let most = match shares {
            0 | 1 => borne,
            2 => (borne / 2.0 - MAX_EXCESS).max(calls / 2.0),
            _ => borne - calls - 2.0 * MAX_EXCESS,
        };
        let share = match shares {
            0..=2 => limit,
            _ => limit.divided_by(shares),
        };
        let most = CallRate::per_second(most.max(0.0));
        Self {
            rate: most.map_or(share, |most| most.min(share)),
            allows_bursts: false,
        }
    }

    /// Size of a burst in whole calls.
    fn burst_calls(self) -> f64 {
        if self.allows_bursts {
            (self.rate.calls_per_second() * BURST_SECS).floor()
        } else {
            0.0
        }
    }

    /// Time between two calls at the sustained rate, which is the limit less the burst allowance.
    fn emission_interval(self) -> Duration {
        let reserved_for_burst = self.burst_calls() / WINDOW_SECS;
        let share = 1.0 - reserved_for_burst / self.rate.calls_per_second();
        self.rate.interval().div_f64(share)
    }
}

/// Call quota of one server.
#[derive(Debug, Clone, Copy)]
pub struct CallQuota {
    terms: QuotaTerms,
    /// Theoretical arrival time of the GCRA: when the rate has caught up with all granted calls.
    theoretical_arrival: Time,
}

impl CallQuota {
    /// Starts with the allowance used up: a previous quota owner may just have granted a burst.
    pub fn new(now: Time, terms: QuotaTerms) -> Self {
        let allowance = terms
            .emission_interval()
            .mul_f64(MAX_EXCESS + terms.burst_calls());
        Self {
            terms,
            theoretical_arrival: now + allowance,
        }
    }

    /// Changes the terms. The number of calls granted in advance is preserved.
    pub fn set_terms(&mut self, now: Time, terms: QuotaTerms) {
        if terms != self.terms {
            let backlog = now.until(self.theoretical_arrival);
            let calls = backlog.div_duration_f64(self.terms.emission_interval());
            self.theoretical_arrival = now + terms.emission_interval().mul_f64(calls);
            self.terms = terms;
        }
    }

    /// Grants a call and returns how long it has to wait.
    ///
    /// # Errors
    ///
    /// The call would have to wait longer than `max_wait`.
    pub fn take(&mut self, now: Time, max_wait: Duration) -> Result<Duration, QuotaExceeded> {
        let interval = self.terms.emission_interval();
        let tolerance = interval.mul_f64(MAX_EXCESS + self.terms.burst_calls() - 1.0);
        let wait = now
            .until(self.theoretical_arrival)
            .saturating_sub(tolerance);
        if wait > max_wait {
            return Err(QuotaExceeded { retry_in: wait });
        }
        self.theoretical_arrival = self.theoretical_arrival.max(now) + interval;
        Ok(wait)
    }

    /// Counts a call that is sent regardless of the quota.
    pub fn charge(&mut self, now: Time) {
        let cap = now + MAX_DEBT;
        let charged = self.theoretical_arrival.max(now) + self.terms.emission_interval();
        self.theoretical_arrival = charged.min(cap).max(self.theoretical_arrival);
    }
}
