//! Monotonic time as the decision modules see it.
//!
//! Nothing in this library reads a clock. Every machine takes the present as an
//! argument, so that the daemon, scripted scenarios and seeded runs drive the same
//! code. A [`Time`] counts microseconds since an arbitrary start that is fixed for
//! the life of one process; it never compares with another process's.

use std::fmt;
use std::ops::Add;
use std::time::Duration;

/// A point of monotonic time, in microseconds since the process's own start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(u64);

impl Time {
    /// The start of the process's own time line.
    pub const ZERO: Self = Self(0);
    /// A time that no process reaches; for "no limit".
    pub const MAX: Self = Self(u64::MAX);

    /// Makes a time from whole microseconds.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Makes a time from whole milliseconds.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Microseconds since the start.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// How long ago `earlier` was; zero if it lies ahead.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// How long until `later`; zero if it has passed.
    pub const fn until(self, later: Self) -> Duration {
        later.since(self)
    }
}

impl Add<Duration> for Time {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

impl fmt::Display for Time {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:06}s", self.0 / 1_000_000, self.0 % 1_000_000)
    }
}
