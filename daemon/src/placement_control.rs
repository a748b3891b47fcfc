//! Holds the hall's placement lease if it can, and gives orders while it does.

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

/// Time between two comparisons of wanted and seen state.
const ROUND: Duration = Duration::from_secs(1);

/// Runs until the process ends.
pub async fn run(traffic: &Arc<Traffic>) {
    let name = format!("placement/{}", traffic.config.hall);
    let mut lease = Lease::new(Duration::from_secs(10));
    let mut placement = PlacementController::default();
    loop {
        if let Some(settings) = wanted_settings(traffic) {
            lease.set_ttl(settings.lease_ttl);
            keep_lease(traffic, &name, &mut lease).await;
            give_orders(traffic, &lease, &mut placement, &settings).await;
        }
        tell_status(traffic, &lease);
        tokio::time::sleep(ROUND).await;
    }
}

/// The placement settings; none while there is nothing to place, so that no lease is asked.
fn wanted_settings(traffic: &Traffic) -> Option<PlacementSettings> {
    let view = traffic.settings.load();
    let settings = &view.as_ref()?.placement;
    (!settings.copies.is_empty()).then(|| settings.clone())
}

async fn keep_lease(traffic: &Traffic, name: &str, lease: &mut Lease) {
    let asked_at = traffic.clock.now();
    if !lease.is_request_due(asked_at) {
        return;
    }
    let asked = LeaseRequest {
        name: name.to_owned(),
        holder: format!("{}/{}", traffic.owner.name, traffic.owner.incarnation),
        ttl_ms: lease.ttl().as_millis() as u64,
    };
    let answer = traffic.platform.lease(&asked).await;
    if answer.is_ok() {
        traffic.record_platform_response();
    }
    let held = lease.fence(asked_at);
    let now = traffic.clock.now();
    lease.on_response(asked_at, now, answer);
    match (held, lease.fence(now)) {
        (None, Some(fence)) => tracing::info!(name, fence, "lease taken"),
        (Some(fence), None) => tracing::warn!(name, fence, "lease lost"),
        _ => {}
    }
}

async fn give_orders(
    traffic: &Traffic,
    lease: &Lease,
    placement: &mut PlacementController,
    settings: &PlacementSettings,
) {
    let now = traffic.clock.now();
    let (Some(since), Some(fence)) = (lease.held_since(now), lease.fence(now)) else {
        return;
    };
    let tenure = LeaseTerm { fence, since };
    let wanted = DesiredPlacement {
        copies: settings.copies.clone(),
        hysteresis: settings.hysteresis,
        loads_per_min: settings.loads_per_min,
    };
    let seen = seen_engines(traffic);
    for order in placement.reconcile(now, tenure, &wanted, &seen) {
        // Asked again for each order: the clock may have gone past the lease's safe part.
        let Some(fence) = lease.fence(traffic.clock.now()) else {
            tracing::warn!(server = %order.server, "order not given: the lease is over");
            return;
        };
        if give(traffic, fence, &order).await {
            placement.on_order_accepted(fence, &order.server);
        }
    }
}

fn seen_engines(traffic: &Traffic) -> Vec<ObservedEngine> {
    let now = traffic.clock.now();
    let dispatcher = traffic.dispatcher();
    let views = dispatcher.servers().iter().filter(|view| {
        let info = view.info();
        info.kind == ServerKind::Engine
            && info.hall == traffic.config.hall
            && view.report().is_some()
            && view.accepts_work(now)
    });
    let seen = views.map(|view| ObservedEngine {
        name: view.info().name.clone(),
        models: view
            .report()
            .map(|report| report.models.iter().cloned().collect())
            .unwrap_or_default(),
        running: view.running(),
    });
    seen.collect()
}

/// Gives an order; tells whether the engine took it.
async fn give(traffic: &Traffic, fence: u64, order: &PlacementOrder) -> bool {
    let Some(address) = traffic.address_of(&order.server) else {
        return false;
    };
    let asked = Order {
        fence,
        action: order.action.clone(),
    };
    let done = traffic.engine.order(&address, &asked).await;
    tracing::info!(
        server = %order.server,
        action = ?order.action,
        reason = %order.reason,
        fence,
        taken = done.is_ok(),
        "placement decision"
    );
    done.is_ok()
}

fn tell_status(traffic: &Traffic, lease: &Lease) {
    let now = traffic.clock.now();
    let status = match (lease.fence(now), lease.other_holder()) {
        (Some(fence), _) => Some(LeaseStatus {
            holder: traffic.owner.name.to_string(),
            fence,
            in_force_here: true,
        }),
        (None, Some(other)) => Some(LeaseStatus {
            holder: other
                .holder
                .split('/')
                .next()
                .unwrap_or_default()
                .to_owned(),
            fence: other.fence,
            in_force_here: false,
        }),
        (None, None) => None,
    };
    lock(&traffic.status).lease = status;
}
