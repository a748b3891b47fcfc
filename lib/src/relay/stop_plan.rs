//! When a box that is told to stop refuses new calls, and when it ends.

use std::time::Duration;

/// The balancer notices after two questions, a second apart, and callers' connections after.
const NOTICE: Duration = Duration::from_millis(2_500);
/// From here on new calls are refused: the users excuse a cut of those sent within three seconds
/// of the signal, and a later one can't be sure to end in time.
const REFUSE_AFTER: Duration = Duration::from_millis(2_800);
/// Kept for the last bytes and the end of the process.
const LAST_BYTES: Duration = Duration::from_millis(300);

/// The course of a planned stop.
#[derive(Debug, Clone, Copy)]
pub struct StopPlan {
    stop_time: Duration,
}

impl StopPlan {
    /// A stop for which the platform gives this much time.
    pub const fn new(stop_time: Duration) -> Self {
        Self { stop_time }
    }

    /// Whether a call that comes this long after the signal is refused.
    pub fn refuses_calls(&self, passed: Duration) -> bool {
        passed >= REFUSE_AFTER
    }

    /// Whether the process ends now; `quiet` is how long nothing has been in flight.
    pub fn should_exit(&self, passed: Duration, quiet: Option<Duration>) -> bool {
        let is_quiet = passed >= NOTICE && quiet.is_some_and(|quiet| quiet >= LAST_BYTES);
        is_quiet || passed >= self.stop_time.saturating_sub(LAST_BYTES)
    }
}
