//! Backup file of the settings tree: the tree, its revision, and a digest of both.

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

use crate::ids::Revision;
use crate::settings_head::encode;
use crate::settings_tree::SettingsTree;
use crate::settings_tree::TreeError;

/// Version of the file format; the field is named `form` in the file.
const FORMAT_VERSION: u32 = 1;

/// Content of a backup file.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SettingsSnapshot {
    form: u32,
    revision: Revision,
    digest: String,
    tree: SettingsTree,
}

/// Why a file is not a valid backup.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotError {
    /// The text is not JSON of this format.
    #[error("not a settings backup: {0}")]
    Unreadable(String),
    /// The format version is not supported.
    #[error("unsupported format version {0}; this build reads version {FORMAT_VERSION}")]
    UnsupportedFormat(u32),
    /// The file was changed after it was written.
    #[error("the digest does not match: the file was changed")]
    DigestMismatch,
    /// The tree in the file is invalid.
    #[error(transparent)]
    Tree(#[from] TreeError),
}

impl SettingsSnapshot {
    /// Creates a backup and computes its digest.
    pub fn new(revision: Revision, tree: SettingsTree) -> Self {
        Self {
            form: FORMAT_VERSION,
            revision,
            digest: digest(revision, &tree),
            tree,
        }
    }

    /// Revision of the tree in the backup.
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// Tree in the backup.
    pub const fn tree(&self) -> &SettingsTree {
        &self.tree
    }

    /// Content of the file as formatted JSON.
    ///
    /// # Panics
    ///
    /// Never: the content is plain data and all map keys are strings.
    pub fn to_json(&self) -> String {
        serde_json::to_string_pretty(self).expect("plain data always encodes")
    }

    /// Parses and validates the content of a file.
    ///
    /// # Errors
    ///
    /// The text is not a backup, was changed after it was written, or has an invalid tree.
    pub fn from_json(text: &str) -> Result<Self, SnapshotError> {
        let snapshot: Self = serde_json::from_str(text)
            .map_err(|cause| SnapshotError::Unreadable(cause.to_string()))?;
        if snapshot.form != FORMAT_VERSION {
            return Err(SnapshotError::UnsupportedFormat(snapshot.form));
        }
        if snapshot.digest != digest(snapshot.revision, &snapshot.tree) {
            return Err(SnapshotError::DigestMismatch);
        }
        match snapshot.tree.validation_errors().into_iter().next() {
            Some(error) => Err(error.into()),
            None => Ok(snapshot),
        }
    }
}

fn digest(revision: Revision, tree: &SettingsTree) -> String {
    let mut hash = Sha256::new();
    hash.update(revision.0.to_be_bytes());
    hash.update(encode(tree));
    hex::encode(hash.finalize())
}
