//! What engines did from moment to moment, by the lines that boxes leave of calls.
//!
//! A line says when a call was sent to which engines, what each was to read, and how long it had
//! waited; others say when its first event came and when it ended. From these follows, for each
//! engine and moment, whether it read, was held by a prompt whose other parts were not over,
//! only wrote, or was unused, and how much of that while prompts waited. What an engine reads is
//! taken as the operators' figures state it, from the moment on at which it was sent.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use serde::Deserialize;
use serde::Serialize;

/// Between two looks at all engines; parts take some tens of milliseconds at least.
const STEP_MS: u64 = 20;
/// Milliseconds of a row.
const ROW_MS: u64 = 1_000;
/// Calls after which an engine's first events say something of it.
const LEAST_CALLS: usize = 3;

/// A line of a call that was sent to engines.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct RoutedLine {
    /// The call's id.
    pub call: String,
    /// The engine that leads.
    pub address: String,
    /// Engines that read parts, where there are several.
    pub read_at: Option<String>,
    /// What each reads, in milliseconds.
    pub part_ms: Option<u64>,
    /// Whether it is a long prompt: its engines read for no other one until its first event.
    pub long: bool,
    /// How long it waited for engines.
    pub waited_ms: u64,
    /// What its first event was expected to take from now.
    pub expected_ms: u64,
}

/// What a line tells.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EngineLine {
    /// A call was sent.
    Routed(RoutedLine),
    /// Its first event came.
    FirstEvent {
        /// The call's id.
        call: String,
    },
    /// It ended.
    Ended {
        /// The call's id.
        call: String,
    },
}

#[derive(Debug)]
struct Run {
    engines: Vec<String>,
    sent: u64,
    part_ms: u64,
    is_long: bool,
    waited_ms: u64,
    expected_ms: u64,
    first_event: Option<u64>,
    ended: Option<u64>,
}

impl Run {
    fn held_until(&self) -> u64 {
        let known = self.first_event.or(self.ended);
        known.unwrap_or(self.sent + self.part_ms)
    }

    fn phase(&self, at: u64) -> Phase {
        match at {
            at if at < self.sent => Phase::Elsewhere,
            at if at < self.held_until().min(self.sent + self.part_ms) => Phase::Reads,
            at if at < self.held_until() => Phase::Held,
            at if self.ended.is_some_and(|ended| at < ended) => Phase::Writes,
            _ => Phase::Elsewhere,
        }
    }

    fn is_waiting(&self, at: u64) -> bool {
        (self.sent.saturating_sub(self.waited_ms)..self.sent).contains(&at)
    }
}

/// Where a run is at one moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Not sent yet, or over.
    Elsewhere,
    /// Its parts are read, as the operators' figures state it.
    Reads,
    /// They should be over, but the first event is not here.
    Held,
    /// Its events come.
    Writes,
}

/// What an engine does at one moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Doing {
    Unused,
    Writes,
    Held,
    Reads,
}

/// Shares of the engines' time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct EngineUtilization {
    /// Reading.
    pub reads: f64,
    /// Read its part, but the first event of that prompt is not here.
    pub held: f64,
    /// Only writing.
    pub writes: f64,
    /// Unused.
    pub unused: f64,
}

/// To three decimals, which is more than the steps tell.
fn rounded(value: f64) -> f64 {
    (value * 1e3).round() / 1e3
}

impl EngineUtilization {
    fn scaled(self, by: f64) -> Self {
        Self {
            reads: rounded(self.reads * by),
            held: rounded(self.held * by),
            writes: rounded(self.writes * by),
            unused: rounded(self.unused * by),
        }
    }

    fn add(&mut self, doing: Doing, share: f64) {
        let part = match doing {
            Doing::Reads => &mut self.reads,
            Doing::Held => &mut self.held,
            Doing::Writes => &mut self.writes,
            Doing::Unused => &mut self.unused,
        };
        *part += share;
    }
}

/// One second.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct EngineSecond {
    /// Seconds since the first line.
    pub second: u64,
    /// What the engines did.
    #[serde(flatten)]
    pub time: EngineUtilization,
    /// Prompts that waited, in the mean.
    pub waiting: f64,
}

/// An engine's first events against their estimates.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct EngineEstimate {
    /// The engine.
    pub engine: String,
    /// Calls that it read for.
    pub calls: usize,
    /// Time to the first event, as a multiple of the estimate, in the median.
    pub over_expected: f64,
}

/// What all lines tell.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct EngineReport {
    /// Engines that any line names.
    pub engines: usize,
    /// By second.
    pub seconds: Vec<EngineSecond>,
    /// Over the moments at which prompts waited; none if they never did.
    pub while_waiting: Option<EngineUtilization>,
    /// Engines, those that are furthest over their estimates first.
    pub estimates: Vec<EngineEstimate>,
}

/// Adds lines up.
#[derive(Debug, Default)]
pub struct EngineLog {
    runs: Vec<Run>,
    last_of: HashMap<String, usize>,
}

impl EngineLog {
    /// Takes a line that was written at a time, in milliseconds of any epoch. Lines of one box come
    /// in the order of their times; those of several may be mixed.
    pub fn record(&mut self, at: u64, line: EngineLine) {
        match line {
            EngineLine::Routed(line) => self.routed(at, line),
            EngineLine::FirstEvent { call } => {
                if let Some(run) = self.last_run(&call) {
                    run.first_event.get_or_insert(at);
                }
            }
            EngineLine::Ended { call } => {
                if let Some(run) = self.last_run(&call) {
                    run.ended = Some(at);
                }
            }
        }
    }

    fn last_run(&mut self, call: &str) -> Option<&mut Run> {
        let at = *self.last_of.get(call)?;
        self.runs.get_mut(at)
    }

    fn routed(&mut self, at: u64, line: RoutedLine) {
        let Some(part_ms) = line.part_ms else {
            // A plain call: no engine reads for it.
            return;
        };
        if let Some(before) = self.last_run(&line.call) {
            before.ended.get_or_insert(at);
        }
        let others = line.read_at.as_deref().unwrap_or_default();
        let mut engines = vec![line.address];
        for other in others.split_whitespace() {
            if !engines.iter().any(|engine| engine == other) {
                engines.push(other.to_owned());
            }
        }
        self.last_of.insert(line.call, self.runs.len());
        self.runs.push(Run {
            engines,
            sent: at,
            part_ms,
            is_long: line.long,
            waited_ms: line.waited_ms,
            expected_ms: line.expected_ms,
            first_event: None,
            ended: None,
        });
    }

    /// What the lines tell together.
    pub fn report(&self) -> EngineReport {
        let names = self.runs.iter().flat_map(|run| &run.engines);
        let names: BTreeSet<&str> = names.map(String::as_str).collect();
        let numbers: HashMap<&str, usize> = (names.iter().enumerate())
            .map(|(at, name)| (*name, at))
            .collect();
        let (seconds, while_waiting) = self.seconds(&numbers);
        EngineReport {
            engines: names.len(),
            seconds,
            while_waiting,
            estimates: self.estimates(),
        }
    }

    fn seconds(
        &self,
        numbers: &HashMap<&str, usize>,
    ) -> (Vec<EngineSecond>, Option<EngineUtilization>) {
        let begins = self
            .runs
            .iter()
            .map(|run| run.sent - run.waited_ms.min(run.sent));
        let Some(from) = begins.min() else {
            return (Vec::new(), None);
        };
        let ends = self
            .runs
            .iter()
            .map(|run| run.ended.unwrap_or(run.held_until()));
        let until = ends.max().unwrap_or(from);
        let mut seconds: BTreeMap<u64, EngineSecond> = BTreeMap::new();
        let mut while_waiting = EngineUtilization::default();
        let mut waiting_steps = 0_u64;
        let mut doing = vec![Doing::Unused; numbers.len()];
        for at in (from..=until).step_by(STEP_MS as usize) {
            let waiting = self.look(at, numbers, &mut doing);
            let second = (at - from) / ROW_MS;
            let row = seconds.entry(second).or_default();
            row.second = second;
            row.waiting += waiting as f64 * STEP_MS as f64 / ROW_MS as f64;
            waiting_steps += u64::from(waiting > 0);
            for &doing in &doing {
                let share = 1.0 / numbers.len() as f64;
                row.time.add(doing, share * STEP_MS as f64 / ROW_MS as f64);
                if waiting > 0 {
                    while_waiting.add(doing, share);
                }
            }
        }
        let mean = 1.0 / waiting_steps as f64;
        let while_waiting = (waiting_steps > 0).then(|| while_waiting.scaled(mean));
        let rounded = |row: EngineSecond| EngineSecond {
            time: row.time.scaled(1.0),
            waiting: rounded(row.waiting),
            ..row
        };
        (seconds.into_values().map(rounded).collect(), while_waiting)
    }

    /// What each engine does at a moment; gives back how many prompts wait.
    fn look(&self, at: u64, numbers: &HashMap<&str, usize>, doing: &mut [Doing]) -> usize {
        doing.fill(Doing::Unused);
        let mut note = |engine: &str, what: Doing| {
            let engine = &mut doing[numbers[engine]];
            *engine = (*engine).max(what);
        };
        for run in &self.runs {
            let (first, all) = (&run.engines[..1], &run.engines[..]);
            let (engines, what) = match run.phase(at) {
                Phase::Reads => (all, Doing::Reads),
                Phase::Held if run.is_long => (all, Doing::Held),
                Phase::Held | Phase::Writes => (first, Doing::Writes),
                Phase::Elsewhere => continue,
            };
            for engine in engines {
                note(engine, what);
            }
        }
        self.runs.iter().filter(|run| run.is_waiting(at)).count()
    }

    fn estimates(&self) -> Vec<EngineEstimate> {
        let mut ratios: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
        for run in &self.runs {
            let Some(first_event) = run.first_event.filter(|_| run.expected_ms > 0) else {
                continue;
            };
            let took = first_event.saturating_sub(run.sent) as f64;
            for engine in &run.engines {
                let of = ratios.entry(engine).or_default();
                of.push(took / run.expected_ms as f64);
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
            .filter(|(_, ratios)| ratios.len() >= LEAST_CALLS)
            .map(median)
            .collect();
        estimates.sort_by(|one, other| other.over_expected.total_cmp(&one.over_expected));
        estimates
    }
}
