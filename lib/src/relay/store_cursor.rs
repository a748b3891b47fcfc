//! Read position of a box in the platform's store, and the next read to issue.

use crate::relay::store_position::StorePosition;

/// Next read from the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreRead {
    /// All contents.
    Full,
    /// Changes since a position.
    ChangesSince(StorePosition),
}

/// Read position of a box.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StoreCursor {
    position: Option<StorePosition>,
}

impl StoreCursor {
    /// The next read to issue.
    pub const fn next(&self) -> StoreRead {
        match self.position {
            None => StoreRead::Full,
            Some(position) => StoreRead::ChangesSince(position),
        }
    }

    /// Position up to which the store was read; `None` if a full read is needed.
    pub const fn position(&self) -> Option<StorePosition> {
        self.position
    }

    /// Records a completed read as of a position.
    pub const fn advance_to(&mut self, to: StorePosition) {
        self.position = Some(to);
    }

    /// Requires a full read: the history since the position is lost, or is of another era.
    pub const fn reset(&mut self) {
        self.position = None;
    }

    /// Advances to a position known from peers, if it is newer. The next read of the store
    /// continues from there.
    pub fn raise_to(&mut self, to: StorePosition) {
        self.position = self.position.max(Some(to));
    }
}
