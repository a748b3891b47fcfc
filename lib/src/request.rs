//! What the decision modules know of a request.

use std::time::Duration;

use crate::ids::ModelName;
use crate::ids::RequestId;
use crate::ids::ServerName;
use crate::ids::WorkspaceName;
use crate::priority::Priority;
use crate::time::Time;

/// A request as it waits and is routed.
#[derive(Debug, Clone)]
pub struct Request {
    /// Its identifier.
    pub id: RequestId,
    /// Whose it is.
    pub workspace: WorkspaceName,
    /// The workspace's weight.
    pub weight: u64,
    /// Waiting requests that the workspace may have at this box.
    pub queue_limit: u64,
    /// The model, or the plain service's pool.
    pub model: ModelName,
    /// Estimated tokens of the prompt; zero for a plain service.
    pub prompt_tokens: u64,
    /// Most tokens of the answer.
    pub max_output: u64,
    /// The class's priority.
    pub priority: Priority,
    /// Waiting time that lifts it by one priority.
    pub ageing: Duration,
    /// When it arrived.
    pub arrived: Time,
    /// When its answer must be whole.
    pub deadline: Time,
    /// Hash of the prompt's beginning, for engines that cache it.
    pub prefix: Option<PrefixHash>,
}

/// Hash of a prompt's beginning.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PrefixHash(pub u64);

/// One member's part of a prompt that a group of engines holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Share {
    /// The engine.
    pub server: ServerName,
    /// Memory that it reserves, in tokens.
    pub tokens: u64,
    /// Prompt tokens that it prefills.
    pub prompt: u64,
}

/// Where a request goes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Placement {
    /// One server does all of it.
    One(ServerName),
    /// A group holds the prompt, in this order; the last member generates.
    Group(Vec<Share>),
}

impl Placement {
    /// The servers, in order.
    pub fn servers(&self) -> Vec<&ServerName> {
        match self {
            Self::One(server) => vec![server],
            Self::Group(shares) => shares.iter().map(|share| &share.server).collect(),
        }
    }
}
