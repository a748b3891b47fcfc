//! Detects that this box did not run for a while: it was suspended, or got no processor time.
//!
//! Afterwards events are seen late. The end of a connection may be as old as the suspension, and
//! another process may have the address of the server by then.

use std::time::Duration;

use crate::time::Time;

/// Interval between two calls of [`SuspensionMonitor::tick`].
pub const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Shortest suspension that counts. A server takes longer to exit and to start again.
const MIN_SUSPENSION: Duration = Duration::from_millis(400);
/// Time after a suspension in which events that occurred during it are still seen.
const BACKLOG_TIME: Duration = Duration::from_secs(1);

/// Whether this box was suspended lately.
#[derive(Debug)]
pub struct SuspensionMonitor {
    last_tick: Time,
    resumed_at: Option<Time>,
}

impl SuspensionMonitor {
    /// A box that runs at `now`.
    pub const fn new(now: Time) -> Self {
        Self {
            last_tick: now,
            resumed_at: None,
        }
    }

    /// Records that the box runs. Returns how long it was suspended, if it was since the last tick.
    pub fn tick(&mut self, now: Time) -> Option<Duration> {
        let suspended_for = self.suspended_for(now);
        self.last_tick = now;
        if suspended_for.is_some() {
            self.resumed_at = Some(now);
        }
        suspended_for
    }

    /// Whether what is seen now may have occurred during a suspension.
    pub fn was_suspended(&self, now: Time) -> bool {
        // The box may see an event before the first tick after a suspension.
        let has_just_resumed = self.suspended_for(now).is_some();
        let is_recent = |at| now.since(at) < BACKLOG_TIME;
        has_just_resumed || self.resumed_at.is_some_and(is_recent)
    }

    fn suspended_for(&self, now: Time) -> Option<Duration> {
        let late_by = now.since(self.last_tick).saturating_sub(TICK_INTERVAL);
        (late_by >= MIN_SUSPENSION).then_some(late_by)
    }
}
