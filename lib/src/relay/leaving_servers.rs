//! Servers that say in their answers that they leave.
//!
//! It is true at every box and never over in the same incarnation of a server, so the lives alone are kept and
//! told, without an age. An entry in the store says it too, later or not at all while the store is
//! away; that one may be changed or spoiled and belongs to [`crate::relay::server_list`].

use std::collections::BTreeMap;
use std::time::Duration;

use crate::relay::turns;
use crate::relay::work_key::ServerLife;
use crate::time::Time;

/// Servers remembered, at some 40 bytes each; the one learned of first goes first.
const MOST_SERVERS: usize = 4_096;
/// How long one is told with each datagram: two heartbeats and a lost one.
const FRESH: Duration = Duration::from_millis(1_200);
/// New ones told with one datagram, at up to 10 bytes each, of 1,400.
const MOST_FRESH_ROWS: usize = 32;
/// Others told with one, each in turn, for boxes that were cut off.
const ROWS_IN_TURN: usize = 4;

/// Lives of servers that leave.
#[derive(Debug, Default)]
pub struct LeavingServers {
    /// When this box learned of each.
    learned: BTreeMap<ServerLife, Time>,
    /// Where the next datagram goes on, of the new ones.
    fresh_to: Option<ServerLife>,
    /// Where it goes on, of the others.
    told_to: Option<ServerLife>,
    /// Servers that went for want of room.
    evicted: u64,
}

impl LeavingServers {
    /// Notes that a server leaves; true if that is new here.
    pub fn insert(&mut self, now: Time, incarnation: ServerLife) -> bool {
        if self.learned.contains_key(&incarnation) {
            return false;
        }
        if self.learned.len() >= MOST_SERVERS {
            let first = self.learned.iter().min_by_key(|(_, at)| **at);
            if let Some(incarnation) = first.map(|(incarnation, _)| *incarnation) {
                self.learned.remove(&incarnation);
                self.evicted += 1;
            }
        }
        self.learned.insert(incarnation, now);
        true
    }

    /// Whether a server leaves.
    pub fn contains(&self, incarnation: ServerLife) -> bool {
        self.learned.contains_key(&incarnation)
    }

    /// Servers that are remembered.
    pub fn len(&self) -> usize {
        self.learned.len()
    }

    /// Whether none leaves.
    pub fn is_empty(&self) -> bool {
        self.learned.is_empty()
    }

    /// Those to tell other boxes of now: new ones, and a few of the others in turn.
    pub fn rows(&mut self, now: Time) -> Vec<ServerLife> {
        let all = self
            .learned
            .iter()
            .map(|(incarnation, at)| (*incarnation, *at));
        let (fresh, others): (Vec<_>, Vec<_>) = all.partition(|(_, at)| now.since(*at) < FRESH);
        let mut rows = turns::in_turn(&fresh, self.fresh_to, MOST_FRESH_ROWS);
        self.fresh_to = rows.last().map(|(incarnation, _)| *incarnation);
        let others = turns::in_turn(&others, self.told_to, ROWS_IN_TURN);
        self.told_to = others.last().map(|(incarnation, _)| *incarnation);
        rows.extend(others);
        rows.into_iter()
            .map(|(incarnation, _)| incarnation)
            .collect()
    }

    /// Everything, for a box that has just started.
    pub fn all_rows(&self) -> Vec<ServerLife> {
        self.learned.keys().copied().collect()
    }

    /// Servers that went for want of room so far.
    pub const fn evicted(&self) -> u64 {
        self.evicted
    }
}
