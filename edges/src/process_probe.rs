//! Checks whether the process of a server has exited, by connecting to its address.

use std::io::ErrorKind;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::timeout;

/// Maximum wait for a server's machine to accept or refuse a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// How long a call whose connection broke watches a new connection to the server. If it stays open
/// for this long, the server is up. The call is not sent to another server in this time, since it
/// may crash that one as well.
pub const EXIT_TIMEOUT: Duration = Duration::from_millis(50);
/// The same, in total, while the server closes each new connection: it is exiting, or can't serve
/// the call either. Less than the gap between events that a resumed stream may have.
const CLOSING_TIMEOUT: Duration = Duration::from_millis(150);
/// How long the process is watched in the background after that. A crash in this time counts as
/// well.
const EXIT_WATCH_TIME: Duration = Duration::from_secs(1);
/// Delay between connection attempts to a server that closes each connection at once.
const RECONNECT_DELAY: Duration = Duration::from_millis(2);
/// The same, while the server is watched in the background.
const WATCH_RECONNECT_DELAY: Duration = Duration::from_millis(20);
/// Delay between two checks of a process that can't be watched by an open connection.
const REPEATED_CHECK_DELAY: Duration = Duration::from_millis(250);

/// Whether a server process has exited.
#[derive(Debug)]
pub enum ProcessState {
    /// It refuses connections.
    Exited,
    /// A connection gets no answer, or fails in a way that shows nothing.
    Unreachable,
    /// Closed or reset every connection within the given time, but still listens.
    Closing,
    /// Closed or reset every connection for [`EXIT_WATCH_TIME`], and still listens.
    ClosingForLong,
    /// Accepted a connection and has not closed it within [`EXIT_TIMEOUT`].
    Open(TcpStream),
}

/// Checks whether a process whose connection ended exits within [`CLOSING_TIMEOUT`].
pub async fn check_exit(address: &str) -> ProcessState {
    watch_exit(address, CLOSING_TIMEOUT, RECONNECT_DELAY).await
}

/// Checks whether a process that closes each connection exits within [`EXIT_WATCH_TIME`].
pub async fn check_slow_exit(address: &str) -> ProcessState {
    match watch_exit(address, EXIT_WATCH_TIME, WATCH_RECONNECT_DELAY).await {
        ProcessState::Closing => ProcessState::ClosingForLong,
        state => state,
    }
}

/// Whether a process whose connection ended is still running, as far as its address shows.
pub async fn is_running(address: &str) -> bool {
    let state = match check_exit(address).await {
        ProcessState::Closing => check_slow_exit(address).await,
        state => state,
    };
    matches!(state, ProcessState::Open(_) | ProcessState::ClosingForLong)
}

/// Whether a process that was still there at the end of [`check_exit`] exits within
/// [`EXIT_WATCH_TIME`].
pub async fn exits_later(address: &str, state: ProcessState) -> bool {
    let state = match state {
        ProcessState::Open(mut stream) => {
            let closed = timeout(EXIT_WATCH_TIME, stream.read(&mut [0])).await;
            if closed.is_err() {
                return false;
            }
            watch_exit(address, CLOSING_TIMEOUT, RECONNECT_DELAY).await
        }
        ProcessState::Closing => check_slow_exit(address).await,
        state => state,
    };
    matches!(state, ProcessState::Exited)
}

/// Resolves once the process at the address has exited. A process that starts again faster than a
/// connection can be made is not noticed.
pub async fn exited(address: &str) {
    loop {
        match watch_exit(address, CLOSING_TIMEOUT, RECONNECT_DELAY).await {
            ProcessState::Exited => return,
            ProcessState::Open(mut stream) => {
                // Both a byte and an error mean that the connection no longer shows the process.
                let _ = stream.read(&mut [0]).await;
            }
            ProcessState::Closing | ProcessState::ClosingForLong | ProcessState::Unreachable => {
                tokio::time::sleep(REPEATED_CHECK_DELAY).await;
            }
        }
    }
}

/// Checks whether a process that closes its connections exits within the given time.
///
/// An exiting process closes its connections one by one, some before it stops listening. It may
/// still accept and close new connections until it is gone, so connecting is repeated until one is
/// refused. A connection made while the listener closes may stay open although its other end is
/// gone, so an open connection is confirmed by a second one.
async fn watch_exit(address: &str, within: Duration, reconnect_delay: Duration) -> ProcessState {
    let until = Instant::now() + within;
    loop {
        match try_connect(address).await {
            ConnectResult::Refused => return ProcessState::Exited,
            ConnectResult::NoAnswer => return ProcessState::Unreachable,
            ConnectResult::Reset => {}
            ConnectResult::Connected(mut stream) => {
                // An error means that the connection was reset, which counts as closed too.
                let closed = timeout(EXIT_TIMEOUT, stream.read(&mut [0])).await;
                if closed.is_err() {
                    match try_connect(address).await {
                        ConnectResult::Refused => return ProcessState::Exited,
                        ConnectResult::Connected(newer) => return ProcessState::Open(newer),
                        ConnectResult::NoAnswer => return ProcessState::Unreachable,
                        ConnectResult::Reset => {}
                    }
                }
            }
        }
        if Instant::now() >= until {
            return ProcessState::Closing;
        }
        tokio::time::sleep(reconnect_delay).await;
    }
}

/// Result of a connection attempt to a server.
enum ConnectResult {
    Refused,
    /// Reset during connection setup. The process may or may not still be listening.
    Reset,
    Connected(TcpStream),
    /// Time-out, or an error that doesn't show whether the process is running.
    NoAnswer,
}

async fn try_connect(address: &str) -> ConnectResult {
    match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => ConnectResult::Connected(stream),
        Ok(Err(cause)) if cause.kind() == ErrorKind::ConnectionRefused => ConnectResult::Refused,
        Ok(Err(cause)) if cause.kind() == ErrorKind::ConnectionReset => ConnectResult::Reset,
        Ok(Err(cause)) => {
            tracing::info!(address, %cause, "server crash check failed: cannot connect");
            ConnectResult::NoAnswer
        }
        Err(_elapsed) => ConnectResult::NoAnswer,
    }
}
