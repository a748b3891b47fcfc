//! Connections to backend servers. Each connection has one owner, carries one call at a time, and
//! is reused only if the last response on it was complete and belonged to its call.

use std::collections::HashMap;
use std::io::ErrorKind;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use badgerferry_lib::ids::ServerName;
use http::HeaderMap;
use http::Request;
use http::Response;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::AbortHandle;
use tokio::time::Instant;

use crate::relay::abandoned_run::SentRun;
use crate::relay::call_retry::PendingSend;
use crate::relay::listener::MAX_UNSENT_BYTES;
use crate::relay::request_body::BodyPermit;
use crate::relay::request_body::BodyTransfers;
use crate::relay::request_body::RequestBody;
use crate::relay::server_exchange::Exchange;
use crate::relay::server_gate::Admitted;
use crate::relay::server_path;
use crate::relay::server_path::Destination;
use crate::relay::server_stream::ServerStream;
use crate::relay::server_stream::StreamControl;
use crate::traffic::lock;

/// Time after which unacknowledged bytes or unanswered probes end a connection.
const PEER_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval between keep-alive probes of a silent peer.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Longest idle time after which a connection is reused. Servers may close idle connections without
/// the box noticing.
const MAX_IDLE_TIME: Duration = Duration::from_millis(1_500);
/// Subtracted from the idle timeout that a server announces, because the server measures it by its
/// own clock.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_secs(1);
/// Interim responses to one request, after which its connection is closed.
const MAX_INTERIM_RESPONSES: usize = 16;
/// Limit of idle connections per server.
const MAX_IDLE_PER_SERVER: usize = 4;

/// Why a request got no response head.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SendError {
    /// Nothing was sent: the connection was refused or is closed.
    #[error("request not sent: {0}")]
    NotSent(String),
    /// Nothing was sent: the connection attempt timed out.
    #[error("connection attempt timed out")]
    ConnectTimeout,
    /// The connection was lost after the request was sent, so the call may have run.
    #[error("connection lost: {0}")]
    Lost(String),
    /// Nothing was sent: no peer connects to servers of the service for this box.
    #[error("path to the servers is cut, and no peer connects")]
    NoPath,
    /// Nothing was acknowledged for long, so that the connection ended; the call may have run.
    #[error("no acknowledgement: {0}")]
    Unacknowledged(String),
    /// No response arrived, and the path of this box to the servers is cut. The call may have run.
    #[error("no response, and the path to the servers is cut")]
    PathCut,
    /// Nothing was sent: the server does not accept the call any more.
    #[error("server no longer accepts the call")]
    NotAdmitted,
    /// Nothing was sent: the server does not respond to a query.
    #[error("no response to a query")]
    Silent,
    /// Nothing was sent: the server has not read the bodies of earlier requests.
    #[error("earlier request bodies are unread")]
    EarlierBodiesUnread,
    /// The server stopped reading the request body, but may have run the call.
    #[error("request body is unread")]
    BodyUnread,
}

impl SendError {
    /// Whether the server may have received the request.
    pub const fn may_have_run(&self) -> bool {
        match self {
            Self::Lost(_) | Self::Unacknowledged(_) | Self::PathCut | Self::BodyUnread => true,
            Self::NotSent(_)
            | Self::ConnectTimeout
            | Self::NoPath
            | Self::NotAdmitted
            | Self::Silent
            | Self::EarlierBodiesUnread => false,
        }
    }
}

/// A connection to a server. When dropped it is closed, or reset if a request on it was not answered
/// completely.
#[derive(Debug)]
pub struct Connection {
    sender: Option<SendRequest<RequestBody>>,
    task: AbortHandle,
    /// Who made it.
    pub via: Via,
    /// How it ends.
    pub control: Arc<StreamControl>,
}

/// Who made a connection to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Via {
    /// This box.
    Own,
    /// A peer, while the own path was cut.
    Peer,
}

impl Connection {
    /// Sends a request once and waits for the response head.
    ///
    /// # Errors
    ///
    /// [`SendError::NotSent`] only if no byte was written.
    pub async fn send(
        &mut self,
        mut request: Request<RequestBody>,
        _admitted: Admitted,
    ) -> Result<Response<Incoming>, SendError> {
        let sender = self.sender.as_mut();
        let sender = sender.ok_or_else(|| SendError::NotSent("closed".to_owned()))?;
        let interim = InterimLimit::of(&mut request);
        let response = tokio::select! {
            response = sender.try_send_request(request) => response,
            () = interim.exceeded() => {
                return Err(SendError::Lost("too many interim responses".to_owned()));
            }
        };
        match response {
            Ok(response) => Ok(response),
            Err(mut error) => match error.take_message() {
                Some(_request) => Err(SendError::NotSent(error.into_error().to_string())),
                None => Err(lost(&error.into_error())),
            },
        }
    }
}

fn lost(error: &hyper::Error) -> SendError {
    let source = std::error::Error::source(error);
    let cause = source.and_then(|source| source.downcast_ref::<std::io::Error>());
    match cause.map(std::io::Error::kind) {
        Some(ErrorKind::TimedOut) => SendError::Unacknowledged(error.to_string()),
        _ => SendError::Lost(error.to_string()),
    }
}

/// Counts the interim responses (1xx) to a request, which HTTP does not limit.
#[derive(Debug, Clone, Default)]
struct InterimLimit {
    count: Arc<AtomicUsize>,
    exceeded: Arc<Notify>,
}

impl InterimLimit {
    fn of(request: &mut Request<RequestBody>) -> Self {
        let limit = Self::default();
        let counted = limit.clone();
        hyper::ext::on_informational(request, move |_response| {
            if counted.count.fetch_add(1, Ordering::Relaxed) == MAX_INTERIM_RESPONSES {
                counted.exceeded.notify_one();
            }
        });
        limit
    }

    async fn exceeded(&self) {
        self.exceeded.notified().await;
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    expires_at: Instant,
}

/// Idle connections by server, and the bodies that are being sent.
#[derive(Debug)]
pub struct ConnectionPool {
    idle: Mutex<HashMap<ServerName, Vec<IdleConnection>>>,
    body_transfers: Arc<BodyTransfers>,
}

/// Whether an idle connection may carry a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reuse {
    /// An idle connection may be used.
    Allowed,
    /// Only a new connection: the server may have closed an idle one unnoticed, and the call can't
    /// be retried.
    Never,
}

/// A request that is ready to be sent.
#[derive(Debug)]
pub struct ServerRequest {
    /// The request.
    pub request: Request<RequestBody>,
    /// Permission to send its body.
    pub body_permit: BodyPermit,
    /// Whether it may use an idle connection.
    pub reuse: Reuse,
    /// Longest time for which the server may read nothing of a large body.
    pub patience: Duration,
}

impl ConnectionPool {
    /// An empty pool; `bodies` is the bound on request bodies that the box holds.
    pub fn new(bodies: Option<u64>) -> Self {
        Self {
            idle: Mutex::default(),
            body_transfers: BodyTransfers::new(bodies),
        }
    }

    /// Waits until the server has read enough of earlier bodies for one of `len` bytes.
    ///
    /// # Errors
    ///
    /// [`SendError::EarlierBodiesUnread`] if it has not within `patience`.
    pub async fn reserve_body(
        &self,
        server: &ServerName,
        len: usize,
        patience: Duration,
    ) -> Result<BodyPermit, SendError> {
        let permit = self.body_transfers.begin(server, len, patience).await;
        permit.map_err(|_unread| SendError::EarlierBodiesUnread)
    }

    /// Sends a call once on an idle or a new connection and waits for the response head.
    /// `begin_run` is called once there is a connection, and may change the headers. `path_cut` resolves if a connection made
    /// by this box is no longer worth waiting for.
    ///
    /// # Errors
    ///
    /// [`SendError::NotSent`] only if no byte was written.
    pub async fn send(
        &self,
        destination: &Destination<'_>,
        request: ServerRequest,
        admitted: Admitted,
        begin_run: impl FnOnce(&mut HeaderMap) -> (SentRun, PendingSend),
        path_cut: impl Future<Output = ()>,
    ) -> Result<(Response<Incoming>, Connection), SendError> {
        let server = destination.server;
        let ServerRequest {
            mut request,
            body_permit,
            reuse,
            patience,
        } = request;
        let progress = body_permit.attach(request.body_mut());
        let pooled = match reuse {
            Reuse::Allowed => self.take_idle(server),
            Reuse::Never => None,
        };
        let connection = match pooled {
            Some(connection) => connection,
            None => server_path::connect(destination).await?,
        };
        let is_own = connection.via == Via::Own;
        let stalled = async {
            match progress {
                Some(progress) => progress.stalled(patience).await,
                None => std::future::pending().await,
            }
        };
        let begun = begin_run(request.headers_mut());
        let mut exchange = Exchange::start(connection, request, admitted, begun);
        tokio::select! {
            answer = exchange.answer() => answer,
            () = stalled => Err(SendError::BodyUnread),
            () = path_cut, if is_own => Err(SendError::PathCut),
        }
    }

    fn take_idle(&self, server: &ServerName) -> Option<Connection> {
        let mut idle = lock(&self.idle);
        let connections = idle.get_mut(server)?;
        let now = Instant::now();
        while let Some(entry) = connections.pop() {
            let is_usable = entry
                .connection
                .sender
                .as_ref()
                .is_some_and(SendRequest::is_ready);
            if is_usable && now < entry.expires_at {
                return Some(entry.connection);
            }
        }
        None
    }

    /// Returns a connection to the pool. The last response on it must be complete and belong to its
    /// call.
    pub fn put(&self, server: &ServerName, connection: Connection, keep_alive: Option<Duration>) {
        connection.control.end_exchange();
        let idle_time = match keep_alive {
            Some(advertised) => advertised
                .saturating_sub(KEEP_ALIVE_MARGIN)
                .min(MAX_IDLE_TIME),
            None => MAX_IDLE_TIME,
        };
        if idle_time.is_zero() {
            return;
        }
        let now = Instant::now();
        let mut idle = lock(&self.idle);
        let connections = idle.entry(server.clone()).or_default();
        connections.retain(|entry| now < entry.expires_at);
        if connections.len() < MAX_IDLE_PER_SERVER {
            let expires_at = now + idle_time;
            connections.push(IdleConnection {
                connection,
                expires_at,
            });
        }
    }

    /// Closes the idle connections to servers that match.
    pub fn close_idle(&self, mut matches: impl FnMut(&ServerName) -> bool) {
        lock(&self.idle).retain(|server, _| !matches(server));
    }

    /// Closes connections whose idle time is over.
    pub fn close_expired(&self) {
        let now = Instant::now();
        let mut idle = lock(&self.idle);
        for connections in idle.values_mut() {
            connections.retain(|entry| now < entry.expires_at);
        }
        idle.retain(|_, connections| !connections.is_empty());
    }
}

/// Opens an HTTP connection on a stream that leads to a server.
///
/// # Errors
///
/// [`SendError::NotSent`]: the handshake failed.
pub async fn open(stream: TcpStream, via: Via) -> Result<Connection, SendError> {
    let control = Arc::<StreamControl>::default();
    let stream = ServerStream::new(stream, Arc::clone(&control));
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(64 << 10)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|cause| SendError::NotSent(cause.to_string()))?;
    // The sender and the response body report the end of this task.
    let task = tokio::spawn(connection).abort_handle();
    Ok(Connection {
        sender: Some(sender),
        task,
        via,
        control,
    })
}

/// Sets the options of a stream to a server or to a peer that carries one, so that a lost path is
/// noticed and few bytes are buffered.
pub fn set_socket_options(stream: &TcpStream) {
    if let Err(cause) = try_set_socket_options(stream) {
        tracing::warn!(%cause, "failed to set socket options");
    }
}

fn try_set_socket_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(PEER_TIMEOUT))?;
    let probes = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(2);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_notsent_lowat(MAX_UNSENT_BYTES)
}
