//! Which halls can be reached, by what is heard from the boxes there.

use badgerferry_lib::ids::HallName;
use badgerferry_lib::relay::hall_reachability::HallReachability;
use badgerferry_lib::time::Time;

/// When the last datagram of the silent hall came.
const LAST: u64 = 10_000;

fn hall(name: &str) -> HallName {
    HallName::new(name)
}

/// Boxes of both halls are heard every 100 ms, those of hall b until [`LAST`] only.
fn reach(boxes_there: usize, now_ms: u64) -> HallReachability {
    let mut reach = HallReachability::default();
    for at in (LAST - 1_000..=now_ms).step_by(100) {
        reach.record_heartbeat(Time::from_millis(at), &hall("a"), "a1");
        for number in 0..boxes_there {
            if at <= LAST {
                reach.record_heartbeat(Time::from_millis(at), &hall("b"), &format!("b{number}"));
            }
        }
    }
    reach
}

#[test]
fn a_hall_whose_boxes_are_all_silent_gets_no_calls_until_one_is_heard() {
    let now = Time::from_millis(LAST + 400);
    let mut reach = reach(20, LAST + 400);

    assert!(!reach.allows_calls(now, &hall("b")));
    assert!(reach.allows_calls(now, &hall("a")));
    reach.record_heartbeat(now, &hall("b"), "b3");
    assert!(reach.allows_calls(now, &hall("b")));
}

#[test]
fn the_silence_of_few_boxes_says_something_later_than_that_of_many() {
    let now = Time::from_millis(LAST + 400);

    assert!(reach(2, LAST + 400).allows_calls(now, &hall("b")));
    assert!(!reach(20, LAST + 400).allows_calls(now, &hall("b")));
    let later = Time::from_millis(LAST + 700);
    assert!(!reach(2, LAST + 700).allows_calls(later, &hall("b")));
}

#[test]
fn a_hall_whose_servers_answer_is_not_cut_off_though_its_boxes_are_gone() {
    let now = Time::from_millis(LAST + 400);
    let mut reach = reach(20, LAST + 400);

    reach.record_answer(Time::from_millis(LAST + 300), &hall("b"));

    assert!(reach.allows_calls(now, &hall("b")));
}

#[test]
fn a_silent_hall_is_tried_by_one_call_now_and_then() {
    let now = Time::from_millis(LAST + 1_000);
    let mut reach = reach(20, LAST + 5_000);
    reach.record_call(now, &hall("b"));

    assert!(!reach.allows_calls(Time::from_millis(LAST + 2_000), &hall("b")));
    assert!(reach.allows_calls(Time::from_millis(LAST + 4_500), &hall("b")));
}

#[test]
fn a_box_that_hears_nobody_says_nothing_about_halls() {
    let now = Time::from_millis(LAST + 3_000);
    let reach = reach(20, LAST);

    assert!(reach.allows_calls(now, &hall("b")));
    assert!(reach.allows_calls(now, &hall("a")));
}

#[test]
fn a_hall_without_boxes_is_admitted() {
    let reach = reach(0, LAST);

    assert!(reach.allows_calls(Time::from_millis(LAST), &hall("b")));
}

#[test]
fn a_halls_silence_and_return_are_told_once_each() {
    let silent_at = Time::from_millis(LAST + 400);
    let mut reach = reach(20, LAST + 400);

    let fell_silent = reach.take_changes(silent_at);
    let still_silent = reach.take_changes(silent_at);
    reach.record_heartbeat(silent_at, &hall("b"), "b3");
    let returned = reach.take_changes(silent_at);

    assert_eq!(fell_silent.len(), 1);
    assert!(fell_silent[0].is_silent && fell_silent[0].hall == hall("b"));
    assert_eq!(still_silent, []);
    assert_eq!(returned.len(), 1);
    assert!(!returned[0].is_silent);
}

#[test]
fn a_box_that_hears_its_own_hall_only_knows_that_it_is_cut_off() {
    let now = Time::from_millis(LAST + 2_000);
    let mut reach = reach(20, LAST);

    reach.record_own_hall_heartbeat(now);

    assert!(!reach.allows_calls(now, &hall("a")));
    assert!(!reach.allows_calls(now, &hall("b")));
}

#[test]
fn a_boxs_own_hall_is_never_silent() {
    let now = Time::from_millis(LAST + 3_000);
    let mut reach = HallReachability::default();
    reach.record_own_hall_heartbeat(Time::from_millis(LAST));
    reach.record_heartbeat(now, &hall("b"), "b1");

    assert!(reach.allows_calls(now, &hall("own")));
    assert!(reach.allows_calls(now, &hall("b")));
}
