//! Asks the engines that read for a late call for their pace.

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
use crate::relay::engine_call;
use crate::relay::engines::Engine;
use crate::relay::state::Relay;
use crate::traffic::lock;

/// Longest wait for a report; engines answer it at once, whatever they do.
const REPORT_LIMIT: Duration = Duration::from_millis(500);

/// Watches for a call's first event to be late; ends when dropped.
#[derive(Debug)]
pub struct LateWatch(AbortHandle);

impl LateWatch {
    /// Begins; the first event is expected after so long.
    pub fn begin(call: &Arc<Call>, engines: Vec<Engine>, expected: Duration) -> Self {
        let call = Arc::clone(call);
        let late = slow_engine_tracker::late_after(expected);
        let watch = async move {
            tokio::time::sleep(late).await;
            ask_engines(&call, engines);
        };
        Self(tokio::spawn(watch).abort_handle())
    }

    /// Ends: the first event is here.
    pub fn end(&self) {
        self.0.abort();
    }
}

impl Drop for LateWatch {
    fn drop(&mut self) {
        self.end();
    }
}

fn ask_engines(call: &Call, engines: Vec<Engine>) {
    let relay = &call.relay;
    let now = relay.clock.now();
    let mut slow_engine_tracker = lock(&relay.slow_engine_tracker);
    let asked = engines
        .into_iter()
        .filter(|engine| slow_engine_tracker.should_query(now, engine.key));
    let asked: Vec<Engine> = asked.collect();
    drop(slow_engine_tracker);
    tracing::info!(
        call = call.id(),
        engines = asked.len(),
        "first event late, engines asked for their pace"
    );
    for engine in asked {
        // What it answers is of use whatever becomes of the call.
        tokio::spawn(ask(Arc::clone(relay), engine));
    }
}

/// Asks an engine, and again while it is slow and no other box does.
async fn ask(relay: Arc<Relay>, engine: Engine) {
    let key = engine.key;
    while let Some(pace) = pace_of(&relay, &engine).await {
        let now = relay.clock.now();
        let is_slow = lock(&relay.slow_engine_tracker).record_pace(now, key, pace);
        tracing::info!(
            engine = engine.address,
            pace,
            is_slow,
            "engine told its pace"
        );
        if !is_slow {
            return;
        }
        // The others are told at once.
        relay.urgent_changed.notify_one();
        let jitter = rand::rng().random_range(0.0..QUERY_JITTER);
        tokio::time::sleep(QUERY_INTERVAL + QUERY_INTERVAL.mul_f64(jitter)).await;
        if !lock(&relay.slow_engine_tracker).should_query_again(relay.clock.now(), key) {
            return;
        }
    }
}

/// Its pace, as a multiple of the usual time; none where it has no room for the question either.
async fn pace_of(relay: &Relay, engine: &Engine) -> Option<f64> {
    let pass = relay.gate.enter_idle(&engine.target).await.ok()?;
    let address = &engine.address;
    let report = async {
        let (_, body) = engine_call::exchange(address, reports::ask(), pass).await?;
        anyhow::Ok(reports::read_pace(&body)?)
    };
    let outcome = match timeout(REPORT_LIMIT, report).await {
        Ok(Ok(pace)) => Ok(pace),
        Ok(Err(cause)) => Err(format!("{cause:#}")),
        Err(_elapsed) => Err("no answer in time".to_owned()),
    };
    let label = if outcome.is_ok() { "told" } else { "no_report" };
    counter!("badgerferry_engine_reports_total", "outcome" => label).increment(1);
    outcome
        .inspect_err(|cause| tracing::info!(address, cause, "an engine gave no report"))
        .ok()
}
