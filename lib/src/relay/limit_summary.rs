//! Summary of call limits, requested pauses and departures of servers, and of their effects on
//! calls, from the boxes' logs.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

/// Log line relevant to the summary, identified by its message. Other lines fail to deserialize.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(tag = "message")]
pub enum LimitLogLine {
    /// A server stated a new or changed limit.
    #[serde(rename = "server names a limit")]
    LimitStated {
        /// Name of the server, if known to the box.
        server: Option<String>,
        /// Limit in calls per second.
        limit: f64,
        /// Time of the line.
        timestamp: String,
    },
    /// A server no longer states a limit.
    #[serde(rename = "server names no limit any more")]
    LimitLifted {
        /// Name of the server, if known to the box.
        server: Option<String>,
        /// Time of the line.
        timestamp: String,
    },
    /// A server became cold.
    #[serde(rename = "server is cold")]
    Cold {
        /// Name of the server, if known to the box.
        server: Option<String>,
        /// Calls per second while it is cold.
        rate: f64,
        /// Time of the line.
        timestamp: String,
    },
    /// A permit for a call was requested.
    #[serde(rename = "limited server asked for")]
    PermitRequested {
        /// Name of the server.
        server: String,
        /// Whether the permit was granted.
        outcome: PermitOutcome,
        /// Delay of the call in milliseconds, if granted.
        wait_ms: Option<u64>,
    },
    /// A permit request got no response.
    #[serde(rename = "a question for a limited server got no answer")]
    Unanswered,
    /// A server is leaving.
    #[serde(rename = "server leaves")]
    Leaving {
        /// Name of the server, if known to the box.
        server: Option<String>,
        /// Time of the line.
        timestamp: String,
    },
    /// A server rejected a call, possibly with a requested pause.
    #[serde(rename = "server declined")]
    Declined {
        /// Name of the server.
        server: String,
        /// Requested pause in milliseconds.
        retry_after_ms: Option<u64>,
        /// Time of the line.
        timestamp: String,
    },
    /// A call was not sent to the selected server because the server accepts none.
    #[serde(rename = "call held back from a server")]
    HeldBack {
        /// Name of the server.
        server: String,
    },
    /// A call ended.
    #[serde(rename = "call ended")]
    CallEnded {
        /// Outcome label of the call.
        outcome: String,
    },
}

/// Outcome of a permit request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PermitOutcome {
    /// The call was sent to the server.
    Granted,
    /// The quota was used up; the call went to another server or was refused.
    Full,
}

/// Outcomes of calls refused because no server accepted them.
const REFUSED: [&str; 4] = [
    "servers_limited",
    "servers_shedding",
    "servers_evacuated",
    "servers_leaving",
];

/// Summary of one server.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct ServerSummary {
    /// Latest limit in calls per second, `None` if lifted.
    pub limit: Option<f64>,
    /// When the latest limit was first stated.
    pub since: Option<String>,
    /// Calls per second when it was last cold.
    pub cold_rate: Option<f64>,
    /// When a box last found that it is cold.
    pub cold_at: Option<String>,
    /// Number of granted permits.
    pub granted: u64,
    /// Number of denied permits.
    pub full: u64,
    /// Longest delay before a permitted call, in milliseconds.
    pub longest_wait_ms: u64,
    /// When it was first reported as leaving.
    pub leaves_since: Option<String>,
    /// Number of calls rejected with a requested pause.
    pub shed: u64,
    /// Last requested pause in milliseconds.
    pub pause_ms: Option<u64>,
    /// Time of the last rejection with a pause.
    pub shed_at: Option<String>,
    /// Number of calls that selected this server but were not sent to it because it accepted none
    /// by then.
    pub held_back: u64,
}

/// Summary of all servers that stated a limit, a pause or their departure.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct LimitSummary {
    /// Servers by name.
    pub servers: BTreeMap<String, ServerSummary>,
    /// Number of permit requests without a response.
    pub unanswered: u64,
    /// Calls refused because no server accepted calls from their box, by outcome.
    pub refused: BTreeMap<String, u64>,
}

impl LimitSummary {
    /// Adds a log line. Lines of several boxes may come in any order.
    pub fn add(&mut self, line: LimitLogLine) {
        match line {
            LimitLogLine::LimitStated {
                server: Some(server),
                limit,
                timestamp,
            } => self.record_limit(server, Some(limit), timestamp),
            LimitLogLine::LimitLifted {
                server: Some(server),
                timestamp,
            } => self.record_limit(server, None, timestamp),
            LimitLogLine::Cold {
                server: Some(server),
                rate,
                timestamp,
            } => {
                let entry = self.servers.entry(server).or_default();
                if entry.cold_at.as_ref().is_none_or(|at| timestamp > *at) {
                    entry.cold_rate = Some(rate);
                    entry.cold_at = Some(timestamp);
                }
            }
            LimitLogLine::PermitRequested {
                server,
                outcome,
                wait_ms,
            } => {
                let entry = self.servers.entry(server).or_default();
                match outcome {
                    PermitOutcome::Granted => entry.granted += 1,
                    PermitOutcome::Full => entry.full += 1,
                }
                entry.longest_wait_ms = entry.longest_wait_ms.max(wait_ms.unwrap_or_default());
            }
            LimitLogLine::Unanswered => self.unanswered += 1,
            LimitLogLine::Leaving {
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
                let entry = self.servers.entry(server).or_default();
                entry.shed += 1;
                if entry.shed_at.as_ref().is_none_or(|at| timestamp >= *at) {
                    entry.pause_ms = Some(pause);
                    entry.shed_at = Some(timestamp);
                }
            }
            LimitLogLine::HeldBack { server } => {
                self.servers.entry(server).or_default().held_back += 1;
            }
            LimitLogLine::CallEnded { outcome } if REFUSED.contains(&outcome.as_str()) => {
                *self.refused.entry(outcome).or_default() += 1;
            }
            // A box that does not list the server yet logs only its incarnation, without a name.
            LimitLogLine::LimitStated { .. }
            | LimitLogLine::LimitLifted { .. }
            | LimitLogLine::Cold { .. }
            | LimitLogLine::Leaving { .. }
            | LimitLogLine::Declined { .. }
            | LimitLogLine::CallEnded { .. } => {}
        }
    }

    /// Keeps the latest limit, with its earliest timestamp: many boxes log the same limit.
    fn record_limit(&mut self, server: String, limit: Option<f64>, at: String) {
        let entry = self.servers.entry(server).or_default();
        let is_same = entry.since.is_some() && entry.limit == limit;
        let is_newer = entry.since.as_ref().is_none_or(|since| at >= *since);
        if (is_same && !is_newer) || (!is_same && is_newer) {
            entry.limit = limit;
            entry.since = Some(at);
        }
    }
}
