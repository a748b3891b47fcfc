//! Which sends of a call may still reach a server.
//!
//! The retry budget bounds the arrivals past the first of each call, by the time at which servers read
//! them. A server that stands still reads a call long after it was sent, possibly after a retry of the
//! call has arrived elsewhere. So a retry counts as about to arrive until as many sends of its call are
//! known to be over: read by their servers, or with a connection that has ended.

/// Sends of one call.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CallSends {
    /// Sends that are over.
    over: u32,
    /// Retries that may still arrive.
    pending_retries: u32,
}

impl CallSends {
    /// Records that a retry is sent.
    pub const fn send_retry(&mut self) {
        self.pending_retries += 1;
    }

    /// Records that the last retry did not reach its server.
    pub const fn undo_send(&mut self) {
        self.pending_retries = self.pending_retries.saturating_sub(1);
    }

    /// Records that a send is over. Returns whether a retry has thereby arrived: the first arrival of a
    /// call is none.
    pub const fn end_send(&mut self) -> bool {
        self.over += 1;
        let has_arrived = self.over > 1 && self.pending_retries > 0;
        if has_arrived {
            self.pending_retries -= 1;
        }
        has_arrived
    }
}
