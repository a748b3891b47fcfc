//! When a box pulls what its peers announce.
//!
//! A box that follows the store waits a little, since its own watch usually delivers the state
//! sooner. State of another hall is pulled by the box that receives and forwards the datagram, and
//! the others pull from that box. Either may be cut off, so both waits end. The time counts for each
//! peer separately: a datagram of a peer that is behind as well says nothing about the others. It
//! starts again when the state of this box changes, which is then not cut off.
//!
//! A peer whose pull failed is skipped for a while: one that hangs goes on announcing what it has,
//! and would take the only pull that a box runs at a time again and again.

use std::collections::HashMap;
use std::time::Duration;

use crate::relay::state_pull::KnownState;
use crate::time::Time;

/// Delay at a box that follows the store.
const FOLLOWER_DELAY: Duration = Duration::from_millis(250);
/// Minimum delay after a forwarded datagram: the forwarding box has pulled by then, and announced it.
const FORWARDED_DELAY: Duration = Duration::from_millis(1_500);
/// By how much that delay differs between the boxes of a hall. Otherwise all of them would pull from
/// the other hall at once if the forwarding box can't; the first to pull announces the state.
///
/// The longest delay of 2 s and a heartbeat of 0.4 s leave 0.6 s for the pull, if settings are to be
/// in force within 3 s of a change. Evacuations have 5 s.
const FORWARDED_DELAY_SPREAD: Duration = Duration::from_millis(500);

/// Minimum delay after a datagram that came through a hub of the same hall from another box than
/// that hub. The hub has pulled the state by then, and pulls from hubs are few for each.
const OTHER_HUB_DELAY: Duration = Duration::from_millis(300);
/// By how much that delay differs between boxes.
const OTHER_HUB_DELAY_SPREAD: Duration = Duration::from_millis(300);

/// How long a peer is skipped after a failed pull. Longer than a pull may take (0.7 s), so that
/// another peer gets its turn in between, and short against the bound of 5 s for an evacuation, since
/// it may be the only peer that is ahead.
const FAILED_PEER_PAUSE: Duration = Duration::from_secs(1);

/// How a datagram arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Path {
    /// From its sender.
    Direct,
    /// Through a hub of the own hall, from another box than that hub.
    OtherHub,
    /// From another hall, forwarded by a box of the own hall.
    OtherHall,
}

/// What a datagram announces that the receiving box lacks.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Missing {
    /// Newer routes or servers.
    pub state: bool,
    /// Evacuations that the sender holds and the store does not list.
    pub unconfirmed: bool,
    /// Addresses of other boxes, whatever the datagram announces.
    pub boxes: bool,
}

impl Missing {
    /// How long to wait before a pull; `None` if nothing is missing. `spread` is from 0 to 1, differs
    /// between boxes and stays the same at each.
    pub fn pull_delay(self, path: Path, follows_store: bool, spread: f64) -> Option<Duration> {
        let spread = spread.clamp(0.0, 1.0);
        let own_delay = match path {
            _ if follows_store => FOLLOWER_DELAY,
            Path::Direct | Path::OtherHall => Duration::ZERO,
            Path::OtherHub => OTHER_HUB_DELAY + OTHER_HUB_DELAY_SPREAD.mul_f64(spread),
        };
        let is_forwarded = path == Path::OtherHall;
        match self {
            Self {
                unconfirmed: true, ..
            } if !is_forwarded => Some(match path {
                Path::OtherHub => own_delay,
                Path::Direct | Path::OtherHall => Duration::ZERO,
            }),
            Self { boxes: true, .. } => Some(own_delay),
            Self { state: true, .. } if !is_forwarded => Some(own_delay),
            Self {
                state: false,
                unconfirmed: false,
                boxes: false,
            } => None,
            Self { .. } => Some(FORWARDED_DELAY + FORWARDED_DELAY_SPREAD.mul_f64(spread)),
        }
    }
}

/// Since when each peer has announced something that this box lacks, and whose pulls failed.
#[derive(Debug, Default)]
pub struct PullTimer {
    since: HashMap<String, Time>,
    failed: HashMap<String, Time>,
    own_state: KnownState,
}

impl PullTimer {
    /// Records a datagram of a peer, received while this box has `own_state`; true if it should pull
    /// now. `delay` is `None` if the datagram announces nothing that is missing here.
    pub fn is_due(
        &mut self,
        now: Time,
        own_state: KnownState,
        peer: &str,
        delay: Option<Duration>,
    ) -> bool {
        if self.own_state != own_state {
            self.own_state = own_state;
            self.since.clear();
        }
        let Some(delay) = delay else {
            self.since.remove(peer);
            return false;
        };
        let since = *self.since.entry(peer.to_owned()).or_insert(now);
        now.since(since) >= delay && !self.has_failed_recently(now, peer)
    }

    /// Records the start of a pull.
    pub fn pull_started(&mut self) {
        self.since.clear();
    }

    /// Records that a pull from a peer failed.
    pub fn pull_failed(&mut self, now: Time, peer: &str) {
        self.failed
            .retain(|_, at| now.since(*at) < FAILED_PEER_PAUSE);
        self.failed.insert(peer.to_owned(), now);
    }

    /// Whether a pull from a peer failed so recently that others should be asked.
    pub fn has_failed_recently(&self, now: Time, peer: &str) -> bool {
        let failed_at = self.failed.get(peer);
        failed_at.is_some_and(|at| now.since(*at) < FAILED_PEER_PAUSE)
    }
}
