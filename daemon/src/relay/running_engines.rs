//! Finds engines that run before a retry is sent.
//!
//! The kernel accepts connections and calls for a process that stands still, so that neither shows
//! whether a server runs. A retry that such a server reads late is wasted, states more time than is left
//! by then, and counts against the retry budget when it is read. So a box that has heard from no engine
//! recently queries some.

use std::time::Duration;

use badgerferry_lib::ids::ServerName;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use metrics::counter;
use rand::seq::IteratorRandom;
use rand::seq::SliceRandom;
use tokio::time::timeout;

use crate::relay::call::Call;
use crate::relay::candidates;
use crate::relay::candidates::CandidateQuery;
use crate::relay::engine::Engine;
use crate::relay::first_event_watchdog;
use crate::traffic::lock;

/// Engines that are queried at a time, first and if none of those responds. With most engines still,
/// two are often not enough.
const QUERIED_ENGINES: [usize; 2] = [2, 8];
/// Response time-out: engines respond at once even when they are busy, and the round-trip time is
/// some tens of milliseconds between regions.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(100);

/// Time in which an engine that was heard from counts as running, as one that responds to a query.
pub const RECENT: Duration = RESPONSE_TIMEOUT;

/// Longest time of [`find`].
pub const MAX_SEARCH_TIME: Duration =
    Duration::from_millis(RESPONSE_TIMEOUT.as_millis() as u64 * QUERIED_ENGINES.len() as u64);

/// Queries engines that the call may be sent to, unless the box has just heard from one.
/// The first that responds counts as heard from. Returns false if none does.
pub async fn find(call: &Call, query: &CandidateQuery<'_>) -> bool {
    let Some(mut engines) = unheard_engines(call, query) else {
        return true;
    };
    for count in QUERIED_ENGINES {
        let rest = engines.split_off(count.min(engines.len()));
        let queried = std::mem::replace(&mut engines, rest);
        if queried.is_empty() {
            return false;
        }
        let running = first_running(call, &queried).await;
        log_query(call, queried.len(), running.as_ref());
        if let Some(server) = running {
            lock(&call.relay.tracker).record_heard(call.relay.clock.now(), &server);
            return true;
        }
    }
    false
}

/// The first of the engines that responds in time.
async fn first_running(call: &Call, engines: &[Engine]) -> Option<ServerName> {
    let queries = engines.iter().map(|engine| async {
        let is_running = first_event_watchdog::responds(&call.relay, engine).await;
        is_running.then(|| engine.server.clone())
    });
    let mut queries: FuturesUnordered<_> = queries.collect();
    let first = async {
        while let Some(result) = queries.next().await {
            if result.is_some() {
                return result;
            }
        }
        None
    };
    timeout(RESPONSE_TIMEOUT, first).await.ok().flatten()
}

fn log_query(call: &Call, queried: usize, running: Option<&ServerName>) {
    let outcome = if running.is_some() { "found" } else { "none" };
    counter!("badgerferry_running_engine_queries_total", "outcome" => outcome).increment(1);
    tracing::info!(
        call = call.id(),
        queried,
        running = running.map(ToString::to_string),
        "engines queried before a retry"
    );
}

/// Some of the engines that accept calls; `None` if one of them was heard from within [`RECENT`], or if
/// there are none.
fn unheard_engines(call: &Call, query: &CandidateQuery<'_>) -> Option<Vec<Engine>> {
    let relay = &call.relay;
    let now = relay.clock.now();
    let tracker = lock(&relay.tracker);
    let candidates = candidates::of_service(relay, now, &tracker, query).ok()?;
    let accepting = candidates
        .into_iter()
        .filter(|(_, availability)| availability.accepts_calls());
    let accepting: Vec<_> = accepting.map(|(record, _)| record).collect();
    if accepting
        .iter()
        .any(|record| record.is_heard_within(now, RECENT))
    {
        return None;
    }
    let count = QUERIED_ENGINES.iter().sum();
    let mut chosen = accepting
        .into_iter()
        .choose_multiple(&mut rand::rng(), count);
    chosen.shuffle(&mut rand::rng());
    Some(chosen.into_iter().map(Engine::of).collect())
}
