//! Timing of a planned stop.

use std::time::Duration;

use badgerferry_lib::stop_plan::StopPlan;
use badgerferry_lib::stop_plan::StopStep;

const PLAN: StopPlan = StopPlan::new(Duration::from_secs(8));
/// Stops of any length that platforms allow.
const STOP_TIMES: [Duration; 6] = [
    Duration::from_millis(500),
    Duration::from_secs(1),
    Duration::from_secs(3),
    Duration::from_secs(4),
    Duration::from_secs(8),
    Duration::from_secs(90),
];

/// A call that is accepted too late, such as 3.49 s after the signal, is cut off when the stop time
/// is over.
#[test]
fn call_three_seconds_after_the_signal_is_refused() {
    assert!(PLAN.refuses_calls(Duration::from_secs(3), Duration::ZERO));
}

#[test]
fn calls_are_accepted_until_the_load_balancer_has_noticed() {
    assert!(!PLAN.refuses_calls(Duration::from_millis(2_500), Duration::ZERO));
    assert!(!PLAN.should_exit(Duration::from_secs(2), Some(Duration::from_secs(2))));
}

#[test]
fn process_exits_after_a_short_idle_time() {
    let elapsed = Duration::from_secs(4);

    assert!(!PLAN.should_exit(elapsed, None));
    assert!(!PLAN.should_exit(elapsed, Some(Duration::from_millis(10))));
    assert!(PLAN.should_exit(elapsed, Some(Duration::from_millis(400))));
}

#[test]
fn process_exits_before_the_stop_time_with_calls_in_flight() {
    assert!(!PLAN.should_exit(Duration::from_secs(7), None));
    assert!(PLAN.should_exit(Duration::from_millis(7_900), None));
}

#[test]
fn call_that_would_outlast_the_stop_is_refused_at_once() {
    for stop_time in STOP_TIMES {
        let plan = StopPlan::new(stop_time);

        assert!(
            plan.refuses_calls(Duration::ZERO, stop_time),
            "{stop_time:?}"
        );
        assert!(
            !plan.refuses_calls(Duration::ZERO, stop_time / 4),
            "{stop_time:?}"
        );
    }
}

#[test]
fn calls_in_flight_are_answered_before_the_process_exits() {
    for stop_time in STOP_TIMES {
        let plan = StopPlan::new(stop_time);
        let answers_after = plan.answers_after();

        assert_eq!(
            plan.step(Duration::ZERO, None),
            StopStep::Serve,
            "{stop_time:?}"
        );
        assert_eq!(
            plan.step(answers_after, None),
            StopStep::Answer,
            "{stop_time:?}"
        );
        assert!(answers_after >= stop_time / 2, "{stop_time:?}");
        let flush_time = (stop_time / 8).min(Duration::from_millis(100));
        let before_kill = stop_time.saturating_sub(flush_time);
        assert_eq!(
            plan.step(before_kill, None),
            StopStep::Exit,
            "{stop_time:?}"
        );
    }
}

#[test]
fn calls_that_arrive_when_answers_are_due_are_refused() {
    for stop_time in STOP_TIMES {
        let plan = StopPlan::new(stop_time);

        let is_refused = plan.refuses_calls(plan.answers_after(), Duration::ZERO);

        assert!(is_refused, "{stop_time:?}");
    }
}
