//! Rests a server that fails, and tries it again with one request.

use std::time::Duration;

use crate::time::Time;

/// Whether a server gets work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Breaker {
    /// Work goes there.
    #[default]
    Closed,
    /// Failures in a row so far, fewer than the setting.
    Failing(u32),
    /// No work until this time.
    Open(Time),
    /// One request is trying it.
    HalfOpen,
}

impl Breaker {
    /// Whether a request may go there now.
    pub fn admits(self, now: Time) -> bool {
        match self {
            Self::Closed | Self::Failing(_) => true,
            Self::Open(until) => now >= until,
            Self::HalfOpen => false,
        }
    }

    /// Records that a request went there.
    pub const fn on_dispatch(&mut self) {
        if matches!(self, Self::Open(_)) {
            *self = Self::HalfOpen;
        }
    }

    /// Records a success.
    pub const fn on_success(&mut self) {
        *self = Self::Closed;
    }

    /// Records a failure.
    pub fn on_failure(&mut self, now: Time, limit: u32, open_time: Duration) {
        *self = match *self {
            Self::Closed if limit > 1 => Self::Failing(1),
            Self::Failing(count) if count + 1 < limit => Self::Failing(count + 1),
            Self::Open(until) if now < until => Self::Open(until),
            _ => Self::Open(now + open_time),
        };
    }

    /// Records that the request that tried it ended without saying anything of it.
    pub const fn on_inconclusive(&mut self, now: Time) {
        if matches!(self, Self::HalfOpen) {
            *self = Self::Open(now);
        }
    }
}
