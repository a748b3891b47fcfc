//! Storage of the settings tree at the platform: one small head and immutable checkpoints.
//!
//! The head is the only value that is replaced, by compare-and-swap. It names a checkpoint and
//! carries the edits made since, so a following daemon reads a few kilobytes per edit and never
//! the whole tree. When the edits outgrow the head, the next commit first writes a new checkpoint
//! under an unused key, then swaps in a head that refers to it. A checkpoint that no head refers
//! to is garbage and harmless; one that a head refers to is never overwritten. The existence of a
//! key alone never means that an edit was committed.

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

use crate::ids::EditId;
use crate::ids::Revision;
use crate::settings_tree::Change;
use crate::settings_tree::ChangeTarget;
use crate::settings_tree::SettingsTree;
use crate::settings_tree::TreeError;

/// Key of the head.
pub const HEAD_KEY: &str = "settings/head";
/// Prefix of the keys of checkpoints.
pub const CHECKPOINT_PREFIX: &str = "settings/checkpoint/";
/// Maximum size of a value at the platform, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;
/// Maximum size of the edits in a head, in bytes: the most that a follower reads for one edit.
pub const MAX_HEAD_EDIT_BYTES: usize = 16_384;
/// Maximum number of edits in a head.
pub const MAX_HEAD_EDITS: usize = 64;

/// An edit as submitted by an operator.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Edit {
    /// Identifies the edit across lost responses and repeated submissions.
    pub id: EditId,
    /// Author as given on the command line.
    pub author: String,
    /// Creation time in seconds since the epoch; only displayed, no decision depends on it.
    pub made_at: u64,
    /// Changes, applied in this order.
    pub changes: Vec<Change>,
}

impl Edit {
    /// Nodes and keys that the edit touches.
    pub fn targets(&self) -> impl Iterator<Item = ChangeTarget> + '_ {
        self.changes.iter().map(Change::target)
    }

    /// Whether the edits touch a common node or key.
    pub fn overlaps(&self, other: &Self) -> bool {
        self.targets()
            .any(|own| other.targets().any(|theirs| own.overlaps(&theirs)))
    }
}

/// An edit with the revision that it produced.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CommittedEdit {
    /// Revision that the edit produced.
    pub revision: Revision,
    /// Edit as submitted.
    pub edit: Edit,
}

/// Reference to a stored checkpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CheckpointRef {
    /// Key at the platform.
    pub key: String,
    /// Revision of the tree in the checkpoint.
    pub revision: Revision,
}

/// The whole tree at one revision, with the edits since the previous checkpoint.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Checkpoint {
    /// Revision of the tree.
    pub revision: Revision,
    /// Tree at that revision.
    pub tree: SettingsTree,
    /// Edits since the previous checkpoint, oldest first.
    pub edits: Vec<CommittedEdit>,
    /// Previous checkpoint; `None` for the first.
    pub previous: Option<CheckpointRef>,
}

impl Checkpoint {
    /// Key derived from the revision and a digest of the content.
    pub fn key(&self) -> String {
        let digest = Sha256::digest(encode(self));
        format!(
            "{CHECKPOINT_PREFIX}{}-{}",
            self.revision,
            hex::encode(&digest[..16])
        )
    }

    /// Reference by key and revision.
    pub fn reference(&self) -> CheckpointRef {
        CheckpointRef {
            key: self.key(),
            revision: self.revision,
        }
    }
}

/// The value that commits replace: a reference to a checkpoint and the edits since.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Head {
    /// Revision of the tree that this head describes.
    pub revision: Revision,
    /// Checkpoint to start from; `None` means the default tree at revision 0.
    pub checkpoint: Option<CheckpointRef>,
    /// Edits since the checkpoint, oldest first, with consecutive revisions.
    pub edits: Vec<CommittedEdit>,
}

/// Why a stored value is invalid.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum HeadError {
    /// The value does not have the format that this build reads.
    #[error("invalid stored value: {0}")]
    Unreadable(String),
    /// The revisions of the edits are not consecutive from the checkpoint on.
    #[error("the head has no edit for revision {0}")]
    RevisionGap(Revision),
    /// The checkpoint is not the one that the head refers to.
    #[error("checkpoint mismatch: expected revision {wanted}, found {found}")]
    WrongCheckpoint {
        /// Revision that the head refers to.
        wanted: Revision,
        /// Revision of the given checkpoint.
        found: Revision,
    },
    /// An edit does not apply, or the resulting tree is invalid.
    #[error("failed to apply revision {revision}: {source}")]
    InvalidEdit {
        /// Revision of the edit.
        revision: Revision,
        /// Error of the tree.
        source: TreeError,
    },
}

impl Head {
    /// Decodes a head and checks that its revisions are consecutive.
    ///
    /// # Errors
    ///
    /// The bytes are not a valid head, or a revision is missing.
    pub fn decode(bytes: &[u8]) -> Result<Self, HeadError> {
        let head: Self = decode(bytes)?;
        let mut expected = head.base_revision();
        for committed in &head.edits {
            expected = expected.next();
            if committed.revision != expected {
                return Err(HeadError::RevisionGap(expected));
            }
        }
        if expected != head.revision {
            return Err(HeadError::RevisionGap(head.revision));
        }
        Ok(head)
    }

    /// Encodes the head as it is stored.
    pub fn encode(&self) -> Vec<u8> {
        encode(self)
    }

    /// Revision of the checkpoint that the head is based on; zero without a checkpoint.
    pub fn base_revision(&self) -> Revision {
        self.checkpoint
            .as_ref()
            .map_or(Revision::default(), |found| found.revision)
    }

    /// Builds the tree of the head from its checkpoint.
    ///
    /// # Errors
    ///
    /// The checkpoint is not the one of the head, or an edit does not apply.
    pub fn tree(&self, checkpoint: Option<&Checkpoint>) -> Result<SettingsTree, HeadError> {
        let (base, tree) = match checkpoint {
            Some(found) => (found.revision, found.tree.clone()),
            None => (Revision::default(), SettingsTree::default()),
        };
        if base != self.base_revision() {
            return Err(HeadError::WrongCheckpoint {
                wanted: self.base_revision(),
                found: base,
            });
        }
        self.advance(base, &tree)
    }

    /// Applies the edits after revision `from` to the tree at `from`.
    ///
    /// # Errors
    ///
    /// The edits of the head start after `from`, or an edit does not apply.
    pub fn advance(&self, from: Revision, tree: &SettingsTree) -> Result<SettingsTree, HeadError> {
        if from < self.base_revision() {
            return Err(HeadError::RevisionGap(from.next()));
        }
        let mut tree = tree.clone();
        for committed in self.edits.iter().filter(|edit| edit.revision > from) {
            tree =
                tree.apply(&committed.edit.changes)
                    .map_err(|source| HeadError::InvalidEdit {
                        revision: committed.revision,
                        source,
                    })?;
        }
        Ok(tree)
    }

    /// Finds an edit of this head by its identifier.
    pub fn find(&self, id: EditId) -> Option<&CommittedEdit> {
        self.edits.iter().find(|committed| committed.edit.id == id)
    }

    /// Whether this head stays within its limits if the edit is added.
    pub fn fits(&self, edit: &Edit) -> bool {
        let bytes = encode(&self.edits).len() + encode(edit).len();
        self.edits.len() < MAX_HEAD_EDITS && bytes <= MAX_HEAD_EDIT_BYTES
    }
}

/// Revision in the key of a checkpoint; zero for any other key.
fn key_revision(key: &str) -> Revision {
    let rest = key.strip_prefix(CHECKPOINT_PREFIX).unwrap_or_default();
    let digits = rest.split('-').next().unwrap_or_default();
    Revision(digits.parse().unwrap_or_default())
}

/// Keys of the checkpoints that may be removed, all but the `keep` newest.
///
/// A checkpoint that a slow commit is about to refer to is newer than the one of the head, so it
/// is not returned while the swap of that commit can still succeed; see `docs/design/settings.md`.
pub fn prunable_checkpoints(mut keys: Vec<String>, keep: usize) -> Vec<String> {
    keys.sort_by_key(|key| std::cmp::Reverse(key_revision(key)));
    keys.split_off(keep.min(keys.len()))
}

/// Encodes a value as it is stored.
///
/// # Panics
///
/// Never for the types of this library: they are plain data and all map keys are strings.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).expect("plain data always encodes")
}

/// Decodes a value from its stored form.
///
/// # Errors
///
/// The bytes are not a valid JSON encoding of the type.
pub fn decode<T: for<'de> Deserialize<'de>>(bytes: &[u8]) -> Result<T, HeadError> {
    serde_json::from_slice(bytes).map_err(|cause| HeadError::Unreadable(cause.to_string()))
}
