//! Control thread: controllers that follow the state of the platform, peers and engines.
//!
//! Each controller is an independent loop; all run on one thread. They affect the traffic
//! threads only through published snapshots and short calls into the dispatcher.

use std::net::SocketAddr;
use std::sync::Arc;

use anyhow::Context;
use badgerferry_lib::ids::ServerName;
use badgerferry_lib::server_view::ServerView;
use badgerferry_lib::status_wire::DaemonStatus;
use badgerferry_lib::status_wire::LeaseStatus;
use badgerferry_lib::status_wire::PeerStatus;
use badgerferry_lib::status_wire::ServerStatus;
use badgerferry_lib::status_wire::SettingsStatus;
use badgerferry_lib::time::Time;

use crate::box_list;
use crate::engine_reports;
use crate::peers;
use crate::placement_control;
use crate::settings_watch;
use crate::telemetry;
use crate::traffic::Traffic;
use crate::traffic::lock;

/// State of the box as last published by the controllers.
#[derive(Debug, Default)]
pub struct ControlStatus {
    /// Status of the active settings.
    pub settings: SettingsStatus,
    /// Time at which the platform last confirmed the settings.
    pub confirmed_at: Option<Time>,
    /// Time at which the platform last responded.
    pub platform_responded_at: Option<Time>,
    /// Last known state of the hall's placement lease.
    pub lease: Option<LeaseStatus>,
    /// Other boxes.
    pub peers: Vec<PeerStatus>,
}

impl Traffic {
    /// Records the time of a response from the platform.
    pub fn record_platform_response(&self) {
        lock(&self.status).platform_responded_at = Some(self.clock.now());
    }
}

/// Starts the control thread and returns the address on which this box listens for peers.
///
/// # Errors
///
/// The control thread or the listener for peers can't be started.
pub fn start(traffic: &Arc<Traffic>) -> anyhow::Result<SocketAddr> {
    let peer_address = peers::listen(traffic)?;
    let traffic = Arc::clone(traffic);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("failed to build the control runtime")?;
    std::thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || runtime.block_on(run(traffic)))
        .context("failed to start the control thread")?;
    Ok(peer_address)
}

async fn run(traffic: Arc<Traffic>) {
    tokio::join!(
        settings_watch::run(&traffic),
        box_list::run(&traffic),
        engine_reports::run(&traffic),
        engine_reports::renew_holdings(&traffic),
        peers::run(&traffic),
        placement_control::run(&traffic),
    );
}

/// Returns the state of the daemon, which `/status` serves.
pub fn status(traffic: &Traffic) -> DaemonStatus {
    let now = traffic.clock.now();
    let age_ms = |at: Option<Time>| at.map(|at| now.since(at).as_millis() as u64);
    let (load, stopping, servers) = {
        let dispatcher = traffic.dispatcher();
        let views = dispatcher.servers().iter();
        let servers = views.map(|view| server_status(now, view)).collect();
        (dispatcher.load(), dispatcher.is_stopping(), servers)
    };
    let control = lock(&traffic.status);
    DaemonStatus {
        name: traffic.config.name.clone(),
        hall: traffic.config.hall.clone(),
        incarnation: traffic.owner.incarnation,
        ready: traffic.is_ready(),
        stopping,
        settings: SettingsStatus {
            unconfirmed_ms: age_ms(control.confirmed_at),
            ..control.settings.clone()
        },
        platform_silent_ms: age_ms(control.platform_responded_at),
        waiting: load.waiting,
        active: load.active,
        lease: control.lease.clone(),
        peers: control.peers.clone(),
        servers,
    }
}

fn server_status(now: Time, view: &ServerView) -> ServerStatus {
    let info = view.info();
    let report = view.report().cloned().unwrap_or_default();
    let serves = match &info.pool {
        Some(pool) => vec![pool.to_string()],
        None => report.models.iter().map(ToString::to_string).collect(),
    };
    ServerStatus {
        name: ServerName::clone(&info.name),
        hall: info.hall.clone(),
        kind: info.kind,
        serves,
        takes_work: view.accepts_work(now),
        report_age_ms: view.report_age(now).map(|age| age.as_millis() as u64),
        queued_tokens: report.queued.iter().sum(),
        running: report.running,
        memory_used: report.memory_used,
        memory_total: report.memory_total,
        in_flight: view.in_flight(),
    }
}

/// Updates the gauges that `/metrics` serves.
pub fn set_gauges(traffic: &Traffic) {
    let status = status(traffic);
    let seconds = |millis: Option<u64>| millis.map_or(-1.0, |millis| millis as f64 / 1_000.0);
    let set = telemetry::set_gauge;
    set(
        "badgerferry_settings_revision",
        status.settings.revision.0 as f64,
    );
    set(
        "badgerferry_settings_unconfirmed_seconds",
        seconds(status.settings.unconfirmed_ms),
    );
    set(
        "badgerferry_platform_silent_seconds",
        seconds(status.platform_silent_ms),
    );
    set("badgerferry_waiting_requests", status.waiting as f64);
    set("badgerferry_active_requests", status.active as f64);
    set("badgerferry_ready", f64::from(u8::from(status.ready)));
    let is_holder = status.lease.is_some_and(|lease| lease.in_force_here);
    set("badgerferry_lease_in_force", f64::from(u8::from(is_holder)));
    let live = status.peers.iter().filter(|peer| peer.live).count();
    set("badgerferry_live_peers", live as f64);
}
