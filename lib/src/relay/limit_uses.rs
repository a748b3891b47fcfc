//! What servers said that they take, and what became of the calls that asked for it, from boxes' lines.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

/// A line that tells of a limited server; other lines are none.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(tag = "message")]
pub enum LimitLine {
    /// A limit began or changed.
    #[serde(rename = "server names a limit")]
    Named {
        /// The server.
        server: Option<String>,
        /// Calls a second.
        limit: f64,
        /// When.
        timestamp: String,
    },
    /// A limit is over.
    #[serde(rename = "server names no limit any more")]
    Over {
        /// The server.
        server: Option<String>,
        /// When.
        timestamp: String,
    },
    /// A call asked for its place there.
    #[serde(rename = "limited server asked for")]
    Asked {
        /// The server.
        server: String,
        /// What it was told.
        outcome: AskOutcome,
        /// How long it had to wait.
        wait_ms: Option<u64>,
    },
    /// A question got no answer.
    #[serde(rename = "a question for a limited server got no answer")]
    Unanswered,
    /// A call ended.
    #[serde(rename = "call ended")]
    Ended {
        /// How.
        outcome: String,
    },
}

/// What a call was told that asked for its place at a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AskOutcome {
    /// It went there.
    Granted,
    /// There was no room; it went elsewhere, or was refused.
    Full,
}

/// Outcome of calls for which no server had room.
const REFUSED: &str = "servers_limited";

/// One server.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct LimitUse {
    /// Calls a second by its last word; none if that is over.
    pub limit: Option<f64>,
    /// When it first said so.
    pub since: Option<String>,
    /// Calls that went there.
    pub granted: u64,
    /// Calls that did not.
    pub full: u64,
    /// Longest wait of a call that went there.
    pub longest_wait_ms: u64,
}

/// All limited servers.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct LimitUses {
    /// By name.
    pub servers: BTreeMap<String, LimitUse>,
    /// Questions that got no answer.
    pub unanswered: u64,
    /// Calls that were refused since all servers were closed to their box.
    pub refused: u64,
}

impl LimitUses {
    /// Takes a line; those of several boxes may come in any order.
    pub fn take(&mut self, line: LimitLine) {
        match line {
            LimitLine::Named {
                server: Some(server),
                limit,
                timestamp,
            } => self.word(server, Some(limit), timestamp),
            LimitLine::Over {
                server: Some(server),
                timestamp,
            } => self.word(server, None, timestamp),
            // A box that does not list the server yet tells only its life.
            LimitLine::Named { server: None, .. } | LimitLine::Over { server: None, .. } => {}
            LimitLine::Asked {
                server,
                outcome,
                wait_ms,
            } => {
                let of = self.servers.entry(server).or_default();
                match outcome {
                    AskOutcome::Granted => of.granted += 1,
                    AskOutcome::Full => of.full += 1,
                }
                of.longest_wait_ms = of.longest_wait_ms.max(wait_ms.unwrap_or_default());
            }
            LimitLine::Unanswered => self.unanswered += 1,
            LimitLine::Ended { outcome } => self.refused += u64::from(outcome == REFUSED),
        }
    }

    /// The same word is heard at many boxes: its first moment counts, and the newest word.
    fn word(&mut self, server: String, limit: Option<f64>, at: String) {
        let of = self.servers.entry(server).or_default();
        let is_same = of.since.is_some() && of.limit == limit;
        let is_newer = of.since.as_ref().is_none_or(|since| at >= *since);
        if (is_same && !is_newer) || (!is_same && is_newer) {
            of.limit = limit;
            of.since = Some(at);
        }
    }
}
