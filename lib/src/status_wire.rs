//! JSON types of a daemon's `/status` response, read by the command line.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::BoxName;
use crate::ids::HallName;
use crate::ids::Incarnation;
use crate::ids::Revision;
use crate::ids::ServerName;
use crate::server_view::ServerKind;

/// State of one daemon.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DaemonStatus {
    /// Name of the box.
    pub name: BoxName,
    /// Data hall of the box.
    pub hall: HallName,
    /// Incarnation of the daemon.
    pub incarnation: Incarnation,
    /// Whether the load balancer may send requests to this box.
    pub ready: bool,
    /// Whether a graceful shutdown is in progress.
    pub stopping: bool,
    /// State of the settings.
    pub settings: SettingsStatus,
    /// Time since the platform last responded, in milliseconds; `None` if it never did.
    pub platform_silent_ms: Option<u64>,
    /// Number of requests queued on this box.
    pub waiting: usize,
    /// Number of requests in flight at servers.
    pub active: usize,
    /// Last known state of the hall's placement lease.
    pub lease: Option<LeaseStatus>,
    /// Other boxes.
    pub peers: Vec<PeerStatus>,
    /// Backend servers known to this box.
    pub servers: Vec<ServerStatus>,
}

/// Settings that are active at a daemon.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct SettingsStatus {
    /// Active revision; zero if there is none yet.
    pub revision: Revision,
    /// Time since the platform confirmed that the revision is the newest, in milliseconds; `None`
    /// if it never did.
    pub unconfirmed_ms: Option<u64>,
    /// Error of the newest value, if that is invalid.
    pub fault: Option<String>,
}

/// Placement lease as seen by a daemon.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaseStatus {
    /// Name of the holder.
    pub holder: String,
    /// Fencing token.
    pub fence: u64,
    /// Whether this daemon holds the lease and may give orders now.
    pub in_force_here: bool,
}

/// State of another box as seen by a daemon.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// Name of the other box.
    pub name: BoxName,
    /// Data hall of the other box.
    pub hall: HallName,
    /// Whether its heartbeats still arrive.
    pub live: bool,
    /// Whether it accepts no new requests.
    pub leaving: bool,
    /// Settings revision that it last reported.
    pub revision: Revision,
    /// Time since its last newer heartbeat, in milliseconds; `None` if there was none.
    pub silent_ms: Option<u64>,
}

/// State of a backend server as seen by a daemon.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServerStatus {
    /// Name of the server.
    pub name: ServerName,
    /// Data hall of the server.
    pub hall: HallName,
    /// Engine or plain service.
    pub kind: ServerKind,
    /// Loaded models, or the pool of the service.
    pub serves: Vec<String>,
    /// Whether new requests may be sent to it.
    pub takes_work: bool,
    /// Age of its latest report, in milliseconds.
    pub report_age_ms: Option<u64>,
    /// Prompt tokens waiting for prefill.
    pub queued_tokens: u64,
    /// Number of requests that are generating.
    pub running: u32,
    /// KV memory in use, in tokens.
    pub memory_used: u64,
    /// Capacity of KV memory, in tokens.
    pub memory_total: u64,
    /// Number of requests of this box in flight there.
    pub in_flight: usize,
}
