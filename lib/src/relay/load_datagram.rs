//! The datagram in which a box tells the others what it has at the engines.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::HallName;
use crate::relay::engine_load::EngineKey;
use crate::relay::engine_load::EngineLoad;
use crate::relay::long_prompt_queue::QueueHead;
use crate::relay::quarantine::QuarantineRow;
use crate::relay::server_notices::NoticeRows;
use crate::relay::state_pull::FRAME_VERSION;
use crate::relay::state_pull::KnownState;

/// Largest datagram; stays under the usual packet size.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;

/// Whose work a datagram tells.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LoadSource {
    /// That of the box which sends it.
    Box,
    /// That of all boxes of its hall, for another hall.
    Hall {
        /// The hall.
        hall: HallName,
        /// Whether a box of the hall that is told passes it on to the others there.
        is_forwarded: bool,
    },
}

/// Work at the engines, and which state the box that tells it has.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadDatagram {
    /// [`FRAME_VERSION`].
    pub version: u8,
    /// The box.
    pub from: String,
    /// Drawn anew at each start of the box.
    pub incarnation: u64,
    /// Rises with each datagram of a lifetime, for each [`LoadSource`] by itself.
    pub sequence: u64,
    /// Whose work it tells.
    pub source: LoadSource,
    /// Whether what can't wait has changed, as what long prompts do; other halls are told at once, too.
    pub is_urgent: bool,
    /// The state that it has.
    pub known_state: KnownState,
    /// Whether the store answered it lately, so that others may follow it in place of the store.
    pub follows_store: bool,
    /// The long prompt that would be sent next of those that wait there, if any.
    pub queue_head: Option<QueueHead>,
    /// Servers that others named to it as being at fault lately.
    pub faults: Vec<EngineKey>,
    /// Servers that leave or are gone, as the store told it lately.
    pub departures: Vec<EngineKey>,
    /// Engines that told it, or a box of the hall that it tells of, of being slow lately.
    pub slow_engines: Vec<EngineKey>,
    /// Pieces of work under which servers ended.
    pub suspects: Vec<QuarantineRow>,
    /// What servers say of the calls they take.
    pub notices: NoticeRows,
    /// The work.
    pub rows: Vec<(EngineKey, EngineLoad)>,
}

/// Why a datagram was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum DatagramError {
    /// It can't be decoded.
    #[error("it can't be decoded")]
    Malformed,
    /// It has another version.
    #[error("it has version {0}, this box has {FRAME_VERSION}")]
    Version(u8),
}

impl LoadDatagram {
    /// Encodes it.
    ///
    /// # Panics
    ///
    /// Never: every value of the type can be encoded.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("a datagram can be encoded")
    }

    /// Leaves out rows until it fits into a packet; gives back how many.
    pub fn truncate_rows(&mut self) -> usize {
        let before = self.rows.len();
        while self.encode().len() > MAX_DATAGRAM_BYTES && !self.rows.is_empty() {
            let most = self.rows.len() * 4 / 5;
            self.rows.truncate(most);
        }
        before - self.rows.len()
    }

    /// Decodes one.
    ///
    /// # Errors
    ///
    /// It is not a datagram of this version.
    pub fn decode(bytes: &[u8]) -> Result<Self, DatagramError> {
        match bytes.first() {
            Some(&FRAME_VERSION) => {}
            Some(&other) => return Err(DatagramError::Version(other)),
            None => return Err(DatagramError::Malformed),
        }
        postcard::from_bytes(bytes).map_err(|_undecodable| DatagramError::Malformed)
    }
}
