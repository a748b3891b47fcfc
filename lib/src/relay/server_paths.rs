//! Whether this box's own network path to the servers of each service works.
//!
//! A failed connection says something about the server or about the path of this box. Failures at
//! two servers of a service, with no connection made in between, only raise the suspicion that the
//! path is cut: several servers may have crashed together. What peers see of the same servers tells
//! the cases apart. If a peer connects to a server that this box can't connect to, the path is cut,
//! and peers connect from then on, see [`crate::relay::carriers`]. If the server refuses the peer as
//! well, it is down. Services are judged separately, since a path may be cut to the servers of one
//! service only.
//!
//! While a path is suspected or cut, random servers are probed. Connections to two of them restore
//! it. If neither this box nor a peer connects to any of them, no path is left, and calls are
//! refused at once until a probe succeeds. The probe that decides this takes a large sample, since
//! many servers may be down while others are up.
//!
//! Only new connections count. Open ones may outlive a cut, and the system of a server that is
//! silent for a while still accepts connections. A call that is silent for longer than expected is
//! a reason to open some. All servers of another data hall count as one piece of evidence: the link
//! between the halls may be cut, which the peers of this box share.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::HallName;
use crate::relay::engine_load::EngineKey;
use crate::relay::route_table::ServiceName;
use crate::time::Time;

/// Failed places, without a connection in between, after which the path is suspected.
const SUSPECTED_AFTER: usize = 2;
/// Places that are connected to directly, without a failure in between, after which the path counts
/// as restored.
const RESTORED_AFTER: usize = 2;
/// Age after which a failure no longer counts.
const EVIDENCE_TTL: Duration = Duration::from_secs(3);
/// Minimum interval between two checks of a path on which calls are silent.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Servers probed while a path is cut, to notice that it is restored.
const PROBED_SERVERS: usize = 2;
/// Servers probed directly while no path is left; some of them may be down.
const PROBED_SERVERS_WITHOUT_PATH: usize = 4;
/// Servers that must all be out of reach before no path counts as left. With half of the servers
/// down, one sample in 65,000 shows none that is up.
const DECISIVE_PROBES: usize = 16;
/// Bounds of the retry delay of callers while no path is left.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(250);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Hash of a service's name, the same at every box.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ServiceKey(pub u32);

impl ServiceKey {
    /// Key of the service with this name.
    pub fn of(name: &ServiceName) -> Self {
        let mut hasher = DefaultHasher::new();
        name.as_str().hash(&mut hasher);
        Self(hasher.finish() as u32)
    }
}

/// Which way connections to the servers of a service take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerPath {
    /// This box connects to the servers itself.
    Direct,
    /// This box connects itself, and asks a peer if that fails: its path may be cut.
    Suspected,
    /// Its own path is cut; peers connect for it.
    ThroughPeers,
    /// Neither this box nor a peer can connect.
    Unavailable,
}

/// Server that a connection was attempted to.
#[derive(Debug, Clone, Copy)]
pub struct PathTarget<'a> {
    /// Service of the server.
    pub service: &'a ServiceName,
    /// Key of the server.
    pub server: EngineKey,
    /// Data hall of the server.
    pub hall: &'a HallName,
}

/// Whether this box made a connection itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectResult {
    /// The server accepted it.
    Connected,
    /// It was refused, reset or timed out.
    Failed,
}

/// Whether a peer made a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerConnectResult {
    /// The server accepted it.
    Connected,
    /// The server refused it, so it is down.
    Refused,
    /// The server did not answer the peer, or no peer could be asked.
    Unknown,
}

/// How many servers of a service to probe at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProbeSize {
    /// Servers that this box connects to itself.
    pub direct: usize,
    /// How many of these peers connect to as well, if this box fails.
    pub through_peers: usize,
}

/// The path to the servers of a service changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PathChange {
    /// The service.
    pub service: ServiceName,
    /// Path from now on.
    pub path: ServerPath,
    /// Path before.
    pub before: ServerPath,
    /// Number of failed places that count as evidence.
    pub failed: usize,
    /// Age of the oldest of these failures.
    pub oldest_failure: Duration,
    /// Time since the path was last direct; zero if it was until now.
    pub lost_for: Duration,
}

/// A server of the own hall, or another hall.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Place {
    Server(EngineKey),
    Hall(HallName),
}

#[derive(Debug)]
struct ServicePath {
    path: ServerPath,
    /// When the path was last direct, if it is not.
    lost_at: Time,
    /// Places that this box failed to connect to since it last connected to one.
    failed: BTreeMap<Place, Time>,
    /// Places connected to directly since the last failure, while the path is cut.
    connected: BTreeSet<Place>,
    /// Whether a peer failed to connect since one last did.
    has_peer_failed: bool,
}

impl ServicePath {
    const fn direct(now: Time) -> Self {
        Self {
            path: ServerPath::Direct,
            lost_at: now,
            failed: BTreeMap::new(),
            connected: BTreeSet::new(),
            has_peer_failed: false,
        }
    }

    fn restore(&mut self, now: Time) {
        *self = Self::direct(now);
    }

    fn record_direct(&mut self, now: Time, place: Place, places: usize, result: ConnectResult) {
        match (result, self.path) {
            (ConnectResult::Connected, ServerPath::ThroughPeers) => {
                self.connected.insert(place);
                if self.connected.len() >= RESTORED_AFTER.min(places) {
                    self.restore(now);
                }
            }
            (ConnectResult::Connected, _) => self.restore(now),
            (ConnectResult::Failed, path) => {
                self.connected.clear();
                self.failed.retain(|_, at| now.since(*at) < EVIDENCE_TTL);
                self.failed.insert(place, now);
                if path == ServerPath::Direct && self.failed.len() >= SUSPECTED_AFTER.min(places) {
                    self.path = ServerPath::Suspected;
                    self.lost_at = now;
                }
            }
        }
    }

    fn record_at_peer(
        &mut self,
        now: Time,
        place: &Place,
        places: usize,
        result: PeerConnectResult,
    ) {
        self.has_peer_failed = result != PeerConnectResult::Connected;
        match (result, self.path) {
            (_, ServerPath::Direct) => {}
            (PeerConnectResult::Connected, _) => self.path = ServerPath::ThroughPeers,
            (PeerConnectResult::Refused, ServerPath::Suspected) => {
                self.failed.remove(place);
                if self.failed.len() < SUSPECTED_AFTER.min(places) {
                    self.restore(now);
                }
            }
            (PeerConnectResult::Refused | PeerConnectResult::Unknown, _) => {}
        }
    }
}

/// Paths of one box to the servers of all services.
#[derive(Debug)]
pub struct ServerPaths {
    own_hall: HallName,
    services: HashMap<ServiceName, ServicePath>,
    /// When the path to each service was last checked because a call was silent.
    checked: HashMap<ServiceName, Time>,
}

impl ServerPaths {
    /// Paths of a box in `own_hall` that has not connected to any server yet.
    pub fn new(own_hall: HallName) -> Self {
        Self {
            own_hall,
            services: HashMap::new(),
            checked: HashMap::new(),
        }
    }

    /// Path to the servers of a service.
    pub fn path(&self, service: &ServiceName) -> ServerPath {
        let known = self.services.get(service);
        known.map_or(ServerPath::Direct, |known| known.path)
    }

    /// Whether recent connections to servers of the service failed, so that a failure of one server
    /// may be due to the path of this box.
    pub fn is_doubtful(&self, service: &ServiceName) -> bool {
        self.services.contains_key(service)
    }

    /// Whether to check the path because a call to the service is silent. Silence is no evidence by
    /// itself: servers pause for other reasons. Records the check if so.
    pub fn should_check(&mut self, now: Time, service: &ServiceName) -> bool {
        let last = self.checked.get(service);
        let is_due = last.is_none_or(|last| now.since(*last) >= CHECK_INTERVAL);
        let is_checked = is_due && self.path(service) == ServerPath::Direct;
        if is_checked {
            self.checked.insert(service.clone(), now);
        }
        is_checked
    }

    /// Services to which the own path is cut.
    pub fn cut_off(&self) -> impl Iterator<Item = &ServiceName> {
        let is_cut = |path| matches!(path, ServerPath::ThroughPeers | ServerPath::Unavailable);
        let services = self.services.iter();
        services.filter_map(move |(service, known)| is_cut(known.path).then_some(service))
    }

    /// Services to probe: those whose path is suspected or cut.
    pub fn probed(&self) -> impl Iterator<Item = &ServiceName> {
        let services = self.services.iter();
        let services = services.filter(|(_, known)| known.path != ServerPath::Direct);
        services.map(|(service, _)| service)
    }

    /// Whether to probe through peers as well: no peer has connected lately.
    pub fn should_probe_peers(&self, service: &ServiceName) -> bool {
        let known = self.services.get(service);
        known.is_some_and(|known| match known.path {
            ServerPath::Direct => false,
            ServerPath::Suspected | ServerPath::Unavailable => true,
            ServerPath::ThroughPeers => known.has_peer_failed,
        })
    }

    /// How many servers to probe.
    pub fn probe_size(&self, service: &ServiceName) -> ProbeSize {
        let asks_peers = self.should_probe_peers(service);
        match self.path(service) {
            ServerPath::Unavailable => ProbeSize {
                direct: PROBED_SERVERS_WITHOUT_PATH,
                through_peers: PROBED_SERVERS,
            },
            ServerPath::Suspected | ServerPath::ThroughPeers if asks_peers => ProbeSize {
                direct: DECISIVE_PROBES,
                through_peers: DECISIVE_PROBES,
            },
            _ => ProbeSize {
                direct: PROBED_SERVERS,
                through_peers: 0,
            },
        }
    }

    /// Records a connection attempt of this box itself. `halls` are those of the service's servers,
    /// one item for each server.
    pub fn record_direct<'a>(
        &mut self,
        now: Time,
        target: PathTarget<'_>,
        halls: impl Iterator<Item = &'a HallName>,
        result: ConnectResult,
    ) -> Option<PathChange> {
        let is_known = self.services.contains_key(target.service);
        if result == ConnectResult::Connected && !is_known {
            return None;
        }
        let (place, places) = (self.place(target), self.count_places(halls));
        self.change(now, target.service, |known| {
            known.record_direct(now, place, places, result);
        })
    }

    /// Records a connection attempt of a peer for this box.
    pub fn record_at_peer<'a>(
        &mut self,
        now: Time,
        target: PathTarget<'_>,
        halls: impl Iterator<Item = &'a HallName>,
        result: PeerConnectResult,
    ) -> Option<PathChange> {
        if !self.services.contains_key(target.service) {
            return None;
        }
        let (place, places) = (self.place(target), self.count_places(halls));
        self.change(now, target.service, |known| {
            known.record_at_peer(now, &place, places, result);
        })
    }

    /// Records that neither this box nor a peer connected to any of the probed servers.
    pub fn record_failed_probe(&mut self, now: Time, service: &ServiceName) -> Option<PathChange> {
        self.change(now, service, |known| {
            if known.path != ServerPath::Direct {
                known.path = ServerPath::Unavailable;
            }
        })
    }

    /// Delay after which a caller may try again while no path is left: as long as that has lasted,
    /// within bounds, since an outage that has just begun may be short.
    pub fn retry_delay(&self, now: Time, service: &ServiceName) -> Duration {
        let known = self.services.get(service);
        let lasted = known.map_or(Duration::ZERO, |known| now.since(known.lost_at));
        lasted.clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY)
    }

    fn change(
        &mut self,
        now: Time,
        service: &ServiceName,
        f: impl FnOnce(&mut ServicePath),
    ) -> Option<PathChange> {
        let known = self.services.entry(service.clone());
        let known = known.or_insert_with(|| ServicePath::direct(now));
        let (before, lost_at) = (known.path, known.lost_at);
        f(known);
        let path = known.path;
        let lost_for = match before {
            ServerPath::Direct => Duration::ZERO,
            _ => now.since(lost_at),
        };
        let change = (path != before).then(|| PathChange {
            service: service.clone(),
            path,
            before,
            failed: known.failed.len(),
            oldest_failure: (known.failed.values().min())
                .map_or(Duration::ZERO, |at| now.since(*at)),
            lost_for,
        });
        if known.failed.is_empty() && known.path == ServerPath::Direct {
            self.services.remove(service);
        }
        change
    }

    fn place(&self, target: PathTarget<'_>) -> Place {
        if *target.hall == self.own_hall {
            Place::Server(target.server)
        } else {
            Place::Hall(target.hall.clone())
        }
    }

    /// Number of different places among the servers of a service, at least 1.
    fn count_places<'a>(&self, halls: impl Iterator<Item = &'a HallName>) -> usize {
        let mut others = BTreeSet::new();
        let mut own = 0;
        for hall in halls {
            if *hall == self.own_hall {
                own += 1;
            } else {
                others.insert(hall);
            }
        }
        (own + others.len()).max(1)
    }
}
