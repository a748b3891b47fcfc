//! Detection of times in which the box did not run.

use std::time::Duration;

use badgerferry_lib::relay::suspension::SuspensionMonitor;
use badgerferry_lib::relay::suspension::TICK_INTERVAL;
use badgerferry_lib::time::Time;

fn at(millis: u64) -> Time {
    Time::ZERO + Duration::from_millis(millis)
}

/// A box that ticked until the given time.
fn ticked_until(millis: u64) -> SuspensionMonitor {
    let mut monitor = SuspensionMonitor::new(Time::ZERO);
    let interval = TICK_INTERVAL.as_millis() as u64;
    for tick in (interval..=millis).step_by(interval as usize) {
        assert_eq!(monitor.tick(at(tick)), None);
    }
    monitor
}

#[test]
fn box_that_ticks_is_not_suspended() {
    let monitor = ticked_until(5_000);

    assert!(!monitor.was_suspended(at(5_050)));
}

#[test]
fn tick_that_is_a_little_late_is_no_suspension() {
    let mut monitor = ticked_until(1_000);

    assert_eq!(monitor.tick(at(1_300)), None);
    assert!(!monitor.was_suspended(at(1_300)));
}

/// Guards against events of a suspension that the box sees before its first tick.
#[test]
fn suspension_is_seen_before_the_first_tick_after_it() {
    let monitor = ticked_until(1_000);

    assert!(monitor.was_suspended(at(2_500)));
}

#[test]
fn suspension_counts_for_a_second() {
    let mut monitor = ticked_until(1_000);

    let suspended_for = monitor.tick(at(2_500));

    assert_eq!(suspended_for, Some(Duration::from_millis(1_400)));
    assert!(monitor.was_suspended(at(2_500)));
    for tick in (2_600..=3_600).step_by(100) {
        assert_eq!(monitor.tick(at(tick)), None);
    }
    assert!(!monitor.was_suspended(at(3_600)));
}
