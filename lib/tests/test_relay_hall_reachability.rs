//! Detection of unreachable halls by the heartbeats of their boxes.

use badgerferry_lib::ids::HallName;
use badgerferry_lib::relay::hall_reachability::HallReachability;
use badgerferry_lib::time::Time;

/// Time of the last datagram from the silent hall, in milliseconds.
const LAST_HEARD_MS: u64 = 10_000;

fn hall(name: &str) -> HallName {
    HallName::new(name)
}

/// Boxes of both halls send every 100 ms: those of hall a until `until_ms`, those of hall b only
/// until [`LAST_HEARD_MS`].
fn reachability(boxes_in_b: usize, until_ms: u64) -> HallReachability {
    let mut halls = HallReachability::default();
    for at in (LAST_HEARD_MS - 1_000..=until_ms).step_by(100) {
        halls.record_heartbeat(Time::from_millis(at), &hall("a"), "a1");
        for number in 0..boxes_in_b {
            if at <= LAST_HEARD_MS {
                halls.record_heartbeat(Time::from_millis(at), &hall("b"), &format!("b{number}"));
            }
        }
    }
    halls
}

#[test]
fn silent_hall_gets_no_calls_until_a_box_is_heard() {
    let now = Time::from_millis(LAST_HEARD_MS + 400);
    let mut halls = reachability(20, LAST_HEARD_MS + 400);

    assert!(!halls.allows_calls(now, &hall("b")));
    assert!(halls.allows_calls(now, &hall("a")));
    halls.record_heartbeat(now, &hall("b"), "b3");
    assert!(halls.allows_calls(now, &hall("b")));
}

#[test]
fn silence_timeout_is_longer_with_fewer_boxes() {
    let now = Time::from_millis(LAST_HEARD_MS + 400);

    assert!(reachability(2, LAST_HEARD_MS + 400).allows_calls(now, &hall("b")));
    assert!(!reachability(20, LAST_HEARD_MS + 400).allows_calls(now, &hall("b")));
    let later = Time::from_millis(LAST_HEARD_MS + 700);
    assert!(!reachability(2, LAST_HEARD_MS + 700).allows_calls(later, &hall("b")));
}

#[test]
fn hall_with_answering_servers_is_not_silent() {
    let now = Time::from_millis(LAST_HEARD_MS + 400);
    let mut halls = reachability(20, LAST_HEARD_MS + 400);

    halls.record_answer(Time::from_millis(LAST_HEARD_MS + 300), &hall("b"));

    assert!(halls.allows_calls(now, &hall("b")));
}

#[test]
fn silent_hall_is_probed_by_one_call_per_interval() {
    let now = Time::from_millis(LAST_HEARD_MS + 1_000);
    let mut halls = reachability(20, LAST_HEARD_MS + 5_000);
    halls.record_call(now, &hall("b"));

    assert!(!halls.allows_calls(Time::from_millis(LAST_HEARD_MS + 2_000), &hall("b")));
    assert!(halls.allows_calls(Time::from_millis(LAST_HEARD_MS + 4_500), &hall("b")));
}

#[test]
fn isolated_box_treats_no_hall_as_silent() {
    let now = Time::from_millis(LAST_HEARD_MS + 3_000);
    let halls = reachability(20, LAST_HEARD_MS);

    assert!(halls.allows_calls(now, &hall("b")));
    assert!(halls.allows_calls(now, &hall("a")));
}

#[test]
fn hall_without_known_boxes_gets_calls() {
    let halls = reachability(0, LAST_HEARD_MS);

    assert!(halls.allows_calls(Time::from_millis(LAST_HEARD_MS), &hall("b")));
}

#[test]
fn silence_and_recovery_are_reported_once_each() {
    let silent_at = Time::from_millis(LAST_HEARD_MS + 400);
    let mut halls = reachability(20, LAST_HEARD_MS + 400);

    let fell_silent = halls.take_changes(silent_at);
    let still_silent = halls.take_changes(silent_at);
    halls.record_heartbeat(silent_at, &hall("b"), "b3");
    let returned = halls.take_changes(silent_at);

    assert_eq!(fell_silent.len(), 1);
    assert!(fell_silent[0].is_silent && fell_silent[0].hall == hall("b"));
    assert_eq!(still_silent, []);
    assert_eq!(returned.len(), 1);
    assert!(!returned[0].is_silent);
}

#[test]
fn box_that_hears_only_its_own_hall_treats_others_as_silent() {
    let now = Time::from_millis(LAST_HEARD_MS + 2_000);
    let mut halls = reachability(20, LAST_HEARD_MS);

    halls.record_own_hall_heartbeat(now);

    assert!(!halls.allows_calls(now, &hall("a")));
    assert!(!halls.allows_calls(now, &hall("b")));
}

#[test]
fn own_hall_is_never_silent() {
    let now = Time::from_millis(LAST_HEARD_MS + 3_000);
    let mut halls = HallReachability::default();
    halls.record_own_hall_heartbeat(Time::from_millis(LAST_HEARD_MS));
    halls.record_heartbeat(now, &hall("b"), "b1");

    assert!(halls.allows_calls(now, &hall("own")));
    assert!(halls.allows_calls(now, &hall("b")));
}
