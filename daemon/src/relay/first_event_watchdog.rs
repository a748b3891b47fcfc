//! Queries the servers of a call whose first event, or response, is late.
//!
//! Engines are asked for their pace: how many times as long as usual they take, see
//! [`badgerferry_lib::relay::slow_engine_tracker`]. Other servers are asked only if they have sent nothing
//! since the call was sent. Servers that do not respond to the query count as silent.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use badgerferry_lib::relay::slow_engine_tracker;
use badgerferry_lib::relay::slow_engine_tracker::QUERY_INTERVAL;
use badgerferry_lib::relay::slow_engine_tracker::QUERY_JITTER;
use metrics::counter;
use rand::Rng;
use tokio::task::AbortHandle;
use tokio::time::Instant;
use tokio::time::timeout;

use crate::relay::call::Call;
use crate::relay::listed_server::ListedServer;
use crate::relay::running_servers::LivenessProbe;
use crate::relay::running_servers::RESPONSE_TIMEOUT;
use crate::relay::server_gate::Admitted;
use crate::relay::server_query;
use crate::relay::silent_servers;
use crate::relay::state::Relay;
use crate::traffic::lock;

/// Added to the estimated time of a first event, after which a server that has sent nothing is asked whether
/// it runs.
const RESPONSE_SLACK: Duration = Duration::from_millis(100);
/// Timeout of a pace query; engines respond at once even when they are busy.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);

/// Queries the servers of a call if its first event is late; stopped when dropped.
#[derive(Debug)]
pub struct FirstEventWatchdog(AbortHandle);

impl FirstEventWatchdog {
    /// Starts the timer; `expected` is the estimated time to the first event.
    pub fn start(call: &Arc<Call>, engines: Vec<ListedServer>, expected: Duration) -> Self {
        let call = Arc::clone(call);
        let late_after = slow_engine_tracker::late_after(expected);
        let watch = async move {
            let started_at = Instant::now();
            if let Some(lead) = engines.first() {
                probe_if_silent(&call, lead, expected + RESPONSE_SLACK).await;
            }
            tokio::time::sleep_until(started_at + late_after).await;
            query_engines(&call, engines);
        };
        Self(tokio::spawn(watch).abort_handle())
    }

    /// Starts the timer for a call to a server without an engine model.
    pub fn start_plain(call: &Arc<Call>, server: ListedServer, expected: Duration) -> Self {
        let call = Arc::clone(call);
        let watch = async move { probe_if_silent(&call, &server, expected).await };
        Self(tokio::spawn(watch).abort_handle())
    }

    /// Stops the timer once the first event has arrived.
    pub fn stop(&self) {
        self.0.abort();
    }
}

impl Drop for FirstEventWatchdog {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Queries a server that has sent nothing for this time.
async fn probe_if_silent(call: &Call, server: &ListedServer, after: Duration) {
    let relay = &call.relay;
    let since = relay.clock.now();
    tokio::time::sleep(after).await;
    let is_heard = lock(&relay.tracker).is_heard_since(since, &server.server);
    if let Some(probe) = LivenessProbe::of(call).filter(|_| !is_heard) {
        probe.check(relay, server).await;
    }
}

fn query_engines(call: &Call, engines: Vec<ListedServer>) {
    let relay = &call.relay;
    let now = relay.clock.now();
    let mut slow_engines = lock(&relay.slow_engine_tracker);
    let queried = engines
        .into_iter()
        .filter(|engine| slow_engines.should_query(now, engine.key));
    let queried: Vec<ListedServer> = queried.collect();
    drop(slow_engines);
    tracing::info!(
        call = call.id(),
        engines = queried.len(),
        "first event late; querying engine pace"
    );
    for engine in queried {
        // Not stopped with the call: the report is useful even if the call ends first.
        tokio::spawn(query_while_slow(Arc::clone(relay), engine));
    }
}

/// Queries an engine, and repeats the query while it is slow and no other box queries it.
async fn query_while_slow(relay: Arc<Relay>, engine: ListedServer) {
    let key = engine.key;
    while let Some(pace) = try_fetch_pace(&relay, &engine).await {
        let now = relay.clock.now();
        let is_slow = lock(&relay.slow_engine_tracker).record_pace(now, key, pace);
        tracing::info!(
            engine = engine.address,
            pace,
            is_slow,
            "engine pace reported"
        );
        if !is_slow {
            return;
        }
        // Gossips the slow engine to the other boxes at once.
        relay.urgent_changed.notify_one();
        let jitter = rand::rng().random_range(0.0..QUERY_JITTER);
        tokio::time::sleep(QUERY_INTERVAL + QUERY_INTERVAL.mul_f64(jitter)).await;
        if !lock(&relay.slow_engine_tracker).should_query_again(relay.clock.now(), key) {
            return;
        }
    }
}

/// Pace of the engine; `None` if the query fails or is not admitted to the engine now. An engine that does
/// not respond in time counts as silent.
async fn try_fetch_pace(relay: &Arc<Relay>, engine: &ListedServer) -> Option<f64> {
    let admitted = relay.gate.admit_background(&engine.target).await.ok()?;
    let mut pace = pin!(fetch_pace(relay, engine, admitted));
    if let Ok(pace) = timeout(RESPONSE_TIMEOUT, pace.as_mut()).await {
        return pace;
    }
    silent_servers::record(relay, engine, &LivenessProbe::Report);
    pace.await
}

/// Pace of the engine as a multiple of its usual time; `None` if the query fails.
async fn fetch_pace(relay: &Relay, engine: &ListedServer, admitted: Admitted) -> Option<f64> {
    let address = &engine.address;
    let report = server_query::fetch_pace(relay, engine, admitted);
    let outcome = match timeout(REPORT_TIMEOUT, report).await {
        Ok(Ok(pace)) => Ok(pace),
        Ok(Err(cause)) => Err(format!("{cause:#}")),
        Err(_elapsed) => Err("response timed out".to_owned()),
    };
    let label = if outcome.is_ok() { "told" } else { "no_report" };
    counter!("badgerferry_engine_reports_total", "outcome" => label).increment(1);
    outcome
        .inspect_err(|cause| tracing::info!(address, cause, "engine pace query failed"))
        .ok()
}
