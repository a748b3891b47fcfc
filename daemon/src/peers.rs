//! Exchanges with other boxes: who lives, which settings they have, what they ask for.

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

/// Longest exchange.
const LIMIT: Duration = Duration::from_secs(2);
/// Time between exchanges while this box has no settings at all.
const HURRY: Duration = Duration::from_millis(200);

/// Starts answering peers and gives back where they reach this box.
///
/// # Errors
///
/// The address can't be listened on, or the thread can't be started.
pub fn listen(traffic: &Arc<Traffic>) -> anyhow::Result<SocketAddr> {
    let listener = PeerListener::bind(traffic.config.peer_listen, MAX_FRAME_BYTES)?;
    let address = listener.address();
    let traffic = Arc::clone(traffic);
    std::thread::Builder::new()
        .name("peers".to_owned())
        .spawn(move || listener.serve(|frame| answer(&traffic, frame)))
        .context("failed to start the peers' thread")?;
    Ok(address)
}

/// Exchanges until the process ends.
pub async fn run(traffic: &Arc<Traffic>) {
    loop {
        if let Some(address) = pick_gossip_peer(traffic) {
            exchange(traffic, address).await;
        }
        keep_up(traffic);
        let has_settings = traffic.settings.load().is_some();
        let pause = if has_settings { GOSSIP_INTERVAL } else { HURRY };
        // Spread, so that boxes that started together do not stay in step.
        let spread = rand::rng().random_range(0.75..1.25);
        tokio::time::sleep(pause.mul_f64(spread)).await;
    }
}

/// A box of the list, or of this box's own file while the list can't be read.
fn pick_gossip_peer(traffic: &Traffic) -> Option<String> {
    let membership = lock(&traffic.membership);
    let mut rng = rand::rng();
    let drawn = membership
        .pick_gossip_peer(&mut rng)
        .map(|info| info.peer_address.clone());
    drawn.or_else(|| {
        traffic
            .config
            .peers
            .choose(&mut rng)
            .map(ToString::to_string)
    })
}

async fn exchange(traffic: &Arc<Traffic>, address: String) {
    let hello = hello(traffic, false);
    let Some(answer) = ask(traffic, &address, &hello).await else {
        return;
    };
    let needs_checkpoint = take(traffic, answer);
    if needs_checkpoint {
        let again = self::hello(traffic, true);
        if let Some(answer) = ask(traffic, &address, &again).await {
            take(traffic, answer);
        }
    }
}

async fn ask(traffic: &Arc<Traffic>, address: &str, hello: &PeerMessage) -> Option<PeerMessage> {
    let key = traffic.config.peer_key;
    let frame = peer_wire::seal(&key, hello);
    telemetry::count_peer_bytes("sent", frame.len());
    let address = address.to_owned();
    let peer = NngPeer {
        timeout: LIMIT,
        max_frame: MAX_FRAME_BYTES,
    };
    let call = tokio::task::spawn_blocking(move || peer.exchange(&address, &frame));
    match call.await {
        Ok(Ok(frame)) => open(&key, &frame),
        Ok(Err(cause)) => {
            tracing::debug!(cause = %cause, "exchange failed");
            None
        }
        Err(_stopped) => None,
    }
}

fn open(key: &[u8; peer_wire::KEY_BYTES], frame: &[u8]) -> Option<PeerMessage> {
    telemetry::count_peer_bytes("received", frame.len());
    match peer_wire::open(key, frame) {
        Ok(message) => Some(message),
        Err(fault) => {
            telemetry::count_bad_frame(fault.label());
            tracing::warn!(fault = %fault, bytes = frame.len(), "a peer's frame was dropped");
            None
        }
    }
}

fn own_row(traffic: &Traffic) -> BoxRow {
    let revision = lock(&traffic.follow).revision();
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

/// Answers a peer's frame; none for a bad one.
fn answer(traffic: &Traffic, frame: &[u8]) -> Option<Vec<u8>> {
    let key = &traffic.config.peer_key;
    let PeerMessage::Hello {
        from: asker,
        rows,
        demand,
        wants_checkpoint,
    } = open(key, frame)?
    else {
        return None;
    };
    let (head, checkpoint) = settings_for(traffic, &asker, wants_checkpoint);
    let from = own_row(traffic);
    let answer = PeerMessage::Response {
        rows: lock(&traffic.membership).rows_for(&asker.hall),
        demand: own_demand(traffic),
        head,
        checkpoint,
        from,
    };
    merge_rows(traffic, asker, rows, demand);
    let frame = peer_wire::seal(key, &answer);
    telemetry::count_peer_bytes("sent", frame.len());
    Some(frame)
}

/// The settings that an asker who is behind needs.
fn settings_for(
    traffic: &Traffic,
    asker: &BoxRow,
    wants_checkpoint: bool,
) -> (Option<Vec<u8>>, Option<Vec<u8>>) {
    let follow = lock(&traffic.follow);
    let newer = follow.head().filter(|head| head.revision > asker.revision);
    let checkpoint = follow
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

/// Takes an answer; tells whether the checkpoint behind its head is needed.
fn take(traffic: &Traffic, answer: PeerMessage) -> bool {
    let PeerMessage::Response {
        from,
        rows,
        demand,
        head,
        checkpoint,
    } = answer
    else {
        return false;
    };
    merge_rows(traffic, from, rows, demand);
    let Some(head) = head.and_then(|bytes| Head::decode(&bytes).ok()) else {
        return false;
    };
    let checkpoint = checkpoint.and_then(|bytes| decode(&bytes).ok());
    let followed = lock(&traffic.follow).on_peer_head(head, checkpoint);
    let needs_checkpoint = matches!(followed, FollowOutcome::NeedsCheckpoint(_));
    settings_watch::apply_outcome(traffic, followed);
    needs_checkpoint
}

/// Passes what is known of the hall's boxes on to the dispatcher and to `status`.
fn keep_up(traffic: &Traffic) {
    let now = traffic.clock.now();
    let (serving, others, peers) = {
        let mut membership = lock(&traffic.membership);
        membership.remove_expired(now);
        let peers = membership.boxes().map(|(name, info, known)| PeerStatus {
            name: name.clone(),
            hall: known
                .map(|known| known.row.hall.clone())
                .or_else(|| info.map(|info| info.hall.clone()))
                .unwrap_or_else(|| traffic.config.hall.clone()),
            live: membership.is_live(now, name),
            leaving: known.is_some_and(|known| known.row.leaving)
                || info.is_some_and(|info| info.leaving),
            revision: known.map(|known| known.row.revision).unwrap_or_default(),
            silent_ms: known.map(|known| now.since(known.heard_at).as_millis() as u64),
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
    dispatcher.limits.set_peer_demand(now, &others);
    drop(dispatcher);
    lock(&traffic.status).peers = peers;
}
