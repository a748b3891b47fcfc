//! Which boxes gossip their engine load to each other.
//!
//! In a small fleet every box gossips with all others and uses the engines of all halls. In a large
//! fleet this does not scale: a box's data about another is as old as one round of datagrams to all
//! boxes takes, and most of the traffic crosses halls. Each hall is then a cell of its own: its
//! boxes gossip among themselves and prefer the engines of their own hall as long as these suffice.
//! Delegates of each hall send the hall's total load to the other halls, which is enough to see
//! where engines are free. No box is essential: the two highest-ranked live boxes act as delegates,
//! and a hall that is cut off continues with its own engines. Alternatives considered: see
//! `docs/design/cells.md`.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::ids::HallName;
use crate::relay::state_pull::BoxAddresses;

/// Minimum interval between two gossip rounds of a box, for each box that receives its datagrams.
/// Bounds the total traffic. Changes caused by long prompts are sent at once: they are rare, and
/// boxes that don't know of them send their own long prompts to the same engines.
pub const GOSSIP_INTERVAL_PER_BOX: Duration = Duration::from_millis(1);
/// Maximum interval between a box's datagrams while a long prompt is queued there, to which other
/// boxes yield.
pub const QUEUED_PROMPT_HEARTBEAT: Duration = Duration::from_millis(150);
/// Maximum interval between datagrams that send the hall's load to other halls.
pub const MAX_HALL_GOSSIP_INTERVAL: Duration = Duration::from_millis(200);
/// Minimum interval between datagrams that send the hall's load to other halls. Kept short, since
/// halls that don't see each other's long prompts send them to the same engines.
pub const MIN_HALL_GOSSIP_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum age of load data up to which all boxes gossip with each other. The age grows by
/// [`GOSSIP_INTERVAL_PER_BOX`] with each receiver; beyond this limit the totals that halls send each
/// other are fresher.
const MAX_MESH_STALENESS: Duration = MIN_HALL_GOSSIP_INTERVAL;
/// Number of boxes of each hall that receive the load of other halls in rotation. Each forwards it to
/// its whole hall, so they share that work, and the hall is reached as long as one of them is live.
const TARGETS_PER_HALL: usize = 4;

/// Number of boxes of each hall that always follow the store.
pub const FOLLOWERS_PER_HALL: usize = 2;
/// Time between two boxes of a hall that begin to follow the store, in which the others hear that the
/// first one reaches it.
const TAKEOVER_INTERVAL: Duration = Duration::from_millis(300);
/// Delay of the last boxes of a hall, which follow the store together.
const MAX_TAKEOVER_DELAY: Duration = Duration::from_millis(4_800);

/// Silence after which a box's entry is removed. A machine that is frozen, cut off or under repair
/// usually returns earlier; until then it costs its peers an occasional datagram.
pub const BOX_EXPIRY: Duration = Duration::from_mins(10);

/// Boxes, by name.
pub type Boxes = BTreeMap<String, BoxAddresses>;

/// Which boxes receive a box's own load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GossipScope {
    /// All boxes.
    Fleet,
    /// Boxes of the same hall.
    Hall,
}

impl GossipScope {
    /// Scope for the known boxes, this one included.
    pub fn of(boxes: &Boxes) -> Self {
        let mut halls = boxes.values().map(|info| &info.hall);
        let first = halls.next();
        let has_more_halls = halls.any(|hall| Some(hall) != first);
        let mesh_staleness = GOSSIP_INTERVAL_PER_BOX * boxes.len().saturating_sub(1) as u32;
        if mesh_staleness > MAX_MESH_STALENESS && has_more_halls {
            Self::Hall
        } else {
            Self::Fleet
        }
    }

    /// Whether a box of hall `own` sends its load to boxes of `hall`.
    pub fn includes(self, own: &HallName, hall: &str) -> bool {
        self == Self::Fleet || own.as_str() == hall
    }
}

/// Boxes of a hall by rank: most processor time first, then by name. The highest-ranked ones take on
/// the tasks that are done once per hall.
pub fn ranked_boxes<'a>(boxes: &'a Boxes, hall: &str) -> Vec<&'a BoxAddresses> {
    let mut ranked: Vec<&BoxAddresses> = boxes.values().filter(|info| info.hall == hall).collect();
    ranked.sort_by_key(|info| (Reverse(info.processor), &info.name));
    ranked
}

/// Number of boxes of the hall that rank before the named one, which itself need not be known yet.
pub fn rank_in_hall(boxes: &Boxes, hall: &HallName, processor: u16, name: &str) -> usize {
    let own = (Reverse(processor), name);
    let ranked = ranked_boxes(boxes, hall.as_str());
    let before = |info: &&&BoxAddresses| (Reverse(info.processor), info.name.as_str()) < own;
    ranked.iter().filter(before).count()
}

/// Time without a datagram of a peer that follows the store after which the box of this rank in its
/// hall follows the store itself, if it hears other peers.
///
/// Boxes begin one after the other, so that the others hear of the first one that reaches the store.
/// In a large hall most boxes would otherwise call the store at the same time.
pub fn takeover_timeout(rank: usize, silence: Duration) -> Duration {
    let boxes_before = rank.saturating_sub(FOLLOWERS_PER_HALL);
    silence + (TAKEOVER_INTERVAL * boxes_before as u32).min(MAX_TAKEOVER_DELAY)
}

/// Role of a box that sends its hall's load to other halls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DelegateRole {
    /// Sends changes at once.
    Primary,
    /// Sends at a fixed interval, in case the primary has failed and this is not yet detected.
    Backup,
}

/// Role of box `own` as delegate of its hall; `None` if it isn't one of the two highest-ranked boxes
/// that it considers live.
pub fn delegate_role(
    boxes: &Boxes,
    own: &str,
    hall: &HallName,
    is_live: impl Fn(&str) -> bool,
) -> Option<DelegateRole> {
    let ranked = ranked_boxes(boxes, hall.as_str());
    let mut live = ranked
        .into_iter()
        .filter(|info| info.name == own || is_live(&info.name));
    match live.position(|info| info.name == own)? {
        0 => Some(DelegateRole::Primary),
        1 => Some(DelegateRole::Backup),
        _ => None,
    }
}

/// The highest-ranked live box of a hall or, if it has none, of the next hall that has one. Halls
/// follow by name, and the first follows the last, so each hall has a sequence of its own.
pub fn first_live_box<'a>(
    boxes: &'a Boxes,
    own: &str,
    hall: &HallName,
    is_live: impl Fn(&str) -> bool,
) -> Option<&'a BoxAddresses> {
    let halls: BTreeSet<&str> = boxes.values().map(|info| info.hall.as_str()).collect();
    let from = halls.range(hall.as_str()..);
    let mut halls = from.chain(halls.range(..hall.as_str()));
    halls.find_map(|hall| {
        let mut ranked = ranked_boxes(boxes, hall).into_iter();
        ranked.find(|info| info.name == own || is_live(&info.name))
    })
}

/// Number of halls that have known boxes.
pub fn hall_count(boxes: &Boxes) -> usize {
    let halls: BTreeSet<&str> = boxes.values().map(|info| info.hall.as_str()).collect();
    halls.len()
}

/// Boxes of its hall that have been silent for `BOX_EXPIRY` and whose entries `own` has to remove.
///
/// Empty unless `own` ranks highest among the boxes of its hall that have not expired. Also empty if
/// all other boxes of the hall have expired: then `own` is probably cut off itself.
pub fn expired_boxes(
    boxes: &Boxes,
    own: &BoxAddresses,
    silent_for: impl Fn(&str) -> Duration,
) -> Vec<String> {
    let is_expired = |info: &&BoxAddresses| silent_for(&info.name) >= BOX_EXPIRY;
    let others = ranked_boxes(boxes, &own.hall).into_iter();
    let others = others.filter(|info| info.name != own.name);
    let (expired, live): (Vec<_>, Vec<_>) = others.partition(is_expired);
    let ranks_before = |info: &&BoxAddresses| {
        (Reverse(info.processor), &info.name) < (Reverse(own.processor), &own.name)
    };
    if live.is_empty() || live.iter().any(ranks_before) {
        return Vec::new();
    }
    expired.into_iter().map(|info| info.name.clone()).collect()
}

/// One box of each other hall to send this hall's load to. The choice rotates with `turn`.
pub fn gossip_targets<'a>(boxes: &'a Boxes, own: &HallName, turn: usize) -> Vec<&'a BoxAddresses> {
    let mut halls: Vec<&str> = boxes.values().map(|info| info.hall.as_str()).collect();
    halls.sort_unstable();
    halls.dedup();
    let others = halls.into_iter().filter(|hall| *hall != own.as_str());
    others
        .filter_map(|hall| {
            let mut ranked = ranked_boxes(boxes, hall);
            ranked.truncate(TARGETS_PER_HALL);
            ranked.get(turn % ranked.len().max(1)).copied()
        })
        .collect()
}
