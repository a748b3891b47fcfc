//! Whether the caller of a call in progress is still there.
//!
//! A call ends with the connection of its caller. Each such end is logged once, by the connection; from then
//! on the call counts as one without a caller, until nothing is done for it any more.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use badgerferry_lib::time::Time;

use crate::relay::call_log;
use crate::relay::state::Relay;
use crate::traffic::lock;

/// How far a call is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallPhase {
    /// Its request is being read.
    Reading,
    /// Its response has not begun.
    Waiting,
    /// Its response has begun.
    Responding,
}

impl CallPhase {
    /// Name in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Reading => "reading",
            Self::Waiting => "waiting",
            Self::Responding => "responding",
        }
    }
}

/// How the end of a caller's connection was noticed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DepartureSign {
    /// The end of its input was read.
    EndOfInput,
    /// The system reported an end that is behind unread bytes.
    EndBehindUnread,
    /// The connection failed.
    ConnectionFailed,
}

impl DepartureSign {
    /// Name in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::EndOfInput => "end_of_input",
            Self::EndBehindUnread => "end_behind_unread",
            Self::ConnectionFailed => "connection_failed",
        }
    }
}

/// Presence of the caller of one call. It is dropped once nothing is done for the call any more.
#[derive(Debug)]
pub struct CallerPresence {
    relay: Arc<Relay>,
    /// Id of the call, once its head is parsed.
    id: OnceLock<String>,
    phase: Mutex<CallPhase>,
    /// When the request head was read.
    arrived: Time,
    has_left: AtomicBool,
}

impl CallerPresence {
    /// Caller of a call whose request head has been read.
    pub fn new(relay: &Arc<Relay>) -> Arc<Self> {
        Arc::new(Self {
            relay: Arc::clone(relay),
            id: OnceLock::new(),
            phase: Mutex::new(CallPhase::Reading),
            arrived: relay.clock.now(),
            has_left: AtomicBool::new(false),
        })
    }

    /// Records the id of the call.
    pub fn set_id(&self, id: &str) {
        self.id.get_or_init(|| id.to_owned());
    }

    /// Id of the call, or `-`.
    pub fn id(&self) -> &str {
        self.id.get().map_or("-", |id| id)
    }

    /// Records how far the call is.
    pub fn set_phase(&self, phase: CallPhase) {
        *lock(&self.phase) = phase;
    }

    /// How far the call is.
    pub fn phase(&self) -> CallPhase {
        *lock(&self.phase)
    }

    /// Logs that the caller has left, and counts the call as one without a caller.
    pub fn record_departure(&self, sign: DepartureSign) {
        if self.has_left.swap(true, Ordering::SeqCst) {
            return;
        }
        self.relay
            .calls_without_caller
            .fetch_add(1, Ordering::SeqCst);
        let took = self.relay.clock.now().since(self.arrived);
        call_log::caller_left(self, sign, took);
    }
}

impl Drop for CallerPresence {
    fn drop(&mut self) {
        if *self.has_left.get_mut() {
            self.relay
                .calls_without_caller
                .fetch_sub(1, Ordering::SeqCst);
        }
    }
}
