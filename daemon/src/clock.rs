//! The daemon's clock: microseconds since it started.

use std::time::Instant;

use badgerferry_lib::time::Time;

/// Reads the monotonic clock.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// The present.
    pub fn now(self) -> Time {
        Time::ZERO + self.start.elapsed()
    }

    /// The instant of a time; far times are a day ahead.
    pub fn instant(self, time: Time) -> tokio::time::Instant {
        const FAR: std::time::Duration = std::time::Duration::from_hours(24);
        let span = Time::ZERO.until(time).min(self.start.elapsed() + FAR);
        (self.start + span).into()
    }
}
