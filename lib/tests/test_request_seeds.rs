//! Seeded simulations of the request path. The simulation asserts the invariants while it runs.
//!
//! To run any number of seeds: `cargo run --release --bin emulate -- seeds requests --count N`.

use badgerferry_testutils::seeded_requests;
use badgerferry_testutils::seeded_requests::RunCounts;
use badgerferry_testutils::seeds::run_seeds;

const SEEDS: u64 = 1_000;

#[test]
fn request_invariants_hold_over_seeds() {
    let mut counts = RunCounts::default();

    let (results, failed) = run_seeds(0..SEEDS, seeded_requests::run);
    for result in results {
        counts.add(result);
    }

    assert!(
        failed.is_empty(),
        "seeds that violated an invariant: {failed:?}"
    );
    // Guards against simulations that do not reach every kind of outcome.
    assert!(counts.completed > 10_000, "{counts:?}");
    assert!(counts.refused > 500, "{counts:?}");
    assert!(counts.failed > 500, "{counts:?}");
    assert!(counts.cancelled > 100, "{counts:?}");
    assert!(counts.lost_with_box > 50, "{counts:?}");
}
