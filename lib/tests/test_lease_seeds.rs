//! Seeded simulations of leases and placement.
//!
//! To run more seeds: `cargo run --release --bin emulate -- seeds leases --count N`.

use badgerferry_testutils::seeded_leases;
use badgerferry_testutils::seeded_leases::LeaseCounts;
use badgerferry_testutils::seeds::run_seeds;

const SEEDS: u64 = 1_000;

#[test]
fn lease_invariants_hold_over_seeds() {
    let mut counts = LeaseCounts::default();

    let (results, failed_seeds) = run_seeds(0..SEEDS, seeded_leases::run);
    for result in results {
        counts.add(result);
    }

    assert!(
        failed_seeds.is_empty(),
        "seeds that violated an invariant: {failed_seeds:?}"
    );
    // Without enough changes of holder, refused orders and late orders the simulation proves
    // nothing.
    assert!(counts.holders > 2_000, "{counts:?}");
    assert!(counts.orders > 3_000, "{counts:?}");
    assert!(counts.fenced_off > 10, "{counts:?}");
    assert!(counts.late > 200, "{counts:?}");
}
