//! Drives one call to a plain service: passes events to its [`Exchange`], the state machine of the
//! request, and executes the actions that it returns.

use std::sync::Arc;

use badgerferry_edges::http_client::BufferedResponse;
use badgerferry_edges::http_client::SendError;
use badgerferry_edges::service::Service;
use badgerferry_edges::service::ServiceCall;
use badgerferry_lib::dispatcher::Decision;
use badgerferry_lib::exchange::Action;
use badgerferry_lib::exchange::Event;
use badgerferry_lib::exchange::Exchange;
use badgerferry_lib::exchange::ExchangeLimits;
use badgerferry_lib::ids::ServerName;
use badgerferry_lib::outcome::Outcome;
use badgerferry_lib::request::Request;
use badgerferry_lib::settings_view::ClassSettings;
use badgerferry_lib::workspace_limit::HallLimit;
use tokio::sync::mpsc;

use crate::request_driver::log_outcome;
use crate::telemetry;
use crate::traffic::Traffic;

/// A service call ready to run.
#[derive(Debug)]
pub struct PreparedCall {
    /// The request, as submitted to the dispatcher.
    pub request: Request,
    /// Settings of the request class.
    pub class: ClassSettings,
    /// Whether the call may be retried after it may have run.
    pub repeatable: bool,
    /// Rate limit of the workspace.
    pub limit: HallLimit,
    /// The call to forward.
    pub call: ServiceCall,
}

/// Outcome of a call, with the response of the service if there is one.
#[derive(Debug)]
pub struct CallEnd {
    /// The outcome.
    pub outcome: Outcome,
    /// Response of the service, of any status; `None` if no attempt got one.
    pub response: Option<BufferedResponse>,
}

/// Runs a call until its outcome is known.
///
/// If the caller disconnects, this future is dropped, which aborts the call.
pub async fn run(traffic: &Arc<Traffic>, prepared: PreparedCall) -> CallEnd {
    let id = prepared.request.id;
    let mut decisions = traffic.subscribe(id);
    let registration = Registration { traffic, id };
    let end = run_registered(traffic, prepared, &mut decisions).await;
    drop(registration);
    end
}

/// Removes the request from the dispatcher on drop, and thus also if the caller disconnects.
struct Registration<'a> {
    traffic: &'a Arc<Traffic>,
    id: badgerferry_lib::ids::RequestId,
}

impl Drop for Registration<'_> {
    fn drop(&mut self) {
        self.traffic.forget(self.id);
    }
}

async fn run_registered(
    traffic: &Arc<Traffic>,
    prepared: PreparedCall,
    decisions: &mut mpsc::UnboundedReceiver<Decision>,
) -> CallEnd {
    let request = prepared.request.clone();
    let mut exchange = Exchange::new(ExchangeLimits {
        deadline: request.deadline,
        first_token: prepared.class.time_limit,
        between_tokens: prepared.class.between_tokens,
        max_attempts: prepared.class.max_attempts,
        max_tokens: request.max_output,
        repeatable: prepared.repeatable,
    });
    let now = traffic.clock.now();
    let limit = prepared.limit;
    traffic.decide(|dispatcher| dispatcher.submit(now, request, limit, &mut rand::rng()));
    let mut response = None;
    let mut target = None;
    loop {
        let tick = traffic.clock.instant(exchange.next_tick());
        let event = match target.take() {
            None => tokio::select! {
                Some(decision) = decisions.recv() => decision_event(&prepared.request, decision),
                () = traffic.answers_due.wait() => Event::BoxStopping,
                () = tokio::time::sleep_until(tick) => Event::Tick,
            },
            Some(server) => tokio::select! {
                result = call(traffic, &prepared, &server) => call_event(result, &mut response),
                () = traffic.answers_due.wait() => Event::BoxStopping,
                () = tokio::time::sleep_until(tick) => Event::Tick,
            },
        };
        let now = traffic.clock.now();
        for action in exchange.on_event(now, &event, &mut rand::rng()) {
            match action {
                Action::Send { server, .. } => target = Some(server),
                Action::PlacementEnded(end) => {
                    traffic
                        .dispatcher()
                        .placement_ended(now, prepared.request.id, &end);
                }
                Action::Requeue { avoid, is_retry } => {
                    let request = prepared.request.clone();
                    traffic.decide(|dispatcher| {
                        dispatcher.requeue(now, request, avoid, is_retry, &mut rand::rng())
                    });
                }
                Action::Finish(outcome) => {
                    let elapsed = now.since(prepared.request.arrived);
                    telemetry::count_outcome(&outcome, 0, elapsed);
                    log_outcome(prepared.request.id, &outcome, elapsed.as_millis() as u64);
                    return CallEnd { outcome, response };
                }
                // A call to a plain service has no stream, no group and nothing to cancel.
                Action::Reserve { .. }
                | Action::Release { .. }
                | Action::Prefill { .. }
                | Action::Cancel { .. }
                | Action::Forward(_)
                | Action::CountDropped(_)
                | Action::FirstToken => {}
            }
        }
    }
}

fn decision_event(request: &Request, decision: Decision) -> Event<'static> {
    if let Decision::Start(start) = &decision {
        let servers = start.placement.servers();
        let servers: Vec<_> = servers.iter().map(ToString::to_string).collect();
        tracing::info!(
            request = %request.id,
            workspace = %request.workspace,
            pool = %request.model,
            servers = servers.join(","),
            waited_ms = start.waited.as_millis() as u64,
            "routing decision"
        );
    }
    decision.into_event()
}

async fn call(
    traffic: &Traffic,
    prepared: &PreparedCall,
    server: &ServerName,
) -> Result<BufferedResponse, SendError> {
    let address = traffic.address_of(server).unwrap_or_default();
    let connect_timeout = prepared.class.connect_timeout;
    traffic
        .service
        .call(&address, connect_timeout, &prepared.call)
        .await
}

fn call_event(
    result: Result<BufferedResponse, SendError>,
    response: &mut Option<BufferedResponse>,
) -> Event<'static> {
    match result {
        Ok(received) => {
            *response = Some(received);
            Event::ResponseComplete
        }
        Err(SendError::NoConnection { .. }) => Event::NoConnection,
        Err(SendError::NotStarted { .. }) => Event::ServerDidNotStart,
        Err(SendError::Lost { cause, address }) => {
            tracing::warn!(address, cause, "service call lost");
            Event::AttemptLost
        }
    }
}
