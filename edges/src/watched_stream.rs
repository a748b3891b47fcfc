//! TCP streams whose end is noticed although bytes before it are unread.
//!
//! Whoever reads a stream reaches its end only behind all bytes that arrived before it. HTTP reads no more
//! once it holds bytes of a further request, a copy none while its other side is blocked. The system reports
//! the end apart from the bytes, so that it wakes the task that owns the stream in any case.

use std::fmt;
use std::io;
use std::io::ErrorKind;
use std::net::Shutdown;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use socket2::SockRef;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::Interest;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// Waits until the peer has closed its sending side, or the connection has failed, however many bytes are
/// unread.
pub async fn closed_by_peer(stream: &TcpStream) {
    // Priority readiness includes a closed reading side and, unlike read readiness, no unread bytes. An error
    // means that the runtime ends.
    let _ = stream.ready(Interest::PRIORITY).await;
}

/// A stream that fails once its peer has closed it while nobody waits for its bytes.
///
/// It fails with [`ErrorKind::ConnectionAborted`], when everything was written or a write is blocked.
pub struct WatchedStream {
    stream: Arc<TcpStream>,
    /// `None` once the peer has closed the stream.
    closed: Option<Pin<Box<dyn Future<Output = ()> + Send + Sync>>>,
    /// Whether the owner waits for bytes, and so reads the end.
    is_reading: bool,
}

impl WatchedStream {
    /// Watches a stream.
    pub fn new(stream: TcpStream) -> Self {
        let stream = Arc::new(stream);
        let watched = Arc::clone(&stream);
        Self {
            stream,
            closed: Some(Box::pin(async move { closed_by_peer(&watched).await })),
            is_reading: false,
        }
    }

    /// Whether the peer has closed the stream and the owner does not read up to its end.
    fn is_closed_unread(&mut self, cx: &mut Context<'_>) -> bool {
        if self.is_reading {
            return false;
        }
        let is_closed = match &mut self.closed {
            Some(closed) => closed.as_mut().poll(cx).is_ready(),
            None => true,
        };
        if is_closed {
            self.closed = None;
        }
        is_closed
    }

    fn poll_write_with(
        &mut self,
        cx: &mut Context<'_>,
        mut write: impl FnMut(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            match self.stream.poll_write_ready(cx) {
                Poll::Pending if self.is_closed_unread(cx) => return Poll::Ready(Err(aborted())),
                ready => ready!(ready)?,
            }
            match write(&self.stream) {
                Err(cause) if cause.kind() == ErrorKind::WouldBlock => {}
                written => return Poll::Ready(written),
            }
        }
    }
}

fn aborted() -> io::Error {
    ErrorKind::ConnectionAborted.into()
}

impl fmt::Debug for WatchedStream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("WatchedStream")
            .field("stream", &self.stream)
            .field("is_closed", &self.closed.is_none())
            .field("is_reading", &self.is_reading)
            .finish()
    }
}

impl AsRef<TcpStream> for WatchedStream {
    fn as_ref(&self) -> &TcpStream {
        &self.stream
    }
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            let polled = self.stream.poll_read_ready(cx);
            self.is_reading = polled.is_pending();
            ready!(polled)?;
            match self.stream.try_read_buf(buf) {
                Err(cause) if cause.kind() == ErrorKind::WouldBlock => {}
                read => return Poll::Ready(read.map(drop)),
            }
        }
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(cx, |stream| stream.try_write(buf))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(cx, |stream| stream.try_write_vectored(bufs))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.is_closed_unread(cx) {
            return Poll::Ready(Err(aborted()));
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.stream).shutdown(Shutdown::Write))
    }
}
