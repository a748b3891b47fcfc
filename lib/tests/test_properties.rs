//! Properties of the settings tree, backups and decoders over random inputs.

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

/// Builds a valid tree by random changes from a seed; invalid changes are skipped.
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
fn trees_stay_valid_and_changes_transform_any_tree_into_any_other() {
    fn holds(one: u64, other: u64) -> bool {
        let (one, other) = (tree(one), tree(other));
        let changes = one.changes_to(&other);
        one.validation_errors().is_empty() && one.apply(&changes) == Ok(other)
    }
    seeded().quickcheck(holds as fn(u64, u64) -> bool);
}

#[test]
fn every_node_has_a_valid_value_for_every_key() {
    fn holds(seed: u64) -> bool {
        let tree = tree(seed);
        let is_valid = |name: &NodeName| {
            let keys = SETTINGS.iter().map(|setting| setting.key);
            keys.into_iter()
                .all(|key| key.check(&tree.effective(name, key)).is_ok())
        };
        tree.nodes().keys().all(is_valid)
    }
    seeded().quickcheck(holds as fn(u64) -> bool);
}

#[test]
fn backups_round_trip_and_corrupted_ones_are_rejected() {
    fn holds(seed: u64, at: usize, byte: u8) -> bool {
        let snapshot = SettingsSnapshot::new(Revision(seed % 1_000), tree(seed));
        let text = snapshot.to_json();
        let mut bytes = text.clone().into_bytes();
        let at = at % bytes.len();
        bytes[at] = byte;
        let corrupted = String::from_utf8(bytes).unwrap_or_default();
        let round_trips = SettingsSnapshot::from_json(&text).as_ref() == Ok(&snapshot);
        // Changed white space decodes to the same backup; any other change must be rejected.
        let other = SettingsSnapshot::from_json(&corrupted);
        let decodes_to_another = other.is_ok_and(|other| other != snapshot);
        round_trips && !decodes_to_another
    }
    seeded().quickcheck(holds as fn(u64, usize, u8) -> bool);
}

#[test]
fn unauthenticated_peer_frames_are_rejected() {
    #[expect(
        clippy::needless_pass_by_value,
        reason = "quickcheck passes arguments by value"
    )]
    fn holds(bytes: Vec<u8>) -> bool {
        let mut with_header = b"bf\x00\x01".to_vec();
        with_header.extend_from_slice(&bytes);
        with_header.extend_from_slice(&[0; 32]);
        let key = [1; peer_wire::KEY_BYTES];
        peer_wire::open(&key, &bytes).is_err() && peer_wire::open(&key, &with_header).is_err()
    }
    seeded().quickcheck(holds as fn(Vec<u8>) -> bool);
}

#[test]
fn arbitrary_bytes_are_rejected_as_settings_head() {
    #[expect(
        clippy::needless_pass_by_value,
        reason = "quickcheck passes arguments by value"
    )]
    fn holds(bytes: Vec<u8>) -> bool {
        Head::decode(&bytes).is_err()
    }
    seeded().quickcheck(holds as fn(Vec<u8>) -> bool);
}
