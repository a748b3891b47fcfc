//! Receives the datagrams of other boxes: applies them, forwards those of other halls, and pulls what
//! they announce.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use badgerferry_lib::ids::HallName;
use badgerferry_lib::relay::gossip_topology::GOSSIP_INTERVAL_PER_BOX;
use badgerferry_lib::relay::hub_wire::HubFrame;
use badgerferry_lib::relay::load_datagram::LoadDatagram;
use badgerferry_lib::relay::load_datagram::LoadSource;
use badgerferry_lib::relay::load_datagram::MAX_DATAGRAM_BYTES;
use badgerferry_lib::relay::permit_wire::PermitFrame;
use badgerferry_lib::relay::pull_timer::Missing;
use badgerferry_lib::relay::pull_timer::Path;
use badgerferry_lib::relay::pull_timer::PullTimer;
use badgerferry_lib::relay::slow_engine_tracker::ReportOrigin;
use badgerferry_lib::relay::state_pull::KnownState;
use badgerferry_lib::time::Time;
use metrics::counter;
use tokio::net::UdpSocket;
use tokio::task::JoinHandle;

use crate::relay::gossip;
use crate::relay::hub_gossip;
use crate::relay::pulls;
use crate::relay::request_quarantine;
use crate::relay::state::Relay;
use crate::traffic::lock;

/// Minimum interval between forwarded datagrams of the same other hall.
const MIN_FORWARD_INTERVAL: Duration = Duration::from_millis(10);
/// Minimum interval between pulls, so that one pull fetches changes made in quick succession.
const MIN_PULL_INTERVAL: Duration = Duration::from_millis(150);

/// Receives datagrams. Never returns.
pub async fn receive(relay: &Arc<Relay>, socket: &UdpSocket) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES * 2];
    let mut receiver = Receiver::new(relay);
    loop {
        match socket.recv_from(&mut buf).await {
            Ok((len, from)) => receiver.receive(socket, from, &buf[..len]).await,
            Err(cause) => {
                tracing::debug!(%cause, "receiving a datagram failed");
                tokio::time::sleep(GOSSIP_INTERVAL_PER_BOX).await;
            }
        }
    }
}

/// Applies received datagrams, and pulls what they announce.
struct Receiver<'a> {
    relay: &'a Arc<Relay>,
    pull_timer: Arc<Mutex<PullTimer>>,
    pull_task: Option<JoinHandle<()>>,
    forward_times: ForwardTimes,
}

impl<'a> Receiver<'a> {
    fn new(relay: &'a Arc<Relay>) -> Self {
        Self {
            relay,
            pull_timer: Arc::default(),
            pull_task: None,
            forward_times: ForwardTimes::default(),
        }
    }

    async fn receive(&mut self, socket: &UdpSocket, from: SocketAddr, bytes: &[u8]) {
        if PermitFrame::has_version_byte(bytes) {
            if let Some(response) = self.relay.gate.handle_datagram(bytes) {
                self.relay.gate.permits.send(from, &response);
            }
        } else if HubFrame::has_version_byte(bytes) {
            match HubFrame::decode(bytes) {
                Ok(frame) => self.receive_frame(socket, from, frame).await,
                Err(cause) => drop_malformed(&cause),
            }
        } else {
            match LoadDatagram::decode(bytes) {
                Ok(datagram) => {
                    hub_gossip::receive_direct(self.relay, from, &datagram, bytes);
                    self.apply(socket, datagram, Path::Direct).await;
                }
                Err(cause) => drop_malformed(&cause),
            }
        }
    }

    async fn receive_frame(&mut self, socket: &UdpSocket, from: SocketAddr, frame: HubFrame) {
        let hub = frame.from.clone();
        for datagram in hub_gossip::receive_frame(self.relay, from, frame) {
            let path = if datagram.from == hub {
                Path::Direct
            } else {
                Path::OtherHub
            };
            self.apply(socket, datagram, path).await;
        }
    }

    async fn apply(&mut self, socket: &UdpSocket, mut datagram: LoadDatagram, path: Path) {
        let relay = self.relay;
        let now = relay.clock.now();
        merge_rows(relay, now, &mut datagram);
        record_peer(relay, now, &datagram);
        request_quarantine::merge_reports(relay, now, &datagram);
        let source = source_name(&datagram);
        let has_cold_news = relay.gate.merge_rows(&datagram.notices, source);
        let is_due = self
            .forward_times
            .is_due(relay, now, &datagram, has_cold_news);
        if is_due {
            forward(relay, socket, &datagram).await;
        }
        let known_state = relay.known_state();
        let path = if was_forwarded(&datagram) {
            Path::OtherHall
        } else {
            path
        };
        let delay = missing(relay, now, known_state, &datagram, path).pull_delay(
            path,
            relay.must_follow_store(),
            relay.spread,
        );
        self.pull_if_due(now, known_state, datagram, delay);
    }

    fn pull_if_due(
        &mut self,
        now: Time,
        known_state: KnownState,
        datagram: LoadDatagram,
        delay: Option<Duration>,
    ) {
        let is_pulling = (self.pull_task.as_ref()).is_some_and(|task| !task.is_finished());
        let is_due = lock(&self.pull_timer).is_due(now, known_state, &datagram.from, delay);
        if is_due && !is_pulling {
            lock(&self.pull_timer).pull_started();
            // A pull that hangs must not block the reception of datagrams.
            let (relay, pull_timer) = (Arc::clone(self.relay), Arc::clone(&self.pull_timer));
            self.pull_task = Some(tokio::spawn(async move {
                pulls::catch_up(&relay, &pull_timer, datagram.from, datagram.unconfirmed).await;
                tokio::time::sleep(MIN_PULL_INTERVAL).await;
            }));
        }
    }
}

fn drop_malformed(cause: &dyn std::fmt::Display) {
    counter!("badgerferry_datagrams_dropped_total", "why" => "malformed").increment(1);
    tracing::debug!(%cause, "datagram dropped: malformed");
}

/// What this box lacks of what a datagram announces.
fn missing(
    relay: &Relay,
    now: Time,
    known_state: KnownState,
    datagram: &LoadDatagram,
    path: Path,
) -> Missing {
    let may_request_boxes = pulls::may_request_boxes(relay);
    let position = datagram.known_state.servers;
    let cluster_view = lock(&relay.cluster_view);
    // A box that learns of others through a hub requests the list from the hub.
    let lacks_boxes = path != Path::OtherHub && cluster_view.lacks_boxes_of(datagram);
    let servers = &cluster_view.servers;
    Missing {
        state: known_state.is_behind(datagram.known_state),
        unconfirmed: servers.lacks_unconfirmed(now, position, datagram.unconfirmed),
        boxes: lacks_boxes && may_request_boxes,
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
    if hub_gossip::acts_as_hub(relay) {
        hub_gossip::distribute(relay, &mut datagram);
    } else {
        gossip::send_to_all(socket, &mut datagram, &gossip::peers(relay)).await;
    }
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
                let mut queue = lock(&relay.long_prompt_queue);
                queue.record_box_head(now, from, datagram.queue_head);
                queue
                    .size_groups
                    .record_box(now, from, &datagram.size_counts);
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
                let mut queue = lock(&relay.long_prompt_queue);
                queue.record_hall_head(now, hall, datagram.queue_head);
                let counts = &datagram.size_counts;
                queue.size_groups.record_hall(now, hall.as_str(), counts);
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
            cluster_view.confirm_share(now, relay.settings.retries.window);
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
        cluster_view.lacks_boxes |= cluster_view.lacks_boxes_of(datagram);
        cluster_view
            .most_boxes
            .record(now, datagram.known_boxes as usize);
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
    tracker.apply_silences(now, own_hall, &hall, &datagram.silent);
    let excluded = tracker.apply_faults(now, own_hall, &hall, &datagram.faults);
    drop(tracker);
    for server in excluded {
        tracing::info!(%server, from = datagram.from, "server excluded: reported by a peer");
    }
}
