//! Long seeded runs of settings: racing operators, lost and late writes, outages.
//!
//! Any number of seeds: `cargo run --release --bin emulate -- seeds settings --count N`.

use badgerferry_testutils::seeded_settings;
use badgerferry_testutils::seeded_settings::SettingsCounts;

const SEEDS: u64 = 1_000;

#[test]
fn settings_invariants_hold_over_seeds() {
    let mut counts = SettingsCounts::default();

    for seed in 0..SEEDS {
        counts.add(seeded_settings::run(seed));
    }

    // The runs must have provoked what they are for, or they prove nothing.
    assert!(counts.accepted > 30_000, "{counts:?}");
    assert!(counts.rejected > 30_000, "{counts:?}");
    assert!(counts.unsure > 1_000, "{counts:?}");
    assert!(counts.lost_answers > 10_000, "{counts:?}");
    assert!(counts.checkpoints > 200, "{counts:?}");
}
