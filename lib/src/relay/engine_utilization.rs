//! Computes engine utilization over time from the call log lines of the boxes.
//!
//! One line records when a call was sent to which engines, the prefill time of each chunk and how
//! long the call was queued; others record its first event and its end. They show what each engine
//! did at any time: prefill, blocked by a prompt whose other chunks were not done, only decode, or
//! idle; and how much of each while prompts were queued. A prefill is assumed to start when the call
//! is sent and to take the time computed from the configured performance model of the engines.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use serde::Deserialize;
use serde::Serialize;

/// Sampling interval, shorter than a prefill chunk, which takes at least some tens of milliseconds.
const STEP_MS: u64 = 20;
/// Time span of one row of the report.
const ROW_MS: u64 = 1_000;
/// Minimum number of calls for an engine's estimate to be reported.
const MIN_CALLS: usize = 3;

/// Log line of a call that was sent to engines.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct RoutedLine {
    /// Id of the call.
    pub call: String,
    /// Address of the lead engine.
    pub address: String,
    /// Addresses of the engines that prefill chunks, separated by spaces, if there are several.
    pub read_at: Option<String>,
    /// Prefill time of each engine in milliseconds; absent for plain calls.
    pub part_ms: Option<u64>,
    /// Whether the prompt is long. Its engines prefill no other long prompt until its first event.
    pub long: bool,
    /// Time for which it was queued until engines were free, in milliseconds.
    pub waited_ms: u64,
    /// Expected time from now to its first event, in milliseconds.
    pub expected_ms: u64,
}

/// Log line that concerns engines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EngineLine {
    /// A call was sent to engines.
    Routed(RoutedLine),
    /// The first event of a call arrived.
    FirstEvent {
        /// Id of the call.
        call: String,
    },
    /// A call ended.
    Ended {
        /// Id of the call.
        call: String,
    },
}

/// One sending of a call to engines; a call that is sent again has several.
#[derive(Debug)]
struct Attempt {
    engines: Vec<String>,
    sent_at: u64,
    chunk_ms: u64,
    is_long: bool,
    waited_ms: u64,
    expected_ms: u64,
    first_event_at: Option<u64>,
    ended_at: Option<u64>,
}

impl Attempt {
    /// When its engines are free for another long prompt: at its first event, or at its end if none
    /// arrived. If neither was logged, the estimated end of the prefill.
    fn blocked_until(&self) -> u64 {
        let observed = self.first_event_at.or(self.ended_at);
        observed.unwrap_or(self.sent_at + self.chunk_ms)
    }

    fn phase(&self, at: u64) -> Phase {
        match at {
            at if at < self.sent_at => Phase::Inactive,
            at if at < self.blocked_until().min(self.sent_at + self.chunk_ms) => Phase::Prefill,
            at if at < self.blocked_until() => Phase::Blocked,
            at if self.ended_at.is_some_and(|ended_at| at < ended_at) => Phase::Decode,
            _ => Phase::Inactive,
        }
    }

    fn is_queued(&self, at: u64) -> bool {
        (self.sent_at.saturating_sub(self.waited_ms)..self.sent_at).contains(&at)
    }
}

/// Phase of an attempt at some time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Not sent yet, or ended.
    Inactive,
    /// Its chunks are in prefill, by the estimated prefill time.
    Prefill,
    /// Its chunks should be done, but the first event has not arrived.
    Blocked,
    /// Its events are streamed.
    Decode,
}

/// Activity of an engine at some time. Later variants take precedence.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Activity {
    Idle,
    Decode,
    Blocked,
    Prefill,
}

/// Shares of engine time by activity.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct EngineUtilization {
    /// Prefill.
    pub reads: f64,
    /// Finished with its chunk of a long prompt, but blocked until the prompt's first event.
    pub held: f64,
    /// Only decode.
    pub writes: f64,
    /// Idle.
    pub unused: f64,
}

/// Rounds to three decimals, which is finer than the sampling.
fn rounded(value: f64) -> f64 {
    (value * 1e3).round() / 1e3
}

impl EngineUtilization {
    fn scaled(self, factor: f64) -> Self {
        Self {
            reads: rounded(self.reads * factor),
            held: rounded(self.held * factor),
            writes: rounded(self.writes * factor),
            unused: rounded(self.unused * factor),
        }
    }

    fn add(&mut self, activity: Activity, share: f64) {
        let total = match activity {
            Activity::Prefill => &mut self.reads,
            Activity::Blocked => &mut self.held,
            Activity::Decode => &mut self.writes,
            Activity::Idle => &mut self.unused,
        };
        *total += share;
    }
}

/// Engine utilization within one second.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct EngineSecond {
    /// Seconds since the first call was queued.
    pub second: u64,
    /// Shares of the time of all engines.
    #[serde(flatten)]
    pub time: EngineUtilization,
    /// Mean number of queued prompts.
    pub waiting: f64,
}

/// Accuracy of the time-to-first-event estimates of one engine.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct EngineEstimate {
    /// Address of the engine.
    pub engine: String,
    /// Number of calls of which it prefilled a chunk.
    pub calls: usize,
    /// Median time to the first event, as a multiple of the estimate.
    pub over_expected: f64,
}

/// Report over all recorded lines.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct EngineReport {
    /// Number of engines that the lines name.
    pub engines: usize,
    /// Utilization by second.
    pub seconds: Vec<EngineSecond>,
    /// Utilization while prompts were queued; `None` if none ever were.
    pub while_waiting: Option<EngineUtilization>,
    /// Estimates by engine; those exceeded most come first.
    pub estimates: Vec<EngineEstimate>,
}

/// Collects log lines for a report.
#[derive(Debug, Default)]
pub struct EngineLog {
    attempts: Vec<Attempt>,
    /// Index of the latest attempt of each call.
    last_attempts: HashMap<String, usize>,
}

impl EngineLog {
    /// Records a line written at time `at`, in milliseconds since any epoch. Lines of one box must be
    /// in order of time; those of several boxes may be interleaved.
    pub fn record(&mut self, at: u64, line: EngineLine) {
        match line {
            EngineLine::Routed(line) => self.record_routed(at, line),
            EngineLine::FirstEvent { call } => {
                if let Some(attempt) = self.last_attempt(&call) {
                    attempt.first_event_at.get_or_insert(at);
                }
            }
            EngineLine::Ended { call } => {
                if let Some(attempt) = self.last_attempt(&call) {
                    attempt.ended_at = Some(at);
                }
            }
        }
    }

    fn last_attempt(&mut self, call: &str) -> Option<&mut Attempt> {
        let index = *self.last_attempts.get(call)?;
        self.attempts.get_mut(index)
    }

    fn record_routed(&mut self, at: u64, line: RoutedLine) {
        let Some(chunk_ms) = line.part_ms else {
            // A plain call, for which no engines were planned.
            return;
        };
        if let Some(previous) = self.last_attempt(&line.call) {
            previous.ended_at.get_or_insert(at);
        }
        let others = line.read_at.as_deref().unwrap_or_default();
        let mut engines = vec![line.address];
        for other in others.split_whitespace() {
            if !engines.iter().any(|engine| engine == other) {
                engines.push(other.to_owned());
            }
        }
        self.last_attempts.insert(line.call, self.attempts.len());
        self.attempts.push(Attempt {
            engines,
            sent_at: at,
            chunk_ms,
            is_long: line.long,
            waited_ms: line.waited_ms,
            expected_ms: line.expected_ms,
            first_event_at: None,
            ended_at: None,
        });
    }

    /// Evaluates all lines recorded so far.
    pub fn report(&self) -> EngineReport {
        let names = self.attempts.iter().flat_map(|attempt| &attempt.engines);
        let names: BTreeSet<&str> = names.map(String::as_str).collect();
        let indices: HashMap<&str, usize> = (names.iter().enumerate())
            .map(|(index, name)| (*name, index))
            .collect();
        let (seconds, while_waiting) = self.seconds(&indices);
        EngineReport {
            engines: names.len(),
            seconds,
            while_waiting,
            estimates: self.estimates(),
        }
    }

    fn seconds(
        &self,
        indices: &HashMap<&str, usize>,
    ) -> (Vec<EngineSecond>, Option<EngineUtilization>) {
        let starts = self
            .attempts
            .iter()
            .map(|attempt| attempt.sent_at - attempt.waited_ms.min(attempt.sent_at));
        let Some(from) = starts.min() else {
            return (Vec::new(), None);
        };
        let ends = self
            .attempts
            .iter()
            .map(|attempt| attempt.ended_at.unwrap_or(attempt.blocked_until()));
        let until = ends.max().unwrap_or(from);
        let mut seconds: BTreeMap<u64, EngineSecond> = BTreeMap::new();
        let mut while_waiting = EngineUtilization::default();
        let mut queued_steps = 0_u64;
        let mut activities = vec![Activity::Idle; indices.len()];
        for at in (from..=until).step_by(STEP_MS as usize) {
            let queued = self.sample(at, indices, &mut activities);
            let second = (at - from) / ROW_MS;
            let row = seconds.entry(second).or_default();
            row.second = second;
            row.waiting += queued as f64 * STEP_MS as f64 / ROW_MS as f64;
            queued_steps += u64::from(queued > 0);
            for &activity in &activities {
                let share = 1.0 / indices.len() as f64;
                row.time
                    .add(activity, share * STEP_MS as f64 / ROW_MS as f64);
                if queued > 0 {
                    while_waiting.add(activity, share);
                }
            }
        }
        let factor = 1.0 / queued_steps as f64;
        let while_waiting = (queued_steps > 0).then(|| while_waiting.scaled(factor));
        let rounded = |row: EngineSecond| EngineSecond {
            time: row.time.scaled(1.0),
            waiting: rounded(row.waiting),
            ..row
        };
        (seconds.into_values().map(rounded).collect(), while_waiting)
    }

    /// Sets the activity of each engine at time `at`; returns the number of queued prompts.
    fn sample(
        &self,
        at: u64,
        indices: &HashMap<&str, usize>,
        activities: &mut [Activity],
    ) -> usize {
        activities.fill(Activity::Idle);
        let mut set = |engine: &str, activity: Activity| {
            let current = &mut activities[indices[engine]];
            *current = (*current).max(activity);
        };
        for attempt in &self.attempts {
            let (lead, all) = (&attempt.engines[..1], &attempt.engines[..]);
            let (engines, activity) = match attempt.phase(at) {
                Phase::Prefill => (all, Activity::Prefill),
                Phase::Blocked if attempt.is_long => (all, Activity::Blocked),
                Phase::Blocked | Phase::Decode => (lead, Activity::Decode),
                Phase::Inactive => continue,
            };
            for engine in engines {
                set(engine, activity);
            }
        }
        self.attempts
            .iter()
            .filter(|attempt| attempt.is_queued(at))
            .count()
    }

    fn estimates(&self) -> Vec<EngineEstimate> {
        let mut ratios: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
        for attempt in &self.attempts {
            let Some(first_event_at) = attempt.first_event_at.filter(|_| attempt.expected_ms > 0)
            else {
                continue;
            };
            let took = first_event_at.saturating_sub(attempt.sent_at) as f64;
            for engine in &attempt.engines {
                let engine_ratios = ratios.entry(engine).or_default();
                engine_ratios.push(took / attempt.expected_ms as f64);
            }
        }
        let median = |(engine, mut ratios): (&str, Vec<f64>)| {
            ratios.sort_by(f64::total_cmp);
            EngineEstimate {
                engine: engine.to_owned(),
                calls: ratios.len(),
                over_expected: ratios[ratios.len() / 2],
            }
        };
        let mut estimates: Vec<EngineEstimate> = (ratios.into_iter())
            .filter(|(_, ratios)| ratios.len() >= MIN_CALLS)
            .map(median)
            .collect();
        estimates.sort_by(|one, other| other.over_expected.total_cmp(&one.over_expected));
        estimates
    }
}
