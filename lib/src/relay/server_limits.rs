//! Call limits stated by servers, and servers that are closed to this box.
//!
//! A limit is stated for all boxes together and belongs to one incarnation of a server. Boxes
//! gossip the statements with their ages, and the newest one wins regardless of its source. A
//! datagram that omits a server says nothing about it. After a denied permit the server is closed
//! to this box until its quota allows another call. See [`crate::relay::quota_owner`] for the
//! quotas, and `docs/design/server-limits.md` for the alternatives considered.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::relay::availability::Availability;
use crate::relay::call_rate::CallRate;
use crate::relay::parsed_header::ParsedHeader;
use crate::relay::request_fingerprint::ServerIncarnation;
use crate::relay::round_robin;
use crate::relay::signed_time::SignedTime;
use crate::time::Time;

/// How long a statement is kept. A server that no box has called for this long is gone.
const RETENTION: Duration = Duration::from_mins(10);
/// Maximum number of servers, at about 60 bytes each; the oldest statement is evicted first.
const MAX_SERVERS: usize = 2_048;
/// How long a change is included in every datagram: two heartbeats, and one that may be lost.
const GOSSIP_TIME: Duration = Duration::from_millis(1_200);
/// Maximum number of recent changes per datagram, at up to 19 of its 1,400 bytes each.
const MAX_RECENT_ROWS: usize = 16;
/// Maximum number of older statements per datagram, sent in rotation for boxes that missed the
/// change.
const MAX_ROTATED_ROWS: usize = 4;
/// Added to the age of sent statements to cover the transit time. Without it, a statement would
/// appear younger with each round trip between boxes.
const TRANSIT_TIME: Duration = Duration::from_millis(5);
/// A change within this time of the previous change of the same server is not announced at once,
/// but with the next heartbeat.
const MIN_ANNOUNCE_INTERVAL: Duration = Duration::from_millis(250);

/// A new, changed or lifted limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitChange {
    /// Incarnation of the server.
    pub incarnation: ServerIncarnation,
    /// Previous limit.
    pub before: Option<CallRate>,
    /// Current limit.
    pub after: Option<CallRate>,
    /// Whether to log the change and announce it in a datagram at once; false if it follows the
    /// previous change too closely.
    pub announce_now: bool,
}

/// Statement of a server as gossiped between boxes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitRow {
    /// Incarnation of the server.
    pub incarnation: ServerIncarnation,
    /// Stated limit, `None` if lifted.
    pub rate: Option<CallRate>,
    /// Age of the statement in milliseconds.
    pub age_ms: u32,
}

/// Latest statement of a server.
#[derive(Debug, Clone, Copy)]
struct LimitStatement {
    rate: Option<CallRate>,
    at: SignedTime,
    /// When this box learned of the last change.
    changed_at: Time,
}

/// Limits by server incarnation.
#[derive(Debug, Default)]
pub struct ServerLimits {
    statements: HashMap<ServerIncarnation, LimitStatement>,
    /// Servers closed to this box, and until when.
    closed_until: HashMap<ServerIncarnation, Time>,
    /// Last older statement sent; the next datagram continues after it.
    rotation_cursor: Option<ServerIncarnation>,
    /// Statements evicted for capacity.
    evicted: u64,
}

impl ServerLimits {
    /// Records the limit header of a response received now.
    pub fn record_response(
        &mut self,
        now: Time,
        incarnation: ServerIncarnation,
        header: ParsedHeader<CallRate>,
    ) -> Option<LimitChange> {
        let rate = match header {
            ParsedHeader::Value(rate) => Some(rate),
            ParsedHeader::Absent if self.statements.contains_key(&incarnation) => None,
            ParsedHeader::Absent | ParsedHeader::Unreadable => return None,
        };
        self.apply(now, incarnation, rate, SignedTime::of(now))
    }

    /// Merges statements gossiped by another box.
    pub fn merge_rows(&mut self, now: Time, rows: &[LimitRow]) -> Vec<LimitChange> {
        let apply = |row: &LimitRow| {
            self.apply(
                now,
                row.incarnation,
                row.rate,
                SignedTime::before_now(now, row.age_ms),
            )
        };
        rows.iter().filter_map(apply).collect()
    }

    fn apply(
        &mut self,
        now: Time,
        incarnation: ServerIncarnation,
        rate: Option<CallRate>,
        at: SignedTime,
    ) -> Option<LimitChange> {
        let known = self.statements.get(&incarnation).copied();
        let is_newer = known.is_none_or(|known| at > known.at);
        if !is_newer || at.age(now) >= RETENTION {
            return None;
        }
        if known.is_none() {
            self.make_room(now);
        }
        let before = known.and_then(|known| known.rate);
        let last_change = known.map(|known| known.changed_at);
        let changed_at = match last_change {
            Some(at) if before == rate => at,
            _ => now,
        };
        self.statements.insert(
            incarnation,
            LimitStatement {
                rate,
                at,
                changed_at,
            },
        );
        if rate.is_none() {
            self.closed_until.remove(&incarnation);
        }
        (before != rate).then_some(LimitChange {
            incarnation,
            before,
            after: rate,
            announce_now: last_change.is_none_or(|at| now.since(at) >= MIN_ANNOUNCE_INTERVAL),
        })
    }

    fn make_room(&mut self, now: Time) {
        if self.statements.len() < MAX_SERVERS {
            return;
        }
        self.statements
            .retain(|_, statement| statement.at.age(now) < RETENTION);
        let oldest = self
            .statements
            .iter()
            .min_by_key(|(_, statement)| statement.at);
        if let (true, Some((&incarnation, _))) = (self.statements.len() >= MAX_SERVERS, oldest) {
            self.statements.remove(&incarnation);
            self.closed_until.remove(&incarnation);
            self.evicted += 1;
        }
    }

    /// Limit of a server, if it states one.
    pub fn limit(&self, incarnation: ServerIncarnation) -> Option<CallRate> {
        self.statements
            .get(&incarnation)
            .and_then(|statement| statement.rate)
    }

    /// Availability of a server to this box, considering only stated limits.
    pub fn availability(&self, now: Time, incarnation: ServerIncarnation) -> Availability {
        self.availability_at(now, incarnation, self.limit(incarnation))
    }

    /// Availability of a server to this box at a limit, stated or not.
    pub(crate) fn availability_at(
        &self,
        now: Time,
        incarnation: ServerIncarnation,
        limit: Option<CallRate>,
    ) -> Availability {
        match limit {
            None => Availability::Open,
            Some(_) if self.closed_for(now, incarnation).is_zero() => Availability::Limited,
            Some(_) => Availability::Closed,
        }
    }

    /// How long a server remains closed to this box.
    pub fn closed_for(&self, now: Time, incarnation: ServerIncarnation) -> Duration {
        let until = self.closed_until.get(&incarnation);
        until.map_or(Duration::ZERO, |until| now.until(*until))
    }

    /// Closes a server to this box for a time.
    pub fn close(&mut self, now: Time, incarnation: ServerIncarnation, retry_in: Duration) {
        self.closed_until.retain(|_, until| *until > now);
        self.closed_until.insert(incarnation, now + retry_in);
    }

    /// Statements for the next datagram to other boxes: recently changed ones, the latest change
    /// first, and some older ones in rotation.
    pub fn rows(&mut self, now: Time) -> Vec<LimitRow> {
        if self.statements.is_empty() {
            return Vec::new();
        }
        self.statements
            .retain(|_, statement| statement.at.age(now) < RETENTION);
        let is_recent = |statement: &LimitStatement| now.since(statement.changed_at) < GOSSIP_TIME;
        let mut recent: Vec<_> = (self.statements.iter())
            .filter(|(_, statement)| is_recent(statement))
            .collect();
        recent
            .sort_by_key(|(incarnation, statement)| (Reverse(statement.changed_at), **incarnation));
        recent.truncate(MAX_RECENT_ROWS);
        let older = self
            .statements
            .iter()
            .filter(|(_, statement)| !is_recent(statement));
        let mut older: Vec<_> = older.collect();
        older.sort_by_key(|(incarnation, _)| **incarnation);
        let rotated =
            round_robin::next_in_rotation(&older, self.rotation_cursor.as_ref(), MAX_ROTATED_ROWS);
        let rotation_cursor = rotated.last().map(|(incarnation, _)| **incarnation);
        let selected = recent.iter().chain(&rotated);
        let rows = selected
            .map(|(incarnation, statement)| row(now, **incarnation, statement))
            .collect();
        self.rotation_cursor = rotation_cursor;
        rows
    }

    /// All statements, for a box that has just started.
    pub fn all_rows(&self, now: Time) -> Vec<LimitRow> {
        let statements = self.statements.iter();
        statements
            .map(|(incarnation, statement)| row(now, *incarnation, statement))
            .collect()
    }

    /// Statement of one server, sent to the owner of its quota.
    pub fn row_of(&self, now: Time, incarnation: ServerIncarnation) -> Option<LimitRow> {
        self.statements
            .get(&incarnation)
            .map(|statement| row(now, incarnation, statement))
    }

    /// Servers that state a limit, with their limits.
    pub fn limited(&self) -> impl Iterator<Item = (ServerIncarnation, CallRate)> {
        let statements = self.statements.iter();
        statements
            .filter_map(|(incarnation, statement)| statement.rate.map(|rate| (*incarnation, rate)))
    }

    /// Number of statements evicted so far for capacity.
    pub const fn evicted(&self) -> u64 {
        self.evicted
    }
}

fn row(now: Time, incarnation: ServerIncarnation, statement: &LimitStatement) -> LimitRow {
    LimitRow {
        incarnation,
        rate: statement.rate,
        age_ms: statement.at.age_ms(now) + TRANSIT_TIME.as_millis() as u32,
    }
}
