//! The daemon's tests, in one runner; they start the real programs.

mod test_whole_path;
