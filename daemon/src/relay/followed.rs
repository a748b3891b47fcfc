//! What control knows of the platform's state and of the other boxes.

use badgerferry_lib::ids::HallName;
use badgerferry_lib::relay::cells::Boxes;
use badgerferry_lib::relay::cells::Scope;
use badgerferry_lib::relay::heard_boxes::HeardBoxes;
use badgerferry_lib::relay::quota_keeper::Keeper;
use badgerferry_lib::relay::server_list::ServerList;
use badgerferry_lib::time::Time;

/// What control knows of the platform's state.
#[derive(Debug, Default)]
pub struct Followed {
    /// Revision of the route table in force; 0 for none.
    pub table_revision: u64,
    /// The servers.
    pub servers: ServerList,
    /// All boxes that are known, this one included.
    pub boxes: Boxes,
    /// Which other boxes are heard.
    pub heard: HeardBoxes,
    /// When the store last answered this box.
    pub store_at: Option<Time>,
    /// When a neighbour last said that the store answers it.
    pub neighbour_at: Option<Time>,
    /// Whether a box was heard that is not known.
    pub heard_unknown: bool,
    /// When boxes were last asked for.
    pub boxes_asked: Option<Time>,
}

impl Followed {
    /// Whom this box tells of its work, and whose engines it uses first.
    pub fn scope(&self) -> Scope {
        Scope::of(&self.boxes)
    }

    /// Who gives out the calls of limited servers of a hall; `own` is this box.
    pub fn keeper(&self, now: Time, own: &str, hall: &HallName) -> Keeper {
        let lives = |name: &str| self.heard.lives(now, name);
        let up_for = now.since(Time::ZERO);
        Keeper::of(&self.boxes, own, hall, up_for, lives)
    }
}
