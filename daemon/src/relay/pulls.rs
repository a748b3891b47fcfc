//! Pulls of newer state between boxes.
//!
//! A box serves a few pulls at a time and rejects others at once as busy. A rejected box asks
//! another one that announced the state, and more boxes have it by then. The time until all have it
//! thus grows with the logarithm of their number, and no box holds many responses in memory.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use badgerferry_lib::relay::evacuated_halls::UnconfirmedDigest;
use badgerferry_lib::relay::pull_timer::PullTimer;
use badgerferry_lib::relay::route_table::RouteTable;
use badgerferry_lib::relay::server_list::ServerUpdate;
use badgerferry_lib::relay::state_pull::FRAME_VERSION;
use badgerferry_lib::relay::state_pull::KnownState;
use badgerferry_lib::relay::state_pull::MAX_FRAME_BYTES;
use badgerferry_lib::relay::state_pull::PullRequest;
use badgerferry_lib::relay::state_pull::PullResponse;
use badgerferry_lib::relay::state_pull::bootstrap_sources;
use metrics::counter;
use rand::seq::IndexedRandom;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::time::timeout;

use crate::relay::listener;
use crate::relay::request_quarantine;
use crate::relay::state::Relay;
use crate::traffic::lock;

/// Minimum interval between pulls that request the list of boxes. A box that is unknown here may be
/// unknown to the peers as well; without the interval each of its datagrams would cause a request.
const MIN_BOXES_REQUEST_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between pulls while this box has no routes.
const BOOTSTRAP_INTERVAL: Duration = Duration::from_millis(400);
/// Maximum duration of a pull. Peers respond within milliseconds; if one doesn't, another is asked.
const PULL_TIMEOUT: Duration = Duration::from_millis(700);
/// Pulls served concurrently. A table of 1,500 routes of about 150 bytes takes 0.1 s at 20 Mbit/s,
/// so four complete within [`PULL_TIMEOUT`].
const MAX_CONCURRENT_PULLS: usize = 4;

/// Delay after a box rejected a pull as busy. A table transfer takes about as long, and boxes that
/// have received the table announce it at once, so more boxes can be asked by then.
const BUSY_RETRY_DELAY: Duration = Duration::from_millis(60);
/// Maximum number of boxes asked in one [`catch_up`]. After these, the next datagram that
/// announces newer state starts another one; by then that state is newer than the one sought here.
const MAX_PULL_ATTEMPTS: u32 = 8;
/// Maximum number of failed pulls in one [`catch_up`]. A box runs one at a time, so peers that hang
/// would delay what others announce: two take 1.4 s, of 5 s until an evacuation must be in effect.
const MAX_FAILED_PULLS: u32 = 2;

/// The other box already serves its maximum number of pulls.
#[derive(Debug, thiserror::Error)]
#[error("busy with other pulls")]
struct Busy;

/// Outcome of a pull.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PullOutcome {
    /// It completed.
    Done,
    /// The other box is busy with other pulls.
    Busy,
    /// It failed for another reason, or the other box's address is unknown.
    Failed,
}

/// Both frames of a response. The second one is the route table, and is sent only if that is newer.
type ResponseFrames = (PullResponse, Option<RouteTable>);

/// Whether this box has not requested the list of boxes recently.
pub fn may_request_boxes(relay: &Relay) -> bool {
    let now = relay.clock.now();
    let requested_at = lock(&relay.cluster_view).boxes_requested_at;
    requested_at.is_none_or(|at| now.since(at) >= MIN_BOXES_REQUEST_INTERVAL)
}

/// Whether this box lacks addresses of others and has not requested them recently.
fn wants_boxes(relay: &Relay) -> bool {
    let lacks_boxes = {
        let cluster_view = lock(&relay.cluster_view);
        cluster_view.lacks_boxes || cluster_view.boxes.len() < 2
    };
    lacks_boxes && may_request_boxes(relay)
}

/// Pulls from the box `first`, which announced newer state. If it is busy or does not respond, tries
/// others that did.
///
/// To wait for the next datagram after a rejected pull would delay new routes by seconds. A box
/// without routes tries only once: if all boxes start together, few have routes, and repeated pulls
/// would keep these few busy.
///
/// `announced` is the digest of the unconfirmed evacuations that `first` announced.
pub async fn catch_up(
    relay: &Arc<Relay>,
    pull_timer: &Mutex<PullTimer>,
    first: String,
    mut announced: Option<UnconfirmedDigest>,
) {
    let mut name = first;
    let max_attempts = match relay.routes.load().as_ref() {
        Some(_) => MAX_PULL_ATTEMPTS,
        None => 1,
    };
    let mut failures = 0;
    for _ in 0..max_attempts {
        match pull_from(relay, &name, relay.known_state(), announced.take()).await {
            PullOutcome::Done => return,
            PullOutcome::Busy => tokio::time::sleep(BUSY_RETRY_DELAY).await,
            PullOutcome::Failed => {
                lock(pull_timer).pull_failed(relay.clock.now(), &name);
                failures += 1;
            }
        }
        if failures == MAX_FAILED_PULLS {
            return;
        }
        match random_peer_ahead(relay, pull_timer) {
            Some(other) => name = other,
            None => return,
        }
    }
}

/// A random box of those that announced newer state, except those whose pulls failed recently. Boxes
/// of the own hall are preferred: all boxes of another hall may be out of reach.
fn random_peer_ahead(relay: &Relay, pull_timer: &Mutex<PullTimer>) -> Option<String> {
    let now = relay.clock.now();
    let known_state = relay.known_state();
    let cluster_view = lock(&relay.cluster_view);
    let mut ahead = cluster_view.peer_liveness.ahead_of(now, known_state);
    let pull_timer = lock(pull_timer);
    ahead.retain(|&name| !pull_timer.has_failed_recently(now, name));
    let is_in_own_hall = |name: &&str| {
        let peer = cluster_view.boxes.get(*name);
        peer.is_some_and(|peer| peer.hall == relay.settings.hall.as_str())
    };
    if ahead.iter().any(is_in_own_hall) {
        ahead.retain(is_in_own_hall);
    }
    ahead.choose(&mut rand::rng()).map(|&name| name.to_owned())
}

/// Pulls from the named box, or from a random one if its address is unknown.
async fn pull_from(
    relay: &Arc<Relay>,
    name: &str,
    known_state: KnownState,
    mut announced: Option<UnconfirmedDigest>,
) -> PullOutcome {
    let address = {
        let cluster_view = lock(&relay.cluster_view);
        let named = cluster_view.boxes.get(name).map(|peer| peer.pull.clone());
        if named.is_none() {
            announced = None;
        }
        named.or_else(|| {
            let others = cluster_view.boxes.values();
            let others = others.filter(|peer| peer.name != relay.settings.name);
            let others: Vec<&str> = others.map(|peer| peer.pull.as_str()).collect();
            others
                .choose(&mut rand::rng())
                .map(|&address| address.to_owned())
        })
    };
    match address.and_then(|address| address.parse().ok()) {
        Some(address) => pull(relay, address, known_state, announced).await,
        None => PullOutcome::Failed,
    }
}

/// Pulls from random boxes until routes are known, whether from a peer or from the store.
pub async fn bootstrap(relay: &Arc<Relay>) {
    while relay.routes.load().is_none() {
        tokio::time::sleep(BOOTSTRAP_INTERVAL).await;
        let settings = &relay.settings;
        let sources = bootstrap_sources(
            settings.pull,
            &settings.seeds,
            &lock(&relay.cluster_view).boxes,
        );
        let source = sources.choose(&mut rand::rng()).copied();
        if let (None, Some(address)) = (relay.routes.load().as_ref(), source) {
            pull(relay, address, relay.known_state(), None).await;
        }
    }
}

/// Pulls newer state from an address, and the list of boxes if this box wants it. Applies both.
async fn pull(
    relay: &Arc<Relay>,
    address: SocketAddr,
    known_state: KnownState,
    announced: Option<UnconfirmedDigest>,
) -> PullOutcome {
    let request = PullRequest {
        version: FRAME_VERSION,
        known_state,
        wants_boxes: wants_boxes(relay),
    };
    if request.wants_boxes {
        let mut cluster_view = lock(&relay.cluster_view);
        cluster_view.boxes_requested_at = Some(relay.clock.now());
        cluster_view.lacks_boxes = false;
    }
    let (response, table) = match timeout(PULL_TIMEOUT, request_state(address, &request)).await {
        Ok(Ok(response)) => response,
        Ok(Err(cause)) if cause.is::<Busy>() => {
            tracing::debug!(%address, "pull rejected: peer is busy");
            return PullOutcome::Busy;
        }
        Ok(Err(cause)) => {
            tracing::info!(%address, cause = format!("{cause:#}"), "pull failed");
            return PullOutcome::Failed;
        }
        Err(_elapsed) => {
            tracing::info!(%address, "pull timed out");
            return PullOutcome::Failed;
        }
    };
    tracing::info!(
        %address,
        have_version = known_state.routes,
        have_servers = %known_state.servers,
        version = table.as_ref().map(|table| table.version),
        servers = response.servers.as_ref().map(describe_update),
        "state pulled from a peer"
    );
    let unconfirmed = response.unconfirmed;
    let has_unconfirmed = unconfirmed.halls.has_unconfirmed(unconfirmed.era);
    if response.servers.is_some() || has_unconfirmed {
        let now = relay.clock.now();
        relay.update_servers("peer", |servers| {
            if let Some(update) = response.servers {
                servers.extend_hold(now, response.hold_remaining);
                servers.apply_update(now, update);
            }
            servers.merge_unconfirmed(now, unconfirmed, announced);
        });
    }
    relay.gate.merge_rows(&response.notices, "a pull");
    request_quarantine::merge_initial(relay, &response.suspects);
    // Last, since calls that wait for the first routes proceed at once and need the servers.
    if let Some(table) = table {
        relay.update_routes(table, "neighbour");
    }
    let mut cluster_view = lock(&relay.cluster_view);
    for addresses in response.boxes {
        cluster_view
            .boxes
            .entry(addresses.name.clone())
            .or_insert(addresses);
    }
    PullOutcome::Done
}

/// Position and number of entries of an update, for logs.
fn describe_update(update: &ServerUpdate) -> String {
    match update {
        ServerUpdate::Snapshot(entries) => {
            format!("all {} at {}", entries.servers.len(), entries.position)
        }
        ServerUpdate::Delta(changes) => {
            let count = changes.upserted.len() + changes.removed.len();
            format!("{count} changes to {}", changes.position)
        }
    }
}

async fn request_state(
    address: SocketAddr,
    request: &PullRequest,
) -> anyhow::Result<ResponseFrames> {
    let mut stream = TcpStream::connect(address).await?;
    write_frame(&mut stream, &postcard::to_stdvec(request)?).await?;
    let bytes = read_frame(&mut stream).await?;
    anyhow::ensure!(!bytes.is_empty(), Busy);
    let response: PullResponse = postcard::from_bytes(&bytes)?;
    let table = if response.table_follows {
        let bytes = read_frame(&mut stream).await?;
        Some(postcard::from_bytes(&bytes)?)
    } else {
        None
    };
    Ok((response, table))
}

/// Serves pulls of other boxes. Never returns.
pub async fn serve_pulls(relay: &Arc<Relay>, listener: TcpListener) {
    let slots = Arc::new(Semaphore::new(MAX_CONCURRENT_PULLS));
    listener::accept_loop(listener, |stream| {
        serve_pull(Arc::clone(relay), Arc::clone(&slots), stream)
    })
    .await;
}

async fn serve_pull(relay: Arc<Relay>, slots: Arc<Semaphore>, mut stream: TcpStream) {
    let served = timeout(PULL_TIMEOUT, async {
        let bytes = read_frame(&mut stream).await?;
        let request: PullRequest = postcard::from_bytes(&bytes)?;
        anyhow::ensure!(
            request.version == FRAME_VERSION,
            "unsupported frame version"
        );
        let Ok(_slot) = slots.try_acquire() else {
            counter!("badgerferry_pulls_turned_away_total").increment(1);
            return write_frame(&mut stream, &[]).await;
        };
        let response = relay.newer_state_for(&request);
        let table = relay.encoded_table_for(&response);
        write_frame(&mut stream, &postcard::to_stdvec(&response)?).await?;
        if let Some(table) = table {
            write_frame(&mut stream, &table).await?;
        }
        // Waits until the peer closes the connection, so that the slot is held until the peer has
        // received the response.
        stream.shutdown().await?;
        let _ = stream.read(&mut [0]).await?;
        Ok(())
    });
    match served.await {
        Ok(Ok(())) => {}
        Ok(Err(cause)) => tracing::info!(cause = format!("{cause:#}"), "serving a pull failed"),
        Err(_elapsed) => tracing::info!("serving a pull timed out"),
    }
}

/// Writes a frame: its length in bytes, then the bytes.
pub async fn write_frame(stream: &mut TcpStream, bytes: &[u8]) -> anyhow::Result<()> {
    let len = u32::try_from(bytes.len())?;
    stream.write_all(&len.to_be_bytes()).await?;
    stream.write_all(bytes).await?;
    Ok(())
}

/// Reads a frame of at most `MAX_FRAME_BYTES`.
pub async fn read_frame(stream: &mut TcpStream) -> anyhow::Result<Vec<u8>> {
    let mut len = [0; 4];
    stream.read_exact(&mut len).await?;
    let len = u32::from_be_bytes(len) as usize;
    anyhow::ensure!(len <= MAX_FRAME_BYTES, "frame too long: {len} bytes");
    let mut bytes = vec![0; len];
    stream.read_exact(&mut bytes).await?;
    Ok(bytes)
}
