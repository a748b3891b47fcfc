//! The daemon's tests, in one runner; they start the real programs.

mod engines;
mod relay_fleet;
mod test_bad_input;
mod test_boxes;
mod test_command_line;
mod test_failures;
mod test_relay_boxes;
mod test_relay_calls;
mod test_relay_crashes;
mod test_relay_eras;
mod test_relay_leaving;
mod test_relay_limits;
mod test_relay_reservations;
mod test_relay_shedding;
mod test_relay_slow_engines;
mod test_whole_path;
