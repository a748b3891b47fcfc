//! Gossip between boxes: datagrams that announce engine load and the version of a box's state.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use badgerferry_lib::relay::engine_load::EngineKey;
use badgerferry_lib::relay::engine_load::EngineLoad;
use badgerferry_lib::relay::gossip_topology;
use badgerferry_lib::relay::gossip_topology::DelegateRole;
use badgerferry_lib::relay::gossip_topology::GossipScope;
use badgerferry_lib::relay::gossip_topology::MAX_HALL_GOSSIP_INTERVAL;
use badgerferry_lib::relay::gossip_topology::MIN_HALL_GOSSIP_INTERVAL;
use badgerferry_lib::relay::hall_hubs::HallRole;
use badgerferry_lib::relay::load_datagram::LoadDatagram;
use badgerferry_lib::relay::load_datagram::LoadSource;
use badgerferry_lib::relay::quarantine::RunScope;
use badgerferry_lib::relay::server_paths::ServiceKey;
use badgerferry_lib::relay::state_pull::FRAME_VERSION;
use badgerferry_lib::time::Time;
use badgerferry_platform::settings_file::BoxSettings;
use metrics::counter;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::time::Instant;
use tokio::time::timeout;

use crate::relay::datagram_receiver;
use crate::relay::hub_gossip;
use crate::relay::listener;
use crate::relay::permit_transport::OutgoingDatagram;
use crate::relay::pulls;
use crate::relay::state::Relay;
use crate::traffic::lock;

/// Interval at which a box that is no delegate checks whether it has become one. The primary
/// delegate has a backup meanwhile.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

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
        datagram_receiver::receive(relay, &load),
        send_hall_load(relay, &load),
        hub_gossip::send_batches(relay, &load),
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
        log_size_groups(relay, now);
        let rows = lock(&relay.loads).own_table(now);
        sequence += 1;
        let (queue_head, size_counts) = {
            let queue = lock(&relay.long_prompt_queue);
            (queue.head(now), queue.size_groups.own_counts(now))
        };
        let mut datagram = LoadDatagram {
            is_urgent,
            queue_head,
            size_counts,
            ..build_datagram(relay, now, sequence, LoadSource::Box, rows)
        };
        let role = hub_gossip::role(relay, now);
        let peers = match &role {
            HallRole::Mesh => peers(relay),
            HallRole::Hub => Vec::new(),
            HallRole::Member(hubs) => hubs.iter().map(|hub| hub.load).collect(),
        };
        match &role {
            HallRole::Hub => {
                hub_gossip::introduce(relay, socket, now, &mut datagram).await;
                hub_gossip::distribute(relay, &mut datagram);
            }
            HallRole::Mesh | HallRole::Member(_) => {
                datagram.is_for_hub = role != HallRole::Mesh;
                send_to_all(socket, &mut datagram, &peers).await;
            }
        }
        if lock(&relay.quarantine).has_unreported(now, RunScope::Box) {
            relay.urgent_changed.notify_one();
        }
        let min_interval = role.min_interval(peers.len());
        let heartbeat = role.heartbeat(queue_head.is_some());
        is_urgent = wait_for_change(relay, min_interval, heartbeat).await;
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
            tokio::time::sleep(MAX_HALL_GOSSIP_INTERVAL).await;
        } else {
            tokio::time::sleep(ROLE_CHECK_INTERVAL).await;
        }
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
    let (queue_head, size_counts) = {
        let queue = lock(&relay.long_prompt_queue);
        (queue.hall_head(now), queue.size_groups.hall_counts(now))
    };
    LoadDatagram {
        queue_head,
        size_counts,
        ..build_datagram(relay, now, sequence, source, rows)
    }
}

/// Datagram without a queue head and size counts, which the caller adds.
fn build_datagram(
    relay: &Relay,
    now: Time,
    sequence: u64,
    source: LoadSource,
    rows: HashMap<EngineKey, EngineLoad>,
) -> LoadDatagram {
    let (faults, silent, departures) = {
        let mut tracker = lock(&relay.tracker);
        let departures = tracker.recent_departures(now);
        (
            tracker.recent_faults(now),
            tracker.silent_servers(),
            departures,
        )
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
    let (unconfirmed, known_boxes) = {
        let cluster_view = lock(&relay.cluster_view);
        let unconfirmed = cluster_view.servers.unconfirmed_digest();
        (unconfirmed, cluster_view.boxes.len() as u32)
    };
    LoadDatagram {
        version: FRAME_VERSION,
        from: relay.settings.name.clone(),
        incarnation: relay.incarnation,
        sequence,
        source,
        is_urgent: false,
        is_for_hub: false,
        known_state: relay.known_state(),
        known_boxes,
        unconfirmed,
        follows_store: relay.follows_store(),
        queue_head: None,
        size_counts: Vec::new(),
        faults,
        silent,
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

/// Encodes a datagram and sends it to several boxes.
pub async fn send_to_all(socket: &UdpSocket, datagram: &mut LoadDatagram, to: &[SocketAddr]) {
    send_bytes(socket, &encode(datagram), to).await;
}

/// Encodes a datagram, without the rows that do not fit.
pub fn encode(datagram: &mut LoadDatagram) -> Vec<u8> {
    let omitted = datagram.truncate_rows();
    counter!("badgerferry_load_rows_left_out_total").increment(omitted as u64);
    datagram.encode()
}

/// Sends a datagram to several boxes.
pub async fn send_bytes(socket: &UdpSocket, bytes: &[u8], to: &[SocketAddr]) {
    for address in to {
        if let Err(cause) = socket.send_to(bytes, address).await {
            counter!("badgerferry_datagrams_dropped_total", "why" => "not_sent").increment(1);
            tracing::debug!(%address, %cause, "datagram not sent");
        }
    }
}

/// Waits for a change or the next heartbeat, for at least `min_interval`. A change within that
/// interval is sent at its end. An urgent change ends the wait at once, and true is returned.
async fn wait_for_change(relay: &Relay, min_interval: Duration, heartbeat: Duration) -> bool {
    let sent_at = Instant::now();
    let changed = async {
        // A time-out means that the heartbeat is due.
        let _ = timeout(min_interval + heartbeat, relay.load_changed.notified()).await;
        tokio::time::sleep_until(sent_at + min_interval).await;
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

fn log_size_groups(relay: &Relay, now: Time) {
    let changes = lock(&relay.long_prompt_queue).size_groups.take_changes(now);
    for change in changes {
        let (size_group, relative_share) = (change.group.name(), change.relative_share);
        if change.is_behind {
            tracing::warn!(size_group, relative_share, "size group behind");
        } else {
            tracing::info!(size_group, relative_share, "size group caught up");
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
pub fn peers(relay: &Relay) -> Vec<SocketAddr> {
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
