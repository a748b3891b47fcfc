//! Detects data halls that are unreachable, by the heartbeats of their boxes.
//!
//! Boxes gossip several times a second, so a network partition between two halls shows as silence of
//! all boxes in the other hall, long before each box would detect it by failing calls. An answer from
//! any server there is evidence against a partition: then the boxes have failed, not the link. A box
//! that receives datagrams from no other box treats no hall as silent: it is probably partitioned
//! itself.

use std::collections::HashMap;
use std::time::Duration;

use crate::ids::HallName;
use crate::time::Time;

/// Maximum interval between two datagrams of one box.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// Silence that is tolerated however many boxes a hall has, since datagrams can be lost or late.
const SILENCE_MARGIN: Duration = Duration::from_millis(250);
/// A box counts as live if its last datagram arrived less than this before the last one from its
/// hall.
const LIVE_WINDOW: Duration = Duration::from_millis(1_500);
/// Time after the last datagram or probe until a call may probe a silent hall. It can be long:
/// datagrams of the hall arrive again as soon as the link is restored.
const PROBE_INTERVAL: Duration = Duration::from_secs(3);

#[derive(Debug, Default)]
struct HallState {
    /// Time of the last datagram from each of its boxes.
    boxes: HashMap<String, Time>,
    /// Time of the last datagram from any of its boxes.
    heard_at: Time,
    /// When one of its servers last answered.
    answered_at: Time,
    /// When a call may next probe it while it is silent.
    next_probe: Time,
    /// Whether it was silent at the last call of [`HallReachability::take_changes`].
    was_silent: bool,
}

/// A hall that became silent, or is no longer silent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HallReachabilityChange {
    /// Name of the hall.
    pub hall: HallName,
    /// Whether it is silent now.
    pub is_silent: bool,
    /// Time since the last datagram from any of its boxes.
    pub heard_ago: Duration,
    /// Time since one of its servers last answered.
    pub answered_ago: Duration,
}

impl HallState {
    /// Time without a datagram from any box after which the hall counts as silent. Shorter if more
    /// boxes are live.
    fn silence_timeout(&self) -> Duration {
        let is_live = |heard_at: &&Time| self.heard_at.since(**heard_at) < LIVE_WINDOW;
        let boxes = self.boxes.values().filter(is_live).count();
        SILENCE_MARGIN + HEARTBEAT_INTERVAL * 2 / boxes.max(1) as u32
    }

    fn is_silent(&self, now: Time) -> bool {
        let timeout = self.silence_timeout();
        !self.boxes.is_empty()
            && now.since(self.heard_at) > timeout
            && now.since(self.answered_at) > timeout
    }
}

/// Reachability of each hall, as seen by this box.
#[derive(Debug, Default)]
pub struct HallReachability {
    halls: HashMap<HallName, HallState>,
    /// Time of the last datagram from another box of the own hall, which shows that this box isn't
    /// partitioned. The own hall itself never counts as silent.
    own_hall_heard_at: Option<Time>,
}

impl HallReachability {
    /// Records a datagram from another box of the own hall.
    pub fn record_own_hall_heartbeat(&mut self, now: Time) {
        self.own_hall_heard_at = Some(now);
    }

    /// Records a datagram from a box of another hall.
    pub fn record_heartbeat(&mut self, now: Time, hall: &HallName, from: &str) {
        let state = self.state_mut(hall);
        state.heard_at = now;
        state.next_probe = now + PROBE_INTERVAL;
        match state.boxes.get_mut(from) {
            Some(at) => *at = now,
            None => {
                state.boxes.insert(from.to_owned(), now);
            }
        }
    }

    /// Records an answer of a server in `hall`.
    pub fn record_answer(&mut self, now: Time, hall: &HallName) {
        self.state_mut(hall).answered_at = now;
    }

    /// Records a call sent to `hall`. If the hall is silent, the call counts as its probe.
    pub fn record_call(&mut self, now: Time, hall: &HallName) {
        if self.is_silent(now, hall) {
            self.state_mut(hall).next_probe = now + PROBE_INTERVAL;
        }
    }

    /// Whether calls may be sent to `hall`: it is not silent, or a probe is due.
    pub fn allows_calls(&self, now: Time, hall: &HallName) -> bool {
        let next_probe = self.halls.get(hall).map(|state| state.next_probe);
        !self.is_silent(now, hall) || next_probe.is_some_and(|next_probe| now >= next_probe)
    }

    /// Halls that became silent, or are no longer silent, since the last call.
    pub fn take_changes(&mut self, now: Time) -> Vec<HallReachabilityChange> {
        let silent: Vec<bool> = self
            .halls
            .keys()
            .map(|hall| self.is_silent(now, hall))
            .collect();
        let rows = self.halls.iter_mut().zip(silent);
        let changed = rows.filter(|((_, state), is_silent)| state.was_silent != *is_silent);
        let change = |((hall, state), is_silent): ((&HallName, &mut HallState), bool)| {
            state.was_silent = is_silent;
            HallReachabilityChange {
                hall: hall.clone(),
                is_silent,
                heard_ago: now.since(state.heard_at),
                answered_ago: now.since(state.answered_at),
            }
        };
        changed.map(change).collect()
    }

    fn is_silent(&self, now: Time, hall: &HallName) -> bool {
        let hears_own_hall = || {
            let is_recent =
                |heard_at: Time| now.since(heard_at) <= SILENCE_MARGIN + HEARTBEAT_INTERVAL * 2;
            self.own_hall_heard_at.is_some_and(is_recent)
        };
        let hears_other_halls = || {
            let others = self.halls.iter().filter(|(name, _)| *name != hall);
            others.into_iter().any(|(_, state)| {
                !state.boxes.is_empty() && now.since(state.heard_at) <= state.silence_timeout()
            })
        };
        let state = self.halls.get(hall);
        state.is_some_and(|state| state.is_silent(now)) && (hears_own_hall() || hears_other_halls())
    }

    fn state_mut(&mut self, hall: &HallName) -> &mut HallState {
        if !self.halls.contains_key(hall) {
            self.halls.insert(hall.clone(), HallState::default());
        }
        self.halls.get_mut(hall).expect("hall was inserted above")
    }
}
