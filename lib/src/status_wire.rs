//! What a daemon tells of itself at `/status`, read by the command line.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::BoxName;
use crate::ids::HallName;
use crate::ids::Incarnation;
use crate::ids::Revision;
use crate::ids::ServerName;
use crate::server_view::ServerKind;

/// One daemon's state.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DaemonStatus {
    /// The box.
    pub name: BoxName,
    /// Its data hall.
    pub hall: HallName,
    /// The daemon's life.
    pub incarnation: Incarnation,
    /// Whether the balancer may send callers here.
    pub ready: bool,
    /// Whether a planned stop has begun.
    pub stopping: bool,
    /// Settings in force.
    pub settings: SettingsStatus,
    /// Milliseconds since the platform answered last; none if it never did.
    pub platform_silent_ms: Option<u64>,
    /// Requests waiting here.
    pub waiting: usize,
    /// Requests at servers.
    pub active: usize,
    /// The placement lease of the hall, as far as this box knows.
    pub lease: Option<LeaseStatus>,
    /// Peers.
    pub peers: Vec<PeerStatus>,
    /// Backend servers.
    pub servers: Vec<ServerStatus>,
}

/// Settings in force at a daemon.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct SettingsStatus {
    /// Revision; zero before the first.
    pub revision: Revision,
    /// Milliseconds since the platform confirmed that it is the newest; none if it never did.
    pub unconfirmed_ms: Option<u64>,
    /// Why the newest value can't be used, if it can't.
    pub fault: Option<String>,
}

/// The placement lease as a daemon holds it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaseStatus {
    /// Who holds it.
    pub holder: String,
    /// Its fencing number.
    pub fence: u64,
    /// Whether this daemon may give orders now.
    pub in_force_here: bool,
}

/// One peer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// The box.
    pub name: BoxName,
    /// Its data hall.
    pub hall: HallName,
    /// Whether it is thought to live.
    pub live: bool,
    /// Whether it is leaving.
    pub leaving: bool,
    /// The revision that it last told of.
    pub revision: Revision,
    /// Milliseconds since news of it; none if there was none.
    pub silent_ms: Option<u64>,
}

/// One backend server as a daemon sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServerStatus {
    /// The server.
    pub name: ServerName,
    /// Its data hall.
    pub hall: HallName,
    /// What it is.
    pub kind: ServerKind,
    /// Models loaded, or the service's pool.
    pub serves: Vec<String>,
    /// Whether it takes new work.
    pub takes_work: bool,
    /// Age of its last report in milliseconds.
    pub report_age_ms: Option<u64>,
    /// Prompt tokens queued.
    pub queued_tokens: u64,
    /// Requests generating.
    pub running: u32,
    /// Memory held, in tokens.
    pub memory_used: u64,
    /// Memory, in tokens.
    pub memory_total: u64,
    /// This box's own requests there.
    pub in_flight: usize,
}
