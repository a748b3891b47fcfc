//! Which other boxes are live, and which state of the store each of them has.
//!
//! Newer state spreads by pulls, of which a box answers only a few at a time. A box whose pull is
//! rejected asks another one that announced newer state. More boxes have it by then, so the time
//! until all have it grows with the logarithm of their number.

use std::collections::HashMap;
use std::time::Duration;

use crate::relay::state_pull::KnownState;
use crate::time::Time;

/// A box whose last datagram is younger than this is live: two maximum heartbeat intervals, plus one
/// for a lost datagram.
pub(crate) const LIVENESS_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Whether a box is live, and whether that changed within `LIVENESS_TIMEOUT`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerState {
    /// Live for that long.
    Steady,
    /// Live, but was not at some time.
    New,
    /// Not live, but was at some time.
    Lost,
    /// Not live for that long.
    Silent,
}

#[derive(Debug, Clone, Copy)]
struct Peer {
    heard_at: Time,
    live_since: Time,
    known_state: KnownState,
}

/// Last datagram of each other box.
#[derive(Debug, Default)]
pub struct PeerLiveness {
    peers: HashMap<String, Peer>,
}

impl PeerLiveness {
    /// Records that another box heard a box, which announces no newer state by that.
    pub fn record_heard(&mut self, heard_at: Time, name: &str) {
        let known_state = self.peers.get(name).map(|peer| peer.known_state);
        self.record(heard_at, name, known_state.unwrap_or_default());
    }

    /// Records a datagram of a box, with the state that it announces.
    pub fn record(&mut self, heard_at: Time, name: &str, known_state: KnownState) {
        let known = self.peers.get(name);
        let live = known.filter(|peer| heard_at.since(peer.heard_at) < LIVENESS_TIMEOUT);
        let live_since = live.map_or(heard_at, |peer| peer.live_since);
        self.peers.insert(
            name.to_owned(),
            Peer {
                heard_at,
                live_since,
                known_state,
            },
        );
    }

    /// Time since the last datagram of a box, or since the start of the clock if there was none.
    pub fn silent_for(&self, now: Time, name: &str) -> Duration {
        let heard_at = self.peers.get(name).map(|peer| peer.heard_at);
        now.since(heard_at.unwrap_or(Time::ZERO))
    }

    /// Whether a datagram of a box arrived within `LIVENESS_TIMEOUT`.
    pub fn is_live(&self, now: Time, name: &str) -> bool {
        let peer = self.peers.get(name);
        peer.is_some_and(|peer| now.since(peer.heard_at) < LIVENESS_TIMEOUT)
    }

    /// Whether a box is live, and for how long.
    pub fn state(&self, now: Time, name: &str) -> PeerState {
        let Some(peer) = self.peers.get(name) else {
            return PeerState::Silent;
        };
        let silent_for = now.since(peer.heard_at);
        if silent_for >= 2 * LIVENESS_TIMEOUT {
            PeerState::Silent
        } else if silent_for >= LIVENESS_TIMEOUT {
            PeerState::Lost
        } else if now.since(peer.live_since) < LIVENESS_TIMEOUT {
            PeerState::New
        } else {
            PeerState::Steady
        }
    }

    /// Whether a datagram of any other box arrived within `LIVENESS_TIMEOUT`.
    pub fn has_live_peer(&self, now: Time) -> bool {
        let mut peers = self.peers.values();
        peers.any(|peer| now.since(peer.heard_at) < LIVENESS_TIMEOUT)
    }

    /// Live boxes that announced newer state than `known_state`.
    pub fn ahead_of(&self, now: Time, known_state: KnownState) -> Vec<&str> {
        let peers = self.peers.iter();
        let ahead = peers.filter(|(_, peer)| {
            now.since(peer.heard_at) < LIVENESS_TIMEOUT && known_state.is_behind(peer.known_state)
        });
        ahead.map(|(name, _)| name.as_str()).collect()
    }
}
