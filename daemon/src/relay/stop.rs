//! Planned stops and reloads.
//!
//! After SIGTERM the box reports itself as not ready. It keeps serving open and new calls and adds
//! `Connection: close` to each response. It refuses new calls that are not expected to end in time, and later all.
//! The process exits when new calls have stopped arriving and none is in flight, or just before the
//! platform kills it; calls still in flight are answered before. The times are in
//! [`badgerferry_lib::stop_plan`].

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use badgerferry_lib::stop_plan::StopStep;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::time::Instant;

use crate::relay::state::Relay;

/// Interval at which the number of calls in flight is checked during a stop.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which expired idle connections to servers are closed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Handlers of the signals that the platform sends.
#[derive(Debug)]
pub struct Signals {
    term: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    /// Installs the handlers. Until then, each of these signals ends the process.
    ///
    /// # Errors
    ///
    /// The runtime can't install a signal handler.
    pub fn install() -> std::io::Result<Self> {
        Ok(Self {
            term: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }
}

/// Handles signals until a stop is requested, drains the calls in flight and returns when the
/// process may exit.
pub async fn wait_for_exit(relay: &Arc<Relay>, mut signals: Signals) {
    let mut sweep = tokio::time::interval(SWEEP_INTERVAL);
    loop {
        tokio::select! {
            _ = signals.term.recv() => break,
            _ = signals.interrupt.recv() => break,
            _ = signals.hangup.recv() => reload(relay),
            _ = sweep.tick() => relay.connection_pool.close_expired(),
        }
    }
    let started_at = Instant::now();
    relay.begin_stop();
    tracing::info!(in_flight = in_flight(relay), "planned stop begun");
    drain(relay, started_at).await;
    tracing::info!(
        in_flight = in_flight(relay),
        took_ms = started_at.elapsed().as_millis() as u64,
        "planned stop done"
    );
}

/// Reads the settings file again and logs whether it has changed. No setting is applied while the
/// process runs, because the listening addresses can't change.
fn reload(relay: &Relay) {
    match badgerferry_platform::settings_file::read() {
        Ok(settings) if settings == relay.settings => tracing::info!("settings file unchanged"),
        Ok(_) => tracing::warn!("settings file changed; the change takes effect at the next start"),
        Err(cause) => tracing::warn!(%cause, "settings file unusable; keeping old settings"),
    }
}

async fn drain(relay: &Arc<Relay>, started_at: Instant) {
    let plan = relay.stop_plan();
    let mut idle_since: Option<Instant> = None;
    loop {
        idle_since = match in_flight(relay) {
            0 => idle_since.or_else(|| Some(Instant::now())),
            _ => None,
        };
        let idle = idle_since.map(|since| since.elapsed());
        match plan.step(started_at.elapsed(), idle) {
            StopStep::Serve => {}
            StopStep::Answer if relay.answers_due.are_due() => {}
            StopStep::Answer => {
                tracing::info!(
                    in_flight = in_flight(relay),
                    "planned stop answers calls in flight"
                );
                relay.answers_due.announce();
            }
            StopStep::Exit => return,
        }
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
}

/// Calls of this box, connections that it carries for peers, and responses whose ends callers have
/// not read: a call counts as ended once the HTTP library holds its response.
fn in_flight(relay: &Relay) -> usize {
    [&relay.in_flight, &relay.carried, &relay.blocked_callers]
        .into_iter()
        .map(|count| count.load(Ordering::SeqCst))
        .sum()
}
