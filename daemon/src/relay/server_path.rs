//! Connections to servers: made by this box itself or, while its own path to the servers of a
//! service is cut, by a peer.
//!
//! The evidence and the decision are in [`badgerferry_lib::relay::server_paths`]. A peer passes on
//! bytes only, see [`super::carried`]. All that concerns the call stays with this box: the choice of
//! the server, limits, retries, and whether the call may have run.

use std::sync::Arc;
use std::time::Duration;

use badgerferry_lib::ids::HallName;
use badgerferry_lib::ids::ServerName;
use badgerferry_lib::outcome::RefusalReason;
use badgerferry_lib::relay::route_table::ServiceName;
use badgerferry_lib::relay::server_paths::ConnectResult;
use badgerferry_lib::relay::server_paths::PathChange;
use badgerferry_lib::relay::server_paths::PathTarget;
use badgerferry_lib::relay::server_paths::PeerConnectResult;
use badgerferry_lib::relay::server_paths::ServerPath;
use badgerferry_lib::relay::server_paths::ServerPaths;
use futures::StreamExt;
use futures::future::join_all;
use futures::stream::FuturesUnordered;
use metrics::counter;
use rand::seq::IteratorRandom;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::relay::call::Call;
use crate::relay::candidates::with_jitter;
use crate::relay::connection_pool;
use crate::relay::connection_pool::Connection;
use crate::relay::connection_pool::SendError;
use crate::relay::connection_pool::Via;
use crate::relay::peer_connections;
use crate::relay::state::Relay;
use crate::traffic::lock;

/// Connect timeout. The latency is a few milliseconds between halls, and some tens of milliseconds
/// between regions.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Interval between two probes of a path that is cut.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Servers that a path is checked with: the silent one and, if connecting to it is slow, another.
const CHECKED_SERVERS: usize = 2;
/// Longest time for which a stream that has started waits for a path. Callers give a stream up after
/// two seconds of silence, part of which has passed.
const MAX_PATH_WAIT: Duration = Duration::from_secs(1);
/// Time after which a connection attempt of a check is doubted, and a second server is tried. Longer
/// than a round trip between regions.
const CHECK_STAGGER: Duration = Duration::from_millis(60);
/// Interval at which a stream that waits for a path, or on one, checks for changes.
const PATH_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Where a connection leads.
#[derive(Debug, Clone, Copy)]
pub struct Destination<'a> {
    /// State of the daemon.
    pub relay: &'a Relay,
    /// Server.
    pub server: &'a ServerName,
    /// Address of the server, as `ip:port`.
    pub address: &'a str,
    /// Id of the call, for logs.
    pub call: &'a str,
}

/// Why this box made no connection itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConnectFailure {
    /// The connection was refused, or another error occurred.
    Refused(String),
    /// There was no answer in time.
    TimedOut,
}

/// What the tracker knows of a server.
#[derive(Debug)]
pub struct KnownServer {
    /// Its service.
    pub service: ServiceName,
    /// Its data hall.
    pub hall: HallName,
}

/// Looks a server up.
pub fn known_server(relay: &Relay, server: &ServerName) -> Option<KnownServer> {
    let tracker = lock(&relay.tracker);
    tracker.get(server).map(|record| KnownServer {
        service: record.info.service.clone(),
        hall: record.info.hall.clone(),
    })
}

/// Connects to a server, through a peer if the own path is cut.
///
/// # Errors
///
/// No connection was made, so nothing was sent.
pub async fn connect(destination: &Destination<'_>) -> Result<Connection, SendError> {
    let relay = destination.relay;
    let known = known_server(relay, destination.server);
    let path = || {
        known.as_ref().map_or(ServerPath::Direct, |known| {
            lock(&relay.server_paths).path(&known.service)
        })
    };
    let mut own_failure = None;
    if matches!(path(), ServerPath::Direct | ServerPath::Suspected) {
        match connect_directly(relay, destination.server, destination.address).await {
            Ok(stream) => return connection_pool::open(stream, Via::Own).await,
            Err(cause) => own_failure = Some(cause),
        }
    }
    let result = match (path(), &known) {
        (ServerPath::Suspected | ServerPath::ThroughPeers, Some(known)) => {
            peer_connections::connect(destination, known).await
        }
        (ServerPath::Direct | ServerPath::Unavailable, _) | (_, None) => Err(SendError::NoPath),
    };
    match (result, own_failure) {
        (Ok(stream), _) => connection_pool::open(stream, Via::Peer).await,
        (Err(SendError::NoPath), Some(ConnectFailure::Refused(cause))) => {
            Err(SendError::NotSent(cause))
        }
        (Err(SendError::NoPath), Some(ConnectFailure::TimedOut)) => Err(SendError::ConnectTimeout),
        (Err(error), _) => Err(error),
    }
}

/// Connects to a server without asking any peer, and records the result as evidence about the path.
///
/// # Errors
///
/// The connection was not made.
pub async fn connect_directly(
    relay: &Relay,
    server: &ServerName,
    address: &str,
) -> Result<TcpStream, ConnectFailure> {
    let connected = match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => Ok(stream),
        Ok(Err(cause)) => Err(ConnectFailure::Refused(cause.to_string())),
        Err(_elapsed) => Err(ConnectFailure::TimedOut),
    };
    let outcome = match &connected {
        Ok(_stream) => "connected",
        Err(ConnectFailure::Refused(_)) => "refused",
        Err(ConnectFailure::TimedOut) => "timed_out",
    };
    counter!("badgerferry_server_connections_total", "outcome" => outcome).increment(1);
    record_direct(relay, server, connected.is_ok());
    let stream = connected?;
    connection_pool::set_socket_options(&stream);
    Ok(stream)
}

/// Records whether this box itself connected to a server.
pub fn record_direct(relay: &Relay, server: &ServerName, is_connected: bool) {
    let result = if is_connected {
        ConnectResult::Connected
    } else {
        ConnectResult::Failed
    };
    record(relay, server, |paths, target, halls| {
        paths.record_direct(relay.clock.now(), target, halls, result)
    });
}

/// Records whether a peer connected to a server.
pub fn record_at_peer(relay: &Relay, server: &ServerName, result: PeerConnectResult) {
    record(relay, server, |paths, target, halls| {
        paths.record_at_peer(relay.clock.now(), target, halls, result)
    });
}

fn record(
    relay: &Relay,
    server: &ServerName,
    f: impl FnOnce(
        &mut ServerPaths,
        PathTarget<'_>,
        &mut dyn Iterator<Item = &HallName>,
    ) -> Option<PathChange>,
) {
    let change = {
        let tracker = lock(&relay.tracker);
        let Some(record) = tracker.get(server) else {
            return;
        };
        let target = PathTarget {
            service: &record.info.service,
            server: record.key,
            hall: &record.info.hall,
        };
        let servers = tracker.of_service(&record.info.service);
        let servers = servers.filter(|other| !other.info.leaving);
        let mut halls = servers.map(|other| &other.info.hall);
        f(&mut lock(&relay.server_paths), target, &mut halls)
    };
    if let Some(change) = change {
        announce(relay, &change);
    }
}

/// Logs a change, tells the peers, and starts or ends the probes.
fn announce(relay: &Relay, change: &PathChange) {
    let what = match (change.path, change.before) {
        (ServerPath::Direct, ServerPath::Suspected) => "path to servers not cut",
        (ServerPath::Direct, _) => "path to servers restored",
        (ServerPath::Suspected, _) => "path to servers may be cut",
        (ServerPath::Unavailable, _) => "no path to servers, own or through peers",
        (ServerPath::ThroughPeers, ServerPath::Unavailable) => "peers connect to servers again",
        (ServerPath::ThroughPeers, _) => "path to servers cut; connecting through peers",
    };
    tracing::warn!(
        service = %change.service,
        failed = change.failed,
        oldest_failure_ms = change.oldest_failure.as_millis() as u64,
        lost_for_ms = change.lost_for.as_millis() as u64,
        what,
        "path to servers changed"
    );
    counter!("badgerferry_server_path_changes_total", "to" => match change.path {
        ServerPath::Direct => "direct",
        ServerPath::Suspected => "suspected",
        ServerPath::ThroughPeers => "peers",
        ServerPath::Unavailable => "none",
    })
    .increment(1);
    if change.path == ServerPath::ThroughPeers {
        // Idle connections lead through the path that is cut.
        let tracker = lock(&relay.tracker);
        let is_cut_off = |server: &ServerName| {
            let record = tracker.get(server);
            record.is_some_and(|record| record.info.service == change.service)
        };
        relay.connection_pool.close_idle(is_cut_off);
    }
    relay.urgent_changed.notify_one();
    relay.server_path_changed.notify_one();
}

/// Resolves once a call that received nothing for `expected` is on a path that is cut, and peers
/// connect instead. Until then it has the path checked.
pub async fn cut_while_silent(call: &Call, server: &ServerName, expected: Duration) {
    let relay = &call.relay;
    tokio::time::sleep(expected).await;
    let mut is_checked = false;
    while lock(&relay.server_paths).path(&call.service) != ServerPath::ThroughPeers {
        if !is_checked {
            is_checked = true;
            check_path(relay, &call.service, server);
        }
        tokio::time::sleep(PATH_POLL_INTERVAL).await;
    }
}

/// Connects to a server whose call is silent and, if that takes long, to another one. The results
/// are evidence about the path.
fn check_path(relay: &Arc<Relay>, service: &ServiceName, server: &ServerName) {
    if !lock(&relay.server_paths).should_check(relay.clock.now(), service) {
        return;
    }
    let address = {
        let tracker = lock(&relay.tracker);
        tracker
            .get(server)
            .map(|record| record.info.address.clone())
    };
    let Some(address) = address else { return };
    let others = random_servers(relay, service, CHECKED_SERVERS).into_iter();
    let other = others.into_iter().find(|(other, _)| other != server);
    let (relay, server) = (Arc::clone(relay), server.clone());
    tokio::spawn(async move {
        let first = connect_directly(&relay, &server, &address);
        tokio::pin!(first);
        let is_quick = timeout(CHECK_STAGGER, first.as_mut()).await;
        match (is_quick, other) {
            // Connected, or refused: then the retry of a call connects elsewhere.
            (Ok(_), _) => {}
            (Err(_elapsed), None) => drop(first.await),
            (Err(_elapsed), Some((other, address))) => {
                let second = connect_directly(&relay, &other, &address);
                // The results are recorded.
                let _ = tokio::join!(first, second);
            }
        }
    });
}

/// Checks that there is a path to the servers of the call's service. A stream that has started
/// waits for one, since it would be aborted otherwise.
///
/// # Errors
///
/// Neither this box nor a peer can connect; the delay before a retry.
pub async fn check_available(call: &Call) -> Result<(), (RefusalReason, Duration)> {
    let relay = &call.relay;
    let is_available = || lock(&relay.server_paths).path(&call.service) != ServerPath::Unavailable;
    let max_wait = call.max_admission_wait(false).min(MAX_PATH_WAIT);
    let until = relay.clock.now() + max_wait;
    while !is_available() {
        let now = relay.clock.now();
        if now >= until {
            let delay = lock(&relay.server_paths).retry_delay(now, &call.service);
            return Err((RefusalReason::ServersUnreachable, with_jitter(delay)));
        }
        tokio::time::sleep(PATH_POLL_INTERVAL).await;
    }
    Ok(())
}

/// Probes the paths that are suspected or cut until they are restored. Never returns.
pub async fn probe_paths(relay: Arc<Relay>) {
    loop {
        let services: Vec<ServiceName> = lock(&relay.server_paths).probed().cloned().collect();
        if services.is_empty() {
            relay.server_path_changed.notified().await;
            continue;
        }
        join_all(services.iter().map(|service| probe(&relay, service))).await;
        tokio::time::sleep(with_jitter(PROBE_INTERVAL)).await;
    }
}

/// Connects to random servers of the service, directly and, if that fails and peers may be unable to
/// connect, also through these.
async fn probe(relay: &Relay, service: &ServiceName) {
    let size = lock(&relay.server_paths).probe_size(service);
    let servers = random_servers(relay, service, size.direct);
    let is_reached = {
        let direct = probe_directly(relay, service, &servers);
        tokio::pin!(direct);
        match timeout(CHECK_STAGGER, direct.as_mut()).await {
            Ok(true) => true,
            Ok(false) => probe_through_peers(relay, &servers, size.through_peers).await,
            Err(_elapsed) => {
                let through_peers = probe_through_peers(relay, &servers, size.through_peers);
                let (is_direct, is_through_peers) = tokio::join!(direct, through_peers);
                is_direct || is_through_peers
            }
        }
    };
    if size.through_peers > 0 && !is_reached {
        let now = relay.clock.now();
        let change = lock(&relay.server_paths).record_failed_probe(now, service);
        if let Some(change) = change {
            announce(relay, &change);
        }
    }
}

/// Whether this box connects to any of the servers itself. Ends once the path is direct: what fails
/// after that are servers that are down, and would raise the suspicion again.
async fn probe_directly(
    relay: &Relay,
    service: &ServiceName,
    servers: &[(ServerName, String)],
) -> bool {
    let mut probes: FuturesUnordered<_> = servers
        .iter()
        .map(|(server, address)| connect_directly(relay, server, address))
        .collect();
    let mut is_reached = false;
    while let Some(result) = probes.next().await {
        is_reached |= result.is_ok();
        if lock(&relay.server_paths).path(service) == ServerPath::Direct {
            return true;
        }
    }
    is_reached
}

/// Whether a peer connects to any of the first `count` servers.
async fn probe_through_peers(
    relay: &Relay,
    servers: &[(ServerName, String)],
    count: usize,
) -> bool {
    let probes = servers
        .iter()
        .take(count)
        .map(|(server, address)| probe_through_peer(relay, server, address));
    join_all(probes).await.contains(&true)
}

async fn probe_through_peer(relay: &Relay, server: &ServerName, address: &str) -> bool {
    let Some(known) = known_server(relay, server) else {
        return false;
    };
    let destination = Destination {
        relay,
        server,
        address,
        call: "-",
    };
    peer_connections::connect(&destination, &known)
        .await
        .is_ok()
}

/// Names and addresses of random servers that are in service.
fn random_servers(relay: &Relay, service: &ServiceName, count: usize) -> Vec<(ServerName, String)> {
    let tracker = lock(&relay.tracker);
    let servers = tracker.of_service(service);
    let servers = servers
        .filter(|record| !record.info.leaving && !relay.gate.is_evacuated(&record.info.hall));
    let chosen = servers.choose_multiple(&mut rand::rng(), count);
    let chosen = chosen.into_iter();
    chosen
        .map(|record| (record.info.name.clone(), record.info.address.clone()))
        .collect()
}
