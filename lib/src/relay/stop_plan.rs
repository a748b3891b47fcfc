//! When a stopping box starts to refuse new calls, and when its process exits.

use std::time::Duration;

/// Time from the signal until no new calls arrive. The load balancer notices the stop after two
/// health checks, one second apart, and then moves the callers' connections.
const BALANCER_NOTICE_TIME: Duration = Duration::from_millis(2_500);
/// Time from the signal until new calls are refused. Callers accept that calls sent within three
/// seconds of the signal are cut off; a call that is accepted later might not end in time.
const REFUSE_AFTER: Duration = Duration::from_millis(2_800);
/// Reserved for sending the last bytes and for the exit of the process.
const FLUSH_TIME: Duration = Duration::from_millis(300);

/// Timing of a planned stop.
#[derive(Debug, Clone, Copy)]
pub struct StopPlan {
    stop_time: Duration,
}

impl StopPlan {
    /// A stop that the platform limits to `stop_time`, counted from the signal.
    pub const fn new(stop_time: Duration) -> Self {
        Self { stop_time }
    }

    /// Whether a call that arrives this long after the signal is refused.
    pub fn refuses_calls(&self, elapsed: Duration) -> bool {
        elapsed >= REFUSE_AFTER
    }

    /// Whether the process should exit. `idle` is how long no call has been in flight, if none is.
    pub fn should_exit(&self, elapsed: Duration, idle: Option<Duration>) -> bool {
        let is_idle =
            elapsed >= BALANCER_NOTICE_TIME && idle.is_some_and(|idle| idle >= FLUSH_TIME);
        is_idle || elapsed >= self.stop_time.saturating_sub(FLUSH_TIME)
    }
}
