//! The retry budget of fleets of several sizes: retries that are needed are allowed, and the sum
//! stays within the budget.

use std::time::Duration;

use badgerferry_lib::relay::retry_window::RetryBudgetRule;
use badgerferry_testutils::retry_model;
use badgerferry_testutils::retry_model::RetryCounts;
use badgerferry_testutils::retry_model::RetryPlan;
use badgerferry_testutils::seeds::run_seeds;

const SIZES: [usize; 5] = [59, 295, 520, 985, 2_000];

fn plan(boxes: usize) -> RetryPlan {
    RetryPlan {
        boxes,
        halls: 5,
        budget: RetryBudgetRule {
            window: Duration::from_secs(10),
            ratio: 0.2,
            slack: 1_040.0,
        },
        calls_per_s: 136.0,
        failing: (0.01, 0.1),
        owner_changes: None,
        restarts: None,
        kills: None,
        added: 0,
        halls_cut: false,
        lasts: Duration::from_mins(2),
    }
}

/// The incident's deployment and the sizes around it, with and without pools.
fn incident_plan(boxes: usize) -> RetryPlan {
    RetryPlan {
        halls: 3,
        budget: RetryBudgetRule {
            slack: 206.0,
            ..plan(boxes).budget
        },
        calls_per_s: 100.0,
        failing: (0.7, 0.7),
        ..plan(boxes)
    }
}

/// Fraction of the needed retries that is allowed, and the largest part of the budget that is used.
fn play(plan: &RetryPlan) -> (f64, f64) {
    let (results, broken) = run_seeds(0..4, |seed| retry_model::run(plan, seed));
    assert!(broken.is_empty(), "{broken:?}");
    let allowed = results.iter().map(RetryCounts::allowed_fraction);
    let used = results.iter().map(|counts| counts.worst_use);
    (allowed.fold(f64::MAX, f64::min), used.fold(0.0, f64::max))
}

#[test]
fn needed_retries_are_allowed_at_any_number_of_boxes() {
    for boxes in SIZES {
        let (allowed, used) = play(&plan(boxes));

        assert!(allowed >= 0.95, "{boxes} boxes: {allowed} allowed");
        assert!(used <= 1.0, "{boxes} boxes: {used} of the budget used");
    }
}

#[test]
fn budget_holds_while_every_call_fails_and_owners_change() {
    for boxes in SIZES {
        for owner_changes in [1, 3, 9] {
            let plan = RetryPlan {
                calls_per_s: 600.0,
                failing: (0.0, 1.0),
                owner_changes: Some(Duration::from_secs(owner_changes)),
                restarts: Some(Duration::from_secs(30)),
                ..plan(boxes)
            };

            let (_, used) = play(&plan);

            assert!(used <= 1.0, "{boxes} boxes: {used} of the budget used");
        }
    }
}

#[test]
fn budget_holds_while_halls_are_cut_in_two() {
    for boxes in SIZES {
        let plan = RetryPlan {
            calls_per_s: 600.0,
            failing: (0.0, 1.0),
            halls_cut: true,
            ..plan(boxes)
        };

        let (_, used) = play(&plan);

        assert!(used <= 1.0, "{boxes} boxes: {used} of the budget used");
    }
}

#[test]
fn budget_holds_while_all_boxes_are_killed_in_series() {
    for boxes in [6, 26, 77, 350] {
        for kills in [500, 1_000, 2_500, 4_000, 9_000] {
            let plan = RetryPlan {
                kills: Some(Duration::from_millis(kills)),
                ..incident_plan(boxes)
            };

            let (_, used) = play(&plan);

            assert!(
                used <= 1.0,
                "{boxes} boxes killed every {kills} ms: {used} of the budget used"
            );
        }
    }
}

#[test]
fn budget_holds_while_boxes_restart_in_turn() {
    for boxes in [6, 26, 77, 350] {
        for restarts in [500, 1_000, 2_500, 4_000, 9_000] {
            let plan = RetryPlan {
                restarts: Some(Duration::from_millis(restarts)),
                ..incident_plan(boxes)
            };

            let (_, used) = play(&plan);

            assert!(
                used <= 1.0,
                "{boxes} boxes, each restarted every {restarts} ms: {used} of the budget used"
            );
        }
    }
}

#[test]
fn budget_holds_while_many_boxes_are_added() {
    for boxes in [6, 26, 77, 350] {
        let plan = RetryPlan {
            added: 3 * boxes / 4,
            calls_per_s: 600.0,
            failing: (1.0, 1.0),
            ..incident_plan(boxes)
        };

        let (_, used) = play(&plan);

        assert!(used <= 1.0, "{boxes} boxes: {used} of the budget used");
    }
}
