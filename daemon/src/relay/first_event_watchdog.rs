//! Queries the engines of a call whose first event is late for their pace: how many times as long
//! as usual they take. See [`badgerferry_lib::relay::slow_engine_tracker`].

use std::sync::Arc;
use std::time::Duration;

use badgerferry_lib::relay::slow_engine_tracker;
use badgerferry_lib::relay::slow_engine_tracker::QUERY_INTERVAL;
use badgerferry_lib::relay::slow_engine_tracker::QUERY_JITTER;
use badgerferry_platform::reports;
use metrics::counter;
use rand::Rng;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use crate::relay::call::Call;
use crate::relay::engine::Engine;
use crate::relay::engine_call;
use crate::relay::state::Relay;
use crate::traffic::lock;

/// Timeout of a pace query; engines respond at once even when they are busy.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);

/// Queries the engines of a call if its first event is late; stopped when dropped.
#[derive(Debug)]
pub struct FirstEventWatchdog(AbortHandle);

impl FirstEventWatchdog {
    /// Starts the timer; `expected` is the estimated time to the first event.
    pub fn start(call: &Arc<Call>, engines: Vec<Engine>, expected: Duration) -> Self {
        let call = Arc::clone(call);
        let late_after = slow_engine_tracker::late_after(expected);
        let watch = async move {
            tokio::time::sleep(late_after).await;
            query_engines(&call, engines);
        };
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

fn query_engines(call: &Call, engines: Vec<Engine>) {
    let relay = &call.relay;
    let now = relay.clock.now();
    let mut slow_engines = lock(&relay.slow_engine_tracker);
    let queried = engines
        .into_iter()
        .filter(|engine| slow_engines.should_query(now, engine.key));
    let queried: Vec<Engine> = queried.collect();
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
async fn query_while_slow(relay: Arc<Relay>, engine: Engine) {
    let key = engine.key;
    while let Some(pace) = fetch_pace(&relay, &engine).await {
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

/// Whether the engine responds to a query of its pace.
pub async fn responds(relay: &Relay, engine: &Engine) -> bool {
    fetch_pace(relay, engine).await.is_some()
}

/// Pace of the engine as a multiple of its usual time; `None` if the query fails or is not admitted
/// to the engine now.
async fn fetch_pace(relay: &Relay, engine: &Engine) -> Option<f64> {
    let admitted = relay.gate.admit_background(&engine.target).await.ok()?;
    let address = &engine.address;
    let report = async {
        let (_, body) = engine_call::exchange(
            &engine.destination(relay),
            reports::report_request(),
            admitted,
        )
        .await?;
        anyhow::Ok(reports::parse_pace(&body)?)
    };
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
