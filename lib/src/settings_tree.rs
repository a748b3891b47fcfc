//! Tree of the settings that operators edit; each node inherits from its parent.
//!
//! A tree is immutable: [`SettingsTree::apply`] builds a new tree from a list of changes and
//! validates all of it. The node without a parent is the root, and a node that sets nothing has
//! the same effective values as its parent. Inheritance follows the `parent` field and not the
//! name, so a node can be moved; a move that would make a cycle is rejected.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::ids::NodeName;
use crate::settings_schema::Key;
use crate::settings_schema::ValueError;

/// Longest name of a node, in bytes; 300 workspaces with classes must fit into one stored value.
pub const MAX_NAME_BYTES: usize = 64;
/// Maximum number of ancestors of a node; bounds the lookup of an effective value.
pub const MAX_DEPTH: usize = 16;

/// Kind of entity that a node configures.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NodeKind {
    /// The single node without a parent.
    Root,
    /// A region or another group of workspaces.
    Region,
    /// A data hall with its own placement and routing.
    Hall,
    /// A workspace: one customer.
    Workspace,
    /// A request class of a workspace, named `<workspace>/<class>`.
    Class,
}

/// A node of the tree.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Node {
    /// Kind of entity that the node configures.
    pub kind: NodeKind,
    /// Node to inherit from; `None` at the root.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub parent: Option<NodeName>,
    /// Overridden values by key.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub set: BTreeMap<String, Value>,
}

/// A change within an edit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "op", rename_all = "snake_case")]
pub enum Change {
    /// Adds a node without overrides.
    Add {
        /// Name of the new node.
        node: NodeName,
        /// Kind of the new node.
        kind: NodeKind,
        /// Node to inherit from.
        parent: NodeName,
    },
    /// Removes a node that has no children.
    Remove {
        /// Node to remove.
        node: NodeName,
    },
    /// Changes the parent of a node.
    Move {
        /// Node to move.
        node: NodeName,
        /// New parent.
        parent: NodeName,
    },
    /// Overrides a value.
    Set {
        /// Node to change.
        node: NodeName,
        /// Key to override.
        key: String,
        /// New value.
        value: Value,
    },
    /// Removes an override.
    Unset {
        /// Node to change.
        node: NodeName,
        /// Overridden key.
        key: String,
    },
}

/// What a change touches; two edits conflict if they have overlapping targets.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ChangeTarget {
    /// Node that is changed.
    pub node: NodeName,
    /// Key that is changed; `None` if the node itself is added, removed or moved.
    pub key: Option<String>,
}

impl ChangeTarget {
    /// Whether edits with these targets conflict.
    pub fn overlaps(&self, other: &Self) -> bool {
        self.node == other.node
            && (self.key.is_none() || other.key.is_none() || self.key == other.key)
    }
}

impl std::fmt::Display for ChangeTarget {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match &self.key {
            Some(key) => write!(f, "{}: {key}", self.node),
            None => write!(f, "{}", self.node),
        }
    }
}

impl Change {
    /// Node or key that the change touches.
    pub fn target(&self) -> ChangeTarget {
        let (node, key) = match self {
            Self::Add { node, .. } | Self::Remove { node } | Self::Move { node, .. } => {
                (node, None)
            }
            Self::Set { node, key, .. } | Self::Unset { node, key } => (node, Some(key.clone())),
        };
        ChangeTarget {
            node: node.clone(),
            key,
        }
    }
}

/// Why a tree or a change to it is rejected.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum TreeError {
    /// There is not exactly one root, or it has another name or a parent.
    #[error("the tree must have exactly one root, named `fleet`")]
    InvalidRoot,
    /// The named node does not exist.
    #[error("{0}: no such node")]
    NodeNotFound(NodeName),
    /// The node to add already exists.
    #[error("{0}: node already exists")]
    NodeExists(NodeName),
    /// The node to remove has children.
    #[error("{0}: other nodes inherit from it; remove or move them first")]
    HasChildren(NodeName),
    /// The parents of the node form a cycle.
    #[error("{0}: it would inherit from itself")]
    Cycle(NodeName),
    /// The node has more than [`MAX_DEPTH`] ancestors.
    #[error("{0}: node has more than {MAX_DEPTH} ancestors")]
    TooDeep(NodeName),
    /// The name is empty, too long or has invalid characters.
    #[error("{0}: invalid name: expected 1 to {MAX_NAME_BYTES} of a-z, 0-9, '-', '_', '.', '/'")]
    InvalidName(NodeName),
    /// The kind is not valid for this parent or name.
    #[error("{0}: node kind is not valid for this parent or name")]
    InvalidKind(NodeName),
    /// The key is not in the schema.
    #[error("{node}: {key}: no such setting")]
    UnknownKey {
        /// Node with the error.
        node: NodeName,
        /// Key as written.
        key: String,
    },
    /// The value is not valid for its key.
    #[error("{node}: {source}")]
    InvalidValue {
        /// Node with the error.
        node: NodeName,
        /// Describes the valid values and the actual one.
        source: ValueError,
    },
    /// The override to remove does not exist.
    #[error("{node}: {key} is not set on this node")]
    NotSet {
        /// Node with the error.
        node: NodeName,
        /// Key without an override.
        key: String,
    },
}

/// Name of the root node.
pub const ROOT: &str = "fleet";

/// An immutable tree of settings.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SettingsTree {
    nodes: BTreeMap<NodeName, Node>,
}

impl Default for SettingsTree {
    fn default() -> Self {
        let root = Node {
            kind: NodeKind::Root,
            parent: None,
            set: BTreeMap::new(),
        };
        Self {
            nodes: BTreeMap::from([(NodeName::new(ROOT), root)]),
        }
    }
}

impl SettingsTree {
    /// Nodes by name.
    pub const fn nodes(&self) -> &BTreeMap<NodeName, Node> {
        &self.nodes
    }

    /// Finds a node by name.
    pub fn node(&self, name: &NodeName) -> Option<&Node> {
        self.nodes.get(name)
    }

    /// Applies the changes in order and validates the resulting tree.
    ///
    /// # Errors
    ///
    /// The first error of the changes or of the resulting tree.
    pub fn apply(&self, changes: &[Change]) -> Result<Self, TreeError> {
        let mut next = self.clone();
        for change in changes {
            next.apply_change(change)?;
        }
        match next.validation_errors().into_iter().next() {
            Some(error) => Err(error),
            None => Ok(next),
        }
    }

    fn apply_change(&mut self, change: &Change) -> Result<(), TreeError> {
        match change {
            Change::Add { node, .. } if self.nodes.contains_key(node) => {
                Err(TreeError::NodeExists(node.clone()))
            }
            Change::Add { node, kind, parent } => {
                let added = Node {
                    kind: *kind,
                    parent: Some(parent.clone()),
                    set: BTreeMap::new(),
                };
                self.nodes.insert(node.clone(), added);
                Ok(())
            }
            Change::Remove { node } if self.has_children(node) => {
                Err(TreeError::HasChildren(node.clone()))
            }
            Change::Remove { node } => match self.nodes.remove(node) {
                Some(_) => Ok(()),
                None => Err(TreeError::NodeNotFound(node.clone())),
            },
            Change::Move { node, parent } => {
                self.node_mut(node)?.parent = Some(parent.clone());
                Ok(())
            }
            Change::Set { node, key, value } => {
                let found = self.node_mut(node)?;
                found.set.insert(key.clone(), value.clone());
                Ok(())
            }
            Change::Unset { node, key } => match self.node_mut(node)?.set.remove(key) {
                Some(_) => Ok(()),
                None => Err(TreeError::NotSet {
                    node: node.clone(),
                    key: key.clone(),
                }),
            },
        }
    }

    fn node_mut(&mut self, name: &NodeName) -> Result<&mut Node, TreeError> {
        self.nodes
            .get_mut(name)
            .ok_or_else(|| TreeError::NodeNotFound(name.clone()))
    }

    fn has_children(&self, name: &NodeName) -> bool {
        self.nodes
            .values()
            .any(|node| node.parent.as_ref() == Some(name))
    }

    /// All errors of the tree; empty if it is valid.
    pub fn validation_errors(&self) -> Vec<TreeError> {
        let mut errors = Vec::new();
        let roots: Vec<_> = self
            .nodes
            .iter()
            .filter(|(_, node)| node.kind == NodeKind::Root)
            .collect();
        match roots.as_slice() {
            [(name, root)] if name.as_str() == ROOT && root.parent.is_none() => {}
            _ => errors.push(TreeError::InvalidRoot),
        }
        for (name, node) in &self.nodes {
            errors.extend(self.parent_error(name, node));
            errors.extend(
                node.set
                    .iter()
                    .filter_map(|(key, value)| value_error(name, key, value)),
            );
        }
        errors
    }

    fn parent_error(&self, name: &NodeName, node: &Node) -> Option<TreeError> {
        if !is_valid_name(name) {
            return Some(TreeError::InvalidName(name.clone()));
        }
        let Some(parent_name) = &node.parent else {
            return (node.kind != NodeKind::Root).then(|| TreeError::InvalidKind(name.clone()));
        };
        let Some(parent) = self.nodes.get(parent_name) else {
            return Some(TreeError::NodeNotFound(parent_name.clone()));
        };
        if !is_kind_allowed(name, node.kind, parent_name, parent.kind) {
            return Some(TreeError::InvalidKind(name.clone()));
        }
        self.ancestor_error(name)
    }

    fn ancestor_error(&self, name: &NodeName) -> Option<TreeError> {
        let mut visited = BTreeSet::from([name]);
        let mut current = name;
        while let Some(parent) = self
            .nodes
            .get(current)
            .and_then(|node| node.parent.as_ref())
        {
            if !visited.insert(parent) {
                return Some(TreeError::Cycle(parent.clone()));
            }
            if visited.len() > MAX_DEPTH {
                return Some(TreeError::TooDeep(name.clone()));
            }
            current = parent;
        }
        None
    }

    /// Effective value of a key at a node, with the node that sets it; `None` if no node does.
    pub fn origin(&self, name: &NodeName, key: Key) -> Option<(&NodeName, &Value)> {
        let mut current = self.nodes.get_key_value(name);
        for _ in 0..=MAX_DEPTH {
            let (found, node) = current?;
            if let Some(value) = node.set.get(key.as_str()) {
                return Some((found, value));
            }
            current = node
                .parent
                .as_ref()
                .and_then(|parent| self.nodes.get_key_value(parent));
        }
        None
    }

    /// Effective value of a key at a node, or the default of the key.
    pub fn effective(&self, name: &NodeName, key: Key) -> Value {
        match self.origin(name, key) {
            Some((_, value)) => value.clone(),
            None => key.setting().domain.default_value(),
        }
    }

    /// Effective integer of a key at a node; zero for a key of another type.
    pub fn integer(&self, name: &NodeName, key: Key) -> u64 {
        self.effective(name, key).as_u64().unwrap_or_default()
    }

    /// Changes that turn this tree into `other`.
    pub fn changes_to(&self, other: &Self) -> Vec<Change> {
        let mut changes = Vec::new();
        for (name, node) in &other.nodes {
            self.node_changes(name, node, &mut changes);
        }
        // Children first: a node with children can't be removed.
        let mut removed: Vec<_> = self
            .nodes
            .keys()
            .filter(|name| !other.nodes.contains_key(*name))
            .collect();
        removed.sort_by_key(|name| std::cmp::Reverse(self.depth(name)));
        changes.extend(
            removed
                .into_iter()
                .map(|node| Change::Remove { node: node.clone() }),
        );
        changes
    }

    fn node_changes(&self, name: &NodeName, node: &Node, changes: &mut Vec<Change>) {
        let before = self.nodes.get(name);
        match (&node.parent, before) {
            (Some(parent), None) => changes.push(Change::Add {
                node: name.clone(),
                kind: node.kind,
                parent: parent.clone(),
            }),
            (Some(parent), Some(old)) if old.parent.as_ref() != Some(parent) => {
                changes.push(Change::Move {
                    node: name.clone(),
                    parent: parent.clone(),
                });
            }
            _ => {}
        }
        let empty = BTreeMap::new();
        let old_set = before.map_or(&empty, |old| &old.set);
        for (key, value) in node
            .set
            .iter()
            .filter(|(key, value)| old_set.get(*key) != Some(value))
        {
            changes.push(Change::Set {
                node: name.clone(),
                key: key.clone(),
                value: value.clone(),
            });
        }
        for key in old_set.keys().filter(|key| !node.set.contains_key(*key)) {
            changes.push(Change::Unset {
                node: name.clone(),
                key: key.clone(),
            });
        }
    }

    fn depth(&self, name: &NodeName) -> usize {
        std::iter::successors(Some(name), |current| {
            self.nodes
                .get(*current)
                .and_then(|node| node.parent.as_ref())
        })
        .take(MAX_DEPTH)
        .count()
    }
}

fn is_valid_name(name: &NodeName) -> bool {
    let text = name.as_str();
    (1..=MAX_NAME_BYTES).contains(&text.len())
        && text
            .bytes()
            .all(|b| matches!(b, b'a'..=b'z' | b'0'..=b'9' | b'-' | b'_' | b'.' | b'/'))
}

fn is_kind_allowed(
    name: &NodeName,
    kind: NodeKind,
    parent: &NodeName,
    parent_kind: NodeKind,
) -> bool {
    match (kind, parent_kind) {
        (NodeKind::Class, NodeKind::Workspace) => name
            .as_str()
            .strip_prefix(parent.as_str())
            .and_then(|rest| rest.strip_prefix('/'))
            .is_some_and(|class| !class.is_empty() && !class.contains('/')),
        (NodeKind::Root | NodeKind::Class, _) => false,
        (NodeKind::Region | NodeKind::Hall | NodeKind::Workspace, parent_kind) => {
            matches!(parent_kind, NodeKind::Root | NodeKind::Region) && !name.as_str().contains('/')
        }
    }
}

fn value_error(node: &NodeName, key: &str, value: &Value) -> Option<TreeError> {
    let Some(parsed) = Key::parse(key) else {
        return Some(TreeError::UnknownKey {
            node: node.clone(),
            key: key.to_owned(),
        });
    };
    parsed
        .check(value)
        .err()
        .map(|source| TreeError::InvalidValue {
            node: node.clone(),
            source,
        })
}
