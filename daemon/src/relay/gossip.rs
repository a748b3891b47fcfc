//! Datagrams between boxes, which tell the work at the engines and who has newer state.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
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
use badgerferry_lib::relay::quarantine::RunScope;
use badgerferry_lib::relay::slow_engine_tracker::ReportOrigin;
use badgerferry_lib::relay::state_pull::FRAME_VERSION;
use badgerferry_lib::time::Time;
use badgerferry_platform::settings_file::BoxSettings;
use metrics::counter;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio::time::timeout;

use crate::relay::listener;
use crate::relay::permit_post::Outgoing;
use crate::relay::pulls;
use crate::relay::state::Relay;
use crate::relay::suspects;
use crate::traffic::lock;

/// Least time until a box passes the work of the same hall on again.
const PASS_ON_PAUSE: Duration = Duration::from_millis(10);
/// A box is behind when a neighbour had newer state for this long; the watch is faster mostly.
const BEHIND: Duration = Duration::from_millis(250);
/// Between two pulls: changes that come together are fetched by one.
const PULL_PAUSE: Duration = Duration::from_millis(150);

/// Sockets to other boxes.
#[derive(Debug)]
pub struct PeerSockets {
    load: UdpSocket,
    pull: TcpListener,
}

/// Opens the sockets.
///
/// # Errors
///
/// An address can't be used.
pub async fn bind(settings: &BoxSettings) -> anyhow::Result<PeerSockets> {
    let load = UdpSocket::bind(settings.load).await;
    let load = load.with_context(|| format!("failed to take datagrams on {}", settings.load))?;
    let pull = listener::listen(settings.pull)?;
    Ok(PeerSockets { load, pull })
}

/// Runs for ever.
pub async fn run(relay: &Arc<Relay>, links: PeerSockets) {
    let PeerSockets { load, pull } = links;
    tokio::join!(
        tell(relay, &load),
        hear(relay, &load),
        tell_far(relay, &load),
        send_permits(relay, &load),
        pulls::serve_pulls(relay, pull),
        pulls::bootstrap(relay),
    );
}

async fn tell(relay: &Arc<Relay>, socket: &UdpSocket) {
    let mut sequence = 0;
    let mut scope = GossipScope::Fleet;
    let mut is_urgent = false;
    loop {
        let now = relay.clock.now();
        end_holds(relay);
        log_reach(relay);
        log_scope(relay, &mut scope);
        let rows = lock(&relay.loads).own_table(now);
        sequence += 1;
        let mut datagram = LoadDatagram {
            is_urgent,
            queue_head: lock(&relay.long_prompt_queue).head(now),
            ..datagram(relay, now, sequence, LoadSource::Box, rows)
        };
        let queue_head = datagram.queue_head;
        let others = others(relay);
        send_to_all(socket, &mut datagram, &others).await;
        let heartbeat = match queue_head {
            Some(_) => QUEUED_PROMPT_HEARTBEAT,
            None => HEARTBEAT_INTERVAL,
        };
        is_urgent = wait_to_tell(
            relay,
            GOSSIP_INTERVAL_PER_BOX * others.len() as u32,
            heartbeat,
        )
        .await;
        if is_urgent {
            relay.hall_changed.notify_one();
        }
    }
}

/// Sends questions for calls to limited servers, and answers to such.
async fn send_permits(relay: &Relay, socket: &UdpSocket) {
    let Some(mut outgoing) = relay.gate.permits.outgoing() else {
        return;
    };
    while let Some(Outgoing { to, bytes }) = outgoing.recv().await {
        if let Err(cause) = socket.send_to(&bytes, to).await {
            counter!("badgerferry_datagrams_dropped_total", "why" => "not_sent").increment(1);
            tracing::debug!(%to, %cause, "a datagram could not be sent");
        }
    }
}

/// Tells other halls the work of this one, while each hall keeps to itself and this box speaks.
async fn tell_far(relay: &Arc<Relay>, socket: &UdpSocket) {
    let mut turn = 0;
    loop {
        let now = relay.clock.now();
        let (speaker, receivers) = far_receivers(relay, now, turn);
        if let Some(speaker) = speaker {
            turn += 1;
            let mut datagram = hall_datagram(relay, now, turn as u64);
            send_to_all(socket, &mut datagram, &receivers).await;
            if speaker == DelegateRole::Primary {
                tokio::time::sleep(MIN_HALL_GOSSIP_INTERVAL).await;
                let pause = MAX_HALL_GOSSIP_INTERVAL.saturating_sub(MIN_HALL_GOSSIP_INTERVAL);
                // Nothing changed in that time: what is known is told again.
                let _ = timeout(pause, relay.hall_changed.notified()).await;
                continue;
            }
        }
        tokio::time::sleep(MAX_HALL_GOSSIP_INTERVAL).await;
    }
}

/// Whether this box speaks for its hall, and to whom this time.
fn far_receivers(relay: &Relay, now: Time, turn: usize) -> (Option<DelegateRole>, Vec<SocketAddr>) {
    let own = &relay.settings;
    let cluster_view = lock(&relay.cluster_view);
    if cluster_view.scope() == GossipScope::Fleet {
        return (None, Vec::new());
    }
    let lives = |name: &str| cluster_view.peer_liveness.is_live(now, name);
    let speaker = gossip_topology::delegate_role(&cluster_view.boxes, &own.name, &own.hall, lives);
    let receivers =
        gossip_topology::gossip_targets(&cluster_view.boxes, &own.hall, turn).into_iter();
    let receivers = receivers.filter_map(|of| of.load.parse().ok());
    (speaker, receivers.collect())
}

/// The work of this box's hall, for the others.
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
        ..datagram(relay, now, sequence, source, rows)
    }
}

fn datagram(
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
    let (slow_engines, runs_of) = match source {
        LoadSource::Box => (
            lock(&relay.slow_engine_tracker).own_reports(now),
            RunScope::Box,
        ),
        LoadSource::Hall { .. } => (
            lock(&relay.slow_engine_tracker).hall_reports(now),
            RunScope::Hall,
        ),
    };
    let suspects = lock(&relay.quarantine).rows(now, runs_of);
    let notices = lock(&relay.gate.notices).rows(now);
    LoadDatagram {
        version: FRAME_VERSION,
        from: relay.settings.name.clone(),
        incarnation: relay.incarnation,
        sequence,
        source,
        is_urgent: false,
        known_state: relay.known_state(),
        follows_store: relay.follows_store(),
        queue_head: None,
        faults,
        departures,
        slow_engines,
        suspects,
        notices,
        rows: rows.into_iter().collect(),
    }
}

async fn send_to_all(socket: &UdpSocket, datagram: &mut LoadDatagram, to: &[SocketAddr]) {
    let left_out = datagram.truncate_rows();
    counter!("badgerferry_load_rows_left_out_total").increment(left_out as u64);
    let bytes = datagram.encode();
    for address in to {
        if let Err(cause) = socket.send_to(&bytes, address).await {
            counter!("badgerferry_datagrams_dropped_total", "why" => "not_sent").increment(1);
            tracing::debug!(%address, %cause, "a datagram could not be sent");
        }
    }
}

/// Waits until there is something to tell; true if that can't wait. Another change within the pause
/// is told after it.
async fn wait_to_tell(relay: &Relay, pause: Duration, heartbeat: Duration) -> bool {
    let changed = async {
        tokio::time::sleep(pause).await;
        let _ = timeout(heartbeat, relay.load_changed.notified()).await;
    };
    tokio::select! {
        () = changed => false,
        () = relay.urgent_changed.notified() => true,
    }
}

fn end_holds(relay: &Relay) {
    let now = relay.clock.now();
    let due = lock(&relay.cluster_view).servers.next_tick();
    if due.is_some_and(|due| now >= due) {
        relay.update_servers(|servers| {
            servers.tick(now);
        });
        tracing::info!("server entries that did not come back are taken as gone");
    }
}

fn log_reach(relay: &Relay) {
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
        tracing::info!(?scope, before = ?last, boxes, "boxes told of work change");
        *last = scope;
    }
}

/// The boxes that this one tells of its work.
fn others(relay: &Relay) -> Vec<SocketAddr> {
    let cluster_view = lock(&relay.cluster_view);
    let scope = cluster_view.scope();
    let own = &relay.settings;
    let others = cluster_view.boxes.values().filter(|of| of.name != own.name);
    others
        .filter(|of| scope.includes(&own.hall, &of.hall))
        .filter_map(|of| of.load.parse().ok())
        .collect()
}

async fn hear(relay: &Arc<Relay>, socket: &UdpSocket) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES * 2];
    let mut behind: HashMap<String, Instant> = HashMap::new();
    let mut pulling: Option<JoinHandle<()>> = None;
    let mut passed_on = PassedOn::default();
    loop {
        let datagram = match socket.recv_from(&mut buf).await {
            Ok((len, from)) if PermitFrame::has_version_byte(&buf[..len]) => {
                if let Some(answer) = relay.gate.heard(&buf[..len]) {
                    relay.gate.permits.send(from, &answer);
                }
                continue;
            }
            Ok((len, _from)) => LoadDatagram::decode(&buf[..len]),
            Err(cause) => {
                tracing::debug!(%cause, "no datagram could be taken");
                tokio::time::sleep(GOSSIP_INTERVAL_PER_BOX).await;
                continue;
            }
        };
        let mut datagram = match datagram {
            Ok(datagram) => datagram,
            Err(cause) => {
                counter!("badgerferry_datagrams_dropped_total", "why" => "malformed").increment(1);
                tracing::debug!(%cause, "a datagram was dropped");
                continue;
            }
        };
        let now = relay.clock.now();
        merge_rows(relay, now, &mut datagram);
        note_neighbour(relay, now, &datagram);
        suspects::heard(relay, now, &datagram);
        let teller = source_name(&datagram);
        relay.gate.merge_rows(&datagram.notices, teller);
        if passed_on.is_due(relay, now, &datagram) {
            pass_on(relay, socket, &datagram).await;
        }
        let known_state = relay.known_state();
        let is_newer = known_state.is_behind(datagram.known_state);
        // Far news is pulled by the box that passes it on, the others pull from that one.
        let lacks_state = is_newer && !is_passed_on(&datagram);
        if !lacks_state && !pulls::wants_boxes(relay) {
            behind.clear();
            continue;
        }
        let since = *behind
            .entry(datagram.from.clone())
            .or_insert_with(Instant::now);
        let waits = if relay.must_follow_store() {
            BEHIND
        } else {
            Duration::ZERO
        };
        let pulls = pulling.as_ref().is_some_and(|task| !task.is_finished());
        if since.elapsed() >= waits && !pulls {
            behind.clear();
            // A pull that hangs must not keep datagrams from being heard.
            let relay = Arc::clone(relay);
            pulling = Some(tokio::spawn(async move {
                pulls::catch_up(&relay, datagram.from).await;
                tokio::time::sleep(PULL_PAUSE).await;
            }));
        }
    }
}

/// When the work of each other hall was last passed on in this one.
#[derive(Default)]
struct PassedOn {
    last: HashMap<HallName, Time>,
}

impl PassedOn {
    /// Whether a datagram is to be passed on now, which then counts as done.
    fn is_due(&mut self, relay: &Relay, now: Time, datagram: &LoadDatagram) -> bool {
        let LoadSource::Hall { hall, is_forwarded } = &datagram.source else {
            return false;
        };
        let last = self.last.get(hall);
        let is_due = !is_forwarded
            && *hall != relay.settings.hall
            && last.is_none_or(|last| now.since(*last) >= PASS_ON_PAUSE);
        if is_due {
            self.last.insert(hall.clone(), now);
        }
        is_due
    }
}

/// Whose word a datagram is.
pub fn source_name(datagram: &LoadDatagram) -> &str {
    match &datagram.source {
        LoadSource::Box => &datagram.from,
        LoadSource::Hall { hall, .. } => hall.as_str(),
    }
}

const fn is_passed_on(datagram: &LoadDatagram) -> bool {
    matches!(
        datagram.source,
        LoadSource::Hall {
            is_forwarded: true,
            ..
        }
    )
}

/// Gives a datagram of another hall to the boxes of this one.
async fn pass_on(relay: &Relay, socket: &UdpSocket, datagram: &LoadDatagram) {
    let mut datagram = datagram.clone();
    if let LoadSource::Hall { is_forwarded, .. } = &mut datagram.source {
        *is_forwarded = true;
    }
    send_to_all(socket, &mut datagram, &others(relay)).await;
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
        // Its own hall's boxes are known by themselves.
        LoadSource::Hall { hall, .. } if *hall == relay.settings.hall => {}
        LoadSource::Hall { hall, .. } => {
            let rows = datagram.rows.clone();
            if lock(&relay.loads).update_hall_table(now, hall, incarnation, sequence, rows) {
                lock(&relay.long_prompt_queue).record_hall_head(now, hall, datagram.queue_head);
            }
        }
    }
}

/// Notes that the box was heard, and what it says of servers.
fn note_neighbour(relay: &Relay, now: Time, datagram: &LoadDatagram) {
    let hall = {
        let mut cluster_view = lock(&relay.cluster_view);
        if datagram.follows_store {
            cluster_view.peer_followed_store_at = Some(now);
        }
        cluster_view
            .peer_liveness
            .record(now, &datagram.from, datagram.known_state);
        let hall = cluster_view.boxes.get(&datagram.from);
        let hall = hall.map(|of| HallName::new(&of.hall));
        cluster_view.has_unknown_peer |= hall.is_none();
        hall
    };
    let Some(hall) = hall else {
        return;
    };
    let own = &relay.settings.hall;
    let said_by = if hall == *own {
        ReportOrigin::OwnHall
    } else {
        ReportOrigin::OtherHall
    };
    lock(&relay.slow_engine_tracker).record_gossip(now, said_by, &datagram.slow_engines);
    let mut tracker = lock(&relay.tracker);
    tracker.datagram_received(now, own, &hall, &datagram.from);
    tracker.apply_departures(now, &datagram.departures);
    let resting = tracker.apply_faults(now, own, &hall, &datagram.faults);
    drop(tracker);
    for server in resting {
        tracing::info!(%server, from = datagram.from, "server at fault, by a neighbour");
    }
}
