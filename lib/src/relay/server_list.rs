//! Which backend servers live, from a store that may be away.
//!
//! Servers keep their own entries in the store. An entry that goes while the store works
//! means that its server is gone. One that lapsed while the store was away comes back soon
//! after the store does, if the server lives: so for a short time after the store's return a
//! missing entry is held. What a server said of its own leaving always counts at once.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::HallName;
use crate::ids::ServerName;
use crate::relay::route_table::ServiceName;
use crate::relay::work_key::ServerLife;
use crate::time::Time;

/// How long after the store's return missing entries are held; the users state two seconds.
pub const HOLD_AFTER_RETURN: Duration = Duration::from_secs(2);

/// A server's own entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedServer {
    /// Its name; it may start again under the same.
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
    /// Unix millisecond of its start, if it says so; tells its lives apart.
    pub born: Option<u64>,
}

impl ListedServer {
    /// The life that its entry tells of.
    pub fn life(&self) -> ServerLife {
        ServerLife::of(&self.name, self.born)
    }
}

/// Entries of all servers at one revision of the store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerEntries {
    /// The store's revision that the entries show.
    pub revision: u64,
    /// By name.
    pub servers: BTreeMap<ServerName, ListedServer>,
}

/// What changed between two revisions of the store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerChanges {
    /// The revision at which the changes are complete.
    pub revision: u64,
    /// Entries that are new or changed, as they are now.
    pub put: Vec<ListedServer>,
    /// Servers whose entries went.
    pub gone: Vec<ServerName>,
}

/// What a box that is behind is told.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerNews {
    /// Everything: what changed since its revision is not known any more.
    All(ServerEntries),
    /// What changed since then.
    Changes(ServerChanges),
}

/// Changes that are remembered; with more at once, a box that is behind is told everything.
const MAX_CHANGES: usize = 2_000;

/// What one box believes of the servers.
#[derive(Debug, Default)]
pub struct ServerList {
    entries: ServerEntries,
    /// Names of changed entries by revision, oldest first.
    changes: VecDeque<(u64, ServerName)>,
    /// The revision since which no change is missing from `changes`.
    complete_since: u64,
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
        self.changes.clear();
        self.complete_since = entries.revision;
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
        self.changed(revision, &server.name);
        self.held.remove(&server.name);
        self.entries.servers.insert(server.name.clone(), server);
    }

    /// Takes an entry that can't be read: it names no server to use. A server that lives writes its own
    /// again soon.
    pub fn put_unreadable(&mut self, revision: u64, name: &ServerName) {
        match self.entries.servers.get(name) {
            Some(server) => {
                let leaving = ListedServer {
                    leaving: true,
                    ..server.clone()
                };
                self.put(revision, leaving);
            }
            None => self.changed(revision, name),
        }
        self.held.remove(name);
    }

    /// Takes the end of an entry.
    pub fn remove(&mut self, now: Time, revision: u64, name: &ServerName) {
        self.changed(revision, name);
        if let Some(server) = self.entries.servers.remove(name) {
            self.went(now, server);
        }
    }

    /// What a box lacks that has seen all changes up to a revision.
    pub fn news_since(&self, revision: u64) -> Option<ServerNews> {
        if revision >= self.entries.revision {
            return None;
        }
        if revision < self.complete_since {
            return Some(ServerNews::All(self.entries.clone()));
        }
        let newer = self.changes.iter().filter(|(at, _)| *at > revision);
        let names: BTreeSet<&ServerName> = newer.map(|(_, name)| name).collect();
        let mut changes = ServerChanges {
            revision: self.entries.revision,
            ..ServerChanges::default()
        };
        for name in names {
            match self.entries.servers.get(name) {
                Some(server) => changes.put.push(server.clone()),
                None => changes.gone.push(name.clone()),
            }
        }
        Some(ServerNews::Changes(changes))
    }

    /// Takes what another box told; news that are older than what is known are ignored.
    pub fn take_news(&mut self, now: Time, news: ServerNews) {
        match news {
            ServerNews::All(entries) => self.replace(now, entries),
            ServerNews::Changes(changes) if changes.revision > self.entries.revision => {
                for server in changes.put {
                    self.put(changes.revision, server);
                }
                for name in changes.gone {
                    self.remove(now, changes.revision, &name);
                }
                self.entries.revision = changes.revision;
            }
            ServerNews::Changes(_) => {}
        }
    }

    fn changed(&mut self, revision: u64, name: &ServerName) {
        self.entries.revision = self.entries.revision.max(revision);
        self.changes.push_back((revision, name.clone()));
        if self.changes.len() > MAX_CHANGES {
            let forgotten = self.changes.pop_front();
            self.complete_since = forgotten.map_or(self.complete_since, |(at, _)| at);
        }
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
