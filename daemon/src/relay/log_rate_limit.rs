//! Rate limits on log lines.

use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use metrics::counter;

use crate::traffic::lock;

/// Limit of log lines per second of calls served on time.
const ON_TIME_LINES_PER_SECOND: u32 = 100;
/// Limit of log lines per second of late calls, refused calls and denied permits. Late calls alone
/// reach it only if the box is overloaded.
const LATE_LINES_PER_SECOND: u32 = 200;

/// Limit of log lines per second of callers that leave. A box is overloaded long before as many calls a
/// second end that way.
const DEPARTURE_LINES_PER_SECOND: u32 = 1_000;

/// Rate limit on one kind of log line, in intervals of one second.
#[derive(Debug)]
pub struct LogRateLimit {
    max_per_second: u32,
    /// Start of the current interval, and lines written in it.
    interval: Mutex<Option<(Instant, u32)>>,
}

/// Rate limit for calls that were served on time.
pub static ON_TIME_LINES: LogRateLimit = LogRateLimit::new(ON_TIME_LINES_PER_SECOND);
/// Rate limit for calls that were late or refused for want of a server, and for denied permits.
pub static LATE_LINES: LogRateLimit = LogRateLimit::new(LATE_LINES_PER_SECOND);
/// Rate limit for callers that leave.
pub static DEPARTURE_LINES: LogRateLimit = LogRateLimit::new(DEPARTURE_LINES_PER_SECOND);

impl LogRateLimit {
    const fn new(max_per_second: u32) -> Self {
        Self {
            max_per_second,
            interval: Mutex::new(None),
        }
    }

    /// Counts a line and returns whether it may be written. Suppressed lines are counted in a
    /// metric.
    pub fn allow(&self) -> bool {
        let mut interval = lock(&self.interval);
        let now = Instant::now();
        let (since, written) = match *interval {
            Some((since, written)) if now - since < Duration::from_secs(1) => (since, written),
            _ => (now, 0),
        };
        let is_allowed = written < self.max_per_second;
        *interval = Some((since, written + u32::from(is_allowed)));
        if !is_allowed {
            counter!("badgerferry_log_lines_sampled_total").increment(1);
        }
        is_allowed
    }
}
