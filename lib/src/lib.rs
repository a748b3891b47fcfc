//! Decision logic of the badgerferry serving layer, used by the daemon and embeddable elsewhere.
//!
//! Every component is a state machine without I/O: it takes the current time and an event and
//! returns typed actions. Clocks, randomness and identity are passed in. The same code runs in
//! the daemon, in scripted scenarios and in seeded simulations.
//!
//! The request path and the settings are implemented in separate modules, none of which belongs to
//! both. In the request path, [`exchange`] carries one request to its [`outcome`], and
//! [`dispatcher`] schedules all requests of a box. For the settings, [`settings_commit`] commits
//! edits of a [`settings_tree`], and [`settings_follower`] applies the committed revisions on each
//! box.

pub mod backoff;
pub mod breaker;
pub mod decision;
pub mod dispatcher;
pub mod engine_wire;
pub mod exchange;
pub mod exchange_action;
pub mod ids;
pub mod lease;
pub mod long_prompt_engines;
pub mod membership;
mod model_servers;
pub mod outcome;
pub mod peer_wire;
pub mod placement;
pub mod platform_wire;
pub mod priority;
pub mod relay;
pub mod request;
pub mod retry_budget;
pub mod routing;
pub mod server_view;
pub mod service_time;
pub mod settings_commit;
pub mod settings_follower;
pub mod settings_head;
pub mod settings_schema;
pub mod settings_snapshot;
pub mod settings_tree;
pub mod settings_view;
pub mod status_wire;
pub mod stop_plan;
pub mod stream_join;
pub mod time;
pub mod token_estimator;
pub mod wait_queue;
pub mod workspace_limit;
