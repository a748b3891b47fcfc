//! State shared by the traffic threads and the control thread, and the start of the daemon.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::SystemTime;

use anyhow::Context;
use arc_swap::ArcSwapOption;
use badgerferry_edges::engine::HttpEngine;
use badgerferry_edges::platform::HttpPlatform;
use badgerferry_edges::service::HttpService;
use badgerferry_lib::dispatcher::Decision;
use badgerferry_lib::dispatcher::Dispatcher;
use badgerferry_lib::engine_wire::Owner;
use badgerferry_lib::ids::AttemptId;
use badgerferry_lib::ids::Incarnation;
use badgerferry_lib::ids::RequestId;
use badgerferry_lib::ids::ServerName;
use badgerferry_lib::membership::Membership;
use badgerferry_lib::routing::Policy;
use badgerferry_lib::settings_follower::ActiveSettings;
use badgerferry_lib::settings_follower::SettingsFollower;
use badgerferry_lib::settings_tree::SettingsTree;
use badgerferry_lib::settings_view::SettingsView;
use badgerferry_lib::stop_plan::StopPlan;
use badgerferry_lib::time::Time;
use badgerferry_lib::token_estimator::TokenEstimator;
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

use crate::box_config::BoxConfig;
use crate::build_info::BUILD;
use crate::clock::Clock;
use crate::control;
use crate::drain::AnswersDue;
use crate::routes;
use crate::stop;
use crate::telemetry;

/// Timeout of a control call to a server or the platform.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval at which the dispatcher checks queued requests, in addition to the checks that other
/// events cause.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Attempts and reservations of this box at one engine.
#[derive(Debug, Default)]
pub struct EngineHoldings {
    /// Identifiers of attempts and reservations.
    pub attempts: BTreeSet<AttemptId>,
    /// Number of consecutive renewals without any attempt or reservation.
    pub empty_renewals: u32,
}

/// Attempts and reservations of this box at all engines. An engine frees those that are no longer
/// renewed.
#[derive(Debug, Default)]
pub struct Holdings {
    /// Holdings at each engine.
    pub by_server: BTreeMap<ServerName, EngineHoldings>,
}

/// State shared by the traffic threads and the control thread.
#[derive(Debug)]
pub struct Traffic {
    /// Configuration from the box file.
    pub config: BoxConfig,
    /// Monotonic clock of the daemon.
    pub clock: Clock,
    /// Name and incarnation of this box, as sent to engines.
    pub owner: Owner,
    /// Active settings; `None` before the first revision.
    pub settings: ArcSwapOption<SettingsView>,
    /// Membership of the boxes, from gossip.
    pub membership: Mutex<Membership>,
    /// Client for engines.
    pub engine: HttpEngine,
    /// Client for plain services.
    pub service: HttpService,
    /// Client for the platform.
    pub platform: HttpPlatform,
    /// Estimator of prompt tokens.
    pub token_estimator: Mutex<TokenEstimator>,
    /// Attempts and reservations at engines.
    pub holdings: Mutex<Holdings>,
    /// Number of requests whose responses are not complete.
    pub in_flight: AtomicUsize,
    /// Whether this box is leaving, by a signal or by the platform's list of boxes.
    pub leaving: AtomicBool,
    /// Whether a signal started a planned stop, which can't be cancelled.
    pub stop_signalled: AtomicBool,
    /// When the process is stopped by the signal, and how.
    stop_began: OnceLock<Time>,
    /// Tells requests in flight that they have to be answered now, late in a planned stop.
    pub answers_due: AnswersDue,
    /// Receives settings from the control thread and the peer listener.
    pub settings_follower: Mutex<SettingsFollower>,
    /// Last state reported by the control thread, for `/status`.
    pub status: Mutex<control::ControlStatus>,
    /// Renders the metrics of the process.
    pub metrics: PrometheusHandle,
    dispatcher: Mutex<Dispatcher>,
    subscribers: Mutex<HashMap<RequestId, mpsc::UnboundedSender<Decision>>>,
}

/// Locks a mutex, also if it is poisoned: a panic in any thread ends the process, so no thread
/// sees a partial update.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Traffic {
    fn new(config: BoxConfig, metrics: PrometheusHandle) -> Self {
        let defaults = ActiveSettings {
            revision: badgerferry_lib::ids::Revision::default(),
            tree: SettingsTree::default(),
        };
        let view = SettingsView::new(&defaults, config.hall.as_str());
        let dispatcher = Dispatcher::new(config.hall.clone(), Policy::Cost, view.routing);
        let clock = Clock::start();
        let incarnation = Incarnation::draw(&mut rand::rng());
        let membership = Membership::new(
            config.name.clone(),
            config.hall.clone(),
            incarnation,
            millis_since_epoch(),
            clock.now(),
        );
        Self {
            clock,
            membership: Mutex::new(membership),
            owner: Owner {
                name: config.name.clone(),
                incarnation,
            },
            settings: ArcSwapOption::empty(),
            engine: HttpEngine::new(CONTROL_TIMEOUT),
            service: HttpService::new(config.response_bytes),
            platform: HttpPlatform::new(&config.platform.to_string(), CONTROL_TIMEOUT),
            token_estimator: Mutex::default(),
            holdings: Mutex::default(),
            in_flight: AtomicUsize::new(0),
            leaving: AtomicBool::new(false),
            stop_signalled: AtomicBool::new(false),
            stop_began: OnceLock::new(),
            answers_due: AnswersDue::default(),
            settings_follower: Mutex::default(),
            status: Mutex::default(),
            metrics,
            dispatcher: Mutex::new(dispatcher),
            subscribers: Mutex::default(),
            config,
        }
    }

    /// When a planned stop ends, and what is due until then.
    pub const fn stop_plan(&self) -> StopPlan {
        StopPlan::new(self.config.stop_time)
    }

    /// Begins a planned stop.
    pub fn begin_stop(&self) {
        self.stop_signalled.store(true, Ordering::SeqCst);
        self.leaving.store(true, Ordering::SeqCst);
        self.stop_began.get_or_init(|| self.clock.now());
    }

    /// Time by which a request must have ended that has this long: earlier if the box stops.
    pub fn deadline_after(&self, time_limit: Duration) -> Time {
        let deadline = self.clock.now() + time_limit;
        match self.stop_began.get() {
            Some(began) => deadline.min(*began + self.stop_plan().answers_after()),
            None => deadline,
        }
    }

    /// Whether the load balancer may send requests to this box.
    pub fn is_ready(&self) -> bool {
        self.settings.load().is_some() && !self.leaving.load(Ordering::SeqCst)
    }

    /// Locks the dispatcher, for reads and for updates that make no decision.
    pub fn dispatcher(&self) -> MutexGuard<'_, Dispatcher> {
        lock(&self.dispatcher)
    }

    /// Runs an update of the dispatcher and sends its decisions to the requests.
    pub fn decide(&self, update: impl FnOnce(&mut Dispatcher) -> Vec<Decision>) {
        let decisions = update(&mut self.dispatcher());
        if decisions.is_empty() {
            return;
        }
        let subscribers = lock(&self.subscribers);
        for decision in decisions {
            if let Some(tx) = subscribers.get(&decision.request()) {
                // If the request has ended in the meantime, it removes its own placement.
                let _ = tx.send(decision);
            }
        }
    }

    /// Registers a request to receive decisions of the dispatcher.
    pub fn subscribe(&self, id: RequestId) -> mpsc::UnboundedReceiver<Decision> {
        let (tx, rx) = mpsc::unbounded_channel();
        lock(&self.subscribers).insert(id, tx);
        rx
    }

    /// Removes a request from the subscribers and from the dispatcher.
    pub fn forget(&self, id: RequestId) {
        lock(&self.subscribers).remove(&id);
        self.dispatcher().forget(self.clock.now(), id);
    }

    /// The address of a server; `None` if it is not listed.
    pub fn address_of(&self, server: &ServerName) -> Option<String> {
        let dispatcher = self.dispatcher();
        let found = dispatcher
            .servers()
            .iter()
            .find(|view| view.info().name == *server);
        found.map(|view| view.info().address.clone())
    }

    /// Adds an attempt or reservation at an engine to the renewals.
    pub fn add_holding(&self, server: &ServerName, id: AttemptId) {
        let mut holdings = lock(&self.holdings);
        holdings
            .by_server
            .entry(server.clone())
            .or_default()
            .attempts
            .insert(id);
    }

    /// Removes an attempt or reservation from the renewals, so that the engine frees it.
    pub fn remove_holding(&self, server: &ServerName, id: AttemptId) {
        if let Some(engine_holdings) = lock(&self.holdings).by_server.get_mut(server) {
            engine_holdings.attempts.remove(&id);
        }
    }
}

/// Counts a request as in flight until dropped.
#[derive(Debug)]
pub struct InFlightGuard(Arc<Traffic>);

impl InFlightGuard {
    /// Increments the number of requests in flight.
    pub fn new(traffic: &Arc<Traffic>) -> Self {
        traffic.in_flight.fetch_add(1, Ordering::SeqCst);
        Self(Arc::clone(traffic))
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}

fn millis_since_epoch() -> u64 {
    let elapsed = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    elapsed.map_or(0, |duration| duration.as_millis() as u64)
}

/// Runs the daemon until a planned stop completes.
///
/// # Errors
///
/// An address can't be bound, or a thread can't be started.
pub fn run(config: BoxConfig) -> anyhow::Result<()> {
    let metrics = telemetry::start_metrics()?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(config.traffic_threads)
        .thread_name("traffic")
        .enable_all()
        .build()?;
    let traffic = Arc::new(Traffic::new(config, metrics));
    runtime.block_on(async {
        let listener = TcpListener::bind(traffic.config.listen).await;
        let listener =
            listener.with_context(|| format!("failed to listen on {}", traffic.config.listen))?;
        let peer_address = control::start(&traffic)?;
        println!("peers on {peer_address}");
        println!("listening on {}", listener.local_addr()?);
        tracing::info!(
            name = %traffic.config.name,
            hall = %traffic.config.hall,
            incarnation = %traffic.owner.incarnation,
            version = BUILD.version,
            commit = BUILD.commit,
            sources = BUILD.sources,
            "daemon started"
        );
        tokio::spawn(tick(Arc::clone(&traffic)));
        tokio::spawn(routes::serve(listener, Arc::clone(&traffic)));
        stop::wait_for_exit(&traffic).await;
        Ok(())
    })
}

async fn tick(traffic: Arc<Traffic>) {
    let mut timer = tokio::time::interval(TICK_INTERVAL);
    timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        timer.tick().await;
        let now = traffic.clock.now();
        traffic.decide(|dispatcher| dispatcher.tick(now, &mut rand::rng()));
    }
}
