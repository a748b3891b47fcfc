//! Controller for the placement of models on engines.
//!
//! Level-triggered: each reconciliation compares the desired state from the settings with the
//! state that engines report, and issues at most one load or unload per engine. After a lost order
//! the difference is still there, and the order is issued again. A difference must persist before
//! the controller acts, so that flapping reports have no effect. Loads are spaced evenly
//! within the weight store's limit of loads per minute. A new holder of the lease waits for one
//! interval between loads before its first load, so that the rate limit also holds across a change
//! of holder.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::time::Duration;

use crate::engine_wire::OrderAction;
use crate::ids::ModelName;
use crate::ids::ServerName;
use crate::long_prompt_engines::rendezvous_hash;
use crate::time::Time;

/// Time after which an order without visible effect is issued again.
const ORDER_RETRY_DELAY: Duration = Duration::from_secs(30);
/// Separates the name of a model from its version.
const VERSION_SEPARATOR: char = '@';

/// Reported state of an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ObservedEngine {
    /// Name of the engine.
    pub name: ServerName,
    /// Loaded models.
    pub models: BTreeSet<ModelName>,
    /// Number of requests that are generating on the engine.
    pub running: u64,
}

/// Desired placement in a hall.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DesiredPlacement {
    /// Desired number of engines per model; models without an entry are not changed.
    pub copies: BTreeMap<ModelName, u64>,
    /// Time for which a difference must persist before the controller acts.
    pub hysteresis: Duration,
    /// Maximum number of loads from the weight store per minute.
    pub loads_per_min: u64,
}

/// Uninterrupted period in which one box holds the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTerm {
    /// Fencing token of the lease.
    pub fence: u64,
    /// Start of the period.
    pub since: Time,
}

/// Reason for an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderReason {
    /// The engine has not accepted an order with this holder's fencing token yet.
    NewHolder,
    /// Fewer engines than desired have the model.
    TooFew {
        /// Number of engines that have it.
        have: u64,
        /// Desired number of engines.
        want: u64,
    },
    /// More engines than desired have the model.
    TooMany {
        /// Number of engines that have it.
        have: u64,
        /// Desired number of engines.
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

/// Order for one engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlacementOrder {
    /// Engine that receives the order.
    pub server: ServerName,
    /// Requested change.
    pub action: OrderAction,
    /// Reason for the order.
    pub reason: OrderReason,
}

/// Placement controller; runs on the box that holds the lease.
#[derive(Debug, Default)]
pub struct PlacementController {
    mismatch_since: BTreeMap<ModelName, Time>,
    pending: BTreeMap<ServerName, (OrderAction, Time)>,
    last_load: Option<Time>,
    fence: u64,
    fenced: BTreeSet<ServerName>,
}

impl PlacementController {
    /// Records that an engine accepted an order; it refuses orders of earlier holders from now on.
    pub fn on_order_accepted(&mut self, fence: u64, server: &ServerName) {
        if fence == self.fence {
            self.fenced.insert(server.clone());
        }
    }

    /// Compares desired and observed state and returns the orders to send.
    pub fn reconcile(
        &mut self,
        now: Time,
        term: LeaseTerm,
        desired: &DesiredPlacement,
        observed: &[ObservedEngine],
    ) -> Vec<PlacementOrder> {
        if term.fence != self.fence {
            self.fence = term.fence;
            self.fenced.clear();
        }
        self.remove_settled(now, observed);
        let mut orders = self.fence_engines(observed);
        for (model, &want) in &desired.copies {
            let have = self.copies(model, observed);
            if have == want {
                self.mismatch_since.remove(model);
                continue;
            }
            let since = *self.mismatch_since.entry(model.clone()).or_insert(now);
            if now.since(since) < desired.hysteresis {
                continue;
            }
            let order = if have < want {
                let reason = OrderReason::TooFew { have, want };
                self.load(now, term.since, desired, observed, model, reason)
            } else {
                let reason = OrderReason::TooMany { have, want };
                self.unload(now, desired, observed, model, reason)
            };
            orders.extend(order);
        }
        orders
    }

    /// Orders that only announce this holder's fencing token, for engines that have not accepted
    /// it. Engines then refuse orders of earlier holders that are still in transit.
    fn fence_engines(&self, observed: &[ObservedEngine]) -> Vec<PlacementOrder> {
        let unfenced = observed
            .iter()
            .filter(|engine| !self.fenced.contains(&engine.name));
        let order = |engine: &ObservedEngine| PlacementOrder {
            server: engine.name.clone(),
            action: OrderAction::Fence,
            reason: OrderReason::NewHolder,
        };
        unfenced.map(order).collect()
    }

    /// Number of engines with a model, assuming that pending orders take effect.
    fn copies(&self, model: &ModelName, observed: &[ObservedEngine]) -> u64 {
        let has = |engine: &&ObservedEngine| match self.pending.get(&engine.name) {
            Some((OrderAction::Load { model: ordered }, _)) if ordered == model => true,
            Some((OrderAction::Unload { model: ordered }, _)) if ordered == model => false,
            _ => engine.models.contains(model),
        };
        observed.iter().filter(has).count() as u64
    }

    /// Removes pending orders that took effect or are due to be issued again, and those of engines
    /// that are not observed any more.
    fn remove_settled(&mut self, now: Time, observed: &[ObservedEngine]) {
        self.pending.retain(|name, (action, at)| {
            let engine = observed.iter().find(|engine| engine.name == *name);
            let is_done = engine.is_none_or(|engine| match action {
                OrderAction::Fence => true,
                OrderAction::Load { model } => engine.models.contains(model),
                OrderAction::Unload { model } => !engine.models.contains(model),
            });
            !is_done && now.since(*at) < ORDER_RETRY_DELAY
        });
    }

    fn load(
        &mut self,
        now: Time,
        held_since: Time,
        desired: &DesiredPlacement,
        observed: &[ObservedEngine],
        model: &ModelName,
        reason: OrderReason,
    ) -> Option<PlacementOrder> {
        let load_interval = Duration::from_mins(1).div_f64(desired.loads_per_min.max(1) as f64);
        let interval_start = self
            .last_load
            .map_or(held_since, |last| last.max(held_since));
        if now.since(interval_start) < load_interval {
            return None;
        }
        let free = observed.iter().filter(|engine| {
            !engine.models.contains(model) && !self.pending.contains_key(&engine.name)
        });
        let selected = free.min_by_key(|engine| {
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
        Some(self.issue(now, selected.name.clone(), action, reason))
    }

    fn unload(
        &mut self,
        now: Time,
        desired: &DesiredPlacement,
        observed: &[ObservedEngine],
        model: &ModelName,
        reason: OrderReason,
    ) -> Option<PlacementOrder> {
        if desired.copies.get(model) == Some(&0) && !self.may_unload_all(model, desired, observed) {
            return None;
        }
        let loaded = observed
            .iter()
            .filter(|engine| engine.models.contains(model));
        let free = loaded.filter(|engine| !self.pending.contains_key(&engine.name));
        let selected = free.min_by_key(|engine| {
            let hash = rendezvous_hash(model, &engine.name);
            (engine.running, std::cmp::Reverse(hash))
        })?;
        let action = OrderAction::Unload {
            model: model.clone(),
        };
        Some(self.issue(now, selected.name.clone(), action, reason))
    }

    /// Whether all copies of a model may be unloaded: no other version of it is desired, or
    /// another desired version has all its copies, on engines that refuse orders of earlier
    /// holders. Until then the copies keep serving.
    fn may_unload_all(
        &self,
        model: &ModelName,
        desired: &DesiredPlacement,
        observed: &[ObservedEngine],
    ) -> bool {
        let replacements = desired.copies.iter().filter(|(other, want)| {
            *other != model && base_name(other) == base_name(model) && **want > 0
        });
        let mut fully_loaded = replacements.map(|(other, want)| {
            let has = |engine: &&ObservedEngine| {
                let is_unloading = matches!(
                    self.pending.get(&engine.name),
                    Some((OrderAction::Unload { model }, _)) if model == other
                );
                let is_fenced = self.fenced.contains(&engine.name);
                engine.models.contains(other) && is_fenced && !is_unloading
            };
            observed.iter().filter(has).count() as u64 >= *want
        });
        match fully_loaded.next() {
            None => true,
            Some(first) => first || fully_loaded.any(|is_loaded| is_loaded),
        }
    }

    fn issue(
        &mut self,
        now: Time,
        server: ServerName,
        action: OrderAction,
        reason: OrderReason,
    ) -> PlacementOrder {
        self.pending.insert(server.clone(), (action.clone(), now));
        PlacementOrder {
            server,
            action,
            reason,
        }
    }
}

fn base_name(model: &ModelName) -> &str {
    let text = model.as_str();
    text.split(VERSION_SEPARATOR).next().unwrap_or(text)
}
