//! Exchanges between boxes, over `nng`'s request and reply sockets.
//!
//! One exchange is one request and its reply over a connection of its own. The calls block
//! and are made on threads of their own, never on the traffic threads.

use std::net::SocketAddr;
use std::time::Duration;

use nng::Listener;
use nng::Message;
use nng::Protocol;
use nng::Socket;
use nng::options::LocalAddr;
use nng::options::Options;
use nng::options::RecvMaxSize;
use nng::options::RecvTimeout;
use nng::options::SendTimeout;

/// Why an exchange came to nothing.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("no exchange with {address}: {cause}")]
pub struct PeerError {
    address: String,
    cause: String,
}

impl PeerError {
    fn new(address: &str, cause: &dyn std::fmt::Display) -> Self {
        Self {
            address: address.to_owned(),
            cause: cause.to_string(),
        }
    }
}

/// What badgerferry asks of the way to a peer.
pub trait Peer {
    /// Sends a frame and gives back the peer's. Blocks.
    ///
    /// # Errors
    ///
    /// No answer came in time.
    fn exchange(&self, address: &str, frame: &[u8]) -> Result<Vec<u8>, PeerError>;
}

/// Peers over `nng`.
#[derive(Debug, Clone, Copy)]
pub struct NngPeer {
    /// Longest exchange.
    pub timeout: Duration,
    /// Largest frame, in bytes.
    pub max_frame: usize,
}

impl NngPeer {
    fn try_exchange(self, address: &str, frame: &[u8]) -> Result<Vec<u8>, nng::Error> {
        let socket = Socket::new(Protocol::Req0)?;
        socket.set_opt::<RecvMaxSize>(self.max_frame)?;
        socket.set_opt::<SendTimeout>(Some(self.timeout))?;
        socket.set_opt::<RecvTimeout>(Some(self.timeout))?;
        // Dialing in the background lets the send's time limit cover the connection too.
        socket.dial_async(&format!("tcp://{address}"))?;
        socket
            .send(Message::from(frame))
            .map_err(|(_frame, cause)| cause)?;
        let answer = socket.recv()?;
        Ok(answer.to_vec())
    }
}

impl Peer for NngPeer {
    fn exchange(&self, address: &str, frame: &[u8]) -> Result<Vec<u8>, PeerError> {
        let answer = self.try_exchange(address, frame);
        answer.map_err(|cause| PeerError::new(address, &cause))
    }
}

/// Where peers reach this box.
#[derive(Debug)]
pub struct PeerListener {
    socket: Socket,
    // Held because dropping it closes the listening socket.
    _listener: Listener,
    address: SocketAddr,
}

impl PeerListener {
    /// Listens on an address; port 0 takes a free one.
    ///
    /// # Errors
    ///
    /// The address can't be listened on.
    pub fn bind(address: SocketAddr, max_frame: usize) -> Result<Self, PeerError> {
        let failed = |cause: nng::Error| PeerError::new(&address.to_string(), &cause);
        let socket = Socket::new(Protocol::Rep0).map_err(failed)?;
        socket.set_opt::<RecvMaxSize>(max_frame).map_err(failed)?;
        let listener = Listener::new(&socket, &format!("tcp://{address}")).map_err(failed)?;
        let local = listener.get_opt::<LocalAddr>().map_err(failed)?;
        // The library gives the port in network order.
        let address = match local {
            nng::SocketAddr::Inet(found) => {
                SocketAddr::new((*found.ip()).into(), u16::from_be(found.port()))
            }
            nng::SocketAddr::Inet6(found) => {
                SocketAddr::new((*found.ip()).into(), u16::from_be(found.port()))
            }
            _ => address,
        };
        Ok(Self {
            socket,
            _listener: listener,
            address,
        })
    }

    /// The address that is listened on.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Answers frames until the process ends; a frame without an answer is dropped. Blocks.
    pub fn serve(&self, answer: impl Fn(&[u8]) -> Option<Vec<u8>>) {
        loop {
            let Ok(frame) = self.socket.recv() else {
                continue;
            };
            if let Some(reply) = answer(&frame) {
                // A peer that is gone by now will ask again.
                let _ = self.socket.send(Message::from(reply.as_slice()));
            }
        }
    }
}
