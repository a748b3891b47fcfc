//! Tracks which engines report that they are slow.
//!
//! A slow engine delays every long prompt of which it prefills a chunk, and with it the other engines
//! that prefill the prompt. A late first event does not show which of them is slow, and neither do
//! the events that follow, since engines that only prefill chunks produce none. So when a first event
//! is late, a box queries each of the call's engines for its pace and excludes the slow ones while
//! enough others remain. Reports of slow engines are gossiped, and one box repeats the query until
//! the engine is back at its usual pace. Without renewal a report expires.

use std::collections::HashMap;
use std::time::Duration;

use crate::relay::engine_load::EngineKey;
use crate::time::Time;

/// A first event is late after this multiple of its estimate, plus [`LATE_SLACK`]. Estimates are
/// exceeded about half of the time; in the simulation, half this factor causes five times as many
/// queries and raises the worth of a run by only 0.005.
const LATE_FACTOR: u32 = 2;
/// Allows for a pass that was not foreseen and for the network latency of the response.
const LATE_SLACK: Duration = Duration::from_millis(300);
/// Pace, as a multiple of the usual time, from which an engine counts as slow. The slow engines that
/// users report take about five times as long.
const SLOW_PACE: f64 = 2.0;
/// Minimum interval between queries by one box to the same engine; each query has a cost.
pub const QUERY_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum delay that is added at random to [`QUERY_INTERVAL`] before a query is repeated, as a
/// fraction of it. Of the boxes that queried at the same time, one repeats it first and informs the
/// others.
pub const QUERY_JITTER: f64 = 0.25;
/// How long a report is gossiped; several datagrams are sent in that time.
const GOSSIP_WINDOW: Duration = Duration::from_millis(500);
/// How long a report is valid: long enough to query the engine again and gossip the result.
const REPORT_TTL: Duration = Duration::from_millis(1_500);
/// Maximum number of engines per datagram; the others follow once their reports are renewed.
const MAX_GOSSIPED: usize = 32;
/// At most one in this many engines is excluded; beyond that the others would be overloaded.
const ENGINES_PER_EXCLUDED: usize = 3;

/// Time after which a first event is late, given its expected time.
pub fn late_after(expected: Duration) -> Duration {
    expected * LATE_FACTOR + LATE_SLACK
}

/// Origin of a gossiped report that an engine is slow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportOrigin {
    /// Another box of the same hall.
    OwnHall,
    /// A box of another hall.
    OtherHall,
}

/// When an engine was last reported as slow.
#[derive(Debug, Clone, Copy, Default)]
struct SlowReports {
    /// By the engine, to this box.
    own: Option<Time>,
    /// By another box of this hall.
    own_hall: Option<Time>,
    /// By a box of another hall.
    other_hall: Option<Time>,
}

impl SlowReports {
    fn last_gossip(&self) -> Option<Time> {
        self.own_hall.max(self.other_hall)
    }
}

/// Reports of slow engines and the queries that this box made.
#[derive(Debug, Default)]
pub struct SlowEngineTracker {
    reports: HashMap<EngineKey, SlowReports>,
    queried: HashMap<EngineKey, Time>,
}

fn is_recent(at: Option<Time>, now: Time, window: Duration) -> bool {
    at.is_some_and(|at| now.since(at) < window)
}

impl SlowEngineTracker {
    /// Whether to query an engine that prefills a late call. If so, records the query.
    pub fn should_query(&mut self, now: Time, engine: EngineKey) -> bool {
        let was_queried = is_recent(self.queried.get(&engine).copied(), now, QUERY_INTERVAL);
        let should_query = !was_queried && !self.is_slow(now, engine);
        if should_query {
            self.queried.insert(engine, now);
        }
        should_query
    }

    /// Whether to repeat the query of an engine that reported to this box that it is slow: unless
    /// another box has done so recently. If so, records the query.
    pub fn should_query_again(&mut self, now: Time, engine: EngineKey) -> bool {
        let reports = self.reports.get(&engine);
        let should_query =
            reports.is_some_and(|reports| !is_recent(reports.last_gossip(), now, GOSSIP_WINDOW));
        if should_query {
            self.queried.insert(engine, now);
        }
        should_query
    }

    /// Records the pace that an engine reports, as a multiple of the usual time. Returns whether it
    /// is slow.
    pub fn record_pace(&mut self, now: Time, engine: EngineKey, pace: f64) -> bool {
        let is_slow = pace >= SLOW_PACE;
        if is_slow {
            self.reports.entry(engine).or_default().own = Some(now);
        } else {
            self.reports.remove(&engine);
        }
        is_slow
    }

    /// Records slow engines gossiped by another box.
    pub fn record_gossip(&mut self, now: Time, origin: ReportOrigin, engines: &[EngineKey]) {
        for &engine in engines {
            let reports = self.reports.entry(engine).or_default();
            match origin {
                ReportOrigin::OwnHall => reports.own_hall = Some(now),
                ReportOrigin::OtherHall => reports.other_hall = Some(now),
            }
        }
    }

    /// Engines that recently reported to this box that they are slow, to gossip to other boxes.
    pub fn own_reports(&self, now: Time) -> Vec<EngineKey> {
        self.recent_reports(now, |reports| reports.own)
    }

    /// Engines that recently reported to any box of this hall, to gossip to other halls.
    pub fn hall_reports(&self, now: Time) -> Vec<EngineKey> {
        self.recent_reports(now, |reports| reports.own.max(reports.own_hall))
    }

    fn recent_reports(
        &self,
        now: Time,
        at: impl Fn(&SlowReports) -> Option<Time>,
    ) -> Vec<EngineKey> {
        let is_in_window =
            |(_, reports): &(&EngineKey, &SlowReports)| is_recent(at(reports), now, GOSSIP_WINDOW);
        let recent = self.reports.iter().filter(is_in_window);
        recent
            .map(|(engine, _)| *engine)
            .take(MAX_GOSSIPED)
            .collect()
    }

    /// Whether an engine counts as slow: a report from any source is still valid.
    pub fn is_slow(&self, now: Time, engine: EngineKey) -> bool {
        let reports = self.reports.get(&engine);
        reports.is_some_and(|reports| {
            is_recent(reports.own.max(reports.last_gossip()), now, REPORT_TTL)
        })
    }

    /// Removes slow engines from `engines`, unless that would exclude more than one in
    /// `ENGINES_PER_EXCLUDED`.
    pub fn without_slow<T>(
        &self,
        now: Time,
        mut engines: Vec<T>,
        key: impl Fn(&T) -> EngineKey,
    ) -> Vec<T> {
        let is_slow = |engine: &T| self.is_slow(now, key(engine));
        let slow = engines.iter().filter(|engine| is_slow(engine)).count();
        if slow * ENGINES_PER_EXCLUDED <= engines.len() {
            engines.retain(|engine| !is_slow(engine));
        }
        engines
    }

    /// Removes the state of engines that are no longer listed.
    pub fn retain(&mut self, is_listed: impl Fn(EngineKey) -> bool) {
        self.reports.retain(|engine, _| is_listed(*engine));
        self.queried.retain(|engine, _| is_listed(*engine));
    }
}
