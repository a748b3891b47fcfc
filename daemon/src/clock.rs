//! Clock of the daemon, in microseconds since its start.

use std::time::Instant;

use badgerferry_lib::time::Time;

/// Monotonic clock with its own epoch.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts a clock at time zero.
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the current time.
    pub fn now(self) -> Time {
        Time::ZERO + self.start.elapsed()
    }

    /// Converts a time to an instant, at most one day from now.
    pub fn instant(self, time: Time) -> tokio::time::Instant {
        const MAX_AHEAD: std::time::Duration = std::time::Duration::from_hours(24);
        let span = Time::ZERO.until(time).min(self.start.elapsed() + MAX_AHEAD);
        (self.start + span).into()
    }
}
