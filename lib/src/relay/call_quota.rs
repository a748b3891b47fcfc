//! Gives out the calls that a server takes in a second, one by one.
//!
//! A generic cell rate algorithm. What a burst may take ahead is taken off the rate, so that in no four
//! seconds a server gets more than two calls beyond its limit.

use std::time::Duration;

use crate::relay::call_rate::CallRate;
use crate::time::Time;

/// Calls beyond its limit that a server may get in [`WINDOW_S`].
const BEYOND: f64 = 2.0;
/// What a limit counts over, in seconds.
const WINDOW_S: f64 = 4.0;
/// After a rest the calls of so many seconds may go at once: callers come in bursts.
const BURST_S: f64 = 0.25;
/// Longest time for which calls that can't be held back use up what comes.
const MOST_OWED: Duration = Duration::from_secs(4);

/// There is no room now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("there is room in {retry_in:?}")]
pub struct QuotaExceeded {
    /// When there is, if nobody else takes it.
    pub retry_in: Duration,
}

/// What one server takes.
#[derive(Debug, Clone, Copy)]
pub struct CallQuota {
    rate: CallRate,
    /// When all that was given out is used up by the rate.
    used_until: Time,
}

impl CallQuota {
    /// A quota whose server may just have had a burst from elsewhere.
    pub fn new(now: Time, rate: CallRate) -> Self {
        let full = interval(rate).mul_f64(BEYOND + ahead(rate));
        Self {
            rate,
            used_until: now + full,
        }
    }

    /// Goes by another rate; the calls that are given out ahead stay as many.
    pub fn set_rate(&mut self, now: Time, rate: CallRate) {
        if rate != self.rate {
            let given_out = now.until(self.used_until);
            let calls = given_out.div_duration_f64(interval(self.rate));
            self.used_until = now + interval(rate).mul_f64(calls);
            self.rate = rate;
        }
    }

    /// Takes a call that can wait so long; gives back how long it must.
    ///
    /// # Errors
    ///
    /// It would have to wait longer.
    pub fn take(&mut self, now: Time, patience: Duration) -> Result<Duration, QuotaExceeded> {
        let burst = interval(self.rate).mul_f64(BEYOND + ahead(self.rate) - 1.0);
        let wait = now.until(self.used_until).saturating_sub(burst);
        if wait > patience {
            return Err(QuotaExceeded { retry_in: wait });
        }
        self.used_until = self.used_until.max(now) + interval(self.rate);
        Ok(wait)
    }

    /// Counts a call that goes in any case.
    pub fn charge(&mut self, now: Time) {
        let most = now + MOST_OWED;
        let charged = self.used_until.max(now) + interval(self.rate);
        self.used_until = charged.min(most).max(self.used_until);
    }
}

/// Whole calls that a burst may take ahead of the rate.
fn ahead(rate: CallRate) -> f64 {
    (rate.calls_per_second() * BURST_S).floor()
}

/// From one call to the next.
fn interval(rate: CallRate) -> Duration {
    let taken_off = ahead(rate) / WINDOW_S;
    let share = 1.0 - taken_off / rate.calls_per_second();
    rate.interval().div_f64(share)
}
