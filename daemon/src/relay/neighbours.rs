//! Links between boxes: datagrams that tell the work at the engines, and pulls of newer state.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use badgerferry_lib::ids::HallName;
use badgerferry_lib::relay::hall_reach::HEARTBEAT;
use badgerferry_lib::relay::load_datagram::LoadDatagram;
use badgerferry_lib::relay::load_datagram::MAX_DATAGRAM_BYTES;
use badgerferry_lib::relay::server_list::ServerNews;
use badgerferry_lib::relay::state_pull::FRAME_VERSION;
use badgerferry_lib::relay::state_pull::MAX_FRAME_BYTES;
use badgerferry_lib::relay::state_pull::PullAnswer;
use badgerferry_lib::relay::state_pull::PullRequest;
use badgerferry_lib::relay::state_pull::Revisions;
use badgerferry_lib::time::Time;
use badgerferry_platform::settings_file::BoxSettings;
use metrics::counter;
use rand::seq::IndexedRandom;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::UdpSocket;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio::time::timeout;

use crate::relay::listener;
use crate::relay::state::Relay;
use crate::traffic::lock;

/// The same while a long prompt waits here, to which other boxes give way.
const WAITING_HEARTBEAT: Duration = Duration::from_millis(150);
/// Shortest time between two datagrams, for each box told: bounds what all boxes spend. What
/// long prompts do is told at once all the same: it is rare, and boxes that don't know of it
/// send theirs to the same engines.
const PAUSE_PER_BOX: Duration = Duration::from_millis(1);
/// A box is behind when a neighbour had newer state for this long; the watch is faster mostly.
const BEHIND: Duration = Duration::from_millis(250);
/// Between two pulls: changes that come together are fetched by one.
const PULL_PAUSE: Duration = Duration::from_millis(150);
/// Between two pulls that ask for boxes: the one that was heard may be known nowhere yet.
const BOXES_PAUSE: Duration = Duration::from_secs(1);
/// Between pulls while nothing is known.
const START_PULL: Duration = Duration::from_millis(400);
/// Longest pull: a neighbour answers in milliseconds, or another one is asked.
const PULL_LIMIT: Duration = Duration::from_millis(700);

/// Sockets to other boxes.
#[derive(Debug)]
pub struct Links {
    load: UdpSocket,
    pull: TcpListener,
}

/// Opens the sockets.
///
/// # Errors
///
/// An address can't be used.
pub async fn bind(settings: &BoxSettings) -> anyhow::Result<Links> {
    let load = UdpSocket::bind(settings.load).await;
    let load = load.with_context(|| format!("failed to take datagrams on {}", settings.load))?;
    let pull = listener::listen(settings.pull)?;
    Ok(Links { load, pull })
}

/// Runs for ever.
pub async fn run(relay: &Arc<Relay>, links: Links) {
    let Links { load, pull } = links;
    tokio::join!(
        tell(relay, &load),
        hear(relay, &load),
        answer_pulls(relay, pull),
        pull_at_start(relay),
    );
}

async fn tell(relay: &Arc<Relay>, socket: &UdpSocket) {
    let mut sequence = 0;
    loop {
        let now = relay.clock.now();
        end_holds(relay);
        log_reach(relay);
        let rows = lock(&relay.loads).own_table(now);
        let waits = lock(&relay.long_queue).head(now);
        let faults = lock(&relay.book).faults(now);
        sequence += 1;
        let mut datagram = LoadDatagram {
            version: FRAME_VERSION,
            from: relay.settings.name.clone(),
            lifetime: relay.lifetime,
            sequence,
            have: relay.revisions(),
            follows_store: relay.follows_store(),
            waits,
            faults,
            rows: rows.into_iter().collect(),
        };
        let left_out = datagram.fit();
        counter!("badgerferry_load_rows_left_out_total").increment(left_out as u64);
        let bytes = datagram.encode();
        let others = others(relay);
        for address in &others {
            if let Err(cause) = socket.send_to(&bytes, address).await {
                counter!("badgerferry_datagrams_dropped_total", "why" => "not_sent").increment(1);
                tracing::debug!(%address, %cause, "a datagram could not be sent");
            }
        }
        let heartbeat = match waits {
            Some(_) => WAITING_HEARTBEAT,
            None => HEARTBEAT,
        };
        wait_to_tell(relay, PAUSE_PER_BOX * others.len() as u32, heartbeat).await;
    }
}

/// Waits until there is something to tell. A change within the pause is told after it.
async fn wait_to_tell(relay: &Relay, pause: Duration, heartbeat: Duration) {
    let changed = async {
        tokio::time::sleep(pause).await;
        let _ = timeout(heartbeat, relay.load_changed.notified()).await;
    };
    tokio::select! {
        () = changed => {}
        () = relay.long_changed.notified() => {}
    }
}

fn end_holds(relay: &Relay) {
    let now = relay.clock.now();
    let due = lock(&relay.followed).servers.next_tick();
    if due.is_some_and(|due| now >= due) {
        relay.change_servers(|servers| {
            servers.tick(now);
        });
        tracing::info!("server entries that did not come back are taken as gone");
    }
}

fn log_reach(relay: &Relay) {
    let now = relay.clock.now();
    for change in lock(&relay.book).take_reach_changes(now) {
        let heard_ms = change.heard_ago.as_millis() as u64;
        let answered_ms = change.answered_ago.as_millis() as u64;
        if change.is_silent {
            tracing::warn!(hall = %change.hall, heard_ms, answered_ms, "hall silent");
        } else {
            tracing::info!(hall = %change.hall, heard_ms, answered_ms, "hall heard again");
        }
    }
}

fn others(relay: &Relay) -> Vec<SocketAddr> {
    let followed = lock(&relay.followed);
    let others = followed.boxes.values();
    others
        .filter(|of| of.name != relay.settings.name)
        .filter_map(|of| of.load.parse().ok())
        .collect()
}

async fn hear(relay: &Arc<Relay>, socket: &UdpSocket) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES * 2];
    let mut behind: HashMap<String, Instant> = HashMap::new();
    let mut pulling: Option<JoinHandle<()>> = None;
    loop {
        let datagram = match socket.recv_from(&mut buf).await {
            Ok((len, _from)) => LoadDatagram::decode(&buf[..len]),
            Err(cause) => {
                tracing::debug!(%cause, "no datagram could be taken");
                tokio::time::sleep(PAUSE_PER_BOX).await;
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
        let is_newer = lock(&relay.loads).take_table(
            now,
            &datagram.from,
            datagram.lifetime,
            datagram.sequence,
            std::mem::take(&mut datagram.rows),
        );
        if is_newer {
            lock(&relay.long_queue).take_head(now, &datagram.from, datagram.waits);
        }
        if let Some(hall) = note_neighbour(relay, now, &datagram) {
            let mut book = lock(&relay.book);
            let own = &relay.settings.hall;
            book.heard(now, own, &hall, &datagram.from);
            let resting = book.told_faults(now, own, &hall, &datagram.faults);
            drop(book);
            for server in resting {
                tracing::info!(%server, from = datagram.from, "server at fault, by a neighbour");
            }
        }
        let have = relay.revisions();
        let lacks_state = datagram.have.table > have.table || datagram.have.servers > have.servers;
        if !lacks_state && !wants_boxes(relay) {
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
                pull_from_named(&relay, &datagram.from, have).await;
                tokio::time::sleep(PULL_PAUSE).await;
            }));
        }
    }
}

/// Notes what a datagram says of its box; gives back where that stands, if it is known.
fn note_neighbour(relay: &Relay, now: Time, datagram: &LoadDatagram) -> Option<HallName> {
    let mut followed = lock(&relay.followed);
    if datagram.follows_store {
        followed.neighbour_at = Some(now);
    }
    let hall = followed.boxes.get(&datagram.from);
    let hall = hall.map(|of| HallName::new(&of.hall));
    followed.heard_unknown |= hall.is_none();
    hall
}

/// Whether this box lacks addresses of others, and has not asked for them just now.
fn wants_boxes(relay: &Relay) -> bool {
    let now = relay.clock.now();
    let followed = lock(&relay.followed);
    let asked_lately = followed
        .boxes_asked
        .is_some_and(|at| now.since(at) < BOXES_PAUSE);
    (followed.heard_unknown || followed.boxes.len() < 2) && !asked_lately
}

/// Pulls from a box, or from any other one if its address is not known.
async fn pull_from_named(relay: &Arc<Relay>, name: &str, have: Revisions) {
    let address = {
        let followed = lock(&relay.followed);
        let named = followed.boxes.get(name).map(|of| of.pull.clone());
        named.or_else(|| {
            let others = followed.boxes.values();
            let others = others.filter(|of| of.name != relay.settings.name);
            let others: Vec<&str> = others.map(|of| of.pull.as_str()).collect();
            others
                .choose(&mut rand::rng())
                .map(|&address| address.to_owned())
        })
    };
    let Some(address) = address.and_then(|address| address.parse().ok()) else {
        return;
    };
    pull(relay, address, have).await;
}

async fn pull_at_start(relay: &Arc<Relay>) {
    while relay.routes.load().is_none() {
        tokio::time::sleep(START_PULL).await;
        let own = relay.settings.pull;
        let seeds: Vec<SocketAddr> = (relay.settings.seeds.iter().copied())
            .filter(|seed| *seed != own)
            .collect();
        let known = lock(&relay.followed)
            .boxes
            .values()
            .cloned()
            .collect::<Vec<_>>();
        let known = known.iter().filter_map(|of| of.pull.parse().ok());
        let all: Vec<SocketAddr> = seeds.into_iter().chain(known).collect();
        let drawn = all.choose(&mut rand::rng()).copied();
        if let (None, Some(address)) = (relay.routes.load().as_ref(), drawn) {
            pull(relay, address, relay.revisions()).await;
        }
    }
}

async fn pull(relay: &Arc<Relay>, address: SocketAddr, have: Revisions) {
    let request = PullRequest {
        version: FRAME_VERSION,
        have,
        wants_boxes: wants_boxes(relay),
    };
    if request.wants_boxes {
        let mut followed = lock(&relay.followed);
        followed.boxes_asked = Some(relay.clock.now());
        followed.heard_unknown = false;
    }
    let answer = match timeout(PULL_LIMIT, ask(address, &request)).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(cause)) => {
            tracing::info!(%address, cause = format!("{cause:#}"), "no state from a neighbour");
            return;
        }
        Err(_elapsed) => {
            tracing::info!(%address, "no state from a neighbour in time");
            return;
        }
    };
    tracing::info!(
        %address,
        have_table = have.table,
        have_servers = have.servers,
        table = answer.table.as_ref().map(|stamped| stamped.revision),
        servers = answer.servers.as_ref().map(news_for_log),
        "state from a neighbour"
    );
    if let Some(stamped) = answer.table {
        relay.offer_table(stamped, "neighbour");
    }
    if let Some(news) = answer.servers {
        let now = relay.clock.now();
        let hold_left = answer.hold_left;
        relay.change_servers(|servers| {
            servers.hold_for(now, hold_left);
            servers.take_news(now, news);
        });
    }
    let mut followed = lock(&relay.followed);
    for of in answer.boxes {
        followed.boxes.entry(of.name.clone()).or_insert(of);
    }
}

/// Revision and extent of news, for logs.
fn news_for_log(news: &ServerNews) -> String {
    match news {
        ServerNews::All(entries) => {
            format!("all {} at {}", entries.servers.len(), entries.revision)
        }
        ServerNews::Changes(changes) => {
            let count = changes.put.len() + changes.gone.len();
            format!("{count} changes to {}", changes.revision)
        }
    }
}

async fn ask(address: SocketAddr, request: &PullRequest) -> anyhow::Result<PullAnswer> {
    let mut stream = TcpStream::connect(address).await?;
    write_frame(&mut stream, &postcard::to_stdvec(request)?).await?;
    let bytes = read_frame(&mut stream).await?;
    Ok(postcard::from_bytes(&bytes)?)
}

async fn answer_pulls(relay: &Arc<Relay>, listener: TcpListener) {
    listener::serve_each(listener, |stream| answer_pull(Arc::clone(relay), stream)).await;
}

async fn answer_pull(relay: Arc<Relay>, mut stream: TcpStream) {
    let answered = timeout(PULL_LIMIT, async {
        let bytes = read_frame(&mut stream).await?;
        let request: PullRequest = postcard::from_bytes(&bytes)?;
        anyhow::ensure!(request.version == FRAME_VERSION, "another version");
        let answer = relay.newer_than(&request);
        write_frame(&mut stream, &postcard::to_stdvec(&answer)?).await
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
