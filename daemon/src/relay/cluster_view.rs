//! What control knows of the platform's state and of the other boxes.

use badgerferry_lib::ids::HallName;
use badgerferry_lib::relay::gossip_topology::Boxes;
use badgerferry_lib::relay::gossip_topology::GossipScope;
use badgerferry_lib::relay::peer_liveness::PeerLiveness;
use badgerferry_lib::relay::quota_owner::QuotaOwner;
use badgerferry_lib::relay::server_list::ServerList;
use badgerferry_lib::time::Time;

/// What control knows of the platform's state.
#[derive(Debug, Default)]
pub struct ClusterView {
    /// The servers.
    pub servers: ServerList,
    /// All boxes that are known, this one included.
    pub boxes: Boxes,
    /// Which other boxes are heard.
    pub peer_liveness: PeerLiveness,
    /// When the store last answered this box.
    pub store_answered_at: Option<Time>,
    /// When a neighbour last said that the store answers it.
    pub peer_followed_store_at: Option<Time>,
    /// Whether a box was heard that is not known.
    pub has_unknown_peer: bool,
    /// When boxes were last asked for.
    pub boxes_requested_at: Option<Time>,
}

impl ClusterView {
    /// Takes the boxes that the store lists. One that was heard lately stays: the store may have come back
    /// from a copy in which that box is missing until it enters itself again.
    pub fn merge_boxes(&mut self, now: Time, listed: Boxes) {
        let before = std::mem::replace(&mut self.boxes, listed);
        for (name, of) in before {
            if self.peer_liveness.is_live(now, &name) {
                self.boxes.entry(name).or_insert(of);
            }
        }
    }

    /// Whom this box tells of its work, and whose engines it uses first.
    pub fn scope(&self) -> GossipScope {
        GossipScope::of(&self.boxes)
    }

    /// Who gives out the calls of limited servers of a hall; `own` is this box.
    pub fn quota_owner(&self, now: Time, own: &str, hall: &HallName) -> QuotaOwner {
        let lives = |name: &str| self.peer_liveness.is_live(now, name);
        let up_for = now.since(Time::ZERO);
        QuotaOwner::elect(&self.boxes, own, hall, up_for, lives)
    }
}
