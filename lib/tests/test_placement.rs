//! Orders of the placement controller: regression tests for faults found by seeded simulations.

use std::time::Duration;

use badgerferry_lib::engine_wire::OrderAction;
use badgerferry_lib::ids::ModelName;
use badgerferry_lib::ids::ServerName;
use badgerferry_lib::placement::DesiredPlacement;
use badgerferry_lib::placement::LeaseTerm;
use badgerferry_lib::placement::ObservedEngine;
use badgerferry_lib::placement::PlacementController;
use badgerferry_lib::placement::PlacementOrder;
use badgerferry_lib::time::Time;

const TERM: LeaseTerm = LeaseTerm {
    fence: 4,
    since: Time::ZERO,
};

fn engine(name: &str, models: &[&str]) -> ObservedEngine {
    ObservedEngine {
        name: ServerName::new(name),
        models: models.iter().map(|model| ModelName::new(*model)).collect(),
        running: 0,
    }
}

fn desired(copies: &[(&str, u64)]) -> DesiredPlacement {
    let copies = copies
        .iter()
        .map(|(model, count)| (ModelName::new(*model), *count));
    DesiredPlacement {
        copies: copies.collect(),
        hysteresis: Duration::ZERO,
        loads_per_min: 600,
    }
}

fn count_unloads(orders: &[PlacementOrder]) -> usize {
    let is_unload = |order: &&PlacementOrder| matches!(order.action, OrderAction::Unload { .. });
    orders.iter().filter(is_unload).count()
}

fn fence_all(controller: &mut PlacementController, observed: &[ObservedEngine]) {
    for engine in observed {
        controller.on_order_accepted(TERM.fence, &engine.name);
    }
}

/// Unloading the old version while the new one lacks copies would leave too few to serve.
#[test]
fn old_version_stays_until_the_new_one_is_fully_loaded() {
    let mut controller = PlacementController::default();
    let desired = desired(&[("judge@v1", 0), ("judge@v2", 2)]);
    let mut observed = vec![
        engine("a", &["judge@v1"]),
        engine("b", &["judge@v2"]),
        engine("c", &[]),
    ];
    controller.reconcile(Time::from_millis(50_000), TERM, &desired, &observed);
    fence_all(&mut controller, &observed);

    let partly_loaded = controller.reconcile(Time::from_millis(60_000), TERM, &desired, &observed);
    observed[2] = engine("c", &["judge@v2"]);
    let fully_loaded = controller.reconcile(Time::from_millis(61_000), TERM, &desired, &observed);

    assert_eq!(count_unloads(&partly_loaded), 0, "{partly_loaded:?}");
    assert_eq!(count_unloads(&fully_loaded), 1, "{fully_loaded:?}");
}

/// A delayed order of the previous holder could unload the copies that replace the unloaded ones.
#[test]
fn new_holder_unloads_nothing_before_engines_refuse_orders_of_the_previous_one() {
    let mut controller = PlacementController::default();
    let desired = desired(&[("judge@v1", 2), ("judge@v2", 0)]);
    let observed = [
        engine("a", &["judge@v1"]),
        engine("b", &["judge@v1"]),
        engine("c", &["judge@v2"]),
    ];

    let first = controller.reconcile(Time::from_millis(60_000), TERM, &desired, &observed);
    fence_all(&mut controller, &observed);
    let second = controller.reconcile(Time::from_millis(61_000), TERM, &desired, &observed);

    let fences = first
        .iter()
        .filter(|order| order.action == OrderAction::Fence)
        .count();
    assert_eq!((fences, count_unloads(&first)), (3, 0), "{first:?}");
    assert_eq!(count_unloads(&second), 1, "{second:?}");
}

/// A new holder that loads at once after the last load of its predecessor would exceed the rate
/// limit of the weight store.
#[test]
fn loads_are_spaced_across_a_change_of_holder() {
    let mut controller = PlacementController::default();
    let desired = DesiredPlacement {
        loads_per_min: 6,
        ..desired(&[("judge", 2)])
    };
    let observed = [engine("a", &[]), engine("b", &[])];
    let term = LeaseTerm {
        since: Time::from_millis(5_000),
        ..TERM
    };
    let count_loads = |orders: Vec<PlacementOrder>| {
        let is_load = |order: &&PlacementOrder| matches!(order.action, OrderAction::Load { .. });
        orders.iter().filter(is_load).count()
    };

    let times = [14_999, 15_000, 24_999, 25_000];
    let load_counts = times.map(|ms| {
        count_loads(controller.reconcile(Time::from_millis(ms), term, &desired, &observed))
    });

    assert_eq!(load_counts, [0, 1, 0, 1]);
}
