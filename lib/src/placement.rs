//! Which engines hold which models: wanted state, seen state, and orders that join them.
//!
//! Level-triggered: each round compares what the settings want with what the engines
//! report, and gives at most one order per engine. An order that was lost shows as a
//! difference that is still there, and is given again. A difference must last before
//! anything is done, so that a report that flickers moves nothing. Loads are spaced evenly
//! over the weight store's minute, and a new holder of the lease waits one space before
//! its first, so that the rate holds across a change of holder too.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::time::Duration;

use crate::engine_wire::OrderAction;
use crate::ids::ModelName;
use crate::ids::ServerName;
use crate::long_prompt_engines::rendezvous_hash;
use crate::time::Time;

/// Time after which an order that shows no effect is given again.
const REPEAT_AFTER: Duration = Duration::from_secs(30);
/// Mark between a model's name and its version.
const VERSION_MARK: char = '@';

/// An engine as it reports itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ObservedEngine {
    /// The engine.
    pub name: ServerName,
    /// Models loaded.
    pub models: BTreeSet<ModelName>,
    /// Requests that generate there.
    pub running: u64,
}

/// What is wanted.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DesiredPlacement {
    /// Engines wanted with each model; models that are not named are left alone.
    pub copies: BTreeMap<ModelName, u64>,
    /// How long a difference must last.
    pub hysteresis: Duration,
    /// Loads from the weight store a minute.
    pub loads_per_min: u64,
}

/// One holder's time with the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTerm {
    /// Its fencing number.
    pub fence: u64,
    /// When it began.
    pub since: Time,
}

/// Why an order is given.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderReason {
    /// The engine has not seen this holder's number yet.
    NewHolder,
    /// Fewer engines have the model than are wanted.
    TooFew {
        /// Engines that have it.
        have: u64,
        /// Engines wanted.
        want: u64,
    },
    /// More engines have the model than are wanted.
    TooMany {
        /// Engines that have it.
        have: u64,
        /// Engines wanted.
        want: u64,
    },
}

impl fmt::Display for OrderReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NewHolder => f.write_str("it has not seen this holder's number"),
            Self::TooFew { have, want } => write!(f, "{have} engines have it, {want} are wanted"),
            Self::TooMany { have, want } => {
                write!(f, "{have} engines have it, only {want} are wanted")
            }
        }
    }
}

/// An order to give.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlacementOrder {
    /// To which engine.
    pub server: ServerName,
    /// What to do.
    pub action: OrderAction,
    /// Why.
    pub reason: OrderReason,
}

/// The controller's state, on the box that holds the lease.
#[derive(Debug, Default)]
pub struct PlacementController {
    differs_since: BTreeMap<ModelName, Time>,
    given: BTreeMap<ServerName, (OrderAction, Time)>,
    last_load: Option<Time>,
    fence: u64,
    fenced: BTreeSet<ServerName>,
}

impl PlacementController {
    /// Records that an engine took an order: from here on it refuses earlier holders' orders.
    pub fn on_order_accepted(&mut self, fence: u64, server: &ServerName) {
        if fence == self.fence {
            self.fenced.insert(server.clone());
        }
    }

    /// Compares and gives the orders of this round.
    pub fn reconcile(
        &mut self,
        now: Time,
        tenure: LeaseTerm,
        wanted: &DesiredPlacement,
        seen: &[ObservedEngine],
    ) -> Vec<PlacementOrder> {
        if tenure.fence != self.fence {
            self.fence = tenure.fence;
            self.fenced.clear();
        }
        self.forget_done(now, seen);
        let mut orders = self.fence_engines(seen);
        for (model, &want) in &wanted.copies {
            let have = self.copies(model, seen);
            if have == want {
                self.differs_since.remove(model);
                continue;
            }
            let since = *self.differs_since.entry(model.clone()).or_insert(now);
            if now.since(since) < wanted.hysteresis {
                continue;
            }
            let order = if have < want {
                let reason = OrderReason::TooFew { have, want };
                self.load(now, tenure.since, wanted, seen, model, reason)
            } else {
                let reason = OrderReason::TooMany { have, want };
                self.unload(now, wanted, seen, model, reason)
            };
            orders.extend(order);
        }
        orders
    }

    /// Orders that do nothing but tell engines of this holder's number. An order of an earlier
    /// holder that is still on its way is refused from then on.
    fn fence_engines(&self, seen: &[ObservedEngine]) -> Vec<PlacementOrder> {
        let unfenced = seen
            .iter()
            .filter(|engine| !self.fenced.contains(&engine.name));
        let order = |engine: &ObservedEngine| PlacementOrder {
            server: engine.name.clone(),
            action: OrderAction::Fence,
            reason: OrderReason::NewHolder,
        };
        unfenced.map(order).collect()
    }

    /// Engines that have a model, counting orders that are under way.
    fn copies(&self, model: &ModelName, seen: &[ObservedEngine]) -> u64 {
        let has = |engine: &&ObservedEngine| match self.given.get(&engine.name) {
            Some((OrderAction::Load { model: ordered }, _)) if ordered == model => true,
            Some((OrderAction::Unload { model: ordered }, _)) if ordered == model => false,
            _ => engine.models.contains(model),
        };
        seen.iter().filter(has).count() as u64
    }

    fn forget_done(&mut self, now: Time, seen: &[ObservedEngine]) {
        self.given.retain(|name, (action, at)| {
            let engine = seen.iter().find(|engine| engine.name == *name);
            let done = engine.is_none_or(|engine| match action {
                OrderAction::Fence => true,
                OrderAction::Load { model } => engine.models.contains(model),
                OrderAction::Unload { model } => !engine.models.contains(model),
            });
            !done && now.since(*at) < REPEAT_AFTER
        });
    }

    fn load(
        &mut self,
        now: Time,
        held_since: Time,
        wanted: &DesiredPlacement,
        seen: &[ObservedEngine],
        model: &ModelName,
        reason: OrderReason,
    ) -> Option<PlacementOrder> {
        let space = Duration::from_mins(1).div_f64(wanted.loads_per_min.max(1) as f64);
        let from = self
            .last_load
            .map_or(held_since, |last| last.max(held_since));
        if now.since(from) < space {
            return None;
        }
        let free = seen.iter().filter(|engine| {
            !engine.models.contains(model) && !self.given.contains_key(&engine.name)
        });
        let chosen = free.min_by_key(|engine| {
            (
                engine.models.len(),
                engine.running,
                rendezvous_hash(model, &engine.name),
            )
        })?;
        self.last_load = Some(now);
        let action = OrderAction::Load {
            model: model.clone(),
        };
        Some(self.give(now, chosen.name.clone(), action, reason))
    }

    fn unload(
        &mut self,
        now: Time,
        wanted: &DesiredPlacement,
        seen: &[ObservedEngine],
        model: &ModelName,
        reason: OrderReason,
    ) -> Option<PlacementOrder> {
        if wanted.copies.get(model) == Some(&0) && !self.has_heir(model, wanted, seen) {
            return None;
        }
        let holders = seen.iter().filter(|engine| engine.models.contains(model));
        let free = holders.filter(|engine| !self.given.contains_key(&engine.name));
        let chosen = free.min_by_key(|engine| {
            let position = rendezvous_hash(model, &engine.name);
            (engine.running, std::cmp::Reverse(position))
        })?;
        let action = OrderAction::Unload {
            model: model.clone(),
        };
        Some(self.give(now, chosen.name.clone(), action, reason))
    }

    /// Whether the model's copies may go: no other version of it is wanted, or one that is
    /// wanted is loaded in full, on engines that refuse earlier holders' orders. Until then
    /// the old copies serve.
    fn has_heir(
        &self,
        model: &ModelName,
        wanted: &DesiredPlacement,
        seen: &[ObservedEngine],
    ) -> bool {
        let heirs = wanted
            .copies
            .iter()
            .filter(|(other, want)| *other != model && base(other) == base(model) && **want > 0);
        let mut loaded = heirs.map(|(other, want)| {
            let has = |engine: &&ObservedEngine| {
                let leaves = matches!(
                    self.given.get(&engine.name),
                    Some((OrderAction::Unload { model }, _)) if model == other
                );
                let fenced = self.fenced.contains(&engine.name);
                engine.models.contains(other) && fenced && !leaves
            };
            seen.iter().filter(has).count() as u64 >= *want
        });
        match loaded.next() {
            None => true,
            Some(first) => first || loaded.any(|full| full),
        }
    }

    fn give(
        &mut self,
        now: Time,
        server: ServerName,
        action: OrderAction,
        reason: OrderReason,
    ) -> PlacementOrder {
        self.given.insert(server.clone(), (action.clone(), now));
        PlacementOrder {
            server,
            action,
            reason,
        }
    }
}

fn base(model: &ModelName) -> &str {
    let text = model.as_str();
    text.split(VERSION_MARK).next().unwrap_or(text)
}
