//! Peers that connect to servers for a box whose own path is cut: the carriers of its connections.
//!
//! Boxes announce in their datagrams the services to which their own path is cut. A box asks a few
//! peers one after the other: those of its hall first, since bytes between halls are priced, then
//! one of another hall, since all boxes of a hall may be cut off together. The order is random
//! otherwise, which spreads the connections. A carrier connects to the server itself and never asks
//! a further box.

use std::collections::HashMap;

use rand::Rng;
use rand::seq::SliceRandom;
use serde::Deserialize;
use serde::Serialize;

use crate::ids::HallName;
use crate::ids::ServerName;
use crate::relay::gossip_topology::Boxes;
use crate::relay::server_paths::ServiceKey;
use crate::relay::state_pull::BoxAddresses;

/// Maximum number of peers asked for one connection.
const MAX_ASKED: usize = 3;
/// Maximum number of these that are in the own hall, if peers of other halls are known.
const MAX_ASKED_IN_HALL: usize = 2;

/// Services that each peer has announced as cut off.
#[derive(Debug, Default)]
pub struct PeerPaths {
    cut_off: HashMap<String, Vec<ServiceKey>>,
}

impl PeerPaths {
    /// Records the services that a peer announces as cut off.
    pub fn record(&mut self, peer: &str, cut_off: &[ServiceKey]) {
        if cut_off.is_empty() {
            self.cut_off.remove(peer);
        } else {
            self.cut_off.insert(peer.to_owned(), cut_off.to_vec());
        }
    }

    /// Whether a peer has not announced the service as cut off.
    pub fn reaches(&self, peer: &str, service: ServiceKey) -> bool {
        let cut_off = self.cut_off.get(peer);
        cut_off.is_none_or(|services| !services.contains(&service))
    }
}

/// Connection that a box requests.
#[derive(Debug, Clone, Copy)]
pub struct CarrierQuery<'a> {
    /// Name of the requesting box.
    pub own: &'a str,
    /// Data hall of the requesting box.
    pub own_hall: &'a HallName,
    /// Data hall of the server.
    pub server_hall: &'a HallName,
}

/// Peers to ask, in this order. `is_live` and `reaches` tell about the named box. Boxes that are not
/// known to be live are asked last: in a large fleet, no datagrams of them arrive.
pub fn carriers<'a>(
    boxes: &'a Boxes,
    query: CarrierQuery<'_>,
    is_live: impl Fn(&str) -> bool,
    reaches: impl Fn(&str) -> bool,
    rng: &mut impl Rng,
) -> Vec<&'a BoxAddresses> {
    let is_own_hall = |peer: &BoxAddresses| peer.hall == query.own_hall.as_str();
    let rank = |peer: &&BoxAddresses| match is_live(&peer.name) {
        true if is_own_hall(peer) => 0,
        true if peer.hall == query.server_hall.as_str() => 1,
        true => 2,
        false => 3,
    };
    let peers = boxes.values();
    let peers = peers.filter(|peer| peer.name != query.own && reaches(&peer.name));
    // A silent box of the own hall is down: all boxes of a hall hear each other.
    let peers = peers.filter(|peer| is_live(&peer.name) || !is_own_hall(peer));
    let mut peers: Vec<&BoxAddresses> = peers.collect();
    peers.shuffle(rng);
    peers.sort_by_key(rank);
    let (in_hall, elsewhere): (Vec<_>, Vec<_>) =
        peers.into_iter().partition(|peer| is_own_hall(peer));
    let from_hall = if elsewhere.is_empty() {
        MAX_ASKED
    } else {
        MAX_ASKED_IN_HALL
    };
    let asked = in_hall.into_iter().take(from_hall).chain(elsewhere);
    asked.take(MAX_ASKED).collect()
}

/// Requests a connection to a server. Bytes follow in both directions once it is made.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CarryRequest {
    /// [`crate::relay::state_pull::FRAME_VERSION`].
    pub version: u8,
    /// Name of the requesting box.
    pub from: String,
    /// Server to connect to; the carrier uses the address that it knows itself.
    pub server: ServerName,
    /// Id of the call, for logs.
    pub call: String,
}

/// Whether a carrier made a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum CarryResponse {
    /// The connection is made.
    Connected,
    /// The server refused the connection.
    Refused,
    /// The server did not answer.
    TimedOut,
    /// The carrier's own path to the service is cut.
    CutOff,
    /// The carrier carries its maximum number of connections.
    Busy,
    /// The carrier lists no such server, or does not know the version of the request.
    Unknown,
}

impl CarryResponse {
    /// Name in logs and metrics.
    pub const fn code(self) -> &'static str {
        match self {
            Self::Connected => "connected",
            Self::Refused => "refused",
            Self::TimedOut => "timed_out",
            Self::CutOff => "cut_off",
            Self::Busy => "busy",
            Self::Unknown => "unknown",
        }
    }
}
