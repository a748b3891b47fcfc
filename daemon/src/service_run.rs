//! Drives one call to a plain service.

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

use crate::request_run::log_outcome;
use crate::telemetry;
use crate::traffic::Traffic;

/// A service call ready to run.
#[derive(Debug)]
pub struct PreparedCall {
    /// What the dispatcher knows of it.
    pub request: Request,
    /// The class's limits.
    pub class: ClassSettings,
    /// Whether it may be repeated.
    pub repeatable: bool,
    /// The workspace's limit.
    pub limit: HallLimit,
    /// The call.
    pub call: ServiceCall,
}

/// A call's outcome, and the service's answer if there is one.
#[derive(Debug)]
pub struct CallEnd {
    /// How it ended.
    pub outcome: Outcome,
    /// The service's answer.
    pub answer: Option<BufferedResponse>,
}

/// Runs a call to its outcome.
///
/// If the caller goes away, the future is dropped and the call with it.
pub async fn run(traffic: &Arc<Traffic>, prepared: PreparedCall) -> CallEnd {
    let id = prepared.request.id;
    let mut decisions = traffic.wait_for(id);
    let registered = Registered { traffic, id };
    let end = run_registered(traffic, prepared, &mut decisions).await;
    drop(registered);
    end
}

/// Forgets the request on every way out, the caller's going away included.
struct Registered<'a> {
    traffic: &'a Arc<Traffic>,
    id: badgerferry_lib::ids::RequestId,
}

impl Drop for Registered<'_> {
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
        repeatable: prepared.repeatable,
    });
    let now = traffic.clock.now();
    let limit = prepared.limit;
    traffic.decide(|dispatcher| dispatcher.submit(now, request, limit, &mut rand::rng()));
    let mut answer = None;
    let mut target = None;
    loop {
        let tick = traffic.clock.instant(exchange.next_tick());
        let event = match target.take() {
            None => tokio::select! {
                Some(decision) = decisions.recv() => decided(&prepared.request, decision),
                () = tokio::time::sleep_until(tick) => Event::Tick,
            },
            Some(server) => tokio::select! {
                done = call(traffic, &prepared, &server) => called(done, &mut answer),
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
                    let again = prepared.request.clone();
                    traffic.decide(|dispatcher| {
                        dispatcher.requeue(now, again, avoid, is_retry, &mut rand::rng())
                    });
                }
                Action::Finish(outcome) => {
                    let took = now.since(prepared.request.arrived);
                    telemetry::count_outcome(&outcome, 0, took);
                    log_outcome(prepared.request.id, &outcome, took.as_millis() as u64);
                    return CallEnd { outcome, answer };
                }
                // A service has no stream, no group and nothing to cancel.
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

fn decided(request: &Request, decision: Decision) -> Event<'static> {
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
    let connect = prepared.class.connect_timeout;
    traffic
        .service
        .call(&address, connect, &prepared.call)
        .await
}

fn called(
    done: Result<BufferedResponse, SendError>,
    answer: &mut Option<BufferedResponse>,
) -> Event<'static> {
    match done {
        Ok(found) => {
            *answer = Some(found);
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
