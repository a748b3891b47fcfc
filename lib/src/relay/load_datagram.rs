//! Datagram by which a box gossips its engine load and other state to other boxes.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::HallName;
use crate::relay::engine_load::EngineKey;
use crate::relay::engine_load::EngineLoad;
use crate::relay::evacuated_halls::UnconfirmedDigest;
use crate::relay::long_prompt_queue::QueueHead;
use crate::relay::quarantine::QuarantineRow;
use crate::relay::server_notices::NoticeRows;
use crate::relay::server_paths::ServiceKey;
use crate::relay::size_groups::SizeCount;
use crate::relay::state_pull::FRAME_VERSION;
use crate::relay::state_pull::KnownState;

/// Maximum size of a datagram, below the usual MTU of 1500 bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;

/// Whose load a datagram carries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LoadSource {
    /// The sending box's own.
    Box,
    /// The total of the sender's hall, for other halls.
    Hall {
        /// Hall of the sender.
        hall: HallName,
        /// Whether a box of the receiving hall forwarded it to the others there.
        is_forwarded: bool,
    },
}

/// Engine load and other gossiped state of a box.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadDatagram {
    /// [`FRAME_VERSION`].
    pub version: u8,
    /// Name of the sending box.
    pub from: String,
    /// Random number drawn at each start of the box.
    pub incarnation: u64,
    /// Increases with each datagram of an incarnation, counted separately for each [`LoadSource`].
    pub sequence: u64,
    /// Whose load it carries.
    pub source: LoadSource,
    /// Whether it carries an urgent change, such as one by a long prompt; it is then also sent to
    /// other halls at once.
    pub is_urgent: bool,
    /// Whether the receiver is the sender's hub, see [`crate::relay::hall_hubs`].
    pub is_for_hub: bool,
    /// Which state of the store the sender has.
    pub known_state: KnownState,
    /// Number of boxes that the sender knows; boxes that know fewer request the list.
    pub known_boxes: u32,
    /// Digest of the evacuations that the sender holds although the store does not list them.
    pub unconfirmed: Option<UnconfirmedDigest>,
    /// Whether the store answered the sender recently, so that others may follow it instead of the
    /// store.
    pub follows_store: bool,
    /// Next long prompt in the sender's queue, if any.
    pub queue_head: Option<QueueHead>,
    /// Long prompts that arrived at the sender, or in its hall, and those that engines took, by size.
    pub size_counts: Vec<SizeCount>,
    /// Servers that other servers recently reported to the sender as being at fault.
    pub faults: Vec<EngineKey>,
    /// Servers that do not respond to the sender's queries.
    pub silent: Vec<EngineKey>,
    /// Servers that recently began to leave or were removed, according to the store.
    pub departures: Vec<EngineKey>,
    /// Services to whose servers the sender's own path is cut; empty in datagrams for other halls.
    pub cut_off: Vec<ServiceKey>,
    /// Engines that recently reported that they are slow: to the sender or, if the datagram is for
    /// other halls, to any box of its hall.
    pub slow_engines: Vec<EngineKey>,
    /// Suspect requests: those that ran when a server process crashed.
    pub suspects: Vec<QuarantineRow>,
    /// Notices of servers about the calls they accept.
    pub notices: NoticeRows,
    /// Load by engine.
    pub rows: Vec<(EngineKey, EngineLoad)>,
}

/// Reason for dropping a datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum DatagramError {
    /// The bytes do not decode.
    #[error("datagram cannot be decoded")]
    Malformed,
    /// The version differs from [`FRAME_VERSION`].
    #[error("datagram has version {0}, this box uses {FRAME_VERSION}")]
    Version(u8),
}

impl LoadDatagram {
    /// Whether other boxes act on anything that it contains. The sender's version of the state and
    /// notices and crashes that it learned from others are no content: hubs announce these too.
    pub fn has_content(&self) -> bool {
        self.is_urgent
            || self.queue_head.is_some()
            || !self.rows.is_empty()
            || !self.faults.is_empty()
            || !self.silent.is_empty()
            || !self.departures.is_empty()
            || !self.cut_off.is_empty()
            || !self.slow_engines.is_empty()
            || !self.notices.shedding.is_empty()
            || self.suspects.iter().any(|row| row.running)
    }

    /// Serializes the datagram.
    ///
    /// # Panics
    ///
    /// Never: every value of the type is serializable.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("datagram is serializable")
    }

    /// Drops rows until the datagram fits into [`MAX_DATAGRAM_BYTES`]; returns how many.
    pub fn truncate_rows(&mut self) -> usize {
        let before = self.rows.len();
        while self.encode().len() > MAX_DATAGRAM_BYTES && !self.rows.is_empty() {
            let limit = self.rows.len() * 4 / 5;
            self.rows.truncate(limit);
        }
        before - self.rows.len()
    }

    /// Deserializes a datagram.
    ///
    /// # Errors
    ///
    /// The bytes are not a datagram of this version.
    pub fn decode(bytes: &[u8]) -> Result<Self, DatagramError> {
        match bytes.first() {
            Some(&FRAME_VERSION) => {}
            Some(&version) => return Err(DatagramError::Version(version)),
            None => return Err(DatagramError::Malformed),
        }
        postcard::from_bytes(bytes).map_err(|_undecodable| DatagramError::Malformed)
    }
}
