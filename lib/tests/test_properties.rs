//! Properties over drawn inputs.

use badgerferry_lib::ids::NodeName;
use badgerferry_lib::ids::Revision;
use badgerferry_lib::peer_wire;
use badgerferry_lib::settings_head::Head;
use badgerferry_lib::settings_schema::SETTINGS;
use badgerferry_lib::settings_snapshot::SettingsSnapshot;
use badgerferry_lib::settings_tree::Change;
use badgerferry_lib::settings_tree::NodeKind;
use badgerferry_lib::settings_tree::SettingsTree;
use badgerferry_testutils::fixtures::add;
use badgerferry_testutils::fixtures::rng;
use badgerferry_testutils::fixtures::set;
use rand::Rng;

use crate::seeded::seeded;

/// A sound tree, grown from a seed by changes of which the unsound are left out.
fn tree(seed: u64) -> SettingsTree {
    let mut rng = rng(seed);
    let mut tree = SettingsTree::default();
    for _ in 0..rng.random_range(0..30) {
        let one = rng.random_range(0..6);
        let other = rng.random_range(0..6);
        let node = format!("n{one}");
        let parent = if other == 0 {
            "fleet".to_owned()
        } else {
            format!("n{other}")
        };
        let change = match rng.random_range(0..5) {
            0 | 1 => add(&node, NodeKind::Region, &parent),
            2 => Change::Move {
                node: NodeName::new(node),
                parent: NodeName::new(parent),
            },
            _ => {
                let setting = SETTINGS[rng.random_range(0..SETTINGS.len())];
                set(&node, setting.key.as_str(), setting.domain.default_value())
            }
        };
        tree = tree.apply(&[change]).unwrap_or(tree);
    }
    tree
}

#[test]
fn trees_stay_sound_and_changes_lead_from_any_to_any() {
    fn holds(one: u64, other: u64) -> bool {
        let (one, other) = (tree(one), tree(other));
        let changes = one.changes_to(&other);
        one.validation_errors().is_empty() && one.apply(&changes) == Ok(other)
    }
    seeded().quickcheck(holds as fn(u64, u64) -> bool);
}

#[test]
fn every_node_has_a_value_for_every_key() {
    fn holds(seed: u64) -> bool {
        let tree = tree(seed);
        let fits = |name: &NodeName| {
            let keys = SETTINGS.iter().map(|setting| setting.key);
            keys.into_iter()
                .all(|key| key.check(&tree.effective(name, key)).is_ok())
        };
        tree.nodes().keys().all(fits)
    }
    seeded().quickcheck(holds as fn(u64) -> bool);
}

#[test]
fn backups_come_back_and_changed_ones_do_not() {
    fn holds(seed: u64, at: usize, byte: u8) -> bool {
        let snapshot = SettingsSnapshot::new(Revision(seed % 1_000), tree(seed));
        let text = snapshot.to_json();
        let mut bytes = text.clone().into_bytes();
        let at = at % bytes.len();
        bytes[at] = byte;
        let changed = String::from_utf8(bytes).unwrap_or_default();
        let comes_back = SettingsSnapshot::from_json(&text).as_ref() == Ok(&snapshot);
        // A change of white space leaves the same backup; any other is refused.
        let other = SettingsSnapshot::from_json(&changed);
        let passes_for_another = other.is_ok_and(|other| other != snapshot);
        comes_back && !passes_for_another
    }
    seeded().quickcheck(holds as fn(u64, usize, u8) -> bool);
}

#[test]
fn strangers_frames_are_refused_and_stop_nothing() {
    #[expect(
        clippy::needless_pass_by_value,
        reason = "the library hands values over"
    )]
    fn holds(bytes: Vec<u8>) -> bool {
        let mut marked = b"bf\x00\x01".to_vec();
        marked.extend_from_slice(&bytes);
        marked.extend_from_slice(&[0; 32]);
        let key = [1; peer_wire::KEY_BYTES];
        peer_wire::open(&key, &bytes).is_err() && peer_wire::open(&key, &marked).is_err()
    }
    seeded().quickcheck(holds as fn(Vec<u8>) -> bool);
}

#[test]
fn stored_heads_of_any_bytes_are_read_or_refused() {
    #[expect(
        clippy::needless_pass_by_value,
        reason = "the library hands values over"
    )]
    fn holds(bytes: Vec<u8>) -> bool {
        Head::decode(&bytes).is_err()
    }
    seeded().quickcheck(holds as fn(Vec<u8>) -> bool);
}
