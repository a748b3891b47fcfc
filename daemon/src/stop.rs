//! Planned stops: the readiness check fails, requests in flight complete, then the process exits. Requests
//! that are still in flight shortly before the platform kills the process are answered then. The times are in
//! [`badgerferry_lib::stop_plan`].

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::drain;
use crate::traffic::Traffic;

/// Time for the load balancer to see the failed readiness check before new requests are refused.
pub const BALANCER_DETECTION_TIME: Duration = Duration::from_secs(2);

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
        () = drain(traffic) => {}
        _ = term.recv() => tracing::warn!(in_flight = in_flight(traffic), "planned stop aborted"),
        _ = interrupt.recv() => tracing::warn!(in_flight = in_flight(traffic), "planned stop aborted"),
    }
}

fn in_flight(traffic: &Traffic) -> usize {
    traffic.in_flight.load(Ordering::SeqCst)
}

/// Refuses new requests once the load balancer has had time to notice, and waits until the process may exit.
async fn drain(traffic: &Traffic) {
    let plan = traffic.stop_plan();
    let refuse_after = BALANCER_DETECTION_TIME.min(plan.answers_after());
    let refuse = |elapsed| {
        if elapsed >= refuse_after {
            traffic.dispatcher().set_stopping(true);
        }
    };
    drain::drain(plan, &traffic.answers_due, || in_flight(traffic), refuse).await;
}
