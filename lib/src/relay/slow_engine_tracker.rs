//! Which engines are slow, by their own word.
//!
//! An engine that is slow holds up each long prompt that it reads a part of, and the other engines
//! of the group with it. Who is late can't be told from outside: a late first event speaks against
//! all that read for it. So a box then asks each of them for its pace, which they report, and
//! leaves the slow ones out while others are not. It tells the other boxes, and one of them asks
//! again now and then until the engine has its usual pace; without that the word lapses.
//! What streams show would not do: engines that only read parts write none.

use std::collections::HashMap;
use std::time::Duration;

use crate::relay::engine_load::EngineKey;
use crate::time::Time;

/// A first event is late from this many times its estimate on, and the slack below. The estimate
/// is exceeded about as often as it is not; from half as much on, the model asks five times as
/// often and gains 0.005.
const LATE: u32 = 2;
/// What is added to that: a pass that was not foreseen, and the way of the answer.
const LATE_SLACK: Duration = Duration::from_millis(300);
/// Pace, as a multiple of the usual time, from which an engine is slow. Those that the users name take
/// about five times as long; other bounds were not tried.
const SLOW: f64 = 2.0;
/// Least time until a box asks the same engine again; each report is paid for.
pub const QUERY_INTERVAL: Duration = Duration::from_secs(1);
/// What is added to that before an engine is asked again, at most, as a part of it: of the boxes that
/// asked at once one asks first, and tells the others.
pub const QUERY_JITTER: f64 = 0.25;
/// How long a box tells of its own sign; datagrams go several times in that time.
const TOLD: Duration = Duration::from_millis(500);
/// How long a sign counts: until it has been asked for and told again.
const LIFETIME: Duration = Duration::from_millis(1_500);
/// Engines told of at once; the rest follows when their signs are newer.
const MOST_TOLD: usize = 32;
/// One in so many engines may be left out; if more are slow, the others would be overrun.
const LEAST_OF_SLOW: usize = 3;

/// When a first event that is expected after some time is late.
pub fn late_after(expected: Duration) -> Duration {
    expected * LATE + LATE_SLACK
}

/// Who says that an engine is slow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportOrigin {
    /// Another box of this box's hall.
    OwnHall,
    /// A box of another hall.
    OtherHall,
}

/// When an engine was last said to be slow.
#[derive(Debug, Clone, Copy, Default)]
struct SlowReports {
    /// By itself, to this box.
    own: Option<Time>,
    own_hall: Option<Time>,
    other_hall: Option<Time>,
}

impl SlowReports {
    fn told(&self) -> Option<Time> {
        self.own_hall.max(self.other_hall)
    }
}

/// What a box knows of slow engines.
#[derive(Debug, Default)]
pub struct SlowEngineTracker {
    signs: HashMap<EngineKey, SlowReports>,
    asked: HashMap<EngineKey, Time>,
}

fn is_newer(at: Option<Time>, now: Time, than: Duration) -> bool {
    at.is_some_and(|at| now.since(at) < than)
}

impl SlowEngineTracker {
    /// Whether an engine that a late call is read at should be asked now; it then counts as asked.
    pub fn should_query(&mut self, now: Time, engine: EngineKey) -> bool {
        let lately = is_newer(self.asked.get(&engine).copied(), now, QUERY_INTERVAL);
        let asks = !lately && !self.is_slow(now, engine);
        if asks {
            self.asked.insert(engine, now);
        }
        asks
    }

    /// Whether an engine that told this box of being slow should be asked again: unless another box
    /// did so lately.
    pub fn should_query_again(&mut self, now: Time, engine: EngineKey) -> bool {
        let signs = self.signs.get(&engine);
        let asks = signs.is_some_and(|signs| !is_newer(signs.told(), now, TOLD));
        if asks {
            self.asked.insert(engine, now);
        }
        asks
    }

    /// Takes what an engine reports, as a multiple of the usual time; true if it is slow.
    pub fn record_pace(&mut self, now: Time, engine: EngineKey, pace: f64) -> bool {
        let is_slow = pace >= SLOW;
        if is_slow {
            self.signs.entry(engine).or_default().own = Some(now);
        } else {
            self.signs.remove(&engine);
        }
        is_slow
    }

    /// Takes what another box tells.
    pub fn record_gossip(&mut self, now: Time, by: ReportOrigin, engines: &[EngineKey]) {
        for &engine in engines {
            let signs = self.signs.entry(engine).or_default();
            match by {
                ReportOrigin::OwnHall => signs.own_hall = Some(now),
                ReportOrigin::OtherHall => signs.other_hall = Some(now),
            }
        }
    }

    /// Engines that told this box of being slow, for the other boxes.
    pub fn own_reports(&self, now: Time) -> Vec<EngineKey> {
        self.recent(now, |signs| signs.own)
    }

    /// Engines that told a box of this hall, for the other halls.
    pub fn hall_reports(&self, now: Time) -> Vec<EngineKey> {
        self.recent(now, |signs| signs.own.max(signs.own_hall))
    }

    fn recent(&self, now: Time, at: impl Fn(&SlowReports) -> Option<Time>) -> Vec<EngineKey> {
        let newer = |(_, signs): &(&EngineKey, &SlowReports)| is_newer(at(signs), now, TOLD);
        let newer = self.signs.iter().filter(newer);
        newer.map(|(engine, _)| *engine).take(MOST_TOLD).collect()
    }

    /// Whether an engine is slow, as far as this box knows.
    pub fn is_slow(&self, now: Time, engine: EngineKey) -> bool {
        let signs = self.signs.get(&engine);
        signs.is_some_and(|signs| is_newer(signs.own.max(signs.told()), now, LIFETIME))
    }

    /// Leaves the slow ones of some engines out, unless they are too many.
    pub fn without_slow<T>(
        &self,
        now: Time,
        mut engines: Vec<T>,
        key: impl Fn(&T) -> EngineKey,
    ) -> Vec<T> {
        let is_slow = |engine: &T| self.is_slow(now, key(engine));
        let slow = engines.iter().filter(|engine| is_slow(engine)).count();
        if slow * LEAST_OF_SLOW <= engines.len() {
            engines.retain(|engine| !is_slow(engine));
        }
        engines
    }

    /// Forgets engines that are not listed any more.
    pub fn retain(&mut self, is_listed: impl Fn(EngineKey) -> bool) {
        self.signs.retain(|engine, _| is_listed(*engine));
        self.asked.retain(|engine, _| is_listed(*engine));
    }
}
