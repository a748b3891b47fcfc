//! What operators want: routes, services, workspaces and limits, as one version.
//!
//! A [`RouteTable`] is plain data that boxes also hand to each other. A [`RouteIndex`] is the
//! immutable view of one table that traffic reads: it finds a call's route and workspace.

use std::collections::HashMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::ModelName;
use crate::ids::WorkspaceName;
use crate::relay::call::CallKind;
use crate::relay::engine_plan::EngineModel;

/// Name of a service; its servers are interchangeable. The product calls it a pool, too.
pub type ServiceName = ModelName;

/// Part of a route's calls that goes to one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The service.
    pub service: ServiceName,
    /// Its part, relative to the other targets.
    pub weight: u32,
}

/// How calls of one path are handled.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Its name, for logs.
    pub name: String,
    /// Host that callers name, in lower case.
    pub host: String,
    /// Beginning of the path; begins and ends with a slash.
    pub path_prefix: String,
    /// How the answer comes.
    pub kind: CallKind,
    /// Longest that a call is held.
    pub time_limit: Duration,
    /// Until the first event or the answer, to be on time.
    pub objective: Duration,
    /// Longest pause between events, to be on time.
    pub pause: Option<Duration>,
    /// Servers that one call may be sent to.
    pub max_attempts: u32,
    /// Rank; 0 goes first.
    pub priority: u8,
    /// Whether calls need no key.
    pub public: bool,
    /// Services, at least one.
    pub targets: Vec<Target>,
}

/// Servers that do the same.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// How its servers generate, where they are model engines.
    pub engine: Option<EngineModel>,
}

/// Bounds on what callers send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Largest head, in bytes.
    pub header_bytes: usize,
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// From the first byte of a head to its last.
    pub header_time: Duration,
    /// How long a connection may rest between calls.
    pub idle_time: Duration,
}

/// A workspace and the keys of its callers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workspace {
    /// Its name.
    pub name: WorkspaceName,
    /// Keys that callers present.
    pub keys: Vec<String>,
    /// Its rank, which goes before a route's.
    pub priority: Option<u8>,
}

/// One version of what operators want.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RouteTable {
    /// Rises with each change.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<Service>,
    /// Bounds on callers.
    pub limits: CallerLimits,
    /// Workspaces; empty where calls carry no key.
    pub workspaces: Vec<Workspace>,
}

/// Whose call it is, as its key tells.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Holder {
    /// The workspace.
    pub workspace: WorkspaceName,
    /// Its rank, which goes before a route's.
    pub priority: Option<u8>,
}

/// Why a call is turned down before anything else.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Denied {
    /// No route has this host and path.
    #[error("there is no route for this host and path")]
    NoRoute,
    /// The key is missing or unknown.
    #[error("the key is missing or not known")]
    NoKey,
}

/// A table made ready for look-ups.
#[derive(Debug)]
pub struct RouteIndex {
    table: RouteTable,
    /// Routes of a host, longest prefix first.
    by_host: HashMap<String, Vec<usize>>,
    holders: HashMap<String, Holder>,
    services: HashMap<ServiceName, usize>,
    /// Longest good pause of the most urgent streams of a service.
    least_pauses: HashMap<ServiceName, Duration>,
}

impl RouteIndex {
    /// Indexes a table.
    pub fn new(table: RouteTable) -> Self {
        let mut by_host: HashMap<String, Vec<usize>> = HashMap::new();
        for (at, route) in table.routes.iter().enumerate() {
            by_host.entry(route.host.clone()).or_default().push(at);
        }
        for rows in by_host.values_mut() {
            rows.sort_by_key(|&at| std::cmp::Reverse(table.routes[at].path_prefix.len()));
        }
        let holders = (table.workspaces.iter())
            .flat_map(|workspace| workspace.keys.iter().map(move |key| (workspace, key)))
            .map(|(workspace, key)| {
                let holder = Holder {
                    workspace: workspace.name.clone(),
                    priority: workspace.priority,
                };
                (key.clone(), holder)
            })
            .collect();
        let services = (table.services.iter().enumerate())
            .map(|(at, service)| (service.name.clone(), at))
            .collect();
        Self {
            by_host,
            holders,
            services,
            least_pauses: least_pauses(&table),
            table,
        }
    }

    /// The table.
    pub const fn table(&self) -> &RouteTable {
        &self.table
    }

    /// A service.
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.services.get(name).map(|&at| &self.table.services[at])
    }

    /// Longest good pause of the most urgent streams of a service, if any states one.
    pub fn tightest_gap(&self, name: &ServiceName) -> Option<Duration> {
        self.least_pauses.get(name).copied()
    }

    /// The route of a call; `host` may carry a port.
    ///
    /// # Errors
    ///
    /// [`Denied::NoRoute`]
    pub fn route(&self, host: &str, path: &str) -> Result<&Route, Denied> {
        let host = host.split(':').next().unwrap_or_default();
        let host = host.to_ascii_lowercase();
        let rows = self.by_host.get(&host).ok_or(Denied::NoRoute)?;
        rows.iter()
            .map(|&at| &self.table.routes[at])
            .find(|route| path.starts_with(&route.path_prefix))
            .ok_or(Denied::NoRoute)
    }

    /// Whose call it is; nobody's where the route is public or no workspace exists.
    ///
    /// # Errors
    ///
    /// [`Denied::NoKey`]
    pub fn holder(&self, route: &Route, key: Option<&str>) -> Result<Option<&Holder>, Denied> {
        if self.table.workspaces.is_empty() {
            return Ok(None);
        }
        let found = key.and_then(|key| self.holders.get(key));
        match found {
            Some(holder) => Ok(Some(holder)),
            None if route.public => Ok(None),
            None => Err(Denied::NoKey),
        }
    }
}

fn least_pauses(table: &RouteTable) -> HashMap<ServiceName, Duration> {
    let mut least: HashMap<ServiceName, Duration> = HashMap::new();
    for route in &table.routes {
        for target in &route.targets {
            let Some(pause) = route.pause else { continue };
            let at = least.entry(target.service.clone()).or_insert(pause);
            *at = pause.min(*at);
        }
    }
    least
}

impl Route {
    /// The service for a call, by a number drawn evenly from 0 to 1.
    pub fn target(&self, drawn: f64) -> &ServiceName {
        let sum: u32 = self.targets.iter().map(|target| target.weight).sum();
        let mut left = drawn * f64::from(sum);
        for target in &self.targets {
            left -= f64::from(target.weight);
            if left < 0.0 {
                return &target.service;
            }
        }
        &self.targets[self.targets.len() - 1].service
    }
}
