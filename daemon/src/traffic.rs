//! What the traffic threads share, and how the daemon's threads are set up.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
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
use badgerferry_lib::token_estimator::TokenEstimator;
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

use crate::box_config::BoxConfig;
use crate::clock::Clock;
use crate::control;
use crate::routes;
use crate::stop;
use crate::telemetry;

/// Longest control call to a server or the platform.
const CONTROL_CALL: Duration = Duration::from_secs(2);
/// How often waiting requests are looked at without another cause.
const TICK: Duration = Duration::from_millis(20);

/// What this box holds at one engine.
#[derive(Debug, Default)]
pub struct HeldAt {
    /// Attempts and reservations.
    pub held: BTreeSet<AttemptId>,
    /// Renewals since nothing is held.
    pub quiet_rounds: u32,
}

/// What this box holds at the engines, to be renewed there.
#[derive(Debug, Default)]
pub struct Holdings {
    /// By server.
    pub held: BTreeMap<ServerName, HeldAt>,
}

/// What the traffic threads share.
#[derive(Debug)]
pub struct Traffic {
    /// The box's own file.
    pub config: BoxConfig,
    /// The daemon's clock.
    pub clock: Clock,
    /// This life of this box, as engines know it.
    pub owner: Owner,
    /// The settings in force; none before the first revision.
    pub settings: ArcSwapOption<SettingsView>,
    /// The other boxes.
    pub membership: Mutex<Membership>,
    /// Engines.
    pub engine: HttpEngine,
    /// Plain services.
    pub service: HttpService,
    /// The platform.
    pub platform: HttpPlatform,
    /// Prompt token estimates.
    pub estimate: Mutex<TokenEstimator>,
    /// What is held at engines.
    pub holdings: Mutex<Holdings>,
    /// Requests whose answers are not yet out.
    pub in_flight: AtomicUsize,
    /// Whether this box is leaving, by a signal or by the platform's list.
    pub leaving: AtomicBool,
    /// Whether a signal has begun a planned stop, which nothing takes back.
    pub stop_signalled: AtomicBool,
    /// The settings' follower; control and the peers' listener feed it.
    pub follow: Mutex<SettingsFollower>,
    /// What control last told of the box's state, for `status`.
    pub status: Mutex<control::ControlStatus>,
    /// Metrics.
    pub metrics: PrometheusHandle,
    dispatcher: Mutex<Dispatcher>,
    waiters: Mutex<HashMap<RequestId, mpsc::UnboundedSender<Decision>>>,
}

/// Locks; a panic elsewhere stops the process, so the state is never half changed.
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
            engine: HttpEngine::new(CONTROL_CALL),
            service: HttpService,
            platform: HttpPlatform::new(&config.platform.to_string(), CONTROL_CALL),
            estimate: Mutex::default(),
            holdings: Mutex::default(),
            in_flight: AtomicUsize::new(0),
            leaving: AtomicBool::new(false),
            stop_signalled: AtomicBool::new(false),
            follow: Mutex::default(),
            status: Mutex::default(),
            metrics,
            dispatcher: Mutex::new(dispatcher),
            waiters: Mutex::default(),
            config,
        }
    }

    /// Whether the balancer may send callers here.
    pub fn is_ready(&self) -> bool {
        self.settings.load().is_some() && !self.leaving.load(Ordering::SeqCst)
    }

    /// Reads or changes the dispatcher's state without a decision.
    pub fn dispatcher(&self) -> MutexGuard<'_, Dispatcher> {
        lock(&self.dispatcher)
    }

    /// Lets the dispatcher decide and tells the requests that wait for it.
    pub fn decide(&self, f: impl FnOnce(&mut Dispatcher) -> Vec<Decision>) {
        let decisions = f(&mut self.dispatcher());
        if decisions.is_empty() {
            return;
        }
        let waiters = lock(&self.waiters);
        for decision in decisions {
            if let Some(tx) = waiters.get(&decision.request()) {
                // A request that has ended in between forgets its placement itself.
                let _ = tx.send(decision);
            }
        }
    }

    /// Registers a request for decisions.
    pub fn wait_for(&self, id: RequestId) -> mpsc::UnboundedReceiver<Decision> {
        let (tx, rx) = mpsc::unbounded_channel();
        lock(&self.waiters).insert(id, tx);
        rx
    }

    /// Ends a request's registration and forgets it in the dispatcher.
    pub fn forget(&self, id: RequestId) {
        lock(&self.waiters).remove(&id);
        self.dispatcher().forget(self.clock.now(), id);
    }

    /// The address of a server.
    pub fn address_of(&self, server: &ServerName) -> Option<String> {
        let dispatcher = self.dispatcher();
        let found = dispatcher
            .servers()
            .iter()
            .find(|view| view.info().name == *server);
        found.map(|view| view.info().address.clone())
    }

    /// Records that the box holds something at an engine.
    pub fn hold(&self, server: &ServerName, id: AttemptId) {
        let mut holdings = lock(&self.holdings);
        holdings
            .held
            .entry(server.clone())
            .or_default()
            .held
            .insert(id);
    }

    /// Records that it is no longer wanted.
    pub fn let_go(&self, server: &ServerName, id: AttemptId) {
        if let Some(row) = lock(&self.holdings).held.get_mut(server) {
            row.held.remove(&id);
        }
    }
}

/// Counts a request as in flight until dropped.
#[derive(Debug)]
pub struct InFlightGuard(Arc<Traffic>);

impl InFlightGuard {
    /// Counts one more.
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
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |span| span.as_millis() as u64)
}

/// Runs the daemon until it is told to stop.
///
/// # Errors
///
/// An address can't be listened on, or a thread can't be started.
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
            "daemon started"
        );
        tokio::spawn(tick(Arc::clone(&traffic)));
        tokio::spawn(routes::serve(listener, Arc::clone(&traffic)));
        stop::wait_for_exit(&traffic).await;
        Ok(())
    })
}

async fn tick(traffic: Arc<Traffic>) {
    let mut timer = tokio::time::interval(TICK);
    timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        timer.tick().await;
        let now = traffic.clock.now();
        traffic.decide(|dispatcher| dispatcher.tick(now, &mut rand::rng()));
    }
}
