//! Typed settings for the request path and the placement controller, computed once per revision.

use std::collections::BTreeMap;
use std::time::Duration;

use serde_json::Value;
use sha2::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;

use crate::ids::ModelName;
use crate::ids::NodeName;
use crate::ids::Revision;
use crate::ids::WorkspaceName;
use crate::priority::Priority;
use crate::settings_follower::ActiveSettings;
use crate::settings_schema::Key;
use crate::settings_tree::NodeKind;
use crate::settings_tree::ROOT;
use crate::settings_tree::SettingsTree;

const DIGEST_BYTES: usize = 32;

/// Settings of one request class.
#[derive(Debug, Clone, PartialEq)]
pub struct ClassSettings {
    /// Time limit from arrival to the last token.
    pub time_limit: Duration,
    /// Timeout for connecting to a server.
    pub connect_timeout: Duration,
    /// Time limit for the first token, in addition to the prefill of the prompt.
    pub first_token: Duration,
    /// Longest gap between tokens of a response.
    pub between_tokens: Duration,
    /// Maximum number of attempts for one request.
    pub max_attempts: u32,
    /// Priority among queued requests.
    pub priority: Priority,
    /// Time in the queue after which the priority rises by one level.
    pub ageing: Duration,
    /// Longest prompt, in tokens.
    pub max_prompt: u64,
    /// Longest output, in tokens.
    pub max_output: u64,
    /// Initial estimate of prompt bytes per token.
    pub bytes_per_token: f64,
}

/// Settings of a workspace, with the digests of the keys that authenticate its callers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkspaceSettings {
    /// Weight of the fair share among workspaces.
    pub weight: u64,
    /// Requests per second, for all boxes of a hall together.
    pub requests_per_s: u64,
    /// Tokens per second, for all boxes of a hall together.
    pub tokens_per_s: u64,
    /// Maximum number of queued requests at one box.
    pub queue_requests: u64,
    digests: Vec<[u8; DIGEST_BYTES]>,
}

/// Routing settings of a data hall.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RoutingSettings {
    /// Servers sampled for one routing decision.
    pub samples: usize,
    /// Work to keep queued at one engine.
    pub queue: Duration,
    /// Prompts with more tokens than this are long.
    pub long_prompt: u64,
    /// Largest share of the engines that long prompts may use, in percent.
    pub long_share_percent: u64,
    /// Time by which another hall must be better before a request is sent there.
    pub hall_trip: Duration,
    /// Retries per hundred first attempts.
    pub retry_percent: u64,
    /// Consecutive failures that open a circuit breaker.
    pub breaker_failures: u32,
    /// Time that a circuit breaker stays open.
    pub breaker_open: Duration,
    /// Time after which an engine frees the attempts and reservations of a box that no longer
    /// renews.
    pub holding_ttl: Duration,
}

/// Placement settings of a data hall.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlacementSettings {
    /// Time to live of the placement lease.
    pub lease_ttl: Duration,
    /// Desired number of engines of each model.
    pub copies: BTreeMap<ModelName, u64>,
    /// Time for which a difference from the desired state must persist before an order is given.
    pub hysteresis: Duration,
    /// Maximum number of model loads from the weight store per minute.
    pub loads_per_min: u64,
}

/// Typed settings of one revision for one data hall.
#[derive(Debug, Clone)]
pub struct SettingsView {
    /// Revision of the settings.
    pub revision: Revision,
    /// Routing settings of the hall.
    pub routing: RoutingSettings,
    /// Placement settings of the hall.
    pub placement: PlacementSettings,
    /// Maximum size of a request body, in bytes: the largest limit of all nodes.
    pub max_body: usize,
    workspaces: BTreeMap<WorkspaceName, WorkspaceSettings>,
    classes: BTreeMap<NodeName, ClassSettings>,
}

impl SettingsView {
    /// Computes the settings of a hall; a hall without its own node uses the root.
    pub fn new(active: &ActiveSettings, hall: &str) -> Self {
        let tree = &active.tree;
        let hall = NodeName::new(hall);
        let node = match tree.node(&hall) {
            Some(_) => hall,
            None => NodeName::new(ROOT),
        };
        let nodes_of_kind = |kind| {
            tree.nodes()
                .iter()
                .filter(move |(_, node)| node.kind == kind)
        };
        let workspaces = nodes_of_kind(NodeKind::Workspace)
            .map(|(name, _)| (WorkspaceName::new(name.as_str()), workspace(tree, name)))
            .collect();
        let classes = nodes_of_kind(NodeKind::Workspace)
            .chain(nodes_of_kind(NodeKind::Class))
            .map(|(name, _)| (name.clone(), class(tree, name)))
            .collect();
        let max_body = tree
            .nodes()
            .keys()
            .map(|name| tree.integer(name, Key::RequestMaxBody))
            .max()
            .unwrap_or_default();
        Self {
            revision: active.revision,
            routing: routing(tree, &node),
            placement: placement(tree, &node),
            max_body: max_body as usize,
            workspaces,
            classes,
        }
    }

    /// Settings of a workspace; `None` if it has no node.
    pub fn workspace(&self, name: &WorkspaceName) -> Option<&WorkspaceSettings> {
        self.workspaces.get(name)
    }

    /// Settings of all workspaces, by name.
    pub const fn workspaces(&self) -> &BTreeMap<WorkspaceName, WorkspaceSettings> {
        &self.workspaces
    }

    /// Settings of a request class, or of the workspace itself without a class.
    pub fn class(&self, workspace: &WorkspaceName, class: Option<&str>) -> Option<&ClassSettings> {
        let node = match class {
            Some(class) => NodeName::new(format!("{workspace}/{class}")),
            None => NodeName::new(workspace.as_str()),
        };
        self.classes.get(&node)
    }

    /// Workspace that a caller's key authenticates. Compares all digests, each in constant time,
    /// so that the duration does not reveal which one matches.
    pub fn workspace_for_key(&self, key: &str) -> Option<&WorkspaceName> {
        let digest: [u8; DIGEST_BYTES] = Sha256::digest(key.as_bytes()).into();
        let mut found = None;
        for (name, workspace) in &self.workspaces {
            for known in &workspace.digests {
                if bool::from(known.ct_eq(&digest)) {
                    found = Some(name);
                }
            }
        }
        found
    }
}

fn millis(tree: &SettingsTree, node: &NodeName, key: Key) -> Duration {
    Duration::from_millis(tree.integer(node, key))
}

fn class(tree: &SettingsTree, node: &NodeName) -> ClassSettings {
    let priority = tree.effective(node, Key::RequestPriority);
    ClassSettings {
        time_limit: millis(tree, node, Key::RequestTimeLimit),
        connect_timeout: millis(tree, node, Key::RequestConnect),
        first_token: millis(tree, node, Key::RequestFirstToken),
        between_tokens: millis(tree, node, Key::RequestBetweenTokens),
        max_attempts: tree.integer(node, Key::RequestMaxAttempts) as u32,
        priority: Priority::from_setting(priority.as_str().unwrap_or_default()),
        ageing: millis(tree, node, Key::RequestAgeing),
        max_prompt: tree.integer(node, Key::RequestMaxPrompt),
        max_output: tree.integer(node, Key::RequestMaxOutput),
        bytes_per_token: tree.integer(node, Key::ModelBytesPerToken) as f64 / 100.0,
    }
}

fn workspace(tree: &SettingsTree, node: &NodeName) -> WorkspaceSettings {
    let digests = match tree.effective(node, Key::WorkspaceKeys) {
        Value::Array(rows) => rows.iter().filter_map(digest).collect(),
        _ => Vec::new(),
    };
    WorkspaceSettings {
        weight: tree.integer(node, Key::WorkspaceWeight),
        requests_per_s: tree.integer(node, Key::WorkspaceRequests),
        tokens_per_s: tree.integer(node, Key::WorkspaceTokens),
        queue_requests: tree.integer(node, Key::WorkspaceQueue),
        digests,
    }
}

fn digest(value: &Value) -> Option<[u8; DIGEST_BYTES]> {
    let bytes = hex::decode(value.as_str()?).ok()?;
    bytes.try_into().ok()
}

fn routing(tree: &SettingsTree, node: &NodeName) -> RoutingSettings {
    RoutingSettings {
        samples: tree.integer(node, Key::RoutingSamples) as usize,
        queue: millis(tree, node, Key::RoutingQueue),
        long_prompt: tree.integer(node, Key::RoutingLongPrompt),
        long_share_percent: tree.integer(node, Key::RoutingLongShare),
        hall_trip: millis(tree, node, Key::RoutingHallTrip),
        retry_percent: tree.integer(node, Key::RetryBudget),
        breaker_failures: tree.integer(node, Key::BreakerFailures) as u32,
        breaker_open: millis(tree, node, Key::BreakerOpen),
        holding_ttl: millis(tree, node, Key::HoldingTtl),
    }
}

fn placement(tree: &SettingsTree, node: &NodeName) -> PlacementSettings {
    let copies = match tree.effective(node, Key::PlacementCopies) {
        Value::Object(rows) => rows
            .iter()
            .map(|(model, n)| (ModelName::new(model), n.as_u64().unwrap_or_default()))
            .collect(),
        _ => BTreeMap::new(),
    };
    PlacementSettings {
        lease_ttl: millis(tree, node, Key::LeaseTtl),
        copies,
        hysteresis: millis(tree, node, Key::PlacementHysteresis),
        loads_per_min: tree.integer(node, Key::PlacementLoads),
    }
}
