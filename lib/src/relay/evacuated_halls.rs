//! Data halls that the operator evacuates: their servers get no new work until the hall is
//! restored.
//!
//! The operator's requests are items of the store. Each hall keeps its latest request with the
//! position at which it was written, so that requests can be merged in any order and an old one
//! never wins over a newer one. A restored hall stays listed for the same reason.
//!
//! A store that is restored from a backup may lack recent requests. An evacuation of an earlier era
//! that the backup doesn't list is unconfirmed: it is held for [`DEFAULT_UNCONFIRMED_HOLD`] or as
//! configured, unless the operator repeats or ends it before. An evacuation that the backup lists
//! takes effect, even if it had ended: to spare a hall costs capacity, to use one that is being shut
//! down costs calls.
//!
//! A box that reads the restored store before it hears a peer can't know what is held. Boxes
//! therefore announce a digest of what they hold, and a box that lacks it pulls.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::HallName;
use crate::relay::availability::Availability;
use crate::relay::store_position::StorePosition;

/// How long an evacuation that a restored store doesn't list stays in effect: time for the operator
/// to repeat it.
pub const DEFAULT_UNCONFIRMED_HOLD: Duration = Duration::from_secs(30);
/// Maximum number of halls kept; restored ones are evicted first, oldest first.
const MAX_HALLS: usize = 256;

/// Digest of the unconfirmed evacuations that a box holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct UnconfirmedDigest(u32);

/// Names of evacuated halls.
pub type HallSet = BTreeSet<HallName>;

/// The operator's request for a hall.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum HallRequest {
    /// No new work for the servers of the hall.
    Evacuate,
    /// The hall is used as usual.
    Restore,
}

/// Latest request for a hall, and the store position at which it was written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct HallState {
    position: StorePosition,
    request: HallRequest,
}

/// Latest requests by hall.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuatedHalls {
    halls: BTreeMap<HallName, HallState>,
}

/// Evacuations that a box holds without confirmation, as it passes them on to other boxes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnconfirmedHalls {
    /// Era of the store that lacks them.
    pub era: u64,
    /// For how much longer they are held.
    pub remaining: Duration,
    /// The evacuations, requested in earlier eras.
    pub halls: EvacuatedHalls,
}

impl EvacuatedHalls {
    /// Records a request; ignored if a newer one is known for the hall.
    pub fn record(&mut self, position: StorePosition, hall: HallName, request: HallRequest) {
        let newer = HallState { position, request };
        let known = self.halls.entry(hall).or_insert(newer);
        if known.position < position {
            *known = newer;
        }
        if self.halls.len() > MAX_HALLS {
            self.evict();
        }
    }

    /// Merges requests that are complete up to `position`. Evacuations of the same era that are
    /// missing from them have ended by then.
    pub fn merge(&mut self, position: StorePosition, complete: Self) {
        for (hall, state) in &mut self.halls {
            let has_ended = state.request == HallRequest::Evacuate
                && state.position <= position
                && state.position.shares_era_with(position)
                && !complete.halls.contains_key(hall);
            if has_ended {
                *state = HallState {
                    position,
                    request: HallRequest::Restore,
                };
            }
        }
        for (hall, state) in complete.halls {
            self.record(state.position, hall, state.request);
        }
    }

    /// Drops evacuations that were requested before `era` and are not confirmed in it.
    pub fn drop_unconfirmed(&mut self, era: u64) {
        self.halls
            .retain(|_, state| !is_unconfirmed_evacuation(state, era));
    }

    /// Evacuations that were requested before `era` and are not confirmed in it.
    #[must_use]
    pub fn unconfirmed(&self, era: u64) -> Self {
        let halls = self.halls.iter();
        let unconfirmed = halls.filter(|(_, state)| is_unconfirmed_evacuation(state, era));
        Self {
            halls: unconfirmed
                .map(|(hall, state)| (hall.clone(), *state))
                .collect(),
        }
    }

    /// Whether an evacuation was requested before `era` and is not confirmed in it.
    pub fn has_unconfirmed(&self, era: u64) -> bool {
        self.halls
            .values()
            .any(|state| is_unconfirmed_evacuation(state, era))
    }

    /// Digest of the unconfirmed evacuations, the same at every box; `None` if there are none.
    pub fn unconfirmed_digest(&self, era: u64) -> Option<UnconfirmedDigest> {
        if !self.has_unconfirmed(era) {
            return None;
        }
        let mut hasher = DefaultHasher::new();
        for (hall, state) in self.unconfirmed(era).halls {
            (hall.as_str(), state.position).hash(&mut hasher);
        }
        Some(UnconfirmedDigest(hasher.finish() as u32))
    }

    /// Adds the unconfirmed evacuations of another box. Newer requests stay.
    pub fn merge_unconfirmed(&mut self, era: u64, unconfirmed: Self) {
        for (hall, state) in unconfirmed.halls {
            if is_unconfirmed_evacuation(&state, era) {
                self.record(state.position, hall, state.request);
            }
        }
    }

    /// Halls that are evacuated.
    pub fn names(&self) -> HallSet {
        let evacuated = self.halls.iter();
        let evacuated = evacuated.filter(|(_, state)| state.request == HallRequest::Evacuate);
        evacuated.map(|(hall, _)| hall.clone()).collect()
    }

    /// Position of the latest request for a hall.
    pub fn position_of(&self, hall: &HallName) -> Option<StorePosition> {
        self.halls.get(hall).map(|state| state.position)
    }

    fn evict(&mut self) {
        let is_evacuated = |state: &HallState| state.request == HallRequest::Evacuate;
        let halls = self.halls.iter();
        let first = halls.min_by_key(|(_, state)| (is_evacuated(state), state.position));
        if let Some(hall) = first.map(|(hall, _)| hall.clone()) {
            self.halls.remove(&hall);
        }
    }
}

fn is_unconfirmed_evacuation(state: &HallState, era: u64) -> bool {
    state.request == HallRequest::Evacuate && state.position.era < era
}

/// Availability of a server, given the one that it announced itself and `halls`: its own and those
/// of the servers that it sends parts of a call to.
pub fn availability<'a>(
    evacuated: &HallSet,
    halls: impl IntoIterator<Item = &'a HallName>,
    announced: Availability,
) -> Availability {
    if halls.into_iter().any(|hall| evacuated.contains(hall)) {
        announced.max(Availability::Evacuated)
    } else {
        announced
    }
}
