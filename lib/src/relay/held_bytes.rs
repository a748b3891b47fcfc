//! Bytes that a box holds for slow readers, bounded by its memory limit.
//!
//! A box holds request bodies until their calls end, and response bytes until callers read them.
//! Each side gets a fixed share of the memory limit, so that slow callers leave room for request
//! bodies, and slow servers leave room for responses. The rest is for the program, its tables and
//! the buffers of the operating system.
//!
//! A request body that does not fit is rejected. Response bytes that do not fit wait, which stops
//! the read from their server. One response holds at most a small part of its side, and part of the
//! side is kept for readers that have read everything so far. If readers that read nothing use up
//! the side, those that have been stalled longest are evicted, and their connections closed.

use std::collections::HashMap;
use std::time::Duration;

use crate::time::Time;

/// Each side may hold this fraction of the memory limit.
const SIDE_FRACTION: u64 = 4;
/// One response may hold this fraction of its side, unless it holds nothing yet.
const READER_FRACTION: u64 = 64;
/// This fraction of the side of the callers is kept for readers that hold nothing yet.
const RESERVE_FRACTION: u64 = 4;
/// Largest chunk that may use the reserve.
const RESERVE_CHUNK: u64 = 64 << 10;

/// For whom bytes are held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Side {
    /// Response bytes, for callers to read.
    Callers,
    /// Request bodies, for servers to read.
    Servers,
}

impl Side {
    /// Name in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Callers => "callers",
            Self::Servers => "servers",
        }
    }
}

/// Bounds that follow from the memory limit of a box, in bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldByteLimits {
    /// Bound on each side.
    pub side: u64,
    /// Bound on the response bytes of one call.
    pub reader: u64,
}

impl HeldByteLimits {
    /// Bounds for a memory limit in bytes.
    pub const fn for_memory(memory: u64) -> Self {
        let side = memory / SIDE_FRACTION;
        Self {
            side,
            reader: side / READER_FRACTION,
        }
    }

    /// Largest total of responses that already hold bytes.
    const fn unreserved(&self) -> u64 {
        self.side - self.side / RESERVE_FRACTION
    }
}

/// Identifies a reader of a response within [`HeldBytes`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ReaderId(u64);

#[derive(Debug)]
struct Reader {
    held: u64,
    /// Time since which it has read nothing although bytes are held for it.
    unread_since: Time,
    /// It may be evicted once it has read nothing for this long, if others need its room.
    eviction_stall: Duration,
    is_evicted: bool,
}

/// Whether response bytes may be held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Hold {
    /// Counted as held, this many.
    Granted(u64),
    /// No room now.
    Wait,
}

/// Bytes held by one box.
#[derive(Debug, Default)]
pub struct HeldBytes {
    limits: Option<HeldByteLimits>,
    for_servers: u64,
    for_callers: u64,
    readers: HashMap<ReaderId, Reader>,
    opened: u64,
}

impl HeldBytes {
    /// Nothing held yet; without limits, everything is granted.
    pub fn new(limits: Option<HeldByteLimits>) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// Bounds, if the memory limit is known.
    pub const fn limits(&self) -> Option<HeldByteLimits> {
        self.limits
    }

    /// Bytes held for a side.
    pub const fn held(&self, side: Side) -> u64 {
        match side {
            Side::Callers => self.for_callers,
            Side::Servers => self.for_servers,
        }
    }

    /// Whether a new call could return a small response. If not, the readers that have been stalled
    /// longest are evicted.
    pub fn has_room_for_call(&mut self, now: Time) -> bool {
        let Some(limits) = self.limits else {
            return true;
        };
        let limit = limits
            .side
            .saturating_sub(RESERVE_CHUNK.min(limits.side / 2));
        let has_room = self.for_callers <= limit;
        if !has_room {
            self.evict(now, self.for_callers - limit);
        }
        has_room
    }

    /// Counts a request body, or more bytes of one, if there is room.
    pub fn try_hold_body(&mut self, bytes: u64) -> bool {
        let has_room = (self.limits).is_none_or(|limits| self.for_servers + bytes <= limits.side);
        if has_room {
            self.for_servers += bytes;
        }
        has_room
    }

    /// Releases bytes of a request body.
    pub const fn release_body(&mut self, bytes: u64) {
        self.for_servers -= bytes;
    }

    /// Registers the reader of a response, which may be evicted once it has read nothing for
    /// `eviction_stall`.
    pub fn open_reader(&mut self, now: Time, eviction_stall: Duration) -> ReaderId {
        self.opened += 1;
        let id = ReaderId(self.opened);
        let reader = Reader {
            held: 0,
            unread_since: now,
            eviction_stall,
            is_evicted: false,
        };
        self.readers.insert(id, reader);
        id
    }

    /// Removes a reader; everything held for it must have been released.
    pub fn close_reader(&mut self, id: ReaderId) {
        self.readers.remove(&id);
    }

    /// Counts response bytes for a reader if there is room. A reader that holds nothing may hold a
    /// chunk of any size, at most a whole side: the chunk can't be divided.
    pub fn try_hold_response(&mut self, now: Time, id: ReaderId, bytes: u64) -> Hold {
        let Some(limits) = self.limits else {
            return Hold::Granted(0);
        };
        let Some(reader) = self
            .readers
            .get_mut(&id)
            .filter(|reader| !reader.is_evicted)
        else {
            return Hold::Wait;
        };
        let is_first = reader.held == 0;
        let limit = if is_first && bytes <= RESERVE_CHUNK {
            limits.side
        } else {
            limits.unreserved()
        };
        let bytes = bytes.min(limit);
        if !is_first && reader.held + bytes > limits.reader {
            return Hold::Wait;
        }
        if self.for_callers + bytes > limit {
            let excess = self.for_callers + bytes - limit;
            self.evict(now, excess);
            return Hold::Wait;
        }
        if is_first {
            reader.unread_since = now;
        }
        reader.held += bytes;
        self.for_callers += bytes;
        Hold::Granted(bytes)
    }

    /// Releases response bytes that the reader has read, or that are discarded. A reader that reads
    /// again is no longer evicted.
    pub fn release_response(&mut self, now: Time, id: ReaderId, bytes: u64) {
        self.for_callers -= bytes;
        if let Some(reader) = self.readers.get_mut(&id) {
            reader.held -= bytes;
            reader.unread_since = now;
            reader.is_evicted = false;
        }
    }

    /// Whether the connection of a reader has to be closed to make room for others.
    pub fn is_evicted(&self, id: ReaderId) -> bool {
        self.readers
            .get(&id)
            .is_some_and(|reader| reader.is_evicted)
    }

    /// Bytes held for a reader.
    pub fn held_by(&self, id: ReaderId) -> u64 {
        self.readers.get(&id).map_or(0, |reader| reader.held)
    }

    /// Evicts the readers that have been stalled longest, until those evicted free `needed` bytes
    /// or no stalled reader is left.
    fn evict(&mut self, now: Time, needed: u64) {
        let evicted = self.readers.values().filter(|reader| reader.is_evicted);
        let mut freed: u64 = evicted.map(|reader| reader.held).sum();
        while freed < needed {
            let stalled = self.readers.values_mut().filter(|reader| {
                let stalled = now.since(reader.unread_since);
                !reader.is_evicted && reader.held > 0 && stalled >= reader.eviction_stall
            });
            let Some(worst) = stalled.min_by_key(|reader| reader.unread_since) else {
                return;
            };
            worst.is_evicted = true;
            freed += worst.held;
        }
    }
}
