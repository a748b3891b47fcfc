//! Changes of the desired state in series: routes move to other services, share their calls between two, or get
//! other time limits.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use badgerferry_standin::sheet::CallKind;
use rand::Rng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use serde_json::json;

/// Time from a change until it is in force at all boxes.
const IN_FORCE: Duration = Duration::from_secs(2);
/// Calls in a hundred that a route sends to another service.
const OTHER_WEIGHT: u32 = 20;

/// The desired state, and which services its routes named when.
#[derive(Debug)]
pub struct Settings {
    state: Value,
    /// Service of each kind of calls at first, and its time limit in milliseconds.
    initial: Vec<(String, f64)>,
    /// Services that the route of each kind of calls named, since when.
    history: Vec<(Instant, Vec<BTreeSet<String>>)>,
}

impl Settings {
    /// A state whose routes are in the order of these kinds.
    pub fn new(state: Value, kinds: &[CallKind]) -> Self {
        let limit = |kind: &CallKind| {
            let limit = &state["routes"][kind.index]["timeout_ms"];
            limit.as_f64().unwrap_or_default()
        };
        let initial = kinds.iter().map(|kind| (kind.service.clone(), limit(kind)));
        let mut settings = Self {
            initial: initial.collect(),
            history: Vec::new(),
            state,
        };
        settings.record();
        settings
    }

    /// The present state.
    pub const fn state(&self) -> &Value {
        &self.state
    }

    /// Changes one route.
    pub fn change(&mut self, rng: &mut ChaCha8Rng) {
        let index = rng.random_range(0..self.initial.len());
        let (own, time_limit) = &self.initial[index];
        let others: Vec<&String> = self.initial.iter().map(|(service, _)| service).collect();
        let others: Vec<&&String> = others.iter().filter(|service| **service != own).collect();
        let other = others.choose(rng).map_or(own, |service| **service);
        let route = &mut self.state["routes"][index];
        match rng.random_range(0..5) {
            0 => {
                route["service"] = json!(other);
                route["backends"] = json!([]);
            }
            1 => {
                route["backends"] = json!([
                    {"service": own, "weight": 100 - OTHER_WEIGHT},
                    {"service": other, "weight": OTHER_WEIGHT},
                ]);
            }
            2 => route["timeout_ms"] = json!(time_limit * rng.random_range(0.5..1.5)),
            _ => {
                route["service"] = json!(own);
                route["backends"] = json!([]);
                route["timeout_ms"] = json!(time_limit);
            }
        }
        let version = self.state["version"].as_u64().unwrap_or_default();
        self.state["version"] = json!(version + 1);
        self.record();
    }

    fn record(&mut self) {
        let routes = (0..self.initial.len()).map(|index| {
            let route = &self.state["routes"][index];
            let backends = route["backends"].as_array().into_iter().flatten();
            let named = backends.filter_map(|backend| backend["service"].as_str());
            let mut services: BTreeSet<String> = named.map(str::to_owned).collect();
            if services.is_empty() {
                services.extend(route["service"].as_str().map(str::to_owned));
            }
            services
        });
        let routes = routes.collect();
        self.history.push((Instant::now(), routes));
    }

    /// Whether a state that may have been in force at this time sends calls of a kind to a service.
    pub fn may_send(&self, kind: usize, service: &str, at: Instant) -> bool {
        self.history
            .iter()
            .enumerate()
            .any(|(index, (since, routes))| {
                let until = self
                    .history
                    .get(index + 1)
                    .map(|(until, _)| *until + IN_FORCE);
                *since <= at
                    && until.is_none_or(|until| at < until)
                    && routes[kind].contains(service)
            })
    }
}
