//! The edges' tests, in one runner.

mod test_peer;
