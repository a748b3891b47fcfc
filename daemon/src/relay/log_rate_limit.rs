//! How many log lines of one sort are written in a second.

use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use metrics::counter;

use crate::traffic::lock;

/// Lines of good calls written in each second; the rest are counted.
const ON_TIME_LINES_PER_SECOND: u32 = 100;
/// Lines of late calls written in each second: all of them, unless a box is overloaded.
const LATE_LINES_PER_SECOND: u32 = 200;

/// Lines of one sort written in the current second.
#[derive(Debug)]
pub struct LogRateLimit {
    most: u32,
    written: Mutex<Option<(Instant, u32)>>,
}

/// Lines of calls that were served in time.
pub static ON_TIME_LINES: LogRateLimit = LogRateLimit::new(ON_TIME_LINES_PER_SECOND);
/// Lines of calls that were late, or needed more than one step.
pub static LATE_LINES: LogRateLimit = LogRateLimit::new(LATE_LINES_PER_SECOND);

impl LogRateLimit {
    const fn new(most: u32) -> Self {
        Self {
            most,
            written: Mutex::new(None),
        }
    }

    /// Whether one more may be written; those that may not are counted.
    pub fn allow(&self) -> bool {
        let mut lines = lock(&self.written);
        let now = Instant::now();
        let (since, written) = match *lines {
            Some((since, written)) if now - since < Duration::from_secs(1) => (since, written),
            _ => (now, 0),
        };
        let may = written < self.most;
        *lines = Some((since, written + u32::from(may)));
        if !may {
            counter!("badgerferry_log_lines_sampled_total").increment(1);
        }
        may
    }
}
