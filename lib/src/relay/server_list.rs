//! Which backend servers live, from a store that may be away.
//!
//! Servers keep their own entries in the store. An entry that goes while the store works
//! means that its server is gone. One that lapsed while the store was away comes back soon
//! after the store does, if the server lives: so for a short time after the store's return a
//! missing entry is held. What a server said of its own leaving always counts at once.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::HallName;
use crate::ids::ServerName;
use crate::relay::route_table::ServiceName;
use crate::time::Time;

/// How long after the store's return missing entries are held; the users state two seconds.
pub const HOLD_AFTER_RETURN: Duration = Duration::from_secs(2);

/// A server's own entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedServer {
    /// Its name; another one after each restart.
    pub name: ServerName,
    /// What it serves.
    pub service: ServiceName,
    /// Where it listens, as `ip:port`.
    pub address: String,
    /// Its data hall.
    pub hall: HallName,
    /// Calls that it runs at once.
    pub slots: u32,
    /// Whether it takes no new work.
    pub leaving: bool,
}

/// Entries of all servers at one revision of the store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerEntries {
    /// The store's revision that the entries show.
    pub revision: u64,
    /// By name.
    pub servers: BTreeMap<ServerName, ListedServer>,
}

/// What one box believes of the servers.
#[derive(Debug, Default)]
pub struct ServerList {
    entries: ServerEntries,
    held: BTreeMap<ServerName, ListedServer>,
    away: bool,
    hold_until: Time,
}

impl ServerList {
    /// The entries as last read, for other boxes.
    pub const fn entries(&self) -> &ServerEntries {
        &self.entries
    }

    /// The store does not answer; entries may lapse meanwhile.
    pub const fn store_lost(&mut self) {
        self.away = true;
    }

    /// The store answers, here or at a neighbour that passes its news on.
    pub fn store_answers(&mut self, now: Time) {
        if self.away {
            self.away = false;
            self.hold_until = now + HOLD_AFTER_RETURN;
        }
    }

    /// How much longer missing entries are held; another box that takes over these entries
    /// must hold as long.
    pub const fn hold_left(&self, now: Time) -> Duration {
        now.until(self.hold_until)
    }

    /// Holds missing entries at least this long, as a box does that follows the store.
    pub fn hold_for(&mut self, now: Time, left: Duration) {
        self.hold_until = self.hold_until.max(now + left);
    }

    /// Takes all entries at a revision; an older one than known is ignored.
    pub fn replace(&mut self, now: Time, entries: ServerEntries) {
        if entries.revision < self.entries.revision {
            return;
        }
        let before = std::mem::replace(&mut self.entries, entries);
        for (name, server) in before.servers {
            if !self.entries.servers.contains_key(&name) {
                self.went(now, server);
            }
        }
        let known = &self.entries.servers;
        self.held.retain(|name, _| !known.contains_key(name));
    }

    /// Takes one changed entry.
    pub fn put(&mut self, revision: u64, server: ListedServer) {
        self.entries.revision = self.entries.revision.max(revision);
        self.held.remove(&server.name);
        self.entries.servers.insert(server.name.clone(), server);
    }

    /// Takes the end of an entry.
    pub fn remove(&mut self, now: Time, revision: u64, name: &ServerName) {
        self.entries.revision = self.entries.revision.max(revision);
        if let Some(server) = self.entries.servers.remove(name) {
            self.went(now, server);
        }
    }

    /// Notes that the store has shown all changes up to this revision.
    pub fn seen_until(&mut self, revision: u64) {
        self.entries.revision = self.entries.revision.max(revision);
    }

    /// Lets go of what was held long enough; true if anything went.
    pub fn tick(&mut self, now: Time) -> bool {
        let ends = !self.held.is_empty() && !self.away && now >= self.hold_until;
        if ends {
            self.held.clear();
        }
        ends
    }

    /// When [`Self::tick`] has something to do.
    pub fn next_tick(&self) -> Option<Time> {
        (!self.held.is_empty() && !self.away).then_some(self.hold_until)
    }

    /// Every server that may live, those that are leaving included.
    pub fn servers(&self) -> Vec<ListedServer> {
        let listed = self.entries.servers.values();
        listed.chain(self.held.values()).cloned().collect()
    }

    fn went(&mut self, now: Time, server: ListedServer) {
        let may_have_lapsed = self.away || now < self.hold_until;
        if may_have_lapsed && !server.leaving {
            self.held.insert(server.name.clone(), server);
        }
    }
}
