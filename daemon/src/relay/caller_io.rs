//! Socket of a caller, and the state of its connection, which the timeouts use.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use badgerferry_edges::watched_stream::WatchedStream;
use badgerferry_lib::relay::held_bytes::Side;
use badgerferry_lib::relay::reader_patience::CallerPatience;
use badgerferry_lib::relay::reader_patience::MIN_CALLER_STALL;
use badgerferry_lib::time::Time;
use metrics::counter;
use socket2::SockRef;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::relay::caller_presence::CallerPresence;
use crate::relay::caller_presence::DepartureSign;
use crate::relay::held_bytes::ResponseReader;
use crate::relay::state::Relay;
use crate::traffic::lock;

/// State of a caller's connection.
#[derive(Debug, Clone, Copy)]
pub enum ConnectionState {
    /// No request since this time.
    Idle(Instant),
    /// A request head is being read; its first byte arrived at this time.
    ReadingHead(Instant),
    /// A call is in progress.
    Busy,
}

/// Limits on the caller of the latest response.
#[derive(Debug, Clone)]
pub struct ReaderLimits {
    /// Id of the call.
    pub call: String,
    /// How long the caller may read nothing.
    pub patience: CallerPatience,
}

/// Why the connection of a caller that reads slowly is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReaderCut {
    /// It has read nothing for too long.
    Stalled,
    /// Others need the room of what is held for it.
    Evicted,
}

/// A connection to a caller.
#[derive(Debug)]
pub struct CallerConnection {
    /// Phase of the connection.
    pub state: ConnectionState,
    /// Since when the caller has read nothing although bytes wait to be written.
    blocked_since: Option<Instant>,
    /// Limits on the caller of the latest response.
    limits: Option<ReaderLimits>,
    /// Reader of the latest response, if bytes of it are counted.
    reader: Option<Arc<ResponseReader>>,
    /// Whether to reset the connection when it is closed, which discards what is unread.
    resets: bool,
    /// Caller of the call in progress.
    caller: Option<Arc<CallerPresence>>,
}

impl CallerConnection {
    /// A new connection.
    pub fn new() -> Self {
        Self {
            state: ConnectionState::Idle(Instant::now()),
            blocked_since: None,
            limits: None,
            reader: None,
            resets: false,
            caller: None,
        }
    }

    /// Records that the connection ends by its caller, while a call may be in progress.
    pub fn record_departure(&self, sign: DepartureSign) {
        if let Some(caller) = &self.caller {
            caller.record_departure(sign);
        }
    }

    /// Sets the limits on the caller of a response that is now being written.
    pub fn set_reader(
        &mut self,
        limits: Option<ReaderLimits>,
        reader: Option<Arc<ResponseReader>>,
    ) {
        self.limits = limits;
        self.reader = reader;
    }

    /// Cuts a caller that reads too slowly: returns whether the connection must be closed, which
    /// then resets it.
    pub fn cut_slow_reader(&mut self, now: Time) -> bool {
        let stalled = self.blocked_since.map(|since| since.elapsed());
        let patience = self.limits.as_ref().map(|limits| limits.patience);
        let cut = match (stalled, patience) {
            (Some(stalled), Some(patience)) if patience.is_exhausted(now, stalled) => {
                ReaderCut::Stalled
            }
            // The response is one of the box itself.
            (Some(stalled), None) if stalled >= MIN_CALLER_STALL => ReaderCut::Stalled,
            _ if self
                .reader
                .as_ref()
                .is_some_and(|reader| reader.is_evicted()) =>
            {
                ReaderCut::Evicted
            }
            _ => return false,
        };
        self.resets = true;
        let why = match cut {
            ReaderCut::Stalled => "stalled",
            ReaderCut::Evicted => "evicted",
        };
        counter!("badgerferry_slow_readers_cut_total", "why" => why).increment(1);
        tracing::warn!(
            call = self.limits.as_ref().map_or("-", |limits| &limits.call),
            side = Side::Callers.name(),
            why,
            held = self.reader.as_ref().map(|reader| reader.held()),
            bound = self.reader.as_ref().and_then(|reader| reader.bound()),
            waited_ms = stalled.map(|stalled| stalled.as_millis() as u64),
            "caller cut: response unread"
        );
        true
    }
}

/// RAII guard that counts a call as in flight and marks its connection busy.
#[derive(Debug)]
pub struct CallGuard {
    relay: Arc<Relay>,
    connection: Arc<Mutex<CallerConnection>>,
    caller: Arc<CallerPresence>,
}

impl CallGuard {
    /// Counts a call as in flight and marks its connection busy.
    pub fn new(relay: &Arc<Relay>, connection: Arc<Mutex<CallerConnection>>) -> Self {
        relay.in_flight.fetch_add(1, Ordering::SeqCst);
        let caller = CallerPresence::new(relay);
        {
            let mut connection = lock(&connection);
            connection.state = ConnectionState::Busy;
            connection.caller = Some(Arc::clone(&caller));
        }
        Self {
            relay: Arc::clone(relay),
            connection,
            caller,
        }
    }

    /// The caller of the call.
    pub const fn caller(&self) -> &Arc<CallerPresence> {
        &self.caller
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.relay.in_flight.fetch_sub(1, Ordering::SeqCst);
        let mut connection = lock(&self.connection);
        connection.state = ConnectionState::Idle(Instant::now());
        connection.caller = None;
    }
}

/// A socket that records when a request head begins, and since when the caller reads nothing.
#[derive(Debug)]
pub struct CallerIo {
    stream: WatchedStream,
    relay: Arc<Relay>,
    connection: Arc<Mutex<CallerConnection>>,
    /// Whether the last write had to wait.
    is_blocked: bool,
}

impl CallerIo {
    /// Wraps `stream` and records its state in `connection`.
    pub fn new(
        stream: TcpStream,
        relay: Arc<Relay>,
        connection: Arc<Mutex<CallerConnection>>,
    ) -> Self {
        Self {
            stream: WatchedStream::new(stream),
            relay,
            connection,
            is_blocked: false,
        }
    }

    fn record_write(&mut self, polled: &Poll<io::Result<usize>>) {
        self.set_blocked(polled.is_pending());
    }

    fn set_blocked(&mut self, is_blocked: bool) {
        if is_blocked == self.is_blocked {
            return;
        }
        self.is_blocked = is_blocked;
        lock(&self.connection).blocked_since = is_blocked.then(Instant::now);
        let blocked = &self.relay.blocked_callers;
        if is_blocked {
            blocked.fetch_add(1, Ordering::SeqCst);
        } else {
            blocked.fetch_sub(1, Ordering::SeqCst);
        }
    }
}

impl Drop for CallerIo {
    fn drop(&mut self) {
        self.set_blocked(false);
        if lock(&self.connection).resets {
            // On failure, the system sends the unread bytes for as long as the caller takes them.
            let _ = SockRef::from(self.stream.as_ref()).set_linger(Some(Duration::ZERO));
        }
    }
}

impl AsyncRead for CallerIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > filled_before {
            let mut connection = lock(&self.connection);
            if matches!(connection.state, ConnectionState::Idle(_)) {
                connection.state = ConnectionState::ReadingHead(Instant::now());
            }
        }
        polled
    }
}

impl AsyncWrite for CallerIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.record_write(&polled);
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.record_write(&polled);
        polled
    }
}
