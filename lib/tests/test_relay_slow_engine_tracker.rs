//! Which engines are slow, by their own word.

use std::time::Duration;

use badgerferry_lib::relay::engine_load::EngineKey;
use badgerferry_lib::relay::slow_engine_tracker;
use badgerferry_lib::relay::slow_engine_tracker::ReportOrigin;
use badgerferry_lib::relay::slow_engine_tracker::SlowEngineTracker;
use badgerferry_lib::time::Time;

const SLOW: EngineKey = EngineKey(3);

fn keys(count: u32) -> Vec<EngineKey> {
    (0..count).map(EngineKey).collect()
}

fn used(paces: &SlowEngineTracker, now: Time, count: u32) -> Vec<EngineKey> {
    paces.without_slow(now, keys(count), |engine| *engine)
}

const fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

#[test]
fn an_engine_that_says_it_is_slow_is_left_out_until_the_word_lapses() {
    let mut paces = SlowEngineTracker::default();

    assert!(paces.record_pace(at(0), SLOW, 5.0));

    assert!(!used(&paces, at(1_000), 6).contains(&SLOW));
    assert!(used(&paces, at(1_500), 6).contains(&SLOW));
}

#[test]
fn an_engine_of_usual_pace_is_used_again_at_once() {
    let mut paces = SlowEngineTracker::default();
    paces.record_pace(at(0), SLOW, 5.0);

    assert!(!paces.record_pace(at(500), SLOW, 1.0));

    assert!(used(&paces, at(500), 6).contains(&SLOW));
}

#[test]
fn where_most_are_slow_all_are_used() {
    let mut paces = SlowEngineTracker::default();
    for engine in keys(3) {
        paces.record_pace(at(0), engine, 5.0);
    }

    assert_eq!(used(&paces, at(0), 9).len(), 6);
    assert_eq!(used(&paces, at(0), 8).len(), 8);
}

#[test]
fn what_a_box_learns_reaches_its_hall_and_other_halls() {
    let (mut learns, mut speaks) = (SlowEngineTracker::default(), SlowEngineTracker::default());
    let (mut beside, mut far) = (SlowEngineTracker::default(), SlowEngineTracker::default());

    learns.record_pace(at(0), SLOW, 5.0);
    speaks.record_gossip(at(10), ReportOrigin::OwnHall, &learns.own_reports(at(10)));
    beside.record_gossip(at(10), ReportOrigin::OwnHall, &learns.own_reports(at(10)));
    far.record_gossip(
        at(30),
        ReportOrigin::OtherHall,
        &speaks.hall_reports(at(20)),
    );

    assert!(beside.is_slow(at(40), SLOW));
    assert!(far.is_slow(at(40), SLOW));
    assert_eq!(
        far.own_reports(at(40)),
        [],
        "a box tells what it was told itself"
    );
    assert_eq!(far.hall_reports(at(40)), [], "nor does a hall tell on");
}

/// Each report is paid for: of many boxes one asks on.
#[test]
fn an_engine_is_asked_once_a_second_and_on_by_one_box() {
    let (mut first, mut second) = (SlowEngineTracker::default(), SlowEngineTracker::default());

    assert!(first.should_query(at(0), SLOW));
    assert!(!first.should_query(at(900), SLOW));
    first.record_pace(at(1_000), SLOW, 5.0);
    second.record_pace(at(1_000), SLOW, 5.0);
    assert!(
        !first.should_query(at(1_100), SLOW),
        "it is known to be slow"
    );

    assert!(first.should_query_again(at(2_000), SLOW));
    first.record_pace(at(2_000), SLOW, 5.0);
    second.record_gossip(
        at(2_010),
        ReportOrigin::OwnHall,
        &first.own_reports(at(2_010)),
    );
    assert!(!second.should_query_again(at(2_100), SLOW));
    assert!(second.is_slow(at(3_000), SLOW));
}

#[test]
fn an_engine_that_is_gone_is_forgotten() {
    let mut paces = SlowEngineTracker::default();
    paces.record_pace(at(0), SLOW, 5.0);

    paces.retain(|engine| engine != SLOW);

    assert!(!paces.is_slow(at(0), SLOW));
}

#[test]
fn a_first_event_is_late_well_beyond_its_estimate() {
    let late = slow_engine_tracker::late_after(Duration::from_millis(400));

    assert_eq!(late, Duration::from_millis(1_100));
}
