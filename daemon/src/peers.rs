//! Gossip with other boxes: liveness, settings and demand.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use anyhow::Context;
use badgerferry_edges::peer::NngPeer;
use badgerferry_edges::peer::Peer;
use badgerferry_edges::peer::PeerListener;
use badgerferry_lib::membership::BoxRow;
use badgerferry_lib::membership::DemandRow;
use badgerferry_lib::membership::GOSSIP_INTERVAL;
use badgerferry_lib::membership::MAX_DEMAND_ROWS;
use badgerferry_lib::peer_wire;
use badgerferry_lib::peer_wire::MAX_FRAME_BYTES;
use badgerferry_lib::peer_wire::PeerMessage;
use badgerferry_lib::settings_follower::FollowOutcome;
use badgerferry_lib::settings_head::Head;
use badgerferry_lib::settings_head::decode;
use badgerferry_lib::settings_head::encode;
use badgerferry_lib::status_wire::PeerStatus;
use rand::Rng;
use rand::seq::IndexedRandom;

use crate::settings_watch;
use crate::telemetry;
use crate::traffic::Traffic;
use crate::traffic::lock;

/// Time limit of sending a frame, and again of receiving the reply.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval between exchanges while this box has no settings.
const BOOTSTRAP_INTERVAL: Duration = Duration::from_millis(200);

/// Starts serving the frames of peers and returns the address of the listener.
///
/// # Errors
///
/// The listener can't be bound to its address, or the thread can't be started.
pub fn listen(traffic: &Arc<Traffic>) -> anyhow::Result<SocketAddr> {
    let listener = PeerListener::bind(traffic.config.peer_listen, MAX_FRAME_BYTES)?;
    let address = listener.address();
    let traffic = Arc::clone(traffic);
    std::thread::Builder::new()
        .name("peers".to_owned())
        .spawn(move || listener.serve(|frame| respond(&traffic, frame)))
        .context("failed to start the peers' thread")?;
    Ok(address)
}

/// Initiates exchanges until the process ends.
pub async fn run(traffic: &Arc<Traffic>) {
    loop {
        if let Some(address) = pick_gossip_peer(traffic) {
            exchange(traffic, address).await;
        }
        publish_membership(traffic);
        let has_settings = traffic.settings.load().is_some();
        let interval = if has_settings {
            GOSSIP_INTERVAL
        } else {
            BOOTSTRAP_INTERVAL
        };
        // The jitter keeps boxes that started at the same time from gossiping in lockstep.
        let jitter = rand::rng().random_range(0.75..1.25);
        tokio::time::sleep(interval.mul_f64(jitter)).await;
    }
}

/// Picks a box from the platform's list, or from the configuration file while the list is
/// unavailable.
fn pick_gossip_peer(traffic: &Traffic) -> Option<String> {
    let membership = lock(&traffic.membership);
    let mut rng = rand::rng();
    let listed = membership
        .pick_gossip_peer(&mut rng)
        .map(|info| info.peer_address.clone());
    listed.or_else(|| {
        traffic
            .config
            .peers
            .choose(&mut rng)
            .map(ToString::to_string)
    })
}

async fn exchange(traffic: &Arc<Traffic>, address: String) {
    let hello = hello(traffic, false);
    let Some(response) = send(traffic, &address, &hello).await else {
        return;
    };
    let needs_checkpoint = apply_response(traffic, response);
    if needs_checkpoint {
        let second_hello = self::hello(traffic, true);
        if let Some(response) = send(traffic, &address, &second_hello).await {
            apply_response(traffic, response);
        }
    }
}

async fn send(traffic: &Arc<Traffic>, address: &str, hello: &PeerMessage) -> Option<PeerMessage> {
    let key = traffic.config.peer_key;
    let frame = peer_wire::seal(&key, hello);
    telemetry::count_peer_bytes("sent", frame.len());
    let address = address.to_owned();
    let peer = NngPeer {
        timeout: EXCHANGE_TIMEOUT,
        max_frame: MAX_FRAME_BYTES,
    };
    let call = tokio::task::spawn_blocking(move || peer.exchange(&address, &frame));
    match call.await {
        Ok(Ok(frame)) => open(&key, &frame),
        Ok(Err(cause)) => {
            tracing::debug!(cause = %cause, "peer exchange failed");
            None
        }
        Err(_join_error) => None,
    }
}

fn open(key: &[u8; peer_wire::KEY_BYTES], frame: &[u8]) -> Option<PeerMessage> {
    telemetry::count_peer_bytes("received", frame.len());
    match peer_wire::open(key, frame) {
        Ok(message) => Some(message),
        Err(error) => {
            telemetry::count_bad_frame(error.label());
            tracing::warn!(fault = %error, bytes = frame.len(), "invalid peer frame dropped");
            None
        }
    }
}

fn own_row(traffic: &Traffic) -> BoxRow {
    let revision = lock(&traffic.settings_follower).revision();
    let leaving = traffic.leaving.load(Ordering::SeqCst);
    lock(&traffic.membership).advance_heartbeat(leaving, revision)
}

fn own_demand(traffic: &Traffic) -> Vec<DemandRow> {
    let now = traffic.clock.now();
    let rows = traffic.dispatcher().limits.own_demand(now, MAX_DEMAND_ROWS);
    let row = |(workspace, tokens): (_, f64)| DemandRow {
        workspace,
        tokens_per_s: tokens as u32,
    };
    rows.into_iter().map(row).collect()
}

fn hello(traffic: &Traffic, wants_checkpoint: bool) -> PeerMessage {
    let from = own_row(traffic);
    PeerMessage::Hello {
        rows: lock(&traffic.membership).rows_for(&from.hall),
        demand: own_demand(traffic),
        wants_checkpoint,
        from,
    }
}

/// Returns the reply to a peer's frame, or `None` if the frame is invalid.
fn respond(traffic: &Traffic, frame: &[u8]) -> Option<Vec<u8>> {
    let key = &traffic.config.peer_key;
    let PeerMessage::Hello {
        from: requester,
        rows,
        demand,
        wants_checkpoint,
    } = open(key, frame)?
    else {
        return None;
    };
    let (head, checkpoint) = settings_for(traffic, &requester, wants_checkpoint);
    let from = own_row(traffic);
    let response = PeerMessage::Response {
        rows: lock(&traffic.membership).rows_for(&requester.hall),
        demand: own_demand(traffic),
        head,
        checkpoint,
        from,
    };
    merge_rows(traffic, requester, rows, demand);
    let frame = peer_wire::seal(key, &response);
    telemetry::count_peer_bytes("sent", frame.len());
    Some(frame)
}

/// Returns the encoded head if the peer has an older revision, and on request its checkpoint.
fn settings_for(
    traffic: &Traffic,
    requester: &BoxRow,
    wants_checkpoint: bool,
) -> (Option<Vec<u8>>, Option<Vec<u8>>) {
    let settings_follower = lock(&traffic.settings_follower);
    let newer = settings_follower
        .head()
        .filter(|head| head.revision > requester.revision);
    let checkpoint = settings_follower
        .checkpoint()
        .filter(|_| wants_checkpoint && newer.is_some());
    (newer.map(Head::encode), checkpoint.map(encode))
}

fn merge_rows(traffic: &Traffic, from: BoxRow, rows: Vec<BoxRow>, demand: Vec<DemandRow>) {
    let now = traffic.clock.now();
    let mut membership = lock(&traffic.membership);
    let name = from.name.clone();
    membership.on_row(now, from);
    membership.on_demand(&name, demand);
    for row in rows {
        membership.on_row(now, row);
    }
}

/// Applies a peer's response; returns whether the checkpoint of its head is needed.
fn apply_response(traffic: &Traffic, response: PeerMessage) -> bool {
    let PeerMessage::Response {
        from,
        rows,
        demand,
        head,
        checkpoint,
    } = response
    else {
        return false;
    };
    merge_rows(traffic, from, rows, demand);
    let Some(head) = head.and_then(|bytes| Head::decode(&bytes).ok()) else {
        return false;
    };
    let checkpoint = checkpoint.and_then(|bytes| decode(&bytes).ok());
    let outcome = lock(&traffic.settings_follower).on_peer_head(head, checkpoint);
    let needs_checkpoint = matches!(outcome, FollowOutcome::NeedsCheckpoint(_));
    settings_watch::apply_outcome(traffic, outcome);
    needs_checkpoint
}

/// Publishes the known boxes and the demand of peers to the dispatcher and to `/status`.
fn publish_membership(traffic: &Traffic) {
    let now = traffic.clock.now();
    let (serving, demand, peers) = {
        let mut membership = lock(&traffic.membership);
        membership.remove_expired(now);
        let peers = membership.boxes().map(|(name, info, entry)| PeerStatus {
            name: name.clone(),
            hall: entry
                .map(|entry| entry.row.hall.clone())
                .or_else(|| info.map(|info| info.hall.clone()))
                .unwrap_or_else(|| traffic.config.hall.clone()),
            live: membership.is_live(now, name),
            leaving: entry.is_some_and(|entry| entry.row.leaving)
                || info.is_some_and(|info| info.leaving),
            revision: entry.map(|entry| entry.row.revision).unwrap_or_default(),
            silent_ms: entry.map(|entry| now.since(entry.heard_at).as_millis() as u64),
        });
        let peers = peers.collect();
        (
            membership.serving_boxes(now),
            membership.peer_demand(now),
            peers,
        )
    };
    let mut dispatcher = traffic.dispatcher();
    dispatcher.set_boxes(serving);
    dispatcher.limits.set_peer_demand(now, &demand);
    drop(dispatcher);
    lock(&traffic.status).peers = peers;
}
