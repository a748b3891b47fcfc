//! A listener whose connections send each token as it comes.
//!
//! Without `TCP_NODELAY` a token waits for the caller's acknowledgement of the one before,
//! which the caller's system puts off by 40 ms.

use std::io;
use std::net::SocketAddr;

use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// Accepts connections that hold nothing back.
#[derive(Debug)]
pub struct NoDelayListener(pub TcpListener);

impl viz::Listener for NoDelayListener {
    type Io = TcpStream;
    type Addr = SocketAddr;

    async fn accept(&self) -> io::Result<(TcpStream, SocketAddr)> {
        let (stream, peer) = self.0.accept().await?;
        stream.set_nodelay(true)?;
        Ok((stream, peer))
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        self.0.local_addr()
    }
}
