//! A server as requests of this box are addressed to it.

use badgerferry_lib::ids::ServerName;
use badgerferry_lib::relay::engine_load::EngineKey;
use badgerferry_lib::relay::server_tracker::ServerRecord;

use crate::relay::server_gate::Target;
use crate::relay::server_path::Destination;
use crate::relay::state::Relay;

/// A listed server.
#[derive(Debug, Clone)]
pub struct ListedServer {
    /// Name of the server entry.
    pub server: ServerName,
    /// Incarnation and hall.
    pub target: Target,
    /// Address it listens on.
    pub address: String,
    /// Key in the load table.
    pub key: EngineKey,
}

impl ListedServer {
    /// Where connections to the server lead, for requests of this box itself.
    pub fn destination<'a>(&'a self, relay: &'a Relay) -> Destination<'a> {
        Destination {
            relay,
            server: &self.server,
            address: &self.address,
            call: "-",
        }
    }

    /// The server at this address.
    pub fn new(target: &Target, address: &str) -> Self {
        Self {
            server: target.name.clone(),
            target: target.clone(),
            address: address.to_owned(),
            key: EngineKey::of(&target.name),
        }
    }

    /// The server that the record describes.
    pub fn of(record: &ServerRecord) -> Self {
        Self {
            server: record.info.name.clone(),
            target: Target::of(record),
            address: record.info.address.clone(),
            key: record.key,
        }
    }
}
