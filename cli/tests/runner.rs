//! The command line's tests, in one runner; those that need a platform are the daemon's.

mod test_output;
