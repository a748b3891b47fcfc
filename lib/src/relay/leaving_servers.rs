//! Servers that say in their answers that they leave.
//!
//! It is true at every box and never over in the same life of a server, so the lives alone are kept and
//! told, without an age. An entry in the store says it too, later or not at all while the store is
//! away; that one may be changed or spoiled and belongs to [`crate::relay::server_list`].

use std::collections::BTreeMap;
use std::time::Duration;

use crate::relay::request_fingerprint::ServerIncarnation;
use crate::relay::round_robin;
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
    learned: BTreeMap<ServerIncarnation, Time>,
    /// Where the next datagram goes on, of the new ones.
    fresh_to: Option<ServerIncarnation>,
    /// Where it goes on, of the others.
    told_to: Option<ServerIncarnation>,
    /// Servers that went for want of room.
    evicted: u64,
}

impl LeavingServers {
    /// Notes that a server leaves; true if that is new here.
    pub fn insert(&mut self, now: Time, life: ServerIncarnation) -> bool {
        if self.learned.contains_key(&life) {
            return false;
        }
        if self.learned.len() >= MOST_SERVERS {
            let first = self.learned.iter().min_by_key(|(_, at)| **at);
            if let Some(life) = first.map(|(life, _)| *life) {
                self.learned.remove(&life);
                self.evicted += 1;
            }
        }
        self.learned.insert(life, now);
        true
    }

    /// Whether a server leaves.
    pub fn contains(&self, life: ServerIncarnation) -> bool {
        self.learned.contains_key(&life)
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
    pub fn rows(&mut self, now: Time) -> Vec<ServerIncarnation> {
        let all = self.learned.iter().map(|(life, at)| (*life, *at));
        let (fresh, others): (Vec<_>, Vec<_>) = all.partition(|(_, at)| now.since(*at) < FRESH);
        let mut rows = round_robin::next_in_rotation(&fresh, self.fresh_to, MOST_FRESH_ROWS);
        self.fresh_to = rows.last().map(|(life, _)| *life);
        let others = round_robin::next_in_rotation(&others, self.told_to, ROWS_IN_TURN);
        self.told_to = others.last().map(|(life, _)| *life);
        rows.extend(others);
        rows.into_iter().map(|(life, _)| life).collect()
    }

    /// Everything, for a box that has just started.
    pub fn all_rows(&self) -> Vec<ServerIncarnation> {
        self.learned.keys().copied().collect()
    }

    /// Servers that went for want of room so far.
    pub const fn evicted(&self) -> u64 {
        self.evicted
    }
}
