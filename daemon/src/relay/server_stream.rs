//! Streams to servers, and how they end.
//!
//! A connection that ends before its response is reset, without an end of its sending side before that: a
//! server or forwarder that reads, writes or waits for errors notices a reset, but one that has read an end
//! notices a reset after it only by a write. Bytes that were not sent yet are discarded.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;
use std::time::Instant;

use metrics::histogram;
use socket2::SockRef;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// Controls how a stream ends.
#[derive(Debug, Default)]
pub struct StreamControl {
    /// Whether a request was sent and its response is not complete.
    is_exchanging: AtomicBool,
    /// Since when the response is not read any more, if that is before its end.
    abandoned_at: OnceLock<Instant>,
}

impl StreamControl {
    /// Records that a request is sent: from now on the stream is reset when it is dropped.
    pub fn begin_exchange(&self) {
        self.is_exchanging.store(true, Ordering::Release);
    }

    /// Records that the response is complete.
    pub fn end_exchange(&self) {
        self.is_exchanging.store(false, Ordering::Release);
    }

    /// Records that the response is not read to its end: the stream is reset, although HTTP would close
    /// it in order.
    pub fn abandon(&self) {
        self.abandoned_at.get_or_init(Instant::now);
    }

    fn is_abandoned(&self) -> bool {
        self.abandoned_at.get().is_some()
    }
}

/// A stream to a server.
#[derive(Debug)]
pub struct ServerStream {
    stream: TcpStream,
    control: Arc<StreamControl>,
    /// Whether the server has closed it.
    has_server_closed: bool,
    /// Whether HTTP has closed it in order.
    is_shut_down: bool,
}

impl ServerStream {
    /// A stream that `control` controls.
    pub const fn new(stream: TcpStream, control: Arc<StreamControl>) -> Self {
        Self {
            stream,
            control,
            has_server_closed: false,
            is_shut_down: false,
        }
    }
}

impl Drop for ServerStream {
    fn drop(&mut self) {
        let is_incomplete = self.control.is_exchanging.load(Ordering::Acquire);
        let must_reset = self.control.is_abandoned() || is_incomplete && !self.is_shut_down;
        if must_reset && !self.has_server_closed {
            // On failure the stream is closed in order, which most servers notice as well.
            let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
        }
        if let Some(abandoned_at) = self.control.abandoned_at.get() {
            let open = abandoned_at.elapsed().as_secs_f64();
            histogram!("badgerferry_abandoned_connection_open_seconds").record(open);
        }
    }
}

impl AsyncRead for ServerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        let has_received = buf.filled().len() > filled_before;
        if !has_received && matches!(polled, Poll::Ready(Ok(()))) {
            self.has_server_closed = true;
        }
        polled
    }
}

impl AsyncWrite for ServerStream {
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
        if self.control.is_abandoned() {
            return Poll::Ready(Ok(()));
        }
        self.is_shut_down = true;
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
