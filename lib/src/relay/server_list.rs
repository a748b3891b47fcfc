//! Which backend servers live, from a store that may be away.
//!
//! Servers keep their own entries in the store. An entry that goes while the store works
//! means that its server is gone. One that lapsed while the store was away comes back soon
//! after the store does, if the server lives: so for a short time after the store's return a
//! missing entry is held. What a server said of its own leaving always counts at once.
//!
//! A store that comes back from a copy shows entries as they were: servers that started since are missing
//! until they write again, and are held as after an outage; what is known of a life that ended or
//! leaves stays known.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::HallName;
use crate::ids::ServerName;
use crate::relay::route_table::ServiceName;
use crate::relay::store_position::StorePosition;
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

/// Entries of all servers at one position of the store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerEntries {
    /// Where the store stood when it showed these entries.
    pub position: StorePosition,
    /// By name.
    pub servers: BTreeMap<ServerName, ListedServer>,
}

/// What changed between two positions of one era of the store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerChanges {
    /// Where the changes are complete.
    pub position: StorePosition,
    /// Entries that are new or changed, as they are now.
    pub put: Vec<ListedServer>,
    /// Servers whose entries went.
    pub gone: Vec<ServerName>,
}

/// What a box that is behind is told.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerNews {
    /// Everything: what changed since its position is not known any more, or it is of another era.
    All(ServerEntries),
    /// What changed since then.
    Changes(ServerChanges),
}

/// Changes that are remembered; with more at once, a box that is behind is told everything.
const MAX_CHANGES: usize = 2_000;
/// Lives that are remembered once they are over, for a store that comes back from a copy in which they
/// still stand; such a copy is some seconds old.
const MAX_OVER: usize = 512;

/// What one box believes of the servers.
#[derive(Debug, Default)]
pub struct ServerList {
    entries: ServerEntries,
    /// Names of changed entries by position, oldest first.
    changes: VecDeque<(StorePosition, ServerName)>,
    /// Since when no change is missing from `changes`.
    complete_since: StorePosition,
    /// Lives that leave or whose entries went while the store worked, oldest first, and the era that told
    /// so.
    over: VecDeque<(ServerLife, u64)>,
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
    pub const fn hold_remaining(&self, now: Time) -> Duration {
        now.until(self.hold_until)
    }

    /// Holds missing entries at least this long, as a box does that follows the store.
    pub fn hold_for(&mut self, now: Time, left: Duration) {
        self.hold_until = self.hold_until.max(now + left);
    }

    /// Takes all entries at a position; an older one than known is ignored.
    pub fn replace(&mut self, now: Time, mut entries: ServerEntries) {
        if entries.position < self.entries.position {
            return;
        }
        let was_read = self.entries.position > StorePosition::default();
        if was_read && entries.position.era > self.entries.position.era {
            self.hold_until = self.hold_until.max(now + HOLD_AFTER_RETURN);
        }
        self.keep_what_is_over(&mut entries);
        self.changes.clear();
        self.complete_since = entries.position;
        let before = std::mem::replace(&mut self.entries, entries);
        for (name, server) in before.servers {
            if !self.entries.servers.contains_key(&name) {
                self.went(now, server);
            }
        }
        let known = &self.entries.servers;
        self.held.retain(|name, _| !known.contains_key(name));
    }

    /// Marks lives in a copy of the store that an earlier era told to be over: the copy is older.
    fn keep_what_is_over(&mut self, entries: &mut ServerEntries) {
        let era = entries.position.era;
        for server in entries.servers.values_mut() {
            let life = server.life();
            let told = self.over.iter().find(|(over, _)| *over == life);
            if server.leaving {
                self.note_over(life, era);
            } else if told.is_some_and(|(_, told)| *told < era) {
                server.leaving = true;
            }
        }
    }

    /// Notes that a life is over; the first era that told so counts.
    fn note_over(&mut self, life: ServerLife, era: u64) {
        if self.over.iter().any(|(over, _)| *over == life) {
            return;
        }
        self.over.push_back((life, era));
        if self.over.len() > MAX_OVER {
            self.over.pop_front();
        }
    }

    /// Takes one changed entry; one of another era than the list's is ignored.
    pub fn put(&mut self, position: StorePosition, server: ListedServer) {
        if !self.changed(position, &server.name) {
            return;
        }
        self.held.remove(&server.name);
        if server.leaving {
            self.note_over(server.life(), position.era);
        } else {
            self.over.retain(|(over, _)| *over != server.life());
        }
        self.entries.servers.insert(server.name.clone(), server);
    }

    /// Takes an entry that can't be read: it names no server to use. A server that lives writes its own
    /// again soon.
    pub fn put_unreadable(&mut self, position: StorePosition, name: &ServerName) {
        match self.entries.servers.get(name) {
            Some(server) => {
                let leaving = ListedServer {
                    leaving: true,
                    ..server.clone()
                };
                self.put(position, leaving);
            }
            None => {
                self.changed(position, name);
            }
        }
        self.held.remove(name);
    }

    /// Takes the end of an entry; one of another era than the list's is ignored.
    pub fn remove(&mut self, now: Time, position: StorePosition, name: &ServerName) {
        if !self.changed(position, name) {
            return;
        }
        if let Some(server) = self.entries.servers.remove(name) {
            self.went(now, server);
        }
    }

    /// What a box lacks that has seen all changes up to a position.
    pub fn news_since(&self, position: StorePosition) -> Option<ServerNews> {
        if position >= self.entries.position {
            return None;
        }
        if position < self.complete_since {
            return Some(ServerNews::All(self.entries.clone()));
        }
        let newer = self.changes.iter().filter(|(at, _)| *at > position);
        let names: BTreeSet<&ServerName> = newer.map(|(_, name)| name).collect();
        let mut changes = ServerChanges {
            position: self.entries.position,
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
            ServerNews::Changes(changes) if self.can_take(changes.position) => {
                for server in changes.put {
                    self.put(changes.position, server);
                }
                for name in changes.gone {
                    self.remove(now, changes.position, &name);
                }
                self.entries.position = changes.position;
            }
            ServerNews::Changes(_) => {}
        }
    }

    /// Whether changes up to a position are newer, and of the list's era.
    fn can_take(&self, position: StorePosition) -> bool {
        position > self.entries.position && position.shares_era_with(self.entries.position)
    }

    /// Notes a change; false if it is of another era, and to be ignored.
    fn changed(&mut self, position: StorePosition, name: &ServerName) -> bool {
        if !position.shares_era_with(self.entries.position) {
            return false;
        }
        self.entries.position = self.entries.position.max(position);
        self.changes.push_back((position, name.clone()));
        if self.changes.len() > MAX_CHANGES {
            let forgotten = self.changes.pop_front();
            self.complete_since = forgotten.map_or(self.complete_since, |(at, _)| at);
        }
        true
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
        } else {
            self.note_over(server.life(), self.entries.position.era);
        }
    }
}
