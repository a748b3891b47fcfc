//! Which boxes there are: the platform's list joined with what boxes say of themselves.
//!
//! Each box counts a beat up and tells it to a few others, who pass it on within the data
//! hall. A box is live while news of its beat keeps coming, from whichever side: a cut
//! between two boxes hides neither from the other while a third reaches both. The list
//! lags and may flap; it says where a box is reached and that it should exist, never that
//! it lives. A restart is another incarnation; its rows replace the old life's.

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

/// Time between two exchanges that a box begins.
pub const GOSSIP_INTERVAL: Duration = Duration::from_secs(2);
/// Silence after which a box is no longer counted as live: some twenty exchanges, enough
/// for news to cross a hall of 39 boxes at [`MAX_GOSSIP_ROWS`] rows each.
pub const LIVENESS_TIMEOUT: Duration = Duration::from_secs(40);
/// Rows of other boxes in one message; bounds the bytes, whatever the hall's size.
pub const MAX_GOSSIP_ROWS: usize = 8;
/// Workspaces in one message's demand, the busiest first.
pub const MAX_DEMAND_ROWS: usize = 8;
/// Part of the exchanges that go to another data hall.
const OTHER_HALL_PART: f64 = 0.25;

/// What a box says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoxRow {
    /// Its name.
    pub name: BoxName,
    /// Its data hall.
    pub hall: HallName,
    /// Its life.
    pub incarnation: Incarnation,
    /// Grows from life to life.
    pub generation: u64,
    /// Grows within a life.
    pub heartbeat: u64,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// The settings in force there.
    pub revision: Revision,
}

/// What a box asks of one workspace's limit, in tokens a second.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandRow {
    /// The workspace.
    pub workspace: WorkspaceName,
    /// Tokens a second.
    pub tokens_per_s: u32,
}

/// A box as another knows it.
#[derive(Debug, Clone, PartialEq)]
pub struct KnownBox {
    /// Its latest row.
    pub row: BoxRow,
    /// When the latest row came.
    pub heard_at: Time,
    demand: Vec<DemandRow>,
}

/// One box's view of the others.
#[derive(Debug)]
pub struct Membership {
    own: BoxRow,
    listed: BTreeMap<BoxName, BoxInfo>,
    known: BTreeMap<BoxName, KnownBox>,
    started: Time,
}

impl Membership {
    /// The view of a box that knows nobody yet; `generation` is best taken from a clock.
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

    /// Takes the platform's list.
    pub fn on_list(&mut self, list: &BoxList) {
        let rows = list
            .boxes
            .iter()
            .map(|info| (info.name.clone(), info.clone()));
        self.listed = rows.collect();
    }

    /// Begins an exchange: counts the beat and gives the own row.
    pub fn advance_heartbeat(&mut self, leaving: bool, revision: Revision) -> BoxRow {
        self.own.heartbeat += 1;
        self.own.leaving = leaving;
        self.own.revision = self.own.revision.max(revision);
        self.own.clone()
    }

    /// The own row as it stands.
    pub const fn own(&self) -> &BoxRow {
        &self.own
    }

    /// Takes a row that came from the box itself or from another.
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

    /// A row of this box's earlier life that claims to be later is outdone.
    fn refute(&mut self, row: &BoxRow) {
        let other_life = row.incarnation != self.own.incarnation;
        if other_life && row.generation >= self.own.generation {
            self.own.generation = row.generation + 1;
        }
    }

    /// Takes a box's demand, told by itself.
    pub fn on_demand(&mut self, name: &BoxName, demand: Vec<DemandRow>) {
        if let Some(known) = self.known.get_mut(name) {
            known.demand = demand;
        }
    }

    /// Rows to tell a box of this hall: those heard of last, as many as fit.
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

    /// Whether a box is thought to live.
    pub fn is_live(&self, now: Time, name: &BoxName) -> bool {
        let known = self.known.get(name);
        known.is_some_and(|known| now.since(known.heard_at) < LIVENESS_TIMEOUT)
    }

    /// Boxes of this hall that serve, this one included unless it leaves.
    ///
    /// In its first seconds a box has heard of nobody and believes the list.
    pub fn serving_boxes(&self, now: Time) -> usize {
        let young = now.since(self.started) < LIVENESS_TIMEOUT;
        let listed = self.listed.values().filter(|info| {
            let unheard = !self.known.contains_key(&info.name);
            info.hall == self.own.hall
                && info.name != self.own.name
                && !info.leaving
                && unheard
                && young
        });
        let heard = self.known.values().filter(|known| {
            let listed_leaving = self
                .listed
                .get(&known.row.name)
                .is_some_and(|info| info.leaving);
            known.row.hall == self.own.hall
                && !known.row.leaving
                && !listed_leaving
                && self.is_live(now, &known.row.name)
        });
        listed.count() + heard.count() + usize::from(!self.own.leaving)
    }

    /// Demand of the hall's other live boxes by workspace, in tokens a second.
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

    /// Draws a box to exchange with; one in four of another hall, live or not.
    ///
    /// Silent boxes are drawn as well: that is how two sides find each other after a cut.
    pub fn pick_gossip_peer(&self, rng: &mut impl Rng) -> Option<&BoxInfo> {
        let others = || {
            self.listed
                .values()
                .filter(|info| info.name != self.own.name)
        };
        let elsewhere = rng.random_bool(OTHER_HALL_PART);
        let wanted = others().filter(|info| (info.hall != self.own.hall) == elsewhere);
        wanted.choose(rng).or_else(|| others().choose(rng))
    }

    /// Every box known or listed, with what is known of it.
    pub fn boxes(&self) -> impl Iterator<Item = (&BoxName, Option<&BoxInfo>, Option<&KnownBox>)> {
        let unheard = self
            .listed
            .iter()
            .filter(|(name, _)| !self.known.contains_key(*name) && **name != self.own.name)
            .map(|(name, info)| (name, Some(info), None));
        let heard = self
            .known
            .iter()
            .map(|(name, known)| (name, self.listed.get(name), Some(known)));
        unheard.chain(heard)
    }

    /// Forgets boxes that are neither listed nor heard of for long.
    pub fn remove_expired(&mut self, now: Time) {
        const FORGET_AFTER: Duration = Duration::from_mins(10);
        let listed = &self.listed;
        self.known.retain(|name, known| {
            listed.contains_key(name) || now.since(known.heard_at) < FORGET_AFTER
        });
    }
}

fn is_newer(row: &BoxRow, than: &BoxRow) -> bool {
    if row.incarnation == than.incarnation {
        return (row.generation, row.heartbeat) > (than.generation, than.heartbeat);
    }
    (row.generation, row.incarnation) > (than.generation, than.incarnation)
}
