//! Connections to servers that this box makes for peers whose own path is cut.
//!
//! A peer names the server, and this box connects to the address that it knows itself. From then on
//! it passes bytes on in both directions, and holds no more of them than the buffers of one copy.
//! It never asks a further box. A connection that ends before its server has closed it is reset, so
//! that a response that ends with its connection does not look complete.

use std::io;
use std::io::ErrorKind;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use badgerferry_edges::watched_stream::closed_by_peer;
use badgerferry_lib::relay::carriers::CarryRequest;
use badgerferry_lib::relay::carriers::CarryResponse;
use badgerferry_lib::relay::server_paths::ServerPath;
use badgerferry_lib::relay::state_pull::FRAME_VERSION;
use metrics::counter;
use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::relay::connection_pool;
use crate::relay::listener;
use crate::relay::log_rate_limit::ON_TIME_LINES;
use crate::relay::pulls;
use crate::relay::server_path;
use crate::relay::server_path::ConnectFailure;
use crate::relay::state::Relay;
use crate::traffic::lock;

/// Bytes of one direction that are passed on at a time.
const COPY_BUFFER: usize = 8 << 10;
/// Longest time until the request of a peer has arrived.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time for which a connection that its server has closed waits until the peer has read the
/// rest.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(10);

/// Accepts requests of peers; never returns.
pub async fn serve(listener: TcpListener, relay: Arc<Relay>) {
    listener::accept_loop(listener, |stream| carry(stream, Arc::clone(&relay))).await;
}

/// Counts a carried connection until dropped.
struct CarriedGuard(Arc<Relay>);

impl CarriedGuard {
    /// `None` if the box carries its maximum number of connections, or refuses calls as it stops.
    fn begin(relay: &Arc<Relay>) -> Option<Self> {
        let guard = Self(Arc::clone(relay));
        let carried = relay.carried.fetch_add(1, Ordering::SeqCst);
        (carried < relay.settings.max_carried && !relay.stop.refuses_calls()).then_some(guard)
    }
}

impl Drop for CarriedGuard {
    fn drop(&mut self) {
        self.0.carried.fetch_sub(1, Ordering::SeqCst);
    }
}

async fn carry(mut peer: TcpStream, relay: Arc<Relay>) {
    connection_pool::set_socket_options(&peer);
    // Until the server has closed its side, any end is a reset, also that of this process.
    if let Err(cause) = SockRef::from(&peer).set_linger(Some(Duration::ZERO)) {
        tracing::warn!(%cause, "connection not carried: can't be reset");
        return;
    }
    let Ok(Ok(request)) = timeout(REQUEST_TIMEOUT, read_request(&mut peer)).await else {
        counter!("badgerferry_carried_connections_total", "outcome" => "bad_request").increment(1);
        return;
    };
    let guard = CarriedGuard::begin(&relay);
    let (response, server) = match &guard {
        Some(_guard) => connect(&relay, &request).await,
        None => (CarryResponse::Busy, None),
    };
    counter!("badgerferry_carried_connections_total", "outcome" => response.code()).increment(1);
    if response != CarryResponse::Connected || ON_TIME_LINES.allow() {
        tracing::info!(
            call = request.call,
            peer = request.from,
            server = %request.server,
            outcome = response.code(),
            carried = relay.carried.load(Ordering::SeqCst),
            "connection requested by a peer"
        );
    }
    if respond(&mut peer, response).await.is_err() {
        return;
    }
    match server {
        Some(server) => pass_on(peer, server).await,
        None => finish(peer).await,
    }
}

async fn read_request(peer: &mut TcpStream) -> anyhow::Result<CarryRequest> {
    let bytes = pulls::read_frame(peer).await?;
    Ok(postcard::from_bytes(&bytes)?)
}

async fn respond(peer: &mut TcpStream, response: CarryResponse) -> anyhow::Result<()> {
    pulls::write_frame(peer, &postcard::to_stdvec(&response)?).await
}

async fn connect(relay: &Relay, request: &CarryRequest) -> (CarryResponse, Option<TcpStream>) {
    if request.version != FRAME_VERSION {
        return (CarryResponse::Unknown, None);
    }
    let known = {
        let tracker = lock(&relay.tracker);
        let record = tracker.get(&request.server);
        record.map(|record| (record.info.service.clone(), record.info.address.clone()))
    };
    let Some((service, address)) = known else {
        return (CarryResponse::Unknown, None);
    };
    match lock(&relay.server_paths).path(&service) {
        ServerPath::Direct | ServerPath::Suspected => {}
        ServerPath::ThroughPeers | ServerPath::Unavailable => {
            return (CarryResponse::CutOff, None);
        }
    }
    match server_path::connect_directly(relay, &request.server, &address).await {
        Ok(stream) => (CarryResponse::Connected, Some(stream)),
        Err(ConnectFailure::Refused(_)) => (CarryResponse::Refused, None),
        Err(ConnectFailure::TimedOut) => (CarryResponse::TimedOut, None),
    }
}

/// Passes bytes on until either side ends. The peer never closes only one direction, so its end
/// resets the connection to the server, also behind bytes that the server does not read: a request that is
/// still unsent must not arrive after its caller has left.
async fn pass_on(peer: TcpStream, server: TcpStream) {
    let has_server_closed = tokio::select! {
        () = closed_by_peer(&peer) => false,
        _ended = copy(&peer, &server) => false,
        ended = copy(&server, &peer) => ended.is_ok(),
    };
    if has_server_closed {
        drop(server);
        finish(peer).await;
    } else if let Err(cause) = SockRef::from(&server).set_linger(Some(Duration::ZERO)) {
        tracing::warn!(%cause, "connection to a server can't be reset");
    }
}

/// Passes on the bytes of one direction until its end.
async fn copy(from: &TcpStream, to: &TcpStream) -> io::Result<()> {
    let mut buf = vec![0; COPY_BUFFER];
    loop {
        let read = read_some(from, &mut buf).await?;
        if read == 0 {
            return Ok(());
        }
        let mut rest = &buf[..read];
        while !rest.is_empty() {
            to.writable().await?;
            match to.try_write(rest) {
                Ok(written) => rest = &rest[written..],
                Err(cause) if cause.kind() == ErrorKind::WouldBlock => {}
                Err(cause) => return Err(cause),
            }
        }
    }
}

async fn read_some(from: &TcpStream, buf: &mut [u8]) -> io::Result<usize> {
    loop {
        from.readable().await?;
        match from.try_read(buf) {
            Err(cause) if cause.kind() == ErrorKind::WouldBlock => {}
            read => return read,
        }
    }
}

/// Closes the connection to a peer in order: it reads the rest, then the end.
async fn finish(mut peer: TcpStream) {
    if peer.shutdown().await.is_err() {
        return;
    }
    let mut rest = [0; 1_024];
    let closed = async { while let Ok(1..) = peer.read(&mut rest).await {} };
    if timeout(CLOSE_TIMEOUT, closed).await.is_ok() {
        // The peer has read all. Can fail only if the connection is gone.
        let _ = SockRef::from(&peer).set_linger(None);
    }
}
