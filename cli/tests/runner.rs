//! Tests of the command line. Those that need a daemon are among the daemon's tests.

mod test_output;
mod test_suspects;
