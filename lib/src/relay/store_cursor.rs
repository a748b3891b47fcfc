//! How far a box has read the platform's store, and what it asks for next.

use crate::relay::store_position::StorePosition;

/// What a box asks the store for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ask {
    /// All that it holds.
    Everything,
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
    pub const fn next(&self) -> Ask {
        match self.position {
            None => Ask::Everything,
            Some(position) => Ask::ChangesSince(position),
        }
    }

    /// Where it has read to; none where all must be read.
    pub const fn position(&self) -> Option<StorePosition> {
        self.position
    }

    /// The store answered, as of a position.
    pub const fn has_read(&mut self, to: StorePosition) {
        self.position = Some(to);
    }

    /// The history since the position is gone, or of another era: all must be read.
    pub const fn lost_history(&mut self) {
        self.position = None;
    }

    /// What neighbours pass on is known up to here: it goes on from there, should it ask the store again.
    pub fn was_told(&mut self, to: StorePosition) {
        self.position = self.position.max(Some(to));
    }
}
