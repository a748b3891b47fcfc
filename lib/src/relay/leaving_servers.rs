//! Servers that announced in a response that they are leaving.
//!
//! Leaving applies to every box and is final for an incarnation of a server, so boxes gossip a set
//! of incarnations without timestamps. The server's entry in the store also says that it is
//! leaving, but later, or not at all while the store is unavailable. Unlike this set, the entry can
//! be changed or corrupted; it is handled by [`crate::relay::server_list`].

use std::collections::BTreeMap;
use std::time::Duration;

use crate::relay::request_fingerprint::ServerIncarnation;
use crate::relay::round_robin;
use crate::time::Time;

/// Maximum number of entries, at about 40 bytes each; the oldest entry is evicted first.
const MAX_SERVERS: usize = 4_096;
/// How long a new entry is included in every datagram: two heartbeats, and one that may be lost.
const GOSSIP_TIME: Duration = Duration::from_millis(1_200);
/// Maximum number of recent entries per datagram, at up to 10 of its 1,400 bytes each.
const MAX_RECENT_ROWS: usize = 32;
/// Maximum number of older entries per datagram, sent in rotation for boxes that were partitioned.
const MAX_ROTATED_ROWS: usize = 4;

/// Set of leaving servers.
#[derive(Debug, Default)]
pub struct LeavingServers {
    /// Leaving servers, and when this box learned of each.
    learned_at: BTreeMap<ServerIncarnation, Time>,
    /// Last recent entry sent; the next datagram continues after it.
    recent_cursor: Option<ServerIncarnation>,
    /// Last older entry sent.
    rotation_cursor: Option<ServerIncarnation>,
    /// Entries evicted for capacity.
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

    /// Entries for the next datagram to other boxes: recent ones, and some older ones in rotation.
    pub fn rows(&mut self, now: Time) -> Vec<ServerIncarnation> {
        let all = self
            .learned_at
            .iter()
            .map(|(incarnation, at)| (*incarnation, *at));
        let (recent, rotated): (Vec<_>, Vec<_>) =
            all.partition(|(_, at)| now.since(*at) < GOSSIP_TIME);
        let mut rows = round_robin::next_in_rotation(&recent, self.recent_cursor, MAX_RECENT_ROWS);
        self.recent_cursor = rows.last().map(|(incarnation, _)| *incarnation);
        let rotated =
            round_robin::next_in_rotation(&rotated, self.rotation_cursor, MAX_ROTATED_ROWS);
        self.rotation_cursor = rotated.last().map(|(incarnation, _)| *incarnation);
        rows.extend(rotated);
        rows.into_iter()
            .map(|(incarnation, _)| incarnation)
            .collect()
    }

    /// All entries, for a box that has just started.
    pub fn all_rows(&self) -> Vec<ServerIncarnation> {
        self.learned_at.keys().copied().collect()
    }

    /// Number of entries evicted so far for capacity.
    pub const fn evicted(&self) -> u64 {
        self.evicted
    }
}
