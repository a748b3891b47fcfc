//! Gossip between boxes: datagrams that announce engine load and the version of a box's state.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use anyhow::Context;
use badgerferry_lib::ids::HallName;
use badgerferry_lib::relay::engine_load::EngineKey;
use badgerferry_lib::relay::engine_load::EngineLoad;
use badgerferry_lib::relay::gossip_topology;
use badgerferry_lib::relay::gossip_topology::DelegateRole;
use badgerferry_lib::relay::gossip_topology::GOSSIP_INTERVAL_PER_BOX;
use badgerferry_lib::relay::gossip_topology::GossipScope;
use badgerferry_lib::relay::gossip_topology::MAX_HALL_GOSSIP_INTERVAL;
use badgerferry_lib::relay::gossip_topology::MIN_HALL_GOSSIP_INTERVAL;
use badgerferry_lib::relay::gossip_topology::QUEUED_PROMPT_HEARTBEAT;
use badgerferry_lib::relay::hall_reachability::HEARTBEAT_INTERVAL;
use badgerferry_lib::relay::load_datagram::LoadDatagram;
use badgerferry_lib::relay::load_datagram::LoadSource;
use badgerferry_lib::relay::load_datagram::MAX_DATAGRAM_BYTES;
use badgerferry_lib::relay::permit_wire::PermitFrame;
use badgerferry_lib::relay::pull_timer::Missing;
use badgerferry_lib::relay::pull_timer::PullTimer;
use badgerferry_lib::relay::quarantine::RunScope;
use badgerferry_lib::relay::server_paths::ServiceKey;
use badgerferry_lib::relay::slow_engine_tracker::ReportOrigin;
use badgerferry_lib::relay::state_pull::FRAME_VERSION;
use badgerferry_lib::relay::state_pull::KnownState;
use badgerferry_lib::time::Time;
use badgerferry_platform::settings_file::BoxSettings;
use metrics::counter;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::relay::listener;
use crate::relay::permit_transport::OutgoingDatagram;
use crate::relay::pulls;
use crate::relay::request_quarantine;
use crate::relay::state::Relay;
use crate::traffic::lock;

/// Minimum interval between forwarded datagrams of the same other hall.
const MIN_FORWARD_INTERVAL: Duration = Duration::from_millis(10);
/// Minimum interval between pulls, so that one pull fetches changes made in quick succession.
const MIN_PULL_INTERVAL: Duration = Duration::from_millis(150);

/// Sockets for datagrams (UDP) and pulls (TCP) between boxes.
#[derive(Debug)]
pub struct PeerSockets {
    load: UdpSocket,
    pull: TcpListener,
}

/// Binds the sockets of this box.
///
/// # Errors
///
/// An address can't be bound.
pub async fn bind(settings: &BoxSettings) -> anyhow::Result<PeerSockets> {
    let load = UdpSocket::bind(settings.load).await;
    let load =
        load.with_context(|| format!("failed to bind the datagram socket to {}", settings.load))?;
    let pull = listener::listen(settings.pull)?;
    Ok(PeerSockets { load, pull })
}

/// Exchanges datagrams and state with other boxes. Never returns.
pub async fn run(relay: &Arc<Relay>, sockets: PeerSockets) {
    let PeerSockets { load, pull } = sockets;
    tokio::join!(
        send_own_load(relay, &load),
        receive_datagrams(relay, &load),
        send_hall_load(relay, &load),
        send_permits(relay, &load),
        pulls::serve_pulls(relay, pull),
        pulls::bootstrap(relay),
    );
}

/// Sends the load of this box to the boxes in its gossip scope. Each round also expires held server
/// entries and unconfirmed evacuations, and logs changes of the scope and of the reachability of
/// halls.
async fn send_own_load(relay: &Arc<Relay>, socket: &UdpSocket) {
    let mut sequence = 0;
    let mut scope = GossipScope::Fleet;
    let mut is_urgent = false;
    loop {
        let now = relay.clock.now();
        expire_held_entries(relay);
        relay.gate.expire_cold();
        relay.gate.pool_owner();
        log_reachability(relay);
        log_scope(relay, &mut scope);
        let rows = lock(&relay.loads).own_table(now);
        sequence += 1;
        let mut datagram = LoadDatagram {
            is_urgent,
            queue_head: lock(&relay.long_prompt_queue).head(now),
            ..build_datagram(relay, now, sequence, LoadSource::Box, rows)
        };
        let queue_head = datagram.queue_head;
        let peers = peers(relay);
        send_to_all(socket, &mut datagram, &peers).await;
        if lock(&relay.quarantine).has_unreported(now, RunScope::Box) {
            relay.urgent_changed.notify_one();
        }
        let heartbeat = match queue_head {
            Some(_) => QUEUED_PROMPT_HEARTBEAT,
            None => HEARTBEAT_INTERVAL,
        };
        is_urgent = wait_for_change(
            relay,
            GOSSIP_INTERVAL_PER_BOX * peers.len() as u32,
            heartbeat,
        )
        .await;
        if is_urgent {
            relay.hall_changed.notify_one();
        }
    }
}

/// Sends permit requests for calls to limited servers, and responses to such requests.
async fn send_permits(relay: &Relay, socket: &UdpSocket) {
    let Some(mut outgoing) = relay.gate.permits.take_outgoing() else {
        return;
    };
    while let Some(OutgoingDatagram { to, bytes }) = outgoing.recv().await {
        if let Err(cause) = socket.send_to(&bytes, to).await {
            counter!("badgerferry_datagrams_dropped_total", "why" => "not_sent").increment(1);
            tracing::debug!(%to, %cause, "datagram not sent");
        }
    }
}

/// Sends the load of this hall to other halls, while gossip is limited to the own hall and this box
/// is a delegate.
async fn send_hall_load(relay: &Arc<Relay>, socket: &UdpSocket) {
    let mut turn = 0;
    loop {
        let now = relay.clock.now();
        let (role, targets) = hall_gossip_targets(relay, now, turn);
        if let Some(role) = role {
            turn += 1;
            let mut datagram = hall_datagram(relay, now, turn as u64);
            send_to_all(socket, &mut datagram, &targets).await;
            if lock(&relay.quarantine).has_unreported(now, RunScope::Hall) {
                relay.hall_changed.notify_one();
            }
            if role == DelegateRole::Primary {
                tokio::time::sleep(MIN_HALL_GOSSIP_INTERVAL).await;
                let max_wait = MAX_HALL_GOSSIP_INTERVAL.saturating_sub(MIN_HALL_GOSSIP_INTERVAL);
                // A time-out means that nothing urgent changed; the load is also sent periodically.
                let _ = timeout(max_wait, relay.hall_changed.notified()).await;
                continue;
            }
        }
        tokio::time::sleep(MAX_HALL_GOSSIP_INTERVAL).await;
    }
}

/// Role of this box as delegate of its hall, if any, and the addresses to send to in this turn.
fn hall_gossip_targets(
    relay: &Relay,
    now: Time,
    turn: usize,
) -> (Option<DelegateRole>, Vec<SocketAddr>) {
    let own = &relay.settings;
    let cluster_view = lock(&relay.cluster_view);
    if cluster_view.scope() == GossipScope::Fleet {
        return (None, Vec::new());
    }
    let is_live = |name: &str| cluster_view.peer_liveness.is_live(now, name);
    let role = gossip_topology::delegate_role(&cluster_view.boxes, &own.name, &own.hall, is_live);
    let targets = gossip_topology::gossip_targets(&cluster_view.boxes, &own.hall, turn).into_iter();
    let targets = targets.filter_map(|target| target.load.parse().ok());
    (role, targets.collect())
}

/// Datagram with the load of this box's hall, for other halls.
fn hall_datagram(relay: &Relay, now: Time, sequence: u64) -> LoadDatagram {
    let rows = {
        let cluster_view = lock(&relay.cluster_view);
        let is_in_own_hall = |name: &str| relay.is_in_own_hall(&cluster_view.boxes, name);
        lock(&relay.loads).hall_table(now, is_in_own_hall)
    };
    let source = LoadSource::Hall {
        hall: relay.settings.hall.clone(),
        is_forwarded: false,
    };
    LoadDatagram {
        queue_head: lock(&relay.long_prompt_queue).hall_head(now),
        ..build_datagram(relay, now, sequence, source, rows)
    }
}

/// Datagram without a queue head, which the caller adds.
fn build_datagram(
    relay: &Relay,
    now: Time,
    sequence: u64,
    source: LoadSource,
    rows: HashMap<EngineKey, EngineLoad>,
) -> LoadDatagram {
    let (faults, departures) = {
        let mut tracker = lock(&relay.tracker);
        (tracker.recent_faults(now), tracker.recent_departures(now))
    };
    let (slow_engines, run_scope) = match source {
        LoadSource::Box => (
            lock(&relay.slow_engine_tracker).own_reports(now),
            RunScope::Box,
        ),
        LoadSource::Hall { .. } => (
            lock(&relay.slow_engine_tracker).hall_reports(now),
            RunScope::Hall,
        ),
    };
    let cut_off = match run_scope {
        RunScope::Box => cut_off_services(relay),
        RunScope::Hall => Vec::new(),
    };
    let suspects = lock(&relay.quarantine).rows(now, run_scope);
    let notices = lock(&relay.gate.notices).rows(now);
    let unconfirmed = lock(&relay.cluster_view).servers.unconfirmed_digest();
    LoadDatagram {
        version: FRAME_VERSION,
        from: relay.settings.name.clone(),
        incarnation: relay.incarnation,
        sequence,
        source,
        is_urgent: false,
        known_state: relay.known_state(),
        unconfirmed,
        follows_store: relay.follows_store(),
        queue_head: None,
        faults,
        departures,
        cut_off,
        slow_engines,
        suspects,
        notices,
        rows: rows.into_iter().collect(),
    }
}

/// Services to whose servers the own path is cut.
fn cut_off_services(relay: &Relay) -> Vec<ServiceKey> {
    let paths = lock(&relay.server_paths);
    paths.cut_off().map(ServiceKey::of).collect()
}

async fn send_to_all(socket: &UdpSocket, datagram: &mut LoadDatagram, to: &[SocketAddr]) {
    let omitted = datagram.truncate_rows();
    counter!("badgerferry_load_rows_left_out_total").increment(omitted as u64);
    let bytes = datagram.encode();
    for address in to {
        if let Err(cause) = socket.send_to(&bytes, address).await {
            counter!("badgerferry_datagrams_dropped_total", "why" => "not_sent").increment(1);
            tracing::debug!(%address, %cause, "datagram not sent");
        }
    }
}

/// Waits for a change or the next heartbeat, for at least `min_interval`. A change within that
/// interval is sent at its end. An urgent change ends the wait at once, and true is returned.
async fn wait_for_change(relay: &Relay, min_interval: Duration, heartbeat: Duration) -> bool {
    let changed = async {
        tokio::time::sleep(min_interval).await;
        let _ = timeout(heartbeat, relay.load_changed.notified()).await;
    };
    tokio::select! {
        () = changed => false,
        () = relay.urgent_changed.notified() => true,
    }
}

fn expire_held_entries(relay: &Relay) {
    let now = relay.clock.now();
    let due = lock(&relay.cluster_view).servers.next_tick();
    if due.is_some_and(|due| now >= due) {
        let mut has_expired = false;
        relay.update_servers("hold expired", |servers| has_expired = servers.tick(now));
        if has_expired {
            tracing::info!("server entries removed: still missing after the hold");
        }
    }
}

fn log_reachability(relay: &Relay) {
    let now = relay.clock.now();
    for change in lock(&relay.tracker).take_reach_changes(now) {
        let heard_ms = change.heard_ago.as_millis() as u64;
        let answered_ms = change.answered_ago.as_millis() as u64;
        if change.is_silent {
            tracing::warn!(hall = %change.hall, heard_ms, answered_ms, "hall silent");
        } else {
            tracing::info!(hall = %change.hall, heard_ms, answered_ms, "hall heard again");
        }
    }
}

fn log_scope(relay: &Relay, last: &mut GossipScope) {
    let (scope, boxes) = {
        let cluster_view = lock(&relay.cluster_view);
        (cluster_view.scope(), cluster_view.boxes.len())
    };
    if scope != *last {
        tracing::info!(?scope, before = ?last, boxes, "gossip scope changed");
        *last = scope;
    }
}

/// Addresses of the boxes that this one sends its load to.
fn peers(relay: &Relay) -> Vec<SocketAddr> {
    let cluster_view = lock(&relay.cluster_view);
    let scope = cluster_view.scope();
    let own = &relay.settings;
    let peers = cluster_view
        .boxes
        .values()
        .filter(|peer| peer.name != own.name);
    peers
        .filter(|peer| scope.includes(&own.hall, &peer.hall))
        .filter_map(|peer| peer.load.parse().ok())
        .collect()
}

async fn receive_datagrams(relay: &Arc<Relay>, socket: &UdpSocket) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES * 2];
    let pull_timer = Arc::new(Mutex::new(PullTimer::default()));
    let pull_spread = rand::random_range(0.0..1.0);
    let mut pull_task: Option<JoinHandle<()>> = None;
    let mut forward_times = ForwardTimes::default();
    loop {
        let datagram = match socket.recv_from(&mut buf).await {
            Ok((len, from)) if PermitFrame::has_version_byte(&buf[..len]) => {
                if let Some(response) = relay.gate.handle_datagram(&buf[..len]) {
                    relay.gate.permits.send(from, &response);
                }
                continue;
            }
            Ok((len, _from)) => LoadDatagram::decode(&buf[..len]),
            Err(cause) => {
                tracing::debug!(%cause, "receiving a datagram failed");
                tokio::time::sleep(GOSSIP_INTERVAL_PER_BOX).await;
                continue;
            }
        };
        let mut datagram = match datagram {
            Ok(datagram) => datagram,
            Err(cause) => {
                counter!("badgerferry_datagrams_dropped_total", "why" => "malformed").increment(1);
                tracing::debug!(%cause, "datagram dropped: malformed");
                continue;
            }
        };
        let now = relay.clock.now();
        merge_rows(relay, now, &mut datagram);
        record_peer(relay, now, &datagram);
        request_quarantine::merge_reports(relay, now, &datagram);
        let source = source_name(&datagram);
        let has_cold_news = relay.gate.merge_rows(&datagram.notices, source);
        if forward_times.is_due(relay, now, &datagram, has_cold_news) {
            forward(relay, socket, &datagram).await;
        }
        let known_state = relay.known_state();
        let delay = missing(relay, now, known_state, &datagram).pull_delay(
            was_forwarded(&datagram),
            relay.must_follow_store(),
            pull_spread,
        );
        let is_pulling = pull_task.as_ref().is_some_and(|task| !task.is_finished());
        let is_due = lock(&pull_timer).is_due(now, known_state, &datagram.from, delay);
        if is_due && !is_pulling {
            lock(&pull_timer).pull_started();
            // A pull that hangs must not block the reception of datagrams.
            let (relay, pull_timer) = (Arc::clone(relay), Arc::clone(&pull_timer));
            pull_task = Some(tokio::spawn(async move {
                pulls::catch_up(&relay, &pull_timer, datagram.from, datagram.unconfirmed).await;
                tokio::time::sleep(MIN_PULL_INTERVAL).await;
            }));
        }
    }
}

/// What this box lacks of what a datagram announces.
fn missing(relay: &Relay, now: Time, known_state: KnownState, datagram: &LoadDatagram) -> Missing {
    let wants_boxes = pulls::wants_boxes(relay);
    let position = datagram.known_state.servers;
    let servers = &lock(&relay.cluster_view).servers;
    Missing {
        state: known_state.is_behind(datagram.known_state),
        unconfirmed: servers.lacks_unconfirmed(now, position, datagram.unconfirmed),
        boxes: wants_boxes,
    }
}

/// When the load of each other hall was last forwarded to the boxes of this one.
#[derive(Default)]
struct ForwardTimes {
    last: HashMap<HallName, Time>,
}

impl ForwardTimes {
    /// Whether to forward a datagram now. If so, records that it was forwarded. One that tells of
    /// a cold server is forwarded in any case: the next one of its hall may come much later.
    fn is_due(
        &mut self,
        relay: &Relay,
        now: Time,
        datagram: &LoadDatagram,
        has_cold_news: bool,
    ) -> bool {
        let LoadSource::Hall { hall, is_forwarded } = &datagram.source else {
            return false;
        };
        let last = self.last.get(hall);
        let is_due = !is_forwarded
            && *hall != relay.settings.hall
            && (has_cold_news || last.is_none_or(|last| now.since(*last) >= MIN_FORWARD_INTERVAL));
        if is_due {
            self.last.insert(hall.clone(), now);
        }
        is_due
    }
}

/// Name of the box or hall whose load a datagram contains.
pub fn source_name(datagram: &LoadDatagram) -> &str {
    match &datagram.source {
        LoadSource::Box => &datagram.from,
        LoadSource::Hall { hall, .. } => hall.as_str(),
    }
}

const fn was_forwarded(datagram: &LoadDatagram) -> bool {
    matches!(
        datagram.source,
        LoadSource::Hall {
            is_forwarded: true,
            ..
        }
    )
}

/// Forwards a datagram of another hall to the boxes of this one.
async fn forward(relay: &Relay, socket: &UdpSocket, datagram: &LoadDatagram) {
    let mut datagram = datagram.clone();
    if let LoadSource::Hall { is_forwarded, .. } = &mut datagram.source {
        *is_forwarded = true;
    }
    send_to_all(socket, &mut datagram, &peers(relay)).await;
}

fn merge_rows(relay: &Relay, now: Time, datagram: &mut LoadDatagram) {
    let (incarnation, sequence) = (datagram.incarnation, datagram.sequence);
    let from = &datagram.from;
    match &datagram.source {
        LoadSource::Box => {
            let rows = std::mem::take(&mut datagram.rows);
            let is_newer =
                lock(&relay.loads).update_peer_table(now, from, incarnation, sequence, rows);
            if is_newer {
                lock(&relay.long_prompt_queue).record_box_head(now, from, datagram.queue_head);
            }
            if datagram.is_urgent {
                relay.hall_changed.notify_one();
            }
        }
        // Ignored: the boxes of the own hall send their load to this box directly.
        LoadSource::Hall { hall, .. } if *hall == relay.settings.hall => {}
        LoadSource::Hall { hall, .. } => {
            let rows = datagram.rows.clone();
            if lock(&relay.loads).update_hall_table(now, hall, incarnation, sequence, rows) {
                lock(&relay.long_prompt_queue).record_hall_head(now, hall, datagram.queue_head);
            }
        }
    }
}

/// Records that a peer is live, and applies its reports on servers.
fn record_peer(relay: &Relay, now: Time, datagram: &LoadDatagram) {
    let hall = {
        let mut cluster_view = lock(&relay.cluster_view);
        if datagram.follows_store {
            cluster_view.peer_followed_store_at = Some(now);
        }
        cluster_view
            .peer_liveness
            .record(now, &datagram.from, datagram.known_state);
        if datagram.source == LoadSource::Box {
            cluster_view
                .peer_paths
                .record(&datagram.from, &datagram.cut_off);
        }
        let hall = cluster_view.boxes.get(&datagram.from);
        let hall = hall.map(|peer| HallName::new(&peer.hall));
        cluster_view.has_unknown_peer |= hall.is_none();
        hall
    };
    let Some(hall) = hall else {
        return;
    };
    let own_hall = &relay.settings.hall;
    let origin = if hall == *own_hall {
        ReportOrigin::OwnHall
    } else {
        ReportOrigin::OtherHall
    };
    lock(&relay.slow_engine_tracker).record_gossip(now, origin, &datagram.slow_engines);
    let mut tracker = lock(&relay.tracker);
    tracker.datagram_received(now, own_hall, &hall, &datagram.from);
    tracker.apply_departures(now, &datagram.departures);
    let excluded = tracker.apply_faults(now, own_hall, &hall, &datagram.faults);
    drop(tracker);
    for server in excluded {
        tracing::info!(%server, from = datagram.from, "server excluded: reported by a peer");
    }
}
