//! Socket of a caller, and the state of its connection, which the idle and header timeouts use.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::Instant;

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

/// RAII guard that counts a call as in flight and marks its connection busy.
#[derive(Debug)]
pub struct CallGuard {
    relay: Arc<Relay>,
    state: Arc<Mutex<ConnectionState>>,
}

impl CallGuard {
    /// Counts a call as in flight and marks its connection busy.
    pub fn new(relay: &Arc<Relay>, state: Arc<Mutex<ConnectionState>>) -> Self {
        relay.in_flight.fetch_add(1, Ordering::SeqCst);
        *lock(&state) = ConnectionState::Busy;
        Self {
            relay: Arc::clone(relay),
            state,
        }
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.relay.in_flight.fetch_sub(1, Ordering::SeqCst);
        *lock(&self.state) = ConnectionState::Idle(Instant::now());
    }
}

/// A socket that records when a request head begins.
#[derive(Debug)]
pub struct CallerIo {
    stream: TcpStream,
    state: Arc<Mutex<ConnectionState>>,
}

impl CallerIo {
    /// Wraps `stream` and records the start of request heads in `state`.
    pub const fn new(stream: TcpStream, state: Arc<Mutex<ConnectionState>>) -> Self {
        Self { stream, state }
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
            let mut state = lock(&self.state);
            if matches!(*state, ConnectionState::Idle(_)) {
                *state = ConnectionState::ReadingHead(Instant::now());
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
        Pin::new(&mut self.stream).poll_write(cx, buf)
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
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }
}
