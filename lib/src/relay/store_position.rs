//! A place in the history of the platform's store.
//!
//! The store counts revisions, and may come back from a copy that is some seconds old: then it gives
//! revisions out again, under a new era. So a revision alone orders nothing; what is read, told or
//! remembered of the store carries the era as well. A store that tells no era has one.

use std::fmt::Display;

use serde::Deserialize;
use serde::Serialize;

/// A revision of the store, and the era that it belongs to; later ones are greater.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct StorePosition {
    /// Rises each time the store comes back from a copy.
    pub era: u64,
    /// Rises with each change within an era.
    pub revision: u64,
}

impl StorePosition {
    /// A revision of this position's era.
    #[must_use]
    pub const fn at(self, revision: u64) -> Self {
        Self { revision, ..self }
    }

    /// Whether a revision after this one may be a change of the same history.
    pub const fn shares_era_with(self, other: Self) -> bool {
        self.era == other.era
    }
}

impl Display for StorePosition {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} in era {}", self.revision, self.era)
    }
}
