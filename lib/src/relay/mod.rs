//! Relaying of calls: server selection, retries and joining of resumed streams.
//!
//! A relayed call keeps its method, path, query and body. badgerferry chooses the server,
//! decides whether to retry and selects the response that the caller receives. These modules
//! are independent of the platform and of wire formats; adapters decode both into these types.

pub mod attempts;
pub mod availability;
pub mod call;
pub mod call_quota;
pub mod call_rate;
pub mod call_sends;
pub mod carriers;
pub mod cold_servers;
pub mod connection_end;
pub mod engine_load;
pub mod engine_plan;
pub mod engine_utilization;
pub mod evacuated_halls;
pub mod event_join;
pub mod gossip_topology;
pub mod hall_hubs;
pub mod hall_planner;
pub mod hall_reachability;
pub mod held_bytes;
pub mod hub_wire;
pub mod leaving_servers;
pub mod limit_summary;
pub mod load_datagram;
pub mod long_prompt_queue;
pub mod lost_calls;
pub mod parsed_header;
pub mod peer_liveness;
pub mod permit_wire;
pub mod plain_selection;
pub(crate) mod prefill_selector;
pub mod prompt_parts;
pub mod pull_timer;
pub mod quarantine;
mod quarantine_evidence;
mod quarantine_report;
pub mod quota_owner;
pub mod reader_patience;
pub mod recent_box_count;
pub mod request_fingerprint;
mod retry_allowance;
pub mod retry_pool;
pub mod retry_window;
pub(crate) mod round_robin;
pub mod route_table;
pub mod served_shares;
pub mod server_bodies;
pub mod server_limits;
pub mod server_list;
pub mod server_notices;
pub mod server_paths;
pub mod server_tracker;
pub mod shedding_servers;
pub(crate) mod signed_time;
pub mod size_groups;
pub mod slow_engine_tracker;
pub mod state_pull;
pub mod stop_plan;
pub mod store_cursor;
pub mod store_position;
pub mod stream_gaps;
pub mod suspect_key;
pub mod suspect_record;
pub mod suspension;
