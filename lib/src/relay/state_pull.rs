//! Wire types of pulls, by which a box fetches newer state from another one.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::relay::evacuated_halls::UnconfirmedHalls;
use crate::relay::gossip_topology::Boxes;
use crate::relay::quarantine::QuarantineRow;
use crate::relay::server_list::ServerUpdate;
use crate::relay::server_notices::NoticeRows;
use crate::relay::store_position::StorePosition;

/// Version of the frames between boxes. Frames of other versions are dropped.
pub const FRAME_VERSION: u8 = 17;
/// Maximum frame size. Route tables in the store are at most one megabyte.
pub const MAX_FRAME_BYTES: usize = 4 << 20;

/// Which state of the store a box has.
///
/// Route tables are ordered by their own version, which operators only ever raise, independent of
/// the store's era and revision. Server entries and evacuated halls have no version and are ordered
/// by the store position at which they were read.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownState {
    /// Version of the active route table, if any.
    pub routes: Option<u64>,
    /// Store position up to which server entries and evacuated halls are known.
    pub servers: StorePosition,
}

impl KnownState {
    /// Whether `other` is newer in the route table or the server entries.
    pub fn is_behind(self, other: Self) -> bool {
        other.routes > self.routes || other.servers > self.servers
    }
}

/// Requests newer state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PullRequest {
    /// [`FRAME_VERSION`].
    pub version: u8,
    /// State of the requesting box.
    pub known_state: KnownState,
    /// Whether to include known boxes: the requester knows few, or was sent a datagram by an unknown
    /// one.
    pub wants_boxes: bool,
}

/// State newer than that of the requester.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct PullResponse {
    /// Whether a newer route table follows. It has a frame of its own, which is encoded once for all
    /// requesters.
    pub table_follows: bool,
    /// Newer server entries and evacuated halls, if any.
    pub servers: Option<ServerUpdate>,
    /// Remaining time for which server entries that are missing from the store are kept.
    pub hold_remaining: Duration,
    /// Evacuations that the store no longer lists and the sender still holds.
    pub unconfirmed: UnconfirmedHalls,
    /// Notices of servers about the calls they accept.
    pub notices: NoticeRows,
    /// Quarantined and suspect requests and parts, if the requester has just started.
    pub suspects: Vec<QuarantineRow>,
    /// Other known boxes, if requested.
    pub boxes: Vec<BoxAddresses>,
}

/// Addresses and rank of a box, as other boxes know it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct BoxAddresses {
    /// Name of the box.
    pub name: String,
    /// Data hall of the box.
    pub hall: String,
    /// TCP address for pulls, as `ip:port`.
    pub pull: String,
    /// UDP address for load datagrams, and TCP address for connections that a peer requests, as
    /// `ip:port`.
    pub load: String,
    /// Available processor time in thousandths of a core; 0 if not announced.
    #[serde(default)]
    pub processor: u16,
}

/// Addresses from which a box without state may pull: seeds and known boxes, without duplicates.
///
/// Excludes `own`: a box knows its own entry from the start, and a pull from itself is wasted.
pub fn bootstrap_sources(own: SocketAddr, seeds: &[SocketAddr], boxes: &Boxes) -> Vec<SocketAddr> {
    let known = boxes.values().filter_map(|info| info.pull.parse().ok());
    let all: BTreeSet<SocketAddr> = known.chain(seeds.iter().copied()).collect();
    all.into_iter().filter(|address| *address != own).collect()
}
