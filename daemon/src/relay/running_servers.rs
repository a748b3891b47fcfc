//! Finds servers that run before a retry is sent.
//!
//! The kernel accepts connections and calls for a process that stands still, and a forwarder may hold them
//! back, so that neither a connection nor a send shows whether a server reads. A retry that is read late
//! states more time than is left by then, and counts against the retry budget when it is read. So a retry
//! goes only to a server that has just responded to a query; where none does, the call is refused. What
//! else arrives from a server may have been on the way for long.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use badgerferry_lib::ids::ServerName;
use badgerferry_lib::relay::server_tracker::ServerRecord;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use metrics::counter;
use rand::seq::SliceRandom;
use tokio::time::Instant;
use tokio::time::sleep_until;
use tokio::time::timeout;

use crate::relay::call::Call;
use crate::relay::candidates;
use crate::relay::candidates::CandidateQuery;
use crate::relay::listed_server::ListedServer;
use crate::relay::server_query;
use crate::relay::silent_servers;
use crate::relay::state::Relay;
use crate::traffic::lock;

/// Maximum number of servers that are queried for a call.
const MAX_QUERIED: usize = 10;
/// Time after which another server is queried beside those that have not responded: the round-trip time
/// between regions.
const QUERY_INTERVAL: Duration = Duration::from_millis(30);
/// Response time-out: servers respond to queries at once even when they are busy.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_millis(100);

/// Time in which a server that has responded to a query counts as running.
pub const RECENT: Duration = Duration::from_millis(50);
/// Running servers with which no more are queried: retries that come at once spread over them.
const ENOUGH_RUNNING: usize = 3;

/// Longest time for which a stream that has begun searches. Callers give a stream up after two seconds of
/// silence, part of which has passed.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// Query that shows whether a server of a service runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LivenessProbe {
    /// The report of an engine, which takes no slot.
    Report,
    /// The status at this path.
    Status(String),
}

impl LivenessProbe {
    /// `None` if servers of the call's service can't be queried.
    pub fn of(call: &Call) -> Option<Self> {
        let service = call.routes.service(&call.service)?;
        match &service.health_path {
            _ if service.engine.is_some() => Some(Self::Report),
            Some(path) => Some(Self::Status(path.clone())),
            None => None,
        }
    }

    /// Queries a server, however long it takes.
    pub async fn send(&self, relay: &Relay, server: &ListedServer) -> Answer {
        let Ok(admitted) = relay.gate.admit_background(&server.target).await else {
            return Answer::NotAdmitted;
        };
        let responds = match self {
            Self::Report => server_query::fetch_pace(relay, server, admitted)
                .await
                .is_ok(),
            Self::Status(path) => server_query::check_status(relay, server, path, admitted)
                .await
                .is_ok(),
        };
        if responds {
            Answer::Responds
        } else {
            Answer::Failed
        }
    }

    /// Queries a server; one that does not respond in time counts as silent.
    pub async fn send_in_time(&self, relay: &Arc<Relay>, server: &ListedServer) -> Answer {
        match timeout(RESPONSE_TIMEOUT, self.send(relay, server)).await {
            Ok(answer) => answer,
            Err(_elapsed) => {
                silent_servers::record(relay, server, self);
                Answer::Failed
            }
        }
    }
}

/// Outcome of a query.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// The server responded.
    Responds,
    /// No connection or no response.
    Failed,
    /// The server accepts nothing from this box now, which the gate decides on before the send.
    NotAdmitted,
}

/// Result of a search for a running server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Search {
    /// Some server has responded within [`RECENT`].
    Found {
        /// Whether the call was not sent to it yet.
        is_untried: bool,
    },
    /// None responds.
    NoneResponds,
    /// None can be queried.
    Unknown,
}

/// Longest time for which a call searches again. A stream that has begun would be aborted otherwise.
pub fn max_wait(call: &Call) -> Duration {
    if call.response_started.load(Ordering::Relaxed) {
        MAX_WAIT
    } else {
        Duration::ZERO
    }
}

/// Queries servers that the call may be sent to, one after the other until one responds, unless enough have
/// just done so. Those that the call was sent to come last, and do not count if they declined it.
pub async fn find(call: &Call, query: &CandidateQuery<'_>, is_declined: bool) -> Search {
    let Some(probe) = LivenessProbe::of(call) else {
        return Search::Unknown;
    };
    let untried = search(call, &probe, query, |_| true).await;
    if untried != Search::NoneResponds || is_declined {
        return untried;
    }
    let all = CandidateQuery {
        tried: &[],
        ..*query
    };
    let was_tried = |server: &ServerName| query.tried.contains(server);
    match search(call, &probe, &all, was_tried).await {
        Search::Found { .. } => Search::Found { is_untried: false },
        Search::NoneResponds | Search::Unknown => Search::NoneResponds,
    }
}

async fn search(
    call: &Call,
    probe: &LivenessProbe,
    query: &CandidateQuery<'_>,
    filter: impl Fn(&ServerName) -> bool,
) -> Search {
    let found = Search::Found { is_untried: true };
    let servers = match unverified_servers(call, query, filter) {
        Some(servers) if servers.is_empty() => return Search::Unknown,
        Some(servers) => servers,
        None => return found,
    };
    let queried = query_servers(call, probe, &servers).await;
    log_search(call, &queried);
    match queried {
        Queried {
            running: Some(_), ..
        } => found,
        Queried {
            is_refused: true, ..
        } => Search::Unknown,
        Queried { .. } => Search::NoneResponds,
    }
}

/// Whether a server runs that was selected for a retry some time ago.
pub async fn is_running(call: &Call, server: &ListedServer) -> bool {
    let now = call.relay.clock.now();
    let is_verified = lock(&call.relay.tracker)
        .get(&server.server)
        .is_none_or(|record| record.is_verified_within(now, RECENT));
    let Some(probe) = LivenessProbe::of(call).filter(|_| !is_verified) else {
        return true;
    };
    let queried = query_servers(call, &probe, std::slice::from_ref(server)).await;
    log_search(call, &queried);
    queried.running.is_some() || queried.is_refused
}

/// Result of queries.
struct Queried<'a> {
    /// Number of servers.
    count: usize,
    /// The first that responded.
    running: Option<&'a ServerName>,
    /// Whether a server accepts no queries.
    is_refused: bool,
}

/// Queries servers one after the other until one responds.
async fn query_servers<'a>(
    call: &Call,
    probe: &LivenessProbe,
    servers: &'a [ListedServer],
) -> Queried<'a> {
    let mut left = servers.iter();
    let mut answers = FuturesUnordered::new();
    let mut next_at = Instant::now();
    let mut queried = Queried {
        count: 0,
        running: None,
        is_refused: false,
    };
    loop {
        tokio::select! {
            Some((server, answer)) = answers.next() => match answer {
                Answer::Responds => {
                    queried.running = Some(server);
                    return queried;
                }
                Answer::NotAdmitted => queried.is_refused = true,
                Answer::Failed => {}
            },
            () = sleep_until(next_at), if left.len() > 0 => {
                if let Some(server) = left.next() {
                    queried.count += 1;
                    next_at = Instant::now() + QUERY_INTERVAL;
                    answers.push(async move {
                        let answer = probe.send_in_time(&call.relay, server).await;
                        (&server.server, answer)
                     });
                }
            }
            else => return queried,
        }
    }
}

fn log_search(call: &Call, queried: &Queried<'_>) {
    let outcome = if queried.running.is_some() {
        "found"
    } else {
        "none"
    };
    counter!("badgerferry_running_server_searches_total", "outcome" => outcome).increment(1);
    counter!("badgerferry_running_server_queries_total").increment(queried.count as u64);
    tracing::info!(
        call = call.id(),
        service = %call.service,
        queried = queried.count,
        running = queried.running.map(ToString::to_string),
        "servers queried before a retry"
    );
}

/// Some of the servers that accept calls, match and have not responded within [`RECENT`], silent ones last;
/// `None` if enough others have.
fn unverified_servers(
    call: &Call,
    query: &CandidateQuery<'_>,
    matches: impl Fn(&ServerName) -> bool,
) -> Option<Vec<ListedServer>> {
    let relay = &call.relay;
    let now = relay.clock.now();
    let tracker = lock(&relay.tracker);
    let candidates = candidates::of_service(relay, now, &tracker, query).unwrap_or_default();
    let accepting = candidates.into_iter().filter(|(record, availability)| {
        availability.accepts_calls() && matches(&record.info.name)
    });
    let accepting = accepting.map(|(record, _)| record);
    let (verified, mut unverified): (Vec<&ServerRecord>, Vec<&ServerRecord>) =
        accepting.partition(|record| record.is_verified_within(now, RECENT));
    if verified.len() >= ENOUGH_RUNNING || unverified.is_empty() && !verified.is_empty() {
        return None;
    }
    unverified.shuffle(&mut rand::rng());
    unverified.sort_by_key(|record| record.is_silent());
    unverified.truncate(MAX_QUERIED);
    Some(unverified.into_iter().map(ListedServer::of).collect())
}
