//! Builders for what many tests need.

use badgerferry_lib::ids::EditId;
use badgerferry_lib::ids::NodeName;
use badgerferry_lib::settings_head::Edit;
use badgerferry_lib::settings_tree::Change;
use badgerferry_lib::settings_tree::NodeKind;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::Value;

/// A generator whose run repeats.
pub fn rng(seed: u64) -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(seed)
}

/// A change that adds a node.
pub fn add(node: &str, kind: NodeKind, parent: &str) -> Change {
    Change::Add {
        node: NodeName::new(node),
        kind,
        parent: NodeName::new(parent),
    }
}

/// A change that sets a value.
pub fn set(node: &str, key: &str, value: impl Into<Value>) -> Change {
    Change::Set {
        node: NodeName::new(node),
        key: key.to_owned(),
        value: value.into(),
    }
}

/// A change that takes a value back.
pub fn unset(node: &str, key: &str) -> Change {
    Change::Unset {
        node: NodeName::new(node),
        key: key.to_owned(),
    }
}

/// An edit with an identifier drawn from `seed`.
pub fn edit(seed: u64, changes: Vec<Change>) -> Edit {
    Edit {
        id: EditId::draw(&mut rng(seed)),
        author: "tester".to_owned(),
        made_at: 0,
        changes,
    }
}
