//! Tests of the clients, built as one binary.

mod test_byte_budget;
mod test_http_client;
mod test_peer;
mod test_service;
mod test_watched_stream;
