//! Servers that are cold: for some seconds they bear only few calls a second, and fail above that.
//!
//! This answers the load of a data hall whose servers all start at once, or become cold while they
//! are in use: without a limit, the boxes together send them their usual load. The rate is
//! configured for the service and holds for all boxes together, so a cold server is treated as one
//! that states a limit, see [`crate::relay::server_limits`].
//!
//! A server states the remaining time in its store entry and in responses. Each statement ends by
//! itself, so a mistaken one costs calls only for that time. The rules for conflicting statements
//! favor the cold state: a response is newer than any statement that was heard before it, and
//! entries are ordered by their store position. An entry neither shortens what a response stated nor
//! what an entry of an earlier store era stated, as it may be older than either.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::relay::call_rate::CallRate;
use crate::relay::parsed_header::ParsedHeader;
use crate::relay::request_fingerprint::ServerIncarnation;
use crate::relay::round_robin;
use crate::relay::route_table::ServiceName;
use crate::relay::server_list::ServerEntry;
use crate::relay::server_list::ServerUpdate;
use crate::relay::signed_time::SignedTime;
use crate::relay::store_position::StorePosition;
use crate::time::Time;

/// Longest credible remaining time. Servers warm up within seconds.
pub const MAX_COLD_TIME: Duration = Duration::from_mins(10);
/// Maximum number of statements, at about 80 bytes each; the oldest one is evicted first.
const MAX_SERVERS: usize = 2_048;
/// How long a change is included in every datagram: two heartbeats, and one that may be lost.
const GOSSIP_TIME: Duration = Duration::from_millis(1_200);
/// Maximum number of recent changes per datagram, at up to 25 of its 1,400 bytes each.
const MAX_RECENT_ROWS: usize = 16;
/// Maximum number of other cold servers per datagram, sent in rotation.
const MAX_ROTATED_ROWS: usize = 4;
/// Added to the age of sent statements to cover the transit time.
const TRANSIT_TIME: Duration = Duration::from_millis(5);
/// An extension of the remaining time by more than this is a change: the server became cold again.
const MIN_EXTENSION: Duration = Duration::from_millis(500);

/// Where a statement comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ColdSource {
    /// Store entry of the server, as of this position.
    Entry(StorePosition),
    /// Response of the server.
    Response,
}

/// Statement as gossiped between boxes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdRow {
    /// Incarnation of the server.
    pub incarnation: ServerIncarnation,
    /// Calls per second while it is cold.
    pub rate: CallRate,
    /// Remaining time in milliseconds; 0 if the server is warm.
    pub left_ms: u32,
    /// Age of the statement in milliseconds.
    pub age_ms: u32,
    /// Source of the statement.
    pub source: ColdSource,
}

/// A server that became cold or warm, or cold for longer than known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdChange {
    /// Incarnation of the server.
    pub incarnation: ServerIncarnation,
    /// Calls per second while it is cold.
    pub rate: CallRate,
    /// Remaining time; zero if the server is warm.
    pub left: Duration,
}

/// A listed server of a service that limits calls to cold servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListedServer {
    /// Incarnation that the entry describes.
    pub incarnation: ServerIncarnation,
    /// Calls per second while it is cold.
    pub rate: CallRate,
    /// Remaining time according to the entry.
    pub cold_for: Option<Duration>,
}

/// Latest statement of a server.
#[derive(Debug, Clone, Copy)]
struct ColdStatement {
    rate: CallRate,
    cold_until: SignedTime,
    heard_at: SignedTime,
    source: ColdSource,
    /// When this box learned of the last change.
    changed_at: Time,
    /// Whether the last reported change was to the cold state.
    is_reported_cold: bool,
}

impl ColdStatement {
    fn left(&self, now: Time) -> Duration {
        self.cold_until.time_until(now)
    }

    /// Whether this statement replaces the known one.
    fn replaces(&self, known: &Self) -> bool {
        let is_later = self.heard_at > known.heard_at;
        let is_longer = self.cold_until > known.cold_until;
        match (self.source, known.source) {
            (ColdSource::Response, ColdSource::Response) => is_later,
            (ColdSource::Response, ColdSource::Entry(_)) => is_later || is_longer,
            (ColdSource::Entry(_), ColdSource::Response) => is_later && is_longer,
            (ColdSource::Entry(at), ColdSource::Entry(known_at))
                if at.shares_era_with(known_at) =>
            {
                at > known_at
            }
            (ColdSource::Entry(at), ColdSource::Entry(known_at)) => at > known_at && is_longer,
        }
    }
}

/// Cold servers by incarnation.
#[derive(Debug, Default)]
pub struct ColdServers {
    statements: HashMap<ServerIncarnation, ColdStatement>,
    /// Listed servers, with the entries from which `statements` were taken.
    listed: HashMap<ServerIncarnation, ListedServer>,
    /// Servers whose entries were written since `listed` was read.
    rewritten: HashSet<ServerIncarnation>,
    /// Last recent row sent; the next datagram continues after it.
    recent_cursor: Option<ServerIncarnation>,
    /// Last row of another cold server sent.
    rotation_cursor: Option<ServerIncarnation>,
}

impl ColdServers {
    /// Records that a server wrote its entry, even if with the same remaining time as before. The
    /// next [`Self::set_listed`] takes the entry as a new statement.
    pub fn entry_written(&mut self, incarnation: ServerIncarnation) {
        self.rewritten.insert(incarnation);
    }

    /// Replaces the list of servers, read from the store at `position`. An entry that did not change
    /// is no new statement: it is as old as when it was first listed.
    pub fn set_listed(
        &mut self,
        now: Time,
        position: StorePosition,
        listed: impl IntoIterator<Item = ListedServer>,
    ) -> Vec<ColdChange> {
        let by_incarnation = listed
            .into_iter()
            .map(|server| (server.incarnation, server));
        let before = std::mem::replace(&mut self.listed, by_incarnation.collect());
        let rewritten = std::mem::take(&mut self.rewritten);
        let mut changes = Vec::new();
        for server in self.listed.clone().into_values() {
            if let Some(statement) = self.statements.get_mut(&server.incarnation) {
                statement.rate = server.rate;
            }
            let known = before.get(&server.incarnation);
            let is_rewritten = rewritten.contains(&server.incarnation);
            if !is_rewritten && known.is_some_and(|known| known.cold_for == server.cold_for) {
                continue;
            }
            changes.extend(self.apply(
                now,
                &ColdRow {
                    incarnation: server.incarnation,
                    rate: server.rate,
                    left_ms: millis(server.cold_for.unwrap_or_default()),
                    age_ms: 0,
                    source: ColdSource::Entry(position),
                },
            ));
        }
        changes
    }

    /// Records the header of a response received now. Only a response with proof of its origin ends
    /// the cold state. Servers of services without a cold rate are ignored.
    pub fn record_response(
        &mut self,
        now: Time,
        incarnation: ServerIncarnation,
        header: ParsedHeader<Duration>,
        has_proof: bool,
    ) -> Option<ColdChange> {
        let left = header.value()?;
        if left.is_zero() && !has_proof {
            return None;
        }
        let row = ColdRow {
            incarnation,
            rate: self.listed.get(&incarnation)?.rate,
            left_ms: millis(left),
            age_ms: 0,
            source: ColdSource::Response,
        };
        self.apply(now, &row)
    }

    /// Merges statements gossiped by another box.
    pub fn merge_rows(&mut self, now: Time, rows: &[ColdRow]) -> Vec<ColdChange> {
        rows.iter().filter_map(|row| self.apply(now, row)).collect()
    }

    fn apply(&mut self, now: Time, row: &ColdRow) -> Option<ColdChange> {
        let left = Duration::from_millis(row.left_ms.into()).min(MAX_COLD_TIME);
        let known = self.statements.get(&row.incarnation).copied();
        let heard = ColdStatement {
            rate: row.rate,
            cold_until: SignedTime::of(now).plus(left),
            heard_at: SignedTime::before_now(now, row.age_ms),
            source: row.source,
            changed_at: now,
            is_reported_cold: !left.is_zero(),
        };
        let change = match known {
            None if left.is_zero() => return None,
            None => {
                self.make_room(now);
                true
            }
            Some(known) if !heard.replaces(&known) => return None,
            Some(known) => {
                known.is_reported_cold != heard.is_reported_cold
                    || heard.cold_until > known.cold_until.plus(MIN_EXTENSION)
            }
        };
        let changed_at = match known {
            Some(known) if !change => known.changed_at,
            Some(_) | None => now,
        };
        let statement = ColdStatement {
            changed_at,
            ..heard
        };
        self.statements.insert(row.incarnation, statement);
        change.then_some(ColdChange {
            incarnation: row.incarnation,
            rate: row.rate,
            left,
        })
    }

    fn make_room(&mut self, now: Time) {
        if self.statements.len() < MAX_SERVERS {
            return;
        }
        self.statements
            .retain(|_, statement| is_kept(now, statement));
        let statements = self.statements.iter();
        let first_warm = statements.min_by_key(|(_, statement)| statement.cold_until);
        if let (true, Some((&incarnation, _))) = (self.statements.len() >= MAX_SERVERS, first_warm)
        {
            self.statements.remove(&incarnation);
        }
    }

    /// Servers that have become warm by the end of their time since the last call.
    pub fn take_warmed(&mut self, now: Time) -> Vec<ColdChange> {
        let mut warmed = Vec::new();
        for (incarnation, statement) in &mut self.statements {
            if statement.is_reported_cold && statement.left(now).is_zero() {
                statement.is_reported_cold = false;
                warmed.push(ColdChange {
                    incarnation: *incarnation,
                    rate: statement.rate,
                    left: Duration::ZERO,
                });
            }
        }
        warmed
    }

    /// Calls per second that a server bears from all boxes together, if it is cold.
    pub fn limit(&self, now: Time, incarnation: ServerIncarnation) -> Option<CallRate> {
        let statement = self.statements.get(&incarnation)?;
        (!statement.left(now).is_zero()).then_some(statement.rate)
    }

    /// Number of cold servers.
    pub fn count(&self, now: Time) -> usize {
        let statements = self.statements.values();
        statements
            .filter(|statement| !statement.left(now).is_zero())
            .count()
    }

    /// Statements for the next datagram to other boxes: recent changes and some other cold servers,
    /// both in rotation.
    pub fn rows(&mut self, now: Time) -> Vec<ColdRow> {
        if self.statements.is_empty() {
            return Vec::new();
        }
        self.statements
            .retain(|_, statement| is_kept(now, statement));
        let is_recent = |statement: &ColdStatement| now.since(statement.changed_at) < GOSSIP_TIME;
        let statements = self.statements.iter();
        let (mut recent, mut older): (Vec<_>, Vec<_>) =
            statements.partition(|(_, statement)| is_recent(statement));
        older.retain(|(_, statement)| !statement.left(now).is_zero());
        recent.sort_by_key(|(incarnation, _)| **incarnation);
        older.sort_by_key(|(incarnation, _)| **incarnation);
        let recent =
            round_robin::next_in_rotation(&recent, self.recent_cursor.as_ref(), MAX_RECENT_ROWS);
        let older =
            round_robin::next_in_rotation(&older, self.rotation_cursor.as_ref(), MAX_ROTATED_ROWS);
        let recent_cursor = recent.last().map(|(incarnation, _)| **incarnation);
        let rotation_cursor = older.last().map(|(incarnation, _)| **incarnation);
        let selected = recent.iter().chain(&older);
        let rows = selected
            .map(|(incarnation, statement)| row(now, **incarnation, statement))
            .collect();
        self.recent_cursor = recent_cursor;
        self.rotation_cursor = rotation_cursor;
        rows
    }

    /// All cold servers, for a box that has just started.
    pub fn all_rows(&self, now: Time) -> Vec<ColdRow> {
        let incarnations = self.statements.keys();
        incarnations
            .filter_map(|incarnation| self.row_of(now, *incarnation))
            .collect()
    }

    /// Statement of a cold server, sent to the owner of its quota.
    pub fn row_of(&self, now: Time, incarnation: ServerIncarnation) -> Option<ColdRow> {
        self.limit(now, incarnation)?;
        let statement = self.statements.get(&incarnation)?;
        Some(row(now, incarnation, statement))
    }

    /// Reduces the remaining times of entries that are sent to another box by the age of the
    /// entries, so that they don't look as if just written.
    pub fn age_entries(&self, now: Time, update: &mut ServerUpdate) {
        let age = |server: &mut ServerEntry| {
            let incarnation = server.incarnation();
            // Without a cold rate, as before the first route table, the age is not known here.
            if let (Some(stated), true) = (server.cold_for, self.listed.contains_key(&incarnation))
            {
                let statement = self.statements.get(&incarnation);
                let left = statement.map_or(Duration::ZERO, |statement| statement.left(now));
                server.cold_for = Some(left.min(stated)).filter(|left| !left.is_zero());
            }
        };
        match update {
            ServerUpdate::Snapshot(entries) => entries.servers.values_mut().for_each(age),
            ServerUpdate::Delta(changes) => changes.upserted.iter_mut().for_each(age),
        }
    }
}

/// Marks servers as leaving whose address a cold server has now. A server that restarts under a new
/// name is listed under both until the old entry expires, and the old one would be preferred, since
/// it has no limit. Only services for which `has_cold_rate` holds are considered.
pub fn mark_superseded(servers: &mut [ServerEntry], has_cold_rate: impl Fn(&ServiceName) -> bool) {
    let cold = servers
        .iter()
        .filter(|server| server.cold_for.is_some() && has_cold_rate(&server.service));
    let addresses: HashSet<String> = cold.map(|server| server.address.clone()).collect();
    for server in servers {
        server.leaving |= server.cold_for.is_none() && addresses.contains(&server.address);
    }
}

/// Whether a statement may still decide against an older one.
fn is_kept(now: Time, statement: &ColdStatement) -> bool {
    statement.heard_at.age(now) < MAX_COLD_TIME || !statement.left(now).is_zero()
}

fn row(now: Time, incarnation: ServerIncarnation, statement: &ColdStatement) -> ColdRow {
    ColdRow {
        incarnation,
        rate: statement.rate,
        left_ms: millis(statement.left(now)),
        age_ms: statement.heard_at.age_ms(now) + TRANSIT_TIME.as_millis() as u32,
        source: statement.source,
    }
}

/// Whole milliseconds, rounded up: a server with any time left is cold.
fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_micros().div_ceil(1_000)).unwrap_or(u32::MAX)
}
