//! Request body sent to a server, and the progress of a server that reads a large one.
//!
//! A large body is given to the connection in slices, each once the connection has little left to
//! write, so that the slices show how much the server has read.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use badgerferry_lib::ids::ServerName;
use badgerferry_lib::relay::server_bodies::ServerBodies;
use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;
use hyper::body::Bytes;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::relay::response_body::ServiceResult;
use crate::traffic::lock;

/// Size of a slice, in bytes. Smaller bodies fit into the buffers of a connection and are not
/// tracked.
const SLICE_BYTES: usize = 64 << 10;

/// Body of a request to a server.
#[derive(Debug)]
pub struct RequestBody {
    rest: Bytes,
    transfer: Option<BodyTransfer>,
}

impl RequestBody {
    /// A body that is complete in memory.
    pub const fn new(bytes: Bytes) -> Self {
        Self {
            rest: bytes,
            transfer: None,
        }
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = std::convert::Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<ServiceResult<Frame<Bytes>>>> {
        if self.rest.is_empty() {
            return Poll::Ready(None);
        }
        let len = self.rest.len().min(SLICE_BYTES);
        let slice = self.rest.split_to(len);
        match self.transfer.take() {
            Some(transfer) if self.rest.is_empty() => transfer.finish(),
            Some(mut transfer) => {
                transfer.record_progress();
                self.transfer = Some(transfer);
            }
            None => {}
        }
        Poll::Ready(Some(Ok(Frame::data(slice))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.rest.len() as u64)
    }
}

/// Large bodies that are being sent.
#[derive(Debug)]
pub struct BodyTransfers {
    bodies: Mutex<ServerBodies>,
    /// Notifies requests that wait for a server to read other bodies.
    ended: Notify,
}

impl BodyTransfers {
    /// No bodies; `side` is the bound on request bodies that the box holds.
    pub fn new(side: Option<u64>) -> Arc<Self> {
        Arc::new(Self {
            bodies: Mutex::new(ServerBodies::new(side)),
            ended: Notify::new(),
        })
    }

    /// Counts a large body of `len` bytes as being sent, once the server has read enough of the
    /// others.
    ///
    /// # Errors
    ///
    /// The server has not read enough of the others within `patience`.
    pub async fn begin(
        self: &Arc<Self>,
        server: &ServerName,
        len: usize,
        patience: Duration,
    ) -> Result<BodyPermit, BodiesUnread> {
        if len <= SLICE_BYTES {
            return Ok(BodyPermit::default());
        }
        let bytes = len as u64;
        let until = Instant::now() + patience;
        let mut has_waited = false;
        loop {
            // Subscribes before the check, so that no notification between the two is missed.
            let ended = self.ended.notified();
            if lock(&self.bodies).try_send(server, bytes) {
                break;
            }
            has_waited = true;
            timeout_at(until, ended)
                .await
                .map_err(|_elapsed| BodiesUnread)?;
        }
        let transfer = BodyTransfer {
            transfers: Arc::clone(self),
            server: server.clone(),
            bytes,
            state: TransferState::NotStarted,
            progress: Arc::new(Progress(Mutex::new(Some(Instant::now())))),
        };
        Ok(BodyPermit {
            transfer: Some(transfer),
            has_waited,
        })
    }
}

/// Permission to send a body to a server.
#[derive(Debug, Default)]
pub struct BodyPermit {
    /// `None` if the body is small.
    transfer: Option<BodyTransfer>,
    /// Whether it was granted only after a wait.
    pub has_waited: bool,
}

impl BodyPermit {
    /// Attaches it to the body. Returns the progress of the body, or `None` if it is small.
    pub fn attach(self, body: &mut RequestBody) -> Option<Arc<Progress>> {
        let transfer = self.transfer?;
        let progress = Arc::clone(&transfer.progress);
        progress.record();
        body.transfer = Some(transfer);
        Some(progress)
    }
}

/// A server has not read the bodies that were sent to it.
#[derive(Debug)]
pub struct BodiesUnread;

/// Time at which the server last read from the body; `None` once the body has ended.
#[derive(Debug)]
pub struct Progress(Mutex<Option<Instant>>);

impl Progress {
    fn record(&self) {
        *lock(&self.0) = Some(Instant::now());
    }

    /// Returns once the server has read nothing for `patience`; never if it has read the body.
    pub async fn stalled(&self, patience: Duration) {
        loop {
            let read_at = *lock(&self.0);
            match read_at {
                None => std::future::pending().await,
                Some(at) if at.elapsed() >= patience => return,
                Some(at) => tokio::time::sleep_until(at + patience).await,
            }
        }
    }
}

/// How far a server has read a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TransferState {
    NotStarted,
    Started,
    Read,
}

/// A large body that is being sent to a server.
#[derive(Debug)]
struct BodyTransfer {
    transfers: Arc<BodyTransfers>,
    server: ServerName,
    bytes: u64,
    state: TransferState,
    progress: Arc<Progress>,
}

impl BodyTransfer {
    fn record_progress(&mut self) {
        self.state = TransferState::Started;
        self.progress.record();
    }

    fn finish(mut self) {
        self.state = TransferState::Read;
    }
}

impl Drop for BodyTransfer {
    fn drop(&mut self) {
        *lock(&self.progress.0) = None;
        let mut bodies = lock(&self.transfers.bodies);
        match self.state {
            TransferState::NotStarted => bodies.body_not_sent(&self.server, self.bytes),
            TransferState::Started => bodies.body_unread(&self.server, self.bytes),
            TransferState::Read => bodies.body_read(&self.server, self.bytes),
        }
        drop(bodies);
        self.transfers.ended.notify_waiters();
    }
}
