//! The boxes of the model, and who hears whom.

use std::collections::BTreeMap;
use std::time::Duration;

use badgerferry_lib::ids::HallName;
use badgerferry_lib::relay::gossip_topology::Boxes;
use badgerferry_lib::relay::peer_liveness::PeerState;
use badgerferry_lib::relay::quota_owner::OwnedQuotas;
use badgerferry_lib::relay::quota_owner::QuotaOwner;
use badgerferry_lib::relay::server_limits::ServerLimits;
use badgerferry_lib::relay::state_pull::BoxAddresses;
use badgerferry_lib::time::Time;

/// Halls, in which boxes lie in turn; the server stands in the first.
const HALLS: usize = 3;
/// How long a box that fell silent counts as living.
const LIVES: Duration = Duration::from_millis(1_200);
/// How long a box is up before others have heard it.
const HEARD_AFTER: Duration = Duration::from_millis(400);

/// A box.
#[derive(Debug)]
pub(super) struct LimitBox {
    pub(super) hall: usize,
    pub(super) is_up: bool,
    pub(super) limits: ServerLimits,
    pub(super) quotas: OwnedQuotas,
    side: usize,
    /// When it last started, or ended.
    since: Time,
}

/// What befalls some of the boxes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Disturbance {
    /// Every second one is cut off from the others.
    Cut,
    /// The halls are cut off from each other.
    HallsApart,
    /// Every second one starts anew.
    Restart,
    /// The first one of each hall ends.
    FirstsEnd,
    /// The first of all ends.
    FirstEnds,
    /// The first of all is cut off from the others.
    FirstAlone,
}

/// All boxes.
#[derive(Debug)]
pub(super) struct LimitFleet {
    pub(super) boxes: Vec<LimitBox>,
    listed: Boxes,
    /// When the cut began, or healed.
    cut_changed: Option<Time>,
}

fn name(at: usize) -> String {
    format!("box-{at:04}")
}

impl LimitFleet {
    pub(super) fn new(boxes: usize) -> Self {
        let listed = (0..boxes).map(|at| {
            let of = BoxAddresses {
                name: name(at),
                hall: format!("hall-{}", at % HALLS),
                pull: String::new(),
                // The port tells which box it is.
                load: format!("127.0.0.1:{}", at + 1),
                processor: 0,
            };
            (name(at), of)
        });
        let boxes = (0..boxes).map(|at| LimitBox {
            hall: at % HALLS,
            is_up: true,
            limits: ServerLimits::default(),
            quotas: OwnedQuotas::default(),
            side: 0,
            since: Time::ZERO,
        });
        Self {
            boxes: boxes.collect(),
            listed: listed.collect::<BTreeMap<_, _>>(),
            cut_changed: None,
        }
    }

    /// Strikes; gives back the boxes that have started anew.
    pub(super) fn strike(&mut self, now: Time, disturbance: Disturbance) -> Vec<usize> {
        let mut anew = Vec::new();
        for (at, one) in self.boxes.iter_mut().enumerate() {
            // Of each hall some, and the first ones among them.
            let is_hit = match disturbance {
                Disturbance::Cut | Disturbance::Restart => (at / HALLS).is_multiple_of(2),
                Disturbance::HallsApart => true,
                Disturbance::FirstsEnd => at < HALLS,
                Disturbance::FirstEnds | Disturbance::FirstAlone => at == 0,
            };
            match disturbance {
                _ if !is_hit => {}
                Disturbance::Cut | Disturbance::FirstAlone => one.side = 1,
                Disturbance::HallsApart => one.side = one.hall,
                Disturbance::Restart => {
                    one.limits = ServerLimits::default();
                    one.quotas = OwnedQuotas::default();
                    one.since = now;
                    anew.push(at);
                }
                Disturbance::FirstsEnd | Disturbance::FirstEnds => {
                    one.is_up = false;
                    one.since = now;
                }
            }
        }
        match disturbance {
            Disturbance::Cut | Disturbance::HallsApart | Disturbance::FirstAlone => {
                self.cut_changed = Some(now);
            }
            Disturbance::Restart | Disturbance::FirstsEnd | Disturbance::FirstEnds => {}
        }
        anew
    }

    pub(super) fn heal(&mut self, now: Time) {
        for one in &mut self.boxes {
            one.side = 0;
        }
        self.cut_changed = Some(now);
    }

    /// Whether a datagram gets there.
    pub(super) fn is_connected(&self, to: usize, from: usize) -> bool {
        self.boxes[to].side == self.boxes[from].side
    }

    /// Whether both ends are there.
    pub(super) fn has_way(&self, _now: Time, to: usize, from: usize) -> bool {
        self.boxes[to].is_up && self.boxes[from].is_up
    }

    /// Whether one box hears what another tells.
    pub(super) fn hears(&self, now: Time, at: usize, from: usize) -> bool {
        self.is_connected(at, from) && self.has_way(now, at, from)
    }

    /// Whether a box believes that another one lives, and for how long.
    fn state(&self, now: Time, at: usize, of: usize) -> PeerState {
        let is_changed = |at: Time| at > Time::ZERO && now.since(at) < 2 * LIVES;
        let is_lately_cut = self.cut_changed.is_some_and(is_changed);
        let is_cut = !self.is_connected(at, of);
        let is_lately_gone = is_changed(self.boxes[of].since);
        match (self.believes(now, at, of), self.boxes[of].is_up) {
            (true, true) if !is_cut && self.cut_changed.is_some_and(|at| now.since(at) < LIVES) => {
                PeerState::New
            }
            (true, _) => PeerState::Steady,
            (false, true) if is_cut && is_lately_cut => PeerState::Lost,
            (false, false) if is_lately_gone => PeerState::Lost,
            (false, _) => PeerState::Silent,
        }
    }

    /// Whether a box believes that another one lives.
    fn believes(&self, now: Time, at: usize, of: usize) -> bool {
        let other = &self.boxes[of];
        let own_age = now.since(self.boxes[at].since);
        if self.boxes[at].since > Time::ZERO && own_age < HEARD_AFTER {
            return false;
        }
        let is_lately_cut = self.cut_changed.is_some_and(|at| now.since(at) < LIVES);
        let is_cut = !self.is_connected(at, of);
        let is_lately_gone = now.since(other.since) < LIVES;
        match (other.is_up, is_cut) {
            (true, false) => true,
            (true, true) => is_lately_cut,
            (false, _) => is_lately_gone,
        }
    }

    pub(super) fn keeper(&self, now: Time, at: usize, is_cold: bool) -> QuotaOwner {
        let number = |of: &str| of.trim_start_matches("box-").parse().unwrap_or_default();
        // All have been up for long when it begins.
        let age = now.since(self.boxes[at].since);
        let up_for = match self.boxes[at].since {
            Time::ZERO => age + LIVES,
            _ => age,
        };
        let hall = HallName::new("hall-0");
        if is_cold {
            let state = |of: &str| self.state(now, at, number(of));
            QuotaOwner::elect_for_cold_servers(&self.listed, &name(at), &hall, up_for, state)
        } else {
            let lives = |of: &str| self.believes(now, at, number(of));
            QuotaOwner::elect(&self.listed, &name(at), &hall, up_for, lives)
        }
    }
}
