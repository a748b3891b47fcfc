//! Clients of the platform, of backend servers and of peers.
//!
//! Each external system is a trait with one implementation, over HTTP or, for peers, over
//! `nng`. Another protocol needs only another implementation of the trait. This crate makes no
//! decisions: it makes each call once and returns the result.

pub mod byte_budget;
pub mod engine;
pub mod http_client;
pub mod no_delay_listener;
pub mod peer;
pub mod platform;
pub mod process_probe;
pub mod service;
pub mod watched_stream;
