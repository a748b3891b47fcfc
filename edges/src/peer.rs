//! Gossip exchanges between boxes, over the request and reply sockets of `nng`.
//!
//! An exchange is one request and its reply, over a new connection. The calls block, so they
//! run on dedicated threads, never on the traffic threads.

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

/// Failure of an exchange, or of listening for peers.
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

/// Transport of frames to a peer.
pub trait Peer {
    /// Sends a frame and returns the peer's reply. Blocks.
    ///
    /// # Errors
    ///
    /// The peer is unreachable, or no reply arrived in time.
    fn exchange(&self, address: &str, frame: &[u8]) -> Result<Vec<u8>, PeerError>;
}

/// Transport over `nng`.
#[derive(Debug, Clone, Copy)]
pub struct NngPeer {
    /// Time limit of sending, which includes connecting, and of receiving.
    pub timeout: Duration,
    /// Maximum size of a received frame, in bytes.
    pub max_frame: usize,
}

impl NngPeer {
    fn try_exchange(self, address: &str, frame: &[u8]) -> Result<Vec<u8>, nng::Error> {
        let socket = Socket::new(Protocol::Req0)?;
        socket.set_opt::<RecvMaxSize>(self.max_frame)?;
        socket.set_opt::<SendTimeout>(Some(self.timeout))?;
        socket.set_opt::<RecvTimeout>(Some(self.timeout))?;
        // With a background dial, the time limit of `send` also covers connecting.
        socket.dial_async(&format!("tcp://{address}"))?;
        socket
            .send(Message::from(frame))
            .map_err(|(_frame, cause)| cause)?;
        let reply = socket.recv()?;
        Ok(reply.to_vec())
    }
}

impl Peer for NngPeer {
    fn exchange(&self, address: &str, frame: &[u8]) -> Result<Vec<u8>, PeerError> {
        let reply = self.try_exchange(address, frame);
        reply.map_err(|cause| PeerError::new(address, &cause))
    }
}

/// Socket on which this box receives the frames of peers.
#[derive(Debug)]
pub struct PeerListener {
    socket: Socket,
    // Kept because dropping it closes the listening socket.
    _listener: Listener,
    address: SocketAddr,
}

impl PeerListener {
    /// Listens on an address; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// The socket can't be created or bound to the address.
    pub fn bind(address: SocketAddr, max_frame: usize) -> Result<Self, PeerError> {
        let to_error = |cause: nng::Error| PeerError::new(&address.to_string(), &cause);
        let socket = Socket::new(Protocol::Rep0).map_err(to_error)?;
        socket.set_opt::<RecvMaxSize>(max_frame).map_err(to_error)?;
        let listener = Listener::new(&socket, &format!("tcp://{address}")).map_err(to_error)?;
        let bound = listener.get_opt::<LocalAddr>().map_err(to_error)?;
        // `nng` returns the port in network byte order.
        let address = match bound {
            nng::SocketAddr::Inet(inet) => {
                SocketAddr::new((*inet.ip()).into(), u16::from_be(inet.port()))
            }
            nng::SocketAddr::Inet6(inet) => {
                SocketAddr::new((*inet.ip()).into(), u16::from_be(inet.port()))
            }
            _ => address,
        };
        Ok(Self {
            socket,
            _listener: listener,
            address,
        })
    }

    /// Returns the address on which the socket listens.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replies to frames until the process ends; a frame for which `respond` returns `None` gets no
    /// reply. Blocks.
    pub fn serve(&self, respond: impl Fn(&[u8]) -> Option<Vec<u8>>) {
        loop {
            let Ok(frame) = self.socket.recv() else {
                continue;
            };
            if let Some(reply) = respond(&frame) {
                // A peer that misses the reply repeats the exchange.
                let _ = self.socket.send(Message::from(reply.as_slice()));
            }
        }
    }
}
