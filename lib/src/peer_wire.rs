//! Messages between boxes: versioned, and authenticated by a keyed MAC.
//!
//! A frame is a mark, a version, the message and an HMAC-SHA256 over all of these. A frame
//! that is not whole, of an unknown version, or made without the key is refused and
//! counted. A replayed frame does no harm: rows, beats and revisions only go forward.

use hmac::Hmac;
use hmac::Mac;
use serde::Deserialize;
use serde::Serialize;
use sha2::Sha256;

use crate::ids::Revision;
use crate::membership::BoxRow;
use crate::membership::DemandRow;

/// Bytes of the key that boxes share.
pub const KEY_BYTES: usize = 32;
/// Largest frame: a checkpoint of a megabyte and a head.
pub const MAX_FRAME_BYTES: usize = 1_200_000;
/// The version that this library writes; it reads every one from [`MIN_VERSION`] on.
pub const VERSION: u16 = 1;
/// The oldest version that is still read, for rolling restarts.
pub const MIN_VERSION: u16 = 1;
const MAGIC: [u8; 2] = *b"bf";
const MAC_BYTES: usize = 32;
const HEADER_BYTES: usize = MAGIC.len() + size_of::<u16>();

/// A message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Begins an exchange.
    Hello {
        /// The sender.
        from: BoxRow,
        /// Boxes of the hall that the sender heard of.
        rows: Vec<BoxRow>,
        /// The sender's demand.
        demand: Vec<DemandRow>,
        /// Whether the sender needs the checkpoint behind the head.
        wants_checkpoint: bool,
    },
    /// Answers it.
    Response {
        /// The answerer.
        from: BoxRow,
        /// Boxes of the hall that the answerer heard of.
        rows: Vec<BoxRow>,
        /// The answerer's demand.
        demand: Vec<DemandRow>,
        /// The stored head, if the asker's revision is older.
        head: Option<Vec<u8>>,
        /// The checkpoint behind it, if it was wanted.
        checkpoint: Option<Vec<u8>>,
    },
}

impl PeerMessage {
    /// The sender.
    pub const fn from(&self) -> &BoxRow {
        match self {
            Self::Hello { from, .. } | Self::Response { from, .. } => from,
        }
    }

    /// The sender's revision.
    pub const fn revision(&self) -> Revision {
        self.from().revision
    }
}

/// Why a frame is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// Too short, too long, or without the mark.
    #[error("not a frame")]
    Malformed,
    /// A version that is not read.
    #[error("version {0} is not read")]
    Version(u16),
    /// Made without the key, or changed on the way.
    #[error("the MAC does not match")]
    MacMismatch,
    /// The content is no message.
    #[error("the content is no message")]
    InvalidContent,
}

impl FrameError {
    /// Stable label for metrics.
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
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("any length of key is taken");
    mac.update(bytes);
    mac
}

/// Makes a frame.
///
/// # Panics
///
/// Never: messages are plain data.
pub fn seal(key: &[u8; KEY_BYTES], message: &PeerMessage) -> Vec<u8> {
    let mut frame = MAGIC.to_vec();
    frame.extend_from_slice(&VERSION.to_be_bytes());
    let content = postcard::to_stdvec(message).expect("plain data always encodes");
    frame.extend_from_slice(&content);
    let tag = mac(key, &frame).finalize().into_bytes();
    frame.extend_from_slice(&tag);
    frame
}

/// Checks a frame and reads its message.
///
/// # Errors
///
/// It is not whole, of an unknown version, or made without the key.
pub fn open(key: &[u8; KEY_BYTES], frame: &[u8]) -> Result<PeerMessage, FrameError> {
    let sound = (HEADER_BYTES + MAC_BYTES..=MAX_FRAME_BYTES).contains(&frame.len());
    if !sound || frame[..MAGIC.len()] != MAGIC {
        return Err(FrameError::Malformed);
    }
    let (signed, tag) = frame.split_at(frame.len() - MAC_BYTES);
    mac(key, signed)
        .verify_slice(tag)
        .map_err(|_differs| FrameError::MacMismatch)?;
    let version = u16::from_be_bytes([signed[2], signed[3]]);
    if !(MIN_VERSION..=VERSION).contains(&version) {
        return Err(FrameError::Version(version));
    }
    postcard::from_bytes(&signed[HEADER_BYTES..]).map_err(|_no_message| FrameError::InvalidContent)
}
