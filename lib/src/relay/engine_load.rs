//! Load of every engine, from this box's own calls and from the tables that other boxes gossip.
//!
//! Engines report their load late, and querying them is expensive. A box knows its own calls exactly
//! and frequently sends the load of all of them to the other boxes, as one table. Tables expire, so
//! the load that a failed box announced does not persist. In a large fleet one table with the hall's
//! total represents each other hall. Routing uses the sum over all tables.

use std::collections::HashMap;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::HallName;
use crate::ids::ServerName;
use crate::relay::stream_gaps::StreamClass;
use crate::time::Time;

/// Time after which a received table expires: at least three maximum gossip intervals.
pub const TABLE_TTL: Duration = Duration::from_millis(1_500);
/// A prefill whose end was not observed counts until it is overdue by this multiple of its estimated
/// time, plus [`OVERRUN_SLACK`]. Chunks queued behind others take several times their estimate; no
/// caller waits longer than this.
const OVERRUN_FACTOR: u32 = 10;
/// Allowance for engine passes that run before the prefill.
const OVERRUN_SLACK: Duration = Duration::from_secs(5);

/// Hash of an engine's server name, the same at every box.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EngineKey(pub u32);

impl EngineKey {
    /// Key of the server with this name.
    pub fn of(name: &ServerName) -> Self {
        let mut hasher = DefaultHasher::new();
        name.as_str().hash(&mut hasher);
        Self(hasher.finish() as u32)
    }
}

/// Load of one engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Remaining prefill, as milliseconds of this engine's time.
    pub prefill_ms: u32,
    /// Long prompts of which it prefills a chunk, counted until the first event shows that all
    /// chunks are done. Engines prefill the most recent chunk first, so a second long prompt would
    /// delay this chunk and with it all others of the first prompt.
    pub long_prefills: u16,
    /// Calls with strict streams that it leads, whether queued there, in prefill or in decode.
    pub short_calls: u16,
    /// Calls with tolerant streams that it leads.
    pub long_calls: u16,
    /// Memory taken by calls and prefill chunks, in kilotokens.
    pub memory_kilotokens: u32,
}

impl EngineLoad {
    /// Adds `other` to this load.
    pub const fn add(&mut self, other: Self) {
        self.prefill_ms += other.prefill_ms;
        self.long_prefills += other.long_prefills;
        self.short_calls += other.short_calls;
        self.long_calls += other.long_calls;
        self.memory_kilotokens += other.memory_kilotokens;
    }

    /// Whether all values are zero.
    pub const fn is_idle(&self) -> bool {
        self.prefill_ms == 0
            && self.long_prefills == 0
            && self.short_calls == 0
            && self.long_calls == 0
            && self.memory_kilotokens == 0
    }
}

/// Identifies work of this box until it ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct EngineWorkId(u64);

/// Part of a call that one engine executes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineWork {
    /// Estimated prefill time.
    pub prefill: Duration,
    /// Estimated time until the prefill starts.
    pub delay: Duration,
    /// Memory that it takes at the engine, in tokens.
    pub memory_tokens: u64,
    /// Whether the engine leads the call and decodes its stream; otherwise it only prefills a chunk.
    pub is_lead: bool,
    /// Whether the call counts as long.
    pub is_long: bool,
    /// How its stream shares the lead engine with prefill chunks.
    pub stream: StreamClass,
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    engine: EngineKey,
    work: EngineWork,
    /// Estimated end of the prefill.
    prefill_ends_at: Time,
    /// When it stops counting as in prefill, even if the end was not observed.
    expires_at: Time,
    is_prefilling: bool,
}

/// Last table received from another box or hall.
#[derive(Debug, Default)]
struct ReceivedTable {
    sequence: u64,
    incarnation: u64,
    received_at: Time,
    rows: Vec<(EngineKey, EngineLoad)>,
}

/// Engine load known to this box: its own calls and the tables of other boxes and halls.
#[derive(Debug, Default)]
pub struct EngineLoadTracker {
    next_id: u64,
    own: HashMap<EngineWorkId, Entry>,
    peers: HashMap<String, ReceivedTable>,
    halls: HashMap<HallName, ReceivedTable>,
}

impl ReceivedTable {
    /// Replaces the table if `newer` is newer; returns false and ignores it otherwise.
    fn update(&mut self, newer: Self) -> bool {
        let is_newer = self.incarnation != newer.incarnation || newer.sequence > self.sequence;
        if is_newer {
            *self = newer;
        }
        is_newer
    }

    fn is_live(&self, now: Time) -> bool {
        now.since(self.received_at) < TABLE_TTL
    }

    /// Adds its load to `table`, less the prefill done since it was received.
    fn add_to(&self, now: Time, table: &mut HashMap<EngineKey, EngineLoad>) {
        for &(engine, row) in &self.rows {
            let row = row.after(now.since(self.received_at));
            table.entry(engine).or_default().add(row);
        }
    }
}

impl EngineLoadTracker {
    /// Records work that this box sends to an engine.
    pub fn begin(&mut self, now: Time, engine: EngineKey, work: EngineWork) -> EngineWorkId {
        let id = EngineWorkId(self.next_id);
        self.next_id += 1;
        let prefill_ends_at = now + work.delay + work.prefill;
        let entry = Entry {
            engine,
            work,
            prefill_ends_at,
            expires_at: prefill_ends_at + work.prefill * OVERRUN_FACTOR + OVERRUN_SLACK,
            is_prefilling: true,
        };
        self.own.insert(id, entry);
        id
    }

    /// Records the end of the prefill, when the first token arrives.
    pub fn prefill_done(&mut self, id: EngineWorkId) {
        if let Some(entry) = self.own.get_mut(&id) {
            entry.is_prefilling = false;
        }
    }

    /// Removes work that has ended.
    pub fn end(&mut self, id: EngineWorkId) {
        self.own.remove(&id);
    }

    /// Stores another box's table; returns false and ignores it if it is older than the last one.
    pub fn update_peer_table(
        &mut self,
        now: Time,
        from: &str,
        incarnation: u64,
        sequence: u64,
        rows: Vec<(EngineKey, EngineLoad)>,
    ) -> bool {
        let table = ReceivedTable {
            sequence,
            incarnation,
            received_at: now,
            rows,
        };
        self.peers.entry(from.to_owned()).or_default().update(table)
    }

    /// Stores the total of another hall, whichever of its delegates sent it; returns false and
    /// ignores it if it is older than the last one from the same delegate.
    pub fn update_hall_table(
        &mut self,
        now: Time,
        hall: &HallName,
        incarnation: u64,
        sequence: u64,
        rows: Vec<(EngineKey, EngineLoad)>,
    ) -> bool {
        let table = ReceivedTable {
            sequence,
            incarnation,
            received_at: now,
            rows,
        };
        self.halls.entry(hall.clone()).or_default().update(table)
    }

    /// Load by engine from this box's calls, to send to other boxes.
    pub fn own_table(&self, now: Time) -> HashMap<EngineKey, EngineLoad> {
        let mut table: HashMap<EngineKey, EngineLoad> = HashMap::new();
        for entry in self.own.values() {
            let row = table.entry(entry.engine).or_default();
            row.add(entry.load_at(now));
        }
        table.retain(|_, row| !row.is_idle());
        table
    }

    /// Total load by engine.
    pub fn table(&self, now: Time) -> HashMap<EngineKey, EngineLoad> {
        let mut table = self.own_table(now);
        let peers = self.peers.values().chain(self.halls.values());
        for received in peers.filter(|received| received.is_live(now)) {
            received.add_to(now, &mut table);
        }
        table
    }

    /// Load by engine from this box's hall, to send to other halls. `is_local` states whether the
    /// named box is in this hall.
    pub fn hall_table(
        &self,
        now: Time,
        is_local: impl Fn(&str) -> bool,
    ) -> HashMap<EngineKey, EngineLoad> {
        let mut table = self.own_table(now);
        for (name, peer) in &self.peers {
            if peer.is_live(now) && is_local(name) {
                peer.add_to(now, &mut table);
            }
        }
        table.retain(|_, row| !row.is_idle());
        table
    }
}

impl EngineLoad {
    /// The load after some time: prefill has progressed meanwhile.
    const fn after(self, elapsed: Duration) -> Self {
        Self {
            prefill_ms: self.prefill_ms.saturating_sub(elapsed.as_millis() as u32),
            ..self
        }
    }
}

impl Entry {
    /// Remaining prefill time by the estimate. Once overdue, it is assumed to take as long again as
    /// it is overdue.
    ///
    /// Never more than the whole chunk: chunks queued ahead have entries of their own. Counting them
    /// in each entry behind them, too, reported 300 s of prefill for a backlog of 2 s.
    fn remaining_prefill(&self, now: Time) -> Duration {
        let overdue = now.since(self.prefill_ends_at);
        let remaining = if overdue.is_zero() {
            now.until(self.prefill_ends_at)
        } else {
            overdue
        };
        remaining.min(self.work.prefill)
    }

    fn load_at(&self, now: Time) -> EngineLoad {
        let is_prefilling = self.is_prefilling && now < self.expires_at;
        let remaining = if is_prefilling {
            self.remaining_prefill(now)
        } else {
            Duration::ZERO
        };
        let is_lead = self.work.is_lead;
        EngineLoad {
            prefill_ms: remaining.as_millis() as u32,
            long_prefills: u16::from(is_prefilling && self.work.is_long),
            short_calls: u16::from(is_lead && self.work.stream == StreamClass::Strict),
            long_calls: u16::from(is_lead && self.work.stream == StreamClass::Tolerant),
            memory_kilotokens: (self.work.memory_tokens / 1_000) as u32,
        }
    }
}
