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
/// Delay after a failed accept, so that the loop does not spin when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Listens on `address`, even if connections of the previous process are still in `TIME_WAIT`.
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
