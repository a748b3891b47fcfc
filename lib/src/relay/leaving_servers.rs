//! Servers that announced in a response that they are leaving.
//!
//! The state holds for every box and is final for an incarnation of a server, so a set of
//! incarnations without timestamps is gossiped between boxes. The server's entry in the store says
//! the same, but later, or not at all while the store is unavailable. That entry can be changed or
//! corrupted, and is handled by [`crate::relay::server_list`].

use std::collections::BTreeMap;
use std::time::Duration;

use crate::relay::request_fingerprint::ServerIncarnation;
use crate::relay::round_robin;
use crate::time::Time;

/// Maximum number of entries, at about 40 bytes each; the oldest entry is evicted first.
const MAX_SERVERS: usize = 4_096;
/// How long a new entry is included in every datagram: two heartbeats plus a lost one.
const ANNOUNCE_FOR: Duration = Duration::from_millis(1_200);
/// Maximum number of new entries per datagram, at up to 10 of its 1,400 bytes each.
const MAX_NEW_ROWS: usize = 32;
/// Maximum number of older entries per datagram, sent round-robin for boxes that were partitioned.
const MAX_REPEATED_ROWS: usize = 4;

/// Set of leaving servers.
#[derive(Debug, Default)]
pub struct LeavingServers {
    /// When this box learned of each.
    learned_at: BTreeMap<ServerIncarnation, Time>,
    /// Last new entry sent; the next datagram continues after it.
    new_cursor: Option<ServerIncarnation>,
    /// Last older entry sent.
    repeated_cursor: Option<ServerIncarnation>,
    /// Entries evicted because the set was full.
    evicted: u64,
}

impl LeavingServers {
    /// Adds a leaving server. Returns whether it was new.
    pub fn insert(&mut self, now: Time, incarnation: ServerIncarnation) -> bool {
        if self.learned_at.contains_key(&incarnation) {
            return false;
        }
        if self.learned_at.len() >= MAX_SERVERS {
            let oldest = self.learned_at.iter().min_by_key(|(_, at)| **at);
            if let Some(incarnation) = oldest.map(|(incarnation, _)| *incarnation) {
                self.learned_at.remove(&incarnation);
                self.evicted += 1;
            }
        }
        self.learned_at.insert(incarnation, now);
        true
    }

    /// Whether the server is leaving.
    pub fn contains(&self, incarnation: ServerIncarnation) -> bool {
        self.learned_at.contains_key(&incarnation)
    }

    /// Number of servers in the set.
    pub fn len(&self) -> usize {
        self.learned_at.len()
    }

    /// Whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.learned_at.is_empty()
    }

    /// Entries for the next datagram to other boxes: new ones, and some older ones round-robin.
    pub fn rows(&mut self, now: Time) -> Vec<ServerIncarnation> {
        let all = self
            .learned_at
            .iter()
            .map(|(incarnation, at)| (*incarnation, *at));
        let (new, repeated): (Vec<_>, Vec<_>) =
            all.partition(|(_, at)| now.since(*at) < ANNOUNCE_FOR);
        let mut rows = round_robin::next_in_rotation(&new, self.new_cursor, MAX_NEW_ROWS);
        self.new_cursor = rows.last().map(|(incarnation, _)| *incarnation);
        let repeated =
            round_robin::next_in_rotation(&repeated, self.repeated_cursor, MAX_REPEATED_ROWS);
        self.repeated_cursor = repeated.last().map(|(incarnation, _)| *incarnation);
        rows.extend(repeated);
        rows.into_iter()
            .map(|(incarnation, _)| incarnation)
            .collect()
    }

    /// All entries, for a box that has just started.
    pub fn all_rows(&self) -> Vec<ServerIncarnation> {
        self.learned_at.keys().copied().collect()
    }

    /// Number of entries evicted so far because the set was full.
    pub const fn evicted(&self) -> u64 {
        self.evicted
    }
}
