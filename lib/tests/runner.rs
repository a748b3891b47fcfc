//! The library's tests, in one runner.

mod listed_server;
mod seeded;
mod test_docs;
mod test_lease_seeds;
mod test_placement;
mod test_properties;
mod test_relay_attempts;
mod test_relay_cells;
mod test_relay_engine_cell;
mod test_relay_engine_load;
mod test_relay_engine_pace;
mod test_relay_engine_plan;
mod test_relay_engine_time;
mod test_relay_event_join;
mod test_relay_hall_reach;
mod test_relay_long_queue;
mod test_relay_lost_calls;
mod test_relay_model;
mod test_relay_retry_window;
mod test_relay_route_table;
mod test_relay_server_book;
mod test_relay_server_list;
mod test_relay_stop;
mod test_request_seeds;
mod test_scenarios;
mod test_settings_seeds;
