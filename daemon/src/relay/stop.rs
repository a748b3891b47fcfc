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

use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::drain;
use crate::relay::state::Relay;

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
    relay.stop.begin();
    tracing::info!(in_flight = in_flight(relay), "planned stop begun");
    let plan = relay.stop.plan;
    drain::drain(plan, &relay.stop.answers_due, || in_flight(relay), |_| {}).await;
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

/// Calls of this box, connections that it carries for peers, and responses whose ends callers have
/// not read: a call counts as ended once the HTTP library holds its response.
fn in_flight(relay: &Relay) -> usize {
    [&relay.in_flight, &relay.carried, &relay.blocked_callers]
        .into_iter()
        .map(|count| count.load(Ordering::SeqCst))
        .sum()
}
