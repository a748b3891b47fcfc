//! Joins the event streams of one or more runs into one answer.
//!
//! Only whole events are passed on. When a run breaks, its unfinished event is dropped, and
//! the next run continues after the last whole one. Ids must rise by one: anything else is an
//! event lost or repeated by the server, and the run can't be used any more.

use bytes::Bytes;
use bytes::BytesMut;

/// Largest event, in bytes; the users' hold a few hundred.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Why a run can't be continued.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum EventJoinError {
    /// An event skips others or comes a second time.
    #[error("event {found} follows event {last}")]
    OutOfOrder {
        /// Id of the last event passed on.
        last: u64,
        /// Id that came.
        found: u64,
    },
    /// An event has no id that is a number.
    #[error("an event has no id")]
    MissingId,
    /// An event is larger than any that is sent.
    #[error("an event has over {MAX_EVENT_BYTES} bytes")]
    EventTooLarge,
}

/// The joined answer of one call.
#[derive(Debug, Clone, Default)]
pub struct EventJoin {
    partial: BytesMut,
    last: Option<u64>,
    passed: u64,
}

impl EventJoin {
    /// A join that begins after this event, where the caller resumes an earlier answer.
    pub fn after(last: Option<u64>) -> Self {
        Self {
            last,
            ..Self::default()
        }
    }

    /// Id of the last whole event, from which another run may continue.
    pub const fn last(&self) -> Option<u64> {
        self.last
    }

    /// Events passed on in this answer.
    pub const fn passed(&self) -> u64 {
        self.passed
    }

    /// Forgets the unfinished event of a run that broke.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }

    /// Whether the run stopped inside an event.
    pub fn is_inside_event(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Takes bytes of the current run and gives back the whole events in them.
    ///
    /// # Errors
    ///
    /// The run can't be used any more; what it gave before stands.
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
        let whole = self.partial.split_to(end).freeze();
        let mut rest = &whole[..];
        while !rest.is_empty() {
            let end = first_event_end(rest).unwrap_or(rest.len());
            self.check(&rest[..end])?;
            rest = &rest[end..];
        }
        Ok(whole)
    }

    fn check(&mut self, event: &[u8]) -> Result<(), EventJoinError> {
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
        self.passed += 1;
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
