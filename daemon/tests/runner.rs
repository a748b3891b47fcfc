//! Tests of the daemon in one binary. They start the real programs as processes.

mod crash_fleet;
mod engines;
mod fake_peer;
mod relay_fleet;
mod test_boxes;
mod test_command_line;
mod test_end_to_end;
mod test_failures;
mod test_invalid_requests;
mod test_relay_boxes;
mod test_relay_calls;
mod test_relay_cold;
mod test_relay_crashes;
mod test_relay_eras;
mod test_relay_evacuation;
mod test_relay_evacuation_eras;
mod test_relay_evacuation_pulls;
mod test_relay_leaving;
mod test_relay_limits;
mod test_relay_prompt_parts;
mod test_relay_reservations;
mod test_relay_server_paths;
mod test_relay_shedding;
mod test_relay_slow_engines;
mod test_relay_slow_readers;
mod test_relay_unframed;
