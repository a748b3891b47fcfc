//! Joins the event streams of one or more attempts into one response.
//!
//! Only complete events are forwarded. When an attempt breaks off, its incomplete event is
//! discarded, and the next attempt continues after the last complete one. Event ids must increase
//! by one: any other id means that the server lost or repeated an event, and the attempt is no
//! longer usable.

use bytes::Bytes;
use bytes::BytesMut;

/// Size limit of an event, in bytes. Usual events have a few hundred.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Why the stream of an attempt is unusable.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum EventJoinError {
    /// An event was skipped or repeated.
    #[error("event ids out of order: {found} after {last}")]
    OutOfOrder {
        /// Id of the last accepted event.
        last: u64,
        /// Id of the event received.
        found: u64,
    },
    /// An event has no numeric id.
    #[error("event without a numeric id")]
    MissingId,
    /// An event exceeds the size limit.
    #[error("event larger than {MAX_EVENT_BYTES} bytes")]
    EventTooLarge,
}

/// Joined event stream of one call.
#[derive(Debug, Clone, Default)]
pub struct EventJoin {
    partial: BytesMut,
    last: Option<u64>,
    event_count: u64,
}

impl EventJoin {
    /// A stream that starts after this event id, for a caller that resumes an earlier response.
    pub fn after(last: Option<u64>) -> Self {
        Self {
            last,
            ..Self::default()
        }
    }

    /// Id of the last complete event, after which another attempt may continue.
    pub const fn last(&self) -> Option<u64> {
        self.last
    }

    /// Number of complete events received so far, without comments.
    pub const fn event_count(&self) -> u64 {
        self.event_count
    }

    /// Discards the incomplete event of an attempt that broke off.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }

    /// Whether the bytes received end inside an event.
    pub fn is_inside_event(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Appends bytes of the current attempt and returns the events that they complete.
    ///
    /// # Errors
    ///
    /// The stream of the attempt is unusable. Events returned earlier stay valid.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, EventJoinError> {
        let from = self.partial.len().saturating_sub(3);
        self.partial.extend_from_slice(bytes);
        let Some(end) = last_event_end(&self.partial, from) else {
            return if self.partial.len() > MAX_EVENT_BYTES {
                Err(EventJoinError::EventTooLarge)
            } else {
                Ok(Bytes::new())
            };
        };
        let complete = self.partial.split_to(end).freeze();
        let mut rest = &complete[..];
        while !rest.is_empty() {
            let end = first_event_end(rest).unwrap_or(rest.len());
            self.check_order(&rest[..end])?;
            rest = &rest[end..];
        }
        Ok(complete)
    }

    fn check_order(&mut self, event: &[u8]) -> Result<(), EventJoinError> {
        let Some(found) = event_id(event) else {
            return if is_comment(event) {
                Ok(())
            } else {
                Err(EventJoinError::MissingId)
            };
        };
        if let Some(last) = self.last.filter(|last| found != last + 1) {
            return Err(EventJoinError::OutOfOrder { last, found });
        }
        self.last = Some(found);
        self.event_count += 1;
        Ok(())
    }
}

fn event_end_at(bytes: &[u8], at: usize) -> Option<usize> {
    match bytes.get(at..) {
        Some([b'\n', b'\n', ..]) => Some(at + 2),
        Some([b'\n', b'\r', b'\n', ..]) => Some(at + 3),
        _ => None,
    }
}

fn first_event_end(bytes: &[u8]) -> Option<usize> {
    (0..bytes.len()).find_map(|at| event_end_at(bytes, at))
}

fn last_event_end(bytes: &[u8], from: usize) -> Option<usize> {
    (from..bytes.len())
        .rev()
        .find_map(|at| event_end_at(bytes, at))
}

fn event_id(event: &[u8]) -> Option<u64> {
    let line = event
        .split(|&byte| byte == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}

fn is_comment(event: &[u8]) -> bool {
    event
        .split(|&byte| byte == b'\n')
        .all(|line| line.is_empty() || line == b"\r" || line.starts_with(b":"))
}
