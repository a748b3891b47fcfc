//! The command line's tests, in one runner; those that need a daemon are the daemon's.

mod test_output;
mod test_suspects;
