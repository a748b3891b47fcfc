//! Questions of this box to others that wait for their answers.

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

/// Datagrams that wait to be sent: some milliseconds' worth at the most.
const MAX_UNSENT: usize = 256;

/// A datagram on its way out.
#[derive(Debug)]
pub struct OutgoingDatagram {
    /// Where to.
    pub to: SocketAddr,
    /// What.
    pub bytes: Vec<u8>,
}

/// Datagrams go out on the thread that owns the socket, and answers come in there.
#[derive(Debug)]
pub struct PermitTransport {
    tx: mpsc::Sender<OutgoingDatagram>,
    /// Taken by the thread that sends.
    rx: Mutex<Option<mpsc::Receiver<OutgoingDatagram>>>,
    expected: Mutex<HashMap<u64, oneshot::Sender<PermitDecision>>>,
}

impl Default for PermitTransport {
    fn default() -> Self {
        let (tx, rx) = mpsc::channel(MAX_UNSENT);
        Self {
            tx,
            rx: Mutex::new(Some(rx)),
            expected: Mutex::default(),
        }
    }
}

impl PermitTransport {
    /// Sends a frame; one for which there is no room is lost like any datagram.
    pub fn send(&self, to: SocketAddr, frame: &PermitFrame) {
        let bytes = frame.encode();
        if self.tx.try_send(OutgoingDatagram { to, bytes }).is_err() {
            counter!("badgerferry_datagrams_dropped_total", "why" => "not_sent").increment(1);
        }
    }

    /// What goes out; once.
    pub fn take_outgoing(&self) -> Option<mpsc::Receiver<OutgoingDatagram>> {
        lock(&self.rx).take()
    }

    /// Waits for an answer, in place of who waited for it before.
    pub fn register(&self, id: u64) -> oneshot::Receiver<PermitDecision> {
        let (tx, rx) = oneshot::channel();
        lock(&self.expected).insert(id, tx);
        rx
    }

    /// Waits for it no more.
    pub fn cancel(&self, id: u64) {
        lock(&self.expected).remove(&id);
    }

    /// Takes an answer; one that nobody waits for came too late.
    pub fn deliver(&self, answer: PermitResponse) {
        let waits = lock(&self.expected).remove(&answer.id);
        // Whoever asked may have left.
        let _ = waits.map(|tx| tx.send(answer.decision));
    }
}
