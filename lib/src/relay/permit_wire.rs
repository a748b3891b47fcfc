//! Datagrams in which a box asks for a call to a limited server, and is answered.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::HallName;
use crate::relay::server_limits::LimitRow;

/// First byte of such a datagram: tells it from those that tell of work, and its version.
const PERMIT_VERSION: u8 = 0x81;

/// A question or its answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitFrame {
    /// May a call go to the server?
    Request(PermitRequest),
    /// A call that goes in any case: it only counts.
    Charge(PermitRequest),
    /// The answer.
    Response(PermitResponse),
}

/// What is asked.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// Drawn for the question; asked again with the same where no answer comes.
    pub id: u64,
    /// The server's hall.
    pub hall: HallName,
    /// What the asking box knows of the server.
    pub limit_row: LimitRow,
    /// How long the call can wait, in milliseconds.
    pub max_wait_ms: u32,
}

/// What is answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitResponse {
    /// Of the question.
    pub id: u64,
    /// The answer.
    pub decision: PermitDecision,
}

/// Whether a call may go.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitDecision {
    /// After so many microseconds.
    Granted {
        /// Microseconds.
        after: u32,
    },
    /// There is no room before so many microseconds.
    Full {
        /// Microseconds.
        retry_in: u32,
    },
    /// Another box gives out that server's calls, as far as this one knows.
    NotOwner,
}

/// It is no datagram of this kind and version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("a question or an answer can't be decoded")]
pub struct PermitFrameError;

impl PermitFrame {
    /// Whether a datagram is meant to be one.
    pub fn has_version_byte(bytes: &[u8]) -> bool {
        bytes.first() == Some(&PERMIT_VERSION)
    }

    /// Encodes it.
    ///
    /// # Panics
    ///
    /// Never: every value of the type can be encoded.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(&(PERMIT_VERSION, self)).expect("a frame can be encoded")
    }

    /// Decodes one.
    ///
    /// # Errors
    ///
    /// It is none.
    pub fn decode(bytes: &[u8]) -> Result<Self, PermitFrameError> {
        let decoded = postcard::from_bytes::<(u8, Self)>(bytes);
        match decoded {
            Ok((PERMIT_VERSION, frame)) => Ok(frame),
            Ok(_) | Err(_) => Err(PermitFrameError),
        }
    }
}
