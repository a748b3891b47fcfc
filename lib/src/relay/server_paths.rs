//! Whether this box's own network path to the servers of each service works.
//!
//! A failed connection says something about the server or about the path of this box. Failures at
//! several servers of a service, with no connection made in between, are evidence about the path:
//! the box then connects through peers, see [`crate::relay::carriers`], and probes its own path
//! until servers can be connected to directly again. Services are judged separately, since a path
//! may be cut to the servers of one service only.
//!
//! Only new connections count. Open ones may outlive a cut, and the system of a server that is
//! silent for a while still accepts connections. A call that is silent for longer than expected is
//! a reason to open some. All servers of another data hall count as one
//! piece of evidence: the link between the halls may be cut, which the peers of this box share.
//!
//! A peer that can't connect either is evidence that the servers are down, or that the peer is cut
//! off as well. If no peer connects, calls are refused at once until a probe succeeds.

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

/// Failed places, without a connection in between, after which the path counts as cut.
const LOST_AFTER: usize = 2;
/// Places that peers can't connect to, without a connection in between, after which no path is left.
const NO_PATH_AFTER: usize = 3;
/// Places that are connected to directly, without a failure in between, after which the path counts
/// as restored.
const RESTORED_AFTER: usize = 2;
/// Age after which a failure no longer counts.
const EVIDENCE_TTL: Duration = Duration::from_secs(3);
/// Minimum interval between two checks of a path on which calls are silent.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
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

/// Whether a connection was made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectResult {
    /// The server accepted it.
    Connected,
    /// It was refused, reset or timed out.
    Failed,
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
    /// Time since the own path was lost; zero if it is lost now.
    pub lost_for: Duration,
}

/// A server of the own hall, or another hall.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Place {
    Server(EngineKey),
    Hall(HallName),
}

/// The own path is cut.
#[derive(Debug)]
struct Cut {
    since: Time,
    /// Places connected to directly since the last failure.
    connected: BTreeSet<Place>,
    /// Places that peers failed to connect to since one last did.
    failed_at_peers: BTreeSet<Place>,
    is_available: bool,
}

impl Cut {
    const fn starting(since: Time) -> Self {
        Self {
            since,
            connected: BTreeSet::new(),
            failed_at_peers: BTreeSet::new(),
            is_available: true,
        }
    }

    const fn path(&self) -> ServerPath {
        if self.is_available {
            ServerPath::ThroughPeers
        } else {
            ServerPath::Unavailable
        }
    }
}

#[derive(Debug, Default)]
struct ServicePath {
    /// Places that this box failed to connect to since it last connected to one.
    failed: BTreeMap<Place, Time>,
    cut: Option<Cut>,
}

impl ServicePath {
    fn path(&self) -> ServerPath {
        self.cut.as_ref().map_or(ServerPath::Direct, Cut::path)
    }

    fn record_direct(&mut self, now: Time, place: Place, places: usize, result: ConnectResult) {
        match (result, &mut self.cut) {
            (ConnectResult::Connected, None) => self.failed.clear(),
            (ConnectResult::Connected, Some(cut)) => {
                self.failed.remove(&place);
                cut.connected.insert(place);
                if cut.connected.len() >= RESTORED_AFTER.min(places) {
                    self.cut = None;
                    self.failed.clear();
                }
            }
            (ConnectResult::Failed, Some(cut)) => {
                cut.connected.clear();
                self.failed.insert(place, now);
            }
            (ConnectResult::Failed, None) => {
                self.failed.retain(|_, at| now.since(*at) < EVIDENCE_TTL);
                self.failed.insert(place, now);
                if self.failed.len() >= LOST_AFTER.min(places) {
                    self.cut = Some(Cut::starting(now));
                }
            }
        }
    }

    fn record_at_peer(&mut self, place: Place, places: usize, result: ConnectResult) {
        let Some(cut) = &mut self.cut else { return };
        match result {
            ConnectResult::Connected => {
                cut.failed_at_peers.clear();
                cut.is_available = true;
            }
            ConnectResult::Failed => {
                cut.failed_at_peers.insert(place);
                if cut.failed_at_peers.len() >= NO_PATH_AFTER.min(places) {
                    cut.is_available = false;
                }
            }
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
        known.map_or(ServerPath::Direct, ServicePath::path)
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

    /// Services to which the own path is cut, and since when.
    pub fn cut_off(&self) -> impl Iterator<Item = (&ServiceName, Time)> {
        let services = self.services.iter();
        services.filter_map(|(service, known)| Some((service, known.cut.as_ref()?.since)))
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
        result: ConnectResult,
    ) -> Option<PathChange> {
        let (place, places) = (self.place(target), self.count_places(halls));
        self.change(now, target.service, |known| {
            known.record_at_peer(place, places, result);
        })
    }

    /// Records that no peer could be asked to connect.
    pub fn record_no_peer(&mut self, now: Time, service: &ServiceName) -> Option<PathChange> {
        self.change(now, service, |known| {
            if let Some(cut) = &mut known.cut {
                cut.is_available = false;
            }
        })
    }

    /// Delay after which a caller may try again while no path is left: as long as the cut has lasted,
    /// within bounds, since a cut that has just begun may be short.
    pub fn retry_delay(&self, now: Time, service: &ServiceName) -> Duration {
        let known = self.services.get(service);
        let since = known
            .and_then(|known| known.cut.as_ref())
            .map(|cut| cut.since);
        let lasted = since.map_or(Duration::ZERO, |since| now.since(since));
        lasted.clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY)
    }

    fn change(
        &mut self,
        now: Time,
        service: &ServiceName,
        f: impl FnOnce(&mut ServicePath),
    ) -> Option<PathChange> {
        let known = self.services.entry(service.clone()).or_default();
        let before = known.path();
        let cut_since = known.cut.as_ref().map(|cut| cut.since);
        f(known);
        let path = known.path();
        let change = (path != before).then(|| PathChange {
            service: service.clone(),
            path,
            before,
            failed: known.failed.len(),
            oldest_failure: (known.failed.values().min())
                .map_or(Duration::ZERO, |at| now.since(*at)),
            lost_for: cut_since.map_or(Duration::ZERO, |since| now.since(since)),
        });
        if known.failed.is_empty() && known.cut.is_none() {
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
