//! Model of many boxes calling servers that shed load: served calls, and calls during pauses.

use std::time::Duration;

use badgerferry_testutils::shed_model;
use badgerferry_testutils::shed_model::ShedCounts;
use badgerferry_testutils::shed_model::ShedPlan;
use badgerferry_testutils::shed_model::Way;

/// Numbers of boxes and servers.
const SIZES: [(usize, usize); 4] = [(6, 18), (77, 60), (295, 150), (350, 300)];

fn plan(boxes: usize, servers: usize) -> ShedPlan {
    ShedPlan {
        boxes,
        servers,
        shedding: servers / 10,
        part: 1.0,
        pause: Duration::from_secs(3),
        load: 0.1,
        loss: 0.0,
        lasts: Duration::from_secs(8),
    }
}

fn run(plan: &ShedPlan) -> ShedCounts {
    shed_model::run(plan, Way::ToldAsCost, 1)
}

#[test]
fn no_call_reaches_a_server_during_its_pause_at_any_fleet_size() {
    for (boxes, servers) in SIZES {
        let lossy_plan = ShedPlan {
            loss: 0.1,
            ..plan(boxes, servers)
        };
        for plan in [plan(boxes, servers), lossy_plan] {
            assert_eq!(run(&plan).in_pauses, 0, "{plan:?}");
        }
    }
}

#[test]
fn calls_move_to_servers_that_do_not_shed() {
    for (boxes, servers) in SIZES {
        let counts = run(&plan(boxes, servers));

        assert!(counts.served_part() >= 0.98, "{boxes} boxes: {counts:?}");
    }
}

#[test]
fn servers_that_shed_a_few_calls_of_each_box_are_not_starved() {
    for (boxes, servers, min_served) in [(6, 18, 0.8), (77, 60, 0.99)] {
        let plan = ShedPlan {
            shedding: servers,
            part: 0.05,
            load: 0.85,
            ..plan(boxes, servers)
        };

        let counts = run(&plan);

        assert!(
            counts.served_part() >= min_served,
            "{boxes} boxes: {counts:?}"
        );
    }
}
