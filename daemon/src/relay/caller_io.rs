//! A caller's socket, and where its connection stands between calls.

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

/// Where a connection stands.
#[derive(Debug, Clone, Copy)]
pub enum Standing {
    /// No call since then.
    Idle(Instant),
    /// The first byte of a head came then.
    Head(Instant),
    /// A call is being answered.
    Busy,
}

/// Counts a call as in flight, and its connection as busy, until dropped.
#[derive(Debug)]
pub struct CallHold {
    relay: Arc<Relay>,
    standing: Arc<Mutex<Standing>>,
}

impl CallHold {
    /// Counts one more.
    pub fn new(relay: &Arc<Relay>, standing: Arc<Mutex<Standing>>) -> Self {
        relay.in_flight.fetch_add(1, Ordering::SeqCst);
        *lock(&standing) = Standing::Busy;
        Self {
            relay: Arc::clone(relay),
            standing,
        }
    }
}

impl Drop for CallHold {
    fn drop(&mut self) {
        self.relay.in_flight.fetch_sub(1, Ordering::SeqCst);
        *lock(&self.standing) = Standing::Idle(Instant::now());
    }
}

/// A socket that notes when a head begins.
#[derive(Debug)]
pub struct CallerIo {
    stream: TcpStream,
    standing: Arc<Mutex<Standing>>,
}

impl CallerIo {
    /// Wraps a socket.
    pub const fn new(stream: TcpStream, standing: Arc<Mutex<Standing>>) -> Self {
        Self { stream, standing }
    }
}

impl AsyncRead for CallerIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before {
            let mut standing = lock(&self.standing);
            if matches!(*standing, Standing::Idle(_)) {
                *standing = Standing::Head(Instant::now());
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
