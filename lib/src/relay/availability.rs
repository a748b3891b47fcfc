//! Whether a server takes a call, by what the server itself said.

/// Whether a server takes calls; of several states the last one counts.
///
/// These are the server's own statements. What a box concludes by itself, from failures or from
/// silence, is a preference of [`crate::relay::server_tracker`] and gives way where nothing else is left;
/// this never does.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Availability {
    /// It says nothing against it.
    #[default]
    Open,
    /// It takes so many from all boxes; each asks first.
    Limited,
    /// It turned other boxes away, or one call of this box tries it again: others come first.
    Shedding,
    /// There is no room for a call of this box for a while.
    Closed,
    /// It asked this box for a pause.
    BackOff,
    /// It leaves: nothing new goes there in this life.
    Leaving,
}

impl Availability {
    /// Whether a call may be sent there.
    pub const fn accepts_calls(self) -> bool {
        match self {
            Self::Open | Self::Limited | Self::Shedding => true,
            Self::Closed | Self::BackOff | Self::Leaving => false,
        }
    }

    /// Whether it may have a part in another server's call: a limit counts calls alone.
    pub const fn accepts_parts(self) -> bool {
        match self {
            Self::Open | Self::Limited | Self::Shedding | Self::Closed => true,
            Self::BackOff | Self::Leaving => false,
        }
    }
}
