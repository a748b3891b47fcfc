//! Tests of the clients, built as one binary.

mod test_peer;
