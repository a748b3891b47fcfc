//! Simulation of calls that crash servers, with boxes that report crashes to each other: how many
//! servers crash at each fleet size, and whether harmless calls are refused.

use std::time::Duration;

use badgerferry_testutils::crash_model;
use badgerferry_testutils::crash_model::Bound;
use badgerferry_testutils::crash_model::CrashCounts;
use badgerferry_testutils::crash_model::CrashPlan;
use badgerferry_testutils::crash_model::PartTiming;

const SEEDS: u64 = 12;

/// One caller whose call crashes servers, and ordinary callers.
fn plan(boxes: usize, servers: usize) -> CrashPlan {
    CrashPlan {
        boxes,
        cut_off: 0,
        restarts: 0.0,
        servers,
        deadly: 1,
        deadly_within_ms: 1_000,
        others: 2.0 * servers as f64,
        equal: 0.0,
        waves: 0.0,
        spread_ms: 0,
        deadly_parts: 0.0,
        part_timing: PartTiming::Soon,
        first_parts: 0,
        lasts: Duration::from_secs(15),
    }
}

fn run_seeds(plan: &CrashPlan, bound: Bound) -> Vec<CrashCounts> {
    let seeds = 0..SEEDS;
    seeds
        .map(|seed| crash_model::run(plan, bound, seed))
        .collect()
}

fn sum(counts: &[CrashCounts]) -> CrashCounts {
    let mut sum = CrashCounts::default();
    for count in counts {
        sum.add(*count);
    }
    sum
}

#[test]
fn one_caller_crashes_three_servers_at_any_number_of_boxes() {
    for (boxes, servers) in [(6, 18), (77, 60), (295, 150)] {
        let runs = run_seeds(&plan(boxes, servers), Bound::Shared);

        let most = runs.iter().map(|run| run.ended).max();
        assert_eq!(most, Some(3), "{boxes} boxes");
        assert_eq!(sum(&runs).late_sends, 0, "{boxes} boxes");
    }
}

/// Checks the model itself: without quarantine 50 servers crash on average, and 18 if each box
/// counts only the crashes that it observes (40 seeds of 20 s).
#[test]
fn without_shared_reports_many_servers_crash() {
    let plan = plan(6, 18);

    let none = sum(&run_seeds(&plan, Bound::None));
    let each_box = sum(&run_seeds(&plan, Bound::EachBox));

    assert!(
        none.ended > 30 * SEEDS as usize && none.late_sends > 0,
        "{none:?}"
    );
    assert!(each_box.ended > 9 * SEEDS as usize, "{each_box:?}");
}

/// Two boxes are partitioned and others restart, while six callers send crashing calls at once.
#[test]
fn partitioned_or_restarted_boxes_send_no_crashing_call_after_three_seconds() {
    for (boxes, servers) in [(6, 18), (77, 60)] {
        let plan = CrashPlan {
            cut_off: 2,
            restarts: 0.5,
            deadly: 6,
            ..plan(boxes, servers)
        };

        let runs = run_seeds(&plan, Bound::Shared);

        assert_eq!(sum(&runs).late_sends, 0, "{boxes} boxes");
        let most = runs.iter().map(|run| run.ended).max().unwrap_or_default();
        // Six runs are in progress before the first server crashes.
        assert!(most <= 6 + 3, "{boxes} boxes: {most}");
    }
}

/// Streams with one of 60 first parts; some of them have a second one that crashes servers.
fn part_plan(boxes: usize, servers: usize, deadly_parts: f64) -> CrashPlan {
    CrashPlan {
        deadly: 0,
        deadly_parts,
        first_parts: 60,
        others: 1.5 * servers as f64,
        ..plan(boxes, servers)
    }
}

/// Checks that no call with a crashing part is sent later than three seconds after the fifth crash,
/// and that sound calls with the same first parts are served.
#[test]
fn crashing_part_is_contained_at_any_number_of_boxes() {
    for (boxes, servers, per_second) in [(6, 18, 3.0), (6, 18, 12.0), (77, 60, 6.0)] {
        let runs = run_seeds(&part_plan(boxes, servers, per_second), Bound::Shared);

        let sum = sum(&runs);
        assert_eq!(sum.part_late_sends, 0, "{boxes} boxes: {sum:?}");
        assert!(sum.part_ended <= 8 * runs.len(), "{boxes} boxes: {sum:?}");
        assert!(sum.others_refused * 100 <= sum.others, "{sum:?}");
        assert!(sum.others_lost * 100 <= sum.others, "{sum:?}");
    }
}

/// Guards against evidence that counts only if the response has just begun.
#[test]
fn part_that_crashes_servers_before_or_long_after_the_head_is_contained() {
    for part_timing in [PartTiming::Before, PartTiming::Late] {
        let plan = CrashPlan {
            part_timing,
            ..part_plan(6, 18, 3.0)
        };

        let runs = run_seeds(&plan, Bound::Shared);

        let sum = sum(&runs);
        assert_eq!(sum.part_late_sends, 0, "{part_timing:?}: {sum:?}");
        assert!(
            sum.part_ended <= 12 * runs.len(),
            "{part_timing:?}: {sum:?}"
        );
        assert!(sum.others_refused * 100 <= sum.others, "{sum:?}");
    }
}

/// Checks the model itself: evidence on whole requests does not contain a part.
#[test]
fn whole_requests_alone_do_not_contain_a_crashing_part() {
    let counts = sum(&run_seeds(&part_plan(6, 18, 3.0), Bound::WholeRequests));

    assert!(counts.part_ended > 30 * SEEDS as usize, "{counts:?}");
    assert!(counts.part_late_sends > 0, "{counts:?}");
}

#[test]
fn partitioned_or_restarted_boxes_send_no_crashing_part_after_three_seconds() {
    let plan = CrashPlan {
        cut_off: 2,
        restarts: 0.5,
        ..part_plan(6, 18, 3.0)
    };

    let counts = sum(&run_seeds(&plan, Bound::Shared));

    assert_eq!(counts.part_late_sends, 0, "{counts:?}");
}

/// A third of the servers crash within 400 ms every four seconds.
#[test]
fn shared_parts_are_not_refused_when_servers_crash_together() {
    for first_parts in [1, 60] {
        let plan = CrashPlan {
            waves: 0.33,
            spread_ms: 400,
            first_parts,
            ..part_plan(6, 18, 0.0)
        };

        let counts = sum(&run_seeds(&plan, Bound::Shared));

        assert!(counts.others_lost > 0, "no call was lost with its server");
        assert!(counts.others_refused * 200 <= counts.others, "{counts:?}");
    }
}

/// Half of the servers crash within 60 ms every four seconds. If these crashes were counted
/// separately, 2.5 % and 5.6 % of the identical calls would be refused (40 seeds).
#[test]
fn identical_calls_are_not_refused_when_servers_crash_together() {
    for equal in [2.0, 20.0] {
        let plan = CrashPlan {
            deadly: 0,
            equal,
            waves: 0.5,
            spread_ms: 60,
            ..plan(6, 18)
        };

        let counts = sum(&run_seeds(&plan, Bound::Shared));

        assert!(
            counts.equal_lost > 0,
            "no identical call was lost with its server"
        );
        assert_eq!(counts.equal_refused, 0, "{counts:?}");
        assert_eq!(counts.others_refused, 0, "{counts:?}");
    }
}
