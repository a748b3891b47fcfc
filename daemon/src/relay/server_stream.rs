//! Streams to servers, and how they end.
//!
//! A connection that ends before its response is reset: a server that only notices failed writes then
//! fails at its next one, and bytes that were not sent yet are discarded. Before that, the sending side
//! alone can be closed while HTTP still reads.

use std::io;
use std::net::Shutdown;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use futures::task::AtomicWaker;
use socket2::SockRef;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Controls how a stream ends.
#[derive(Debug, Default)]
pub struct StreamControl {
    /// Whether a request was sent and its response is not complete.
    is_exchanging: AtomicBool,
    /// Whether the call of that request has ended.
    is_abandoned: AtomicBool,
    must_half_close: AtomicBool,
    is_half_closed: AtomicBool,
    reader: AtomicWaker,
    received: Notify,
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

    /// Records that the call of the request has ended: the stream is reset even if HTTP closes it in order,
    /// as it does for a response that nobody reads.
    pub fn abandon(&self) {
        self.is_abandoned.store(true, Ordering::Release);
    }

    /// Closes the sending side: the server can read the end, and what it still sends is received.
    pub fn half_close(&self) {
        self.must_half_close.store(true, Ordering::Release);
        self.reader.wake();
    }

    /// Resolves once the server has sent something since the sending side was closed.
    pub async fn received(&self) {
        self.received.notified().await;
    }

    fn apply(&self, stream: &TcpStream, cx: &Context<'_>) {
        self.reader.register(cx.waker());
        if self.must_half_close.swap(false, Ordering::AcqRel) {
            self.is_half_closed.store(true, Ordering::Release);
            // It fails only if the connection has ended, which the read shows.
            let _ = SockRef::from(stream).shutdown(Shutdown::Write);
        }
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
        let is_abandoned = self.control.is_abandoned.load(Ordering::Acquire);
        let must_reset = is_abandoned || is_incomplete && !self.is_shut_down;
        if must_reset && !self.has_server_closed {
            // On failure the stream is closed in order, which most servers notice as well.
            let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
        }
    }
}

impl AsyncRead for ServerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.control.apply(&self.stream, cx);
        let filled_before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        let has_received = buf.filled().len() > filled_before;
        if has_received && self.control.is_half_closed.load(Ordering::Acquire) {
            self.control.received.notify_one();
        }
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
