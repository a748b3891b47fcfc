//! Frames in which a hub distributes the datagrams of its data hall.

use serde::Deserialize;
use serde::Serialize;

use crate::relay::load_datagram::MAX_DATAGRAM_BYTES;

/// First byte of a frame: the protocol version, which also distinguishes it from other datagrams,
/// whose first byte differs.
const HUB_FRAME_VERSION: u8 = 0x91;
/// Maximum size of what a frame contains. One datagram of the maximum size fits with the header.
pub(crate) const MAX_FRAME_PAYLOAD: usize = MAX_DATAGRAM_BYTES;
/// Maximum size of a header without the name of the hub.
const HEADER_BYTES: usize = 12;
/// Maximum size of the length of a name or datagram.
const LENGTH_BYTES: usize = 2;

/// Datagrams that a hub distributes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HubFrame {
    /// Name of the hub.
    pub from: String,
    /// Whether it is sent to other hubs, which distribute it to their members.
    pub is_for_hubs: bool,
    /// Members that the hub heard recently; only for other hubs.
    pub heard: Vec<String>,
    /// Encoded load datagrams.
    pub datagrams: Vec<Vec<u8>>,
}

/// The bytes are not a frame of this version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("malformed hub frame")]
pub struct HubFrameError;

/// Upper estimate of the encoded size of a name or datagram of this length, in bytes.
pub(crate) const fn part_size(len: usize) -> usize {
    len + LENGTH_BYTES
}

impl HubFrame {
    /// An empty frame for members.
    pub fn new(from: &str) -> Self {
        Self {
            from: from.to_owned(),
            is_for_hubs: false,
            heard: Vec::new(),
            datagrams: Vec::new(),
        }
    }

    /// Whether a datagram is marked as a frame of this version.
    pub fn has_version_byte(bytes: &[u8]) -> bool {
        bytes.first() == Some(&HUB_FRAME_VERSION)
    }

    /// Whether it contains neither names nor datagrams.
    pub const fn is_empty(&self) -> bool {
        self.heard.is_empty() && self.datagrams.is_empty()
    }

    /// Upper estimate of the encoded size, in bytes.
    pub(crate) fn payload_size(&self) -> usize {
        let heard = self.heard.iter().map(|name| part_size(name.len()));
        let datagrams = self.datagrams.iter().map(|bytes| part_size(bytes.len()));
        HEADER_BYTES + self.from.len() + heard.sum::<usize>() + datagrams.sum::<usize>()
    }

    /// Encodes the frame as a datagram.
    ///
    /// # Panics
    ///
    /// Never: every value of the type can be encoded.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(&(HUB_FRAME_VERSION, self)).expect("a frame can be encoded")
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// The bytes are malformed or of another version.
    pub fn decode(bytes: &[u8]) -> Result<Self, HubFrameError> {
        let decoded = postcard::from_bytes::<(u8, Self)>(bytes);
        match decoded {
            Ok((HUB_FRAME_VERSION, frame)) => Ok(frame),
            Ok(_) | Err(_) => Err(HubFrameError),
        }
    }
}
