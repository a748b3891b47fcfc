//! What the threads of a relaying daemon share.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arc_swap::ArcSwapOption;
use badgerferry_lib::ids::ServerName;
use badgerferry_lib::relay::engine_load::EngineKey;
use badgerferry_lib::relay::engine_load::EngineLoadTracker;
use badgerferry_lib::relay::gossip_topology;
use badgerferry_lib::relay::gossip_topology::Boxes;
use badgerferry_lib::relay::gossip_topology::GossipScope;
use badgerferry_lib::relay::long_prompt_queue::LongPromptQueue;
use badgerferry_lib::relay::quarantine;
use badgerferry_lib::relay::quarantine::Quarantine;
use badgerferry_lib::relay::request_fingerprint::RequestFingerprint;
use badgerferry_lib::relay::retry_window::RetryWindow;
use badgerferry_lib::relay::route_table::RouteIndex;
use badgerferry_lib::relay::route_table::RouteTable;
use badgerferry_lib::relay::route_table::ServiceName;
use badgerferry_lib::relay::server_list::ServerList;
use badgerferry_lib::relay::server_notices::NoticeRows;
use badgerferry_lib::relay::server_tracker::ServerTracker;
use badgerferry_lib::relay::slow_engine_tracker::SlowEngineTracker;
use badgerferry_lib::relay::state_pull::BoxAddresses;
use badgerferry_lib::relay::state_pull::KnownState;
use badgerferry_lib::relay::state_pull::PullRequest;
use badgerferry_lib::relay::state_pull::PullResponse;
use badgerferry_lib::time::Time;
use badgerferry_platform::settings_file::BoxSettings;
use hyper::body::Bytes;
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::clock::Clock;
use crate::relay::cluster_view::ClusterView;
use crate::relay::server_gate::GateParts;
use crate::relay::server_gate::ServerGate;
use crate::relay::unknown_headers::UnknownHeaders;
use crate::relay::upstream::Upstream;
use crate::traffic::lock;

/// A store that answered within this time is followed; a watch takes little less.
const FOLLOWS: Duration = Duration::from_secs(4);
/// Without a word of a neighbour that follows the store for this long, a box follows it itself.
const NEIGHBOUR_SILENCE: Duration = Duration::from_millis(1_500);
/// Boxes of each hall that always follow the store.
const FOLLOWERS_PER_HALL: usize = 2;

/// Where other boxes reach this one.
pub fn own_addresses(settings: &BoxSettings) -> BoxAddresses {
    BoxAddresses {
        name: settings.name.clone(),
        hall: settings.hall.to_string(),
        pull: settings.pull.to_string(),
        load: settings.load.to_string(),
        processor: settings.processor,
    }
}

/// A route table, encoded once for all boxes that ask for it.
#[derive(Debug, Clone)]
struct EncodedTable {
    version: u64,
    bytes: Bytes,
}

/// What the threads share.
#[derive(Debug)]
pub struct Relay {
    /// What the platform told this process.
    pub settings: BoxSettings,
    /// Distinguishes this life of the process from others.
    pub incarnation: u64,
    /// The process's clock.
    pub clock: Clock,
    /// The route table in force.
    pub routes: ArcSwapOption<RouteIndex>,
    /// Wakes calls that wait for the first route table.
    routes_known: Notify,
    /// Servers and how they do.
    pub tracker: Arc<Mutex<ServerTracker>>,
    /// Work at engines, of all boxes.
    pub loads: Mutex<EngineLoadTracker>,
    /// Engines that are slow.
    pub slow_engine_tracker: Mutex<SlowEngineTracker>,
    /// Long prompts that wait for engines.
    pub long_prompt_queue: Mutex<LongPromptQueue>,
    /// Retry budgets by service.
    pub retries: Mutex<HashMap<ServiceName, RetryWindow>>,
    /// Pieces of work under which servers ended.
    pub quarantine: Mutex<Quarantine>,
    /// Wakes calls that wait for what a run of their work tells.
    pub admission_changed: Notify,
    /// Wakes whoever writes to the store what is known of them.
    pub quarantine_changed: Notify,
    /// The way to servers.
    pub gate: ServerGate,
    /// Headers of servers that nothing reads.
    pub unknown_headers: UnknownHeaders,
    /// Connections to servers.
    pub upstream: Upstream,
    /// What control knows of the platform's state.
    pub cluster_view: Arc<Mutex<ClusterView>>,
    /// The route table in force as other boxes are told it.
    encoded_table: Mutex<Option<EncodedTable>>,
    /// Wakes the sender of load datagrams.
    pub load_changed: Arc<Notify>,
    /// Wakes it at once: a long prompt waits, starts or has been read, an engine is slow, there are
    /// new routes, or servers leave.
    pub urgent_changed: Arc<Notify>,
    /// Wakes whoever tells other halls: a long prompt of this hall waits, starts or has been read.
    pub hall_changed: Arc<Notify>,
    /// Whether a planned stop has begun.
    pub stopping: AtomicBool,
    /// Whether new calls are refused, late in a planned stop.
    pub refusing: AtomicBool,
    /// Calls whose answers are not yet out.
    pub in_flight: AtomicUsize,
}

impl Relay {
    /// A box that knows nothing yet but itself.
    pub fn new(settings: BoxSettings) -> Self {
        let own = own_addresses(&settings);
        let cluster_view = ClusterView {
            boxes: Boxes::from([(own.name.clone(), own)]),
            ..ClusterView::default()
        };
        let cluster_view = Arc::new(Mutex::new(cluster_view));
        let tracker: Arc<Mutex<ServerTracker>> = Arc::default();
        let load_changed: Arc<Notify> = Arc::default();
        let urgent_changed: Arc<Notify> = Arc::default();
        let hall_changed: Arc<Notify> = Arc::default();
        let clock = Clock::start();
        let gate = ServerGate::new(GateParts {
            own: settings.name.clone(),
            clock,
            cluster_view: Arc::clone(&cluster_view),
            tracker: Arc::clone(&tracker),
            load_changed: Arc::clone(&load_changed),
            urgent_changed: Arc::clone(&urgent_changed),
            hall_changed: Arc::clone(&hall_changed),
        });
        Self {
            settings,
            incarnation: rand::random(),
            clock,
            routes: ArcSwapOption::empty(),
            routes_known: Notify::new(),
            tracker,
            loads: Mutex::default(),
            slow_engine_tracker: Mutex::default(),
            long_prompt_queue: Mutex::default(),
            retries: Mutex::default(),
            quarantine: Mutex::default(),
            admission_changed: Notify::new(),
            quarantine_changed: Notify::new(),
            gate,
            unknown_headers: UnknownHeaders::default(),
            upstream: Upstream::default(),
            cluster_view,
            encoded_table: Mutex::default(),
            load_changed,
            urgent_changed,
            hall_changed,
            stopping: AtomicBool::new(false),
            refusing: AtomicBool::new(false),
            in_flight: AtomicUsize::new(0),
        }
    }

    /// Whether the balancer may send callers here.
    pub fn is_ready(&self) -> bool {
        self.routes.load().is_some() && !self.is_stopping()
    }

    /// The route table in force; waits at most so long for the first one.
    pub async fn routes_within(&self, patience: Duration) -> Option<Arc<RouteIndex>> {
        // Listens before it looks: a table that comes between the two is not missed.
        let known = self.routes_known.notified();
        match self.routes.load_full() {
            Some(routes) => Some(routes),
            None if self.is_stopping() => None,
            None => {
                // Whether it came or not is looked at below.
                let _ = timeout(patience, known).await;
                self.routes.load_full()
            }
        }
    }

    /// Whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    /// Rank of an engine in this box's own order.
    pub fn preference(&self, engine: EngineKey) -> u32 {
        let own = EngineKey::of(&ServerName::new(&self.settings.name));
        (engine.0 ^ own.0).wrapping_mul(0x9E37_79B1)
    }

    /// Whether new calls are refused.
    pub fn refuses_calls(&self) -> bool {
        self.refusing.load(Ordering::SeqCst)
    }

    /// Boxes that serve, this one included, as far as it knows.
    pub fn box_count(&self) -> usize {
        lock(&self.cluster_view).boxes.len().max(1)
    }

    /// Whether the store answered lately.
    pub fn follows_store(&self) -> bool {
        let now = self.clock.now();
        let at = lock(&self.cluster_view).store_answered_at;
        at.is_some_and(|at| now.since(at) < FOLLOWS)
    }

    /// Whether this box asks the store itself, or takes news from neighbours that do.
    ///
    /// Each call to the store is paid for, so only the first boxes of each hall follow it, and
    /// whoever hears of none that does.
    pub fn must_follow_store(&self) -> bool {
        let now = self.clock.now();
        let cluster_view = lock(&self.cluster_view);
        let own = &self.settings;
        let before =
            gossip_topology::rank_in_hall(&cluster_view.boxes, &own.hall, own.processor, &own.name);
        let hears = |at: Time| now.since(at) < NEIGHBOUR_SILENCE;
        before < FOLLOWERS_PER_HALL || !cluster_view.peer_followed_store_at.is_some_and(hears)
    }

    /// Which state this box has.
    pub fn known_state(&self) -> KnownState {
        KnownState {
            routes: self.current_route_version(),
            servers: lock(&self.cluster_view).servers.entries().position,
        }
    }

    /// Version of the route table in force.
    pub fn current_route_version(&self) -> Option<u64> {
        let routes = self.routes.load();
        routes.as_ref().map(|index| index.table().version)
    }

    /// Boxes that choose among the engines which this box uses first.
    pub fn boxes_in_scope(&self, scope: GossipScope) -> usize {
        let cluster_view = lock(&self.cluster_view);
        let own = &self.settings.hall;
        let beside = cluster_view.boxes.values();
        let beside = beside.filter(|of| scope.includes(own, &of.hall)).count();
        beside.max(1)
    }

    /// This box's rank among those that take turns with a suspect work.
    pub fn rank_for(&self, work: RequestFingerprint) -> usize {
        let cluster_view = lock(&self.cluster_view);
        let names = cluster_view.boxes.keys().map(String::as_str);
        quarantine::rank(work, &self.settings.name, names)
    }

    /// Whether a box is known to stand in this box's hall.
    pub fn is_in_own_hall(&self, boxes: &Boxes, name: &str) -> bool {
        let of = boxes.get(name);
        of.is_some_and(|of| of.hall == self.settings.hall.as_str())
    }

    /// What another box lacks; see [`Self::encoded_table_for`].
    pub fn newer_state_for(&self, request: &PullRequest) -> PullResponse {
        let known_state = request.known_state;
        // Boxes that are up hear of them with the datagrams.
        let has_just_started = known_state.routes.is_none();
        let notices = if has_just_started {
            lock(&self.gate.notices).all_rows(self.clock.now())
        } else {
            NoticeRows::default()
        };
        let cluster_view = lock(&self.cluster_view);
        let boxes = if request.wants_boxes {
            cluster_view.boxes.values().cloned().collect()
        } else {
            Vec::new()
        };
        PullResponse {
            table_follows: self.current_route_version() > known_state.routes,
            servers: cluster_view.servers.update_since(known_state.servers),
            hold_remaining: cluster_view.servers.hold_remaining(self.clock.now()),
            notices,
            boxes,
        }
    }

    /// The route table in force as it follows an answer.
    pub fn encoded_table_for(&self, answer: &PullResponse) -> Option<Bytes> {
        answer.table_follows.then(|| self.encoded_table()).flatten()
    }

    fn encoded_table(&self) -> Option<Bytes> {
        let routes = self.routes.load_full()?;
        let version = routes.table().version;
        let mut encoded = lock(&self.encoded_table);
        if let Some(table) = encoded.as_ref().filter(|table| table.version == version) {
            return Some(table.bytes.clone());
        }
        let bytes = match postcard::to_stdvec(routes.table()) {
            Ok(bytes) => Bytes::from(bytes),
            Err(cause) => {
                tracing::error!(%cause, version, "the route table can't be encoded");
                return None;
            }
        };
        *encoded = Some(EncodedTable {
            version,
            bytes: bytes.clone(),
        });
        Some(bytes)
    }

    /// Puts a route table in force if its version is higher than that of the one that is.
    pub fn update_routes(&self, table: RouteTable, source: &'static str) {
        // Held until the table is in force: tables come from the store and from other boxes.
        let cluster_view = lock(&self.cluster_view);
        let (version, before) = (table.version, self.current_route_version());
        let position = cluster_view.servers.entries().position;
        if before >= Some(version) {
            if before > Some(version) {
                tracing::info!(
                    version,
                    in_force = before,
                    source,
                    "older routes passed over"
                );
            }
            return;
        }
        tracing::info!(
            version,
            before,
            era = position.era,
            revision = position.revision,
            routes = table.routes.len(),
            workspaces = table.workspaces.len(),
            source,
            "routes in force"
        );
        self.routes.store(Some(Arc::new(RouteIndex::new(table))));
        drop(cluster_view);
        self.routes_known.notify_waiters();
        // Neighbours are told at once, not after the pause that a hundred boxes in a hall bring: each
        // round in which the routes spread would take that pause longer.
        self.urgent_changed.notify_one();
    }

    /// Changes what is believed of the servers and shows it to traffic.
    pub fn update_servers(&self, f: impl FnOnce(&mut ServerList)) {
        f(&mut lock(&self.cluster_view).servers);
        self.publish_servers();
    }

    /// Shows traffic what is believed of the servers after news of the store, and tells the other
    /// boxes at once of those that leave.
    pub fn publish_store_servers(&self) {
        let servers = lock(&self.cluster_view).servers.servers();
        let departs = lock(&self.tracker).record_departures(self.clock.now(), &servers);
        self.publish_servers();
        if departs {
            self.urgent_changed.notify_one();
        }
    }

    /// Shows traffic what is believed of the servers.
    pub fn publish_servers(&self) {
        let servers = lock(&self.cluster_view).servers.servers();
        let listed: HashSet<EngineKey> = (servers.iter())
            .map(|server| EngineKey::of(&server.name))
            .collect();
        lock(&self.slow_engine_tracker).retain(|engine| listed.contains(&engine));
        lock(&self.tracker).set_servers(servers);
        self.load_changed.notify_one();
    }
}
