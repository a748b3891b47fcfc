//! Whether a server accepts calls, according to its own statements and those of the operator.

/// Whether a server accepts calls. If several states apply, the greatest one takes precedence.
///
/// Only statements of the server and of the operator count here, and no call is ever sent against
/// them. What a box infers from failures or timeouts is a mere preference of
/// [`crate::relay::server_tracker`], which is ignored if no other server is left.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Availability {
    /// Accepts calls without restriction.
    #[default]
    Open,
    /// Has a call limit shared by all boxes; each call needs a permit.
    Limited,
    /// Rejected calls of other boxes, or is being probed by a call of this box; other servers are
    /// preferred.
    Shedding,
    /// Its call limit has no permit left for this box for a while.
    Closed,
    /// Asked this box to pause.
    BackOff,
    /// Its data hall is evacuated by the operator: it gets no new work until the hall is restored.
    Evacuated,
    /// Is leaving: it gets no new work in this incarnation.
    Leaving,
}

impl Availability {
    /// Whether a call may be sent to the server.
    pub const fn accepts_calls(self) -> bool {
        match self {
            Self::Open | Self::Limited | Self::Shedding => true,
            Self::Closed | Self::BackOff | Self::Evacuated | Self::Leaving => false,
        }
    }

    /// Whether the server may process a prefill chunk for a call to another server. The call limit
    /// does not apply to chunks.
    pub const fn accepts_chunks(self) -> bool {
        match self {
            Self::Open | Self::Limited | Self::Shedding | Self::Closed => true,
            Self::BackOff | Self::Evacuated | Self::Leaving => false,
        }
    }
}
