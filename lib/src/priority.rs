//! Priorities and ranks of requests.
//!
//! Operators give each class one of three priorities. Servers get a [`Rank`], which combines the
//! priority with whether the prompt is long: a short prompt is served before a long one of the same
//! priority, and a normal short one also before an urgent long one.

use std::time::Duration;

use crate::time::Time;

/// Priority from the settings of a request's class.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Priority {
    /// A user is waiting for the response.
    Urgent,
    /// The default priority.
    #[default]
    Normal,
    /// Served after all other requests.
    Batch,
}

impl Priority {
    /// Parses the value in the settings; any unknown value is normal.
    pub fn from_setting(value: &str) -> Self {
        match value {
            "urgent" => Self::Urgent,
            "batch" => Self::Batch,
            _ => Self::Normal,
        }
    }

    /// The value in the settings.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Urgent => "urgent",
            Self::Normal => "normal",
            Self::Batch => "batch",
        }
    }

    /// The priority after waiting since `arrived`: one level higher per `ageing`.
    #[must_use]
    pub fn aged(self, arrived: Time, now: Time, ageing: Duration) -> Self {
        let steps = now.since(arrived).as_micros() / ageing.as_micros().max(1);
        match (self, steps) {
            (Self::Batch, 1) => Self::Normal,
            (Self::Batch, 2..) | (Self::Normal, 1..) => Self::Urgent,
            (priority, _) => priority,
        }
    }

    /// The rank of a request of this priority; `long` states whether its prompt is long.
    pub const fn rank(self, long: bool) -> Rank {
        match (self, long) {
            (Self::Urgent, false) => Rank(0),
            (Self::Normal, false) => Rank(1),
            (Self::Urgent, true) => Rank(2),
            (Self::Normal, true) => Rank(3),
            (Self::Batch, false) => Rank(4),
            (Self::Batch, true) => Rank(5),
        }
    }
}

/// Number of ranks.
pub const RANK_COUNT: usize = 6;

/// Scheduling rank at a server; lower ranks are served first.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Rank(u8);

impl Rank {
    /// Decodes a rank from the wire; a number out of range becomes the last rank.
    pub const fn from_wire(number: u8) -> Self {
        if (number as usize) < RANK_COUNT {
            Self(number)
        } else {
            Self(RANK_COUNT as u8 - 1)
        }
    }

    /// The rank as a number, for the wire and as an index.
    pub const fn index(self) -> usize {
        self.0 as usize
    }
}
