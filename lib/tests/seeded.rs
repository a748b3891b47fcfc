//! Drawn inputs that are the same in every run.

use quickcheck::Gen;
use quickcheck::QuickCheck;

const TESTS: u64 = 2_000;

/// A checker with a fixed seed.
pub fn seeded() -> QuickCheck {
    let seeded = Gen::from_size_and_seed(100, 1);
    QuickCheck::new().rng(seeded).tests(TESTS).max_tests(TESTS)
}
