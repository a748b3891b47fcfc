//! Planned stops: the readiness check fails, requests in flight complete, then the process exits. Requests
//! that are still in flight shortly before the platform kills the process are answered then. The times are in
//! [`badgerferry_lib::stop_plan`].

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use badgerferry_lib::stop_plan::StopStep;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::time::Instant;

use crate::traffic::Traffic;

/// Time for the load balancer to see the failed readiness check before new requests are refused.
pub const BALANCER_DETECTION_TIME: Duration = Duration::from_secs(2);
/// Interval at which the number of requests in flight is checked during a stop.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Waits until the daemon may exit: after SIGTERM or SIGINT and the last response, shortly before it would be
/// killed, or after a second signal.
pub async fn wait_for_exit(traffic: &Arc<Traffic>) {
    let (Ok(mut term), Ok(mut interrupt)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    ) else {
        // Without signal handlers there is no planned stop; the process runs until it is killed.
        return std::future::pending().await;
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = interrupt.recv() => {}
    }
    tracing::info!(in_flight = in_flight(traffic), "planned stop begun");
    traffic.begin_stop();
    tokio::select! {
        () = drain(traffic) => tracing::info!(in_flight = in_flight(traffic), "planned stop done"),
        _ = term.recv() => tracing::warn!(in_flight = in_flight(traffic), "planned stop aborted"),
        _ = interrupt.recv() => tracing::warn!(in_flight = in_flight(traffic), "planned stop aborted"),
    }
}

fn in_flight(traffic: &Traffic) -> usize {
    traffic.in_flight.load(Ordering::SeqCst)
}

async fn drain(traffic: &Arc<Traffic>) {
    let started_at = Instant::now();
    let plan = traffic.stop_plan();
    let mut idle_since: Option<Instant> = None;
    loop {
        let elapsed = started_at.elapsed();
        if elapsed >= BALANCER_DETECTION_TIME.min(plan.answers_after()) {
            traffic.dispatcher().set_stopping(true);
        }
        idle_since = match in_flight(traffic) {
            0 => idle_since.or_else(|| Some(Instant::now())),
            _ => None,
        };
        match plan.step(elapsed, idle_since.map(|since| since.elapsed())) {
            StopStep::Serve => {}
            StopStep::Answer if traffic.answers_due.are_due() => {}
            StopStep::Answer => {
                tracing::info!(
                    in_flight = in_flight(traffic),
                    "planned stop answers requests in flight"
                );
                traffic.answers_due.announce();
            }
            StopStep::Exit => return,
        }
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
}
