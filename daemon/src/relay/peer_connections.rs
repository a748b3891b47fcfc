//! Connections that peers make for this box: requests to carriers, and what peers tell of a server.
//!
//! The choice of the peers is in [`badgerferry_lib::relay::carriers`], the other side in
//! [`super::carried`].

use std::net::SocketAddr;
use std::time::Duration;

use badgerferry_edges::process_probe::EXIT_TIMEOUT;
use badgerferry_lib::relay::carriers;
use badgerferry_lib::relay::carriers::CarrierQuery;
use badgerferry_lib::relay::carriers::CarryRequest;
use badgerferry_lib::relay::carriers::CarryResponse;
use badgerferry_lib::relay::connection_end::PeerVerdict;
use badgerferry_lib::relay::server_paths::PeerConnectResult;
use badgerferry_lib::relay::server_paths::ServiceKey;
use badgerferry_lib::relay::state_pull::FRAME_VERSION;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use metrics::counter;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::timeout;
use tokio::time::timeout_at;

use crate::relay::connection_pool;
use crate::relay::connection_pool::SendError;
use crate::relay::log_rate_limit::ON_TIME_LINES;
use crate::relay::pulls;
use crate::relay::server_path;
use crate::relay::server_path::Destination;
use crate::relay::server_path::KnownServer;
use crate::relay::state::Relay;
use crate::traffic::lock;

/// Time in which a peer must be connected to, connect to the server and respond: its own connect
/// timeout, and two round trips between regions.
const CARRIER_TIMEOUT: Duration = Duration::from_millis(300);
/// Peers that fail to connect to a server before it counts as unreachable for them. One alone may
/// have been cut off at the same time and not know it yet.
const MAX_FAILED_CARRIERS: usize = 2;
/// Longest wait for the remaining peers once a server has refused one as well. Until an exit is
/// recorded, the request that caused it may be sent to other servers.
const REMAINING_PEERS_TIMEOUT: Duration = Duration::from_millis(60);

/// Asks peers in turn to connect to a server.
///
/// # Errors
///
/// No peer connected, so nothing was sent.
pub async fn connect(
    destination: &Destination<'_>,
    known: &KnownServer,
) -> Result<TcpStream, SendError> {
    let Destination {
        relay,
        server,
        call,
        ..
    } = *destination;
    let mut failures = Vec::new();
    for (peer, address) in carriers(relay, known) {
        let response = match timeout(CARRIER_TIMEOUT, request(destination, address)).await {
            Ok(Ok((response, stream))) => Ok((response, stream)),
            Ok(Err(cause)) => Err(format!("{cause:#}")),
            Err(_elapsed) => Err("timed out".to_owned()),
        };
        let outcome = match &response {
            Ok((response, _stream)) => response.code(),
            Err(_cause) => "no_answer",
        };
        counter!("badgerferry_peer_connections_total", "outcome" => outcome).increment(1);
        let is_connected = matches!(response, Ok((CarryResponse::Connected, _)));
        if !is_connected || ON_TIME_LINES.allow() {
            tracing::info!(
                call,
                service = %known.service,
                %server,
                peer,
                outcome,
                cause = response.as_ref().err(),
                "connection through a peer"
            );
        }
        match response {
            Ok((CarryResponse::Connected, stream)) => {
                server_path::record_at_peer(relay, server, PeerConnectResult::Connected);
                return Ok(stream);
            }
            Ok((response @ (CarryResponse::Refused | CarryResponse::TimedOut), _)) => {
                failures.push(response);
                if failures.len() == MAX_FAILED_CARRIERS {
                    break;
                }
            }
            Ok((CarryResponse::CutOff | CarryResponse::Busy | CarryResponse::Unknown, _))
            | Err(_) => {}
        }
    }
    let (result, error) = if failures.contains(&CarryResponse::TimedOut) {
        (PeerConnectResult::Unknown, SendError::ConnectTimeout)
    } else if failures.contains(&CarryResponse::Refused) {
        let cause = "refused to peers as well".to_owned();
        (PeerConnectResult::Refused, SendError::NotSent(cause))
    } else {
        (PeerConnectResult::Unknown, SendError::NoPath)
    };
    server_path::record_at_peer(relay, server, result);
    Err(error)
}

/// Names and addresses of the peers to ask.
fn carriers(relay: &Relay, known: &KnownServer) -> Vec<(String, SocketAddr)> {
    let now = relay.clock.now();
    let service = ServiceKey::of(&known.service);
    let cluster_view = lock(&relay.cluster_view);
    let peers = carriers::carriers(
        &cluster_view.boxes,
        CarrierQuery {
            own: &relay.settings.name,
            own_hall: &relay.settings.hall,
            server_hall: &known.hall,
        },
        |name| cluster_view.peer_liveness.is_live(now, name),
        |name| cluster_view.peer_paths.reaches(name, service),
        &mut rand::rng(),
    );
    let peers = peers.into_iter();
    let peers = peers.filter_map(|peer| Some((peer.name.clone(), peer.load.parse().ok()?)));
    peers.collect()
}

/// Asks the peer at this address to connect to the server.
async fn request(
    destination: &Destination<'_>,
    address: SocketAddr,
) -> anyhow::Result<(CarryResponse, TcpStream)> {
    let request = CarryRequest {
        version: FRAME_VERSION,
        from: destination.relay.settings.name.clone(),
        server: destination.server.clone(),
        call: destination.call.to_owned(),
    };
    let mut stream = TcpStream::connect(address).await?;
    connection_pool::set_socket_options(&stream);
    pulls::write_frame(&mut stream, &postcard::to_stdvec(&request)?).await?;
    let response = pulls::read_frame(&mut stream).await?;
    Ok((postcard::from_bytes(&response)?, stream))
}

/// Asks peers whether a server that this box can't connect to is up. If so, that is evidence about
/// the path.
pub async fn ask_peers(destination: &Destination<'_>) -> PeerVerdict {
    let Some(known) = server_path::known_server(destination.relay, destination.server) else {
        return PeerVerdict::Unknown;
    };
    let peers = carriers(destination.relay, &known);
    if peers.is_empty() {
        let has_peers = {
            let now = destination.relay.clock.now();
            lock(&destination.relay.cluster_view)
                .peer_liveness
                .has_live_peer(now)
        };
        return if has_peers {
            PeerVerdict::Unknown
        } else {
            PeerVerdict::Alone
        };
    }
    let mut responses: FuturesUnordered<_> = peers
        .into_iter()
        .map(async |(_peer, address)| probe(destination, address).await)
        .collect();
    let mut until = Instant::now() + CARRIER_TIMEOUT + EXIT_TIMEOUT;
    let mut verdict = PeerVerdict::Unknown;
    while let Ok(Some(response)) = timeout_at(until, responses.next()).await {
        match response {
            Ok((CarryResponse::Connected, stays_open)) => {
                let Destination { relay, server, .. } = *destination;
                server_path::record_direct(relay, server, false);
                server_path::record_at_peer(relay, server, PeerConnectResult::Connected);
                if stays_open {
                    return PeerVerdict::Up;
                }
                verdict = PeerVerdict::Closes;
            }
            // Waits for the others: this one may have been cut off at the same time and not know it
            // yet.
            Ok((CarryResponse::Refused, _)) => {
                if verdict == PeerVerdict::Unknown {
                    verdict = PeerVerdict::Down;
                }
                until = until.min(Instant::now() + REMAINING_PEERS_TIMEOUT + EXIT_TIMEOUT);
            }
            Ok(_) | Err(_) => {}
        }
    }
    verdict
}

/// Asks the peer at this address to connect to the server. Also returns whether the connection stays
/// open.
async fn probe(
    destination: &Destination<'_>,
    address: SocketAddr,
) -> anyhow::Result<(CarryResponse, bool)> {
    let (response, mut stream) = request(destination, address).await?;
    let stays_open = response == CarryResponse::Connected
        && timeout(EXIT_TIMEOUT, stream.read(&mut [0])).await.is_err();
    Ok((response, stays_open))
}
