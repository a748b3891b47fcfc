//! Monotonic time of the decision modules.
//!
//! This library reads no clock. Every state machine gets the current time as an argument, so that
//! the daemon, scripted scenarios and seeded simulations run the same code. A [`Time`] counts
//! microseconds from an arbitrary origin that is fixed for the lifetime of one process. Times of
//! different processes can't be compared.

use std::fmt;
use std::ops::Add;
use std::time::Duration;

/// A point of monotonic time, in microseconds since the origin of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(u64);

impl Time {
    /// The origin of the process's monotonic time.
    pub const ZERO: Self = Self(0);
    /// A time that no process reaches; means "no limit".
    pub const MAX: Self = Self(u64::MAX);

    /// Creates a time from microseconds since the origin.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Creates a time from milliseconds since the origin.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Microseconds since the origin.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Time elapsed since `earlier`; zero if `earlier` is in the future.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Time remaining until `later`; zero if it has passed.
    pub const fn until(self, later: Self) -> Duration {
        later.since(self)
    }
}

impl Add<Duration> for Time {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

impl fmt::Display for Time {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:06}s", self.0 / 1_000_000, self.0 % 1_000_000)
    }
}
