//! How a box takes newer state from another one.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::relay::gossip_topology::Boxes;
use crate::relay::server_list::ServerUpdate;
use crate::relay::server_notices::NoticeRows;
use crate::relay::store_position::StorePosition;

/// Version of the frames between boxes; a frame of another version is dropped.
pub const FRAME_VERSION: u8 = 9;
/// Largest frame, in bytes; tables are at most a megabyte in the store.
pub const MAX_FRAME_BYTES: usize = 4 << 20;

/// What of the store's state a box has.
///
/// Route tables are ordered by their own version, which operators only raise, wherever the store stands
/// in its history. Server entries have none, and are ordered by where they were read.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownState {
    /// Version of the route table in force, if there is one.
    pub routes: Option<u64>,
    /// Up to where server entries are known.
    pub servers: StorePosition,
}

impl KnownState {
    /// Whether another box that has this is ahead of it in anything.
    pub fn is_behind(self, other: Self) -> bool {
        other.routes > self.routes || other.servers > self.servers
    }
}

/// Asks for what is newer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PullRequest {
    /// [`FRAME_VERSION`].
    pub version: u8,
    /// What the asking box has.
    pub known_state: KnownState,
    /// Whether it lacks boxes: it knows hardly any, or heard of one that it does not know.
    pub wants_boxes: bool,
}

/// What is newer.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct PullResponse {
    /// Whether the route table is newer: it follows in a frame of its own, which is encoded once for
    /// all boxes that ask.
    pub table_follows: bool,
    /// Server entries, if newer.
    pub servers: Option<ServerUpdate>,
    /// How much longer entries that are missing now are to be held.
    pub hold_remaining: Duration,
    /// What servers say of the calls they take.
    pub notices: NoticeRows,
    /// Other boxes that are known, if they were asked for.
    pub boxes: Vec<BoxAddresses>,
}

/// Where a box is reached by other boxes.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct BoxAddresses {
    /// Its name.
    pub name: String,
    /// Its data hall.
    pub hall: String,
    /// Where it answers pulls, as `ip:port` over TCP.
    pub pull: String,
    /// Where it takes load datagrams, as `ip:port` over UDP.
    pub load: String,
    /// Processor time that it has, in thousandths of a core; 0 where it is not told.
    #[serde(default)]
    pub processor: u16,
}

/// Where a box that has no state yet may ask for it: the seeds and the boxes that it knows, each
/// once. Never itself, though it knows itself from the start: that pull would be lost.
pub fn bootstrap_sources(own: SocketAddr, seeds: &[SocketAddr], boxes: &Boxes) -> Vec<SocketAddr> {
    let known = boxes.values().filter_map(|of| of.pull.parse().ok());
    let all: BTreeSet<SocketAddr> = known.chain(seeds.iter().copied()).collect();
    all.into_iter().filter(|address| *address != own).collect()
}
