//! Placement's orders, one case each; the seeded run found the faults behind them.

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

const TENURE: LeaseTerm = LeaseTerm {
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

fn wanted(copies: &[(&str, u64)]) -> DesiredPlacement {
    let copies = copies
        .iter()
        .map(|(model, count)| (ModelName::new(*model), *count));
    DesiredPlacement {
        copies: copies.collect(),
        hysteresis: Duration::ZERO,
        loads_per_min: 600,
    }
}

fn unloads(orders: &[PlacementOrder]) -> usize {
    let is_unload = |order: &&PlacementOrder| matches!(order.action, OrderAction::Unload { .. });
    orders.iter().filter(is_unload).count()
}

fn fence_all(placement: &mut PlacementController, seen: &[ObservedEngine]) {
    for engine in seen {
        placement.on_order_accepted(TENURE.fence, &engine.name);
    }
}

#[test]
fn old_version_stays_until_the_new_one_is_loaded_in_full() {
    let mut placement = PlacementController::default();
    let wanted = wanted(&[("judge@v1", 0), ("judge@v2", 2)]);
    let mut seen = vec![
        engine("a", &["judge@v1"]),
        engine("b", &["judge@v2"]),
        engine("c", &[]),
    ];
    placement.reconcile(Time::from_millis(50_000), TENURE, &wanted, &seen);
    fence_all(&mut placement, &seen);

    let half = placement.reconcile(Time::from_millis(60_000), TENURE, &wanted, &seen);
    seen[2] = engine("c", &["judge@v2"]);
    let whole = placement.reconcile(Time::from_millis(61_000), TENURE, &wanted, &seen);

    assert_eq!(unloads(&half), 0, "{half:?}");
    assert_eq!(unloads(&whole), 1, "{whole:?}");
}

#[test]
fn new_holder_unloads_nothing_before_engines_refuse_the_old_ones_orders() {
    let mut placement = PlacementController::default();
    let wanted = wanted(&[("judge@v1", 2), ("judge@v2", 0)]);
    let seen = [
        engine("a", &["judge@v1"]),
        engine("b", &["judge@v1"]),
        engine("c", &["judge@v2"]),
    ];

    let first = placement.reconcile(Time::from_millis(60_000), TENURE, &wanted, &seen);
    fence_all(&mut placement, &seen);
    let second = placement.reconcile(Time::from_millis(61_000), TENURE, &wanted, &seen);

    let fences = first
        .iter()
        .filter(|order| order.action == OrderAction::Fence)
        .count();
    assert_eq!((fences, unloads(&first)), (3, 0), "{first:?}");
    assert_eq!(unloads(&second), 1, "{second:?}");
}

#[test]
fn loads_are_spaced_across_a_change_of_holder() {
    let mut placement = PlacementController::default();
    let wanted = DesiredPlacement {
        loads_per_min: 6,
        ..wanted(&[("judge", 2)])
    };
    let seen = [engine("a", &[]), engine("b", &[])];
    let tenure = LeaseTerm {
        since: Time::from_millis(5_000),
        ..TENURE
    };
    let loads = |orders: Vec<PlacementOrder>| {
        let is_load = |order: &&PlacementOrder| matches!(order.action, OrderAction::Load { .. });
        orders.iter().filter(is_load).count()
    };

    let at = [14_999, 15_000, 24_999, 25_000];
    let given =
        at.map(|ms| loads(placement.reconcile(Time::from_millis(ms), tenure, &wanted, &seen)));

    assert_eq!(given, [0, 1, 0, 1]);
}
