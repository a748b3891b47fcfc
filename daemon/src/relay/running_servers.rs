//! Finds servers that run before a retry is sent.
//!
//! The kernel accepts connections and calls for a process that stands still, and a forwarder may hold them
//! back, so that neither a connection nor a send shows whether a server reads. A retry that is read late
//! states more time than is left by then, and counts against the retry budget when it is read. So a retry
//! goes only to a server that has just responded to a query; where none does, the call is refused. What
//! else arrives from a server may have been on the way for long.

use std::pin::pin;
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
use tokio::time::timeout_at;

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
pub const QUERY_INTERVAL: Duration = Duration::from_millis(30);
/// Time after which a server that was queried counts as silent: servers respond to queries at once even
/// when they are busy.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_millis(100);

/// Time after which a search ends. It is longer than [`RESPONSE_TIMEOUT`], since all servers are late where
/// the box itself is short of processor time.
const SEARCH_TIME: Duration = Duration::from_millis(500);
/// Time in which a server that has responded to a query counts as running.
pub const RECENT: Duration = Duration::from_millis(50);
/// Running servers with which no more are queried: retries that come at once spread over them.
const ENOUGH_RUNNING: usize = 3;

/// Pause between two searches: servers may refuse connections at once.
pub const SEARCH_INTERVAL: Duration = Duration::from_millis(50);
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
        let is_healthy = match self {
            Self::Report => server_query::fetch_pace(relay, server, admitted)
                .await
                .map(|_pace| true),
            Self::Status(path) => server_query::check_status(relay, server, path, admitted).await,
        };
        match is_healthy {
            Ok(true) => Answer::Healthy,
            Ok(false) => Answer::Unhealthy,
            Err(_cause) => Answer::Failed,
        }
    }

    /// Queries a server until then; one that does not respond within [`RESPONSE_TIMEOUT`] counts as silent.
    pub async fn send_until(
        &self,
        relay: &Arc<Relay>,
        server: &ListedServer,
        until: Instant,
    ) -> Answer {
        let mut answer = pin!(self.send(relay, server));
        if let Ok(answer) = timeout(RESPONSE_TIMEOUT, answer.as_mut()).await {
            return answer;
        }
        silent_servers::record(relay, server, self);
        let answer = timeout_at(until, answer).await;
        answer.unwrap_or(Answer::Failed)
    }

    /// Queries a server that may be silent.
    pub async fn check(&self, relay: &Arc<Relay>, server: &ListedServer) {
        let until = Instant::now() + RESPONSE_TIMEOUT;
        self.send_until(relay, server, until).await;
    }
}

/// Outcome of a query.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// The server responded, and accepts requests.
    Healthy,
    /// The server responded that it does not, which may be wrong.
    Unhealthy,
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
    let mut unhealthy: Vec<&ListedServer> = Vec::new();
    let mut next_at = Instant::now();
    let until = next_at + SEARCH_TIME;
    let mut queried = Queried {
        count: 0,
        running: None,
        is_refused: false,
    };
    loop {
        tokio::select! {
            Some(answered) = answers.next() => {
                let (server, answer): (&'a ListedServer, Answer) = answered;
                match answer {
                Answer::Healthy => {
                    queried.running = Some(&server.server);
                    return queried;
                }
                Answer::Unhealthy => unhealthy.push(server),
                Answer::NotAdmitted => queried.is_refused = true,
                Answer::Failed => {}
            }},
            () = sleep_until(next_at), if left.len() > 0 => {
                if let Some(server) = left.next() {
                    queried.count += 1;
                    next_at = Instant::now() + QUERY_INTERVAL;
                    answers.push(async move {
                        let answer = probe.send_until(&call.relay, server, until).await;
                        (server, answer)
                     });
                }
            }
            else => {
                queried.running = first_accepting(call, &unhealthy);
                return queried;
            }
        }
    }
}

/// The first of these servers that accepts calls by what it announced. It counts as verified, as no other
/// one does.
fn first_accepting<'a>(call: &Call, servers: &[&'a ListedServer]) -> Option<&'a ServerName> {
    let relay = &call.relay;
    let accepts = |server: &&&ListedServer| relay.gate.availability(&server.target).accepts_calls();
    let server = &servers.iter().find(accepts)?.server;
    lock(&relay.tracker).record_verified(relay.clock.now(), server);
    Some(server)
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
