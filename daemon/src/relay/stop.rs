//! Planned stops and reloads.
//!
//! After SIGTERM the box calls itself unready and goes on serving what is open and what still
//! arrives, each answer with `Connection: close`. Late in its time it refuses new calls, which
//! could not end any more. It ends when nothing is in flight, or just before it is killed.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use badgerferry_lib::relay::stop_plan::StopPlan;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::time::Instant;

use crate::relay::state::Relay;

/// How often the count of calls in flight is looked at.
const LOOK: Duration = Duration::from_millis(50);
/// How often resting connections are looked at.
const SWEEP: Duration = Duration::from_secs(1);

/// The signals that the platform sends.
#[derive(Debug)]
pub struct Signals {
    term: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    /// Takes signals from now on; before that any of them ends the process.
    ///
    /// # Errors
    ///
    /// The runtime can't take signals.
    pub fn install() -> std::io::Result<Self> {
        Ok(Self {
            term: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }
}

/// Returns when the process may end.
pub async fn wait_for_exit(relay: &Arc<Relay>, mut signals: Signals) {
    let mut sweep = tokio::time::interval(SWEEP);
    loop {
        tokio::select! {
            _ = signals.term.recv() => break,
            _ = signals.interrupt.recv() => break,
            _ = signals.hangup.recv() => reload(relay),
            _ = sweep.tick() => relay.upstream.sweep(),
        }
    }
    let began = Instant::now();
    relay.stopping.store(true, Ordering::SeqCst);
    tracing::info!(in_flight = in_flight(relay), "planned stop begun");
    drain(relay, began).await;
    tracing::info!(
        in_flight = in_flight(relay),
        took_ms = began.elapsed().as_millis() as u64,
        "planned stop done"
    );
}

/// Nothing in the file can change while the process listens where it does: it is read again
/// and compared, so that a change shows in the logs.
fn reload(relay: &Relay) {
    match badgerferry_platform::settings_file::read() {
        Ok(settings) if settings == relay.settings => tracing::info!("settings file unchanged"),
        Ok(_) => tracing::warn!("settings file changed; the change takes effect at the next start"),
        Err(cause) => tracing::warn!(%cause, "settings file can't be used; the old one stands"),
    }
}

async fn drain(relay: &Arc<Relay>, began: Instant) {
    let plan = StopPlan::new(relay.settings.stop_time);
    let mut quiet_since: Option<Instant> = None;
    loop {
        let passed = began.elapsed();
        if plan.refuses_calls(passed) {
            relay.refusing.store(true, Ordering::SeqCst);
        }
        quiet_since = match in_flight(relay) {
            0 => quiet_since.or_else(|| Some(Instant::now())),
            _ => None,
        };
        if plan.should_exit(passed, quiet_since.map(|since| since.elapsed())) {
            return;
        }
        tokio::time::sleep(LOOK).await;
    }
}

fn in_flight(relay: &Relay) -> usize {
    relay.in_flight.load(Ordering::SeqCst)
}
