//! Streams to servers whose sending side can be closed while HTTP still reads from them.

use std::io;
use std::net::Shutdown;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use futures::task::AtomicWaker;
use socket2::SockRef;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// Requests that a stream closes its sending side.
#[derive(Debug, Default)]
pub struct HalfClose {
    is_requested: AtomicBool,
    reader: AtomicWaker,
}

impl HalfClose {
    /// The server sees the end of the connection; what it still sends is received.
    pub fn request(&self) {
        self.is_requested.store(true, Ordering::Release);
        self.reader.wake();
    }

    fn apply(&self, stream: &TcpStream, cx: &Context<'_>) {
        self.reader.register(cx.waker());
        if self.is_requested.swap(false, Ordering::AcqRel) {
            // It fails only if the connection has ended, which the read shows.
            let _ = SockRef::from(stream).shutdown(Shutdown::Write);
        }
    }
}

/// A stream to a server.
#[derive(Debug)]
pub struct ServerStream {
    stream: TcpStream,
    half_close: Arc<HalfClose>,
}

impl ServerStream {
    /// A stream that is closed by `half_close`.
    pub const fn new(stream: TcpStream, half_close: Arc<HalfClose>) -> Self {
        Self { stream, half_close }
    }
}

impl AsyncRead for ServerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.half_close.apply(&self.stream, cx);
        Pin::new(&mut self.stream).poll_read(cx, buf)
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
