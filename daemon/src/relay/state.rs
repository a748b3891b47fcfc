//! State shared by the control and traffic threads in relay mode.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::time::Duration;

use arc_swap::ArcSwap;
use arc_swap::ArcSwapOption;
use badgerferry_lib::ids::HallName;
use badgerferry_lib::ids::ServerName;
use badgerferry_lib::relay::budget_share::STORE_CONTACT_TIMEOUT;
use badgerferry_lib::relay::cold_servers;
use badgerferry_lib::relay::cold_servers::ColdChange;
use badgerferry_lib::relay::cold_servers::ListedServer;
use badgerferry_lib::relay::engine_load::EngineKey;
use badgerferry_lib::relay::engine_load::EngineLoadTracker;
use badgerferry_lib::relay::evacuated_halls::HallSet;
use badgerferry_lib::relay::gossip_topology;
use badgerferry_lib::relay::gossip_topology::Boxes;
use badgerferry_lib::relay::gossip_topology::FOLLOWERS_PER_HALL;
use badgerferry_lib::relay::gossip_topology::GossipScope;
use badgerferry_lib::relay::hall_hubs::HallHubs;
use badgerferry_lib::relay::long_prompt_queue::LongPromptQueue;
use badgerferry_lib::relay::quarantine;
use badgerferry_lib::relay::quarantine::Quarantine;
use badgerferry_lib::relay::retry_window::RetryWindow;
use badgerferry_lib::relay::route_table::RouteIndex;
use badgerferry_lib::relay::route_table::RouteTable;
use badgerferry_lib::relay::route_table::ServiceName;
use badgerferry_lib::relay::server_list::ServerEntry;
use badgerferry_lib::relay::server_list::ServerList;
use badgerferry_lib::relay::server_notices::NoticeRows;
use badgerferry_lib::relay::server_paths::ServerPaths;
use badgerferry_lib::relay::server_tracker::ServerTracker;
use badgerferry_lib::relay::slow_engine_tracker::SlowEngineTracker;
use badgerferry_lib::relay::state_pull::BoxAddresses;
use badgerferry_lib::relay::state_pull::KnownState;
use badgerferry_lib::relay::state_pull::PullRequest;
use badgerferry_lib::relay::state_pull::PullResponse;
use badgerferry_lib::relay::store_position::StorePosition;
use badgerferry_lib::relay::suspect_key::SuspectKey;
use badgerferry_lib::relay::suspension::SuspensionMonitor;
use badgerferry_lib::relay::unread_sends::UnreadSends;
use badgerferry_lib::time::Time;
use badgerferry_platform::settings_file::BoxSettings;
use hyper::body::Bytes;
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::clock::Clock;
use crate::relay::call_retry::PendingSend;
use crate::relay::cluster_view::ClusterView;
use crate::relay::connection_pool::ConnectionPool;
use crate::relay::held_bytes::HeldByteAccount;
use crate::relay::planned_stop::PlannedStop;
use crate::relay::process_watches::ProcessWatches;
use crate::relay::server_gate::GateContext;
use crate::relay::server_gate::ServerGate;
use crate::relay::status_checks::StatusChecks;
use crate::relay::unknown_headers::UnknownHeaders;
use crate::traffic::lock;

/// A box follows the store itself if no datagram of a peer that does so has arrived for this long.
const PEER_FOLLOWER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time from its start in which a box waits for a datagram of a peer that follows the store.
const FIRST_FOLLOWER_TIMEOUT: Duration = Duration::from_secs(3);
/// The same for a box that is new to the fleet. When all boxes start for the first time, it takes
/// some rounds until they have found each other.
const NEW_BOX_FOLLOWER_TIMEOUT: Duration = Duration::from_secs(8);
/// The same for a new box that ranks among the followers of its hall, but knows few of the other
/// boxes: from the first to the second duration, different for each box. So a few begin, and
/// the others hear of them.
const UNSURE_FOLLOWER_TIMEOUTS: [Duration; 2] = [Duration::from_secs(1), Duration::from_secs(5)];

/// Addresses and rank under which this box registers.
pub fn own_addresses(settings: &BoxSettings) -> BoxAddresses {
    BoxAddresses {
        name: settings.name.clone(),
        hall: settings.hall.to_string(),
        pull: settings.pull.to_string(),
        load: settings.load.to_string(),
        processor: settings.processor,
    }
}

/// A route table, encoded once for all boxes that pull it.
#[derive(Debug, Clone)]
struct EncodedTable {
    version: u64,
    bytes: Bytes,
}

/// State shared by the control and traffic threads.
#[derive(Debug)]
pub struct Relay {
    /// Settings of this box, read from the settings file at the start.
    pub settings: BoxSettings,
    /// Random number that distinguishes this run of the process from others.
    pub incarnation: u64,
    /// Random number from 0 to 1, by which boxes act at different times.
    pub spread: f64,
    /// Clock of the process.
    pub clock: Clock,
    /// Current route table, if one is known yet.
    pub routes: ArcSwapOption<RouteIndex>,
    /// Notifies calls that wait for the first route table.
    routes_known: Notify,
    /// Health and load of each server.
    pub tracker: Arc<Mutex<ServerTracker>>,
    /// Data halls that the operator evacuates.
    pub evacuated_halls: Arc<ArcSwap<HallSet>>,
    /// Load that all boxes place on the engines.
    pub loads: Mutex<EngineLoadTracker>,
    /// Which engines are slow.
    pub slow_engine_tracker: Mutex<SlowEngineTracker>,
    /// Long prompts queued for engines.
    pub long_prompt_queue: Mutex<LongPromptQueue>,
    /// Retry budgets by service.
    pub retries: Mutex<HashMap<ServiceName, RetryWindow>>,
    /// Requests during which servers crashed.
    pub quarantine: Mutex<Quarantine>,
    /// Notifies calls that wait for admission because their request is suspect.
    pub admission_changed: Notify,
    /// Notifies the task that writes the quarantine's facts to the store.
    pub quarantine_changed: Notify,
    /// Admits calls to servers, by their notices and limits.
    pub gate: ServerGate,
    /// Response headers of servers that the daemon doesn't know.
    pub unknown_headers: UnknownHeaders,
    /// Bytes held for slow callers and servers.
    pub held_bytes: Arc<HeldByteAccount>,
    /// Status checks of servers that have not responded.
    pub status_checks: StatusChecks,
    /// Abandoned runs whose server is watched.
    pub abandoned_runs: Arc<AtomicUsize>,
    /// Server processes that may still run abandoned calls.
    pub process_watches: ProcessWatches,
    /// Sends whose connection ended before any response.
    pub unread_sends: Mutex<UnreadSends<PendingSend>>,
    /// Whether the own path to the servers of each service is cut.
    pub server_paths: Mutex<ServerPaths>,
    /// Notifies the task that probes paths that are cut.
    pub server_path_changed: Notify,
    /// Whether this box was suspended lately.
    pub suspension: Mutex<SuspensionMonitor>,
    /// Connections that this box carries for peers.
    pub carried: AtomicUsize,
    /// Idle connections to servers.
    pub connection_pool: ConnectionPool,
    /// Servers, boxes and contact with the store.
    pub cluster_view: Arc<Mutex<ClusterView>>,
    /// Gossip through hubs, if the own hall is large. Locked after `cluster_view`.
    pub hubs: Mutex<HallHubs>,
    /// Notifies the task that sends batches as a hub.
    pub hub_batch_changed: Notify,
    /// Current route table as sent to other boxes.
    encoded_table: Mutex<Option<EncodedTable>>,
    /// Notifies the sender of this box's load, which waits for its minimum interval.
    pub load_changed: Arc<Notify>,
    /// Notifies the sender of this box's load to send at once: a long prompt is queued, starts or
    /// has been prefilled, an engine is slow, a server is faulty, leaves or changes its limit, the
    /// path to the servers of a service is cut or restored, there are new routes, a hall is
    /// evacuated or restored, a run of a suspect request starts or ends, or its record changes.
    pub urgent_changed: Arc<Notify>,
    /// Notifies the sender of the hall's load to other halls: a box of this hall announces one of
    /// the changes of `urgent_changed`.
    pub hall_changed: Arc<Notify>,
    /// The planned stop of this process.
    pub stop: PlannedStop,
    /// Calls whose responses are not fully sent yet.
    pub in_flight: AtomicUsize,
    /// Connections of callers with bytes that wait to be written.
    pub blocked_callers: AtomicUsize,
    /// Calls for which something is still done although their caller has left.
    pub calls_without_caller: AtomicUsize,
}

impl Relay {
    /// State of a box that has just started and knows only itself.
    pub fn new(settings: BoxSettings) -> Self {
        let own = own_addresses(&settings);
        let cluster_view = ClusterView {
            servers: ServerList::new(settings.evacuation_hold),
            boxes: Boxes::from([(own.name.clone(), own)]),
            ..ClusterView::default()
        };
        let cluster_view = Arc::new(Mutex::new(cluster_view));
        let tracker: Arc<Mutex<ServerTracker>> = Arc::default();
        let evacuated_halls: Arc<ArcSwap<HallSet>> = Arc::default();
        let load_changed: Arc<Notify> = Arc::default();
        let urgent_changed: Arc<Notify> = Arc::default();
        let hall_changed: Arc<Notify> = Arc::default();
        let clock = Clock::start();
        let stop = PlannedStop::new(clock, settings.stop_time);
        let gate = ServerGate::new(GateContext {
            own: settings.name.clone(),
            cold_tolerance: settings.cold_tolerance,
            clock,
            cluster_view: Arc::clone(&cluster_view),
            tracker: Arc::clone(&tracker),
            evacuated_halls: Arc::clone(&evacuated_halls),
            load_changed: Arc::clone(&load_changed),
            urgent_changed: Arc::clone(&urgent_changed),
            hall_changed: Arc::clone(&hall_changed),
            hall: settings.hall.clone(),
            retries: settings.retries,
        });
        let held_bytes = HeldByteAccount::new(clock, settings.memory);
        let body_bound = held_bytes.limits().map(|limits| limits.side);
        let quarantine = Mutex::new(Quarantine::with_crash_delay(settings.crash_delay));
        let server_paths = Mutex::new(ServerPaths::new(settings.hall.clone()));
        let hubs = Mutex::new(HallHubs::new(&settings.name));
        Self {
            settings,
            incarnation: rand::random(),
            spread: rand::random_range(0.0..1.0),
            clock,
            routes: ArcSwapOption::empty(),
            routes_known: Notify::new(),
            tracker,
            evacuated_halls,
            loads: Mutex::default(),
            slow_engine_tracker: Mutex::default(),
            long_prompt_queue: Mutex::default(),
            retries: Mutex::default(),
            quarantine,
            admission_changed: Notify::new(),
            quarantine_changed: Notify::new(),
            gate,
            unknown_headers: UnknownHeaders::default(),
            held_bytes,
            status_checks: StatusChecks::default(),
            abandoned_runs: Arc::default(),
            process_watches: ProcessWatches::default(),
            unread_sends: Mutex::default(),
            server_paths,
            server_path_changed: Notify::new(),
            suspension: Mutex::new(SuspensionMonitor::new(clock.now())),
            carried: AtomicUsize::new(0),
            connection_pool: ConnectionPool::new(body_bound),
            cluster_view,
            hubs,
            hub_batch_changed: Notify::new(),
            encoded_table: Mutex::default(),
            load_changed,
            urgent_changed,
            hall_changed,
            stop,
            in_flight: AtomicUsize::new(0),
            blocked_callers: AtomicUsize::new(0),
            calls_without_caller: AtomicUsize::new(0),
        }
    }

    /// Whether the load balancer may send calls to this box.
    pub fn is_ready(&self) -> bool {
        self.routes.load().is_some() && !self.is_stopping()
    }

    /// Returns the current route table, after waiting at most `max_wait` for the first one.
    pub async fn routes_within(&self, max_wait: Duration) -> Option<Arc<RouteIndex>> {
        // Subscribes before the check, so that a table that arrives in between is not missed.
        let known = self.routes_known.notified();
        match self.routes.load_full() {
            Some(routes) => Some(routes),
            None if self.is_stopping() => None,
            None => {
                // Checked again after either the notification or the time-out.
                let _ = timeout(max_wait, known).await;
                self.routes.load_full()
            }
        }
    }

    /// Whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stop.has_begun()
    }

    /// Rank of an engine in this box's order of preference. Each box has a different order.
    pub fn preference(&self, engine: EngineKey) -> u32 {
        let own = EngineKey::of(&ServerName::new(&self.settings.name));
        (engine.0 ^ own.0).wrapping_mul(0x9E37_79B1)
    }

    /// Number of known boxes, this one included.
    pub fn box_count(&self) -> usize {
        lock(&self.cluster_view).boxes.len().max(1)
    }

    /// Number of boxes among which the retry budget is divided; zero while this box has no share.
    pub fn budget_boxes(&self) -> usize {
        lock(&self.cluster_view).budget_boxes(self.clock.now())
    }

    /// Whether the store responded within the contact time-out.
    pub fn follows_store(&self) -> bool {
        let now = self.clock.now();
        let at = lock(&self.cluster_view).store_answered_at;
        at.is_some_and(|at| now.since(at) < STORE_CONTACT_TIMEOUT)
    }

    /// Whether this box follows the store itself instead of pulling updates from peers that do.
    ///
    /// Each call to the store is billed, so only the highest-ranked boxes of each hall follow it,
    /// and boxes that receive no datagrams from a peer that follows it.
    pub fn must_follow_store(&self) -> bool {
        self.follows_store_in().is_zero()
    }

    /// Time until this box follows the store itself, unless it hears a peer that does before.
    pub fn follows_store_in(&self) -> Duration {
        let now = self.clock.now();
        let rank = self.rank_in_hall();
        let cluster_view = lock(&self.cluster_view);
        let uptime = now.since(Time::ZERO);
        let is_new_box = cluster_view.is_new_box && uptime < NEW_BOX_FOLLOWER_TIMEOUT;
        let is_first = rank < FOLLOWERS_PER_HALL;
        let is_unsure = is_new_box && cluster_view.knows_few_boxes(now);
        if is_first && !is_unsure {
            return Duration::ZERO;
        }
        let heard_at = cluster_view.peer_followed_store_at;
        let max_silence = match heard_at {
            _ if is_first => {
                let [earliest, latest] = UNSURE_FOLLOWER_TIMEOUTS;
                earliest + latest.saturating_sub(earliest).mul_f64(self.spread)
            }
            _ if is_new_box => NEW_BOX_FOLLOWER_TIMEOUT,
            Some(_) => PEER_FOLLOWER_TIMEOUT,
            None => FIRST_FOLLOWER_TIMEOUT,
        };
        let max_silence = if cluster_view.peer_liveness.has_live_peer(now) {
            gossip_topology::takeover_timeout(rank, max_silence)
        } else {
            max_silence
        };
        now.until(heard_at.unwrap_or(Time::ZERO) + max_silence)
    }

    /// Whether this box is one of the highest-ranked boxes of its hall that it knows.
    pub fn is_follower_by_rank(&self) -> bool {
        self.rank_in_hall() < FOLLOWERS_PER_HALL
    }

    /// Number of boxes of its hall that this box knows and that rank before it.
    fn rank_in_hall(&self) -> usize {
        let cluster_view = lock(&self.cluster_view);
        let own = &self.settings;
        gossip_topology::rank_in_hall(&cluster_view.boxes, &own.hall, own.processor, &own.name)
    }

    /// Versions of the state that this box has.
    pub fn known_state(&self) -> KnownState {
        KnownState {
            routes: self.current_route_version(),
            servers: lock(&self.cluster_view).servers.entries().position,
        }
    }

    /// Version of the current route table, if any.
    pub fn current_route_version(&self) -> Option<u64> {
        let routes = self.routes.load();
        routes.as_ref().map(|index| index.table().version)
    }

    /// Number of boxes in the gossip scope of this one, itself included; they share the engines
    /// that this box prefers.
    pub fn boxes_in_scope(&self, scope: GossipScope) -> usize {
        let cluster_view = lock(&self.cluster_view);
        let own_hall = &self.settings.hall;
        let in_scope = cluster_view.boxes.values();
        let in_scope = in_scope
            .filter(|member| scope.includes(own_hall, &member.hall))
            .count();
        in_scope.max(1)
    }

    /// Rank of this box among those that run a suspect request in turn.
    pub fn rank_for(&self, key: SuspectKey) -> usize {
        let cluster_view = lock(&self.cluster_view);
        let names = cluster_view.boxes.keys().map(String::as_str);
        quarantine::rank(key, &self.settings.name, names)
    }

    /// Whether the named box is known and in the same hall as this one.
    pub fn is_in_own_hall(&self, boxes: &Boxes, name: &str) -> bool {
        let peer = boxes.get(name);
        peer.is_some_and(|peer| peer.hall == self.settings.hall.as_str())
    }

    /// Response to a pull. A newer route table is sent after it, see [`Self::encoded_table_for`].
    pub fn newer_state_for(&self, request: &PullRequest) -> PullResponse {
        let known_state = request.known_state;
        // Boxes that started earlier have received both with load datagrams.
        let has_just_started = known_state.routes.is_none();
        let (notices, suspects) = if has_just_started {
            let now = self.clock.now();
            let notices = lock(&self.gate.notices).all_rows(now);
            (notices, lock(&self.quarantine).initial_rows(now))
        } else {
            (NoticeRows::default(), Vec::new())
        };
        let cluster_view = lock(&self.cluster_view);
        let now = self.clock.now();
        let mut servers = cluster_view.servers.update_since(known_state.servers);
        if let Some(update) = &mut servers {
            lock(&self.gate.notices).cold.age_entries(now, update);
        }
        let boxes = if request.wants_boxes {
            cluster_view.boxes.values().cloned().collect()
        } else {
            Vec::new()
        };
        PullResponse {
            table_follows: self.current_route_version() > known_state.routes,
            servers,
            hold_remaining: cluster_view.servers.hold_remaining(now),
            unconfirmed: cluster_view.servers.unconfirmed(now),
            notices,
            suspects,
            boxes,
        }
    }

    /// Encoded route table to send after a pull response, if that announces one.
    pub fn encoded_table_for(&self, response: &PullResponse) -> Option<Bytes> {
        response
            .table_follows
            .then(|| self.encoded_table())
            .flatten()
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
                tracing::error!(%cause, version, "route table encoding failed");
                return None;
            }
        };
        *encoded = Some(EncodedTable {
            version,
            bytes: bytes.clone(),
        });
        Some(bytes)
    }

    /// Replaces the current route table if `table` has a higher version.
    pub fn update_routes(&self, table: RouteTable, source: &'static str) {
        // Locked until the table is stored: tables come from the store and from peers concurrently.
        let cluster_view = lock(&self.cluster_view);
        let (version, before) = (table.version, self.current_route_version());
        let position = cluster_view.servers.entries().position;
        if before >= Some(version) {
            if before > Some(version) {
                tracing::info!(
                    version,
                    in_force = before,
                    source,
                    "route table ignored: older version"
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
            "route table updated"
        );
        let routes = RouteIndex::new(table);
        let servers = cluster_view.servers.servers();
        // Before calls may use the table: the servers may have been listed before it was known.
        let cold_changes = self.learn_cold(&routes, position, &servers);
        self.routes.store(Some(Arc::new(routes)));
        drop(cluster_view);
        self.gate.report_cold(cold_changes, source);
        self.routes_known.notify_waiters();
        // Announced at once: the gossip interval is long in a hall of a hundred boxes, and each hop
        // from box to box would take that much longer.
        self.urgent_changed.notify_one();
    }

    /// Changes the list of servers and publishes it to traffic. `source` is for logs.
    pub fn update_servers(&self, source: &'static str, f: impl FnOnce(&mut ServerList)) {
        f(&mut lock(&self.cluster_view).servers);
        self.publish_servers(source);
    }

    /// Publishes the list of servers to traffic after an update from the store, and announces
    /// leaving servers to the other boxes at once.
    pub fn publish_store_servers(&self) {
        let servers = lock(&self.cluster_view).servers.servers();
        let has_departures = lock(&self.tracker).record_departures(self.clock.now(), &servers);
        self.publish_servers("store");
        if has_departures {
            self.urgent_changed.notify_one();
        }
    }

    /// Publishes the list of servers to traffic.
    fn publish_servers(&self, source: &'static str) {
        // First, so that no call is planned on a new server of an evacuated hall.
        self.publish_evacuated_halls(source);
        let (position, mut servers) = {
            let servers = &lock(&self.cluster_view).servers;
            (servers.entries().position, servers.servers())
        };
        let listed: HashSet<EngineKey> = (servers.iter())
            .map(|server| EngineKey::of(&server.name))
            .collect();
        lock(&self.slow_engine_tracker).retain(|engine| listed.contains(&engine));
        // Before calls may use the new servers.
        let cold_changes = self.routes.load_full().map(|routes| {
            let changes = self.learn_cold(&routes, position, &servers);
            let cold_rate = |service: &_| routes.service(service)?.cold_rate;
            cold_servers::mark_superseded(&mut servers, |service| cold_rate(service).is_some());
            changes
        });
        lock(&self.tracker).set_servers(servers);
        self.gate
            .report_cold(cold_changes.unwrap_or_default(), source);
        self.load_changed.notify_one();
    }

    /// Publishes the evacuated halls to traffic. Changes are announced to the other boxes at once:
    /// each call that they send to an evacuated hall meanwhile is one too many.
    fn publish_evacuated_halls(&self, source: &'static str) {
        let cluster_view = lock(&self.cluster_view);
        let list = &cluster_view.servers;
        let evacuated = Arc::new(list.evacuated_halls());
        let before = self.evacuated_halls.swap(Arc::clone(&evacuated));
        if *before == *evacuated {
            return;
        }
        let halls: Vec<HallName> = (list.servers().into_iter())
            .map(|server| server.hall)
            .collect();
        let position_of = |hall| {
            let position = list.entries().halls.position_of(hall);
            position.unwrap_or(list.entries().position)
        };
        for hall in evacuated.difference(&before) {
            let servers = halls.iter().filter(|other| *other == hall).count();
            let StorePosition { era, revision } = position_of(hall);
            tracing::info!(%hall, servers, era, revision, source, "hall evacuated");
            if servers == 0 {
                let known: HallSet = halls.iter().cloned().collect();
                tracing::warn!(%hall, ?known, "evacuated hall has no servers");
            }
        }
        for hall in before.difference(&evacuated) {
            let StorePosition { era, revision } = position_of(hall);
            tracing::info!(%hall, era, revision, source, "hall restored");
        }
        drop(cluster_view);
        self.urgent_changed.notify_one();
    }

    /// Learns which of the listed servers are cold.
    fn learn_cold(
        &self,
        routes: &RouteIndex,
        position: StorePosition,
        servers: &[ServerEntry],
    ) -> Vec<ColdChange> {
        let listed = servers.iter().filter_map(|server| {
            Some(ListedServer {
                incarnation: server.incarnation(),
                rate: routes.service(&server.service)?.cold_rate?,
                cold_for: server.cold_for,
            })
        });
        self.gate.learn_cold(position, listed)
    }
}
