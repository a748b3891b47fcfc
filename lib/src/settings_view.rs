//! Settings as the request path reads them: typed, and worked out once per revision.

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

/// Limits of one request class.
#[derive(Debug, Clone, PartialEq)]
pub struct ClassSettings {
    /// Whole time limit.
    pub time_limit: Duration,
    /// Time to reach a server.
    pub connect: Duration,
    /// Time to the first token beyond the prompt's prefill.
    pub first_token: Duration,
    /// Longest silence within an answer.
    pub between_tokens: Duration,
    /// Attempts for one request.
    pub max_attempts: u32,
    /// Order among waiting requests.
    pub priority: Priority,
    /// Waiting time worth one priority.
    pub ageing: Duration,
    /// Longest prompt, in tokens.
    pub max_prompt: u64,
    /// Longest answer, in tokens.
    pub max_output: u64,
    /// First guess of prompt bytes per token.
    pub bytes_per_token: f64,
}

/// A workspace's limits and keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkspaceSettings {
    /// Share against others.
    pub weight: u64,
    /// Requests a second for all boxes of a hall together.
    pub requests_per_s: u64,
    /// Tokens a second for all boxes of a hall together.
    pub tokens_per_s: u64,
    /// Waiting requests at one box.
    pub queue_requests: u64,
    digests: Vec<[u8; DIGEST_BYTES]>,
}

/// Routing settings of a data hall.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RoutingSettings {
    /// Servers drawn for one decision.
    pub samples: usize,
    /// Work kept queued at one engine.
    pub queue: Duration,
    /// Prompts above this many tokens are long.
    pub long_prompt: u64,
    /// Most engines, in percent, that long prompts may use.
    pub long_share_percent: u64,
    /// What another hall must be better by.
    pub hall_trip: Duration,
    /// Repeats per hundred first attempts.
    pub retry_percent: u64,
    /// Failures in a row that open a breaker.
    pub breaker_failures: u32,
    /// How long a breaker stays open.
    pub breaker_open: Duration,
    /// Life of what a silent box made an engine hold.
    pub holding_ttl: Duration,
}

/// Placement settings of a data hall.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlacementSettings {
    /// Life of the placement lease.
    pub lease_ttl: Duration,
    /// Engines wanted with each model.
    pub copies: BTreeMap<ModelName, u64>,
    /// How long a difference must last.
    pub hysteresis: Duration,
    /// Loads from the weight store a minute.
    pub loads_per_min: u64,
}

/// The typed view of one revision, for one data hall.
#[derive(Debug, Clone)]
pub struct SettingsView {
    /// The revision.
    pub revision: Revision,
    /// Routing in this hall.
    pub routing: RoutingSettings,
    /// Placement in this hall.
    pub placement: PlacementSettings,
    /// Largest body, in bytes, over all classes.
    pub max_body: usize,
    workspaces: BTreeMap<WorkspaceName, WorkspaceSettings>,
    classes: BTreeMap<NodeName, ClassSettings>,
}

impl SettingsView {
    /// Works the view out for a hall; a hall without a node of its own reads the root.
    pub fn new(active: &ActiveSettings, hall: &str) -> Self {
        let tree = &active.tree;
        let hall = NodeName::new(hall);
        let at = match tree.node(&hall) {
            Some(_) => hall,
            None => NodeName::new(ROOT),
        };
        let named = |kind| {
            tree.nodes()
                .iter()
                .filter(move |(_, node)| node.kind == kind)
        };
        let workspaces = named(NodeKind::Workspace)
            .map(|(name, _)| (WorkspaceName::new(name.as_str()), workspace(tree, name)))
            .collect();
        let classes = named(NodeKind::Workspace)
            .chain(named(NodeKind::Class))
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
            routing: routing(tree, &at),
            placement: placement(tree, &at),
            max_body: max_body as usize,
            workspaces,
            classes,
        }
    }

    /// A workspace's settings.
    pub fn workspace(&self, name: &WorkspaceName) -> Option<&WorkspaceSettings> {
        self.workspaces.get(name)
    }

    /// All workspaces.
    pub const fn workspaces(&self) -> &BTreeMap<WorkspaceName, WorkspaceSettings> {
        &self.workspaces
    }

    /// A class's settings; without a class, the workspace's own.
    pub fn class(&self, workspace: &WorkspaceName, class: Option<&str>) -> Option<&ClassSettings> {
        let node = match class {
            Some(class) => NodeName::new(format!("{workspace}/{class}")),
            None => NodeName::new(workspace.as_str()),
        };
        self.classes.get(&node)
    }

    /// The workspace that a key opens. Every digest is compared, in constant time.
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
        connect: millis(tree, node, Key::RequestConnect),
        first_token: millis(tree, node, Key::RequestFirstToken),
        between_tokens: millis(tree, node, Key::RequestBetweenTokens),
        max_attempts: tree.integer(node, Key::RequestMaxAttempts) as u32,
        priority: Priority::from_word(priority.as_str().unwrap_or_default()),
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
