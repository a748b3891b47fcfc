//! Whether a box may use its share of the retry budget's slack.
//!
//! Boxes divide the slack by the number of boxes that they know, so the shares add up only if boxes that know
//! few others are known to these:
//!
//! - A box has no share until it is listed in the store. Every box that reads the list later counts it.
//! - A new box has none unless the list is confirmed: the store, or a peer that follows it, was heard from
//!   shortly before. So it counts the boxes that are listed after it, until it has held its share for a window.
//! - A box that has been cut off for as long as entries of silent boxes last has none: others may have ceased to
//!   count it.

use std::time::Duration;

use crate::relay::gossip_topology::BOX_EXPIRY;
use crate::time::Time;

/// Time without contact after which the list of boxes is not confirmed any more.
pub const STORE_CONTACT_TIMEOUT: Duration = Duration::from_secs(4);

/// A box's claim to a share.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BudgetShare {
    state: State,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum State {
    /// Not listed in the store as far as the box knows.
    #[default]
    Unlisted,
    /// Listed, and not confirmed yet.
    Listed,
    /// Confirmed since `since`, and last at `last`.
    Confirmed {
        since: Time,
        last: Time,
        /// Whether it was confirmed for a window without interruption.
        is_settled: bool,
    },
}

impl BudgetShare {
    /// Records that the box is listed in the store.
    pub fn set_listed(&mut self) {
        if self.state == State::Unlisted {
            self.state = State::Listed;
        }
    }

    /// Records contact with the store, or with a peer that follows it. `window` is that of the budget.
    pub fn confirm(&mut self, now: Time, window: Duration) {
        self.state = match (self.state, self.held_since(now)) {
            (State::Unlisted, _) => State::Unlisted,
            (State::Confirmed { is_settled, .. }, Some(since)) => State::Confirmed {
                since,
                last: now,
                is_settled: is_settled || now.since(since) >= window,
            },
            (State::Listed | State::Confirmed { .. }, _) => State::Confirmed {
                since: now,
                last: now,
                is_settled: false,
            },
        };
    }

    /// Since when the box has its share; `None` if it has none.
    pub fn held_since(&self, now: Time) -> Option<Time> {
        match self.state {
            State::Confirmed {
                since,
                last,
                is_settled,
            } => {
                let max_silence = if is_settled {
                    BOX_EXPIRY
                } else {
                    STORE_CONTACT_TIMEOUT
                };
                (now.since(last) < max_silence).then_some(since)
            }
            State::Unlisted | State::Listed => None,
        }
    }
}
