//! Tracking of engines that report that they are slow.

use std::time::Duration;

use badgerferry_lib::relay::engine_load::EngineKey;
use badgerferry_lib::relay::slow_engine_tracker;
use badgerferry_lib::relay::slow_engine_tracker::ReportOrigin;
use badgerferry_lib::relay::slow_engine_tracker::SlowEngineTracker;
use badgerferry_lib::time::Time;

const SLOW_ENGINE: EngineKey = EngineKey(3);

fn keys(count: u32) -> Vec<EngineKey> {
    (0..count).map(EngineKey).collect()
}

fn usable_engines(tracker: &SlowEngineTracker, now: Time, count: u32) -> Vec<EngineKey> {
    tracker.without_slow(now, keys(count), |engine| *engine)
}

const fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

#[test]
fn slow_engine_is_excluded_until_report_expires() {
    let mut tracker = SlowEngineTracker::default();

    assert!(tracker.record_pace(at(0), SLOW_ENGINE, 5.0));

    assert!(!usable_engines(&tracker, at(1_000), 6).contains(&SLOW_ENGINE));
    assert!(usable_engines(&tracker, at(1_500), 6).contains(&SLOW_ENGINE));
}

#[test]
fn engine_back_at_usual_pace_is_used_at_once() {
    let mut tracker = SlowEngineTracker::default();
    tracker.record_pace(at(0), SLOW_ENGINE, 5.0);

    assert!(!tracker.record_pace(at(500), SLOW_ENGINE, 1.0));

    assert!(usable_engines(&tracker, at(500), 6).contains(&SLOW_ENGINE));
}

#[test]
fn no_engine_is_excluded_if_more_than_a_third_are_slow() {
    let mut tracker = SlowEngineTracker::default();
    for engine in keys(3) {
        tracker.record_pace(at(0), engine, 5.0);
    }

    assert_eq!(usable_engines(&tracker, at(0), 9).len(), 6);
    assert_eq!(usable_engines(&tracker, at(0), 8).len(), 8);
}

#[test]
fn slow_report_reaches_own_hall_and_other_halls() {
    let (mut reporter, mut delegate) = (SlowEngineTracker::default(), SlowEngineTracker::default());
    let (mut local, mut remote) = (SlowEngineTracker::default(), SlowEngineTracker::default());

    reporter.record_pace(at(0), SLOW_ENGINE, 5.0);
    delegate.record_gossip(at(10), ReportOrigin::OwnHall, &reporter.own_reports(at(10)));
    local.record_gossip(at(10), ReportOrigin::OwnHall, &reporter.own_reports(at(10)));
    remote.record_gossip(
        at(30),
        ReportOrigin::OtherHall,
        &delegate.hall_reports(at(20)),
    );

    assert!(local.is_slow(at(40), SLOW_ENGINE));
    assert!(remote.is_slow(at(40), SLOW_ENGINE));
    assert_eq!(
        remote.own_reports(at(40)),
        [],
        "only the box that received the report from the engine gossips it in its hall"
    );
    assert_eq!(
        remote.hall_reports(at(40)),
        [],
        "a hall forwards no reports of other halls"
    );
}

/// Guards against redundant queries, each of which has a cost: only one box repeats them.
#[test]
fn queries_are_rate_limited_and_repeated_by_one_box() {
    let (mut first, mut second) = (SlowEngineTracker::default(), SlowEngineTracker::default());

    assert!(first.should_query(at(0), SLOW_ENGINE));
    assert!(!first.should_query(at(900), SLOW_ENGINE));
    first.record_pace(at(1_000), SLOW_ENGINE, 5.0);
    second.record_pace(at(1_000), SLOW_ENGINE, 5.0);
    assert!(
        !first.should_query(at(1_100), SLOW_ENGINE),
        "already known to be slow"
    );

    assert!(first.should_query_again(at(2_000), SLOW_ENGINE));
    first.record_pace(at(2_000), SLOW_ENGINE, 5.0);
    second.record_gossip(
        at(2_010),
        ReportOrigin::OwnHall,
        &first.own_reports(at(2_010)),
    );
    assert!(!second.should_query_again(at(2_100), SLOW_ENGINE));
    assert!(second.is_slow(at(3_000), SLOW_ENGINE));
}

#[test]
fn unlisted_engine_is_removed() {
    let mut tracker = SlowEngineTracker::default();
    tracker.record_pace(at(0), SLOW_ENGINE, 5.0);

    tracker.retain(|engine| engine != SLOW_ENGINE);

    assert!(!tracker.is_slow(at(0), SLOW_ENGINE));
}

#[test]
fn first_event_is_late_after_twice_its_estimate_plus_slack() {
    let timeout = slow_engine_tracker::late_after(Duration::from_millis(400));

    assert_eq!(timeout, Duration::from_millis(1_100));
}
