//! Position in the history of the platform's store.
//!
//! The store numbers its revisions. If it is restored from a backup, which is some seconds old, it
//! assigns the same revisions again, under a new era. A revision alone is therefore not ordered:
//! everything that is read from the store, sent to peers or kept carries the era as well. A store
//! that reports no era stays in a single one.

use std::fmt::Display;

use serde::Deserialize;
use serde::Serialize;

/// Era and revision of the store; ordered by age, newest last.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct StorePosition {
    /// Increases each time the store is restored from a backup.
    pub era: u64,
    /// Increases with each change within an era.
    pub revision: u64,
}

impl StorePosition {
    /// Position of another revision in the same era.
    #[must_use]
    pub const fn with_revision(self, revision: u64) -> Self {
        Self { revision, ..self }
    }

    /// Whether both positions belong to the same history, so that their revisions can be compared.
    pub const fn shares_era_with(self, other: Self) -> bool {
        self.era == other.era
    }
}

impl Display for StorePosition {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} in era {}", self.revision, self.era)
    }
}
