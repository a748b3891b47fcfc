//! Property checks with a fixed seed, so that every run checks the same inputs.

use quickcheck::Gen;
use quickcheck::QuickCheck;

const CASES: u64 = 2_000;

/// Checker with a fixed seed and a fixed number of cases.
pub fn seeded() -> QuickCheck {
    let generator = Gen::from_size_and_seed(100, 1);
    QuickCheck::new()
        .rng(generator)
        .tests(CASES)
        .max_tests(CASES)
}
