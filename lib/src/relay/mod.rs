//! Calls passed through as they are: which server, how often, and joined from what runs.
//!
//! A relayed call keeps its method, path, query and body; badgerferry decides where it goes,
//! whether it may be tried again, and which answer the caller gets. The parts here know
//! neither a platform nor a wire format: an adapter decodes both into these types.

pub mod attempts;
pub mod call;
pub mod call_quota;
pub mod call_rate;
pub mod cells;
pub mod engine_cell;
pub(crate) mod engine_group;
pub mod engine_load;
pub mod engine_pace;
pub mod engine_plan;
pub mod engine_time;
pub mod event_join;
pub mod hall_reach;
pub mod heard_boxes;
pub mod leaving_servers;
pub mod load_datagram;
pub mod long_queue;
pub mod lost_calls;
pub(crate) mod moment;
pub mod notice_uses;
pub mod permit_wire;
pub mod quarantine;
pub mod quota_keeper;
pub mod request_fingerprint;
pub mod retry_window;
pub mod route_table;
pub mod served_shares;
pub mod server_book;
pub mod server_limits;
pub mod server_list;
pub mod server_notices;
pub mod shedding_servers;
pub mod standing;
pub mod state_pull;
pub mod stated;
pub mod stop_plan;
pub mod store_cursor;
pub mod store_position;
pub mod suspect_request;
pub(crate) mod turns;
