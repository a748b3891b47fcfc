//! The operators' tree of settings: nodes that inherit from their parent.
//!
//! A tree is an immutable state; [`SettingsTree::apply`] makes the next one from a list
//! of changes and checks it whole. The one without a parent is the root, and a node that
//! sets nothing is its parent's equal. Names say nothing about descent; the parent
//! does, so a node can be moved, and a cycle is refused where it would arise.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::ids::NodeName;
use crate::settings_schema::Key;
use crate::settings_schema::ValueError;

/// Longest name of a node, in bytes; 300 workspaces with classes must fit one value.
pub const MAX_NAME_BYTES: usize = 64;
/// Most ancestors a node may have; bounds the walk for one effective value.
pub const MAX_DEPTH: usize = 16;

/// What a node stands for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NodeKind {
    /// The one node without a parent.
    Root,
    /// A region or any other group of workspaces.
    Region,
    /// A data hall: placement and routing of its own.
    Hall,
    /// A workspace.
    Workspace,
    /// A request class under a workspace; its name is the workspace's, a slash and the class.
    Class,
}

/// One node of the tree.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Node {
    /// What it stands for.
    pub kind: NodeKind,
    /// Where it inherits from; none at the root.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub parent: Option<NodeName>,
    /// The values that it overrides.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub set: BTreeMap<String, Value>,
}

/// One change of an edit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "op", rename_all = "snake_case")]
pub enum Change {
    /// Adds a node that sets nothing.
    Add {
        /// The new node.
        node: NodeName,
        /// What it stands for.
        kind: NodeKind,
        /// Where it inherits from.
        parent: NodeName,
    },
    /// Removes a node that has no children.
    Remove {
        /// The node to go.
        node: NodeName,
    },
    /// Lets a node inherit from another.
    Move {
        /// The node to move.
        node: NodeName,
        /// Its new parent.
        parent: NodeName,
    },
    /// Overrides a value.
    Set {
        /// The node.
        node: NodeName,
        /// The key.
        key: String,
        /// The value.
        value: Value,
    },
    /// Takes an override back.
    Unset {
        /// The node.
        node: NodeName,
        /// The key.
        key: String,
    },
}

/// A part of the tree that a change touches; two edits conflict if they share one.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ChangeTarget {
    /// The node touched.
    pub node: NodeName,
    /// The key touched; none for the node's own being and descent.
    pub key: Option<String>,
}

impl ChangeTarget {
    /// Whether two edits that touch these parts conflict.
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
    /// The part of the tree that the change touches.
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

/// Why a tree or an edit of it is refused.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum TreeError {
    /// The tree has no root, or more than one.
    #[error("a tree has exactly one root, and it is named `fleet`")]
    Root,
    /// A node that was named does not exist.
    #[error("{0}: no such node")]
    NodeNotFound(NodeName),
    /// A node that was to be added exists.
    #[error("{0}: the node exists already")]
    NodeExists(NodeName),
    /// A node to be removed has children.
    #[error("{0}: other nodes inherit from it; remove or move them first")]
    HasChildren(NodeName),
    /// A node would inherit from itself.
    #[error("{0}: it would inherit from itself")]
    Cycle(NodeName),
    /// A node has too many ancestors.
    #[error("{0}: more than {MAX_DEPTH} ancestors")]
    TooDeep(NodeName),
    /// A name is empty, too long or has characters that names do not have.
    #[error("{0}: names have 1 to {MAX_NAME_BYTES} of a-z, 0-9, '-', '_', '.', '/'")]
    InvalidName(NodeName),
    /// The kind does not go with the parent's or the name.
    #[error("{0}: a node of this kind can't stand here")]
    InvalidKind(NodeName),
    /// There is no such key.
    #[error("{node}: {key}: no such setting")]
    UnknownKey {
        /// The node.
        node: NodeName,
        /// The key as written.
        key: String,
    },
    /// The value does not fit.
    #[error("{node}: {source}")]
    InvalidValue {
        /// The node.
        node: NodeName,
        /// What was expected and found.
        source: ValueError,
    },
    /// The override to take back is not there.
    #[error("{node}: {key} is not set here")]
    NotSet {
        /// The node.
        node: NodeName,
        /// The key.
        key: String,
    },
}

/// Name of the root.
pub const ROOT: &str = "fleet";

/// An immutable state of the tree.
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
    /// All nodes by name.
    pub const fn nodes(&self) -> &BTreeMap<NodeName, Node> {
        &self.nodes
    }

    /// One node by name.
    pub fn node(&self, name: &NodeName) -> Option<&Node> {
        self.nodes.get(name)
    }

    /// Makes the next state.
    ///
    /// # Errors
    ///
    /// The first fault of the changes or of the tree that they would make.
    pub fn apply(&self, changes: &[Change]) -> Result<Self, TreeError> {
        let mut next = self.clone();
        for change in changes {
            next.apply_one(change)?;
        }
        match next.validation_errors().into_iter().next() {
            Some(fault) => Err(fault),
            None => Ok(next),
        }
    }

    fn apply_one(&mut self, change: &Change) -> Result<(), TreeError> {
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

    /// Every fault of the tree; none for a sound one.
    pub fn validation_errors(&self) -> Vec<TreeError> {
        let mut errors = Vec::new();
        let roots: Vec<_> = self
            .nodes
            .iter()
            .filter(|(_, node)| node.kind == NodeKind::Root)
            .collect();
        match roots.as_slice() {
            [(name, root)] if name.as_str() == ROOT && root.parent.is_none() => {}
            _ => errors.push(TreeError::Root),
        }
        for (name, node) in &self.nodes {
            errors.extend(self.descent_fault(name, node));
            errors.extend(
                node.set
                    .iter()
                    .filter_map(|(key, value)| value_fault(name, key, value)),
            );
        }
        errors
    }

    fn descent_fault(&self, name: &NodeName, node: &Node) -> Option<TreeError> {
        if !is_good_name(name) {
            return Some(TreeError::InvalidName(name.clone()));
        }
        let Some(parent_name) = &node.parent else {
            return (node.kind != NodeKind::Root).then(|| TreeError::InvalidKind(name.clone()));
        };
        let Some(parent) = self.nodes.get(parent_name) else {
            return Some(TreeError::NodeNotFound(parent_name.clone()));
        };
        if !kind_fits(name, node.kind, parent_name, parent.kind) {
            return Some(TreeError::InvalidKind(name.clone()));
        }
        self.walk_fault(name)
    }

    fn walk_fault(&self, name: &NodeName) -> Option<TreeError> {
        let mut seen = BTreeSet::from([name]);
        let mut at = name;
        while let Some(parent) = self.nodes.get(at).and_then(|node| node.parent.as_ref()) {
            if !seen.insert(parent) {
                return Some(TreeError::Cycle(parent.clone()));
            }
            if seen.len() > MAX_DEPTH {
                return Some(TreeError::TooDeep(name.clone()));
            }
            at = parent;
        }
        None
    }

    /// The value in force at a node and the node that sets it; none if no node does.
    pub fn origin(&self, name: &NodeName, key: Key) -> Option<(&NodeName, &Value)> {
        let mut at = self.nodes.get_key_value(name);
        for _ in 0..=MAX_DEPTH {
            let (found, node) = at?;
            if let Some(value) = node.set.get(key.as_str()) {
                return Some((found, value));
            }
            at = node
                .parent
                .as_ref()
                .and_then(|parent| self.nodes.get_key_value(parent));
        }
        None
    }

    /// The value in force at a node, or the key's default.
    pub fn effective(&self, name: &NodeName, key: Key) -> Value {
        match self.origin(name, key) {
            Some((_, value)) => value.clone(),
            None => key.setting().domain.default_value(),
        }
    }

    /// A whole number in force at a node; zero for a key that takes none.
    pub fn integer(&self, name: &NodeName, key: Key) -> u64 {
        self.effective(name, key).as_u64().unwrap_or_default()
    }

    /// The changes that lead from this state to `other`.
    pub fn changes_to(&self, other: &Self) -> Vec<Change> {
        let mut changes = Vec::new();
        for (name, node) in &other.nodes {
            self.node_changes(name, node, &mut changes);
        }
        // Children go before their parents.
        let mut gone: Vec<_> = self
            .nodes
            .keys()
            .filter(|name| !other.nodes.contains_key(*name))
            .collect();
        gone.sort_by_key(|name| std::cmp::Reverse(self.depth(name)));
        changes.extend(
            gone.into_iter()
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
        std::iter::successors(Some(name), |at| {
            self.nodes.get(*at).and_then(|node| node.parent.as_ref())
        })
        .take(MAX_DEPTH)
        .count()
    }
}

fn is_good_name(name: &NodeName) -> bool {
    let text = name.as_str();
    (1..=MAX_NAME_BYTES).contains(&text.len())
        && text
            .bytes()
            .all(|b| matches!(b, b'a'..=b'z' | b'0'..=b'9' | b'-' | b'_' | b'.' | b'/'))
}

fn kind_fits(name: &NodeName, kind: NodeKind, parent: &NodeName, parent_kind: NodeKind) -> bool {
    match (kind, parent_kind) {
        (NodeKind::Class, NodeKind::Workspace) => name
            .as_str()
            .strip_prefix(parent.as_str())
            .and_then(|rest| rest.strip_prefix('/'))
            .is_some_and(|class| !class.is_empty() && !class.contains('/')),
        (NodeKind::Root | NodeKind::Class, _) => false,
        (NodeKind::Region | NodeKind::Hall | NodeKind::Workspace, above) => {
            matches!(above, NodeKind::Root | NodeKind::Region) && !name.as_str().contains('/')
        }
    }
}

fn value_fault(node: &NodeName, key: &str, value: &Value) -> Option<TreeError> {
    let Some(known) = Key::parse(key) else {
        return Some(TreeError::UnknownKey {
            node: node.clone(),
            key: key.to_owned(),
        });
    };
    known
        .check(value)
        .err()
        .map(|source| TreeError::InvalidValue {
            node: node.clone(),
            source,
        })
}
