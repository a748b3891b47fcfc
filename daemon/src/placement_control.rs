//! Acquires the hall's placement lease and sends placement orders while holding it.

use std::sync::Arc;
use std::time::Duration;

use badgerferry_edges::engine::Engine;
use badgerferry_edges::platform::Platform;
use badgerferry_lib::engine_wire::Order;
use badgerferry_lib::lease::Lease;
use badgerferry_lib::placement::DesiredPlacement;
use badgerferry_lib::placement::LeaseTerm;
use badgerferry_lib::placement::ObservedEngine;
use badgerferry_lib::placement::PlacementController;
use badgerferry_lib::placement::PlacementOrder;
use badgerferry_lib::platform_wire::LeaseRequest;
use badgerferry_lib::server_view::ServerKind;
use badgerferry_lib::settings_view::PlacementSettings;
use badgerferry_lib::status_wire::LeaseStatus;

use crate::traffic::Traffic;
use crate::traffic::lock;

/// Interval between two comparisons of desired and observed state.
const RECONCILE_INTERVAL: Duration = Duration::from_secs(1);

/// Runs the placement controller until the process ends.
pub async fn run(traffic: &Arc<Traffic>) {
    let name = format!("placement/{}", traffic.config.hall);
    let mut lease = Lease::new(Duration::from_secs(10));
    let mut placement = PlacementController::default();
    loop {
        if let Some(settings) = placement_settings(traffic) {
            lease.set_ttl(settings.lease_ttl);
            maintain_lease(traffic, &name, &mut lease).await;
            send_orders(traffic, &lease, &mut placement, &settings).await;
        }
        publish_lease_status(traffic, &lease);
        tokio::time::sleep(RECONCILE_INTERVAL).await;
    }
}

/// Returns the placement settings, or `None` if they are not loaded yet or list no copies. Without
/// them no lease is requested.
fn placement_settings(traffic: &Traffic) -> Option<PlacementSettings> {
    let view = traffic.settings.load();
    let settings = &view.as_ref()?.placement;
    (!settings.copies.is_empty()).then(|| settings.clone())
}

async fn maintain_lease(traffic: &Traffic, name: &str, lease: &mut Lease) {
    let requested_at = traffic.clock.now();
    if !lease.is_request_due(requested_at) {
        return;
    }
    let request = LeaseRequest {
        name: name.to_owned(),
        holder: format!("{}/{}", traffic.owner.name, traffic.owner.incarnation),
        ttl_ms: lease.ttl().as_millis() as u64,
    };
    let response = traffic.platform.lease(&request).await;
    if response.is_ok() {
        traffic.record_platform_response();
    }
    let previous = lease.fence(requested_at);
    let now = traffic.clock.now();
    lease.on_response(requested_at, now, response);
    match (previous, lease.fence(now)) {
        (None, Some(fence)) => tracing::info!(name, fence, "lease acquired"),
        (Some(fence), None) => tracing::warn!(name, fence, "lease lost"),
        _ => {}
    }
}

async fn send_orders(
    traffic: &Traffic,
    lease: &Lease,
    placement: &mut PlacementController,
    settings: &PlacementSettings,
) {
    let now = traffic.clock.now();
    let (Some(since), Some(fence)) = (lease.held_since(now), lease.fence(now)) else {
        return;
    };
    let term = LeaseTerm { fence, since };
    let desired = DesiredPlacement {
        copies: settings.copies.clone(),
        hysteresis: settings.hysteresis,
        loads_per_min: settings.loads_per_min,
    };
    let observed = observed_engines(traffic);
    for order in placement.reconcile(now, term, &desired, &observed) {
        // Checked again for each order, since the validity of the lease may have ended in the
        // meantime. It ends a margin before the TTL has elapsed.
        let Some(fence) = lease.fence(traffic.clock.now()) else {
            tracing::warn!(server = %order.server, "order not sent: lease expired");
            return;
        };
        if send_order(traffic, fence, &order).await {
            placement.on_order_accepted(fence, &order.server);
        }
    }
}

fn observed_engines(traffic: &Traffic) -> Vec<ObservedEngine> {
    let now = traffic.clock.now();
    let dispatcher = traffic.dispatcher();
    let views = dispatcher.servers().iter().filter(|view| {
        let info = view.info();
        info.kind == ServerKind::Engine
            && info.hall == traffic.config.hall
            && view.report().is_some()
            && view.accepts_work(now)
    });
    let observed = views.map(|view| ObservedEngine {
        name: view.info().name.clone(),
        models: view
            .report()
            .map(|report| report.models.iter().cloned().collect())
            .unwrap_or_default(),
        running: view.running(),
    });
    observed.collect()
}

/// Sends an order; returns whether the engine accepted it.
async fn send_order(traffic: &Traffic, fence: u64, order: &PlacementOrder) -> bool {
    let Some(address) = traffic.address_of(&order.server) else {
        return false;
    };
    let request = Order {
        fence,
        action: order.action.clone(),
    };
    let result = traffic.engine.order(&address, &request).await;
    tracing::info!(
        server = %order.server,
        action = ?order.action,
        reason = %order.reason,
        fence,
        accepted = result.is_ok(),
        "placement decision"
    );
    result.is_ok()
}

fn publish_lease_status(traffic: &Traffic, lease: &Lease) {
    let now = traffic.clock.now();
    let status = match (lease.fence(now), lease.other_holder()) {
        (Some(fence), _) => Some(LeaseStatus {
            holder: traffic.owner.name.to_string(),
            fence,
            in_force_here: true,
        }),
        (None, Some(other_lease)) => Some(LeaseStatus {
            holder: other_lease
                .holder
                .split('/')
                .next()
                .unwrap_or_default()
                .to_owned(),
            fence: other_lease.fence,
            in_force_here: false,
        }),
        (None, None) => None,
    };
    lock(&traffic.status).lease = status;
}
