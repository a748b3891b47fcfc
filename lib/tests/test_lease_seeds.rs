//! Long seeded runs of leases and placement.
//!
//! Any number of seeds: `cargo run --release --bin emulate -- seeds leases --count N`.

use badgerferry_testutils::seeded_leases;
use badgerferry_testutils::seeded_leases::LeaseCounts;
use badgerferry_testutils::seeds::run_seeds;

const SEEDS: u64 = 1_000;

#[test]
fn lease_invariants_hold_over_seeds() {
    let mut counts = LeaseCounts::default();

    let (results, broken) = run_seeds(0..SEEDS, seeded_leases::run);
    for result in results {
        counts.add(result);
    }

    assert!(
        broken.is_empty(),
        "seeds that broke an invariant: {broken:?}"
    );
    // The runs must have provoked what they are for, or they prove nothing.
    assert!(counts.holders > 2_000, "{counts:?}");
    assert!(counts.orders > 3_000, "{counts:?}");
    assert!(counts.fenced_off > 10, "{counts:?}");
    assert!(counts.late > 200, "{counts:?}");
}
