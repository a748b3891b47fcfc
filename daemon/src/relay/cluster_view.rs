//! The control thread's view of servers, other boxes and contact with the store.

use std::time::Duration;

use badgerferry_lib::ids::HallName;
use badgerferry_lib::relay::budget_share::BudgetShare;
use badgerferry_lib::relay::carriers::PeerPaths;
use badgerferry_lib::relay::gossip_topology::Boxes;
use badgerferry_lib::relay::gossip_topology::GossipScope;
use badgerferry_lib::relay::load_datagram::LoadDatagram;
use badgerferry_lib::relay::peer_liveness::PeerLiveness;
use badgerferry_lib::relay::quota_owner::QuotaOwner;
use badgerferry_lib::relay::recent_box_count::RecentBoxCount;
use badgerferry_lib::relay::server_list::ServerList;
use badgerferry_lib::time::Time;

/// Servers, boxes and contact with the store, as this box knows them.
#[derive(Debug, Default)]
pub struct ClusterView {
    /// Servers listed in the store.
    pub servers: ServerList,
    /// All known boxes, this one included.
    pub boxes: Boxes,
    /// Which other boxes are live, and the state that they announced.
    pub peer_liveness: PeerLiveness,
    /// Services to which other boxes are cut off.
    pub peer_paths: PeerPaths,
    /// When the store last answered this box.
    pub store_answered_at: Option<Time>,
    /// When a peer last announced that it follows the store.
    pub peer_followed_store_at: Option<Time>,
    /// Whether a datagram showed that `boxes` is incomplete, since `boxes_requested_at`.
    pub lacks_boxes: bool,
    /// Largest number of boxes that this or another box knew recently.
    pub most_boxes: RecentBoxCount,
    /// Whether the store did not list this box at its start. Then the other boxes are probably
    /// starting for the first time as well, and do not know each other yet.
    pub is_new_box: bool,
    /// Whether this box has a share of the retry budget's slack.
    pub budget_share: BudgetShare,
    /// When a pull last requested the list of boxes.
    pub boxes_requested_at: Option<Time>,
}

impl ClusterView {
    /// Replaces the known boxes with those listed in the store, but keeps live ones: a store that
    /// was restored from a backup may lack the entry of a live box until the box registers again.
    pub fn merge_boxes(&mut self, now: Time, listed: Boxes) {
        self.most_boxes.record(now, self.boxes.len());
        let previous = std::mem::replace(&mut self.boxes, listed);
        for (name, addresses) in previous {
            if self.peer_liveness.is_live(now, &name) {
                self.boxes.entry(name).or_insert(addresses);
            }
        }
        self.most_boxes.record(now, self.boxes.len());
    }

    /// Whether the sender of a datagram is unknown or knows more boxes.
    pub fn lacks_boxes_of(&self, datagram: &LoadDatagram) -> bool {
        datagram.known_boxes as usize > self.boxes.len() || !self.boxes.contains_key(&datagram.from)
    }

    /// Whether this box knows few of the boxes that were known recently, so that its own rank may be
    /// wrong, and can request the others.
    pub fn knows_few_boxes(&self, now: Time) -> bool {
        self.boxes.len() > 1 && 2 * self.boxes.len() < self.most_boxes.most(now)
    }

    /// Number of boxes among which the slack of the retry budget is divided: the most that were known
    /// recently, since boxes that are cut off go on sending. Zero while this box has no share.
    pub fn budget_boxes(&self, now: Time) -> usize {
        match self.budget_share.held_since(now) {
            Some(_) => self.boxes.len().max(self.most_boxes.most(now)),
            None => 0,
        }
    }

    /// Records contact with the store, or with a peer that follows it. `window` is that of the retry budget.
    pub fn confirm_share(&mut self, now: Time, window: Duration) {
        let had_share = self.budget_share.held_since(now).is_some();
        self.budget_share.confirm(now, window);
        if !had_share && self.budget_share.held_since(now).is_some() {
            tracing::info!(
                boxes = self.budget_boxes(now),
                "share of the retry budget held"
            );
        }
    }

    /// Which boxes this one sends its load to and shares its preferred engines with.
    pub fn scope(&self) -> GossipScope {
        GossipScope::of(&self.boxes)
    }

    /// Owner of the call quotas of a hall's limited servers, or of its cold ones. `own` is the name of
    /// this box.
    pub fn quota_owner(&self, now: Time, own: &str, hall: &HallName, is_cold: bool) -> QuotaOwner {
        let uptime = now.since(Time::ZERO);
        if is_cold {
            let state = |name: &str| self.peer_liveness.state(now, name);
            QuotaOwner::elect_for_cold_servers(&self.boxes, own, hall, uptime, state)
        } else {
            let is_live = |name: &str| self.peer_liveness.is_live(now, name);
            QuotaOwner::elect(&self.boxes, own, hall, uptime, is_live)
        }
    }
}
