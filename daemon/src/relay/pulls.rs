//! Pulls of newer state between boxes.
//!
//! A box answers a few pulls at a time and tells others at once that it is busy: they ask the
//! next one that they hear has the state, which by then are more. So state spreads in a time that
//! grows with the logarithm of the boxes, and no box holds many answers at once.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

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
use crate::relay::state::Relay;
use crate::traffic::lock;

/// Between two pulls that ask for boxes: the one that was heard may be known nowhere yet.
const BOXES_PAUSE: Duration = Duration::from_secs(1);
/// Between pulls while nothing is known.
const START_PULL: Duration = Duration::from_millis(400);
/// Longest pull: a neighbour answers in milliseconds, or another one is asked.
const PULL_LIMIT: Duration = Duration::from_millis(700);
/// Pulls answered at a time. 1,500 routes of some 150 bytes take 20 Mbit/s 0.1 s (worked out), so
/// four are over within [`PULL_LIMIT`].
const ANSWERS_AT_ONCE: usize = 4;

/// Pause after a box that answers others: a table is on its way for about as long, and those who
/// have it then tell so at once.
const BUSY_PAUSE: Duration = Duration::from_millis(60);
/// Boxes asked in turn, where each answers others; by then what is heard next is newer.
const MOST_ASKED: u32 = 8;

/// The other box answers as many as it does at a time.
#[derive(Debug, thiserror::Error)]
#[error("it answers others just now")]
struct Busy;

/// What came of a pull.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Pulled {
    /// It was answered, or failed in another way.
    Done,
    /// The other box answers others.
    Busy,
}

/// An answer of two frames: what is newer, and the route table if that is.
type Answer = (PullResponse, Option<RouteTable>);

/// Whether this box lacks addresses of others, and has not asked for them just now.
pub fn wants_boxes(relay: &Relay) -> bool {
    let now = relay.clock.now();
    let cluster_view = lock(&relay.cluster_view);
    let asked_lately = cluster_view
        .boxes_requested_at
        .is_some_and(|at| now.since(at) < BOXES_PAUSE);
    (cluster_view.has_unknown_peer || cluster_view.boxes.len() < 2) && !asked_lately
}

/// Pulls from a box that is ahead, and while that answers others, from another one that is.
///
/// One that was turned away and waited for the next datagram would have new routes seconds later. A
/// box without routes asks once: where all start at once, hardly any has them, and asking on keeps
/// those busy.
pub async fn catch_up(relay: &Arc<Relay>, first: String) {
    let mut name = first;
    let most = match relay.routes.load().as_ref() {
        Some(_) => MOST_ASKED,
        None => 1,
    };
    for _ in 0..most {
        if pull_from_named(relay, &name, relay.known_state()).await == Pulled::Done {
            return;
        }
        tokio::time::sleep(BUSY_PAUSE).await;
        match any_ahead(relay) {
            Some(other) => name = other,
            None => return,
        }
    }
}

/// A box that has newer state, drawn from those that said so.
fn any_ahead(relay: &Relay) -> Option<String> {
    let known_state = relay.known_state();
    let cluster_view = lock(&relay.cluster_view);
    let ahead = cluster_view
        .peer_liveness
        .ahead_of(relay.clock.now(), known_state);
    ahead.choose(&mut rand::rng()).map(|&name| name.to_owned())
}

/// Pulls from a box, or from any other one if its address is not known.
async fn pull_from_named(relay: &Arc<Relay>, name: &str, known_state: KnownState) -> Pulled {
    let address = {
        let cluster_view = lock(&relay.cluster_view);
        let named = cluster_view.boxes.get(name).map(|of| of.pull.clone());
        named.or_else(|| {
            let others = cluster_view.boxes.values();
            let others = others.filter(|of| of.name != relay.settings.name);
            let others: Vec<&str> = others.map(|of| of.pull.as_str()).collect();
            others
                .choose(&mut rand::rng())
                .map(|&address| address.to_owned())
        })
    };
    match address.and_then(|address| address.parse().ok()) {
        Some(address) => pull(relay, address, known_state).await,
        None => Pulled::Done,
    }
}

/// Pulls from any box until routes are known, from here or from the store.
pub async fn bootstrap(relay: &Arc<Relay>) {
    while relay.routes.load().is_none() {
        tokio::time::sleep(START_PULL).await;
        let settings = &relay.settings;
        let all = bootstrap_sources(
            settings.pull,
            &settings.seeds,
            &lock(&relay.cluster_view).boxes,
        );
        let drawn = all.choose(&mut rand::rng()).copied();
        if let (None, Some(address)) = (relay.routes.load().as_ref(), drawn) {
            pull(relay, address, relay.known_state()).await;
        }
    }
}

async fn pull(relay: &Arc<Relay>, address: SocketAddr, known_state: KnownState) -> Pulled {
    let request = PullRequest {
        version: FRAME_VERSION,
        known_state,
        wants_boxes: wants_boxes(relay),
    };
    if request.wants_boxes {
        let mut cluster_view = lock(&relay.cluster_view);
        cluster_view.boxes_requested_at = Some(relay.clock.now());
        cluster_view.has_unknown_peer = false;
    }
    let (answer, table) = match timeout(PULL_LIMIT, ask(address, &request)).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(cause)) if cause.is::<Busy>() => {
            tracing::debug!(%address, "a neighbour answers others just now");
            return Pulled::Busy;
        }
        Ok(Err(cause)) => {
            tracing::info!(%address, cause = format!("{cause:#}"), "no state from a neighbour");
            return Pulled::Done;
        }
        Err(_elapsed) => {
            tracing::info!(%address, "no state from a neighbour in time");
            return Pulled::Done;
        }
    };
    tracing::info!(
        %address,
        have_version = known_state.routes,
        have_servers = %known_state.servers,
        version = table.as_ref().map(|table| table.version),
        servers = answer.servers.as_ref().map(news_for_log),
        "state from a neighbour"
    );
    if let Some(news) = answer.servers {
        let now = relay.clock.now();
        let hold_remaining = answer.hold_remaining;
        relay.update_servers(|servers| {
            servers.extend_hold(now, hold_remaining);
            servers.apply_update(now, news);
        });
    }
    relay.gate.merge_rows(&answer.notices, "a pull");
    // Last: calls that wait for the first routes go by them at once.
    if let Some(table) = table {
        relay.update_routes(table, "neighbour");
    }
    let mut cluster_view = lock(&relay.cluster_view);
    for of in answer.boxes {
        cluster_view.boxes.entry(of.name.clone()).or_insert(of);
    }
    Pulled::Done
}

/// Position and extent of news, for logs.
fn news_for_log(news: &ServerUpdate) -> String {
    match news {
        ServerUpdate::Snapshot(entries) => {
            format!("all {} at {}", entries.servers.len(), entries.position)
        }
        ServerUpdate::Delta(changes) => {
            let count = changes.upserted.len() + changes.removed.len();
            format!("{count} changes to {}", changes.position)
        }
    }
}

async fn ask(address: SocketAddr, request: &PullRequest) -> anyhow::Result<Answer> {
    let mut stream = TcpStream::connect(address).await?;
    write_frame(&mut stream, &postcard::to_stdvec(request)?).await?;
    let bytes = read_frame(&mut stream).await?;
    anyhow::ensure!(!bytes.is_empty(), Busy);
    let answer: PullResponse = postcard::from_bytes(&bytes)?;
    let table = if answer.table_follows {
        let bytes = read_frame(&mut stream).await?;
        Some(postcard::from_bytes(&bytes)?)
    } else {
        None
    };
    Ok((answer, table))
}

/// Answers other boxes' pulls for ever.
pub async fn serve_pulls(relay: &Arc<Relay>, listener: TcpListener) {
    let slots = Arc::new(Semaphore::new(ANSWERS_AT_ONCE));
    listener::serve_each(listener, |stream| {
        answer_pull(Arc::clone(relay), Arc::clone(&slots), stream)
    })
    .await;
}

async fn answer_pull(relay: Arc<Relay>, slots: Arc<Semaphore>, mut stream: TcpStream) {
    let answered = timeout(PULL_LIMIT, async {
        let bytes = read_frame(&mut stream).await?;
        let request: PullRequest = postcard::from_bytes(&bytes)?;
        anyhow::ensure!(request.version == FRAME_VERSION, "another version");
        let Ok(_slot) = slots.try_acquire() else {
            counter!("badgerferry_pulls_turned_away_total").increment(1);
            return write_frame(&mut stream, &[]).await;
        };
        let answer = relay.newer_state_for(&request);
        let table = relay.encoded_table_for(&answer);
        write_frame(&mut stream, &postcard::to_stdvec(&answer)?).await?;
        if let Some(table) = table {
            write_frame(&mut stream, &table).await?;
        }
        // What is written is on its way only when the other end has taken it.
        stream.shutdown().await?;
        let _ = stream.read(&mut [0]).await?;
        Ok(())
    });
    match answered.await {
        Ok(Ok(())) => {}
        Ok(Err(cause)) => tracing::info!(cause = format!("{cause:#}"), "a pull failed"),
        Err(_elapsed) => tracing::info!("a pull took too long"),
    }
}

async fn write_frame(stream: &mut TcpStream, bytes: &[u8]) -> anyhow::Result<()> {
    let len = u32::try_from(bytes.len())?;
    stream.write_all(&len.to_be_bytes()).await?;
    stream.write_all(bytes).await?;
    Ok(())
}

async fn read_frame(stream: &mut TcpStream) -> anyhow::Result<Vec<u8>> {
    let mut len = [0; 4];
    stream.read_exact(&mut len).await?;
    let len = u32::from_be_bytes(len) as usize;
    anyhow::ensure!(len <= MAX_FRAME_BYTES, "a frame of {len} bytes is too long");
    let mut bytes = vec![0; len];
    stream.read_exact(&mut bytes).await?;
    Ok(bytes)
}
