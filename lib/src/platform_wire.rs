//! Messages of the platform's key-value service and box list, as JSON over HTTP.
//!
//! Values travel as the raw body with the key's version in [`VERSION_HEADER`]; the rest
//! is the types below. The users' real protocol may differ: then the daemon's and the
//! command line's platform client change, and nothing else (`docs/assumptions.md`).

use serde::Deserialize;
use serde::Serialize;

use crate::ids::BoxName;
use crate::ids::HallName;
use crate::server_view::ServerInfo;

/// Response header with a key's version.
pub const VERSION_HEADER: &str = "x-version";

/// Answer to a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriteResponse {
    /// The key's version now: the new one, or the one that was in the way.
    pub version: u64,
}

/// Asks for a lease, or renews it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Name of the lease.
    pub name: String,
    /// Who asks; the same holder renews.
    pub holder: String,
    /// Life from now, in milliseconds; zero gives the lease up.
    pub ttl_ms: u64,
}

/// Answer to a lease request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseResponse {
    /// Whether the asker holds it now.
    pub granted: bool,
    /// Who holds it.
    pub holder: String,
    /// Fencing number; grows with each change of holder.
    pub fence: u64,
}

/// A box of the system, as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoxInfo {
    /// Its name.
    pub name: BoxName,
    /// Its data hall.
    pub hall: HallName,
    /// Where callers and operators reach it, as `ip:port`.
    pub address: String,
    /// Where its peers reach it, as `ip:port`.
    pub peer_address: String,
    /// Whether the owner takes it back.
    #[serde(default)]
    pub leaving: bool,
}

/// The platform's list of live and leaving boxes and backend servers.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoxList {
    /// Boxes of the system.
    pub boxes: Vec<BoxInfo>,
    /// Backend servers.
    pub servers: Vec<ServerInfo>,
}
