//! What every engine is doing, from this box's own calls and from what other boxes tell.
//!
//! Engines report late, and asking them costs. A box knows its own calls exactly, and each
//! box sends the others its whole table often; a table has a incarnation, so nothing that a dead
//! box announced stays. Where boxes are many, those of another hall are known by one table that
//! holds the sum of theirs. The sum over all tables is what routing goes by.

use std::collections::HashMap;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::HallName;
use crate::ids::ServerName;
use crate::time::Time;

/// A box's table counts this long; three of the longest intervals between two of them.
pub const TABLE_TTL: Duration = Duration::from_millis(1_500);
/// Reading whose end was not seen counts until it is late by this many times its length, and a
/// bit more: parts that wait behind others take several times as long, and no caller waits
/// beyond.
const OVERRUN: u32 = 10;
/// What is added to that, for passes that the reading waits for.
const OVERRUN_SLACK: Duration = Duration::from_secs(5);

/// Short stable key of an engine, the same at every box.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EngineKey(pub u32);

impl EngineKey {
    /// The key of a server.
    pub fn of(name: &ServerName) -> Self {
        let mut hasher = DefaultHasher::new();
        name.as_str().hash(&mut hasher);
        Self(hasher.finish() as u32)
    }
}

/// Work at one engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Reading still to do, in milliseconds of that engine alone.
    pub prefill_ms: u32,
    /// Long prompts of which it reads a part, until the first event shows that all parts are
    /// over: an engine reads the part that came last first, so a second one would hold up both
    /// that part and all others of the first prompt.
    pub long_prefills: u16,
    /// Short calls there, whether they read, wait or write.
    pub short_calls: u16,
    /// Long calls that are led there.
    pub long_calls: u16,
    /// Memory of the calls that are led there, in kilotokens.
    pub memory_kilotokens: u32,
}

impl EngineLoad {
    /// Adds another box's work.
    pub const fn add(&mut self, other: Self) {
        self.prefill_ms += other.prefill_ms;
        self.long_prefills += other.long_prefills;
        self.short_calls += other.short_calls;
        self.long_calls += other.long_calls;
        self.memory_kilotokens += other.memory_kilotokens;
    }

    /// Whether there is any.
    pub const fn is_idle(&self) -> bool {
        self.prefill_ms == 0
            && self.long_prefills == 0
            && self.short_calls == 0
            && self.long_calls == 0
            && self.memory_kilotokens == 0
    }
}

/// Identifies a piece of own work until it ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct EngineWorkId(u64);

/// What a call does at one engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineWork {
    /// Reading there.
    pub prefill: Duration,
    /// Until the engine begins with it.
    pub delay: Duration,
    /// Memory that it takes there, in tokens.
    pub memory_tokens: u64,
    /// Whether the engine leads the call, or only reads a part.
    pub is_lead: bool,
    /// Whether the call is long.
    pub is_long: bool,
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    engine: EngineKey,
    work: EngineWork,
    /// When its reading should be over.
    prefill_ends_at: Time,
    /// When it no longer counts as reading even if its end was not seen.
    expires_at: Time,
    is_prefilling: bool,
}

#[derive(Debug, Default)]
struct PeerTable {
    sequence: u64,
    incarnation: u64,
    received_at: Time,
    rows: Vec<(EngineKey, EngineLoad)>,
}

/// All work that this box knows of.
#[derive(Debug, Default)]
pub struct EngineLoadTracker {
    next: u64,
    own: HashMap<EngineWorkId, Entry>,
    peers: HashMap<String, PeerTable>,
    halls: HashMap<HallName, PeerTable>,
}

impl PeerTable {
    /// Takes a newer table; false if it is older, and ignored.
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

    /// Adds its work as it is by now.
    fn add_to(&self, now: Time, table: &mut HashMap<EngineKey, EngineLoad>) {
        for &(engine, row) in &self.rows {
            let row = row.after(now.since(self.received_at));
            table.entry(engine).or_default().add(row);
        }
    }
}

impl EngineLoadTracker {
    /// Records own work sent to an engine.
    pub fn begin(&mut self, now: Time, engine: EngineKey, work: EngineWork) -> EngineWorkId {
        let id = EngineWorkId(self.next);
        self.next += 1;
        let prefill_ends_at = now + work.delay + work.prefill;
        let entry = Entry {
            engine,
            work,
            prefill_ends_at,
            expires_at: prefill_ends_at + work.prefill * OVERRUN + OVERRUN_SLACK,
            is_prefilling: true,
        };
        self.own.insert(id, entry);
        id
    }

    /// Records that its reading is over: the first token has come.
    pub fn prefill_done(&mut self, id: EngineWorkId) {
        if let Some(entry) = self.own.get_mut(&id) {
            entry.is_prefilling = false;
        }
    }

    /// Records its end.
    pub fn end(&mut self, id: EngineWorkId) {
        self.own.remove(&id);
    }

    /// Takes another box's table; false if it is older than the last, and ignored.
    pub fn update_peer_table(
        &mut self,
        now: Time,
        from: &str,
        incarnation: u64,
        sequence: u64,
        rows: Vec<(EngineKey, EngineLoad)>,
    ) -> bool {
        let table = PeerTable {
            sequence,
            incarnation,
            received_at: now,
            rows,
        };
        self.peers.entry(from.to_owned()).or_default().update(table)
    }

    /// Takes the table of all boxes of another hall, whichever box speaks for it; false if it is
    /// older than the last of the same box, and ignored.
    pub fn update_hall_table(
        &mut self,
        now: Time,
        hall: &HallName,
        incarnation: u64,
        sequence: u64,
        rows: Vec<(EngineKey, EngineLoad)>,
    ) -> bool {
        let table = PeerTable {
            sequence,
            incarnation,
            received_at: now,
            rows,
        };
        self.halls.entry(hall.clone()).or_default().update(table)
    }

    /// Own work by engine, for the other boxes.
    pub fn own_table(&self, now: Time) -> HashMap<EngineKey, EngineLoad> {
        let mut table: HashMap<EngineKey, EngineLoad> = HashMap::new();
        for entry in self.own.values() {
            let row = table.entry(entry.engine).or_default();
            row.add(entry.load_at(now));
        }
        table.retain(|_, row| !row.is_idle());
        table
    }

    /// All work by engine.
    pub fn table(&self, now: Time) -> HashMap<EngineKey, EngineLoad> {
        let mut table = self.own_table(now);
        let peers = self.peers.values().chain(self.halls.values());
        for peer in peers.filter(|peer| peer.is_live(now)) {
            peer.add_to(now, &mut table);
        }
        table
    }

    /// Work of this box and of those that are in its hall, for the other halls.
    pub fn hall_table(
        &self,
        now: Time,
        is_near: impl Fn(&str) -> bool,
    ) -> HashMap<EngineKey, EngineLoad> {
        let mut table = self.own_table(now);
        for (name, peer) in &self.peers {
            if peer.is_live(now) && is_near(name) {
                peer.add_to(now, &mut table);
            }
        }
        table.retain(|_, row| !row.is_idle());
        table
    }
}

impl EngineLoad {
    /// The same work a while later: reading goes on meanwhile.
    const fn after(self, passed: Duration) -> Self {
        Self {
            prefill_ms: self.prefill_ms.saturating_sub(passed.as_millis() as u32),
            ..self
        }
    }
}

impl Entry {
    /// By the estimate; past it, as long again as it is late, up to the whole part.
    ///
    /// Never more than the part itself: what is read before it has entries of its own, and
    /// counting that again in each one told of 300 s of reading in a jam of two seconds.
    fn remaining_prefill(&self, now: Time) -> Duration {
        let late = now.since(self.prefill_ends_at);
        let left = if late.is_zero() {
            now.until(self.prefill_ends_at)
        } else {
            late
        };
        left.min(self.work.prefill)
    }

    fn load_at(&self, now: Time) -> EngineLoad {
        let reads = self.is_prefilling && now < self.expires_at;
        let left = if reads {
            self.remaining_prefill(now)
        } else {
            Duration::ZERO
        };
        let is_lead = self.work.is_lead;
        EngineLoad {
            prefill_ms: left.as_millis() as u32,
            long_prefills: u16::from(reads && self.work.is_long),
            short_calls: u16::from(is_lead && !self.work.is_long),
            long_calls: u16::from(is_lead && self.work.is_long),
            memory_kilotokens: (self.work.memory_tokens / 1_000) as u32,
        }
    }
}
