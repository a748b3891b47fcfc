//! Connections to backend servers: each is owned, carries one call at a time, and is used
//! again only when the last answer on it was whole and its own.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;

use badgerferry_lib::ids::ServerName;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Bytes;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::Instant;
use tokio::time::timeout;

use crate::relay::server_gate::Admitted;
use crate::traffic::lock;

/// Longest wait for a connection; halls are milliseconds apart, regions some tens.
const CONNECT: Duration = Duration::from_millis(200);
/// Unacknowledged bytes and unanswered probes end a connection after this time.
const PEER_SILENCE: Duration = Duration::from_secs(2);
/// Between probes of a silent peer.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Longest rest before a connection is used again; servers close idle ones unseen.
const MAX_REST: Duration = Duration::from_millis(1_500);
/// Taken off what a server says a connection may rest; it counts from its own clock.
const REST_MARGIN: Duration = Duration::from_secs(1);
/// Resting connections kept for one server.
const MAX_RESTING: usize = 4;

/// Why a call got no head of an answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SendError {
    /// Nothing was sent: the connection was refused or is closed.
    #[error("no connection: {0}")]
    NotSent(String),
    /// Nothing was sent: nobody answered to the connection.
    #[error("no answer to the connection")]
    NoAnswer,
    /// The call may have run.
    #[error("lost: {0}")]
    Lost(String),
}

/// A connection in use; it is closed when dropped.
#[derive(Debug)]
pub struct Connection {
    sender: Option<SendRequest<Full<Bytes>>>,
    task: AbortHandle,
}

impl Connection {
    /// Sends a request once and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// [`SendError::NotSent`] only where no byte was written.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
        _admitted: Admitted,
    ) -> Result<Response<Incoming>, SendError> {
        let sender = self.sender.as_mut();
        let sender = sender.ok_or_else(|| SendError::NotSent("closed".to_owned()))?;
        match sender.try_send_request(request).await {
            Ok(answer) => Ok(answer),
            Err(mut unsent) => match unsent.take_message() {
                Some(_request) => Err(SendError::NotSent(unsent.into_error().to_string())),
                None => Err(SendError::Lost(unsent.into_error().to_string())),
            },
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

#[derive(Debug)]
struct Resting {
    connection: Connection,
    until: Instant,
}

/// Resting connections by server.
#[derive(Debug, Default)]
pub struct Upstream {
    resting: Mutex<HashMap<ServerName, Vec<Resting>>>,
}

/// Whether a connection that rested may carry a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reuse {
    /// A resting one may be used.
    Allowed,
    /// Only a new one: a resting one may be closed unseen, and the call can't be repeated.
    Never,
}

impl Upstream {
    /// Sends a call once and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// [`SendError::NotSent`] only where no byte was written.
    pub async fn send(
        &self,
        server: &ServerName,
        address: &str,
        reuse: Reuse,
        request: Request<Full<Bytes>>,
        admitted: Admitted,
    ) -> Result<(Response<Incoming>, Connection), SendError> {
        let rested = match reuse {
            Reuse::Allowed => self.take(server),
            Reuse::Never => None,
        };
        let mut connection = match rested {
            Some(connection) => connection,
            None => connect(address).await?,
        };
        let answer = connection.send(request, admitted).await?;
        Ok((answer, connection))
    }

    fn take(&self, server: &ServerName) -> Option<Connection> {
        let mut resting = lock(&self.resting);
        let rows = resting.get_mut(server)?;
        let now = Instant::now();
        while let Some(row) = rows.pop() {
            let is_ready = row
                .connection
                .sender
                .as_ref()
                .is_some_and(SendRequest::is_ready);
            if is_ready && now < row.until {
                return Some(row.connection);
            }
        }
        None
    }

    /// Takes a connection back whose answer was whole and its own.
    pub fn rest(&self, server: &ServerName, connection: Connection, keep_alive: Option<Duration>) {
        let rest = match keep_alive {
            Some(told) => told.saturating_sub(REST_MARGIN).min(MAX_REST),
            None => MAX_REST,
        };
        if rest.is_zero() {
            return;
        }
        let now = Instant::now();
        let mut resting = lock(&self.resting);
        let rows = resting.entry(server.clone()).or_default();
        rows.retain(|row| now < row.until);
        if rows.len() < MAX_RESTING {
            let until = now + rest;
            rows.push(Resting { connection, until });
        }
    }

    /// Closes connections that rested too long.
    pub fn sweep(&self) {
        let now = Instant::now();
        let mut resting = lock(&self.resting);
        for rows in resting.values_mut() {
            rows.retain(|row| now < row.until);
        }
        resting.retain(|_, rows| !rows.is_empty());
    }
}

/// Opens a connection.
///
/// # Errors
///
/// It is refused, or nobody answers.
pub async fn connect(address: &str) -> Result<Connection, SendError> {
    let not_sent = |cause: &dyn std::fmt::Display| SendError::NotSent(cause.to_string());
    let stream = match timeout(CONNECT, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(cause)) => return Err(not_sent(&cause)),
        Err(_elapsed) => return Err(SendError::NoAnswer),
    };
    if let Err(cause) = guard_against_silence(&stream) {
        tracing::warn!(address, %cause, "a socket option could not be set");
    }
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(64 << 10)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|cause| not_sent(&cause))?;
    // Its end shows at the sender and in the answer's body.
    let task = tokio::spawn(connection).abort_handle();
    Ok(Connection {
        sender: Some(sender),
        task,
    })
}

fn guard_against_silence(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(PEER_SILENCE))?;
    let probes = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(2);
    socket.set_tcp_keepalive(&probes)
}
