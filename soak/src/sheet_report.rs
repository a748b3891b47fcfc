//! What the run of a deployment is judged by.

use std::fmt;

use badgerferry_standin::counted_retries::RetryComparison;
use badgerferry_standin::departure_audit::MIN_RUNS;
use badgerferry_standin::departure_audit::WorkAfterDepartures;
use badgerferry_standin::retry_audit::LateRepeats;
use badgerferry_standin::retry_audit::WindowUse;

use crate::sheet_troubles::Severity;

/// Calls that a server may get from a box in a pause that it asked for.
const MAX_CALLS_IN_PAUSE: usize = 2;
/// Runs of a request, or with a part, that may come after so many crashes that it must be held back.
const MAX_RUNS_AFTER_CRASHES: usize = 3;
/// Calls that may each run on more servers than their route allows.
const MAX_CALLS_BEYOND_ATTEMPTS: usize = 3;
/// Connections that a box may close without a response to a call that a sound server has read.
const MAX_LOST: usize = 3;

/// Cases below which a sentence says nothing, and the run fails.
const MIN_LATE_REPEATS: usize = 20;
const MIN_REPEATS: usize = 20;
const MIN_DECLINES: usize = 20;
const MIN_CRASHES: usize = 3;

/// Result of a run.
#[derive(Debug)]
pub struct Report {
    pub severity: Severity,
    pub calls: usize,
    pub served: usize,
    pub repeats: usize,
    pub worst: Option<WindowUse>,
    pub beyond: usize,
    /// Calls that were sent more than once.
    pub repeated_calls: usize,
    pub late: LateRepeats,
    pub crashes: usize,
    pub runs_after_crashes: usize,
    pub part_crashes: usize,
    pub runs_after_part_crashes: usize,
    pub in_pauses: usize,
    /// Declines with a pause.
    pub pauses: usize,
    pub work: WorkAfterDepartures,
    pub lost: usize,
    pub retries: RetryComparison,
}

impl Report {
    /// The rules that are violated.
    pub fn violated(&self) -> Vec<&'static str> {
        let is_over = self.worst.is_some_and(|worst| worst.fraction() > 1.0);
        let rules = [
            (is_over, "sum of retries"),
            (self.beyond > MAX_CALLS_BEYOND_ATTEMPTS, "servers of a call"),
            (self.late.violate(), "time told"),
            (
                self.runs_after_crashes > MAX_RUNS_AFTER_CRASHES,
                "request that crashes servers",
            ),
            (
                self.runs_after_part_crashes > MAX_RUNS_AFTER_CRASHES,
                "prompt part that crashes servers",
            ),
            (self.in_pauses > MAX_CALLS_IN_PAUSE, "calls in a pause"),
            (self.work.violates(), "work after departures"),
            (self.lost > MAX_LOST, "closed without a response"),
            (
                !self.retries.uncounted.is_empty(),
                "arrivals that no box counted",
            ),
        ];
        let rules = rules.into_iter().chain(self.lacking());
        let violated = rules.filter(|(is_violated, _)| *is_violated);
        violated.map(|(_, rule)| rule).collect()
    }

    /// Sentences that the severity is meant for, and whether they have too few cases.
    fn lacking(&self) -> Vec<(bool, &'static str)> {
        let departures = (self.work.runs < MIN_RUNS, "too few departures");
        let repeats = (self.repeats < MIN_REPEATS, "too few retries");
        let late = (self.late.late < MIN_LATE_REPEATS, "too few late retries");
        match self.severity {
            Severity::Usual | Severity::Departures | Severity::StoreFaults | Severity::Settings => {
                vec![departures, repeats]
            }
            Severity::MostServersStill => vec![departures, repeats, late],
            Severity::SilentCrashes => {
                vec![(self.crashes < MIN_CRASHES, "too few crashes by a request")]
            }
            Severity::LateDeclines => {
                vec![departures, (self.pauses < MIN_DECLINES, "too few pauses")]
            }
            Severity::Churn => vec![
                repeats,
                (self.crashes < MIN_CRASHES, "too few crashes by a request"),
                (self.part_crashes < MIN_CRASHES, "too few crashes by a part"),
            ],
            Severity::PartCrashes => vec![
                departures,
                (self.part_crashes < MIN_CRASHES, "too few crashes by a part"),
            ],
        }
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { calls, served, .. } = self;
        let worst = self.worst.map_or((0, 0.0), |w| (w.retries, w.allowed));
        write!(
            f,
            "{calls} calls, {served} served, {} repeats, worst window {} of {:.0}, {}, \
             beyond attempts {} of {} calls sent more than once, crashes {}, runs after them {}, crashes by a part {}, runs after them {}, in a pause {} ({} pauses), {}, closed without a response {}, {}",
            self.repeats,
            worst.0,
            worst.1,
            self.late,
            self.beyond,
            self.repeated_calls,
            self.crashes,
            self.runs_after_crashes,
            self.part_crashes,
            self.runs_after_part_crashes,
            self.in_pauses,
            self.pauses,
            self.work,
            self.lost,
            self.retries
        )
    }
}
