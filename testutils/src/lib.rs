//! Stand-ins and fixtures for badgerferry's tests.
//!
//! Each stand-in is a small model without I/O and a program that serves it over HTTP:
//! the platform, a model engine, a plain service. Each can be told to misbehave. There
//! is no topology and no network model here.

pub mod agenda;
pub mod crash_model;
pub mod fake_engine;
pub mod fake_platform;
pub mod fixtures;
pub mod fleet;
pub mod gossip_model;
pub mod http;
pub mod limit_model;
pub mod load;
pub mod processes;
pub mod relay_model;
pub mod retry_model;
pub mod seeded_leases;
pub mod seeded_requests;
pub mod seeded_settings;
pub mod seeds;
pub mod shed_model;
pub mod world;
