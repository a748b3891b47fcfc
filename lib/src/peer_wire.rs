//! Messages between boxes: versioned, and authenticated by an HMAC with a shared key.
//!
//! A frame consists of magic bytes, a version, the message and an HMAC-SHA256 over all of these.
//! Frames that are malformed, of an unsupported version or not authenticated are rejected and
//! counted. Replayed frames are harmless: generations, heartbeats and revisions only increase, and
//! a row or head that is not newer is ignored.

use hmac::Hmac;
use hmac::Mac;
use serde::Deserialize;
use serde::Serialize;
use sha2::Sha256;

use crate::ids::Revision;
use crate::membership::BoxRow;
use crate::membership::DemandRow;

/// Length of the key that boxes share, in bytes.
pub const KEY_BYTES: usize = 32;
/// Maximum frame length: a checkpoint of one megabyte and a head.
pub const MAX_FRAME_BYTES: usize = 1_200_000;
/// Protocol version of written frames; versions from [`MIN_VERSION`] to this one are read.
pub const VERSION: u16 = 1;
/// Oldest protocol version that is still read, for rolling restarts.
pub const MIN_VERSION: u16 = 1;
const MAGIC: [u8; 2] = *b"bf";
const MAC_BYTES: usize = 32;
const HEADER_BYTES: usize = MAGIC.len() + size_of::<u16>();

/// Message of a gossip exchange.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Opens an exchange.
    Hello {
        /// Row of the sender.
        from: BoxRow,
        /// Rows of other boxes of the hall.
        rows: Vec<BoxRow>,
        /// Demand of the sender by workspace.
        demand: Vec<DemandRow>,
        /// Whether the sender needs the checkpoint that the head refers to.
        wants_checkpoint: bool,
    },
    /// Replies to [`Self::Hello`].
    Response {
        /// Row of the responder.
        from: BoxRow,
        /// Rows of other boxes of the hall.
        rows: Vec<BoxRow>,
        /// Demand of the responder by workspace.
        demand: Vec<DemandRow>,
        /// Encoded settings head, if the revision of the other box is older.
        head: Option<Vec<u8>>,
        /// Checkpoint that the head refers to, if it was requested.
        checkpoint: Option<Vec<u8>>,
    },
}

impl PeerMessage {
    /// Row of the sender.
    pub const fn from(&self) -> &BoxRow {
        match self {
            Self::Hello { from, .. } | Self::Response { from, .. } => from,
        }
    }

    /// Settings revision that is active at the sender.
    pub const fn revision(&self) -> Revision {
        self.from().revision
    }
}

/// Reason for rejecting a frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// Too short, too long, or without the magic bytes.
    #[error("malformed frame")]
    Malformed,
    /// Outside the range of supported versions.
    #[error("unsupported version {0}")]
    Version(u16),
    /// Created with another key, or modified in transit.
    #[error("MAC mismatch")]
    MacMismatch,
    /// Authenticated, but not decodable as a message.
    #[error("invalid message")]
    InvalidContent,
}

impl FrameError {
    /// Stable metric label.
    pub const fn label(self) -> &'static str {
        match self {
            Self::Malformed => "shape",
            Self::Version(_) => "version",
            Self::MacMismatch => "mac",
            Self::InvalidContent => "content",
        }
    }
}

fn mac(key: &[u8; KEY_BYTES], bytes: &[u8]) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("HMAC accepts keys of any length");
    mac.update(bytes);
    mac
}

/// Encodes and authenticates a message.
///
/// # Panics
///
/// Never: encoding of plain data cannot fail.
pub fn seal(key: &[u8; KEY_BYTES], message: &PeerMessage) -> Vec<u8> {
    let mut frame = MAGIC.to_vec();
    frame.extend_from_slice(&VERSION.to_be_bytes());
    let content = postcard::to_stdvec(message).expect("plain data always encodes");
    frame.extend_from_slice(&content);
    let tag = mac(key, &frame).finalize().into_bytes();
    frame.extend_from_slice(&tag);
    frame
}

/// Authenticates a frame and decodes its message.
///
/// # Errors
///
/// The frame is malformed, of an unsupported version, or not authenticated with `key`.
pub fn open(key: &[u8; KEY_BYTES], frame: &[u8]) -> Result<PeerMessage, FrameError> {
    let valid_length = (HEADER_BYTES + MAC_BYTES..=MAX_FRAME_BYTES).contains(&frame.len());
    if !valid_length || frame[..MAGIC.len()] != MAGIC {
        return Err(FrameError::Malformed);
    }
    let (signed, tag) = frame.split_at(frame.len() - MAC_BYTES);
    mac(key, signed)
        .verify_slice(tag)
        .map_err(|_mismatch| FrameError::MacMismatch)?;
    let version = u16::from_be_bytes([signed[2], signed[3]]);
    if !(MIN_VERSION..=VERSION).contains(&version) {
        return Err(FrameError::Version(version));
    }
    postcard::from_bytes(&signed[HEADER_BYTES..]).map_err(|_invalid| FrameError::InvalidContent)
}
