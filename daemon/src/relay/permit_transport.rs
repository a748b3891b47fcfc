//! Transport of permit datagrams: the send queue, and the requests that await a response.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;

use badgerferry_lib::relay::permit_wire::PermitDecision;
use badgerferry_lib::relay::permit_wire::PermitFrame;
use badgerferry_lib::relay::permit_wire::PermitResponse;
use metrics::counter;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::traffic::lock;

/// Capacity of the send queue: at most a few milliseconds of traffic.
const MAX_UNSENT: usize = 256;

/// A datagram in the send queue.
#[derive(Debug)]
pub struct OutgoingDatagram {
    /// Destination.
    pub to: SocketAddr,
    /// Encoded frame.
    pub bytes: Vec<u8>,
}

/// Connects the threads that request permits to the thread that owns the socket, which sends the
/// datagrams and receives the responses.
#[derive(Debug)]
pub struct PermitTransport {
    tx: mpsc::Sender<OutgoingDatagram>,
    /// Taken once by the thread that owns the socket.
    rx: Mutex<Option<mpsc::Receiver<OutgoingDatagram>>>,
    /// Requests that await a response, by ID.
    pending: Mutex<HashMap<u64, oneshot::Sender<PermitDecision>>>,
}

impl Default for PermitTransport {
    fn default() -> Self {
        let (tx, rx) = mpsc::channel(MAX_UNSENT);
        Self {
            tx,
            rx: Mutex::new(Some(rx)),
            pending: Mutex::default(),
        }
    }
}

impl PermitTransport {
    /// Queues a frame. It is dropped if the queue is full, like any datagram that gets lost.
    pub fn send(&self, to: SocketAddr, frame: &PermitFrame) {
        let bytes = frame.encode();
        if self.tx.try_send(OutgoingDatagram { to, bytes }).is_err() {
            counter!("badgerferry_datagrams_dropped_total", "why" => "not_sent").increment(1);
        }
    }

    /// Returns the receiving end of the send queue on the first call, `None` afterwards.
    pub fn take_outgoing(&self) -> Option<mpsc::Receiver<OutgoingDatagram>> {
        lock(&self.rx).take()
    }

    /// Registers a request that awaits a response. Replaces an earlier registration of the same ID.
    pub fn register(&self, id: u64) -> oneshot::Receiver<PermitDecision> {
        let (tx, rx) = oneshot::channel();
        lock(&self.pending).insert(id, tx);
        rx
    }

    /// Removes the registration of a request.
    pub fn cancel(&self, id: u64) {
        lock(&self.pending).remove(&id);
    }

    /// Delivers a response to its pending request. A response without one is late and is ignored.
    pub fn deliver(&self, response: PermitResponse) {
        let sender = lock(&self.pending).remove(&response.id);
        // The requesting call may have ended.
        let _ = sender.map(|tx| tx.send(response.decision));
    }
}
