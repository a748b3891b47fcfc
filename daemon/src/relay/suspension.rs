//! Notices when this box was suspended.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use badgerferry_lib::relay::suspension::TICK_INTERVAL;
use metrics::counter;
use tokio::time::MissedTickBehavior;

use crate::relay::state::Relay;
use crate::traffic::lock;

/// Records that the box runs. Never returns.
pub async fn watch(relay: Arc<Relay>) {
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let suspended_for = lock(&relay.suspension).tick(relay.clock.now());
        if let Some(suspended_for) = suspended_for {
            counter!("badgerferry_suspensions_total").increment(1);
            tracing::warn!(
                suspended_ms = suspended_for.as_millis() as u64,
                in_flight = relay.in_flight.load(Ordering::Relaxed),
                "this box was suspended"
            );
        }
    }
}
