//! The course of a planned stop.

use std::time::Duration;

use badgerferry_lib::relay::stop_plan::StopPlan;

const PLAN: StopPlan = StopPlan::new(Duration::from_secs(8));

/// Found by a hunt: a call taken 3.49 s after the signal was cut when the box's time was over.
#[test]
fn a_call_that_comes_three_seconds_after_the_signal_is_refused() {
    assert!(PLAN.refuses_calls(Duration::from_secs(3)));
}

#[test]
fn calls_are_taken_until_the_balancer_has_noticed() {
    assert!(!PLAN.refuses_calls(Duration::from_millis(2_500)));
    assert!(!PLAN.should_exit(Duration::from_secs(2), Some(Duration::from_secs(2))));
}

#[test]
fn it_ends_when_nothing_has_been_in_flight_for_a_moment() {
    let passed = Duration::from_secs(4);

    assert!(!PLAN.should_exit(passed, None));
    assert!(!PLAN.should_exit(passed, Some(Duration::from_millis(10))));
    assert!(PLAN.should_exit(passed, Some(Duration::from_millis(400))));
}

#[test]
fn it_ends_before_it_is_killed_whatever_is_in_flight() {
    assert!(!PLAN.should_exit(Duration::from_secs(7), None));
    assert!(PLAN.should_exit(Duration::from_millis(7_900), None));
}
