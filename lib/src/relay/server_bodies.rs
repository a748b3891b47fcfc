//! Bounds the request bodies that a box sends to one server before the server has read them.
//!
//! What a server can hold is unknown, so it gets no more unread bytes than it has shown to read:
//! the bound starts low, doubles with what the server has read, and falls back once the server
//! stops reading. One body may always be sent, or a server that reads slowly would get none.

use std::collections::HashMap;

use crate::ids::ServerName;

/// Unread bytes that may be sent to a server that has read nothing yet.
const INITIAL_WINDOW: u64 = 256 << 10;
/// One server may leave this fraction of a box's request bodies unread.
const SERVER_FRACTION: u64 = 4;
/// Servers without unread bytes are forgotten beyond this number.
const MAX_SERVERS: usize = 1_024;

#[derive(Debug, Default)]
struct Flow {
    /// Bytes of bodies that are being sent.
    unread: u64,
    /// Most bytes that were being sent at once when a body had been read.
    proven: u64,
}

/// Bodies that are being sent, by server.
#[derive(Debug, Default)]
pub struct ServerBodies {
    /// Largest window; `None` if the memory of the box, and so the window, is not limited.
    max_window: Option<u64>,
    flows: HashMap<ServerName, Flow>,
}

impl ServerBodies {
    /// No bodies; `side` is the bound on request bodies that the box holds.
    pub fn new(side: Option<u64>) -> Self {
        Self {
            max_window: side.map(|side| side / SERVER_FRACTION),
            flows: HashMap::new(),
        }
    }

    /// Counts a body as being sent, if the server's window has room for it.
    pub fn try_send(&mut self, server: &ServerName, bytes: u64) -> bool {
        let Some(max_window) = self.max_window else {
            return true;
        };
        if self.flows.len() >= MAX_SERVERS {
            self.flows.retain(|_, flow| flow.unread > 0);
        }
        let flow = self.flows.entry(server.clone()).or_default();
        let window = (flow.proven * 2).max(INITIAL_WINDOW).min(max_window);
        let has_room = flow.unread == 0 || flow.unread + bytes <= window;
        if has_room {
            flow.unread += bytes;
        }
        has_room
    }

    /// The server has read a body.
    pub fn body_read(&mut self, server: &ServerName, bytes: u64) {
        if let Some(flow) = self.flows.get_mut(server) {
            flow.proven = flow.proven.max(flow.unread);
            flow.unread -= bytes;
        }
    }

    /// A body was not sent after all.
    pub fn body_not_sent(&mut self, server: &ServerName, bytes: u64) {
        if let Some(flow) = self.flows.get_mut(server) {
            flow.unread -= bytes;
        }
    }

    /// A body was discarded before the server had read it.
    pub fn body_unread(&mut self, server: &ServerName, bytes: u64) {
        if let Some(flow) = self.flows.get_mut(server) {
            flow.proven = 0;
            flow.unread -= bytes;
        }
    }
}
