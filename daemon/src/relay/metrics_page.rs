//! HTTP endpoints of the readiness check, for the load balancer, and of the metrics.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use badgerferry_lib::relay::held_bytes::Side;
use badgerferry_lib::relay::size_groups::SizeGroup;
use badgerferry_lib::relay::suspect_key::SuspectKind;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use metrics::gauge;
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::net::TcpListener;
use tokio::time::timeout;

use crate::relay::listener;
use crate::relay::response_body::ResponseBody;
use crate::relay::response_body::ServiceResult;
use crate::relay::state::Relay;
use crate::traffic::lock;

/// Port of the metrics endpoint; the deployment file names the same port.
const METRICS_PORT: u16 = 9_464;
/// Maximum duration of a connection to either endpoint.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(30);

/// Serves the readiness check: 200 while the balancer may send calls to this box, 503 otherwise.
pub async fn serve_ready(listener: TcpListener, relay: Arc<Relay>) {
    serve_page(listener, move || {
        let (status, text) = if relay.is_ready() {
            (StatusCode::OK, "ready")
        } else {
            (StatusCode::SERVICE_UNAVAILABLE, "not ready")
        };
        let mut response = Response::new(ResponseBody::full(text));
        *response.status_mut() = status;
        response
    })
    .await;
}

/// Serves metrics in the Prometheus text format.
pub async fn serve_metrics(metrics: PrometheusHandle, relay: Arc<Relay>) {
    let address = SocketAddr::new(relay.settings.front.ip(), METRICS_PORT);
    match listener::listen(address) {
        Ok(listener) => {
            let page = move || {
                set_gauges(&relay);
                Response::new(ResponseBody::full(metrics.render()))
            };
            serve_page(listener, page).await;
        }
        Err(cause) => {
            tracing::warn!(%address, cause = format!("{cause:#}"), "metrics endpoint not started");
        }
    }
}

/// Answers every request with `page`, whatever its path.
async fn serve_page(
    listener: TcpListener,
    page: impl Fn() -> Response<ResponseBody> + Clone + Send + 'static,
) {
    listener::accept_loop(listener, |stream| {
        let page = page.clone();
        let service = service_fn(move |_req: Request<Incoming>| {
            std::future::ready(ServiceResult::Ok(page()))
        });
        async move {
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            // Time-outs and connection errors are ignored: clients poll this page.
            let _ = timeout(CONNECTION_TIMEOUT, connection).await;
        }
    })
    .await;
}

fn set_gauges(relay: &Relay) {
    let known_state = relay.known_state();
    gauge!("badgerferry_routes_version").set(known_state.routes.unwrap_or_default() as f64);
    gauge!("badgerferry_store_era").set(known_state.servers.era as f64);
    gauge!("badgerferry_servers_revision").set(known_state.servers.revision as f64);
    {
        let mut queue = lock(&relay.long_prompt_queue);
        gauge!("badgerferry_long_prompts_waiting").set(queue.len() as f64);
        queue.size_groups.refresh(relay.clock.now());
        for group in SizeGroup::ALL {
            let share = queue.size_groups.relative_share(group);
            gauge!("badgerferry_long_prompts_relative_share", "group" => group.name()).set(share);
        }
    }
    {
        let quarantine = lock(&relay.quarantine);
        let now = relay.clock.now();
        let requests = quarantine.quarantined_count(now, SuspectKind::Request);
        let parts = quarantine.quarantined_count(now, SuspectKind::Part);
        gauge!("badgerferry_works_held").set(requests as f64);
        gauge!("badgerferry_prompt_parts_held").set(parts as f64);
        gauge!("badgerferry_works_pushed_out").set(quarantine.evicted() as f64);
    }
    {
        let notices = lock(&relay.gate.notices);
        let limits = &notices.limits;
        gauge!("badgerferry_servers_limited").set(limits.limited().count() as f64);
        let cold = notices.cold.count(relay.clock.now());
        gauge!("badgerferry_servers_cold").set(cold as f64);
        gauge!("badgerferry_limits_pushed_out").set(limits.evicted() as f64);
        gauge!("badgerferry_servers_leaving").set(notices.leaving.len() as f64);
        let paused = notices.shedding.paused_count(relay.clock.now());
        gauge!("badgerferry_servers_paused").set(paused as f64);
        gauge!("badgerferry_leaving_pushed_out").set(notices.leaving.evicted() as f64);
    }
    let evacuated = relay.evacuated_halls.load();
    gauge!("badgerferry_halls_evacuated").set(evacuated.len() as f64);
    let bound = relay.held_bytes.limits().map_or(0, |limits| limits.side);
    for side in [Side::Callers, Side::Servers] {
        let held = relay.held_bytes.held(side);
        gauge!("badgerferry_held_bytes", "side" => side.name()).set(held as f64);
        gauge!("badgerferry_held_bytes_bound", "side" => side.name()).set(bound as f64);
    }
    let cut_off = lock(&relay.server_paths).cut_off().count();
    gauge!("badgerferry_services_cut_off").set(cut_off as f64);
    let carried = relay.carried.load(std::sync::atomic::Ordering::SeqCst);
    gauge!("badgerferry_connections_carried").set(carried as f64);
    gauge!("badgerferry_boxes_known").set(relay.box_count() as f64);
    gauge!("badgerferry_ready").set(f64::from(u8::from(relay.is_ready())));
    let in_flight = relay.in_flight.load(std::sync::atomic::Ordering::SeqCst);
    gauge!("badgerferry_active_requests").set(in_flight as f64);
    let without_caller = &relay.calls_without_caller;
    let without_caller = without_caller.load(std::sync::atomic::Ordering::SeqCst);
    gauge!("badgerferry_calls_without_caller").set(without_caller as f64);
    gauge!("badgerferry_log_lines_dropped").set(crate::telemetry::dropped_lines());
}
