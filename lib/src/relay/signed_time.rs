//! Times that may lie before the start of this box.

use std::time::Duration;

use crate::time::Time;

/// Time on this box's monotonic clock in microseconds, negative before the start of the clock.
///
/// Other boxes report when something happened as its age, which may exceed this box's uptime.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct SignedTime(i64);

impl SignedTime {
    pub(crate) const fn of(time: Time) -> Self {
        Self(time.as_micros().cast_signed())
    }

    pub(crate) const fn before_now(now: Time, millis: u32) -> Self {
        Self(now.as_micros().cast_signed() - millis as i64 * 1_000)
    }

    /// Time elapsed since then; zero if it lies in the future.
    pub(crate) const fn age(self, now: Time) -> Duration {
        let micros = now.as_micros().cast_signed() - self.0;
        Duration::from_micros(if micros > 0 { micros as u64 } else { 0 })
    }

    /// Time until then; zero if it lies in the past.
    pub(crate) const fn time_until(self, now: Time) -> Duration {
        let micros = self.0 - now.as_micros().cast_signed();
        Duration::from_micros(if micros > 0 { micros as u64 } else { 0 })
    }

    pub(crate) const fn age_ms(self, now: Time) -> u32 {
        self.age(now).as_millis() as u32
    }

    pub(crate) const fn plus(self, span: Duration) -> Self {
        Self(self.0 + span.as_micros() as i64)
    }
}
