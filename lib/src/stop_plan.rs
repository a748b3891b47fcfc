//! When a stopping box refuses calls, answers those that are still in flight, and exits.
//!
//! Every call that was read gets an answer. A call that is not expected to end in time is refused at
//! once, so that its caller can go to another box; one that lasts longer than expected is answered
//! before the process exits, by what is known of it.

use std::time::Duration;

/// Time from the signal until no new calls arrive. The load balancer notices the stop after two
/// health checks, one second apart, and then moves the callers' connections.
const BALANCER_NOTICE_TIME: Duration = Duration::from_millis(2_500);
/// Reserved for sending the last bytes and for the exit of the process.
const FLUSH_TIME: Duration = Duration::from_millis(300);
/// Reserved before that for the answers to calls still in flight, whose callers may be slow to read.
const ANSWER_TIME: Duration = Duration::from_millis(300);
/// Most of a short stop that the two may take together.
const MAX_RESERVED_FRACTION: f64 = 0.5;

/// What a stopping box does with the calls in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopStep {
    /// Serves them.
    Serve,
    /// Answers them, whether or not they have run.
    Answer,
    /// Exits.
    Exit,
}

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

    /// Time from the signal after which calls still in flight are answered.
    pub fn answers_after(&self) -> Duration {
        self.stop_time
            .saturating_sub(self.reserved(ANSWER_TIME + FLUSH_TIME))
    }

    /// Whether a call that arrives this long after the signal is refused; `expected` is the time that
    /// it is expected to take.
    pub fn refuses_calls(&self, elapsed: Duration, expected: Duration) -> bool {
        elapsed >= BALANCER_NOTICE_TIME + FLUSH_TIME || elapsed + expected >= self.answers_after()
    }

    /// Whether the process should exit. `idle` is how long no call has been in flight, if none is.
    pub fn should_exit(&self, elapsed: Duration, idle: Option<Duration>) -> bool {
        let is_idle =
            elapsed >= BALANCER_NOTICE_TIME && idle.is_some_and(|idle| idle >= FLUSH_TIME);
        is_idle || elapsed >= self.stop_time.saturating_sub(self.reserved(FLUSH_TIME))
    }

    /// What is due this long after the signal.
    pub fn step(&self, elapsed: Duration, idle: Option<Duration>) -> StopStep {
        if self.should_exit(elapsed, idle) {
            StopStep::Exit
        } else if elapsed >= self.answers_after() {
            StopStep::Answer
        } else {
            StopStep::Serve
        }
    }

    /// This much at the end of the stop, or less if the stop is short.
    fn reserved(&self, usual: Duration) -> Duration {
        let scale = MAX_RESERVED_FRACTION * self.stop_time.as_secs_f64()
            / (ANSWER_TIME + FLUSH_TIME).as_secs_f64();
        usual.mul_f64(scale.min(1.0))
    }
}
