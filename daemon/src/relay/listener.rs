//! Listening TCP sockets and their accept loops.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context as _;
use socket2::Domain;
use socket2::Protocol;
use socket2::Socket;
use socket2::Type;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// Connections that may wait to be accepted; callers connect in bursts.
const BACKLOG: i32 = 1_024;
/// Bytes of one connection that the system buffers before it sends them. A larger buffer would count
/// against the memory of the box, and a slow reader would look stalled until a third of it is read.
pub const MAX_UNSENT_BYTES: u32 = 64 << 10;
/// Delay after a failed accept, so that the loop does not spin when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Listens on `address` for connections with few unsent bytes, even if connections of the previous
/// process are still in `TIME_WAIT`.
///
/// # Errors
///
/// Listening on the address failed.
pub fn listen(address: SocketAddr) -> anyhow::Result<TcpListener> {
    let open = || -> std::io::Result<TcpListener> {
        let socket = Socket::new(
            Domain::for_address(address),
            Type::STREAM,
            Some(Protocol::TCP),
        )?;
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        if let Err(cause) = socket.set_tcp_notsent_lowat(MAX_UNSENT_BYTES) {
            tracing::warn!(%address, %cause, "unsent bytes of connections are not bounded");
        }
        socket.bind(&address.into())?;
        socket.listen(BACKLOG)?;
        TcpListener::from_std(socket.into())
    };
    open().with_context(|| format!("failed to listen on {address}"))
}

/// Accepts connections and serves each in its own task; never returns.
pub async fn accept_loop<F>(listener: TcpListener, serve: impl Fn(TcpStream) -> F)
where
    F: Future<Output = ()> + Send + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _peer)) => {
                tokio::spawn(serve(stream));
            }
            Err(cause) => {
                tracing::warn!(%cause, "failed to accept connection");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}
