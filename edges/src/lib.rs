//! The edges: how badgerferry talks to the platform and to backend servers.
//!
//! Each edge is a trait and one implementation over HTTP. The users' real protocols may
//! differ; then an implementation is added beside the one here and nothing else changes.
//! No decision is taken in this crate: a call is made once and its result is told.

pub mod engine;
pub mod http_client;
pub mod no_delay_listener;
pub mod peer;
pub mod platform;
pub mod service;
