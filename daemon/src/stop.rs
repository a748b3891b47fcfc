//! Planned stops: the readiness check fails, requests in flight complete, then the process exits.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::traffic::Traffic;

/// Time for the load balancer to see the failed readiness check before new requests are refused.
pub const BALANCER_DETECTION_TIME: Duration = Duration::from_secs(2);
/// Interval at which the number of requests in flight is checked during a stop.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time without requests before the exit, in which the last bytes of the last response are sent.
const FLUSH_TIME: Duration = Duration::from_millis(300);

/// Waits until the daemon may exit: after SIGTERM or SIGINT and the last response, or after a
/// second signal.
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
    traffic.stop_signalled.store(true, Ordering::SeqCst);
    traffic.leaving.store(true, Ordering::SeqCst);
    tokio::select! {
        () = drain(traffic) => tracing::info!("planned stop done"),
        _ = term.recv() => tracing::warn!(in_flight = in_flight(traffic), "planned stop aborted"),
        _ = interrupt.recv() => tracing::warn!(in_flight = in_flight(traffic), "planned stop aborted"),
    }
}

fn in_flight(traffic: &Traffic) -> usize {
    traffic.in_flight.load(Ordering::SeqCst)
}

async fn drain(traffic: &Arc<Traffic>) {
    tokio::time::sleep(BALANCER_DETECTION_TIME).await;
    traffic.dispatcher().set_stopping(true);
    loop {
        while in_flight(traffic) > 0 {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
        tokio::time::sleep(FLUSH_TIME).await;
        if in_flight(traffic) == 0 {
            return;
        }
    }
}
