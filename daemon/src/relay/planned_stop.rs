//! State of a planned stop: whether it has begun, which calls are refused, and when the others are answered.

use std::sync::Mutex;
use std::sync::OnceLock;
use std::time::Duration;

use badgerferry_lib::relay::call_durations::CallDurations;
use badgerferry_lib::relay::route_table::Route;
use badgerferry_lib::stop_plan::StopPlan;
use badgerferry_lib::time::Time;

use crate::clock::Clock;
use crate::drain::AnswersDue;
use crate::traffic::lock;

/// A planned stop, which may not have begun.
#[derive(Debug)]
pub struct PlannedStop {
    clock: Clock,
    began: OnceLock<Time>,
    /// When calls are refused and answered, and when the process exits.
    pub plan: StopPlan,
    /// Tells calls in flight that they have to be answered now.
    pub answers_due: AnswersDue,
    /// How long calls take, by which those are refused that would not end in time.
    call_durations: Mutex<CallDurations>,
}

impl PlannedStop {
    /// A stop that has not begun, and that the platform limits to `stop_time`.
    pub fn new(clock: Clock, stop_time: Duration) -> Self {
        Self {
            clock,
            began: OnceLock::new(),
            plan: StopPlan::new(stop_time),
            answers_due: AnswersDue::default(),
            call_durations: Mutex::default(),
        }
    }

    /// Begins the stop.
    pub fn begin(&self) {
        self.began.get_or_init(|| self.clock.now());
    }

    /// Whether it has begun.
    pub fn has_begun(&self) -> bool {
        self.began.get().is_some()
    }

    /// Whether all new calls are refused, late in the stop.
    pub fn refuses_calls(&self) -> bool {
        self.refuses(|| Duration::ZERO)
    }

    /// Whether a call is refused since the box would not serve it in time: it has `left` until its deadline, at
    /// which it is answered in any case.
    pub fn refuses_call(&self, route: &Route, left: Duration) -> bool {
        self.refuses(|| {
            let observed = lock(&self.call_durations).expected(&route.name);
            observed.unwrap_or(route.objective).min(left)
        })
    }

    /// Records how long a call took that was served.
    pub fn record_served(&self, route: &Route, took: Duration) {
        lock(&self.call_durations).record(&route.name, took);
    }

    fn refuses(&self, expected: impl FnOnce() -> Duration) -> bool {
        self.began.get().is_some_and(|began| {
            let elapsed = self.clock.now().since(*began);
            self.plan.refuses_calls(elapsed, expected())
        })
    }
}
