//! What servers said of the calls they take, and what became of calls for it, from boxes' lines.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

/// A line that tells of what a server said; other lines are none.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(tag = "message")]
pub enum LimitLogLine {
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
    /// A server leaves.
    #[serde(rename = "server leaves")]
    Leaves {
        /// The server.
        server: Option<String>,
        /// When.
        timestamp: String,
    },
    /// A server turned a call away, perhaps with a pause that it wants.
    #[serde(rename = "server declined")]
    Declined {
        /// The server.
        server: String,
        /// The pause.
        retry_after_ms: Option<u64>,
        /// When.
        timestamp: String,
    },
    /// A call was chosen for a server that takes none.
    #[serde(rename = "call held back from a server")]
    HeldBack {
        /// The server.
        server: String,
    },
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

/// Outcomes of calls for which no server was open.
const REFUSED: [&str; 3] = ["servers_limited", "servers_shedding", "servers_leaving"];

/// One server.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct ServerSummary {
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
    /// When it was first told to leave.
    pub leaves_since: Option<String>,
    /// Calls that it turned away with a pause that it wants.
    pub shed: u64,
    /// The pause that it last named.
    pub pause_ms: Option<u64>,
    /// When it last did.
    pub shed_at: Option<String>,
    /// Calls that went elsewhere, since it took none when they were to be sent.
    pub held_back: u64,
}

/// All servers that said something.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct LimitSummary {
    /// By name.
    pub servers: BTreeMap<String, ServerSummary>,
    /// Questions that got no answer.
    pub unanswered: u64,
    /// Calls that were refused since no server took any of their box, by outcome.
    pub refused: BTreeMap<String, u64>,
}

impl LimitSummary {
    /// Takes a line; those of several boxes may come in any order.
    pub fn add(&mut self, line: LimitLogLine) {
        match line {
            LimitLogLine::Named {
                server: Some(server),
                limit,
                timestamp,
            } => self.word(server, Some(limit), timestamp),
            LimitLogLine::Over {
                server: Some(server),
                timestamp,
            } => self.word(server, None, timestamp),
            LimitLogLine::Asked {
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
            LimitLogLine::Unanswered => self.unanswered += 1,
            LimitLogLine::Leaves {
                server: Some(server),
                timestamp,
            } => {
                let since = &mut self.servers.entry(server).or_default().leaves_since;
                if since.as_ref().is_none_or(|since| timestamp < *since) {
                    *since = Some(timestamp);
                }
            }
            LimitLogLine::Declined {
                server,
                retry_after_ms: Some(pause),
                timestamp,
            } => {
                let of = self.servers.entry(server).or_default();
                of.shed += 1;
                if of.shed_at.as_ref().is_none_or(|at| timestamp >= *at) {
                    of.pause_ms = Some(pause);
                    of.shed_at = Some(timestamp);
                }
            }
            LimitLogLine::HeldBack { server } => {
                self.servers.entry(server).or_default().held_back += 1;
            }
            LimitLogLine::Ended { outcome } if REFUSED.contains(&outcome.as_str()) => {
                *self.refused.entry(outcome).or_default() += 1;
            }
            // A box that does not list the server yet tells only its life.
            LimitLogLine::Named { .. }
            | LimitLogLine::Over { .. }
            | LimitLogLine::Leaves { .. }
            | LimitLogLine::Declined { .. }
            | LimitLogLine::Ended { .. } => {}
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
