//! How long the calls of each route take.

use std::time::Duration;

use badgerferry_lib::relay::call_durations::CallDurations;

fn recorded(route: &str, millis: impl IntoIterator<Item = u64>) -> CallDurations {
    let mut durations = CallDurations::default();
    for millis in millis {
        durations.record(route, Duration::from_millis(millis));
    }
    durations
}

#[test]
fn route_without_calls_has_no_expected_time() {
    assert_eq!(recorded("a", [5]).expected("b"), None);
}

#[test]
fn nine_in_ten_calls_take_no_longer_than_expected() {
    let expected = recorded("a", 1..=20).expected("a");

    assert_eq!(expected, Some(Duration::from_millis(18)));
}

#[test]
fn only_the_latest_calls_count() {
    let slow_first = (0..100).map(|_| 5_000).chain((0..100).map(|_| 10));

    let expected = recorded("a", slow_first).expected("a");

    assert_eq!(expected, Some(Duration::from_millis(10)));
}
