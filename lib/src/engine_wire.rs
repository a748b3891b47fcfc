//! Messages to and from model engines, as JSON over HTTP; answers stream as JSON lines.
//!
//! What is assumed of engines beyond the brief is listed in `docs/assumptions.md`, each
//! with what changes if it is wrong. Chiefly: work carries an owner, and an engine frees
//! what an owner made it hold once the owner has been silent for the time it gave.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::AttemptId;
use crate::ids::BoxName;
use crate::ids::Incarnation;
use crate::ids::ModelName;
use crate::priority::Rank;
use crate::server_view::EngineReport;

/// Whose work an engine holds: one life of one box.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Owner {
    /// The box.
    pub name: BoxName,
    /// The life of its daemon.
    pub incarnation: Incarnation,
}

/// Starts or resumes an answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GenerateRequest {
    /// Names the attempt; every frame repeats it.
    pub attempt: AttemptId,
    /// Whose work it is.
    pub owner: Owner,
    /// The model.
    pub model: ModelName,
    /// The prompt; empty if a group holds it.
    pub prompt: String,
    /// Tokens of the prompt as estimated; the engine counts its own.
    pub prompt_tokens: u64,
    /// Most tokens of the whole answer.
    pub max_tokens: u64,
    /// Order at the engine, from zero for the first.
    pub rank: u8,
    /// Offset of the first token wanted.
    pub offset: u64,
    /// What was forwarded before that offset, to be replayed and not sent again.
    pub emitted: String,
    /// The reservation that holds the prompt, if a group does.
    pub group: Option<AttemptId>,
}

impl GenerateRequest {
    /// The rank, checked.
    pub const fn checked_rank(&self) -> Rank {
        Rank::from_wire(self.rank)
    }
}

/// Reserves memory for a share of a prompt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReserveRequest {
    /// The reservation, the same at all members of a group.
    pub group: AttemptId,
    /// Whose it is.
    pub owner: Owner,
    /// Tokens.
    pub tokens: u64,
}

/// Prefills a share into its reservation; the answer comes when that is done.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefillRequest {
    /// The reservation.
    pub group: AttemptId,
    /// First token of the share within the prompt.
    pub from: u64,
    /// Tokens of the share.
    pub tokens: u64,
    /// Order at the engine.
    pub rank: u8,
    /// The share's text.
    pub text: String,
}

/// Gives up a reservation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseRequest {
    /// The reservation.
    pub group: AttemptId,
}

/// Stops an attempt and frees its memory.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelRequest {
    /// The attempt.
    pub attempt: AttemptId,
}

/// Says that an owner lives, for how long to believe it, and what it still holds.
///
/// The engine frees whatever else it holds for the owner, unless that is so young that
/// the owner could not have known of it when it sent this. A cancel or release that was
/// lost is made good by the next renewal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewRequest {
    /// The owner.
    pub owner: Owner,
    /// Time without renewal after which its work is freed, in milliseconds.
    pub ttl_ms: u64,
    /// Attempts and reservations that it still wants.
    pub keep: Vec<AttemptId>,
    /// Work younger than this is kept in any case, in milliseconds.
    pub spare_younger_ms: u64,
}

/// A report and its age.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportResponse {
    /// The report.
    pub report: EngineReport,
    /// How old it is, in milliseconds.
    pub age_ms: u64,
}

/// An error from a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerErrorBody {
    /// Whether the server says that it did not start the work.
    #[serde(default)]
    pub not_started: bool,
    /// For people.
    pub message: String,
}

/// A fenced order to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing number of the lease under which it is given.
    pub fence: u64,
    /// What to do.
    pub action: OrderAction,
}

/// What an order asks for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "do", rename_all = "snake_case")]
pub enum OrderAction {
    /// Nothing but to take note of the order's number, and to refuse smaller ones.
    Fence,
    /// Load a model.
    Load {
        /// The model.
        model: ModelName,
    },
    /// Unload a model.
    Unload {
        /// The model.
        model: ModelName,
    },
}
