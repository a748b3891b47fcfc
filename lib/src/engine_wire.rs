//! Messages to and from model engines, as JSON over HTTP; output streams as JSON lines.
//!
//! `docs/assumptions.md` lists what is assumed of engines and what changes if an assumption is
//! wrong. The main one: each attempt and reservation has an owner, and an engine frees everything
//! that it holds for an owner once the TTL of the owner's last [`RenewRequest`] has elapsed.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::AttemptId;
use crate::ids::BoxName;
use crate::ids::Incarnation;
use crate::ids::ModelName;
use crate::priority::Rank;
use crate::server_view::EngineReport;

/// Owner of attempts and reservations at an engine: one incarnation of a box's daemon.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Owner {
    /// Name of the box.
    pub name: BoxName,
    /// Incarnation of its daemon.
    pub incarnation: Incarnation,
}

/// Starts or resumes a generation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GenerateRequest {
    /// Identifies the attempt; every frame repeats it.
    pub attempt: AttemptId,
    /// Owner of the attempt.
    pub owner: Owner,
    /// Model that generates.
    pub model: ModelName,
    /// Prompt; empty if a reservation holds it.
    pub prompt: String,
    /// Estimated number of prompt tokens; the engine counts them itself.
    pub prompt_tokens: u64,
    /// Maximum number of output tokens, including those before `offset`.
    pub max_tokens: u64,
    /// Scheduling rank at the engine; rank zero is served first.
    pub rank: u8,
    /// Offset of the first output token to send.
    pub offset: u64,
    /// Output before `offset`, which was already forwarded: the engine continues from it and does
    /// not send it again.
    pub emitted: String,
    /// Reservation that holds the prompt, if a group of engines prefilled it.
    pub group: Option<AttemptId>,
}

impl GenerateRequest {
    /// Rank as a typed value; a number out of range becomes the lowest rank.
    pub const fn checked_rank(&self) -> Rank {
        Rank::from_wire(self.rank)
    }
}

/// Reserves KV memory for a share of a prompt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReserveRequest {
    /// Identifies the reservation, the same at all members of a group.
    pub group: AttemptId,
    /// Owner of the reservation.
    pub owner: Owner,
    /// KV memory to reserve, in tokens.
    pub tokens: u64,
}

/// Prefills a share of a prompt into its reservation; the response follows when it is done.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefillRequest {
    /// Reservation to fill.
    pub group: AttemptId,
    /// Offset of the share's first token within the prompt.
    pub from: u64,
    /// Number of tokens in the share.
    pub tokens: u64,
    /// Scheduling rank at the engine; rank zero is served first.
    pub rank: u8,
    /// Text of the share.
    pub text: String,
}

/// Releases a reservation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseRequest {
    /// Reservation to release.
    pub group: AttemptId,
}

/// Stops an attempt and frees its memory.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelRequest {
    /// Attempt to stop.
    pub attempt: AttemptId,
}

/// Renews an owner's liveness at an engine and lists what the owner still needs.
///
/// The engine frees everything else that it holds for the owner, except items so recent that
/// the owner could not have listed them. A lost cancel or release thus takes effect with the
/// next renewal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewRequest {
    /// Owner that renews.
    pub owner: Owner,
    /// Time without renewal after which the engine frees everything of the owner, in milliseconds.
    pub ttl_ms: u64,
    /// Attempts and reservations to keep.
    pub keep: Vec<AttemptId>,
    /// Age below which unlisted attempts and reservations are kept, in milliseconds.
    pub spare_younger_ms: u64,
}

/// Response with an engine's state report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportResponse {
    /// Latest report of the engine.
    pub report: EngineReport,
    /// Age of the report, in milliseconds.
    pub age_ms: u64,
}

/// JSON body of an error response from a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerErrorBody {
    /// Whether the server states that it did not start the request.
    #[serde(default)]
    pub not_started: bool,
    /// Human-readable description.
    pub message: String,
}

/// Order to an engine, protected by a fencing token.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing token of the lease under which the order is given.
    pub fence: u64,
    /// Requested change.
    pub action: OrderAction,
}

/// Change requested by an [`Order`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "do", rename_all = "snake_case")]
pub enum OrderAction {
    /// Records the order's fencing token, so that orders with smaller tokens are refused.
    Fence,
    /// Loads a model.
    Load {
        /// Model to load.
        model: ModelName,
    },
    /// Unloads a model.
    Unload {
        /// Model to unload.
        model: ModelName,
    },
}
