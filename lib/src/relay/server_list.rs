//! Membership of backend servers, read from a store that may be unavailable.
//!
//! Each server maintains its own entry in the store. If an entry disappears while the store is
//! available, its server is gone. An entry that expired during an outage reappears soon after the
//! store recovers if its server is alive. So entries that are missing then are held: their servers
//! stay in use for a short time. A server's own statement that it leaves takes effect at once.
//!
//! A store that is restored from a backup shows an earlier state. Servers that started after the
//! backup are missing until they write their entries again, and are held as after an outage.
//! Servers already known to be gone or leaving stay so, even if the backup shows them as alive.
//!
//! The data halls that the operator evacuates are part of the list, under the same position: a box
//! never knows the servers of a hall without knowing whether it is evacuated.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::HallName;
use crate::ids::ServerName;
use crate::relay::evacuated_halls::DEFAULT_UNCONFIRMED_HOLD;
use crate::relay::evacuated_halls::EvacuatedHalls;
use crate::relay::evacuated_halls::HallRequest;
use crate::relay::evacuated_halls::HallSet;
use crate::relay::evacuated_halls::UnconfirmedDigest;
use crate::relay::evacuated_halls::UnconfirmedHalls;
use crate::relay::request_fingerprint::ServerIncarnation;
use crate::relay::route_table::ServiceName;
use crate::relay::store_position::StorePosition;
use crate::time::Time;

/// How long missing entries are held after the store recovers. The requirement is two seconds.
pub const HOLD_AFTER_RECOVERY: Duration = Duration::from_secs(2);

/// Entry that a server maintains in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerEntry {
    /// Unique name; kept across restarts.
    pub name: ServerName,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Listening address, as `ip:port`.
    pub address: String,
    /// Data hall of the server.
    pub hall: HallName,
    /// Number of calls that it runs concurrently.
    pub slots: u32,
    /// Whether it is shutting down and takes no new calls.
    pub leaving: bool,
    /// Start time in Unix milliseconds, if stated; distinguishes restarts under the same name.
    pub born: Option<u64>,
    /// How much longer it was cold when it wrote the entry, if it was.
    pub cold_for: Option<Duration>,
}

impl ServerEntry {
    /// Incarnation of the server, derived from its name and start time.
    pub fn incarnation(&self) -> ServerIncarnation {
        ServerIncarnation::of(&self.name, self.born)
    }
}

/// All entries at one position of the store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerSnapshot {
    /// Position at which the entries were read.
    pub position: StorePosition,
    /// Entries by server name.
    pub servers: BTreeMap<ServerName, ServerEntry>,
    /// The operator's requests to evacuate data halls.
    pub halls: EvacuatedHalls,
}

/// Changes between two positions of the same era.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerDelta {
    /// Position up to which the changes are complete.
    pub position: StorePosition,
    /// New and changed entries, in their current state.
    pub upserted: Vec<ServerEntry>,
    /// Servers whose entries were removed.
    pub removed: Vec<ServerName>,
    /// All requests to evacuate data halls, changed or not: there are few.
    pub halls: EvacuatedHalls,
}

/// Update for a box that is behind.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerUpdate {
    /// All entries: the changes since the box's position are no longer kept, or it has another era.
    Snapshot(ServerSnapshot),
    /// Changes since the box's position.
    Delta(ServerDelta),
}

/// Maximum number of changes kept; a box that is further behind gets a snapshot.
const MAX_CHANGES: usize = 2_000;
/// Maximum number of retired servers kept. They matter if the store is restored from a backup that
/// still lists them; backups are some seconds old.
const MAX_RETIRED: usize = 512;

/// Servers known to one box.
#[derive(Debug)]
pub struct ServerList {
    entries: ServerSnapshot,
    /// Names of changed entries by position, oldest first.
    changes: VecDeque<(StorePosition, ServerName)>,
    /// Position since which `changes` has no gaps.
    complete_since: StorePosition,
    /// Servers that leave or whose entries disappeared while the store was available, oldest first,
    /// with the era in which that was learned.
    retired: VecDeque<(ServerIncarnation, u64)>,
    /// Missing entries whose servers may still be alive; kept until `hold_until`.
    held: BTreeMap<ServerName, ServerEntry>,
    store_down: bool,
    hold_until: Time,
    /// How long evacuations of an earlier era stay in effect without confirmation.
    unconfirmed_hold: Duration,
    /// End of that time in the current era.
    unconfirmed_until: Time,
    /// Digests of the unconfirmed evacuations that were held or merged here in the current era.
    merged_digests: BTreeSet<UnconfirmedDigest>,
}

impl Default for ServerList {
    fn default() -> Self {
        Self::new(DEFAULT_UNCONFIRMED_HOLD)
    }
}

impl ServerList {
    /// An empty list that holds unconfirmed evacuations for `unconfirmed_hold`.
    pub fn new(unconfirmed_hold: Duration) -> Self {
        Self {
            entries: ServerSnapshot::default(),
            changes: VecDeque::new(),
            complete_since: StorePosition::default(),
            retired: VecDeque::new(),
            held: BTreeMap::new(),
            store_down: false,
            hold_until: Time::ZERO,
            unconfirmed_hold,
            unconfirmed_until: Time::ZERO,
            merged_digests: BTreeSet::new(),
        }
    }

    /// Latest entries, without held ones; passed on to other boxes.
    pub const fn entries(&self) -> &ServerSnapshot {
        &self.entries
    }

    /// Records that the store is unavailable; entries may expire meanwhile.
    pub const fn store_unavailable(&mut self) {
        self.store_down = true;
    }

    /// Records that the store is available, to this box or to a peer that passes on its updates.
    pub fn store_available(&mut self, now: Time) {
        if self.store_down {
            self.store_down = false;
            self.hold_until = now + HOLD_AFTER_RECOVERY;
        }
    }

    /// How much longer missing entries are held; a box that receives an update from this list must
    /// hold them as long.
    pub const fn hold_remaining(&self, now: Time) -> Duration {
        now.until(self.hold_until)
    }

    /// Holds missing entries for at least `remaining`, as the box that sent the update does.
    pub fn extend_hold(&mut self, now: Time, remaining: Duration) {
        self.hold_until = self.hold_until.max(now + remaining);
    }

    /// Replaces all entries; ignored if the position is older than the current one.
    pub fn replace(&mut self, now: Time, mut entries: ServerSnapshot) {
        if entries.position < self.entries.position {
            return;
        }
        let has_snapshot = self.entries.position > StorePosition::default();
        let is_new_era = entries.position.era > self.entries.position.era;
        if has_snapshot && is_new_era {
            self.hold_until = self.hold_until.max(now + HOLD_AFTER_RECOVERY);
        }
        if is_new_era {
            self.unconfirmed_until = now + self.unconfirmed_hold;
            self.merged_digests.clear();
        }
        self.mark_foreign(&mut entries);
        self.mark_retired(&mut entries);
        let mut halls = std::mem::take(&mut self.entries.halls);
        halls.merge(entries.position, entries.halls);
        entries.halls = halls;
        self.changes.clear();
        self.complete_since = entries.position;
        let previous = std::mem::replace(&mut self.entries, entries);
        for (name, server) in previous.servers {
            if !self.entries.servers.contains_key(&name) {
                self.entry_removed(now, server);
            }
        }
        let known = &self.entries.servers;
        self.held.retain(|name, _| !known.contains_key(name));
        self.expire_evacuations(now);
        self.record_digest();
    }

    /// Marks servers as leaving whose entries are now from another writer.
    fn mark_foreign(&self, entries: &mut ServerSnapshot) {
        for (name, server) in &mut entries.servers {
            match self.entries.servers.get(name) {
                Some(known) if lacks_known_start(known, server) => {
                    *server = ServerEntry {
                        leaving: true,
                        ..known.clone()
                    };
                }
                Some(_) | None => {}
            }
        }
    }

    /// Marks servers as leaving that were retired in an earlier era: their entries come from a
    /// backup that is older than the retirement.
    fn mark_retired(&mut self, entries: &mut ServerSnapshot) {
        let era = entries.position.era;
        for server in entries.servers.values_mut() {
            let incarnation = server.incarnation();
            let retired = self
                .retired
                .iter()
                .find(|(retired, _)| *retired == incarnation);
            if server.leaving {
                self.record_retired(incarnation, era);
            } else if retired.is_some_and(|(_, retired_in)| *retired_in < era) {
                server.leaving = true;
            }
        }
    }

    /// Records a retired server, with the era in which this was first learned.
    fn record_retired(&mut self, incarnation: ServerIncarnation, era: u64) {
        if self
            .retired
            .iter()
            .any(|(retired, _)| *retired == incarnation)
        {
            return;
        }
        self.retired.push_back((incarnation, era));
        if self.retired.len() > MAX_RETIRED {
            self.retired.pop_front();
        }
    }

    /// Applies a changed entry; ignored if it is of another era.
    pub fn put(&mut self, position: StorePosition, server: ServerEntry) {
        let known = self.entries.servers.get(&server.name);
        if known.is_some_and(|known| lacks_known_start(known, &server)) {
            self.put_unreadable(position, &server.name);
            return;
        }
        if !self.record_change(position, &server.name) {
            return;
        }
        self.held.remove(&server.name);
        if server.leaving {
            self.record_retired(server.incarnation(), position.era);
        } else {
            self.retired
                .retain(|(retired, _)| *retired != server.incarnation());
        }
        self.entries.servers.insert(server.name.clone(), server);
    }

    /// Applies an entry that can't be decoded: a known server is treated as leaving, an unknown one
    /// is not listed. A server that is alive soon writes its entry again.
    pub fn put_unreadable(&mut self, position: StorePosition, name: &ServerName) {
        match self.entries.servers.get(name) {
            Some(server) => {
                let leaving = ServerEntry {
                    leaving: true,
                    ..server.clone()
                };
                self.put(position, leaving);
            }
            None => {
                self.record_change(position, name);
            }
        }
        self.held.remove(name);
    }

    /// Applies the removal of an entry; ignored if it is of another era.
    pub fn remove(&mut self, now: Time, position: StorePosition, name: &ServerName) {
        if !self.record_change(position, name) {
            return;
        }
        if let Some(server) = self.entries.servers.remove(name) {
            self.entry_removed(now, server);
        }
    }

    /// Applies the operator's request for a data hall; ignored if it is of another era or older than
    /// the latest one for the hall.
    pub fn put_hall(&mut self, position: StorePosition, hall: HallName, request: HallRequest) {
        if self.advance_to(position) {
            self.entries.halls.record(position, hall, request);
            self.record_digest();
        }
    }

    /// Data halls that are evacuated.
    pub fn evacuated_halls(&self) -> HallSet {
        self.entries.halls.names()
    }

    /// Digest of the unconfirmed evacuations that this box holds; announced to other boxes.
    pub fn unconfirmed_digest(&self) -> Option<UnconfirmedDigest> {
        let era = self.entries.position.era;
        self.entries.halls.unconfirmed_digest(era)
    }

    /// Whether a box at `position` holds unconfirmed evacuations that were never merged here, by the
    /// digest that it announces.
    pub fn lacks_unconfirmed(
        &self,
        now: Time,
        position: StorePosition,
        announced: Option<UnconfirmedDigest>,
    ) -> bool {
        announced.is_some_and(|digest| {
            position.shares_era_with(self.entries.position)
                && now < self.unconfirmed_until
                && !self.merged_digests.contains(&digest)
        })
    }

    /// Unconfirmed evacuations that this box holds, for other boxes.
    pub fn unconfirmed(&self, now: Time) -> UnconfirmedHalls {
        let era = self.entries.position.era;
        UnconfirmedHalls {
            era,
            remaining: now.until(self.unconfirmed_until),
            halls: self.entries.halls.unconfirmed(era),
        }
    }

    /// Merges what another box holds; ignored if it is of another era.
    ///
    /// `announced` is the digest that caused the pull. It counts as merged too: a box of another
    /// build may compute another digest for the same evacuations, and would be pulled from for ever.
    ///
    /// Each box holds from when it learns of the new era. The earliest end is the closest to the
    /// restore of the store and applies to all, so that boxes that start later don't extend the hold.
    pub fn merge_unconfirmed(
        &mut self,
        now: Time,
        unconfirmed: UnconfirmedHalls,
        announced: Option<UnconfirmedDigest>,
    ) {
        let era = self.entries.position.era;
        if unconfirmed.era != era {
            return;
        }
        self.unconfirmed_until = self.unconfirmed_until.min(now + unconfirmed.remaining);
        let digest = unconfirmed.halls.unconfirmed_digest(era);
        self.merged_digests.extend(digest);
        self.merged_digests.extend(announced);
        self.entries.halls.merge_unconfirmed(era, unconfirmed.halls);
        self.expire_evacuations(now);
        self.record_digest();
    }

    fn record_digest(&mut self) {
        let digest = self.unconfirmed_digest();
        self.merged_digests.extend(digest);
    }

    /// Update for a box that has all changes up to a position; `None` if it is not behind.
    pub fn update_since(&self, position: StorePosition) -> Option<ServerUpdate> {
        if position >= self.entries.position {
            return None;
        }
        if position < self.complete_since {
            return Some(ServerUpdate::Snapshot(self.entries.clone()));
        }
        let newer = self.changes.iter().filter(|(at, _)| *at > position);
        let names: BTreeSet<&ServerName> = newer.map(|(_, name)| name).collect();
        let mut changes = ServerDelta {
            position: self.entries.position,
            halls: self.entries.halls.clone(),
            ..ServerDelta::default()
        };
        for name in names {
            match self.entries.servers.get(name) {
                Some(server) => changes.upserted.push(server.clone()),
                None => changes.removed.push(name.clone()),
            }
        }
        Some(ServerUpdate::Delta(changes))
    }

    /// Applies an update from another box; ignored if it is older than the current state.
    pub fn apply_update(&mut self, now: Time, update: ServerUpdate) {
        match update {
            ServerUpdate::Snapshot(entries) => self.replace(now, entries),
            ServerUpdate::Delta(changes) if self.is_applicable(changes.position) => {
                for server in changes.upserted {
                    self.put(changes.position, server);
                }
                for name in changes.removed {
                    self.remove(now, changes.position, &name);
                }
                self.entries.halls.merge(changes.position, changes.halls);
                self.expire_evacuations(now);
                self.entries.position = changes.position;
                self.record_digest();
            }
            ServerUpdate::Delta(_) => {}
        }
    }

    /// Whether a delta up to this position is newer and of the same era.
    fn is_applicable(&self, position: StorePosition) -> bool {
        position > self.entries.position && position.shares_era_with(self.entries.position)
    }

    /// Raises the position; false if the given one is of another era.
    fn advance_to(&mut self, position: StorePosition) -> bool {
        let shares_era = position.shares_era_with(self.entries.position);
        if shares_era {
            self.entries.position = self.entries.position.max(position);
        }
        shares_era
    }

    /// Records a change; false if it is of another era and must be ignored.
    fn record_change(&mut self, position: StorePosition, name: &ServerName) -> bool {
        if !self.advance_to(position) {
            return false;
        }
        self.changes.push_back((position, name.clone()));
        if self.changes.len() > MAX_CHANGES {
            let evicted = self.changes.pop_front();
            self.complete_since = evicted.map_or(self.complete_since, |(at, _)| at);
        }
        true
    }

    /// Drops held entries and unconfirmed evacuations once their hold time is over; true if there
    /// were held entries.
    pub fn tick(&mut self, now: Time) -> bool {
        self.expire_evacuations(now);
        let expired = !self.held.is_empty() && !self.store_down && now >= self.hold_until;
        if expired {
            self.held.clear();
        }
        expired
    }

    /// Time at which [`Self::tick`] must be called next.
    pub fn next_tick(&self) -> Option<Time> {
        let entries = (!self.held.is_empty() && !self.store_down).then_some(self.hold_until);
        let halls = &self.entries.halls;
        let has_unconfirmed = halls.has_unconfirmed(self.entries.position.era);
        let evacuations = has_unconfirmed.then_some(self.unconfirmed_until);
        entries.into_iter().chain(evacuations).min()
    }

    fn expire_evacuations(&mut self, now: Time) {
        if now >= self.unconfirmed_until {
            let era = self.entries.position.era;
            self.entries.halls.drop_unconfirmed(era);
        }
    }

    /// All servers that may be alive, including held and leaving ones.
    pub fn servers(&self) -> Vec<ServerEntry> {
        let listed = self.entries.servers.values();
        listed.chain(self.held.values()).cloned().collect()
    }

    fn entry_removed(&mut self, now: Time, server: ServerEntry) {
        let may_have_expired = self.store_down || now < self.hold_until;
        if may_have_expired && !server.leaving {
            self.held.insert(server.name.clone(), server);
        } else {
            self.record_retired(server.incarnation(), self.entries.position.era);
        }
    }
}

/// Whether an entry lacks the start time that the known one of its server has: it is from another
/// writer, and says nothing about the server.
const fn lacks_known_start(known: &ServerEntry, server: &ServerEntry) -> bool {
    known.born.is_some() && server.born.is_none()
}
