//! Which other boxes are heard, and what state they say they known_state.
//!
//! Newer state spreads by pulls, of which a box answers a few at a time. One that is turned away asks
//! another box that has said it is ahead: by then there are more of them, so the state spreads in a
//! time that grows with the logarithm of the boxes.

use std::collections::HashMap;
use std::time::Duration;

use crate::relay::state_pull::KnownState;
use crate::time::Time;

/// A box that was heard within this time lives: two of its longest pauses, and a lost datagram.
pub(crate) const LIVENESS_TIMEOUT: Duration = Duration::from_millis(1_200);

#[derive(Debug, Clone, Copy)]
struct Heard {
    at: Time,
    known_state: KnownState,
}

/// Other boxes by name.
#[derive(Debug, Default)]
pub struct PeerLiveness {
    rows: HashMap<String, Heard>,
}

impl PeerLiveness {
    /// Records what a box said of its state.
    pub fn record(&mut self, at: Time, name: &str, known_state: KnownState) {
        self.rows.insert(name.to_owned(), Heard { at, known_state });
    }

    /// How long a box has not been heard; since the start if it never was.
    pub fn silent_for(&self, now: Time, name: &str) -> Duration {
        let heard = self.rows.get(name).map(|row| row.at);
        now.since(heard.unwrap_or(Time::ZERO))
    }

    /// Whether a box was heard lately.
    pub fn is_live(&self, now: Time, name: &str) -> bool {
        let heard = self.rows.get(name);
        heard.is_some_and(|row| now.since(row.at) < LIVENESS_TIMEOUT)
    }

    /// Whether any box was heard lately.
    pub fn has_live_peer(&self, now: Time) -> bool {
        let mut heard = self.rows.values();
        heard.any(|row| now.since(row.at) < LIVENESS_TIMEOUT)
    }

    /// Living boxes that said they known_state newer state than this.
    pub fn ahead_of(&self, now: Time, known_state: KnownState) -> Vec<&str> {
        let rows = self.rows.iter();
        let ahead = rows.filter(|(_, row)| {
            now.since(row.at) < LIVENESS_TIMEOUT && known_state.is_behind(row.known_state)
        });
        ahead.map(|(name, _)| name.as_str()).collect()
    }
}
