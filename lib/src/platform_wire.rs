//! Messages of the platform's key-value service and box list, as JSON over HTTP.
//!
//! Values are sent as raw bodies with the key's version in [`VERSION_HEADER`]; all other
//! messages are the types below. If the platform's actual protocol differs, only the platform
//! clients of the daemon and the command line change (`docs/assumptions.md`).

use serde::Deserialize;
use serde::Serialize;

use crate::ids::BoxName;
use crate::ids::HallName;
use crate::server_view::ServerInfo;

/// Response header that carries the version of a key.
pub const VERSION_HEADER: &str = "x-version";

/// Response to a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriteResponse {
    /// Current version of the key: the new one, or on a conflict the one that exists.
    pub version: u64,
}

/// Acquires, renews or releases a lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Name of the lease.
    pub name: String,
    /// Name of the requester; a request by the current holder renews the lease.
    pub holder: String,
    /// TTL from now, in milliseconds; zero releases the lease.
    pub ttl_ms: u64,
}

/// Response to a lease request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseResponse {
    /// Whether the requester is now the holder.
    pub granted: bool,
    /// Name of the current holder.
    pub holder: String,
    /// Fencing token; increases with each change of holder.
    pub fence: u64,
}

/// Entry of a box in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoxInfo {
    /// Name of the box.
    pub name: BoxName,
    /// Data hall of the box.
    pub hall: HallName,
    /// Address for callers and operators, as `ip:port`.
    pub address: String,
    /// Address for other boxes, as `ip:port`.
    pub peer_address: String,
    /// Whether the box is being withdrawn by its owner.
    #[serde(default)]
    pub leaving: bool,
}

/// The platform's list of live and leaving boxes and backend servers.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoxList {
    /// Boxes that are live or leaving.
    pub boxes: Vec<BoxInfo>,
    /// Backend servers that are live or leaving.
    pub servers: Vec<ServerInfo>,
}
