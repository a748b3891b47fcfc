//! TCP listener whose connections have `TCP_NODELAY` set and are watched for their end.
//!
//! Without it, Nagle's algorithm delays a token until the caller acknowledges the previous
//! one, and the caller's operating system delays that acknowledgement by 40 ms.

use std::io;
use std::net::SocketAddr;

use tokio::net::TcpListener;

use crate::watched_stream::WatchedStream;

/// Accepts connections with Nagle's algorithm disabled.
#[derive(Debug)]
pub struct NoDelayListener(pub TcpListener);

impl viz::Listener for NoDelayListener {
    type Io = WatchedStream;
    type Addr = SocketAddr;

    async fn accept(&self) -> io::Result<(WatchedStream, SocketAddr)> {
        let (stream, peer) = self.0.accept().await?;
        stream.set_nodelay(true)?;
        Ok((WatchedStream::new(stream), peer))
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        self.0.local_addr()
    }
}
