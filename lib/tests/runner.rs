//! The library's tests, in one runner.

mod test_docs;
mod test_lease_seeds;
mod test_placement;
mod test_properties;
mod test_request_seeds;
mod test_scenarios;
mod test_settings_seeds;
