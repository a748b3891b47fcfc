//! Seeded simulations of settings: concurrent operators, lost and delayed writes, outages.
//!
//! To run more seeds: `cargo run --release --bin emulate -- seeds settings --count N`.

use badgerferry_testutils::seeded_settings;
use badgerferry_testutils::seeded_settings::SettingsCounts;
use badgerferry_testutils::seeds::run_seeds;

const SEEDS: u64 = 1_000;

#[test]
fn settings_invariants_hold_over_seeds() {
    let mut counts = SettingsCounts::default();

    let (results, failed_seeds) = run_seeds(0..SEEDS, seeded_settings::run);
    for result in results {
        counts.add(result);
    }

    assert!(
        failed_seeds.is_empty(),
        "seeds that violated an invariant: {failed_seeds:?}"
    );
    // Without enough conflicts, lost responses and checkpoints the simulation proves nothing.
    assert!(counts.accepted > 30_000, "{counts:?}");
    assert!(counts.rejected > 30_000, "{counts:?}");
    assert!(counts.unsure > 1_000, "{counts:?}");
    assert!(counts.lost_answers > 10_000, "{counts:?}");
    assert!(counts.checkpoints > 200, "{counts:?}");
}
