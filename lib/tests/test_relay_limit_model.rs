//! Boxes before a server that names a limit: what it gets in its worst four seconds, and how much of its
//! limit is used, at which size.

use std::time::Duration;

use badgerferry_testutils::limit_model;
use badgerferry_testutils::limit_model::LimitPlan;
use badgerferry_testutils::limit_model::Share;
use badgerferry_testutils::limit_model::Trouble;

/// Calls beyond its limit that a server may get in four seconds.
const BEYOND: f64 = 2.0;
/// Part of its limit that must be usable.
const USABLE: f64 = 0.9;

fn plan(boxes: usize, limit: f64, trouble: Trouble) -> LimitPlan {
    LimitPlan {
        boxes,
        limit,
        demand: 3.0,
        busy: 1.0,
        loss: 0.0,
        trouble,
        lasts: Duration::from_mins(1),
    }
}

fn mean_used(plan: &LimitPlan, share: Share) -> f64 {
    let seeds = 0..4;
    let used = seeds.map(|seed| limit_model::run(plan, share, seed).used);
    used.sum::<f64>() / 4.0
}

#[test]
fn a_server_gets_what_it_says_and_no_more_whatever_the_number_of_boxes() {
    for boxes in [6, 77, 295, 350] {
        for limit in [0.2, 1.0, 10.0, 200.0] {
            let plan = plan(boxes, limit, Trouble::Calm);
            for seed in 0..4 {
                let counts = limit_model::run(&plan, Share::Keeper, seed);

                assert!(counts.over <= BEYOND, "{boxes} boxes, {limit}: {counts:?}");
            }
            let used = mean_used(&plan, Share::Keeper);
            assert!(used >= USABLE, "{boxes} boxes, {limit}: {used}");
        }
    }
}

#[test]
fn boxes_that_start_anew_and_keepers_that_end_bring_no_call_beyond() {
    for trouble in [Trouble::HalfNew, Trouble::KeepersGone] {
        for boxes in [6, 77, 350] {
            for limit in [1.0, 10.0, 200.0] {
                let counts = limit_model::run(&plan(boxes, limit, trouble), Share::Keeper, 1);

                assert!(
                    counts.over <= BEYOND,
                    "{trouble:?}, {boxes} boxes, {limit}: {counts:?}"
                );
            }
        }
    }
}

#[test]
fn lost_datagrams_bring_no_call_beyond_and_cost_little() {
    for boxes in [6, 350] {
        for limit in [1.0, 200.0] {
            let plan = LimitPlan {
                loss: 0.1,
                ..plan(boxes, limit, Trouble::Calm)
            };

            let counts = limit_model::run(&plan, Share::Keeper, 2);

            assert!(counts.over <= BEYOND, "{boxes} boxes, {limit}: {counts:?}");
            assert!(
                mean_used(&plan, Share::Keeper) >= USABLE,
                "{boxes} boxes, {limit}"
            );
        }
    }
}

/// A count by each box alone passes with little traffic and fails with more; an even part leaves a small
/// limit unused, and gives each box a first call of its own all the same.
#[test]
fn the_model_shows_why_each_box_can_not_count_alone() {
    let calm = |boxes, limit| plan(boxes, limit, Trouble::Calm);
    let over = |boxes, limit, share| limit_model::run(&calm(boxes, limit), share, 0).over;

    assert!(over(6, 1.0, Share::EachBox) > BEYOND);
    assert!(over(350, 10.0, Share::Even) > BEYOND);
    assert!(mean_used(&calm(350, 1.0), Share::Even) < USABLE);
    assert!(over(295, 200.0, Share::Told) > BEYOND);
    assert!(mean_used(&calm(77, 1.0), Share::Turns) < USABLE);
}
