//! Circuit breaker: excludes a failing server, then probes it with one request.

use std::time::Duration;

use crate::time::Time;

/// Circuit breaker of one server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Breaker {
    /// Requests are sent to the server.
    #[default]
    Closed,
    /// Requests are sent. Number of consecutive failures, below the limit of the settings.
    Failing(u32),
    /// No requests until this time.
    Open(Time),
    /// One request in flight probes the server; no others are sent.
    HalfOpen,
}

impl Breaker {
    /// Whether a request may be sent to the server now.
    pub fn admits(self, now: Time) -> bool {
        match self {
            Self::Closed | Self::Failing(_) => true,
            Self::Open(until) => now >= until,
            Self::HalfOpen => false,
        }
    }

    /// Records that a request was sent. If the breaker was open, this request is the probe.
    pub const fn on_dispatch(&mut self) {
        if matches!(self, Self::Open(_)) {
            *self = Self::HalfOpen;
        }
    }

    /// Records a success, which closes the breaker.
    pub const fn on_success(&mut self) {
        *self = Self::Closed;
    }

    /// Records a failure. The breaker opens for `open_time` after `limit` consecutive failures, or
    /// if the probe failed. While it is open, failures of earlier requests do not extend the time.
    pub fn on_failure(&mut self, now: Time, limit: u32, open_time: Duration) {
        *self = match *self {
            Self::Closed if limit > 1 => Self::Failing(1),
            Self::Failing(count) if count + 1 < limit => Self::Failing(count + 1),
            Self::Open(until) if now < until => Self::Open(until),
            _ => Self::Open(now + open_time),
        };
    }

    /// Records that the probe ended without evidence about the server. The next request probes
    /// again.
    pub const fn on_inconclusive(&mut self, now: Time) {
        if matches!(self, Self::HalfOpen) {
            *self = Self::Open(now);
        }
    }
}
