//! Datagrams with which a box requests a permit for a call to a limited server from the box that
//! owns the server's quota, or a retry from the owner of its hall's pool.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::HallName;
use crate::relay::request_fingerprint::ServerIncarnation;
use crate::relay::server_notices::NoticeRows;
use crate::relay::server_paths::ServiceKey;

/// First byte of a permit datagram: the protocol version, which also distinguishes it from load
/// datagrams, whose first byte differs.
const PERMIT_VERSION: u8 = 0x83;

/// Message between a box and a quota owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitFrame {
    /// Requests a permit for a call.
    Request(PermitRequest),
    /// Reports a call that is sent regardless of the quota. No response is sent.
    Charge(PermitRequest),
    /// Response to a request.
    Response(PermitResponse),
    /// Requests a retry from the pool of the sender's hall.
    Retry(RetryRequest),
}

/// Request for a retry of a call to a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetryRequest {
    /// Random request ID, the same if the request is repeated.
    pub id: u64,
    /// Service of the call.
    pub service: ServiceKey,
}

/// Request for a permit for one call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// Random request ID. A repetition after a lost or late response carries the same ID.
    pub id: u64,
    /// Hall of the server.
    pub hall: HallName,
    /// Incarnation of the server.
    pub incarnation: ServerIncarnation,
    /// Why the server is limited, as known to the requesting box.
    pub notices: NoticeRows,
    /// Longest acceptable delay of the call, in milliseconds.
    pub max_wait_ms: u32,
}

/// Response to a permit request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitResponse {
    /// ID of the request.
    pub id: u64,
    /// Decision on the request.
    pub decision: PermitDecision,
}

/// Whether the call may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitDecision {
    /// The call may be sent after a delay.
    Granted {
        /// Delay in microseconds.
        after: u32,
    },
    /// The quota is used up for longer than the call can wait.
    Full {
        /// Time until the next call is possible, in microseconds.
        retry_in: u32,
    },
    /// As far as the responding box knows, it does not own the server's quota.
    NotOwner,
}

/// The bytes are not a permit datagram of this version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("malformed permit datagram")]
pub struct PermitFrameError;

impl PermitFrame {
    /// Whether a datagram is marked as a permit datagram of this version.
    pub fn has_version_byte(bytes: &[u8]) -> bool {
        bytes.first() == Some(&PERMIT_VERSION)
    }

    /// Encodes the message as a datagram.
    ///
    /// # Panics
    ///
    /// Never: every value of the type can be encoded.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(&(PERMIT_VERSION, self)).expect("a frame can be encoded")
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// The bytes are malformed or of another version.
    pub fn decode(bytes: &[u8]) -> Result<Self, PermitFrameError> {
        let decoded = postcard::from_bytes::<(u8, Self)>(bytes);
        match decoded {
            Ok((PERMIT_VERSION, frame)) => Ok(frame),
            Ok(_) | Err(_) => Err(PermitFrameError),
        }
    }
}
