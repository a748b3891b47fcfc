//! Drain of a door in a planned stop: requests in flight end by themselves, or are answered before the process
//! exits. The times are in [`badgerferry_lib::stop_plan`].

use std::time::Duration;

use badgerferry_lib::stop_plan::StopPlan;
use badgerferry_lib::stop_plan::StopStep;
use tokio::sync::watch;
use tokio::time::Instant;

/// Interval at which the number of requests in flight is checked during a stop.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Tells requests in flight that they have to be answered now.
#[derive(Debug, Default)]
pub struct AnswersDue(watch::Sender<bool>);

impl AnswersDue {
    /// Makes the answers to all requests due. Returns whether they were not before.
    fn announce(&self) -> bool {
        self.0
            .send_if_modified(|is_due| !std::mem::replace(is_due, true))
    }

    /// Resolves once the answers are due.
    pub async fn wait(&self) {
        // Can't fail: this holds the sender.
        let _ = self.0.subscribe().wait_for(|is_due| *is_due).await.is_ok();
    }
}

/// Waits until the process may exit: once nothing is in flight, or its time is over. `on_poll` is called with
/// the time since the beginning of the stop.
pub async fn drain(
    plan: StopPlan,
    answers_due: &AnswersDue,
    in_flight: impl Fn() -> usize,
    on_poll: impl Fn(Duration),
) {
    let started_at = Instant::now();
    let mut idle_since: Option<Instant> = None;
    loop {
        let elapsed = started_at.elapsed();
        on_poll(elapsed);
        idle_since = match in_flight() {
            0 => idle_since.or_else(|| Some(Instant::now())),
            _ => None,
        };
        let idle = idle_since.map(|since| since.elapsed());
        match plan.step(elapsed, idle) {
            StopStep::Answer if answers_due.announce() => {
                let in_flight = in_flight();
                tracing::info!(in_flight, "planned stop answers requests in flight");
            }
            StopStep::Serve | StopStep::Answer => {}
            StopStep::Exit => break,
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    tracing::info!(
        in_flight = in_flight(),
        took_ms = started_at.elapsed().as_millis() as u64,
        "planned stop done"
    );
}
