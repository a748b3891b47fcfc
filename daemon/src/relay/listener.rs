//! Listening sockets, and the connections that they take.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context as _;
use socket2::Domain;
use socket2::Protocol;
use socket2::Socket;
use socket2::Type;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// Connections that wait to be accepted; a burst of callers comes at once.
const BACKLOG: i32 = 1_024;
/// Pause after a failed accept, so that a lack of descriptors does not spin.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Listens, also where the process before left connections that wait for their end.
///
/// # Errors
///
/// The address can't be listened on.
pub fn listen(address: SocketAddr) -> anyhow::Result<TcpListener> {
    let open = || -> std::io::Result<TcpListener> {
        let socket = Socket::new(
            Domain::for_address(address),
            Type::STREAM,
            Some(Protocol::TCP),
        )?;
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&address.into())?;
        socket.listen(BACKLOG)?;
        TcpListener::from_std(socket.into())
    };
    open().with_context(|| format!("failed to listen on {address}"))
}

/// Serves each connection in a task of its own, for ever.
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
                tracing::warn!(%cause, "a connection could not be accepted");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}
