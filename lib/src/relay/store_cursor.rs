//! How far a box has read the platform's store, and what it asks for next.

use crate::relay::store_position::StorePosition;

/// What a box asks the store for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreRead {
    /// All that it holds.
    Full,
    /// What changed since a position.
    ChangesSince(StorePosition),
}

/// How far a box has read.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StoreCursor {
    position: Option<StorePosition>,
}

impl StoreCursor {
    /// What to ask for next.
    pub const fn next(&self) -> StoreRead {
        match self.position {
            None => StoreRead::Full,
            Some(position) => StoreRead::ChangesSince(position),
        }
    }

    /// Where it has read to; none where all must be read.
    pub const fn position(&self) -> Option<StorePosition> {
        self.position
    }

    /// The store answered, as of a position.
    pub const fn advance_to(&mut self, to: StorePosition) {
        self.position = Some(to);
    }

    /// The history since the position is gone, or of another era: all must be read.
    pub const fn reset(&mut self) {
        self.position = None;
    }

    /// What neighbours pass on is known up to here: it goes on from there, should it ask the store again.
    pub fn raise_to(&mut self, to: StorePosition) {
        self.position = self.position.max(Some(to));
    }
}
