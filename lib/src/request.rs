//! Requests as the decision modules see them, and their placements.

use std::time::Duration;

use crate::ids::ModelName;
use crate::ids::RequestId;
use crate::ids::ServerName;
use crate::ids::WorkspaceName;
use crate::priority::Priority;
use crate::time::Time;

/// A request that is queued and routed.
#[derive(Debug, Clone)]
pub struct Request {
    /// Unique identifier.
    pub id: RequestId,
    /// Workspace of the caller.
    pub workspace: WorkspaceName,
    /// Fair-queueing weight of the workspace.
    pub weight: u64,
    /// Maximum number of requests that the workspace may have queued at this box.
    pub queue_limit: u64,
    /// The model, or the pool of a plain service.
    pub model: ModelName,
    /// Estimated tokens of the prompt; zero for a plain service.
    pub prompt_tokens: u64,
    /// Maximum number of tokens in the response.
    pub max_output: u64,
    /// Priority of the class, before ageing.
    pub priority: Priority,
    /// Queueing time after which the priority rises by one level.
    pub ageing: Duration,
    /// When the request arrived at the box.
    pub arrived: Time,
    /// When the response must be complete.
    pub deadline: Time,
    /// Hash of the prompt's prefix, to find engines that have it cached.
    pub prefix: Option<PrefixHash>,
}

/// Hash of a prompt's prefix.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PrefixHash(pub u64);

/// One engine's share of a prompt that a group of engines holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Share {
    /// The engine.
    pub server: ServerName,
    /// Memory to reserve at the engine, in tokens.
    pub tokens: u64,
    /// Prompt tokens to prefill; zero if the engine only reserves memory for the response.
    pub prompt: u64,
}

/// The server or group of servers that a request is sent to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Placement {
    /// One server runs the whole request.
    One(ServerName),
    /// A group holds the prompt, in this order; the last member generates the response.
    Group(Vec<Share>),
}

impl Placement {
    /// The servers of the placement, in the order of the group.
    pub fn servers(&self) -> Vec<&ServerName> {
        match self {
            Self::One(server) => vec![server],
            Self::Group(shares) => shares.iter().map(|share| &share.server).collect(),
        }
    }
}
