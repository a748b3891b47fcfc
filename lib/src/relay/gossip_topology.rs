//! Which boxes tell each other what they have at the engines.
//!
//! Few boxes tell all others, and each uses the engines of all halls. Where boxes are many, what
//! one knows of another that way is as old as it takes to tell all of them, and most of the bytes
//! go between halls. Then each hall is a cell: its boxes tell each other, and use the engines of
//! their own hall while these will do. Boxes that speak for a hall tell the other halls the sum of
//! its work, which is enough to see where engines are free. No box is needed for that: whoever
//! ranks first among those heard speaks, two do at a time, and a hall that is cut off goes on
//! with its own engines. Ways weighed: `docs/design/cells.md`.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::ids::HallName;
use crate::relay::state_pull::BoxAddresses;

/// Shortest time between two datagrams, for each box told: bounds what all boxes spend. What
/// long prompts do is told at once all the same: it is rare, and boxes that don't know of it
/// send theirs to the same engines.
pub const GOSSIP_INTERVAL_PER_BOX: Duration = Duration::from_millis(1);
/// Longest time between two datagrams while a long prompt waits, to which other boxes give way.
pub const QUEUED_PROMPT_HEARTBEAT: Duration = Duration::from_millis(150);
/// Longest time between two datagrams that tell other halls the work of this one.
pub const MAX_HALL_GOSSIP_INTERVAL: Duration = Duration::from_millis(200);
/// Shortest time between two of them. Two halls that don't see each other's long prompts send them
/// to the same engines.
pub const MIN_HALL_GOSSIP_INTERVAL: Duration = Duration::from_millis(20);
/// Age up to which what all boxes tell each other is fresh: it grows by the pause with each box that
/// is told. Beyond it, the sums that halls tell each other are newer.
const MAX_MESH_STALENESS: Duration = MIN_HALL_GOSSIP_INTERVAL;
/// Boxes of another hall that are told in turn: each passes on what it hears to its whole hall, so
/// they share that work, and all but one may be dead before the hall hears nothing.
const RECEIVERS_PER_HALL: usize = 4;

/// How long a box is silent before its entry is removed: a machine that is only frozen, cut off or
/// away for repair comes back before, and until then costs its neighbours a datagram now and then.
const BOX_EXPIRY: Duration = Duration::from_mins(10);

/// Boxes, by name.
pub type Boxes = BTreeMap<String, BoxAddresses>;

/// Whom a box tells of its work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GossipScope {
    /// All boxes.
    Fleet,
    /// Those of its own hall.
    Hall,
}

impl GossipScope {
    /// Follows from the boxes that are known, this one included.
    pub fn of(boxes: &Boxes) -> Self {
        let mut halls = boxes.values().map(|of| &of.hall);
        let first = halls.next();
        let has_more_halls = halls.any(|hall| Some(hall) != first);
        let age_in_mesh = GOSSIP_INTERVAL_PER_BOX * boxes.len().saturating_sub(1) as u32;
        if age_in_mesh > MAX_MESH_STALENESS && has_more_halls {
            Self::Hall
        } else {
            Self::Fleet
        }
    }

    /// Whether a box that keeps to this scope tells one of that hall.
    pub fn includes(self, own: &HallName, hall: &str) -> bool {
        self == Self::Fleet || own.as_str() == hall
    }
}

/// Boxes of a hall; those with most processor time come first, and do what one must do for all.
pub fn ranked_boxes<'a>(boxes: &'a Boxes, hall: &str) -> Vec<&'a BoxAddresses> {
    let mut ranked: Vec<&BoxAddresses> = boxes.values().filter(|of| of.hall == hall).collect();
    ranked.sort_by_key(|of| (Reverse(of.processor), &of.name));
    ranked
}

/// How many boxes of its hall rank before a box, whether it is known itself or not yet.
pub fn rank_in_hall(boxes: &Boxes, hall: &HallName, processor: u16, name: &str) -> usize {
    let own = (Reverse(processor), name);
    let ranked = ranked_boxes(boxes, hall.as_str());
    let before = |of: &&&BoxAddresses| (Reverse(of.processor), of.name.as_str()) < own;
    ranked.iter().filter(before).count()
}

/// How a box speaks for its hall.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DelegateRole {
    /// It tells the other halls what changes, at once.
    Primary,
    /// It tells them now and then, in case the first one has died unseen.
    Backup,
}

/// Whether and how a box speaks for its hall, as far as it knows who else lives there.
pub fn delegate_role(
    boxes: &Boxes,
    own: &str,
    hall: &HallName,
    is_live: impl Fn(&str) -> bool,
) -> Option<DelegateRole> {
    let ranked = ranked_boxes(boxes, hall.as_str());
    let mut living = ranked
        .into_iter()
        .filter(|of| of.name == own || is_live(&of.name));
    match living.position(|of| of.name == own)? {
        0 => Some(DelegateRole::Primary),
        1 => Some(DelegateRole::Backup),
        _ => None,
    }
}

/// The first living box of a hall, or of the next one in which any lives, in an order of its own for each.
pub fn first_live_box<'a>(
    boxes: &'a Boxes,
    own: &str,
    hall: &HallName,
    is_live: impl Fn(&str) -> bool,
) -> Option<&'a BoxAddresses> {
    let halls: BTreeSet<&str> = boxes.values().map(|of| of.hall.as_str()).collect();
    let from = halls.range(hall.as_str()..);
    let mut halls = from.chain(halls.range(..hall.as_str()));
    halls.find_map(|hall| {
        let mut ranked = ranked_boxes(boxes, hall).into_iter();
        ranked.find(|of| of.name == own || is_live(&of.name))
    })
}

/// Halls in which boxes are known.
pub fn hall_count(boxes: &Boxes) -> usize {
    let halls: BTreeSet<&str> = boxes.values().map(|of| of.hall.as_str()).collect();
    halls.len()
}

/// Boxes of a hall that were silent so long that they are gone for good. Its first box that lives
/// sees to it, and none that hears nobody: then it is itself that is cut off.
pub fn expired_boxes(
    boxes: &Boxes,
    own: &BoxAddresses,
    silent_for: impl Fn(&str) -> Duration,
) -> Vec<String> {
    let is_silent = |of: &&BoxAddresses| silent_for(&of.name) >= BOX_EXPIRY;
    let others = ranked_boxes(boxes, &own.hall).into_iter();
    let others = others.filter(|of| of.name != own.name);
    let (silent, living): (Vec<_>, Vec<_>) = others.partition(is_silent);
    let goes_before = |of: &&BoxAddresses| {
        (Reverse(of.processor), &of.name) < (Reverse(own.processor), &own.name)
    };
    if living.is_empty() || living.iter().any(goes_before) {
        return Vec::new();
    }
    silent.into_iter().map(|of| of.name.clone()).collect()
}

/// One box of each other hall, another one each turn.
pub fn gossip_targets<'a>(boxes: &'a Boxes, own: &HallName, turn: usize) -> Vec<&'a BoxAddresses> {
    let mut halls: Vec<&str> = boxes.values().map(|of| of.hall.as_str()).collect();
    halls.sort_unstable();
    halls.dedup();
    let others = halls.into_iter().filter(|hall| *hall != own.as_str());
    others
        .filter_map(|hall| {
            let mut ranked = ranked_boxes(boxes, hall);
            ranked.truncate(RECEIVERS_PER_HALL);
            ranked.get(turn % ranked.len().max(1)).copied()
        })
        .collect()
}
