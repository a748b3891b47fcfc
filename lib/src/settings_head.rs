//! How the tree is stored at the platform: one small head and immutable checkpoints.
//!
//! The head is the only value that is ever swapped. It names a checkpoint and carries
//! the edits made since, so a daemon that follows reads a few kilobytes per edit and
//! never the whole tree. When the edits outgrow the head, the next editor first writes
//! a new checkpoint under a key that no one has used, then swaps a head that points to
//! it. A checkpoint that no head came to name is rubbish and harmless; one that is
//! named is never written again. No key is ever taken to mean "an edit happened".

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
/// Prefix of every checkpoint's key.
pub const CHECKPOINT_PREFIX: &str = "settings/checkpoint/";
/// Largest value that the platform holds, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;
/// Most bytes of edits in a head; a follower reads this much at worst for one edit.
pub const MAX_HEAD_EDIT_BYTES: usize = 16_384;
/// Most edits in a head.
pub const MAX_HEAD_EDITS: usize = 64;

/// An edit as an operator submits it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Edit {
    /// Identifies the edit through lost answers and repeats.
    pub id: EditId,
    /// Who made it, as the command line was told.
    pub author: String,
    /// Seconds since the epoch when it was made; shown, never decided on.
    pub made_at: u64,
    /// What it changes.
    pub changes: Vec<Change>,
}

impl Edit {
    /// The parts of the tree that it touches.
    pub fn targets(&self) -> impl Iterator<Item = ChangeTarget> + '_ {
        self.changes.iter().map(Change::target)
    }

    /// Whether it touches a part that `other` touches too.
    pub fn overlaps(&self, other: &Self) -> bool {
        self.targets()
            .any(|mine| other.targets().any(|theirs| mine.overlaps(&theirs)))
    }
}

/// An edit that was committed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CommittedEdit {
    /// The revision that it made.
    pub revision: Revision,
    /// The edit.
    pub edit: Edit,
}

/// Where a checkpoint is kept.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CheckpointRef {
    /// Its key at the platform.
    pub key: String,
    /// The revision of its tree.
    pub revision: Revision,
}

/// The whole tree at one revision, with the edits that led from the checkpoint before.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Checkpoint {
    /// Revision of the tree.
    pub revision: Revision,
    /// The tree.
    pub tree: SettingsTree,
    /// Edits since the checkpoint before, oldest first.
    pub edits: Vec<CommittedEdit>,
    /// The checkpoint before; none for the first.
    pub previous: Option<CheckpointRef>,
}

impl Checkpoint {
    /// The key that its content gives it.
    pub fn key(&self) -> String {
        let digest = Sha256::digest(encode(self));
        format!(
            "{CHECKPOINT_PREFIX}{}-{}",
            self.revision,
            hex::encode(&digest[..16])
        )
    }

    /// A pointer to it.
    pub fn reference(&self) -> CheckpointRef {
        CheckpointRef {
            key: self.key(),
            revision: self.revision,
        }
    }
}

/// The swapped value: a checkpoint's name and the edits since.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Head {
    /// Revision of the tree that this head describes.
    pub revision: Revision,
    /// The checkpoint to start from; none means the default tree at revision 0.
    pub checkpoint: Option<CheckpointRef>,
    /// Edits since the checkpoint, oldest first, without a gap.
    pub edits: Vec<CommittedEdit>,
}

/// Why a stored value cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum HeadError {
    /// It is not what this version writes.
    #[error("the stored value can't be read: {0}")]
    Unreadable(String),
    /// The edits do not follow each other from the checkpoint on.
    #[error("the head's edits have a gap at revision {0}")]
    RevisionGap(Revision),
    /// The checkpoint is not the one that the head names.
    #[error("checkpoint {found} in place of {wanted}")]
    WrongCheckpoint {
        /// What the head names.
        wanted: Revision,
        /// What was given.
        found: Revision,
    },
    /// An edit does not apply, or the tree it makes is unsound.
    #[error("revision {revision} can't be applied: {source}")]
    InvalidEdit {
        /// The revision.
        revision: Revision,
        /// Why.
        source: TreeError,
    },
}

impl Head {
    /// Reads a head from the platform's bytes.
    ///
    /// # Errors
    ///
    /// The bytes are no head, or its edits have a gap.
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

    /// The bytes to store.
    pub fn encode(&self) -> Vec<u8> {
        encode(self)
    }

    /// Revision of the checkpoint that the edits start from.
    pub fn base_revision(&self) -> Revision {
        self.checkpoint
            .as_ref()
            .map_or(Revision::default(), |found| found.revision)
    }

    /// The tree that the head describes, from its checkpoint.
    ///
    /// # Errors
    ///
    /// The checkpoint is another one, or an edit does not apply.
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

    /// Brings a tree at `from` up to the head's revision.
    ///
    /// # Errors
    ///
    /// The head does not reach back to `from`, or an edit does not apply.
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

    /// The committed form of an edit, if this head carries it.
    pub fn find(&self, id: EditId) -> Option<&CommittedEdit> {
        self.edits.iter().find(|committed| committed.edit.id == id)
    }

    /// Whether another edit of this size still fits.
    pub fn fits(&self, edit: &Edit) -> bool {
        let bytes = encode(&self.edits).len() + encode(edit).len();
        self.edits.len() < MAX_HEAD_EDITS && bytes <= MAX_HEAD_EDIT_BYTES
    }
}

/// The revision in a checkpoint's key; zero for a key that is none.
fn key_revision(key: &str) -> Revision {
    let rest = key.strip_prefix(CHECKPOINT_PREFIX).unwrap_or_default();
    let digits = rest.split('-').next().unwrap_or_default();
    Revision(digits.parse().unwrap_or_default())
}

/// The checkpoints that may be removed if the `kept` newest stay.
///
/// One that a slow editor is about to name is newer than the head's own, so it is never
/// among them while its swap can still succeed; see `docs/design/settings.md`.
pub fn prunable_checkpoints(mut keys: Vec<String>, kept: usize) -> Vec<String> {
    keys.sort_by_key(|key| std::cmp::Reverse(key_revision(key)));
    keys.split_off(kept.min(keys.len()))
}

/// Encodes a value as it is stored.
///
/// # Panics
///
/// Never for the types of this library: they are plain data with string keys.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).expect("plain data always encodes")
}

/// Decodes a stored value.
///
/// # Errors
///
/// The bytes are not such a value.
pub fn decode<T: for<'de> Deserialize<'de>>(bytes: &[u8]) -> Result<T, HeadError> {
    serde_json::from_slice(bytes).map_err(|cause| HeadError::Unreadable(cause.to_string()))
}
