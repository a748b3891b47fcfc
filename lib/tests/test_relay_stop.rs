//! Timing of a planned stop.

use std::time::Duration;

use badgerferry_lib::relay::stop_plan::StopPlan;

const PLAN: StopPlan = StopPlan::new(Duration::from_secs(8));

/// A call that is accepted too late, such as 3.49 s after the signal, is cut off when the stop time
/// is over.
#[test]
fn call_three_seconds_after_the_signal_is_refused() {
    assert!(PLAN.refuses_calls(Duration::from_secs(3)));
}

#[test]
fn calls_are_accepted_until_the_load_balancer_has_noticed() {
    assert!(!PLAN.refuses_calls(Duration::from_millis(2_500)));
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
