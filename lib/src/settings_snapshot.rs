//! A backup of the tree in a file: the tree, its revision, and a digest over both.

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

use crate::ids::Revision;
use crate::settings_head::encode;
use crate::settings_tree::SettingsTree;
use crate::settings_tree::TreeError;

/// Form of the file; another number is another form.
const FORM: u32 = 1;

/// The file's content.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SettingsSnapshot {
    form: u32,
    revision: Revision,
    digest: String,
    tree: SettingsTree,
}

/// Why a file is no usable backup.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotError {
    /// It is not JSON of the form.
    #[error("not a backup of settings: {0}")]
    Unreadable(String),
    /// It is of a form that this version does not know.
    #[error("form {0}; this version reads form {FORM}")]
    Form(u32),
    /// It was changed after it was written.
    #[error("the digest does not match: the file was changed")]
    Digest,
    /// The tree is not sound.
    #[error(transparent)]
    Tree(#[from] TreeError),
}

impl SettingsSnapshot {
    /// A backup of a tree.
    pub fn new(revision: Revision, tree: SettingsTree) -> Self {
        Self {
            form: FORM,
            revision,
            digest: digest(revision, &tree),
            tree,
        }
    }

    /// The revision that was written.
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// The tree.
    pub const fn tree(&self) -> &SettingsTree {
        &self.tree
    }

    /// The file's text.
    ///
    /// # Panics
    ///
    /// Never: the content is plain data with string keys.
    pub fn to_json(&self) -> String {
        serde_json::to_string_pretty(self).expect("plain data always encodes")
    }

    /// Reads and checks a file's text.
    ///
    /// # Errors
    ///
    /// It is no backup, was changed, or holds an unsound tree.
    pub fn from_json(text: &str) -> Result<Self, SnapshotError> {
        let snapshot: Self = serde_json::from_str(text)
            .map_err(|cause| SnapshotError::Unreadable(cause.to_string()))?;
        if snapshot.form != FORM {
            return Err(SnapshotError::Form(snapshot.form));
        }
        if snapshot.digest != digest(snapshot.revision, &snapshot.tree) {
            return Err(SnapshotError::Digest);
        }
        match snapshot.tree.validation_errors().into_iter().next() {
            Some(fault) => Err(fault.into()),
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
