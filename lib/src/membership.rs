//! Cluster membership: the platform's list combined with gossip between boxes.
//!
//! Each box increments a heartbeat counter and gossips it to a few others, which forward it within
//! the data hall. A box is live while newer heartbeats arrive, directly or through other boxes:
//! two boxes that cannot reach each other still see each other as live while a third reaches both.
//! The platform's list lags and may flap; it gives the expected boxes and their addresses, but is
//! no evidence of liveness. A restarted box has a new incarnation, whose rows replace those of the
//! previous one.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;
use rand::seq::IteratorRandom;
use serde::Deserialize;
use serde::Serialize;

use crate::ids::BoxName;
use crate::ids::HallName;
use crate::ids::Incarnation;
use crate::ids::Revision;
use crate::ids::WorkspaceName;
use crate::platform_wire::BoxInfo;
use crate::platform_wire::BoxList;
use crate::time::Time;

/// Interval between the gossip exchanges that a box initiates.
pub const GOSSIP_INTERVAL: Duration = Duration::from_secs(2);
/// Time without a newer heartbeat after which a box is not live: about twenty exchanges, enough
/// for an update to reach all of a hall of 39 boxes at [`MAX_GOSSIP_ROWS`] rows per message.
pub const LIVENESS_TIMEOUT: Duration = Duration::from_secs(40);
/// Maximum number of other boxes' rows per message; bounds its size for halls of any size.
pub const MAX_GOSSIP_ROWS: usize = 8;
/// Maximum number of workspaces in the demand of a message; those of highest demand are sent.
pub const MAX_DEMAND_ROWS: usize = 8;
/// Probability that an exchange goes to another data hall.
const OTHER_HALL_PROBABILITY: f64 = 0.25;

/// State of a box as published by itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoxRow {
    /// Name of the box.
    pub name: BoxName,
    /// Data hall of the box.
    pub hall: HallName,
    /// Incarnation of its daemon.
    pub incarnation: Incarnation,
    /// Increases from one incarnation to the next.
    pub generation: u64,
    /// Increases within an incarnation.
    pub heartbeat: u64,
    /// Whether it accepts no new requests.
    pub leaving: bool,
    /// Revision of the settings that is active there.
    pub revision: Revision,
}

/// Demand of a box on one workspace's limit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandRow {
    /// Name of the workspace.
    pub workspace: WorkspaceName,
    /// Requested tokens per second.
    pub tokens_per_s: u32,
}

/// What one box knows about another.
#[derive(Debug, Clone, PartialEq)]
pub struct KnownBox {
    /// Latest row of that box.
    pub row: BoxRow,
    /// Time at which the latest row was received.
    pub heard_at: Time,
    demand: Vec<DemandRow>,
}

/// Membership view of one box.
#[derive(Debug)]
pub struct Membership {
    own: BoxRow,
    listed: BTreeMap<BoxName, BoxInfo>,
    known: BTreeMap<BoxName, KnownBox>,
    started: Time,
}

impl Membership {
    /// Creates an empty view; `generation` must exceed that of earlier incarnations and is best
    /// taken from a clock.
    pub const fn new(
        name: BoxName,
        hall: HallName,
        incarnation: Incarnation,
        generation: u64,
        now: Time,
    ) -> Self {
        Self {
            own: BoxRow {
                name,
                hall,
                incarnation,
                generation,
                heartbeat: 0,
                leaving: false,
                revision: Revision(0),
            },
            listed: BTreeMap::new(),
            known: BTreeMap::new(),
            started: now,
        }
    }

    /// Replaces the list of boxes with a newer one from the platform.
    pub fn on_list(&mut self, list: &BoxList) {
        let rows = list
            .boxes
            .iter()
            .map(|info| (info.name.clone(), info.clone()));
        self.listed = rows.collect();
    }

    /// Increments the heartbeat for an exchange and returns the updated row of this box.
    pub fn advance_heartbeat(&mut self, leaving: bool, revision: Revision) -> BoxRow {
        self.own.heartbeat += 1;
        self.own.leaving = leaving;
        self.own.revision = self.own.revision.max(revision);
        self.own.clone()
    }

    /// Current row of this box.
    pub const fn own(&self) -> &BoxRow {
        &self.own
    }

    /// Merges a row that was received from its box or forwarded by another.
    pub fn on_row(&mut self, now: Time, row: BoxRow) {
        if row.name == self.own.name {
            self.refute(&row);
            return;
        }
        match self.known.get_mut(&row.name) {
            Some(known) if is_newer(&row, &known.row) => {
                known.row = row;
                known.heard_at = now;
            }
            Some(_) => {}
            None => {
                let known = KnownBox {
                    row: row.clone(),
                    heard_at: now,
                    demand: Vec::new(),
                };
                self.known.insert(row.name, known);
            }
        }
    }

    /// Raises the generation of this box above that of an earlier incarnation's row, which other
    /// boxes would otherwise take for newer.
    fn refute(&mut self, row: &BoxRow) {
        let is_other_incarnation = row.incarnation != self.own.incarnation;
        if is_other_incarnation && row.generation >= self.own.generation {
            self.own.generation = row.generation + 1;
        }
    }

    /// Replaces the demand of a known box; only the box itself sends its demand.
    pub fn on_demand(&mut self, name: &BoxName, demand: Vec<DemandRow>) {
        if let Some(known) = self.known.get_mut(name) {
            known.demand = demand;
        }
    }

    /// Rows of other boxes to send to a box of `hall`: the most recently received, at most
    /// [`MAX_GOSSIP_ROWS`]. A box of another hall is sent none.
    pub fn rows_for(&self, hall: &HallName) -> Vec<BoxRow> {
        if *hall != self.own.hall {
            return Vec::new();
        }
        let mut rows: Vec<_> = self
            .known
            .values()
            .filter(|known| known.row.hall == *hall)
            .collect();
        rows.sort_by_key(|known| std::cmp::Reverse(known.heard_at));
        rows.iter()
            .take(MAX_GOSSIP_ROWS)
            .map(|known| known.row.clone())
            .collect()
    }

    /// Whether a newer heartbeat of the box arrived within [`LIVENESS_TIMEOUT`].
    pub fn is_live(&self, now: Time, name: &BoxName) -> bool {
        let known = self.known.get(name);
        known.is_some_and(|known| now.since(known.heard_at) < LIVENESS_TIMEOUT)
    }

    /// Number of boxes of this hall that serve, including this one unless it is leaving.
    ///
    /// For the first [`LIVENESS_TIMEOUT`] after its start, a box also counts listed boxes from
    /// which no row has arrived yet.
    pub fn serving_boxes(&self, now: Time) -> usize {
        let is_starting = now.since(self.started) < LIVENESS_TIMEOUT;
        let listed = self.listed.values().filter(|info| {
            let is_unknown = !self.known.contains_key(&info.name);
            info.hall == self.own.hall
                && info.name != self.own.name
                && !info.leaving
                && is_unknown
                && is_starting
        });
        let live = self.known.values().filter(|known| {
            let listed_leaving = self
                .listed
                .get(&known.row.name)
                .is_some_and(|info| info.leaving);
            known.row.hall == self.own.hall
                && !known.row.leaving
                && !listed_leaving
                && self.is_live(now, &known.row.name)
        });
        listed.count() + live.count() + usize::from(!self.own.leaving)
    }

    /// Demand of the other live boxes of the hall by workspace, in tokens per second.
    pub fn peer_demand(&self, now: Time) -> BTreeMap<WorkspaceName, f64> {
        let mut sums = BTreeMap::new();
        let live = self
            .known
            .values()
            .filter(|known| known.row.hall == self.own.hall && self.is_live(now, &known.row.name));
        for row in live.flat_map(|known| &known.demand) {
            *sums.entry(row.workspace.clone()).or_insert(0.0) += f64::from(row.tokens_per_s);
        }
        sums
    }

    /// Picks a random box to gossip with; on average, one in four exchanges goes to another hall.
    ///
    /// Boxes that are not live are picked as well, so that both sides reconnect after a network
    /// partition.
    pub fn pick_gossip_peer(&self, rng: &mut impl Rng) -> Option<&BoxInfo> {
        let others = || {
            self.listed
                .values()
                .filter(|info| info.name != self.own.name)
        };
        let other_hall = rng.random_bool(OTHER_HALL_PROBABILITY);
        let candidates = others().filter(|info| (info.hall != self.own.hall) == other_hall);
        candidates.choose(rng).or_else(|| others().choose(rng))
    }

    /// All other boxes that are listed or known, with the entry in the list and the known state.
    pub fn boxes(&self) -> impl Iterator<Item = (&BoxName, Option<&BoxInfo>, Option<&KnownBox>)> {
        let listed_only = self
            .listed
            .iter()
            .filter(|(name, _)| !self.known.contains_key(*name) && **name != self.own.name)
            .map(|(name, info)| (name, Some(info), None));
        let known = self
            .known
            .iter()
            .map(|(name, known)| (name, self.listed.get(name), Some(known)));
        listed_only.chain(known)
    }

    /// Removes boxes that are not listed and had no newer heartbeat for ten minutes.
    pub fn remove_expired(&mut self, now: Time) {
        const RETENTION: Duration = Duration::from_mins(10);
        let listed = &self.listed;
        self.known.retain(|name, known| {
            listed.contains_key(name) || now.since(known.heard_at) < RETENTION
        });
    }
}

fn is_newer(row: &BoxRow, than: &BoxRow) -> bool {
    if row.incarnation == than.incarnation {
        return (row.generation, row.heartbeat) > (than.generation, than.heartbeat);
    }
    (row.generation, row.incarnation) > (than.generation, than.incarnation)
}
