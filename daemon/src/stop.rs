//! Planned stops: readiness fails first, what is in flight finishes, then the end.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::traffic::Traffic;

/// Time for the balancer to see that readiness failed before arrivals are refused.
pub const BALANCER_DETECTION_TIME: Duration = Duration::from_secs(2);
/// How often the count of requests in flight is looked at.
const LOOK: Duration = Duration::from_millis(50);
/// Quiet time after the last answer, so that its last bytes are out.
const LAST_BYTES: Duration = Duration::from_millis(300);

/// Returns when the daemon may end: after SIGTERM and the last answer, or a second signal.
pub async fn wait_for_exit(traffic: &Arc<Traffic>) {
    let (Ok(mut term), Ok(mut interrupt)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    ) else {
        // Without signals there is no planned stop; the process runs until it is killed.
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
        _ = term.recv() => tracing::warn!(in_flight = in_flight(traffic), "stopped at once"),
        _ = interrupt.recv() => tracing::warn!(in_flight = in_flight(traffic), "stopped at once"),
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
            tokio::time::sleep(LOOK).await;
        }
        tokio::time::sleep(LAST_BYTES).await;
        if in_flight(traffic) == 0 {
            return;
        }
    }
}
