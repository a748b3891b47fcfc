//! Order among requests.
//!
//! Operators give a class one of three priorities. What a server sees is a [`Rank`]:
//! the priority joined with whether the prompt is long, because a short call is worth
//! serving before a long one of the same or the next higher priority.

use std::time::Duration;

use crate::time::Time;

/// The priority that a class's settings give.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Priority {
    /// Someone waits for it right now.
    Urgent,
    /// The default.
    #[default]
    Normal,
    /// Gives way to everything else.
    Batch,
}

impl Priority {
    /// Reads the settings' word; anything else is normal.
    pub fn from_setting(word: &str) -> Self {
        match word {
            "urgent" => Self::Urgent,
            "batch" => Self::Batch,
            _ => Self::Normal,
        }
    }

    /// The settings' word.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Urgent => "urgent",
            Self::Normal => "normal",
            Self::Batch => "batch",
        }
    }

    /// The priority after waiting since `arrived`: one step up per `ageing`.
    #[must_use]
    pub fn aged(self, arrived: Time, now: Time, ageing: Duration) -> Self {
        let steps = now.since(arrived).as_micros() / ageing.as_micros().max(1);
        match (self, steps) {
            (Self::Batch, 1) => Self::Normal,
            (Self::Batch, 2..) | (Self::Normal, 1..) => Self::Urgent,
            (own, _) => own,
        }
    }

    /// The rank of a prompt of this priority.
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

/// Ranks that there are.
pub const RANK_COUNT: usize = 6;

/// Order at a server; a lower number is served first.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Rank(u8);

impl Rank {
    /// Reads a rank from the wire; numbers out of range are the last rank.
    pub const fn from_wire(number: u8) -> Self {
        if (number as usize) < RANK_COUNT {
            Self(number)
        } else {
            Self(RANK_COUNT as u8 - 1)
        }
    }

    /// The number for the wire and for indexing.
    pub const fn index(self) -> usize {
        self.0 as usize
    }
}
